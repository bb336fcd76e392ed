package worker

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// sample is one measurement of all running attempts.
type sample struct {
	at    time.Duration
	tasks map[platform.TaskAttempt]platform.TaskReport
}

// advanceToNow simulates all attempts up to the current time. It steps from event
// to event, so that an attempt that ends stops slowing down its neighbours from
// then on. The caller holds mu.
func (w *Worker) advanceToNow() {
	now := w.config.Clock()
	for w.simulatedUntil < now {
		next := min(now, w.lastSampleAt+samplePeriod)
		speeds := w.speeds()
		for id, a := range w.attempts {
			if a.phase == platform.PhaseRunning {
				next = min(next, a.nextEvent(w.simulatedUntil, speeds[id]))
			}
		}
		next = max(next, w.simulatedUntil)
		w.addWork(next, speeds)
		if w.endDueAttempts(next) == 0 && next == w.simulatedUntil && next < w.lastSampleAt+samplePeriod && next < now {
			// No attempt ended at the computed instant: step on, so that the loop
			// terminates.
			next++
		}
		w.simulatedUntil = next
		if next >= w.lastSampleAt+samplePeriod {
			w.takeSample(next)
		}
	}
	w.endDueAttempts(now)
}

// nextEvent returns when the attempt ends if its speed does not change before.
func (a *attempt) nextEvent(now time.Duration, speed float64) time.Duration {
	next := a.leaseExpiry
	if a.stopAt != 0 {
		next = min(next, a.stopAt)
	}
	if a.willFail {
		next = min(next, a.startedAt+failDelay)
	}
	if a.request.Kind == platform.KindBatch && speed > 0 {
		remaining := float64(max(0, a.demand.Work-a.workDone)) / speed
		next = min(next, now+time.Duration(remaining)+1)
	}
	return next
}

// addWork adds the work that running attempts do between simulatedUntil and then.
func (w *Worker) addWork(then time.Duration, speeds map[platform.TaskID]float64) {
	for id, a := range w.attempts {
		if a.phase == platform.PhaseRunning {
			a.workDone += time.Duration(float64(then-w.simulatedUntil) * speeds[id])
		}
	}
}

// endDueAttempts ends the attempts that are due at the given time and returns their
// number.
func (w *Worker) endDueAttempts(at time.Duration) int {
	n := 0
	for _, a := range w.attempts {
		if a.phase != platform.PhaseRunning {
			continue
		}
		switch {
		case a.leaseExpiry < at || (a.leaseExpiry == at && a.stopAt == 0 && a.workDone < a.demand.Work):
			w.endAttempt(a, platform.PhaseLapsed, min(a.leaseExpiry, at))
		case a.willFail && a.startedAt+failDelay <= at:
			a.reason = "cannot run here"
			w.endAttempt(a, platform.PhaseFailed, at)
		case a.request.Kind == platform.KindBatch && a.workDone >= a.demand.Work:
			w.endAttempt(a, platform.PhaseFinished, at)
		case a.stopAt != 0 && a.stopAt <= at:
			if a.checkpointOnStop {
				a.checkpoint = checkpointID(a)
			}
			w.endAttempt(a, platform.PhaseStopped, at)
		default:
			continue
		}
		n++
	}
	return n
}

// endAttempt ends a running attempt. The caller holds mu.
func (w *Worker) endAttempt(a *attempt, p platform.TaskPhase, at time.Duration) {
	if a.phase != platform.PhaseRunning {
		return
	}
	a.phase, a.endedAt = p, at
	if a.closeEndpoint != nil {
		a.closeEndpoint()
		a.closeEndpoint = nil
	}
	if p != platform.PhaseFinished && a.checkpoint == "" && a.request.Kind == platform.KindBatch {
		w.wasted += a.workDone - a.resumedWork
	}
	w.generation++
	w.endedRuns = append(w.endedRuns, a.toRun(w.config.ID))
	if len(w.endedRuns) > maxHistory {
		w.endedRuns = append([]Run(nil), w.endedRuns[maxHistory/2:]...)
		w.droppedRuns += maxHistory / 2
	}
}

// cpuLoad returns the actual processor demand, throttling included, as a fraction
// of the worker's capacity.
func (w *Worker) cpuLoad() float64 {
	var total float64
	for _, a := range w.attempts {
		if a.phase == platform.PhaseRunning {
			total += float64(a.demand.Usage.MilliCPU) * float64(a.cpuPercent) / 100
		}
	}
	if w.capacity.MilliCPU == 0 {
		return 0
	}
	return total / float64(w.capacity.MilliCPU)
}

// slowdowns returns the factor by which each running attempt is slowed down by
// interference.
func (w *Worker) slowdowns() map[platform.TaskID]float64 {
	load := w.cpuLoad()
	out := map[platform.TaskID]float64{}
	for id, a := range w.attempts {
		if a.phase != platform.PhaseRunning {
			continue
		}
		out[id] = 1
		if w.config.Interference != nil {
			out[id] = w.config.Interference.Slowdown(a.request.Class, load, w.neighbourClasses(id))
		}
	}
	return out
}

// neighbourClasses returns the class of each other running attempt.
func (w *Worker) neighbourClasses(id platform.TaskID) []platform.ClassName {
	var classes []platform.ClassName
	for other, a := range w.attempts {
		if other != id && a.phase == platform.PhaseRunning {
			classes = append(classes, a.request.Class)
		}
	}
	return classes
}

// speeds returns the work that each running attempt does per unit of time.
func (w *Worker) speeds() map[platform.TaskID]float64 {
	out := w.slowdowns()
	for id, slowdown := range out {
		out[id] = float64(w.attempts[id].cpuPercent) / 100 / slowdown
	}
	return out
}

// takeSample measures all running attempts.
func (w *Worker) takeSample(at time.Duration) {
	w.lastSampleAt = at
	s := sample{at: at, tasks: map[platform.TaskAttempt]platform.TaskReport{}}
	for id, slowdown := range w.slowdowns() {
		a := w.attempts[id]
		r := platform.TaskReport{Usage: a.demand.Usage}
		r.Usage.MilliCPU = r.Usage.MilliCPU * int64(a.cpuPercent) / 100
		if a.request.Kind == platform.KindService {
			r.Latency = time.Duration(float64(baseLatency) * slowdown)
			r.Requests = requestsPerSample
		}
		s.tasks[a.id()] = r
	}
	w.samples = append(w.samples, s)
	if len(w.samples) > maxSamples {
		w.samples = w.samples[1:]
	}
}

const (
	// baseLatency is a service's tail latency without interference.
	baseLatency = 40 * time.Millisecond
	// requestsPerSample is the reported number of requests in a sample.
	requestsPerSample = 500
)

// sampleBefore returns the latest sample taken at or before the given time, or an
// empty one taken at boot.
func (w *Worker) sampleBefore(at time.Duration) sample {
	found := sample{at: w.bootedAt}
	for _, s := range w.samples {
		if s.at <= at {
			found = s
		}
	}
	return found
}
