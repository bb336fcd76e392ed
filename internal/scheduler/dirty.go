package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// dirtySet holds the workers that the next plan has to consider. A plan follows each
// answer of a worker, and an answer changes one worker only: for an owner of many
// workers, planning over all of them would cost more than everything else.
type dirtySet struct {
	// workers are the workers that have changed, in the order of their changes, until
	// every waiting step has been tried on them. A worker that changes again after a plan
	// is listed again.
	workers []*workerState
	// base is the number of workers[0] in the sequence of all changes.
	base int
	// planned counts the elements of workers that an earlier plan has considered, and
	// end those that the present plan considers.
	planned, end int
	// placeAll is set if the last plan that considered every worker had no start orders
	// left to try the waiting steps.
	placeAll bool
	// all is set if a change concerns every worker.
	all bool
	// lastSweep is when the last plan considered every worker, or zero.
	lastSweep Instant
}

// sweepPeriod is the time between two plans that consider every worker and every
// waiting step. Changes that only the passing of time causes take effect in these
// sweeps: the expiry of a lease, a repeated stop order, a worker that is probed again,
// a filler that no longer interferes. It is a third of the shortest of these times,
// stopRepeatInterval.
const sweepPeriod = 100 * time.Millisecond

// beginPlan reports whether the plan at now has to consider every worker.
func (d *dirtySet) beginPlan(now Instant) bool {
	d.end = len(d.workers)
	if !d.all && d.lastSweep != 0 && now < d.lastSweep+sweepPeriod {
		return false
	}
	d.all, d.lastSweep = false, now
	return true
}

// endPlan clears the changes that the plan made, since a worker that was given a task
// has no more room for others than before, and those that it has considered. It keeps
// the latter if keep is set: some steps were not tried on them.
func (d *dirtySet) endPlan(keep bool) {
	for _, w := range d.workers[d.planned:] {
		w.dirty = false
	}
	if keep {
		d.workers, d.planned = d.workers[:d.end], d.end
		return
	}
	d.base += d.end
	d.workers, d.planned = d.workers[:0], 0
}

// unplanned returns the workers that have changed since the last plan.
func (d *dirtySet) unplanned() []*workerState { return d.workers[d.planned:d.end] }

// since returns the workers that have changed after the given number of changes, up to
// the start of the present plan. A worker may be listed more than once.
func (d *dirtySet) since(changes int) []*workerState {
	return d.workers[max(0, changes-d.base):d.end]
}

// changes returns the number of changes up to the start of the present plan.
func (d *dirtySet) changes() int { return d.base + d.end }

// add marks a worker for the next plan.
func (d *dirtySet) add(w *workerState) {
	if w.dirty {
		return
	}
	w.dirty = true
	d.workers = append(d.workers, w)
}

// compareWorkers orders workers by ID.
func compareWorkers(a, b *workerState) int { return cmp.Compare(a.info.ID, b.info.ID) }

// addSortedWorker inserts a worker into the sorted list.
func (s *Shard) addSortedWorker(w *workerState) {
	i, _ := slices.BinarySearchFunc(s.sortedWorkers, w, compareWorkers)
	s.sortedWorkers = slices.Insert(s.sortedWorkers, i, w)
}

// removeSortedWorker removes a worker from the sorted list.
func (s *Shard) removeSortedWorker(w *workerState) {
	if i, found := slices.BinarySearchFunc(s.sortedWorkers, w, compareWorkers); found {
		s.sortedWorkers = slices.Delete(s.sortedWorkers, i, i+1)
	}
}
