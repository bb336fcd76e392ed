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

// listOn passes a worker's lists to the shard.
func (h *harness) listOn(worker int, running []fleet.Running, ended []fleet.Ended) {
	id := platform.WorkerID(fmt.Sprintf("w%02d", worker))
	_, order, ok := h.shard.RenewOrder(h.now, id)
	must.True(h.t, ok)
	lists, _ := h.cluster.Renew(h.now, id, order)
	lists.Running, lists.Ended = running, ended
	h.shard.RenewAnswered(h.now, h.now, id, lists)
}

// timeOfEnds returns how long the shard takes for the end of a task of a cancelled job, whose tasks
// end in order and are listed a hundred at a time.
func timeOfEnds(t *testing.T, workers, perWorker int) time.Duration {
	const listed = 100
	tasks := workers * perWorker
	h := newHarness(t, workers)
	h.run(time.Second)
	id := h.submit(firstID, nil, nil, smallStep(tasks))
	running := make([][]fleet.Running, workers)
	ended := make([][]fleet.Ended, workers)
	for i := range tasks {
		w, ref := i%workers, job.TaskRef{Job: id, Index: i}
		running[w] = append(running[w], fleet.Running{Task: ref, Attempt: 1})
		ended[w] = append(ended[w], fleet.Ended{Number: uint64(len(ended[w]) + 1), Task: ref, Attempt: 1, Kind: fleet.EndStopped})
	}
	for w := range workers {
		h.listOn(w, running[w], nil)
	}
	h.shard.CancelJob(h.now, id)
	must.Len(t, tasks, h.shard.Plan(h.now, h.now.Milliseconds(), 0).Stops)
	h.record()
	must.Eq(t, job.Cancelled, h.state(id))
	started := time.Now()
	for first := 0; first < perWorker; first += listed {
		for w := range workers {
			h.listOn(w, nil, ended[w][first:first+listed])
		}
	}
	took := time.Since(started)
	_, held := h.shard.State(id)
	must.False(t, held)
	return took / time.Duration(tasks)
}

// mustNotTakeLongerEach checks that an end takes about as long in each of two situations.
func mustNotTakeLongerEach(t *testing.T, workers, perWorker, moreWorkers, morePerWorker int) {
	t.Helper()
	fastest := func(workers, perWorker int) time.Duration {
		return min(timeOfEnds(t, workers, perWorker), timeOfEnds(t, workers, perWorker))
	}
	few, many := fastest(workers, perWorker), fastest(moreWorkers, morePerWorker)
	must.Less(t, 6*few, many)
}

// TestEndsOfWideJobTakeLongerEach guards against answers of workers that wait since each end of a
// task takes time in proportion to the tasks of its job.
func TestEndsOfWideJobTakeLongerEach(t *testing.T) { mustNotTakeLongerEach(t, 8, 500, 100, 500) }

// TestEndsOnFullWorkerTakeLongerEach guards against the same in proportion to the tasks that run on
// the worker.
func TestEndsOnFullWorkerTakeLongerEach(t *testing.T) { mustNotTakeLongerEach(t, 16, 100, 1, 1600) }
