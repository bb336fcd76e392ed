package policy

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/place"
	"github.com/siskinvane/siskinvane/internal/standin/interference"
)

const (
	// sizeJitter is the relative spread of the actual sizes of a template's tasks.
	sizeJitter = 0.15
	// latencyNoise is the relative noise of latency measurements.
	latencyNoise = 0.08
	// maxReplicaLoad bounds the load of one replica, relative to the load that its
	// size is meant for, while other replicas are missing.
	maxReplicaLoad = 2.0
	// reportPeriod is the interval between the reports of a worker.
	reportPeriod = 5 * time.Second
)

// simTask is a task with its actual size and work, which the decider does not see.
type simTask struct {
	id      platform.TaskID
	attempt platform.Attempt
	item    place.Item
	// service is the index of the service, or -1 for batch.
	service int
	class   platform.ClassName
	size    platform.Resources
	// remainingWork is the work left and attemptWork the work done by the current
	// attempt, both in seconds of run time without neighbours.
	remainingWork, attemptWork float64
	// totalWork is the task's whole work in seconds of run time without neighbours.
	totalWork  float64
	worker     *machine
	cpuPercent int
	assignedAt time.Duration
	// readyAt is when the current attempt starts working.
	readyAt time.Duration
}

// machine is a worker with its actual state, which the decider does not see.
type machine struct {
	info  place.WorkerInfo
	tasks []*simTask
	// load is the demand for processor time as a fraction of the capacity.
	load      float64
	downUntil time.Duration
	// registered is set while the worker is registered with the decider.
	registered bool
	reportLag  time.Duration
	// pendingReports holds the reports that have not reached the decider yet.
	pendingReports []pendingReport
	boot           int
}

type pendingReport struct {
	arrivesAt time.Duration
	report    platform.Report
}

// simulation is the actual state of the simulated workers and tasks, which the decider
// sees only through reports.
type simulation struct {
	mix      *Mix
	schedule *schedule
	table    *interference.Table
	seed     uint64
	machines []*machine
	byID     map[platform.WorkerID]*machine
	tasks    map[platform.TaskID]*simTask
	now      time.Duration
	// replicas counts the running replicas of each service.
	replicas []int
}

func newSimulation(m *Mix, seed uint64) *simulation {
	sim := &simulation{
		mix: m, schedule: newSchedule(m, seed), seed: seed,
		table:    interference.NewTable(seed, m.classes()),
		byID:     map[platform.WorkerID]*machine{},
		tasks:    map[platform.TaskID]*simTask{},
		replicas: make([]int, len(m.services)),
	}
	for i := range m.workers {
		rack := i / rackSize
		worker := &machine{reportLag: sim.schedule.lags[i], info: place.WorkerInfo{
			ID:       platform.WorkerID(fmt.Sprintf("w%03d", i)),
			Rack:     platform.RackID(fmt.Sprintf("r%02d", rack)),
			Domain:   m.domains[rack%len(m.domains)],
			Capacity: m.capacity,
		}}
		sim.machines = append(sim.machines, worker)
		sim.byID[worker.info.ID] = worker
	}
	return sim
}

// noise returns a standard normal number that depends only on the arguments and the
// seed, so that all policies get the same noise.
func (sim *simulation) noise(key string, n uint64) float64 {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", key, sim.seed, n))
	u := (float64(h>>32) + 1) / (1 << 32)
	v := float64(h&0xffffffff) / (1 << 32)
	return math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*v)
}

// jitterSize returns the actual size of a task: size with random deviations of at most
// two standard deviations.
func (sim *simulation) jitterSize(id platform.TaskID, size platform.Resources) platform.Resources {
	scale := func(n uint64) float64 {
		return math.Exp(sizeJitter * max(min(sim.noise(string(id), n), 2), -2))
	}
	size.MilliCPU = min(int64(float64(size.MilliCPU)*scale(1)), sim.mix.capacity.MilliCPU)
	size.MemoryMB = min(int64(float64(size.MemoryMB)*scale(2)), sim.mix.capacity.MemoryMB)
	return size
}

// newServiceTask returns the task of a service replica.
func (sim *simulation) newServiceTask(service, replica int) *simTask {
	s := &sim.mix.services[service]
	job := platform.JobID(fmt.Sprintf("svc:%s#%d", s.name, replica))
	id := platform.TaskID(job + "/0")
	return &simTask{
		id: id, service: service, class: s.class, size: sim.jitterSize(id, s.size),
		item: place.Item{Request: place.Request{
			Task: id, Team: "services", Class: s.class, Service: s.name,
			Size: sim.schedule.declaredService[service], Urgent: true,
		}},
	}
}

