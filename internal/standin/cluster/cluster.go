// Package cluster simulates the platform's workers and machines for tests and
// trials. Time is passed in, so that a test can run at any speed. The cluster
// checks the orders that it gets and records a violation for each that breaks a
// rule, such as a task that runs twice, a start beyond a worker's room, or one
// before the steps that it depends on are done. It also records a violation for each
// serving task that fillers keep over its target for too long.
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

// Cluster is a set of simulated workers and the jobs that they may be ordered to
// run. It is safe for concurrent use.
type Cluster struct {
	mu      sync.Mutex
	workers map[platform.WorkerID]*worker
	jobs    map[job.ID]*jobModel
	waves   []*wave
	// violations are the broken rules, in the order of their detection.
	violations []string
	// startTimes are the times at which attempts were started, in order.
	startTimes []time.Duration
	// tailLatency returns the tail latency of a serving task in milliseconds, given
	// the fillers on its worker. Nil means that no latency is reported.
	tailLatency func(victim *job.Step, fillers []Filler) float64
	harm        harmCheck
	// runsLost counts the attempts that ran on workers when these crashed, crashesCaused
	// the crashes that tasks caused.
	runsLost, crashesCaused int
}

// Filler is a running task of a step with job.Step.Fills: it uses processor time
// that other tasks on the worker leave idle.
type Filler struct {
	Image string
	// Percent is the share of processor time to which the task is limited.
	Percent int
}

// SetInterference sets the function that returns the tail latency of a serving task in
// milliseconds, given the fillers on its worker.
func (c *Cluster) SetInterference(latency func(victim *job.Step, fillers []Filler) float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tailLatency = latency
}

// Fillers returns the fillers that run on a worker.
func (c *Cluster) Fillers(id platform.WorkerID) []Filler {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fillers(c.workers[id])
}

func (c *Cluster) fillers(w *worker) []Filler {
	var list []Filler
	for _, ref := range w.runningTasks() {
		if step := c.step(ref); step.Fills {
			list = append(list, Filler{Image: step.Image, Percent: w.running[ref].cpuPercent})
		}
	}
	return list
}

// latencyWindow is the time over which a worker averages reported latencies.
const latencyWindow = 500 * time.Millisecond

// sample is the latency of a task at a time, in milliseconds.
type sample struct {
	at      time.Duration
	latency float64
}

// sampleLatency records and checks the latencies of the serving tasks on a worker.
func (c *Cluster) sampleLatency(now time.Duration, w *worker) {
	if c.tailLatency == nil {
		return
	}
	var fillers []Filler
	for ref, a := range w.running {
		if step := c.step(ref); step.TargetMS > 0 {
			if fillers == nil {
				fillers = c.fillers(w)
			}
			latency := c.tailLatency(step, fillers) / w.speed
			c.checkHarm(now, w, ref, a, latency, fillers)
			a.samples = append(a.samples, sample{now, latency})
			for a.samples[0].at < now-latencyWindow {
				a.samples = a.samples[1:]
			}
		}
	}
}

