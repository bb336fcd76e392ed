package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/scheduler/length"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// Admission is the decision on whether to accept a job.
type Admission struct {
	Admitted bool
	// RetryAfter is how long the caller of a refused job should wait before it retries.
	RetryAfter time.Duration
	// Wait is the expected time that the job's tasks would wait for workers or start orders,
	// Slack the time that its latency objective or maxStartDelay leaves for that.
	Wait, Slack time.Duration
	Reason      string
}

// Reasons for refusing a job.
const (
	reasonLateStart = "would wait beyond its latency objective"
	reasonRoom      = "no room for work without end"
	reasonStarts    = "too few start orders can be sent"
	reasonBacklog   = "too much accepted work is overdue"
	reasonEvacuated = "all workers of the service are evacuated"
	reasonDueWork   = "due occurrences of schedules take too much memory"
)

const (
	// startRateWindow is the time constant over which starts are counted.
	startRateWindow = 2 * time.Second
	// admissionWarmUp is how long a new owner measures before it refuses a job for want of
	// workers, unless an earlier owner refused such jobs.
	admissionWarmUp = 3 * time.Second
	// refusalMemory is how long after a refusal a class of tasks counts as refused.
	refusalMemory = 5 * time.Second
	// maxRefusedClasses and maxRefusedClassBytes limit the classes that count as refused, since
	// callers name the images.
	maxRefusedClasses    = 64
	maxRefusedClassBytes = 256
	// batchPeakDecay is the time constant with which the peak of batch work decays.
	// batchPeakFactor is the multiple of that peak for which capacity is kept free.
	batchPeakDecay  = 15 * time.Second
	batchPeakFactor = 1.1
	// maxBacklog is how long it may take to start the accepted tasks that have missed their
	// objective, so that they run soon after the load is over.
	maxBacklog = 6 * time.Second
	// maxBacklogOfJob limits what one job counts, so that a wide one does not keep all others
	// out.
	maxBacklogOfJob = 50
	// waitTolerance is the multiple of its slack that a job may be expected to wait:
	// both are rough estimates, and a refused job earns no payoff.
	waitTolerance = 1.5
	// minRetryAfter and maxRetryAfter bound the time after which a caller should retry.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
)

// capacityClass identifies tasks that compete for the same CPU: fillers of one image,
// since images suit different workers, or all tasks that are not fillers.
type capacityClass string

const (
	fillerClassPrefix = "fill/"
	plainClass        = capacityClass("plain")
)

func capacityClassOf(step *job.Step) capacityClass {
	if step.Fills {
		return capacityClass(fillerClassPrefix + step.Image)
	}
	return plainClass
}

// fills reports whether the tasks of the class are fillers.
func (c capacityClass) fills() bool { return c != plainClass }

// startRate counts starts with exponential decay.
type startRate struct {
	count float64
	at    Instant
}

func (r *startRate) add(now Instant) {
	r.decay(now)
	r.count++
}

func (r *startRate) decay(now Instant) {
	r.count *= math.Exp(-(now - r.at).Seconds() / startRateWindow.Seconds())
	r.at = now
}

// perSecond returns the starts per second.
func (r *startRate) perSecond(now Instant) float64 {
	r.decay(now)
	return r.count / startRateWindow.Seconds()
}

// countStart counts a task that was assigned to a worker.
func (s *Shard) countStart(now Instant, step *job.Step) {
	class := capacityClassOf(step)
	rate := s.startRates[class]
	if rate == nil {
		rate = &startRate{at: now}
		s.startRates[class] = rate
	}
	rate.add(now)
}

// starts returns the starts of a class per second.
func (s *Shard) starts(now Instant, class capacityClass) float64 {
	if rate := s.startRates[class]; rate != nil {
		return rate.perSecond(now)
	}
	return 0
}

// countWaiting counts the waiting tasks of a class that can still meet their objective.
func (s *Shard) countWaiting(class capacityClass) int {
	n := 0
	for _, r := range s.waiting.steps {
		if len(r.startable) > 0 && capacityClassOf(r.spec) == class && timelinessOf(r, s.nowMS) == inTime {
			n += len(r.startable)
		}
	}
	return n
}

// Admit decides on a job that is not stored yet. A job that cannot meet its objective
// is refused immediately, so that the jobs before it meet theirs, and so is one that comes
// while too many accepted jobs have missed theirs; long-running work is refused when batch
// work needs the remaining capacity, and any job when too few start orders can be sent for
// those before it.
func (s *Shard) Admit(now Instant, sub *job.Submission) Admission {
	if sub.Spec.Occurrences > 0 {
		return s.admitSchedule(sub)
	}
	if a, refused := s.admitEvacuated(sub); refused {
		return a
	}
	if a := s.admitStarts(now); !a.Admitted {
		return a
	}
	if sub.Spec.LongRunning() {
		return s.admitLongRunning(now, sub)
	}
	a := Admission{Admitted: true, Slack: s.slack(sub)}
	for i := range sub.Spec.Steps {
		a.Wait += s.expectedWait(now, &sub.Spec.Steps[i])
	}
	tolerated := time.Duration(waitTolerance * float64(a.Slack))
	if a.Wait > tolerated {
		a.Admitted, a.Reason = false, reasonLateStart
	} else if backlog := s.backlog(now, sub); backlog > maxBacklog {
		a = Admission{Reason: reasonBacklog, Wait: backlog, Slack: maxBacklog}
		tolerated = maxBacklog
	}
	if !a.Admitted {
		class, own := s.busiest(now, sub)
		a.RetryAfter = s.returns.delay(now, class, a.Wait-tolerated, own)
		s.noteRefusal(now, sub)
	}
	return a
}

