package policy

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/place"
	"github.com/siskinvane/siskinvane/internal/process/planner"
	"github.com/siskinvane/siskinvane/internal/process/pressure"
)

const (
	// startDelay is the time from an assignment until the task starts working.
	startDelay = 1 * time.Second
	// checkpointTime is how long a checkpoint takes; the task makes no progress
	// during it.
	checkpointTime = 3 * time.Second
	// restoreDelay is added to startDelay for a task that restores a checkpoint.
	restoreDelay = 2 * time.Second
	// failureDetectionTime is the time from the failure of a worker to its detection.
	failureDetectionTime = 15 * time.Second
	// planLimit is the maximum number of assignments per tick.
	planLimit = 64
	// warmUp is the time at the start of a run in which requests are not counted,
	// because all services start together.
	warmUp = 30 * time.Second
)

// pendingRequeue is a task that ended and returns to the queue once that end is known:
// the failure of its worker was detected, or its checkpoint is complete.
type pendingRequeue struct {
	task    *simTask
	knownAt time.Duration
}

// run is the simulation of one policy.
type run struct {
	*simulation
	decider   decider
	metrics   runMetrics
	lostTasks []pendingRequeue
	// evictedTasks holds the evicted tasks that write their checkpoint.
	evictedTasks []pendingRequeue
	nextArrival  int
	nextFailure  int
}

// Run simulates one policy on one mix with one seed.
func Run(mix *Mix, policy string, seed uint64) Result {
	r := &run{simulation: newSimulation(mix, seed), decider: newDecider(policy, mix, seed)}
	for _, m := range r.machines {
		m.registered = true
		r.decider.SetWorker(m.info, r.clock())
	}
	for i, s := range mix.services {
		for replica := range s.replicas {
			r.enqueue(r.newServiceTask(i, replica))
		}
	}
	for r.now = 0; r.now < runLength; r.now += tick {
		r.step()
	}
	return r.metrics.result(mix, policy, seed)
}

func (r *run) enqueue(t *simTask) {
	t.item.Since = r.clock()
	r.tasks[t.id] = t
	r.decider.Enqueue(t.item)
}

// step advances the simulation by one tick.
func (r *run) step() {
	r.enqueueArrivals()
	r.failWorkers()
	r.detectFailures()
	r.deliverReports()
	for _, a := range r.decider.Plan(r.clock(), planLimit) {
		r.startTask(a)
	}
	for _, a := range r.decider.NextActions(r.clock()) {
		r.applyAction(a)
	}
	r.killOverMemory()
	r.refreshLoads()
	r.advanceBatchTasks()
	r.recordRequests()
	if r.now%reportPeriod == 0 {
		for _, m := range r.machines {
			if r.isUp(m) {
				r.queueReport(m)
			}
		}
	}
}

func (r *run) isUp(m *machine) bool { return r.now >= m.downUntil }

func (r *run) enqueueArrivals() {
	for r.nextArrival < len(r.schedule.arrivals) && r.schedule.arrivals[r.nextArrival].at <= r.now {
		a := &r.schedule.arrivals[r.nextArrival]
		for i := range a.tasks {
			t := r.newBatchTask(a, i)
			r.metrics.offered += t.remainingWork * cores(t)
			r.enqueue(t)
		}
		r.nextArrival++
	}
}

func cores(t *simTask) float64 { return float64(t.size.MilliCPU) / 1000 }

// failWorkers takes down the workers whose scheduled failure is due.
func (r *run) failWorkers() {
	for r.nextFailure < len(r.schedule.failures) && r.schedule.failures[r.nextFailure].at <= r.now {
		m := r.machines[r.schedule.failures[r.nextFailure].worker]
		r.nextFailure++
		m.downUntil = r.now + outageDuration
		m.pendingReports = nil
		m.boot++
		for len(m.tasks) > 0 {
			t := m.tasks[0]
			t.detach()
			r.discardWork(t)
			r.lostTasks = append(r.lostTasks, pendingRequeue{t, r.now + failureDetectionTime})
		}
	}
}

// discardWork discards the work done by the task's current attempt.
func (r *run) discardWork(t *simTask) {
	r.metrics.wasted += t.attemptWork * cores(t)
	t.remainingWork += t.attemptWork
	t.attemptWork = 0
}

// detectFailures notifies the decider of detected worker failures, recovered workers and
// lost tasks, and requeues evicted tasks whose checkpoint is complete.
func (r *run) detectFailures() {
	for _, m := range r.machines {
		detected := !r.isUp(m) && r.now >= m.downUntil-outageDuration+failureDetectionTime
		switch {
		case detected && m.registered:
			m.registered = false
			r.decider.RemoveWorker(m.info.ID)
		case r.isUp(m) && !m.registered:
			m.registered = true
			r.decider.SetWorker(m.info, r.clock())
		}
	}
	r.lostTasks = r.requeue(r.lostTasks, planner.Lost)
	r.evictedTasks = r.requeue(r.evictedTasks, planner.Evicted)
}

