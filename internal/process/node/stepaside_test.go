package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// partlySilentStore is a store that answers joins, and no reads or appends of the shard's
// partition while they are silent; silentRecords are the appends that contain records. It
// refuses all appends while refusedAppends is set.
type partlySilentStore struct {
	store.Store
	silentReads, silentAppends, silentRecords, refusedAppends atomic.Bool
}

// silence waits as long as a call does that gets no answer.
func silence(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(1500 * time.Millisecond):
	}
	return platform.ErrOutcomeUnknown
}

// Read implements store.Store.
func (s *partlySilentStore) Read(ctx context.Context, p store.Partition, from platform.Offset, wait time.Duration) (store.Page, error) {
	if s.silentReads.Load() {
		return store.Page{}, silence(ctx)
	}
	return s.Store.Read(ctx, p, from, wait)
}

// Append implements store.Store.
func (s *partlySilentStore) Append(ctx context.Context, p store.Partition, records []store.Record, w *store.Writer) (platform.Offset, error) {
	if s.silentAppends.Load() || s.silentRecords.Load() && len(records) > 0 {
		return 0, silence(ctx)
	}
	if s.refusedAppends.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.Append(ctx, p, records, w)
}

// TestOwnerThatCannotActLeavesShardToOthers: the store answered the joins of the owner, but
// not its reads, or never its first record. It kept the shard and started nothing.
func TestOwnerThatCannotActLeavesShardToOthers(t *testing.T) {
	for _, names := range [][]string{{"u", "v", "w"}, {"a", "b", "c"}} {
		isLast := func(owner string) bool { return owner == names[2] }
		synctest.Test(t, func(t *testing.T) {
			f, stores := newPartlySilentFleet(t, names...)
			f.kill(names[1])
			stores[names[0]].silentReads.Store(true)
			f.awaitOwner(scheduler.AuthorityWindow+maxUnable+4*time.Second, isLast)
			must.Eq(t, []string{names[2]}, f.watchOwners(20*time.Second))
			must.Eq(t, 2, f.claims())
			f.stopAll()
		})
		synctest.Test(t, func(t *testing.T) {
			f, stores := newPartlySilentFleet(t, names...)
			stores[names[1]].silentRecords.Store(true)
			f.kill(names[0])
			f.awaitOwner(maxUnable+6*time.Second, isLast)
			must.Eq(t, []string{names[2]}, f.watchOwners(20*time.Second))
			must.Eq(t, 2, f.claims())
			f.stopAll()
		})
	}
}

// failingAppends are the ways in which a store takes no records of a host whose joins it
// answers.
var failingAppends = map[string]func(*partlySilentStore) *atomic.Bool{
	"silent":  func(s *partlySilentStore) *atomic.Bool { return &s.silentAppends },
	"refused": func(s *partlySilentStore) *atomic.Bool { return &s.refusedAppends },
}

// cancelJob submits a job and cancels it through the host, so that the owner has an end to
// record.
func cancelJob(t *testing.T, n *Node, id job.ID, beforeCancel func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	must.NoError(t, n.Submit(ctx, id, submission()))
	beforeCancel()
	must.NoError(t, n.Cancel(ctx, id))
}

// TestOwnerThatCannotRecordLeavesShardToOthers: the store answered the joins and reads of the
// owner, but not its appends, or refused them. It kept the shard and recorded no end.
func TestOwnerThatCannotRecordLeavesShardToOthers(t *testing.T) {
	for kind, fault := range failingAppends {
		for _, names := range [][]string{{"u", "v", "w"}, {"a", "b", "c"}} {
			t.Run(kind+" "+names[0], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, stores := newPartlySilentFleet(t, names...)
					cancelJob(t, f.nodes[names[1]], oldJob(0), func() { fault(stores[names[0]]).Store(true) })
					f.awaitOwner(maxUnable+10*time.Second, func(owner string) bool { return owner != "" && owner != names[0] })
					must.Eq(t, []string{f.owner()}, f.watchOwners(40*time.Second))
					must.Eq(t, 2, f.claims())
					progress, known := f.nodes[names[2]].table.Get(oldJob(0))
					must.True(t, known)
					must.Eq(t, job.Cancelled, progress.Progress.State)
					f.stopAll()
				})
			})
		}
	}
}

// TestOutageOfAppendsKeepsShardInPlace guards against a shard that goes from host to host
// because appends fail now and then, or for all hosts.
func TestOutageOfAppendsKeepsShardInPlace(t *testing.T) {
	for kind, fault := range failingAppends {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, stores := newPartlySilentFleet(t, "u", "v", "w")
				failing := func(fails bool) {
					for _, s := range stores {
						fault(s).Store(fails)
					}
				}
				for i := range 4 {
					cancelJob(t, f.nodes["v"], oldJob(i), func() { fault(stores["u"]).Store(true) })
					must.Eq(t, []string{"u"}, f.watchOwners(maxUnable/2))
					failing(false)
					must.Eq(t, []string{"u"}, f.watchOwners(3*time.Second))
				}
				must.Eq(t, 1, f.claims())
				cancelJob(t, f.nodes["v"], newJob(0), func() { fault(stores["u"]).Store(true) })
				failing(true)
				must.Eq(t, []string{"u"}, f.watchOwners(time.Minute))
				failing(false)
				time.Sleep(handBackTimeout)
				must.Eq(t, []string{f.owner()}, f.watchOwners(30*time.Second))
				must.LessEq(t, 2, f.claims())
				f.stopAll()
			})
		})
	}
}