// busiest returns the class whose start rate a job's tasks keep busy for the longest, and for how
// long.
func (s *Shard) busiest(now Instant, sub *job.Submission) (busiest capacityClass, own time.Duration) {
	tasks := map[capacityClass]int{}
	for i := range sub.Spec.Steps {
		class := capacityClassOf(&sub.Spec.Steps[i])
		tasks[class] += sub.Spec.Steps[i].Tasks
		rate := max(s.starts(now, class), s.inheritedRates[class], 1/startRateWindow.Seconds())
		if lasts := time.Duration(float64(tasks[class]) / rate * float64(time.Second)); lasts > own {
			busiest, own = class, lasts
		}
	}
	return busiest, own
}

// backlog returns how long it takes to start the tasks of accepted jobs that wait for the same
// CPU as those of a job and have missed their objective. Jobs that can be in time go before
// them, but each of them has to run some time. It is zero while that is not known.
func (s *Shard) backlog(now Instant, sub *job.Submission) time.Duration {
	longest := time.Duration(0)
	for _, fills := range []bool{false, true} {
		if !slices.ContainsFunc(sub.Spec.Steps, func(step job.Step) bool { return step.Fills == fills }) {
			continue
		}
		if rate, known := s.startsOf(now, fills); known {
			tasks := s.countBacklog(fills, sub.Priority)
			longest = max(longest, time.Duration(float64(tasks)/rate*float64(time.Second)))
		}
	}
	return longest
}

// countBacklog counts the fillers, or the other tasks, that wait although their occurrence has
// missed its objective, and those of its later steps. Jobs that come after the given priority
// do not count, and of each job only the first such occurrence does.
func (s *Shard) countBacklog(fills bool, priority int) int {
	all := 0
	for _, j := range s.jobs {
		if j.ended() || j.sub.Priority > priority {
			continue
		}
		tasks := 0
		for _, o := range j.occurrences {
			waiting, later := 0, 0
			for _, r := range o.steps {
				switch {
				case r.spec.Fills != fills || r.spec.LongRunning:
				case r.blockedBy > 0:
					later += r.remaining
				case len(r.startable) > 0 && timelinessOf(r, s.nowMS) != inTime:
					waiting += len(r.startable)
				}
			}
			if waiting > 0 {
				tasks = waiting + later
				break
			}
		}
		all += min(tasks, maxBacklogOfJob)
	}
	return all
}

// startsOf returns the starts per second of all fillers, or of all other tasks. It returns
// false if they are not known: an owner that may not act makes no plans.
func (s *Shard) startsOf(now Instant, fills bool) (perSecond float64, known bool) {
	for class := range s.startRates {
		if class.fills() == fills {
			perSecond += s.starts(now, class)
		}
	}
	known = now-s.startOrders.plannedAt <= maxPlanGap
	if s.warmingUp(now) {
		inherited := 0.0
		for class, rate := range s.inheritedRates {
			if class.fills() == fills {
				inherited += rate
			}
		}
		perSecond, known = max(perSecond, inherited), inherited > 0
	}
	return max(perSecond, 1/startRateWindow.Seconds()), known
}

// warmingUp reports whether this owner has not measured for long enough to refuse jobs.
func (s *Shard) warmingUp(now Instant) bool { return now < s.takenOverAt+admissionWarmUp }

// noteRefusal records that jobs with such steps are refused. The next owner has to know, as
// it would otherwise accept them until it has measured.
func (s *Shard) noteRefusal(now Instant, sub *job.Submission) {
	for i := range sub.Spec.Steps {
		class := capacityClassOf(&sub.Spec.Steps[i])
		if _, known := s.refusedUntil[class]; !known && (len(s.refusedUntil) >= maxRefusedClasses || len(class) > maxRefusedClassBytes) {
			continue
		}
		if !s.isRefused(now, class) {
			s.journal.markModels()
		}
		s.refusedUntil[class] = now + refusalMemory
	}
}

func (s *Shard) isRefused(now Instant, class capacityClass) bool { return now < s.refusedUntil[class] }