// reportedLoad returns the load that a worker reports for a task: the mean latency
// in milliseconds over the last half second for a serving task, else the processors
// in use in thousandths.
func (c *Cluster) reportedLoad(w *worker, ref job.TaskRef) float64 {
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

// jobModel defines how the tasks of a job behave and holds what has happened to
// them.
type jobModel struct {
	spec        job.Spec
	duration    func(job.TaskRef) time.Duration
	fails       func(job.TaskRef, platform.Attempt) bool
	maxFailures int
	// acceptedAt is when the caller got the acknowledgement of the job, if accepted is set.
	accepted    bool
	shownFailed bool
	acceptedAt  time.Duration
	cancelledAt time.Duration
	// ranOn is the longest time for which a task has run on after cancelledAt.
	ranOn time.Duration
	// lastStart is when each task was last started.
	lastStart map[job.TaskRef]time.Duration
	done      map[job.TaskRef]bool
	// acknowledged are the tasks whose successful end the scheduler has acknowledged.
	acknowledged map[job.TaskRef]bool
	failures     map[job.TaskRef]int
	// failedAttempts are the attempts that failed. The members of a gang fail together, so
	// theirs are those of the first one.
	failedAttempts map[job.TaskRef]map[platform.Attempt]bool
	started        bool
	// crashing is nil unless tasks of the job crash their workers.
	crashing *Crashing
	// crashes are the crashes of workers under each task.
	crashes map[job.TaskRef]*taskCrashes
	// runEndedAt is when the last run of each task ended, for any reason.
	runEndedAt map[job.TaskRef]time.Duration
	// lostAt is when each task last ran on a worker that has crashed since.
	lostAt map[job.TaskRef]time.Duration
	// endListed are the tasks whose successful end a worker has listed, and endLost those
	// whose worker crashed before it had.
	endListed, endLost map[job.TaskRef]bool
}

// worker is a simulated worker and the machine that it runs on.
type worker struct {
	// lost is set once the machine is lost permanently.
	lost bool
	// upkeepEnds is when the current upkeep of the machine ends, zero if there is
	// none; machineToken is the highest fencing token of orders for the machine.
	upkeepEnds   time.Duration
	machineToken platform.Epoch
	info         fleet.Worker
	// former are the earlier capacities of the current run, oldest first.
	former   []formerCapacity
	bootedAt time.Duration
	// bootAt is when the worker boots again after a crash that an attempt caused, and
	// crashedAt when that crash was, or zero.
	bootAt, crashedAt time.Duration
	bootCount         int64
	up                bool
	partitioned       bool
	fencingToken      platform.Epoch
	leaseEnd          platform.WorkerTime
	running           map[job.TaskRef]*attempt
	ended             []end
	// lapsedAt is when the worker's lease last lapsed, or zero.
	lapsedAt      time.Duration
	lastEndNumber uint64
	// fencedAttempts is the highest attempt of each task that was stopped or has
	// ended; it and earlier ones are refused.
	fencedAttempts map[job.TaskRef]platform.Attempt
	// lostReplies is the number of orders still to be executed whose reply is lost.
	lostReplies int
	// speed is the work done per unit of time. Latencies are divided by it.
	speed float64
	// clockRate is the rate of the worker's clock, also over crashes.
	clockRate float64
	// failing makes every attempt fail at its end; stalled stops all progress.
	failing, stalled bool
	// refusal is the verdict on every start order, or zero; refusedStarts counts them.
	refusal       fleet.Verdict
	refusedStarts int
	startCount    int
	// throttleRefusal is the verdict on every throttle order, or zero.
	throttleRefusal fleet.Verdict
	// mute is set while no order but renewals reaches the worker, silent while it carries out
	// orders without answering.
	mute, silent bool
	// evacuated is set while nothing may be started on the worker.
	evacuated bool
	// keepEntry is set if the worker's entry stays while it is down.
	keepEntry bool
}

// end is the end of an attempt at a time.
type end struct {
	fleet.Ended
	at time.Duration
}

// attempt is a running attempt of a task.
type attempt struct {
	// name is the name of the task, which determines the order in which a worker simulates
	// its tasks.
	name          string
	number        platform.Attempt
	startedAt     time.Duration
	remainingWork time.Duration
	// workBefore is the work that was done when the worker's speed last changed, or the
	// attempt began to work, at speedSince.
	workBefore time.Duration
	speedSince time.Duration
	// ranAt is when the attempt was last seen running.
	ranAt      time.Duration
	stopAt     time.Duration
	checkpoint string
	cpuPercent int
	samples    []sample
	harmed     harmSpan
	// crashAt is when the attempt crashes its worker, or zero.
	crashAt time.Duration
	// gangStarted is set once all members of the attempt's gang were running.
	gangStarted bool
}

// stopGrace is how long an attempt runs on after an order to stop it.
const stopGrace = 300 * time.Millisecond

// checkpointInterval is the work between two checkpoints.
const checkpointInterval = 500 * time.Millisecond

// New returns a cluster without workers.
func New() *Cluster {
	return &Cluster{
		workers: map[platform.WorkerID]*worker{}, jobs: map[job.ID]*jobModel{}, harm: harmCheck{bound: defaultHarmBound},
	}
}

// AddWorker starts a worker at now.
func (c *Cluster) AddWorker(now time.Duration, info fleet.Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &worker{info: info, speed: 1, clockRate: 1}
	c.workers[info.ID] = w
	w.boot(now)
}

func (w *worker) boot(now time.Duration) {
	w.bootedAt, w.up, w.partitioned = now, true, false
	w.bootCount++
	w.info.Started = w.bootCount
	w.fencingToken, w.leaseEnd, w.lapsedAt = 0, 0, 0
	w.running = map[job.TaskRef]*attempt{}
	w.fencedAttempts = map[job.TaskRef]platform.Attempt{}
	w.ended, w.lastEndNumber = nil, 0
	w.former = nil
}

// Entry returns a worker's registration.
func (c *Cluster) Entry(id platform.WorkerID) fleet.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[id].info
}

