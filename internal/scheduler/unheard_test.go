package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestUnheardWorkersAreNoted: the logs did not tell how many of the enrolled workers a new owner
// had heard, nor which owner had reached the others, so causes of a wait could not be told apart.
func TestUnheardWorkersAreNoted(t *testing.T) {
	h, _ := newTakeoverHarness(t, "w00", longRunningStep())
	h.takeOver(false)
	h.unregistered["w00"] = true
	h.run(500 * time.Millisecond)
	h.syncWorkers()
	var notes []scheduler.UnheardNote
	for range 20 {
		h.run(time.Second)
		notes = append(notes, h.shard.TakeNotes().Unheard...)
	}
	must.SliceNotEmpty(t, notes)
	must.Eq(t, scheduler.UnheardNote{After: notes[0].After, Enrolled: 6, Answered: 5, Quorum: true, Unheard: 1, WithoutEntry: 1, OldestClaim: 1}, notes[0])
	last := notes[len(notes)-1]
	must.Zero(t, last.Unheard)
	must.Less(t, 10*time.Second, last.After, must.Sprint("the last note tells when the wait was over"))
}

// loseWorkersBefore cuts half of the workers off, lets the owner notice it, and replaces the
// owner while a task of a new job waits.
func loseWorkersBefore(t *testing.T, noticed time.Duration) (*harness, job.ID) {
	h := newHarness(t, 6)
	h.run(500 * time.Millisecond)
	for _, id := range []platform.WorkerID{"w00", "w01", "w02"} {
		h.cluster.SetPartitioned(id, true)
	}
	h.run(noticed)
	h.maxStarts = 0
	id := h.submit(firstID, fixedLength(1), nil, batchStep(1))
	h.run(100 * time.Millisecond)
	h.takeOver(false)
	h.maxStarts = unlimitedStarts
	return h, id
}

// TestTasksWaitForWorkersLostBeforeTakeover: workers had not answered for seconds when their
// owner was replaced. Tasks that it had not started since waited for them, although it could
// not have started any of these there.
func TestTasksWaitForWorkersLostBeforeTakeover(t *testing.T) {
	for _, noticed := range []time.Duration{2 * time.Second, 10 * time.Second} {
		t.Run(noticed.String(), func(t *testing.T) {
			h, _ := loseWorkersBefore(t, noticed)
			must.Less(t, 3*time.Second, h.runUntilStart(20*time.Second))
			h.checkViolations()
		})
	}
}

// TestEndOfUnreadJobOnSilentWorkerIsNotLost: a worker had listed the end of a task whose job its
// owner had yet to read, and fell silent. The next owner, which knew the job, started it again.
func TestEndOfUnreadJobOnSilentWorkerIsNotLost(t *testing.T) {
	h := newHarness(t, 2)
	h.run(500 * time.Millisecond)
	h.cordonAllBut("w00")
	late := h.submitUnread(firstID)
	h.run(200 * time.Millisecond)
	h.cluster.SetPartitioned("w00", true)
	h.run(2 * time.Second)
	h.entries[late.ID] = &late
	starts := h.cluster.Starts()
	h.takeOver(false)
	h.run(2 * time.Second)
	must.Eq(t, starts, h.cluster.Starts())
	h.cluster.SetPartitioned("w00", false)
	h.run(2 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(late.ID))
}

// TestTasksOnSilentWorkersAreNotStartedTwice: a task runs on a worker that falls silent before
// its owner is replaced. It must not start elsewhere before its lease has ended, or if the
// worker is heard again.
func TestTasksOnSilentWorkersAreNotStartedTwice(t *testing.T) {
	for _, back := range []bool{true, false} {
		h, id := newTakeoverHarness(t, "w00", longRunningStep())
		h.run(2 * time.Second)
		h.takeOver(false)
		starts := h.cluster.Starts()
		h.run(2 * time.Second)
		must.Eq(t, starts, h.cluster.Starts())
		h.cluster.SetPartitioned("w00", !back)
		h.run(10 * time.Second)
		h.checkViolations()
		must.Eq(t, 1, h.cluster.Running(id))
	}
}

// TestNamedTaskWaitsForLeasesOfClosedWorker: two thirds of the workers had fallen silent before
// their owner was replaced. A task on one of them waited for 15 s after the change of owners,
// although its leases were not extended since.
func TestNamedTaskWaitsForLeasesOfClosedWorker(t *testing.T) {
	h, id := newTakeoverHarness(t, "w00", longRunningStep())
	for _, worker := range []platform.WorkerID{"w01", "w02", "w03"} {
		h.cluster.SetPartitioned(worker, true)
	}
	h.run(2 * time.Second)
	h.takeOver(false)
	must.Between(t, 2*time.Second, h.runUntilStart(20*time.Second), 4*time.Second)
	h.checkViolations()
	must.Eq(t, 1, h.cluster.Running(id))
}

// TestClosedWorkerGetsNoLease: the record that opens a worker again was not in the log yet, and
// the next owner counts on the leases ending.
func TestClosedWorkerGetsNoLease(t *testing.T) {
	h, _ := newTakeoverHarness(t, "w00", longRunningStep())
	h.run(time.Second)
	h.recordingPaused = true
	h.cluster.SetPartitioned("w00", false)
	h.run(500 * time.Millisecond)
	must.Zero(t, h.grantsLease("w00"))
	h.recordingPaused = false
	h.run(200 * time.Millisecond)
	must.Positive(t, h.grantsLease("w00"))
	h.checkViolations()
}

// TestTasksOnSilentWorkersWaitForLeasesOnly: two thirds of the workers had been silent for
// seconds before changes of owners. The tasks that were running there waited for 15 s, as if
// their owner might have gone on extending their leases.
func TestTasksOnSilentWorkersWaitForLeasesOnly(t *testing.T) {
	silent := []platform.WorkerID{"w00", "w01", "w02", "w03"}
	for _, changes := range []int{1, 2} {
		h := newHarness(t, 6)
		h.run(200 * time.Millisecond)
		h.shard.SetCordoned([]platform.WorkerID{"w04", "w05"})
		step := longRunningStep()
		step.Tasks, step.MaxPerWorker = len(silent), 1
		id := h.submit(firstID, fixedLength(100), nil, step)
		h.run(400 * time.Millisecond)
		must.Eq(t, len(silent), h.cluster.Running(id))
		h.cordonAllBut("")
		for _, id := range silent {
			h.cluster.SetPartitioned(id, true)
		}
		h.run(3 * time.Second)
		for range changes {
			h.takeOver(false)
		}
		must.LessEq(t, 5300*time.Millisecond, h.runUntilStart(30*time.Second))
		h.run(time.Second)
		h.checkViolations()
	}
}

// TestLeaseIsNotExtendedBeforeRecord guards against a lease on a worker that the log lists as
// closed: it answers again, no record can be written, and the next owner does not wait for it.
func TestLeaseIsNotExtendedBeforeRecord(t *testing.T) {
	h, _ := newTakeoverHarness(t, "w00", longRunningStep())
	h.run(3 * time.Second)
	h.recordingPaused = true
	h.cluster.SetPartitioned("w00", false)
	h.run(500 * time.Millisecond)
	h.cluster.SetPartitioned("w00", true)
	h.recordingPaused = false
	h.takeOver(false)
	h.run(10 * time.Second)
	must.Eq(t, 2, h.cluster.Starts())
	h.checkViolations()
}
