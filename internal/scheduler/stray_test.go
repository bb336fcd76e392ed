package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// strayHarness is a harness of workers that restart while renew orders are under way to them.
type strayHarness struct {
	*harness
	strays map[platform.WorkerID]heldUpRenewal
}

// newStrayHarness returns a harness of workers whose clocks have run for so long that a lease end
// on one of them is far ahead for a run that has just begun.
func newStrayHarness(t *testing.T) *strayHarness {
	h := &strayHarness{harness: newHarness(t, 6), strays: map[platform.WorkerID]heldUpRenewal{}}
	h.run(20 * time.Second)
	return h
}

func (h *strayHarness) workerIDs() []platform.WorkerID {
	ids := make([]platform.WorkerID, h.workers)
	for i := range ids {
		ids[i] = workerInfo(i).ID
	}
	return ids
}

// sendStrays sends each worker a renew order with a lease end that is held up.
func (h *strayHarness) sendStrays() {
	h.strays = h.holdUpLeases()
	must.MapLen(h.t, h.workers, h.strays)
}

// restartAll restarts all workers within a time that is shorter than the wait for an answer.
func (h *strayHarness) restartAll() {
	for _, id := range h.workerIDs() {
		h.cluster.Crash(id)
	}
	h.now += 600 * time.Millisecond
	for _, id := range h.workerIDs() {
		h.cluster.Boot(h.now, id)
	}
}

// deliverStrays hands the orders that were held up to the workers' present runs. No answer arrives.
func (h *strayHarness) deliverStrays() {
	for id, stray := range h.strays {
		lists, _ := h.cluster.Renew(h.now, id, stray.order)
		must.Eq(h.t, fleet.Accepted, lists.Verdict)
	}
}

// noticeRestarts lets the owner know of the restarts: the orders got no answer, and the entries
// name other runs.
func (h *strayHarness) noticeRestarts() {
	for id, stray := range h.strays {
		h.shard.RenewFailed(h.now, stray.sent, id)
	}
	h.syncWorkers()
}

// startTask starts a task that takes long, and returns its worker.
func (h *strayHarness) startTask() platform.WorkerID {
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	h.run(300 * time.Millisecond)
	must.Eq(h.t, 1, h.cluster.Running(id))
	return h.workersOf(job.TaskRef{Job: id})[0]
}

