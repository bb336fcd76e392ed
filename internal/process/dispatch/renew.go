package dispatch

import (
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler"
)

const (
	// renewRetryDelay is the delay before the next try when a worker did not answer for
	// the first time, and the longest wait for its ended attempts to be recorded. The
	// delay doubles with each further try up to maxRenewRetryDelay.
	renewRetryDelay    = 200 * time.Millisecond
	maxRenewRetryDelay = 800 * time.Millisecond
	// maxFirstContacts bounds the renew orders in flight that a run gets first, without a wait: after
	// a takeover the lists of all workers together would fill the host's link.
	maxFirstContacts = 64
	// firstContactHold is how long an unanswered renew order without a wait counts as
	// in flight. Workers that are lost must not delay the contact with the others.
	firstContactHold = 200 * time.Millisecond
)

// startRenewing starts the loop that renews a worker's leases and reads its lists of
// running and ended attempts. The caller holds d.mu.
func (d *Dispatcher) startRenewing(id platform.WorkerID) {
	if d.renewing[id] != nil {
		return
	}
	restarted := make(chan struct{}, 1)
	d.renewing[id] = restarted
	d.goroutines.Go(func() { d.renewLoop(id, restarted) })
}

// renewLoop runs until the shard no longer needs the worker. restarted ends the pause after
// an unanswered renewal.
func (d *Dispatcher) renewLoop(id platform.WorkerID, restarted <-chan struct{}) {
	failures, unrecorded := 0, 0
	for d.ctx.Err() == nil {
		r, ok := d.nextRenewal(id)
		if !ok {
			return
		}
		answered, mayAct := false, d.MayAct()
		if !d.renewalCurrent(mayAct, id, r.order) {
			r.release()
			continue
		}
		if mayAct {
			answered = d.renewLeases(r.sent, r.worker, r.order, failures == 0)
		}
		r.release()
		if answered {
			failures = 0
			if r.order.Wait == 0 && r.order.LeaseEnd == 0 {
				// The next order may grant a lease.
				continue
			}
			answeredAt := d.Clock()
			if d.awaitEndsRecorded(id, retryDelay(unrecorded)) {
				unrecorded = 0
			} else {
				unrecorded++
			}
			d.pauseBeforeRenewal(id, answeredAt, r.order.Wait > 0)
			continue
		}
		if mayAct {
			failures++
		}
		retry := time.NewTimer(retryDelay(failures))
		select {
		case <-retry.C:
		case <-restarted:
			failures = 0
		case <-d.ctx.Done():
		}
		retry.Stop()
	}
}

// renewalCurrent reports whether a renew order may still be sent to its worker's run, or is
// withheld since the owner may not act. Otherwise the worker may have restarted while the host
// was suspended, and needs a new order.
func (d *Dispatcher) renewalCurrent(mayAct bool, id platform.WorkerID, o fleet.RenewOrder) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !mayAct {
		d.shard.RenewalWithheld(id)
		return true
	}
	return d.shard.RenewalCurrent(d.Clock(), id, o)
}

// retryDelay returns the delay before the next renewal after the given number of
// unanswered ones.
func retryDelay(failures int) time.Duration {
	delay := renewRetryDelay
	for i := 1; i < failures && delay < maxRenewRetryDelay; i++ {
		delay *= 2
	}
	return min(delay, maxRenewRetryDelay)
}

// renewal is a renew order that is about to be sent.
type renewal struct {
	sent   scheduler.Instant
	worker fleet.Worker
	order  fleet.RenewOrder
	// release must be called once the order was answered or failed.
	release func()
}

// nextRenewal returns the next renew order for a worker. Before a first contact or a run's first
// lease it waits until fewer than maxFirstContacts are in flight. It reports false if the
// shard no longer needs the worker or the dispatcher has ended.
func (d *Dispatcher) nextRenewal(id platform.WorkerID) (renewal, bool) {
	r := renewal{release: func() {}}
	for held := false; ; held = true {
		d.mu.Lock()
		if held || !d.shard.RenewsAtOnce(d.Clock(), id) && !d.shard.FirstLeaseDue(id) {
			r.sent = d.Clock()
			confirmedAt := r.sent - d.ConfirmationAge()
			d.shard.LogRead(confirmedAt)
			d.shard.OwnershipConfirmed(confirmedAt)
			ok := false
			if r.worker, r.order, ok = d.shard.RenewOrder(r.sent, id); !ok {
				delete(d.renewing, id)
				d.lists.forget(id)
			}
			d.mu.Unlock()
			if !ok || r.order.Wait > 0 {
				r.release()
			} else {
				time.AfterFunc(firstContactHold, r.release)
			}
			return r, ok
		}
		d.mu.Unlock()
		select {
		case d.firstContacts <- struct{}{}:
			r.release = sync.OnceFunc(func() { <-d.firstContacts })
		case <-d.ctx.Done():
			return r, false
		}
	}
}

