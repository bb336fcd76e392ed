package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

func gangStep(tasks int) job.Step {
	s := batchStep(tasks)
	s.Gang = true
	return s
}

func TestGangRunsTogether(t *testing.T) {
	h := newHarness(t, 4)
	id := h.submit(firstID, nil, nil, gangStep(6), dependsOn(0)(batchStep(2)))
	h.run(3 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, 8, h.cluster.Starts())
}

// TestGangWaitsForRoomForAllMembers: a partial gang would reserve resources without
// making progress.
func TestGangWaitsForRoomForAllMembers(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(firstID, fixedLength(2), nil, batchStep(10))
	h.tick()
	id := h.submit("00000000000000a2", nil, nil, gangStep(8))
	h.run(time.Second)
	must.Eq(t, 0, h.cluster.Running(id))
	h.run(3 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, 18, h.cluster.Starts())
}

// TestBrokenGangRestarts: after the loss of one member the others must be stopped.
func TestBrokenGangRestarts(t *testing.T) {
	h := newHarness(t, 3)
	id := h.submit(firstID, fixedLength(2), nil, gangStep(9))
	h.run(time.Second)
	h.cluster.Crash("w01")
	h.run(200 * time.Millisecond)
	h.cluster.Boot(h.now, "w01")
	h.syncWorkers()
	h.run(4 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, 18, h.cluster.Starts())
}

// TestGangFailsAsAWhole: failures of several members in one attempt count once.
func TestGangFailsAsAWhole(t *testing.T) {
	h := newHarness(t, 3)
	id := h.submit(firstID, fixedLength(0.3), func(_ job.TaskRef, n platform.Attempt) bool { return n <= 2 }, gangStep(4))
	h.run(5 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
}

func TestSameRackGangTakesOneRack(t *testing.T) {
	h := newHarness(t, 8)
	step := gangStep(12)
	step.SameRack = true
	id := h.submit(firstID, fixedLength(5), nil, step)
	h.run(time.Second)
	h.checkViolations()
	racks := map[platform.RackID]bool{}
	for i := range 8 {
		w := workerInfo(i)
		for index := range 12 {
			if h.cluster.AttemptOf(w.ID, job.TaskRef{Job: id, Index: index}) > 0 {
				racks[w.Rack] = true
			}
		}
	}
	must.MapLen(t, 1, racks)
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	h := newHarness(t, 2)
	s := &job.Submission{
		Queue: queueName, Service: service, MaxFailures: 3, Stretch: 2, TargetMS: 1000, AcceptedMS: h.now.Milliseconds(),
		Spec: job.Spec{
			Steps: []job.Step{batchStep(2)}, Occurrences: 3,
			FirstDueMS: (h.now + time.Second).Milliseconds(), IntervalMS: 2000,
		},
	}
	e := &job.Entry{ID: firstID, Submission: s}
	h.entries[e.ID] = e
	h.cluster.Job(e.ID, s, fixedLength(3), nil)
	h.shard.AddJob(h.now, *e)
	for _, want := range []int{0, 2, 2, 4, 4, 6, 6} {
		h.run(500 * time.Millisecond)
		h.cluster.Advance(h.now)
		must.Eq(t, want, h.cluster.Starts())
		h.run(500 * time.Millisecond)
	}
	// A new owner continues from the state in the log.
	h.takeOver(false)
	h.run(6 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(firstID))
	must.Eq(t, 6, h.cluster.Starts())
}

// TestGangResumesFromDifferentCheckpoints: after the loss of a member's worker and a change of owners
// that member began anew, while the others resumed from the checkpoint at which they had ended.
func TestGangResumesFromDifferentCheckpoints(t *testing.T) {
	for lost := range 3 {
		h := newHarness(t, 4)
		step := gangStep(3)
		step.MaxPerWorker = 1
		id := h.submit(firstID, fixedLength(8), nil, step)
		h.run(3 * time.Second)
		must.Eq(t, 3, h.cluster.Running(id))
		h.maxStarts = 0
		for i := range 4 {
			if w := workerInfo(i).ID; h.cluster.AttemptOf(w, job.TaskRef{Job: id, Index: lost}) > 0 {
				h.cluster.Crash(w)
				h.run(200 * time.Millisecond)
				h.cluster.Boot(h.now, w)
				break
			}
		}
		h.run(time.Second)
		must.MapLen(t, 2, h.log[id].Checkpoints)
		h.takeOver(true)
		h.maxStarts = unlimitedStarts
		h.run(30 * time.Second)
		h.checkViolations()
		must.Eq(t, job.Done, h.state(id))
	}
}
