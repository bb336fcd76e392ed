package day

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// crashPlan is the plan of day i with tasks that crash their workers: a share of the jobs crash
// workers while the owner is killed, all hosts are killed, the store is down, workers crash
// for other reasons and, on some days, random faults come in addition.
func crashPlan(i int, seed uint64) Plan {
	return Plan{
		Hosts: 3, Workers: 8, Seconds: 60, QuietSeconds: 45, JobsPerSecond: 0.7, Seed: seed,
		CrashingShare: 0.06 + 0.02*float64(i%3), LongRunningShare: 0.1, RandomFaults: i % 4, Faults: []Fault{
			{AtMS: 7_000, ForMS: 2_000, Kind: KillHost, Host: Owner},
			{AtMS: 20_000, ForMS: 1_500, Kind: CrashWorker, Worker: i % 8},
			{AtMS: 30_000, ForMS: 1_500, Kind: KillAll},
			{AtMS: 40_000, ForMS: 6_000, Kind: StoreDown, Host: AllHosts},
			{AtMS: 41_000, ForMS: 2_000, Kind: CrashWorkers},
			{AtMS: 44_000, ForMS: 2_000, Kind: CrashWorkers},
			{AtMS: 52_000, ForMS: 3_000, Kind: StoreLost, Host: AllHosts},
		},
	}
}

// TestTasksThatCrashWorkersAreGivenUp guards against tasks that crash each worker that
// starts them and are started without end, and against ordinary jobs that are given up
// because workers crashed under them.
func TestTasksThatCrashWorkersAreGivenUp(t *testing.T) {
	t.Parallel()
	var crashes atomic.Int64
	t.Cleanup(func() { must.Positive(t, crashes.Load()) })
	for i := range *days {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := playDay(t, crashPlan(i, seed))
			for _, v := range r.Violations {
				t.Log(v)
			}
			must.SliceEmpty(t, r.Violations, must.Sprintf("seed %d, faults %+v", seed, r.Faults))
			crashes.Add(int64(r.CrashesCaused))
		})
	}
}

// TestNoTaskWaitsAfterCrashes guards against tasks that could run and wait, on the days of
// TestTasksThatCrashWorkersAreGivenUp.
func TestNoTaskWaitsAfterCrashes(t *testing.T) {
	t.Parallel()
	for i := range *days {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := playDay(t, crashPlan(i, seed))
			must.SliceEmpty(t, r.Waiting, must.Sprintf("seed %d, faults %+v", seed, r.Faults))
		})
	}
}
