package scheduler

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
)

// waitingSteps are the steps that have tasks waiting for a worker.
type waitingSteps struct {
	steps []*stepRun
	// sorted is set while no step was added since the last sort.
	sorted bool
}

// add queues a step after one of its tasks has become startable.
func (q *waitingSteps) add(r *stepRun) {
	r.triedAll = false
	if r.queued {
		return
	}
	r.queued = true
	q.steps = append(q.steps, r)
	q.sorted = false
}

// sort orders the steps by the order in which they get workers.
func (q *waitingSteps) sort(nowMS int64) {
	slices.SortStableFunc(q.steps, func(a, b *stepRun) int { return compareSteps(a, b, nowMS) })
	q.sorted = true
}

// hasTasks reports whether any task is waiting.
func (q *waitingSteps) hasTasks() bool {
	return slices.ContainsFunc(q.steps, func(r *stepRun) bool { return len(r.startable) > 0 })
}

// Waiting counts the tasks that wait for a worker, by priority. Those of due occurrences that
// are not held count too.
func (s *Shard) Waiting() map[int]int {
	tasks := map[int]int{}
	for _, r := range s.waiting.steps {
		tasks[r.job.sub.Priority] += len(r.startable)
	}
	for _, j := range s.periodic {
		tasks[j.sub.Priority] += max(0, countDue(&j.sub.Spec, s.nowMS)-j.next) * j.sub.Spec.TasksPerOccurrence()
	}
	return tasks
}

// compact removes the steps that have no waiting tasks any more.
func (q *waitingSteps) compact() {
	q.steps = slices.DeleteFunc(q.steps, func(r *stepRun) bool {
		r.queued = len(r.startable) > 0
		return !r.queued
	})
}

// PlanPeriod is the longest time between two plans: changes that only the passing of
// time causes, such as the expiry of a lease, are noticed within it.
const PlanPeriod = 200 * time.Millisecond

// Plan returns the orders to send now. nowMS is the time of day in Unix milliseconds.
// maxStarts is the number of start orders that can be sent now: tasks beyond it keep
// waiting. The members of a gang start together, also if they exceed it, and repeated
// start orders count towards it but are not held back. Plan must be called again after
// PlanPeriod or after the next answer, whichever comes first.
func (s *Shard) Plan(now Instant, nowMS int64, maxStarts int) Actions {
	s.now, s.nowMS = now, nowMS
	s.updateReservations(now)
	full := s.dirty.beginPlan(now)
	if full {
		s.updateSuccessions(now)
		s.expireLeases(now)
		s.forgetEmptied(now)
		s.updateBatchPeak(now)
		s.noteUnheard(now)
		s.noteEvacuations(now)
		for _, w := range s.workers {
			s.repeatStops(now, w)
			s.issueThrottleOrders(now, w)
		}
	}
	for _, w := range s.dirty.unplanned() {
		s.issueThrottleOrders(now, w)
	}
	s.addDueOccurrences(now)
	p := placement{
		shard: s, now: now, full: full || s.dirty.placeAll, startsLeft: maxStarts - len(s.pending.Starts),
		unplaceable: map[*stepRun]bool{}, freeServices: map[platform.ServiceName]bool{}, tryable: map[platform.ServiceName][]*workerState{},
	}
	p.place()
	if s.startOrders.planned(now, p.issued, p.cutShort && s.waiting.hasTasks()) && full {
		s.updateStartDemand()
	}
	if full {
		p.drainWorkers()
	}
	s.dirty.endPlan(p.cutShort && !p.full)
	return s.takePending()
}

