// Package job defines job specifications, the records that the log holds of jobs,
// shard owners and workers, and the table that every host builds from those records.
package job

import (
	"fmt"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// ID identifies a job. It is chosen by the caller.
type ID string

// Spec is a job as its caller submitted it.
type Spec struct {
	// Payload is passed to the workers unchanged.
	Payload string `cbor:"1,keyasint,omitempty"`
	Steps   []Step `cbor:"2,keyasint"`
	// Occurrences is the number of scheduled runs of the steps. Zero means that
	// the job has no schedule: it runs once, as soon as possible.
	Occurrences int `cbor:"3,keyasint,omitempty"`
	// FirstDueMS is when the first occurrence is due, in Unix milliseconds.
	FirstDueMS int64 `cbor:"4,keyasint,omitempty"`
	// IntervalMS is the time between two occurrences.
	IntervalMS int64 `cbor:"5,keyasint,omitempty"`
}

// Step is a set of identical tasks.
type Step struct {
	Tasks int                `cbor:"1,keyasint"`
	Size  platform.Resources `cbor:"2,keyasint"`
	// EstimateMS is the caller's estimate of a task's run time. It may be far off.
	EstimateMS int64 `cbor:"3,keyasint,omitempty"`
	// DependsOn holds the indexes of earlier steps that must complete first.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Checkpointing tasks can be stopped and resumed.
	Checkpointing bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks make progress only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack tasks run slower when spread over more than one rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have. Empty means any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the tasks' data; tasks elsewhere run slower.
	// It is empty if there is none.
	DataRack platform.RackID `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence on a worker. Zero means no
	// limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative tasks may have several concurrent attempts.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names the program that the tasks run.
	Image string `cbor:"13,keyasint,omitempty"`
	// TargetMS is the tail-latency target of tasks that serve users. It is zero
	// for other tasks.
	TargetMS int64 `cbor:"14,keyasint,omitempty"`
	// Fills marks best-effort tasks, which run on processor time that other tasks
	// leave unused.
	Fills bool `cbor:"15,keyasint,omitempty"`
	// MayMiss is how many tasks may be unavailable at a time through voluntary
	// disruptions by the scheduler. Zero means no limit.
	MayMiss int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the resources that a task reserves on a worker. Best-effort
// tasks reserve no processor time.
func (s *Step) Reserved() platform.Resources {
	r := s.Size
	if s.Fills {
		r.MilliCPU = 0
	}
	return r
}

// Estimate returns the caller's estimate of a task's run time.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMS) * time.Millisecond }

// Limits of a submission. The payload limit is the platform's; the others bound the
// cost of a single job.
const (
	maxPayloadBytes = 4000
	maxSteps        = 256
	maxTasks        = 10_000
	maxOccurrences  = 100_000
	// maxTasksPerOccurrence bounds the memory that one job takes: some 200 bytes a task.
	maxTasksPerOccurrence = 50_000
	// maxSpecBytes leaves room for the rest of a submission below MaxRecordBytes.
	maxSpecBytes = MaxRecordBytes - 8<<10
	// maxDueMS, maxIntervalMS and maxSize keep the due time of the last occurrence and the
	// total size of all tasks within an int64. The first is some 35,000 years, the second 317.
	maxDueMS      int64 = 1 << 50
	maxIntervalMS int64 = 10_000_000_000_000
	maxSize             = 1 << 40
)

const idLength = 16

// ParseID returns text as a job ID. It must consist of 16 hexadecimal digits.
func ParseID(text string) (ID, error) {
	if len(text) != idLength {
		return "", fmt.Errorf("job id %q: want %d hexadecimal digits", text, idLength)
	}
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return "", fmt.Errorf("job id %q: want %d hexadecimal digits", text, idLength)
		}
	}
	return ID(text), nil
}

// Validate returns an error for the first invalid field of a job that a caller submits,
// or nil.
func (s *Spec) Validate() error {
	if len(s.Payload) > maxPayloadBytes {
		return fmt.Errorf("payload: %d bytes, at most %d are allowed", len(s.Payload), maxPayloadBytes)
	}
	if err := s.validateStructure(); err != nil {
		return err
	}
	if total := s.TasksPerOccurrence(); total > maxTasksPerOccurrence {
		return fmt.Errorf("steps: %d tasks in all, at most %d are allowed", total, maxTasksPerOccurrence)
	}
	if size := s.recordBytes(); size > maxSpecBytes {
		return fmt.Errorf("steps: up to %d bytes in all, at most %d are allowed", size, maxSpecBytes)
	}
	if max(s.FirstDueMS, -s.FirstDueMS) > maxDueMS || s.IntervalMS > maxIntervalMS {
		return fmt.Errorf("schedule: due at %d ms, each %d ms, at most %d and %d are allowed", s.FirstDueMS, s.IntervalMS, maxDueMS, maxIntervalMS)
	}
	for i := range s.Steps {
		if size := s.Steps[i].Size; max(size.MilliCPU, size.MemoryMB, size.Accelerators) > maxSize {
			return fmt.Errorf("steps[%d]: size: %+v, at most %d are allowed", i, size, int64(maxSize))
		}
	}
	return nil
}

// recordBytes returns an upper bound of the specification's size in its record.
func (s *Spec) recordBytes() int {
	const (
		stepBytes       = 150
		dependencyBytes = 3
	)
	size := len(s.Payload)
	for i := range s.Steps {
		step := &s.Steps[i]
		size += stepBytes + dependencyBytes*len(step.DependsOn) + len(step.Label) + len(step.Image) + len(step.DataRack)
	}
	return size
}

// validateStructure returns an error for the first field that the scheduler cannot work
// with, or nil. It holds for records of the log as well: one that fails it would end the
// process of every owner that reads it.
func (s *Spec) validateStructure() error {
	switch {
	case len(s.Steps) == 0:
		return fmt.Errorf("steps: at least one is needed")
	case len(s.Steps) > maxSteps:
		return fmt.Errorf("steps: %d, at most %d are allowed", len(s.Steps), maxSteps)
	case s.Occurrences < 0 || s.Occurrences > maxOccurrences:
		return fmt.Errorf("occurrences: %d, want 0 to %d", s.Occurrences, maxOccurrences)
	case s.IntervalMS < 0:
		return fmt.Errorf("interval: %d ms is negative", s.IntervalMS)
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return fmt.Errorf("steps[%d]: %w", i, err)
		}
	}
	return nil
}

// validate returns an error for the first invalid field of the step at index.
func (s *Step) validate(index int) error {
	switch {
	case s.Tasks < 1 || s.Tasks > maxTasks:
		return fmt.Errorf("tasks: %d, want 1 to %d", s.Tasks, maxTasks)
	case s.Size.MilliCPU < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0:
		return fmt.Errorf("size: negative")
	case s.EstimateMS < 0 || s.TargetMS < 0 || s.MaxPerWorker < 0 || s.MayMiss < 0:
		return fmt.Errorf("a figure is negative")
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= index {
			return fmt.Errorf("depends on step %d, which is not an earlier one", d)
		}
	}
	return nil
}

// TasksPerOccurrence returns the total number of tasks of all steps.
func (s *Spec) TasksPerOccurrence() int {
	total := 0
	for i := range s.Steps {
		total += s.Steps[i].Tasks
	}
	return total
}

// OccurrenceCount returns the number of runs of the steps: 1 for a job without a
// schedule.
func (s *Spec) OccurrenceCount() int { return max(1, s.Occurrences) }

// DueMS returns the scheduled time of an occurrence in Unix milliseconds.
func (s *Spec) DueMS(occurrence int) int64 {
	return s.FirstDueMS + int64(occurrence)*s.IntervalMS
}

// LongRunning reports whether the job has a long-running step, so that it runs until it
// is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}
