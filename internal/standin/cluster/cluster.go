// Package cluster stands in for the platform's workers. Time is passed in, so
// that tests can run it at any speed. It judges the orders that it is given: a
// task that runs twice, a start that does not fit or comes too early is noted as
// a violation.
package cluster

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// Cluster is a set of workers and the jobs that they may be asked to run. It is
// safe for concurrent use.
type Cluster struct {
	mu      sync.Mutex
	workers map[platform.WorkerID]*worker
	jobs    map[job.ID]*truth
	waves   []*wave
	// violations are the broken promises, in order.
	violations []string
	// started are the times at which tasks were started, in order.
	started []time.Duration
	// latency gives the tail latency of a serving task in milliseconds, from
	// what fills beside it.
	latency func(victim *job.Step, fillers []Filler) float64
}

// Filler is a task that fills beside a serving one.
type Filler struct {
	Image   string
	Percent int
}

// Interfere tells how tasks that fill disturb those that serve.
func (c *Cluster) Interfere(latency func(victim *job.Step, fillers []Filler) float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = latency
}

// Fillers returns the tasks that fill on a worker.
func (c *Cluster) Fillers(id platform.WorkerID) []Filler {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fillers(c.workers[id])
}

func (c *Cluster) fillers(w *worker) []Filler {
	var list []Filler
	for _, ref := range w.refs() {
		if step := c.step(ref); step.Fills {
			list = append(list, Filler{Image: step.Image, Percent: w.running[ref].percent})
		}
	}
	return list
}

// measuredOver is the time that the figures of a worker speak of.
const measuredOver = 500 * time.Millisecond

// sample is a latency at a time.
type sample struct {
	at      time.Duration
	latency float64
}

// measure notes the latencies of the serving tasks on a worker.
func (c *Cluster) measure(now time.Duration, w *worker) {
	if c.latency == nil {
		return
	}
	fillers := c.fillers(w)
	for ref, a := range w.running {
		if step := c.step(ref); step.TargetMS > 0 {
			a.samples = append(a.samples, sample{now, c.latency(step, fillers)})
			for a.samples[0].at < now-measuredOver {
				a.samples = a.samples[1:]
			}
		}
	}
}

// load returns the figure that a worker reports of a task: the mean latency of
// the last half second, or the processors in use.
func (c *Cluster) load(w *worker, ref job.TaskRef) float64 {
	step := c.step(ref)
	samples := w.running[ref].samples
	if step.TargetMS == 0 || len(samples) == 0 {
		return float64(step.Size.MilliCPU)
	}
	sum := 0.0
	for _, s := range samples {
		sum += s.latency
	}
	return sum / float64(len(samples))
}

// truth is what really happens to the tasks of a job.
type truth struct {
	spec      job.Spec
	length    func(job.TaskRef) time.Duration
	fails     func(job.TaskRef, platform.Attempt) bool
	maxFails  int
	cancelled time.Duration
	done      map[job.TaskRef]bool
	// noted are tasks whose end as done was acknowledged.
	noted    map[job.TaskRef]bool
	failures map[job.TaskRef]int
	started  bool
}

// worker is one machine.
type worker struct {
	// lost is set once the machine is gone for good.
	lost bool
	// upkeepEnds is when the upkeep of the machine is over, zero if there is none;
	// machineToken is the highest token of orders for the machine.
	upkeepEnds   time.Duration
	machineToken platform.Epoch
	info         fleet.Worker
	born         time.Duration
	run          int64
	up           bool
	cut          bool
	token        platform.Epoch
	lease        platform.WorkerTime
	running      map[job.TaskRef]*attempt
	ended        []fleet.Ended
	next         uint64
	// barred is the highest attempt of a task that was stopped or has ended.
	barred map[job.TaskRef]platform.Attempt
	// mute is how many orders are carried out without an answer.
	mute int
	// speed divides the length of tasks.
	speed float64
	// failing workers fail all that they run, stalled ones let it stand still.
	failing, stalled bool
	starts           int
}

// attempt is a running task.
type attempt struct {
	number     platform.Attempt
	begun      time.Duration
	left       time.Duration
	stopping   time.Duration
	checkpoint string
	percent    int
	samples    []sample
	// complete is set once all members of the attempt's gang were there.
	complete bool
}

