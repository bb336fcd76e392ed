package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// dueTimes occurrences of dueTasks tasks each are due after 60 days of a job that runs
	// each minute.
	dueTimes = 60 * 24 * 60
	dueTasks = 20
	// maxScheduleHeap is the memory that a schedule may take: a fifth of a host's 284 MB.
	maxScheduleHeap = 56 << 20
)

// everyMinute makes a job one that runs each minute, first at the time first before now.
func (h *harness) everyMinute(first time.Duration) func(*job.Submission) {
	return func(s *job.Submission) {
		s.Spec.Occurrences, s.Spec.FirstDueMS, s.Spec.IntervalMS = 100_000, (h.now - first).Milliseconds(), time.Minute.Milliseconds()
	}
}

func shortStep(tasks int) job.Step {
	step := batchStep(tasks)
	step.Size.MilliCPU, step.Size.MemoryMB, step.EstimateMS = 500, 500, 500
	return step
}

// measureHeap returns the growth of the heap through f, and how long f takes.
func measureHeap(f func()) (bytes int64, took time.Duration) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	f()
	took = time.Since(began)
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc), took
}

// TestDueTimesFillMemory: all due occurrences of a schedule were set up at once, by each owner
// in turn, and took its memory.
func TestDueTimesFillMemory(t *testing.T) {
	h := newHarness(t, 4)
	h.run(time.Second)
	heap, took := measureHeap(func() {
		h.submitAs(firstID, h.everyMinute(dueTimes*time.Minute), fixedLength(0.5), nil, shortStep(dueTasks))
		h.tick()
	})
	t.Logf("%d due times: %d MB, first plan in %v", dueTimes, heap>>20, took)
	must.LessEq(t, maxScheduleHeap, heap)
	must.Between(t, dueTimes*dueTasks, h.shard.Waiting()[0]+h.cluster.Starts(), (dueTimes+1)*dueTasks)
	h.run(3 * time.Second)
	began := h.cluster.Starts()
	h.shard = nil
	heap, took = measureHeap(func() { h.takeOver(false); h.tick() })
	t.Logf("next owner: %d MB more, takeover in %v", heap>>20, took)
	must.LessEq(t, maxScheduleHeap, heap)
	h.run(12 * time.Second)
	must.Greater(t, began, h.cluster.Starts())
	h.checkViolations()
}

// TestPastTimesFillMemory: the occurrences that had run in 60 days were set up again by each
// new owner.
func TestPastTimesFillMemory(t *testing.T) {
	h := newHarness(t, 4)
	h.run(time.Second)
	id := h.submitAs(firstID, h.everyMinute((dueTimes-1)*time.Minute+59*time.Second), fixedLength(0.5), nil, shortStep(dueTasks))
	p := job.Progress{State: job.Running, Revision: 1}
	for n := range dueTimes * dueTasks {
		p.Done.Add(n)
	}
	h.log[id] = p
	records, _, err := job.ProgressRecords(id, &p, nil)
	must.NoError(t, err)
	must.Len(t, 1, records)
	r := records[0]
	h.shard = nil
	heap, took := measureHeap(func() { h.takeOver(true); h.tick() })
	t.Logf("after %d times: record of %d bytes, %d MB, takeover in %v", dueTimes, len(r.Value), heap>>20, took)
	must.LessEq(t, maxScheduleHeap, heap)
	must.LessEq(t, job.MaxRecordBytes, len(r.Value))
	h.run(4 * time.Second)
	must.Eq(t, dueTasks, h.cluster.Starts(), must.Sprint("only the occurrence that has become due since runs"))
	h.checkViolations()
}

// TestDueTimesDelayOtherJobs: the due occurrences of one caller's schedules kept other jobs out
// while start orders were scarce.
func TestDueTimesDelayOtherJobs(t *testing.T) {
	h := newHarness(t, 8)
	h.maxStarts = 1
	h.run(4 * time.Second)
	for i := range 30 {
		h.submitAs(fmt.Sprintf("%016x", 1000+i), h.everyMinute(1000*time.Minute), fixedLength(0.5), nil, shortStep(dueTasks))
	}
	h.run(8 * time.Second)
	for i := range 20 {
		id := fmt.Sprintf("%016x", 100+i)
		sub := &job.Submission{Queue: queueName, Service: service, MaxFailures: 3, Stretch: 2, TargetMS: 1000, Spec: job.Spec{Steps: []job.Step{shortStep(1)}}}
		must.True(t, h.shard.Admit(h.now, sub).Admitted, must.Sprint(i, h.shard.Admit(h.now, sub)))
		h.submit(id, fixedLength(0.5), nil, shortStep(1))
		h.run(time.Second)
		must.Eq(t, job.Done, h.state(job.ID(id)), must.Sprint(i))
	}
	h.checkViolations()
}

// TestScheduleBeyondLimitsEnds: occurrences that are due but not held must run once each, and
// what the progress says of failures must not grow with the past.
func TestScheduleBeyondLimitsEnds(t *testing.T) {
	const occurrences = 3000
	h := newHarness(t, 8)
	h.run(time.Second)
	fails := func(ref job.TaskRef, attempt platform.Attempt) bool {
		return ref.Occurrence%100 == 0 && attempt%10_000 == 1
	}
	id := h.submitAs(firstID, func(s *job.Submission) {
		s.Spec.Occurrences, s.Spec.FirstDueMS, s.Spec.IntervalMS = occurrences, h.now.Milliseconds(), 1
	}, fixedLength(0.3), fails, shortStep(1))
	for i := range 3 {
		h.run(time.Second)
		must.Between(t, 1, h.cluster.Running(id), 1000)
		h.takeOver(i%2 == 0)
	}
	h.run(15 * time.Second)
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, occurrences, h.log[id].Done.Len())
	must.MapEmpty(t, h.log[id].Checkpoints)
	t.Logf("failures in the record: %d", len(h.log[id].Failures))
	must.LessEq(t, 10, len(h.log[id].Failures))
	h.checkViolations()
}

// TestDueWorkThatCannotBeHeldIsRefused: schedules were accepted whatever their due occurrences
// took, and together they must not take the memory that one of them may not.
func TestDueWorkThatCannotBeHeldIsRefused(t *testing.T) {
	h := newHarness(t, 1)
	h.run(time.Second)
	var refused scheduler.Admission
	heap, _ := measureHeap(func() {
		for i := range 10 {
			sub := &job.Submission{Queue: queueName, Service: service, MaxFailures: 3, Stretch: 2, Spec: job.Spec{Steps: []job.Step{shortStep(50)}}}
			h.everyMinute(dueTimes * time.Minute)(sub)
			if refused = h.shard.Admit(h.now, sub); !refused.Admitted {
				break
			}
			h.submitAs(fmt.Sprintf("%016x", i+1), h.everyMinute(1000*time.Minute), fixedLength(0.5), nil, shortStep(50))
			h.tick()
		}
	})
	must.False(t, refused.Admitted)
	must.StrContains(t, refused.Reason, "memory")
	must.Positive(t, refused.RetryAfter)
	must.LessEq(t, maxScheduleHeap, heap)
	later := &job.Submission{Queue: queueName, Service: service, Spec: job.Spec{Steps: []job.Step{shortStep(50)}}}
	h.everyMinute(-time.Hour)(later)
	must.True(t, h.shard.Admit(h.now, later).Admitted, must.Sprint("nothing of it is due"))
}
