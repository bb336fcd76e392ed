package place

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/standin/property"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 30, 60) }

// TestCacheNeverOverCapacity places, confirms and forgets tasks at random, removes
// and relists workers, and compares the incrementally updated sums with sums over
// all tasks.
func TestCacheNeverOverCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, s, rng := newTestCache(5), NewScheduler(nil), newRand()
		next := 0
		var live []platform.TaskID
		t.Repeat(map[string]func(*rapid.T){
			"assume": func(t *rapid.T) {
				r := newBatchRequest(fmt.Sprintf("j/%d", next), size(rapid.Int64Range(1, 20).Draw(t, "cores"), rapid.Int64Range(1, 90_000).Draw(t, "memory")))
				next++
				d := s.Place(r, c, rng)
				if d.Worker == "" {
					return
				}
				must.NoError(t, c.AssumeTask(residentOf(r, d.Worker)))
				live = append(live, r.Task)
			},
			"confirm": func(t *rapid.T) {
				if len(live) > 0 {
					c.ConfirmTask(*c.Resident(rapid.SampledFrom(live).Draw(t, "task")))
				}
			},
			"forget": func(t *rapid.T) {
				if len(live) > 0 {
					i := rapid.IntRange(0, len(live)-1).Draw(t, "index")
					c.ForgetTask(live[i])
					live = append(live[:i], live[i+1:]...)
				}
			},
			"delist": func(t *rapid.T) {
				id := platform.WorkerID(fmt.Sprintf("w%04d", rapid.IntRange(0, 4).Draw(t, "worker")))
				info := newTestCache(5).Worker(id).WorkerInfo
				c.RemoveWorker(id)
				c.SetWorker(info)
			},
			"": func(t *rapid.T) { checkCache(t, c) },
		})
	})
}

func checkCache(t *rapid.T, c *Cache) {
	committed := map[platform.WorkerID]platform.Resources{}
	var teamSize platform.Resources
	for _, r := range c.tasks {
		committed[r.Worker] = committed[r.Worker].Add(r.Size)
		teamSize = teamSize.Add(r.Size)
	}
	must.Eq(t, teamSize, c.teamSizes["reports"])
	must.Eq(t, 5, c.Len())
	c.EachWorker(func(w *WorkerView) {
		must.Eq(t, committed[w.ID], w.Committed)
		must.True(t, w.Committed.Fits(w.Capacity))
		must.Eq(t, bucketOf(w.Free().MilliCPU), w.bucket)
	})
}

func TestAssumeTaskRejectsOverCapacity(t *testing.T) {
	c := newTestCache(1)
	must.ErrorIs(t, c.AssumeTask(residentOf(newBatchRequest("j/0", size(1, 200_000)), "w0000")), ErrOverCapacity)
	must.NoError(t, c.AssumeTask(residentOf(newBatchRequest("j/0", size(1, 2000)), "w0000")))
	must.ErrorIs(t, c.AssumeTask(residentOf(newBatchRequest("j/0", size(1, 2000)), "w0000")), ErrAlreadyPlaced)
	must.Error(t, c.AssumeTask(residentOf(newBatchRequest("j/1", size(1, 2000)), "w9999")))
	must.True(t, c.Resident("j/0").Assumed)
	c.ConfirmTask(residentOf(newBatchRequest("j/0", size(1, 2000)), "w0000"))
	must.False(t, c.Resident("j/0").Assumed)
	must.Eq(t, 2000, c.Worker("w0000").Committed.MemoryMB)
}

func TestUnlistedWorkerKeptUntilResidentsForgotten(t *testing.T) {
	c := newTestCache(2)
	c.ConfirmTask(residentOf(newBatchRequest("j/0", size(1, 2000)), "w0000"))
	c.RemoveWorker("w0000")
	must.Nil(t, c.Worker("w0000"))
	must.Eq(t, 1000, c.teamSizes["reports"].MilliCPU)
	c.ForgetTask("j/0")
	must.MapNotContainsKey(t, c.workers, "w0000")
}

func TestObserveUsageUpdatesLoad(t *testing.T) {
	c := newTestCache(1)
	c.ConfirmTask(residentOf(newBatchRequest("j/0", size(8, 2000)), "w0000"))
	must.Eq(t, 0.25, c.Worker("w0000").Load())
	c.ObserveUsage("j/0", size(16, 2000))
	must.Eq(t, 0.5, c.Worker("w0000").Load())
	must.Eq(t, 8000, c.Worker("w0000").Committed.MilliCPU)
	must.Eq(t, 16_000, c.Worker("w0000").Free().MilliCPU)
	c.ForgetTask("j/0")
	must.Eq(t, c.Worker("w0000").Capacity, c.Worker("w0000").Free())
}

func TestThrottleReducesNeighbourAmount(t *testing.T) {
	c := newTestCache(1)
	c.ConfirmTask(residentOf(newBatchRequest("j/0", size(8, 2000)), "w0000"))
	c.SetThrottle("j/0", 40)
	must.InDelta(t, 0.4, c.Worker("w0000").Neighbours[0].Amount, 1e-9)
	c.ForgetTask("j/0")
	must.SliceEmpty(t, c.Worker("w0000").Neighbours)
}
