package task

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
)

// snapshot is the encoded form of a table.
type snapshot struct {
	Jobs         []*job  `cbor:"1,keyasint"`
	Tasks        []*Task `cbor:"2,keyasint"`
	StateChanges uint64  `cbor:"3,keyasint,omitempty"`
	// Purged holds the hashes of the identifiers of the last MaxPurgedIDs purged
	// jobs, oldest first; PurgedJobs counts all purged jobs.
	Purged     []uint64         `cbor:"4,keyasint,omitempty"`
	Failing    []workerFailures `cbor:"5,keyasint,omitempty"`
	PurgedJobs uint64           `cbor:"6,keyasint,omitempty"`
}

// MarshalBinary implements shard.TaskState. Equal tables give equal bytes.
func (t *Table) MarshalBinary() ([]byte, error) {
	snap := snapshot{StateChanges: t.stateChanges, Purged: t.purged.order, PurgedJobs: t.purgedCount}
	for _, id := range sortedKeys(t.jobs) {
		snap.Jobs = append(snap.Jobs, t.jobs[id])
	}
	t.Each(func(task *Task) bool {
		snap.Tasks = append(snap.Tasks, task)
		return true
	})
	for _, w := range sortedKeys(t.failing) {
		snap.Failing = append(snap.Failing, workerFailures{Worker: w, Kinds: t.failing[w]})
	}
	data, err := cbor.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("encode task table: %w", err)
	}
	return data, nil
}

// UnmarshalBinary implements shard.TaskState. On an error the table is unchanged.
func (t *Table) UnmarshalBinary(data []byte) error {
	var snap snapshot
	if err := cbor.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("decode task table: %w", err)
	}
	loaded := NewTable()
	if err := loaded.load(&snap); err != nil {
		return fmt.Errorf("decode task table: %w", err)
	}
	*t = *loaded
	return nil
}

func (t *Table) load(snap *snapshot) error {
	for _, j := range snap.Jobs {
		if j.Spec == nil {
			return fmt.Errorf("job without a specification")
		}
		t.jobs[j.Spec.ID] = j
		t.updateJobDigest(j)
		if j.EndOrder != 0 {
			t.ended.jobs = append(t.ended.jobs, j)
			t.ended.tasks += int(j.Spec.Count)
		}
	}
	slices.SortFunc(t.ended.jobs, func(a, b *job) int { return compare(a.EndOrder, b.EndOrder) })
	slices.SortFunc(snap.Tasks, func(a, b *Task) int { return compare(a.Entered, b.Entered) })
	for _, task := range snap.Tasks {
		if err := t.loadTask(task); err != nil {
			return err
		}
	}
	t.stateChanges = snap.StateChanges
	t.purgedCount = snap.PurgedJobs
	for _, h := range snap.Purged {
		t.purged.addHash(h)
	}
	for _, f := range snap.Failing {
		t.failing[f.Worker] = f.Kinds
	}
	return nil
}

func (t *Table) loadTask(task *Task) error {
	id := JobOf(task.ID)
	if task.job = t.jobs[id]; task.job == nil {
		return fmt.Errorf("task %s without its job", task.ID)
	}
	if int(task.State) >= len(t.index.byState) || (task.Active() && task.Worker == platform.WorkerID("")) {
		return fmt.Errorf("task %s: state %s on worker %q", task.ID, task.State, task.Worker)
	}
	t.tasks[task.ID] = task
	t.index.add(task)
	t.updateTaskDigest(task)
	if !task.State.Final() {
		task.job.unfinished++
	}
	return nil
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
