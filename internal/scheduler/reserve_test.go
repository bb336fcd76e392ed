package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

func sizedStep(tasks int, cores int64, estimate time.Duration) job.Step {
	return job.Step{Tasks: tasks, Size: platform.Resources{MilliCPU: 1000 * cores, MemoryMB: 1000}, EstimateMS: estimate.Milliseconds()}
}

// newPartlyTaken returns a harness in which long-running tasks take half of each of 16 workers of 32
// cores.
func newPartlyTaken(t testing.TB) *harness {
	h := newHarness(t, 16)
	h.submit(firstID, nil, nil, job.Step{Tasks: 16, Size: platform.Resources{MilliCPU: 16_000, MemoryMB: 1000}, LongRunning: true, MaxPerWorker: 1})
	h.run(2 * time.Second)
	h.shard.TakeNotes()
	return h
}

// waitsBesideLoad submits a job of load each 100 ms, more than the workers hold, and after five
// seconds one of the step tried, which can be in time for long. It returns for how long the longest
// task of that step has waited after 20 seconds more. onReserved is called with each worker that is
// reserved.
func (h *harness) waitsBesideLoad(load, tried job.Step, onReserved func(platform.WorkerID)) time.Duration {
	const tests = job.ID("f000000000000000")
	relaxed := func(s *job.Submission) { s.Stretch = 20 }
	begin, longest, left := h.now, time.Duration(0), tried.Tasks
	for tick := 0; h.now < begin+25*time.Second; tick++ {
		if tick%2 == 0 {
			h.submit(fmt.Sprintf("b%015x", tick), fixedLength(0.8+0.1*float64(tick%5)), nil, load)
		}
		if h.now == begin+5*time.Second {
			h.submitAs(string(tests), relaxed, fixedLength(1), nil, tried)
		}
		h.tick()
		notes := h.shard.TakeNotes()
		for _, note := range notes.Reserved {
			onReserved(note.Worker)
		}
		for _, note := range notes.Started {
			if note.Task.Job == tests {
				left--
				longest = max(longest, note.Waited)
			}
		}
	}
	h.checkViolations()
	if left > 0 {
		return 20 * time.Second
	}
	return longest
}

func nothingHappens(platform.WorkerID) {}

// maxWaitAtLoad is how long a task may wait that the load alone does not keep from its room: twice
// the horizon of reservations.
const maxWaitAtLoad = 8 * time.Second

// TestLargeTaskIsNotPassedByLaterSmallOnes guards against a task that waits for as long as small
// ones arrive that fit into every gap, whether their estimates are right or off by nine tenths.
func TestLargeTaskIsNotPassedByLaterSmallOnes(t *testing.T) {
	for _, estimate := range []time.Duration{time.Second, 100 * time.Millisecond, 10 * time.Second} {
		t.Run(estimate.String(), func(t *testing.T) {
			waited := newPartlyTaken(t).waitsBesideLoad(sizedStep(7, 4, estimate), sizedStep(1, 14, time.Second), nothingHappens)
			must.Less(t, maxWaitAtLoad, waited)
		})
	}
}

// TestGangGetsRoomBesideSmallTasks guards against a gang that never finds room for all of its members.
func TestGangGetsRoomBesideSmallTasks(t *testing.T) {
	gang := sizedStep(1, 14, time.Second)
	gang.Gang = true
	must.Less(t, maxWaitAtLoad, newPartlyTaken(t).waitsBesideLoad(sizedStep(7, 4, time.Second), gang, nothingHappens))
}

// TestSmallTaskIsNotHeldUpByLargeOnes guards against room that is kept for waiting large tasks while
// small ones, which would fit, wait for longer than their share of the load.
func TestSmallTaskIsNotHeldUpByLargeOnes(t *testing.T) {
	must.Less(t, maxWaitAtLoad, newPartlyTaken(t).waitsBesideLoad(sizedStep(2, 14, time.Second), sizedStep(2, 2, time.Second), nothingHappens))
}

// TestReservedWorkerIsLost guards against a large task that goes on waiting for the worker that was
// reserved for it after that has gone.
func TestReservedWorkerIsLost(t *testing.T) {
	h := newPartlyTaken(t)
	lost := 0
	lose := func(w platform.WorkerID) {
		if lost == 0 {
			h.cluster.Crash(w)
		}
		lost++
	}
	must.Less(t, maxWaitAtLoad, h.waitsBesideLoad(sizedStep(7, 4, time.Second), sizedStep(1, 14, time.Second), lose))
	must.Greater(t, 1, lost)
}

// BenchmarkPlanWithWaitingSteps measures a plan over 500 workers, most of whose room long-running tasks
// take, while 300 steps wait that need more than any gap.
func BenchmarkPlanWithWaitingSteps(b *testing.B) {
	h := newHarness(b, 500)
	for i := range 500 {
		h.submit(fmt.Sprintf("a%015x", i), nil, nil, job.Step{Tasks: 1, Size: platform.Resources{MilliCPU: 16_000, MemoryMB: 1000}, LongRunning: true})
	}
	h.run(2 * time.Second)
	// The first 50 take what is free.
	for i := range 350 {
		h.submit(fmt.Sprintf("b%015x", i), fixedLength(1000), nil, sizedStep(10, 14, time.Second))
	}
	h.run(time.Second)
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		h.now += 100 * time.Millisecond
		h.cluster.Advance(h.now)
		for i := range 500 {
			h.renewLeases(workerInfo(i).ID)
		}
		b.StartTimer()
		h.planOnce(unlimitedStarts)
	}
}
