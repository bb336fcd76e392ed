package task

import (
	"errors"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/standin/property"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 40, 0) }

func batchJob(id platform.JobID, count uint32) record.Record {
	return record.Record{Job: &record.Job{ID: id, Template: platform.TemplateName("t-" + id), Count: count, Size: platform.Resources{MilliCPU: 100, Slots: 1}}}
}

func serviceJob(count uint32) record.Record {
	return record.Record{Job: &record.Job{ID: "svc", Service: "svc", Count: count, Urgent: true, Size: platform.Resources{MilliCPU: 10, Slots: 1}}}
}

func transition(id platform.TaskID, a platform.Attempt, s record.State, w platform.WorkerID, end record.End) record.Record {
	return record.Record{Transition: &record.Transition{Task: id, Attempt: a, State: s, Worker: w, End: end, Size: platform.Resources{MilliCPU: 100, Slots: 1}}}
}

func cancelJob(id platform.JobID) record.Record {
	return record.Record{Cancel: &record.Cancel{Job: id}}
}

func rescale(n uint32) record.Record {
	return record.Record{Rescale: &record.Rescale{Job: "svc", Count: n}}
}

// TestRacingTransitions applies records that were written by processes unaware of each
// other: a record that comes too late must be void and leave the digest unchanged.
func TestRacingTransitions(t *testing.T) {
	const a = platform.TaskID("j/0")
	assigned := transition(a, 1, record.Assigned, "w", 0)
	running := transition(a, 1, record.Running, "", 0)
	finished := transition(a, 1, record.Finished, "", 0)
	stopped := transition(a, 1, record.Queued, "", record.EndStopped)
	cancel := cancelJob("j")
	cases := []struct {
		name    string
		records []record.Record
		// void states for each record whether it must be void.
		void  []bool
		state record.State
	}{
		{"cancel while queued", []record.Record{cancel, assigned}, []bool{false, true}, record.Cancelled},
		{"cancel, then stopped", []record.Record{assigned, running, cancel, stopped}, make([]bool, 4), record.Cancelled},
		{"cancel, then finished first", []record.Record{assigned, running, cancel, finished, stopped}, []bool{false, false, false, false, true}, record.Finished},
		{"finished, then cancel", []record.Record{assigned, finished, cancel}, []bool{false, false, true}, record.Finished},
		{"finish recorded before the start", []record.Record{assigned, finished, running}, []bool{false, false, true}, record.Finished},
		{"repeated start", []record.Record{assigned, assigned}, []bool{false, true}, record.Assigned},
		{"repeated requeue", []record.Record{assigned, stopped, stopped}, []bool{false, false, true}, record.Queued},
		{"delayed finish of an earlier attempt", []record.Record{assigned, stopped, transition(a, 2, record.Assigned, "v", 0), finished}, []bool{false, false, false, true}, record.Assigned},
		{"delayed start of an earlier attempt", []record.Record{assigned, stopped, transition(a, 2, record.Assigned, "v", 0), running}, []bool{false, false, false, true}, record.Assigned},
		{"attempt skipped", []record.Record{transition(a, 2, record.Assigned, "w", 0)}, []bool{true}, record.Queued},
		{"finish while queued", []record.Record{transition(a, 0, record.Finished, "", 0)}, []bool{true}, record.Queued},
		{"eviction, finish wins", []record.Record{assigned, running, transition(a, 1, record.Checkpointing, "", 0), finished, stopped}, []bool{false, false, false, false, true}, record.Finished},
		{"eviction, stop wins", []record.Record{assigned, running, transition(a, 1, record.Checkpointing, "", 0), stopped, finished}, []bool{false, false, false, false, true}, record.Queued},
		{"running again while checkpointing", []record.Record{assigned, running, transition(a, 1, record.Checkpointing, "", 0), running}, []bool{false, false, false, true}, record.Checkpointing},
		{"cancelled without a request", []record.Record{assigned, transition(a, 1, record.Cancelled, "", 0)}, []bool{false, true}, record.Assigned},
		{"job repeated", []record.Record{assigned, batchJob("j", 1)}, []bool{false, true}, record.Assigned},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			must.NoError(t, table.Apply(0, batchJob("j", 1)))
			for i, r := range c.records {
				before := table.Digest()
				err := table.Apply(0, r)
				must.Eq(t, c.void[i], errors.Is(err, ErrVoid), must.Sprintf("record %d: %v", i, err))
				must.Eq(t, c.void[i], before == table.Digest())
			}
			must.Eq(t, c.state, table.Task(a).State)
		})
	}
}

