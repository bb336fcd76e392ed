package dispatch

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

const (
	// narrowLink is a host's link in bytes per second: 10 Mbit/s.
	narrowLink = 1_250_000
	startBytes = 2500
	stopBytes  = 300
	// roundTrip is the answer time on an empty link, orderTimeout how long an order
	// waits for its answer.
	roundTrip    = 4 * time.Millisecond
	orderTimeout = 400 * time.Millisecond
)

type attemptKey struct {
	worker  platform.WorkerID
	task    job.TaskRef
	attempt platform.Attempt
}

// linkedWorkers are workers behind one link, on which orders queue. Tasks run until
// they are stopped.
type linkedWorkers struct {
	// bytesPerSecond is the rate of the link, or zero if it is never full.
	bytesPerSecond int
	// silent workers do not answer starts, lost ones nothing at all.
	silent, lost map[platform.WorkerID]bool
	// stopAnswer is how long a stop order waits for its answer, beyond the link.
	stopAnswer, renewAnswer time.Duration
	// stopTime, if set, is how long a worker takes to answer a stop order. One that takes longer
	// than orderTimeout gives no answer.
	stopTime func(platform.WorkerID) time.Duration
	// stopped is when the stop of an attempt was answered, unansweredStops counts those that were
	// not.
	stopped         map[attemptKey]time.Time
	unansweredStops int
	// full workers accept no connection beside one.
	full map[platform.WorkerID]bool
	// calls counts the calls under way to each worker, mostCalls is the greatest number to one.
	calls     map[platform.WorkerID]int
	mostCalls int

	mu       sync.Mutex
	freeAt   time.Time
	running  map[platform.WorkerID]map[job.TaskRef]platform.Attempt
	accepted int
	// unanswered counts starts, startsInFlight is the present number and maxStarts the
	// largest.
	unanswered, startsInFlight, maxStarts int
	lastStart                             map[job.ID]time.Time
	firstStop                             map[attemptKey]time.Time
	stopsInFlight                         map[attemptKey]int
	maxStops                              int
	// atOnce are the renewals without a wait in flight.
	atOnce, maxAtOnce int
	renewals          map[platform.WorkerID]int
	contacted         map[platform.WorkerID]time.Time
	// run is the run that workers answer as; failedAt is when a renewal last failed.
	run      int64
	failedAt time.Time
	// leased is when a worker first got a lease.
	leased map[platform.WorkerID]time.Time
	// lostFor is how long all workers are lost after the first renewal.
	lostFor      time.Duration
	firstRenewal time.Time
}

func newLinkedWorkers(bytesPerSecond int) *linkedWorkers {
	return &linkedWorkers{
		bytesPerSecond: bytesPerSecond, silent: map[platform.WorkerID]bool{}, lost: map[platform.WorkerID]bool{},
		running: map[platform.WorkerID]map[job.TaskRef]platform.Attempt{}, lastStart: map[job.ID]time.Time{},
		firstStop: map[attemptKey]time.Time{}, stopped: map[attemptKey]time.Time{}, stopsInFlight: map[attemptKey]int{},
		run: 1, renewals: map[platform.WorkerID]int{}, contacted: map[platform.WorkerID]time.Time{}, leased: map[platform.WorkerID]time.Time{},
	}
}

var _ fleet.Workers = (*linkedWorkers)(nil)

func (l *linkedWorkers) clock() platform.WorkerTime {
	return platform.WorkerTime(time.Now().UnixNano())
}

// carry waits until an order of the given size is answered. It reports false if that
// takes longer than orderTimeout; the order is carried all the same.
func (l *linkedWorkers) carry(bytes int) bool {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	if l.bytesPerSecond > 0 {
		l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	}
	wait := l.freeAt.Sub(now) + roundTrip
	l.mu.Unlock()
	time.Sleep(min(wait, orderTimeout))
	return wait <= orderTimeout
}

// call counts a call to a worker as under way until the returned function is called.
func (l *linkedWorkers) call(id platform.WorkerID) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls == nil {
		l.calls = map[platform.WorkerID]int{}
	}
	l.calls[id]++
	l.mostCalls = max(l.mostCalls, l.calls[id])
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.calls[id]--
	}
}

