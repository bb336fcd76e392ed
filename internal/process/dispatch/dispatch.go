// Package dispatch runs a shard: it gives the orders that package scheduler
// decides on, feeds the answers back and records what must last.
package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/bootclock"
	"github.com/siskinvane/siskinvane/internal/process/event"
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
	// AppendBytes is the most that the store takes in one append.
	AppendBytes int
	// Predecessors are the earlier owners, see scheduler.New.
	Predecessors []scheduler.Predecessor
	// Recorded gets the records that are in the log.
	Recorded func([]store.Record)
	// Expired returns up to limit jobs that callers need not find any more.
	Expired func(limit int) []job.ID
	// Confirmed returns the age of the last proof that no other host owns the
	// shard: a read of the log to its end.
	Confirmed func() time.Duration
}

// Dispatcher runs one shard for as long as this host owns it. It is safe for
// concurrent use.
type Dispatcher struct {
	Config
	ctx    context.Context
	cancel context.CancelFunc
	pool   *ants.Pool
	done   sync.WaitGroup
	// wake asks for a plan, dirty for a record.
	wake  chan struct{}
	dirty chan struct{}
	// closing asks for the last record, closed tells that it is written.
	closing chan struct{}
	closed  chan struct{}
	// stopping is set before closing is closed.
	stopping atomic.Bool
	// waiting are the gauges of tasks that wait, by priority; the plan loop alone
	// uses them.
	waiting map[int]metrics.Gauge
	// learnedAt is when what was learned was last recorded, and sweptAt when jobs
	// were last dropped; the record loop alone uses them.
	learnedAt, sweptAt time.Duration

	mu    sync.Mutex
	shard *scheduler.Shard
	// recorded is closed and replaced with each record.
	recorded chan struct{}
	holds    map[platform.WorkerID]bool
	// writes are the records that callers wait for.
	writes []*write
	lost   error
}

// orderWorkers bounds the orders that are under way at a time.
const orderWorkers = 256

// ErrFenced reports that another host owns the shard.
var ErrFenced = errors.New("another host owns the shard")

// New returns a dispatcher that does nothing before Run.
func New(c Config) (*Dispatcher, error) {
	pool, err := ants.NewPool(orderWorkers)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		Config: c, ctx: ctx, cancel: cancel, pool: pool,
		wake: make(chan struct{}, 1), dirty: make(chan struct{}, 1),
		closing: make(chan struct{}), closed: make(chan struct{}),
		shard:   scheduler.New(c.Bounds, c.Ownership, c.Clock(), c.Predecessors),
		waiting: map[int]metrics.Gauge{}, holds: map[platform.WorkerID]bool{}, recorded: make(chan struct{}),
	}, nil
}

// Start runs the shard until Stop or until another host owns it.
func (d *Dispatcher) Start() {
	d.done.Go(d.planLoop)
	d.done.Go(d.recordLoop)
}

// Stop ends all work on the shard, after a last record of what is known. Calls
// under way are not waited for: the next owner's token rules them out.
func (d *Dispatcher) Stop() {
	d.stopping.Store(true)
	close(d.closing)
	select {
	case <-d.closed:
	case <-d.ctx.Done():
	case <-time.After(stopTimeout):
	}
	d.Abort()
}

// Abort ends all work on the shard at once.
func (d *Dispatcher) Abort() {
	d.cancel()
	go func() {
		d.done.Wait()
		d.pool.Release()
	}()
}

// stopTimeout bounds the last record: two appends to a slow store.
const stopTimeout = time.Second

// Lost returns why the dispatcher gave the shard up, or nil.
func (d *Dispatcher) Lost() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}

// Lose ends work on the shard because of err.
func (d *Dispatcher) Lose(err error) {
	d.mu.Lock()
	if d.lost == nil {
		d.lost = err
	}
	d.mu.Unlock()
	d.cancel()
}