// TestRescale scales a service down and up again: active tasks are only marked as
// cancelled, and the attempt numbers of ended tasks continue.
func TestRescale(t *testing.T) {
	table := NewTable()
	must.NoError(t, table.Apply(0, serviceJob(2)))
	must.NoError(t, table.Apply(0, transition("svc/0", 1, record.Assigned, "w", 0)))
	must.NoError(t, table.Apply(0, rescale(0)))
	must.True(t, table.Task("svc/0").Cancelled)
	must.Eq(t, record.Assigned, table.Task("svc/0").State)
	must.Eq(t, record.Cancelled, table.Task("svc/1").State)

	must.NoError(t, table.Apply(0, transition("svc/0", 1, record.Queued, "", record.EndStopped)))
	must.Eq(t, record.Cancelled, table.Task("svc/0").State)
	must.NoError(t, table.Apply(0, rescale(3)))
	must.Eq(t, 3, table.CountInState(record.Queued))
	must.Eq(t, 1, table.Task("svc/0").Attempt)
	must.ErrorIs(t, table.Apply(0, transition("svc/0", 1, record.Assigned, "w", 0)), ErrVoid)
	must.NoError(t, table.Apply(0, transition("svc/0", 2, record.Assigned, "w", 0)))
}

// TestEndedJobsArePurged checks that the table stays within MaxRetainedTasks, and that
// the identifier of a purged job is rejected until MaxPurgedIDs further jobs are purged.
func TestEndedJobsArePurged(t *testing.T) {
	table := NewTable()
	must.NoError(t, table.Apply(0, batchJob("first", 10)))
	must.NoError(t, table.Apply(0, cancelJob("first")))
	endJob := func(i int) platform.JobID {
		id := platform.JobID(fmt.Sprintf("job-%d", i))
		must.NoError(t, table.Apply(0, batchJob(id, 100)))
		must.NoError(t, table.Apply(0, cancelJob(id)))
		return id
	}
	for i := range 12 {
		endJob(i)
	}
	must.Nil(t, table.Job("first"))
	must.Eq(t, 3, table.PurgedJobs())
	data, err := table.MarshalBinary()
	must.NoError(t, err)
	loaded := NewTable()
	must.NoError(t, loaded.UnmarshalBinary(data))
	must.Eq(t, table.PurgedJobs(), loaded.PurgedJobs())
	must.LessEq(t, MaxRetainedTasks, table.Len())
	must.ErrorIs(t, table.Apply(0, batchJob("first", 1)), ErrVoid)
	for i := range MaxPurgedIDs + 20 {
		endJob(100 + i)
	}
	must.LessEq(t, MaxRetainedTasks, table.Len())
	must.NoError(t, table.Apply(0, batchJob("first", 1)))
}

