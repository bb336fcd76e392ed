package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// loseOnlyStart sends the start order of the only waiting task twice and loses the answers.
func (h *harness) loseOnlyStart() scheduler.StartAction {
	late := h.beginOnlyStart()
	h.shard.StartAnswered(h.now, late, fleet.Answer{}, platform.ErrOutcomeUnknown)
	again := h.beginOnlyStart()
	h.shard.StartAnswered(h.now, again, fleet.Answer{}, platform.ErrOutcomeUnknown)
	return late
}

// carryOutLate hands a start order to the worker's present run. No answer arrives and the worker is cut off.
func (h *harness) carryOutLate(t *testing.T, start scheduler.StartAction) {
	t.Helper()
	w := start.Worker.ID
	h.cluster.RefuseStarts(w, 0)
	h.cluster.SetPartitioned(w, false)
	answer, answered := h.cluster.Start(h.now, w, start.Order)
	must.True(t, answered)
	must.Eq(t, fleet.Accepted, answer.Verdict)
	h.cluster.SetPartitioned(w, true)
}

// TestWorkerIsForgottenBeforeLateStartIsOver: the worker is forgotten 13 s after its last order, also with a start that a
// run has carried out meanwhile and whose lease lasts 10 s.
func TestWorkerIsForgottenBeforeLateStartIsOver(t *testing.T) {
	h := newStrayHarness(t)
	h.submit(firstID, fixedLength(100), nil, batchStep(1))
	start := h.beginOnlyStart()
	w := start.Worker.ID
	sent := h.now
	h.cluster.Crash(w)
	h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
	h.unregistered[w] = true
	h.syncWorkers()
	h.run(6 * time.Second)
	h.cluster.Boot(h.now, w)
	h.carryOutLate(t, start)
	starts := h.cluster.Starts()
	waited := h.runUntilStart(40 * time.Second)
	t.Logf("started elsewhere %v after the order", h.now-sent)
	_ = waited
	t.Log(h.cluster.Violations())
	h.checkViolations()
	must.Eq(t, starts+1, h.cluster.Starts())
}

// TestRefusalOfRunBeforeCountsForNextRun: that the run before has refused the order counts for the next one, which has carried it out.
func TestRefusalOfRunBeforeCountsForNextRun(t *testing.T) {
	h := newStrayHarness(t)
	h.submit(firstID, fixedLength(100), nil, batchStep(1))
	sent := h.now
	late := h.loseOnlyStart()
	w := late.Worker.ID
	h.cluster.RefuseStarts(w, fleet.RefusedUnhealthy)
	h.run(11900 * time.Millisecond)
	h.cluster.Crash(w)
	h.now += 50 * time.Millisecond
	h.cluster.Boot(h.now, w)
	h.carryOutLate(t, late)
	h.run(1500 * time.Millisecond)
	must.Between(t, 13*time.Second, h.now-sent, 14*time.Second)
	h.syncWorkers() // the entry of the new run comes
	starts := h.cluster.Starts()
	h.runUntilStart(40 * time.Second)
	t.Logf("started elsewhere %v after the order", h.now-sent)
	t.Log(h.cluster.Violations())
	h.checkViolations()
	must.Eq(t, starts+1, h.cluster.Starts())
}

// TestLateStartIsCarriedOutBySecondNextRun: the first run after the order has refused it, the next one carries it out 5 s later.
func TestLateStartIsCarriedOutBySecondNextRun(t *testing.T) {
	h := newStrayHarness(t)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	sent := h.now
	late := h.loseOnlyStart()
	w := late.Worker.ID
	h.restartOne(w)
	h.syncWorkers()
	h.cluster.RefuseStarts(w, fleet.RefusedUnhealthy)
	h.run(2 * time.Second)
	t.Logf("running %d, %v after the order", h.cluster.Running(id), h.now-sent)
	h.cluster.RefuseStarts(w, 0)
	if h.cluster.Running(id) == 1 {
		must.Zero(t, h.cluster.AttemptOf(w, late.Order.Task))
		h.restartOne(w)
		h.carryOutLate(t, late)
	}
	h.run(5 * time.Second)
	t.Log(h.cluster.Violations())
	h.checkViolations()
}