// TestOwnerOutlastsSilentPartition guards against an owner that gives the shard up during an
// outage that it could bridge, and against a shard that then goes from host to host.
func TestOwnerOutlastsSilentPartition(t *testing.T) {
	for _, outage := range []time.Duration{9 * time.Second, 40 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f, stores := newPartlySilentFleet(t, "u", "v", "w")
			for _, s := range stores {
				s.silentReads.Store(true)
				s.silentAppends.Store(true)
			}
			time.Sleep(outage)
			must.Eq(t, 1, f.claims())
			must.Eq(t, outage < maxUnable, f.owner() == "u")
			for _, s := range stores {
				s.silentReads.Store(false)
				s.silentAppends.Store(false)
			}
			f.awaitOwner(4*time.Second, func(owner string) bool { return owner != "" })
			must.Len(t, 1, f.watchOwners(20*time.Second))
			must.LessEq(t, 2, f.claims())
			f.stopAll()
		})
	}
}

// newPartlySilentFleet starts hosts. The store prefers the first ones, and the first one
// owns the shard.
func newPartlySilentFleet(t *testing.T, names ...string) (*fleetOf, map[string]*partlySilentStore) {
	f := &fleetOf{testCluster: newTestCluster(), t: t, nodes: map[string]*Node{}}
	stores := map[string]*partlySilentStore{}
	for _, name := range names {
		f.wrap = func(s store.Store) store.Store {
			stores[name] = &partlySilentStore{Store: s}
			return stores[name]
		}
		f.start(name)
		time.Sleep(3 * time.Second)
	}
	must.Eq(t, names[0], f.owner())
	return f, stores
}

// TestHostThatCannotTakeOverLeavesShardToOthers: the store assigned the shard to a host
// whose joins it answered, but not its reads or appends, and jobs waited without end
// beside hosts that could have taken over.
func TestHostThatCannotTakeOverLeavesShardToOthers(t *testing.T) {
	silences := []func(*partlySilentStore){
		func(s *partlySilentStore) { s.silentReads.Store(true) },
		func(s *partlySilentStore) { s.silentAppends.Store(true) },
	}
	for _, names := range [][]string{{"u", "v", "w", "x"}, {"a", "b", "c", "d"}} {
		for _, silence := range silences {
			synctest.Test(t, func(t *testing.T) {
				f, stores := newPartlySilentFleet(t, names...)
				silence(stores[names[1]])
				silence(stores[names[2]])
				f.kill(names[0])
				able := names[3]
				f.awaitOwner(15*time.Second, func(owner string) bool { return owner == able })
				must.Eq(t, []string{able}, f.watchOwners(20*time.Second))
				must.Eq(t, 2, f.claims())
				f.stopAll()
			})
		}
	}
}

// TestSilentPartitionEndsInOneTakeover guards against hosts that are all out of the group
// when a partition that was silent for all of them answers again, and against a shard that
// then goes from one to the other.
func TestSilentPartitionEndsInOneTakeover(t *testing.T) {
	for _, outage := range []time.Duration{4 * time.Second, 15 * time.Second, 31 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f, stores := newPartlySilentFleet(t, "u", "v", "w")
			for _, s := range stores {
				s.silentReads.Store(true)
				s.silentAppends.Store(true)
			}
			f.kill("u")
			time.Sleep(outage)
			for _, s := range stores {
				s.silentReads.Store(false)
				s.silentAppends.Store(false)
			}
			f.awaitOwner(4*time.Second, func(owner string) bool { return owner != "" })
			must.Len(t, 1, f.watchOwners(20*time.Second))
			must.Eq(t, 2, f.claims())
			for _, n := range f.nodes {
				must.LessEq(t, 2, metrics.GetOrRegisterCounter("shard.stepped_aside", n.Metrics).Count())
			}
			f.stopAll()
		})
	}
}

// TestLoneHostTakesOverAfterSilence guards against a host that is out of the group for long
// although there is no other.
func TestLoneHostTakesOverAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		silent := &partlySilentStore{Store: c.view("h1")}
		c.wrap = func(store.Store) store.Store { return silent }
		silent.silentAppends.Store(true)
		n := c.startHost(t, "h1", 1)
		time.Sleep(40 * time.Second)
		must.False(t, n.OwnsShard())
		silent.silentAppends.Store(false)
		time.Sleep(maxStepAside + 2*time.Second)
		must.True(t, n.OwnsShard())
		c.stop(n)
	})
}
