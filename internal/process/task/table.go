package task

import (
	"errors"
	"fmt"
	"slices"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// job is a job with the number of its tasks that are not final.
type job struct {
	Spec *record.Job `cbor:"1,keyasint"`
	// EndOrder orders the ended batch jobs: it is the table's count of state changes
	// when the last task became final; zero before that and for jobs of services.
	EndOrder uint64 `cbor:"2,keyasint,omitempty"`

	unfinished int
	hash       uint64
}

// Table holds the jobs and tasks of one shard. It is not safe for concurrent
// use.
type Table struct {
	jobs         map[platform.JobID]*job
	tasks        map[platform.TaskID]*Task
	index        index
	stateChanges uint64
	purgedCount  uint64
	digest       uint64
	ended        endedJobs
	purged       purgedIDs
	failing      failingWorkers
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		jobs: map[platform.JobID]*job{}, tasks: map[platform.TaskID]*Task{},
		index: newIndex(), purged: newPurgedIDs(), failing: failingWorkers{},
	}
}

// ErrVoid is matched by the error for a record that changes nothing.
var ErrVoid = errors.New("void record")

// Job returns the job with the given identifier, or nil. The caller must not
// change it.
func (t *Table) Job(id platform.JobID) *record.Job {
	if j := t.jobs[id]; j != nil {
		return j.Spec
	}
	return nil
}

// Task returns the task with the given identifier, or nil. The caller must not
// change it.
func (t *Table) Task(id platform.TaskID) *Task { return t.tasks[id] }

// Len returns the number of tasks.
func (t *Table) Len() int { return len(t.tasks) }

// Each calls f for every task, sorted by identifier, until f returns false. It sorts
// all tasks on each call; code that runs periodically uses EachInState, EachQueued or
// EachOnWorker instead.
func (t *Table) Each(f func(*Task) bool) {
	for _, id := range sortedKeys(t.tasks) {
		if !f(t.tasks[id]) {
			return
		}
	}
}

// EachInState calls f for the tasks in a state, in the order in which they entered
// it, until f returns false. For Queued it leaves out urgent tasks; see EachQueued.
func (t *Table) EachInState(s record.State, f func(*Task) bool) { t.index.byState[s].each(f) }

// EachQueued calls f for the queued tasks that are urgent, or for those that are not,
// longest queued first, until f returns false.
func (t *Table) EachQueued(urgent bool, f func(*Task) bool) {
	if urgent {
		t.index.urgentQueued.each(f)
		return
	}
	t.index.byState[record.Queued].each(f)
}

// StateChanges returns the number of state changes of all tasks so far.
func (t *Table) StateChanges() uint64 { return t.stateChanges }

// EachChangedSince calls f for every task that changed its state after StateChanges
// had the given value. Its cost is proportional to the number of these tasks, not to
// the table.
func (t *Table) EachChangedSince(since uint64, f func(*Task)) {
	for i := range t.index.byState {
		t.index.byState[i].eachChangedSince(since, f)
	}
	t.index.urgentQueued.eachChangedSince(since, f)
}

// CountInState returns the number of tasks in a state.
func (t *Table) CountInState(s record.State) int {
	n := t.index.byState[s].len
	if s == record.Queued {
		n += t.index.urgentQueued.len
	}
	return n
}

// EachOnWorker calls f for the active tasks of a worker until f returns false.
func (t *Table) EachOnWorker(w platform.WorkerID, f func(*Task) bool) {
	if assigned := t.index.byWorker[w]; assigned != nil {
		assigned.tasks.each(f)
	}
}

// Workers returns the workers with active tasks, sorted by identifier.
func (t *Table) Workers() []platform.WorkerID { return sortedKeys(t.index.byWorker) }

// Committed returns the sum of the reservations of all attempts that may be running on
// a worker.
func (t *Table) Committed(w platform.WorkerID) platform.Resources {
	if assigned := t.index.byWorker[w]; assigned != nil {
		return assigned.committed
	}
	return platform.Resources{}
}

// Apply implements shard.TaskState. An error matches ErrVoid.
func (t *Table) Apply(_ platform.Offset, r record.Record) error {
	switch {
	case r.Job != nil:
		return t.addJob(r.Job)
	case r.Transition != nil:
		return t.applyTransition(r.Transition)
	case r.Cancel != nil:
		return t.cancelJob(r.Cancel.Job)
	case r.Rescale != nil:
		return t.applyRescale(r.Rescale)
	}
	return fmt.Errorf("%w: not a task record", ErrVoid)
}

