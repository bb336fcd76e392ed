package scheduler_test

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/cluster"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// Flags for running more than CI does, and for tracing one run.
var (
	days      = flag.Int("days", 24, "runs with random changes of owners")
	first     = flag.Uint64("first", 1, "seed of the first run")
	traceRuns = flag.Bool("trace", false, "log what happens in the runs")
)

const (
	ownersHosts   = 4
	ownersWorkers = 12
	chaosTime     = 40 * time.Second
	recoveryTime  = 15 * time.Minute
	// minRestartTime is the shortest time that a worker takes to restart. The platform's
	// specification names none, so it is shorter than the wait for an answer.
	minRestartTime = 100 * time.Millisecond
	// quickRestartShare is the share of the restarts that take less than quickRestartTime.
	quickRestartShare = 0.5
	quickRestartTime  = time.Second
	// bootCheckInterval is the time between two tries to hand an order to a worker that is down.
	bootCheckInterval = 10 * time.Millisecond
	// maxLateness is how long an order may be held up before it is carried out.
	maxLateness = 12 * time.Second
	// answerTimeout is how long a host waits for an answer, beyond the wait that its order allows.
	answerTimeout = 400 * time.Millisecond
	// entryLifetime is how long the entry of a worker lasts without a heartbeat.
	entryLifetime = 1500 * time.Millisecond
)

// ownersSim is a simulation of hosts that take a shard over from each other while earlier
// owners go on, of one log and of one cluster.
type ownersSim struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	events  eventQueue
	nextSeq int
	cluster *cluster.Cluster
	config  *queue.Config
	log     simLog
	epoch   platform.Epoch
	hosts   []*simHost
	workers []*simWorker
	jobs    []job.ID
	// capacity is that of each worker, lasting the number of tasks that last.
	capacity platform.Resources
	lasting  int
	lasts    map[job.ID]bool
	// firstSteps holds the number of tasks of each job's first step.
	firstSteps map[job.ID]int
	// lateShare is the share of orders that are held up, lossShare the share of lost messages.
	lateShare, lossShare float64
	// maxEntryDelay is how long the entry of a worker may name the run before, or be away, once its next
	// run has begun, maxAnswerDelay how long a worker may take to send an answer.
	maxEntryDelay, maxAnswerDelay time.Duration
	// trappedUntil is until when no other owner is trapped, see mayBeTrapped.
	trappedUntil time.Duration
	// startedAt is when each task was first started.
	startedAt map[job.TaskRef]time.Duration
	// owners are the owners so far.
	owners []*simOwner
}

// simEvent is something that happens at a time.
type simEvent struct {
	at   time.Duration
	seq  int
	fire func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q *eventQueue) Push(e any) { *q = append(*q, e.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simWorker is the platform's side of a worker.
type simWorker struct {
	info fleet.Worker
	up   bool
	// registeredUntil is when the worker's entry expires, silentUntil until when it sends no
	// heartbeat.
	registeredUntil, silentUntil time.Duration
	// cutUntil is until when no host reaches the worker.
	cutUntil time.Duration
	// earlierEntry is the entry of an earlier run while the present one has sent no heartbeat, or nil.
	earlierEntry *fleet.Worker
	// lost is set once the worker is gone for good.
	lost bool
}

// simLog is the log: the records and the highest epoch of its writers.
type simLog struct {
	records  []store.StoredRecord
	epoch    platform.Epoch
	sequence uint64
}

// append writes records under an epoch and a sequence number, and reports whether the writer
// is fenced.
func (l *simLog) append(epoch platform.Epoch, sequence uint64, records []store.Record) (fenced bool) {
	switch {
	case epoch < l.epoch:
		return true
	case epoch > l.epoch:
		l.epoch, l.sequence = epoch, 0
	case sequence <= l.sequence:
		return false
	}
	l.sequence = sequence
	l.write(records...)
	return false
}

func (l *simLog) write(records ...store.Record) {
	for _, r := range records {
		l.records = append(l.records, store.StoredRecord{Record: r, Offset: platform.Offset(len(l.records))})
	}
}

// newest returns the newest record of each key, in order.
func (l *simLog) newest() []store.StoredRecord {
	last := map[string]int{}
	for i, r := range l.records {
		last[r.Key] = i
	}
	var list []store.StoredRecord
	for i, r := range l.records {
		if last[r.Key] == i && len(r.Value) > 0 {
			list = append(list, r)
		}
	}
	return list
}

// storeFault is how the store fails a host.
type storeFault int

const (
	storeWorks storeFault = iota
	// storeRefuses: calls fail at once and have no effect.
	storeRefuses
	// storeSilent: calls get no answer; they have an effect if executed is drawn.
	storeSilent
)

// simHost is a host: it reads the log, and may own the shard.
type simHost struct {
	sim  *ownersSim
	name int
	// offset is the difference of the host's clock.
	offset time.Duration
	// life counts the host's processes. The events of earlier ones are dropped.
	life        int
	up          bool
	frozenUntil time.Duration
	table       *job.Table
	position    int
	// caughtUpAt is when the last read that reached the end of the log was sent, or zero.
	caughtUpAt time.Duration
	reads      storeFault
	appends    storeFault
	// slowStore is the longest delay of an append.
	slowStore time.Duration
	// cut are the workers that the host does not reach, cutHosts the hosts.
	cut      map[platform.WorkerID]bool
	cutHosts map[int]bool
	owner    *simOwner
	// busy is set while the host takes the shard over.
	busy bool
}

func (h *simHost) clock() time.Duration { return h.sim.now + h.offset }

// simOwner is a dispatcher.
type simOwner struct {
	host *simHost
	// life is that of the host's process.
	life     int
	own      job.Ownership
	shard    *scheduler.Shard
	over     bool
	stopping bool
	// sequence is that of the next append, inAppend is set while one is under way.
	sequence    uint64
	inAppend    bool
	claimed     bool
	planned     bool
	renewing    map[platform.WorkerID]bool
	recordDueAt time.Duration
}

// newOwnersSim returns a simulation whose workers have the given CPU, or a random one if it is zero.
func newOwnersSim(t testing.TB, seed uint64, milliCPU int64) *ownersSim {
	s := &ownersSim{
		t: t, rng: rand.New(rand.NewPCG(seed, 44)), now: time.Minute, cluster: cluster.New(), lasts: map[job.ID]bool{}, firstSteps: map[job.ID]int{}, startedAt: map[job.TaskRef]time.Duration{},
		config: queue.New(1, []*queue.Queue{{Name: queueName, Service: service, MaxFailures: 3, Stretch: 2, Target: time.Second}},
			[]*queue.Service{{Name: service}}, queue.Limits{}),
	}
	// With little room tasks wait most of the time, and start where a worker becomes usable.
	s.capacity = platform.Resources{MilliCPU: 8000 << s.rng.IntN(3), MemoryMB: 128_000}
	if milliCPU > 0 {
		s.capacity.MilliCPU = milliCPU
	}
	for range ownersWorkers {
		s.addWorker()
	}
	for i := range ownersHosts {
		h := &simHost{sim: s, name: i, offset: time.Duration(s.rng.Int64N(int64(time.Hour)))}
		s.hosts = append(s.hosts, h)
		h.boot()
	}
	s.every(tickInterval, func() { s.cluster.Advance(s.now) })
	s.every(100*time.Millisecond, s.sendHeartbeats)
	return s
}

func (s *ownersSim) tracef(format string, args ...any) {
	if *traceRuns {
		s.t.Logf("%9.3f "+format, append([]any{s.now.Seconds()}, args...)...)
	}
}

func (s *ownersSim) after(d time.Duration, fire func()) {
	s.nextSeq++
	heap.Push(&s.events, simEvent{s.now + d, s.nextSeq, fire})
}

func (s *ownersSim) every(d time.Duration, fire func()) {
	s.after(d, func() {
		fire()
		s.every(d, fire)
	})
}

// run advances the simulation by d and fails the test at the first violation.
func (s *ownersSim) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.fire()
		if v := s.cluster.Violations(); len(v) > 0 {
			s.t.Fatalf("%d owners so far; %s", len(s.owners), strings.Join(v, "; "))
		}
	}
	s.now = end
}

