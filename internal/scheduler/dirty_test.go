package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// BenchmarkAnswer measures the owner's work per answer of a worker: applying the lists
// and the plan that follows. Each worker answers once a second.
func BenchmarkAnswer(b *testing.B) {
	for _, workers := range []int{66, 490, 3000} {
		for _, waiting := range []int{0, 200} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, waiting), func(b *testing.B) {
				h := newFullHarness(b, workers, waiting)
				b.ResetTimer()
				for i := range b.N {
					h.now += time.Second / time.Duration(workers)
					h.renewLeases(workerInfo(i % workers).ID)
					h.plan()
				}
			})
		}
	}
}

// newFullHarness returns a harness whose workers have no free resources, with the given
// number of jobs waiting.
func newFullHarness(t testing.TB, workers, waiting int) *harness {
	h := newHarness(t, workers)
	for i := range workers + waiting {
		h.submit(fmt.Sprintf("%016x", i+1), fixedLength(1000), nil, batchStep(8))
	}
	for range 3 {
		h.now += time.Second
		for i := range workers {
			h.renewLeases(workerInfo(i).ID)
		}
		h.plan()
		h.record()
	}
	return h
}

// TestRoomIsUsedAtOnce frees resources on one of many full workers. The plan after the
// answer that reports it must start a waiting task, although it considers one worker
// only.
func TestRoomIsUsedAtOnce(t *testing.T) {
	const workers = 40
	h := newHarness(t, workers)
	first := h.submit("00000000000000aa", fixedLength(4), nil, batchStep(1))
	for i := range 2 * workers {
		h.submit(fmt.Sprintf("%016x", i+1), fixedLength(1000), nil, batchStep(8))
	}
	for h.state(first) != job.Done {
		must.Less(t, time.Minute+10*time.Second, h.now)
		before := h.cluster.Starts()
		h.tick()
		if h.state(first) == job.Done {
			must.Eq(t, before+1, h.cluster.Starts())
		}
	}
	h.checkViolations()
}

// TestIncrementalPlanMissesNothing submits jobs faster than they finish, cancels some,
// and drains and restores workers. A full plan must not start any task that the plans
// over the dirty set left waiting. Changes that only the passing of time causes, such
// as the expiry of an unresponsive worker's leases, are excluded.
func TestIncrementalPlanMissesNothing(t *testing.T) {
	const workers = 12
	h := newHarness(t, workers)
	random := rand.New(rand.NewPCG(7, 7))
	for i := range 400 {
		step := batchStep(1 + random.IntN(12))
		step.Size.MilliCPU = int64(1000 * (1 + random.IntN(9)))
		id := h.submit(fmt.Sprintf("%016x", i+1), fixedLength(0.2+random.Float64()), nil, step, dependsOn(0)(step))
		h.entries[id].Submission.Priority = random.IntN(3)
		switch random.IntN(8) {
		case 0:
			h.cluster.SetDraining(workerInfo(random.IntN(workers)).ID, random.IntN(2) == 0)
			h.syncWorkers()
		case 1:
			h.shard.CancelJob(h.now, job.ID(fmt.Sprintf("%016x", 1+random.IntN(i+1))))
		}
		h.tick()
		if i%7 == 0 {
			h.plan()
			h.shard.SetConfig(h.config)
			must.SliceEmpty(t, h.shard.Plan(h.now, h.now.Milliseconds(), unlimitedStarts).Starts)
		}
	}
	must.Positive(t, h.shard.Waiting()[2])
	h.checkViolations()
}
