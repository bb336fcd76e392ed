package place

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/interference"
)

// Resident is a task attempt that may be running on a worker.
type Resident struct {
	Task     platform.TaskID
	Attempt  platform.Attempt
	Team     platform.TeamName
	Class    platform.ClassName
	Template platform.TemplateName
	Service  platform.ServiceName
	Worker   platform.WorkerID
	// Size is the reservation.
	Size platform.Resources
	// Declared is the size that counts against the team's quota; zero means
	// Size.
	Declared platform.Resources
	// Usage is the last reported usage; it is Size until the first report.
	Usage platform.Resources
	// Urgent is set if tasks of the class must not wait.
	Urgent bool
	// Assumed is set until the assignment is read back from the log.
	Assumed bool
	// CPUPercent is the share of its reserved processors that the attempt may use;
	// 0 means 100.
	CPUPercent int
	// Evicting is set once the attempt has been asked to checkpoint and end.
	Evicting bool
	// Running is set once the worker is known to run the attempt.
	Running bool
	// SavedAt is when the attempt's progress was last safe: its start or its last
	// checkpoint.
	SavedAt time.Time
}

// EffectiveCPUPercent returns the share of its reserved processors that the
// attempt may use, in percent.
func (r *Resident) EffectiveCPUPercent() int {
	if r.CPUPercent == 0 {
		return unthrottledPercent
	}
	return r.CPUPercent
}

// quotaSize returns the size that counts against the team's quota.
func (r *Resident) quotaSize() platform.Resources {
	if r.Declared == (platform.Resources{}) {
		return r.Size
	}
	return r.Declared
}

// neighbourAmount returns the weight of the resident as a neighbour: 1, or less
// if it is throttled.
func (r *Resident) neighbourAmount() float64 {
	return float64(r.EffectiveCPUPercent()) / unthrottledPercent
}

// excess returns the usage above the reservation.
func (r *Resident) excess() platform.Resources {
	return platform.Resources{
		MilliCPU: max(r.Usage.MilliCPU-r.Size.MilliCPU, 0),
		MemoryMB: max(r.Usage.MemoryMB-r.Size.MemoryMB, 0),
	}
}

// Evictable reports whether the resident may be evicted in favour of other tasks.
func (r *Resident) Evictable() bool {
	return r.Service == "" && !r.Urgent && r.Running && !r.Evicting
}

// Loss returns the processor time that would be lost by an eviction without a
// checkpoint.
func (r *Resident) Loss(now time.Time) time.Duration {
	unsaved := now.Sub(r.SavedAt)
	return time.Duration(float64(unsaved) * float64(r.Size.MilliCPU) / milliPerCore)
}

const (
	// milliPerCore converts cores to thousandths of a core.
	milliPerCore = 1000
	// unthrottledPercent is the processor share of an attempt that is not
	// throttled.
	unthrottledPercent = 100
)

// WorkerInfo describes a worker, as derived from the host list and its reports.
type WorkerInfo struct {
	ID       platform.WorkerID
	Rack     platform.RackID
	Domain   platform.FailureDomain
	Capacity platform.Resources
	// Leaving workers get no new work.
	Leaving bool
	// SetAside workers get no new work because the tasks that they start fail.
	SetAside bool
}

// WorkerView is the state of a worker that placement uses.
type WorkerView struct {
	WorkerInfo
	// Committed is the sum of the reservations of all residents, including
	// attempts whose outcome is unknown.
	Committed platform.Resources
	// Excess is the residents' usage above their reservations.
	Excess platform.Resources
	// Usage is the sum of the residents' last reported usage.
	Usage platform.Resources
	// Neighbours holds the residents' amounts by class, ordered by class.
	Neighbours []interference.Neighbour
	// Victims holds the number of service replicas by class, ordered by class:
	// the residents that neighbours can harm.
	Victims []interference.Neighbour

	services  map[platform.ServiceName]int
	residents map[platform.TaskID]*Resident
	// bucket is the number of the worker's index bucket; bucketPosition is its
	// position there, or -1 while it is in none.
	bucket         int
	bucketPosition int
	listed         bool
}

// Free returns the capacity that is neither committed nor in use. Fields may be
// negative, for example if residents use more than they reserved.
func (w *WorkerView) Free() platform.Resources {
	return w.Capacity.Sub(w.Committed).Sub(w.Excess)
}

// Load returns the processor usage as a fraction of the capacity: 0 to 1, and
// more on an overloaded worker.
func (w *WorkerView) Load() float64 { return w.loadWith(0) }

// loadWith returns the load with extraMilliCPU more in use.
func (w *WorkerView) loadWith(extraMilliCPU int64) float64 {
	if w.Capacity.MilliCPU <= 0 {
		return 1
	}
	return float64(w.Usage.MilliCPU+extraMilliCPU) / float64(w.Capacity.MilliCPU)
}

// EachResident calls f for every resident in no particular order.
func (w *WorkerView) EachResident(f func(*Resident)) {
	for _, r := range w.residents {
		f(r)
	}
}

func (w *WorkerView) addResident(r *Resident) {
	w.residents[r.Task] = r
	w.Committed = w.Committed.Add(r.Size)
	w.Usage = w.Usage.Add(r.Usage)
	w.Excess = w.Excess.Add(r.excess())
	w.Neighbours = interference.AddNeighbour(w.Neighbours, r.Class, r.neighbourAmount())
	if r.Service != "" {
		w.services[r.Service]++
		w.Victims = interference.AddNeighbour(w.Victims, r.Class, 1)
	}
}

func (w *WorkerView) removeResident(r *Resident) {
	delete(w.residents, r.Task)
	w.Committed = w.Committed.Sub(r.Size)
	w.Usage = w.Usage.Sub(r.Usage)
	w.Excess = w.Excess.Sub(r.excess())
	w.Neighbours = interference.AddNeighbour(w.Neighbours, r.Class, -r.neighbourAmount())
	if r.Service != "" {
		w.services[r.Service]--
		w.Victims = interference.AddNeighbour(w.Victims, r.Class, -1)
	}
}
