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

// newRestartHarness returns a harness of two workers: w00 has just restarted, and w01
// is unreachable. The owner knows only of the latter.
func newRestartHarness(t *testing.T) *harness {
	h := newHarness(t, 2)
	h.run(200 * time.Millisecond)
	h.cluster.Crash("w00")
	h.cluster.Boot(h.now, "w00")
	h.cluster.SetPartitioned("w01", true)
	h.renewLeases("w01")
	return h
}

// TestStartAcceptedByNewRun restarts a worker between two renew calls. The new run
// accepted a start order, but the owner gave the attempt up as one of the old run once
// the lists or the entry showed the restart.
func TestStartAcceptedByNewRun(t *testing.T) {
	deliveries := map[string]func(h *harness, lists fleet.RenewReply, sent time.Duration){
		"lists": func(h *harness, lists fleet.RenewReply, sent time.Duration) {
			h.shard.RenewAnswered(h.now, sent, "w00", lists)
		},
		"entry": func(h *harness, _ fleet.RenewReply, _ time.Duration) { h.syncWorkers() },
	}
	for name, deliver := range deliveries {
		t.Run(name, func(t *testing.T) {
			h := newRestartHarness(t)
			sent := h.now
			_, order, _ := h.shard.RenewOrder(sent, "w00")
			lists, _ := h.cluster.Renew(sent, "w00", order)
			h.now += time.Millisecond
			id := h.submit(firstID, fixedLength(3), nil, batchStep(2))
			h.plan()
			must.Eq(t, 2, h.cluster.Running(id))
			h.cluster.SetPartitioned("w01", false)
			h.renewLeases("w01")
			deliver(h, lists, sent)
			h.plan()
			h.run(4 * time.Second)
			h.checkViolations()
			must.Eq(t, 2, h.cluster.Starts())
			must.Eq(t, job.Done, h.state(id))
		})
	}
}

// TestNewRunLostAgain: the lease of an order that reached the new run was counted on
// the old run's clock, so the task may run for the longest lease possible.
func TestNewRunLostAgain(t *testing.T) {
	h := newRestartHarness(t)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	h.plan()
	must.Eq(t, 1, h.cluster.Running(id))
	h.renewLeases("w00")
	h.cluster.SetPartitioned("w00", true)
	h.cluster.SetPartitioned("w01", false)
	waited := h.runUntilStart(20 * time.Second)
	must.Between(t, bounds.MaxLease, waited, bounds.MaxLease+time.Second)
	h.checkViolations()
}

// TestUnresponsiveAfterFirstAnswer: a new owner has granted no lease yet, but those of
// the earlier owner continue.
func TestUnresponsiveAfterFirstAnswer(t *testing.T) {
	h := newHarness(t, 3)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	h.run(400 * time.Millisecond)
	must.Eq(t, 1, h.cluster.Running(id))
	h.takeOver(false)
	task := job.TaskRef{Job: id}
	for _, w := range []platform.WorkerID{"w00", "w01", "w02"} {
		h.renewLeases(w)
		h.cluster.SetPartitioned(w, h.cluster.AttemptOf(w, task) != 0)
	}
	must.Between(t, 4*time.Second, h.runUntilStart(20*time.Second), 6*time.Second)
	h.checkViolations()
}

// TestNewRunGetsNoOldAcknowledgement: a new run numbers its ends anew, so an
// acknowledgement meant for the old run would make it drop ends that were never read.
func TestNewRunGetsNoOldAcknowledgement(t *testing.T) {
	h := newHarness(t, 1)
	first := h.submit(firstID, fixedLength(0.2), nil, batchStep(4))
	h.run(time.Second)
	must.Eq(t, job.Done, h.state(first))
	_, before, _ := h.shard.RenewOrder(h.now, "w00")
	must.Positive(t, before.Acknowledged)
	h.shard.RenewFailed(h.now, h.now, "w00")
	_, after, _ := h.shard.RenewOrder(h.now, "w00")
	must.Zero(t, after.Acknowledged)
}