// requeue enqueues the tasks whose end is known by now and returns the others.
func (r *run) requeue(list []pendingRequeue, outcome planner.Outcome) []pendingRequeue {
	pending := list[:0]
	for _, l := range list {
		if r.now < l.knownAt {
			pending = append(pending, l)
			continue
		}
		r.decider.End(planner.AttemptEnd{Task: l.task.id, Outcome: outcome}, r.clock())
		r.enqueue(l.task)
	}
	return pending
}

func (r *run) deliverReports() {
	for _, m := range r.machines {
		for len(m.pendingReports) > 0 && m.pendingReports[0].arrivesAt <= r.now {
			report := m.pendingReports[0].report
			m.pendingReports = m.pendingReports[1:]
			report.Now = platform.WorkerTime(r.now)
			r.decider.Report(&report, r.clock())
		}
	}
}

// startTask starts a new attempt of the assigned task.
func (r *run) startTask(a planner.Assignment) {
	t := r.tasks[a.Task]
	m := r.byID[a.Worker]
	t.attempt++
	t.cpuPercent = 100
	t.assignedAt = r.now
	t.readyAt = r.now + startDelay
	if t.attemptWork > 0 {
		t.readyAt += restoreDelay
	}
	t.attemptWork = 0
	r.metrics.starts++
	r.decider.ConfirmTask(place.Resident{
		Task: t.id, Attempt: t.attempt, Team: t.item.Team, Class: t.class, Template: t.item.Template,
		Service: t.item.Service, Worker: a.Worker, Size: a.Size, Urgent: t.item.Urgent,
		Running: true, SavedAt: r.clock(),
	})
	t.worker = m
	m.tasks = append(m.tasks, t)
	if !r.isUp(m) {
		t.detach()
		r.lostTasks = append(r.lostTasks, pendingRequeue{t, r.now + failureDetectionTime})
	}
}

// applyAction applies a throttling or an eviction that the decider chose. Actions on
// tasks that have left the worker are ignored.
func (r *run) applyAction(a pressure.Action) {
	t := r.tasks[a.Task]
	if t == nil || t.worker == nil || t.worker.info.ID != a.Worker {
		return
	}
	if a.Kind == pressure.Throttle {
		t.cpuPercent = a.Percent
		r.metrics.throttles++
		return
	}
	r.metrics.evictions++
	t.detach()
	r.evictedTasks = append(r.evictedTasks, pendingRequeue{t, r.now + checkpointTime})
}

// killOverMemory kills tasks on workers whose memory use exceeds their capacity: batch
// tasks first, then services, the most recently assigned ones first.
func (r *run) killOverMemory() {
	for _, m := range r.machines {
		for m.memoryInUse() > m.info.Capacity.MemoryMB {
			t := youngest(m)
			t.detach()
			r.discardWork(t)
			r.metrics.kills++
			r.decider.End(planner.AttemptEnd{Task: t.id, Outcome: planner.OOMKilled, Usage: t.size}, r.clock())
			r.enqueue(t)
		}
	}
}

func youngest(m *machine) *simTask {
	var found *simTask
	for _, t := range m.tasks {
		if found == nil || younger(t, found) {
			found = t
		}
	}
	return found
}

func younger(a, b *simTask) bool {
	if (a.service < 0) != (b.service < 0) {
		return a.service < 0
	}
	return a.assignedAt > b.assignedAt
}

// advanceBatchTasks advances the batch tasks by one tick.
func (r *run) advanceBatchTasks() {
	for _, m := range r.machines {
		for _, t := range append([]*simTask(nil), m.tasks...) {
			if t.service >= 0 || r.now < t.readyAt {
				continue
			}
			speed := float64(t.cpuPercent) / 100 / r.slowdown(t) / max(m.load, 1)
			progress := min(speed*tick.Seconds(), t.remainingWork)
			t.remainingWork -= progress
			t.attemptWork += progress
			if t.remainingWork <= 0 {
				r.finishTask(t)
			}
		}
	}
}

func (r *run) finishTask(t *simTask) {
	t.detach()
	delete(r.tasks, t.id)
	r.metrics.finishedTasks++
	r.metrics.finished += t.totalWork * cores(t)
	r.decider.End(planner.AttemptEnd{Task: t.id, Outcome: planner.Finished}, r.clock())
}
