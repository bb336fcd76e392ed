package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/cluster"
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

// TestStartsRefusedByReplacementsAreNoCrashes: workers were replaced while start orders were
// under way to them, the replacements refused the orders, and the job failed though it had
// never run.
func TestStartsRefusedByReplacementsAreNoCrashes(t *testing.T) {
	refusals := map[string]struct {
		answer fleet.Answer
		err    error
		// lost is set if the first try of the order got no answer: it may have been the cause.
		lost bool
		want job.State
	}{
		"refused":                       {fleet.Answer{Verdict: fleet.RefusedOtherRun}, nil, false, job.Done},
		"not sent":                      {fleet.Answer{}, errNotSent, false, job.Done},
		"no answer":                     {fleet.Answer{}, platform.ErrOutcomeUnknown, false, job.Failed},
		"refused after a try was lost":  {fleet.Answer{Verdict: fleet.RefusedOtherRun}, nil, true, job.Failed},
		"had ended":                     {fleet.Answer{Verdict: fleet.RefusedEnded}, nil, false, job.Failed},
		"not sent after a try was lost": {fleet.Answer{}, errNotSent, true, job.Failed},
	}
	for name, c := range refusals {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2*maxCrashesPerTask)
			h.run(500 * time.Millisecond)
			id := h.submit(firstID, nil, nil, batchStep(1))
			var replaced []platform.WorkerID
			for range maxCrashesPerTask {
				h.now += tickInterval
				starts := h.planOnce(1).Starts
				must.SliceLen(t, 1, starts)
				start, wanted := h.shard.BeginStart(h.now, starts[0])
				must.True(t, wanted)
				if c.lost {
					h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
					start, wanted = h.shard.BeginStart(h.now, h.planOnce(0).Starts[0])
					must.True(t, wanted)
				}
				replaced = append(replaced, start.Worker.ID)
				h.cluster.LoseMachine(start.Worker.ID)
				h.shard.RenewFailed(h.now, h.now, start.Worker.ID)
				h.record()
				h.shard.WorkerReplaced(h.now, start.Worker.ID)
				h.record()
				h.shard.StartAnswered(h.now, start, c.answer, c.err)
				h.record()
			}
			must.False(t, h.cluster.Started(id))
			h.takeOver(false)
			for _, w := range replaced {
				h.shard.WorkerReplaced(h.now, w)
			}
			h.run(settleTime)
			h.checkViolations()
			must.Eq(t, c.want, h.state(id))
		})
	}
}

// TestRefusalByReplacementIsNoAnswerOfWorker: a worker had crashed right after a task's start,
// its replacement refused another start order 0.6 s later, and the task counted as having run
// until then.
func TestRefusalByReplacementIsNoAnswerOfWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.run(500 * time.Millisecond)
	id := h.submit(firstID, nil, nil, batchStep(1))
	h.now += tickInterval
	h.accept(h.planOnce(1).Starts[0])
	h.cluster.LoseMachine("w00")
	h.submit(crashingID, nil, nil, batchStep(1))
	start, wanted := h.shard.BeginStart(h.now, h.planOnce(1).Starts[0])
	must.True(t, wanted)
	h.now += 600 * time.Millisecond
	h.shard.StartAnswered(h.now, start, fleet.Answer{Verdict: fleet.RefusedOtherRun}, nil)
	h.shard.RenewFailed(h.now, h.now, "w00")
	h.shard.WorkerReplaced(h.now, "w00")
	h.record()
	must.SliceLen(t, 1, h.log[id].Crashes[0])
	must.False(t, h.log[id].Crashes[0][0].Settled)
}

// runCoarsely advances the simulation by d in steps of a second.
func (h *harness) runCoarsely(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += time.Second - tickInterval
		h.tick()
	}
}