func (t *Table) addJob(spec *record.Job) error {
	if t.jobs[spec.ID] != nil {
		return fmt.Errorf("%w: job %s exists", ErrVoid, spec.ID)
	}
	if t.purged.has(spec.ID) {
		return fmt.Errorf("%w: job %s has ended", ErrVoid, spec.ID)
	}
	if spec.Count == 0 || spec.First+spec.Count < spec.First {
		return fmt.Errorf("%w: job %s has no tasks", ErrVoid, spec.ID)
	}
	j := &job{Spec: spec}
	t.jobs[spec.ID] = j
	t.updateJobDigest(j)
	for i := range spec.Count {
		t.insert(&Task{ID: ID(spec.ID, spec.First+i), State: record.Queued, job: j})
	}
	return nil
}

// insert adds a new task.
func (t *Table) insert(task *Task) {
	t.tasks[task.ID] = task
	task.job.unfinished++
	t.indexTask(task)
}

// indexTask adds a task to the indexes for its state.
func (t *Table) indexTask(task *Task) {
	t.stateChanges++
	task.Entered = t.stateChanges
	t.index.add(task)
	t.updateTaskDigest(task)
}

// updateTask calls f, which changes task, and updates the indexes, the digest and the
// job's count of unfinished tasks.
func (t *Table) updateTask(task *Task, f func()) {
	wasFinal := task.State.Final()
	t.index.remove(task)
	f()
	t.indexTask(task)
	switch final := task.State.Final(); {
	case final && !wasFinal:
		task.job.unfinished--
		t.retainIfEnded(task.job)
	case !final && wasFinal:
		t.reopen(task.job)
		task.job.unfinished++
	}
}

func (t *Table) applyTransition(tr *record.Transition) error {
	task := t.tasks[tr.Task]
	if task == nil {
		return fmt.Errorf("%w: no task %s", ErrVoid, tr.Task)
	}
	if err := checkTransition(task, tr); err != nil {
		return err
	}
	t.failing.recordTransition(task, tr)
	t.updateTask(task, func() { task.applyTransition(tr) })
	return nil
}

func (t *Table) cancelJob(id platform.JobID) error {
	j := t.jobs[id]
	if j == nil {
		return fmt.Errorf("%w: no job %s", ErrVoid, id)
	}
	if j.unfinished == 0 {
		return fmt.Errorf("%w: job %s has ended", ErrVoid, id)
	}
	for i := range j.Spec.Count {
		t.cancelTask(t.tasks[ID(id, j.Spec.First+i)])
	}
	return nil
}

// cancelTask cancels a task. A queued task ends immediately; an active one is marked,
// and the shard's owner stops it. Final tasks are left unchanged.
func (t *Table) cancelTask(task *Task) {
	if task.State.Final() || task.Cancelled {
		return
	}
	if task.State == record.Queued {
		t.updateTask(task, func() {
			task.Cancelled = true
			task.State = record.Cancelled
		})
		return
	}
	task.Cancelled = true
	t.updateTaskDigest(task)
}

// applyRescale applies a record.Rescale. Batch jobs cannot be rescaled.
func (t *Table) applyRescale(r *record.Rescale) error {
	j := t.jobs[r.Job]
	if j == nil || j.Spec.Service == "" {
		return fmt.Errorf("%w: no service job %s", ErrVoid, r.Job)
	}
	for i := range j.Spec.Count {
		task := t.tasks[ID(r.Job, j.Spec.First+i)]
		if i < r.Count {
			t.resumeTask(task)
		} else {
			t.cancelTask(task)
		}
	}
	for i := j.Spec.Count; i < r.Count; i++ {
		t.insert(&Task{ID: ID(r.Job, j.Spec.First+i), State: record.Queued, job: j})
	}
	if r.Count > j.Spec.Count {
		grown := *j.Spec
		grown.Count = r.Count
		j.Spec = &grown
		t.reopen(j)
		t.updateJobDigest(j)
	}
	return nil
}

// resumeTask revokes the cancellation of a task, or queues the task again if it has
// ended.
func (t *Table) resumeTask(task *Task) {
	if task.State.Final() {
		t.updateTask(task, func() {
			task.State = record.Queued
			task.Cancelled = false
			task.Worker = ""
		})
		return
	}
	if task.Cancelled {
		task.Cancelled = false
		t.updateTaskDigest(task)
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