// update changes the shard's state and asks for a plan.
func (d *Dispatcher) update(change func(s *scheduler.Shard, now scheduler.Instant)) {
	d.mu.Lock()
	change(d.shard, d.Clock())
	urgent := d.shard.Urgent()
	d.mu.Unlock()
	signal(d.wake)
	if urgent {
		signal(d.dirty)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetConfig puts a version of the declarations in force.
func (d *Dispatcher) SetConfig(c *queue.Config) {
	d.update(func(s *scheduler.Shard, _ scheduler.Instant) { s.SetConfig(c) })
}

// SetBounds changes the platform's figures.
func (d *Dispatcher) SetBounds(b scheduler.Bounds) {
	d.update(func(s *scheduler.Shard, _ scheduler.Instant) { s.SetBounds(b) })
}

// AddJobs takes jobs over from the log.
func (d *Dispatcher) AddJobs(entries []job.Entry) {
	d.update(func(s *scheduler.Shard, now scheduler.Instant) {
		for _, e := range entries {
			s.AddJob(now, e)
			if e.Cancelled {
				s.CancelJob(now, e.ID)
			}
		}
	})
}

// stateWait is how long a question about a job that goes on may wait for its end.
// Callers ask when they expect a job to be over, and then not again for a while;
// an end takes up to 60 ms to be noticed and recorded.
const stateWait = 150 * time.Millisecond

// Admit decides on a job that is not stored yet.
func (d *Dispatcher) Admit(sub *job.Submission) scheduler.Admission {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shard.Admit(d.Clock(), sub)
}

// State returns what callers are told of a job, after a short wait if it goes on.
// The second result is false if the shard does not hold the job: it has ended, or
// was never submitted.
func (d *Dispatcher) State(id job.ID) (job.State, bool) {
	deadline := time.NewTimer(stateWait)
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

// Restore lets the shard begin with what an earlier owner has learned.
func (d *Dispatcher) Restore(data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shard.Restore(data)
}

// Enroll takes over workers on which earlier owners may have started tasks.
func (d *Dispatcher) Enroll(list []job.Enrollment) {
	d.update(func(s *scheduler.Shard, _ scheduler.Instant) {
		for _, e := range list {
			if err := s.Enroll(e); err != nil {
				event.RecordUnreadable.Log(d.Logger, logrus.Fields{"error": err})
				continue
			}
			d.hold(e.Worker)
		}
	})
}

// SetWorkers takes over changes of the workers' entries.
func (d *Dispatcher) SetWorkers(c fleet.Changes) {
	d.update(func(s *scheduler.Shard, now scheduler.Instant) {
		if c.All {
			listed := map[platform.WorkerID]bool{}
			for _, w := range c.Set {
				listed[w.ID] = true
			}
			for _, id := range s.Listed() {
				if !listed[id] {
					s.RemoveWorker(now, id)
				}
			}
		}
		for _, w := range c.Set {
			s.SetWorker(now, w)
			d.hold(w.ID)
		}
		for _, id := range c.Removed {
			s.RemoveWorker(now, id)
		}
	})
}

// SetCordoned names the workers that get no new tasks and are to be left.
func (d *Dispatcher) SetCordoned(ids []platform.WorkerID) {
	d.update(func(s *scheduler.Shard, _ scheduler.Instant) { s.SetCordoned(ids) })
}

// LoadOf counts what may run on a worker: tasks without an end, and others.
func (d *Dispatcher) LoadOf(id platform.WorkerID) (lasting, short int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shard.LoadOf(id)
}

// MayAct reports whether the host may still give orders as the shard's owner.
func (d *Dispatcher) MayAct() bool {
	if d.stopping.Load() {
		return false
	}
	age := d.Confirmed()
	if age < scheduler.AuthorityWindow {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return age < scheduler.AuthorityBound && d.shard.Backed(d.Clock())
}

// planLoop gives the orders of each plan.
func (d *Dispatcher) planLoop() {
	ticker := time.NewTicker(scheduler.PlanPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.closing:
			return
		case <-d.wake:
		case <-ticker.C:
			d.reportWaiting()
		}
		d.plan()
	}
}

// plan gives the orders of one plan. A host that may not act makes none: each order
// would fail at once and call for the next plan.
func (d *Dispatcher) plan() {
	if !d.MayAct() {
		d.reportNotes()
		return
	}
	d.mu.Lock()
	actions := d.shard.Plan(d.Clock(), time.Now().UnixMilli())
	d.mu.Unlock()
	d.give(actions)
	d.reportNotes()
}

// give sends orders without waiting for their answers.
func (d *Dispatcher) give(a scheduler.Actions) {
	for _, start := range a.Starts {
		d.submit(func() { d.start(start) })
	}
	for _, stop := range a.Stops {
		d.submit(func() { d.stop(stop) })
	}
	for _, pace := range a.Paces {
		d.submit(func() { d.pace(pace) })
	}
	for _, ask := range a.Asks {
		d.submit(func() { d.ask(ask) })
	}
}

func (d *Dispatcher) submit(f func()) {
	d.done.Add(1)
	err := d.pool.Submit(func() {
		defer d.done.Done()
		f()
	})
	if err != nil {
		d.done.Done()
		event.OrderDropped.Log(d.Logger, logrus.Fields{"error": err})
	}
}

func (d *Dispatcher) start(a scheduler.StartAction) {
	answer, err := fleet.Answer{}, ErrFenced
	if d.MayAct() {
		answer, err = d.Workers.Start(d.ctx, a.Worker, a.Order)
	}
	if answer.Verdict == fleet.RefusedFenced {
		d.Lose(ErrFenced)
		return
	}
	if err != nil || answer.Verdict != fleet.Accepted {
		d.refused(answer.Verdict, err)
		event.StartNotAccepted.Log(d.Logger, logrus.Fields{
			"task": a.Order.Task.String(), "attempt": a.Order.Attempt, "worker": a.Worker.ID,
			"verdict": answer.Verdict.String(), "error": err,
		})
	}
	d.update(func(s *scheduler.Shard, now scheduler.Instant) { s.StartAnswered(now, a, answer, err) })
}

func (d *Dispatcher) stop(a scheduler.StopAction) {
	if !d.MayAct() {
		return
	}
	answer, err := d.Workers.Stop(d.ctx, a.Worker, a.Order)
	if answer.Verdict == fleet.RefusedFenced {
		d.Lose(ErrFenced)
		return
	}
	d.update(func(s *scheduler.Shard, now scheduler.Instant) { s.StopAnswered(now, a, answer, err) })
}

func (d *Dispatcher) pace(a scheduler.PaceAction) {
	answer, err := fleet.Answer{}, ErrFenced
	if d.MayAct() {
		answer, err = d.Workers.Pace(d.ctx, a.Worker, a.Order)
	}
	if answer.Verdict == fleet.RefusedFenced {
		d.Lose(ErrFenced)
	}
	if err != nil {
		event.PaceFailed.Log(d.Logger, logrus.Fields{"task": a.Order.Task.String(), "worker": a.Worker.ID, "error": err})
	}
	d.update(func(s *scheduler.Shard, now scheduler.Instant) { s.PaceAnswered(now, a, answer, err) })
}

var errNoAdvisor = errors.New("no advice service is set")

func (d *Dispatcher) ask(a scheduler.AskAction) {
	asked, answer, err := d.Clock(), fleet.Advice{}, errNoAdvisor
	if d.Advisor != nil {
		answer, err = d.Advisor.Advise(d.ctx, a.Question)
	}
	if err != nil {
		event.AdviceFailed.Log(d.Logger, logrus.Fields{"job": a.Question.Job, "step": a.Question.Step, "error": err})
	}
	d.update(func(s *scheduler.Shard, now scheduler.Instant) { s.Advised(now, asked, a, answer, err) })
}