// TestTaskRunsTwiceBesideLeaseOfOrderForEarlierRun: a worker's run got a lease by an order for the
// run before, and the next owner started the task elsewhere before that lease was over.
func TestTaskRunsTwiceBesideLeaseOfOrderForEarlierRun(t *testing.T) {
	restarts := map[string]func(h *strayHarness) platform.WorkerID{
		"recorded": func(h *strayHarness) platform.WorkerID {
			h.sendStrays()
			h.restartAll()
			h.deliverStrays()
			h.noticeRestarts()
			return h.startTask()
		},
		"not recorded": func(h *strayHarness) platform.WorkerID {
			h.sendStrays()
			h.restartAll()
			h.deliverStrays()
			h.recordingPaused = true
			h.noticeRestarts()
			id := h.submit(secondID, fixedLength(0.1), nil, batchStep(1))
			h.run(300 * time.Millisecond)
			must.Zero(h.t, h.cluster.Running(id))
			h.recordingPaused = false
			h.run(300 * time.Millisecond)
			must.Eq(h.t, job.Done, h.state(id))
			return h.startTask()
		},
		"two in a row": func(h *strayHarness) platform.WorkerID {
			h.sendStrays()
			h.restartAll()
			h.noticeRestarts()
			h.run(200 * time.Millisecond)
			h.restartAll()
			h.deliverStrays()
			h.noticeRestarts()
			return h.startTask()
		},
		"carried out late": func(h *strayHarness) platform.WorkerID {
			h.sendStrays()
			h.restartAll()
			h.noticeRestarts()
			w := h.startTask()
			h.run(9 * time.Second)
			h.deliverStrays()
			return w
		},
		"seen by no owner": func(h *strayHarness) platform.WorkerID {
			h.submit(firstID, fixedLength(100), nil, batchStep(1))
			start := h.beginOnlyStart()
			h.restartAll()
			answer, _ := h.cluster.Start(h.now, start.Worker.ID, start.Order)
			must.Eq(h.t, fleet.Accepted, answer.Verdict)
			h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
			return start.Worker.ID
		},
		"seen by two owners": func(h *strayHarness) platform.WorkerID {
			h.sendStrays()
			h.restartAll()
			h.deliverStrays()
			h.noticeRestarts()
			w := h.startTask()
			h.takeOver(false)
			h.run(100 * time.Millisecond)
			return w
		},
		"seen by the next owner": func(h *strayHarness) platform.WorkerID {
			h.sendStrays()
			h.restartAll()
			h.deliverStrays()
			h.takeOver(false)
			return h.startTask()
		},
		"without entries meanwhile": func(h *strayHarness) platform.WorkerID {
			h.sendStrays()
			h.restartAll()
			h.deliverStrays()
			h.noticeRestarts()
			h.run(100 * time.Millisecond)
			for _, id := range h.workerIDs() {
				h.unregistered[id] = true
			}
			h.syncWorkers()
			h.run(100 * time.Millisecond)
			clear(h.unregistered)
			h.syncWorkers()
			return h.startTask()
		},
	}
	changes := map[string]func(h *strayHarness, id platform.WorkerID){
		"none": func(h *strayHarness, id platform.WorkerID) {
			h.cluster.SetPartitioned(id, true)
			h.syncWorkers()
		},
		"killed": func(h *strayHarness, id platform.WorkerID) {
			h.cluster.SetPartitioned(id, true)
			h.replaceKilledOwner()
		},
		"cut off": func(h *strayHarness, id platform.WorkerID) {
			h.cluster.SetPartitioned(id, true)
			h.takeOver(false)
		},
		"replaced in order": func(h *strayHarness, id platform.WorkerID) {
			h.cluster.SetPartitioned(id, true)
			h.takeOver(true)
		},
		"all hosts at once": func(h *strayHarness, id platform.WorkerID) {
			h.cluster.SetPartitioned(id, true)
			h.restartedHosts = true
			h.now += 2 * time.Second
			h.readAllAgain()
			h.takeOver(false)
		},
		"two in a row": func(h *strayHarness, id platform.WorkerID) {
			h.cluster.SetPartitioned(id, true)
			for range 2 {
				h.replaceKilledOwner()
				h.run(time.Second)
			}
		},
		"after it closed the worker": func(h *strayHarness, id platform.WorkerID) {
			h.cluster.SetPartitioned(id, true)
			h.run(500 * time.Millisecond)
			h.replaceKilledOwner()
		},
	}
	for restart, begin := range restarts {
		for change, replace := range changes {
			t.Run(restart+"/"+change, func(t *testing.T) {
				h := newStrayHarness(t)
				replace(h, begin(h))
				starts := h.cluster.Starts()
				h.run(40 * time.Second)
				h.checkViolations()
				must.Eq(t, starts+1, h.cluster.Starts())
			})
		}
	}
}

// readAllAgain makes all hosts read the log now for the first time.
func (h *harness) readAllAgain() {
	for id, e := range h.enrolled {
		e.SeenAt = h.now
		h.enrolled[id] = e
	}
}

// TestRestartOfLongAgoDelaysTakeover: each later owner whose host had just started would wait for
// stray leases that were over long before.
func TestRestartOfLongAgoDelaysTakeover(t *testing.T) {
	h := newStrayHarness(t)
	h.sendStrays()
	h.restartAll()
	h.deliverStrays()
	h.noticeRestarts()
	w := h.startTask()
	h.run(30 * time.Second)
	h.cluster.SetPartitioned(w, true)
	h.restartedHosts = true
	h.readAllAgain()
	h.replaceKilledOwner()
	must.Between(t, 5*time.Second, h.runUntilStart(20*time.Second), 6*time.Second)
	h.checkViolations()
}

// setPartitioned cuts workers off or ends that.
func (h *strayHarness) setPartitioned(on bool, ids ...platform.WorkerID) {
	for _, id := range ids {
		h.cluster.SetPartitioned(id, on)
	}
}

// replaceKilledOwner replaces an owner that is known to have ended.
func (h *strayHarness) replaceKilledOwner() {
	before := h.claim
	h.takeOver(false)
	h.shard.PredecessorEnded(h.now, before)
}

