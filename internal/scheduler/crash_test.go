package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/cluster"
)

const (
	// crashingID is the job whose tasks crash workers.
	crashingID = "00000000000000c0"
	// maxCrashDelay bounds the time from a crashing task's start until its worker crashes.
	maxCrashDelay = 300 * time.Millisecond
	// maxCrashesPerTask is the number of crashes under a task after which it may hardly be
	// started any more.
	maxCrashesPerTask = 3
	// crashSeeds is the number of seeds of each test that draws random numbers.
	crashSeeds = 12
	// settleTime is how long jobs may take to end after the last disturbance.
	settleTime = 40 * time.Second
)

// firstTask is a job's first task.
func firstTask(ref job.TaskRef) bool { return ref.Step == 0 && ref.Index == 0 }

// everyTask makes all tasks crash their workers.
func everyTask(job.TaskRef) bool { return true }

// crashDay is a harness with a job that crashes its workers among ordinary ones.
type crashDay struct {
	*harness
	random   *rand.Rand
	crashing job.ID
	ordinary []job.ID
}

// newCrashDay returns 16 workers with ordinary jobs and, started a little later, a job of
// one step whose tasks crash their workers where crashes says so, up to maxCrashDelay after
// their start. answersLost is the share of start orders of crashing tasks whose answer is
// lost.
func newCrashDay(t *testing.T, seed uint64, answersLost float64, crashes func(job.TaskRef) bool, step job.Step) *crashDay {
	d := &crashDay{harness: newHarness(t, 16), random: rand.New(rand.NewPCG(seed, 0))}
	d.run(500 * time.Millisecond)
	d.submitOrdinary(6)
	d.run(500 * time.Millisecond)
	d.crashing = d.submit(crashingID, fixedLength(1.5), nil, step)
	draw := func(ref job.TaskRef, n platform.Attempt, salt uint64) float64 {
		return rand.New(rand.NewPCG(seed<<8+salt, uint64(n)<<16+uint64(ref.Index))).Float64()
	}
	d.cluster.CrashWorkersOf(d.crashing, cluster.Crashing{
		Tasks: crashes,
		After: func(ref job.TaskRef, n platform.Attempt) time.Duration {
			return time.Duration(draw(ref, n, 1) * float64(maxCrashDelay))
		},
		AnswerLost: func(ref job.TaskRef, n platform.Attempt) bool { return draw(ref, n, 2) < answersLost },
		DownFor:    time.Second + time.Duration(d.random.Int64N(int64(3*time.Second))),
	})
	d.submitOrdinary(6)
	return d
}

// submitOrdinary submits jobs of four tasks, each of which takes 1 to 4 s.
func (d *crashDay) submitOrdinary(count int) {
	for range count {
		id := fmt.Sprintf("%016x", 0x1000+len(d.ordinary))
		d.ordinary = append(d.ordinary, d.submit(id, fixedLength(1+3*d.random.Float64()), nil, batchStep(4)))
	}
}

// runRandomly runs for up to d, at least a tick.
func (d *crashDay) runRandomly(limit time.Duration) {
	d.run(tickInterval + time.Duration(d.random.Int64N(int64(limit))))
	d.syncWorkers()
}

// settle runs until all jobs have had time to end and checks the outcome: no rule is
// violated, the crashing job has failed, and all others are done.
func (d *crashDay) settle(t *testing.T, seed uint64) {
	t.Helper()
	d.run(settleTime)
	d.checkViolations()
	must.Eq(t, job.Failed, d.state(d.crashing), must.Sprintf("seed %d", seed))
	must.True(t, d.cluster.MayFail(d.crashing), must.Sprintf("seed %d", seed))
	for _, id := range d.ordinary {
		must.Eq(t, job.Done, d.state(id), must.Sprintf("seed %d, ordinary job %s", seed, id))
	}
}