// TestLongRunningTaskOutlivesItsWorkers: a long-running task was given up since now and then a
// worker was lost soon after the task's start. The counts are kept while the task has not run
// for long, also across owners.
func TestLongRunningTaskOutlivesItsWorkers(t *testing.T) {
	cases := map[string]struct {
		// ran is for how long the task runs between two crashes.
		ran time.Duration
		// replaced is set if the owner is replaced in the middle of that time.
		replaced bool
		want     job.State
	}{
		"half an hour":                 {30 * time.Minute, false, job.Running},
		"half an hour, owner replaced": {30 * time.Minute, true, job.Running},
		"some minutes":                 {5 * time.Minute, false, job.Failed},
		"some minutes, owner replaced": {5 * time.Minute, true, job.Failed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3)
			h.run(500 * time.Millisecond)
			id := h.submit(firstID, nil, nil, longRunningTasks(1))
			crashes := 0
			for ; crashes < 2*maxCrashesPerTask && !h.state(id).Final(); crashes++ {
				h.run(time.Second)
				ids := h.workersOf(job.TaskRef{Job: id})
				must.SliceLen(t, 1, ids)
				h.crashFor(time.Second, ids...)
				h.run(time.Second)
				must.Positive(t, len(h.log[id].Crashes[0]))
				h.runCoarsely(c.ran / 2)
				if c.replaced {
					h.takeOver(false)
				}
				h.runCoarsely(c.ran / 2)
				h.restart(id)
			}
			h.checkViolations()
			must.Eq(t, c.want, h.state(id))
			if c.want.Final() {
				must.Eq(t, maxCrashesPerTask+1, crashes)
			} else {
				must.MapLen(t, 0, h.log[id].Crashes)
			}
		})
	}
}

// restart moves a job's first task to another worker.
func (h *harness) restart(id job.ID) {
	for _, w := range h.workersOf(job.TaskRef{Job: id}) {
		h.cluster.DrainWithNotice(w, 20*time.Second)
		h.syncWorkers()
		h.run(500 * time.Millisecond)
		h.cluster.SetDraining(w, false)
		h.syncWorkers()
	}
}

// TestAdoptedTaskIsNoSuspect: workers were lost right after changes of owner, each counted as a
// crash right after the start of a long-running task that had run for minutes, and the task was
// given up.
func TestAdoptedTaskIsNoSuspect(t *testing.T) {
	for _, ran := range []time.Duration{time.Second, 20 * time.Second} {
		t.Run(ran.String(), func(t *testing.T) {
			h := newHarness(t, 3)
			h.run(500 * time.Millisecond)
			id := h.submit(firstID, nil, nil, longRunningTasks(1))
			for range 2 * maxCrashesPerTask {
				h.run(time.Second + ran)
				h.takeOver(false)
				h.run(2 * tickInterval)
				if h.state(id).Final() {
					break
				}
				ids := h.workersOf(job.TaskRef{Job: id})
				must.SliceLen(t, 1, ids)
				h.crashFor(time.Second, ids...)
			}
			h.run(time.Second)
			h.checkViolations()
			if ran < 10*time.Second {
				must.Eq(t, job.Failed, h.state(id))
				return
			}
			must.Eq(t, job.Running, h.state(id))
			must.MapLen(t, 0, h.log[id].Crashes)
		})
	}
}

// TestUnlistedEndIsNoLikelyCause: a task ended on a worker that crashed before it had listed
// the end, and had just started on the next worker that crashed. Its job failed, although it
// had run on one of them only.
func TestUnlistedEndIsNoLikelyCause(t *testing.T) {
	h := newHarness(t, 3)
	h.run(500 * time.Millisecond)
	id := h.submit(firstID, fixedLength(0.7), nil, batchStep(1))
	task := job.TaskRef{Job: id}
	h.run(600 * time.Millisecond)
	first := h.workersOf(task)
	must.Len(t, 1, first)
	h.cluster.SetPartitioned(first[0], true)
	h.run(300 * time.Millisecond)
	must.Zero(t, h.cluster.Running(id))
	h.crashFor(time.Second, first[0])
	h.runUntilStart(2 * time.Second)
	second := h.workersOf(task)
	must.Len(t, 1, second)
	h.crashFor(time.Second, second[0])
	must.Eq(t, 1, h.cluster.CrashesUnder(task))
	h.run(5 * time.Second)
	must.Eq(t, job.Done, h.state(id))
	h.checkViolations()
}