// chance reports true with probability p.
func (s *ownersSim) chance(p float64) bool { return s.rng.Float64() < p }

// between returns a random time.
func (s *ownersSim) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)+1))
}

// delay returns the delay of a message in the network.
func (s *ownersSim) delay() time.Duration { return s.between(time.Millisecond, 8*time.Millisecond) }

func (s *ownersSim) addWorker() {
	i := len(s.workers)
	info := workerInfo(i)
	info.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 200), byte(i % 200)}), 80)
	info.Capacity = s.capacity
	s.cluster.AddWorker(s.now, info)
	s.cluster.SetClockRate(info.ID, 1-0.02*s.rng.Float64()*float64(s.rng.IntN(2)))
	s.workers = append(s.workers, &simWorker{info: info, up: true, registeredUntil: s.now + entryLifetime})
}

func (s *ownersSim) sendHeartbeats() {
	for _, w := range s.workers {
		if w.up && s.now >= w.silentUntil {
			w.registeredUntil, w.earlierEntry = s.now+entryLifetime, nil
		}
	}
}

// restartTime returns a random time that a worker takes to restart.
func (s *ownersSim) restartTime() time.Duration {
	if s.chance(quickRestartShare) {
		return s.between(minRestartTime, quickRestartTime)
	}
	return s.between(quickRestartTime, 8*time.Second)
}

// restart takes a worker down, and up again after a time unless that is zero.
func (s *ownersSim) restart(w *simWorker, downFor time.Duration) {
	if !w.up {
		return
	}
	s.tracef("%s crashes for %v", w.info.ID, downFor)
	w.up = false
	s.cluster.Crash(w.info.ID)
	if downFor == 0 {
		w.lost = true
		return
	}
	s.after(downFor, func() {
		if s.maxEntryDelay > 0 {
			s.delayEntry(w)
		}
		w.up = true
		s.cluster.Boot(s.now, w.info.ID)
	})
}

// delayEntry makes the entry of the worker's next run late.
func (s *ownersSim) delayEntry(w *simWorker) {
	if w.earlierEntry == nil {
		entry := s.cluster.Entry(w.info.ID)
		w.earlierEntry = &entry
	}
	w.silentUntil = max(w.silentUntil, s.now+s.between(0, s.maxEntryDelay))
}

// entries returns the workers' entries.
func (s *ownersSim) entries() []fleet.Worker {
	var list []fleet.Worker
	for _, w := range s.workers {
		switch {
		case s.now >= w.registeredUntil:
		case w.earlierEntry != nil:
			list = append(list, *w.earlierEntry)
		default:
			list = append(list, s.cluster.Entry(w.info.ID))
		}
	}
	return list
}

// submit writes a random job to the log.
func (s *ownersSim) submit() job.ID {
	id := job.ID(fmt.Sprintf("%016x", len(s.jobs)+1))
	var steps []job.Step
	for i := range 1 + s.rng.IntN(3) {
		step := batchStep(1 + s.rng.IntN(5))
		step.Checkpointing = s.chance(0.5)
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		if s.chance(0.15) && step.Tasks > 1 {
			step.Gang = true
		}
		steps = append(steps, step)
	}
	if s.chance(0.3) && s.lasting < ownersWorkers {
		step := longRunningStep()
		step.Tasks = 1 + s.rng.IntN(3)
		s.lasting += step.Tasks
		s.lasts[id] = true
		steps = []job.Step{step}
	}
	s.firstSteps[id] = steps[0].Tasks
	sub := &job.Submission{
		Queue: queueName, Service: service, MaxFailures: 3, Stretch: 2, TargetMS: 1000, AcceptedMS: s.now.Milliseconds(),
		Spec: job.Spec{Payload: "payload of " + string(id), Steps: steps},
	}
	lengths, failed, salt := map[job.TaskRef]time.Duration{}, map[job.TaskRef]int{}, s.rng.Uint64()
	draw := rand.New(rand.NewPCG(salt, 1))
	longest := 3 * time.Second
	if s.chance(0.3) {
		longest = 20 * time.Second
	}
	for i, step := range steps {
		for k := range step.Tasks {
			lengths[job.TaskRef{Job: id, Step: i, Index: k}] = 100*time.Millisecond + time.Duration(draw.Int64N(int64(longest)))
		}
	}
	s.cluster.Job(id, sub, func(ref job.TaskRef) time.Duration {
		if _, started := s.startedAt[ref]; !started {
			s.startedAt[ref] = s.now
		}
		return lengths[ref]
	}, func(ref job.TaskRef, _ platform.Attempt) bool {
		// A task fails twice at most, so its job never fails.
		if draw.IntN(8) != 0 || failed[ref] == 2 || steps[ref.Step].Gang {
			return false
		}
		failed[ref]++
		return true
	})
	s.accept(id, sub)
	return id
}

// accept writes a job to the log.
func (s *ownersSim) accept(id job.ID, sub *job.Submission) {
	r, err := job.SubmissionRecord(id, sub)
	must.NoError(s.t, err)
	s.log.write(r)
	s.jobs = append(s.jobs, id)
	for _, h := range s.hosts {
		if h.owner != nil {
			h.after(s.delay(), func() { h.readLog(func(bool) {}) })
		}
	}
}

// boot starts a process of the host, which knows nothing.
func (h *simHost) boot() {
	h.life++
	h.up, h.busy, h.owner, h.frozenUntil = true, false, nil, 0
	h.table, h.position, h.caughtUpAt = job.NewTable(), 0, 0
	h.cut, h.cutHosts = map[platform.WorkerID]bool{}, map[int]bool{}
	h.reads, h.appends, h.slowStore = storeWorks, storeWorks, 30*time.Millisecond
	if h.sim.chance(0.5) {
		h.table.Apply(store.Page{Records: h.sim.log.newest()}, h.clock())
		h.position = len(h.sim.log.records)
	}
	h.follow()
}