// TestRestartWhileOwnerMayNotAct: an owner that may not act sends no renew order, so no
// unanswered one tells it of a restart. It acknowledged the new run's ends by the numbers of
// the old run's before they were listed, and started the task again.
func TestRestartWhileOwnerMayNotAct(t *testing.T) {
	h := newHarness(t, 1)
	first := h.submit(firstID, fixedLength(0.2), nil, batchStep(4))
	h.run(time.Second)
	must.Eq(t, job.Done, h.state(first))
	starts := h.cluster.Starts()
	h.cluster.Crash("w00")
	h.now += 3 * time.Second
	h.cluster.Boot(h.now, "w00")
	second := h.submit(secondID, fixedLength(0.2), nil, batchStep(1))
	h.plan()
	must.Eq(t, starts, h.cluster.Starts())
	h.now += 300 * time.Millisecond
	h.run(300 * time.Millisecond)
	h.syncWorkers()
	h.run(3 * time.Second)
	h.checkViolations()
	must.Eq(t, starts+1, h.cluster.Starts())
	must.Eq(t, job.Done, h.state(second))
}

// TestStopIsRepeatedAfterRestart: a start order reached a worker's new run late, after the
// old run had accepted the order to stop the attempt. The attempt was listed as running,
// but never ordered to stop again, and ran on after its job was cancelled.
func TestStopIsRepeatedAfterRestart(t *testing.T) {
	h := newHarness(t, 1)
	h.run(500 * time.Millisecond)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	starts := h.shard.Plan(h.now, h.now.Milliseconds(), 1000).Starts
	must.Len(t, 1, starts)
	start, wanted := h.shard.BeginStart(h.now, starts[0])
	must.True(t, wanted)
	h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
	must.Len(t, 1, h.shard.Plan(h.now, h.now.Milliseconds(), 1000).Starts)
	h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
	h.shard.CancelJob(h.now, id)
	h.plan()
	h.cluster.Crash("w00")
	h.cluster.Boot(h.now, "w00")
	h.now += 100 * time.Millisecond
	answer, _ := h.cluster.Start(h.now, "w00", start.Order)
	must.Eq(t, fleet.Accepted, answer.Verdict)
	must.Eq(t, 1, h.cluster.Running(id))
	h.run(2*bounds.StopGrace + 500*time.Millisecond)
	must.Zero(t, h.cluster.Running(id))
}

// TestLateAnswerOfOldRunSetsNoClock: the answer of a worker's old run arrived after the
// lists of the new run and set the clock of the new one, whose leases then lasted longer
// than the owner took them to last.
func TestLateAnswerOfOldRunSetsNoClock(t *testing.T) {
	orders := map[string]func(t *testing.T, h *harness, id job.ID) (answer func()){
		"start": func(_ *testing.T, h *harness, _ job.ID) func() {
			start := h.beginOnlyStart()
			reply, _ := h.cluster.Start(h.now, "w00", start.Order)
			return func() { h.shard.StartAnswered(h.now, start, reply, nil) }
		},
		"refused start": func(_ *testing.T, h *harness, _ job.ID) func() {
			start := h.beginOnlyStart()
			reply, _ := h.cluster.Start(h.now, "w00", start.Order)
			reply.Verdict = fleet.RefusedCapacity
			return func() { h.shard.StartAnswered(h.now, start, reply, nil) }
		},
		"stop": func(t *testing.T, h *harness, id job.ID) func() {
			h.plan()
			h.shard.CancelJob(h.now, id)
			stops := h.shard.Plan(h.now, h.now.Milliseconds(), unlimitedStarts).Stops
			must.Len(t, 1, stops)
			reply, _ := h.cluster.Stop(h.now, "w00", stops[0].Order)
			return func() { h.shard.StopAnswered(h.now, stops[0], reply, nil) }
		},
	}
	for name, send := range orders {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.run(5 * time.Second)
			answer := send(t, h, h.submit(firstID, fixedLength(100), nil, batchStep(1)))
			h.cluster.Crash("w00")
			h.cluster.Boot(h.now, "w00")
			h.now += 100 * time.Millisecond
			h.renewLeases("w00")
			answer()
			h.run(500 * time.Millisecond)
			end := h.grantsLease("w00")
			reply, _ := h.cluster.Renew(h.now, "w00", fleet.RenewOrder{Token: 1})
			must.Positive(t, end)
			must.Between(t, 4*time.Second, time.Duration(end-reply.Clock), 6*time.Second)
		})
	}
}

// beginOnlyStart plans and returns the order to start the only task that waits.
func (h *harness) beginOnlyStart() scheduler.StartAction {
	h.t.Helper()
	starts := h.shard.Plan(h.now, h.now.Milliseconds(), unlimitedStarts).Starts
	must.Len(h.t, 1, starts)
	start, wanted := h.shard.BeginStart(h.now, starts[0])
	must.True(h.t, wanted)
	return start
}

