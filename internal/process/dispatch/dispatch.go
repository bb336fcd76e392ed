// Package dispatch runs a shard on the host that owns it: it sends the orders that
// package scheduler decides on to workers, passes their answers back, and records in
// the log what the next owner needs.
package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/bootclock"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// Config is what a Dispatcher needs.
type Config struct {
	Store     store.Store
	Partition store.Partition
	Workers   fleet.Workers
	// Advisor is nil if the platform has no advice service.
	Advisor   fleet.Advisor
	Clock     bootclock.Clock
	Logger    *logrus.Logger
	Metrics   metrics.Registry
	Bounds    scheduler.Bounds
	Ownership job.Ownership
	// AppendBytes is the maximum size of one append to the store.
	AppendBytes int
	// Predecessors are the earlier owners; see scheduler.New.
	Predecessors []scheduler.Predecessor
	// OnRecorded is called with records once they are in the log.
	OnRecorded func([]store.Record)
	// ExpiredRecords returns the records that delete up to limit ended jobs, and up to limit
	// cancellations of jobs that were never submitted, whose retention time is over.
	ExpiredRecords func(limit int) []store.Record
	// ConfirmationAge returns the time since the host last confirmed, by reading the log
	// to its end, that no other host owns the shard.
	ConfirmationAge func() time.Duration
}

// Dispatcher runs one shard for as long as this host owns it. It is safe for
// concurrent use.
type Dispatcher struct {
	Config
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// throttles is the lane of throttle orders. These and start orders take turns in the lanes of
	// their workers as well.
	throttles *lane
	orders    *workerLanes
	// firstContacts bounds the renew orders without a wait that are in flight.
	firstContacts chan struct{}
	// planRequested triggers a plan, recordRequested an append to the log.
	planRequested   chan struct{}
	recordRequested chan struct{}
	// stopRequested is closed to request the final record, finalRecordDone once it is
	// written.
	stopRequested   chan struct{}
	finalRecordDone chan struct{}
	// stopping is set before stopRequested is closed.
	stopping atomic.Bool
	// claimed is set once the ownership record is in the log.
	claimed atomic.Bool
	// entriesSeen is set once workers' entries could be read.
	entriesSeen atomic.Bool
	// unrecorded is set while records wait that the store has refused or not answered.
	unrecorded atomic.Bool
	// waitingGauges are the gauges of waiting tasks, by priority. Only planLoop uses them.
	waitingGauges map[int]metrics.Gauge
	// learnedRecordedAt is when the learned state was last recorded, lastExpiryAt when
	// expired jobs were last deleted. Only recordLoop uses them.
	learnedRecordedAt, lastExpiryAt time.Duration

	mu    sync.Mutex
	shard *scheduler.Shard
	// starts is the congestion window of start orders.
	starts startWindow
	// stops are the stop orders. stopTimer is set while a goroutine waits for one to be overdue.
	stops     stopQueue
	stopTimer bool
	lists     listSizes
	// recorded is closed and replaced each time progress has been recorded.
	recorded chan struct{}
	// renewing holds the workers for which a renewLoop runs, each with the channel that ends
	// the loop's pause after an unanswered renewal.
	renewing map[platform.WorkerID]chan struct{}
	// contacts are the calls under way that ask a worker for its run, each with the channel that is closed at
	// its end.
	contacts map[platform.WorkerID]chan struct{}
	// pendingWrites are the records that callers wait for and no append contains yet.
	pendingWrites []*pendingWrite
	// err is why the shard was given up.
	err error
}

const (
	// maxConcurrentThrottles bounds the throttle orders in flight.
	maxConcurrentThrottles = 32
)

// ErrFenced means that another host owns the shard.
var ErrFenced = errors.New("another host owns the shard")

