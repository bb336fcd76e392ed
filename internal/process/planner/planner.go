// Package planner makes the scheduling decisions for one shard. It maintains the
// placement cache and the queue, updates its models from worker reports, assigns
// waiting tasks and decides on mitigations when services miss their targets. It does
// no I/O: times and a random source are passed in, assignments and actions are
// returned. It is not safe for concurrent use.
package planner

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/estimate"
	"github.com/siskinvane/siskinvane/internal/process/interference"
	"github.com/siskinvane/siskinvane/internal/process/place"
	"github.com/siskinvane/siskinvane/internal/process/pressure"
	"github.com/siskinvane/siskinvane/internal/process/probe"
)

// avoidDuration is how long a moved task is not placed on the worker it was moved from.
const avoidDuration = 2 * time.Minute

// preemptionRetryInterval is how long an urgent task waits for resources to become free
// after a preemption before more tasks are preempted for it.
const preemptionRetryInterval = 15 * time.Second

// unprofiledPeriod is how long the running tasks of a template without a usage report
// are limited.
const unprofiledPeriod = 2 * time.Minute

// unprofiledTasks counts the running tasks of a template without a usage report. The
// first one was assigned at since.
type unprofiledTasks struct {
	running int
	since   time.Time
}

// lastMove records the last move of a task.
type lastMove struct {
	from platform.WorkerID
	at   time.Time
}

// Assignment assigns a waiting task to a worker.
type Assignment struct {
	Task   platform.TaskID
	Worker platform.WorkerID
	// Size is the resources to reserve.
	Size platform.Resources
	// Reason explains the choice of the worker to operators.
	Reason string
}

// Planner makes the scheduling decisions for one shard.
type Planner struct {
	cache      *place.Cache
	queue      *place.Queue
	scheduler  *place.Scheduler
	model      *interference.Model
	history    *interference.History
	estimates  *estimate.Estimates
	prober     *probe.Prober
	controller *pressure.Controller
	pacer      pressure.Pacer
	budget     place.EvictionBudget
	rng        *rand.Rand

	latencyBounds   map[platform.ClassName]time.Duration
	lastMeasurement map[platform.WorkerID]measurementID
	lastMoves       map[platform.TaskID]lastMove
	unprofiled      map[estimate.Template]*unprofiledTasks
	// progress holds the last measured progress of each batch task.
	progress         map[platform.TaskID]progress
	typicalLogTime   logTimes
	pendingEvictions []pressure.Action
	// preemptedAt holds, for waiting urgent tasks, the time of the last preemption.
	preemptedAt map[platform.TaskID]time.Time
	// suspects holds the workers that are suspected to be faulty.
	suspects map[platform.WorkerID]bool
	// largestWorker holds the largest processor and the largest memory capacity of
	// any worker, not necessarily the same one.
	largestWorker platform.Resources
}

// New returns a planner without workers and tasks.
func New(rng *rand.Rand) *Planner {
	model := interference.NewModel()
	return &Planner{
		cache: place.NewCache(), queue: place.NewQueue(), scheduler: place.NewScheduler(model),
		model: model, history: interference.NewHistory(), estimates: estimate.New(),
		prober: probe.NewProber(), controller: pressure.NewController(), rng: rng,
		latencyBounds:   map[platform.ClassName]time.Duration{},
		lastMeasurement: map[platform.WorkerID]measurementID{},
		lastMoves:       map[platform.TaskID]lastMove{},
		unprofiled:      map[estimate.Template]*unprofiledTasks{},
		suspects:        map[platform.WorkerID]bool{}, preemptedAt: map[platform.TaskID]time.Time{},
		progress: map[platform.TaskID]progress{}, typicalLogTime: logTimes{},
	}
}

// SetLatencyBound sets the target for the tail latency of a class of services.
func (p *Planner) SetLatencyBound(class platform.ClassName, bound time.Duration) {
	p.latencyBounds[class] = bound
}