// TestTaskThatCrashesItsWorkersIsGivenUp: a task that crashed each worker that started it
// was started without end, and took other tasks down with its workers.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	cases := map[string]struct {
		crashes func(job.TaskRef) bool
		tasks   int
		step    job.Step
		lost    float64
	}{
		"one task":                          {firstTask, 1, batchStep(6), 0},
		"one task, answers lost":            {firstTask, 1, batchStep(6), 0.3},
		"all tasks":                         {everyTask, 6, batchStep(6), 0},
		"all tasks, answers lost":           {everyTask, 6, batchStep(6), 0.3},
		"long-running":                      {firstTask, 1, longRunningTasks(3), 0},
		"long-running, answers lost":        {firstTask, 1, longRunningTasks(3), 0.3},
		"gang member":                       {firstTask, 1, gangStep(4), 0},
		"gang member, answers lost":         {firstTask, 1, gangStep(4), 0.3},
		"at most one per worker":            {firstTask, 1, maxOnePerWorker(batchStep(6)), 0},
		"all tasks, at most one per worker": {everyTask, 6, maxOnePerWorker(batchStep(6)), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(crashSeeds) {
				d := newCrashDay(t, seed, c.lost, c.crashes, c.step)
				d.settle(t, seed)
				must.LessEq(t, maxCrashesPerTask*c.tasks, d.cluster.CrashesCaused(), must.Sprintf("seed %d", seed))
			}
		})
	}
}

func longRunningTasks(count int) job.Step {
	s := longRunningStep()
	s.Tasks = count
	return s
}

func maxOnePerWorker(s job.Step) job.Step {
	s.MaxPerWorker = 1
	return s
}

// TestCrashesAreCountedAcrossOwners: an owner knew nothing of the workers that had crashed
// under a task before it took over, and the task was started without end.
func TestCrashesAreCountedAcrossOwners(t *testing.T) {
	cases := map[string]func(d *crashDay){
		"owner replaced":  func(d *crashDay) { d.takeOver(false) },
		"owner released":  func(d *crashDay) { d.takeOver(true) },
		"quorum unknown":  func(d *crashDay) { d.quorumAt = 0; d.takeOver(false) },
		"workers cut off": func(d *crashDay) { d.takeOverBehindPartition() },
	}
	for name, replace := range cases {
		for _, step := range []job.Step{batchStep(6), longRunningTasks(3), gangStep(4)} {
			t.Run(fmt.Sprintf("%s, long-running %t, gang %t", name, step.LongRunning, step.Gang), func(t *testing.T) {
				for seed := range uint64(crashSeeds) {
					d := newCrashDay(t, seed, 0.3, firstTask, step)
					for range 8 {
						d.runRandomly(3 * time.Second)
						replace(d)
					}
					d.settle(t, seed)
				}
			})
		}
	}
}

// takeOverBehindPartition replaces the owner while a random worker is partitioned for a
// second.
func (d *crashDay) takeOverBehindPartition() {
	id := workerInfo(d.random.IntN(16)).ID
	d.cluster.SetPartitioned(id, true)
	d.takeOver(false)
	d.run(time.Second)
	d.cluster.SetPartitioned(id, false)
}

// TestCrashesWhileNothingIsRecorded: workers crashed while the store was down, and the next
// owner started the task as often again.
func TestCrashesWhileNothingIsRecorded(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner replaced %t", replaced), func(t *testing.T) {
			for seed := range uint64(crashSeeds) {
				d := newCrashDay(t, seed, 0.3, firstTask, batchStep(6))
				d.runRandomly(time.Second)
				d.recordingPaused = true
				d.runRandomly(10 * time.Second)
				if replaced {
					d.quorumAt = 0
					d.takeOver(false)
					d.runRandomly(time.Second)
				}
				d.recordingPaused = false
				d.settle(t, seed)
			}
		})
	}
}

// TestCrashesWithStaleEntries: the entry of a crashed worker was in the store until the
// worker's new run had replaced it, or disappeared as soon as it was down.
func TestCrashesWithStaleEntries(t *testing.T) {
	for seed := range uint64(crashSeeds) {
		d := newCrashDay(t, seed, 0.3, everyTask, batchStep(6))
		for range 400 {
			d.tick()
			if d.random.IntN(4) == 0 {
				d.syncWorkers()
			}
		}
		d.settle(t, seed)
	}
}

