package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// stopTime is how long a task takes to stop.
const stopTime = 50 * time.Millisecond

// countedWorkers are workers of an owner with a slow processor, which each answer occupies: for
// stopCost an answer to a stop order, for rowCost each row of the answer to a renewal. Their tasks run
// until they are stopped; those of secondJob make progress for a minute.
type countedWorkers struct {
	stopCost, rowCost time.Duration

	mu      sync.Mutex
	workers map[platform.WorkerID]*countedWorker
	// freeAt is until when the owner's processor is in use.
	freeAt time.Time
	// rows counts the rows of all lists, stops the accepted stop orders for firstJob.
	rows, stops int
	// longestSilence is the longest time between two answered renewals of a worker.
	longestSilence time.Duration
}

// countedWorker is one of countedWorkers.
type countedWorker struct {
	running, stopping map[job.TaskRef]platform.Attempt
	started           map[job.TaskRef]time.Time
	ended             []fleet.Ended
	lastEnd           uint64
	answeredAt        time.Time
	// changed is closed and replaced at each end.
	changed chan struct{}
}

func newCountedWorkers(stopCost, rowCost time.Duration) *countedWorkers {
	return &countedWorkers{stopCost: stopCost, rowCost: rowCost, workers: map[platform.WorkerID]*countedWorker{}}
}

var _ fleet.Workers = (*countedWorkers)(nil)

// worker returns a worker. The caller holds mu.
func (c *countedWorkers) worker(id platform.WorkerID) *countedWorker {
	w := c.workers[id]
	if w == nil {
		w = &countedWorker{running: map[job.TaskRef]platform.Attempt{}, stopping: map[job.TaskRef]platform.Attempt{}, started: map[job.TaskRef]time.Time{}, changed: make(chan struct{})}
		c.workers[id] = w
	}
	return w
}

// use occupies the owner's processor.
func (c *countedWorkers) use(cost time.Duration) {
	c.mu.Lock()
	if now := time.Now(); c.freeAt.Before(now) {
		c.freeAt = now
	}
	c.freeAt = c.freeAt.Add(cost)
	wait := time.Until(c.freeAt)
	c.mu.Unlock()
	time.Sleep(wait)
}

func accepted() fleet.Answer {
	return fleet.Answer{Verdict: fleet.Accepted, Clock: platform.WorkerTime(time.Now().UnixNano())}
}

// Start implements fleet.Workers.
func (c *countedWorkers) Start(_ context.Context, w fleet.Worker, o fleet.StartOrder) (fleet.Answer, error) {
	time.Sleep(roundTrip)
	c.mu.Lock()
	defer c.mu.Unlock()
	worker := c.worker(w.ID)
	worker.running[o.Task], worker.started[o.Task] = o.Attempt, time.Now()
	return accepted(), nil
}

// Stop implements fleet.Workers.
func (c *countedWorkers) Stop(_ context.Context, w fleet.Worker, o fleet.StopOrder) (fleet.Answer, error) {
	time.Sleep(roundTrip)
	c.order(w, o)
	c.use(c.stopCost)
	return accepted(), nil
}

// order carries out a stop order.
func (c *countedWorkers) order(w fleet.Worker, o fleet.StopOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worker := c.worker(w.ID)
	if n, runs := worker.running[o.Task]; runs && worker.stopping[o.Task] == 0 {
		worker.stopping[o.Task] = n
		if o.Task.Job == firstJob {
			c.stops++
		}
		time.AfterFunc(stopTime, func() { c.end(worker, o.Task, fleet.EndStopped) })
	}
}

// end ends a task.
func (c *countedWorkers) end(w *countedWorker, task job.TaskRef, kind fleet.EndKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.lastEnd++
	w.ended = append(w.ended, fleet.Ended{Number: w.lastEnd, Task: task, Attempt: w.running[task], Kind: kind})
	delete(w.running, task)
	close(w.changed)
	w.changed = make(chan struct{})
}

// Throttle implements fleet.Workers.
func (c *countedWorkers) Throttle(context.Context, fleet.Worker, fleet.ThrottleOrder) (fleet.Answer, error) {
	return accepted(), nil
}