// TestRepeatedStartCountsForRunBefore: the order was sent again to the run after a restart, and a run after that carries it out:
// the start counts as one for the run before.
func TestRepeatedStartCountsForRunBefore(t *testing.T) {
	h := newStrayHarness(t)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	first := h.beginOnlyStart()
	w := first.Worker.ID
	h.restartOne(w)
	h.syncWorkers()
	h.renewLeases(w)
	h.record()
	h.now += time.Millisecond
	h.renewLeases(w)
	h.shard.StartAnswered(h.now, first, fleet.Answer{}, platform.ErrOutcomeUnknown)
	sent := h.now
	again := h.beginOnlyStart()
	must.Eq(t, w, again.Worker.ID)
	must.True(t, again.Repeated)
	must.Greater(t, first.Run, again.Run)
	h.shard.StartAnswered(h.now, again, fleet.Answer{}, platform.ErrOutcomeUnknown)
	h.cluster.RefuseStarts(w, fleet.RefusedUnhealthy)
	h.run(2 * time.Second)
	h.cluster.RefuseStarts(w, 0)
	t.Logf("running %d, %v after the second order", h.cluster.Running(id), h.now-sent)
	if h.cluster.Running(id) == 1 {
		must.Zero(t, h.cluster.AttemptOf(w, first.Order.Task))
		h.restartOne(w)
		h.carryOutLate(t, again)
	}
	h.run(5 * time.Second)
	t.Log(h.cluster.Violations())
	h.checkViolations()
}

// TestStartUnderWayAtOrderlyEndIsNotRecorded: the last record of an owner that stops in order names no start that has no answer yet.
func TestStartUnderWayAtOrderlyEndIsNotRecorded(t *testing.T) {
	h := newStrayHarness(t)
	h.submit(firstID, fixedLength(100), nil, batchStep(1))
	start := h.beginOnlyStart()
	w := start.Worker.ID
	h.unregistered[w] = true
	h.cluster.Crash(w)
	h.now += 100 * time.Millisecond
	h.shard.Stopping(h.now)
	h.record()
	h.cluster.Boot(h.now, w)
	h.carryOutLate(t, start)
	h.takeOver(true)
	h.finish(h.cluster.Starts())
}

// TestStartFollowsContactThatWaited: the answer to the contact order has waited for this process and does not count, and the
// start is sent all the same.
func TestStartFollowsContactThatWaited(t *testing.T) {
	h := newStrayHarness(t)
	h.submit(firstID, fixedLength(100), nil, batchStep(1))
	a := h.shard.Plan(h.now, h.now.Milliseconds(), h.maxStarts)
	must.Len(t, 1, a.Starts)
	w := a.Starts[0].Worker.ID
	h.renewLeases(w) // and the next order waits for an end
	h.shard.RenewOrder(h.now, w)
	h.now += 150 * time.Millisecond
	sent := h.now
	must.True(t, h.shard.ContactDue(h.now, w, scheduler.MaxContactAge))
	_, order := h.shard.ContactOrder(w)
	lists, _ := h.cluster.Renew(h.now, w, order)
	h.now += 800 * time.Millisecond // suspended
	h.shard.ContactAnswered(h.now, sent, w, lists)
	must.True(t, h.shard.ContactDue(h.now, w, scheduler.MaxContactAge))
	start, wanted := h.shard.BeginStart(h.now, a.Starts[0])
	must.False(t, wanted && h.shard.StartCurrent(h.now, start))
}

