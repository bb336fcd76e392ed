// Package policy compares placement policies by simulation: the planner and three
// baselines handle the same virtual hour of work and faults. The interference between
// tasks on a worker follows a model that the policies cannot see. The simulation
// involves no network, no log and no node.
package policy

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// serviceSpec is a service of a mix with its actual size, latency and load.
type serviceSpec struct {
	name     platform.ServiceName
	class    platform.ClassName
	replicas int
	// size is what a replica uses at peak load.
	size platform.Resources
	// aloneLatency is the tail latency of a replica without neighbours,
	// targetLatency the latency target.
	aloneLatency, targetLatency time.Duration
	// requestsPerSecond is the rate of the whole service at peak load.
	requestsPerSecond float64
}

// batchSpec is a batch template of a mix with its actual size and run time.
type batchSpec struct {
	name  platform.TemplateName
	class platform.ClassName
	size  platform.Resources
	// runTime is the run time of a task without neighbours.
	runTime time.Duration
	// cpuShare is the fraction of the offered batch processor time.
	cpuShare float64
}

// Mix is the workers and the workload of one customer.
type Mix struct {
	Name     string
	workers  int
	capacity platform.Resources
	domains  []platform.FailureDomain
	services []serviceSpec
	batch    []batchSpec
	// batchLoad is the mean processor demand of batch work as a fraction of all
	// processors.
	batchLoad float64
}

func resources(cores float64, memoryMB int64) platform.Resources {
	return platform.Resources{MilliCPU: int64(cores * 1000), MemoryMB: memoryMB, Slots: 1}
}

// Mixes returns the mixes of both customers.
func Mixes() []Mix {
	return []Mix{diarietto(), padyak()}
}

func diarietto() Mix {
	return Mix{
		Name: "diarietto", workers: 65,
		capacity: platform.Resources{MilliCPU: 32_000, MemoryMB: 125_000, Slots: 8},
		domains:  []platform.FailureDomain{"catania", "palermo", "messina"},
		services: []serviceSpec{
			{"diary", "tap", 40, resources(5, 8000), 60 * time.Millisecond, 110 * time.Millisecond, 600},
			{"photos", "photo", 24, resources(4, 16_000), 180 * time.Millisecond, 300 * time.Millisecond, 120},
			{"search", "lookup", 20, resources(3, 10_000), 50 * time.Millisecond, 90 * time.Millisecond, 200},
		},
		batch: []batchSpec{
			{"day-summary", "summary", resources(3, 8000), 90 * time.Second, 0.35},
			{"week-summary", "summary", resources(5, 14_000), 150 * time.Second, 0.15},
			{"thumbnails", "render", resources(4, 6000), 45 * time.Second, 0.30},
			{"export", "export", resources(6, 20_000), 200 * time.Second, 0.20},
		},
		batchLoad: 0.40,
	}
}

func padyak() Mix {
	return Mix{
		Name: "padyak", workers: 50,
		capacity: platform.Resources{MilliCPU: 64_000, MemoryMB: 250_000, Slots: 8},
		domains:  []platform.FailureDomain{"tagaytay", "silang", "amadeo"},
		services: []serviceSpec{
			{"entry", "kiosk", 30, resources(10, 12_000), 80 * time.Millisecond, 140 * time.Millisecond, 500},
			{"waivers", "waiver", 22, resources(8, 16_000), 120 * time.Millisecond, 200 * time.Millisecond, 250},
			{"roster", "roster", 16, resources(5, 8000), 150 * time.Millisecond, 280 * time.Millisecond, 90},
		},
		batch: []batchSpec{
			{"assign-waves", "waves", resources(9, 20_000), 120 * time.Second, 0.40},
			{"results", "results", resources(6, 12_000), 60 * time.Second, 0.30},
			{"mail", "mail", resources(5, 30_000), 150 * time.Second, 0.15},
			{"archive", "archive", resources(8, 40_000), 240 * time.Second, 0.15},
		},
		batchLoad: 0.40,
	}
}

// classes returns the distinct classes in the order of their declaration.
func (m *Mix) classes() []platform.ClassName {
	var list []platform.ClassName
	seen := map[platform.ClassName]bool{}
	add := func(c platform.ClassName) {
		if !seen[c] {
			seen[c] = true
			list = append(list, c)
		}
	}
	for _, s := range m.services {
		add(s.class)
	}
	for _, b := range m.batch {
		add(b.class)
	}
	return list
}