// SetQuotas sets the quota of each team in the shard: the maximum total declared size
// of its tasks at a time. A team without an entry has a quota of zero. If shares is
// nil, no team is limited. The caller must not modify shares afterwards.
func (p *Planner) SetQuotas(shares map[platform.TeamName]platform.Resources) {
	p.cache.SetQuotas(shares)
}

// Cache returns the placement cache. The caller must not modify it.
func (p *Planner) Cache() *place.Cache { return p.cache }

// Waiting returns the number of waiting tasks.
func (p *Planner) Waiting() int { return p.queue.Len() }

// Model returns the interference model. The caller must not modify it.
func (p *Planner) Model() *interference.Model { return p.model }

// Enqueue adds a task to the queue. A task that is queued already keeps its position.
// Size in the request is the declared size.
func (p *Planner) Enqueue(item place.Item) { p.queue.Add(item) }

// Dequeue removes a task from the queue that should no longer be assigned.
func (p *Planner) Dequeue(id platform.TaskID) {
	p.queue.Remove(id)
	delete(p.preemptedAt, id)
}

// RemoveTasksIf removes every waiting task, and ends every attempt, whose task matches.
func (p *Planner) RemoveTasksIf(match func(platform.TaskID) bool, now time.Time) {
	p.queue.RemoveIf(match)
	p.cache.EachResident(func(r *place.Resident) {
		if match(r.Task) {
			p.End(AttemptEnd{Task: r.Task, Outcome: NotStarted}, now)
		}
	})
}

// ConfirmTask records a task whose assignment is committed to the log.
func (p *Planner) ConfirmTask(r place.Resident) {
	p.queue.Remove(r.Task)
	p.cache.ConfirmTask(r)
}

// templateOf returns the key of a task's resource estimate: its service, or else its
// template.
func templateOf(t platform.TemplateName, s platform.ServiceName) estimate.Template {
	if s != "" {
		return estimate.Template("service " + s)
	}
	return estimate.Template("template " + t)
}

// Plan assigns at most limit waiting tasks. The caller must revoke an assignment that
// does not take effect, by ending the task as never started.
func (p *Planner) Plan(now time.Time, limit int) []Assignment {
	var out []Assignment
	nonUrgentLeft := p.pacer.Allowed(now, p.cache.ResidentCount(), limit)
	p.refreshWorkers(now)
	p.queue.BeginRound()
	for len(out) < limit {
		item, ok := p.queue.Next(nonUrgentLeft > 0)
		if !ok {
			break
		}
		a, ok := p.assign(item, now)
		if !ok {
			p.queue.BlockShape(item.Task)
			continue
		}
		if !item.Urgent {
			nonUrgentLeft--
			p.pacer.RecordStart(now)
		}
		out = append(out, a)
	}
	return out
}

// assign places one task and assumes it in the cache. It reports whether a worker was
// found.
func (p *Planner) assign(item place.Item, now time.Time) (Assignment, bool) {
	template := templateOf(item.Template, item.Service)
	item.Declared = item.Size
	item.Size = p.size(template, item.Size)
	if !item.Urgent && !p.withinUnprofiledLimit(template, now) {
		return Assignment{}, false
	}
	item.Avoid = p.avoidedWorkers(&item, now)
	d := p.scheduler.Place(item.Request, p.cache, p.rng)
	if d.Worker == "" {
		p.preemptFor(item.Request, now)
		return Assignment{}, false
	}
	err := p.cache.AssumeTask(place.Resident{
		Task: item.Task, Team: item.Team, Class: item.Class, Template: item.Template,
		Service: item.Service, Worker: d.Worker, Size: item.Size, Declared: item.Declared, Urgent: item.Urgent, SavedAt: now,
	})
	if err != nil {
		return Assignment{}, false
	}
	p.recordAssignment(item, template, d.Worker, now)
	return Assignment{Task: item.Task, Worker: d.Worker, Size: item.Size, Reason: d.Reason}, true
}

// size returns the resources to reserve. The estimate is capped so that it never makes
// a task too large for every worker.
func (p *Planner) size(t estimate.Template, declared platform.Resources) platform.Resources {
	size := p.estimates.Size(t, declared)
	size.MilliCPU = min(size.MilliCPU, max(declared.MilliCPU, p.largestWorker.MilliCPU))
	size.MemoryMB = min(size.MemoryMB, max(declared.MemoryMB, p.largestWorker.MemoryMB))
	return size
}

