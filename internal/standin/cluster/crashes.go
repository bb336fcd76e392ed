package cluster

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// minCrashesToFail is how many workers must have crashed under a task before its job
	// may be given up.
	minCrashesToFail = 2
	// crashBudget is the number of crashed workers after which a task that crashes its
	// workers may be started fewer than maxStartsAfterBudget times more.
	crashBudget          = 3
	maxStartsAfterBudget = 3
)

// Crashing defines which tasks of a job crash the workers that start them, and how.
type Crashing struct {
	// Tasks reports whether a task crashes its workers.
	Tasks func(job.TaskRef) bool
	// After returns the time from the start of an attempt until its worker crashes. Nil
	// means at once.
	After func(job.TaskRef, platform.Attempt) time.Duration
	// AnswerLost reports whether the answer to the start order of an attempt is lost. Nil
	// means never.
	AnswerLost func(job.TaskRef, platform.Attempt) bool
	// DownFor is the time from a crash until the worker boots again.
	DownFor time.Duration
}

// CrashWorkersOf makes tasks of a job crash each worker that starts them. The job must
// have been added.
func (c *Cluster) CrashWorkersOf(id job.ID, crashing Crashing) {
	if crashing.After == nil {
		crashing.After = func(job.TaskRef, platform.Attempt) time.Duration { return 0 }
	}
	if crashing.AnswerLost == nil {
		crashing.AnswerLost = func(job.TaskRef, platform.Attempt) bool { return false }
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].crashing = &crashing
}

// taskCrashes are the crashes of workers under a task.
type taskCrashes struct {
	// count is the number of crashes, caused the number of those that the task caused.
	count, caused int
	// workers are the workers that crashed.
	workers map[platform.WorkerID]bool
	// startsAfterBudget counts the starts after crashBudget crashes.
	startsAfterBudget int
}

// crashesWorkers reports whether a task crashes the workers that start it.
func (t *jobModel) crashesWorkers(ref job.TaskRef) bool {
	return t.crashing != nil && t.crashing.Tasks(ref)
}

// loseRun records that a task last ran at a time on a worker that has crashed since, and that
// its end is lost if no worker has listed it.
func (t *jobModel) loseRun(ref job.TaskRef, at time.Duration) {
	t.lostAt[ref] = max(t.lostAt[ref], at)
	t.endLost[ref] = t.done[ref] && !t.endListed[ref]
}

// crash takes a worker down and counts a crash under each task that runs there. cause is
// the task that caused it, or nil.
func (c *Cluster) crash(w *worker, cause *job.TaskRef) {
	for _, e := range w.ended {
		if t := c.jobs[e.Task.Job]; e.Kind == fleet.EndDone && !t.endListed[e.Task] {
			t.loseRun(e.Task, e.at)
		}
	}
	for ref, a := range w.running {
		t := c.jobs[ref.Job]
		k := t.crashes[ref]
		if k == nil {
			k = &taskCrashes{workers: map[platform.WorkerID]bool{}}
			t.crashes[ref] = k
		}
		k.count++
		t.noteRunEnded(max(a.ranAt, a.startedAt), ref)
		t.loseRun(ref, max(a.ranAt, a.startedAt))
		k.workers[w.info.ID] = true
		c.runsLost++
	}
	if cause != nil {
		c.jobs[cause.Job].crashes[*cause].caused++
		c.crashesCaused++
	}
	w.up, w.bootAt, w.crashedAt = false, 0, 0
	w.running = map[job.TaskRef]*attempt{}
}

// settle simulates a worker up to now: attempts end, crash the worker or lapse, and the
// worker boots again after a crash that an attempt caused.
func (c *Cluster) settle(now time.Duration, w *worker) {
	for {
		c.bootIfDue(now, w)
		ref, at, found := w.nextCrash()
		if !found || at > now {
			break
		}
		c.advance(at, w)
		if w.running[ref] == nil {
			continue
		}
		t := c.jobs[ref.Job]
		for other := range w.running {
			c.jobs[other.Job].noteRanOn(at)
		}
		c.crash(w, &ref)
		w.bootAt, w.crashedAt = at+t.crashing.DownFor, at
	}
	c.advance(now, w)
}

// unnoticedCrash is how long a scheduler may go on sending orders to a worker that a task has
// crashed: it learns of the crash from the first renewal that gets no answer.
const unnoticedCrash = time.Second

// loseOrder records an order to start a task that did not reach its worker. One that was sent
// before the crash of the worker could be noticed counts as a run that the crash ended, since
// the scheduler cannot tell them apart.
func (c *Cluster) loseOrder(now time.Duration, w *worker, ref job.TaskRef) {
	if t := c.jobs[ref.Job]; t != nil && w != nil && !w.up && w.crashedAt > 0 && now < w.crashedAt+unnoticedCrash {
		t.loseRun(ref, now)
	}
}

// bootIfDue boots a worker once it was down for long enough after a crash that an attempt
// caused.
func (c *Cluster) bootIfDue(now time.Duration, w *worker) {
	if w.bootAt == 0 || now < w.bootAt {
		return
	}
	at := w.bootAt
	w.bootAt = 0
	if !w.up && !w.lost && w.upkeepEnds == 0 {
		w.boot(at)
	}
}

// nextCrash returns the first of the running attempts to crash the worker, and when.
func (w *worker) nextCrash() (first job.TaskRef, at time.Duration, found bool) {
	for _, ref := range w.runningTasks() {
		if a := w.running[ref]; a.crashAt > 0 && (!found || a.crashAt < at) {
			first, at, found = ref, a.crashAt, true
		}
	}
	return first, at, found
}

// checkCrashBudget records a violation if a task that crashes its workers is started too
// often.
func (c *Cluster) checkCrashBudget(now time.Duration, t *jobModel, w *worker, ref job.TaskRef) {
	k := t.crashes[ref]
	if !t.crashesWorkers(ref) || k == nil || k.count < crashBudget {
		return
	}
	k.startsAfterBudget++
	if k.startsAfterBudget >= maxStartsAfterBudget {
		c.recordViolation(now, "BUDGET", "%s on %s, start %d after %d workers have crashed under it, %d by now", ref, w.info.ID, k.startsAfterBudget, crashBudget, k.count)
	}
}

// MayFail reports whether a job may be shown as failed: one of its tasks has failed too
// often, or two workers have crashed under it. Two crashes of one worker count as one,
// unless the task has used up its budget of crashes.
func (c *Cluster) MayFail(id job.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.jobs[id]
	for _, k := range t.crashes {
		if len(k.workers) >= minCrashesToFail || k.count >= crashBudget {
			return true
		}
	}
	for _, attempts := range t.failedAttempts {
		if t.maxFailures > 0 && len(attempts) >= t.maxFailures {
			return true
		}
	}
	return false
}

// CrashesUnder returns the number of workers' crashes under a task.
func (c *Cluster) CrashesUnder(ref job.TaskRef) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.jobs[ref.Job].crashes[ref]; k != nil {
		return k.count
	}
	return 0
}

// CrashesCaused returns the number of workers' crashes that tasks have caused.
func (c *Cluster) CrashesCaused() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashesCaused
}

// RunsLost returns the number of attempts that were running on workers when these
// crashed, for whatever reason.
func (c *Cluster) RunsLost() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runsLost
}
