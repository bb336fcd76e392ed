package job_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const jobID job.ID = "00000000000000a1"

func page(records ...store.Record) store.Page {
	var p store.Page
	for _, r := range records {
		p.Records = append(p.Records, store.StoredRecord{Record: r})
	}
	return p
}

// TestImpossibleSubmissionIsSkipped guards against a record whose steps depend on steps
// that do not exist, or have an impossible number of tasks: each owner that read it would
// end with a panic, one after the other. The records beside it must still be applied.
func TestImpossibleSubmissionIsSkipped(t *testing.T) {
	for name, steps := range map[string][]job.Step{
		"no steps":            nil,
		"depends on a later":  {{Tasks: 1, DependsOn: []int{1}}, {Tasks: 1}},
		"depends on none":     {{Tasks: 1, DependsOn: []int{-1}}},
		"negative tasks":      {{Tasks: -1}},
		"more tasks than any": {{Tasks: 1 << 40}},
	} {
		t.Run(name, func(t *testing.T) {
			bad, err := job.SubmissionRecord(jobID, &job.Submission{Spec: job.Spec{Steps: steps}})
			must.NoError(t, err)
			good, err := job.SubmissionRecord("00000000000000a2", &job.Submission{Spec: job.Spec{Steps: []job.Step{{Tasks: 1}}}})
			must.NoError(t, err)
			table := job.NewTable()
			entries, err := table.Apply(page(bad, good), time.Second)
			must.ErrorContains(t, err, string(jobID))
			must.Len(t, 1, entries)
			_, known := table.Get(jobID)
			must.False(t, known)
			_, _, err = job.DecodeSubmission(bad)
			must.Error(t, err)
		})
	}
}

// TestUnknownStateIsSkipped guards against the progress record of a later version that ends
// each host when a caller asks for the job's state.
func TestUnknownStateIsSkipped(t *testing.T) {
	submitted, err := job.SubmissionRecord(jobID, &job.Submission{Spec: job.Spec{Steps: []job.Step{{Tasks: 1}}}})
	must.NoError(t, err)
	progress, err := job.ProgressRecord(jobID, &job.Progress{State: job.Cancelled + 1, Revision: 2})
	must.NoError(t, err)
	table := job.NewTable()
	_, err = table.Apply(page(submitted, progress), time.Second)
	must.ErrorContains(t, err, string(jobID))
	e, known := table.Get(jobID)
	must.True(t, known)
	must.Eq(t, "queued", e.State().String())
}

// TestTotalTasksAreBounded guards against one submission that takes the memory of every
// owner.
func TestTotalTasksAreBounded(t *testing.T) {
	spec := job.Spec{}
	for range 6 {
		spec.Steps = append(spec.Steps, job.Step{Tasks: 10_000})
	}
	must.ErrorContains(t, spec.Validate(), "60000 tasks in all")
}

// FuzzApply: no record of the log causes a panic, and a submission that is applied has
// steps that depend only on earlier ones.
func FuzzApply(f *testing.F) {
	valid, err := cbor.Marshal(job.Submission{Spec: job.Spec{Steps: []job.Step{{Tasks: 2}, {Tasks: 1, DependsOn: []int{0}}}}})
	must.NoError(f, err)
	f.Add("j"+string(jobID), valid)
	f.Add("p"+string(jobID), []byte{0xa1, 0x01, 0x02})
	f.Add("p"+string(jobID), []byte{0xa2, 0x01, 0x09, 0x06, 0x01})
	f.Add("c"+string(jobID), []byte{1})
	f.Add("owner", []byte{0xa1, 0x03, 0x02})
	owner, err := job.OwnershipRecord(job.Ownership{Epoch: 3, Claim: 3}, []job.PastTerm{{Claim: 1, ReplacedAge: time.Second}, {Claim: 2}})
	must.NoError(f, err)
	f.Add(owner.Key, owner.Value)
	f.Add("worker/i-1", []byte{0xa0})
	f.Add("wave/7", []byte{0xa0})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		table := job.NewTable()
		submitted, err := job.SubmissionRecord(jobID, &job.Submission{Spec: job.Spec{Steps: []job.Step{{Tasks: 1}}}})
		must.NoError(t, err)
		entries, _ := table.Apply(page(submitted, store.Record{Key: key, Value: value}), time.Second)
		for _, e := range table.All() {
			must.NotEq(t, "unknown", e.State().String())
		}
		for _, e := range entries {
			if e.Submission == nil {
				continue
			}
			for i, step := range e.Submission.Spec.Steps {
				for _, d := range step.DependsOn {
					must.Between(t, 0, d, i-1)
				}
			}
		}
	})
}

// TestProgressRecordStaysWritable: the progress of a job with many stopped tasks exceeded the
// store's limit for a record and was refused without end.
func TestProgressRecordStaysWritable(t *testing.T) {
	const tasks = 20_000
	p := job.Progress{State: job.Running, Failures: map[int]job.Attempts{7: {1, 2}}, Checkpoints: map[int]string{}}
	for i := range tasks {
		p.Done.Add(tasks + i)
		p.Checkpoints[i] = fmt.Sprintf("%016x", i)
	}
	for _, state := range []job.State{job.Running, job.Cancelled} {
		p.State = state
		r, err := job.ProgressRecord(jobID, &p)
		must.NoError(t, err)
		must.LessEq(t, job.MaxRecordBytes, len(r.Value))
		must.MapLen(t, tasks, p.Checkpoints)
		var recorded job.Progress
		must.NoError(t, cbor.Unmarshal(r.Value, &recorded))
		must.Eq(t, p.State, recorded.State)
		must.Eq(t, p.Done, recorded.Done)
		must.Eq(t, p.Failures, recorded.Failures)
		must.Greater(t, job.MaxRecordBytes/40, len(recorded.Checkpoints))
		for i, checkpoint := range recorded.Checkpoints {
			must.Eq(t, p.Checkpoints[i], checkpoint)
		}
	}
}