// pauseBeforeRenewal delays the next renewal for a worker that answered the last one at answeredAt and
// whose leases are extended, while the link or the processor is short. waited is set if that order
// let the worker wait for an end: then the next one has time while no job waits for one there. The
// time since then counts, so that the worker's lists do not grow too old to extend its leases.
func (d *Dispatcher) pauseBeforeRenewal(id platform.WorkerID, answeredAt scheduler.Instant, waited bool) {
	d.mu.Lock()
	leased, wait := d.shard.Leased(id), max(d.starts.renewPause(), d.lists.renewPause())
	if waited {
		wait = max(wait, d.shard.RenewPause(id))
	}
	d.mu.Unlock()
	if !leased {
		return
	}
	for {
		now := d.Clock()
		d.mu.Lock()
		stops := d.stops.renewPause(now, id, d.lists.rows[id])
		d.mu.Unlock()
		// The pause for the sake of stop orders ends with the orders.
		left := max(wait, min(stops, now-answeredAt+stopPauseStep)) - (now - answeredAt)
		if left <= 0 || pause.For(d.ctx, left) != nil {
			return
		}
	}
}

// stopPauseStep is the time between two looks at the stop orders that delay a renewal.
const stopPauseStep = 50 * time.Millisecond

// awaitEndsRecorded waits until the first of the worker's ended attempts can be
// acknowledged, for limit at most, and reports whether it can. Until they are
// acknowledged, the worker answers every renewal immediately and lists all of them.
func (d *Dispatcher) awaitEndsRecorded(id platform.WorkerID, limit time.Duration) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		wait, recorded := d.shard.Unacknowledged(id), d.recorded
		d.mu.Unlock()
		if !wait {
			return true
		}
		select {
		case <-recorded:
		case <-timeout.C:
			return false
		case <-d.ctx.Done():
			return false
		}
	}
}

// renewLeases sends one renewal and reports whether the worker accepted it. logFailure
// says whether to log a failure.
func (d *Dispatcher) renewLeases(sent scheduler.Instant, w fleet.Worker, o fleet.RenewOrder, logFailure bool) bool {
	d.mu.Lock()
	d.stops.beginRenewal(w.ID)
	d.mu.Unlock()
	reply, err := d.Workers.Renew(d.ctx, w, o)
	d.mu.Lock()
	d.stops.endRenewal(w.ID)
	d.sendStops(d.Clock())
	d.mu.Unlock()
	switch {
	case reply.Verdict == fleet.RefusedFenced:
		d.Relinquish(ErrFenced)
		return false
	case err != nil || reply.Verdict != fleet.Accepted:
		if logFailure && d.ctx.Err() == nil {
			event.WorkerUnreachable.Log(d.Logger, logrus.Fields{"worker": w.ID, "verdict": reply.Verdict.String(), "error": err})
		}
		d.counter("holds.unanswered").Inc(1)
		d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) {
			if !errors.Is(err, platform.ErrOutcomeUnknown) {
				s.RenewalWithheld(w.ID)
			}
			s.RenewFailed(now, sent, w.ID)
			if reply.Verdict == fleet.RefusedOtherRun {
				s.WorkerReplaced(now, w.ID)
			}
		})
		return false
	}
	if len(reply.Ended) > 0 {
		// The attempt ended after the order was sent: this is an upper bound of the
		// delay until its end is noticed.
		d.timer("job.end_noticed").Update(d.Clock() - sent)
	}
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) {
		d.lists.set(w.ID, len(reply.Running)+len(reply.Ended))
		d.stops.noteLists(w.ID)
		s.RenewAnswered(now, sent, w.ID, reply)
	})
	return true
}
