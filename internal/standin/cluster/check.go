package cluster

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// CancelAcknowledged records that a caller got the acknowledgement that a job is
// cancelled.
func (c *Cluster) CancelAcknowledged(now time.Duration, id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelledAt = now
}

// cancelGrace is how long after the acknowledged cancellation of a job its tasks may
// still be started.
const cancelGrace = 3 * time.Second

// checkStart records a violation for each rule that an order to start a task breaks.
func (c *Cluster) checkStart(now time.Duration, w *worker, o fleet.StartOrder) {
	t := c.jobs[o.Task.Job]
	step := c.step(o.Task)
	if step == nil || o.Task.Index >= step.Tasks || o.Payload != t.spec.Payload {
		c.recordViolation(now, "UNASKED", "%s on %s", o.Task, w.info.ID)
		return
	}
	c.checkSingleExecution(now, t, step, w, o)
	c.checkPlacement(now, t, step, w, o)
	if step.Gang {
		c.checkGangCheckpoint(now, o)
	}
	for _, d := range step.DependsOn {
		for i := range t.spec.Steps[d].Tasks {
			if !t.done[job.TaskRef{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: d, Index: i}] {
				c.recordViolation(now, "ORDER", "%s before step %d is done", o.Task, d)
				return
			}
		}
	}
	if !step.LongRunning && t.maxFailures > 0 && t.failures[o.Task] >= t.maxFailures {
		c.recordViolation(now, "BUDGET", "%s after %d failures", o.Task, t.failures[o.Task])
	}
	c.checkCrashBudget(now, t, w, o.Task)
	if t.cancelledAt > 0 && now > t.cancelledAt+cancelGrace {
		c.recordViolation(now, "UNASKED", "%s %v after its job was cancelled", o.Task, now-t.cancelledAt)
	}
}

// checkGangCheckpoint records a violation if a member of a gang resumes from another checkpoint than
// those that run.
func (c *Cluster) checkGangCheckpoint(now time.Duration, o fleet.StartOrder) {
	for _, w := range c.workers {
		for ref, a := range w.running {
			member := ref.Job == o.Task.Job && ref.Occurrence == o.Task.Occurrence && ref.Step == o.Task.Step
			if member && a.number == o.Attempt && a.checkpoint != o.Checkpoint {
				c.recordViolation(now, "UNASKED", "%s resumes from %q, %s from %q", o.Task, o.Checkpoint, ref, a.checkpoint)
			}
		}
	}
}

// checkSingleExecution records a violation if a task that must run only once is
// running elsewhere or is known to be done.
func (c *Cluster) checkSingleExecution(now time.Duration, t *jobModel, step *job.Step, w *worker, o fleet.StartOrder) {
	if step.Speculative {
		return
	}
	if t.acknowledged[o.Task] {
		c.recordViolation(now, "TWICE", "%s after its end was acknowledged", o.Task)
	}
	for _, other := range c.workers {
		if other.up && other.running[o.Task] != nil {
			c.settle(now, other)
		}
		if other.up && other.running[o.Task] != nil {
			c.recordViolation(now, "TWICE", "%s on %s while it runs on %s", o.Task, w.info.ID, other.info.ID)
		}
	}
}

// checkPlacement records a violation if a task does not fit a worker, misses its
// label there, or exceeds the limit of tasks per worker.
func (c *Cluster) checkPlacement(now time.Duration, t *jobModel, step *job.Step, w *worker, o fleet.StartOrder) {
	reserved, same := step.Reserved(), 0
	for ref := range w.running {
		other := c.step(ref)
		reserved = reserved.Add(other.Reserved())
		if other == step && ref.Occurrence == o.Task.Occurrence {
			same++
		}
	}
	reserved.Slots = 0
	if limit := w.capacityInForce(now); !reserved.Fits(limit) {
		c.recordViolation(now, "LIMIT", "%s brings %s to %+v of %+v", o.Task, w.info.ID, reserved, limit)
	}
	if step.MaxPerWorker > 0 && same >= step.MaxPerWorker {
		c.recordViolation(now, "ROUTE", "%s is one more than %d of its step on %s", o.Task, step.MaxPerWorker, w.info.ID)
	}
	if step.Label != "" && !slices.Contains(w.info.Labels, step.Label) {
		c.recordViolation(now, "ROUTE", "%s on %s without label %s", o.Task, w.info.ID, step.Label)
	}
}

// reductionNotice is how long after a reduction of a worker's capacity starts may still
// count on the former capacity: the time until the worker's next heartbeat shows the
// reduction, and the time for the scheduler to act on that.
const reductionNotice = 4100 * time.Millisecond

// formerCapacity is a capacity that a worker had until a point in time.
type formerCapacity struct {
	capacity platform.Resources
	until    time.Duration
}

// capacityInForce returns the most that tasks on the worker may reserve: in each dimension
// the largest of its capacity and of those that it had within reductionNotice.
func (w *worker) capacityInForce(now time.Duration) platform.Resources {
	w.former = slices.DeleteFunc(w.former, func(f formerCapacity) bool { return now >= f.until+reductionNotice })
	limit := w.info.Capacity
	for _, f := range w.former {
		limit.MilliCPU = max(limit.MilliCPU, f.capacity.MilliCPU)
		limit.MemoryMB = max(limit.MemoryMB, f.capacity.MemoryMB)
		limit.Accelerators = max(limit.Accelerators, f.capacity.Accelerators)
	}
	return limit
}

// AttemptOf returns the attempt of a task that runs on a worker, or zero if none
// does.
func (c *Cluster) AttemptOf(id platform.WorkerID, ref job.TaskRef) platform.Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.workers[id].running[ref]; a != nil {
		return a.number
	}
	return 0
}

// Done reports whether all tasks of a job have finished successfully.
func (c *Cluster) Done(id job.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.jobs[id]
	return len(t.done) == t.spec.OccurrenceCount()*t.spec.TasksPerOccurrence()
}

// Started reports whether any task of a job was ever started.
func (c *Cluster) Started(id job.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id].started
}