// TestLateRenewalExtendsLateStart: a renewal that was sent after the start extends the lease of what the late start has begun.
func TestLateRenewalExtendsLateStart(t *testing.T) {
	h := newStrayHarness(t)
	h.submit(firstID, fixedLength(100), nil, batchStep(1))
	sent := h.now
	late := h.loseOnlyStart()
	w := late.Worker.ID
	h.cluster.RefuseStarts(w, fleet.RefusedUnhealthy)
	h.run(9 * time.Second)
	stray := h.holdUpLeases()[w]
	must.Positive(t, stray.order.LeaseEnd)
	h.cluster.Crash(w)
	h.now += 100 * time.Millisecond
	h.cluster.Boot(h.now, w)
	must.Less(t, 12*time.Second, h.now-sent)
	t.Logf("the renewal was sent %v and the start carried out %v after the order", stray.sent-sent, h.now-sent)
	h.carryOutLate(t, late)
	h.shard.RenewFailed(h.now, stray.sent, w)
	for h.now < stray.sent+9*time.Second {
		h.tick()
	}
	h.cluster.SetPartitioned(w, false)
	lists, _ := h.cluster.Renew(h.now, w, stray.order)
	must.Eq(t, fleet.Accepted, lists.Verdict)
	must.Eq(t, late.Order.Attempt, h.cluster.AttemptOf(w, late.Order.Task))
	h.cluster.SetPartitioned(w, true)
	starts := h.cluster.Starts()
	h.runUntilStart(40 * time.Second)
	t.Logf("started elsewhere %v after the order", h.now-sent)
	t.Log(h.cluster.Violations())
	h.checkViolations()
	must.Eq(t, starts+1, h.cluster.Starts())
}

// TestRefusedStartLeavesEarlierOneOpen: the worker has refused the first start order; the next attempt there is refused slowly,
// and nobody has the worker refuse the first order again, so that the task starts nowhere for 13 s.
func TestRefusedStartLeavesEarlierOneOpen(t *testing.T) {
	h := newStrayHarness(t)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	late := h.loseOnlyStart()
	w := late.Worker.ID
	h.cluster.RefuseStarts(w, fleet.RefusedUnhealthy)
	var next scheduler.StartAction
	for range 100 {
		h.now += tickInterval
		h.shard.LogRead(h.now)
		h.shard.OwnershipConfirmed(h.now)
		for _, other := range h.workerIDs() {
			h.renewLeases(other)
		}
		a := h.shard.Plan(h.now, h.now.Milliseconds(), h.maxStarts)
		for _, stop := range a.Stops {
			answer, answered := h.cluster.Stop(h.now, stop.Worker.ID, stop.Order)
			h.shard.StopAnswered(h.now, stop, answer, orderError(answered))
		}
		h.record()
		if len(a.Starts) > 0 {
			next, _ = h.shard.BeginStart(h.now, a.Starts[0])
			break
		}
	}
	must.Eq(t, w, next.Worker.ID)
	must.Greater(t, late.Order.Attempt, next.Order.Attempt)
	h.now += 160 * time.Millisecond
	h.shard.StartOverdue(h.now, next)
	h.shard.StartAnswered(h.now, next, fleet.Answer{Verdict: fleet.RefusedCapacity}, nil)
	h.cluster.RefuseStarts(w, 0)
	h.run(4 * time.Second)
	must.Eq(t, 1, h.cluster.Running(job.ID(id)))
}

