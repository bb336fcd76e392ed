package place

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/interference"
)

var now = time.Unix(1_000_000, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(11, 12)) }

func size(cores, memoryMB int64) platform.Resources {
	return platform.Resources{MilliCPU: cores * milliPerCore, MemoryMB: memoryMB, Slots: 1}
}

// newTestCache returns a cache of n workers with 32 cores, 125 GB and 8 slots
// each, eight workers to a rack.
func newTestCache(n int) *Cache {
	c := NewCache()
	for i := range n {
		c.SetWorker(WorkerInfo{
			ID:       platform.WorkerID(fmt.Sprintf("w%04d", i)),
			Rack:     platform.RackID(fmt.Sprintf("r%03d", i/8)),
			Domain:   platform.FailureDomain(fmt.Sprintf("d%d", i/8%3)),
			Capacity: platform.Resources{MilliCPU: 32_000, MemoryMB: 125_000, Slots: 8},
		})
	}
	return c
}

func newBatchRequest(id string, s platform.Resources) Request {
	return Request{Task: platform.TaskID(id), Team: "reports", Class: "summary", Template: "day", Size: s}
}

func residentOf(r Request, w platform.WorkerID) Resident {
	return Resident{
		Task: r.Task, Attempt: 1, Team: r.Team, Class: r.Class, Template: r.Template, Service: r.Service,
		Worker: w, Size: r.Size, Urgent: r.Urgent, Running: true, SavedAt: now,
	}
}

func TestPlaceRejectsUnsuitableWorkers(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Cache, *Request)
		reason string
	}{
		{"leaving", func(c *Cache, _ *Request) {
			c.SetWorker(WorkerInfo{ID: "w0000", Capacity: size(32, 125_000), Leaving: true})
		}, "no worker fits: 1 leaving"},
		{"set aside", func(c *Cache, _ *Request) {
			c.SetWorker(WorkerInfo{ID: "w0000", Capacity: size(32, 125_000), SetAside: true})
		}, "no worker fits: 1 set aside for failing tasks"},
		{"memory", func(_ *Cache, r *Request) { r.Size.MemoryMB = 125_001 }, "no worker fits: 1 short of memory"},
		{"avoided", func(_ *Cache, r *Request) { r.Avoid = []platform.WorkerID{"w0000"} },
			"no worker fits: 1 left by this task before"},
		{"quota", func(c *Cache, r *Request) {
			c.SetQuotas(map[platform.TeamName]platform.Resources{"reports": {MilliCPU: 3000, MemoryMB: 1e6}})
			r.Declared = size(4, 1000)
		}, "team reports has its quota of processors in use"},
		{"team without a share", func(c *Cache, _ *Request) {
			c.SetQuotas(map[platform.TeamName]platform.Resources{"others": size(1000, 1e6)})
		}, "team reports has its quota of processors in use"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestCache(1)
			r := newBatchRequest("j/0", size(2, 4000))
			tc.change(c, &r)
			d := NewScheduler(nil).Place(r, c, newRand())
			must.Eq(t, "", d.Worker)
			must.Eq(t, tc.reason, d.Reason)
		})
	}
}

// TestQuotaCountsDeclaredSizes: a reservation that the usage estimates raised
// above the declared size doesn't count more against the team's quota.
func TestQuotaCountsDeclaredSizes(t *testing.T) {
	c := newTestCache(1)
	c.SetQuotas(map[platform.TeamName]platform.Resources{"reports": {MilliCPU: 4000, MemoryMB: 8000}})
	s, rng := NewScheduler(nil), newRand()
	for i, want := range []platform.WorkerID{"w0000", "w0000", ""} {
		r := newBatchRequest(fmt.Sprintf("j/%d", i), size(9, 30_000))
		r.Declared = size(2, 4000)
		d := s.Place(r, c, rng)
		must.Eq(t, want, d.Worker)
		if d.Worker != "" {
			resident := residentOf(r, d.Worker)
			resident.Declared = r.Declared
			must.NoError(t, c.AssumeTask(resident))
		}
	}
	c.ForgetTask("j/0")
	r := newBatchRequest("j/3", size(2, 4000))
	must.Eq(t, "w0000", s.Place(r, c, rng).Worker)
}

func TestReplicasSpreadAcrossRacksAndDomains(t *testing.T) {
	c := newTestCache(48)
	s, rng := NewScheduler(nil), newRand()
	racks, domains := map[platform.RackID]int{}, map[platform.FailureDomain]int{}
	for i := range 6 {
		r := Request{Task: platform.TaskID(fmt.Sprintf("svc/%d", i)), Class: "tap", Service: "diary", Size: size(4, 8000), Urgent: true}
		d := s.Place(r, c, rng)
		must.NotEq(t, "", d.Worker)
		must.NoError(t, c.AssumeTask(residentOf(r, d.Worker)))
		racks[c.Worker(d.Worker).Rack]++
		domains[c.Worker(d.Worker).Domain]++
	}
	must.MapLen(t, 6, racks)
	must.Eq(t, map[platform.FailureDomain]int{"d0": 2, "d1": 2, "d2": 2}, domains)
}

// summaryHarms is a Predictor that expects every service beside a summary task to
// miss its target.
type summaryHarms struct{}

func (summaryHarms) MissChance(_ platform.ClassName, _ float64, neighbours []interference.Neighbour, _ interference.Confidence) float64 {
	return min(1, interference.AmountOf(neighbours, "summary"))
}

func (summaryHarms) Ratio(platform.ClassName, float64, []interference.Neighbour) (float64, bool) {
	return 1, false
}

