package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	// runLength is the virtual duration of a run.
	runLength = time.Hour
	// tick is the simulation step.
	tick = time.Second
	// minDeclaredRatio and maxDeclaredRatio bound the ratio of declared to actual sizes.
	minDeclaredRatio, maxDeclaredRatio = 0.3, 4.0
	// burstPeriod is the mean time between bursts, burstShare the fraction of
	// the offered work that arrives in bursts.
	burstPeriod = 10 * time.Minute
	burstShare  = 0.3
	// meanJobTasks is the mean number of tasks of a job outside of bursts.
	meanJobTasks = 12
	// failurePeriod is the mean time between failures of single workers,
	// outageDuration the time until a failed worker is back.
	failurePeriod  = 12 * time.Minute
	outageDuration = 5 * time.Minute
	// rackLossAt is when a whole rack fails.
	rackLossAt = 40 * time.Minute
	// rackSize is the number of workers in a rack.
	rackSize = 8
	// minReportLag and maxReportLag bound the delay of reports.
	minReportLag, maxReportLag = 5 * time.Second, 30 * time.Second
)

// arrival is the submission of a job.
type arrival struct {
	at    time.Duration
	spec  int
	tasks int
	job   platform.JobID
}

// workerFailure is the failure of a worker.
type workerFailure struct {
	at     time.Duration
	worker int
}

// schedule holds the external inputs of a run. It depends only on mix and seed, so it is
// the same for all policies.
type schedule struct {
	arrivals []arrival
	failures []workerFailure
	// lags holds the report delay of each worker.
	lags []time.Duration
	// declaredBatch and declaredService are the declared sizes by template and service.
	declaredBatch   []platform.Resources
	declaredService []platform.Resources
	// phase is the phase of the load curve of each service, in radians.
	phase []float64
}

func newSchedule(m *Mix, seed uint64) *schedule {
	rng := rand.New(rand.NewPCG(seed, 0x5155))
	s := &schedule{}
	for range m.workers {
		s.lags = append(s.lags, minReportLag+time.Duration(rng.Int64N(int64(maxReportLag-minReportLag))))
	}
	for _, b := range m.batch {
		s.declaredBatch = append(s.declaredBatch, misdeclare(rng, b.size, m.capacity))
	}
	for _, svc := range m.services {
		s.declaredService = append(s.declaredService, misdeclare(rng, svc.size, m.capacity))
		s.phase = append(s.phase, rng.Float64()*2*math.Pi)
	}
	s.addArrivals(m, rng)
	s.addFailures(m, rng)
	return s
}

// misdeclare returns the size that an operator would declare: processors and memory
// each differ from the actual size by a random factor.
func misdeclare(rng *rand.Rand, size, limit platform.Resources) platform.Resources {
	factor := func() float64 {
		return minDeclaredRatio * math.Pow(maxDeclaredRatio/minDeclaredRatio, rng.Float64())
	}
	return platform.Resources{
		MilliCPU: min(int64(float64(size.MilliCPU)*factor()), limit.MilliCPU),
		MemoryMB: min(int64(float64(size.MemoryMB)*factor()), limit.MemoryMB),
		Slots:    1,
	}
}

// addArrivals draws single jobs and bursts for each template.
func (s *schedule) addArrivals(m *Mix, rng *rand.Rand) {
	capacity := float64(m.workers) * float64(m.capacity.MilliCPU)
	for i, b := range m.batch {
		perTask := float64(b.size.MilliCPU) * b.runTime.Seconds()
		tasks := capacity * m.batchLoad * b.cpuShare * runLength.Seconds() / perTask
		s.addPoissonArrivals(rng, i, runLength, int(tasks*(1-burstShare)), meanJobTasks)
		burstTasks := int(tasks * burstShare * burstPeriod.Seconds() / runLength.Seconds())
		s.addPoissonArrivals(rng, i, runLength, int(tasks*burstShare), max(burstTasks, 1))
	}
	sort.SliceStable(s.arrivals, func(i, j int) bool { return s.arrivals[i].at < s.arrivals[j].at })
	for i := range s.arrivals {
		s.arrivals[i].job = platform.JobID(fmt.Sprintf("job%d", i))
	}
}

// addPoissonArrivals adds jobs of about meanTasks tasks at random times until they hold
// the given number of tasks.
func (s *schedule) addPoissonArrivals(rng *rand.Rand, spec int, duration time.Duration, tasks, meanTasks int) {
	for tasks > 0 {
		n := min(1+rng.IntN(2*meanTasks), tasks)
		at := time.Duration(rng.Int64N(int64(duration)))
		s.arrivals = append(s.arrivals, arrival{at: at, spec: spec, tasks: n})
		tasks -= n
	}
}

func (s *schedule) addFailures(m *Mix, rng *rand.Rand) {
	at := time.Duration(rng.ExpFloat64() * float64(failurePeriod))
	for at < runLength {
		s.failures = append(s.failures, workerFailure{at, rng.IntN(m.workers)})
		at += time.Duration(rng.ExpFloat64() * float64(failurePeriod))
	}
	first := rng.IntN(m.workers/rackSize) * rackSize
	for i := range rackSize {
		s.failures = append(s.failures, workerFailure{rackLossAt, first + i})
	}
	sort.SliceStable(s.failures, func(i, j int) bool { return s.failures[i].at < s.failures[j].at })
}

// serviceLoad returns the load of a service as a fraction of its peak.
func (s *schedule) serviceLoad(service int, at time.Duration) float64 {
	const periodSeconds = 1500
	return 0.7 + 0.3*math.Sin(2*math.Pi*at.Seconds()/periodSeconds+s.phase[service])
}
