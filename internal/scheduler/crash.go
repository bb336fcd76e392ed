package scheduler

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// A task may crash each worker that starts it, and with the worker all tasks beside it.
// When a run of a worker is lost, the loss is counted in the progress of each job with a
// task there, and the task starts again only once the log holds the count. A task that had
// just started becomes a suspect: it starts where no other task has just started, so that the
// next crash tells the cause from its neighbours.
//
// The owner may end before it knows whether a silent worker has crashed. It therefore
// records which attempts are on a worker as soon as the worker does not answer, and the
// next owner counts the loss if the run turns out to be over.

const (
	// settleTime is how long an attempt has to run before it counts as an unlikely cause
	// of a crash.
	settleTime = 400 * time.Millisecond
	// longRunningSettleTime is how long an attempt of a long-running task has to run before a
	// crash of its worker does not count, since such tasks outlive many workers.
	longRunningSettleTime = 10 * time.Second
	// provenTime is how long an attempt of a long-running task has to run under one owner
	// before the crashes under earlier attempts are forgotten.
	provenTime = 10 * time.Minute
	// A job fails once one of its tasks had just started on maxBlamedCrashes workers that
	// crashed and was to blame for a later crash than the first, had just been started at
	// maxEarlyCrashes that no other start explains, or may have been there at
	// maxPossibleCrashes.
	maxBlamedCrashes   = 2
	maxEarlyCrashes    = 3
	maxPossibleCrashes = 4
	// maxGangCrashes is the number of crashes right after its start at which a gang is given up,
	// whichever member they are counted for.
	maxGangCrashes = 4
)

// workerRun identifies a run of a worker.
type workerRun struct {
	worker platform.WorkerID
	run    int64
}

// noRun is passed for the present run of a worker that has none.
const noRun = -1

// crashCauses counts the likely causes of a crash: the attempts that had just started, the
// suspects among them, and those that are known to have started.
type crashCauses struct {
	unsettled, suspects, started int
}

func (c *crashCauses) add(a job.LostAttempt, suspect bool) {
	if a.Started && !isSettled(a) {
		c.started++
	}
	if !isLikelyCause(a, suspect) {
		return
	}
	c.unsettled++
	if suspect {
		c.suspects++
	}
}

// blames reports whether an attempt is the only likely cause.
func (c crashCauses) blames(a job.LostAttempt, suspect bool) bool {
	return isLikelyCause(a, suspect) && (c.unsettled == 1 || suspect && c.suspects == 1)
}

// explains reports whether a crash was probably over when the order to start an attempt was
// sent: nothing tells that the attempt has started, and another one had just started.
func (c crashCauses) explains(a job.LostAttempt) bool { return !a.Started && c.started > 0 }

// isLikelyCause reports whether an attempt may well be the cause of its worker's crash. A
// start order without an answer was probably on its way when another attempt was the cause,
// unless its task is a suspect.
func isLikelyCause(a job.LostAttempt, suspect bool) bool {
	return !isSettled(a) && (a.Started || suspect)
}

// isSettled reports whether an attempt had run for settleTime.
func isSettled(a job.LostAttempt) bool { return a.Ran >= settleTime }

// countCrash records a crash of a task, once for each run of a worker, and fails the job
// after too many.
func (s *Shard) countCrash(now Instant, t *task, lost job.LostAttempt, key workerRun, over bool, causes crashCauses) {
	j, suspect := t.step.job, t.isSuspectBefore(key)
	c := job.Crash{
		Worker: key.worker, Run: key.run, Over: over, Started: lost.Started, Settled: isSettled(lost),
		Blamed: over && causes.blames(lost, suspect), Explained: suspect && causes.explains(lost),
	}
	if t.done || j.ended() || t.step.spec.LongRunning && lost.Ran >= longRunningSettleTime {
		return
	}
	crashes := slices.Clone(j.progress.Crashes[t.number])
	i := slices.IndexFunc(crashes, func(other job.Crash) bool { return other.Worker == c.Worker && other.Run == c.Run })
	switch {
	case i < 0:
		crashes = boundCrashes(append(crashes, c))
	case crashes[i] == c || crashes[i].Over && !c.Over:
		return
	default:
		crashes[i] = c
	}
	j.progress.Crashes[t.number] = crashes
	s.journal.markDirty(j)
	s.journal.urgent, t.crashChange = true, s.journal.lastChange
	givenUp := tooManyCrashes(crashes) || t.step.tooManyGangCrashes()
	s.notes.Crashes = append(s.notes.Crashes, CrashNote{Task: t.ref(), Crash: c, Crashes: len(crashes), GivenUp: givenUp})
	if givenUp {
		s.endJob(now, j, job.Failed)
	}
}

