package slopes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/interference"
	"github.com/siskinvane/siskinvane/internal/process/place"
	"github.com/siskinvane/siskinvane/internal/request/idempotency"
)

const (
	placementDecisions = 3000
	servicesPerNode    = 4
	batchPerNode       = 19
	placementSeed      = 7
)

// measurePlacement measures the time and memory of placement decisions for different
// numbers of workers, each with the mean number of tasks of the target size.
func measurePlacement(t *Table) error {
	for _, workers := range []int{65, 500, 1400} {
		var cache *place.Cache
		var buildErr error
		heapBytes := heapGrowth(func() any {
			cache, buildErr = filledCache(workers)
			return cache
		})
		if buildErr != nil {
			return buildErr
		}
		rng := rand.New(rand.NewPCG(placementSeed, uint64(workers)))
		scheduler := place.NewScheduler(interference.NewModel())
		request := place.Request{
			Task: "new/0", Team: "reports", Class: "summary", Template: "build",
			Size: platform.Resources{MilliCPU: 1000, MemoryMB: 2000, Slots: 1},
		}
		start := processorTime()
		for range placementDecisions {
			scheduler.Place(request, cache, rng)
		}
		micros := float64(processorTime()-start) / placementDecisions / nanosPerMicro
		t.add(UnitCost{Name: fmt.Sprintf("decision, %d workers", workers), Role: "placer", Value: micros, Unit: "us", Per: "placement, mean", Mechanism: "process/place"})
		tasks := float64(workers*(servicesPerNode+batchPerNode)) / thousand
		t.add(UnitCost{Name: fmt.Sprintf("placement memory, %d workers", workers), Role: "placer", Value: heapBytes / bytesPerMB / tasks, Unit: "MB", Per: "1,000 running tasks", Mechanism: "process/place"})
	}
	return nil
}

// filledCache returns a cache of workers that each run the mean number of tasks of the
// target size.
func filledCache(workers int) (*place.Cache, error) {
	c := place.NewCache()
	for w := range workers {
		id := platform.WorkerID(fmt.Sprintf("worker-%04d", w))
		c.SetWorker(place.WorkerInfo{
			ID: id, Rack: platform.RackID(fmt.Sprintf("rack-%03d", w/8)), Domain: platform.FailureDomain(fmt.Sprintf("domain-%d", w%8)),
			Capacity: platform.Resources{MilliCPU: 64_000, MemoryMB: 250_000, Slots: 40},
		})
		for i := range servicesPerNode + batchPerNode {
			r := place.Resident{
				Task: platform.TaskID(fmt.Sprintf("job-%05d/%d", w, i)), Team: "reports", Class: "summary", Template: "build", Worker: id,
				Size: platform.Resources{MilliCPU: 2000, MemoryMB: 4000, Slots: 1},
			}
			if i < servicesPerNode {
				r.Class, r.Service, r.Urgent = "tap", platform.ServiceName(fmt.Sprintf("service-%03d", (w+i)%590)), true
			}
			if err := c.AssumeTask(r); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// measureIdempotencyKeys measures the memory per remembered idempotency key.
func measureIdempotencyKeys(t *Table) error {
	const keys = 20_000
	now := time.Unix(1_780_000_000, 0)
	heapBytes := heapGrowth(func() any {
		l := idempotency.NewLedger("entry-0@1", now, idempotency.DefaultWindow, true)
		l.SetMembers([]idempotency.Member{"entry-0@1"}, now)
		for i := range keys {
			k := idempotency.Key{Service: "entries", Key: fmt.Sprintf("0af76519-16cd-43dd-8448-%012d", i)}
			l.BeginLocal(k, uint64(i), now)
		}
		return l
	})
	t.add(UnitCost{Name: "idempotency key memory", Role: "entry", Value: heapBytes / keys, Unit: "B", Per: "remembered key without its answer", Mechanism: "request/idempotency"})
	return nil
}