// Restarting reports whether a worker is down and may come back.
func (c *Cluster) Restarting(id platform.WorkerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	return w != nil && !w.up && !w.lost
}

// Entries returns the registrations of all workers that are up or keep them, sorted by
// identifier.
func (c *Cluster) Entries() []fleet.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []fleet.Worker
	for _, w := range c.workers {
		if w.up || w.keepEntry {
			list = append(list, w.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Job adds a job that workers may be ordered to run. duration returns how long a task
// takes at speed 1; nil means one second. fails reports whether an attempt fails;
// nil means never.
func (c *Cluster) Job(id job.ID, s *job.Submission, duration func(job.TaskRef) time.Duration, fails func(job.TaskRef, platform.Attempt) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if duration == nil {
		duration = func(job.TaskRef) time.Duration { return time.Second }
	}
	if fails == nil {
		fails = func(job.TaskRef, platform.Attempt) bool { return false }
	}
	c.jobs[id] = &jobModel{
		spec: s.Spec, duration: duration, fails: fails, maxFailures: s.MaxFailures,
		done: map[job.TaskRef]bool{}, lastStart: map[job.TaskRef]time.Duration{}, acknowledged: map[job.TaskRef]bool{}, failures: map[job.TaskRef]int{},
		failedAttempts: map[job.TaskRef]map[platform.Attempt]bool{}, crashes: map[job.TaskRef]*taskCrashes{},
		runEndedAt: map[job.TaskRef]time.Duration{},
		lostAt:     map[job.TaskRef]time.Duration{}, endListed: map[job.TaskRef]bool{}, endLost: map[job.TaskRef]bool{},
	}
}

// Crash takes a worker down. All its running attempts are lost.
func (c *Cluster) Crash(id platform.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crash(c.workers[id], nil)
}

// Boot restarts a crashed worker. It does nothing if the worker is up, is lost, or
// its machine is under upkeep.
func (c *Cluster) Boot(now time.Duration, id platform.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[id]; !w.up && !w.lost && w.upkeepEnds == 0 {
		w.boot(now)
	}
}

// StepBack sets a worker's time of day back: its next run names an earlier start than the
// present one.
func (c *Cluster) StepBack(id platform.WorkerID) {
	const runs = 10
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].bootCount -= runs
}

// SetCapacity changes the capacity of a worker, which keeps it over crashes. Its entry
// shows the change at once.
func (c *Cluster) SetCapacity(now time.Duration, id platform.WorkerID, capacity platform.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	w.former = append(w.former, formerCapacity{capacity: w.info.Capacity, until: now})
	w.info.Capacity = capacity
}

// SetSlowness sets the factor by which a worker lengthens the work of tasks and the latency
// of serving tasks, also over crashes.
func (c *Cluster) SetSlowness(now time.Duration, id platform.WorkerID, factor float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	c.settle(now, w)
	for ref, a := range w.running {
		if !c.step(ref).Gang || a.gangStarted {
			a.workBefore, a.speedSince = w.workDone(now, a), now
		}
	}
	w.speed = 1 / factor
}

// SetClockRate sets the rate of a worker's clock from its boot on, also over crashes. It must
// be called before the first order.
func (c *Cluster) SetClockRate(id platform.WorkerID, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].clockRate = rate
}

// SetPartitioned sets whether a worker is partitioned: orders do not reach it.
func (c *Cluster) SetPartitioned(id platform.WorkerID, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].partitioned = partitioned
}

