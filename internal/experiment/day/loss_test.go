package day

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// trafficEnd returns when the last job of a plan without random faults is submitted, in
// milliseconds of fault times.
func trafficEnd(p Plan) int64 {
	var sum time.Duration
	for _, gap := range callerGaps(p, rand.New(rand.NewPCG(p.Seed, 0))) {
		sum += gap
	}
	return sum.Milliseconds()
}

// runDayToFinish runs a day like runDay and fails the test on any task that waits at its finish.
func runDayToFinish(t *testing.T, p Plan) Report {
	t.Helper()
	r := playDay(t, p)
	for name, list := range map[string][]string{"broken": r.Violations, "waiting": r.Waiting, "waiting at the finish": r.WaitingAtFinish} {
		for _, v := range list[:min(len(list), 3)] {
			t.Log(v)
		}
		if len(list) > 0 {
			t.Errorf("seed %d: %d %s, faults %+v", p.Seed, len(list), name, r.Faults)
		}
	}
	return r
}

// TestTasksWaitForWorkersCutOffBeforeTakeover guards against tasks that wait at the finish for
// workers that were cut off before their owner's host was lost near the last submission.
func TestTasksWaitForWorkersCutOffBeforeTakeover(t *testing.T) {
	t.Parallel()
	for _, lead := range []int64{3500, 2000, 1000, 100} {
		t.Run(fmt.Sprint(lead), func(t *testing.T) {
			t.Parallel()
			p := Plan{
				Hosts: 3, Workers: 12, Seconds: 20, QuietSeconds: 45, JobsPerSecond: 4, LongRunningShare: 0.1,
				LongRunningStaySeconds: 20, Seed: 4,
			}
			lost := trafficEnd(p) - 1000
			p.Faults = []Fault{
				{AtMS: 6000, Kind: AddWorkers, WorkersPercent: 100},
				{AtMS: lost - lead, ForMS: 40_000, Kind: CutWorkers, WorkersPercent: 45},
				{AtMS: lost, Kind: LoseHost, Host: Owner},
			}
			r := runDayToFinish(t, p)
			t.Logf("next start %v after the owner's loss", r.NextStart[2])
			must.Eq(t, r.Jobs, r.Accepted)
		})
	}
}

// lossPlan draws a day on which a share of the workers is lost around a change of owners near
// the last submission.
func lossPlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 1))
	p := Plan{
		Hosts: 5, Workers: 12, Seconds: 20, QuietSeconds: 90, JobsPerSecond: 3, LongRunningShare: 0.1,
		LongRunningStaySeconds: 20, FillerShare: 0.15, Seed: seed,
	}
	end := trafficEnd(p)
	owner := drawOwnerLoss(random)
	owner.AtMS = end - 3000 + random.Int64N(4000)
	lost := Fault{
		AtMS: owner.AtMS - 8000 + random.Int64N(9000), ForMS: 40_000, Worker: random.IntN(p.Workers),
		Kind:           []Kind{CutWorkers, CutWorkers, DarkenWorkers, LoseWorkers, SilenceWorkers}[random.IntN(5)],
		WorkersPercent: 20 + random.IntN(61), KeepEntries: random.IntN(2) == 0,
	}
	if random.IntN(3) == 0 {
		lost.ForMS = 4000 + random.Int64N(16_000)
	}
	p.Faults = []Fault{{AtMS: 6000, Kind: AddWorkers, WorkersPercent: 100}, lost, owner}
	if random.IntN(3) == 0 {
		p.Faults = append(p.Faults, restartsInTurn(random, p.Hosts, owner.AtMS)...)
	}
	if random.IntN(3) == 0 {
		second := drawOwnerLoss(random)
		second.AtMS = owner.AtMS + 300 + random.Int64N(3700)
		p.Faults = append(p.Faults, second)
	}
	if random.IntN(3) == 0 {
		p.Faults = append(p.Faults, Fault{
			AtMS: owner.AtMS - 2000 + random.Int64N(2500), ForMS: 500 + random.Int64N(2500), Host: AllHosts,
			Kind: []Kind{StoreDown, StoreBusy, StoreSlow, StoreLost, StoreLate}[random.IntN(5)],
		})
	}
	return p
}

// drawOwnerLoss draws how the owner is lost.
func drawOwnerLoss(random *rand.Rand) Fault {
	f := Fault{Host: Owner, Kind: []Kind{LoseHost, KillHost, StallHost, StoreDown, CutHost, StopHost}[random.IntN(6)]}
	switch f.Kind {
	case KillHost:
		f.ForMS = 500 + random.Int64N(15_000)
	case StopHost:
		f.ForMS = 500 + random.Int64N(2000)
	default:
		f.ForMS = 2000 + random.Int64N(6000)
	}
	return f
}

// restartsInTurn restarts all hosts one after the other before a time, so that none of them
// knows the terms of earlier owners.
func restartsInTurn(random *rand.Rand, hosts int, before int64) []Fault {
	var list []Fault
	kind := []Kind{KillHost, StopHost}[random.IntN(2)]
	for i := range hosts {
		list = append(list, Fault{AtMS: before - int64(hosts-i)*1500, ForMS: 500, Kind: kind, Host: i})
	}
	return list
}

// TestRandomLossOfWorkersAcrossTakeovers guards against tasks that wait, run twice or are lost
// when a share of the workers is lost around changes of owners near the last submission.
func TestRandomLossOfWorkersAcrossTakeovers(t *testing.T) {
	t.Parallel()
	for i := range *days {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runDayToFinish(t, lossPlan(seed))
		})
	}
}

// TestWorkersThatRestartAtOnceBeforeChangesOfOwners guards against tasks that run twice when workers
// are back within the time that an answer may take, the owner is lost and they are cut off.
func TestWorkersThatRestartAtOnceBeforeChangesOfOwners(t *testing.T) {
	t.Parallel()
	for i := range min(*days, 6) {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 2))
			p := Plan{
				Hosts: 5, Workers: 24, Seconds: 40, QuietSeconds: 45, JobsPerSecond: 6, LongRunningShare: 0.2,
				LongRunningStaySeconds: 20, Seed: seed,
			}
			for at := int64(14_000); at < 40_000; at += 24_000 {
				down := 100 + random.Int64N(800)
				restart := Fault{AtMS: at, ForMS: down, Kind: DarkenWorkers, WorkersPercent: 33, Worker: random.IntN(p.Workers), KeepEntries: true}
				loss := drawOwnerLoss(random)
				loss.AtMS = at + down + random.Int64N(2000)
				cut := restart
				cut.Kind, cut.AtMS, cut.ForMS = CutWorkers, loss.AtMS+random.Int64N(600), 9000
				p.Faults = append(p.Faults, restart, loss, cut)
			}
			runDayToFinish(t, p)
		})
	}
}