// New returns a dispatcher for one ownership of a shard. It does nothing before Start.
func New(c Config) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	_, batches := c.Workers.(fleet.BatchStopper)
	d := &Dispatcher{
		Config: c, ctx: ctx, cancel: cancel, starts: newStartWindow(), stops: newStopQueue(batches), lists: listSizes{rows: map[platform.WorkerID]int{}},
		firstContacts: make(chan struct{}, maxFirstContacts),
		planRequested: make(chan struct{}, 1), recordRequested: make(chan struct{}, 1),
		stopRequested: make(chan struct{}), finalRecordDone: make(chan struct{}),
		shard:         scheduler.New(c.Bounds, c.Ownership, c.Clock(), c.Predecessors),
		waitingGauges: map[int]metrics.Gauge{}, renewing: map[platform.WorkerID]chan struct{}{}, contacts: map[platform.WorkerID]chan struct{}{}, recorded: make(chan struct{}),
	}
	d.orders = &workerLanes{goroutines: &d.goroutines, lanes: map[platform.WorkerID]*lane{}}
	d.throttles = &lane{goroutines: &d.goroutines, limit: maxConcurrentThrottles}
	return d
}

// Start runs the shard until Stop or Abort, or until another host owns it.
func (d *Dispatcher) Start() {
	d.goroutines.Go(d.planLoop)
	d.goroutines.Go(d.recordLoop)
	d.goroutines.Go(d.measureLag)
}

// Stop ends all work on the shard after a final record of its progress, for which it
// waits up to finalRecordTimeout. It does not wait for calls in flight: the fencing
// token of the next owner makes workers refuse them.
func (d *Dispatcher) Stop() {
	d.stopping.Store(true)
	close(d.stopRequested)
	select {
	case <-d.finalRecordDone:
	case <-d.ctx.Done():
	case <-time.After(finalRecordTimeout):
	}
	d.Abort()
}

// Abort ends all work on the shard immediately.
func (d *Dispatcher) Abort() { d.cancel() }

// finalRecordTimeout bounds the final record: two appends to a slow store.
const finalRecordTimeout = time.Second

// Err returns why the dispatcher gave up the shard, or nil.
func (d *Dispatcher) Err() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

// Relinquish ends all work on the shard because of err.
func (d *Dispatcher) Relinquish(err error) {
	d.mu.Lock()
	if d.err == nil {
		d.err = err
	}
	d.mu.Unlock()
	d.cancel()
}

// updateShard changes the shard's state and requests a plan, and also a record if the
// change is urgent.
func (d *Dispatcher) updateShard(apply func(s *scheduler.Shard, now scheduler.Instant)) {
	d.mu.Lock()
	apply(d.shard, d.Clock())
	urgent := d.shard.Urgent()
	d.mu.Unlock()
	signal(d.planRequested)
	if urgent {
		signal(d.recordRequested)
	}
}

// signal sends to c without blocking. A signal that is already pending covers this one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetConfig applies a version of the declarations.
func (d *Dispatcher) SetConfig(c *queue.Config) {
	d.updateShard(func(s *scheduler.Shard, _ scheduler.Instant) { s.SetConfig(c) })
}

// SetEvacuated sets the failure domains whose workers get no start orders.
func (d *Dispatcher) SetEvacuated(domains []platform.FailureDomain) {
	d.updateShard(func(s *scheduler.Shard, _ scheduler.Instant) { s.SetEvacuated(domains) })
}

// Evacuations returns the failure domains whose workers get no start orders, sorted by name.
func (d *Dispatcher) Evacuations() []scheduler.Evacuation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shard.Evacuations()
}

// DeclaredVersion returns the version of the declarations that applies to the shard, or 0
// before the first one.
func (d *Dispatcher) DeclaredVersion() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shard.DeclaredVersion()
}

// SetBounds changes the limits that the platform sets.
func (d *Dispatcher) SetBounds(b scheduler.Bounds) {
	d.updateShard(func(s *scheduler.Shard, _ scheduler.Instant) { s.SetBounds(b) })
}