// Start implements fleet.Workers.
func (l *linkedWorkers) Start(_ context.Context, w fleet.Worker, o fleet.StartOrder) (fleet.Answer, error) {
	defer l.call(w.ID)()
	l.mu.Lock()
	l.lastStart[o.Task.Job] = time.Now()
	l.startsInFlight++
	l.maxStarts = max(l.maxStarts, l.startsInFlight)
	l.mu.Unlock()
	answered := l.carry(startBytes)
	if l.silent[w.ID] {
		time.Sleep(orderTimeout - roundTrip)
		answered = false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startsInFlight--
	if !answered {
		l.unanswered++
		return fleet.Answer{}, platform.ErrOutcomeUnknown
	}
	l.accepted++
	if l.running[w.ID] == nil {
		l.running[w.ID] = map[job.TaskRef]platform.Attempt{}
	}
	l.running[w.ID][o.Task] = o.Attempt
	return fleet.Answer{Verdict: fleet.Accepted, Clock: l.clock()}, nil
}

// Stop implements fleet.Workers.
func (l *linkedWorkers) Stop(_ context.Context, w fleet.Worker, o fleet.StopOrder) (fleet.Answer, error) {
	defer l.call(w.ID)()
	key := attemptKey{w.ID, o.Task, o.Attempt}
	l.mu.Lock()
	if l.firstStop[key].IsZero() {
		l.firstStop[key] = time.Now()
	}
	if l.full[w.ID] && l.calls[w.ID] > 1 {
		l.unansweredStops++
		l.mu.Unlock()
		return fleet.Answer{}, platform.ErrOutcomeUnknown
	}
	l.stopsInFlight[key]++
	l.maxStops = max(l.maxStops, l.stopsInFlight[key])
	l.mu.Unlock()
	answered := l.carry(stopBytes)
	time.Sleep(l.stopAnswer)
	if l.stopTime != nil {
		took := l.stopTime(w.ID)
		time.Sleep(min(took, orderTimeout))
		answered = answered && took < orderTimeout
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopsInFlight[key]--
	if !answered || l.stopAnswer > 0 {
		l.unansweredStops++
		return fleet.Answer{}, platform.ErrOutcomeUnknown
	}
	if l.stopped[key].IsZero() {
		l.stopped[key] = time.Now()
	}
	return fleet.Answer{Verdict: fleet.Accepted, Clock: l.clock()}, nil
}

// Throttle implements fleet.Workers.
func (l *linkedWorkers) Throttle(context.Context, fleet.Worker, fleet.ThrottleOrder) (fleet.Answer, error) {
	return fleet.Answer{Verdict: fleet.Accepted, Clock: l.clock()}, nil
}

// Renew implements fleet.Workers.
func (l *linkedWorkers) Renew(ctx context.Context, w fleet.Worker, o fleet.RenewOrder) (fleet.RenewReply, error) {
	defer l.call(w.ID)()
	l.mu.Lock()
	l.renewals[w.ID]++
	if o.Wait == 0 {
		l.atOnce++
		l.maxAtOnce = max(l.maxAtOnce, l.atOnce)
	}
	if l.firstRenewal.IsZero() {
		l.firstRenewal = time.Now()
	}
	lost := l.lost[w.ID] || time.Since(l.firstRenewal) < l.lostFor
	if !lost && o.LeaseEnd != 0 && l.leased[w.ID].IsZero() {
		l.leased[w.ID] = time.Now()
	}
	l.mu.Unlock()
	wait := max(roundTrip, o.Wait, l.renewAnswer)
	if lost {
		wait = o.Wait + time.Second
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Wait == 0 {
		l.atOnce--
	}
	if lost {
		l.failedAt = time.Now()
		return fleet.RenewReply{}, platform.ErrOutcomeUnknown
	}
	if l.contacted[w.ID].IsZero() {
		l.contacted[w.ID] = time.Now()
	}
	reply := fleet.RenewReply{Verdict: fleet.Accepted, Clock: l.clock(), Started: l.run}
	for task, attempt := range l.running[w.ID] {
		reply.Running = append(reply.Running, fleet.Running{Task: task, Attempt: attempt, Progress: 100})
	}
	return reply, nil
}

// withLinkedWorkers calls f in virtual time with a running dispatcher that has
// contacted the workers.
func withLinkedWorkers(t *testing.T, l *linkedWorkers, workers int, f func(d *Dispatcher)) {
	withWorkers(t, l, workers, f)
}

// withWorkers is withLinkedWorkers for any client of workers.
func withWorkers(t *testing.T, l fleet.Workers, workers int, f func(d *Dispatcher)) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		started := time.Now()
		d := New(Config{
			Store: &faultyStore{}, Workers: l, Ownership: job.Ownership{Epoch: 1, Claim: 1}, Logger: logger, Metrics: metrics.NewRegistry(),
			AppendBytes: 1 << 20, Bounds: scheduler.Bounds{MaxLease: 10 * time.Second, StopGrace: time.Second},
			Clock:           func() time.Duration { return time.Minute + time.Since(started) },
			ConfirmationAge: func() time.Duration { return 0 },
			OnRecorded:      func([]store.Record) {},
			ExpiredRecords:  func(int) []store.Record { return nil },
		})
		q := &queue.Queue{Name: "q", Service: "s", MaxFailures: 1, Stretch: 2, Target: time.Second}
		d.SetConfig(queue.New(1, []*queue.Queue{q}, []*queue.Service{{Name: "s"}}, queue.Limits{}))
		d.Start()
		defer func() {
			d.Abort()
			time.Sleep(time.Minute)
		}()
		changes := fleet.Changes{All: true}
		for i := range workers {
			changes.Set = append(changes.Set, workerEntry(i))
		}
		d.SetWorkers(d.Clock(), changes)
		time.Sleep(2 * time.Second)
		f(d)
	})
}

