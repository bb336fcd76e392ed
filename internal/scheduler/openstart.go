package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// A start order without an answer may be carried out until maxOrderDelay after it was sent, by whatever run
// of its worker is up then: a new run knows neither the fencing token nor the stop orders of the run before.
// Until the order is over its task starts on no other worker. On the same worker it may: a run that carries
// the order out has replaced the one in which the task ran.

// StartOverdueAfter is how long a start order may be without an answer until the log tells of it.
const StartOverdueAfter = 150 * time.Millisecond

// unansweredStart are the start orders of an attempt that got no answer. An accepted stop order does not end
// them, since the next run of the worker would not know of that order.
type unansweredStart struct {
	number platform.Attempt
	// run is the worker's run that the last of the orders was meant for.
	run int64
	// sentAt are when the orders were sent that may still be carried out or have been.
	sentAt    []Instant
	expiresAt Instant
	// stopDue is set while the worker's run has yet to accept an order to stop the
	// attempt, which was last issued at stopOrderedAt. stoppedAt is when it was accepted. ended is set if the
	// attempt has ended in that run.
	stopDue                  bool
	stopOrderedAt, stoppedAt Instant
	ended                    bool
	// inherited is set if an earlier owner has sent the orders: a run that has accepted this owner's token
	// refuses them.
	inherited bool
}

// addUnansweredStart records that the last start order of an attempt may still be carried out.
func (s *Shard) addUnansweredStart(a *attempt) {
	w := a.worker
	start := w.unansweredStarts[a.ref]
	if start == nil {
		start = &unansweredStart{}
		s.trackUnansweredStart(w, a.ref, start)
	}
	start.inherited = false
	// To stop the attempt stops the earlier ones as well.
	start.number, start.run = a.number, a.startRun
	start.beginRun()
	if !slices.Contains(start.sentAt, a.startSentAt) {
		start.sentAt = append(start.sentAt, a.startSentAt)
	}
	start.expiresAt = a.startSentAt + maxOrderDelay
	a.startExpiresAt = start.expiresAt
}

func (s *Shard) trackUnansweredStart(w *workerState, ref job.TaskRef, start *unansweredStart) {
	w.unansweredStarts[ref] = start
	s.startsOpenOn[ref] = append(s.startsOpenOn[ref], w)
}

// inheritUnansweredStarts takes over what an earlier owner recorded of start orders without an answer.
func (s *Shard) inheritUnansweredStarts(w *workerState, e job.Enrollment) {
	for _, o := range e.OpenStarts {
		if w.unansweredStarts[o.Task] != nil {
			continue
		}
		expiresAt := e.SeenAt + slowestClock(min(o.Left, s.maxStrayLease())) - s.longestLease()
		s.trackUnansweredStart(w, o.Task, &unansweredStart{
			number: o.Attempt, run: e.Run, sentAt: []Instant{expiresAt - maxOrderDelay}, expiresAt: expiresAt, inherited: true,
		})
	}
}

// maxOpenStarts bounds the start orders without an answer that the record of a worker names.
const maxOpenStarts = 500

// openStarts returns the start orders that keep their tasks from other workers, for later owners. The last ones
// come first, since they hold longest.
func (s *Shard) openStarts(now Instant, w *workerState) []job.OpenStart {
	var list []job.OpenStart
	for ref, start := range w.unansweredStarts {
		if s.binds(now, w, start) {
			list = append(list, job.OpenStart{Task: ref, Attempt: start.number, Left: start.expiresAt + s.longestLease() - now})
		}
	}
	slices.SortFunc(list, func(a, b job.OpenStart) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), strings.Compare(a.Task.String(), b.Task.String()))
	})
	return list[:min(len(list), maxOpenStarts)]
}

// recordRun records again what later owners have to know of a worker's run.
func (s *Shard) recordRun(w *workerState) {
	if w.enrolled {
		s.journal.enroll(w)
	}
}

// StartOverdue records that a start order has had no answer for StartOverdueAfter. If this owner ends now, the next
// one must know of it.
func (s *Shard) StartOverdue(now Instant, action StartAction) {
	a := s.findAttempt(action.Worker, action.Order)
	if a == nil || a.startSentAt != action.sent {
		return
	}
	s.now = max(s.now, now)
	if a.phase == starting {
		s.addUnansweredStart(a)
	}
	if a.worker.unansweredStarts[a.ref] != nil {
		s.recordRun(a.worker)
	}
}

// Stopping records the start orders under way, since this owner will not see their answers.
func (s *Shard) Stopping(now Instant) {
	s.now = max(s.now, now)
	for _, w := range s.workers {
		for _, a := range w.attempts {
			if a.phase == starting && a.startSent {
				s.addUnansweredStart(a)
			}
		}
		if len(w.unansweredStarts) > 0 {
			s.recordRun(w)
		}
	}
}

