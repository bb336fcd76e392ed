package interference

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	// maxSnapshots is the maximum number of snapshots kept for a worker.
	maxSnapshots = 64
	// maxAge is the time that the history of a worker covers.
	maxAge = 2 * time.Minute
)

// Snapshot is the set of neighbours on a worker from a time on.
type Snapshot struct {
	At         time.Time
	Neighbours []Neighbour
}

// History records for a bounded time which classes ran on each worker, so that a
// measurement that arrives late can be matched with the neighbours at its time.
type History struct {
	workers map[platform.WorkerID][]Snapshot
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{workers: map[platform.WorkerID][]Snapshot{}}
}

// Record adds a snapshot of the neighbours on a worker. Times must not decrease; a
// snapshot equal to the last one is ignored. Record keeps a copy of neighbours.
func (h *History) Record(w platform.WorkerID, at time.Time, neighbours []Neighbour) {
	list := h.workers[w]
	if n := len(list); n > 0 && equalNeighbours(list[n-1].Neighbours, neighbours) {
		return
	}
	list = append(list, Snapshot{At: at, Neighbours: slices.Clone(neighbours)})
	drop := max(len(list)-maxSnapshots, 0)
	for drop < len(list)-1 && at.Sub(list[drop+1].At) > maxAge {
		drop++
	}
	h.workers[w] = slices.Delete(list, 0, drop)
}

// Between returns the neighbours on a worker between two times. It reports false when
// they changed in that time or the history does not reach back that far.
func (h *History) Between(w platform.WorkerID, from, to time.Time) ([]Neighbour, bool) {
	list := h.workers[w]
	for i := len(list) - 1; i >= 0; i-- {
		if !list[i].At.After(to) {
			return list[i].Neighbours, !list[i].At.After(from)
		}
	}
	return nil, false
}

// Forget deletes a worker's history, for example after its restart.
func (h *History) Forget(w platform.WorkerID) { delete(h.workers, w) }
