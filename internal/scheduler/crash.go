package scheduler

import (
	"net/netip"
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
	// isolationPatience is how long a suspect waits for a worker on which no other task
	// has just started. On a busy service there may be none.
	isolationPatience = time.Second
	// A job fails once one of its tasks was running on maxBlamedCrashes workers that crashed
	// and was to blame for a later crash than the first, had just been started at
	// maxEarlyCrashes crashes, or may have been there at maxPossibleCrashes.
	maxBlamedCrashes   = 2
	maxEarlyCrashes    = 3
	maxPossibleCrashes = 4
	// lostRunRetention is how long the owner remembers a lost run. Workers that crash
	// are back after some seconds.
	lostRunRetention = time.Minute
	// upkeepDelay is how long after the owner has emptied a worker the upkeep of its
	// machine may end what still runs there.
	upkeepDelay = 10 * time.Second
)

// workerRun identifies a run of a worker.
type workerRun struct {
	worker platform.WorkerID
	run    int64
}

// lostRun is a run of a worker that does not answer any more.
type lostRun struct {
	addr     netip.AddrPort
	lostAt   Instant
	attempts []job.LostAttempt
	// counted is set once the run counts as a possible crash of its attempts' tasks.
	counted bool
}

// endedRun describes an earlier run of a worker.
type endedRun struct {
	// heardAt is when the run last answered.
	heardAt Instant
	crashCauses
}

// crashCauses counts the likely causes of a crash: the attempts that had just started, and
// the suspects among them.
type crashCauses struct {
	unsettled, suspects int
}

