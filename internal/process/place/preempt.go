package place

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// preemptCandidates bounds the number of workers examined for a preemption.
const preemptCandidates = 64

// Preemption names the tasks to evict from a worker so that an urgent task fits.
type Preemption struct {
	Worker platform.WorkerID
	Tasks  []platform.TaskID
	// Loss is the processor time that the evictions would lose without
	// checkpoints.
	Loss time.Duration
}

// Preempt finds the worker on which an urgent task fits at the least loss of
// work. Only deferrable batch tasks are evicted, at most limit of them. It
// reports false if there is no such worker or r is not urgent.
func (s *Scheduler) Preempt(r Request, c *Cache, rng *rand.Rand, now time.Time, limit int) (Preemption, bool) {
	var best Preemption
	found := false
	if !r.Urgent || limit <= 0 || c.quotaExceeded(&r) != "" {
		return best, false
	}
	examined := 0
	c.visitWorkers(platform.Resources{}, rng, func(w *WorkerView) bool {
		if p, ok := preemptOn(&r, w, now, limit); ok && (!found || cheaper(p, best)) {
			best, found = p, true
		}
		examined++
		return examined < preemptCandidates
	})
	return best, found
}

// cheaper orders preemptions by loss, then by worker.
func cheaper(a, b Preemption) bool {
	if a.Loss != b.Loss {
		return a.Loss < b.Loss
	}
	return a.Worker < b.Worker
}

// preemptOn selects the tasks to evict from one worker: the cheapest first until
// r fits, without those that turn out to be unnecessary.
func preemptOn(r *Request, w *WorkerView, now time.Time, limit int) (Preemption, bool) {
	if w.Leaving || w.SetAside || !r.Size.Fits(w.Capacity) {
		return Preemption{}, false
	}
	evictable := evictableByLoss(w, now)
	free := w.Free()
	var evicted []*Resident
	for _, candidate := range evictable {
		if r.Size.Fits(free) {
			break
		}
		free = free.Add(candidate.Size)
		evicted = append(evicted, candidate)
	}
	if !r.Size.Fits(free) {
		return Preemption{}, false
	}
	evicted = pruneUnneeded(evicted, free, r.Size)
	if len(evicted) == 0 || len(evicted) > limit {
		return Preemption{}, false
	}
	p := Preemption{Worker: w.ID}
	for _, t := range evicted {
		p.Tasks = append(p.Tasks, t.Task)
		p.Loss += t.Loss(now)
	}
	return p, true
}

// evictableByLoss returns the residents of w that may be evicted, ordered by
// loss.
func evictableByLoss(w *WorkerView, now time.Time) []*Resident {
	var evictable []*Resident
	for _, r := range w.residents {
		if r.Evictable() {
			evictable = append(evictable, r)
		}
	}
	sort.Slice(evictable, func(i, j int) bool {
		a, b := evictable[i].Loss(now), evictable[j].Loss(now)
		if a != b {
			return a < b
		}
		return evictable[i].Task < evictable[j].Task
	})
	return evictable
}

// pruneUnneeded drops the tasks whose eviction is not needed for size to fit into
// free, the most expensive first.
func pruneUnneeded(evicted []*Resident, free, size platform.Resources) []*Resident {
	var needed []*Resident
	for i := len(evicted) - 1; i >= 0; i-- {
		without := free.Sub(evicted[i].Size)
		if size.Fits(without) {
			free = without
			continue
		}
		needed = append(needed, evicted[i])
	}
	return needed
}