// TestSuspectAvoidsUnheardWorkers: a task that may have crashed a worker was sent to one that
// another task had crashed meanwhile. The order got no answer, and the crash counted for both.
func TestSuspectAvoidsUnheardWorkers(t *testing.T) {
	h := newHarness(t, 2)
	h.run(500 * time.Millisecond)
	suspect := h.submit(firstID, fixedLength(10), nil, batchStep(1))
	h.plan()
	crashed := h.workersOf(job.TaskRef{Job: suspect})
	must.Len(t, 1, crashed)
	h.cluster.Crash(crashed[0])
	h.run(200 * time.Millisecond)
	h.cluster.Boot(h.now, crashed[0])
	other := h.submit(secondID, fixedLength(10), nil, batchStep(1))
	h.tick()
	must.Zero(t, h.cluster.Running(suspect))
	placedOn := h.workersOf(job.TaskRef{Job: other})
	must.Len(t, 1, placedOn)
	must.NotEq(t, crashed[0], placedOn[0])
	// The new run's entry is not read yet.
	h.now += 500 * time.Millisecond
	h.plan()
	must.Zero(t, h.cluster.Running(suspect))
	h.renewLeases(placedOn[0])
	h.plan()
	must.Eq(t, 1, h.cluster.Running(suspect))
	h.checkViolations()
}

// TestOrderToWorkerThatAnotherTaskCrashedIsNoStart: a worker had crashed twice under a task. Its
// next start order went to a worker that another task had just crashed, and its job failed,
// although one worker only had crashed under it.
func TestOrderToWorkerThatAnotherTaskCrashedIsNoStart(t *testing.T) {
	h := newHarness(t, 1)
	h.run(500 * time.Millisecond)
	id := h.submit(firstID, fixedLength(2), nil, batchStep(1))
	for crash := range 2 {
		h.run(2 * tickInterval)
		h.crashFor(time.Second, "w00")
		must.Eq(t, crash+1, h.cluster.CrashesUnder(job.TaskRef{Job: id}))
	}
	// It starts before the suspect once the log names the worker's present run.
	other := h.submitAs(secondID, func(s *job.Submission) { s.Priority = -1 }, fixedLength(1), nil, batchStep(1))
	h.run(2 * tickInterval)
	must.Eq(t, 1, h.cluster.Running(other))
	// The answer to a renewal is awaited for 1.7 s, so the crash is not noticed.
	h.shard.RenewOrder(h.now, "w00")
	h.cluster.Crash("w00")
	for range 2 {
		h.plan()
		h.now += 1100 * time.Millisecond
	}
	must.Positive(t, len(h.unanswered))
	h.cluster.Boot(h.now, "w00")
	h.syncWorkers()
	h.run(10 * time.Second)
	must.Eq(t, 2, h.cluster.CrashesUnder(job.TaskRef{Job: id}))
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, job.Done, h.state(other))
	h.checkViolations()
}

// TestSuspectsDoNotStartTogether: two suspects that had waited for an isolated worker for long
// started on the same one at once, and its crash counted for the innocent one as well.
func TestSuspectsDoNotStartTogether(t *testing.T) {
	h := newHarness(t, 1)
	h.run(500 * time.Millisecond)
	ids := []job.ID{h.submit(firstID, fixedLength(60), nil, batchStep(1)), h.submit(secondID, fixedLength(60), nil, batchStep(1))}
	h.plan()
	must.Eq(t, 2, h.cluster.Running(""))
	h.cluster.Crash("w00")
	h.run(200 * time.Millisecond)
	h.cluster.Boot(h.now, "w00")
	startedAt := map[job.ID]time.Duration{}
	for i := range 100 {
		if i%5 == 0 {
			// The worker is hardly ever isolated.
			h.submit(fmt.Sprintf("%016x", 0x1000+i), fixedLength(0.2), nil, batchStep(1))
		}
		h.syncWorkers()
		h.tick()
		for _, id := range ids {
			if startedAt[id] == 0 && h.cluster.Running(id) > 0 {
				startedAt[id] = h.now
			}
		}
	}
	must.MapLen(t, 2, startedAt)
	must.GreaterEq(t, 400*time.Millisecond, (startedAt[ids[0]] - startedAt[ids[1]]).Abs())
	h.checkViolations()
}

