package worker

import (
	"context"
	"fmt"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
)

// admitEpoch records the epoch of f. It returns false if a higher epoch was seen
// for the shard. The caller holds mu.
func (w *Worker) admitEpoch(f platform.Fence) bool {
	if f.Epoch < w.epochs[f.Shard] {
		return false
	}
	w.epochs[f.Shard] = f.Epoch
	return true
}

// reserved returns the sum of the declared sizes of the running attempts. The
// caller holds mu.
func (w *Worker) reserved() platform.Resources {
	var sum platform.Resources
	for _, a := range w.attempts {
		if a.phase == platform.PhaseRunning {
			sum = sum.Add(a.request.Size)
		}
	}
	return sum
}

// fenceAttempt makes the worker refuse to start this attempt of the task or an
// earlier one until the next boot. The caller holds mu.
func (w *Worker) fenceAttempt(id platform.TaskAttempt) {
	now := w.config.Clock()
	w.fenced[id.Task] = attemptFence{attempt: max(w.fenced[id.Task].attempt, id.Attempt), at: now}
	if len(w.fenced) < maxHistory {
		return
	}
	for task, p := range w.fenced {
		if now-p.at > fenceRetention {
			delete(w.fenced, task)
		}
	}
}

func (w *Worker) start(ctx context.Context, r platform.StartRequest) (platform.StartReply, error) {
	_, span := w.config.Tracing.Tracer().Start(telemetry.WithTraceParent(ctx, r.TraceParent), "start attempt")
	defer span.End()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceToNow()
	reply := platform.StartReply{Now: w.now(), Result: w.checkStart(r)}
	if reply.Result != platform.Accepted {
		return reply, nil
	}
	if a := w.attempts[r.Task]; a != nil && a.request.Attempt == r.Attempt {
		reply.Endpoint = a.endpoint
		return reply, nil
	}
	a := w.newAttempt(r)
	if r.Kind == platform.KindService && w.config.OpenEndpoint != nil {
		addr, closer, err := w.config.OpenEndpoint(r)
		if err != nil {
			return reply, fmt.Errorf("open endpoint of %s: %w", r.Task, err)
		}
		a.endpoint, a.closeEndpoint = addr, closer
	}
	w.attempts[r.Task] = a
	w.generation++
	reply.Endpoint = a.endpoint
	return reply, nil
}

func (w *Worker) newAttempt(r platform.StartRequest) *attempt {
	now := w.config.Clock()
	a := &attempt{
		request: r, demand: DemandOf(w.config.Seed, r), phase: platform.PhaseRunning,
		startedAt: now, leaseExpiry: now + r.LeaseTTL, cpuPercent: 100,
		willFail: w.Faults.failsStart(r),
	}
	a.resumedWork = checkpointWork(r.Checkpoint)
	a.workDone = a.resumedWork
	return a
}

func (w *Worker) checkStart(r platform.StartRequest) platform.CallResult {
	if r.Boot != "" && r.Boot != w.bootID() {
		return platform.RefusedBoot
	}
	if w.now() > r.NotAfter {
		return platform.RefusedExpired
	}
	if r.Attempt <= w.fenced[r.Task].attempt || !w.admitEpoch(r.Fence) {
		return platform.RefusedFenced
	}
	if a := w.attempts[r.Task]; a != nil {
		if a.request.Attempt == r.Attempt {
			return platform.Accepted
		}
		if a.phase == platform.PhaseRunning || a.request.Attempt > r.Attempt {
			return platform.RefusedFenced
		}
	}
	if w.leaving {
		return platform.RefusedLeaving
	}
	if !w.reserved().Add(r.Size).Fits(w.capacity) {
		return platform.RefusedCapacity
	}
	return platform.Accepted
}

func (w *Worker) renew(_ context.Context, r platform.RenewRequest) (platform.RenewReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceToNow()
	reply := platform.RenewReply{Result: w.checkRenew(r), Now: w.now()}
	if reply.Result != platform.Accepted {
		return reply, nil
	}
	if r.IfGeneration != 0 {
		w.renewAll(r.LeaseTTL)
	}
	for _, id := range r.Attempts {
		a := w.attempts[id.Task]
		if a == nil || a.request.Attempt != id.Attempt || a.phase != platform.PhaseRunning {
			reply.Gone = append(reply.Gone, id)
			continue
		}
		a.leaseExpiry = w.config.Clock() + r.LeaseTTL
	}
	for _, id := range r.Forget {
		w.forgetAttempt(id)
	}
	reply.Generation = w.generation
	return reply, nil
}