// refusedRates returns the starts per second of the classes of tasks whose jobs are refused.
// An owner that has not measured yet hands over what it was given.
func (s *Shard) refusedRates(now Instant) map[capacityClass]float64 {
	rates := map[capacityClass]float64{}
	if s.warmingUp(now) {
		maps.Copy(rates, s.inheritedRates)
	}
	for class := range s.refusedUntil {
		if !s.isRefused(now, class) {
			delete(s.refusedUntil, class)
			continue
		}
		rates[class] = max(s.starts(now, class), rates[class])
	}
	return rates
}

// slack returns the time that a job's latency objective leaves beside its critical
// path.
func (s *Shard) slack(sub *job.Submission) time.Duration {
	var criticalPath time.Duration
	steps := sub.Spec.Steps
	ends := make([]time.Duration, len(steps))
	for i := range steps {
		for _, d := range steps[i].DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		kind := length.TaskKind(string(sub.Queue) + "/" + steps[i].Image)
		ends[i] += s.lengths.Predict(kind, steps[i].Estimate())
		criticalPath = max(criticalPath, ends[i])
	}
	return time.Duration((sub.Stretch-1)*float64(criticalPath)) + time.Duration(sub.TargetMS)*time.Millisecond
}

// expectedWait returns how long the tasks of a step would wait for workers, or zero while that
// is not known.
func (s *Shard) expectedWait(now Instant, step *job.Step) time.Duration {
	class := capacityClassOf(step)
	rate := s.starts(now, class)
	if s.warmingUp(now) {
		inherited, refused := s.inheritedRates[class]
		if !refused {
			return 0
		}
		rate = max(rate, inherited)
	}
	waiting := s.countWaiting(class)
	if waiting == 0 {
		return 0
	}
	// Below one start per window the wait cannot be estimated, but it is long.
	rate = max(rate, 1/startRateWindow.Seconds())
	return time.Duration(float64(waiting) / rate * float64(time.Second))
}

// admitLongRunning accepts long-running work as long as it leaves room for the recent
// peak of batch work. A new owner does so too: room is seen at once, only waits take time to
// measure.
func (s *Shard) admitLongRunning(now Instant, sub *job.Submission) Admission {
	var need int64
	for i := range sub.Spec.Steps {
		step := &sub.Spec.Steps[i]
		need += int64(step.Tasks) * step.Reserved().MilliCPU
	}
	free := s.freeMilliCPUFor(sub) - s.waitingLongRunningMilliCPU()
	batchReserve := int64(max(0, batchPeakFactor*s.batchPeak-float64(s.batchReserved)))
	if free-need >= batchReserve {
		return Admission{Admitted: true}
	}
	fits := room{need: need, free: free, reserved: s.batchReserved, wanted: s.batchWanted(), peak: s.batchPeak}.expectedIn(s.batchEnds(now))
	return Admission{Reason: reasonRoom, RetryAfter: min(maxRetryAfter, max(minRetryAfter, fits)), Wait: fits}
}

// freeMilliCPUFor returns the free CPU that tasks of a job's size can use, in
// thousandths of a core.
func (s *Shard) freeMilliCPUFor(sub *job.Submission) int64 {
	size := sub.Spec.Steps[0].Reserved()
	if size.MilliCPU == 0 {
		return math.MaxInt32
	}
	var total int64
	for _, w := range s.workers {
		if w.schedulable() && w.info.Service == s.serviceOf(sub.Queue, sub.Service) {
			free := w.free()
			total += max(0, free.MilliCPU/size.MilliCPU) * size.MilliCPU
		}
	}
	return total
}

// serviceOf returns the service of a queue, or fallback, the one when the job was
// submitted, if the queue is no longer declared.
func (s *Shard) serviceOf(q queue.Name, fallback platform.ServiceName) platform.ServiceName {
	if declared, ok := s.config.Queues[q]; ok {
		return declared.Service
	}
	return fallback
}

// waitingLongRunningMilliCPU returns the CPU that waiting long-running tasks reserve,
// in thousandths of a core.
func (s *Shard) waitingLongRunningMilliCPU() int64 {
	var total int64
	for _, r := range s.waiting.steps {
		if r.spec.LongRunning {
			total += int64(len(r.startable)) * r.spec.Reserved().MilliCPU
		}
	}
	return total
}

// batchWanted returns the CPU that batch work reserves or waits for, in thousandths of a core.
func (s *Shard) batchWanted() int64 {
	wanted := s.batchReserved
	for _, r := range s.waiting.steps {
		if !r.spec.LongRunning {
			wanted += int64(len(r.startable)) * r.spec.Reserved().MilliCPU
		}
	}
	return wanted
}

// updateBatchPeak updates the decaying peak of the CPU that batch work needs.
func (s *Shard) updateBatchPeak(now Instant) {
	needed := float64(s.batchWanted())
	s.batchPeak *= math.Exp(-(now - s.batchPeakAt).Seconds() / batchPeakDecay.Seconds())
	s.batchPeak, s.batchPeakAt = max(s.batchPeak, needed), now
}