// place starts waiting tasks in order while there is room and start orders are left.
func (p *placement) place() {
	if p.startsLeft <= 0 {
		p.cutShort, p.shard.dirty.placeAll = true, p.full
		p.noteHeldUp(p.shard.waiting.steps)
		return
	}
	p.shard.dirty.placeAll = false
	waiting := &p.shard.waiting
	waiting.compact()
	if len(waiting.steps) == 0 {
		return
	}
	if p.full || !waiting.sorted {
		waiting.sort(p.shard.nowMS)
	}
	p.placeStarved()
	for i, r := range waiting.steps {
		if p.startsLeft <= 0 {
			p.leaveSteps(waiting.steps[i:])
			return
		}
		if !p.unplaceable[r] {
			p.placeStep(r)
			if len(r.startable) > 0 && p.isCleared(r) && p.mostlyFree(r) {
				p.placeOnTrial(r, 0)
			}
		}
		if len(r.startable) > 0 {
			p.reserve(r)
			p.noteWaiting(r, false)
		}
	}
}

// leaveSteps leaves steps to a later plan because no start orders are left. If they were
// to be tried on every worker, they still are; otherwise the dirty set is kept.
func (p *placement) leaveSteps(steps []*stepRun) {
	p.cutShort = true
	p.noteHeldUp(steps)
	if !p.full {
		return
	}
	for _, r := range steps {
		r.triedAll = false
	}
}

// waitingNoteInterval is the time between two notes on the same waiting step.
const waitingNoteInterval = time.Second

// heldUpNoteInterval is the time between two notes on steps for which no start orders are
// left, since there may be hundreds of them.
const heldUpNoteInterval = 200 * time.Millisecond

// noteHeldUp adds a note on one of the steps for which no start orders are left: the one
// that has waited longest of those not noted lately.
func (p *placement) noteHeldUp(steps []*stepRun) {
	notedAt := &p.shard.startOrders.notedAt
	if p.now-*notedAt < heldUpNoteInterval {
		return
	}
	var longest *stepRun
	for _, r := range steps {
		if p.mayNote(r) && (longest == nil || r.startable[0].queuedAt < longest.startable[0].queuedAt) {
			longest = r
		}
	}
	if longest != nil {
		*notedAt = p.now
		p.noteWaiting(longest, true)
	}
}

// mayNote reports whether the tasks of a step have waited for a long time without a note.
func (p *placement) mayNote(r *stepRun) bool {
	return len(r.startable) > 0 && p.now-r.startable[0].queuedAt >= waitingNoteInterval && p.now-r.waitingNotedAt >= waitingNoteInterval
}

// noteWaiting adds a note on why the tasks of a step are waiting, if they have waited
// for a long time. heldUp is set if no start order is left for them.
func (p *placement) noteWaiting(r *stepRun, heldUp bool) {
	if !p.mayNote(r) {
		return
	}
	t := r.startable[0]
	r.waitingNotedAt = p.now
	note := WaitingNote{
		Job: r.job.id, Occurrence: r.occurrence, Step: r.stepIndex, Waiting: len(r.startable), Waited: p.now - t.queuedAt,
		HeldUp: heldUp, MostlyFree: p.mostlyFree(r), Size: r.spec.Reserved(),
	}
	if r.job.liveAttempts == 0 {
		note.Idle = p.now - max(t.queuedAt, r.job.idleSince)
	}
	if !p.safeToStart(t) {
		note.Unreconciled = p.shard.countMayRun(p.now, t.ref())
	}
	if !p.shard.CapacitiesKnown(p.now) {
		note.EntriesAge = p.now - p.shard.entries.readThrough
	}
	p.countUnsuitable(r, &note)
	p.shard.notes.Held = append(p.shard.notes.Held, note)
}