// TestReplacedWorkerKeepsNoTasks: a worker had crashed, and another one answered at its
// address. The tasks of the first one waited until its leases had expired.
func TestReplacedWorkerKeepsNoTasks(t *testing.T) {
	replacements := map[string]func(h *harness){
		"entry": func(h *harness) {
			next := h.cluster.Entry("w00")
			next.ID = "w07"
			h.cluster.AddWorker(h.now, next)
			h.cluster.Crash("w07")
			h.cluster.Boot(h.now, "w07")
			h.syncWorkers()
		},
		"refused order": func(h *harness) { h.shard.WorkerReplaced(h.now, "w00") },
	}
	for name, replace := range replacements {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			id := h.submit(firstID, fixedLength(3), nil, batchStep(6))
			h.run(time.Second)
			running := h.cluster.Running(id)
			h.cluster.Crash("w00")
			must.Less(t, running, h.cluster.Running(id))
			h.run(time.Second)
			replace(h)
			h.run(time.Second)
			must.Eq(t, running, h.cluster.Running(id))
			h.run(4 * time.Second)
			h.checkViolations()
			must.Eq(t, job.Done, h.state(id))
		})
	}
}

// TestSilentWorkerIsNoCrash: a worker was cut off until its leases had expired, and each cut
// counted as a crash of the tasks there.
func TestSilentWorkerIsNoCrash(t *testing.T) {
	h := newHarness(t, 1)
	id := h.submit(firstID, fixedLength(4), nil, batchStep(2))
	for range 5 {
		h.run(200 * time.Millisecond)
		h.cluster.SetPartitioned("w00", true)
		h.run(7 * time.Second)
		h.cluster.SetPartitioned("w00", false)
		h.run(200 * time.Millisecond)
	}
	h.run(10 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
}

// TestGangOfSuspectsStarts: a member of a gang that was placed first kept the others off its
// worker, and the gang never started where they had to share one.
func TestGangOfSuspectsStarts(t *testing.T) {
	h := newHarness(t, 2)
	h.run(time.Second)
	id := h.submit(firstID, fixedLength(2), nil, gangStep(6))
	h.run(2 * tickInterval)
	must.Eq(t, 6, h.cluster.Running(id))
	h.cluster.LoseMachine("w00")
	h.run(300 * time.Millisecond)
	h.syncWorkers()
	h.run(14 * time.Second)
	h.checkViolations()
	must.Eq(t, job.Done, h.state(id))
}

// TestSilenceCountedByEarlierOwnerIsTakenBack: an owner counted a silent worker as a possible
// crash and ended; the worker answered the next owner, and the count stayed.
func TestSilenceCountedByEarlierOwnerIsTakenBack(t *testing.T) {
	h := newHarness(t, 2)
	h.run(time.Second)
	id := h.submit(firstID, fixedLength(30), nil, batchStep(2))
	h.run(2 * tickInterval)
	for i := range 2 {
		h.cluster.SetPartitioned(workerInfo(i).ID, true)
	}
	h.run(7 * time.Second)
	must.MapLen(t, 2, h.log[id].Crashes)
	for i := range 2 {
		h.cluster.SetPartitioned(workerInfo(i).ID, false)
	}
	h.takeOver(false)
	h.run(time.Second)
	must.MapLen(t, 0, h.log[id].Crashes)
	h.checkViolations()
}

// TestPlannedLeaveIsNoCrashForNextOwner: a draining worker left with a task on it, and the next
// owner counted that as a crash under the task.
func TestPlannedLeaveIsNoCrashForNextOwner(t *testing.T) {
	h := newHarness(t, 1)
	h.run(500 * time.Millisecond)
	step := batchStep(1)
	step.Checkpointing = false
	id := h.submit(firstID, fixedLength(12), nil, step)
	h.run(2 * time.Second)
	draining := h.cluster.Entry("w00")
	draining.Draining, draining.Remaining = true, time.Second
	h.shard.SetWorker(h.now, draining)
	h.run(time.Second)
	must.SliceLen(t, 1, h.workersOf(job.TaskRef{Job: id}))
	h.cluster.LoseMachine("w00")
	h.run(2 * tickInterval)
	h.takeOver(false)
	next := workerInfo(0)
	next.ID = "w07"
	h.cluster.AddWorker(h.now, next)
	h.shard.SetWorker(h.now, next)
	h.run(5 * time.Second)
	must.MapLen(t, 0, h.log[id].Crashes)
	h.checkViolations()
}

// TestPlannedLeaveIsJudgedByLastAnswer: a worker left as planned, and its loss counted as a
// crash since its leases expired long after, or its next run was not to leave.
func TestPlannedLeaveIsJudgedByLastAnswer(t *testing.T) {
	leaves := map[string]func(h *harness){
		"upkeep some time after the worker was emptied": func(h *harness) {
			h.shard.SetCordoned([]platform.WorkerID{"w00"})
			h.run(time.Second)
			h.shard.UpkeepOrdered(h.now, []platform.WorkerID{"w00"})
			h.shard.SetCordoned(nil)
			h.run(6 * time.Second)
			h.cluster.LoseMachine("w00")
			h.run(7 * time.Second)
		},
		"next run": func(h *harness) {
			h.drainWorker(0, time.Second)
			h.run(time.Second)
			h.cluster.Crash("w00")
			h.run(time.Second)
			h.cluster.Boot(h.now, "w00")
			h.cluster.SetDraining("w00", false)
			h.syncWorkers()
			h.run(time.Second)
		},
	}
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.run(500 * time.Millisecond)
			step := batchStep(1)
			step.Checkpointing = false
			id := h.submit(firstID, fixedLength(30), nil, step)
			h.run(time.Second)
			leave(h)
			must.Eq(t, 1, h.cluster.RunsLost())
			must.MapLen(t, 0, h.log[id].Crashes)
			h.checkViolations()
		})
	}
}