func (w *Worker) checkRenew(r platform.RenewRequest) platform.CallResult {
	switch {
	case r.Boot != "" && r.Boot != w.bootID():
		return platform.RefusedBoot
	case w.now() > r.NotAfter:
		return platform.RefusedExpired
	case !w.admitEpoch(r.Fence):
		return platform.RefusedFenced
	case r.IfGeneration != 0 && r.IfGeneration != w.generation:
		return platform.RefusedChanged
	}
	return platform.Accepted
}

func (w *Worker) renewAll(ttl time.Duration) {
	for _, a := range w.attempts {
		if a.phase == platform.PhaseRunning {
			a.leaseExpiry = w.config.Clock() + ttl
		}
	}
}

func (w *Worker) forgetAttempt(id platform.TaskAttempt) {
	w.fenceAttempt(id)
	a := w.attempts[id.Task]
	if a == nil || a.request.Attempt > id.Attempt || a.phase == platform.PhaseRunning {
		return
	}
	delete(w.attempts, id.Task)
	w.generation++
}

func (w *Worker) stop(_ context.Context, r platform.StopRequest) (platform.StopReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceToNow()
	reply := platform.StopReply{Result: platform.Accepted, Now: w.now()}
	if !w.admitEpoch(r.Fence) {
		reply.Result = platform.RefusedFenced
		return reply, nil
	}
	w.fenceAttempt(r.TaskAttempt)
	a := w.attempts[r.Task]
	if a == nil || a.request.Attempt > r.Attempt {
		return reply, nil
	}
	if a.phase == platform.PhaseRunning {
		w.stopAttempt(a, r)
	}
	if a.phase == platform.PhaseRunning {
		reply.Result = platform.Stopping
		return reply, nil
	}
	reply.Phase, reply.Checkpoint, reply.Reason = a.phase, a.checkpoint, a.reason
	return reply, nil
}

// stopAttempt ends a running attempt. A service ends after the grace period, a
// batch task immediately or after its checkpoint is written.
func (w *Worker) stopAttempt(a *attempt, r platform.StopRequest) {
	now := w.config.Clock()
	wait := r.Grace
	if a.request.Kind == platform.KindBatch {
		wait = 0
		if r.Checkpoint {
			wait = checkpointDuration
		}
	}
	if wait <= 0 {
		w.endAttempt(a, platform.PhaseStopped, now)
		return
	}
	if a.stopAt == 0 {
		a.stopAt = now + wait
		a.checkpointOnStop = r.Checkpoint
	}
}

func (w *Worker) throttle(_ context.Context, r platform.ThrottleRequest) (platform.ThrottleReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceToNow()
	reply := platform.ThrottleReply{Result: platform.Accepted, Now: w.now()}
	if !w.admitEpoch(r.Fence) {
		reply.Result = platform.RefusedFenced
		return reply, nil
	}
	a := w.attempts[r.Task]
	if a == nil || a.request.Attempt != r.Attempt || a.phase != platform.PhaseRunning {
		reply.Result = platform.RefusedUnknown
		return reply, nil
	}
	a.cpuPercent = max(1, min(r.Percent, 100))
	return reply, nil
}

func (w *Worker) report(context.Context) (platform.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceToNow()
	measured := w.sampleBefore(w.config.Clock() - w.config.Lag - w.Faults.extraLag())
	report := platform.Report{
		Worker: w.config.ID, Rack: w.config.Rack, Domain: w.config.Domain,
		Now: w.now(), MeasuredAt: platform.WorkerTime(measured.at - w.bootedAt), Boot: w.bootID(),
		Generation: w.generation, Capacity: w.capacity,
		MaxConnections: w.config.MaxConnections, Leaving: w.leaving,
	}
	for _, a := range w.attempts {
		report.Tasks = append(report.Tasks, a.report(measured))
	}
	return report, nil
}

func (a *attempt) report(measured sample) platform.TaskReport {
	r := measured.tasks[a.id()]
	r.TaskAttempt = a.id()
	r.Phase = a.phase
	r.Endpoint = a.endpoint
	r.Checkpoint = a.checkpoint
	r.Reason = a.reason
	if a.demand.Work > 0 {
		r.Done = min(1, float64(a.workDone)/float64(a.demand.Work))
	}
	return r
}
