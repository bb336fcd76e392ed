package scheduler

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// waitingSteps are the steps that have tasks without a worker.
type waitingSteps struct {
	steps []*stepRun
	// sorted is set while no step was added since the last sort.
	sorted bool
}

// add lets a step wait of which a task has become startable.
func (q *waitingSteps) add(r *stepRun) {
	r.tried = false
	if r.queued {
		return
	}
	r.queued = true
	q.steps = append(q.steps, r)
	q.sorted = false
}

// sort brings the steps into the order in which they get workers.
func (q *waitingSteps) sort(nowMS int64) {
	slices.SortStableFunc(q.steps, func(a, b *stepRun) int { return compareSteps(a, b, nowMS) })
	q.sorted = true
}

// any reports whether a task waits.
func (q *waitingSteps) any() bool {
	return slices.ContainsFunc(q.steps, func(r *stepRun) bool { return len(r.startable) > 0 })
}

// Waiting counts the tasks that wait for a worker, by priority.
func (s *Shard) Waiting() map[int]int {
	tasks := map[int]int{}
	for _, r := range s.waiting.steps {
		tasks[r.job.sub.Priority] += len(r.startable)
	}
	return tasks
}

// compact forgets the steps of which no task waits any more.
func (q *waitingSteps) compact() {
	q.steps = slices.DeleteFunc(q.steps, func(r *stepRun) bool {
		r.queued = len(r.startable) > 0
		return !r.queued
	})
}

// PlanPeriod is the longest time between two plans: what only time brings about,
// such as the end of a lease, is noticed by then.
const PlanPeriod = 200 * time.Millisecond

// Plan decides what is to be done now. nowMS is the time of day in Unix
// milliseconds. Plan has to be called again after PlanPeriod or after the next
// answer, whichever comes first.
func (s *Shard) Plan(now Instant, nowMS int64) Actions {
	s.now, s.nowMS = now, nowMS
	whole := s.agenda.begin(now)
	if whole {
		s.expire(now)
		s.notePeak(now)
		for _, w := range s.workers {
			s.repeatStops(now, w)
			s.orderPaces(now, w)
		}
	}
	for _, w := range s.agenda.changed {
		s.orderPaces(now, w)
	}
	s.unroll(now)
	p := placement{shard: s, now: now, whole: whole}
	p.place()
	if whole {
		p.evacuate()
	}
	s.agenda.end()
	return s.takePending()
}

// place starts waiting tasks in order while there is room.
func (p *placement) place() {
	waiting := &p.shard.waiting
	waiting.compact()
	if len(waiting.steps) == 0 {
		return
	}
	if p.whole || !waiting.sorted {
		waiting.sort(p.shard.nowMS)
	}
	for _, r := range waiting.steps {
		p.step(r)
		if len(r.startable) > 0 {
			p.explain(r)
		}
	}
}

// heldPeriod is the time between two notes on the same step that waits.
const heldPeriod = time.Second

// explain notes why the tasks of a step wait, if they do so for long.
func (p *placement) explain(r *stepRun) {
	t := r.startable[0]
	if p.now-t.ready < heldPeriod || p.now-r.explained < heldPeriod {
		return
	}
	r.explained = p.now
	note := HeldNote{
		Job: r.job.id, Occurrence: r.occurrence, Step: r.number, Waiting: len(r.startable), Waited: p.now - t.ready,
	}
	if !p.sure(t) {
		note.Unheard = p.shard.unresolved(p.now)
	}
	image := p.shard.headroom.Image(r.step.Image)
	for _, w := range p.all(p.service(r)) {
		switch {
		case !r.step.Reserved().Fits(w.free()):
			note.NoRoom++
		case !feasible(t, w):
			note.Unfit++
		case r.step.Fills && !p.shard.harmless(p.now, r.step, image, w):
			note.Harmful++
		}
	}
	p.shard.notes.Held = append(p.shard.notes.Held, note)
}

// service returns the service whose workers run a step.
func (p *placement) service(r *stepRun) platform.ServiceName {
	return p.shard.serviceOf(r.job.sub.Queue, r.job.sub.Service)
}

// placement is one pass over the waiting tasks.
type placement struct {
	shard *Shard
	now   Instant
	// whole is set if every step is tried on every worker.
	whole bool
	// settled tells whether no attempt of an earlier owner is unknown, once asked.
	settled *bool
	// workers and changed are those that may get tasks, all and those with a change
	// since the last plan, by service. Both are nil until they are asked for.
	workers, changed map[platform.ServiceName][]*workerState
}