// kill ends the host's process. Orders on their way are carried out.
func (h *simHost) kill(downFor time.Duration) {
	if !h.up {
		return
	}
	h.sim.tracef("host %d is killed for %v", h.name, downFor)
	h.life++
	h.up = false
	if h.owner != nil {
		h.owner.over = true
	}
	h.sim.after(downFor, h.boot)
}

// after calls fire in the host's process, once it is not suspended.
func (h *simHost) after(d time.Duration, fire func()) {
	life := h.life
	var wake func()
	wake = func() {
		switch {
		case h.life != life:
		case h.sim.now < h.frozenUntil:
			h.sim.after(h.frozenUntil-h.sim.now+h.sim.between(0, time.Millisecond), wake)
		default:
			fire()
		}
	}
	h.sim.after(d, wake)
}

func (h *simHost) freeze(d time.Duration) {
	h.sim.tracef("host %d is suspended for %v", h.name, d)
	h.frozenUntil = max(h.frozenUntil, h.sim.now+d)
}

// confirmationAge is the time since the last read that reached the end of the log was sent.
func (h *simHost) confirmationAge() time.Duration {
	if h.caughtUpAt == 0 {
		return time.Hour
	}
	return h.clock() - h.caughtUpAt
}

// readLog reads the log to its end and calls done with the outcome.
func (h *simHost) readLog(done func(ok bool)) {
	sent := h.clock()
	if h.reads != storeWorks {
		h.after(answerTimeout, func() { done(false) })
		return
	}
	h.sim.after(h.sim.delay(), func() {
		end := len(h.sim.log.records)
		answered := h.reads == storeWorks
		h.after(h.sim.delay(), func() {
			if !answered {
				done(false)
				return
			}
			if end > h.position {
				h.apply(store.Page{Records: h.sim.log.records[h.position:end]})
				h.position = end
			}
			h.caughtUpAt = max(h.caughtUpAt, sent)
			done(true)
		})
	})
}

// apply applies records to the table and passes changed jobs to the owner.
func (h *simHost) apply(page store.Page) {
	entries, err := h.table.Apply(page, h.clock())
	must.NoError(h.sim.t, err)
	o := h.owner
	switch {
	case o == nil:
	case h.table.Owner().Epoch > o.own.Epoch:
		o.relinquish("the log shows a later owner")
	case len(entries) > 0:
		since := h.clock() - h.confirmationAge()
		for _, e := range entries {
			o.shard.AddReadJob(h.clock(), since, e)
		}
		o.requestPlan()
	}
}

// follow reads the log again and again.
func (h *simHost) follow() {
	h.readLog(func(bool) {
		pause := 500 * time.Millisecond
		if h.owner != nil {
			pause = 250 * time.Millisecond
		}
		h.after(pause, h.follow)
	})
}

// takeOver makes the host the owner under the next epoch, if it reaches the store.
func (h *simHost) takeOver() {
	if !h.up || h.busy || h.owner != nil {
		return
	}
	h.sim.epoch++
	epoch := h.sim.epoch
	h.busy = true
	h.after(2*time.Second, func() { h.busy = false })
	h.readLog(func(ok bool) {
		if !ok || h.appends != storeWorks {
			return
		}
		h.sim.after(h.sim.delay(), func() {
			if fenced := h.sim.log.append(epoch, 0, nil); fenced || h.appends != storeWorks {
				return
			}
			h.after(h.sim.delay(), func() {
				h.readLog(func(ok bool) {
					if ok && h.busy && h.owner == nil {
						h.busy = false
						h.own(epoch)
					}
				})
			})
		})
	})
}

// own starts the dispatcher of a new owner.
func (h *simHost) own(epoch platform.Epoch) {
	terms, previous := h.table.Owners(), h.table.Owner()
	if previous.Epoch >= epoch {
		return
	}
	o := &simOwner{
		host: h, life: h.life, own: job.Ownership{Epoch: epoch, Claim: previous.Claim + 1, BoundsLeases: true}, sequence: 1,
		renewing: map[platform.WorkerID]bool{},
	}
	h.sim.owners = append(h.sim.owners, o)
	h.sim.tracef("host %d takes over, claim %d", h.name, o.own.Claim)
	o.shard = scheduler.New(bounds, o.own, h.clock(), scheduler.Predecessors(terms))
	o.shard.SetConfig(h.sim.config)
	h.owner = o
	jobs := h.table.All()
	slices.SortFunc(jobs, func(a, b job.Entry) int { return cmp.Compare(a.ID, b.ID) })
	since := h.clock() - h.confirmationAge()
	for _, e := range jobs {
		o.shard.AddReadJob(h.clock(), since, e)
	}
	workers := h.table.Workers()
	slices.SortFunc(workers, func(a, b job.Enrollment) int { return cmp.Compare(a.Worker, b.Worker) })
	for _, e := range workers {
		must.NoError(h.sim.t, o.shard.Enroll(e))
		o.startRenewing(e.Worker)
	}
	o.planPeriodically()
	o.recordOwnership(func() {
		o.claimed = true
		o.shard.ClaimRecorded(h.clock())
		o.requestPlan()
		o.record()
	})
	o.readEntries()
	for _, term := range terms {
		o.askEarlier(term)
	}
}

// askEarlier asks the host of an earlier owner, until it answers that this owner has ended.
func (o *simOwner) askEarlier(term job.OwnershipTerm) {
	h := o.host
	i := slices.IndexFunc(h.sim.owners, func(before *simOwner) bool { return before.own.Epoch == term.Epoch })
	if term.Released || i < 0 {
		return
	}
	before := h.sim.owners[i]
	other := before.host
	until := h.clock() + scheduler.AuthorityBound
	if term.ReplacedAt != 0 {
		until = term.ReplacedAt + scheduler.AuthorityBound
	}
	var ask func()
	ask = func() {
		if h.clock() >= until {
			return
		}
		o.after(100*time.Millisecond, ask)
		switch {
		case other == h:
			o.shard.PredecessorEnded(h.clock(), term.Claim)
		case other.up && other.life == before.life && !h.cutHosts[other.name]:
			other.after(h.sim.delay(), func() {
				if before.over && other.owner == nil && !other.busy {
					o.after(h.sim.delay(), func() { o.shard.PredecessorEnded(h.clock(), term.Claim) })
				}
			})
		}
	}
	ask()
}

// after calls fire in the host's process while the dispatcher is in force.
func (o *simOwner) after(d time.Duration, fire func()) {
	o.host.after(d, func() {
		if !o.over {
			fire()
		}
	})
}