// TestCrashWithoutUpkeepCounts: a worker was emptied for the upkeep of its machine, which was not
// ordered yet or had been refused, and a crash of the worker counted as a planned leave.
func TestCrashWithoutUpkeepCounts(t *testing.T) {
	workers := []platform.WorkerID{"w00"}
	cases := map[string]func(h *harness){
		"refused": func(h *harness) {
			h.shard.UpkeepOrdered(h.now, workers)
			h.shard.SetCordoned(nil)
			h.shard.UpkeepRefused(workers)
		},
		"not ordered any more": func(h *harness) { h.shard.SetCordoned(nil) },
		"not ordered yet":      func(*harness) {},
	}
	for name, happen := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.run(500 * time.Millisecond)
			step := batchStep(1)
			step.Checkpointing = false
			id := h.submit(firstID, fixedLength(30), nil, step)
			h.run(time.Second)
			h.shard.SetCordoned(workers)
			h.run(time.Second)
			happen(h)
			h.run(time.Second)
			h.crashFor(time.Second, "w00")
			h.run(time.Second)
			must.SliceLen(t, 1, h.log[id].Crashes[0])
			h.checkViolations()
		})
	}
}

// TestLongRunningTaskThatCrashesItsWorkersLateIsGivenUp: crashes under a long-running task that
// came later than 0.4 s after its start were not counted, and it was started without end.
func TestLongRunningTaskThatCrashesItsWorkersLateIsGivenUp(t *testing.T) {
	for _, after := range []time.Duration{600 * time.Millisecond, 5 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			h := newHarness(t, 8)
			h.run(500 * time.Millisecond)
			id := h.submit(crashingID, fixedLength(5), nil, longRunningTasks(1))
			h.cluster.CrashWorkersOf(id, cluster.Crashing{
				Tasks: everyTask, After: func(job.TaskRef, platform.Attempt) time.Duration { return after }, DownFor: 2 * time.Second,
			})
			for range 300 {
				h.run(200 * time.Millisecond)
				h.syncWorkers()
			}
			h.checkViolations()
			must.Eq(t, job.Failed, h.state(id))
			must.LessEq(t, maxCrashesPerTask+1, h.cluster.CrashesCaused())
		})
	}
}

