package scheduler

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// workerState is the owner's view of one worker.
type workerState struct {
	info fleet.Worker
	// enrolled is set once the log records that this owner may extend leases on the
	// worker; enrolling is set while that record is being written.
	enrolled, enrolling bool
	// recordedRun is the worker run named in the log's enrollment record.
	recordedRun int64
	// previousClaim is the claim of the last earlier owner enrolled on the worker, or
	// zero.
	previousClaim uint32
	// closed is set while the log may say that this owner starts nothing on the worker.
	closed bool
	// onlyMayRun holds the tasks that an earlier owner may have left running there if the log
	// names them, else it is nil. closedAt is when that record was in the log at the latest.
	onlyMayRun job.TaskSet
	closedAt   Instant
	// registered is set while the worker has an entry in the platform's store.
	registered bool
	// drainEnd is the earliest time at which a draining worker may terminate, or zero.
	drainEnd Instant
	// cordoned is set while the worker has to be emptied before the upkeep of its
	// machine.
	cordoned bool
	// evacuated is set while the worker's failure domain is evacuated.
	evacuated bool
	// run identifies the worker's current run (its start time); zero until its lists
	// were read. runSeenAt is when it was first seen, and runBefore is the run before.
	run, runBefore int64
	runSeenAt      Instant
	// reconciled is set once the worker's lists were read under this owner's token.
	reconciled bool
	// earlierEndsAt is when the first of these lists arrived, or zero if no end before that can
	// matter to this owner. Until the ends before that have been listed, attempts of earlier
	// owners may have ended of which this one does not know.
	earlierEndsAt Instant
	// listsReceived is when the latest lists arrived, listsRequested when they were
	// requested, and listsRun the run that they are of.
	listsReceived  Instant
	listsRequested Instant
	listsRun       int64
	// listsReadAt is a lower bound of when the worker read its latest lists, and listsClock
	// its clock at that time.
	listsReadAt Instant
	listsClock  platform.WorkerTime
	// lists counts the lists that were applied.
	lists uint64
	// renewalDue is until when the answer to a renew order may take that was sent while the
	// worker's run was certain, or zero if none is awaited.
	renewalDue Instant
	// unresponsiveSince is when the first unanswered renew order since the last answer
	// was sent, or zero.
	unresponsiveSince Instant
	// contactedAt is when the present run last answered, and doubtedAt when the order was sent that it should have
	// answered since it last read its lists, or zero.
	contactedAt, doubtedAt Instant
	clock                  workerClock
	// renewOrderedAt is when the last renew order was prepared, and renewOrderedRun for which run.
	renewOrderedAt  Instant
	renewOrderedRun int64
	// leasedAt is when the last order was sent that has granted the present run a lease, or zero.
	leasedAt Instant
	stray    strayLeases
	attempts map[job.TaskRef]*attempt
	reserved platform.Resources
	// arriving counts the tasks of each step that are about to move to the worker, while
	// drainWorkers runs.
	arriving map[*stepRun]int
	// orphans counts the attempts of jobs that this owner does not have.
	orphans    int
	colocation colocation
	health     health
	trial      trial
	// lastThrottleChange is when the CPU limit of a task on the worker last changed.
	lastThrottleChange Instant
	ended              endedLog
	// batchAttempts counts the attempts of tasks that are not long-running.
	batchAttempts int
	// dirty is set while the worker is in the shard's dirty set.
	dirty bool
	// heardAt is when the worker's run last answered. lastRun describes the run before.
	heardAt Instant
	lastRun endedRun
	// gone is set once the worker's run is known to be over and no later one is known.
	gone bool
	// upkeepOrderedAt is when the upkeep of the worker's machine was last known to be ordered,
	// or zero.
	upkeepOrderedAt Instant
	// lossDue is set while the worker is silent and its attempts are to be recorded as lost,
	// lossRecorded while the log lists them so.
	lossDue, lossRecorded bool
	// placedAt is when a start order for the worker was last issued. Until soloUntil a
	// suspect has to be the only task that has just started there.
	placedAt, soloUntil Instant
	// unansweredStarts are the start orders that got no answer and may still be carried
	// out. A new run of the worker would accept them, since it has forgotten the later
	// orders that made the old run refuse them.
	unansweredStarts map[job.TaskRef]*unansweredStart
	// openStartsRecorded is set while the log names some of them.
	openStartsRecorded bool
	// unansweredStops are the attempts whose stop order was not accepted, and some that have
	// ended since.
	unansweredStops []*attempt
}

