package scheduler

import (
	"errors"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// maxStartTries is how often a start order is sent before it is given up. A worker
	// that left an order unanswered usually answers the next one.
	maxStartTries = 2
	// stopRepeatInterval is the time between two stop orders for an attempt.
	stopRepeatInterval = 300 * time.Millisecond
	// maxOrderDelay is how long an unanswered order may still be carried out: the
	// platform's specification of tasks says seconds, its list of faults 12.
	maxOrderDelay = 13 * time.Second
)

// BeginStart returns the order to send for a start action now, with a lease that counts
// from now. It reports false if the order must not be sent because the attempt is not
// to start any more; the action is then settled and StartAnswered must not be called.
func (s *Shard) BeginStart(now Instant, action StartAction) (StartAction, bool) {
	a := s.findAttempt(action.Worker, action.Order)
	switch {
	case a == nil:
		return StartAction{}, false
	case a.phase == withdrawn:
		s.dropAttempt(now, a)
		return StartAction{}, false
	case a.phase != starting:
		return StartAction{}, false
	case !a.worker.clock.known:
		// The worker has restarted since the plan. Without its clock no lease end can
		// be given.
		s.handleRefusedStart(now, a)
		return StartAction{}, false
	case !a.worker.runCertain(now):
		// The lease end would be taken for one on the clock of a new run, and the task
		// would outlive the lease that this and later owners wait for.
		s.handleRefusedStart(now, a)
		return StartAction{}, false
	case !a.worker.leasable() || a.worker.evacuated || s.grantableLease(now) <= 0:
		s.handleRefusedStart(now, a)
		return StartAction{}, false
	case a.worker.entryOutdated() || a.worker.overcommitted() || !s.startsAllowed(now):
		// The worker has restarted or shrunk since the plan, or may have.
		s.handleRefusedStart(now, a)
		return StartAction{}, false
	}
	if !a.startSent {
		a.run, a.unendedAt = a.worker.run, now
	}
	action.Worker, action.Run, action.Repeated = a.worker.info, a.worker.run, a.startSent
	a.orderedAt, a.startSent, a.startSentAt, a.startRun = now, true, now, a.worker.run
	a.startOrders++
	action.Order.LeaseEnd, action.sent = s.grantLease(now, a.worker, s.grantableLease(now)), now
	action.RunAge = now - a.worker.listsReadAt
	return action, true
}

// StartCurrent reports whether a start order from BeginStart may still be sent: its worker
// has not restarted as far as is known and has answered not long ago, and its failure domain is not evacuated.
func (s *Shard) StartCurrent(now Instant, action StartAction) bool {
	w, ok := s.workers[action.Worker.ID]
	return ok && w.run == action.Run && w.runCertain(now) && now <= w.contactedAt+ContactTimeout && !w.evacuated
}

// ErrWithheld is the error of an order that was not sent because the owner may not act, or
// because the worker may have restarted or must get no new tasks any more.
var ErrWithheld = errors.New("order withheld: the owner or the run of the worker is not certain, or its domain is evacuated")

// StartAnswered handles the answer to a start order. err is nil if the worker answered.
func (s *Shard) StartAnswered(now Instant, action StartAction, answer fleet.Answer, err error) {
	if w, ok := s.workers[action.Worker.ID]; ok && !errors.Is(err, platform.ErrOutcomeUnknown) {
		s.startLeaseAnswered(now, w, action, answer, err)
		s.settleStart(w, action.Order.Task, action.sent)
	}
	a := s.findAttempt(action.Worker, action.Order)
	if a == nil {
		if !action.Repeated && notCarriedOut(answer, err) {
			s.dismissCrash(now, action)
		}
		return
	}
	if err == nil && action.Run == a.worker.run && answer.Verdict != fleet.RefusedOtherRun {
		a.worker.heardAt = now
	}
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		s.handleUnansweredStart(now, a)
	case errors.Is(err, ErrWithheld):
		s.handleRefusedStart(now, a)
	case err != nil:
		s.noteRefusedStart(now, a, false)
		s.handleRefusedStart(now, a)
	case answer.Verdict == fleet.Accepted:
		a.worker.updateClock(now, action.Run, answer.Clock)
		a.worker.health.recordAcceptance()
		a.task.refusals = 0
		if a.phase == starting {
			a.phase, a.confirmedAt, a.startedAt = running, now, now
			s.markStarted(a.task.step.job)
			a.task.step.job.stats.addStart(a.orderedAt - a.task.queuedAt)
			s.notes.Started = append(s.notes.Started, StartedNote{
				Task: a.ref, Attempt: a.number, Worker: a.worker.info.ID, Waited: a.orderedAt - a.task.queuedAt, Answer: now - a.orderedAt,
			})
		}
	case answer.Verdict == fleet.RefusedEnded && a.startUncertain:
		// An earlier try was carried out and the attempt has ended; its end is listed.
		a.phase, a.confirmedAt = running, now
	case a.startUncertain:
		s.stopAttempt(now, a, reasonUnanswered)
	default:
		a.worker.updateClock(now, action.Run, answer.Clock)
		if answer.Verdict == fleet.RefusedTicket {
			a.task.step.discardTicket(a.worker)
		}
		s.noteRefusedStart(now, a, answer.Verdict == fleet.RefusedUnhealthy)
		s.handleRefusedStart(now, a)
	}
}

