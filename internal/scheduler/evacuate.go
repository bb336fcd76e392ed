package scheduler

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
)

// What runs on a worker when it leaves is lost, and may start elsewhere only once its
// leases have surely run out, 5 s later. Work is moved before that: tasks without an
// end as soon as there is room elsewhere, tasks that can resume as late as possible,
// since most of them end first.

const (
	// savedBefore is how long before a worker leaves its tasks are stopped that can
	// resume, beside the time that a stop may take: a sweep, an order, a worker's answer
	// that lists the end, and as much again for an order that has to be repeated.
	savedBefore = 400 * time.Millisecond
	// movedAtOnce bounds the lasting tasks that are between two workers because theirs
	// leave. A stop takes up to 0.9 s and a worker runs about five such tasks, so that
	// two workers a second can be left.
	movedAtOnce = 8
)

// noteLeaving notes when a worker that drains ends at the earliest.
func (w *workerState) noteLeaving(now Instant, info fleet.Worker) {
	if !info.Draining {
		w.leaves = 0
		return
	}
	// An entry may be read again long after it was written.
	if leaves := now + info.Remaining; w.leaves == 0 || leaves < w.leaves {
		w.leaves = leaves
	}
}

// evacuate stops what would be lost with the workers that drain or are cordoned.
func (p *placement) evacuate() {
	var leaving []*workerState
	for _, w := range p.shard.roster {
		if (w.leaves != 0 || w.cordoned) && !w.silent() {
			leaving = append(leaving, w)
		}
	}
	if len(leaving) == 0 {
		return
	}
	slices.SortStableFunc(leaving, func(a, b *workerState) int { return int(a.leaves - b.leaves) })
	moving := p.shard.betweenWorkers(leaving)
	for _, w := range leaving {
		moving = p.moveLasting(w, moving)
		p.saveWork(w)
	}
}

// betweenWorkers counts the lasting tasks that are stopping on some workers or wait
// for one.
func (s *Shard) betweenWorkers(workers []*workerState) int {
	n := 0
	for _, w := range workers {
		for _, a := range w.attempts {
			if a.lasting() && a.phase != running {
				n++
			}
		}
	}
	for _, r := range s.waiting.steps {
		if r.step.LongRunning {
			n += len(r.startable)
		}
	}
	return n
}

// moveLasting stops the lasting tasks of a worker for which there is room elsewhere.
// So many are between two workers already; it returns how many are then.
func (p *placement) moveLasting(w *workerState, moving int) int {
	for _, a := range w.sorted() {
		if moving >= movedAtOnce {
			break
		}
		if a.phase != running || !a.lasting() || w.leaves == 0 && !a.task.step.spares() {
			continue
		}
		r := a.task.step
		if p.choose(a.task, a.image, p.all(p.service(r))) == nil {
			continue
		}
		p.shard.stop(p.now, a, reasonLeaving)
		moving++
	}
	return moving
}

// spares reports whether one more task of a step may be stopped on a worker that
// could go on: no more of them may be away at a time than its caller allows.
func (r *stepRun) spares() bool {
	if r.step.MayMiss == 0 {
		return true
	}
	away := 0
	for _, t := range r.tasks {
		if !slices.ContainsFunc(t.live, func(a *attempt) bool { return a.phase == running && a.progress == atWork }) {
			away++
		}
	}
	return away < r.step.MayMiss
}

// atWork is the progress of a lasting task that is at work, in percent.
const atWork = 100

// SetCordoned names the workers that get no new tasks and are to be left, although
// they could go on: their machines are to have their upkeep.
func (s *Shard) SetCordoned(ids []platform.WorkerID) {
	for _, w := range s.workers {
		cordoned := slices.Contains(ids, w.info.ID)
		if w.cordoned != cordoned {
			w.cordoned = cordoned
			s.agenda.all = true
		}
	}
}

// LoadOf counts what may run on a worker: tasks without an end, and others.
func (s *Shard) LoadOf(id platform.WorkerID) (lasting, short int) {
	w, ok := s.workers[id]
	if !ok {
		return 0, 0
	}
	for _, a := range w.attempts {
		if a.lasting() {
			lasting++
		} else {
			short++
		}
	}
	return lasting, short
}

// saveWork stops the tasks that can resume once their worker is about to leave.
func (p *placement) saveWork(w *workerState) {
	if !w.cordoned && p.now < w.leaves-p.shard.bounds.StopGrace-savedBefore {
		return
	}
	for _, a := range w.sorted() {
		if a.phase == running && a.task != nil && a.task.step.step.Checkpointing {
			p.shard.stop(p.now, a, reasonLeaving)
		}
	}
}

// lasting reports whether the attempt is of a task without an end.
func (a *attempt) lasting() bool { return a.task != nil && a.task.step.step.LongRunning }

// sorted returns the attempts on a worker in the order of their tasks.
func (w *workerState) sorted() []*attempt {
	list := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return compareRefs(a.ref, b.ref) })
	return list
}
