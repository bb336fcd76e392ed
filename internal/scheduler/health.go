package scheduler

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// health tracks how a worker handles its tasks. A worker on which tasks fail, stall or
// are refused is set aside, and then probed with one task at a time.
type health struct {
	// failedJobs are the jobs with a failed task on the worker since its last success.
	failedJobs map[job.ID]bool
	// asideUntil is when the worker may be probed, and asideFor how long it was last
	// set aside.
	asideUntil Instant
	asideFor   time.Duration
	// probing is set while the worker gets one task at a time. untilAccepted is set if it
	// does so only because start orders were refused, so that an accepted one ends it.
	probing, untilAccepted bool
	// refusals counts the start orders that were refused since one was accepted, those that
	// were under way together as one. refusedAt is when the last one was refused.
	refusals  int
	refusedAt Instant
}

const (
	// setAsideFailures is how many different jobs have to fail on a worker in a row
	// before it is set aside. Up to 5% of tasks fail through their own fault, and some
	// jobs fail everywhere.
	setAsideFailures = 2
	// maxRefusals is how many start orders in a row a worker may refuse for reasons other
	// than its health, such as capacity that is not free yet, before it is set aside.
	maxRefusals = 3
	// refusedRetryDelay is the delay before the next start order of a task that several
	// workers have refused.
	refusedRetryDelay = 500 * time.Millisecond
	// minSetAside and maxSetAside bound how long a worker is set aside: workers' faults
	// last 4 to 7 s, and a worker is a sixtieth of the capacity.
	minSetAside = 1500 * time.Millisecond
	maxSetAside = 6 * time.Second
	// probeInterval is how long after a task the next one may start on a worker that is probed,
	// though the first has not ended: it may be long, and all workers may be probed.
	probeInterval = 2 * time.Second
	// A task may show no progress for stallPercents of its expected length, but for
	// stallTimeout at least and maxStallTimeout at most: lengths may be far off. The time
	// doubles up to maxStallDoublings times.
	stallTimeout      = 1500 * time.Millisecond
	maxStallTimeout   = 30 * time.Second
	stallPercents     = 3
	maxStallDoublings = 6
)

// recordSuccess records that a task finished on the worker.
func (h *health) recordSuccess() {
	clear(h.failedJobs)
	h.probing, h.untilAccepted, h.asideFor, h.asideUntil = false, false, 0, 0
}

// recordFailure records that a task failed on the worker, and reports whether the
// worker was set aside because of that.
func (h *health) recordFailure(now Instant, id job.ID) bool {
	if h.failedJobs == nil {
		h.failedJobs = map[job.ID]bool{}
	}
	h.failedJobs[id] = true
	if len(h.failedJobs) >= setAsideFailures || h.probing {
		h.setAside(now)
		return true
	}
	return false
}

// recordRefusal records that the worker has refused a start order sent at the time sent, be
// it because of its own health, and reports whether the worker was set aside because of
// that. A worker that refuses each order would otherwise be chosen again at once, since
// nothing else has changed.
func (h *health) recordRefusal(now, sent Instant, unhealthy bool) bool {
	if sent >= h.refusedAt {
		h.refusals++
		h.refusedAt = now
	}
	if now < h.asideUntil || !unhealthy && h.refusals < maxRefusals {
		return false
	}
	untilAccepted := !unhealthy && (!h.probing || h.untilAccepted)
	h.setAside(now)
	h.untilAccepted = untilAccepted
	return true
}

// recordAcceptance records that the worker has accepted a start order.
func (h *health) recordAcceptance() {
	h.refusals = 0
	if h.untilAccepted {
		h.probing, h.untilAccepted, h.asideFor = false, false, 0
	}
}

// setAside keeps new tasks off the worker, with exponential backoff.
func (h *health) setAside(now Instant) {
	h.untilAccepted = false
	if now < h.asideUntil {
		return
	}
	h.asideFor = max(minSetAside, min(maxSetAside, 2*h.asideFor))
	h.asideUntil = now + h.asideFor
	h.probing = true
}