// workerFor returns the state of a worker, creating it if needed.
func (s *Shard) workerFor(id platform.WorkerID) *workerState {
	w, ok := s.workers[id]
	if !ok {
		w = &workerState{attempts: map[job.TaskRef]*attempt{}, unansweredStarts: map[job.TaskRef]*unansweredStart{}}
		w.clock.earlierLease = s.leaseLength()
		w.info.ID = id
		s.workers[id] = w
		s.addSortedWorker(w)
	}
	return w
}

// SetWorker applies a worker's entry in the platform's store, and reports whether the entry
// is the first sign of a restart. It returns an error for an entry of another writer, which
// takes the worker's entry away. A draining worker that the shard does not have is left out:
// nothing runs on it, since it would be enrolled, and nothing may start there.
func (s *Shard) SetWorker(now Instant, info fleet.Worker) (restarted bool, err error) {
	known, ok := s.workers[info.ID]
	if !ok && info.Draining {
		return false, nil
	}
	if ok {
		if err := s.checkWriter(known, info); err != nil {
			s.RemoveWorker(now, info.ID)
			return false, err
		}
	}
	w := s.workerFor(info.ID)
	if w.info.Addr != info.Addr {
		w.enrolled, w.enrolling = false, false
	}
	if w.info.Started == info.Started && info.Started != 0 && w.info.Capacity != info.Capacity {
		s.noteCapacityChange()
	}
	restarted = w.run != 0 && info.Started > w.run && info.Started != w.runBefore
	if restarted {
		// The entry of the next run does not tell whether this one was to leave.
		w.closeRun()
	}
	w.info = info
	w.registered, w.evacuated = true, s.evacuations.include(info.Domain)
	w.updateDrainEnd(now, info)
	s.updateColocation(now, w)
	if restarted {
		s.handleRestart(now, w, info.Started)
	}
	return restarted, nil
}

// RemoveWorker records that a worker no longer has an entry. Its attempts remain
// tracked until their leases have expired.
func (s *Shard) RemoveWorker(now Instant, id platform.WorkerID) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	w.registered = false
	if s.idle(now, w) && s.strayOver(now, w) {
		s.forgetWorker(w)
	}
}

// forgetWorker removes a worker on which nothing can be running.
func (s *Shard) forgetWorker(w *workerState) {
	for ref := range w.unansweredStarts {
		s.forgetUnansweredStart(w, ref)
	}
	delete(s.workers, w.info.ID)
	s.removeSortedWorker(w)
	s.journal.unenroll(w.info.ID)
}

// Enroll adds a worker on which an earlier owner may have started tasks. The worker
// need not have an entry in the platform's store. Enroll returns an error if the record
// has no valid address; what may run on the worker is then only known once the worker
// has an entry.
func (s *Shard) Enroll(e job.Enrollment) error {
	addr, err := netip.ParseAddrPort(e.Addr)
	if err != nil {
		return fmt.Errorf("enrollment of worker %s: %w", e.Worker, err)
	}
	w := s.workerFor(e.Worker)
	w.info = fleet.Worker{ID: e.Worker, Addr: addr, Service: e.Service, Capacity: e.Capacity, Started: e.Run}
	w.previousClaim, w.recordedRun = e.Claim, e.Run
	if e.StrayLeases > 0 {
		w.stray.endAt = e.SeenAt + slowestClock(min(e.StrayLeases, s.maxStrayLease()))
	}
	s.takeover.enrolledWorkers++
	s.journal.listed[e.Worker] = true
	if e.Closed {
		w.onlyMayRun, w.closedAt = job.TaskSet{}, e.SeenAt
		maps.Copy(w.onlyMayRun, e.MayRun)
	}
	s.inheritLostRun(e)
	s.inheritUnansweredStarts(w, e)
	return nil
}

