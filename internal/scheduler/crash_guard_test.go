package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// crashFor takes workers down at once and boots them after a time.
func (h *harness) crashFor(d time.Duration, ids ...platform.WorkerID) {
	for _, id := range ids {
		h.cluster.Crash(id)
	}
	h.run(d)
	for _, id := range ids {
		h.cluster.Boot(h.now, id)
	}
	h.syncWorkers()
}

// workersOf returns the workers on which a task of a job runs.
func (h *harness) workersOf(ref job.TaskRef) []platform.WorkerID {
	var ids []platform.WorkerID
	for _, w := range h.cluster.Entries() {
		if h.cluster.AttemptOf(w.ID, ref) != 0 {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// TestRackFailuresDoNotFailJobs guards against jobs that are given up because whole racks
// lost power under them, each rack at one moment.
func TestRackFailuresDoNotFailJobs(t *testing.T) {
	h := newHarness(t, 16)
	h.run(500 * time.Millisecond)
	var ids []job.ID
	for i := range 24 {
		ids = append(ids, h.submit(fmt.Sprintf("%016x", i+1), fixedLength(6), nil, batchStep(4)))
	}
	h.run(time.Second)
	for round := range 8 {
		var rack []platform.WorkerID
		for i := range 4 {
			rack = append(rack, workerInfo(round%4*4+i).ID)
		}
		h.crashFor(1500*time.Millisecond, rack...)
	}
	h.run(settleTime)
	h.checkViolations()
	twice := 0
	for _, id := range ids {
		must.Eq(t, job.Done, h.state(id), must.Sprintf("job %s", id))
		for index := range 4 {
			if h.cluster.CrashesUnder(job.TaskRef{Job: id, Index: index}) > 1 {
				twice++
			}
		}
	}
	must.Positive(t, twice, must.Sprint("no task ran on two workers that crashed"))
}

// TestUnacceptedStartsAreNoCrashes guards against a job that is given up because workers
// crashed before its start orders reached them.
func TestUnacceptedStartsAreNoCrashes(t *testing.T) {
	h := newHarness(t, 4)
	h.run(500 * time.Millisecond)
	id := h.submit(firstID, nil, nil, batchStep(2))
	for range 40 {
		h.now += tickInterval
		h.cluster.Advance(h.now)
		h.shard.LogRead(h.now)
		for i := range 4 {
			h.renewLeases(workerInfo(i).ID)
		}
		for i := range 4 {
			h.cluster.Crash(workerInfo(i).ID)
		}
		h.plan()
		h.record()
		for i := range 4 {
			h.cluster.Boot(h.now, workerInfo(i).ID)
		}
		h.syncWorkers()
	}
	must.False(t, h.cluster.Started(id))
	h.run(settleTime)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
}

// TestCrashesLongAfterStartDoNotFailJob guards against a job that is given up because its
// workers crashed when its task had worked on them for seconds.
func TestCrashesLongAfterStartDoNotFailJob(t *testing.T) {
	h := newHarness(t, 6)
	h.run(500 * time.Millisecond)
	id := h.submit(firstID, fixedLength(8), nil, batchStep(1))
	for range 2 {
		h.run(3 * time.Second)
		ids := h.workersOf(job.TaskRef{Job: id})
		must.SliceLen(t, 1, ids)
		h.crashFor(time.Second, ids...)
	}
	must.Eq(t, 2, h.cluster.CrashesUnder(job.TaskRef{Job: id}))
	h.run(settleTime)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
}
