package scheduler

import (
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
)

// ratings are the workers on which the tasks of a step can be placed, with their scores.
// They answer the load pattern of many wide steps: placing a task changes no worker but
// the one that it goes to, so all workers are rated once per step and not once per task.
// Ratings are valid within one placement of one step.
type ratings struct {
	placement *placement
	step      *stepRun
	image     headroom.ImageID
	rated     []rating
}

type rating struct {
	worker *workerState
	score  float64
	// full is set once the worker can take no further task of the step.
	full bool
}

// rate returns the ratings of the candidates that can take a task of a step.
func (p *placement) rate(r *stepRun, image headroom.ImageID, candidates []*workerState) *ratings {
	list := &ratings{placement: p, step: r, image: image}
	for _, w := range candidates {
		if p.accepts(r, image, w) {
			list.rated = append(list.rated, rating{worker: w, score: p.shard.score(r.spec, image, w)})
		}
	}
	return list
}

// accepts reports whether a worker can take one more task of a step.
func (p *placement) accepts(r *stepRun, image headroom.ImageID, w *workerState) bool {
	if !r.permitted(p.now, w) || !fits(r, w) || !p.leavesReserved(r, w) {
		return false
	}
	// An urgent filler is slow without spare CPU, but its job has waited with nothing running.
	if !r.spec.Fills || p.onTrial && p.urgent && w.mayTry(p.now, true) {
		return true
	}
	return w.hasSpareCPU(r.spec) && (p.shard.headroomAllows(p.now, r.spec, image, w) || p.onTrial && w.mayTry(p.now, false))
}

// best returns the worker with the highest score that can take a task, the first one of
// several, or nil. Workers that were lost under the task come last.
func (l *ratings) best(t *task) *workerState {
	best, bestCrashed := -1, false
	for i := range l.rated {
		c := &l.rated[i]
		if c.full || !l.placement.mayStartBeside(t, c.worker) || c.worker.attempts[t.ref()] != nil || !l.placement.shard.mayStartOn(l.placement.now, t, c.worker) {
			continue
		}
		crashed := t.crashedOn(c.worker)
		if best < 0 || bestCrashed && !crashed || bestCrashed == crashed && c.score > l.rated[best].score {
			best, bestCrashed = i, crashed
		}
	}
	if best < 0 {
		return nil
	}
	return l.rated[best].worker
}

// update rates a worker again after a task of the step was placed on it or withdrawn.
func (l *ratings) update(w *workerState) {
	for i := range l.rated {
		c := &l.rated[i]
		if c.worker != w {
			continue
		}
		c.full = !l.placement.accepts(l.step, l.image, w)
		if !c.full {
			c.score = l.placement.shard.score(l.step.spec, l.image, w)
		}
	}
}
