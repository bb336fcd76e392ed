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
func checkTransition(t *Task, m *record.Transition) error {
	if !transitionAllowed(t.State, m.State) {
		return fmt.Errorf("%w: task %s is %s and cannot become %s", ErrVoid, t.ID, t.State, m.State)
	}
	wantAttempt := t.Attempt
	if m.State == record.Assigned {
		wantAttempt++
	}
	if m.Attempt != wantAttempt {
		return fmt.Errorf("%w: task %s is at attempt %d, record names attempt %d", ErrVoid, t.ID, t.Attempt, m.Attempt)
	}
	if m.State == record.Assigned && m.Worker == "" {
		return fmt.Errorf("%w: assignment of task %s names no worker", ErrVoid, t.ID)
	}
	if m.State == record.Cancelled && !t.Cancelled {
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
func (t *Task) applyTransition(m *record.Transition) {
	t.AtMillis = m.AtMillis
	t.Reason = m.Reason
	t.End = m.End
	if m.End == record.EndFailed || m.State == record.Failed {
		t.addFailure()
	}
	t.State = m.State
	switch m.State {
	case record.Assigned:
		t.Attempt = m.Attempt
		t.Worker = m.Worker
		t.Boot = m.Boot
		t.Size = m.Size
	case record.Running:
		t.Endpoint = m.Endpoint
	case record.Queued:
		t.Worker = ""
		if m.Checkpoint != "" {
			t.Checkpoint = m.Checkpoint
		}
		if t.Cancelled {
			t.State = record.Cancelled
		}
	}
	if !t.Active() {
		t.Endpoint = ""
	}
}
