package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// cancelTime is how long after a cancel's answer tasks may still be ordered to stop.
	cancelTime = 3 * time.Second
	// wideWorkers and wideTasks are the workers of a deployment and the small tasks that run there.
	wideWorkers = 64
	wideTasks   = 12_000
)

// clientOf returns a client of linked workers.
type clientOf func(*linkedWorkers) fleet.Workers

// testEachClient runs a test with a client that sends each stop order in a call of its own, and with
// one that sends several in one call.
func testEachClient(t *testing.T, name string, f func(*testing.T, clientOf)) {
	t.Run(name, func(t *testing.T) { f(t, func(l *linkedWorkers) fleet.Workers { return l }) })
	t.Run(name+", in batches", func(t *testing.T) { f(t, func(l *linkedWorkers) fleet.Workers { return pipelinedWorkers{l} }) })
}

// pipelinedWorkers are linkedWorkers that carry out the stop orders of one call one after the other.
type pipelinedWorkers struct{ *linkedWorkers }

var _ fleet.BatchStopper = pipelinedWorkers{}

// StopAll implements fleet.BatchStopper.
func (p pipelinedWorkers) StopAll(ctx context.Context, w fleet.Worker, orders []fleet.StopOrder) []fleet.StopOutcome {
	outcomes, began := make([]fleet.StopOutcome, len(orders)), time.Now()
	for i, o := range orders {
		if i > 0 && (outcomes[i-1].Err != nil || time.Since(began) >= orderTimeout) {
			outcomes[i].Err = platform.ErrOutcomeUnknown
			continue
		}
		outcomes[i].Answer, outcomes[i].Err = p.Stop(ctx, w, o)
	}
	return outcomes
}

// smallTasks returns a job of tasks of which a worker runs hundreds.
func smallTasks(id string, tasks int) job.Entry {
	e := entry(id, tasks)
	e.Submission.Spec.Steps[0].Size = platform.Resources{MilliCPU: 100, MemoryMB: 100}
	return e
}

// eachThird returns the answer time late for each third worker, and 40 ms for the others.
func eachThird(late time.Duration) func(platform.WorkerID) time.Duration {
	return func(id platform.WorkerID) time.Duration {
		if isThird(id) {
			return late
		}
		return 40 * time.Millisecond
	}
}

func isThird(id platform.WorkerID) bool {
	i := 0
	_, _ = fmt.Sscanf(string(id), "w%d", &i)
	return i%3 == 0
}

// TestTasksRunOnAfterCancel guards against tasks of cancelled jobs that run on for seconds, as a
// fixed number of stop orders was under way whatever the number of workers and their answer times.
func TestTasksRunOnAfterCancel(t *testing.T) {
	never := 2 * orderTimeout
	for name, c := range map[string]struct {
		jobs     int
		stopTime func(platform.WorkerID) time.Duration
		// late is set if the stops of each third worker do not count.
		late bool
	}{
		"one job":              {jobs: 1, stopTime: eachThird(40 * time.Millisecond)},
		"many jobs":            {jobs: 20, stopTime: eachThird(40 * time.Millisecond)},
		"beside slow workers":  {jobs: 1, stopTime: eachThird(300 * time.Millisecond), late: true},
		"beside lost workers":  {jobs: 1, stopTime: eachThird(never), late: true},
		"all workers are slow": {jobs: 1, stopTime: func(platform.WorkerID) time.Duration { return 150 * time.Millisecond }},
	} {
		testEachClient(t, name, func(t *testing.T, client clientOf) {
			l := newLinkedWorkers(0)
			l.stopTime = c.stopTime
			withWorkers(t, client(l), wideWorkers, func(d *Dispatcher) {
				var jobs []job.Entry
				for i := range c.jobs {
					jobs = append(jobs, smallTasks(fmt.Sprintf("%016x", i+1), wideTasks/c.jobs))
				}
				d.AddJobs(jobs)
				time.Sleep(3 * time.Second)
				l.mu.Lock()
				must.Eq(t, wideTasks, l.accepted)
				l.mu.Unlock()
				for _, e := range jobs {
					cancelJob(d, e)
				}
				time.Sleep(cancelTime)
				l.mustHaveStopped(t, c.late)
			})
		})
	}
}

// mustHaveStopped checks that each attempt was ordered to stop. exceptThird leaves out those on each
// third worker.
func (l *linkedWorkers) mustHaveStopped(t *testing.T, exceptThird bool) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	running := 0
	for worker, attempts := range l.running {
		for task, number := range attempts {
			if !(exceptThird && isThird(worker)) && l.stopped[attemptKey{worker, task, number}].IsZero() {
				running++
			}
		}
	}
	must.Zero(t, running)
}

// TestTasksRunOnAfterCancelWithoutOwner guards against the same where a new owner finds the tasks of
// jobs that were cancelled while there was none.
func TestTasksRunOnAfterCancelWithoutOwner(t *testing.T) {
	testEachClient(t, "new owner", testTasksRunOnAfterCancelWithoutOwner)
}

