package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler"
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

// TestQueuedStartOnShrunkWorker: a start order that waited to be sent was sent although the
// worker had shrunk since the plan.
func TestQueuedStartOnShrunkWorker(t *testing.T) {
	cases := map[string]struct {
		step job.Step
		// sent is how many of the four planned orders are sent to half of the worker.
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
			planned := h.planOnce(4).Starts
			must.SliceLen(t, 4, planned)
			h.setCapacity("w00", 50)
			h.syncWorkers()
			sent := 0
			for _, action := range planned {
				if start, wanted := h.shard.BeginStart(h.now, action); wanted {
					sent++
					answer, _ := h.cluster.Start(h.now, start.Worker.ID, start.Order)
					h.shard.StartAnswered(h.now, start, answer, nil)
				}
			}
			must.Eq(t, c.sent, sent)
			h.setCapacity("w00", 100)
			h.syncWorkers()
			h.run(4 * time.Second)
			must.Eq(t, job.Done, h.state(id))
			h.checkViolations()
		})
	}
}

// TestRepeatedStartOnShrunkWorker: a start order without an answer was repeated although
// the worker had shrunk. The first try may still be carried out, so the attempt is stopped.
func TestRepeatedStartOnShrunkWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.run(time.Second)
	id := h.submit(firstID, fixedLength(1), nil, batchStep(1))
	planned := h.planOnce(1).Starts
	must.SliceLen(t, 1, planned)
	start, wanted := h.shard.BeginStart(h.now, planned[0])
	must.True(t, wanted)
	h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
	repeated := h.planOnce(1).Starts
	must.SliceLen(t, 1, repeated)
	h.setCapacity("w00", 10)
	h.syncWorkers()
	_, wanted = h.shard.BeginStart(h.now, repeated[0])
	must.False(t, wanted)
	stops := h.planOnce(1).Stops
	must.SliceLen(t, 1, stops)
	answer, _ := h.cluster.Stop(h.now, "w00", stops[0].Order)
	h.shard.StopAnswered(h.now, stops[0], answer, nil)
	h.setCapacity("w00", 100)
	h.syncWorkers()
	h.run(5 * time.Second)
	must.Eq(t, job.Done, h.state(id))
	h.checkViolations()
}

// TestNewRunWaitsForItsEntry: the lists of a worker's new run arrived before its entry, and
// tasks were started on the capacity and the labels of the run before.
func TestNewRunWaitsForItsEntry(t *testing.T) {
	for _, planned := range []bool{false, true} {
		t.Run(fmt.Sprintf("planned before: %v", planned), func(t *testing.T) {
			h := newHarness(t, 1)
			h.run(time.Second)
			id := h.submit(firstID, fixedLength(1), nil, batchStep(4))
			var queued []scheduler.StartAction
			if planned {
				queued = h.planOnce(4).Starts
				must.SliceLen(t, 4, queued)
			}
			h.cluster.Crash("w00")
			h.setCapacity("w00", 15)
			h.cluster.Boot(h.now, "w00")
			h.now += tickInterval
			h.renewLeases("w00")
			for _, start := range queued {
				_, wanted := h.shard.BeginStart(h.now, start)
				must.False(t, wanted)
			}
			h.run(300 * time.Millisecond)
			must.Zero(t, h.cluster.Starts())
			h.syncWorkers()
			h.run(6 * time.Second)
			must.Eq(t, job.Done, h.state(id))
			h.checkViolations()
		})
	}
}

// changeCapacity lets the shard see a worker's capacity change.
func (h *harness) changeCapacity(worker platform.WorkerID) {
	for _, percent := range []int64{50, 100} {
		h.setCapacity(worker, percent)
		h.syncWorkers()
		h.run(200 * time.Millisecond)
	}
}

// TestStaleEntries: an owner without access to the store started tasks on capacities that
// its workers no longer had. One whose workers keep their capacities must go on.
func TestStaleEntries(t *testing.T) {
	cases := map[string]struct {
		changed bool
		// takenOver is set if the capacities changed under an earlier owner.
		takenOver bool
	}{
		"capacities never changed":            {false, false},
		"capacities changed":                  {true, false},
		"capacities changed before takeover":  {true, true},
		"unchanged before takeover and since": {false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.run(time.Second)
			if c.changed {
				h.changeCapacity("w01")
			}
			if c.takenOver {
				learned, err := h.shard.LearnedModels()
				must.NoError(t, err)
				h.takeOver(true)
				must.NoError(t, h.shard.RestoreModels(learned))
				h.run(200 * time.Millisecond)
			}
			id := h.submit(firstID, fixedLength(0.5), nil, batchStep(500))
			h.run(time.Second)
			h.syncWorkers()
			if c.changed {
				h.setCapacity("w00", 20)
			}
			h.run(4 * time.Second)
			starts := h.cluster.Starts()
			h.run(4 * time.Second)
			h.checkViolations()
			must.Eq(t, c.changed, starts == h.cluster.Starts())
			h.syncWorkers()
			h.run(time.Second)
			must.Greater(t, starts, h.cluster.Starts())
			for h.state(id) != job.Done && h.now < 5*time.Minute {
				h.run(time.Second)
				h.syncWorkers()
			}
			must.Eq(t, job.Done, h.state(id))
			h.checkViolations()
		})
	}
}

// TestQueuedStartWithStaleEntries: a start order that waited to be sent was sent after the
// entries had become too old.
func TestQueuedStartWithStaleEntries(t *testing.T) {
	for _, changed := range []bool{false, true} {
		h := newHarness(t, 1)
		h.run(time.Second)
		if changed {
			h.changeCapacity("w00")
		}
		h.syncWorkers()
		h.submit(firstID, fixedLength(1), nil, batchStep(1))
		planned := h.planOnce(1).Starts
		must.SliceLen(t, 1, planned)
		h.now += 3 * time.Second
		_, wanted := h.shard.BeginStart(h.now, planned[0])
		must.Eq(t, !changed, wanted)
	}
}
