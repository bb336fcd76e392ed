package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// longestDelay is how long after its call an order may still be carried out.
const longestDelay = 12 * time.Second

// TestLateAcknowledgementForgetsEndsOfNextRun: ends that nobody had listed were forgotten, and their tasks ran again.
func TestLateAcknowledgementForgetsEndsOfNextRun(t *testing.T) {
	h := newHarness(t, 1)
	first := h.submit(firstID, fixedLength(0.2), nil, batchStep(4))
	for h.state(first) != job.Done && h.now < 2*time.Minute {
		h.tick()
	}
	sent := h.now
	_, late, _ := h.shard.RenewOrder(sent, "w00")
	must.Positive(t, late.Acknowledged)
	h.shard.RenewFailed(sent, sent, "w00")
	h.restartWorker()
	h.syncWorkers()
	starts := h.cluster.Starts()
	second := h.submit(secondID, fixedLength(0.2), nil, batchStep(2))
	for h.cluster.Running(second) < 2 && h.now < sent+longestDelay {
		h.tick()
	}
	if h.cluster.Running(second) == 2 {
		h.now += 300 * time.Millisecond
		_, answered := h.cluster.Renew(h.now, "w00", late)
		must.True(t, answered)
	}
	h.run(5 * time.Second)
	h.checkViolations()
	must.Eq(t, starts+2, h.cluster.Starts())
	must.Eq(t, job.Done, h.state(second))
}

// TestLateStartIsCarriedOutByNextRun: the run before would have refused the start, and the task ran twice at a time.
func TestLateStartIsCarriedOutByNextRun(t *testing.T) {
	cases := map[string]func(h *harness){
		"same owner": func(*harness) {},
		"next owner": func(h *harness) { h.takeOver(false) },
	}
	for name, happen := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.run(5 * time.Second)
			id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
			sent := h.now
			late := h.beginOnlyStart()
			h.shard.StartAnswered(h.now, late, fleet.Answer{}, platform.ErrOutcomeUnknown)
			again := h.beginOnlyStart()
			h.shard.StartAnswered(h.now, again, fleet.Answer{}, platform.ErrOutcomeUnknown)
			happen(h)
			worker := late.Worker.ID
			h.cluster.RefuseStarts(worker, fleet.RefusedUnhealthy)
			for h.cluster.Running(id) == 0 && h.now < sent+longestDelay {
				h.tick()
			}
			h.cluster.RefuseStarts(worker, 0)
			if h.cluster.Running(id) == 1 {
				must.Zero(t, h.cluster.AttemptOf(worker, late.Order.Task))
				h.cluster.Crash(worker)
				h.cluster.Boot(h.now, worker)
				h.now += 100 * time.Millisecond
				_, answered := h.cluster.Start(h.now, worker, late.Order)
				must.True(t, answered)
			}
			h.run(5 * time.Second)
			h.checkViolations()
			must.Eq(t, 1, h.cluster.Running(id))
		})
	}
}

// TestLateStopEndsNothingOfNextRun: orders to stop and throttle an attempt reached the task's next attempt.
func TestLateStopEndsNothingOfNextRun(t *testing.T) {
	h := newHarness(t, 1)
	h.run(5 * time.Second)
	id := h.submit(firstID, fixedLength(3), nil, batchStep(1))
	h.run(time.Second)
	task := job.TaskRef{Job: id}
	before := h.cluster.AttemptOf("w00", task)
	must.Positive(t, before)
	h.restartWorker()
	h.syncWorkers()
	h.run(time.Second)
	next := h.cluster.AttemptOf("w00", task)
	must.Greater(t, before, next)
	_, answered := h.cluster.Stop(h.now, "w00", fleet.StopOrder{Task: task, Attempt: before, Token: platform.Epoch(h.claim)})
	must.True(t, answered)
	_, answered = h.cluster.Throttle(h.now, "w00", fleet.ThrottleOrder{Task: task, Attempt: before, Token: platform.Epoch(h.claim)})
	must.True(t, answered)
	h.run(time.Second)
	must.Eq(t, next, h.cluster.AttemptOf("w00", task))
	h.run(5 * time.Second)
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, 2, h.cluster.Starts())
	h.checkViolations()
}