func TestBatchAvoidsHarmedServices(t *testing.T) {
	c := newTestCache(2)
	svc := Request{Task: "svc/0", Class: "tap", Service: "diary", Size: size(4, 8000), Urgent: true}
	must.NoError(t, c.AssumeTask(residentOf(svc, "w0000")))
	s, rng := NewScheduler(summaryHarms{}), newRand()
	for i := range 8 {
		r := newBatchRequest(fmt.Sprintf("j/%d", i), size(2, 4000))
		d := s.Place(r, c, rng)
		must.Eq(t, "w0001", d.Worker)
		must.NoError(t, c.AssumeTask(residentOf(r, d.Worker)))
	}
	d := s.Place(newBatchRequest("j/8", size(2, 4000)), c, rng)
	must.Eq(t, "no worker fits: 1 a service there would miss its target, 1 short of slots", d.Reason)
}

func TestPreemptEvictsLeastWork(t *testing.T) {
	c := newTestCache(2)
	for i := range 16 {
		r := residentOf(newBatchRequest(fmt.Sprintf("j/%d", i), size(4, 15_000)), platform.WorkerID(fmt.Sprintf("w%04d", i/8)))
		r.SavedAt = now.Add(-time.Duration(100+i) * time.Second)
		if i == 11 {
			r.SavedAt = now.Add(-time.Second)
		}
		if i == 12 {
			r.SavedAt, r.Running = now, false
		}
		c.ConfirmTask(r)
	}
	s := NewScheduler(nil)
	urgent := Request{Task: "svc/0", Class: "tap", Service: "diary", Size: size(4, 8000), Urgent: true}
	p, ok := s.Preempt(urgent, c, newRand(), now, 5)
	must.True(t, ok)
	must.Eq(t, Preemption{Worker: "w0001", Tasks: []platform.TaskID{"j/11"}, Loss: 4 * time.Second}, p)
	_, ok = s.Preempt(urgent, c, newRand(), now, 0)
	must.False(t, ok)
	_, ok = s.Preempt(newBatchRequest("j/99", size(4, 8000)), c, newRand(), now, 5)
	must.False(t, ok)
}

func TestBudgetBoundsEvictions(t *testing.T) {
	var b EvictionBudget
	must.Eq(t, 0, b.Available())
	b.AddStarts(3*startsPerEviction - 1)
	must.Eq(t, 2, b.Available())
	b.Spend(2)
	must.Eq(t, 0, b.Available())
	b.AddStarts(1_000_000)
	must.Eq(t, maxSavedEvictions, b.Available())
}

func TestCheckSubmitNamesTheDimension(t *testing.T) {
	c := newTestCache(3)
	must.NoError(t, NewCache().CheckSubmit(size(1000, 1)))
	must.NoError(t, c.CheckSubmit(size(32, 125_000)))
	cases := map[string]platform.Resources{
		"processors":   size(33, 1),
		"memory":       size(1, 125_001),
		"accelerators": {MilliCPU: 1, Accelerators: 1, Slots: 1},
	}
	for dim, s := range cases {
		var unfit *UnfitError
		must.True(t, errors.As(c.CheckSubmit(s), &unfit))
		must.Eq(t, dim, unfit.Dimension)
	}
}

func TestExplain(t *testing.T) {
	c := newTestCache(2)
	s := NewScheduler(nil)
	item := Item{Request: newBatchRequest("j/0", size(2, 4000)), Since: now.Add(-3 * time.Second)}
	must.Eq(t, "task j/0 has waited for 3s: 2 workers would take it; its turn has not come", s.ExplainWaiting(item, c, now))
	item.Size.MemoryMB = 1_000_000
	must.Eq(t, "task j/0 can never run: no worker of 2 can hold the task: memory", s.ExplainWaiting(item, c, now))
}

func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{65, 500, 1400} {
		for _, fill := range []int{3, 8} {
			b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, workers*fill), func(b *testing.B) {
				benchmarkPlace(b, workers, fill)
			})
		}
	}
}

// benchmarkPlace times decisions with a trained model on workers that run two
// service replicas and fill-2 batch tasks each. With a fill of 8 only one worker
// has a free slot.
func benchmarkPlace(b *testing.B, workers, fill int) {
	c, rng := newTestCache(workers), newRand()
	m := interference.NewModel()
	for i := range 500 {
		m.Observe(interference.Observation{
			Victim: "tap", Load: rng.Float64(), Ratio: 0.5,
			Neighbours: []interference.Neighbour{{Class: "summary", Amount: float64(i % 4)}, {Class: "tap", Amount: 2}},
		})
	}
	for w := range workers {
		for i := range fill {
			if w == 0 && i == 7 {
				continue
			}
			r := newBatchRequest(fmt.Sprintf("j%d/%d", w, i), size(2, 4000))
			if i < 2 {
				r.Service, r.Class, r.Urgent = "diary", "tap", true
			}
			c.ConfirmTask(residentOf(r, platform.WorkerID(fmt.Sprintf("w%04d", w))))
		}
	}
	s := NewScheduler(m)
	r := newBatchRequest("new/0", size(2, 4000))
	var nanos []int64
	for b.Loop() {
		begin := time.Now()
		if d := s.Place(r, c, rng); d.Worker != "" {
			if c.AssumeTask(residentOf(r, d.Worker)) == nil {
				c.ForgetTask(r.Task)
			}
		}
		nanos = append(nanos, time.Since(begin).Nanoseconds())
	}
	slices.Sort(nanos)
	b.ReportMetric(float64(nanos[len(nanos)/2])/1e3, "p50-us")
	b.ReportMetric(float64(nanos[len(nanos)*99/100])/1e3, "p99-us")
}
