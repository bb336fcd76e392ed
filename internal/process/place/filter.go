package place

import (
	"slices"

	"github.com/siskinvane/siskinvane/internal/process/interference"
)

const (
	// maxBatchMissChance is the chance that a service misses its target above
	// which no batch task is placed beside it, unless the task raises the chance
	// by at most missChanceTolerance.
	maxBatchMissChance = 0.10
	// missChanceTolerance is the increase of a miss chance that is ignored.
	missChanceTolerance = 0.01
)

// leavingFilter rejects workers that are leaving.
type leavingFilter struct{}

// Name implements Filter.
func (leavingFilter) Name() string { return "leaving" }

// Reject implements Filter.
func (leavingFilter) Reject(_ *Request, w *WorkerView) string {
	if w.Leaving {
		return "leaving"
	}
	return ""
}

// setAsideFilter rejects workers that are set aside.
type setAsideFilter struct{}

// Name implements Filter.
func (setAsideFilter) Name() string { return "set-aside" }

// Reject implements Filter.
func (setAsideFilter) Reject(_ *Request, w *WorkerView) string {
	if w.SetAside {
		return "set aside for failing tasks"
	}
	return ""
}

// avoidFilter rejects the workers that the request excludes, such as those that
// the task was moved away from.
type avoidFilter struct{}

// Name implements Filter.
func (avoidFilter) Name() string { return "avoid" }

// Reject implements Filter.
func (avoidFilter) Reject(r *Request, w *WorkerView) string {
	if slices.Contains(r.Avoid, w.ID) {
		return "left by this task before"
	}
	return ""
}

// capacityFilter rejects workers without enough free capacity.
type capacityFilter struct{}

// Name implements Filter.
func (capacityFilter) Name() string { return "capacity" }

// Reject implements Filter.
func (capacityFilter) Reject(r *Request, w *WorkerView) string {
	switch r.Size.Exceeded(w.Free()) {
	case "processors":
		return "short of processors"
	case "memory":
		return "short of memory"
	case "accelerators":
		return "short of accelerators"
	case "slots":
		return "short of slots"
	}
	return ""
}

// interferenceFilter rejects workers where a batch task would make a service
// likely to miss its target.
type interferenceFilter struct{ predictor Predictor }

// Name implements Filter.
func (interferenceFilter) Name() string { return "harm" }

// Reject implements Filter.
func (f interferenceFilter) Reject(r *Request, w *WorkerView) string {
	if r.Service != "" || r.Urgent {
		return ""
	}
	confidence := interference.Cautious
	if r.Explore {
		confidence = interference.Optimistic
	}
	before, after := maxMissChances(f.predictor, r, w, confidence)
	if after > maxBatchMissChance && after > before+missChanceTolerance {
		return "a service there would miss its target"
	}
	return ""
}

// maxMissChances returns the highest miss chance of the services on w before and
// after r is placed there.
func maxMissChances(p Predictor, r *Request, w *WorkerView, c interference.Confidence) (before, after float64) {
	if len(w.Victims) == 0 {
		return 0, 0
	}
	neighboursAfter := neighboursWith(r, w)
	load, loadAfter := w.Load(), w.loadWith(r.Size.MilliCPU)
	for _, v := range w.Victims {
		before = max(before, p.MissChance(v.Class, load, w.Neighbours, c))
		after = max(after, p.MissChance(v.Class, loadAfter, neighboursAfter, c))
	}
	return before, after
}

// neighboursWith returns the neighbours on w with r added.
func neighboursWith(r *Request, w *WorkerView) []interference.Neighbour {
	return interference.AddNeighbour(slices.Clone(w.Neighbours), r.Class, 1)
}
