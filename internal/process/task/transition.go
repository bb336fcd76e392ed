package task

import (
	"fmt"

	"github.com/siskinvane/siskinvane/internal/process/record"
)

// nextStates lists the states that may follow each state. Final states have none, so
// that a late or repeated transition is void.
var nextStates = map[record.State][]record.State{
	record.Queued:        {record.Assigned, record.Cancelled, record.Unrunnable},
	record.Assigned:      {record.Running, record.Queued, record.Finished, record.Failed, record.Cancelled, record.Unrunnable},
	record.Running:       {record.Checkpointing, record.Queued, record.Finished, record.Failed, record.Cancelled, record.Unrunnable},
	record.Checkpointing: {record.Queued, record.Finished, record.Failed, record.Cancelled, record.Unrunnable},
}

// checkTransition returns an error that matches ErrVoid if m may not be applied to t.
func checkTransition(t *Task, tr *record.Transition) error {
	if !transitionAllowed(t.State, tr.State) {
		return fmt.Errorf("%w: task %s is %s and cannot become %s", ErrVoid, t.ID, t.State, tr.State)
	}
	wantAttempt := t.Attempt
	if tr.State == record.Assigned {
		wantAttempt++
	}
	if tr.Attempt != wantAttempt {
		return fmt.Errorf("%w: task %s is at attempt %d, record names attempt %d", ErrVoid, t.ID, t.Attempt, tr.Attempt)
	}
	if tr.State == record.Assigned && tr.Worker == "" {
		return fmt.Errorf("%w: assignment of task %s names no worker", ErrVoid, t.ID)
	}
	if tr.State == record.Cancelled && !t.Cancelled {
		return fmt.Errorf("%w: cancellation of task %s was not requested", ErrVoid, t.ID)
	}
	return nil
}

func transitionAllowed(from, to record.State) bool {
	for _, s := range nextStates[from] {
		if s == to {
			return true
		}
	}
	return false
}

// applyTransition updates the fields of t. The caller updates the indexes.
func (t *Task) applyTransition(tr *record.Transition) {
	t.AtMillis = tr.AtMillis
	t.Reason = tr.Reason
	t.End = tr.End
	if tr.End == record.EndFailed || tr.State == record.Failed {
		t.addFailure()
	}
	t.State = tr.State
	switch tr.State {
	case record.Assigned:
		t.Attempt = tr.Attempt
		t.Worker = tr.Worker
		t.Boot = tr.Boot
		t.Size = tr.Size
	case record.Running:
		t.Endpoint = tr.Endpoint
	case record.Queued:
		t.Worker = ""
		if tr.Checkpoint != "" {
			t.Checkpoint = tr.Checkpoint
		}
		if t.Cancelled {
			t.State = record.Cancelled
		}
	}
	if !t.Active() {
		t.Endpoint = ""
	}
}
