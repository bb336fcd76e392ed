package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
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

// TestOwnersOfTwoVersionsReadEachOthersOpenStarts: a record with open starts is unreadable for the version before, or one
// without them for this one.
func TestOwnersOfTwoVersionsReadEachOthersOpenStarts(t *testing.T) {
	type earlierEnrollment struct {
		Worker      platform.WorkerID    `cbor:"1,keyasint"`
		Addr        string               `cbor:"2,keyasint"`
		Service     platform.ServiceName `cbor:"3,keyasint"`
		Capacity    platform.Resources   `cbor:"4,keyasint"`
		Claim       uint32               `cbor:"5,keyasint"`
		Run         int64                `cbor:"6,keyasint"`
		Lost        []job.LostAttempt    `cbor:"7,keyasint,omitempty"`
		Closed      bool                 `cbor:"8,keyasint,omitempty"`
		MayRun      job.TaskSet          `cbor:"9,keyasint,omitempty"`
		StrayLeases time.Duration        `cbor:"10,keyasint,omitempty"`
	}
	h := newHarness(t, 1)
	h.run(time.Second)
	h.submit(firstID, fixedLength(100), nil, batchStep(1))
	start := h.beginOnlyStart()
	h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
	h.record()
	written := h.enrolled["w00"]
	must.Len(t, 1, written.OpenStarts)
	must.Eq(t, start.Order.Task, written.OpenStarts[0].Task)
	must.Between(t, 23*time.Second, written.OpenStarts[0].Left, 24*time.Second)

	record, err := job.EnrollmentRecord(written)
	must.NoError(t, err)
	var earlier earlierEnrollment
	must.NoError(t, cbor.Unmarshal(record.Value, &earlier))
	must.Eq(t, written.Run, earlier.Run)
	must.Eq(t, written.StrayLeases, earlier.StrayLeases)

	record.Value, err = cbor.Marshal(earlier)
	must.NoError(t, err)
	table := job.NewTable()
	_, err = table.Apply(store.Page{Records: []store.StoredRecord{{Record: record}}}, h.now)
	must.NoError(t, err)
	must.Len(t, 1, table.Workers())
	must.SliceEmpty(t, table.Workers()[0].OpenStarts)
	h.enrolled["w00"] = table.Workers()[0]
	h.takeOver(true)
	must.Less(t, 7*time.Second, h.runUntilStart(30*time.Second))
	h.checkViolations()
}

// TestNextOwnerDoesNotKnowOfAnswerOfUnseenRun: a run that its owner never saw had answered a start order, and the owner ended
// before the worker's record was written for another reason.
func TestNextOwnerDoesNotKnowOfAnswerOfUnseenRun(t *testing.T) {
	h := newStrayHarness(t)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	start := h.beginOnlyStart()
	w := start.Worker.ID
	h.unregistered[w] = true
	h.restartOne(w)
	answer, _ := h.cluster.Start(h.now, w, start.Order)
	must.Eq(t, fleet.Accepted, answer.Verdict)
	h.shard.StartAnswered(h.now, start, answer, nil)
	h.record()
	h.cluster.SetPartitioned(w, true)
	h.replaceKilledOwner()
	must.Eq(t, 1, h.cluster.Running(id))
	h.finish(h.cluster.Starts())
}
