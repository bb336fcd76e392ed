package planner

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/interference"
	"github.com/siskinvane/siskinvane/internal/process/place"
	"github.com/siskinvane/siskinvane/internal/process/pressure"
)

// measurementWindow is the time that one measurement of a worker covers.
const measurementWindow = 5 * time.Second

// measurementID identifies a measurement of a worker by its time.
type measurementID struct {
	boot string
	at   platform.WorkerTime
}

// Report processes a worker's report received at now. A measurement that was already
// reported is ignored.
func (p *Planner) Report(r *platform.Report, now time.Time) {
	p.recordNeighbours(r.Worker, now)
	last, known := p.lastMeasurement[r.Worker]
	if known && last.boot == r.Boot && r.MeasuredAt <= last.at {
		return
	}
	p.lastMeasurement[r.Worker] = measurementID{boot: r.Boot, at: r.MeasuredAt}
	at := now.Add(-time.Duration(r.Now - r.MeasuredAt))
	p.observeUsage(r)
	neighbours, unchanged := p.history.Between(r.Worker, at.Add(-measurementWindow), at)
	o := interference.Observation{Load: cpuLoad(r), Neighbours: neighbours}
	for i := range r.Tasks {
		p.observeTask(&r.Tasks[i], r, at, o, unchanged)
	}
}

// observeTask processes the measurements of one task. unchanged is set if the
// neighbours did not change during the measurement; the model learns only then.
func (p *Planner) observeTask(t *platform.TaskReport, r *platform.Report, at time.Time, o interference.Observation, unchanged bool) {
	resident := p.cache.Resident(t.Task)
	switch {
	case !matchesAttempt(t, resident, r.Worker):
	case resident.Service != "":
		p.observeLatency(t, resident, at, o, unchanged)
	default:
		p.observeProgress(t, resident, at, o)
	}
}

// observeUsage updates resource estimates and worker loads by the tasks' usage.
func (p *Planner) observeUsage(r *platform.Report) {
	for _, t := range r.Tasks {
		resident := p.cache.Resident(t.Task)
		if !matchesAttempt(&t, resident, r.Worker) {
			continue
		}
		p.cache.ObserveUsage(t.Task, t.Usage)
		p.estimates.Observe(t.Task, templateOf(resident.Template, resident.Service), unthrottledUsage(t.Usage, resident))
	}
}

// matchesAttempt reports whether a task's report is about the attempt in the cache.
func matchesAttempt(t *platform.TaskReport, r *place.Resident, w platform.WorkerID) bool {
	return r != nil && t.Phase == platform.PhaseRunning && r.Worker == w && !r.Assumed && r.Attempt == t.Attempt
}

// unthrottledUsage returns the usage that the estimate is based on. The processor usage
// of a throttled task is cleared, since it says nothing about the task's demand.
func unthrottledUsage(usage platform.Resources, r *place.Resident) platform.Resources {
	if r.CPUPercent != 0 {
		usage.MilliCPU = 0
	}
	return usage
}

// observeLatency passes a service's measurement to the controller, and to the model
// if the neighbours did not change.
func (p *Planner) observeLatency(t *platform.TaskReport, r *place.Resident, at time.Time, o interference.Observation, unchanged bool) {
	if t.Latency <= 0 || p.latencyBounds[r.Class] <= 0 {
		return
	}
	o.Victim, o.Ratio = r.Class, float64(t.Latency)/float64(p.latencyBounds[r.Class])
	if unchanged {
		p.model.Observe(o)
	}
	p.controller.Observe(pressure.Measurement{Victim: t.Task, Class: r.Class, Worker: r.Worker, Ratio: o.Ratio, MeasuredAt: at})
}

// cpuLoad returns the worker's processor load according to a report.
func cpuLoad(r *platform.Report) float64 {
	if r.Capacity.MilliCPU <= 0 {
		return 1
	}
	var used int64
	for _, t := range r.Tasks {
		if t.Phase == platform.PhaseRunning {
			used += t.Usage.MilliCPU
		}
	}
	return float64(used) / float64(r.Capacity.MilliCPU)
}