// AddJobs adds jobs from the log and cancels those that are marked as cancelled.
func (d *Dispatcher) AddJobs(entries []job.Entry) {
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) {
		// The last read that reached the end of the log would have returned older jobs.
		since := now - d.ConfirmationAge()
		for _, e := range entries {
			s.AddReadJob(now, since, e)
			if e.Cancelled {
				s.CancelJob(now, e.ID)
			}
		}
	})
}

// stateWaitTimeout is how long a request for the state of an unfinished job waits for
// the job's end. Callers ask when they expect a job to be over, and then not again for
// a while; it takes up to 60 ms to notice and record an end.
const stateWaitTimeout = 150 * time.Millisecond

// Admit decides on the admission of a job that is not stored yet.
func (d *Dispatcher) Admit(sub *job.Submission) scheduler.Admission {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shard.Admit(d.Clock(), sub)
}

// State returns the state of a job as callers see it. For an unfinished job it first
// waits up to stateWaitTimeout. The second result is false if the shard does not hold
// the job: it has ended, or was never submitted.
func (d *Dispatcher) State(id job.ID) (job.State, bool) {
	deadline := time.NewTimer(stateWaitTimeout)
	defer deadline.Stop()
	for {
		d.mu.Lock()
		state, held := d.shard.State(id)
		recorded := d.recorded
		d.mu.Unlock()
		if !held || state.Final() {
			return state, held
		}
		select {
		case <-recorded:
		case <-deadline.C:
			return state, true
		case <-d.ctx.Done():
			return state, true
		}
	}
}

// Restore sets the learned state to what an earlier owner recorded.
func (d *Dispatcher) Restore(data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shard.RestoreModels(data)
}

// Enroll adds workers on which earlier owners may have started tasks.
func (d *Dispatcher) Enroll(list []job.Enrollment) {
	d.updateShard(func(s *scheduler.Shard, _ scheduler.Instant) {
		for _, e := range list {
			if err := s.Enroll(e); err != nil {
				event.RecordUnreadable.Log(d.Logger, logrus.Fields{"error": err})
				continue
			}
			d.startRenewing(e.Worker)
		}
	})
}

// SetWorkers applies changes of the workers' registry entries, which were requested at the
// time requested. It returns an error for each entry that was left out.
func (d *Dispatcher) SetWorkers(requested time.Duration, c fleet.Changes) (leftOut []error) {
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) {
		if c.All {
			listed := map[platform.WorkerID]bool{}
			for _, w := range c.Set {
				listed[w.ID] = true
			}
			for _, id := range s.Registered() {
				if !listed[id] {
					s.RemoveWorker(now, id)
				}
			}
		}
		for _, w := range c.Set {
			restarted, err := s.SetWorker(now, w)
			if err != nil {
				leftOut = append(leftOut, err)
				continue
			}
			d.startRenewing(w.ID)
			if restarted {
				signal(d.renewing[w.ID])
			}
		}
		for _, id := range c.Removed {
			s.RemoveWorker(now, id)
		}
		if !c.More {
			s.EntriesRead(now, requested)
		}
	})
	d.entriesSeen.Store(true)
	return leftOut
}

// RequireRecentEntries makes the shard start nothing on old entries of workers until they
// have been read again: another host may have seen them change.
func (d *Dispatcher) RequireRecentEntries() {
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) { s.RequireRecentEntries(now) })
}

// PredecessorEnded records that the owner with the given claim has sent its last order.
func (d *Dispatcher) PredecessorEnded(claim uint32) {
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) { s.PredecessorEnded(now, claim) })
}

// SetCordoned sets the workers that get no new tasks and from which tasks are moved
// away.
func (d *Dispatcher) SetCordoned(ids []platform.WorkerID) {
	d.updateShard(func(s *scheduler.Shard, _ scheduler.Instant) { s.SetCordoned(ids) })
}