// noteSetAside reports that a worker was set aside, and why.
func (s *Shard) noteSetAside(now Instant, w *workerState, reason string) {
	s.notes.SetAside = append(s.notes.SetAside, SetAsideNote{Worker: w.info.ID, Reason: reason, For: w.health.asideUntil - now})
}

// accepts reports whether the worker may get a task now.
func (h *health) accepts(now Instant, w *workerState) bool {
	return now >= h.asideUntil && (!h.probing || w.batchAttempts == 0 || now >= w.placedAt+probeInterval) && !w.hasUnansweredStop()
}

// mayTryAside reports whether a long-running task may start on a worker that is set aside, since
// no other worker takes it. The failures of such tasks do not count.
func (w *workerState) mayTryAside(now Instant) bool {
	return now >= w.placedAt+probeInterval && !w.hasUnansweredStop()
}

// hasUnansweredStop reports whether the worker has answered neither the start order of an
// attempt nor, so far, the order to stop it. Another task would hang there as well.
func (w *workerState) hasUnansweredStop() bool {
	for ref, start := range w.unansweredStarts {
		a := w.attempts[ref]
		if a != nil && a.number == start.number && a.phase == stopping && a.startedAt == 0 {
			return true
		}
	}
	return false
}

// stopStalled stops tasks that make no progress, so that they start elsewhere. If no
// task on the worker makes progress, the worker is set aside.
func (s *Shard) stopStalled(now Instant, w *workerState) {
	for _, a := range w.attempts {
		if a.phase != running || a.task == nil || a.task.step.spec.LongRunning || a.cpuPercent == 0 {
			continue
		}
		since, ok := a.quietSince()
		if !ok || w.listsReceived-since < stallTimeout || w.listsReceived-since < s.stallPatience(a.task) {
			continue
		}
		if !a.task.step.spec.Gang {
			s.setAsideIfStill(now, w)
			a.task.stalls++
			s.stopAttempt(now, a, reasonStalled)
			continue
		}
		// Which member holds up the gang is not known.
		for _, member := range a.task.step.tasks {
			s.setAsideIfStill(now, member.liveAttempts[0].worker)
			member.stalls++
		}
		for _, member := range a.task.step.tasks {
			s.stopAttempts(now, member, reasonStalled)
		}
	}
}

// quietSince returns since when the attempt has shown no progress. The members of a gang make
// progress only while all of them work; ok is false if they do not, or if the attempt has ended.
func (a *attempt) quietSince() (since Instant, ok bool) {
	if !a.task.step.spec.Gang {
		return max(a.progressedAt, a.startedAt, a.resumedAt), !a.endUnread
	}
	for _, t := range a.task.step.tasks {
		if len(t.liveAttempts) != 1 || t.liveAttempts[0].phase != running || t.liveAttempts[0].cpuPercent == 0 || t.liveAttempts[0].endUnread {
			return 0, false
		}
		member := t.liveAttempts[0]
		since = max(since, member.progressedAt, member.startedAt, member.resumedAt)
	}
	return since, true
}

// stallPatience returns how long a task may show no progress: progress is listed in whole
// percent, which take long tasks longer. It doubles each time that the task was stopped for
// it, since the estimate may be far too low.
func (s *Shard) stallPatience(t *task) time.Duration {
	r := t.step
	perPercent := max(r.longestRun, s.lengths.Predict(r.kind, r.spec.Estimate())) / 100
	return max(stallTimeout, min(maxStallTimeout, stallPercents*perPercent)) << min(t.stalls, maxStallDoublings)
}

// setAsideIfStill sets a worker aside on which no batch task makes progress.
func (s *Shard) setAsideIfStill(now Instant, w *workerState) {
	for _, a := range w.attempts {
		if a.phase == running && a.isBatch() && a.progressedAt > a.startedAt && w.listsReceived-a.progressedAt < stallTimeout {
			return
		}
	}
	if now >= w.health.asideUntil {
		w.health.setAside(now)
		s.noteSetAside(now, w, "tasks stand still")
	}
}