func (o *simOwner) relinquish(reason string) {
	if !o.over {
		o.host.sim.tracef("claim %d ends: %s", o.own.Claim, reason)
	}
	o.over = true
	if o.host.owner == o {
		o.host.owner = nil
	}
}

// mayAct follows dispatch.Dispatcher.MayAct.
func (o *simOwner) mayAct() bool {
	if o.stopping || o.over {
		return false
	}
	age := o.host.confirmationAge()
	return age < scheduler.AuthorityWindow || age < scheduler.AuthorityBound && o.shard.HasQuorum(o.host.clock())
}

// changed requests a plan, and a record if the last change was urgent.
func (o *simOwner) changed() {
	o.requestPlan()
	if o.shard.Urgent() {
		o.after(o.host.sim.between(0, 5*time.Millisecond), o.record)
	}
}

func (o *simOwner) requestPlan() {
	if o.planned {
		return
	}
	o.planned = true
	o.after(o.host.sim.between(0, 10*time.Millisecond), func() {
		o.planned = false
		o.plan()
	})
}

func (o *simOwner) planPeriodically() {
	o.after(scheduler.PlanPeriod, func() {
		o.plan()
		o.planPeriodically()
	})
}

func (o *simOwner) plan() {
	if !o.mayAct() {
		return
	}
	s := o.host.sim
	const startsAtOnce = 40
	o.shard.OwnershipConfirmed(o.host.clock() - o.host.confirmationAge())
	actions := o.shard.Plan(o.host.clock(), s.now.Milliseconds(), startsAtOnce)
	slices.SortFunc(actions.Stops, func(a, b scheduler.StopAction) int {
		return cmp.Or(cmp.Compare(a.Worker.ID, b.Worker.ID), cmp.Compare(a.Order.Task.String(), b.Order.Task.String()), cmp.Compare(a.Order.Attempt, b.Order.Attempt))
	})
	for _, a := range actions.Starts {
		o.after(s.between(0, 10*time.Millisecond), func() { o.sendStart(a) })
	}
	for _, a := range actions.Stops {
		o.after(s.between(0, 10*time.Millisecond), func() { o.sendStop(a) })
	}
	for _, a := range actions.Throttles {
		o.after(s.between(0, 10*time.Millisecond), func() {
			o.shard.ThrottleAnswered(o.host.clock(), a, fleet.Answer{}, errNotSent)
		})
	}
	o.shard.TakeNotes()
}

// mayBeSuspended suspends the host now and then, between the preparation of an order and the
// check that precedes its delivery, or between the check and the delivery.
func (o *simOwner) mayBeSuspended() {
	if s := o.host.sim; s.lateShare > 0 && s.chance(0.0005) {
		o.host.freeze(s.between(300*time.Millisecond, maxLateness))
	}
}

// sendStart follows the function of package dispatch.
func (o *simOwner) sendStart(a scheduler.StartAction) {
	if !o.shard.ContactDue(o.host.clock(), a.Worker.ID, scheduler.MaxContactAge) {
		o.beginStart(a)
		return
	}
	h, sent := o.host, o.host.clock()
	_, order := o.shard.ContactOrder(a.Worker.ID)
	o.call(a.Worker.ID, 0, func(reply func(answered bool, handle func())) {
		lists, answered := h.sim.cluster.Renew(h.sim.now, a.Worker.ID, order)
		reply(answered, func() {
			if lists.Verdict == fleet.RefusedFenced {
				o.relinquish("a worker has a later owner")
				return
			}
			o.shard.ContactAnswered(h.clock(), sent, a.Worker.ID, lists)
			o.beginStart(a)
		})
	}, func(error) {
		o.shard.ContactFailed(sent, a.Worker.ID)
		o.beginStart(a)
	})
}

func (o *simOwner) beginStart(a scheduler.StartAction) {
	h := o.host
	o.shard.OwnershipConfirmed(h.clock() - h.confirmationAge())
	current, wanted := o.shard.BeginStart(h.clock(), a)
	if !wanted {
		o.requestPlan()
		return
	}
	o.mayBeSuspended()
	o.after(0, func() {
		if !o.mayAct() || !o.shard.StartCurrent(h.clock(), current) {
			o.shard.StartAnswered(h.clock(), current, fleet.Answer{}, scheduler.ErrWithheld)
			o.changed()
			return
		}
		o.after(scheduler.StartOverdueAfter, func() {
			o.shard.StartOverdue(h.clock(), current)
			o.changed()
		})
		o.call(current.Worker.ID, 0, func(reply func(answered bool, handle func())) {
			answer, answered := h.sim.cluster.Start(h.sim.now, current.Worker.ID, current.Order)
			h.sim.tracef("claim %d starts %v.%d on %s: %v %v", o.own.Claim, current.Order.Task, current.Order.Attempt, current.Worker.ID, answer.Verdict, answered)
			reply(answered, func() {
				if answer.Verdict == fleet.RefusedFenced {
					o.relinquish("a worker has a later owner")
					return
				}
				o.shard.StartAnswered(h.clock(), current, answer, nil)
				o.changed()
			})
		}, func(err error) {
			o.shard.StartAnswered(h.clock(), current, fleet.Answer{}, err)
			o.changed()
		})
	})
}

func (o *simOwner) sendStop(a scheduler.StopAction) {
	h := o.host
	if !o.mayAct() {
		o.shard.StopAnswered(h.clock(), a, fleet.Answer{}, errNotSent)
		o.changed()
		return
	}
	o.call(a.Worker.ID, 0, func(reply func(answered bool, handle func())) {
		answer, answered := h.sim.cluster.Stop(h.sim.now, a.Worker.ID, a.Order)
		reply(answered, func() {
			if answer.Verdict == fleet.RefusedFenced {
				o.relinquish("a worker has a later owner")
				return
			}
			o.shard.StopAnswered(h.clock(), a, answer, nil)
			o.changed()
		})
	}, func(err error) {
		o.shard.StopAnswered(h.clock(), a, fleet.Answer{}, err)
		o.changed()
	})
}

// call sends an order that the host has decided to send. carryOut is called when it arrives,
// which may be long after the host has given up waiting; one of the handler passed to reply
// and of failed is called in the host's process.
func (o *simOwner) call(id platform.WorkerID, wait time.Duration, carryOut func(reply func(answered bool, handle func())), failed func(err error)) {
	h, s := o.host, o.host.sim
	settled := false
	settle := func(then func()) func() {
		return func() {
			if !settled {
				settled = true
				then()
			}
		}
	}
	o.after(wait+answerTimeout, settle(func() { failed(platform.ErrOutcomeUnknown) }))
	if s.chance(s.lossShare) {
		return
	}
	delay, late := s.delay(), false
	if s.chance(s.lateShare) {
		delay, late = s.between(answerTimeout, maxLateness), true
	}
	// A host that is suspended at the last moment sends the order when it goes on.
	if s.lateShare > 0 && s.chance(0.0005) {
		h.freeze(s.between(300*time.Millisecond, maxLateness-time.Second))
		delay += h.frozenUntil - s.now
		late = true
	}
	w := s.workers[s.indexOf(id)]
	cut := func() bool { return h.cut[id] || s.now < w.cutUntil }
	arrivesBy := s.now + wait + answerTimeout
	if late {
		arrivesBy = max(s.now+delay, s.now+maxLateness)
	}
	var deliver func()
	deliver = func() {
		switch {
		case !late && cut() || w.lost:
			return
		case !w.up && s.now < arrivesBy:
			// The run that is back under the worker's id takes the order.
			s.after(bootCheckInterval, deliver)
			return
		case !w.up:
			return
		}
		carryOut(func(answered bool, handle func()) {
			if !answered {
				return
			}
			s.sendAnswer(w, func() {
				if !cut() && !s.chance(s.lossShare) {
					s.after(s.delay(), func() { o.after(0, settle(handle)) })
				}
			})
		})
	}
	s.after(delay, deliver)
}

