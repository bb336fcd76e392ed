package scheduler

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// silentFactor says which part of the workers has to be silent for the owner to count as
	// cut off, as its inverse.
	silentFactor = 3
	// maxSilentRecorded is the number of silent workers up to which an owner that counts as
	// cut off still records those with a task that had just started.
	maxSilentRecorded = 16
	// lostRunRetention is how long the owner remembers a lost run. Workers that crash
	// are back after some seconds.
	lostRunRetention = time.Minute
	// upkeepDelay is how long after the upkeep of a machine was last known to be ordered it
	// may end what still runs there.
	upkeepDelay = 10 * time.Second
)

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
	// leaving is set if the run may have left as planned, which counts as no crash.
	leaving bool
	crashCauses
}

// closeRun sets lastRun to the worker's run, which is over or does not answer.
func (w *workerState) closeRun() {
	w.lastRun = endedRun{heardAt: w.heardAt, leaving: w.mayLeave()}
	for _, a := range w.attempts {
		if a.endUnread {
			continue
		}
		w.lastRun.add(a.lost(w.heardAt), a.task != nil && a.task.isSuspectBefore(workerRun{w.info.ID, a.run}))
	}
}

// startConfirmed reports whether the worker has accepted the attempt's start order or
// listed the attempt.
func (a *attempt) startConfirmed() bool { return a.confirmedAt != 0 && a.startedAt != 0 }

// mayNotHaveStarted reports whether no answer tells that the attempt was started, and the run
// that was ordered to start it is over. The order may still reach the present run.
func (a *attempt) mayNotHaveStarted() bool {
	return a.startUncertain && a.startedAt == 0 && a.run != a.worker.run
}

// ranBy returns for how long the attempt is known to have run at the given time.
func (a *attempt) ranBy(at Instant) time.Duration {
	if !a.startConfirmed() {
		return 0
	}
	return a.ranBefore + max(0, at-a.startedAt)
}

// lost describes the attempt after its worker last answered at heardAt.
func (a *attempt) lost(heardAt Instant) job.LostAttempt {
	return job.LostAttempt{Task: a.ref, Attempt: a.number, Started: a.startConfirmed(), Ran: a.ranBy(heardAt)}
}

// mayRun reports whether the attempt may be running on its worker.
func (a *attempt) mayRun() bool { return a.task != nil && !a.endUnread && (a.startSent || a.adopted) }

// recordLoss records the attempts of a worker that has ceased to answer. If a large part of
// the workers has, it is probably the owner that is cut off, and their records would fill
// its link: only up to maxSilentRecorded workers are recorded then on which a task had just
// started, since one of them may be crashed by that task.
func (s *Shard) recordLoss(w *workerState) {
	if !w.enrolled || w.gone || len(w.attempts) == 0 {
		return
	}
	silent := 0
	for _, other := range s.workers {
		if other.unresponsive() {
			silent++
		}
	}
	if silent > 1 && silentFactor*silent > len(s.workers) && (silent > maxSilentRecorded || !w.hasUnsettled()) {
		return
	}
	w.lossDue = true
	s.journal.enroll(w)
}

// mayLeave reports whether the worker was about to leave as planned when its run was last
// seen, so that its silence counts as no crash. One that is only being emptied was not.
func (w *workerState) mayLeave() bool {
	return w.info.Draining || w.upkeepOrderedAt != 0 && max(w.heardAt, w.runSeenAt) < w.upkeepOrderedAt+upkeepDelay
}

// hasUnsettled reports whether an attempt may be running on a worker that was not known to
// have run for settleTime when the worker last answered.
func (w *workerState) hasUnsettled() bool {
	for _, a := range w.attempts {
		if a.mayRun() && a.ranBy(w.heardAt) < settleTime {
			return true
		}
	}
	return false
}

// maxLostRecorded bounds the attempts that the record of a silent worker names. Those that had
// run for the shortest time come first, since they are the likely causes if it has crashed.
const maxLostRecorded = 1500

// takeLost returns the attempts to be recorded as lost: those of a worker that does not
// answer and was not to leave.
func (w *workerState) takeLost() []job.LostAttempt {
	w.lossRecorded = false
	if !w.lossDue || !w.unresponsive() || w.mayLeave() {
		return nil
	}
	var list []job.LostAttempt
	for _, a := range w.sortedAttempts() {
		if a.mayRun() {
			list = append(list, a.lost(w.heardAt))
		}
	}
	w.lossRecorded = len(list) > 0
	if len(list) > maxLostRecorded {
		slices.SortStableFunc(list, func(a, b job.LostAttempt) int { return cmp.Compare(a.Ran, b.Ran) })
		list = list[:maxLostRecorded]
	}
	return list
}

// markHeard records that a worker's run has answered.
func (s *Shard) markHeard(now Instant, w *workerState) {
	first := w.heardAt == 0
	w.heardAt, w.gone, w.lossDue = now, false, false
	if w.lossRecorded || w.closed {
		s.journal.enroll(w)
	}
	if first {
		s.replaceOthersAt(now, w)
	}
	if w.run != 0 && (first || w.unresponsive()) {
		s.resolveLostRuns(now, w.info.ID, w.run)
		s.resolveCrashes(now, w.info.ID, w.run)
	}
}

// replaceOthersAt records that the workers that were at a worker's address before are over,
// since the worker answers there.
func (s *Shard) replaceOthersAt(now Instant, w *workerState) {
	for id, other := range s.workers {
		if other != w && other.info.Addr == w.info.Addr {
			s.WorkerReplaced(now, id)
		}
	}
	for key, l := range s.lostRuns {
		if key.worker != w.info.ID && l.addr == w.info.Addr {
			s.resolveLostRuns(now, key.worker, noRun)
		}
	}
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
	for ref := range w.unansweredStarts {
		s.forgetUnansweredStart(w, ref)
	}
	s.resolveLostRuns(now, id, noRun)
	s.resolveCrashes(now, id, noRun)
	s.dirty.add(w)
}

// resolveLostRuns counts the lost runs of a worker other than its present one, which is
// known, as over.
func (s *Shard) resolveLostRuns(now Instant, id platform.WorkerID, present int64) {
	for key, l := range s.lostRuns {
		if key.worker != id {
			continue
		}
		delete(s.lostRuns, key)
		if key.run != present {
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
// silent.
func (s *Shard) suspectCrash(now Instant, a *attempt) {
	w := a.worker
	over := w.gone || a.run != w.run
	if !a.mayRun() || w.lastRun.leaving || !over && !w.unresponsive() {
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