// TestCrashesOfWorkersThatReturnToNextOwnerCount: an owner counted silent workers as possible
// crashes and ended; their new runs answered the next owner, and the counts stayed possible ones.
func TestCrashesOfWorkersThatReturnToNextOwnerCount(t *testing.T) {
	h := newHarness(t, 3)
	h.run(time.Second)
	id := h.submit(firstID, fixedLength(60), nil, batchStep(1))
	// The task is no likely cause, so only the fourth crash fails the job.
	for round := range maxCrashesPerTask + 1 {
		h.run(time.Second)
		must.Eq(t, round+1, h.cluster.Starts())
		for i := range 3 {
			h.cluster.Crash(workerInfo(i).ID)
		}
		// Orders of the owner before may have given the new runs the longest lease.
		h.run(bounds.MaxLease + 2*time.Second)
		must.SliceLen(t, round+1, h.log[id].Crashes[0])
		must.False(t, h.log[id].Crashes[0][round].Over)
		h.takeOver(false)
		for i := range 3 {
			h.cluster.Boot(h.now, workerInfo(i).ID)
		}
		h.syncWorkers()
		h.run(200 * time.Millisecond)
		must.True(t, h.log[id].Crashes[0][round].Over)
	}
	h.run(2 * time.Second)
	must.Eq(t, job.Failed, h.state(id))
	must.Eq(t, maxCrashesPerTask+1, h.cluster.Starts())
	h.checkViolations()
}

// TestCrashesOfManyWorkersAtOnceAreCounted: a task had just started on one of several workers that
// crashed at once, the owner recorded none of them and ended, and the crash was never counted.
func TestCrashesOfManyWorkersAtOnceAreCounted(t *testing.T) {
	h := newHarness(t, 3)
	h.run(time.Second)
	id := h.submit(firstID, fixedLength(20), nil, batchStep(1))
	for range maxCrashesPerTask {
		h.run(200 * time.Millisecond)
		for i := range 3 {
			h.cluster.Crash(workerInfo(i).ID)
		}
		h.run(time.Second)
		h.takeOver(false)
		for i := range 3 {
			h.cluster.Boot(h.now, workerInfo(i).ID)
		}
		h.syncWorkers()
	}
	h.run(2 * time.Second)
	must.Eq(t, job.Failed, h.state(id))
	must.LessEq(t, maxCrashesPerTask, h.cluster.Starts())
	h.checkViolations()
}

// TestCutOffOwnerRecordsFewWorkers guards against an owner that is cut off from all workers and
// fills its link with records of what had just started on them.
func TestCutOffOwnerRecordsFewWorkers(t *testing.T) {
	const workers, maxRecorded = 60, 60 / 3
	h := newHarness(t, workers)
	h.run(time.Second)
	h.submit(firstID, fixedLength(20), nil, maxOnePerWorker(batchStep(workers)))
	h.run(2 * tickInterval)
	for i := range workers {
		h.cluster.SetPartitioned(workerInfo(i).ID, true)
	}
	h.run(3 * time.Second)
	recorded := 0
	for _, e := range h.enrolled {
		if len(e.Lost) > 0 {
			recorded++
		}
	}
	must.LessEq(t, maxRecorded, recorded)
}

// TestRecordOfSilentWorkerStaysWritable: the record of a worker that fell silent under thousands of
// small tasks named all of them, and the store refused it.
func TestRecordOfSilentWorkerStaysWritable(t *testing.T) {
	h := newHarness(t, 1)
	h.run(time.Second)
	step := batchStep(1600)
	step.Size = platform.Resources{MilliCPU: 2, MemoryMB: 2}
	h.submit(firstID, fixedLength(60), nil, step)
	h.run(2 * tickInterval)
	h.cluster.SetPartitioned("w00", true)
	h.run(time.Second)
	e := h.enrolled["w00"]
	must.Len(t, 1500, e.Lost)
	r, err := job.EnrollmentRecord(e)
	must.NoError(t, err)
	must.LessEq(t, job.MaxRecordBytes, len(r.Value))
}
