package scheduler

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// Notes are the decisions and observations since the last TakeNotes, for logs and
// metrics.
type Notes struct {
	Started   []StartedNote
	Ended     []EndedNote
	JobsEnded []JobEndedNote
	Throttled []ThrottledNote
	Stopped   []StoppedNote
	Lost      []LostNote
	Held      []WaitingNote
	SetAside  []SetAsideNote
	Crashes   []CrashNote
	Trials    []TrialNote
	Unheard   []UnheardNote
	Restarts  []RestartNote
	Unproven  []UnprovenNote
	// Evacuations are those that the owner has begun to obey.
	Evacuations []Evacuation
	Reserved    []ReservedNote
	LateAdvice  []LateAdviceNote
}

// LateAdviceNote says that the tickets of an answer about a step were over when it arrived.
type LateAdviceNote struct {
	Job  job.ID
	Step int
	// Workers is the number of workers that the request named.
	Workers int
	// Took is the time that the service took, and Validity how long its tickets are valid.
	Took, Validity time.Duration
}

// ReservedNote says that room on a worker is kept for a task of a step.
type ReservedNote struct {
	Job        job.ID
	Occurrence int
	Step       int
	Worker     platform.WorkerID
	// Size is the room that is kept.
	Size platform.Resources
	// Waited is for how long the step has waited, and Ready the time after which the room is
	// expected to be free.
	Waited, Ready time.Duration
}

// RestartNote says that a worker is in another run than before.
type RestartNote struct {
	Worker platform.WorkerID
	// Run and Before are the present run and the one before, as in fleet.Worker.
	Run, Before int64
	// Silent is the time since the run before last answered with its lists, or zero if it never did.
	Silent time.Duration
	// StrayLeases is for how long leases may last that orders meant for the run before may give the
	// present one.
	StrayLeases time.Duration
}

// UnprovenNote says that a start order was answered by a run of its worker that may have begun since the
// worker's latest lists.
type UnprovenNote struct {
	Task    job.TaskRef
	Attempt platform.Attempt
	Worker  platform.WorkerID
	Verdict fleet.Verdict
	// Clock is the reading of the run's clock in the answer, and ListsAge the time since the worker read its
	// latest lists.
	Clock, ListsAge time.Duration
}

// TrialNote says that a filler starts or goes on without the headroom that it is expected to
// need, to learn its cost.
type TrialNote struct {
	Task   job.TaskRef
	Worker platform.WorkerID
	// Headroom is the lowest one that a serving task there is expected to have beside it.
	Headroom float64
}

// CrashNote says that a run of a worker was lost under a task.
type CrashNote struct {
	Task job.TaskRef
	job.Crash
	// Crashes counts the lost runs of the task. GivenUp is set if its job has failed
	// because of them.
	Crashes int
	GivenUp bool
}

// SetAsideNote says that a worker gets no tasks for a while.
type SetAsideNote struct {
	Worker platform.WorkerID
	Reason string
	For    time.Duration
}

// StartedNote says that a worker has accepted a task.
type StartedNote struct {
	Task    job.TaskRef
	Attempt platform.Attempt
	Worker  platform.WorkerID
	// Waited is the time since the task became startable.
	Waited time.Duration
	// Answer is the time from the order to its answer.
	Answer time.Duration
}

// EndedNote says that a worker has listed the end of an attempt.
type EndedNote struct {
	Task    job.TaskRef
	Attempt platform.Attempt
	Worker  platform.WorkerID
	Kind    fleet.EndKind
	// Ran is the time since the attempt started, as far as this owner knows.
	Ran time.Duration
}

// JobEndedNote says that a job's final state is in the log.
type JobEndedNote struct {
	Job   job.ID
	State job.State
	// TookMS and the latency objective count from the job's acceptance; the objective
	// is based on the caller's estimates.
	TookMS, ObjectiveMS int64
	// Tasks counts the tasks of all steps and occurrences.
	Tasks int
	JobStats
}

// ThrottledNote says that a task's CPU limit was changed. Percent is relative to its
// size.
type ThrottledNote struct {
	Task    job.TaskRef
	Worker  platform.WorkerID
	Percent int
}

// StoppedNote says why a running task was ordered to stop.
type StoppedNote struct {
	Task    job.TaskRef
	Attempt platform.Attempt
	Worker  platform.WorkerID
	Reason  string
}

// LostNote says that an attempt was given up without confirmation from its worker.
type LostNote struct {
	Task    job.TaskRef
	Attempt platform.Attempt
	Worker  platform.WorkerID
	Reason  string
	// Silent is the time since the worker's last answer.
	Silent time.Duration
}

// WaitingNote says why the tasks of a step are still waiting.
type WaitingNote struct {
	Job        job.ID
	Occurrence int
	Step       int
	Waiting    int
	Waited     time.Duration
	// Idle is the time for which nothing of the job has run, or zero.
	Idle time.Duration
	// Size is what a task of the step reserves. LargestGap is the most CPU, in thousandths of a
	// core, that is free on one of the NoRoom workers, and Free what is free on all of them.
	Size             platform.Resources
	LargestGap, Free int64
	// MostlyFree is set if under half of the CPU is reserved on the workers of the service.
	MostlyFree bool
	// HeldUp is set if the step was not tried on any worker because no start order was left.
	HeldUp bool
	// The following count the registered workers by the first reason for which they cannot
	// take a task of the step. Evacuated ones are in an evacuated failure domain, Unusable ones
	// are silent, leave or are not known well enough, Occupied ones run another attempt of the
	// task or a task that has just started.
	Evacuated, Unusable, SetAside, NoRoom, Unfit, Unpermitted, Harmful, Occupied int
	// OpenStart counts the workers on which the task may not start while another one may carry out a start
	// order of it that got no answer.
	OpenStart int
	// LackingHeadroom is the headroom that is lacking on the least harmed of the Harmful
	// workers, where 1 is the headroom of a serving task at its target.
	LackingHeadroom float64
	// Unreconciled counts the workers on which an earlier owner's attempt of the task
	// may still run; the task waits for them.
	Unreconciled int
	// EntriesAge is the age of the workers' entries if it is too high to start anything,
	// else zero.
	EntriesAge time.Duration
}

// TakeNotes returns and clears the notes.
func (s *Shard) TakeNotes() Notes {
	n := s.notes
	s.notes = Notes{}
	return n
}
