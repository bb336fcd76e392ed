package scheduler

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
)

// A start order that reaches a run which the owner has not seen cannot be refused there and gets the longest
// lease. So a start goes only to a run that has answered a moment ago, and otherwise a renew order goes first that
// neither grants a lease nor acknowledges an end, so that it does no harm whichever run carries it out. That leaves
// the orders that were under way at a restart, see unansweredStart.

const (
	// MaxContactAge is how old the last answer of a worker's run may be for a start order to be sent to it, while
	// link and processor have room for calls.
	MaxContactAge = 100 * time.Millisecond
	// ContactTimeout bounds the wait for an answer that is to tell that a run is up, as that for lists. It is also the
	// age at which the last answer tells nothing any more.
	ContactTimeout = 700 * time.Millisecond
)

// ContactDue reports whether a worker has to be asked for its run before a start order is sent to it, if the last
// answer may be as old as maxAge.
func (s *Shard) ContactDue(now Instant, id platform.WorkerID, maxAge time.Duration) bool {
	w, ok := s.workers[id]
	return ok && now > w.contactedAt+maxAge && w.runCertain(now)
}

// ContactOrder returns the order that asks a worker for its run.
func (s *Shard) ContactOrder(id platform.WorkerID) (fleet.Worker, fleet.RenewOrder) {
	w := s.workerFor(id)
	return w.info, fleet.RenewOrder{Token: s.epoch}
}

// ContactAnswered applies the answer to a ContactOrder sent at the time sent. Only the run that has answered
// counts: the lists may be older than those of a renewal.
func (s *Shard) ContactAnswered(now, sent Instant, id platform.WorkerID, lists fleet.RenewReply) {
	w, ok := s.workers[id]
	if !ok || w.isEarlierRun(lists.Started, sent) {
		return
	}
	switch {
	case lists.Verdict != fleet.Accepted || w.run == 0 || lists.Started == 0:
		s.ContactFailed(sent, id)
	case lists.Started != w.run:
		w.closeRun()
		s.handleRestart(now, w, lists.Started)
		s.dirty.add(w)
	default:
		w.contacted(now, sent)
	}
}

// contacted records that the worker's present run has answered an order sent at the time sent. An answer that has
// waited for this process tells nothing of the present.
func (w *workerState) contacted(now, sent Instant) {
	if now-sent <= ContactTimeout {
		w.contactedAt = max(w.contactedAt, now)
	}
}

// ContactFailed records that a worker did not answer a ContactOrder sent at the time sent. It gets no starts
// until it has read its lists after that.
func (s *Shard) ContactFailed(sent Instant, id platform.WorkerID) {
	if w, ok := s.workers[id]; ok && sent > w.listsReadAt && sent >= w.runSeenAt {
		w.doubt(sent)
	}
}

// doubt records that the worker may have restarted before the time at. It gets no order that would do harm in
// another run until it has read its lists after that.
func (w *workerState) doubt(at Instant) { w.contactedAt, w.doubtedAt = 0, at }