func (c *crashCauses) add(a job.LostAttempt, suspect bool) {
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

// isLikelyCause reports whether an attempt may well be the cause of its worker's crash. A
// start order without an answer was probably on its way when another attempt was the cause,
// unless its task is a suspect.
func isLikelyCause(a job.LostAttempt, suspect bool) bool {
	return !a.Settled && (a.Started || suspect)
}

// closeRun sets lastRun to the worker's run, which is over or does not answer.
func (w *workerState) closeRun() {
	w.lastRun = endedRun{heardAt: w.heardAt}
	for _, a := range w.attempts {
		w.lastRun.add(a.lost(w.heardAt), a.task != nil && a.task.isSuspectBefore(workerRun{w.info.ID, a.run}))
	}
}

// startConfirmed reports whether the worker has accepted the attempt's start order or
// listed the attempt.
func (a *attempt) startConfirmed() bool { return a.confirmedAt != 0 && a.startedAt != 0 }

// settledBy reports whether the attempt had run for settleTime at the given time. One
// that an earlier owner started has.
func (a *attempt) settledBy(at Instant) bool {
	return a.adopted || a.startConfirmed() && at >= a.startedAt+settleTime
}

// lost describes the attempt after its worker last answered at heardAt.
func (a *attempt) lost(heardAt Instant) job.LostAttempt {
	return job.LostAttempt{Task: a.ref, Attempt: a.number, Started: a.startConfirmed(), Settled: a.settledBy(heardAt)}
}

// mayRun reports whether the attempt may be running on its worker.
func (a *attempt) mayRun() bool { return a.task != nil && (a.startSent || a.adopted) }

// recordLoss records the attempts of a worker that has ceased to answer.
func (s *Shard) recordLoss(w *workerState) {
	if w.enrolled && !w.gone && len(w.attempts) > 0 {
		s.journal.enroll(w)
	}
}

// takeLost returns the attempts to be recorded as lost: those of a worker that does not
// answer.
func (w *workerState) takeLost() []job.LostAttempt {
	w.lossRecorded = false
	if !w.unresponsive() {
		return nil
	}
	var list []job.LostAttempt
	for _, a := range w.sortedAttempts() {
		if a.mayRun() {
			list = append(list, a.lost(w.heardAt))
		}
	}
	w.lossRecorded = len(list) > 0
	return list
}

// markHeard records that a worker's run has answered.
func (s *Shard) markHeard(now Instant, w *workerState) {
	w.heardAt, w.gone = now, false
	if w.lossRecorded {
		s.journal.enroll(w)
	}
	s.resolveLostRuns(now, w.info.ID, w.run)
}

// inheritLostRun takes over what an earlier owner recorded of a silent worker.
func (s *Shard) inheritLostRun(e job.Enrollment) {
	if len(e.Lost) > 0 {
		s.lostRuns[workerRun{e.Worker, e.Run}] = &lostRun{addr: s.workers[e.Worker].info.Addr, lostAt: s.takenOverAt, attempts: e.Lost}
	}
}

// WorkerReplaced records that another worker answers at a worker's address: the worker's
// run is over, and whatever ran there has ended.
func (s *Shard) WorkerReplaced(now Instant, id platform.WorkerID) {
	w, ok := s.workers[id]
	if !ok || w.gone {
		return
	}
	w.closeRun()
	w.gone = true
	for _, a := range w.attempts {
		s.loseAttempt(now, a, "worker replaced")
	}
	// Orders for this worker are refused at its address.
	clear(w.unansweredStarts)
	s.resolveLostRuns(now, id, 0)
	s.dirty.add(w)
}

// noteAddress records where a worker is. A worker that was there before is over.
func (s *Shard) noteAddress(now Instant, w *workerState) {
	addr := w.info.Addr
	previous, ok := s.workers[s.workerAt[addr]]
	switch {
	case !ok || previous == w || previous.info.Addr != addr:
		s.workerAt[addr] = w.info.ID
	case w.info.Started > previous.info.Started:
		s.workerAt[addr] = w.info.ID
		s.WorkerReplaced(now, previous.info.ID)
	}
	for key, l := range s.lostRuns {
		if l.addr == addr && key.worker != w.info.ID && w.info.Started > key.run {
			s.resolveLostRuns(now, key.worker, w.info.Started)
		}
	}
}

// resolveLostRuns settles what became of the lost runs of a worker, of which the given run
// is known to be the present one, or zero if all are over. A run that answers has not
// crashed.
func (s *Shard) resolveLostRuns(now Instant, id platform.WorkerID, present int64) {
	for key, l := range s.lostRuns {
		if key.worker != id {
			continue
		}
		delete(s.lostRuns, key)
		if key.run == present {
			s.retractLostRun(key, l)
		} else {
			s.countLostRun(now, key, l, true)
		}
	}
}

// expireLostRuns counts the runs that an earlier owner recorded as lost as possible crashes
// once their leases have expired, and forgets those that were lost so long ago that they
// count as lost for good.
func (s *Shard) expireLostRuns(now Instant) {
	for key, l := range s.lostRuns {
		if w, ok := s.workers[key.worker]; !l.counted && (!ok || s.attemptsKnown(now, w)) {
			l.counted = true
			s.countLostRun(now, key, l, false)
		}
		if now >= l.lostAt+lostRunRetention {
			delete(s.lostRuns, key)
		}
	}
}

// suspectCrash counts the loss of an attempt as a crash if its worker's run is over or
// silent. A worker that was to leave does not count.
func (s *Shard) suspectCrash(now Instant, a *attempt) {
	w := a.worker
	over := w.gone || a.run != w.run
	if !a.mayRun() || w.info.Draining || w.cordonedAt != 0 && now < w.cordonedAt+upkeepDelay || !over && !w.unresponsive() {
		return
	}
	key, lost := workerRun{w.info.ID, a.run}, a.lost(w.lastRun.heardAt)
	if !over {
		l := s.lostRuns[key]
		if l == nil {
			l = &lostRun{addr: w.info.Addr, lostAt: now, counted: true}
			s.lostRuns[key] = l
		}
		l.attempts = append(l.attempts, lost)
	}
	s.countCrash(now, a.task, lost, key, over, w.lastRun.crashCauses)
}

// countLostRun counts a lost run as a crash of its attempts' tasks.
func (s *Shard) countLostRun(now Instant, key workerRun, l *lostRun, over bool) {
	var causes crashCauses
	for _, a := range l.attempts {
		t := s.findTask(now, a.Task)
		causes.add(a, t != nil && t.isSuspectBefore(key))
	}
	for _, a := range l.attempts {
		if t := s.findTask(now, a.Task); t != nil {
			s.countCrash(now, t, a, key, over, causes)
		}
	}
}

// countCrash records a crash of a task, once for each run of a worker, and fails the job
// after too many. Long-running tasks outlive many workers, so a crash counts only if the
// task had just started.
func (s *Shard) countCrash(now Instant, t *task, lost job.LostAttempt, key workerRun, over bool, causes crashCauses) {
	j := t.step.job
	c := job.Crash{
		Worker: key.worker, Run: key.run, Over: over, Started: lost.Started, Settled: lost.Settled,
		Blamed: over && causes.blames(lost, t.isSuspectBefore(key)),
	}
	if t.done || j.ended() || t.step.spec.LongRunning && lost.Settled {
		return
	}
	crashes := slices.Clone(j.progress.Crashes[t.number])
	i := slices.IndexFunc(crashes, func(other job.Crash) bool { return other.Worker == c.Worker && other.Run == c.Run })
	switch {
	case i < 0:
		crashes = append(crashes, c)
	case crashes[i] == c || crashes[i].Over && !c.Over:
		return
	default:
		crashes[i] = c
	}
	s.setCrashes(t, crashes)
	s.journal.urgent = true
	givenUp := tooManyCrashes(crashes)
	s.notes.Crashes = append(s.notes.Crashes, CrashNote{Task: t.ref(), Crash: c, Crashes: len(crashes), GivenUp: givenUp})
	if givenUp {
		s.endJob(now, j, job.Failed)
	}
}

// retractLostRun takes back the crashes that a run counts for although it has not ended.
func (s *Shard) retractLostRun(key workerRun, l *lostRun) {
	if !l.counted {
		return
	}
	for _, a := range l.attempts {
		t := s.findTask(s.now, a.Task)
		if t == nil || t.step.job.ended() {
			continue
		}
		crashes := slices.DeleteFunc(slices.Clone(t.step.job.progress.Crashes[t.number]), func(c job.Crash) bool {
			return c.Worker == key.worker && c.Run == key.run
		})
		s.setCrashes(t, crashes)
	}
}

// setCrashes sets the crashes of a task and marks them to be recorded.
func (s *Shard) setCrashes(t *task, crashes []job.Crash) {
	p := &t.step.job.progress
	if len(crashes) == 0 {
		delete(p.Crashes, t.number)
	} else {
		p.Crashes[t.number] = crashes
	}
	s.journal.markDirty(t.step.job)
	t.crashChange = s.journal.lastChange
}

// tooManyCrashes reports whether a task with these crashes is given up.
func tooManyCrashes(crashes []job.Crash) bool {
	early, blamed, workers := 0, false, map[platform.WorkerID]bool{}
	for i, c := range crashes {
		if c.Over && c.Started {
			workers[c.Worker] = true
		}
		if c.Over && !c.Settled {
			early++
		}
		blamed = blamed || i > 0 && c.Blamed
	}
	return blamed && len(workers) >= maxBlamedCrashes || early >= maxEarlyCrashes || len(crashes) >= maxPossibleCrashes
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

// mayStartBeside reports whether a task may start on a worker where others may have just
// started: a suspect must be the only one that has, unless that has held it for long.
func (p *placement) mayStartBeside(t *task, w *workerState) bool {
	if !t.isSuspect() {
		return p.now >= w.trialUntil
	}
	if p.now >= w.startedAt+settleTime {
		return true
	}
	if t.heldSince == 0 {
		t.heldSince = p.now
	}
	return p.now >= t.heldSince+isolationPatience
}