// LoseReplies makes a worker execute its next n orders without a reply.
func (c *Cluster) LoseReplies(id platform.WorkerID, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].lostReplies = n
}

// SetUnhealthy sets whether a worker fails every attempt at its end, and whether its
// attempts make no progress.
func (c *Cluster) SetUnhealthy(id platform.WorkerID, failing, stalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].failing, c.workers[id].stalled = failing, stalled
}

// SetMute sets whether a worker answers renewals only: other orders do not reach it.
func (c *Cluster) SetMute(id platform.WorkerID, mute bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].mute = mute
}

// SetSilent sets whether a worker carries out orders without answering.
func (c *Cluster) SetSilent(id platform.WorkerID, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].silent = silent
}

// SetEvacuated sets whether nothing may be started on a worker: there is no room on it then.
func (c *Cluster) SetEvacuated(id platform.WorkerID, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].evacuated = evacuated
}

// KeepEntry sets whether a worker's entry stays while it is down.
func (c *Cluster) KeepEntry(id platform.WorkerID, keep bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].keepEntry = keep
}

// RefuseStarts makes a worker refuse all start orders with a verdict, or none if it is zero.
func (c *Cluster) RefuseStarts(id platform.WorkerID, v fleet.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].refusal = v
}

// RefuseThrottles makes a worker refuse all throttle orders with a verdict, or none if it is
// zero.
func (c *Cluster) RefuseThrottles(id platform.WorkerID, v fleet.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].throttleRefusal = v
}

// RefusedStartsOn returns the number of start orders that RefuseStarts has refused.
func (c *Cluster) RefusedStartsOn(id platform.WorkerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[id].refusedStarts
}

// StartsOn returns the number of attempts started on a worker.
func (c *Cluster) StartsOn(id platform.WorkerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[id].startCount
}

// SetDraining sets whether a worker reports that it is draining.
func (c *Cluster) SetDraining(id platform.WorkerID, draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].info.Draining = draining
}

// DrainWithNotice makes a worker report that it is draining and has at least the given
// time left.
func (c *Cluster) DrainWithNotice(id platform.WorkerID, remaining time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	w.info.Draining, w.info.Remaining = true, remaining
}

// Violations returns the rules broken so far, in order. Each starts with the name of
// the rule.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Starts returns the number of attempts started.
func (c *Cluster) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.startTimes)
}

// NextStart returns the time from after to the next start of an attempt, or -1 if
// there was none.
func (c *Cluster) NextStart(after time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, _ := slices.BinarySearch(c.startTimes, after)
	if i == len(c.startTimes) {
		return -1
	}
	return c.startTimes[i] - after
}

// Running returns the number of running attempts of a job, or of all jobs if id is
// empty.
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

func (c *Cluster) recordViolation(now time.Duration, rule string, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s at %v: %s", rule, now, fmt.Sprintf(format, args...)))
}

// clock returns the time on the worker's own clock, which starts at its boot.
func (w *worker) clock(now time.Duration) platform.WorkerTime {
	return platform.WorkerTime(float64(now-w.bootedAt) * w.clockRate)
}

// timeAt returns when the worker's own clock shows a reading.
func (w *worker) timeAt(reading platform.WorkerTime) time.Duration {
	return w.bootedAt + time.Duration(float64(reading)/w.clockRate)
}
