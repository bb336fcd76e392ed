package lease

import (
	"fmt"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/outage"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
)

const (
	// MaxStartsPerRound bounds the starts on one worker in one round.
	MaxStartsPerRound = 4
	// MaxStopsPerRound bounds the stops on one worker in one round.
	MaxStopsPerRound = 8
	// ServiceStopGrace is the time that a stopped service gets to finish its
	// requests.
	ServiceStopGrace = 10 * time.Second
)

// Input holds everything that a decision about one worker depends on.
type Input struct {
	Worker platform.WorkerID
	// Table is not modified.
	Table      *task.Table
	Contact    *Contact
	Permission outage.Permission
	// ClaimedAt is when the owner read its claim back from the log.
	ClaimedAt time.Time
	Now       time.Time
}

// Stop is a stop call to make.
type Stop struct {
	platform.TaskAttempt
	// Grace is the time that the attempt gets to finish its requests.
	Grace time.Duration
	// Checkpoint asks for a checkpoint before the attempt ends.
	Checkpoint bool
	// Orphaned is set for an orphaned attempt: one that the table records as ended.
	Orphaned bool
}

// Deferral is an attempt for which no action is taken in this round.
type Deferral struct {
	Task   platform.TaskID
	Reason string
	// Until is when the lease has certainly lapsed if the worker stays silent;
	// zero for other reasons.
	Until time.Time
}

// Actions is the outcome of a decision about one worker. Records are to be
// appended to the log; the other fields are calls to make to the worker.
type Actions struct {
	Records []record.Transition
	Starts  []*task.Task
	Stops   []Stop
	// Renewals lists the attempts whose leases are to be renewed.
	Renewals []platform.TaskAttempt
	// Forget lists reported attempts whose end is recorded already, so that the
	// worker need not report them any longer.
	Forget    []platform.TaskAttempt
	Deferrals []Deferral
}

// Decide returns the actions for one worker.
func Decide(in Input) Actions {
	var a Actions
	reported := reportedAttempts(in.Contact.Report)
	in.Table.EachOnWorker(in.Worker, func(t *task.Task) bool {
		r, found := reported[t.ID]
		in.decideTask(&a, t, r, found && r.Attempt == t.Attempt)
		return true
	})
	if in.Contact.Callable(in.Now) && in.Permission.MayRenew {
		in.decideOrphans(&a)
	}
	return a
}

// RenewsAllRunning reports whether the attempts to renew are exactly those that r
// lists as running.
func (a *Actions) RenewsAllRunning(r *platform.Report) bool {
	toRenew := make(map[platform.TaskAttempt]struct{}, len(a.Renewals))
	for _, id := range a.Renewals {
		toRenew[id] = struct{}{}
	}
	running := 0
	for i := range r.Tasks {
		if r.Tasks[i].Phase != platform.PhaseRunning {
			continue
		}
		if _, found := toRenew[r.Tasks[i].TaskAttempt]; !found {
			return false
		}
		running++
	}
	return running == len(toRenew)
}

// reportedAttempts returns the highest reported attempt of each task.
func reportedAttempts(r *platform.Report) map[platform.TaskID]*platform.TaskReport {
	if r == nil {
		return nil
	}
	latest := make(map[platform.TaskID]*platform.TaskReport, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if old := latest[t.Task]; old == nil || old.Attempt < t.Attempt {
			latest[t.Task] = t
		}
	}
	return latest
}

// decideTask adds the actions for one active task. If found is set, r is the
// entry of the latest report for the task's current attempt.
func (in *Input) decideTask(a *Actions, t *task.Task, r *platform.TaskReport, found bool) {
	nowMillis := in.Now.UnixMilli()
	if boot := in.Contact.Boot(); boot != "" && t.Boot != "" && boot != t.Boot {
		a.Records = append(a.Records, endTransition(t, record.EndRestarted, "worker restarted", nowMillis))
		return
	}
	if found && r.Phase != platform.PhaseRunning {
		a.Records = append(a.Records, OutcomeTransition(in.Table, t, r, nowMillis))
		return
	}
	if !in.Contact.Callable(in.Now) {
		in.decideUnreachable(a, t)
		return
	}
	if !in.Permission.MayRenew {
		a.Deferrals = append(a.Deferrals, Deferral{Task: t.ID, Reason: string(in.Permission.Reason)})
		return
	}
	in.decideReachable(a, t, r, found)
}

// decideUnreachable handles a task on a worker that cannot be called: the
// attempt is recorded as ended once its lease has certainly lapsed.
func (in *Input) decideUnreachable(a *Actions, t *task.Task) {
	until := in.Contact.LapsedAt(in.ClaimedAt)
	if in.Now.After(until) {
		a.Records = append(a.Records, endTransition(t, record.EndLapsed, "lease lapsed, worker silent", in.Now.UnixMilli()))
		return
	}
	a.Deferrals = append(a.Deferrals, Deferral{Task: t.ID, Reason: "worker silent", Until: until})
}

