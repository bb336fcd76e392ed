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

// smallStep is a step of tasks of which a worker has room for 1,600.
func smallStep(tasks int) job.Step {
	return job.Step{Tasks: tasks, Size: platform.Resources{MilliCPU: 20, MemoryMB: 75}, EstimateMS: 3000}
}

// behindList is a number of ends that are listed in two parts, behindTwo in three.
const (
	behindList = fleet.MaxListedEnds + 60
	behindTwo  = 2*fleet.MaxListedEnds + 60
)

// endBehindList lets a number of tasks end on each worker while nothing can be recorded, and
// returns their job and how many they are.
func endBehindList(t *testing.T, h *harness, perWorker int) (job.ID, int) {
	tasks := perWorker * h.workers
	id := h.submit(firstID, fixedLength(3), nil, smallStep(tasks))
	h.run(time.Second)
	must.Eq(t, tasks, h.cluster.Starts())
	h.recordingPaused = true
	h.run(4 * time.Second)
	must.Zero(t, h.cluster.Running(id))
	return id, tasks
}

// TestEndsBehindListAreNotLost: tasks whose ends lay behind the first 500 that a worker lists
// were taken for lost and started again, although they had ended as done.
func TestEndsBehindListAreNotLost(t *testing.T) {
	h := newHarness(t, 1)
	id, tasks := endBehindList(t, h, behindList)
	must.Eq(t, tasks, h.cluster.Starts())
	h.recordingPaused = false
	h.run(5 * tickInterval)
	must.Eq(t, job.Done, h.state(id), must.Sprint("the lists are read on once ends can be recorded"))
	h.run(5 * time.Second)
	must.Eq(t, tasks, h.cluster.Starts())
	h.checkViolations()
}

// TestEndsBehindListAreNotLostByNextOwner: a new owner took the first 500 ends of a worker for
// all, and started tasks again that had ended as done behind them.
func TestEndsBehindListAreNotLostByNextOwner(t *testing.T) {
	h := newHarness(t, 1)
	id, tasks := endBehindList(t, h, behindTwo)
	h.takeOver(false)
	h.run(time.Second)
	must.Eq(t, tasks, h.cluster.Starts())
	h.recordingPaused = false
	h.run(5 * time.Second)
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, tasks, h.cluster.Starts())
	h.checkViolations()
}

// TestRecordOfSilentWorkerWaitsForItsList: a worker fell silent before its owner had read its
// list to the end. The owner recorded that only the attempts that it knew might be there, and
// the next one started those again that had ended as done behind the list.
func TestRecordOfSilentWorkerWaitsForItsList(t *testing.T) {
	h := newHarness(t, 2)
	id, tasks := endBehindList(t, h, behindList)
	h.takeOver(false)
	h.run(tickInterval)
	h.recordingPaused = false
	h.record()
	h.cluster.SetPartitioned("w00", true)
	h.run(600 * time.Millisecond)
	h.takeOver(false)
	h.run(600 * time.Millisecond)
	must.Eq(t, tasks, h.cluster.Starts())
	h.cluster.SetPartitioned("w00", false)
	h.run(5 * time.Second)
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, tasks, h.cluster.Starts())
	h.checkViolations()
}

// TestTasksBehindListEndWithTheirWorker guards against tasks that wait without end for a list
// that goes on: their worker restarts, or falls silent until its leases have expired.
func TestTasksBehindListEndWithTheirWorker(t *testing.T) {
	for name, lose := range map[string]func(h *harness){
		"restarted": func(h *harness) { h.crashFor(tickInterval, "w00") },
		"silent":    func(h *harness) { h.cluster.SetPartitioned("w00", true) },
	} {
		for _, takenOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, taken over %v", name, takenOver), func(t *testing.T) {
				h := newHarness(t, 2)
				id, _ := endBehindList(t, h, behindList)
				if takenOver {
					h.takeOver(false)
					h.run(time.Second)
				}
				lose(h)
				h.run(time.Second)
				h.recordingPaused = false
				h.run(20 * time.Second)
				must.Eq(t, job.Done, h.state(id))
				h.checkViolations()
			})
		}
	}
}

// TestTasksBehindListDoNotStandStill: tasks whose ends were not listed for seconds would count as
// standing still, so that their worker is set aside, or as running for that much longer.
func TestTasksBehindListDoNotStandStill(t *testing.T) {
	h := newHarness(t, 1)
	_, tasks := endBehindList(t, h, behindList)
	h.run(4 * time.Second)
	h.recordingPaused = false
	h.run(time.Second)
	notes := h.shard.TakeNotes()
	must.SliceEmpty(t, notes.SetAside)
	must.SliceEmpty(t, notes.Stopped)
	must.Len(t, tasks, notes.Ended)
	for _, note := range notes.Ended {
		must.Less(t, 4*time.Second, note.Ran)
	}
}

