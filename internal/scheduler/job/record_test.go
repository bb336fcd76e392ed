package job_test

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
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
	progress, _, err := job.ProgressRecords(jobID, &job.Progress{State: job.Cancelled + 1, Revision: 2}, nil)
	must.NoError(t, err)
	table := job.NewTable()
	_, err = table.Apply(page(submitted, progress[0]), time.Second)
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

// TestSubmissionsThatAreAcceptedFitIntoRecord: a job with long names or many dependencies was
// refused by the store, and its caller told to come back without end.
func TestSubmissionsThatAreAcceptedFitIntoRecord(t *testing.T) {
	for name, change := range map[string]func(*job.Step){
		"images":       func(s *job.Step) { s.Image += "x" },
		"labels":       func(s *job.Step) { s.Label += "x" },
		"racks":        func(s *job.Step) { s.DataRack += "x" },
		"dependencies": func(s *job.Step) { s.DependsOn = append(s.DependsOn, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			const far = 1<<63 - 1
			spec := job.Spec{Payload: strings.Repeat("p", 4000), Occurrences: 100_000, FirstDueMS: 1 << 50, IntervalMS: 10_000_000_000_000}
			for range 256 {
				spec.Steps = append(spec.Steps, job.Step{
					Tasks: 100, Size: platform.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40}, EstimateMS: far,
					Checkpointing: true, Gang: true, SameRack: true, MaxPerWorker: far, Speculative: true, LongRunning: true,
					TargetMS: far, Fills: true, MayMiss: far,
				})
			}
			must.NoError(t, spec.Validate())
			largest := 0
			for spec.Validate() == nil {
				r, err := job.SubmissionRecord(jobID, &job.Submission{Queue: "q", Service: "s", Spec: spec})
				must.NoError(t, err)
				largest = len(r.Value)
				for i := range spec.Steps[1:] {
					for range 10 {
						change(&spec.Steps[i+1])
					}
				}
			}
			must.Between(t, job.MaxRecordBytes/3, largest, job.MaxRecordBytes)
		})
	}
}

