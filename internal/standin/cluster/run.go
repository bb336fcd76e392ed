package cluster

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// Advance simulates the workers up to now: attempts end and leases lapse.
func (c *Cluster) Advance(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		c.finishUpkeep(now, w)
		c.settle(now, w)
		c.sampleLatency(now, w)
	}
}

func (c *Cluster) advance(now time.Duration, w *worker) {
	for _, ref := range w.runningTasks() {
		a := w.running[ref]
		a.ranAt = now
		t := c.jobs[ref.Job]
		if c.step(ref).Gang && !c.gangRunning(now, w, ref, a) {
			continue
		}
		end := a.speedSince + time.Duration(float64(a.remainingWork-a.workBefore)/w.speed)
		if w.stalled || a.crashAt > 0 || c.step(ref).LongRunning {
			end = now + time.Hour
		}
		lapse := w.timeAt(w.leaseEnd)
		switch {
		case w.leaseEnd > 0 && lapse <= now && lapse < end:
			c.end(lapse, w, ref, a, fleet.EndLapsed, c.checkpointAt(lapse, w, ref, a))
		case a.stopAt > 0 && a.stopAt <= now && a.stopAt < end:
			c.end(a.stopAt, w, ref, a, fleet.EndStopped, c.checkpointAt(a.stopAt, w, ref, a))
		case end <= now:
			c.finish(end, t, w, ref, a)
		}
	}
}

// gangTimeout is how long a member of a gang waits for the others to start.
const gangTimeout = 3 * time.Second

// gangRunning reports whether all members of the gang of an attempt are running. If
// not, it ends the attempt when it has waited longer than gangTimeout or when another
// member has ended. The work of a gang starts when its last member starts.
func (c *Cluster) gangRunning(now time.Duration, w *worker, ref job.TaskRef, a *attempt) bool {
	present, lastStart := 0, a.startedAt
	for _, other := range c.workers {
		for r, b := range other.running {
			if r.Job == ref.Job && r.Occurrence == ref.Occurrence && r.Step == ref.Step && b.number == a.number {
				present++
				lastStart = max(lastStart, b.startedAt)
			}
		}
	}
	ended := c.jobs[ref.Job].done[ref]
	switch {
	case present == c.step(ref).Tasks:
		if !a.gangStarted {
			a.speedSince = lastStart
		}
		a.gangStarted, a.startedAt = true, lastStart
		return true
	case ended:
		c.end(now, w, ref, a, fleet.EndDone, "")
	case a.gangStarted:
		c.end(now, w, ref, a, fleet.EndGangMemberEnded, c.checkpointAt(now, w, ref, a))
	case now > a.startedAt+gangTimeout:
		c.end(now, w, ref, a, fleet.EndGangIncomplete, "")
	}
	return false
}

func (c *Cluster) finish(now time.Duration, t *jobModel, w *worker, ref job.TaskRef, a *attempt) {
	if w.failing || t.fails(ref, a.number) {
		t.failures[ref]++
		t.recordFailedAttempt(c.step(ref), ref, a.number)
		c.end(now, w, ref, a, fleet.EndFailed, "")
		return
	}
	t.done[ref] = true
	if step := c.step(ref); step.Gang {
		for i := range step.Tasks {
			t.done[job.TaskRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step, Index: i}] = true
		}
	}
	c.end(now, w, ref, a, fleet.EndDone, "")
}

func (t *jobModel) recordFailedAttempt(step *job.Step, ref job.TaskRef, number platform.Attempt) {
	if step.LongRunning {
		return
	}
	if step.Gang {
		ref.Index = 0
	}
	if t.failedAttempts[ref] == nil {
		t.failedAttempts[ref] = map[platform.Attempt]bool{}
	}
	t.failedAttempts[ref][number] = true
}

// runningTasks returns the running tasks in a deterministic order.
func (w *worker) runningTasks() []job.TaskRef {
	list := make([]job.TaskRef, 0, len(w.running))
	for ref := range w.running {
		list = append(list, ref)
	}
	slices.SortFunc(list, func(a, b job.TaskRef) int { return strings.Compare(w.running[a].name, w.running[b].name) })
	return list
}

// end ends an attempt, fences it, and lists its end until it is acknowledged.
func (c *Cluster) end(now time.Duration, w *worker, ref job.TaskRef, a *attempt, kind fleet.EndKind, checkpoint string) {
	c.jobs[ref.Job].noteRanOn(now)
	c.jobs[ref.Job].noteRunEnded(now, ref)
	delete(w.running, ref)
	w.fencedAttempts[ref] = max(w.fencedAttempts[ref], a.number)
	w.lastEndNumber++
	w.ended = append(w.ended, end{
		Ended: fleet.Ended{Number: w.lastEndNumber, Task: ref, Attempt: a.number, Kind: kind, Checkpoint: checkpoint}, at: now,
	})
}

// noteRanOn records that a task of the job was running until now.
func (t *jobModel) noteRanOn(now time.Duration) {
	if t.cancelledAt > 0 {
		t.ranOn = max(t.ranOn, now-t.cancelledAt)
	}
}