// countUnsuitable counts the registered workers of a step's service by the first reason for
// which they cannot take a task of the step.
func (p *placement) countUnsuitable(r *stepRun, note *WaitingNote) {
	image := p.shard.headroom.Image(r.spec.Image)
	t := r.startable[0]
	for _, w := range p.shard.sortedWorkers {
		if !w.registered || w.info.Service != p.service(r) {
			continue
		}
		switch {
		case w.evacuated:
			note.Evacuated++
		case !w.schedulable() || !w.runCertain(p.now):
			note.Unusable++
		case !w.health.accepts(p.now, w):
			note.SetAside++
		case !r.spec.Reserved().Fits(w.free()):
			note.NoRoom++
			note.addGap(w)
		case !feasible(r, w):
			note.Unfit++
		case !r.permitted(p.now, w):
			note.Unpermitted++
		case r.spec.Fills && !p.shard.headroomAllows(p.now, r.spec, image, w):
			lacking := p.shard.lackingHeadroom(p.now, r.spec, image, w)
			if note.Harmful == 0 || lacking < note.LackingHeadroom {
				note.LackingHeadroom = lacking
			}
			note.Harmful++
		case !p.isolated(t, w) || w.attempts[t.ref()] != nil:
			note.Occupied++
		case !p.shard.mayStartOn(p.now, t, w):
			note.OpenStart++
		}
	}
}

// addGap adds the free CPU of a worker that has too little room for a task.
func (n *WaitingNote) addGap(w *workerState) {
	free := max(0, w.free().MilliCPU)
	n.LargestGap = max(n.LargestGap, free)
	n.Free += free
}

// service returns the service whose workers run a step.
func (p *placement) service(r *stepRun) platform.ServiceName {
	return p.shard.serviceOf(r.job.sub.Queue, r.job.sub.Service)
}

// placement is one pass over the waiting tasks.
type placement struct {
	shard *Shard
	now   Instant
	// full is set if every step is tried on every worker.
	full bool
	// startsLeft is how many more start orders can be sent. cutShort is set once a
	// waiting task was not tried because none were left.
	startsLeft int
	cutShort   bool
	// onTrial is set while a step of fillers is tried without regard to headroom, urgent if it
	// may join other trials.
	onTrial, urgent bool
	// starving is set while one task of a starved step is tried.
	starving bool
	// searches counts the steps for which this plan has looked for workers to reserve.
	searches int
	// issued counts the start orders of this plan.
	issued int
	// unplaceable are the starved steps for which this plan has found no worker.
	unplaceable map[*stepRun]bool
	// freeServices caches mostlyFree by service, tryable the workers on which a trial could
	// begin when the plan was begun.
	freeServices map[platform.ServiceName]bool
	tryable      map[platform.ServiceName][]*workerState
	// untracked caches the tasks that earlier owners may have left running; nil until needed.
	untracked *untrackedTasks
	// schedulable are the workers that may get tasks, and schedulableDirty those of
	// them that changed after the first dirtySince changes, by service. Both are nil
	// until needed.
	schedulable, schedulableDirty map[platform.ServiceName][]*workerState
	dirtySince                    int
}

// schedulableWorkers returns the workers of a service that may get new tasks at all.
func (p *placement) schedulableWorkers(service platform.ServiceName) []*workerState {
	if p.schedulable == nil {
		p.schedulable = p.groupSchedulable(p.shard.sortedWorkers)
	}
	return p.schedulable[service]
}

// candidates returns the workers on which a step is tried. The others could not run it
// when it was last tried, and have not changed since.
func (p *placement) candidates(r *stepRun) []*workerState {
	if p.onTrial {
		return p.trialWorkers(p.service(r))
	}
	if p.starving && r.spec.LongRunning && len(p.schedulableWorkers(p.service(r))) == 0 {
		return p.workersAside(p.service(r))
	}
	if p.full || !r.triedAll {
		return p.schedulableWorkers(p.service(r))
	}
	if p.schedulableDirty == nil || p.dirtySince != r.triedChanges {
		p.schedulableDirty = p.groupSchedulable(p.shard.dirty.since(r.triedChanges))
		p.dirtySince = r.triedChanges
	}
	dirty := p.schedulableDirty[p.service(r)]
	if len(dirty) > 0 && (r.spec.Gang || r.advice != nil) {
		// A gang or a request for advice needs more than the changed workers.
		return p.schedulableWorkers(p.service(r))
	}
	return dirty
}