// TestUnansweredStartIsStoppedInEachRun: a start order that got no answer reached a later
// run of its worker. The order to stop the attempt had been accepted by an earlier run
// only, and the task of a cancelled job ran.
func TestUnansweredStartIsStoppedInEachRun(t *testing.T) {
	cases := map[string]func(h *harness){
		"accepted by the old run": func(h *harness) {
			h.plan()
			h.restartWorker()
		},
		"accepted late by the old run": func(h *harness) {
			stops := h.shard.Plan(h.now, h.now.Milliseconds(), unlimitedStarts).Stops
			must.Len(h.t, 1, stops)
			h.restartWorker()
			h.loseStops()
			h.shard.StopAnswered(h.now, stops[0], fleet.Answer{Verdict: fleet.Accepted, Clock: platform.WorkerTime(h.now)}, nil)
		},
		"accepted by two runs": func(h *harness) {
			h.plan()
			h.restartWorker()
			h.run(time.Second)
			h.restartWorker()
		},
	}
	for name, happen := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.run(time.Second)
			id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
			start := h.beginOnlyStart()
			h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
			start = h.beginOnlyStart()
			h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
			h.shard.CancelJob(h.now, id)
			happen(h)
			h.run(time.Second)
			answer, answered := h.cluster.Start(h.now, "w00", start.Order)
			must.True(t, answered)
			must.Eq(t, fleet.RefusedEnded, answer.Verdict)
			h.run(time.Second)
			must.Zero(t, h.cluster.Running(id))
			must.Zero(t, h.shard.Waiting()[0])
		})
	}
}

// TestLostStopOfUnansweredStartIsRepeated: the order by which a new run should refuse an
// attempt that the old run had was lost and not repeated. A start order for the attempt
// that had got no answer reached the new run later, and the task of a cancelled job ran.
func TestLostStopOfUnansweredStartIsRepeated(t *testing.T) {
	h := newHarness(t, 1)
	h.run(time.Second)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	start := h.beginOnlyStart()
	h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
	h.run(200 * time.Millisecond)
	must.Eq(t, 1, h.cluster.Running(id))
	h.restartWorker()
	h.shard.CancelJob(h.now, id)
	h.loseStops()
	h.run(time.Second)
	answer, answered := h.cluster.Start(h.now, "w00", start.Order)
	must.True(t, answered)
	must.Eq(t, fleet.RefusedEnded, answer.Verdict)
	must.Zero(t, h.cluster.Running(id))
}

// restartWorker restarts w00, and the owner reads the lists of its new run.
func (h *harness) restartWorker() {
	h.cluster.Crash("w00")
	h.cluster.Boot(h.now, "w00")
	h.now += 100 * time.Millisecond
	h.renewLeases("w00")
}

// loseStops plans and loses all stop orders.
func (h *harness) loseStops() {
	for _, stop := range h.shard.Plan(h.now, h.now.Milliseconds(), unlimitedStarts).Stops {
		h.shard.StopAnswered(h.now, stop, fleet.Answer{}, platform.ErrOutcomeUnknown)
	}
}

// TestRunAfterClockStepIsUsed: a worker's time of day was set back before it restarted. Its
// lists were taken for those of an earlier run, and it got no task any more. Its entry may
// still be that of the run before.
func TestRunAfterClockStepIsUsed(t *testing.T) {
	for name, refreshEntry := range map[string]bool{"new entry": true, "old entry": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.run(time.Second)
			id := h.submit(firstID, fixedLength(20), nil, batchStep(1))
			h.run(time.Second)
			must.Eq(t, 1, h.cluster.Running(id))
			entry := h.cluster.Entry("w00")
			h.cluster.StepBack("w00")
			h.cluster.Crash("w00")
			h.run(time.Second)
			h.cluster.Boot(h.now, "w00")
			if refreshEntry {
				entry = h.cluster.Entry("w00")
			}
			h.run(8 * time.Second)
			must.Eq(t, 1, h.cluster.Running(id))
			h.cluster.AddWorker(h.now, workerInfo(1))
			for range 8 {
				h.shard.SetWorker(h.now, entry)
				h.plan()
				h.run(time.Second)
				h.shard.SetWorker(h.now, h.cluster.Entry("w01"))
			}
			h.run(20 * time.Second)
			must.Eq(t, job.Done, h.state(id))
			must.Eq(t, 2, h.cluster.Starts())
			h.checkViolations()
		})
	}
}