// decideReachable handles a task on a worker that may be called. found and r
// are as in decideTask.
func (in *Input) decideReachable(a *Actions, t *task.Task, r *platform.TaskReport, found bool) {
	id := platform.TaskAttempt{Task: t.ID, Attempt: t.Attempt}
	switch {
	case t.Cancelled || t.State == record.Checkpointing:
		in.addStop(a, stopOf(t))
	case found && t.State == record.Assigned:
		a.Records = append(a.Records, StartedTransition(t, r.Endpoint.String(), in.Now.UnixMilli()))
		a.Renewals = append(a.Renewals, id)
	case t.State == record.Assigned:
		if in.Permission.MayStart && len(a.Starts) < MaxStartsPerRound {
			a.Starts = append(a.Starts, t)
		}
	case !found && in.reportIsNewer(t):
		in.addStop(a, Stop{TaskAttempt: id})
	default:
		a.Renewals = append(a.Renewals, id)
	}
}

// reportIsNewer reports whether the latest report was received after the table
// recorded t as running. Only then does the absence of t from the report show
// that the worker lacks the attempt.
func (in *Input) reportIsNewer(t *task.Task) bool {
	return in.Contact.ReportedAt.UnixMilli() > t.AtMillis
}

// stopOf returns the stop call for the current attempt of t.
func stopOf(t *task.Task) Stop {
	s := Stop{TaskAttempt: platform.TaskAttempt{Task: t.ID, Attempt: t.Attempt}}
	if t.Spec().Service != "" {
		s.Grace = ServiceStopGrace
	} else {
		s.Checkpoint = !t.Cancelled
	}
	return s
}

func (in *Input) addStop(a *Actions, s Stop) {
	if len(a.Stops) < MaxStopsPerRound {
		a.Stops = append(a.Stops, s)
	}
}

// decideOrphans handles reported attempts that the table records as ended. A
// running attempt of a task that the table does not know is left until its lease
// lapses: it may belong to another shard.
func (in *Input) decideOrphans(a *Actions) {
	for i := range in.Contact.Report.Tasks {
		r := &in.Contact.Report.Tasks[i]
		t := in.Table.Task(r.Task)
		if t == nil && r.Phase == platform.PhaseRunning {
			continue
		}
		if t != nil && t.Active() && t.Worker == in.Worker && t.Attempt <= r.Attempt {
			continue
		}
		if r.Phase == platform.PhaseRunning {
			in.addStop(a, Stop{TaskAttempt: r.TaskAttempt, Orphaned: true})
			continue
		}
		a.Forget = append(a.Forget, r.TaskAttempt)
	}
}

// StartedTransition returns the transition of an assigned task to running.
func StartedTransition(t *task.Task, endpoint string, atMillis int64) record.Transition {
	if t.Spec().Service == "" {
		endpoint = ""
	}
	return record.Transition{Task: t.ID, Attempt: t.Attempt, State: record.Running, Endpoint: endpoint, AtMillis: atMillis}
}

// endTransition returns the transition that ends the current attempt and queues
// the task for a new one.
func endTransition(t *task.Task, end record.End, reason string, atMillis int64) record.Transition {
	return record.Transition{
		Task: t.ID, Attempt: t.Attempt, State: record.Queued, End: end, Reason: reason, AtMillis: atMillis,
	}
}

// OutcomeTransition returns the transition for an attempt that its worker
// reports as ended.
func OutcomeTransition(table *task.Table, t *task.Task, r *platform.TaskReport, atMillis int64) record.Transition {
	switch r.Phase {
	case platform.PhaseFinished:
		return record.Transition{Task: t.ID, Attempt: t.Attempt, State: record.Finished, AtMillis: atMillis}
	case platform.PhaseFailed:
		return failureTransition(table, t, r.Reason, atMillis)
	case platform.PhaseLapsed:
		transition := endTransition(t, record.EndLapsed, "lease lapsed at the worker", atMillis)
		transition.Checkpoint = r.Checkpoint
		return transition
	}
	transition := endTransition(t, record.EndStopped, "stopped", atMillis)
	transition.Checkpoint = r.Checkpoint
	return transition
}

// failureTransition returns the transition for a failed attempt. The task is
// queued again, or becomes unrunnable if the table finds the task at fault.
func failureTransition(table *task.Table, t *task.Task, reason string, atMillis int64) record.Transition {
	transition := endTransition(t, record.EndFailed, reason, atMillis)
	if !t.Cancelled && table.UnrunnableAfterFailure(t, t.Worker) {
		transition.State = record.Unrunnable
		transition.Reason = fmt.Sprintf("failed on %d workers where other work succeeds, last on %s: %s",
			task.UnrunnableAfterWorkers, t.Worker, reason)
	}
	return transition
}

// StopTransition returns the transition for an answered stop call, and whether
// there is one: a fenced call shows nothing about the attempt, and an attempt
// that is still stopping has not ended.
func StopTransition(table *task.Table, t *task.Task, reply platform.StopReply, atMillis int64) (record.Transition, bool) {
	if reply.Result != platform.Accepted {
		return record.Transition{}, false
	}
	switch reply.Phase {
	case "":
		return endTransition(t, record.EndRefused, "the worker does not have the attempt", atMillis), true
	default:
		r := platform.TaskReport{Phase: reply.Phase, Checkpoint: reply.Checkpoint, Reason: reply.Reason}
		return OutcomeTransition(table, t, &r, atMillis), true
	}
}