// stopGrace is how long a stopped task runs on.
const stopGrace = 300 * time.Millisecond

// checkpointEvery is the work between two checkpoints.
const checkpointEvery = 500 * time.Millisecond

// New returns a cluster without workers.
func New() *Cluster {
	return &Cluster{workers: map[platform.WorkerID]*worker{}, jobs: map[job.ID]*truth{}}
}

// Add starts a worker at now.
func (c *Cluster) Add(now time.Duration, info fleet.Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &worker{info: info, speed: 1}
	c.workers[info.ID] = w
	w.boot(now)
}

func (w *worker) boot(now time.Duration) {
	w.born, w.up, w.cut = now, true, false
	w.run++
	w.info.Started = w.run
	w.token, w.lease = 0, 0
	w.running = map[job.TaskRef]*attempt{}
	w.barred = map[job.TaskRef]platform.Attempt{}
	w.ended, w.next = nil, 0
}

// Entry returns what a worker tells of itself.
func (c *Cluster) Entry(id platform.WorkerID) fleet.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[id].info
}

// Entries returns what all workers that are up tell of themselves, by name.
func (c *Cluster) Entries() []fleet.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []fleet.Worker
	for _, w := range c.workers {
		if w.up {
			list = append(list, w.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Job tells the truth about a job: how long a task takes, and whether an attempt
// fails; either may be nil for a second and never.
func (c *Cluster) Job(id job.ID, s *job.Submission, length func(job.TaskRef) time.Duration, fails func(job.TaskRef, platform.Attempt) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if length == nil {
		length = func(job.TaskRef) time.Duration { return time.Second }
	}
	if fails == nil {
		fails = func(job.TaskRef, platform.Attempt) bool { return false }
	}
	c.jobs[id] = &truth{
		spec: s.Spec, length: length, fails: fails, maxFails: s.MaxFailures,
		done: map[job.TaskRef]bool{}, noted: map[job.TaskRef]bool{}, failures: map[job.TaskRef]int{},
	}
}

// Faults of a worker.

// Crash ends a worker; everything that it ran is gone.
func (c *Cluster) Crash(id platform.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	w.up = false
	w.running = map[job.TaskRef]*attempt{}
}

// Boot starts a crashed worker again. One that is up goes on.
func (c *Cluster) Boot(now time.Duration, id platform.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[id]; !w.up && !w.lost && w.upkeepEnds == 0 {
		w.boot(now)
	}
}

// Cut parts a worker from everybody, or joins it again.
func (c *Cluster) Cut(id platform.WorkerID, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].cut = cut
}

// Mute lets a worker carry out the next n orders without an answer.
func (c *Cluster) Mute(id platform.WorkerID, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].mute = n
}

// Sicken lets a worker fail all that it runs, or let it stand still.
func (c *Cluster) Sicken(id platform.WorkerID, failing, stalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].failing, c.workers[id].stalled = failing, stalled
}

// StartsOn returns how many tasks were started on a worker.
func (c *Cluster) StartsOn(id platform.WorkerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[id].starts
}

// Drain lets a worker say that it leaves, or that it does not.
func (c *Cluster) Drain(id platform.WorkerID, draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].info.Draining = draining
}

// Leave lets a worker say that it leaves, after the given time at the earliest.
func (c *Cluster) Leave(id platform.WorkerID, remaining time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	w.info.Draining, w.info.Remaining = true, remaining
}

// Violations returns the promises that were broken.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Starts returns how many tasks were started.
func (c *Cluster) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.started)
}

// NextStart returns how long after a time the next task was started, or -1.
func (c *Cluster) NextStart(after time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, _ := slices.BinarySearch(c.started, after)
	if i == len(c.started) {
		return -1
	}
	return c.started[i] - after
}

// Running returns how many attempts run, of one job or of all.
func (c *Cluster) Running(id job.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, w := range c.workers {
		for ref := range w.running {
			if id == "" || ref.Job == id {
				n++
			}
		}
	}
	return n
}

func (c *Cluster) violate(now time.Duration, rule string, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s at %v: %s", rule, now, fmt.Sprintf(format, args...)))
}

// clock returns the worker's own clock.
func (w *worker) clock(now time.Duration) platform.WorkerTime {
	return platform.WorkerTime(now - w.born)
}