// TestListsOfNewRunAreRequestedAtOnce: the answer to a stop order told the clock of a worker's
// new run, so the first renewal waited for an end, and tasks of the old run went on waiting.
func TestListsOfNewRunAreRequestedAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.run(time.Second)
	h.submit(firstID, fixedLength(100), nil, batchStep(1))
	start := h.beginOnlyStart()
	h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
	h.cluster.Crash("w00")
	h.renewLeases("w00")
	h.cluster.Boot(h.now, "w00")
	h.now += 100 * time.Millisecond
	h.syncWorkers()
	h.plan()
	must.True(t, h.shard.RenewsAtOnce(h.now, "w00"))
	_, order, _ := h.shard.RenewOrder(h.now, "w00")
	must.Zero(t, order.LeaseEnd)
	must.Zero(t, order.Wait)
	h.now += time.Millisecond
	h.renewLeases("w00")
	must.False(t, h.shard.RenewsAtOnce(h.now, "w00"))
	h.record()
	_, order, _ = h.shard.RenewOrder(h.now, "w00")
	must.Positive(t, order.LeaseEnd)
	h.now += time.Millisecond
	h.renewLeases("w00")
	_, order, _ = h.shard.RenewOrder(h.now, "w00")
	must.Positive(t, order.Wait)
}

// TestFailedRenewalOfOldRunTellsNothingOfNewRun: a renewal that was sent before a restart
// was noticed failed afterwards, and the new run counted as unresponsive.
func TestFailedRenewalOfOldRunTellsNothingOfNewRun(t *testing.T) {
	h := newHarness(t, 1)
	h.run(time.Second)
	id := h.submit(firstID, fixedLength(1), nil, batchStep(1))
	sent := h.now
	h.cluster.Crash("w00")
	h.cluster.Boot(h.now, "w00")
	h.now += 100 * time.Millisecond
	h.syncWorkers()
	h.renewLeases("w00")
	h.record()
	h.shard.RenewFailed(h.now, sent, "w00")
	h.plan()
	must.Eq(t, 1, h.cluster.Running(id))
	h.shard.RenewFailed(h.now, h.now, "w00")
	must.True(t, h.shard.RenewsAtOnce(h.now, "w00"))
}

// TestTaskOfUnansweredStartGoesOnAfterRestart: a worker crashed before it had answered a start
// order. Its next run has no end of the attempt to list, so the task went on waiting for two
// renewals, each of which the worker might hold for 1.2 s.
func TestTaskOfUnansweredStartGoesOnAfterRestart(t *testing.T) {
	h := newHarness(t, 1)
	h.run(time.Second)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	for range 2 {
		start := h.beginOnlyStart()
		h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
	}
	h.loseStops()
	h.cluster.Crash("w00")
	h.renewLeases("w00")
	h.cluster.Boot(h.now, "w00")
	h.now += time.Second
	h.syncWorkers()
	h.renewLeases("w00")
	h.record()
	h.loseStops()
	must.False(t, h.shard.RenewsAtOnce(h.now, "w00"))
	order := h.awaitOrder("w00")
	must.Between(t, time.Millisecond, order.Wait, 300*time.Millisecond)
	h.now += order.Wait + 100*time.Millisecond
	h.renewLeases("w00")
	h.plan()
	must.True(t, h.shard.RenewsAtOnce(h.now, "w00"))
	h.now += time.Millisecond
	h.renewLeases("w00")
	must.False(t, h.shard.RenewsAtOnce(h.now, "w00"))
	h.record()
	h.plan()
	must.Eq(t, 1, h.cluster.Running(id))
	h.checkViolations()
}

// TestTasksOfWorkerLostAfterRestartStartInTime: a renewal that was waiting at a worker when it crashed was
// waited for as one that might give the next run a lease 13 s later.
func TestTasksOfWorkerLostAfterRestartStartInTime(t *testing.T) {
	// From 6 s after its last run a task that lasts may wait for 3 s.
	const bound = 9 * time.Second
	for _, lost := range []time.Duration{600 * time.Millisecond, 4 * time.Second} {
		for name, notice := range map[string]func(h *harness){"by its entry": (*harness).syncWorkers, "by its lists": noticeByLists} {
			t.Run(fmt.Sprintf("lost after %v, noticed %s", lost, name), func(t *testing.T) {
				h := newHarness(t, 2)
				h.run(20 * time.Second)
				sent, waiting := h.now, h.awaitOrder("w00")
				_, answered := h.cluster.Renew(h.now, "w00", waiting)
				must.True(t, answered)
				h.cluster.Crash("w00")
				h.now += 700 * time.Millisecond
				h.shard.RenewFailed(h.now, sent, "w00")
				h.cluster.Boot(h.now, "w00")
				notice(h)
				h.cluster.SetPartitioned("w01", true)
				h.run(time.Second)
				id := h.submit(firstID, fixedLength(100), nil, longRunningStep())
				h.run(300 * time.Millisecond)
				must.Eq(t, 1, h.cluster.Running(id))
				h.cluster.SetPartitioned("w01", false)
				h.run(lost)
				h.cluster.Crash("w00")
				must.Less(t, bound, h.runUntilStart(30*time.Second))
				h.checkViolations()
			})
		}
	}
}