// forgetOpenStarts records, once no start order keeps a task from other workers, that later owners need not
// regard any.
func (s *Shard) forgetOpenStarts(now Instant, w *workerState) {
	if w.openStartsRecorded && w.enrolled && !w.unresponsive() && len(s.openStarts(now, w)) == 0 {
		w.openStartsRecorded = false
		s.journal.enroll(w)
	}
}

// beginRun records that the worker's present run has done nothing yet that would make it refuse the orders.
func (u *unansweredStart) beginRun() { u.stopDue, u.stoppedAt, u.ended = false, 0, false }

// refused reports whether the present run of the worker refuses the orders and runs nothing that they have
// started.
func (u *unansweredStart) refused(w *workerState) bool {
	return u.ended || u.inherited && w.run != 0 && w.listsRead() || u.stoppedAt != 0 && w.listsRequested > u.stoppedAt
}

// settleStart records that a start order of a task, sent at the time sent, will not be carried out any more.
func (s *Shard) settleStart(w *workerState, ref job.TaskRef, sent Instant) {
	start := w.unansweredStarts[ref]
	if start == nil {
		return
	}
	start.sentAt = slices.DeleteFunc(start.sentAt, func(at Instant) bool { return at == sent })
	if len(start.sentAt) == 0 {
		s.forgetUnansweredStart(w, ref)
	}
}

// startSeen records that an attempt runs on its worker or has ended there. If its order was sent only once, it
// was carried out.
func (s *Shard) startSeen(a *attempt, ended bool) {
	if len(a.worker.unansweredStarts) == 0 {
		return
	}
	if a.startOrders == 1 {
		s.settleStart(a.worker, a.ref, a.startSentAt)
	}
	if start := a.worker.unansweredStarts[a.ref]; ended && start != nil && start.number <= a.number {
		start.stopDue, start.ended = false, true
	}
}

func (s *Shard) forgetUnansweredStart(w *workerState, ref job.TaskRef) {
	delete(w.unansweredStarts, ref)
	s.startsOpenOn[ref] = slices.DeleteFunc(s.startsOpenOn[ref], func(other *workerState) bool { return other == w })
	if len(s.startsOpenOn[ref]) == 0 {
		delete(s.startsOpenOn, ref)
	}
}

// expireUnansweredStarts drops the start orders that cannot be carried out any more, and of which no run is
// left that the worker's lists do not tell.
func (s *Shard) expireUnansweredStarts(now Instant, w *workerState) {
	for ref, start := range w.unansweredStarts {
		if s.startExpired(now, w, start) {
			s.forgetUnansweredStart(w, ref)
		}
	}
}

// startExpired reports whether the orders cannot be carried out any more, and what they may have started is
// listed or has lost its lease.
func (s *Shard) startExpired(now Instant, w *workerState, start *unansweredStart) bool {
	if now < start.expiresAt {
		return false
	}
	if w.listsRead() && w.listsRequested > start.expiresAt {
		return true
	}
	until := start.expiresAt + s.longestLease()
	for _, o := range w.stray.open {
		// An unseen run may carry out this one as well, and its lease is for all that runs there.
		until = max(until, o.sent+s.maxStrayLease())
	}
	return s.confirmedTime(now) >= until
}

// binds reports whether a task may start on no other worker, since the present run or one that follows it may
// carry the orders out. It does not once a later run than that of the orders refuses them: a task whose start may
// have crashed its worker has to start on another one. A worker that leaves as planned has no later run.
func (s *Shard) binds(now Instant, w *workerState, start *unansweredStart) bool {
	if s.startExpired(now, w, start) {
		return false
	}
	return !start.refused(w) || start.run == w.run && !w.info.Draining
}

// isBound reports whether a start order without an answer keeps a task from most workers. Copies of a speculative
// task may run beside each other.
func (s *Shard) isBound(now Instant, t *task) bool {
	return !t.step.spec.Speculative && slices.ContainsFunc(s.startsOpenOn[t.ref()], func(w *workerState) bool {
		return s.binds(now, w, w.unansweredStarts[t.ref()])
	})
}

// mayStartOn reports whether no start order without an answer keeps a task from a worker. On the worker that may
// carry it out the task may start again: it ends with the run that refuses the order.
func (s *Shard) mayStartOn(now Instant, t *task, w *workerState) bool {
	return t.step.spec.Speculative || !slices.ContainsFunc(s.startsOpenOn[t.ref()], func(other *workerState) bool {
		start := other.unansweredStarts[t.ref()]
		return s.binds(now, other, start) && !(other == w && start.refused(w))
	})
}

// stopLostStart makes the worker refuse the start orders of an attempt that was given up, so that its task may
// start there again.
func (w *workerState) stopLostStart(ref job.TaskRef) {
	if start := w.unansweredStarts[ref]; start != nil && start.stoppedAt == 0 && !start.ended {
		start.stopDue = true
	}
}
