package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// TestUnreadableEntriesKeepShardInPlace: no host could read the workers' entries. Each offered
// the shard to the next one after 10 s, and it went from host to host.
func TestUnreadableEntriesKeepShardInPlace(t *testing.T) {
	for _, names := range [][]string{{"u", "v", "w"}, {"a", "b", "c"}} {
		for _, killed := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f, reached := newFleetWithWorkers(t, names...)
				for _, w := range reached {
					w.memoryMB.Store(1000)
				}
				time.Sleep(2 * time.Second)
				for _, w := range reached {
					w.unreadable.Store(true)
				}
				if killed {
					f.kill(names[0])
					f.awaitOwner(6*time.Second, func(owner string) bool { return owner != names[0] && owner != "" })
					time.Sleep(time.Second)
				}
				owner, claims := f.owner(), f.claims()
				must.Eq(t, []string{owner}, f.watchOwners(time.Minute))
				must.Eq(t, claims, f.claims())
				for name, w := range reached {
					w.unreadable.Store(name == owner)
				}
				f.awaitOwner(30*time.Second, func(now string) bool { return now != owner && now != "" })
				must.Len(t, 1, f.watchOwners(30*time.Second))
				must.Eq(t, claims+1, f.claims(), must.Sprint("a host that reads the entries takes over once"))
				f.stopAll()
			})
		}
	}
}

// TestRefusedRecordsKeepShardInPlace: the store took empty appends and no records. A host that
// took the shard over was as unable to record as the owner before, which it had fenced.
func TestRefusedRecordsKeepShardInPlace(t *testing.T) {
	for _, names := range [][]string{{"u", "v", "w"}, {"a", "b", "c"}} {
		synctest.Test(t, func(t *testing.T) {
			f, stores := newPartlySilentFleet(t, names...)
			silent := func(fails bool) {
				for _, s := range stores {
					s.silentRecords.Store(fails)
				}
			}
			cancelJob(t, f.nodes[names[1]], newJob(0), func() { stores[names[0]].silentRecords.Store(true) })
			silent(true)
			must.Eq(t, []string{names[0]}, f.watchOwners(time.Minute))
			must.Eq(t, 1, f.claims())
			silent(false)
			time.Sleep(handBackTimeout)
			must.Len(t, 1, f.watchOwners(30*time.Second))
			must.LessEq(t, 2, f.claims())
			f.stopAll()
		})
	}
}

// delayedStore is a store whose reads and appends take longer. It implements store.Store.
type delayedStore struct {
	store.Store
	delay *atomic.Int64
}

// Append implements store.Store.
func (s delayedStore) Append(ctx context.Context, p store.Partition, records []store.Record, w *store.Writer) (platform.Offset, error) {
	time.Sleep(time.Duration(s.delay.Load()))
	return s.Store.Append(ctx, p, records, w)
}

// Read implements store.Store.
func (s delayedStore) Read(ctx context.Context, p store.Partition, from platform.Offset, wait time.Duration) (store.Page, error) {
	time.Sleep(time.Duration(s.delay.Load()))
	return s.Store.Read(ctx, p, from, wait)
}

// TestSlowStoreAllowsTakeoverFromCutOffOwner: the connection to an owner whose machine was off
// took a second to fail, which left no time for a takeover while the store was slow.
func TestSlowStoreAllowsTakeoverFromCutOffOwner(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, 400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleetOf{testCluster: newTestCluster(), t: t, nodes: map[string]*Node{}}
			var current atomic.Int64
			views := map[string]*memstore.View{}
			for _, name := range []string{"u", "v", "w"} {
				f.wrap = func(s store.Store) store.Store {
					views[name] = s.(*memstore.View)
					return delayedStore{s, &current}
				}
				f.start(name)
				time.Sleep(3 * time.Second)
			}
			current.Store(int64(delay))
			time.Sleep(3 * time.Second)
			views["u"].Set(memstore.Unresponsive, 0)
			f.network.SetPartitioned(f.nodes["u"].Peer.Addr(), true)
			f.awaitOwner(2*time.Second+8*delay, func(string) bool {
				return f.nodes["v"].OwnsShard() || f.nodes["w"].OwnsShard()
			})
			f.stopAll()
		})
	}
}

// fullStore is a store that accepts no records. It implements store.Store.
type fullStore struct {
	store.Store
	full *atomic.Bool
}

// Append implements store.Store.
func (s fullStore) Append(ctx context.Context, p store.Partition, records []store.Record, w *store.Writer) (platform.Offset, error) {
	if s.full.Load() && len(records) > 0 {
		return 0, store.ErrFull
	}
	return s.Store.Append(ctx, p, records, w)
}

// TestFullStoreAllowsTakeover guards against a shard without an owner, and tasks without
// leases, because the owner died while the store was full.
func TestFullStoreAllowsTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleetOf{testCluster: newTestCluster(), t: t, nodes: map[string]*Node{}}
		var full atomic.Bool
		f.wrap = func(s store.Store) store.Store { return fullStore{s, &full} }
		f.start("u")
		time.Sleep(3 * time.Second)
		f.start("v")
		time.Sleep(3 * time.Second)
		full.Store(true)
		f.kill("u")
		f.awaitOwner(4*time.Second, func(owner string) bool { return owner == "v" })
		f.stopAll()
	})
}
