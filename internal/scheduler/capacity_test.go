package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// setCapacity changes a worker's capacity to a percentage of the usual one. The shard
// learns of it from the next entry.
func (h *harness) setCapacity(worker platform.WorkerID, percent int64) {
	whole := workerInfo(0).Capacity
	h.cluster.SetCapacity(h.now, worker, platform.Resources{
		MilliCPU: whole.MilliCPU * percent / 100, MemoryMB: whole.MemoryMB * percent / 100,
	})
}

// shrink reduces a worker's capacity and lets the time pass until it counts.
func (h *harness) shrink(worker platform.WorkerID, percent int64) {
	h.setCapacity(worker, percent)
	h.syncWorkers()
	h.run(5 * time.Second)
}

// TestQueuedStartOnShrunkWorker: a start order that waited to be sent was sent although the
// worker had shrunk since the plan.
func TestQueuedStartOnShrunkWorker(t *testing.T) {
	cases := map[string]struct {
		step job.Step
		// sent is how many of the four planned orders fit on half of the worker.
		sent int
	}{
		"batch": {batchStep(4), 2},
		"gang":  {gangStep(4), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.run(time.Second)
			c.step.Size.MilliCPU = 8000
			id := h.submit(firstID, fixedLength(1), nil, c.step)
			a := h.planOnce(4)
			must.SliceLen(t, 4, a.Starts)
			h.setCapacity("w00", 50)
			h.syncWorkers()
			sent := 0
			for _, start := range a.Starts {
				if _, wanted := h.shard.BeginStart(h.now, start); wanted {
					sent++
				}
			}
			must.LessEq(t, 2, sent)
			if name == "batch" {
				must.Eq(t, c.sent, sent)
			}
			_ = id
		})
	}
}