// TestTasksBehindListHaveNoPartInCrash: tasks that had ended, behind the list, before their worker
// crashed would count as possible causes of the crash.
func TestTasksBehindListHaveNoPartInCrash(t *testing.T) {
	h := newHarness(t, 1)
	id, _ := endBehindList(t, h, behindList)
	h.crashFor(time.Second, "w00")
	h.recordingPaused = false
	h.run(10 * time.Second)
	must.SliceEmpty(t, h.shard.TakeNotes().Crashes)
	must.Eq(t, job.Done, h.state(id))
	h.checkViolations()
}

// TestTaskBehindEndlessListIsStartedAgain: a worker lists 500 ends each time, without end. A
// task that it has lost starts again once it lists the end of an attempt that was still running
// when the lost one was not.
func TestTaskBehindEndlessListIsStartedAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.run(200 * time.Millisecond)
	id := h.submit(firstID, nil, nil, smallStep(2))
	var starts []scheduler.StartAction
	plan := func() {
		h.now += tickInterval
		for _, planned := range h.shard.Plan(h.now, h.now.Milliseconds(), unlimitedStarts).Starts {
			start, wanted := h.shard.BeginStart(h.now, planned)
			must.True(t, wanted)
			h.shard.StartAnswered(h.now, start, fleet.Answer{Verdict: fleet.Accepted}, nil)
			starts = append(starts, start)
		}
	}
	plan()
	must.Len(t, 2, starts)
	other := starts[1].Order
	number := uint64(0)
	// answer passes lists of 500 ends of a job that has ended and what follows.
	answer := func(running []fleet.Running, last ...fleet.Ended) {
		h.now += tickInterval
		lists := fleet.RenewReply{Verdict: fleet.Accepted, Clock: platform.WorkerTime(h.now), Started: 1, Running: running}
		for range fleet.MaxListedEnds - len(last) {
			number++
			lists.Ended = append(lists.Ended, fleet.Ended{Number: number, Task: job.TaskRef{Job: secondID}, Attempt: 1, Kind: fleet.EndDone})
		}
		for _, e := range last {
			number++
			e.Number = number
			lists.Ended = append(lists.Ended, e)
		}
		h.shard.LogRead(h.now)
		h.shard.OwnershipConfirmed(h.now)
		h.shard.RenewAnswered(h.now, h.now, "w00", lists)
		h.record()
		plan()
	}
	for range 10 {
		answer([]fleet.Running{{Task: other.Task, Attempt: other.Attempt}})
	}
	must.Len(t, 2, starts, must.Sprint("the end of the first task may be listed later"))
	answer(nil, fleet.Ended{Task: other.Task, Attempt: other.Attempt, Kind: fleet.EndDone})
	must.Len(t, 3, starts)
	must.Eq(t, job.TaskRef{Job: id, Index: 1 - other.Task.Index}, starts[2].Order.Task)
}

// TestRecordOfSilentWorkerWaitsForHeldEnds: an owner held the end of a task whose job it had yet
// to read. Its worker fell silent, and the record of what may be running there did not name that
// task, so that the next owner started it again although it had ended as done.
func TestRecordOfSilentWorkerWaitsForHeldEnds(t *testing.T) {
	h := newHarness(t, 6)
	h.run(200 * time.Millisecond)
	h.cordonAllBut("w00")
	id := h.submit(firstID, nil, nil, batchStep(1))
	h.run(400 * time.Millisecond)
	must.Eq(t, 1, h.cluster.StartsOn("w00"))
	h.recordingPaused = true
	h.run(time.Second)
	must.Zero(t, h.cluster.Running(id))
	unread := h.entries[id]
	delete(h.entries, id)
	h.takeOver(false)
	h.recordingPaused, h.readingPaused = false, true
	h.run(400 * time.Millisecond)
	h.cluster.SetPartitioned("w00", true)
	h.shard.OwnershipConfirmed(h.now)
	h.run(500 * time.Millisecond)
	h.entries[id], h.readingPaused = unread, false
	h.takeOver(false)
	h.run(500 * time.Millisecond)
	must.Eq(t, 1, h.cluster.Starts())
	h.cluster.SetPartitioned("w00", false)
	h.run(time.Second)
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, 1, h.cluster.Starts())
	h.checkViolations()
}
