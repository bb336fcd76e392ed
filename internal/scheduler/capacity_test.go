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

// TestOldEntriesThatOthersCanRead: an owner that alone got no answers from the store started
// tasks on capacities that workers no longer had.
func TestOldEntriesThatOthersCanRead(t *testing.T) {
	h := newHarness(t, 2)
	h.run(time.Second)
	h.syncWorkers()
	h.shard.RequireRecentEntries(h.now)
	h.submit(firstID, fixedLength(0.5), nil, batchStep(500))
	h.run(4 * time.Second)
	starts := h.cluster.Starts()
	must.Positive(t, starts)
	h.run(4 * time.Second)
	must.Eq(t, starts, h.cluster.Starts())
	h.syncWorkers()
	h.run(4 * time.Second)
	must.Greater(t, starts, h.cluster.Starts(), must.Sprint("entries that were read count again"))
	starts = h.cluster.Starts()
	h.run(4 * time.Second)
	must.Greater(t, starts, h.cluster.Starts(), must.Sprint("and are not required to be recent any more"))
	h.checkViolations()
}

// TestAnswerOnItsWayBringsNoRecentEntries: entries that had been requested before an owner
// learned that others reach the store allowed starts on them for as long as it got no others.
func TestAnswerOnItsWayBringsNoRecentEntries(t *testing.T) {
	h := newHarness(t, 2)
	h.run(time.Second)
	h.syncWorkers()
	requested := h.now
	h.run(time.Second)
	h.shard.RequireRecentEntries(h.now)
	h.run(100 * time.Millisecond)
	h.shard.EntriesRead(h.now, requested)
	h.run(8 * time.Second)
	must.False(t, h.shard.CapacitiesKnown(h.now))
}

// TestNewOwnerStartsOnRecentEntriesOnly: a new owner that read the entries late, while it
// recovered, started tasks on workers that had said meanwhile that they leave.
func TestNewOwnerStartsOnRecentEntriesOnly(t *testing.T) {
	const late = 3 * time.Second
	cases := map[string]struct {
		read   func(h *harness)
		starts int
	}{
		"some changes not read yet": {func(*harness) {}, 0},
		"requested long before":     {func(h *harness) { h.shard.EntriesRead(h.now, h.now-late) }, 0},
		"then read again":           {func(h *harness) { h.shard.EntriesRead(h.now, h.now-late); h.shard.EntriesRead(h.now, h.now) }, 1},
		"read, then not for a while": {func(h *harness) {
			h.shard.EntriesRead(h.now, h.now)
			h.now += late
			h.renewLeases("w00")
		}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.claim++
			h.shard = scheduler.New(bounds, job.Ownership{Epoch: 2, Claim: 2}, h.now, nil)
			h.shard.SetConfig(h.config)
			h.shard.SetWorker(h.now, h.cluster.Entry("w00"))
			h.now += time.Second
			h.renewLeases("w00")
			h.record()
			h.renewLeases("w00")
			h.submit(firstID, fixedLength(100), nil, batchStep(1))
			tc.read(h)
			h.plan()
			must.Eq(t, tc.starts, h.cluster.Starts())
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
		h.renewLeases("w00")
		_, wanted := h.shard.BeginStart(h.now, planned[0])
		must.Eq(t, !changed, wanted)
	}
}

// shrink reduces a worker's capacity and lets the time pass until the reduction counts.
func (h *harness) shrink(worker platform.WorkerID, percent int64) {
	h.setCapacity(worker, percent)
	h.runSynced(5 * time.Second)
}

// runSynced is run with fresh entries.
func (h *harness) runSynced(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.syncWorkers()
		h.tick()
	}
}

// TestShrunkWorkerTakesWhatFits guards against starts beyond a capacity that has shrunk, and
// against work that never starts after it has grown again.
func TestShrunkWorkerTakesWhatFits(t *testing.T) {
	memoryStep := fillerStep(12, "batch")
	memoryStep.Size = platform.Resources{MilliCPU: 1000, MemoryMB: 16_000}
	cases := map[string]struct {
		step    job.Step
		percent int64
		// running is how many tasks run on what is left.
		running int
	}{
		"batch":                        {batchStep(8), 50, 4},
		"batch, nothing left":          {batchStep(8), 0, 0},
		"gang":                         {gangStep(8), 50, 0},
		"long-running":                 {job.Step{Tasks: 5, Size: platform.Resources{MilliCPU: 6000, MemoryMB: 12_000}, LongRunning: true}, 50, 2},
		"serving":                      {servingStep(5, "web"), 50, 2},
		"fillers reserve their memory": {memoryStep, 50, 4},
		"fillers without spare CPU":    {fillerStep(6, "batch"), 10, 1},
		"fillers, nothing left":        {fillerStep(6, "batch"), 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.run(time.Second)
			h.shrink("w00", c.percent)
			id := h.submit(firstID, fixedLength(100), nil, c.step)
			h.runSynced(2 * time.Second)
			must.Eq(t, c.running, h.cluster.Running(id))
			h.setCapacity("w00", 100)
			h.runSynced(2 * time.Second)
			must.Greater(t, c.running, h.cluster.Running(id))
			h.checkViolations()
		})
	}
}

