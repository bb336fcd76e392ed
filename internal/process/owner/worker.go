package owner

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/lease"
)

// workerState is the owner's state of one worker. Owner.mu guards it.
type workerState struct {
	id   platform.WorkerID
	host platform.Host
	// control calls the worker; it is nil until the host list contains the worker.
	control platform.Worker
	contact lease.Contact
	// callInProgress is set while the worker is being called.
	callInProgress bool
	// lastReportAttempt and lastRenewalAttempt are the start times of the last
	// report and renewal calls.
	lastReportAttempt, lastRenewalAttempt time.Time
	// acceptedThrottles holds the throttles that the worker has accepted.
	acceptedThrottles map[platform.TaskAttempt]int
	// lastCallFailure is when a call last failed without a response.
	lastCallFailure time.Time
	// unreachable is set from the first failed report call to the next successful
	// one.
	unreachable bool
}

// SetWorkers sets the shard's workers from the host list. A worker that is no
// longer listed is kept while the table has attempts on it.
func (o *Owner) SetWorkers(hosts []platform.Host) {
	hasAttempts := map[platform.WorkerID]bool{}
	o.follower.View(func() {
		for _, id := range o.table.Workers() {
			hasAttempts[id] = true
		}
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	listed := map[platform.WorkerID]bool{}
	for _, h := range hosts {
		id := platform.WorkerID(h.ID)
		listed[id] = true
		o.setWorker(id, h)
	}
	for id := range o.workers {
		if !listed[id] && !hasAttempts[id] {
			delete(o.workers, id)
		}
	}
	for id := range hasAttempts {
		if o.workers[id] == nil {
			o.workers[id] = &workerState{id: id, host: platform.Host{ID: string(id)}}
		}
	}
}

func (o *Owner) setWorker(id platform.WorkerID, h platform.Host) {
	w := o.workers[id]
	if w == nil {
		w = &workerState{id: id}
		o.workers[id] = w
	}
	if w.control == nil || w.host.Addr != h.Addr {
		w.control = o.config.Dialer.Dial(id, h.Addr)
	}
	w.host = h
}

// enterTerm returns the current term. At the start of a new term it discards the
// pending transitions and all contact state of workers, which belong to the
// earlier claim. ok is false if this process does not own the shard.
func (o *Owner) enterTerm() (t term, ok bool) {
	owner, epoch := o.CurrentOwner()
	if owner != o.config.Writer {
		return term{}, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term.epoch == epoch {
		return o.term, true
	}
	o.term = term{epoch: epoch, claimed: o.config.Now()}
	o.pending = pendingTransitions{}
	for id, w := range o.workers {
		// Calls of the earlier term that are still in progress write to the old
		// state.
		o.workers[id] = &workerState{id: id, host: w.host, control: w.control}
	}
	return o.term, true
}

// inTerm reports whether the claim of t is still the latest as replayed.
func (o *Owner) inTerm(t term) bool {
	owner, epoch := o.CurrentOwner()
	return owner == o.config.Writer && epoch == t.epoch
}

// logReachability logs once when a worker becomes unreachable and once when it
// becomes reachable again. The caller holds mu.
func (o *Owner) logReachability(w *workerState, err error) {
	switch {
	case err != nil && !w.unreachable:
		event.WorkerUnreachable.Log(o.config.Logger, logrus.Fields{"worker": w.id, "error": err})
	case err == nil && w.unreachable:
		event.WorkerReachable.Log(o.config.Logger, logrus.Fields{"worker": w.id})
	}
	w.unreachable = err != nil
}

// bootOf returns the boot ID that a worker last reported, or "".
func (o *Owner) bootOf(id platform.WorkerID) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.workers[id]; w != nil {
		return w.contact.Boot()
	}
	return ""
}
