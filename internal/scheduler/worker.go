package scheduler

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// workerState is what the owner knows of one worker.
type workerState struct {
	info fleet.Worker
	// enrolled is set once the log tells later owners that this one may extend
	// leases on the worker, and enrolling while that is being recorded.
	enrolled, enrolling bool
	// recordedRun is the run of which the log tells.
	recordedRun int64
	// inherited is the claim of the last earlier owner that may have done so, or
	// zero.
	inherited uint32
	// listed is set while the worker has an entry in the platform's store.
	listed bool
	// leaves is when the worker ends at the earliest that drains, or zero.
	leaves Instant
	// cordoned is set while the worker is to be left before its upkeep.
	cordoned bool
	// run tells the worker's runs apart; zero until its lists were read.
	run int64
	// heard is set once the worker's lists were read under this owner's token.
	heard bool
	// answered is when the last lists came, asked when they were asked for.
	answered Instant
	asked    Instant
	// silentSince is when the first order without an answer was given since the
	// last answer, or zero.
	silentSince Instant
	clock       clock
	attempts    map[job.TaskRef]*attempt
	reserved    platform.Resources
	// strangers counts the attempts of jobs that the owner does not hold.
	strangers int
	mix       mix
	health    health
	// paced is when the share of a task there was last changed.
	paced Instant
	ends  endLog
	// shorts counts the attempts that are to end.
	shorts int
	// changed is set while the worker is on the agenda of the next plan.
	changed bool
	// doubts are the orders to start that had no answer. A new run of the worker
	// knows nothing of later orders that would rule them out.
	doubts map[job.TaskRef]doubt
}

// phase is what the owner knows of an attempt.
type phase uint8

const (
	// starting: the order was given and not answered.
	starting phase = iota
	// running: the worker accepted the order or lists the attempt.
	running
	// stopping: an order to stop was given and not answered.
	stopping
	// stopped: the worker accepted the order to stop; its end is not listed.
	stopped
)

// attempt is one attempt of a task on a worker. While it exists its room is
// reserved.
type attempt struct {
	task   *task
	ref    job.TaskRef
	worker *workerState
	number platform.Attempt
	phase  phase
	size   platform.Resources
	// ordered is when the phase's order was last given, settled when its answer
	// came.
	ordered Instant
	settled Instant
	tries   int
	// uncertain is set once an order to start got no answer: it may be carried
	// out late.
	uncertain bool
	begun     Instant
	progress  int
	// progressed is when progress last grew.
	progressed Instant
	load       float64
	// checkpoint and ticket are those of the order to start.
	checkpoint string
	ticket     string
	// percent is the share of its processors that the attempt is to use, told what
	// its worker was last told. telling is set while an order is under way; until
	// paceDoubt an earlier one may be carried out late, so that the order is
	// repeated at paceAgain.
	percent, told        int
	telling              bool
	paceDoubt, paceAgain Instant
	// slowed is set once it was less than 100, and adopted if an earlier owner
	// started the attempt.
	slowed, adopted bool
	// image is what the attempt runs, own its latency headroom without
	// neighbours, room that beside the present ones and taken the difference.
	image headroom.Image
	own   headroom.Track
	room  float64
	taken float64
	// measured is the last measured headroom, over is since when it may be below
	// 1, or zero.
	measured float64
	over     Instant
}

// short reports whether the attempt is of a task that is to end.
func (a *attempt) short() bool { return a.task != nil && !a.task.step.step.LongRunning }

// worker returns the state of a worker, creating it at need.
func (s *Shard) worker(id platform.WorkerID) *workerState {
	w, ok := s.workers[id]
	if !ok {
		w = &workerState{attempts: map[job.TaskRef]*attempt{}, doubts: map[job.TaskRef]doubt{}}
		w.clock.earlier = s.leaseLength()
		w.info.ID = id
		s.workers[id] = w
		s.addToRoster(w)
	}
	return w
}

// SetWorker takes over a worker's entry in the platform's store.
func (s *Shard) SetWorker(now Instant, info fleet.Worker) {
	w := s.worker(info.ID)
	if w.info.Addr != info.Addr {
		w.enrolled, w.enrolling = false, false
	}
	w.info = info
	w.listed = true
	w.noteLeaving(now, info)
	s.remix(now, w)
	if w.run != 0 && info.Started > w.run {
		s.restarted(now, w, info.Started)
	}
}

// RemoveWorker notes that a worker has no entry any more. Its attempts stay
// until their leases have run out.
func (s *Shard) RemoveWorker(now Instant, id platform.WorkerID) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	w.listed = false
	if len(w.attempts) == 0 && s.resolved(now, w) {
		s.dismiss(w)
	}
}

// dismiss forgets a worker on which nothing can run.
func (s *Shard) dismiss(w *workerState) {
	delete(s.workers, w.info.ID)
	s.dropFromRoster(w)
	s.journal.dismiss(w.info.ID)
}

// Enroll takes over a worker on which an earlier owner may have started tasks. It
// need not have an entry in the platform's store. An error says that the record names
// no address; what may run there is then known once the worker has an entry.
func (s *Shard) Enroll(e job.Enrollment) error {
	addr, err := netip.ParseAddrPort(e.Addr)
	if err != nil {
		return fmt.Errorf("enrollment of worker %s: %w", e.Worker, err)
	}
	w := s.worker(e.Worker)
	w.info = fleet.Worker{ID: e.Worker, Addr: addr, Service: e.Service, Room: e.Room}
	w.inherited = e.Claim
	s.inherited.workers++
	return nil
}

