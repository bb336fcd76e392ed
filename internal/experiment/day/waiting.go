package day

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// waitingCheckInterval is the time between two checks of waiting tasks.
	waitingCheckInterval = 250 * time.Millisecond
	// maxIdle is how long a task may wait that could run.
	maxIdle = 3 * time.Second
	// maxRestart is how long after a run that a crash of its worker ended a task may wait.
	maxRestart = 6 * time.Second
	// recoveryTime is the time after the last fault from which on tasks have to start in
	// time.
	recoveryTime = 14 * time.Second
	// calmBefore is how long before its wait there has to have been no fault for a
	// long-running task to start in time.
	calmBefore = 4 * time.Second
	// finishTime is the time after the last submission from which on all jobs have to go on.
	finishTime = 14 * time.Second
	// minUptime is how long a host has to have been up, with a store that replies, for its
	// count of pending jobs to be checked.
	minUptime = 3 * time.Second
	// pendingVisible is how long after its acceptance a job has to be counted as pending.
	pendingVisible = 4 * time.Second
)

// disturbance tells when faults are active. It is safe for concurrent use.
type disturbance struct {
	mu      sync.Mutex
	active  int
	endedAt time.Duration
}

func (d *disturbance) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
}

func (d *disturbance) end(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	d.endedAt = now
}

// calmFor returns the time since the last fault ended, or zero while there is one.
func (d *disturbance) calmFor(now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active > 0 {
		return 0
	}
	return now - d.endedAt
}

// waitsTooLong reports whether a task that could run has waited for too long. lastRunLost is
// when the last of its runs that a crash of the worker ended was seen, or zero.
func waitsTooLong(now, since, lastRunLost time.Duration) bool {
	return now-since > maxIdle && (lastRunLost == 0 || now-lastRunLost > maxRestart)
}

// idleTimes are the times since when tasks could run and do not.
type idleTimes map[job.TaskRef]time.Duration

// update returns the times at now, when the given tasks are idle.
func (t idleTimes) update(now time.Duration, idle []job.TaskRef) idleTimes {
	next := idleTimes{}
	for _, ref := range idle {
		since, known := t[ref]
		if !known {
			since = now
		}
		next[ref] = since
	}
	return next
}

// IdleWait is the wait of a task that could run.
type IdleWait struct {
	Task   job.TaskRef
	Waited time.Duration
	// Reason describes what the task asks for and the workers that have room for it.
	Reason string
}

// String implements fmt.Stringer.
func (w IdleWait) String() string {
	if w.Waited == 0 {
		return "none"
	}
	return fmt.Sprintf("%v, %s: %s", w.Waited, w.Task, w.Reason)
}

// waitingCheck checks that no task waits that could run, and that hosts count the jobs that
// wait.
type waitingCheck struct {
	sim *simulation
	// violations holds one violation for each task and host, which reported names.
	violations []string
	reported   map[string]bool
	// atEnd are the waits finishTime after the last submission.
	atEnd []string
	// atFinish are the waits that checkFinish has found, sinceEnd the idle times since the last
	// submission while under half of the processors are in use.
	atFinish      []string
	sinceEnd      idleTimes
	finishChecked bool
	// underHalf are the idle times while under half of the processors are in use, anyLoad
	// those at any load.
	underHalf, anyLoad idleTimes
	// longest is the longest wait at any load.
	longest IdleWait
}

// checkWaiting checks until ctx is done.
func (sim *simulation) checkWaiting(ctx context.Context) *waitingCheck {
	c := &waitingCheck{sim: sim, reported: map[string]bool{}}
	for pause.For(ctx, waitingCheckInterval) == nil {
		now := sim.now()
		// Latencies are sampled also while no host sends orders.
		sim.cluster.Advance(now)
		c.checkUnderHalf(now)
		c.checkAnyLoad(now)
		c.checkFinish(now)
		c.checkPending(ctx, now)
	}
	return c
}

// report adds a violation to a list, one for each key.
func (c *waitingCheck) report(list *[]string, key, format string, args ...any) {
	if !c.reported[key] {
		c.reported[key] = true
		*list = append(*list, fmt.Sprintf(format, args...))
	}
}