// startTaskLate starts a task that takes long once a worker can be used, and returns its worker.
func (h *strayHarness) startTaskLate() platform.WorkerID {
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	for i := 0; i < 100 && h.cluster.Running(id) == 0; i++ {
		h.tick()
	}
	must.Eq(h.t, 1, h.cluster.Running(id))
	return h.workersOf(job.TaskRef{Job: id})[0]
}

// restartOne crashes and boots one worker within 600 ms.
func (h *strayHarness) restartOne(id platform.WorkerID) {
	h.cluster.Crash(id)
	h.now += 600 * time.Millisecond
	h.cluster.Boot(h.now, id)
}

// finish checks that the task starts once more, after everything that may run elsewhere has ended.
func (h *strayHarness) finish(starts int) {
	h.run(40 * time.Second)
	h.checkViolations()
	must.Eq(h.t, starts+1, h.cluster.Starts())
}

// TestTaskRunsTwiceAfterRecordOfSilentWorkerIsDeleted: the record that told of stray leases was deleted
// since the worker was idle and silent for a second.
func TestTaskRunsTwiceAfterRecordOfSilentWorkerIsDeleted(t *testing.T) {
	h := newStrayHarness(t)
	h.sendStrays()
	h.restartAll()
	h.deliverStrays()
	h.noticeRestarts()
	h.run(200 * time.Millisecond)
	// 4 of 6 silent for 1.5 s.
	h.setPartitioned(true, h.workerIDs()[:4]...)
	h.run(1500 * time.Millisecond)
	before := h.claim
	h.setPartitioned(true, h.workerIDs()[4:]...)
	h.setPartitioned(false, h.workerIDs()[:4]...)
	h.takeOver(false)
	h.shard.PredecessorEnded(h.now, before)
	h.run(1600 * time.Millisecond)
	h.startTaskLate()
	starts := h.cluster.Starts()
	h.setPartitioned(true, h.workerIDs()...)
	h.setPartitioned(false, h.workerIDs()[4:]...)
	h.finish(starts)
}

// TestTaskRunsTwiceOnWorkerForgottenBeforeLateOrder: a worker without an entry was forgotten with the
// orders that it might still carry out.
func TestTaskRunsTwiceOnWorkerForgottenBeforeLateOrder(t *testing.T) {
	h := newStrayHarness(t)
	h.sendStrays()
	for _, id := range h.workerIDs() {
		h.cluster.Crash(id)
		h.unregistered[id] = true
	}
	h.now += 600 * time.Millisecond
	for id, stray := range h.strays {
		h.shard.RenewFailed(h.now, stray.sent, id)
	}
	h.run(2 * time.Second)
	h.syncWorkers() // the entries are removed
	h.run(100 * time.Millisecond)
	clear(h.unregistered)
	for _, id := range h.workerIDs() {
		h.cluster.Boot(h.now, id)
	}
	h.syncWorkers()
	h.run(200 * time.Millisecond)
	h.deliverStrays()
	w := h.startTask()
	starts := h.cluster.Starts()
	h.cluster.SetPartitioned(w, true)
	h.finish(starts)
}

// TestTaskRunsTwiceOnWorkerWithoutRecord: a late order of an owner that had deleted the worker's record
// reached the next run before the next owner's first order.
func TestTaskRunsTwiceOnWorkerWithoutRecord(t *testing.T) {
	h := newStrayHarness(t)
	h.sendStrays()
	for _, id := range h.workerIDs()[:4] {
		h.cluster.Crash(id)
		h.shard.RenewFailed(h.now, h.strays[id].sent, id)
	}
	h.run(2 * time.Second)
	before := h.claim
	for _, id := range h.workerIDs()[:4] {
		h.cluster.Boot(h.now, id)
		lists, _ := h.cluster.Renew(h.now, id, h.strays[id].order)
		must.Eq(t, fleet.Accepted, lists.Verdict)
	}
	h.setPartitioned(true, h.workerIDs()[4:]...)
	h.takeOver(false)
	h.shard.PredecessorEnded(h.now, before)
	h.run(1600 * time.Millisecond)
	w := h.startTaskLate()
	starts := h.cluster.Starts()
	h.cluster.SetPartitioned(w, true)
	h.setPartitioned(false, h.workerIDs()[4:]...)
	h.finish(starts)
}

