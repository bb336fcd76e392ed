package owner

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/place"
	"github.com/siskinvane/siskinvane/internal/process/planner"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
)

const (
	// maxAssignmentsPerStep bounds the assignments of one step.
	maxAssignmentsPerStep = 64
	// resyncPeriod is the time between full resynchronizations of the planner
	// with the table; between them only tasks that changed are synchronized.
	resyncPeriod = time.Minute
)

// placement keeps a shard's planner in sync with the declarations, the task table,
// the host list and the reports. It is only used inside follower.View.
type placement struct {
	planner *planner.Planner
	// lastReports holds each worker's latest report that the planner has seen.
	lastReports map[platform.WorkerID]*platform.Report
	// configVersion is the configuration version whose targets the planner uses.
	configVersion uint64
	// syncedChanges is the table's count of state changes at the last
	// synchronization, and lastResync the time of the last full one.
	syncedChanges uint64
	lastResync    time.Time
	// syncedPurges is the table's count of purged jobs at the last
	// synchronization.
	syncedPurges uint64
	// term is the term in which the planner was last used.
	term term
	// assumed lists the assignments of the last step.
	assumed []platform.TaskID
}

func newPlacement(c Config) *placement {
	seed := xxhash.Sum64String(string(c.Shard) + "/" + string(c.Writer.Host))
	return &placement{
		planner:     planner.New(rand.New(rand.NewPCG(seed, c.Writer.Incarnation))),
		lastReports: map[platform.WorkerID]*platform.Report{},
	}
}

// syncTargets passes the teams' quotas to the planner, which also change with the
// layout of racks, and the classes' targets when the configuration version has
// changed.
func (p *placement) syncTargets(desired Desired) {
	if desired.Document == nil {
		return
	}
	p.planner.SetQuotas(desired.Shares)
	if desired.ConfigVersion == p.configVersion {
		return
	}
	p.configVersion = desired.ConfigVersion
	for _, c := range desired.Document.Classes {
		if c.Target.Promptness != nil {
			p.planner.SetLatencyBound(c.Name, c.Target.Promptness.Bound())
		}
	}
}

// syncWorkers adds the callable workers to the planner, or updates them, and
// removes all others.
func (p *placement) syncWorkers(workers map[platform.WorkerID]*workerState, table *task.Table, now time.Time) {
	var gone []platform.WorkerID
	p.planner.Cache().EachWorker(func(v *place.WorkerView) {
		if w := workers[v.ID]; w == nil || !w.contact.Callable(now) {
			gone = append(gone, v.ID)
		}
	})
	for _, id := range gone {
		p.planner.RemoveWorker(id)
		delete(p.lastReports, id)
	}
	for id, w := range workers {
		if w.contact.Callable(now) {
			p.planner.SetWorker(w.placementInfo(table.Suspect(id)), now)
		}
	}
}

// placementInfo returns the worker's description for the planner.
func (w *workerState) placementInfo(suspect bool) place.WorkerInfo {
	return place.WorkerInfo{
		ID: w.id, Rack: w.host.Rack, Domain: w.host.Domain, Capacity: w.contact.Report.Capacity,
		Leaving:  w.contact.Report.Leaving || w.host.State == platform.HostLeaving,
		SetAside: suspect,
	}
}

// syncReports passes the reports received since the last step to the planner.
func (p *placement) syncReports(workers map[platform.WorkerID]*workerState) {
	for id, w := range workers {
		r := w.contact.Report
		if r == nil || p.lastReports[id] == r || p.planner.Cache().Worker(id) == nil {
			continue
		}
		p.lastReports[id] = r
		p.planner.Report(r, w.contact.ReportedAt)
	}
}

// syncTasks updates the planner's tasks from the table, which is authoritative.
func (p *placement) syncTasks(table *task.Table, t term, now time.Time) {
	if t != p.term || now.Sub(p.lastResync) >= resyncPeriod || table.StateChanges() < p.syncedChanges {
		p.term, p.lastResync, p.syncedChanges = t, now, 0
		p.removePurged(table, now)
	}
	if table.PurgedJobs() != p.syncedPurges {
		p.removePurged(table, now)
	}
	table.EachChangedSince(p.syncedChanges, func(t *task.Task) { p.syncTask(t, now) })
	p.syncedChanges = table.StateChanges()
	for _, id := range p.assumed {
		if t := table.Task(id); t != nil {
			p.syncTask(t, now)
		}
	}
	p.assumed = p.assumed[:0]
}

// syncTask updates one task in the planner.
func (p *placement) syncTask(t *task.Task, now time.Time) {
	r := p.planner.Cache().Resident(t.ID)
	if r != nil && (!t.Active() || (!r.Assumed && r.Attempt != t.Attempt)) {
		p.planner.End(planner.AttemptEnd{Task: t.ID, Outcome: attemptOutcome(t, r)}, now)
	}
	switch {
	case t.Active():
		p.planner.ConfirmTask(newResident(t))
	case t.State == record.Queued:
		p.planner.Enqueue(newQueueItem(t, now))
	default:
		p.planner.Dequeue(t.ID)
	}
}

// removePurged removes the tasks from the planner that are no longer in the
// table.
func (p *placement) removePurged(table *task.Table, now time.Time) {
	p.syncedPurges = table.PurgedJobs()
	p.planner.RemoveTasksIf(func(id platform.TaskID) bool { return table.Task(id) == nil }, now)
}

// attemptOutcome returns how the attempt of a resident ended.
func attemptOutcome(t *task.Task, r *place.Resident) planner.Outcome {
	switch {
	case r.Assumed:
		return planner.NotStarted
	case t.State == record.Finished:
		return planner.Finished
	}
	switch t.End {
	case record.EndFailed:
		return planner.Failed
	case record.EndLapsed, record.EndRestarted:
		return planner.Lost
	case record.EndStopped:
		return planner.Evicted
	}
	return planner.NotStarted
}

func newResident(t *task.Task) place.Resident {
	job := t.Spec()
	return place.Resident{
		Task: t.ID, Attempt: t.Attempt, Team: job.Team, Class: job.Class, Template: job.Template,
		Service: job.Service, Worker: t.Worker, Size: t.Size, Declared: job.Size, Urgent: job.Urgent,
		Running: t.State == record.Running,
		SavedAt: time.UnixMilli(t.AtMillis),
	}
}

func newQueueItem(t *task.Task, now time.Time) place.Item {
	job := t.Spec()
	item := place.Item{Since: now, Request: place.Request{
		Task: t.ID, Team: job.Team, Class: job.Class, Template: job.Template,
		Service: job.Service, Size: job.Size, Urgent: job.Urgent, Avoid: t.FailedOn,
	}}
	if since := max(job.SubmittedMillis, t.AtMillis); since > 0 {
		item.Since = time.UnixMilli(since)
	}
	return item
}
