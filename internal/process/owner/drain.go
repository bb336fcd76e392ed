package owner

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
)

// maxConcurrentDrains bounds the tasks of a shard that are checkpointing simultaneously;
// no task is evicted from a leaving worker beyond it.
const maxConcurrentDrains = 8

// planDrains returns the records that evict tasks from leaving workers. At most
// one replica of a service in the shard is moved at a time, and none while
// another replica is queued or starting. The caller is inside follower.View.
func (o *Owner) planDrains(now time.Time) []record.Record {
	remaining := maxConcurrentDrains - o.table.CountInState(record.Checkpointing)
	if remaining <= 0 {
		return nil
	}
	var records []record.Record
	draining := map[platform.ServiceName]bool{}
	for _, id := range o.leavingWorkers() {
		o.table.EachOnWorker(id, func(t *task.Task) bool {
			if len(records) < remaining && o.mayDrain(t, draining) {
				draining[t.Spec().Service] = true
				records = append(records, record.Record{Transition: &record.Transition{
					Task: t.ID, Attempt: t.Attempt, State: record.Checkpointing,
					Reason: "worker is leaving", AtMillis: now.UnixMilli(),
				}})
			}
			return len(records) < remaining
		})
	}
	return records
}

// mayDrain reports whether a task may be evicted from its worker now. draining
// holds the services with a replica that is already chosen for eviction.
func (o *Owner) mayDrain(t *task.Task, draining map[platform.ServiceName]bool) bool {
	if t.State != record.Running || t.Cancelled {
		return false
	}
	service := t.Spec().Service
	return service == "" || (!draining[service] && !o.hasNonRunningReplica(service))
}

// hasNonRunningReplica reports whether a replica of the service is queued,
// assigned or checkpointing.
func (o *Owner) hasNonRunningReplica(service platform.ServiceName) bool {
	found := false
	check := func(t *task.Task) bool {
		found = t.Spec().Service == service
		return !found
	}
	o.table.EachQueued(true, check)
	for _, s := range []record.State{record.Assigned, record.Checkpointing} {
		if !found {
			o.table.EachInState(s, check)
		}
	}
	return found
}

// leavingWorkers returns the callable workers that are leaving, sorted by ID.
func (o *Owner) leavingWorkers() []platform.WorkerID {
	now := o.config.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []platform.WorkerID
	for id, w := range o.workers {
		if w.contact.Callable(now) && (w.contact.Report.Leaving || w.host.State == platform.HostLeaving) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