// TestTaskRunsTwiceWithoutRecordOrEntryOfNewRun: neither the log nor an entry told the next owner of the
// restart.
func TestTaskRunsTwiceWithoutRecordOrEntryOfNewRun(t *testing.T) {
	h := newStrayHarness(t)
	h.sendStrays()
	h.restartAll()
	h.deliverStrays()
	for id, stray := range h.strays {
		h.shard.RenewFailed(h.now, stray.sent, id)
	}
	h.recordingPaused = true
	h.syncWorkers()
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	h.run(400 * time.Millisecond)
	must.Zero(t, h.cluster.Running(id))
	h.recordingPaused = false
	h.run(2 * tickInterval)
	must.Eq(t, 1, h.cluster.Running(id))
	starts := h.cluster.Starts()
	w := h.workersOf(job.TaskRef{Job: id})[0]
	h.cluster.SetPartitioned(w, true)
	h.unregistered[w] = true
	h.replaceKilledOwner()
	h.finish(starts)
}

// TestTaskRunsTwiceAfterOrderOfPredecessorToNewRun: an order of the owner before reached the new run after
// the present owner had seen its entry and before it had called it.
func TestTaskRunsTwiceAfterOrderOfPredecessorToNewRun(t *testing.T) {
	t.Run("same owner", func(t *testing.T) { orderOfPredecessorAfterEntry(t, false) })
	t.Run("next owner", func(t *testing.T) { orderOfPredecessorAfterEntry(t, true) })
}

func orderOfPredecessorAfterEntry(t *testing.T, replace bool) {
	h := newStrayHarness(t)
	h.sendStrays() // by the owner before
	h.replaceKilledOwner()
	h.run(2 * time.Second)
	h.restartAll()
	h.setPartitioned(true, h.workerIDs()...)
	h.syncWorkers()
	h.run(3 * time.Second)
	h.setPartitioned(false, h.workerIDs()...)
	h.deliverStrays()
	w := h.startTask()
	starts := h.cluster.Starts()
	h.cluster.SetPartitioned(w, true)
	if replace {
		h.replaceKilledOwner()
	}
	h.finish(starts)
}

// TestTaskRunsTwiceOnRunThatOwnerDoesNotSee: the owner gave up a start that a run without an entry had
// carried out.
func TestTaskRunsTwiceOnRunThatOwnerDoesNotSee(t *testing.T) {
	h := newStrayHarness(t)
	h.submit(firstID, fixedLength(100), nil, batchStep(1))
	start := h.beginOnlyStart()
	h.unregistered[start.Worker.ID] = true
	h.restartOne(start.Worker.ID)
	answer, _ := h.cluster.Start(h.now, start.Worker.ID, start.Order)
	must.Eq(t, fleet.Accepted, answer.Verdict)
	h.cluster.SetPartitioned(start.Worker.ID, true)
	h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
	starts := h.cluster.Starts()
	h.finish(starts)
}

// TestRenewalPreparedForRunBeforeIsSent: a renewal was sent to a run that was known to be another than the
// one that it was prepared for.
func TestRenewalPreparedForRunBeforeIsSent(t *testing.T) {
	h := newStrayHarness(t)
	id := h.workerIDs()[0]
	order := h.holdUpLeases()[id].order
	must.Positive(t, order.LeaseEnd)
	h.cluster.Crash(id)
	h.now += 100 * time.Millisecond
	h.cluster.Boot(h.now, id)
	h.syncWorkers()
	must.False(t, h.shard.RenewalCurrent(h.now, id, order))
}

// TestTaskRunsTwiceAfterRecordOfUnseenRunIsClosed: a run that its owner never saw had answered a start
// order, and the record that closed the silent worker told the next owner of no longer lease.
func TestTaskRunsTwiceAfterRecordOfUnseenRunIsClosed(t *testing.T) {
	h := newStrayHarness(t)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	start := h.beginOnlyStart()
	w := start.Worker.ID
	h.unregistered[w] = true
	h.restartOne(w)
	answer, _ := h.cluster.Start(h.now, w, start.Order)
	must.Eq(t, fleet.Accepted, answer.Verdict)
	h.shard.StartAnswered(h.now, start, answer, nil)
	h.cluster.SetPartitioned(w, true)
	h.run(500 * time.Millisecond)
	must.True(t, h.enrolled[w].Closed)
	h.replaceKilledOwner()
	must.Eq(t, 1, h.cluster.Running(id))
	h.finish(h.cluster.Starts())
}
