package scheduler

import (
	"slices"

	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// minSpareFactor is the spare CPU that a worker must have before a filler is started
// there, in multiples of the filler's size. With less the tasks slow each other down;
// requiring much more lowers the total payoff as well.
const minSpareFactor = 1.5

// feasible reports whether a worker has the resources and the properties that a task of a
// step needs, and the CPU with which a filler is worth starting.
func feasible(r *stepRun, w *workerState) bool {
	return fits(r, w) && (!r.spec.Fills || w.hasSpareCPU(r.spec))
}

// fits reports whether a worker has the resources that a task of a step reserves, and the
// properties that it needs.
func fits(r *stepRun, w *workerState) bool {
	return r.spec.Reserved().Fits(w.free()) && r.hasProperties(w)
}

// hasProperties reports whether a worker has the properties that a task of a step needs, and
// not too many tasks of it.
func (r *stepRun) hasProperties(w *workerState) bool {
	step := r.spec
	if step.Label != "" && !slices.Contains(w.info.Labels, step.Label) {
		return false
	}
	return step.MaxPerWorker == 0 || w.countAttempts(r) < step.MaxPerWorker
}

// hasSpareCPU reports whether a worker has the spare CPU for a filler. Where only serving
// tasks run, waiting does not bring more, so the filler's own size is enough.
func (w *workerState) hasSpareCPU(step *job.Step) bool {
	factor := minSpareFactor
	if len(w.colocation.fillers) == 0 && w.batchAttempts == 0 {
		factor = 1
	}
	return w.colocation.spareMilliCPU >= factor*float64(step.Size.MilliCPU)
}

// countAttempts returns how many tasks of a step may be running on a worker or are about to
// move there.
func (w *workerState) countAttempts(r *stepRun) int {
	n := w.arriving[r]
	for _, a := range w.attempts {
		if a.task != nil && a.task.step == r {
			n++
		}
	}
	return n
}