// handleRestart replaces the worker's run, which closeRun has closed. It drops the attempts
// that the previous run listed, since none of them is still running. Attempts started since
// then may belong to either run; the lists of the new run tell which. Unanswered start
// orders may still reach the new run, so it is ordered to stop those attempts.
func (s *Shard) handleRestart(now Instant, w *workerState, run int64) {
	s.strayOnRestart(w)
	w.setRun(now, run)
	s.noteRestart(now, w)
	w.gone, w.heardAt = false, 0
	for _, a := range w.attempts {
		if a.confirmedAt != 0 && a.confirmedAt < w.listsRequested {
			s.loseAttempt(now, a, "worker restarted")
			continue
		}
		a.absentAt, a.endUnread = 0, false
	}
	for ref, start := range w.unansweredStarts {
		start.beginRun()
		if now < start.expiresAt {
			// A stop order in flight may be meant for the previous run.
			start.stopDue, start.stopOrderedAt = true, now
			s.issueStop(w, ref, start.number)
		}
	}
	w.enrolling = false
	w.clock = workerClock{readAt: now}
	if s.predecessorsMayOrder(now) {
		w.clock.earlierLease = s.bounds.MaxLease
	}
	w.ended, w.earlierEndsAt = endedLog{}, 0
	w.unresponsiveSince = 0
	w.health = health{}
}

// noteRestart adds a note on the worker's next run.
func (s *Shard) noteRestart(now Instant, w *workerState) {
	n := RestartNote{Worker: w.info.ID, Run: w.run, Before: w.runBefore, StrayLeases: s.strayLeft(now, w)}
	if w.listsReceived != 0 {
		n.Silent = now - w.listsReceived
	}
	s.notes.Restarts = append(s.notes.Restarts, n)
}

// setFirstRun sets the run in which a worker first answers this owner, at the time clock on its
// clock. The run refuses orders of earlier owners from then on. If the log names no run, an
// earlier owner that had deleted the record may have called the run before, unless that ended too
// long ago.
func (s *Shard) setFirstRun(now Instant, w *workerState, run int64, clock platform.WorkerTime) {
	w.setRun(now, run)
	longest := now + s.longestLease()
	const unnoticed = maxRenewWait + renewAnswerTime
	switch {
	case w.recordedRun == 0 && len(s.takeover.predecessors) > 0:
		w.stray.endAt = min(longest, now+max(0, unnoticed+s.maxStrayLease()-time.Duration(clock)))
	case run != w.recordedRun && w.recordedRun != 0:
		w.stray.endAt = longest
	case w.stray.endAt != 0:
		w.stray.endAt = min(w.stray.endAt, longest)
	}
}

// setRun sets the worker's current run.
func (w *workerState) setRun(now Instant, run int64) {
	w.run, w.runBefore, w.runSeenAt = run, w.run, now
	w.renewalDue, w.contactedAt, w.doubtedAt = 0, 0, 0
}

// isEarlierRun reports whether the answer to an order sent at the time sent is that of a run
// before the current one. The start time alone does not tell: the worker's time of day may
// have been set back before it restarted. Only the current run or a later one answers
// orders that were sent after the current one was seen.
func (w *workerState) isEarlierRun(run int64, sent Instant) bool {
	if run == 0 || w.run == 0 || sent > w.runSeenAt {
		return false
	}
	return run < w.run || run == w.runBefore
}

// schedulable reports whether a worker may get new tasks at all. While it runs orphans
// its free resources are not known.
func (w *workerState) schedulable() bool {
	return w.registered && !w.gone && !w.entryOutdated() && w.leasable() && w.reconciled && w.orphans == 0 && w.clock.known && !w.unresponsive() &&
		!w.info.Draining && !w.cordoned && !w.evacuated
}

// entryOutdated reports whether the worker's entry was written by an earlier run, which may
// have had another capacity and other labels.
func (w *workerState) entryOutdated() bool { return w.info.Started != 0 && w.info.Started < w.run }

// free returns the unreserved resources of a worker.
func (w *workerState) free() platform.Resources {
	free := w.info.Capacity.Sub(w.reserved)
	free.Slots = 0
	return free
}

// enteredAnotherRun reports whether the worker's entry names another run than its record in the log.
func (w *workerState) enteredAnotherRun() bool {
	return w.info.Started != 0 && w.recordedRun != 0 && w.info.Started != w.recordedRun
}

