package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler"
)

// renewRetryDelay is the delay before the next try when a worker did not answer, and
// the longest wait for its ended attempts to be recorded.
const renewRetryDelay = 200 * time.Millisecond

// startRenewing starts the loop that renews a worker's leases and reads its lists of
// running and ended attempts. The caller holds d.mu.
func (d *Dispatcher) startRenewing(id platform.WorkerID) {
	if d.renewing[id] {
		return
	}
	d.renewing[id] = true
	d.goroutines.Go(func() { d.renewLoop(id) })
}

// renewLoop runs until the shard no longer needs the worker.
func (d *Dispatcher) renewLoop(id platform.WorkerID) {
	failures := 0
	for d.ctx.Err() == nil {
		d.mu.Lock()
		sent := d.Clock()
		worker, order, ok := d.shard.RenewOrder(sent, id)
		if !ok {
			delete(d.renewing, id)
		}
		d.mu.Unlock()
		if !ok {
			return
		}
		if d.MayAct() && d.renewLeases(sent, worker, order, failures == 0) {
			failures = 0
			d.awaitEndsRecorded(id)
			d.pauseBeforeRenewal(id)
			continue
		}
		failures++
		// The loop ends with the context.
		_ = pause.For(d.ctx, renewRetryDelay)
	}
}

// pauseBeforeRenewal delays the next renewal for a worker while no job waits for its
// attempts to end.
func (d *Dispatcher) pauseBeforeRenewal(id platform.WorkerID) {
	d.mu.Lock()
	wait := d.shard.RenewPause(id)
	d.mu.Unlock()
	if wait > 0 {
		// The loop ends with the context.
		_ = pause.For(d.ctx, wait)
	}
}

// awaitEndsRecorded waits until the worker's ended attempts are recorded and can be
// acknowledged. Until they are acknowledged, the worker answers every renewal
// immediately.
func (d *Dispatcher) awaitEndsRecorded(id platform.WorkerID) {
	d.mu.Lock()
	wait, recorded := d.shard.Unacknowledged(id), d.recorded
	d.mu.Unlock()
	if !wait {
		return
	}
	select {
	case <-d.ctx.Done():
	case <-recorded:
	case <-time.After(renewRetryDelay):
	}
}

// renewLeases sends one renewal and reports whether the worker accepted it. logFailure
// says whether to log a failure.
func (d *Dispatcher) renewLeases(sent scheduler.Instant, w fleet.Worker, o fleet.RenewOrder, logFailure bool) bool {
	reply, err := d.Workers.Renew(d.ctx, w, o)
	switch {
	case reply.Verdict == fleet.RefusedFenced:
		d.Relinquish(ErrFenced)
		return false
	case err != nil || reply.Verdict != fleet.Accepted:
		if logFailure && d.ctx.Err() == nil {
			event.WorkerUnreachable.Log(d.Logger, logrus.Fields{"worker": w.ID, "verdict": reply.Verdict.String(), "error": err})
		}
		d.counter("holds.unanswered").Inc(1)
		d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) { s.RenewFailed(now, sent, w.ID) })
		return false
	}
	if len(reply.Ended) > 0 {
		// The attempt ended after the order was sent: this is an upper bound of the
		// delay until its end is noticed.
		d.timer("job.end_noticed").Update(d.Clock() - sent)
	}
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) { s.RenewAnswered(now, sent, w.ID, reply) })
	return true
}