// notCarriedOut reports whether an order to start an attempt that was sent once certainly
// had no effect.
func notCarriedOut(answer fleet.Answer, err error) bool {
	if err != nil {
		return !errors.Is(err, platform.ErrOutcomeUnknown)
	}
	return answer.Verdict != fleet.Accepted && answer.Verdict != fleet.RefusedEnded
}

// noteRefusedStart records that a worker has refused a start order or that the order did
// not reach it.
func (s *Shard) noteRefusedStart(now Instant, a *attempt, unhealthy bool) {
	a.task.refusals++
	if !unhealthy && a.task.refusals > maxRefusals {
		// The task is refused wherever it goes, which says nothing of the workers.
		a.task.retryAt = now + refusedRetryDelay
		return
	}
	if a.worker.health.recordRefusal(now, a.orderedAt, unhealthy) {
		s.noteSetAside(now, a.worker, "refuses tasks")
	}
}

// findAttempt returns the tracked attempt that a start order belongs to, or nil.
func (s *Shard) findAttempt(w fleet.Worker, o fleet.StartOrder) *attempt {
	worker, ok := s.workers[w.ID]
	if !ok {
		return nil
	}
	a := worker.attempts[o.Task]
	if a == nil || a.number != o.Attempt {
		return nil
	}
	return a
}

// handleUnansweredStart repeats a start order, which is idempotent, or stops the
// attempt so that a late execution is refused.
func (s *Shard) handleUnansweredStart(now Instant, a *attempt) {
	a.startUncertain = true
	a.worker.contactedAt = 0
	s.addUnansweredStart(a)
	s.recordRun(a.worker)
	if a.phase != starting {
		return
	}
	a.startTries++
	if a.startTries < maxStartTries && !a.worker.evacuated {
		s.pending.Starts = append(s.pending.Starts, s.startAction(a))
		return
	}
	s.stopAttempt(now, a, reasonUnanswered)
}

// startAction returns the start order of an attempt. BeginStart adds the lease.
func (s *Shard) startAction(a *attempt) StartAction {
	return StartAction{
		Worker: a.worker.info,
		Order: fleet.StartOrder{
			Task: a.ref, Attempt: a.number, Payload: a.task.step.job.sub.Spec.Payload,
			Token: s.epoch, Checkpoint: a.checkpoint, Ticket: a.ticket,
		},
	}
}

// handleRefusedStart drops an attempt whose start order was refused, unless an earlier
// try of the order may still be carried out; it is then stopped.
func (s *Shard) handleRefusedStart(now Instant, a *attempt) {
	if a.startUncertain {
		s.stopAttempt(now, a, reasonUnanswered)
		return
	}
	a.worker.stopLostStart(a.ref)
	s.dropAttempt(now, a)
}

// Reasons for stopping running tasks.
const (
	reasonJobOver      = "job over"
	reasonDone         = "done by another attempt"
	reasonGangBroken   = "gang broken"
	reasonInterference = "takes a serving task's headroom"
	reasonUnanswered   = "start not answered"
	reasonUnwanted     = "not to run"
	reasonStalled      = "stands still"
	reasonDraining     = "worker leaves"
)

