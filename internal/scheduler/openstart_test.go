package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestNextOwnerDoesNotKnowOfStartWithoutAnswer: a run that its owner never saw had carried out a start order without
// an answer, and the next owner waited for the leases of the run before only.
func TestNextOwnerDoesNotKnowOfStartWithoutAnswer(t *testing.T) {
	for _, noticed := range []string{"overdue", "given up", "given up, worker closed"} {
		t.Run(noticed, func(t *testing.T) {
			h := newStrayHarness(t)
			h.submit(firstID, fixedLength(100), nil, batchStep(1))
			start := h.beginOnlyStart()
			w := start.Worker.ID
			h.unregistered[w] = true
			h.restartOne(w)
			answer, _ := h.cluster.Start(h.now, w, start.Order)
			must.Eq(t, fleet.Accepted, answer.Verdict)
			h.cluster.SetPartitioned(w, true)
			switch noticed {
			case "overdue":
				h.shard.StartOverdue(h.now, start)
				h.record()
			case "given up":
				h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
				h.record()
			default:
				h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
				h.run(time.Second)
				must.True(t, h.enrolled[w].Closed)
			}
			h.replaceKilledOwner()
			h.finish(h.cluster.Starts())
		})
	}
}

// TestLateStartReachesNextRunUnderNextOwner: the run before would have refused the start of an earlier owner, and the
// task ran twice at a time.
func TestLateStartReachesNextRunUnderNextOwner(t *testing.T) {
	h := newStrayHarness(t)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	late := h.beginOnlyStart()
	w := late.Worker.ID
	h.shard.StartAnswered(h.now, late, fleet.Answer{}, platform.ErrOutcomeUnknown)
	h.record()
	h.takeOver(false)
	h.cluster.RefuseStarts(w, fleet.RefusedUnhealthy)
	h.run(5 * time.Second)
	h.cluster.RefuseStarts(w, 0)
	must.Zero(t, h.cluster.AttemptOf(w, late.Order.Task))
	h.cluster.Crash(w)
	h.cluster.Boot(h.now, w)
	h.now += 100 * time.Millisecond
	_, answered := h.cluster.Start(h.now, w, late.Order)
	must.True(t, answered)
	h.run(5 * time.Second)
	h.checkViolations()
	must.Eq(t, 1, h.cluster.Running(id))
}

// TestAnsweredStartsDelayNoTakeover: a start that was answered late, or whose worker has answered since, kept its task
// waiting under the next owner as if it might still be carried out.
func TestAnsweredStartsDelayNoTakeover(t *testing.T) {
	for _, settled := range []string{"answered", "listed", "expired"} {
		t.Run(settled, func(t *testing.T) {
			h := newStrayHarness(t)
			id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
			start := h.beginOnlyStart()
			h.shard.StartOverdue(h.now, start)
			h.record()
			must.Len(t, 1, h.enrolled[start.Worker.ID].OpenStarts)
			answer, _ := h.cluster.Start(h.now, start.Worker.ID, start.Order)
			switch settled {
			case "answered":
				h.shard.StartAnswered(h.now, start, answer, nil)
			case "listed":
				h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
				h.renewLeases(start.Worker.ID)
			default:
				h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
				h.run(14 * time.Second)
			}
			h.run(300 * time.Millisecond)
			must.Eq(t, 1, h.cluster.Running(id))
			must.SliceEmpty(t, h.enrolled[start.Worker.ID].OpenStarts)
			h.cluster.SetPartitioned(start.Worker.ID, true)
			h.replaceKilledOwner()
			must.Between(t, 5*time.Second, h.runUntilStart(20*time.Second), 6*time.Second)
			h.checkViolations()
		})
	}
}

// TestTasksBesideStartWithoutAnswerWait: a start without an answer kept all tasks of a lost worker waiting as long as
// its own.
func TestTasksBesideStartWithoutAnswerWait(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner replaced %v", replaced), func(t *testing.T) {
			h := newHarness(t, 1)
			h.run(20 * time.Second)
			beside := h.submit(firstID, fixedLength(100), nil, batchStep(3))
			h.run(time.Second)
			must.Eq(t, 3, h.cluster.Running(beside))
			waits := h.submit(secondID, fixedLength(100), nil, batchStep(1))
			start := h.beginOnlyStart()
			h.cluster.Crash("w00")
			h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
			h.cluster.AddWorker(h.now, workerInfo(1))
			h.syncWorkers()
			h.run(time.Second)
			if replaced {
				h.takeOver(true)
			}
			h.run(7 * time.Second)
			must.Eq(t, 3, h.cluster.Running(beside))
			must.Zero(t, h.cluster.Running(waits))
			h.run(18 * time.Second)
			must.Eq(t, 1, h.cluster.Running(waits))
			h.checkViolations()
		})
	}
}

// TestRecordOfEarlierVersionHasNoOpenStarts: the field is new, and both versions have to read each other's records.
func TestRecordOfEarlierVersionHasNoOpenStarts(t *testing.T) {
	h := newHarness(t, 1)
	h.run(time.Second)
	h.submit(firstID, fixedLength(100), nil, batchStep(1))
	start := h.beginOnlyStart()
	h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
	h.record()
	e := h.enrolled["w00"]
	must.Len(t, 1, e.OpenStarts)
	must.Eq(t, job.OpenStart{Task: start.Order.Task, Attempt: start.Order.Attempt, Left: e.OpenStarts[0].Left}, e.OpenStarts[0])
	must.Between(t, 23*time.Second, e.OpenStarts[0].Left, 24*time.Second)
}