// TestUnrunnableTaskVersusSuspectWorker checks that failures on a suspect worker do not
// make a task unrunnable, and that a finished task clears the suspicion.
func TestUnrunnableTaskVersusSuspectWorker(t *testing.T) {
	table := NewTable()
	for i := range 4 {
		must.NoError(t, table.Apply(0, batchJob(platform.JobID(fmt.Sprintf("j%d", i)), 1)))
	}
	failAttempt := func(id platform.TaskID, attempt platform.Attempt, w platform.WorkerID) {
		must.NoError(t, table.Apply(0, transition(id, attempt, record.Assigned, w, 0)))
		must.NoError(t, table.Apply(0, transition(id, attempt, record.Queued, "", record.EndFailed)))
	}
	failAttempt("j0/0", 1, "bad")
	failAttempt("j0/0", 2, "w1")
	must.True(t, table.UnrunnableAfterFailure(table.Task("j0/0"), "w2"))
	failAttempt("j1/0", 1, "bad")
	failAttempt("j2/0", 1, "bad")
	must.True(t, table.Suspect("bad"))
	must.False(t, table.UnrunnableAfterFailure(table.Task("j0/0"), "w2"))
	must.False(t, table.UnrunnableAfterFailure(table.Task("j0/0"), "w1"))
	failAttempt("j0/0", 3, "w2")
	must.True(t, table.UnrunnableAfterFailure(table.Task("j0/0"), "w3"))

	must.NoError(t, table.Apply(0, transition("j3/0", 1, record.Assigned, "bad", 0)))
	must.NoError(t, table.Apply(0, transition("j3/0", 1, record.Finished, "", 0)))
	must.False(t, table.Suspect("bad"))
}

// TestTableInvariants applies random records and compares the indexes with a full scan,
// and the digest with that of a table loaded from a snapshot.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		attempts := map[platform.TaskID]platform.Attempt{}
		for range 120 {
			r := drawRecord(t, table)
			before := table.Digest()
			if err := table.Apply(0, r); err != nil {
				must.ErrorIs(t, err, ErrVoid)
				must.Eq(t, before, table.Digest())
				continue
			}
			checkIndexes(t, table)
			table.Each(func(task *Task) bool {
				must.GreaterEq(t, attempts[task.ID], task.Attempt)
				attempts[task.ID] = task.Attempt
				return true
			})
		}
		data, err := table.MarshalBinary()
		must.NoError(t, err)
		loaded := NewTable()
		must.NoError(t, loaded.UnmarshalBinary(data))
		must.Eq(t, table.Digest(), loaded.Digest())
		for range 30 {
			r := drawRecord(t, table)
			must.Eq(t, table.Apply(0, r) == nil, loaded.Apply(0, r) == nil)
		}
		must.Eq(t, table.Digest(), loaded.Digest())
		checkIndexes(t, loaded)
	})
}

func drawRecord(t *rapid.T, table *Table) record.Record {
	job := platform.JobID(rapid.SampledFrom([]string{"a", "b", "c", "svc"}).Draw(t, "job"))
	id := ID(job, rapid.Uint32Range(0, 3).Draw(t, "index"))
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		if job == "svc" {
			return serviceJob(2)
		}
		return batchJob(job, rapid.Uint32Range(0, 4).Draw(t, "count"))
	case 1:
		return cancelJob(job)
	case 2:
		return rescale(rapid.Uint32Range(0, 4).Draw(t, "count"))
	}
	var attempt platform.Attempt
	if task := table.Task(id); task != nil {
		attempt = task.Attempt
	}
	attempt += platform.Attempt(rapid.SampledFrom([]uint32{0, 0, 1}).Draw(t, "ahead"))
	state := record.State(rapid.Uint8Range(uint8(record.Queued), uint8(record.Unrunnable)).Draw(t, "state"))
	worker := platform.WorkerID(rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "worker"))
	end := record.End(rapid.Uint8Range(0, uint8(record.EndRestarted)).Draw(t, "end"))
	return transition(id, attempt, state, worker, end)
}

func checkIndexes(t *rapid.T, table *Table) {
	committed := map[platform.WorkerID]platform.Resources{}
	counts := map[record.State]int{}
	table.Each(func(task *Task) bool {
		counts[task.State]++
		if task.Active() {
			committed[task.Worker] = committed[task.Worker].Add(task.Size)
		}
		return true
	})
	for s := record.Queued; s <= record.Unrunnable; s++ {
		must.Eq(t, counts[s], table.CountInState(s))
	}
	must.Len(t, len(committed), table.Workers())
	for w, sum := range committed {
		must.Eq(t, sum, table.Committed(w))
		table.EachOnWorker(w, func(task *Task) bool {
			must.Eq(t, w, task.Worker)
			sum = sum.Sub(task.Size)
			return true
		})
		must.Eq(t, platform.Resources{}, sum)
	}
}