// checkUnderHalf checks that no task waits while under half of the processors are in use.
func (c *waitingCheck) checkUnderHalf(now time.Duration) {
	calm := c.sim.disturbance.calmFor(now)
	var idle []job.TaskRef
	if calm > recoveryTime-2*maxIdle {
		idle = c.sim.cluster.Idle()
	}
	c.underHalf = c.underHalf.update(now, idle)
	for ref, since := range c.underHalf {
		if calm > recoveryTime && waitsTooLong(now, since, c.sim.cluster.LastRunLost(ref)) {
			c.reportWait(now, ref, since)
		}
	}
}

// checkAnyLoad checks that no long-running task waits at any load. For other tasks there is
// no bound: the longest wait is noted.
func (c *waitingCheck) checkAnyLoad(now time.Duration) {
	var idle []job.TaskRef
	longRunning := map[job.TaskRef]bool{}
	if c.sim.disturbance.calmFor(now) > calmBefore {
		for _, t := range c.sim.cluster.IdleAtAnyLoad() {
			idle = append(idle, t.Ref)
			longRunning[t.Ref] = t.LongRunning
		}
	}
	c.anyLoad = c.anyLoad.update(now, idle)
	for ref, since := range c.anyLoad {
		if longRunning[ref] && waitsTooLong(now, since, c.sim.cluster.LastRunLost(ref)) {
			c.reportWait(now, ref, since)
		}
		if now-since > c.longest.Waited {
			c.longest = IdleWait{Task: ref, Waited: now - since, Reason: c.sim.cluster.DescribeIdle(ref)}
		}
	}
}

// checkFinish checks once, finishTime after the last submission, that no task waits while under
// half of the processors are in use. It does so whatever faults are active: workers that are
// away count neither as room nor as in use.
func (c *waitingCheck) checkFinish(now time.Duration) {
	ended := time.Duration(c.sim.trafficEndedAt.Load())
	if ended == 0 || c.finishChecked {
		return
	}
	c.sinceEnd = c.sinceEnd.update(now, c.sim.cluster.Idle())
	if now < ended+finishTime {
		return
	}
	c.finishChecked = true
	for ref, since := range c.sinceEnd {
		if waitsTooLong(now, since, c.sim.cluster.LastRunEnded(ref)) {
			c.atFinish = append(c.atFinish, fmt.Sprintf("LOST at %v, %v after the last submission: %s could run and has waited since %v: %s",
				now, now-ended, ref, since, c.sim.cluster.DescribeIdle(ref)))
		}
	}
}

func (c *waitingCheck) reportWait(now time.Duration, ref job.TaskRef, since time.Duration) {
	const text = "LOST at %v: %s could run and has waited since %v: %s"
	reason := c.sim.cluster.DescribeIdle(ref)
	c.report(&c.violations, ref.String(), text, now, ref, since, reason)
	if ended := time.Duration(c.sim.trafficEndedAt.Load()); ended > 0 && now > ended+finishTime {
		c.report(&c.atEnd, "end "+ref.String(), text, now, ref, since, reason)
	}
}

// checkPending checks that hosts count the jobs that wait.
func (c *waitingCheck) checkPending(ctx context.Context, now time.Duration) {
	unstarted := c.sim.cluster.Unstarted(now - pendingVisible)
	for _, h := range c.sim.runningHosts() {
		n := h.node.Load()
		since, replies := h.view.RepliesSince()
		if n == nil || !replies || now-max(since, time.Duration(h.startedAt.Load())) < minUptime || c.sim.disturbance.calmFor(now) < minUptime {
			continue
		}
		// A host that cannot read the log refuses to answer.
		if pending, err := n.Pending(ctx, queueName); err == nil && 2*pending < unstarted {
			c.report(&c.violations, fmt.Sprint("pending", h.index), "MIXED at %v: host %d counts %d pending jobs of %d", now, h.index, pending, unstarted)
		}
	}
}