// all returns the workers of a service that may get new tasks at all.
func (p *placement) all(service platform.ServiceName) []*workerState {
	if p.workers == nil {
		p.workers = p.takers(p.shard.roster)
	}
	return p.workers[service]
}

// candidates returns the workers on which a step is tried: the others had no room
// for it when it was tried last, and nothing has changed there since.
func (p *placement) candidates(r *stepRun) []*workerState {
	if p.whole || !r.tried {
		return p.all(p.service(r))
	}
	if p.changed == nil {
		p.changed = p.takers(p.shard.agenda.changed)
	}
	some := p.changed[p.service(r)]
	if len(some) > 0 && (r.step.Gang || r.advice != nil) {
		// Members of a gang and questions for advice need more than the changed ones.
		return p.all(p.service(r))
	}
	return some
}

// takers returns the workers of a list that may get new tasks at all, by service
// and sorted.
func (p *placement) takers(list []*workerState) map[platform.ServiceName][]*workerState {
	takers := map[platform.ServiceName][]*workerState{}
	for _, w := range list {
		if w.usable() && w.health.takes(p.now, w) {
			takers[w.info.Service] = append(takers[w.info.Service], w)
		}
	}
	for _, some := range takers {
		slices.SortFunc(some, compareWorkers)
	}
	return takers
}

// step starts the tasks of a step for which there is a worker.
func (p *placement) step(r *stepRun) {
	q := p.shard.config.Queues[r.job.sub.Queue]
	r.advised(q)
	candidates := p.candidates(r)
	if len(candidates) == 0 {
		return
	}
	image := p.shard.headroom.Image(r.step.Image)
	if r.step.Gang {
		p.gang(r, image, candidates)
	} else {
		p.each(r, image, candidates)
	}
	r.tried = !slices.ContainsFunc(r.startable, func(t *task) bool { return !p.sure(t) })
	if len(r.startable) > 0 && r.advice != nil && q != nil && q.Advice != nil {
		p.ask(r, q, candidates)
	}
}

// advised notes whether the queue's workers need a permission.
func (r *stepRun) advised(q *queue.Queue) {
	if q != nil && q.Advice != nil && r.advice == nil {
		r.advice = &advice{answers: map[platform.WorkerID]permission{}}
	}
}

// each starts the tasks of a step one by one.
func (p *placement) each(r *stepRun, image headroom.Image, candidates []*workerState) {
	// Starting a task takes it out of those that wait.
	for _, t := range slices.Clone(r.startable) {
		if !p.sure(t) {
			continue
		}
		w := p.choose(t, image, candidates)
		if w == nil {
			return
		}
		p.shard.order(p.now, p.shard.assume(p.now, t, w, t.nextAttempt(p.shard)))
	}
}

// choose returns the worker with the best score, or nil if none can take the
// task.
func (p *placement) choose(t *task, image headroom.Image, candidates []*workerState) *workerState {
	var best *workerState
	bestScore := 0.0
	for _, w := range candidates {
		if !t.step.permitted(p.now, w) || !feasible(t, w) || t.step.step.Fills && !p.shard.harmless(p.now, t.step.step, image, w) {
			continue
		}
		if score := p.shard.score(t.step.step, image, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// nextAttempt returns an attempt of a task that was surely not used before.
func (t *task) nextAttempt(s *Shard) platform.Attempt { return max(t.attempt+1, s.firstAttempt) }

// assume reserves room for an attempt on a worker, as if it ran there.
func (s *Shard) assume(now Instant, t *task, w *workerState, number platform.Attempt) *attempt {
	s.withdraw(t)
	s.noteStart(now, t.step.step)
	a := &attempt{
		task: t, ref: t.ref(), worker: w, number: number, image: s.headroom.Image(t.step.step.Image),
		size: t.step.step.Reserved(), ordered: now, checkpoint: t.checkpoint, ticket: t.step.ticket(w), percent: 100, told: 100,
	}
	s.reserve(now, a)
	return a
}

// order gives the order to start an assumed attempt.
func (s *Shard) order(now Instant, a *attempt) {
	s.markStarted(a.task.step.job)
	s.pending.Starts = append(s.pending.Starts, s.startAction(now, a))
}