// overcommitted reports whether more is reserved on a worker than its capacity, which may
// have shrunk since.
func (w *workerState) overcommitted() bool { return !(platform.Resources{}).Fits(w.free()) }

// endedLog tracks which of a worker's listed ends were applied and recorded.
type endedLog struct {
	// applied is the highest end number that was applied, recorded the highest that is
	// in the log.
	applied  uint64
	recorded uint64
	pending  []*pendingEnd
	// sent is the highest end number that a renew order has acknowledged, and
	// acknowledged that of the last answered one.
	sent, acknowledged uint64
	// goesOn is set if there may be ends behind those listed last. All ends before the lists
	// that arrived at the time through have been listed.
	goesOn  bool
	through Instant
}

// pendingEnd says that the ends up to endNumber are recorded once the journal's change
// number change is.
type pendingEnd struct {
	endNumber uint64
	change    uint64
	// job is the job whose progress tells of the last of the ends, or nil.
	job *jobState
}

// recordedBy reports whether the ends are in the log once the change with a number is.
func (p *pendingEnd) recordedBy(change uint64) bool {
	return p.change <= change && (p.job == nil || !p.job.refused)
}

// notRecordable is the change number of ends that must not be acknowledged.
const notRecordable = math.MaxUint64

func (l *endedLog) add(number, change uint64) *pendingEnd {
	p := &pendingEnd{endNumber: number, change: change}
	l.applied = number
	l.pending = append(l.pending, p)
	return p
}

// acknowledgeable returns the highest end number whose change was recorded.
func (l *endedLog) acknowledgeable(recorded uint64) uint64 {
	n := 0
	for n < len(l.pending) && l.pending[n].recordedBy(recorded) {
		l.recorded = l.pending[n].endNumber
		n++
	}
	l.pending = l.pending[n:]
	return l.recorded
}

// workerClock relates a worker's clock to the host's.
type workerClock struct {
	// readAt is when the answer with the reading arrived; the worker took the reading
	// no later than that. Before the first reading it is when the run was first seen,
	// or zero.
	readAt  Instant
	reading platform.WorkerTime
	// maxLeaseEnd is the latest lease end that was ever requested.
	maxLeaseEnd platform.WorkerTime
	// earlierLease bounds the length of leases requested before the first reading, by
	// this or an earlier owner.
	earlierLease time.Duration
	known        bool
}

// minClockRate is the slowest rate of a worker's clock: the platform's specification of
// tasks allows it to be 2% slow.
const minClockRate = 0.98

func (c *workerClock) update(at Instant, reading platform.WorkerTime) {
	if reading == 0 || c.known && reading < c.reading {
		return
	}
	if !c.known {
		c.maxLeaseEnd = reading + platform.WorkerTime(c.earlierLease)
	}
	c.readAt, c.reading, c.known = at, reading, true
}

// updateClock applies a clock reading from the answer to an order that was issued for
// the given run. An answer of an earlier run may arrive late, and the clock of each run
// starts anew.
func (w *workerState) updateClock(at Instant, run int64, reading platform.WorkerTime) {
	if run == w.run {
		w.clock.update(at, reading)
	}
}

// extendLease returns the worker's clock reading at which a lease of the given length
// from now ends, and tracks it in maxLeaseEnd. The lease never lasts longer than
// length, since the reading is at least as old as the answer that carried it.
func (c *workerClock) extendLease(now Instant, length time.Duration) platform.WorkerTime {
	end := c.reading + platform.WorkerTime(now-c.readAt+length)
	c.maxLeaseEnd = max(c.maxLeaseEnd, end)
	return end
}

// leasesExpireAt returns when every requested lease has expired, also on the slowest
// clock.
func (c *workerClock) leasesExpireAt() Instant {
	left := float64(c.maxLeaseEnd - c.reading)
	if !c.known {
		left = float64(c.earlierLease)
	}
	return c.readAt + Instant(left/minClockRate)
}

// Registered returns the workers that have an entry in the platform's store.
func (s *Shard) Registered() []platform.WorkerID {
	var ids []platform.WorkerID
	for id, w := range s.workers {
		if w.registered {
			ids = append(ids, id)
		}
	}
	return ids
}
