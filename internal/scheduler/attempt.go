package scheduler

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// phase is the owner's view of an attempt's state.
type phase uint8

const (
	// starting: the start order is to be sent, or was sent and not answered.
	starting phase = iota
	// running: the worker accepted the start order or lists the attempt.
	running
	// stopping: a stop order was sent and not answered.
	stopping
	// stopped: the worker accepted the stop order; the end is not listed yet.
	stopped
	// withdrawn: the attempt is not wanted any more and its start order was not sent.
	withdrawn
)

// attempt is one attempt of a task on a worker. While it is tracked, its resources are
// reserved.
type attempt struct {
	task   *task
	ref    job.TaskRef
	worker *workerState
	number platform.Attempt
	phase  phase
	size   platform.Resources
	// run is the worker's run that was first ordered to start the attempt, or that lists
	// it.
	run int64
	// orderedAt is when the order of the current phase was last sent, confirmedAt when
	// it was answered.
	orderedAt   Instant
	confirmedAt Instant
	// startOrders counts the start orders, startTries those of them that got no answer.
	startOrders, startTries int
	// startSentAt is when the last start order was sent, and startRun the worker's run that it was meant for.
	startSentAt Instant
	startRun    int64
	// startSent is set once a start order was sent.
	startSent bool
	// startUncertain is set once a start order got no answer: the worker may still
	// carry it out.
	startUncertain bool
	// startExpiresAt is from when on an unanswered start order is not carried out any more.
	startExpiresAt Instant
	startedAt      Instant
	// unendedAt is when the latest lists arrived that contain the attempt as running, or when
	// its first start order was sent: an end that was listed before that precedes its own.
	// absentAt is when the first lists arrived that would contain it if it were running, or
	// zero. endUnread is set if these were of the run that was to start it: it has ended, and
	// its end may be behind those listed.
	unendedAt, absentAt Instant
	endUnread           bool
	// listedIn is workerState.lists as of the latest lists that contain the attempt as running.
	listedIn uint64
	// ranBefore is for how long the attempt is known to have run under earlier owners.
	ranBefore time.Duration
	// expectedRun is the run time that was predicted for the attempt, or zero if none was yet.
	expectedRun time.Duration
	progress    int
	// progressedAt is when progress last increased.
	progressedAt Instant
	// resumedAt is when the CPU limit was last raised from 0.
	resumedAt Instant
	// load is the load last listed, as in fleet.Running: the tail latency in
	// milliseconds if the task is a serving task.
	load float64
	// checkpoint and ticket are those of the start order.
	checkpoint string
	ticket     string
	// cpuPercent is the CPU limit that the attempt should have, in percent of its size,
	// and appliedPercent that of the last answered throttle order, or unknownPercent.
	// throttlePending is set while an order is in flight. Until throttleUncertainUntil
	// an earlier order may be carried out late, so the order is repeated at
	// throttleRepeatAt. One that was refused or not answered is repeated at throttleRetryAt.
	cpuPercent, appliedPercent               int
	throttlePending                          bool
	throttleUncertainUntil, throttleRepeatAt Instant
	throttleRetryAt                          Instant
	// haltedSince is since when cpuPercent has been below minRaisePercent, or zero.
	haltedSince Instant
	// wasThrottled is set once cpuPercent was below 100, adopted if an earlier owner
	// started the attempt.
	wasThrottled, adopted bool
	// onTrial is set while the attempt works without the headroom that it is expected to need,
	// and no measurement has shown yet that it does no harm.
	onTrial bool
	// image is the image that the attempt runs. tracker estimates its latency headroom
	// without neighbours, headroom is the prediction beside the present ones, and
	// interference is the difference.
	image        headroom.ImageID
	tracker      headroom.Tracker
	headroom     float64
	interference float64
	// measuredHeadroom is the last measurement. overTargetSince is since when headroom
	// may have been below 1, or zero.
	measuredHeadroom float64
	overTargetSince  Instant
	// underTargetSince is since when measurements have been above 1 after overTargetSince, or
	// zero.
	underTargetSince Instant
}

// isBatch reports whether the attempt belongs to a task that is not long-running.
func (a *attempt) isBatch() bool { return a.task != nil && !a.task.step.spec.LongRunning }

// trackAttempt adds an attempt to its worker and its task and reserves its resources.
func (s *Shard) trackAttempt(now Instant, a *attempt) {
	w := a.worker
	w.attempts[a.ref] = a
	w.reserved = w.reserved.Add(a.size)
	if a.task == nil {
		w.orphans++
	}
	if a.isBatch() {
		w.batchAttempts++
		s.batchReserved += a.size.MilliCPU
	}
	if a.task != nil {
		a.task.liveAttempts = append(a.task.liveAttempts, a)
		a.task.step.job.liveAttempts++
		a.task.lastAttempt = max(a.task.lastAttempt, a.number)
	}
	s.updateColocation(now, w)
}

// dropAttempt removes an attempt that is over and reschedules its task. A task whose
// attempt has not started goes on waiting.
func (s *Shard) dropAttempt(now Instant, a *attempt) {
	if !s.untrackAttempt(now, a) || a.task == nil {
		return
	}
	queuedAt := a.task.queuedAt
	s.rescheduleTask(now, a.task)
	if a.task.queued && !a.startConfirmed() {
		a.task.queuedAt = queuedAt
	}
}

// untrackAttempt removes an attempt and releases its resources. It reports whether the
// attempt was tracked.
func (s *Shard) untrackAttempt(now Instant, a *attempt) bool {
	if !s.removeAttempt(now, a) {
		return false
	}
	s.updateColocation(now, a.worker)
	return true
}

// removeAttempt is untrackAttempt for a caller that updates the worker's colocation itself.
func (s *Shard) removeAttempt(now Instant, a *attempt) bool {
	w := a.worker
	if w.attempts[a.ref] != a {
		return false
	}
	delete(w.attempts, a.ref)
	w.reserved = w.reserved.Sub(a.size)
	if a.task == nil {
		w.orphans--
	}
	if a.isBatch() {
		w.batchAttempts--
		s.batchReserved -= a.size.MilliCPU
	}
	if t := a.task; t != nil {
		t.liveAttempts = slices.DeleteFunc(t.liveAttempts, func(other *attempt) bool { return other == a })
		if j := t.step.job; j.liveAttempts > 0 {
			if j.liveAttempts--; j.liveAttempts == 0 && a.startConfirmed() {
				j.idleSince = now
			}
		}
	}
	return true
}

// rescheduleTask queues a task that has lost an attempt again, unless its job has
// ended.
func (s *Shard) rescheduleTask(now Instant, t *task) {
	t.stoppedAt = now
	if t.step.job.recorded.Final() {
		s.forgetJob(t.step.job)
		return
	}
	if t.step.spec.Gang {
		s.stopGang(now, t.step)
	}
	s.enqueue(now, t)
}
