package scheduler

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
)

// An order that is under way while its worker restarts may be carried out by the next run, which has
// forgotten the fencing token. Its lease end is a time on the clock of the run before, so for the next
// run it is far ahead, and the lease is the longest that workers grant. Such a lease is a stray one. The
// owner knows of which of its orders it may come; a predecessor's orders may give one until the run
// has accepted this owner's token.

// leaseOrder is an order with a lease end that has no answer.
type leaseOrder struct {
	sent Instant
	// run is the worker's run that the order was meant for.
	run int64
}

// strayLeases tracks the leases on a worker that are not meant for its present run.
type strayLeases struct {
	// open are the orders that may still be carried out, or may have been by a later run.
	open []leaseOrder
	// unprovenAt is when an answer arrived last of which it is not known whether the present run has
	// carried out the order or one that has begun since, or zero.
	unprovenAt Instant
	// endAt is when the stray leases are over at the latest that orders without an open answer
	// have given, or zero.
	endAt Instant
	// recorded is set while the log tells of stray leases.
	recorded bool
}

// maxStrayLease is how long a lease may last after its order was sent if the worker has restarted
// since: the order may be carried out late, and its lease end, on the clock of the run before, may
// be so far ahead for the new run that the lease is the longest one.
func (s *Shard) maxStrayLease() time.Duration { return maxOrderDelay + s.longestLease() }

// longestLease is how long the longest lease that workers grant may take.
func (s *Shard) longestLease() time.Duration { return slowestClock(s.bounds.MaxLease) }

// slowestClock returns how long a time d on the slowest clock may take.
func slowestClock(d time.Duration) time.Duration { return d*100/98 + leaseExpiryMargin }

// grantLease returns the lease end to request of the worker's present run for a lease of the
// given length from now.
func (s *Shard) grantLease(now Instant, w *workerState, length time.Duration) platform.WorkerTime {
	w.stray.open = slices.DeleteFunc(w.stray.open, func(o leaseOrder) bool { return now >= o.sent+s.maxStrayLease() })
	w.stray.open = append(w.stray.open, leaseOrder{sent: now, run: w.run})
	return w.clock.extendLease(now, length)
}

// settle forgets an order, sent at the time sent, that will not be carried out any more. It reports
// false if the order granted no lease.
func (l *strayLeases) settle(sent Instant) (leaseOrder, bool) {
	i := slices.IndexFunc(l.open, func(o leaseOrder) bool { return o.sent == sent })
	if i < 0 {
		return leaseOrder{}, false
	}
	o := l.open[i]
	l.open = slices.Delete(l.open, i, i+1)
	return o, true
}

// renewalAnswered records the answer of a run to a renew order sent at the time sent.
func (s *Shard) renewalAnswered(now, sent Instant, w *workerState, run int64) {
	switch o, granted := w.stray.settle(sent); {
	case !granted:
	case run == 0:
		w.stray.unprovenAt = now
	case o.run != run:
		w.stray.endAt = max(w.stray.endAt, now+s.longestLease())
	case run == w.run:
		w.leasedAt = max(w.leasedAt, sent)
	}
}

// startLeaseAnswered records the outcome of a start order for the lease that it grants. The answer does
// not name the run that has given it, but a run that has begun since the present one last read its lists
// has a clock that shows no more than the time since then.
func (s *Shard) startLeaseAnswered(now Instant, w *workerState, action StartAction, answer fleet.Answer, err error) {
	o, granted := w.stray.settle(action.sent)
	if !granted || err != nil || !mayGrantLease(answer.Verdict) {
		return
	}
	switch {
	case o.run != w.run:
		w.stray.endAt = max(w.stray.endAt, now+s.longestLease())
	case !w.listsRead() || answer.Clock <= platform.WorkerTime(now-w.listsReadAt):
		w.stray.unprovenAt = now
		s.notes.Unproven = append(s.notes.Unproven, UnprovenNote{
			Task: action.Order.Task, Attempt: action.Order.Attempt, Worker: w.info.ID, Verdict: answer.Verdict,
			Clock: time.Duration(answer.Clock), ListsAge: now - w.listsReadAt,
		})
		s.recordRun(w)
		w.contactedAt = 0
	case answer.Verdict == fleet.Accepted:
		w.leasedAt = max(w.leasedAt, action.sent)
		w.contacted(now, action.sent)
	}
}

// mayGrantLease reports whether a start order may have granted its lease although it was refused.
func mayGrantLease(v fleet.Verdict) bool {
	switch v {
	case fleet.RefusedFenced, fleet.RefusedOtherRun, fleet.RefusedUnhealthy:
		return false
	}
	return true
}

// prove records that the worker's present run has read its lists after the time at: the orders that
// were answered before were carried out by it or by an earlier run.
func (l *strayLeases) prove(at Instant) {
	if at > l.unprovenAt {
		l.unprovenAt = 0
	}
}

// strayOnRestart records the leases that answered orders may have given the worker's next run. Open
// orders count as stray from now on.
func (s *Shard) strayOnRestart(w *workerState) {
	w.stray.endAt = max(w.stray.endAt, s.unprovenUntil(w))
	w.stray.unprovenAt, w.leasedAt = 0, 0
}

// unprovenUntil returns when the leases are over that orders without a proven run have given, or zero.
func (s *Shard) unprovenUntil(w *workerState) Instant {
	if w.stray.unprovenAt == 0 {
		return 0
	}
	return w.stray.unprovenAt + s.longestLease()
}

// strayUntil returns when the stray leases on the worker's present run are over at the latest, or a
// time before now.
func (s *Shard) strayUntil(w *workerState) Instant {
	until := w.stray.endAt
	for _, o := range w.stray.open {
		if o.run != w.run {
			until = max(until, o.sent+s.maxStrayLease())
		}
	}
	return until
}

// strayLeft returns for how long leases may last on the worker that are not counted on its present
// run's clock.
func (s *Shard) strayLeft(now Instant, w *workerState) time.Duration {
	return max(0, s.strayUntil(w)-now, s.unprovenUntil(w)-now)
}

// strayOver reports whether no order for an earlier run of the worker can give a lease any more or
// has given one that lasts, also if the worker has restarted since it last answered.
func (s *Shard) strayOver(now Instant, w *workerState) bool {
	return now >= s.strayUntil(w) && !slices.ContainsFunc(w.stray.open, func(o leaseOrder) bool { return now < o.sent+maxOrderDelay })
}

// leasesExpireAt returns when everything that runs on the worker has lost its lease at the latest.
func (s *Shard) leasesExpireAt(w *workerState) Instant {
	return max(w.clock.leasesExpireAt(), s.strayUntil(w), s.unprovenUntil(w))
}

// forgetStrayLeases records, once the stray leases on a worker are over, that later owners need not
// wait for them.
func (s *Shard) forgetStrayLeases(now Instant, w *workerState) {
	if w.stray.recorded && w.enrolled && s.strayLeft(now, w) == 0 && !w.unresponsive() {
		w.stray.recorded = false
		s.journal.enroll(w)
	}
}

// predecessorsMayOrder reports whether orders of earlier owners may still be carried out.
func (s *Shard) predecessorsMayOrder(now Instant) bool {
	recorded := s.takeover.claimRecordedAt
	return s.claim > 1 && (recorded == 0 || now < recorded+AuthorityBound+maxOrderDelay)
}