// Renew implements fleet.Workers.
func (c *countedWorkers) Renew(ctx context.Context, w fleet.Worker, o fleet.RenewOrder) (fleet.RenewReply, error) {
	time.Sleep(roundTrip)
	timeout := time.After(o.Wait)
	c.mu.Lock()
	worker := c.worker(w.ID)
	for len(worker.ended) > 0 && worker.ended[0].Number <= o.Acknowledged {
		worker.ended = worker.ended[1:]
	}
	for waiting := o.Wait > 0; waiting && len(worker.ended) == 0; {
		changed := worker.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		c.mu.Lock()
	}
	reply := fleet.RenewReply{Verdict: fleet.Accepted, Clock: accepted().Clock, Started: 1}
	for task, attempt := range worker.running {
		progress := 100
		if task.Job == secondJob {
			progress = min(progress, int(time.Since(worker.started[task])/(600*time.Millisecond)))
		}
		reply.Running = append(reply.Running, fleet.Running{Task: task, Attempt: attempt, Progress: progress})
	}
	reply.Ended = append(reply.Ended, worker.ended[:min(len(worker.ended), fleet.MaxListedEnds)]...)
	rows := len(reply.Running) + len(reply.Ended)
	c.rows += rows
	if !worker.answeredAt.IsZero() {
		c.longestSilence = max(c.longestSilence, time.Since(worker.answeredAt))
	}
	worker.answeredAt = time.Now()
	c.mu.Unlock()
	c.use(time.Duration(rows) * c.rowCost)
	return reply, nil
}

// endAll ends all tasks of a job as done.
func (c *countedWorkers) endAll(id job.ID) {
	c.mu.Lock()
	var tasks []job.TaskRef
	var workers []*countedWorker
	for _, w := range c.workers {
		for task := range w.running {
			if task.Job == id {
				tasks, workers = append(tasks, task), append(workers, w)
			}
		}
	}
	c.mu.Unlock()
	for i, task := range tasks {
		c.end(workers[i], task, fleet.EndDone)
	}
}

// TestBurstDelaysLeasesAndEnds guards against leases that come near their end, and ends of other jobs
// that are noticed late, while stop orders wait for the same workers.
func TestBurstDelaysLeasesAndEnds(t *testing.T) {
	const longestRenewal, longestEnd = 2500 * time.Millisecond, 1500 * time.Millisecond
	c := newCountedWorkers(300*time.Microsecond, 7*time.Microsecond)
	withWorkers(t, c, wideWorkers, func(d *Dispatcher) {
		short := smallTasks(secondJob, wideWorkers)
		short.Submission.Spec.Steps[0].LongRunning, short.Submission.Spec.Steps[0].EstimateMS = false, 60_000
		jobs := []job.Entry{smallTasks(firstJob, wideTasks), short}
		d.AddJobs(jobs)
		time.Sleep(10 * time.Second)
		cancelJob(d, jobs[0])
		time.Sleep(200 * time.Millisecond)
		c.endAll(secondJob)
		time.Sleep(longestEnd)
		_, held := d.State(secondJob)
		_, stops := c.counts()
		time.Sleep(cancelTime)
		c.mu.Lock()
		silence := c.longestSilence
		c.mu.Unlock()
		must.Less(t, wideTasks, stops, must.Sprint("the burst has not gone on for as long"))
		must.False(t, held)
		must.Less(t, longestRenewal, silence)
	})
}

// counts returns the rows of all lists and the accepted stop orders.
func (c *countedWorkers) counts() (rows, stops int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows, c.stops
}

// TestListsTakeProcessorFromStops guards against tasks that run on after a cancel since the owner's
// processor is busy with lists of what else runs on the workers, also on a slow processor.
func TestListsTakeProcessorFromStops(t *testing.T) {
	const workers, cancelled = 64, 8000
	for name, others := range map[string]int{"nothing else runs": 0, "much else runs": 20_000} {
		t.Run(name, func(t *testing.T) {
			c := newCountedWorkers(267*time.Microsecond, 7*time.Microsecond)
			withWorkers(t, c, workers, func(d *Dispatcher) {
				// While a batch task runs, its end is awaited without a pause.
				batch := smallTasks(secondJob, workers)
				batch.Submission.Spec.Steps[0].LongRunning, batch.Submission.Spec.Steps[0].EstimateMS = false, 60_000
				jobs := []job.Entry{smallTasks(firstJob, cancelled), batch}
				if others > 0 {
					jobs = append(jobs, smallTasks("00000000000000a3", others))
				}
				d.AddJobs(jobs)
				time.Sleep(10 * time.Second)
				before, _ := c.counts()
				began, stops, rows := time.Now(), 0, 0
				cancelJob(d, jobs[0])
				for stops < cancelled && time.Since(began) < cancelTime {
					time.Sleep(10 * time.Millisecond)
					rows, stops = c.counts()
				}
				t.Log(time.Since(began), stops, rows-before)
				must.Eq(t, cancelled, stops)
			})
		})
	}
}

// batchingWorkers are countedWorkers to which several stop orders are sent in one call. A call costs
// the owner's processor callCost beside the cost of its orders.
type batchingWorkers struct {
	*countedWorkers
	callCost time.Duration
	// refuses is set for workers that answer the first order of a call only.
	refuses func(platform.WorkerID) bool
	// longestBatch is the greatest number of orders in a call.
	longestBatch int
}

var _ fleet.BatchStopper = (*batchingWorkers)(nil)

// Stop implements fleet.Workers.
func (b *batchingWorkers) Stop(ctx context.Context, w fleet.Worker, o fleet.StopOrder) (fleet.Answer, error) {
	b.use(b.callCost)
	return b.countedWorkers.Stop(ctx, w, o)
}