// RanOn returns the longest time for which a task has run on after the cancellation of
// its job was acknowledged.
func (c *Cluster) RanOn(now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		for ref := range w.running {
			c.jobs[ref.Job].noteRanOn(now)
		}
	}
	longest := time.Duration(0)
	for _, t := range c.jobs {
		longest = max(longest, t.ranOn)
	}
	return longest
}

// step returns the step of a task, or nil if its job or step is unknown.
func (c *Cluster) step(ref job.TaskRef) *job.Step {
	t := c.jobs[ref.Job]
	if t == nil || ref.Step >= len(t.spec.Steps) {
		return nil
	}
	return &t.spec.Steps[ref.Step]
}

// checkpointAt returns the latest checkpoint of an attempt, which holds the remaining
// work in nanoseconds, or "" if there is none.
func (c *Cluster) checkpointAt(now time.Duration, w *worker, ref job.TaskRef, a *attempt) string {
	if !c.step(ref).Checkpointing {
		return ""
	}
	if w.stalled || c.step(ref).Gang && !a.gangStarted {
		// Without this an attempt that stands still would leave less than no work.
		return a.checkpoint
	}
	done := w.workDone(now, a).Truncate(checkpointInterval)
	if done <= 0 {
		return a.checkpoint
	}
	return fmt.Sprint(int64(max(0, a.remainingWork-done)))
}

// reached simulates a worker up to now and reports whether an order reaches it.
func (c *Cluster) reached(now time.Duration, w *worker) bool {
	if w == nil || w.partitioned {
		return false
	}
	c.settle(now, w)
	return w.up
}

// Start executes an order to start an attempt. The second result is false if no
// reply arrives.
func (c *Cluster) Start(now time.Duration, id platform.WorkerID, o fleet.StartOrder) (fleet.Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if !c.reached(now, w) || w.mute {
		c.loseOrder(now, w, o.Task)
		return fleet.Answer{}, false
	}
	verdict := c.start(now, w, o)
	arrives := w.replyArrives()
	if t := c.jobs[o.Task.Job]; verdict == fleet.Accepted && t.crashesWorkers(o.Task) {
		arrives = arrives && !t.crashing.AnswerLost(o.Task, o.Attempt)
	}
	return fleet.Answer{Verdict: verdict, Clock: w.clock(now)}, arrives
}

// replyArrives reports whether the reply to an executed order arrives, and if not
// reduces the number of replies still to lose.
func (w *worker) replyArrives() bool {
	if w.silent {
		return false
	}
	if w.lostReplies == 0 {
		return true
	}
	w.lostReplies--
	return false
}

func (c *Cluster) start(now time.Duration, w *worker, o fleet.StartOrder) fleet.Verdict {
	if o.Token < w.fencingToken {
		return fleet.RefusedFenced
	}
	w.fencingToken = o.Token
	if a := w.running[o.Task]; a != nil && a.number == o.Attempt {
		w.extendLease(now, o.LeaseEnd)
		return fleet.Accepted
	}
	if o.LeaseEnd <= w.clock(now) {
		return fleet.RefusedExpired
	}
	w.extendLease(now, o.LeaseEnd)
	if w.refusal != 0 {
		w.refusedStarts++
		return w.refusal
	}
	if o.Attempt <= w.fencedAttempts[o.Task] {
		return fleet.RefusedEnded
	}
	c.checkStart(now, w, o)
	t := c.jobs[o.Task.Job]
	if t == nil {
		return fleet.RefusedInvalid
	}
	t.started = true
	t.lastStart[o.Task] = now
	remaining := t.duration(o.Task)
	if o.Checkpoint != "" {
		var nanos int64
		fmt.Sscan(o.Checkpoint, &nanos)
		remaining = time.Duration(nanos)
	}
	a := &attempt{name: o.Task.String(), number: o.Attempt, startedAt: now, speedSince: now, remainingWork: remaining, checkpoint: o.Checkpoint, cpuPercent: 100}
	if t.crashesWorkers(o.Task) {
		a.crashAt = now + t.crashing.After(o.Task, o.Attempt)
	}
	w.running[o.Task] = a
	c.startTimes = append(c.startTimes, now)
	w.startCount++
	return fleet.Accepted
}

// maxLease is the longest lease that a worker grants.
const maxLease = 10 * time.Second

// extendLease extends the worker's lease up to end, but by no more than maxLease from
// now. It never shortens the lease.
func (w *worker) extendLease(now time.Duration, end platform.WorkerTime) {
	if w.leaseEnd > 0 && w.leaseEnd < w.clock(now) {
		w.lapsedAt = w.timeAt(w.leaseEnd)
	}
	w.leaseEnd = max(w.leaseEnd, min(end, w.clock(now)+platform.WorkerTime(maxLease)))
}

