package scheduler

import (
	"errors"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// startTries is how often an order to start is sent before it is given up. A
	// worker that leaves orders unanswered mostly answers the next one.
	startTries = 2
	// stopPeriod is the time between two orders to stop an attempt.
	stopPeriod = 300 * time.Millisecond
	// lateOrders is how long an order without an answer may still be carried
	// out: the platform's page on tasks speaks of seconds, its list of troubles
	// of 12.
	lateOrders = 13 * time.Second
)

// StartAnswered takes the answer to an order to start in. err is nil if the
// worker answered.
func (s *Shard) StartAnswered(now Instant, action StartAction, answer fleet.Answer, err error) {
	a := s.attempt(action.Worker, action.Order)
	if a == nil {
		return
	}
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		s.startUnanswered(now, a)
	case err != nil:
		s.startRefused(now, a, false)
	case answer.Verdict == fleet.Accepted:
		a.worker.clock.read(now, answer.Clock)
		if a.phase == starting {
			a.phase, a.settled, a.begun = running, now, now
			s.notes.Started = append(s.notes.Started, StartedNote{
				Task: a.ref, Attempt: a.number, Worker: a.worker.info.ID, Waited: a.ordered - a.task.ready, Answer: now - a.ordered,
			})
		}
	case answer.Verdict == fleet.RefusedOld && a.uncertain:
		// An earlier try was carried out and has ended; the end is listed.
		a.phase, a.settled = running, now
	case a.uncertain:
		s.stop(now, a, reasonUnanswered)
	default:
		a.worker.clock.read(now, answer.Clock)
		if answer.Verdict == fleet.RefusedTicket {
			a.task.step.revoke(a.worker)
		}
		s.startRefused(now, a, answer.Verdict == fleet.RefusedUnhealthy)
	}
}

// attempt returns the attempt that an order to start belongs to, if it is in the
// books.
func (s *Shard) attempt(w fleet.Worker, o fleet.StartOrder) *attempt {
	state, ok := s.workers[w.ID]
	if !ok {
		return nil
	}
	a := state.attempts[o.Task]
	if a == nil || a.number != o.Attempt {
		return nil
	}
	return a
}

// startUnanswered repeats an order to start, which is harmless, or stops the
// attempt so that a late execution is refused.
func (s *Shard) startUnanswered(now Instant, a *attempt) {
	a.uncertain = true
	a.worker.doubt(now, a)
	if a.phase != starting {
		return
	}
	a.tries++
	if a.tries < startTries {
		s.pending.Starts = append(s.pending.Starts, s.startAction(now, a))
		return
	}
	s.stop(now, a, reasonUnanswered)
}

// startAction returns the order to start an attempt.
func (s *Shard) startAction(now Instant, a *attempt) StartAction {
	return StartAction{
		Worker: a.worker.info,
		Order: fleet.StartOrder{
			Task: a.ref, Attempt: a.number, Payload: a.task.step.job.sub.Spec.Payload,
			LeaseEnd: a.worker.clock.lease(now, s.leaseLength()), Token: s.epoch,
			Checkpoint: a.checkpoint, Ticket: a.ticket,
		},
	}
}

// startRefused drops an attempt that surely does not run.
func (s *Shard) startRefused(now Instant, a *attempt, unhealthy bool) {
	if a.uncertain {
		s.stop(now, a, reasonUnanswered)
		return
	}
	if unhealthy {
		a.worker.health.setAside(now)
		s.noteAside(now, a.worker, "refuses tasks")
	}
	s.drop(now, a)
}

// Reasons for which running tasks are stopped.
const (
	reasonJobOver    = "job over"
	reasonDone       = "done by another attempt"
	reasonGangBroken = "gang broken"
	reasonHarm       = "takes a serving task's headroom"
	reasonUnanswered = "start not answered"
	reasonUnwanted   = "not to run"
	reasonStalled    = "stands still"
	reasonLeaving    = "worker leaves"
)

// lose gives an attempt up without a word of its worker.
func (s *Shard) lose(now Instant, a *attempt, reason string) {
	s.notes.Lost = append(s.notes.Lost, LostNote{
		Task: a.ref, Attempt: a.number, Worker: a.worker.info.ID, Reason: reason, Silent: now - a.worker.answered,
	})
	s.drop(now, a)
}

// stop orders an attempt to end. Its room stays reserved until its end is known.
func (s *Shard) stop(now Instant, a *attempt, reason string) {
	if a.phase == stopping || a.phase == stopped {
		return
	}
	if a.phase == starting {
		a.uncertain = true
		a.worker.doubt(now, a)
	}
	a.phase, a.ordered = stopping, now
	s.notes.Moved = append(s.notes.Moved, MovedNote{Task: a.ref, Attempt: a.number, Worker: a.worker.info.ID, Reason: reason})
	s.orderStop(a.worker, a.ref, a.number)
}

func (s *Shard) orderStop(w *workerState, ref job.TaskRef, number platform.Attempt) {
	s.pending.Stops = append(s.pending.Stops, StopAction{
		Worker: w.info,
		Order:  fleet.StopOrder{Task: ref, Attempt: number, Token: s.epoch},
	})
}

// StopAnswered takes the answer to an order to stop in. An order without an
// answer is repeated while the attempt is in the books.
func (s *Shard) StopAnswered(now Instant, action StopAction, answer fleet.Answer, err error) {
	state, ok := s.workers[action.Worker.ID]
	if !ok || err != nil || answer.Verdict != fleet.Accepted {
		return
	}
	state.clock.read(now, answer.Clock)
	if d, ok := state.doubts[action.Order.Task]; ok && d.number <= action.Order.Attempt {
		delete(state.doubts, action.Order.Task)
	}
	a := state.attempts[action.Order.Task]
	if a != nil && a.number == action.Order.Attempt && a.phase == stopping {
		a.phase, a.settled = stopped, now
	}
}

// repeatStops orders once more what was not answered in time.
func (s *Shard) repeatStops(now Instant, w *workerState) {
	for _, a := range w.attempts {
		if a.phase == stopping && now >= a.ordered+stopPeriod {
			a.ordered = now
			s.orderStop(w, a.ref, a.number)
		}
	}
}

// doubt notes that an order to start may still be carried out.
func (w *workerState) doubt(now Instant, a *attempt) {
	w.doubts[a.ref] = doubt{number: a.number, until: now + lateOrders}
}

// forgetDoubts drops the orders that cannot be carried out any more.
func (w *workerState) forgetDoubts(now Instant) {
	for ref, d := range w.doubts {
		if now >= d.until {
			delete(w.doubts, ref)
		}
	}
}

// doubt is an order to start that had no answer.
type doubt struct {
	number platform.Attempt
	until  Instant
}