// sendAnswer calls send once the worker sends an answer, unless its run is over by then.
func (s *ownersSim) sendAnswer(w *simWorker, send func()) {
	if s.maxAnswerDelay == 0 {
		send()
		return
	}
	run := s.cluster.Entry(w.info.ID).Started
	s.after(s.between(0, s.maxAnswerDelay), func() {
		if w.up && s.cluster.Entry(w.info.ID).Started == run {
			send()
		}
	})
}

func (s *ownersSim) indexOf(id platform.WorkerID) int {
	return slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.info.ID == id })
}

func (o *simOwner) startRenewing(id platform.WorkerID) {
	if !o.renewing[id] {
		o.renewing[id] = true
		o.after(o.host.sim.between(0, 5*time.Millisecond), func() { o.renew(id, 0) })
	}
}

// renew follows the renew loop of package dispatch.
func (o *simOwner) renew(id platform.WorkerID, failures int) {
	h, s := o.host, o.host.sim
	sent := h.clock()
	confirmedAt := sent - h.confirmationAge()
	o.shard.LogRead(confirmedAt)
	o.shard.OwnershipConfirmed(confirmedAt)
	_, order, ok := o.shard.RenewOrder(sent, id)
	if !ok {
		delete(o.renewing, id)
		return
	}
	o.mayBeSuspended()
	o.after(0, func() {
		retry := func(n int) {
			o.after(min(200*time.Millisecond<<max(0, n-1), 800*time.Millisecond), func() { o.renew(id, n) })
		}
		if !o.mayAct() {
			o.shard.RenewalWithheld(id)
			retry(failures)
			return
		}
		if !o.shard.RenewalCurrent(h.clock(), id, order) {
			o.after(time.Millisecond, func() { o.renew(id, failures) })
			return
		}
		failed := func(error) {
			o.shard.RenewFailed(h.clock(), sent, id)
			o.changed()
			retry(failures + 1)
		}
		o.call(id, order.Wait, func(reply func(answered bool, handle func())) {
			lists, answered := s.cluster.Renew(s.now, id, order)
			o.awaitEnd(id, lists, answered, s.now+order.Wait, func(lists fleet.RenewReply, answered bool) {
				reply(answered, func() {
					if lists.Verdict == fleet.RefusedFenced {
						o.relinquish("a worker has a later owner")
						return
					}
					o.shard.RenewAnswered(h.clock(), sent, id, lists)
					o.changed()
					pause := time.Millisecond
					if order.Wait > 0 && o.shard.Leased(id) {
						pause += o.shard.RenewPause(id)
					}
					if o.shard.Unacknowledged(id) {
						pause += s.between(10*time.Millisecond, 100*time.Millisecond)
					}
					o.after(pause, func() { o.renew(id, 0) })
				})
			})
		}, failed)
	})
}

// awaitEnd passes on the lists of a worker once they contain an end, or at the deadline.
func (o *simOwner) awaitEnd(id platform.WorkerID, lists fleet.RenewReply, answered bool, deadline time.Duration, then func(fleet.RenewReply, bool)) {
	s := o.host.sim
	if !answered || lists.Verdict != fleet.Accepted || len(lists.Ended) > 0 || s.now >= deadline {
		then(lists, answered)
		return
	}
	s.after(50*time.Millisecond, func() {
		later, answered := s.cluster.AwaitedLists(s.now, id, lists.Started)
		o.awaitEnd(id, later, answered, deadline, then)
	})
}

// readEntries passes the workers' entries to the shard again and again.
func (o *simOwner) readEntries() {
	h, s := o.host, o.host.sim
	sent := h.clock()
	o.after(300*time.Millisecond, o.readEntries)
	if h.reads != storeWorks {
		return
	}
	s.after(s.delay(), func() {
		list := s.entries()
		o.after(s.delay(), func() {
			registered := map[platform.WorkerID]bool{}
			for _, w := range list {
				registered[w.ID] = true
			}
			removed := o.shard.Registered()
			slices.Sort(removed)
			for _, id := range removed {
				if !registered[id] {
					o.shard.RemoveWorker(h.clock(), id)
				}
			}
			for _, w := range list {
				_, err := o.shard.SetWorker(h.clock(), w)
				must.NoError(s.t, err)
				o.startRenewing(w.ID)
			}
			o.shard.EntriesRead(h.clock(), sent)
			o.changed()
		})
	})
}

// appendRecords follows the function of package dispatch: while the outcome is unknown, the
// append is repeated. done is told whether the records are in the log; otherwise they are
// certainly not.
func (o *simOwner) appendRecords(records []store.Record, unknown bool, done func(ok bool)) {
	h, s := o.host, o.host.sim
	settled := false
	answer := func(handle func()) {
		o.after(0, func() {
			if !settled {
				settled = true
				handle()
			}
		})
	}
	repeat := func() { o.after(100*time.Millisecond, func() { o.appendRecords(records, true, done) }) }
	o.after(answerTimeout, func() { answer(repeat) })
	switch {
	case h.appends == storeRefuses && unknown:
		answer(repeat)
		return
	case h.appends == storeRefuses:
		answer(func() { done(false) })
		return
	case h.appends == storeSilent && s.chance(0.5):
		return
	}
	sequence := o.sequence
	s.after(s.between(2*time.Millisecond, h.slowStore), func() {
		fenced := s.log.append(o.own.Epoch, sequence, records)
		if h.appends == storeSilent || s.chance(s.lossShare) {
			return
		}
		s.after(s.between(time.Millisecond, h.slowStore), func() {
			answer(func() {
				if fenced {
					o.relinquish("the log has a later owner")
					return
				}
				o.sequence++
				var page store.Page
				for _, r := range records {
					page.Records = append(page.Records, store.StoredRecord{Record: r})
				}
				h.apply(page)
				done(true)
			})
		})
	})
}

