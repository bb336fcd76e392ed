package day

import "testing"

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
