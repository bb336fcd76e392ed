package planner

import (
	"maps"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/place"
)

// Outcome is the way in which an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// Finished attempts completed their work.
	Finished Outcome = iota + 1
	// Failed attempts ended through a fault of the task or its worker.
	Failed
	// Evicted attempts were stopped deliberately.
	Evicted
	// Lost attempts ended because their worker was lost or their lease expired.
	Lost
	// OOMKilled attempts were ended because their worker ran out of memory.
	OOMKilled
	// NotStarted attempts were assigned but never started.
	NotStarted
)

// AttemptEnd describes the end of one attempt.
type AttemptEnd struct {
	Task    platform.TaskID
	Outcome Outcome
	// Usage is the last measured usage of the attempt, or zero.
	Usage platform.Resources
}

// End records that a task's attempt is known to have ended. A task without an attempt
// is ignored.
func (p *Planner) End(e AttemptEnd, now time.Time) {
	r := p.cache.Resident(e.Task)
	if r == nil {
		return
	}
	template := templateOf(r.Template, r.Service)
	p.estimates.Observe(e.Task, template, unthrottledUsage(e.Usage, r))
	p.applyOutcome(*r, e, now)
	p.countUnprofiled(template, -1, now)
	worker := r.Worker
	p.cache.ForgetTask(e.Task)
	delete(p.progress, e.Task)
	p.controller.Forget(e.Task)
	p.recordNeighbours(worker, now)
}

// applyOutcome updates estimates, prober and pacer by the outcome of an attempt.
func (p *Planner) applyOutcome(r place.Resident, e AttemptEnd, now time.Time) {
	p.prober.Ended(r.Worker, r.Task, e.Outcome == Failed, now)
	switch e.Outcome {
	case Finished:
		p.estimates.ObserveFinish(r.Task, now.Sub(r.SavedAt))
		delete(p.lastMoves, r.Task)
	case Lost:
		p.pacer.RecordLoss(now, 1, p.cache.ResidentCount())
	}
	p.estimates.Forget(r.Task)
}

// SetWorker adds or updates a worker. SetAside in info marks the worker as suspected
// to be faulty; the planner decides when it gets a probe task.
func (p *Planner) SetWorker(info place.WorkerInfo, now time.Time) {
	if info.SetAside {
		p.suspects[info.ID] = true
	} else {
		delete(p.suspects, info.ID)
	}
	p.updateWorker(info, now)
}

// updateWorker updates a worker in the cache. SetAside in the cache follows the prober,
// which lets a probe task through from time to time.
func (p *Planner) updateWorker(info place.WorkerInfo, now time.Time) {
	info.SetAside = p.prober.Excluded(info.ID, p.suspects[info.ID], now)
	if v := p.cache.Worker(info.ID); v == nil || v.WorkerInfo != info {
		p.cache.SetWorker(info)
	}
}

// RemoveWorker stops placing tasks on a worker.
func (p *Planner) RemoveWorker(id platform.WorkerID) {
	p.cache.RemoveWorker(id)
	p.history.Forget(id)
	delete(p.lastMeasurement, id)
	delete(p.suspects, id)
	p.prober.Forget(id)
}

// refreshWorkers updates largestWorker and lets probe tasks through to suspect workers
// where they are due.
func (p *Planner) refreshWorkers(now time.Time) {
	p.largestWorker = platform.Resources{}
	p.cache.EachWorker(func(w *place.WorkerView) {
		p.largestWorker.MilliCPU = max(p.largestWorker.MilliCPU, w.Capacity.MilliCPU)
		p.largestWorker.MemoryMB = max(p.largestWorker.MemoryMB, w.Capacity.MemoryMB)
	})
	for _, id := range slices.Sorted(maps.Keys(p.suspects)) {
		if w := p.cache.Worker(id); w != nil {
			p.updateWorker(w.WorkerInfo, now)
		}
	}
}

// ExplainWaiting returns an explanation for operators of why a task waits or can never
// run.
func (p *Planner) ExplainWaiting(item place.Item, now time.Time) string {
	item.Declared = item.Size
	item.Size = p.size(templateOf(item.Template, item.Service), item.Size)
	return p.scheduler.ExplainWaiting(item, p.cache, now)
}

// CheckSubmit returns a *place.UnfitError if no worker is large enough for a task of
// the declared size.
func (p *Planner) CheckSubmit(declared platform.Resources) error {
	return p.cache.CheckSubmit(declared)
}
