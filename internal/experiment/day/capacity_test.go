package day

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestCapacityChangeSeenJustBeforeOwnerIsKilled: the next owner did not know that capacities
// change, and started tasks on those that it had read before an outage of the store.
func TestCapacityChangeSeenJustBeforeOwnerIsKilled(t *testing.T) {
	t.Parallel()
	for _, kind := range []Kind{KillHost, KillAll} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			runDay(t, Plan{
				Hosts: 3, Workers: 12, Seconds: 20, QuietSeconds: 60, JobsPerSecond: 14, LongRunningShare: 0.2, Seed: 1,
				Faults: []Fault{
					{AtMS: 2000, ForMS: 700, Kind: ShrinkWorker, CapacityPercent: 90},
					{AtMS: 2700, ForMS: 1000, Kind: kind, Host: Owner},
					{AtMS: 9000, ForMS: 9000, Kind: StoreDown, Host: AllHosts},
					{AtMS: 9500, ForMS: 8000, Kind: ShrinkWorkers, CapacityPercent: 30},
				},
			})
		})
	}
}

// playFirstChange plays a day on which the capacities of workers change for the first time
// during a fault of the store.
func playFirstChange(t *testing.T, kind Kind, host int) {
	t.Parallel()
	runDay(t, Plan{
		Hosts: 3, Workers: 12, Seconds: 16, QuietSeconds: 120, JobsPerSecond: 20, LongRunningShare: 0.2, Seed: 1,
		Faults: []Fault{
			{AtMS: 6000, ForMS: 9000, Kind: kind, Host: host},
			{AtMS: 6500, ForMS: 8000, Kind: ShrinkWorkers, CapacityPercent: 30},
		},
	})
}

// TestFirstCapacityChangeWhileStoreIsAway: an owner that had never seen a capacity change went
// on starting tasks while it could not read the entries, and workers had shrunk.
func TestFirstCapacityChangeWhileStoreIsAway(t *testing.T) {
	t.Parallel()
	t.Run("down", func(t *testing.T) { playFirstChange(t, StoreDown, AllHosts) })
	t.Run("busy", func(t *testing.T) { playFirstChange(t, StoreBusy, AllHosts) })
}

// TestFirstCapacityChangeWhileOwnerLacksStore: an owner that could not reach the store started
// tasks on old capacities instead of leaving the shard to a host that could. With lost answers
// the store goes on taking its joins.
func TestFirstCapacityChangeWhileOwnerLacksStore(t *testing.T) {
	t.Parallel()
	for _, kind := range []Kind{StoreDown, StoreBusy, StoreLost, CutHost} {
		t.Run(string(kind), func(t *testing.T) { playFirstChange(t, kind, Owner) })
	}
}

// movingKinds are the faults that make tasks move between workers.
var movingKinds = []Kind{DrainWorker, UpkeepWave, CrashWorkers, CrashWorker, MuteWorker, CutWorker, StopHost, KillHost}

// TestRandomReductionsWhileTasksMove guards against starts on capacities that workers no longer
// have, and against gangs and tasks that are left waiting, while workers drain, crash and shrink
// and owners change.
func TestRandomReductionsWhileTasksMove(t *testing.T) {
	t.Parallel()
	for i := range (*days + 5) / 6 {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0))
			var faults []Fault
			for range 5 {
				faults = append(faults, Fault{
					AtMS: random.Int64N(18_000), ForMS: 500 + random.Int64N(5500), Kind: movingKinds[random.IntN(len(movingKinds))],
					Host: Owner, Worker: random.IntN(12),
				})
			}
			runDay(t, Plan{
				Hosts: 4, Workers: 12, Seconds: 20, QuietSeconds: 150, JobsPerSecond: 14, LongRunningShare: 0.2, GangShare: 0.3,
				Faults: faults, RandomReductions: 6, Seed: seed,
			})
		})
	}
}