// TestGangWhoseMembersCrashInTurnIsGivenUp: the members of a gang crashed their workers in turn,
// each broke the gang for the others, and each was counted for itself. The gang was started
// eight times and more.
func TestGangWhoseMembersCrashInTurnIsGivenUp(t *testing.T) {
	h := newHarness(t, 8)
	h.run(500 * time.Millisecond)
	id := h.submit(crashingID, fixedLength(2), nil, maxOnePerWorker(gangStep(4)))
	h.cluster.CrashWorkersOf(id, cluster.Crashing{
		Tasks: everyTask,
		After: func(ref job.TaskRef, n platform.Attempt) time.Duration {
			if ref.Index == int(n-1)/2%4 {
				return 0
			}
			return time.Minute
		},
		AnswerLost: func(job.TaskRef, platform.Attempt) bool { return true },
		DownFor:    time.Second,
	})
	for range 200 {
		h.run(200 * time.Millisecond)
		h.syncWorkers()
	}
	h.checkViolations()
	must.Eq(t, job.Failed, h.state(id))
	must.True(t, h.cluster.MayFail(id))
	must.LessEq(t, maxCrashesPerTask+1, h.cluster.CrashesCaused())
}

// TestFailuresOfOneTaskStayRecordable: the failures under one task of a queue with many attempts
// outgrew the record of its job. They are counted on, also by the next owner.
func TestFailuresOfOneTaskStayRecordable(t *testing.T) {
	const attempts = 3 * job.MaxListedFailures
	h := newHarness(t, 4)
	h.run(time.Second)
	failures := 0
	id := h.submitAs(firstID, func(s *job.Submission) { s.MaxFailures = attempts }, fixedLength(0.05),
		func(job.TaskRef, platform.Attempt) bool { return true }, batchStep(1))
	for range 600 {
		h.run(500 * time.Millisecond)
		p := h.log[id]
		must.LessEq(t, job.MaxListedFailures, len(p.Failures[0]))
		counted := len(p.Failures[0]) + p.EarlierFailures[0]
		must.Between(t, failures, counted, attempts)
		if failures < attempts/2 && counted >= attempts/2 {
			h.takeOver(false)
		}
		failures = counted
	}
	must.Eq(t, job.Failed, h.state(id))
	must.Eq(t, attempts, failures)
	must.Eq(t, attempts, h.cluster.Starts())
	h.checkViolations()
}

// TestSilentWorkersOfOneTaskStayRecordable: each worker that fell silent under a task was listed
// in the record of its job for as long as it was silent.
func TestSilentWorkersOfOneTaskStayRecordable(t *testing.T) {
	const silent = 3 * job.MaxListedCrashes
	h := newHarness(t, 4*silent)
	h.run(time.Second)
	id := h.submit(firstID, fixedLength(1000), nil, batchStep(1))
	cut := map[platform.WorkerID]bool{}
	for len(cut) < silent {
		// Longer than the lease and the time after which a task counts as settled.
		h.run(10 * time.Second)
		for _, w := range h.cluster.Entries() {
			if !cut[w.ID] && h.cluster.StartsOn(w.ID) > 0 {
				cut[w.ID] = true
				h.cluster.SetPartitioned(w.ID, true)
			}
		}
		must.LessEq(t, job.MaxListedCrashes, len(h.log[id].Crashes[0]))
		must.Less(t, time.Hour, h.now)
	}
	must.Len(t, job.MaxListedCrashes, h.log[id].Crashes[0])
	must.Eq(t, job.Running, h.state(id))
	h.checkViolations()
}
