package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	firstID  = "00000000000000a1"
	secondID = "00000000000000a2"
	thirdID  = "00000000000000a3"
)

func dependsOn(steps ...int) func(job.Step) job.Step {
	return func(s job.Step) job.Step { s.DependsOn = steps; return s }
}

func TestStepsRunInOrderOnce(t *testing.T) {
	h := newHarness(t, 4)
	id := h.submit(firstID, nil, nil, batchStep(8), dependsOn(0)(batchStep(6)), dependsOn(0, 1)(batchStep(3)))
	h.run(5 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, 17, h.cluster.Starts())
	_, known := h.shard.State(id)
	must.False(t, known, must.Sprint("an ended job is forgotten"))
}

func TestFailuresUseUpAttempts(t *testing.T) {
	h := newHarness(t, 2)
	hopeless := h.submit(firstID, fixedLength(0.2), func(job.TaskRef, platform.Attempt) bool { return true }, batchStep(3))
	unlucky := h.submit("00000000000000a2", fixedLength(0.2), func(ref job.TaskRef, n platform.Attempt) bool {
		return ref.Index == 0 && n <= 2
	}, batchStep(3))
	h.run(3 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Failed, h.state(hopeless))
	must.Eq(t, job.Done, h.state(unlucky))
}

// TestJobWithoutAcceptedStartWaits: a job whose start orders no worker had accepted counted as
// running, and no longer as waiting.
func TestJobWithoutAcceptedStartWaits(t *testing.T) {
	h := newHarness(t, 2)
	h.run(time.Second)
	for i := range 2 {
		h.cluster.SetPartitioned(workerInfo(i).ID, true)
	}
	id := h.submit(firstID, nil, nil, batchStep(4))
	h.plan()
	h.record()
	state, _ := h.shard.State(id)
	must.Eq(t, job.Queued, state)
	must.Eq(t, job.Queued, h.state(id))
	for i := range 2 {
		h.cluster.SetPartitioned(workerInfo(i).ID, false)
	}
	h.run(500 * time.Millisecond)
	must.Eq(t, job.Running, h.state(id))
	h.run(3 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
}

// TestLeaseOfUnresponsiveWorkerExpires: each retry to reach a lost worker requested a
// longer lease, so that its tasks never started elsewhere.
func TestLeaseOfUnresponsiveWorkerExpires(t *testing.T) {
	h := newHarness(t, 2)
	id := h.submit(firstID, fixedLength(3), nil, batchStep(4))
	h.run(time.Second)
	h.cluster.Crash("w00")
	h.run(9 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
}

// TestPartitionedWorkerKeepsTasks: a worker that is cut off runs its tasks until their
// leases expire; they must not run elsewhere before.
func TestPartitionedWorkerKeepsTasks(t *testing.T) {
	h := newHarness(t, 2)
	id := h.submit(firstID, fixedLength(30), nil, batchStep(4))
	h.run(time.Second)
	h.cluster.SetPartitioned("w00", true)
	h.run(12 * time.Second)
	must.Eq(t, 4, h.cluster.Running(id))
	h.cluster.SetPartitioned("w00", false)
	h.run(5 * time.Second)
	h.checkViolations()
	must.Eq(t, 4, h.cluster.Running(id))
}

// TestRestartedWorkerRunsNothing: a new run of a worker proves that the tasks of the
// old one are over.
func TestRestartedWorkerRunsNothing(t *testing.T) {
	h := newHarness(t, 1)
	id := h.submit(firstID, fixedLength(2), nil, batchStep(4))
	h.run(time.Second)
	h.cluster.Crash("w00")
	h.run(500 * time.Millisecond)
	h.cluster.Boot(h.now, "w00")
	h.syncWorkers()
	h.run(2500 * time.Millisecond)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
}

// TestUnansweredStartIsRepeated: the order was carried out, but its answer was lost.
func TestUnansweredStartIsRepeated(t *testing.T) {
	h := newHarness(t, 1)
	h.tick()
	h.cluster.LoseReplies("w00", 1)
	id := h.submit(firstID, nil, nil, batchStep(1))
	h.plan()
	h.run(2 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, 1, h.cluster.Starts())
}

// TestNewOwnerAdoptsRunningTasks: only the log and the workers' lists remain of the
// earlier owner.
func TestNewOwnerAdoptsRunningTasks(t *testing.T) {
	h := newHarness(t, 3)
	id := h.submit(firstID, nil, nil, batchStep(6), dependsOn(0)(batchStep(6)))
	h.run(700 * time.Millisecond)
	h.takeOver(false)
	h.run(3 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, 12, h.cluster.Starts())
}

// TestNewOwnerFindsUnrecordedEnds: a task that finished, but whose end was not
// recorded, remained among those that the new owner started.
func TestNewOwnerFindsUnrecordedEnds(t *testing.T) {
	h := newHarness(t, 2)
	alternating := func(ref job.TaskRef) time.Duration { return time.Duration(1+ref.Index%2) * time.Second }
	id := h.submit(firstID, alternating, nil, batchStep(8))
	h.run(500 * time.Millisecond)
	h.recordingPaused = true
	h.run(time.Second)
	h.recordingPaused = false
	h.takeOver(false)
	h.run(2 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, 8, h.cluster.Starts())
}

// TestNewOwnerWaitsForUnreachableWorker: the earlier owner may have started any task on
// a worker that the new one cannot reach, including tasks of jobs accepted just after
// the takeover.
func TestNewOwnerWaitsForUnreachableWorker(t *testing.T) {
	h := newHarness(t, 3)
	h.submit(firstID, fixedLength(30), nil, batchStep(6))
	h.run(500 * time.Millisecond)
	h.cluster.SetPartitioned("w00", true)
	h.takeOver(false)
	second := h.submit("00000000000000a2", nil, nil, batchStep(2))
	h.run(time.Second)
	must.Eq(t, 0, h.cluster.Running(second))
	h.run(16 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(second))
	must.Eq(t, 6, h.cluster.Running(firstID))
}

func TestCancelledJobStops(t *testing.T) {
	h := newHarness(t, 2)
	id := h.submit(firstID, fixedLength(30), nil, batchStep(6))
	h.run(time.Second)
	h.shard.CancelJob(h.now, id)
	h.cluster.CancelAcknowledged(h.now, id)
	h.run(time.Second)
	h.checkViolations()
	must.Eq(t, job.Cancelled, h.state(id))
	must.Eq(t, 0, h.cluster.Running(id))
}

func TestRoomIsNeverExceeded(t *testing.T) {
	h := newHarness(t, 2)
	a := h.submit(firstID, nil, nil, batchStep(30))
	b := h.submit("00000000000000a2", nil, nil, batchStep(30))
	h.run(6 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(a))
	must.Eq(t, job.Done, h.state(b))
}

func TestDrainingWorkerGetsNoTask(t *testing.T) {
	h := newHarness(t, 2)
	h.cluster.SetDraining("w00", true)
	h.syncWorkers()
	id := h.submit(firstID, nil, nil, batchStep(4))
	h.run(500 * time.Millisecond)
	must.Eq(t, 4, h.cluster.Running(id))
	for i := range 4 {
		must.Eq(t, platform.Attempt(0), h.cluster.AttemptOf("w00", job.TaskRef{Job: id, Index: i}))
	}
}

func TestLabelAndSpreadAreEnforced(t *testing.T) {
	h := newHarness(t, 8)
	step := batchStep(6)
	step.Label, step.MaxPerWorker = "r1", 2
	id := h.submit(firstID, nil, nil, step)
	h.run(3 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
}

// TestNewOwnerKnowsWorkersWithoutEntries: after an outage of the store most workers'
// entries are missing for a while. An owner that relied on the entries started the
// tasks of the missing workers a second time.
func TestNewOwnerKnowsWorkersWithoutEntries(t *testing.T) {
	h := newHarness(t, 4)
	h.submit(firstID, fixedLength(8), nil, batchStep(12))
	h.run(time.Second)
	for _, id := range []platform.WorkerID{"w01", "w02", "w03"} {
		h.unregistered[id] = true
	}
	h.takeOver(false)
	h.run(3 * time.Second)
	clear(h.unregistered)
	h.syncWorkers()
	h.run(6 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(firstID))
	must.Eq(t, 12, h.cluster.Starts())
}

// TestGoneWorkerIsUnenrolled: the enrollment records of workers that are gone for good
// must be removed.
func TestGoneWorkerIsUnenrolled(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(firstID, fixedLength(30), nil, batchStep(4))
	h.run(time.Second)
	must.MapLen(t, 2, h.enrolled)
	h.cluster.Crash("w00")
	h.syncWorkers()
	h.run(7 * time.Second)
	must.MapLen(t, 1, h.enrolled)
	must.Eq(t, 4, h.cluster.Running(firstID))
	h.checkViolations()
}

// TestTasksOfEndedJobsReserveRoom: a new owner does not have the jobs that have ended,
// but their tasks may still be stopping. It started others on top of them.
func TestTasksOfEndedJobsReserveRoom(t *testing.T) {
	h := newHarness(t, 1)
	id := h.submit(firstID, fixedLength(30), nil, batchStep(8))
	h.run(time.Second)
	progress := h.log[id]
	progress.State, progress.Revision = job.Cancelled, progress.Revision+1
	h.log[id] = progress
	h.takeOver(false)
	second := h.submit("00000000000000a2", nil, nil, batchStep(8))
	h.run(4 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(second))
}

// TestFailureIsCountedOnce: a failure that is recorded but not acknowledged yet is
// listed to the next owner again. It was counted twice, and a job failed wrongly.
func TestFailureIsCountedOnce(t *testing.T) {
	h := newHarness(t, 1)
	twice := func(_ job.TaskRef, n platform.Attempt) bool { return n <= 2 }
	id := h.submit(firstID, fixedLength(0.5), twice, batchStep(1))
	for len(h.log[id].Failures) == 0 {
		h.tick()
	}
	h.takeOver(false)
	h.run(3 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
}

// TestFailuresArriveInAnyOrder: the failed attempts of a task are unrecorded on two
// workers, and the new owner learns of the later one first.
func TestFailuresArriveInAnyOrder(t *testing.T) {
	h := newHarness(t, 2)
	h.run(200 * time.Millisecond)
	h.recordingPaused = true
	h.cluster.SetDraining("w00", true)
	h.syncWorkers()
	id := h.submit(firstID, fixedLength(0.5), func(job.TaskRef, platform.Attempt) bool { return true }, batchStep(1))
	h.run(400 * time.Millisecond)
	h.cluster.SetDraining("w00", false)
	h.cluster.SetDraining("w01", true)
	h.syncWorkers()
	h.run(2 * time.Second)
	h.recordingPaused = false
	h.cluster.SetPartitioned("w01", true)
	h.takeOver(false)
	h.run(200 * time.Millisecond)
	h.cluster.SetPartitioned("w01", false)
	h.run(3 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Failed, h.state(id))
	must.Eq(t, 3, h.cluster.Starts())
}

// TestRefusedRecordOfForgottenJobIsRepeated: a task was done shortly after its job had been
// cancelled, and the store refused the record. It was dropped, since the job had ended, and
// the worker's ends were not acknowledged until another job changed.
func TestRefusedRecordOfForgottenJobIsRepeated(t *testing.T) {
	h := newHarness(t, 1)
	h.run(time.Second)
	id := h.submit(firstID, nil, nil, batchStep(1))
	h.run(850 * time.Millisecond)
	h.shard.CancelJob(h.now, id)
	h.tick()
	must.Eq(t, job.Cancelled, h.state(id))
	h.recordingPaused = true
	h.run(500 * time.Millisecond)
	must.Zero(t, h.cluster.Running(id))
	must.True(t, h.shard.Unacknowledged("w00"))
	h.shard.ReturnUnrecorded(h.shard.TakeUnrecorded(h.now.Milliseconds()), true)
	u := h.shard.TakeUnrecorded(h.now.Milliseconds())
	must.Len(t, 1, u.Changes)
	h.shard.MarkRecorded(u)
	must.False(t, h.shard.Unacknowledged("w00"))
}

// TestRefusedCrashHoldsUpItsTaskOnly: a crash whose record the store refuses may not count as
// recorded, or an owner after another starts the task anew; other jobs go on meanwhile.
func TestRefusedCrashHoldsUpItsTaskOnly(t *testing.T) {
	h := newHarness(t, 3)
	h.run(time.Second)
	lost := h.submit(firstID, fixedLength(30), nil, batchStep(1))
	h.run(time.Second)
	h.refused = lost
	for _, w := range h.cluster.Entries() {
		if h.cluster.StartsOn(w.ID) > 0 {
			h.cluster.Crash(w.ID)
			h.run(time.Second)
			h.cluster.Boot(h.now, w.ID)
		}
	}
	h.run(2 * time.Second)
	other := h.submit(secondID, nil, nil, batchStep(4))
	h.run(12 * time.Second)
	must.Eq(t, job.Done, h.state(other))
	must.Zero(t, h.cluster.Running(lost))
	h.refused = ""
	h.run(50 * time.Second)
	must.Eq(t, job.Done, h.state(lost))
	h.checkViolations()
}

// TestRefusedEndIsNotAcknowledged: the end of a task whose record the store refuses is listed to
// the next owner too.
func TestRefusedEndIsNotAcknowledged(t *testing.T) {
	h := newHarness(t, 1)
	h.run(time.Second)
	id := h.submit(firstID, nil, nil, batchStep(2))
	h.refused = id
	h.run(5 * time.Second)
	must.NotEq(t, job.Done, h.state(id))
	h.takeOver(false)
	h.refused = ""
	h.run(5 * time.Second)
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, 2, h.cluster.Starts())
	h.checkViolations()
}
