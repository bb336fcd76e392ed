package node

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/process/pause"
)

// testWorkers are workers that run nothing, as one host reaches them. They implement
// fleet.Workers and fleet.Registry.
type testWorkers struct {
	started time.Time
	count   int
	// reachable is the number of workers that answer.
	reachable atomic.Int32
	// memoryMB and milliCPU are the capacity of each worker. The entries cannot be read while
	// unreadable is set.
	memoryMB, milliCPU atomic.Int64
	unreadable         atomic.Bool
}

func newTestWorkers(count int) *testWorkers {
	w := &testWorkers{started: time.Now(), count: count}
	w.reachable.Store(int32(count))
	return w
}

func workerNumber(id platform.WorkerID) (n int32) {
	fmt.Sscanf(string(id), "w%d", &n)
	return n
}

// Next implements fleet.Registry.
func (w *testWorkers) Next(ctx context.Context) (fleet.Changes, error) {
	if w.unreadable.Load() {
		return fleet.Changes{}, silence(ctx)
	}
	c := fleet.Changes{All: true}
	for i := range w.count {
		c.Set = append(c.Set, fleet.Worker{
			ID: platform.WorkerID(fmt.Sprintf("w%d", i)), Service: "s", Started: 1,
			Addr:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i + 1)}), 80),
			Capacity: platform.Resources{MemoryMB: w.memoryMB.Load(), MilliCPU: w.milliCPU.Load()},
		})
	}
	return c, nil
}

// Renew implements fleet.Workers.
func (w *testWorkers) Renew(ctx context.Context, worker fleet.Worker, o fleet.RenewOrder) (fleet.RenewReply, error) {
	if err := pause.For(ctx, o.Wait+5*time.Millisecond); err != nil {
		return fleet.RenewReply{}, platform.ErrOutcomeUnknown
	}
	if workerNumber(worker.ID) >= w.reachable.Load() {
		return fleet.RenewReply{}, silence(ctx)
	}
	return fleet.RenewReply{Verdict: fleet.Accepted, Clock: platform.WorkerTime(time.Since(w.started)), Started: 1}, nil
}

// Start implements fleet.Workers.
func (*testWorkers) Start(context.Context, fleet.Worker, fleet.StartOrder) (fleet.Answer, error) {
	return fleet.Answer{Verdict: fleet.RefusedCapacity}, nil
}

// Stop implements fleet.Workers.
func (*testWorkers) Stop(context.Context, fleet.Worker, fleet.StopOrder) (fleet.Answer, error) {
	return fleet.Answer{Verdict: fleet.Accepted}, nil
}

// Throttle implements fleet.Workers.
func (*testWorkers) Throttle(context.Context, fleet.Worker, fleet.ThrottleOrder) (fleet.Answer, error) {
	return fleet.Answer{Verdict: fleet.Accepted}, nil
}

// newFleetWithWorkers starts hosts; the first one owns the shard.
func newFleetWithWorkers(t *testing.T, names ...string) (*fleetOf, map[string]*testWorkers) {
	f := &fleetOf{testCluster: newTestCluster(), t: t, nodes: map[string]*Node{}}
	reached := map[string]*testWorkers{}
	f.workers = func(host string) *testWorkers {
		reached[host] = newTestWorkers(10)
		return reached[host]
	}
	for _, name := range names {
		f.start(name)
		time.Sleep(3 * time.Second)
	}
	must.Eq(t, names[0], f.owner())
	return f, reached
}

// TestOwnerCutOffFromWorkersLeavesShardToOthers: the owner reached the store and the other
// hosts, but nearly no worker. All work stopped as long as the cut lasted. A preferred host
// must not claim the shard back from a standby host, which does reach them.
func TestOwnerCutOffFromWorkersLeavesShardToOthers(t *testing.T) {
	for _, names := range [][]string{{"u", "v", "w"}, {"a", "b", "c"}, {"x", "a"}} {
		synctest.Test(t, func(t *testing.T) {
			f, reached := newFleetWithWorkers(t, names...)
			reached[names[0]].reachable.Store(1)
			f.awaitOwner(maxUnable+10*time.Second, func(owner string) bool { return owner != "" && owner != names[0] })
			must.Eq(t, []string{f.owner()}, f.watchOwners(40*time.Second))
			must.Eq(t, 2, f.claims())
			f.stopAll()
		})
	}
}

// TestPartOfWorkersKeepsOwner guards against a shard that goes from host to host because
// workers are lost, or cut off from all hosts.
func TestPartOfWorkersKeepsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, reached := newFleetWithWorkers(t, "u", "v", "w")
		for _, w := range reached {
			w.reachable.Store(2)
		}
		must.Eq(t, []string{"u"}, f.watchOwners(60*time.Second))
		for _, w := range reached {
			w.reachable.Store(0)
		}
		time.Sleep(time.Minute)
		must.LessEq(t, 6, f.claims(), must.Sprint("one change in 10 s"))
		for _, w := range reached {
			w.reachable.Store(10)
		}
		time.Sleep(3 * time.Second)
		must.Len(t, 1, f.watchOwners(30*time.Second))
		f.stopAll()
	})
}

// TestLoneOwnerKeepsShardWithoutWorkers: the only host reached few workers, or not their entries.
// It left the shard to nobody, again and again, and nothing ran on those that it did reach.
func TestLoneOwnerKeepsShardWithoutWorkers(t *testing.T) {
	for _, name := range []string{"u", "a"} {
		for kind, fault := range map[string]func(*testWorkers){
			"workers": func(w *testWorkers) { w.reachable.Store(1) },
			"entries": func(w *testWorkers) { w.memoryMB.Store(1000); time.Sleep(2 * time.Second); w.unreadable.Store(true) },
		} {
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, reached := newFleetWithWorkers(t, name)
					fault(reached[name])
					without := time.Duration(0)
					for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
						if f.owner() == "" {
							without += 10 * time.Millisecond
						}
					}
					must.Zero(t, without)
					must.Eq(t, 1, f.claims())
					f.stopAll()
				})
			})
		}
	}
}

// TestOwnerWithoutEntriesLeavesShardToOthers: capacities had changed before, and the owner
// could not read the workers' entries any more. It started nothing and kept the shard.
func TestOwnerWithoutEntriesLeavesShardToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, reached := newFleetWithWorkers(t, "u", "v")
		for _, w := range reached {
			w.memoryMB.Store(1000)
		}
		time.Sleep(2 * time.Second)
		reached["u"].unreadable.Store(true)
		f.awaitOwner(maxUnable+10*time.Second, func(owner string) bool { return owner == "v" })
		must.Eq(t, []string{"v"}, f.watchOwners(20*time.Second))
		f.stopAll()
	})
}
