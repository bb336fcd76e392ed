package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// newFleetWithViews starts hosts, of which the first one owns the shard, and returns how each
// sees the store.
func newFleetWithViews(t *testing.T, names ...string) (*fleetOf, map[string]*memstore.View) {
	f := &fleetOf{testCluster: newTestCluster(), t: t, nodes: map[string]*Node{}}
	views := map[string]*memstore.View{}
	for _, name := range names {
		f.wrap = func(s store.Store) store.Store {
			views[name] = s.(*memstore.View)
			return s
		}
		f.start(name)
		time.Sleep(3 * time.Second)
	}
	must.Eq(t, names[0], f.owner())
	return f, views
}

// submitUntil submits jobs through a host, two a second, until ctx is done.
func submitUntil(ctx context.Context, n *Node) {
	for i := 0; ctx.Err() == nil; i++ {
		call, cancel := context.WithTimeout(ctx, 3*time.Second)
		// During an outage some fail.
		_ = n.Submit(call, newJob(i), submission())
		cancel()
		time.Sleep(500 * time.Millisecond)
	}
}

// TestOwnerThatAloneGetsNoAnswersLeavesShardToOthers: the store carried out the joins of the
// owner, but their answers were lost. It kept the shard until the answers were back, and
// knew neither the jobs nor the workers' entries that other hosts could read.
func TestOwnerThatAloneGetsNoAnswersLeavesShardToOthers(t *testing.T) {
	for _, names := range [][]string{{"u", "v", "w"}, {"a", "b", "c"}, {"u", "a"}} {
		synctest.Test(t, func(t *testing.T) {
			f, views := newFleetWithViews(t, names...)
			ctx, cancel := context.WithCancel(t.Context())
			go submitUntil(ctx, f.nodes[names[1]])
			views[names[0]].Set(memstore.LoseReplies, 0)
			f.awaitOwner(maxOutOfTouch+5*time.Second, func(owner string) bool { return owner != names[0] && owner != "" })
			must.Eq(t, []string{f.owner()}, f.watchOwners(20*time.Second))
			must.Eq(t, 2, f.claims())
			cancel()
			f.stopAll()
		})
	}
}

// TestLostAnswersKeepOwnerThatIsNoWorseOff guards against a shard that changes hands because
// the answers to all hosts are lost, or those to its owner for a short time.
func TestLostAnswersKeepOwnerThatIsNoWorseOff(t *testing.T) {
	for name, lost := range map[string]struct {
		hosts []string
		time  time.Duration
	}{
		"all hosts": {[]string{"u", "v", "w"}, 8 * time.Second},
		"briefly":   {[]string{"u"}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, views := newFleetWithViews(t, "u", "v", "w")
				ctx, cancel := context.WithCancel(t.Context())
				go submitUntil(ctx, f.nodes["v"])
				for range 3 {
					for _, host := range lost.hosts {
						views[host].Set(memstore.LoseReplies, 0)
					}
					time.Sleep(lost.time)
					for _, host := range lost.hosts {
						views[host].Set(memstore.Healthy, 0)
					}
					must.Eq(t, []string{"u"}, f.watchOwners(5*time.Second))
				}
				must.Eq(t, 1, f.claims())
				cancel()
				f.stopAll()
			})
		})
	}
}
