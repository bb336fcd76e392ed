// Package task holds the task table of one shard. Only the records of the shard's log
// change it, so that all hosts that replay the same records have equal tables.
package task

import (
	"slices"
	"strconv"
	"strings"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// MaxFailedOn bounds the workers listed in Task.FailedOn.
const MaxFailedOn = 8

// Task is the state of one task according to the log.
type Task struct {
	ID      platform.TaskID   `cbor:"1,keyasint"`
	State   record.State      `cbor:"2,keyasint"`
	Attempt platform.Attempt  `cbor:"3,keyasint,omitempty"`
	Worker  platform.WorkerID `cbor:"4,keyasint,omitempty"`
	// Size is what the current attempt reserves.
	Size       platform.Resources `cbor:"5,keyasint,omitempty"`
	Endpoint   string             `cbor:"6,keyasint,omitempty"`
	Checkpoint string             `cbor:"7,keyasint,omitempty"`
	Reason     string             `cbor:"8,keyasint,omitempty"`
	AtMillis   int64              `cbor:"9,keyasint,omitempty"`
	// Cancelled is set when cancellation was requested.
	Cancelled bool `cbor:"10,keyasint,omitempty"`
	// Failures counts the failed attempts; attempts that were stopped or lost are not
	// counted.
	Failures uint32 `cbor:"11,keyasint,omitempty"`
	// FailedOn lists the workers of the latest failures, each once, at most MaxFailedOn.
	FailedOn []platform.WorkerID `cbor:"12,keyasint,omitempty"`
	// Entered orders the tasks of one state: it is the table's count of state changes when
	// the task entered its state.
	Entered uint64 `cbor:"13,keyasint,omitempty"`
	// End says how the last attempt ended, when it ended without finishing the
	// task.
	End record.End `cbor:"15,keyasint,omitempty"`
	// Boot identifies the boot of the worker in which the current attempt may run.
	Boot string `cbor:"14,keyasint,omitempty"`

	job    *job
	hash   uint64
	state  link
	worker link
}

// Active reports whether an attempt of the task may be running.
func (t *Task) Active() bool { return active(t.State) }

// Spec returns the job that the task belongs to. The caller must not change
// it. It is nil for a Task that does not come from a table.
func (t *Task) Spec() *record.Job {
	if t.job == nil {
		return nil
	}
	return t.job.Spec
}

func active(s record.State) bool {
	return s == record.Assigned || s == record.Running || s == record.Checkpointing
}

// addFailure records that the current attempt failed on its worker.
func (t *Task) addFailure() {
	t.Failures++
	if slices.Contains(t.FailedOn, t.Worker) {
		return
	}
	// Copies of the task share the slice, so it must not be changed in place.
	recent := t.FailedOn
	if len(recent) == MaxFailedOn {
		recent = recent[1:]
	}
	t.FailedOn = append(slices.Clone(recent), t.Worker)
}

// ID returns the identifier of a job's task.
func ID(job platform.JobID, index uint32) platform.TaskID {
	return platform.TaskID(string(job) + "/" + strconv.FormatUint(uint64(index), 10))
}

// JobOf returns the job that a task belongs to.
func JobOf(id platform.TaskID) platform.JobID {
	s := string(id)
	if i := strings.LastIndexByte(s, '/'); i >= 0 {
		return platform.JobID(s[:i])
	}
	return platform.JobID(s)
}