// avoidedWorkers returns the workers on which a task should not be placed: those it
// failed on, unless it failed on all, and for avoidDuration the one it was moved from.
func (p *Planner) avoidedWorkers(item *place.Item, now time.Time) []platform.WorkerID {
	var list []platform.WorkerID
	if len(item.Avoid) < p.cache.Len() {
		list = slices.Clone(item.Avoid)
	}
	m, ok := p.lastMoves[item.Task]
	switch {
	case !ok:
	case now.Sub(m.at) > avoidDuration:
		delete(p.lastMoves, item.Task)
	default:
		list = append(list, m.from)
	}
	return list
}

// withinUnprofiledLimit reports whether one more task of a template may run. Before the
// first usage report only a few may, since the declared size may be far off. A
// template whose usage is never reported is limited for unprofiledPeriod only.
func (p *Planner) withinUnprofiledLimit(t estimate.Template, now time.Time) bool {
	u := p.unprofiled[t]
	return p.estimates.Profiled(t) || u == nil || u.running < estimate.UnprofiledLimit || now.Sub(u.since) > unprofiledPeriod
}

// recordAssignment updates the planner's state after an assignment.
func (p *Planner) recordAssignment(item place.Item, t estimate.Template, w platform.WorkerID, now time.Time) {
	p.countUnprofiled(t, 1, now)
	p.queue.MarkPlaced(item.Task)
	delete(p.preemptedAt, item.Task)
	p.budget.AddStarts(1)
	p.prober.Assigned(w, item.Task)
	if p.suspects[w] {
		p.updateWorker(p.cache.Worker(w).WorkerInfo, now)
	}
	p.recordNeighbours(w, now)
}

// countUnprofiled adds n to the running tasks of a template without a usage report.
func (p *Planner) countUnprofiled(t estimate.Template, n int, now time.Time) {
	if p.estimates.Profiled(t) {
		delete(p.unprofiled, t)
		return
	}
	u := p.unprofiled[t]
	if u == nil {
		u = &unprofiledTasks{since: now}
		p.unprofiled[t] = u
	}
	u.running = max(u.running+n, 0)
}

// recordNeighbours adds the classes that are now on a worker to the history.
func (p *Planner) recordNeighbours(w platform.WorkerID, now time.Time) {
	if v := p.cache.Worker(w); v != nil {
		p.history.Record(w, now, v.Neighbours)
	}
}

// preemptFor selects batch tasks to evict in favour of an urgent task. The evictions
// are returned with the next actions.
func (p *Planner) preemptFor(r place.Request, now time.Time) {
	if at, ok := p.preemptedAt[r.Task]; !r.Urgent || (ok && now.Sub(at) < preemptionRetryInterval) {
		return
	}
	found, ok := p.scheduler.Preempt(r, p.cache, p.rng, now, p.budget.Available())
	if !ok {
		return
	}
	p.preemptedAt[r.Task] = now
	p.budget.Spend(len(found.Tasks))
	for _, id := range found.Tasks {
		p.cache.MarkEvicting(id)
		p.pendingEvictions = append(p.pendingEvictions, pressure.Action{
			Kind: pressure.Move, Task: id, Worker: found.Worker, Reason: "room for urgent task " + string(r.Task),
		})
	}
}

// NextActions returns the actions to take on running tasks now: evictions for urgent
// tasks, and mitigations for services that miss their targets.
func (p *Planner) NextActions(now time.Time) []pressure.Action {
	actions := append(p.pendingEvictions, p.controller.Step(now, p.cache, p.model, &p.budget)...)
	p.pendingEvictions = nil
	for _, a := range actions {
		if a.Kind != pressure.Throttle {
			p.lastMoves[a.Task] = lastMove{from: a.Worker, at: now}
		}
		p.recordNeighbours(a.Worker, now)
	}
	return actions
}
