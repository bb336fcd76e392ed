package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/place"
	"github.com/siskinvane/siskinvane/internal/process/planner"
	"github.com/siskinvane/siskinvane/internal/process/pressure"
)

// decider makes the scheduling decisions of a run. *planner.Planner implements it.
type decider interface {
	SetWorker(info place.WorkerInfo, now time.Time)
	RemoveWorker(id platform.WorkerID)
	Enqueue(item place.Item)
	ConfirmTask(r place.Resident)
	End(e planner.AttemptEnd, now time.Time)
	Report(r *platform.Report, now time.Time)
	Plan(now time.Time, limit int) []planner.Assignment
	NextActions(now time.Time) []pressure.Action
}

// Names of the policies.
const (
	PolicyLearned    = "siskinvane"
	PolicySizesOnly  = "sizes only"
	PolicyRandom     = "random fit"
	PolicyBestFit    = "best fit"
	PolicySeparation = "separation"
)

// allPolicies lists the policies in the order of the result tables.
var allPolicies = []string{PolicyLearned, PolicySizesOnly, PolicyRandom, PolicyBestFit, PolicySeparation}

// newDecider returns a new decider for a policy.
func newDecider(name string, m *Mix, seed uint64) decider {
	rng := rand.New(rand.NewPCG(seed, 0xdec1de))
	if name == PolicyLearned || name == PolicySizesOnly {
		p := planner.New(rng)
		for _, s := range m.services {
			p.SetLatencyBound(s.class, s.targetLatency)
		}
		if name == PolicySizesOnly {
			return &sizesOnly{p}
		}
		return p
	}
	return &baseline{name: name, cache: place.NewCache(), queue: place.NewQueue(), rng: rng}
}

// sizesOnly is the planner without interference data: it corrects sizes from reports,
// but neither learns which tasks interfere with each other nor reacts to missed
// targets. It shows how much of the planner's effect comes from corrected sizes.
type sizesOnly struct{ *planner.Planner }

// Report implements decider.
func (s *sizesOnly) Report(r *platform.Report, now time.Time) {
	masked := *r
	masked.Tasks = slices.Clone(r.Tasks)
	for i := range masked.Tasks {
		masked.Tasks[i].Latency, masked.Tasks[i].Done = 0, 0
	}
	s.Planner.Report(&masked, now)
}

// baseline places tasks by their declared sizes. It learns nothing and never throttles
// or evicts. Urgent tasks go first, as they do in the planner.
type baseline struct {
	name  string
	cache *place.Cache
	queue *place.Queue
	rng   *rand.Rand
}

func (b *baseline) SetWorker(info place.WorkerInfo, _ time.Time) { b.cache.SetWorker(info) }
func (b *baseline) RemoveWorker(id platform.WorkerID)            { b.cache.RemoveWorker(id) }
func (b *baseline) Enqueue(item place.Item)                      { b.queue.Add(item) }
func (b *baseline) ConfirmTask(r place.Resident)                 { b.cache.ConfirmTask(r) }
func (b *baseline) End(e planner.AttemptEnd, _ time.Time)        { b.cache.ForgetTask(e.Task) }
func (b *baseline) Report(*platform.Report, time.Time)           {}
func (b *baseline) NextActions(time.Time) []pressure.Action      { return nil }

// Plan implements decider.
func (b *baseline) Plan(now time.Time, limit int) []planner.Assignment {
	var out []planner.Assignment
	b.queue.BeginRound()
	for len(out) < limit {
		item, ok := b.queue.Next(true)
		if !ok {
			return out
		}
		worker := b.choose(&item)
		if worker == "" {
			b.queue.BlockShape(item.Task)
			continue
		}
		r := place.Resident{
			Task: item.Task, Team: item.Team, Class: item.Class, Template: item.Template,
			Service: item.Service, Worker: worker, Size: item.Size, Urgent: item.Urgent, SavedAt: now,
		}
		if b.cache.AssumeTask(r) != nil {
			b.queue.BlockShape(item.Task)
			continue
		}
		b.queue.MarkPlaced(item.Task)
		out = append(out, planner.Assignment{Task: item.Task, Worker: worker, Size: item.Size})
	}
	return out
}

// choose returns the worker with the lowest cost among those with enough room, or "".
func (b *baseline) choose(item *place.Item) platform.WorkerID {
	var best platform.WorkerID
	lowest := math.Inf(1)
	b.cache.EachWorker(func(w *place.WorkerView) {
		if !item.Size.Fits(w.Free()) || (b.name == PolicySeparation && runsOtherKind(item, w)) {
			return
		}
		cost := b.cost(item, w)
		if cost < lowest || (cost == lowest && w.ID < best) {
			best, lowest = w.ID, cost
		}
	})
	return best
}

// runsOtherKind reports whether a worker runs batch work and the item is a service, or
// vice versa.
func runsOtherKind(item *place.Item, w *place.WorkerView) bool {
	services, all := 0.0, 0.0
	for _, n := range w.Victims {
		services += n.Amount
	}
	for _, n := range w.Neighbours {
		all += n.Amount
	}
	if item.Service != "" {
		return all > services
	}
	return services > 0
}

// cost returns the cost of placing an item on a worker: a random number for random
// fit, the capacity that would remain free for best fit and separation.
func (b *baseline) cost(item *place.Item, w *place.WorkerView) float64 {
	if b.name == PolicyRandom {
		return b.rng.Float64()
	}
	free := w.Free().Sub(item.Size)
	return float64(free.MilliCPU)/float64(w.Capacity.MilliCPU) + float64(free.MemoryMB)/float64(w.Capacity.MemoryMB)
}
