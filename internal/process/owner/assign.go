package owner

import (
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// syncPlanner updates the planner from the declarations, the task table and the
// workers' reports. The caller is inside follower.View.
func (o *Owner) syncPlanner(t term, desired Desired) {
	now := o.config.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.placement.syncTargets(desired)
	o.placement.syncWorkers(o.workers, o.table, now)
	o.placement.syncTasks(o.table, t, now)
	o.placement.syncReports(o.workers)
}

// checkJobFits returns an error if no worker of the shard is large enough for a
// task of the job. It accepts a job that is already recorded, and any job while
// a worker of the shard has not reported its capacity.
func (o *Owner) checkJobFits(j *record.Job) error {
	var err error
	o.follower.View(func() {
		if o.table.Job(j.ID) == nil {
			err = o.placement.planner.CheckSubmit(j.Size)
		}
	})
	if err == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.workers {
		if w.contact.Report == nil || j.Size.Fits(w.contact.Report.Capacity) {
			return nil
		}
	}
	return err
}

// planAssignments chooses workers for queued tasks. The caller is inside
// follower.View. If an assignment is not recorded, the next step reverts it in
// the planner from the table.
func (o *Owner) planAssignments() []record.Record {
	now := o.config.Now()
	var records []record.Record
	for _, a := range o.placement.planner.Plan(now, maxAssignmentsPerStep) {
		o.placement.assumed = append(o.placement.assumed, a.Task)
		t := o.table.Task(a.Task)
		records = append(records, record.Record{Transition: &record.Transition{
			Task: a.Task, Attempt: t.Attempt + 1, State: record.Assigned, Worker: a.Worker,
			Boot: o.bootOf(a.Worker), Size: a.Size, Reason: a.Reason, AtMillis: now.UnixMilli(),
		}})
	}
	return records
}