// StopAll implements fleet.BatchStopper.
func (b *batchingWorkers) StopAll(ctx context.Context, w fleet.Worker, orders []fleet.StopOrder) []fleet.StopOutcome {
	outcomes := make([]fleet.StopOutcome, len(orders))
	b.use(b.callCost)
	b.mu.Lock()
	b.longestBatch = max(b.longestBatch, len(orders))
	b.mu.Unlock()
	time.Sleep(roundTrip)
	for i, o := range orders {
		if i > 0 && b.refuses != nil && b.refuses(w.ID) {
			outcomes[i].Err = platform.ErrOutcomeUnknown
			continue
		}
		b.order(w, o)
		outcomes[i].Answer = accepted()
	}
	b.use(time.Duration(len(orders)) * b.stopCost)
	return outcomes
}

// TestBurstOfStopsCostsCallEach guards against tasks that run on after a cancel since each stop order
// costs the owner's processor a call of its own, also beside workers that take one order per call.
func TestBurstOfStopsCostsCallEach(t *testing.T) {
	const workers, cancelled = 64, 8000
	for name, refuses := range map[string]func(platform.WorkerID) bool{"all take several": nil, "a few take one": func(id platform.WorkerID) bool { return id < workerID(8) }} {
		t.Run(name, func(t *testing.T) {
			b := &batchingWorkers{countedWorkers: newCountedWorkers(60*time.Microsecond, 6*time.Microsecond), callCost: 360 * time.Microsecond, refuses: refuses}
			withWorkers(t, b, workers, func(d *Dispatcher) {
				jobs := []job.Entry{smallTasks(firstJob, cancelled), smallTasks(secondJob, cancelled)}
				d.AddJobs(jobs)
				time.Sleep(10 * time.Second)
				cancelJob(d, jobs[0])
				time.Sleep(cancelTime)
				_, stops := b.counts()
				b.mu.Lock()
				longest := b.longestBatch
				b.mu.Unlock()
				must.Eq(t, cancelled, stops)
				must.Between(t, 2, longest, maxStopBatch)
			})
		})
	}
}

// TestLagOfProcessHoldsUpStops guards against a window that stays small since the process itself is
// slow: the time that its answers wait in the process was put down to the link.
func TestLagOfProcessHoldsUpStops(t *testing.T) {
	for name, c := range map[string]struct {
		lag   time.Duration
		grows bool
	}{"slow process": {100 * time.Millisecond, true}, "full link": {0, false}} {
		t.Run(name, func(t *testing.T) {
			q := newStopQueue(false)
			q.lag = c.lag
			for i := range 2000 {
				q.add(0, scheduler.StopAction{Worker: fleet.Worker{ID: workerID(i % 200)}})
			}
			for i := range 1000 {
				b := q.next(0)
				for b != nil && q.counted < int(q.size) {
					b = q.next(0)
				}
				took := 110 * time.Millisecond
				if i == 0 {
					took = 10 * time.Millisecond
				}
				first := q.batches[0]
				q.adjust(0, first, took, true)
				q.release(first)
				q.leaveOverdue(0)
			}
			must.Eq(t, c.grows, q.size > 2*minStopWindow, must.Sprint(q.size))
		})
	}
}

// TestBurstIsLoggedByTask guards against bursts whose log lines take the processor time of the orders.
func TestBurstIsLoggedByTask(t *testing.T) {
	const tasks = 5000
	var lines bytes.Buffer
	l := newLinkedWorkers(0)
	withWorkers(t, l, wideWorkers, func(d *Dispatcher) {
		e := smallTasks(firstJob, tasks)
		d.AddJobs([]job.Entry{e})
		time.Sleep(3 * time.Second)
		d.Logger.SetOutput(&lines)
		cancelJob(d, e)
		time.Sleep(cancelTime)
		d.Logger.SetOutput(io.Discard)
	})
	must.Less(t, tasks/10, bytes.Count(lines.Bytes(), []byte("\n")))
	must.StrContains(t, lines.String(), fmt.Sprintf("stops=%d", tasks-maxNoteLines))
}

// TestPromisedStopsWaitForOthers guards against tasks of a cancelled job that run on while stop orders
// are sent that only make room for other tasks.
func TestPromisedStopsWaitForOthers(t *testing.T) {
	const each = 500
	q := newStopQueue(false)
	for i := range 2 * each {
		q.add(0, scheduler.StopAction{Worker: fleet.Worker{ID: workerID(i % 50)}, Promised: i >= each})
	}
	for i := 0; i < 2*each; {
		b := q.next(0)
		must.NotNil(t, b)
		for _, o := range b.orders {
			must.Eq(t, i < each, o.Promised)
			i++
		}
		q.release(b)
	}
	must.Nil(t, q.next(0))
}