// newBatchTask returns a task of a batch job.
func (sim *simulation) newBatchTask(a *arrival, index int) *simTask {
	b := &sim.mix.batch[a.spec]
	id := platform.TaskID(fmt.Sprintf("%s/%d", a.job, index))
	work := b.runTime.Seconds() * math.Exp(sizeJitter*sim.noise(string(id), 3))
	return &simTask{
		id: id, service: -1, class: b.class, size: sim.jitterSize(id, b.size),
		remainingWork: work, totalWork: work,
		item: place.Item{Since: sim.clock(), Request: place.Request{
			Task: id, Team: "batch", Class: b.class, Template: b.name, Size: sim.schedule.declaredBatch[a.spec],
		}},
	}
}

// startTime is the wall-clock time at the start of a run.
var startTime = time.Unix(1_700_000_000, 0)

// clock returns the virtual wall-clock time.
func (sim *simulation) clock() time.Time { return startTime.Add(sim.now) }

// cpuDemand returns the current processor demand of a task in milli-CPU.
func (sim *simulation) cpuDemand(t *simTask) float64 {
	if sim.now < t.readyAt {
		return 0
	}
	if t.service < 0 {
		return float64(t.size.MilliCPU) * float64(t.cpuPercent) / 100
	}
	spec := &sim.mix.services[t.service]
	perReplica := min(float64(spec.replicas)/float64(max(sim.replicas[t.service], 1)), maxReplicaLoad)
	return float64(t.size.MilliCPU) * sim.schedule.serviceLoad(t.service, sim.now) * perReplica
}

// refreshLoads recomputes the replica counts and the loads of the workers.
func (sim *simulation) refreshLoads() {
	clear(sim.replicas)
	for _, m := range sim.machines {
		for _, t := range m.tasks {
			if t.service >= 0 && sim.now >= t.readyAt {
				sim.replicas[t.service]++
			}
		}
	}
	for _, m := range sim.machines {
		var sum float64
		for _, t := range m.tasks {
			sum += sim.cpuDemand(t)
		}
		m.load = sum / float64(m.info.Capacity.MilliCPU)
	}
}

// slowdown returns the factor by which a task is slowed down on its worker. A throttled
// neighbour runs for a part of the time and interferes for that part only.
func (sim *simulation) slowdown(t *simTask) float64 {
	var neighbours, unthrottled []platform.ClassName
	throttledPercent := 0
	for _, n := range t.worker.tasks {
		if n == t || sim.now < n.readyAt {
			continue
		}
		neighbours = append(neighbours, n.class)
		if n.cpuPercent == 100 {
			unthrottled = append(unthrottled, n.class)
		} else {
			throttledPercent += n.cpuPercent
		}
	}
	slowdownByAll := sim.table.Slowdown(t.class, t.worker.load, neighbours)
	if len(neighbours) == len(unthrottled) {
		return slowdownByAll
	}
	activeShare := float64(throttledPercent) / 100 / float64(len(neighbours)-len(unthrottled))
	return activeShare*slowdownByAll + (1-activeShare)*sim.table.Slowdown(t.class, t.worker.load, unthrottled)
}

// latency returns the actual tail latency of a replica.
func (sim *simulation) latency(t *simTask) time.Duration {
	return time.Duration(float64(sim.mix.services[t.service].aloneLatency) * sim.slowdown(t))
}

// memoryInUse returns the memory in use on a machine, in MB.
func (m *machine) memoryInUse() int64 {
	var sum int64
	for _, t := range m.tasks {
		sum += t.size.MemoryMB
	}
	return sum
}

// detach removes a task from its worker.
func (t *simTask) detach() {
	m := t.worker
	for i, other := range m.tasks {
		if other == t {
			m.tasks = append(m.tasks[:i], m.tasks[i+1:]...)
			break
		}
	}
	t.worker = nil
}

// queueReport queues a report of a machine, which reaches the decider after the lag.
func (sim *simulation) queueReport(m *machine) {
	r := platform.Report{
		Worker: m.info.ID, Rack: m.info.Rack, Domain: m.info.Domain, Boot: fmt.Sprint(m.boot),
		Capacity: m.info.Capacity, MeasuredAt: platform.WorkerTime(sim.now),
	}
	for _, t := range m.tasks {
		if sim.now < t.readyAt {
			continue
		}
		taskReport := platform.TaskReport{
			TaskAttempt: platform.TaskAttempt{Task: t.id, Attempt: t.attempt}, Phase: platform.PhaseRunning,
			Usage: platform.Resources{MilliCPU: int64(sim.cpuDemand(t)), MemoryMB: t.size.MemoryMB, Slots: 1},
		}
		if t.service < 0 {
			taskReport.Done = (t.totalWork - t.remainingWork) / t.totalWork
		} else {
			noise := math.Exp(latencyNoise * sim.noise(string(t.id), uint64(sim.now)))
			taskReport.Latency = time.Duration(float64(sim.latency(t)) * noise)
			taskReport.Requests = 1
		}
		r.Tasks = append(r.Tasks, taskReport)
	}
	m.pendingReports = append(m.pendingReports, pendingReport{arrivesAt: sim.now + m.reportLag, report: r})
}
