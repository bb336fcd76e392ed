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

// holdRetry is the pause after a worker did not answer.
const holdRetry = 200 * time.Millisecond

// hold starts the loop that renews a worker's leases and reads its lists. The
// caller holds d.mu.
func (d *Dispatcher) hold(id platform.WorkerID) {
	if d.holds[id] {
		return
	}
	d.holds[id] = true
	d.done.Go(func() { d.holdLoop(id) })
}

// holdLoop goes on until the shard forgets the worker.
func (d *Dispatcher) holdLoop(id platform.WorkerID) {
	failures := 0
	for d.ctx.Err() == nil {
		d.mu.Lock()
		sent := d.Clock()
		worker, order, ok := d.shard.HoldOrder(sent, id)
		if !ok {
			delete(d.holds, id)
		}
		d.mu.Unlock()
		if !ok {
			return
		}
		if d.MayAct() && d.holdOnce(sent, worker, order, failures == 0) {
			failures = 0
			d.awaitRecord(id)
			d.unhurried(id)
			continue
		}
		failures++
		// The loop ends with the context.
		_ = pause.For(d.ctx, holdRetry)
	}
}

// unhurried waits before the next look at a worker whose ends nobody waits for.
func (d *Dispatcher) unhurried(id platform.WorkerID) {
	d.mu.Lock()
	wait := d.shard.HoldPause(id)
	d.mu.Unlock()
	if wait > 0 {
		// The loop ends with the context.
		_ = pause.For(d.ctx, wait)
	}
}

// awaitRecord waits until the worker's ends can be acknowledged. Until then it
// would answer at once.
func (d *Dispatcher) awaitRecord(id platform.WorkerID) {
	d.mu.Lock()
	wait, recorded := d.shard.Unacknowledged(id), d.recorded
	d.mu.Unlock()
	if !wait {
		return
	}
	select {
	case <-d.ctx.Done():
	case <-recorded:
	case <-time.After(holdRetry):
	}
}

// holdOnce sends one order to hold and reports whether the worker answered.
func (d *Dispatcher) holdOnce(sent scheduler.Instant, w fleet.Worker, o fleet.HoldOrder, report bool) bool {
	lists, err := d.Workers.Hold(d.ctx, w, o)
	switch {
	case lists.Verdict == fleet.RefusedFenced:
		d.Lose(ErrFenced)
		return false
	case err != nil || lists.Verdict != fleet.Accepted:
		if report && d.ctx.Err() == nil {
			event.WorkerUnreachable.Log(d.Logger, logrus.Fields{"worker": w.ID, "verdict": lists.Verdict.String(), "error": err})
		}
		d.counter("holds.unanswered").Inc(1)
		d.update(func(s *scheduler.Shard, now scheduler.Instant) { s.HoldFailed(now, sent, w.ID) })
		return false
	}
	if len(lists.Ended) > 0 {
		// The end came after the order: this bounds how late it is noticed.
		d.timer("job.end_noticed").Update(d.Clock() - sent)
	}
	d.update(func(s *scheduler.Shard, now scheduler.Instant) { s.HoldAnswered(now, sent, w.ID, lists) })
	return true
}