func (o *simOwner) recordOwnership(then func()) {
	r, err := job.OwnershipRecord(o.own, o.shard.PastTerms(o.host.clock()))
	must.NoError(o.host.sim.t, err)
	o.appendRecords([]store.Record{r}, false, func(ok bool) {
		if !ok {
			o.after(100*time.Millisecond, func() { o.recordOwnership(then) })
			return
		}
		then()
	})
}

// record follows the record loop of package dispatch.
func (o *simOwner) record() {
	if !o.claimed || o.inAppend || o.stopping {
		return
	}
	o.recordProgress(func() {
		o.after(20*time.Millisecond, func() {
			if o.shard.Urgent() {
				o.record()
			}
		})
	})
	dueAt := o.host.sim.now + 150*time.Millisecond
	o.recordDueAt = dueAt
	o.after(150*time.Millisecond, func() {
		if o.recordDueAt == dueAt {
			o.recordPeriodically(dueAt)
		}
	})
}

func (o *simOwner) recordPeriodically(dueAt time.Duration) {
	if o.inAppend {
		o.after(20*time.Millisecond, func() {
			if o.recordDueAt == dueAt {
				o.recordPeriodically(dueAt)
			}
		})
		return
	}
	o.record()
}

// recordProgress appends what is not in the log yet, in one or more appends.
func (o *simOwner) recordProgress(then func()) {
	s := o.host.sim
	u := o.shard.TakeUnrecorded(s.now.Milliseconds())
	slices.SortFunc(u.Changes, func(a, b scheduler.Change) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(u.Enrolled, func(a, b job.Enrollment) int { return cmp.Compare(a.Worker, b.Worker) })
	slices.Sort(u.Unenrolled)
	var records []store.Record
	add := func(r store.Record, err error) {
		must.NoError(s.t, err)
		records = append(records, r)
	}
	for i := range u.Changes {
		c := &u.Changes[i]
		list, parts, err := job.ProgressRecords(c.ID, &c.Progress, c.Parts)
		must.NoError(s.t, err)
		records, c.Parts = append(records, list...), parts
	}
	for _, e := range u.Enrolled {
		s.tracef("claim %d records %s run %d closed %v %v", o.own.Claim, e.Worker, e.Run, e.Closed, e.MayRun)
		add(job.EnrollmentRecord(e))
	}
	for _, id := range u.Unenrolled {
		s.tracef("claim %d dismisses %s", o.own.Claim, id)
		add(job.UnenrollmentRecord(id), nil)
	}
	if u.PastTerms != nil {
		add(job.OwnershipRecord(o.own, u.PastTerms))
	}
	o.mayBeTrapped(u)
	if len(records) == 0 {
		o.shard.MarkRecorded(u)
		then()
		return
	}
	o.inAppend = true
	part := len(records)
	if s.chance(0.2) {
		part = 1 + s.rng.IntN(part)
	}
	var appendRest func(rest []store.Record)
	appendRest = func(rest []store.Record) {
		if len(rest) == 0 {
			o.inAppend = false
			o.shard.MarkRecorded(u)
			o.changed()
			then()
			return
		}
		n := min(part, len(rest))
		o.appendRecords(rest[:n], false, func(ok bool) {
			if ok {
				appendRest(rest[n:])
				return
			}
			o.shard.ReturnUnrecorded(u, len(rest) == len(records))
			o.after(100*time.Millisecond, func() {
				o.inAppend = false
				then()
			})
		})
	}
	appendRest(records)
}

// stop ends the dispatcher in order: with a final record, and one that says so.
func (o *simOwner) stop() {
	if o.stopping || o.over || !o.claimed {
		return
	}
	o.host.sim.tracef("claim %d stops", o.own.Claim)
	o.stopping = true
	o.after(time.Second, func() { o.relinquish("stopped") })
	var final func()
	final = func() {
		if o.inAppend {
			o.after(10*time.Millisecond, final)
			return
		}
		o.recordProgress(func() {
			o.own.Released = true
			o.recordOwnership(func() { o.relinquish("stopped") })
		})
	}
	final()
}

// someWorkers returns a random part of the workers.
func (s *ownersSim) someWorkers(share float64) []platform.WorkerID {
	var ids []platform.WorkerID
	for _, w := range s.workers {
		if s.chance(share) {
			ids = append(ids, w.info.ID)
		}
	}
	return ids
}

// cutOff cuts hosts off from workers for a time.
func (s *ownersSim) cutOff(hosts []*simHost, ids []platform.WorkerID, d time.Duration) {
	s.tracef("%d hosts, first %d, lose %v for %v", len(hosts), hosts[0].name, ids, d)
	for _, h := range hosts {
		life := h.life
		for _, id := range ids {
			h.cut[id] = true
		}
		s.after(d, func() {
			if h.life == life {
				for _, id := range ids {
					delete(h.cut, id)
				}
			}
		})
	}
}

// failStore makes the store fail hosts for a time.
func (s *ownersSim) failStore(hosts []*simHost, reads, appends storeFault, d time.Duration) {
	s.tracef("%d hosts, first %d, lose the store for %v: reads %d, appends %d", len(hosts), hosts[0].name, d, reads, appends)
	for _, h := range hosts {
		life := h.life
		h.reads, h.appends = reads, appends
		s.after(d, func() {
			if h.life == life {
				h.reads, h.appends = storeWorks, storeWorks
			}
		})
	}
}

// disturb makes one random fault happen.
func (s *ownersSim) disturb() {
	host := s.hosts[s.rng.IntN(len(s.hosts))]
	owning := host
	for _, h := range s.hosts {
		if h.owner != nil && s.chance(0.7) {
			owning = h
		}
	}
	hosts := [][]*simHost{{host}, {owning}, s.hosts}[s.rng.IntN(3)]
	worker := s.workers[s.rng.IntN(len(s.workers))]
	switch s.rng.IntN(17) {
	case 0, 1, 2:
		host.takeOver()
	case 3:
		s.cutOff(hosts, s.someWorkers(s.rng.Float64()), s.between(200*time.Millisecond, 9*time.Second))
	case 4, 5:
		s.cutOff(hosts, s.someWorkers(0.3), s.between(150*time.Millisecond, 900*time.Millisecond))
	case 6:
		s.failStore(hosts, storeSilent, storeSilent, s.between(200*time.Millisecond, 9*time.Second))
	case 7:
		fault := storeFault(1 + s.rng.IntN(2))
		s.failStore(hosts, storeWorks, fault, s.between(200*time.Millisecond, 5*time.Second))
	case 8:
		owning.slowStore = s.between(50*time.Millisecond, 1500*time.Millisecond)
		life := owning.life
		s.after(s.between(time.Second, 6*time.Second), func() {
			if owning.life == life {
				owning.slowStore = 30 * time.Millisecond
			}
		})
	case 9:
		owning.freeze(s.between(300*time.Millisecond, maxLateness))
	case 10:
		owning.kill(s.between(time.Second, 4*time.Second))
	case 11, 12:
		s.restart(worker, s.restartTime())
	case 13:
		if s.chance(0.2) {
			s.restart(worker, 0)
		}
	case 14:
		worker.silentUntil = s.now + s.between(time.Second, 5*time.Second)
	case 15:
		if host.owner != nil {
			host.owner.stop()
		}
	case 16:
		if len(s.workers) == ownersWorkers && s.chance(0.3) {
			s.tracef("twice as many workers")
			for range ownersWorkers {
				s.addWorker()
			}
		}
	}
}

// plot replaces the owner while it goes on without the log, as far as workers answer it: the next
// owner does not hear most of these.
func (s *ownersSim) plot() {
	o := s.current()
	if o == nil || !o.host.up {
		return
	}
	old := o.host
	next := s.hosts[s.rng.IntN(len(s.hosts))]
	if next == old {
		return
	}
	lasts := s.between(3*time.Second, 14*time.Second)
	if s.chance(0.5) {
		// Workers that the owner loses for a moment may just be recorded as silent.
		old.slowStore = s.between(30*time.Millisecond, 800*time.Millisecond)
		s.cutOff([]*simHost{old}, s.someWorkers(s.rng.Float64()), s.between(150*time.Millisecond, 900*time.Millisecond))
		s.run(s.between(100*time.Millisecond, 1200*time.Millisecond))
	}
	// One part of the workers answers only the old owner, one part only the next one. The shares
	// on which the rules depend are a third and two thirds.
	only, shared := s.rng.Float64(), 0.0
	if s.chance(0.5) {
		only = 0.6 + 0.25*s.rng.Float64()
	}
	if s.chance(0.3) {
		shared = 0.3 * s.rng.Float64()
	}
	var mine, theirs []platform.WorkerID
	for _, i := range s.rng.Perm(len(s.workers)) {
		id := s.workers[i].info.ID
		switch {
		case float64(len(mine)) < only*float64(len(s.workers)):
			mine = append(mine, id)
		case !s.chance(shared):
			theirs = append(theirs, id)
		}
	}
	faults := []storeFault{storeSilent, storeSilent, storeRefuses, storeWorks}
	s.failStore([]*simHost{old}, faults[s.rng.IntN(3)], faults[s.rng.IntN(4)], lasts)
	s.cutOff([]*simHost{next}, mine, lasts)
	switch s.rng.IntN(4) {
	case 0:
		s.cutOff([]*simHost{old}, theirs, s.between(150*time.Millisecond, lasts))
	case 1, 2:
		s.cutOff([]*simHost{old}, theirs, lasts)
	}
	if s.chance(0.5) {
		old.cutHosts[next.name], next.cutHosts[old.name] = true, true
		s.after(lasts, func() { clear(old.cutHosts); clear(next.cutHosts) })
	}
	s.run(s.between(0, 1500*time.Millisecond))
	switch s.rng.IntN(6) {
	case 0:
		old.kill(s.between(time.Second, 4*time.Second))
	case 1:
		old.freeze(s.between(300*time.Millisecond, maxLateness))
	}
	next.takeOver()
	s.submit()
	if s.chance(0.5) {
		s.run(lasts)
	}
	s.run(s.between(100*time.Millisecond, 2*time.Second))
	if s.chance(0.3) {
		s.hosts[s.rng.IntN(len(s.hosts))].takeOver()
	}
}

// mayBeTrapped replaces the owner around a record that says that nothing starts on workers or that
// nothing runs there. They answer again at once, but not the next owner, while tasks wait and the
// log is out of reach for the owner.
func (o *simOwner) mayBeTrapped(u scheduler.Unrecorded) {
	s, old := o.host.sim, o.host
	var ids []platform.WorkerID
	for _, e := range u.Enrolled {
		if e.Closed {
			ids = append(ids, e.Worker)
		}
	}
	ids = append(ids, u.Unenrolled...)
	if len(ids) == 0 || s.lateShare == 0 || s.now < s.trappedUntil || !s.chance(0.3) {
		return
	}
	s.trappedUntil = s.now + 8*time.Second
	s.tracef("claim %d is trapped at the records of %v", o.own.Claim, ids)
	next := s.hosts[(old.name+1+s.rng.IntN(len(s.hosts)-1))%len(s.hosts)]
	old.slowStore = s.between(20*time.Millisecond, 600*time.Millisecond)
	for range 3 {
		s.submit()
	}
	s.after(s.between(0, 600*time.Millisecond), func() { clear(old.cut) })
	s.cutOff([]*simHost{next}, append(ids, s.someWorkers(0.6*s.rng.Float64())...), s.between(3*time.Second, 12*time.Second))
	s.after(s.between(0, 800*time.Millisecond), func() {
		faults := []storeFault{storeSilent, storeRefuses, storeWorks}
		s.failStore([]*simHost{old}, faults[s.rng.IntN(3)], faults[s.rng.IntN(2)], s.between(2*time.Second, 9*time.Second))
	})
	if s.chance(0.3) {
		s.after(s.between(100*time.Millisecond, 2*time.Second), func() { old.kill(s.between(time.Second, 4*time.Second)) })
	}
	s.after(s.between(200*time.Millisecond, 2500*time.Millisecond), next.takeOver)
}

// chaos disturbs the simulation for a time.
func (s *ownersSim) chaos(d time.Duration) {
	end := s.now + d
	s.lateShare, s.lossShare = 0.01*s.rng.Float64(), 0.02*s.rng.Float64()
	pause := s.between(200*time.Millisecond, time.Second)
	for s.now < end {
		s.run(s.between(10*time.Millisecond, 2*pause))
		if s.chance(0.15) {
			s.plot()
		} else {
			s.disturb()
		}
		if s.chance(0.6) && len(s.jobs) < 80 {
			s.submit()
		}
	}
	s.lateShare, s.lossShare = 0, 0
}

// heal ends all faults and replaces the workers that are lost for good.
func (s *ownersSim) heal() {
	s.tracef("all faults end")
	for _, h := range s.hosts {
		h.cut, h.cutHosts = map[platform.WorkerID]bool{}, map[int]bool{}
		h.reads, h.appends, h.slowStore, h.frozenUntil = storeWorks, storeWorks, 30*time.Millisecond, 0
	}
	for _, w := range s.workers {
		w.silentUntil = 0
		if w.lost {
			// Without others there may be no room for a gang beside the tasks that last.
			s.addWorker()
		}
	}
}

// current returns the owner that the log shows last, or nil if it is over.
func (s *ownersSim) current() *simOwner {
	if len(s.owners) == 0 || s.owners[len(s.owners)-1].over {
		return nil
	}
	return s.owners[len(s.owners)-1]
}

// ensureOwner runs until a host owns the shard.
func (s *ownersSim) ensureOwner() {
	for s.current() == nil || !s.current().claimed {
		if s.current() == nil {
			for _, h := range s.hosts {
				h.takeOver()
			}
		}
		s.run(time.Second)
	}
}

// unsettled returns the jobs that neither are done nor last and run.
func (s *ownersSim) unsettled() []job.ID {
	return slices.DeleteFunc(slices.Clone(s.jobs), func(id job.ID) bool {
		return s.cluster.Done(id) || s.cluster.MayFail(id) || s.lasts[id] && s.cluster.Running(id) > 0
	})
}

// TestChangesOfOwnersRunNoTaskTwice guards against tasks that two owners run at the same time, or
// that run again after their end: earlier owners go on without the log, with some of the workers,
// late, or after a suspension.
func TestChangesOfOwnersRunNoTaskTwice(t *testing.T) {
	t.Parallel()
	for i := range *days {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newOwnersSim(t, seed, 0)
			s.hosts[0].takeOver()
			for range 4 {
				s.submit()
			}
			s.run(time.Second)
			s.chaos(chaosTime)
			s.heal()
			s.run(10 * time.Second)
			s.ensureOwner()
			for end := s.now + recoveryTime; s.now < end && len(s.unsettled()) > 0; {
				// A takeover that was under way may have fenced the owner and come to nothing.
				s.ensureOwner()
				s.run(time.Second)
			}
			t.Logf("%d owners, %d jobs, %d starts, %d records", len(s.owners), len(s.jobs), s.cluster.Starts(), len(s.log.records))
			must.SliceEmpty(t, s.unsettled(), must.Sprint("jobs that neither are done nor last and run"))
		})
	}
}