// TestShrinkingBelowWhatRuns: nothing is stopped for the capacity alone, and nothing starts
// until enough has ended, whatever its priority. What is being stopped still counts.
func TestShrinkingBelowWhatRuns(t *testing.T) {
	for _, percent := range []int64{60, 30, 0} {
		t.Run(fmt.Sprint(percent), func(t *testing.T) {
			h := newHarness(t, 1)
			h.cluster.SetInterference(queueingLatency(map[string]float64{"light": 0.005}))
			h.run(time.Second)
			serving := h.submit(firstID, nil, nil, servingStep(2, "web"))
			cancelled := h.submit("00000000000000a2", fixedLength(100), nil, batchStep(3))
			fillers := h.submit("00000000000000a3", fixedLength(20), nil, fillerStep(2, "light"))
			h.runSynced(3 * time.Second)
			must.Eq(t, 7, h.cluster.Running(""))
			h.shrink("w00", percent)
			must.Eq(t, 7, h.cluster.Running(""))
			urgent := h.submitAs("00000000000000a4", func(s *job.Submission) { s.Priority = -1 }, fixedLength(100), nil, batchStep(1))
			h.runSynced(2 * time.Second)
			must.Eq(t, 0, h.cluster.Running(urgent))
			h.shard.CancelJob(h.now, cancelled)
			h.runSynced(2 * time.Second)
			must.Eq(t, percent == 60, h.cluster.Running(urgent) == 1)
			must.Eq(t, 2, h.cluster.Running(serving))
			must.Eq(t, 2, h.cluster.Running(fillers))
			h.setCapacity("w00", 100)
			h.runSynced(time.Second)
			must.Eq(t, 1, h.cluster.Running(urgent))
			h.checkViolations()
		})
	}
}

// TestTasksStayWhereOthersShrank guards against a task that is stopped to move off a
// draining worker while it fits on no other one.
func TestTasksStayWhereOthersShrank(t *testing.T) {
	h := newHarness(t, 2)
	h.run(time.Second)
	h.cordonAllBut("w00")
	id := h.submit(firstID, nil, nil, servingStep(4, "web"))
	h.runSynced(time.Second)
	h.cordonAllBut("")
	h.shrink("w01", 15)
	h.drainWorker(0, 20*time.Second)
	h.runSynced(3 * time.Second)
	must.Eq(t, 4, h.cluster.Running(id))
	must.Eq(t, 4, h.cluster.Starts())
	h.setCapacity("w01", 100)
	h.runSynced(3 * time.Second)
	must.Eq(t, 4, h.cluster.Running(id))
	must.Eq(t, 8, h.cluster.Starts())
	h.checkViolations()
}

// TestNewOwnerUsesCapacityOfEntry guards against a start on the capacity that the log
// recorded for a worker, which has shrunk since or has no entry.
func TestNewOwnerUsesCapacityOfEntry(t *testing.T) {
	h := newHarness(t, 2)
	h.run(time.Second)
	h.shrink("w00", 25)
	h.unregistered["w01"] = true
	h.takeOver(true)
	id := h.submit(firstID, fixedLength(20), nil, batchStep(12))
	h.runSynced(3 * time.Second)
	must.Eq(t, 2, h.cluster.Running(id))
	h.setCapacity("w01", 50)
	h.runSynced(5 * time.Second)
	must.Eq(t, 2, h.cluster.Running(id))
	delete(h.unregistered, "w01")
	h.runSynced(time.Second)
	must.Eq(t, 6, h.cluster.Running(id))
	h.checkViolations()
}

// TestAdmissionWhileWorkersAreSmall: jobs are refused while there is no room for them, but
// never as impossible.
func TestAdmissionWhileWorkersAreSmall(t *testing.T) {
	h := newHarness(t, 2)
	h.run(5 * time.Second)
	admit := func(step job.Step) scheduler.Admission {
		return h.shard.Admit(h.now, &job.Submission{
			Queue: queueName, Service: service, Stretch: 2, TargetMS: 1000, Spec: job.Spec{Steps: []job.Step{step}},
		})
	}
	must.True(t, admit(servingStep(4, "web")).Admitted)
	for _, percent := range []int64{0, 10} {
		h.shrink("w00", percent)
		h.shrink("w01", percent)
		a := admit(servingStep(4, "web"))
		must.False(t, a.Admitted)
		must.Positive(t, a.RetryAfter)
		must.True(t, admit(batchStep(4)).Admitted, must.Sprint("batch work may wait for its objective"))
	}
	h.setCapacity("w00", 100)
	h.syncWorkers()
	must.True(t, admit(servingStep(4, "web")).Admitted)
}
