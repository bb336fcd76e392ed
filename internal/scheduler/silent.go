package scheduler

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// closeDelay is for how long a worker has to be silent before the log says that nothing
	// starts there. A lost answer or a broken connection is shorter.
	closeDelay = 150 * time.Millisecond
	// dismissDelay is for how long a worker on which nothing can be running has to be silent before
	// its record is deleted. It cannot be used again before it is enrolled.
	dismissDelay = time.Second
	// maxMayRun bounds the tasks that the record of a closed worker names.
	maxMayRun = 2000
)

// silentFor returns how long the worker has not answered, or zero if it did last.
func (w *workerState) silentFor(now Instant) time.Duration {
	if !w.unresponsive() {
		return 0
	}
	return now - w.unresponsiveSince
}

// closeSilent records that nothing starts on a silent worker and no lease is extended there,
// so that the next owner has to wait only for what may be running, which the record names, and
// only until its leases have run out. The worker is used again once a later record is in the
// log, so none is written while the log is out of reach.
func (s *Shard) closeSilent(now Instant, w *workerState) {
	if w.closed || !w.enrolled || w.silentFor(now) < closeDelay || !s.attemptsKnown(now, w) || s.confirmationStale(now) || s.nearlyAllSilent(now) {
		return
	}
	s.journal.enroll(w)
}

// silentCheckInterval is how long the count of silent workers is cached.
const silentCheckInterval = 50 * time.Millisecond

// silentCheck caches whether nearly all workers are silent.
type silentCheck struct {
	at        Instant
	nearlyAll bool
}

// nearlyAllSilent reports whether fewer than one in isolationFactor of the workers answers. It
// is probably the owner that is cut off, and records of them all would fill its link.
func (s *Shard) nearlyAllSilent(now Instant) bool {
	if now < s.silentCheck.at+silentCheckInterval {
		return s.silentCheck.nearlyAll
	}
	silent := 0
	for _, w := range s.workers {
		if w.unresponsive() {
			silent++
		}
	}
	s.silentCheck = silentCheck{at: now, nearlyAll: isolationFactor*(len(s.workers)-silent) < len(s.workers)}
	return s.silentCheck.nearlyAll
}

// dismissSilent deletes the record of a silent worker on which nothing can be running. It is
// enrolled again once it answers. Otherwise later owners would count and await it for as long
// as it has an entry. The record stays while it tells later owners of stray leases.
func (s *Shard) dismissSilent(now Instant, w *workerState) {
	if !w.enrolled && w.previousClaim == 0 || w.enrolling || w.silentFor(now) < dismissDelay || now < s.strayUntil(w) || s.confirmationStale(now) || s.nearlyAllSilent(now) || !s.idle(now, w) {
		return
	}
	w.enrolled, w.closed, w.lossRecorded = false, false, false
	w.previousClaim = 0
	s.journal.unenroll(w.info.ID)
}

// mayRun returns the tasks that may be running on a worker whose attempts are tracked, may be
// started there by orders that are under way, or have ended there without a record of it.
func (s *Shard) mayRun(w *workerState) job.TaskSet {
	refs := job.TaskSet{}
	for ref := range w.attempts {
		refs[ref] = true
	}
	for ref := range w.unansweredStarts {
		refs[ref] = true
	}
	for _, h := range s.heldEnds {
		if h.worker == w.info.ID {
			refs[h.Task] = true
		}
	}
	return refs
}