// boundCrashes leaves out the oldest crashes that do not count towards giving up a task if there
// are more than can be recorded: those of workers that may only be silent, under a settled task.
func boundCrashes(crashes []job.Crash) []job.Crash {
	for len(crashes) > job.MaxListedCrashes {
		i := slices.IndexFunc(crashes, func(c job.Crash) bool { return c.Settled && !c.Over })
		if i < 0 {
			break
		}
		crashes = slices.Delete(crashes, i, i+1)
	}
	return crashes
}

// dismissCrash takes back the crash that was counted for an attempt whose start order was
// under way when its worker's run was lost, and has turned out to have had no effect.
func (s *Shard) dismissCrash(now Instant, action StartAction) {
	key := workerRun{action.Worker.ID, action.Run}
	if l := s.lostRuns[key]; l != nil {
		l.attempts = slices.DeleteFunc(l.attempts, func(a job.LostAttempt) bool {
			return a.Task == action.Order.Task && a.Attempt == action.Order.Attempt
		})
	}
	if w, ok := s.workers[key.worker]; ok && w.lossRecorded {
		s.journal.enroll(w)
	}
	t := s.findTask(now, action.Order.Task)
	if t == nil || t.done || t.step.job.ended() {
		return
	}
	j := t.step.job
	crashes := slices.DeleteFunc(slices.Clone(j.progress.Crashes[t.number]), func(c job.Crash) bool {
		return c.Worker == key.worker && c.Run == key.run && !c.Started
	})
	if len(crashes) == len(j.progress.Crashes[t.number]) {
		return
	}
	j.setCrashes(t, crashes)
	s.journal.markDirty(j)
}

// setCrashes sets the crashes under a task.
func (j *jobState) setCrashes(t *task, crashes []job.Crash) {
	if len(crashes) == 0 {
		delete(j.progress.Crashes, t.number)
		return
	}
	j.progress.Crashes[t.number] = crashes
}

// markSettled records that a listed attempt of a long-running task has run for
// longRunningSettleTime, so that the next owner does not take it for one that has just started.
func (s *Shard) markSettled(now Instant, a *attempt) {
	if a.phase != running || !a.isLongRunning() || a.ranBy(now) < longRunningSettleTime {
		return
	}
	j := a.task.step.job
	if j.progress.Settled[a.task.number] == a.number || j.ended() {
		return
	}
	if j.progress.Settled == nil {
		j.progress.Settled = map[int]platform.Attempt{}
	}
	j.progress.Settled[a.task.number] = a.number
	s.journal.markDirty(j)
}

// forgetCrashes forgets the crashes of a long-running task once a listed attempt has run for
// provenTime. Over months, workers are lost now and then right after the start of a task that
// has nothing to do with it. The time is that of the owner's own clock, since times of day
// may be set; under a later owner it counts anew.
func (s *Shard) forgetCrashes(now Instant, a *attempt) {
	if a.phase != running || !a.isLongRunning() || a.ranBy(now) < provenTime {
		return
	}
	j := a.task.step.job
	if len(j.progress.Crashes[a.task.number]) == 0 || j.ended() {
		return
	}
	j.setCrashes(a.task, nil)
	s.journal.markDirty(j)
}

