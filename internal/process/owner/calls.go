package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/lease"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// startCall is a start call to make.
type startCall struct {
	task task.Task
	job  record.Job
}

// callPlan holds the calls to make to one worker, copied while the shard's lock
// was held.
type callPlan struct {
	actions   lease.Actions
	starts    []startCall
	throttles []throttleCall
}

// callWorker performs one round of calls to a worker. At most one round runs per
// worker at a time. After a call with an unknown outcome the remaining calls are
// left to a later round, after a backoff.
func (o *Owner) callWorker(ctx context.Context, t term, w *workerState) {
	if w.control != nil {
		o.refreshReport(ctx, w)
	}
	p := o.planCalls(t, w)
	for _, tr := range p.actions.Records {
		o.addPending(t, tr)
	}
	if w.control == nil || o.workerBackingOff(w) {
		return
	}
	if o.executePlan(ctx, t, w, p) != nil {
		o.mu.Lock()
		w.lastCallFailure = o.config.Now()
		o.mu.Unlock()
	}
}

func (o *Owner) workerBackingOff(w *workerState) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return w.backingOff(o.config.Now())
}

// executePlan makes the calls of a plan up to the first that fails.
func (o *Owner) executePlan(ctx context.Context, t term, w *workerState, p callPlan) error {
	if err := o.renewLeases(ctx, t, w, p.actions); err != nil {
		return err
	}
	for _, s := range p.actions.Stops {
		if err := o.stopAttempt(ctx, t, w, s); err != nil {
			return err
		}
	}
	for _, s := range p.throttles {
		if err := o.sendThrottle(ctx, t, w, s); err != nil {
			return err
		}
	}
	for _, s := range p.starts {
		if err := o.startAttempt(ctx, t, w, s); err != nil {
			return err
		}
	}
	return nil
}

// refreshReport fetches a report when one is due.
func (o *Owner) refreshReport(ctx context.Context, w *workerState) {
	now := o.config.Now()
	var due bool
	o.follower.View(func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if due = w.reportDue(now, o.expectsTransition(w.id)); due {
			w.lastReportAttempt = now
		}
	})
	if !due {
		return
	}
	report, err := w.control.Report(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.logReachability(w, err)
	if err == nil {
		w.contact.RecordReport(&report, o.config.Now())
	}
}

// planCalls decides which calls to make to a worker. It leaves out start calls
// for tasks with a pending transition.
func (o *Owner) planCalls(t term, w *workerState) callPlan {
	now := o.config.Now()
	permission := o.permission(now)
	var p callPlan
	o.follower.View(func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		p.actions = lease.Decide(lease.Input{
			Worker: w.id, Table: o.table, Contact: &w.contact,
			Permission: permission, ClaimedAt: t.claimed, Now: now,
		})
		p.throttles = o.dueThrottles(t, w)
		for _, s := range p.actions.Starts {
			if !o.pending.hasTask(s.ID) {
				p.starts = append(p.starts, startCall{*s, *s.Spec()})
			}
		}
	})
	return p
}

