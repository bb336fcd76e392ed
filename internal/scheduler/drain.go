package scheduler

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
)

// Tasks that still run on a worker when it terminates are lost, and may be started
// elsewhere only once their leases have expired for certain, 5 s later. They are
// therefore moved in time: long-running tasks as soon as there is room elsewhere,
// resumable tasks as late as possible, since most of them finish first.

const (
	// drainStopMargin is how long before the worker terminates its resumable tasks are
	// stopped, in addition to the stop grace period. It covers the wait for the next
	// sweep, an order, a worker's answer that lists the end, and as much again for an
	// order that has to be repeated.
	drainStopMargin = 400 * time.Millisecond
	// minMigrating bounds the long-running tasks that are moving off draining or
	// cordoned workers at a time. A stop takes up to 0.9 s and a worker runs about five
	// such tasks, so two workers per second can be drained.
	minMigrating = 8
	// workersPerMigration is the number of workers for each of which one more such task
	// may be moving: deployments release a share of their workers per second.
	workersPerMigration = 16
)

// maxMigrating returns how many long-running tasks may be moving at a time.
func (s *Shard) maxMigrating() int { return max(minMigrating, len(s.workers)/workersPerMigration) }

// updateDrainEnd updates the earliest time at which a draining worker terminates.
func (w *workerState) updateDrainEnd(now Instant, info fleet.Worker) {
	if !info.Draining {
		w.drainEnd = 0
		return
	}
	// An entry may be read again long after it was written.
	if drainEnd := now + info.Remaining; w.drainEnd == 0 || drainEnd < w.drainEnd {
		w.drainEnd = drainEnd
	}
}

// drainWorkers moves tasks off the workers that drain or are cordoned.
func (p *placement) drainWorkers() {
	var draining []*workerState
	for _, w := range p.shard.sortedWorkers {
		if (w.drainEnd != 0 || w.cordoned) && !w.unresponsive() {
			draining = append(draining, w)
		}
	}
	if len(draining) == 0 {
		return
	}
	slices.SortStableFunc(draining, func(a, b *workerState) int { return int(a.drainEnd - b.drainEnd) })
	destinations := destinations{}
	defer destinations.release()
	migrating := p.shard.countMigrating(draining)
	for _, w := range draining {
		for _, a := range w.sortedAttempts() {
			if a.isLongRunning() && (a.phase == stopping || a.phase == stopped) && !a.task.step.job.progress.State.Final() {
				p.findDestination(a, destinations)
			}
		}
	}
	for _, w := range draining {
		migrating = p.migrateLongRunning(w, migrating, destinations)
		p.stopResumable(w)
	}
}

// destinations holds what is reserved on workers for tasks that are about to move there.
type destinations map[*workerState]platform.Resources

// release undoes the reservations: a task gets its worker once it has ended.
func (d destinations) release() {
	for w, size := range d {
		w.reserved = w.reserved.Sub(size)
		clear(w.arriving)
	}
}

// findDestination reserves resources and a place within the limit of tasks per worker for
// another attempt of a running task, and reports whether there is a worker for it.
func (p *placement) findDestination(a *attempt, d destinations) bool {
	r := a.task.step
	w := p.rate(r, a.image, p.schedulableWorkers(p.service(r))).best(a.task)
	if w == nil {
		return false
	}
	w.reserved = w.reserved.Add(a.size)
	d[w] = d[w].Add(a.size)
	if w.arriving == nil {
		w.arriving = map[*stepRun]int{}
	}
	w.arriving[r]++
	return true
}

// forgetEmptied forgets the draining workers on which nothing runs or can start any more,
// once all that they have listed is acknowledged. A later owner waits for the leases of
// each worker that the log names and it cannot reach: after the loss of all hosts during a
// release it would wait for the workers that had just left.
func (s *Shard) forgetEmptied(now Instant) {
	for _, w := range s.workers {
		if w.info.Draining && w.emptied() && s.attemptsKnown(now, w) {
			s.forgetWorker(w)
		}
	}
}

// emptied reports whether nothing runs on the worker, nothing can start there, and all
// its ends are acknowledged.
func (w *workerState) emptied() bool {
	return w.reconciled && !w.unresponsive() && len(w.attempts) == 0 && len(w.unansweredStarts) == 0 && w.ended.acknowledged >= w.ended.applied
}