func workerEntry(i int) fleet.Worker {
	return fleet.Worker{
		ID: workerID(i), Service: "s", Rack: platform.RackID(fmt.Sprintf("r%d", i/10)),
		Capacity: platform.Resources{MilliCPU: 100_000, MemoryMB: 100_000},
	}
}

func workerID(i int) platform.WorkerID { return platform.WorkerID(fmt.Sprintf("w%03d", i)) }

// entry returns a job of long-running tasks.
func entry(id string, tasks int) job.Entry {
	return job.Entry{ID: job.ID(id), Submission: &job.Submission{
		Queue: "q", Service: "s", MaxFailures: 1, Stretch: 2, TargetMS: 1000, AcceptedMS: time.Now().UnixMilli(),
		Spec: job.Spec{Steps: []job.Step{{Tasks: tasks, LongRunning: true, Size: platform.Resources{MilliCPU: 1000, MemoryMB: 1000}, EstimateMS: 100}}},
	}}
}

const (
	firstJob  = "00000000000000a1"
	secondJob = "00000000000000a2"
)

func cancelJob(d *Dispatcher, e job.Entry) {
	e.Cancelled = true
	d.AddJobs([]job.Entry{e})
}

// TestFullLinkDoesNotCollapse: a plan's starts were sent all at once. On a narrow link
// they took longer than an order waits for its answer, so that nearly all were
// repeated, without end.
func TestFullLinkDoesNotCollapse(t *testing.T) {
	const seconds = 6
	l := newLinkedWorkers(narrowLink)
	withLinkedWorkers(t, l, 100, func(d *Dispatcher) {
		d.AddJobs([]job.Entry{entry(firstJob, 9000)})
		time.Sleep(seconds * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.Greater(t, 0.8*seconds*narrowLink/startBytes, float64(l.accepted))
		must.Less(t, l.accepted/50, l.unanswered)
		must.Less(t, 128, l.maxStarts)
	})
}

// TestBurstAfterEasyLoadDoesNotCollapse: under a load that the link carried the window had
// grown to its bound, and the next burst filled the link for longer than an order waits.
func TestBurstAfterEasyLoadDoesNotCollapse(t *testing.T) {
	l := newLinkedWorkers(narrowLink)
	withLinkedWorkers(t, l, 100, func(d *Dispatcher) {
		for i := range 40 {
			d.AddJobs([]job.Entry{entry(fmt.Sprintf("%016x", 0x1000+i), 20)})
			time.Sleep(50 * time.Millisecond)
		}
		d.AddJobs([]job.Entry{entry(firstJob, 3000)})
		time.Sleep(4 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.Greater(t, 800+1500, l.accepted)
		must.Less(t, l.accepted/50, l.unanswered)
	})
}

// TestFastLinkReachesFullRate: the window must not slow down starts on a link that can
// carry them.
func TestFastLinkReachesFullRate(t *testing.T) {
	l := newLinkedWorkers(0)
	withLinkedWorkers(t, l, 100, func(d *Dispatcher) {
		d.AddJobs([]job.Entry{entry(firstJob, 9000)})
		time.Sleep(500 * time.Millisecond)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.Eq(t, 9000, l.accepted)
		must.LessEq(t, maxStartWindow, l.maxStarts)
	})
}

// TestStartOfCancelledJobIsNotSent: starts waited in a queue for seconds and went out
// although their job was cancelled meanwhile.
func TestStartOfCancelledJobIsNotSent(t *testing.T) {
	l := newLinkedWorkers(narrowLink)
	withLinkedWorkers(t, l, 100, func(d *Dispatcher) {
		e := entry(firstJob, 4000)
		d.AddJobs([]job.Entry{e})
		time.Sleep(500 * time.Millisecond)
		cancelledAt := time.Now()
		cancelJob(d, e)
		time.Sleep(5 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.LessEq(t, 0, l.lastStart[e.ID].Sub(cancelledAt))
	})
}

// TestStopsOvertakeWaitingStarts: stop orders waited behind the starts of other jobs,
// and tasks of cancelled jobs ran on for seconds.
func TestStopsOvertakeWaitingStarts(t *testing.T) {
	const tasks = 50
	l := newLinkedWorkers(narrowLink)
	withLinkedWorkers(t, l, 100, func(d *Dispatcher) {
		e := entry(firstJob, tasks)
		d.AddJobs([]job.Entry{e})
		time.Sleep(time.Second)
		d.AddJobs([]job.Entry{entry(secondJob, 4000)})
		time.Sleep(500 * time.Millisecond)
		cancelledAt := time.Now()
		cancelJob(d, e)
		time.Sleep(5 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		stopped := 0
		for key, at := range l.firstStop {
			if key.task.Job == e.ID {
				stopped++
				must.Less(t, 50*time.Millisecond, at.Sub(cancelledAt))
			}
		}
		must.Eq(t, tasks, stopped)
	})
}

// TestStopIsNotRepeatedInFlight: stop orders were repeated while the order before still
// waited for its answer, and the repeats filled the link further.
func TestStopIsNotRepeatedInFlight(t *testing.T) {
	l := newLinkedWorkers(0)
	l.stopAnswer = 390 * time.Millisecond
	withLinkedWorkers(t, l, 10, func(d *Dispatcher) {
		e := entry(firstJob, 40)
		d.AddJobs([]job.Entry{e})
		time.Sleep(time.Second)
		cancelJob(d, e)
		time.Sleep(2 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.MapLen(t, 40, l.firstStop)
		must.Eq(t, 1, l.maxStops)
	})
}

// TestSilentRackDoesNotThrottleOthers: the unanswered starts of a tenth of the workers
// must not keep the others from getting tasks, on a link that is nearly full: they took
// up the whole window, and their answer times closed it.
func TestSilentRackDoesNotThrottleOthers(t *testing.T) {
	const (
		steps    = 50
		perStep  = 40
		interval = 100 * time.Millisecond
	)
	l := newLinkedWorkers(narrowLink)
	for i := range 10 {
		l.silent[workerID(i)] = true
	}
	withLinkedWorkers(t, l, 100, func(d *Dispatcher) {
		for i := range steps {
			d.AddJobs([]job.Entry{entry(fmt.Sprintf("%016x", i+1), perStep)})
			time.Sleep(interval)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		must.Greater(t, steps*perStep*8/10, l.accepted)
	})
}
