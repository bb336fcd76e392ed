// Package declaration defines the documents that operators publish: classes of
// work with their targets, services, job templates, and teams with quotas.
// Validation depends on the document alone, so that its result is the same on
// every host.
package declaration

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// Format is the format number that this version writes and the highest that
// it reads.
const Format = 1

// Document is one version of all declarations.
type Document struct {
	// Format is the document's format number, 1.
	Format int `json:"format"`
	// Classes of work; at least one.
	Classes []Class `json:"classes"`
	// Services to run.
	Services []Service `json:"services,omitempty"`
	// Templates from which batch jobs are submitted.
	Templates []Template `json:"templates,omitempty"`
	// Teams that hold quotas; at least one.
	Teams []Team `json:"teams"`
}

// Class is a class of work and its target.
type Class struct {
	Name platform.ClassName `json:"name"`
	// Target is the objective of the class.
	Target Target `json:"target"`
}

// Target is the objective of a class: its request latency, its throughput, and
// whether its work may be delayed.
type Target struct {
	// Promptness bounds request latency. It is required for classes of
	// services and forbidden for classes that may wait.
	Promptness *Promptness `json:"promptness,omitempty"`
	// Throughput is the minimum number of tasks to finish per hour, or zero.
	Throughput int `json:"throughput_per_hour,omitempty"`
	// MayWait allows work of the class to be delayed, throttled or moved in favour
	// of classes without it.
	MayWait bool `json:"may_wait,omitempty"`
}

// Promptness is a bound on a percentile of request latency.
type Promptness struct {
	// Percentile is 50 to 99.99, for example 99.
	Percentile float64 `json:"percentile"`
	// BoundMillis is the bound in ms, 1 to 60000.
	BoundMillis int `json:"bound_ms"`
}

// Bound returns the bound as a duration.
func (p Promptness) Bound() time.Duration {
	return time.Duration(p.BoundMillis) * time.Millisecond
}

// Size is the declared size of one task.
type Size struct {
	// Processors in cores; fractions are allowed.
	Processors float64 `json:"processors"`
	// MemoryMB is memory in units of 10^6 bytes.
	MemoryMB int64 `json:"memory_mb"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// milliPerCore converts cores to thousandths of a core.
const milliPerCore = 1000

// Resources returns the size as a capacity vector with one slot.
func (s Size) Resources() platform.Resources {
	return platform.Resources{
		MilliCPU:     int64(s.Processors*milliPerCore + 0.5),
		MemoryMB:     s.MemoryMB,
		Accelerators: s.Accelerators,
		Slots:        1,
	}
}

// Service is a long-running, latency-critical program.
type Service struct {
	Name     platform.ServiceName `json:"name"`
	Team     platform.TeamName    `json:"team"`
	Class    platform.ClassName   `json:"class"`
	Replicas int                  `json:"replicas"`
	Size     Size                 `json:"size"`
}

// Template describes the tasks of batch jobs.
type Template struct {
	Name  platform.TemplateName `json:"name"`
	Team  platform.TeamName     `json:"team"`
	Class platform.ClassName    `json:"class"`
	Size  Size                  `json:"size"`
	// WorkSeconds is the expected run time of one task.
	WorkSeconds int `json:"work_seconds"`
}

// Team has a quota: the maximum that its tasks may have reserved simultaneously.
type Team struct {
	Name  platform.TeamName `json:"name"`
	Quota Quota             `json:"quota"`
}

// Quota limits a team's reservations.
type Quota struct {
	Processors   float64 `json:"processors"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators,omitempty"`
}

// Class returns the named class.
func (d *Document) Class(name platform.ClassName) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Template returns the named template.
func (d *Document) Template(name platform.TemplateName) (Template, bool) {
	for _, t := range d.Templates {
		if t.Name == name {
			return t, true
		}
	}
	return Template{}, false
}

// Team returns the named team.
func (d *Document) Team(name platform.TeamName) (Team, bool) {
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