// UpkeepOrdered records that the upkeep of the machines of workers was or is about to be
// ordered.
func (d *Dispatcher) UpkeepOrdered(ids []platform.WorkerID) {
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) { s.UpkeepOrdered(now, ids) })
}

// UpkeepRefused records that the machines of workers have refused their upkeep.
func (d *Dispatcher) UpkeepRefused(ids []platform.WorkerID) {
	d.updateShard(func(s *scheduler.Shard, _ scheduler.Instant) { s.UpkeepRefused(ids) })
}

// WorkerLoad counts the tasks that may be running on a worker: long-running ones, which
// have no end, and finite ones.
func (d *Dispatcher) WorkerLoad(id platform.WorkerID) (longRunning, finite int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shard.CountAttempts(id)
}

// MayAct reports whether the host may still send orders as the shard's owner.
func (d *Dispatcher) MayAct() bool {
	if d.stopping.Load() {
		return false
	}
	age := d.ConfirmationAge()
	if age < scheduler.AuthorityWindow {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return age < scheduler.AuthorityBound && d.shard.HasQuorum(d.Clock())
}

// Reasons for which an owner does not serve its shard. With the first two it may not act.
var (
	ErrNotClaimed   = errors.New("the ownership is not recorded")
	ErrNotConfirmed = errors.New("the ownership is not confirmed")
	errNoEntries    = errors.New("no entries of workers could be read")
	errNoRequests   = errors.New("no evacuations of failure domains could be read")
	errIsolated     = errors.New("nearly no worker answers")
	errStaleEntries = errors.New("the workers' entries are too old")
	errUnrecorded   = errors.New("the store takes no records")
)

// Unable returns why the host cannot start tasks as the shard's owner or record their ends,
// or nil if it can.
func (d *Dispatcher) Unable() error {
	switch {
	case !d.claimed.Load():
		return ErrNotClaimed
	case !d.MayAct():
		return ErrNotConfirmed
	case !d.entriesSeen.Load():
		return errNoEntries
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	switch {
	case d.shard.Isolated(now):
		return errIsolated
	case !d.shard.EvacuationsKnown():
		return errNoRequests
	case !d.shard.CapacitiesKnown(now):
		return errStaleEntries
	case d.unrecorded.Load():
		return errUnrecorded
	}
	return nil
}

// Acts reports whether the host serves running tasks as the shard's owner, although it may be
// unable to start others or to record their ends.
func (d *Dispatcher) Acts() bool {
	switch d.Unable() {
	case nil, errNoEntries, errNoRequests, errStaleEntries, errUnrecorded:
		return true
	}
	return false
}

// planLoop makes a plan periodically and whenever one is requested, but leaves a pause
// after each plan.
func (d *Dispatcher) planLoop() {
	ticker := time.NewTicker(scheduler.PlanPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.stopRequested:
			return
		case <-d.planRequested:
		case <-ticker.C:
			d.reportWaiting()
			d.reportOrders()
		}
		started := d.Clock()
		d.plan()
		took := d.Clock() - started
		d.timer("plans").Update(took)
		// The loop ends with the context.
		_ = pause.For(d.ctx, planPause(took))
	}
}

// plan makes a plan and sends its orders. A host that may not act makes no plan: each
// order would fail immediately and trigger the next plan.
func (d *Dispatcher) plan() {
	if !d.MayAct() {
		d.reportActivity()
		return
	}
	d.mu.Lock()
	now := d.Clock()
	d.shard.OwnershipConfirmed(now - d.ConfirmationAge())
	actions := d.shard.Plan(now, time.Now().UnixMilli(), d.starts.available(now))
	orders := make([]*windowOrder, len(actions.Starts))
	for i, start := range actions.Starts {
		orders[i] = d.starts.add(now, start.Worker.ID)
	}
	d.mu.Unlock()
	d.sendOrders(now, actions, orders)
	d.reportActivity()
}