// FuzzApply: no record of the log causes a panic, and a submission that is applied has
// steps that depend only on earlier ones.
func FuzzApply(f *testing.F) {
	valid, err := cbor.Marshal(job.Submission{Spec: job.Spec{Steps: []job.Step{{Tasks: 2}, {Tasks: 1, DependsOn: []int{0}}}}})
	must.NoError(f, err)
	f.Add("j"+string(jobID), valid)
	f.Add("p"+string(jobID), []byte{0xa1, 0x01, 0x02})
	f.Add("p"+string(jobID), []byte{0xa2, 0x01, 0x09, 0x06, 0x01})
	f.Add("p"+string(jobID)+"/0", []byte{0xa2, 0x02, 0x41, 0xff, 0x06, 0x01})
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

// largeProgress returns a running job's progress with facts of each of its tasks.
func largeProgress(tasks int) job.Progress {
	p := job.Progress{
		State: job.Running, Revision: 7, Failures: map[int]job.Attempts{}, Checkpoints: map[int]string{},
		Crashes: map[int][]job.Crash{}, Settled: map[int]platform.Attempt{},
	}
	for i := range tasks {
		p.Done.Add(tasks + i)
		p.Failures[i] = job.Attempts{1, 2}
		p.Checkpoints[i] = fmt.Sprintf("%016x", i)
		p.Crashes[i] = []job.Crash{{Worker: "worker-0123456789", Run: 1_700_000_000_000, Over: true}}
		p.Settled[i] = 3
	}
	return p
}

// recordsOf returns the records of a progress, each of which the store takes.
func recordsOf(t *testing.T, p job.Progress, known job.Parts) ([]store.Record, job.Parts) {
	t.Helper()
	records, parts, err := job.ProgressRecords(jobID, &p, known)
	must.NoError(t, err)
	for _, r := range records {
		must.LessEq(t, job.MaxRecordBytes, len(r.Value))
	}
	return records, parts
}

// tableWith returns a table with a job of the given number of occurrences of 40,000 tasks.
func tableWith(t *testing.T, occurrences int, records ...store.Record) *job.Table {
	t.Helper()
	steps := []job.Step{{Tasks: 10_000}, {Tasks: 10_000}, {Tasks: 10_000}, {Tasks: 10_000}}
	submitted, err := job.SubmissionRecord(jobID, &job.Submission{Spec: job.Spec{Steps: steps, Occurrences: occurrences}})
	must.NoError(t, err)
	table := job.NewTable()
	apply(t, table, time.Second, append([]store.Record{submitted}, records...)...)
	return table
}

// TestProgressRecordStaysWritable: the progress of a job with many stopped or lost tasks exceeded
// the store's limit for a record and was refused without end.
func TestProgressRecordStaysWritable(t *testing.T) {
	for _, state := range []job.State{job.Running, job.Cancelled} {
		p := largeProgress(20_000)
		p.State = state
		records, _ := recordsOf(t, p, nil)
		slices.Reverse(records)
		e := tableWith(t, 1, records...).All()[0]
		must.Positive(t, len(e.Parts))
		e.Progress.Split = false
		must.Eq(t, p, e.Progress)
	}
}

// TestVersionsWithoutPartsKnowDoneTasks guards against an owner of a version that skips parts and
// runs again what is done.
func TestVersionsWithoutPartsKnowDoneTasks(t *testing.T) {
	p := largeProgress(20_000)
	records, _ := recordsOf(t, p, nil)
	own := records[len(records)-1]
	must.Eq(t, "p"+string(jobID), own.Key)
	read := tableWith(t, 1, own).All()[0].Progress
	must.Eq(t, p.Done, read.Done)
	must.Eq(t, p.State, read.State)
}

// TestDoneTasksOfManyOccurrencesStayWritable: the set of done tasks of a schedule outgrew its
// record.
func TestDoneTasksOfManyOccurrencesStayWritable(t *testing.T) {
	const occurrences = 100
	p := job.Progress{Revision: 1}
	for i := 0; i < occurrences*40_000; i += 3 {
		p.Done.Add(i)
	}
	records, _ := recordsOf(t, p, nil)
	must.Eq(t, p.Done, tableWith(t, occurrences, records...).All()[0].Progress.Done)
}

// TestLongCheckpointsAreLeftOut guards against a part that outgrows its record for what tasks
// report: only checkpoints are left out.
func TestLongCheckpointsAreLeftOut(t *testing.T) {
	p := largeProgress(20_000)
	p.Checkpoints = map[int]string{}
	for i := range 256 {
		p.Checkpoints[i] = strings.Repeat("x", 4000)
	}
	records, _ := recordsOf(t, p, nil)
	read := tableWith(t, 1, records...).All()[0].Progress
	must.Between(t, 30, len(read.Checkpoints), 255)
	must.Eq(t, p.Crashes, read.Crashes)
}

// TestLargestPartFits guards against tasks of which as much is listed as can be: 200 bytes are the
// longest name of a worker.
func TestLargestPartFits(t *testing.T) {
	p := largeProgress(1000)
	p.Checkpoints, p.EarlierFailures = nil, map[int]int{}
	crash := job.Crash{
		Worker: platform.WorkerID(strings.Repeat("w", 200)), Run: math.MaxInt64,
		Over: true, Started: true, Settled: true, Blamed: true, Explained: true,
	}
	for i := range p.Crashes {
		p.Crashes[i] = slices.Repeat([]job.Crash{crash}, job.MaxListedCrashes)
		p.Failures[i] = slices.Repeat(job.Attempts{math.MaxUint32}, job.MaxListedFailures)
		p.Settled[i], p.EarlierFailures[i] = math.MaxUint32, math.MaxInt
	}
	records, _ := recordsOf(t, p, nil)
	must.Eq(t, p, tableWith(t, 1, records...).All()[0].Progress)
}

// TestOnlyChangedPartsAreWritten guards against an owner's link that carries all of a large job's
// progress at each end of a task, and against parts of an earlier owner that outlive their facts.
func TestOnlyChangedPartsAreWritten(t *testing.T) {
	p := largeProgress(20_000)
	first, parts := recordsOf(t, p, nil)
	p.Revision++
	delete(p.Crashes, 5)
	records, _ := recordsOf(t, p, parts)
	must.Len(t, 2, records)

	table := tableWith(t, 1, first...)
	next := table.All()[0]
	for i := range 19_000 {
		delete(p.Crashes, i)
		delete(p.Failures, i)
		delete(p.Checkpoints, i)
		delete(p.Settled, i)
	}
	p.Done = job.BitSet{Bits: bytes.Repeat([]byte{1}, 120_000)}
	records, _ = recordsOf(t, p, next.Parts)
	apply(t, table, 2*time.Second, records...)
	must.Eq(t, p.Crashes, table.All()[0].Progress.Crashes)
	must.Len(t, len(next.Parts)+3, job.DeletionRecords(jobID, table.Parts(jobID)...))
}

// TestInterruptedSplitLosesNothing guards against an owner that ends between the appends of a
// split progress: each fact is then the one before or the new one.
func TestInterruptedSplitLosesNothing(t *testing.T) {
	small := largeProgress(100)
	whole, _ := recordsOf(t, small, nil)
	large := largeProgress(20_000)
	large.Revision = 8
	large.Failures[1] = job.Attempts{1, 2, 3}
	records, parts := recordsOf(t, large, nil)
	for n := 0; n < len(records); n += 29 {
		e := tableWith(t, 1, append(slices.Clone(whole), records[:n]...)...).All()[0]
		must.GreaterEq(t, 100, len(e.Progress.Crashes))
		must.Len(t, 2+min(n, 1), e.Progress.Failures[1])
	}
	// One record again, of this version or one that has not read the parts.
	small.Revision = 9
	whole, _ = recordsOf(t, small, parts)
	must.Eq(t, small, tableWith(t, 1, append(records, whole...)...).All()[0].Progress)
}
