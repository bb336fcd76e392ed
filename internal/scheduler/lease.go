package scheduler

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
)

const (
	// leaseLength is how long tasks keep running without their owner. It covers the
	// loss of an owner: 1.3 s until its partitions are reassigned, 1 s to read the log
	// and the workers' lists, and the age of the last renewal.
	leaseLength = 5 * time.Second
	// maxRenewWait is how long a worker may wait for an end before it answers a renew
	// order. It also bounds the age of the last renewal.
	maxRenewWait = 1200 * time.Millisecond
	// enrollRenewWait applies until the worker's enrollment is in the log and open, which takes
	// about 50 ms; its leases can be extended only then.
	enrollRenewWait = 250 * time.Millisecond
	// absenceRenewWait applies until a new run of the worker has accepted the orders to stop
	// attempts that may have been started late.
	absenceRenewWait = 250 * time.Millisecond
	// measureRenewWait applies to workers on which fillers run beside serving tasks:
	// latency measurements come with their answers.
	measureRenewWait = 600 * time.Millisecond
	// harmRenewWait applies to workers on which fillers may keep a serving task over its
	// target: they are halted on a measurement.
	harmRenewWait = 300 * time.Millisecond
	// quorumRenewWait applies while leases depend on when a quorum of the workers has answered.
	quorumRenewWait = 600 * time.Millisecond
	// leaseRenewAge is the age of the last lease order at which the next one is due. A pause between
	// orders and the time for an unanswered one come on top.
	leaseRenewAge = maxRenewWait
	// minRenewWait is the shortest wait for which an order is sent that grants no lease.
	minRenewWait = 200 * time.Millisecond
	// listsValidity is for how long after it has read its lists a worker counts as the same
	// run. A restart may be quicker: strayLeases accounts for what reaches the
	// next run meanwhile. While the owner may not act it sends no renew orders, so none goes
	// unanswered that would tell of a restart.
	listsValidity = time.Second
	// renewAnswerTime is how long the answer to a renew order may take in addition to the
	// wait that it allows, until its absence may be due to a restart.
	renewAnswerTime = 500 * time.Millisecond
	// maxListsLag is how far before their arrival lists may have been read until the next
	// renew order has no wait: how old the answer to that is does not depend on the rate of
	// the worker's clock.
	maxListsLag = 500 * time.Millisecond
	// leaseExpiryMargin covers the time between reading the clock and using the
	// reading.
	leaseExpiryMargin = 100 * time.Millisecond
)

// RenewOrder returns the next order that renews the leases of a worker or waits for its next end, and
// requests its lists. An order that waits grants no lease: one that is under way while the worker
// restarts would have to be taken for carried out by the next run. No lease is granted while the worker's
// clock is not known, while its enrollment is not in the log or closed, while it may have
// restarted, and while it is unresponsive: if each retry requested longer leases, they would never be
// known to have expired.
func (s *Shard) RenewOrder(now Instant, id platform.WorkerID) (fleet.Worker, fleet.RenewOrder, bool) {
	w, ok := s.workers[id]
	if !ok {
		return fleet.Worker{}, fleet.RenewOrder{}, false
	}
	o := fleet.RenewOrder{Token: s.epoch}
	w.renewOrderedAt, w.renewOrderedRun = now, w.run
	sameRun := !w.runDoubtful(now)
	if sameRun {
		// A new run numbers its ends anew.
		o.Acknowledged = w.ended.acknowledgeable(s.journal.lastRecorded)
		w.ended.sent = o.Acknowledged
	}
	if w.clock.known && sameRun {
		o.Wait = s.renewWait(w)
		if length := s.grantableLease(now); w.leasable() && length > 0 {
			if left := w.leasedAt + leaseRenewAge - now; left < minRenewWait || o.Wait == 0 {
				o.LeaseEnd, o.Wait = s.grantLease(now, w, length), 0
			} else {
				o.Wait = min(o.Wait, left)
			}
		}
	}
	w.renewalDue = 0
	if sameRun {
		w.renewalDue = now + o.Wait + renewAnswerTime
	}
	return w.info, o, true
}

// leasable reports whether this owner may extend leases in the worker's present run: the log names that run, so that
// a later owner knows of the restart.
func (w *workerState) leasable() bool { return w.enrolled && w.recordedRun == w.run && !w.closed }

// Leased reports whether this owner has extended the leases of a worker's present run and may go on.
func (s *Shard) Leased(id platform.WorkerID) bool {
	w, ok := s.workers[id]
	return ok && w.leasable() && w.leasedAt != 0
}