// TestAcknowledgementReachesUnseenRun: an answer has told that the run may be another (event 7123), and the next renewal still
// acknowledges ends of the run before: the new one forgets an end that nobody has read. Nothing is late.
func TestAcknowledgementReachesUnseenRun(t *testing.T) {
	h := newHarness(t, 1)
	h.run(5 * time.Second)
	done := h.submit(firstID, fixedLength(0.2), nil, batchStep(3))
	h.run(2 * time.Second)
	must.Eq(t, job.Done, h.state(done))
	id := h.submit(secondID, fixedLength(0.1), nil, batchStep(1))
	start := h.beginOnlyStart()
	h.cluster.Crash("w00")
	h.now += 300 * time.Millisecond
	h.cluster.Boot(h.now, "w00")
	answer, _ := h.cluster.Start(h.now, "w00", start.Order)
	must.Eq(t, fleet.Accepted, answer.Verdict)
	h.shard.StartAnswered(h.now, start, answer, nil)
	h.now += 150 * time.Millisecond
	h.cluster.Advance(h.now)
	_, order, _ := h.shard.RenewOrder(h.now, "w00")
	t.Logf("acknowledges %d, lease end %v", order.Acknowledged, order.LeaseEnd)
	lists, _ := h.cluster.Renew(h.now, "w00", order)
	h.shard.RenewAnswered(h.now, h.now, "w00", lists)
	t.Logf("lists %+v", lists)
	starts := h.cluster.Starts()
	for range 10 {
		h.syncWorkers()
		h.run(time.Second)
		t.Logf("state %v, running %d, starts %d, attempt %d", h.state(id), h.cluster.Running(id), h.cluster.Starts()-starts, h.cluster.AttemptOf("w00", start.Order.Task))
	}
	t.Log(h.cluster.Violations())
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
}

// TestBoundTaskWaitsForWorkerWithoutRoom: one start order got no answer, its worker has refused it since and drains. The task waits
// though another worker is idle.
func TestBoundTaskWaitsForWorkerWithoutRoom(t *testing.T) {
	for _, how := range []string{"drains", "full", "evacuated"} {
		t.Run(how, func(t *testing.T) {
			h := newHarness(t, 6)
			h.run(5 * time.Second)
			id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
			sent := h.now
			w := h.loseOnlyStart().Worker.ID
			switch how {
			case "drains":
				h.cluster.SetDraining(w, true)
				h.syncWorkers()
			case "full":
				h.cluster.SetCapacity(h.now, w, platform.Resources{MilliCPU: 2000, MemoryMB: 128_000})
				h.syncWorkers()
			default:
				h.evacuate(h.cluster.Entry(w).Domain)
				h.cluster.SetEvacuated(w, true)
			}
			for h.cluster.Running(id) == 0 && h.now < sent+30*time.Second {
				h.tick()
				h.syncWorkers()
			}
			t.Logf("started %v after the order on %v", h.now-sent, h.workersOf(job.TaskRef{Job: id}))
			must.Less(t, 4*time.Second, h.now-sent)
		})
	}
}

// TestInheritedStartIsCarriedOutBySecondNextRun: as TestLateStartIsCarriedOutBySecondNextRun, with another owner meanwhile.
func TestInheritedStartIsCarriedOutBySecondNextRun(t *testing.T) {
	h := newStrayHarness(t)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	late := h.loseOnlyStart()
	w := late.Worker.ID
	h.record()
	must.Len(t, 1, h.enrolled[w].OpenStarts)
	h.restartOne(w)
	h.takeOver(true)
	h.cluster.RefuseStarts(w, fleet.RefusedUnhealthy)
	h.run(3 * time.Second)
	h.cluster.RefuseStarts(w, 0)
	t.Logf("running %d", h.cluster.Running(id))
	if h.cluster.Running(id) == 1 {
		must.Zero(t, h.cluster.AttemptOf(w, late.Order.Task))
		h.restartOne(w)
		h.carryOutLate(t, late)
	}
	h.run(5 * time.Second)
	t.Log(h.cluster.Violations())
	h.checkViolations()
}

// TestLateStartAfterReplacement: another worker has answered at the address, the first one comes back there and carries out the start.
func TestLateStartAfterReplacement(t *testing.T) {
	h := newStrayHarness(t)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	late := h.loseOnlyStart()
	w := late.Worker.ID
	h.cluster.Crash(w)
	h.shard.WorkerReplaced(h.now, w)
	h.run(time.Second)
	must.Eq(t, 1, h.cluster.Running(id))
	h.cluster.Boot(h.now, w)
	h.carryOutLate(t, late)
	t.Log(h.cluster.Violations())
	h.checkViolations()
}
