package cluster

import (
	"fmt"
	"sort"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// Advance lets the workers run until now: tasks end, leases lapse.
func (c *Cluster) Advance(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		c.finishUpkeep(now, w)
		c.advance(now, w)
		c.measure(now, w)
	}
}

func (c *Cluster) advance(now time.Duration, w *worker) {
	for _, ref := range w.refs() {
		a := w.running[ref]
		t := c.jobs[ref.Job]
		if c.step(ref).Gang && !c.together(now, w, ref, a) {
			continue
		}
		end := a.begun + time.Duration(float64(a.left)/w.speed)
		if w.stalled || c.step(ref).LongRunning {
			end = now + time.Hour
		}
		lapse := w.born + time.Duration(w.lease)
		switch {
		case w.lease > 0 && lapse <= now && lapse < end:
			w.end(ref, a, fleet.EndLapsed, c.saved(lapse, w, ref, a))
		case a.stopping > 0 && a.stopping <= now && a.stopping < end:
			w.end(ref, a, fleet.EndStopped, c.saved(a.stopping, w, ref, a))
		case end <= now:
			c.finish(t, w, ref, a)
		}
	}
}

// gangTimeout is how long the members of a gang wait for each other.
const gangTimeout = 3 * time.Second

// together reports whether all members of a gang run. A member that waits for too
// long, or whose others are gone, ends.
func (c *Cluster) together(now time.Duration, w *worker, ref job.TaskRef, a *attempt) bool {
	present, last := 0, a.begun
	for _, other := range c.workers {
		for r, b := range other.running {
			if r.Job == ref.Job && r.Occurrence == ref.Occurrence && r.Step == ref.Step && b.number == a.number {
				present++
				last = max(last, b.begun)
			}
		}
	}
	ended := c.jobs[ref.Job].done[ref]
	switch {
	case present == c.step(ref).Tasks:
		a.complete, a.begun = true, last
		return true
	case ended:
		w.end(ref, a, fleet.EndDone, "")
	case a.complete:
		w.end(ref, a, fleet.EndBroken, c.saved(now, w, ref, a))
	case now > a.begun+gangTimeout:
		w.end(ref, a, fleet.EndAlone, "")
	}
	return false
}

func (c *Cluster) finish(t *truth, w *worker, ref job.TaskRef, a *attempt) {
	if w.failing || t.fails(ref, a.number) {
		t.failures[ref]++
		w.end(ref, a, fleet.EndFailed, "")
		return
	}
	t.done[ref] = true
	if step := c.step(ref); step.Gang {
		for i := range step.Tasks {
			t.done[job.TaskRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step, Index: i}] = true
		}
	}
	w.end(ref, a, fleet.EndDone, "")
}

// refs returns the running tasks in a fixed order.
func (w *worker) refs() []job.TaskRef {
	list := make([]job.TaskRef, 0, len(w.running))
	for ref := range w.running {
		list = append(list, ref)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].String() < list[j].String() })
	return list
}

func (w *worker) end(ref job.TaskRef, a *attempt, kind fleet.EndKind, checkpoint string) {
	delete(w.running, ref)
	w.barred[ref] = max(w.barred[ref], a.number)
	w.next++
	w.ended = append(w.ended, fleet.Ended{Number: w.next, Task: ref, Attempt: a.number, Kind: kind, Checkpoint: checkpoint})
}

// step returns the step of a task, or nil if nobody asked for it.
func (c *Cluster) step(ref job.TaskRef) *job.Step {
	t := c.jobs[ref.Job]
	if t == nil || ref.Step >= len(t.spec.Steps) {
		return nil
	}
	return &t.spec.Steps[ref.Step]
}

// saved returns the checkpoint of an attempt: the work that is left.
func (c *Cluster) saved(now time.Duration, w *worker, ref job.TaskRef, a *attempt) string {
	if !c.step(ref).Checkpointing {
		return ""
	}
	done := time.Duration(float64(now-a.begun) * w.speed).Truncate(checkpointEvery)
	if done <= 0 {
		return a.checkpoint
	}
	return fmt.Sprint(int64(a.left - done))
}

// reach reports whether an order gets to a worker.
func (w *worker) reach() bool { return w != nil && w.up && !w.cut }

// Start carries an order out. The second result is false if no answer comes.
func (c *Cluster) Start(now time.Duration, id platform.WorkerID, o fleet.StartOrder) (fleet.Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if !w.reach() {
		return fleet.Answer{}, false
	}
	c.advance(now, w)
	verdict := c.start(now, w, o)
	return fleet.Answer{Verdict: verdict, Clock: w.clock(now)}, w.answers()
}