// loseAttempt gives an attempt up without confirmation from its worker.
func (s *Shard) loseAttempt(now Instant, a *attempt, reason string) {
	s.notes.Lost = append(s.notes.Lost, LostNote{
		Task: a.ref, Attempt: a.number, Worker: a.worker.info.ID, Reason: reason, Silent: now - a.worker.listsReceived,
	})
	a.worker.stopLostStart(a.ref)
	s.dropAttempt(now, a)
	s.suspectCrash(now, a)
}

// stopAttempt orders an attempt to stop. Its resources stay reserved until its end is
// known. An attempt whose start order was not sent is only withdrawn.
func (s *Shard) stopAttempt(now Instant, a *attempt, reason string) {
	switch {
	case a.phase == stopping || a.phase == stopped || a.phase == withdrawn:
		return
	case a.phase == starting && !a.startSent:
		a.phase = withdrawn
		return
	case a.phase == starting:
		a.startUncertain = true
		s.addUnansweredStart(a)
	}
	a.phase, a.orderedAt = stopping, now
	s.notes.Stopped = append(s.notes.Stopped, StoppedNote{Task: a.ref, Attempt: a.number, Worker: a.worker.info.ID, Reason: reason})
	s.ensureStop(a.worker, a.ref, a.number)
}

// stopKey identifies an attempt that is ordered to stop.
type stopKey struct {
	worker platform.WorkerID
	task   job.TaskRef
	number platform.Attempt
}

// ensureStop issues a stop order unless one is in flight.
func (s *Shard) ensureStop(w *workerState, ref job.TaskRef, number platform.Attempt) {
	if s.stopsInFlight[stopKey{w.info.ID, ref, number}] == 0 {
		s.issueStop(w, ref, number)
	}
}

func (s *Shard) issueStop(w *workerState, ref job.TaskRef, number platform.Attempt) {
	s.stopsInFlight[stopKey{w.info.ID, ref, number}]++
	j, known := s.jobs[ref.Job]
	s.pending.Stops = append(s.pending.Stops, StopAction{
		Worker: w.info, Run: w.run,
		Order:    fleet.StopOrder{Task: ref, Attempt: number, Token: s.epoch},
		Promised: !known || j.ended(),
	})
}

// StopAnswered handles the outcome of a stop order; it must be called for each, also if
// the order was not sent. An unanswered order is repeated while the attempt is tracked.
func (s *Shard) StopAnswered(now Instant, action StopAction, answer fleet.Answer, err error) {
	key := stopKey{action.Worker.ID, action.Order.Task, action.Order.Attempt}
	if s.stopsInFlight[key]--; s.stopsInFlight[key] <= 0 {
		delete(s.stopsInFlight, key)
	}
	worker, ok := s.workers[action.Worker.ID]
	if !ok {
		return
	}
	a := worker.attempts[action.Order.Task]
	if a != nil && (a.number != action.Order.Attempt || a.phase != stopping) {
		a = nil
	}
	if err != nil || answer.Verdict != fleet.Accepted || action.Run != worker.run {
		// A new run does not know of the orders that an earlier one accepted.
		if a != nil {
			worker.unansweredStops = append(worker.unansweredStops, a)
		}
		return
	}
	worker.clock.update(now, answer.Clock)
	if start := worker.unansweredStarts[action.Order.Task]; start != nil && start.number <= action.Order.Attempt {
		start.stopDue, start.stoppedAt = false, now
	}
	if a != nil {
		a.phase, a.confirmedAt = stopped, now
	}
}

// repeatStops repeats the stop orders that were not answered. While the order before is
// in flight a repeat would only add to what delays it.
func (s *Shard) repeatStops(now Instant, w *workerState) {
	w.unansweredStops = slices.DeleteFunc(w.unansweredStops, func(a *attempt) bool {
		if w.attempts[a.ref] != a || a.phase != stopping || s.stopsInFlight[stopKey{w.info.ID, a.ref, a.number}] != 0 {
			return true
		}
		if now < a.orderedAt+stopRepeatInterval {
			return false
		}
		a.orderedAt = now
		s.issueStop(w, a.ref, a.number)
		return true
	})
	for ref, start := range w.unansweredStarts {
		if !start.stopDue || w.unresponsive() || now < start.stopOrderedAt+stopRepeatInterval {
			continue
		}
		if s.stopsInFlight[stopKey{w.info.ID, ref, start.number}] == 0 {
			start.stopOrderedAt = now
			s.issueStop(w, ref, start.number)
		}
	}
}
