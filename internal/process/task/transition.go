package task

import (
	"fmt"

	"github.com/siskinvane/siskinvane/internal/process/record"
)

// moves lists the states that follow each state. Final states have none, so
// that a late or repeated transition is void.
var moves = map[record.State][]record.State{
	record.Queued:        {record.Assigned, record.Cancelled, record.Unrunnable},
	record.Assigned:      {record.Running, record.Queued, record.Finished, record.Failed, record.Cancelled, record.Unrunnable},
	record.Running:       {record.Checkpointing, record.Queued, record.Finished, record.Failed, record.Cancelled, record.Unrunnable},
	record.Checkpointing: {record.Queued, record.Finished, record.Failed, record.Cancelled, record.Unrunnable},
}

// checkMove returns an error that matches ErrVoid unless m may follow the
// state of t.
func checkMove(t *Task, m *record.Transition) error {
	if !mayFollow(t.State, m.State) {
		return fmt.Errorf("%w: task %s is %s and cannot become %s", ErrVoid, t.ID, t.State, m.State)
	}
	want := t.Attempt
	if m.State == record.Assigned {
		want++
	}
	if m.Attempt != want {
		return fmt.Errorf("%w: task %s is at attempt %d, record speaks of %d", ErrVoid, t.ID, t.Attempt, m.Attempt)
	}
	if m.State == record.Assigned && m.Worker == "" {
		return fmt.Errorf("%w: task %s is assigned to no worker", ErrVoid, t.ID)
	}
	if m.State == record.Cancelled && !t.Cancelled {
		return fmt.Errorf("%w: the end of task %s was not asked for", ErrVoid, t.ID)
	}
	return nil
}

func mayFollow(from, to record.State) bool {
	for _, s := range moves[from] {
		if s == to {
			return true
		}
	}
	return false
}

// apply changes the fields of t as m says. The caller keeps the indexes.
func (t *Task) apply(m *record.Transition) {
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