// answers reports whether a worker answers the order that it has carried out.
func (w *worker) answers() bool {
	if w.mute == 0 {
		return true
	}
	w.mute--
	return false
}

func (c *Cluster) start(now time.Duration, w *worker, o fleet.StartOrder) fleet.Verdict {
	if o.Token < w.token {
		return fleet.RefusedFenced
	}
	w.token = o.Token
	if a := w.running[o.Task]; a != nil && a.number == o.Attempt {
		w.extend(now, o.LeaseEnd)
		return fleet.Accepted
	}
	if o.LeaseEnd <= w.clock(now) {
		return fleet.RefusedLate
	}
	w.extend(now, o.LeaseEnd)
	if o.Attempt <= w.barred[o.Task] {
		return fleet.RefusedOld
	}
	c.judge(now, w, o)
	t := c.jobs[o.Task.Job]
	if t == nil {
		return fleet.RefusedInvalid
	}
	t.started = true
	left := t.length(o.Task)
	if o.Checkpoint != "" {
		var rest int64
		fmt.Sscan(o.Checkpoint, &rest)
		left = time.Duration(rest)
	}
	w.running[o.Task] = &attempt{number: o.Attempt, begun: now, left: left, checkpoint: o.Checkpoint, percent: 100}
	c.started = append(c.started, now)
	w.starts++
	return fleet.Accepted
}

// longestLease is how long a lease lasts at most.
const longestLease = 10 * time.Second

func (w *worker) extend(now time.Duration, end platform.WorkerTime) {
	w.lease = max(w.lease, min(end, w.clock(now)+platform.WorkerTime(longestLease)))
}

// Stop carries an order out.
func (c *Cluster) Stop(now time.Duration, id platform.WorkerID, o fleet.StopOrder) (fleet.Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if !w.reach() {
		return fleet.Answer{}, false
	}
	c.advance(now, w)
	if o.Token < w.token {
		return fleet.Answer{Verdict: fleet.RefusedFenced, Clock: w.clock(now)}, w.answers()
	}
	w.token = o.Token
	w.barred[o.Task] = max(w.barred[o.Task], o.Attempt)
	if a := w.running[o.Task]; a != nil && a.number <= o.Attempt && a.stopping == 0 {
		a.stopping = now + stopGrace
	}
	return fleet.Answer{Verdict: fleet.Accepted, Clock: w.clock(now)}, w.answers()
}

// Pace carries an order out.
func (c *Cluster) Pace(now time.Duration, id platform.WorkerID, o fleet.PaceOrder) (fleet.Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if !w.reach() {
		return fleet.Answer{}, false
	}
	if o.Token < w.token {
		return fleet.Answer{Verdict: fleet.RefusedFenced, Clock: w.clock(now)}, w.answers()
	}
	w.token = o.Token
	if a := w.running[o.Task]; a != nil && a.number == o.Attempt {
		a.percent = o.Percent
	}
	return fleet.Answer{Verdict: fleet.Accepted, Clock: w.clock(now)}, w.answers()
}

// Hold carries an order out and returns the lists.
func (c *Cluster) Hold(now time.Duration, id platform.WorkerID, o fleet.HoldOrder) (fleet.Lists, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if !w.reach() {
		return fleet.Lists{}, false
	}
	c.advance(now, w)
	if o.Token < w.token {
		return fleet.Lists{Verdict: fleet.RefusedFenced, Clock: w.clock(now)}, true
	}
	w.token = o.Token
	w.extend(now, o.LeaseEnd)
	c.acknowledge(w, o.Acknowledged)
	lists := fleet.Lists{Verdict: fleet.Accepted, Clock: w.clock(now), Started: w.run, Ended: append([]fleet.Ended(nil), w.ended...)}
	for _, ref := range w.refs() {
		a := w.running[ref]
		lists.Running = append(lists.Running, fleet.Running{
			Task: ref, Attempt: a.number, Checkpoint: c.saved(now, w, ref, a), Progress: c.progress(now, w, ref, a), Load: c.load(w, ref),
		})
	}
	return lists, w.answers()
}

func (c *Cluster) progress(now time.Duration, w *worker, ref job.TaskRef, a *attempt) int {
	switch {
	case c.step(ref).LongRunning:
		return 100
	case w.stalled:
		return 0
	}
	return int(100 * min(1, float64(now-a.begun)*w.speed/float64(max(1, a.left))))
}

// acknowledge forgets ends.
func (c *Cluster) acknowledge(w *worker, through uint64) {
	keep := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > through {
			keep = append(keep, e)
			continue
		}
		if t := c.jobs[e.Task.Job]; t != nil && e.Kind == fleet.EndDone {
			t.noted[e.Task] = true
		}
	}
	w.ended = keep
}