// replaceOwner makes the owner end or lose the shard in a random way.
func (s *ownersSim) replaceOwner() {
	o := s.current()
	if o == nil {
		return
	}
	old := o.host
	switch s.rng.IntN(6) {
	case 0, 1:
		old.kill(s.between(300*time.Millisecond, 4*time.Second))
	case 2:
		old.freeze(s.between(time.Second, maxLateness))
	case 3:
		s.failStore([]*simHost{old}, storeSilent, storeSilent, s.between(3*time.Second, 9*time.Second))
	case 4:
		o.stop()
	case 5:
		for _, h := range s.hosts {
			h.kill(s.between(300*time.Millisecond, 2*time.Second))
		}
	}
	s.after(s.between(300*time.Millisecond, 1500*time.Millisecond), func() {
		s.hosts[(old.name+1+s.rng.IntN(len(s.hosts)-1))%len(s.hosts)].takeOver()
	})
}

// TestQuickRestartsBeforeChangesOfOwnersRunNoTaskTwice guards against tasks that run on after the
// leases that the next owner waits for: orders under way reach the run of a worker that is back at
// once, and the worker is cut off before the owner is replaced or soon after.
func TestQuickRestartsBeforeChangesOfOwnersRunNoTaskTwice(t *testing.T) {
	t.Parallel()
	for i := range *days {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newOwnersSim(t, seed, 64_000)
			s.hosts[0].takeOver()
			for range 12 {
				s.submit()
				s.run(s.between(500*time.Millisecond, 2*time.Second))
			}
			for range 3 {
				var restarted []*simWorker
				for _, id := range s.someWorkers(0.2 + 0.5*s.rng.Float64()) {
					w := s.workers[s.indexOf(id)]
					restarted = append(restarted, w)
					s.restart(w, s.between(minRestartTime, quickRestartTime))
				}
				s.submit()
				s.run(s.between(0, 2500*time.Millisecond))
				s.submit()
				s.after(s.between(0, time.Second), func() {
					s.tracef("%d workers are cut off", len(restarted))
					cutUntil := s.now + s.between(3*time.Second, 15*time.Second)
					for _, w := range restarted {
						w.cutUntil = cutUntil
					}
				})
				s.replaceOwner()
				s.run(s.between(8*time.Second, 16*time.Second))
				s.ensureOwner()
			}
			s.heal()
			s.ensureOwner()
			for end := s.now + recoveryTime; s.now < end && len(s.unsettled()) > 0; {
				s.ensureOwner()
				s.run(time.Second)
			}
			must.SliceEmpty(t, s.unsettled(), must.Sprint("jobs that neither are done nor last and run"))
		})
	}
}

