package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// runToEnd runs until a job is over and returns the note on its end.
func (h *harness) runToEnd(id job.ID, limit time.Duration) scheduler.JobEndedNote {
	h.t.Helper()
	for end := h.now + limit; h.now < end; {
		h.tick()
		for _, note := range h.shard.TakeNotes().JobsEnded {
			if note.Job == id {
				return note
			}
		}
	}
	h.t.Fatalf("job %s is not over after %v", id, limit)
	return scheduler.JobEndedNote{}
}

// TestJobStatsTellWaits: lines about single tasks are bounded, so those of a large job did not
// tell how long its tasks had waited.
func TestJobStatsTellWaits(t *testing.T) {
	h := newHarness(t, 1)
	step := batchStep(3)
	step.Size.MilliCPU = workerInfo(0).Capacity.MilliCPU
	note := h.runToEnd(h.submit(firstID, nil, nil, step), 10*time.Second)
	must.Eq(t, 3, note.Tasks)
	must.Eq(t, 3, note.Starts)
	must.LessEq(t, 2*tickInterval, note.FirstStart)
	must.Between(t, 2*time.Second, note.LongestWait, 2*time.Second+10*tickInterval)
	must.Zero(t, note.Stops)
}

// TestJobStatsTellStops stops a task after 2 s because its worker is cordoned. The stop of the attempts
// that are left when a job is cancelled does not count.
func TestJobStatsTellStops(t *testing.T) {
	h := newHarness(t, 2)
	id := h.submit(firstID, fixedLength(20), nil, batchStep(1))
	h.run(2 * time.Second)
	worker := 0
	if h.runningOn(1) > 0 {
		worker = 1
	}
	h.shard.SetCordoned([]platform.WorkerID{workerInfo(worker).ID})
	h.run(2 * time.Second)
	h.shard.CancelJob(h.now, id)
	note := h.runToEnd(id, 5*time.Second)
	must.Eq(t, job.Cancelled, note.State)
	must.Eq(t, 2, note.Starts)
	must.Eq(t, 1, note.Stops)
	must.Between(t, 1900*time.Millisecond, note.StoppedRan, 2500*time.Millisecond+bounds.StopGrace)
}
