package dispatch

import (
	"context"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler"
)

// contactWorker asks a worker for its run if its last answer is too old for a start order to be sent, and returns
// once the outcome is known. Starts that wait for one worker share one call.
func (d *Dispatcher) contactWorker(id platform.WorkerID) {
	d.mu.Lock()
	sent := d.Clock()
	// On a full link, or with long lists, the calls would take the room of the starts.
	maxAge := scheduler.MaxContactAge + max(d.starts.renewPause(), d.lists.renewPause())
	if !d.shard.ContactDue(sent, id, maxAge) {
		d.mu.Unlock()
		return
	}
	done, pending := d.contacts[id]
	if pending {
		d.mu.Unlock()
		select {
		case <-done:
		case <-d.ctx.Done():
		}
		return
	}
	done = make(chan struct{})
	d.contacts[id] = done
	worker, order := d.shard.ContactOrder(id)
	d.mu.Unlock()
	if !d.MayAct() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.contacts, id)
		close(done)
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, scheduler.ContactTimeout)
	defer cancel()
	reply, err := d.Workers.Renew(ctx, worker, order)
	d.timer("starts.contact").Update(d.Clock() - sent)
	if reply.Verdict == fleet.RefusedFenced {
		d.Relinquish(ErrFenced)
	}
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) {
		delete(d.contacts, id)
		close(done)
		switch {
		case err != nil:
			d.counter("starts.no_contact").Inc(1)
			s.ContactFailed(sent, id)
		case reply.Verdict == fleet.RefusedOtherRun:
			s.WorkerReplaced(now, id)
		default:
			s.ContactAnswered(now, sent, id, reply)
		}
	})
}