// FirstLeaseDue reports whether the next renew order to a worker may be the one that grants the present
// run its first lease.
func (s *Shard) FirstLeaseDue(id platform.WorkerID) bool {
	w, ok := s.workers[id]
	return ok && w.leasable() && w.leasedAt == 0
}

// RenewalCurrent reports whether a renew order from RenewOrder may still be sent. It must not
// if the worker may have restarted since: a new run would take the lease end for one on its own
// clock, and forget ends that it has not listed. The order is then withdrawn.
func (s *Shard) RenewalCurrent(now Instant, id platform.WorkerID, o fleet.RenewOrder) bool {
	w, ok := s.workers[id]
	if !ok || o.LeaseEnd == 0 && o.Acknowledged == 0 {
		return ok
	}
	if w.run != w.renewOrderedRun || w.runDoubtful(now) {
		s.RenewalWithheld(id)
		return false
	}
	return true
}

// RenewalWithheld records that the last renew order to a worker was not sent, or is certain not to
// be carried out.
func (s *Shard) RenewalWithheld(id platform.WorkerID) {
	if w, ok := s.workers[id]; ok {
		w.renewalDue = 0
		w.stray.settle(w.renewOrderedAt)
	}
}

// setListsRead records that a worker's lists, requested at the time sent, arrived at now. They
// may have waited on the way or, while this process was suspended, in its buffers. The
// worker's clock, which is never fast, tells how long after the lists before they were read.
func (w *workerState) setListsRead(now, sent Instant, clock platform.WorkerTime) {
	readAt := sent
	if w.listsRun == w.run && w.listsClock != 0 && clock > w.listsClock {
		readAt = max(readAt, w.listsReadAt+Instant(clock-w.listsClock))
	}
	w.listsReadAt, w.listsClock = min(now, readAt), clock
	w.listsReceived, w.listsRequested, w.listsRun = now, sent, w.run
	w.renewalDue = 0
	w.contactedAt = max(w.contactedAt, w.listsReadAt)
	if w.listsReadAt > w.doubtedAt {
		w.doubtedAt = 0
	}
}

// RenewsAtOnce reports whether the next renew order to a worker has no wait: the worker
// then returns its lists immediately.
func (s *Shard) RenewsAtOnce(now Instant, id platform.WorkerID) bool {
	w, ok := s.workers[id]
	return ok && (!w.clock.known || w.runDoubtful(now) || s.renewWait(w) == 0)
}

// mayHaveRestarted reports whether a worker may have restarted since it read its latest
// lists.
func (w *workerState) mayHaveRestarted(now Instant) bool {
	return w.unresponsive() || w.doubtedAt != 0 || now > w.listsReadAt+listsValidity
}

// runDoubtful reports whether the worker may be in a later run than that of its latest lists, so that it gets neither
// a lease nor an acknowledgement.
func (w *workerState) runDoubtful(now Instant) bool {
	return w.mayHaveRestarted(now) || w.stray.unprovenAt != 0
}

// runCertain reports whether a worker is probably in the run that its latest lists are of, so
// that a lease end may be given on its clock. While the answer to a renewal is awaited that was
// sent to this run, a restart has usually broken the connection. What a later run gets all the same
// is accounted for once the restart is known.
func (w *workerState) runCertain(now Instant) bool {
	return !w.unresponsive() && w.doubtedAt == 0 && (now <= w.renewalDue || !w.mayHaveRestarted(now))
}

// listsRead reports whether the lists of the worker's present run were read. The clock of a
// new run may be known earlier, from the answer to a stop order.
func (w *workerState) listsRead() bool { return w.listsRun == w.run }

// renewWait returns how long a worker may wait for an end before it answers.
func (s *Shard) renewWait(w *workerState) time.Duration {
	switch {
	case !w.listsRead() || w.absenceDue() || w.listsLag() > maxListsLag:
		return 0
	case !w.leasable():
		return enrollRenewWait
	case w.absenceAwaited():
		return absenceRenewWait
	case w.mayHarm():
		return harmRenewWait
	case len(w.colocation.serving) > 0 && len(w.colocation.fillers) > 0:
		return measureRenewWait
	case s.confirmationStale(s.now):
		return quorumRenewWait
	}
	return maxRenewWait
}

