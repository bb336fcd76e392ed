// Package estimate estimates the resource usage and the run time of the tasks of a
// template. Estimates start from the declared values and follow usage reports:
// upwards immediately, downwards gradually. The package does no I/O and reads no clock.
// It is not safe for concurrent use.
package estimate

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	// marginPercent is the safety margin on measured memory usage.
	marginPercent = 10
	// decayDivisor is the inverse of the fraction of the difference between an
	// estimate and the measured value by which a finished task lowers the estimate.
	decayDivisor = 4
	// reportDecayDivisor is the inverse of the fraction by which one report of a
	// running task lowers the processor estimate. Without it the estimates of
	// services, whose tasks don't finish, would never fall.
	reportDecayDivisor = 1024
	// unprofiledMemoryPercent scales the declared memory of a template until its
	// first usage report.
	unprofiledMemoryPercent = 150
	// UnprofiledLimit is the maximum number of tasks of a template that may run
	// before its first usage report.
	UnprofiledLimit = 4
)

// Template identifies the template or service whose tasks share an estimate.
type Template string

// templateState holds the estimates of one template.
type templateState struct {
	declared platform.Resources
	size     platform.Resources
	// peakMemory is the highest memory usage reported so far, in MB.
	peakMemory int64
	profiled   bool
	runTime    time.Duration
}

// taskPeak is the peak usage of one running task.
type taskPeak struct {
	template Template
	peak     platform.Resources
}

// Estimates holds the estimates for all templates of a shard.
type Estimates struct {
	templates map[Template]*templateState
	tasks     map[platform.TaskID]*taskPeak
}

// New returns estimates without usage reports.
func New() *Estimates {
	return &Estimates{templates: map[Template]*templateState{}, tasks: map[platform.TaskID]*taskPeak{}}
}

// Profiled reports whether there was a usage report for any task of the template.
func (e *Estimates) Profiled(t Template) bool {
	s := e.templates[t]
	return s != nil && s.profiled
}

// Size returns the resources to reserve for a task with the given declared size.
// Accelerators and slots are reserved as declared. A changed declaration resets the
// estimate, but not below the peak memory usage measured so far.
func (e *Estimates) Size(t Template, declared platform.Resources) platform.Resources {
	s := e.ensureTemplate(t, declared)
	size := s.size
	if !s.profiled {
		size.MemoryMB = size.MemoryMB * unprofiledMemoryPercent / 100
	}
	return size
}

// ensureTemplate returns the state of a template, creating or resetting it if it is
// new or its declared size has changed.
func (e *Estimates) ensureTemplate(t Template, declared platform.Resources) *templateState {
	s := e.templates[t]
	if s != nil && s.declared == declared {
		return s
	}
	fresh := &templateState{declared: declared, size: declared}
	if s != nil {
		fresh.profiled, fresh.peakMemory, fresh.runTime = s.profiled, s.peakMemory, s.runTime
		fresh.size.MemoryMB = max(fresh.size.MemoryMB, withMargin(s.peakMemory))
	}
	e.templates[t] = fresh
	return fresh
}

// Observe updates the estimates by a running task's reported usage. Usage above an
// estimate raises it immediately.
func (e *Estimates) Observe(id platform.TaskID, t Template, usage platform.Resources) {
	s := e.templates[t]
	if s == nil || usage == (platform.Resources{}) {
		return
	}
	r := e.tasks[id]
	if r == nil {
		r = &taskPeak{template: t}
		e.tasks[id] = r
	}
	r.peak.MilliCPU = max(r.peak.MilliCPU, usage.MilliCPU)
	r.peak.MemoryMB = max(r.peak.MemoryMB, usage.MemoryMB)
	s.profiled = true
	s.peakMemory = max(s.peakMemory, usage.MemoryMB)
	if usage.MilliCPU > 0 {
		s.size.MilliCPU = max(s.size.MilliCPU-(s.size.MilliCPU-r.peak.MilliCPU)/reportDecayDivisor, usage.MilliCPU)
	}
	s.size.MemoryMB = max(s.size.MemoryMB, withMargin(usage.MemoryMB))
}

// ObserveFinish updates the estimates by a task that ran to its end within d.
// Resource estimates fall by a fraction of their distance from the peak usage.
func (e *Estimates) ObserveFinish(id platform.TaskID, d time.Duration) {
	r := e.tasks[id]
	if r == nil {
		return
	}
	delete(e.tasks, id)
	s := e.templates[r.template]
	if r.peak.MilliCPU > 0 {
		s.size.MilliCPU = decayTowards(s.size.MilliCPU, r.peak.MilliCPU)
	}
	s.size.MemoryMB = decayTowards(s.size.MemoryMB, withMargin(s.peakMemory))
	s.runTime = smoothRunTime(s.runTime, d)
}

// Forget drops the state of a task that did not run to its end.
func (e *Estimates) Forget(id platform.TaskID) { delete(e.tasks, id) }

// RunTime returns the expected run time of a task, or the declared one if no task of
// the template has finished.
func (e *Estimates) RunTime(t Template, declared time.Duration) time.Duration {
	if s := e.templates[t]; s != nil && s.runTime > 0 {
		return s.runTime
	}
	return declared
}

func withMargin(v int64) int64 { return v + v*marginPercent/100 }

// decayTowards lowers estimate towards target. It never raises it.
func decayTowards(estimate, target int64) int64 {
	if target >= estimate {
		return estimate
	}
	return estimate - max((estimate-target)/decayDivisor, 1)
}

// smoothRunTime returns a run-time estimate that rises immediately and falls gradually.
func smoothRunTime(old, d time.Duration) time.Duration {
	if d >= old {
		return d
	}
	return old - (old-d)/decayDivisor
}