// beginLeaseCall returns the expiry and the worker's boot ID for a start or
// renewal call and stores the time of the call. ok is false if the call is not
// allowed. The clock is read before the permission and determines the expiry, so
// that after a pause at any later point the worker refuses the call.
func (o *Owner) beginLeaseCall(t term, w *workerState, isStart bool) (notAfter platform.WorkerTime, boot string, ok bool) {
	now := o.config.Now()
	p := o.permission(now)
	if !o.inTerm(t) {
		return 0, "", false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !p.MayRenew || (isStart && !p.MayStart) || !w.contact.Callable(now) {
		return 0, "", false
	}
	w.contact.CalledAt = now
	return w.contact.NotAfter(now), w.contact.Boot(), true
}

// recordAnswer updates the contact state with the result of a call.
func (o *Owner) recordAnswer(w *workerState, r platform.CallResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.contact.RecordAnswer(o.config.Now(), r == platform.Accepted || r == platform.Stopping)
}

func (o *Owner) fence(t term) platform.Fence {
	return platform.Fence{Shard: o.config.Shard, Epoch: t.epoch}
}

// renewLeases renews all leases on a worker in one call if that is due. The call
// also carries the attempts that the worker may forget. It is made even without
// attempts, since the reply shows whether the worker is reachable and whether its
// state has changed.
func (o *Owner) renewLeases(ctx context.Context, t term, w *workerState, a lease.Actions) error {
	now := o.config.Now()
	o.mu.Lock()
	due := w.renewalDue(now)
	if due {
		w.lastRenewalAttempt = now
	}
	generation := w.renewalGeneration(a)
	o.mu.Unlock()
	if !due {
		return nil
	}
	notAfter, boot, ok := o.beginLeaseCall(t, w, false)
	if !ok {
		return nil
	}
	req := platform.RenewRequest{
		Fence: o.fence(t), Forget: a.Forget, NotAfter: notAfter, Boot: boot, LeaseTTL: lease.TTL,
		IfGeneration: generation,
	}
	if generation == 0 {
		req.Attempts = a.Renewals
	}
	reply, err := w.control.Renew(ctx, req)
	if err != nil {
		return err
	}
	o.recordAnswer(w, reply.Result)
	o.mu.Lock()
	defer o.mu.Unlock()
	w.contact.Generation = reply.Generation
	switch reply.Result {
	case platform.Accepted:
		w.contact.RenewedAt = now
	case platform.RefusedChanged:
		w.lastRenewalAttempt = time.Time{}
	}
	return nil
}

func (o *Owner) stopAttempt(ctx context.Context, t term, w *workerState, s lease.Stop) error {
	reply, err := w.control.Stop(ctx, platform.StopRequest{
		TaskAttempt: s.TaskAttempt, Fence: o.fence(t), Grace: s.Grace, Checkpoint: s.Checkpoint,
	})
	if err != nil {
		return err
	}
	o.recordAnswer(w, reply.Result)
	if s.Orphaned {
		return nil
	}
	o.addOutcome(t, s.TaskAttempt, func(current *task.Task, atMillis int64) (record.Transition, bool) {
		return lease.StopTransition(o.table, current, reply, atMillis)
	})
	return nil
}

// addOutcome adds the transition that outcome returns for an attempt to the
// pending ones, if the attempt is still current.
func (o *Owner) addOutcome(t term, attempt platform.TaskAttempt, outcome func(*task.Task, int64) (record.Transition, bool)) {
	at := o.config.Now().UnixMilli()
	o.follower.View(func() {
		current := o.table.Task(attempt.Task)
		if current == nil || !current.Active() || current.Attempt != attempt.Attempt {
			return
		}
		if tr, ok := outcome(current, at); ok {
			o.addPending(t, tr)
		}
	})
}

func (o *Owner) startAttempt(ctx context.Context, t term, w *workerState, s startCall) error {
	notAfter, _, ok := o.beginLeaseCall(t, w, true)
	if !ok {
		return nil
	}
	ctx, span := o.config.Tracing.Tracer().Start(ctx, "start task", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("task", string(s.task.ID)), attribute.String("worker", string(w.id))))
	defer span.End()
	reply, err := w.control.Start(ctx, platform.StartRequest{
		Task: s.task.ID, Attempt: s.task.Attempt, Fence: o.fence(t),
		Kind: taskKind(s.job), Class: s.job.Class, Service: s.job.Service, Template: s.job.Template,
		Size: s.task.Size, Work: time.Duration(s.job.WorkMillis) * time.Millisecond,
		NotAfter: notAfter, Boot: s.task.Boot, LeaseTTL: lease.TTL, Checkpoint: s.task.Checkpoint,
		TraceParent: telemetry.TraceParent(ctx),
	})
	if err != nil {
		event.TaskStartFailed.Log(o.config.Logger, logrus.Fields{"task": s.task.ID, "worker": w.id, "error": err})
		return err
	}
	o.recordAnswer(w, reply.Result)
	id := platform.TaskAttempt{Task: s.task.ID, Attempt: s.task.Attempt}
	switch reply.Result {
	case platform.Accepted:
		o.addOutcome(t, id, func(current *task.Task, atMillis int64) (record.Transition, bool) {
			return lease.StartedTransition(current, reply.Endpoint.String(), atMillis), true
		})
	case platform.RefusedCapacity, platform.RefusedLeaving, platform.RefusedFenced:
		// An earlier start call may still be in flight, so the attempt has ended
		// only once the worker has promised to refuse it.
		return o.stopAttempt(ctx, t, w, lease.Stop{TaskAttempt: id})
	}
	return nil
}

func taskKind(j record.Job) platform.TaskKind {
	if j.Service != "" {
		return platform.KindService
	}
	return platform.KindBatch
}