// listsLag returns how much earlier than they arrived the worker may have read its lists, or
// zero if they were read no earlier than requested.
func (w *workerState) listsLag() time.Duration {
	if w.listsReadAt == w.listsRequested {
		return 0
	}
	return w.listsReceived - w.listsReadAt
}

// absenceAwaited reports whether the worker has restarted and is to stop an attempt that it
// may not have started. It then has no end to list: only lists without the attempt tell that
// the task may start elsewhere.
func (w *workerState) absenceAwaited() bool {
	for _, a := range w.attempts {
		if a.phase == stopping && a.mayNotHaveStarted() {
			return true
		}
	}
	return false
}

// absenceDue reports whether the worker has accepted the order to stop such an attempt since
// its last lists were requested, so that the next lists tell.
func (w *workerState) absenceDue() bool {
	for _, a := range w.attempts {
		if a.phase == stopped && a.mayNotHaveStarted() && a.confirmedAt >= w.listsRequested {
			return true
		}
	}
	return false
}

// relaxedRenewPause is the pause before the next renew order to a worker whose next end
// is not urgent. Each call has a cost, and one call reports all ends within the pause.
const relaxedRenewPause = 350 * time.Millisecond

// RenewPause returns how long to wait before the next renew order: nothing while tasks
// wait for a worker, while the worker's list of ends goes on, or if the worker runs batch
// tasks with reserved CPU, whose jobs are urgent.
func (s *Shard) RenewPause(id platform.WorkerID) time.Duration {
	w, ok := s.workers[id]
	if !ok || w.unresponsive() || w.ended.goesOn || s.waiting.hasTasks() || w.absenceAwaited() || w.absenceDue() || w.onTrial(s.now) || w.mayHarm() || s.confirmationStale(s.now) {
		return 0
	}
	for _, a := range w.attempts {
		if a.task != nil && !a.task.step.spec.Fills && !a.task.step.spec.LongRunning {
			return 0
		}
	}
	return relaxedRenewPause
}

// Unacknowledged reports whether a worker has ends that cannot be acknowledged yet. While
// there are any it answers renew orders immediately.
func (s *Shard) Unacknowledged(id platform.WorkerID) bool {
	w, ok := s.workers[id]
	return ok && len(w.ended.pending) > 0 && w.ended.pending[0].change > s.journal.lastRecorded
}

// leaseLength returns the length of the leases that the owner requests.
func (s *Shard) leaseLength() time.Duration { return min(leaseLength, s.bounds.MaxLease) }

// RenewFailed records that a worker did not answer a renew order sent at the time sent.
// Once all its leases have expired nothing runs there any more. An order that was sent before
// the worker's present run was seen says nothing of that run.
func (s *Shard) RenewFailed(now, sent Instant, id platform.WorkerID) {
	w, ok := s.workers[id]
	if !ok || sent < w.runSeenAt {
		return
	}
	w.renewalDue = 0
	if w.unresponsiveSince == 0 {
		w.unresponsiveSince = sent
		s.recordLoss(w)
	}
	s.closeSilent(now, w)
}

// unresponsive reports whether the last renew order went unanswered; the worker then
// gets no new tasks.
func (w *workerState) unresponsive() bool { return w.unresponsiveSince != 0 }

// expireLeases drops the attempts of unresponsive workers whose leases have expired.
// An attempt that an unanswered order starts late is stopped once the worker answers.
func (s *Shard) expireLeases(now Instant) {
	s.expireLostRuns(now)
	for _, w := range s.workers {
		s.expireUnansweredStarts(now, w)
		if !w.registered && s.idle(now, w) && s.strayOver(now, w) {
			s.forgetWorker(w)
			continue
		}
		s.dismissSilent(now, w)
		s.forgetStrayLeases(now, w)
		s.forgetOpenStarts(now, w)
		if !w.unresponsive() || w.clock.readAt == 0 || s.confirmedTime(now) < s.leasesExpireAt(w)+leaseExpiryMargin {
			continue
		}
		w.closeRun()
		w.earlierEndsAt = 0
		for _, a := range w.attempts {
			s.loseAttempt(now, a, "lease over")
		}
		if !w.registered && s.strayOver(now, w) && len(w.unansweredStarts) == 0 {
			s.forgetWorker(w)
		}
	}
}

// idle reports whether nothing can be running on a worker, no order under way can start
// anything there, and no end there is unrecorded since its job is unknown.
func (s *Shard) idle(now Instant, w *workerState) bool {
	return s.attemptsKnown(now, w) && len(s.mayRun(w)) == 0
}