func testTasksRunOnAfterCancelWithoutOwner(t *testing.T, client clientOf) {
	l := newLinkedWorkers(0)
	l.stopTime = eachThird(40 * time.Millisecond)
	for i := range wideTasks {
		worker := workerID(i % wideWorkers)
		if l.running[worker] == nil {
			l.running[worker] = map[job.TaskRef]platform.Attempt{}
		}
		l.running[worker][job.TaskRef{Job: firstJob, Index: i}] = 1
	}
	withWorkers(t, client(l), wideWorkers, func(*Dispatcher) {
		time.Sleep(cancelTime - 2*time.Second)
		l.mustHaveStopped(t, false)
	})
}

// TestStopsFillNarrowLink guards against stop orders that fill the owner's link for longer than an
// order waits for its answer, so that they are repeated and leases are lost.
func TestStopsFillNarrowLink(t *testing.T) {
	testEachClient(t, "10 Mbit/s", testStopsFillNarrowLink)
}

func testStopsFillNarrowLink(t *testing.T, client clientOf) {
	l := newLinkedWorkers(0)
	withWorkers(t, client(l), wideWorkers, func(d *Dispatcher) {
		e := smallTasks(firstJob, wideTasks)
		d.AddJobs([]job.Entry{e})
		time.Sleep(3 * time.Second)
		l.mu.Lock()
		must.Eq(t, wideTasks, l.accepted)
		l.bytesPerSecond = narrowLink
		l.mu.Unlock()
		cancelJob(d, e)
		const seconds = 3
		time.Sleep(seconds * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.Greater(t, 0.8*seconds*narrowLink/stopBytes, float64(len(l.stopped)))
		must.Less(t, len(l.stopped)/20, l.unansweredStops)
	})
}

// TestLostOwnersFillWorkersChannels guards against workers that accept no order any more: each owner
// opened as many connections to a worker as it had orders, and those of lost owners stay open there.
func TestLostOwnersFillWorkersChannels(t *testing.T) {
	const accepted, owners = 64, 20
	l := newLinkedWorkers(0)
	withLinkedWorkers(t, l, 10, func(d *Dispatcher) {
		d.AddJobs([]job.Entry{entry(firstJob, 700)})
		cancelled := entry(secondJob, 100)
		d.AddJobs([]job.Entry{cancelled})
		time.Sleep(time.Second)
		cancelJob(d, cancelled)
		time.Sleep(time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.Eq(t, 800, l.accepted)
		must.MapLen(t, 100, l.stopped)
		must.LessEq(t, accepted, owners*l.mostCalls)
	})
}

// TestStopsToLostWorkerDelayLists guards against ends that are noticed late on all workers while stop
// orders to one that does not answer are repeated.
func TestStopsToLostWorkerDelayLists(t *testing.T) {
	const watched = 12 * time.Second
	l := newLinkedWorkers(0)
	l.stopTime = func(id platform.WorkerID) time.Duration {
		if id == workerID(0) {
			return 2 * orderTimeout
		}
		return roundTrip
	}
	withLinkedWorkers(t, l, 10, func(d *Dispatcher) {
		// While a batch task runs, its end is awaited without a pause.
		batch := entry(secondJob, 50)
		batch.Submission.Spec.Steps[0].LongRunning, batch.Submission.Spec.Steps[0].EstimateMS = false, 60_000
		e := entry(firstJob, 300)
		d.AddJobs([]job.Entry{batch, e})
		time.Sleep(2 * time.Second)
		cancelJob(d, e)
		time.Sleep(time.Second)
		l.mu.Lock()
		before := l.renewals[workerID(1)]
		l.mu.Unlock()
		time.Sleep(watched)
		l.mu.Lock()
		defer l.mu.Unlock()
		const longestWait = 1200 * time.Millisecond
		must.GreaterEq(t, int(watched/(longestWait+roundTrip)), l.renewals[workerID(1)]-before)
	})
}

// TestStopsNeverReachFullWorker guards against tasks that run on after a cancel on a worker that
// accepts no further connection: its renewals took the only one all the time.
func TestStopsNeverReachFullWorker(t *testing.T) {
	l := newLinkedWorkers(0)
	withLinkedWorkers(t, l, 4, func(d *Dispatcher) {
		e := entry(firstJob, 20)
		d.AddJobs([]job.Entry{e, entry(secondJob, 4)})
		time.Sleep(3 * time.Second)
		l.mu.Lock()
		must.Eq(t, 24, l.accepted)
		l.full = map[platform.WorkerID]bool{workerID(0): true, workerID(1): true}
		l.mu.Unlock()
		cancelJob(d, e)
		time.Sleep(cancelTime)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.Positive(t, l.unansweredStops)
		must.MapLen(t, 20, l.stopped)
	})
}
