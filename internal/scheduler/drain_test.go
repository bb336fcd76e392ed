package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// drainWorker starts to drain a worker that terminates after the remaining time.
func (h *harness) drainWorker(name int, remaining time.Duration) {
	h.cluster.DrainWithNotice(workerInfo(name).ID, remaining)
	h.syncWorkers()
}

// TestLongRunningTasksMigrateBeforeDrainEnds lets each worker drain for 4.5 s and
// terminate. Tasks that were not moved would be down from then until their leases
// expire.
func TestLongRunningTasksMigrateBeforeDrainEnds(t *testing.T) {
	h := newHarness(t, 4)
	step := longRunningStep()
	step.Tasks = 6
	id := h.submit(firstID, nil, nil, step)
	h.run(time.Second)
	all := h.cluster.Running(id)
	down := 0
	for i := range 4 {
		h.drainWorker(i, 4500*time.Millisecond)
		for end := h.now + 4500*time.Millisecond; h.now < end; {
			h.tick()
			down += all - h.cluster.Running(id)
		}
		h.cluster.Crash(workerInfo(i).ID)
		h.syncWorkers()
		must.Eq(t, all, h.cluster.Running(id))
		h.run(time.Second)
		h.cluster.Boot(h.now, workerInfo(i).ID)
		h.cluster.SetDraining(workerInfo(i).ID, false)
		h.syncWorkers()
	}
	h.checkViolations()
	// Each task is down for the stop and the start, on at most two of four workers.
	must.Less(t, all*2*int(2*time.Second/tickInterval), down)
}

// TestLongRunningTasksStayWithoutRoomElsewhere fills the other workers: a task that
// fits nowhere else must keep running where it is.
func TestLongRunningTasksStayWithoutRoomElsewhere(t *testing.T) {
	h := newHarness(t, 2)
	step := longRunningStep()
	step.Size.MilliCPU, step.Tasks = 16_000, 4
	id := h.submit(firstID, nil, nil, step)
	h.run(time.Second)
	must.Eq(t, 4, h.cluster.Running(id))
	h.drainWorker(0, 4500*time.Millisecond)
	h.run(4 * time.Second)
	must.Eq(t, 4, h.cluster.Running(id))
	h.checkViolations()
}

// TestResumableTasksStopBeforeDrainEnds drains a worker that runs long tasks. They must
// resume elsewhere from their checkpoints, so that the job ends long before their
// leases would have expired.
func TestResumableTasksStopBeforeDrainEnds(t *testing.T) {
	h := newHarness(t, 2)
	id := h.submit(firstID, fixedLength(6), nil, batchStep(8))
	h.run(2 * time.Second)
	h.drainWorker(0, 3*time.Second)
	h.run(3 * time.Second)
	must.Eq(t, 8, h.cluster.Running(id))
	h.cluster.Crash(workerInfo(0).ID)
	h.syncWorkers()
	h.run(3 * time.Second)
	must.Eq(t, job.Done, h.state(id))
	h.checkViolations()
}

// TestBatchTasksFinishOnDrainingWorker lets a worker drain for longer than its tasks
// take: they must not be moved.
func TestBatchTasksFinishOnDrainingWorker(t *testing.T) {
	h := newHarness(t, 2)
	id := h.submit(firstID, fixedLength(2), nil, batchStep(8))
	h.run(time.Second)
	starts := h.cluster.Starts()
	h.drainWorker(0, 4500*time.Millisecond)
	h.run(2 * time.Second)
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, starts, h.cluster.Starts())
	h.checkViolations()
}

// TestCordonRespectsDisruptionLimit cordons one worker after the other while the caller
// of a long-running job allows one of its tasks to be missing at a time.
func TestCordonRespectsDisruptionLimit(t *testing.T) {
	h := newHarness(t, 3)
	step := longRunningStep()
	step.Tasks, step.MayMiss = 9, 1
	id := h.submit(firstID, nil, nil, step)
	h.run(2 * time.Second)
	for i := range 3 {
		worker := workerInfo(i).ID
		h.shard.SetCordoned([]platform.WorkerID{worker})
		for end := h.now + 20*time.Second; h.now < end; {
			h.tick()
			must.LessEq(t, 1, 9-h.cluster.Running(id))
			if longRunning, _ := h.shard.CountAttempts(worker); longRunning == 0 {
				break
			}
		}
		longRunning, batch := h.shard.CountAttempts(worker)
		must.Zero(t, longRunning+batch)
	}
	h.shard.SetCordoned(nil)
	h.run(time.Second)
	must.Eq(t, 9, h.cluster.Running(id))
	h.checkViolations()
}

// TestCordonedWorkersGetNoTask cordons a worker: its resumable tasks must continue
// elsewhere.
func TestCordonedWorkersGetNoTask(t *testing.T) {
	h := newHarness(t, 2)
	id := h.submit(firstID, fixedLength(4), nil, batchStep(8))
	h.run(time.Second)
	h.shard.SetCordoned([]platform.WorkerID{workerInfo(0).ID})
	h.run(2 * time.Second)
	longRunning, batch := h.shard.CountAttempts(workerInfo(0).ID)
	must.Zero(t, longRunning+batch)
	must.Eq(t, 8, h.cluster.Running(id))
	h.checkViolations()
}
