package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler"
)

// TestNewWorkersEndNoEarlierQuorum: an owner enrolled as many new workers as there were, and
// counted two thirds of all as a bound for the leases of the owner before. That one still had two
// thirds of its own, and extended its leases while the next owner started their tasks elsewhere.
func TestNewWorkersEndNoEarlierQuorum(t *testing.T) {
	h := newHarness(t, 6)
	h.run(200 * time.Millisecond)
	h.cordonAllBut("w00")
	id := h.submit(firstID, fixedLength(100), nil, longRunningStep())
	h.run(400 * time.Millisecond)
	must.Eq(t, 1, h.cluster.Running(id))
	earlier, lastRead := h.shard, h.now
	own := []platform.WorkerID{"w00", "w01", "w02", "w03"}
	partition := func(partitioned bool) {
		for _, w := range own {
			h.cluster.SetPartitioned(w, partitioned)
		}
	}
	partition(true)
	for i := range 6 {
		h.cluster.AddWorker(h.now, workerInfo(6+i))
	}
	h.takeOver(false)
	runBoth := func(d time.Duration) {
		for end := h.now + d; h.now < end; {
			h.tick()
			if age := h.now - lastRead; age >= scheduler.AuthorityBound || age >= scheduler.AuthorityWindow && !earlier.HasQuorum(h.now) {
				continue
			}
			partition(false)
			for _, w := range own {
				_, order, _ := earlier.RenewOrder(h.now, w)
				lists, answered := h.cluster.Renew(h.now, w, order)
				must.True(t, answered)
				earlier.RenewAnswered(h.now, h.now, w, lists)
			}
			partition(true)
		}
	}
	runBoth(time.Second)
	h.takeOver(false)
	runBoth(10 * time.Second)
	h.checkViolations()
	must.Eq(t, 1, h.cluster.Running(id))
}
