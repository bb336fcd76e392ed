package scheduler_test

import (
	"fmt"
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

// TestOnlyTasksWithRoomElsewhereLeaveDrainingWorkers: several tasks were stopped for the room
// of one, and the others were down although their workers had time left.
func TestOnlyTasksWithRoomElsewhereLeaveDrainingWorkers(t *testing.T) {
	for _, draining := range []int{1, 2} {
		t.Run(fmt.Sprint(draining), func(t *testing.T) {
			h := newHarness(t, draining+1)
			step := longRunningStep()
			step.Size.MilliCPU, step.Tasks = 8000, 4*(draining+1)-2
			id := h.submit(firstID, nil, nil, step)
			h.run(time.Second)
			must.Eq(t, step.Tasks, h.cluster.Running(id))
			free := 4 - h.runningOn(draining)
			for i := range draining {
				h.drainWorker(i, 20*time.Second)
			}
			h.run(5 * time.Second)
			must.Eq(t, step.Tasks, h.cluster.Running(id))
			must.Eq(t, step.Tasks+free, h.cluster.Starts())
			h.checkViolations()
		})
	}
}

// TestTasksWithinLimitLeaveDrainingWorkers: tasks of a step with a limit per worker were
// stopped on draining workers although no other worker could take them.
func TestTasksWithinLimitLeaveDrainingWorkers(t *testing.T) {
	for _, limit := range []int{1, 2} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			h := newHarness(t, 2)
			step := longRunningTasks(2 * limit)
			step.MaxPerWorker = limit
			id := h.submit(firstID, nil, nil, step)
			h.run(time.Second)
			must.Eq(t, step.Tasks, h.cluster.Running(id))
			h.cluster.AddWorker(h.now, workerInfo(2))
			h.syncWorkers()
			for i := range 2 {
				h.drainWorker(i, 20*time.Second)
			}
			h.run(5 * time.Second)
			must.Eq(t, limit, h.runningOn(2))
			must.Eq(t, step.Tasks, h.cluster.Running(id))
			must.Eq(t, step.Tasks+limit, h.cluster.Starts())
			h.checkViolations()
		})
	}
}

// runningOn returns how many long-running tasks the shard has on a worker.
func (h *harness) runningOn(worker int) int {
	n, _ := h.shard.CountAttempts(workerInfo(worker).ID)
	return n
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

// TestCheckpointingTasksOfWaveKeepDisruptionLimit: tasks that last and write checkpoints were
// stopped on all cordoned workers at once, however few their caller allows to be missing.
func TestCheckpointingTasksOfWaveKeepDisruptionLimit(t *testing.T) {
	h := newHarness(t, 6)
	step := maxOnePerWorker(longRunningStep())
	step.Tasks, step.MayMiss, step.Checkpointing = 3, 1, true
	id := h.submit(firstID, nil, nil, step)
	h.run(2 * time.Second)
	var cordoned []platform.WorkerID
	for i := range 6 {
		if h.runningOn(i) > 0 {
			cordoned = append(cordoned, workerInfo(i).ID)
		}
	}
	must.Len(t, 3, cordoned)
	h.shard.TakeNotes()
	h.shard.SetCordoned(cordoned[:2])
	for end := h.now + 10*time.Second; h.now < end; {
		h.tick()
		must.LessEq(t, 1, len(h.shard.TakeNotes().Stopped))
		must.LessEq(t, 1, 3-h.cluster.Running(id))
	}
	for _, worker := range cordoned[:2] {
		longRunning, batch := h.shard.CountAttempts(worker)
		must.Zero(t, longRunning+batch)
	}
	h.checkViolations()
}

// TestTaskOfSilentWorkerCountsAsAvailable: a task that lasts was stopped for a wave while another one
// of its step was away with its worker, which had fallen silent.
func TestTaskOfSilentWorkerCountsAsAvailable(t *testing.T) {
	h := newHarness(t, 6)
	step := maxOnePerWorker(longRunningStep())
	step.Tasks, step.MayMiss = 3, 1
	id := h.submit(firstID, nil, nil, step)
	h.run(2 * time.Second)
	var used []platform.WorkerID
	for i := range 6 {
		if h.runningOn(i) > 0 {
			used = append(used, workerInfo(i).ID)
		}
	}
	must.Len(t, 3, used)
	h.cluster.Crash(used[0])
	h.run(time.Second)
	h.shard.TakeNotes()
	h.shard.SetCordoned(used[1:2])
	for end := h.now + 30*time.Second; h.now < end; {
		h.tick()
		if silent, _ := h.shard.CountAttempts(used[0]); silent > 0 {
			must.SliceEmpty(t, h.shard.TakeNotes().Stopped)
		}
	}
	longRunning, _ := h.shard.CountAttempts(used[1])
	must.Zero(t, longRunning)
	must.Eq(t, 3, h.cluster.Running(id))
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

// TestEmptiedWorkerIsUnenrolled: all hosts are lost while workers are released. The next
// owner must not wait for the leases of a worker that had run nothing any more when it
// left, before it starts what the earlier owner may have started there.
func TestEmptiedWorkerIsUnenrolled(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(firstID, fixedLength(0.5), nil, batchStep(8))
	h.run(300 * time.Millisecond)
	h.drainWorker(0, 4500*time.Millisecond)
	h.run(3 * time.Second)
	must.MapNotContainsKey(t, h.enrolled, workerInfo(0).ID)
	h.cluster.Crash(workerInfo(0).ID)
	second := h.submit(secondID, fixedLength(0.5), nil, batchStep(2))
	h.takeOver(false)
	h.run(1500 * time.Millisecond)
	must.Eq(t, job.Done, h.state(second))
	h.checkViolations()
}

// TestDrainingWorkerStaysEnrolledWhileItRuns: a draining worker with a running task, or
// with a start order that may still be carried out, is not forgotten.
func TestDrainingWorkerStaysEnrolledWhileItRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(firstID, fixedLength(4), nil, batchStep(2))
	h.run(300 * time.Millisecond)
	h.drainWorker(0, time.Minute)
	h.run(3 * time.Second)
	must.MapContainsKey(t, h.enrolled, workerInfo(0).ID)
	h.run(3 * time.Second)
	must.MapNotContainsKey(t, h.enrolled, workerInfo(0).ID)
	h.cluster.SetDraining(workerInfo(0).ID, false)
	h.syncWorkers()
	second := h.submit(secondID, fixedLength(0.5), nil, batchStep(2))
	h.run(2 * time.Second)
	must.Eq(t, job.Done, h.state(second))
	h.checkViolations()
}

// TestManyWorkersDrainAtOnce releases a share of many workers each second. Their
// long-running tasks must all be moved before the workers end: what is left behind is down
// until its leases have run out.
func TestManyWorkersDrainAtOnce(t *testing.T) {
	const workers, perSecond, notice = 320, 10, 4
	h := newHarness(t, workers)
	step := longRunningStep()
	step.Tasks = 20
	for i := range workers * 4 / step.Tasks {
		h.submit(fmt.Sprintf("%016x", i+1), nil, nil, step)
	}
	h.run(2 * time.Second)
	left := 0
	for second := range 6 + notice {
		for i := range perSecond {
			if second < 6 {
				h.drainWorker(second*perSecond+i, notice*time.Second)
			}
			if gone := second - notice; gone >= 0 {
				id := workerInfo(gone*perSecond + i).ID
				longRunning, _ := h.shard.CountAttempts(id)
				left += longRunning
				h.cluster.Crash(id)
			}
		}
		h.syncWorkers()
		h.run(time.Second)
	}
	must.Zero(t, left)
	h.checkViolations()
}