// resolveCrashes decides the possible crashes of a worker whose present run has answered:
// those for which that run counts are taken back, and earlier runs are over. noRun stands
// for a worker that is replaced. The owner that counted them may have ended since.
func (s *Shard) resolveCrashes(now Instant, id platform.WorkerID, present int64) {
	for _, j := range s.jobs {
		if len(j.progress.Crashes) == 0 {
			continue
		}
		for _, r := range j.allSteps() {
			for _, t := range r.tasks {
				s.resolveCrashesOf(now, t, id, present)
			}
		}
	}
}

// resolveCrashesOf is resolveCrashes for one task.
func (s *Shard) resolveCrashesOf(now Instant, t *task, id platform.WorkerID, present int64) {
	j := t.step.job
	if t.done || j.ended() {
		return
	}
	resolved, over := resolvedCrashes(j.progress.Crashes[t.number], id, present)
	if len(over) == 0 && len(resolved) == len(j.progress.Crashes[t.number]) {
		return
	}
	j.setCrashes(t, resolved)
	s.journal.markDirty(j)
	if len(over) == 0 {
		return
	}
	s.journal.urgent, t.crashChange = true, s.journal.lastChange
	givenUp := tooManyCrashes(resolved) || t.step.tooManyGangCrashes()
	for _, c := range over {
		s.notes.Crashes = append(s.notes.Crashes, CrashNote{Task: t.ref(), Crash: c, Crashes: len(resolved), GivenUp: givenUp})
	}
	if givenUp {
		s.endJob(now, j, job.Failed)
	}
}

// resolvedCrashes returns the crashes of a task once a worker's present run is known, and
// those of them that have turned out to be over.
func resolvedCrashes(crashes []job.Crash, id platform.WorkerID, present int64) (resolved, over []job.Crash) {
	for _, c := range crashes {
		switch {
		case c.Worker != id || c.Over:
		case c.Run == present:
			continue
		default:
			c.Over = true
			over = append(over, c)
		}
		resolved = append(resolved, c)
	}
	return resolved, over
}

// tooManyCrashes reports whether a task with these crashes is given up.
func tooManyCrashes(crashes []job.Crash) bool {
	early, possible, blamed, workers := 0, 0, false, map[platform.WorkerID]bool{}
	for i, c := range crashes {
		if c.Over && c.Started && !c.Settled {
			// A settled task may have ended before the crash, with its end unlisted.
			workers[c.Worker] = true
		}
		if c.Over && !c.Settled && !c.Explained {
			early++
		}
		if c.Over || !c.Settled {
			possible++
		}
		blamed = blamed || i > 0 && c.Blamed
	}
	return blamed && len(workers) >= maxBlamedCrashes || early >= maxEarlyCrashes || possible >= maxPossibleCrashes
}

// tooManyGangCrashes reports whether a gang is given up for the crashes under all of its members.
// The first member to crash its worker breaks the gang, so each may be counted at few of them.
func (r *stepRun) tooManyGangCrashes() bool {
	if !r.spec.Gang {
		return false
	}
	runs, onSeveral := map[workerRun]bool{}, false
	for _, t := range r.tasks {
		workers := map[platform.WorkerID]bool{}
		for _, c := range r.job.progress.Crashes[t.number] {
			if c.Over && !c.Settled && !c.Explained {
				runs[workerRun{c.Worker, c.Run}], workers[c.Worker] = true, true
			}
		}
		onSeveral = onSeveral || len(workers) >= maxBlamedCrashes
	}
	return onSeveral && len(runs) >= maxGangCrashes
}

// isSuspectBefore reports whether the task may be the cause of the loss of a worker's run
// other than the given one.
func (t *task) isSuspectBefore(key workerRun) bool {
	return slices.ContainsFunc(t.step.job.progress.Crashes[t.number], func(c job.Crash) bool {
		return !c.Settled && (c.Worker != key.worker || c.Run != key.run)
	})
}

// isSuspect reports whether the task may be the cause of the loss of a worker's run.
func (t *task) isSuspect() bool { return t.isSuspectBefore(workerRun{}) }

// crashedOn reports whether an earlier run of a worker was lost under the task.
func (t *task) crashedOn(w *workerState) bool {
	return slices.ContainsFunc(t.step.job.progress.Crashes[t.number], func(c job.Crash) bool { return c.Worker == w.info.ID })
}