// TestTaskRunsTwiceAfterAnswerOfUnseenRun: a run that the owner never saw had answered a start order, whose
// lease was taken for one on the clock of the run before.
func TestTaskRunsTwiceAfterAnswerOfUnseenRun(t *testing.T) {
	h := newHarness(t, 2)
	h.run(20 * time.Second)
	h.cluster.SetPartitioned("w01", true)
	h.run(500 * time.Millisecond)
	h.cluster.Crash("w00")
	h.now += 300 * time.Millisecond
	h.cluster.Boot(h.now, "w00")
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	h.plan()
	must.Eq(t, 1, h.cluster.Running(id))
	h.cluster.SetPartitioned("w00", true)
	h.cluster.SetPartitioned("w01", false)
	h.run(40 * time.Second)
	h.checkViolations()
	must.Eq(t, 2, h.cluster.Starts())
}

// TestTaskThatLastsStartsBesideStrayLeasesLast: a task that lasts started on a worker whose tasks would wait
// for stray leases if it was lost, although another one had room.
func TestTaskThatLastsStartsBesideStrayLeasesLast(t *testing.T) {
	for _, room := range []bool{true, false} {
		t.Run(fmt.Sprintf("room elsewhere %v", room), func(t *testing.T) {
			h := newHarness(t, 2)
			h.run(20 * time.Second)
			h.cluster.SetPartitioned("w01", true)
			h.run(3 * time.Second)
			unanswered := h.submit(firstID, fixedLength(100), nil, batchStep(1))
			start := h.beginOnlyStart()
			must.Eq(t, "w00", string(start.Worker.ID))
			h.cluster.Crash("w00")
			h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
			h.shard.CancelJob(h.now, unanswered)
			h.now += 700 * time.Millisecond
			h.cluster.Boot(h.now, "w00")
			h.syncWorkers()
			h.run(time.Second)
			expected := platform.WorkerID("w00")
			if room {
				// Both are empty, so w00 would come first but for the stray leases.
				h.cluster.SetPartitioned("w01", false)
				h.run(time.Second)
				expected = "w01"
			}
			id := h.submit(secondID, fixedLength(100), nil, longRunningStep())
			h.run(300 * time.Millisecond)
			must.Eq(t, 1, h.cluster.Running(id))
			must.Eq(t, []platform.WorkerID{expected}, h.workersOf(job.TaskRef{Job: id}))
		})
	}
}

// noticeByLists lets the owner read the lists of the workers' present runs before their entries.
func noticeByLists(h *harness) {
	h.run(100 * time.Millisecond)
	h.syncWorkers()
}

// TestStartAnsweredByUnseenRunIsWaitedFor: a start order that the next run had answered gave it the
// longest lease, and the restart was noticed after lists that the run before had read earlier.
func TestStartAnsweredByUnseenRunIsWaitedFor(t *testing.T) {
	h := newHarness(t, 2)
	h.run(20 * time.Second)
	h.cluster.SetPartitioned("w01", true)
	h.run(500 * time.Millisecond)
	sent, waiting := h.now, h.awaitOrder("w00")
	lists, _ := h.cluster.Renew(h.now, "w00", waiting)
	h.cluster.Crash("w00")
	h.cluster.Boot(h.now, "w00")
	id := h.submit(firstID, fixedLength(100), nil, longRunningStep())
	h.plan()
	must.Eq(t, 1, h.cluster.Running(id))
	h.now += 10 * time.Millisecond
	h.shard.RenewAnswered(h.now, sent, "w00", lists)
	h.cluster.SetPartitioned("w00", true)
	h.cluster.SetPartitioned("w01", false)
	h.syncWorkers()
	must.Between(t, bounds.MaxLease, h.runUntilStart(30*time.Second), bounds.MaxLease+time.Second)
	h.checkViolations()
}