// restarted drops what an earlier run of a worker has listed: nothing of it runs
// any more. What was started since may belong to either run, which the lists of the
// new one tell. Orders to start that were not answered may still reach the new
// run, so they are stopped there.
func (s *Shard) restarted(now Instant, w *workerState, run int64) {
	for _, a := range w.attempts {
		if a.settled != 0 && a.settled < w.asked {
			s.lose(now, a, "worker restarted")
		}
	}
	for ref, d := range w.doubts {
		if now < d.until {
			s.orderStop(w, ref, d.number)
		}
	}
	w.run = run
	w.enrolling = false
	// The lease of an order from before was counted on the old run's clock.
	w.clock = clock{at: now, earlier: s.bounds.MaxLease}
	w.ends = endLog{}
	w.silentSince = 0
	w.health = health{}
}

// reserve adds an attempt to its worker and its task.
func (s *Shard) reserve(now Instant, a *attempt) {
	w := a.worker
	w.attempts[a.ref] = a
	w.reserved = w.reserved.Add(a.size)
	if a.task == nil {
		w.strangers++
	}
	if a.short() {
		w.shorts++
		s.shortReserved += a.size.MilliCPU
	}
	if a.task != nil {
		a.task.live = append(a.task.live, a)
		a.task.attempt = max(a.task.attempt, a.number)
	}
	s.remix(now, w)
}

// drop removes an attempt that is over and lets its task wait again.
func (s *Shard) drop(now Instant, a *attempt) {
	if s.unbook(now, a) && a.task != nil {
		s.vacate(now, a.task)
	}
}

// unbook gives the room of an attempt back. It reports whether the attempt was in
// the books.
func (s *Shard) unbook(now Instant, a *attempt) bool {
	w := a.worker
	if w.attempts[a.ref] != a {
		return false
	}
	delete(w.attempts, a.ref)
	w.reserved = w.reserved.Sub(a.size)
	if a.task == nil {
		w.strangers--
	}
	if a.short() {
		w.shorts--
		s.shortReserved -= a.size.MilliCPU
	}
	s.remix(now, w)
	if t := a.task; t != nil {
		t.live = slices.DeleteFunc(t.live, func(other *attempt) bool { return other == a })
	}
	return true
}

// vacate decides what becomes of a task that has lost an attempt.
func (s *Shard) vacate(now Instant, t *task) {
	t.away = now
	if t.step.job.recorded.Final() {
		s.forget(t.step.job)
		return
	}
	if t.step.step.Gang {
		s.disband(now, t.step)
	}
	s.enqueue(now, t)
}

// usable reports whether a worker may get new tasks at all. While it runs tasks of
// jobs that the owner does not hold, its free room is not known.
func (w *workerState) usable() bool {
	return w.listed && w.enrolled && w.heard && w.strangers == 0 && w.clock.known && !w.silent() && !w.info.Draining && !w.cordoned
}

// free returns the room that is left on a worker.
func (w *workerState) free() platform.Resources {
	free := w.info.Room.Sub(w.reserved)
	free.Slots = 0
	return free
}

// endLog tracks which of a worker's ends were taken in and recorded.
type endLog struct {
	// taken is the highest number that was taken in, acknowledged the highest
	// that is recorded.
	taken        uint64
	acknowledged uint64
	marks        []endMark
}

// endMark says that the ends up to number are recorded once change is.
type endMark struct {
	number uint64
	change uint64
}

func (l *endLog) mark(number, change uint64) {
	l.taken = number
	l.marks = append(l.marks, endMark{number, change})
}

// acknowledge returns the highest number whose change was recorded.
func (l *endLog) acknowledge(recorded uint64) uint64 {
	n := 0
	for n < len(l.marks) && l.marks[n].change <= recorded {
		l.acknowledged = l.marks[n].number
		n++
	}
	l.marks = l.marks[n:]
	return l.acknowledged
}

// clock relates a worker's clock to the host's.
type clock struct {
	// at is when an answer with the reading came; the worker's clock was not
	// later than that. Before the first reading it is when the run was heard of, or
	// zero.
	at      Instant
	reading platform.WorkerTime
	// leaseEnd is the latest end of a lease that was ever asked for.
	leaseEnd platform.WorkerTime
	// earlier is how long leases may last that others asked for before the first
	// reading.
	earlier time.Duration
	known   bool
}

// clockRate bounds how slow a worker's clock may be: the platform's page on
// tasks says 2%.
const clockRate = 0.98

func (c *clock) read(at Instant, reading platform.WorkerTime) {
	if reading == 0 || c.known && reading < c.reading {
		return
	}
	if !c.known {
		c.leaseEnd = reading + platform.WorkerTime(c.earlier)
	}
	c.at, c.reading, c.known = at, reading, true
}

// lease returns the reading at which a lease of the given length from now ends.
// It is never longer, since the reading is at least as old as its answer.
func (c *clock) lease(now Instant, length time.Duration) platform.WorkerTime {
	end := c.reading + platform.WorkerTime(now-c.at+length)
	c.leaseEnd = max(c.leaseEnd, end)
	return end
}

// lapsed is when every lease that was asked for has surely ended.
func (c *clock) lapsed() Instant {
	left := float64(c.leaseEnd - c.reading)
	if !c.known {
		left = float64(c.earlier)
	}
	return c.at + Instant(left/clockRate)
}

// Listed returns the workers that have an entry in the platform's store.
func (s *Shard) Listed() []platform.WorkerID {
	var ids []platform.WorkerID
	for id, w := range s.workers {
		if w.listed {
			ids = append(ids, id)
		}
	}
	return ids
}