// countMigrating counts the long-running tasks that are stopping on the given workers
// or are waiting for one.
func (s *Shard) countMigrating(workers []*workerState) int {
	n := 0
	for _, w := range workers {
		for _, a := range w.attempts {
			if a.isLongRunning() && a.phase != running {
				n++
			}
		}
	}
	for _, r := range s.waiting.steps {
		if r.spec.LongRunning {
			n += len(r.startable)
		}
	}
	return n
}

// migrateLongRunning stops the long-running tasks of a worker for which there is room
// elsewhere beside the others that move, as long as fewer than maxMigrating tasks are
// moving. It takes and returns the number that are moving.
func (p *placement) migrateLongRunning(w *workerState, migrating int, d destinations) int {
	for _, a := range w.sortedAttempts() {
		if migrating >= p.shard.maxMigrating() {
			break
		}
		if a.phase != running || !a.isLongRunning() || !a.mayStop() {
			continue
		}
		if !p.findDestination(a, d) {
			continue
		}
		p.shard.stopAttempt(p.now, a, reasonDraining)
		migrating++
	}
	return migrating
}

// mayStop reports whether a running attempt may be stopped for the sake of others. What runs on
// a draining worker ends in any case.
func (a *attempt) mayStop() bool {
	return !a.isLongRunning() || a.worker.drainEnd != 0 || a.task.step.disruptionAllowed()
}

// disruptionAllowed reports whether one more task of a step may be stopped voluntarily:
// its caller limits how many may be missing at a time. Those of silent workers may be.
func (r *stepRun) disruptionAllowed() bool {
	if r.spec.MayMiss == 0 {
		return true
	}
	disrupted := 0
	for _, t := range r.tasks {
		if !slices.ContainsFunc(t.liveAttempts, func(a *attempt) bool {
			return a.phase == running && a.progress == workingProgress && !a.worker.unresponsive()
		}) {
			disrupted++
		}
	}
	return disrupted < r.spec.MayMiss
}

// workingProgress is the progress, in percent, of a long-running task that is fully
// working.
const workingProgress = 100

// SetCordoned sets the workers that get no new tasks and have to be drained for the
// upkeep of their machines.
func (s *Shard) SetCordoned(ids []platform.WorkerID) {
	for _, w := range s.workers {
		cordoned := slices.Contains(ids, w.info.ID)
		if w.cordoned != cordoned {
			w.cordoned = cordoned
			s.dirty.all = true
		}
	}
}

// UpkeepOrdered records that the upkeep of the machines of workers is about to be ordered, or
// was by this or an earlier owner and may still begin.
func (s *Shard) UpkeepOrdered(now Instant, ids []platform.WorkerID) {
	for _, id := range ids {
		if w, ok := s.workers[id]; ok {
			w.upkeepOrderedAt = now
		}
	}
}

// UpkeepRefused records that the machines of workers have refused their upkeep: the workers
// go on, so one that falls silent does not leave as planned.
func (s *Shard) UpkeepRefused(ids []platform.WorkerID) {
	for _, id := range ids {
		if w, ok := s.workers[id]; ok && !w.cordoned {
			w.upkeepOrderedAt = 0
		}
	}
}

// CountAttempts counts the attempts that may be running on a worker.
func (s *Shard) CountAttempts(id platform.WorkerID) (longRunning, batch int) {
	w, ok := s.workers[id]
	if !ok {
		return 0, 0
	}
	for _, a := range w.attempts {
		if a.isLongRunning() {
			longRunning++
		} else {
			batch++
		}
	}
	return longRunning, batch
}

// stopResumable stops the resumable tasks of a worker that is about to terminate.
func (p *placement) stopResumable(w *workerState) {
	if !w.cordoned && p.now < w.drainEnd-p.shard.bounds.StopGrace-drainStopMargin {
		return
	}
	for _, a := range w.sortedAttempts() {
		if a.phase == running && a.task != nil && a.task.step.spec.Checkpointing && a.mayStop() {
			p.shard.stopAttempt(p.now, a, reasonDraining)
		}
	}
}

// isLongRunning reports whether the attempt belongs to a long-running task.
func (a *attempt) isLongRunning() bool { return a.task != nil && a.task.step.spec.LongRunning }

// sortedAttempts returns the attempts on a worker ordered by task.
func (w *workerState) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return compareRefs(a.ref, b.ref) })
	return list
}