// workersAside returns the workers of a service that are set aside and may be tried all the same.
func (p *placement) workersAside(service platform.ServiceName) []*workerState {
	if !p.shard.startsAllowed(p.now) {
		return nil
	}
	var list []*workerState
	for _, w := range p.shard.sortedWorkers {
		if w.info.Service == service && w.schedulable() && w.runCertain(p.now) && w.mayTryAside(p.now) {
			list = append(list, w)
		}
	}
	return list
}

// groupSchedulable returns the workers of a list that may get new tasks at all, grouped
// by service and sorted.
func (p *placement) groupSchedulable(list []*workerState) map[platform.ServiceName][]*workerState {
	byService := map[platform.ServiceName][]*workerState{}
	if !p.shard.startsAllowed(p.now) {
		return byService
	}
	for _, w := range list {
		if w.schedulable() && w.runCertain(p.now) && w.health.accepts(p.now, w) {
			byService[w.info.Service] = append(byService[w.info.Service], w)
		}
	}
	for service, workers := range byService {
		slices.SortFunc(workers, compareWorkers)
		byService[service] = slices.Compact(workers)
	}
	return byService
}

// placeStep starts the tasks of a step for which there is a worker.
func (p *placement) placeStep(r *stepRun) {
	p.shard.updateAdvice(r)
	candidates := p.candidates(r)
	r.triedChanges = p.shard.dirty.changes()
	if len(candidates) == 0 {
		return
	}
	image := p.shard.headroom.Image(r.spec.Image)
	if r.spec.Gang {
		p.placeGang(r, image, candidates)
	} else {
		p.placeTasks(r, image, candidates)
	}
	if p.cutShort {
		r.triedAll = false
		return
	}
	r.triedAll = !slices.ContainsFunc(r.startable, func(t *task) bool { return !p.safeToStart(t) })
	if len(r.startable) > 0 && r.advice != nil {
		p.requestAdvice(r, candidates)
	}
}

// placeTasks starts the tasks of a step one by one.
func (p *placement) placeTasks(r *stepRun, image headroom.ImageID, candidates []*workerState) {
	rated := p.rate(r, image, candidates)
	// Starting a task removes it from startable.
	for _, t := range slices.Clone(r.startable) {
		if !p.safeToStart(t) {
			continue
		}
		if p.startsLeft <= 0 {
			p.cutShort = true
			return
		}
		w := rated.best(t)
		if w == nil && (t.isSuspect() || p.shard.isBound(p.now, t)) {
			continue
		}
		if w == nil {
			return
		}
		p.issueStart(p.shard.assume(p.now, t, w, t.nextAttempt(p.shard)))
		rated.update(w)
	}
}

// nextAttempt returns an attempt number of a task that was never used before.
func (t *task) nextAttempt(s *Shard) platform.Attempt { return max(t.lastAttempt+1, s.firstAttempt) }

// assume reserves resources for an attempt on a worker as if it were running there.
func (s *Shard) assume(now Instant, t *task, w *workerState, number platform.Attempt) *attempt {
	s.dequeue(t)
	s.countStart(now, t.step.spec)
	a := &attempt{
		task: t, ref: t.ref(), worker: w, number: number, image: s.headroom.Image(t.step.spec.Image),
		size: t.step.spec.Reserved(), orderedAt: now, checkpoint: t.checkpoint, ticket: t.step.ticket(w), cpuPercent: 100, appliedPercent: 100,
	}
	s.trackAttempt(now, a)
	return a
}

// issueStart sends the start order of an assumed attempt.
func (p *placement) issueStart(a *attempt) {
	p.startsLeft--
	p.shard.useReservation(a)
	p.issued++
	a.worker.placedAt, a.task.heldSince = p.now, 0
	if a.task.isSuspect() {
		a.worker.soloUntil = p.now + settleTime
	}
	if p.onTrial {
		p.shard.beginTrial(p.now, a)
	}
	p.shard.startsInOrder++
	p.shard.pending.Starts = append(p.shard.pending.Starts, p.shard.startAction(a))
}