// Stop executes an order to stop an attempt. The second result is false if no reply
// arrives.
func (c *Cluster) Stop(now time.Duration, id platform.WorkerID, o fleet.StopOrder) (fleet.Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if !c.reached(now, w) || w.mute {
		return fleet.Answer{}, false
	}
	if o.Token < w.fencingToken {
		return fleet.Answer{Verdict: fleet.RefusedFenced, Clock: w.clock(now)}, w.replyArrives()
	}
	w.fencingToken = o.Token
	w.fencedAttempts[o.Task] = max(w.fencedAttempts[o.Task], o.Attempt)
	if a := w.running[o.Task]; a != nil && a.number <= o.Attempt && a.stopAt == 0 {
		a.stopAt = now + stopGrace
	}
	return fleet.Answer{Verdict: fleet.Accepted, Clock: w.clock(now)}, w.replyArrives()
}

// Throttle executes an order to limit an attempt's processor time. The second result is
// false if no reply arrives.
func (c *Cluster) Throttle(now time.Duration, id platform.WorkerID, o fleet.ThrottleOrder) (fleet.Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if !c.reached(now, w) || w.mute {
		return fleet.Answer{}, false
	}
	if o.Token < w.fencingToken {
		return fleet.Answer{Verdict: fleet.RefusedFenced, Clock: w.clock(now)}, w.replyArrives()
	}
	w.fencingToken = o.Token
	if w.throttleRefusal != 0 {
		return fleet.Answer{Verdict: w.throttleRefusal}, w.replyArrives()
	}
	if a := w.running[o.Task]; a != nil && a.number == o.Attempt {
		a.cpuPercent = o.Percent
	}
	return fleet.Answer{Verdict: fleet.Accepted, Clock: w.clock(now)}, w.replyArrives()
}

// Renew executes an order to extend the worker's lease and returns the worker's running
// attempts and the first fleet.MaxListedEnds of its ended ones. The second result is false if no
// reply arrives.
func (c *Cluster) Renew(now time.Duration, id platform.WorkerID, o fleet.RenewOrder) (fleet.RenewReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if !c.reached(now, w) {
		return fleet.RenewReply{}, false
	}
	if o.Token < w.fencingToken {
		return fleet.RenewReply{Verdict: fleet.RefusedFenced, Clock: w.clock(now)}, !w.silent
	}
	w.fencingToken = o.Token
	w.extendLease(now, o.LeaseEnd)
	c.acknowledge(now, w, o.Acknowledged)
	return c.lists(now, w), w.replyArrives()
}

// AwaitedLists returns the lists with which a worker answers a renew order that it has
// accepted in the given run and that waits for an end. A later owner's token does not matter
// any more. The second result is false if no reply arrives.
func (c *Cluster) AwaitedLists(now time.Duration, id platform.WorkerID, run int64) (fleet.RenewReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if !c.reached(now, w) || w.bootCount != run {
		return fleet.RenewReply{}, false
	}
	return c.lists(now, w), w.replyArrives()
}

// lists returns a worker's running and ended attempts.
func (c *Cluster) lists(now time.Duration, w *worker) fleet.RenewReply {
	reply := fleet.RenewReply{Verdict: fleet.Accepted, Clock: w.clock(now), Started: w.bootCount}
	for _, e := range w.ended[:min(len(w.ended), fleet.MaxListedEnds)] {
		reply.Ended = append(reply.Ended, e.Ended)
		if e.Kind == fleet.EndDone {
			t := c.jobs[e.Task.Job]
			t.endListed[e.Task], t.endLost[e.Task] = true, false
		}
	}
	for _, ref := range w.runningTasks() {
		a := w.running[ref]
		reply.Running = append(reply.Running, fleet.Running{
			Task: ref, Attempt: a.number, Checkpoint: c.checkpointAt(now, w, ref, a), Progress: c.progress(now, w, ref, a), Load: c.reportedLoad(w, ref),
		})
	}
	return reply
}

// workDone returns the work of an attempt that is done.
func (w *worker) workDone(now time.Duration, a *attempt) time.Duration {
	return a.workBefore + time.Duration(float64(now-a.speedSince)*w.speed)
}

// progress returns the progress of an attempt in percent; tasks without an end are
// always at 100.
func (c *Cluster) progress(now time.Duration, w *worker, ref job.TaskRef, a *attempt) int {
	switch {
	case c.step(ref).LongRunning:
		return 100
	case w.stalled || c.step(ref).Gang && !a.gangStarted:
		return 0
	}
	return int(100 * min(1, float64(w.workDone(now, a))/float64(max(1, a.remainingWork))))
}

// acknowledge drops the ended attempts numbered up to through. It records a violation if
// a task that was done has been started again, unless the lease under which it was done
// has lapsed since.
func (c *Cluster) acknowledge(now time.Duration, w *worker, through uint64) {
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > through {
			kept = append(kept, e)
			continue
		}
		if t := c.jobs[e.Task.Job]; t != nil && e.Kind == fleet.EndDone {
			t.acknowledged[e.Task] = true
			if !c.step(e.Task).Speculative && w.lapsedAt <= e.at && t.lastStart[e.Task] > e.at {
				c.recordViolation(now, "TWICE", "%s, done at %v, was started again at %v", e.Task, e.at, t.lastStart[e.Task])
			}
		}
	}
	w.ended = kept
}