// TestNewOwnerStartsTasksInTime guards against tasks that wait long after a change of owners for
// workers that the new owner does not hear: 5.5 s if it hears over a third of the enrolled ones.
func TestNewOwnerStartsTasksInTime(t *testing.T) {
	t.Parallel()
	for i := range *days {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newOwnersSim(t, seed, 64_000)
			for range s.rng.IntN(2) * ownersWorkers {
				s.addWorker()
			}
			old, next := s.hosts[0], s.hosts[1]
			old.takeOver()
			for range 12 {
				s.submit()
				s.run(s.between(100*time.Millisecond, time.Second))
			}
			for _, w := range s.workers[3:] {
				if s.chance(0.2) {
					s.restart(w, []time.Duration{0, 10 * time.Second}[s.rng.IntN(2)])
				}
			}
			s.run(20 * time.Second)
			if s.chance(0.5) {
				old.kill(time.Hour)
			} else {
				s.failStore([]*simHost{old}, storeSilent, storeSilent, time.Hour)
			}
			s.run(s.between(300*time.Millisecond, 2*time.Second))
			waiting := s.submitWaiting()
			unheard := s.someWorkers(s.rng.Float64())
			// The next owner needs room for the tasks.
			for _, w := range s.workers[:3] {
				unheard = slices.DeleteFunc(unheard, func(id platform.WorkerID) bool { return id == w.info.ID })
			}
			s.cutOff([]*simHost{next}, unheard, time.Hour)
			next.takeOver()
			for next.owner == nil {
				s.run(time.Millisecond)
			}
			takenOverAt, enrolled, heard := s.now, next.table.Workers(), 0
			for _, e := range enrolled {
				if w := s.workers[s.indexOf(e.Worker)]; w.up && !slices.Contains(unheard, e.Worker) {
					heard++
				}
			}
			bound := 16 * time.Second
			if 3*heard > len(enrolled) {
				// 5.5 s for the leases, 0.3 s until a read of the log confirms it, 0.2 s until a plan.
				bound = 6100 * time.Millisecond
			}
			s.run(16 * time.Second)
			longest := time.Duration(0)
			for _, ref := range waiting {
				at, started := s.startedAt[ref]
				must.True(t, started, must.Sprintf("task %v was not started; %d of %d workers are heard", ref, heard, len(enrolled)))
				longest = max(longest, at-takenOverAt)
			}
			t.Logf("%d of %d workers are heard, waited %v", heard, len(enrolled), longest)
			must.Less(t, bound, longest)
		})
	}
}

// submitWaiting submits jobs and returns the tasks that wait for a worker only.
func (s *ownersSim) submitWaiting() []job.TaskRef {
	var refs []job.TaskRef
	for range 2 {
		id := s.submit()
		for i := range s.firstSteps[id] {
			refs = append(refs, job.TaskRef{Job: id, Index: i})
		}
	}
	return refs
}
