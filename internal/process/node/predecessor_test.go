package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// TestNewOwnerHearsThatEarlierOneHasEnded: a new owner waited for the time for which the one
// before might act, although that one's process had been started again or had given up.
func TestNewOwnerHearsThatEarlierOneHasEnded(t *testing.T) {
	told := func(n *Node) int64 {
		return metrics.GetOrRegisterCounter("shard.predecessor_ended", n.Metrics).Count()
	}
	// Each case ends the owner; other is the name of the other host.
	cases := map[string]struct {
		end  func(f *fleetOf, owner, other string)
		told int64
	}{
		"gave up": {func(f *fleetOf, owner, _ string) { f.nodes[owner].ownedDispatcher().Relinquish(errNotOwner) }, 1},
		"started again": {func(f *fleetOf, owner, _ string) {
			f.kill(owner)
			time.Sleep(3 * time.Second)
			f.start(owner)
		}, 1},
		"all started again": {func(f *fleetOf, owner, other string) {
			f.kill(owner, other)
			time.Sleep(time.Second)
			f.start(other)
			f.start(owner)
		}, 1},
		"alone started again": {func(f *fleetOf, owner, other string) {
			f.kill(owner, other)
			time.Sleep(time.Second)
			f.start(owner)
		}, 1},
		"does not answer": {func(f *fleetOf, owner, _ string) { f.kill(owner) }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "x", "y")
				f.awaitClaim(2*time.Second, isWide)
				first, other := f.ownerAndOther()
				must.Zero(t, told(f.nodes[first]))
				c.end(f, first, other)
				time.Sleep(4 * time.Second)
				owner := f.nodes[f.owner()]
				must.Eq(t, 2, owner.ownedDispatcher().Ownership.Claim)
				must.Eq(t, c.told, told(owner))
				time.Sleep(scheduler.AuthorityBound)
				f.stopAll()
			})
		})
	}
}

// TestLiveOwnerHasNotEnded: the answer of a host whose owner still acts shortens no wait, nor
// does that of another host at the owner's address.
func TestLiveOwnerHasNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "x", "y")
		f.awaitOwner(2*time.Second, isWide)
		time.Sleep(time.Second)
		first, second := f.ownerAndOther()
		acting, other := f.nodes[first], f.nodes[second]
		owner := other.table.Owner()
		must.False(t, other.hasEnded(owner))
		must.False(t, acting.isIdle())
		must.True(t, other.isIdle())
		other.takingOver.Store(true)
		must.False(t, other.isIdle())
		other.takingOver.Store(false)
		other.releasing.Add(1)
		must.False(t, other.isIdle())
		other.releasing.Add(-1)
		owner.Addr = other.Peer.String()
		must.False(t, acting.hasEnded(owner))
		must.False(t, other.hasEnded(owner))
		f.stopAll()
	})
}

// ownerAndOther returns the names of the owner and the other one of two hosts x and y.
func (f *fleetOf) ownerAndOther() (owner, other string) {
	if f.owner() == "x" {
		return "x", "y"
	}
	return "y", "x"
}

// TestNewOwnerHearsThatOwnerBeforeLastHasEnded: after two changes of owners a new owner only asked
// the last one before it, and waited for the time for which the one before that might act.
func TestNewOwnerHearsThatOwnerBeforeLastHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "x", "y", "z")
		f.awaitClaim(2*time.Second, isWide)
		first := f.owner()
		f.setCutOff(first, true)
		f.awaitClaim(4*time.Second, func(owner string) bool { return owner != first })
		second := f.owner()
		f.kill(second)
		f.awaitClaim(4*time.Second, func(owner string) bool { return owner != first })
		third := f.nodes[f.owner()]
		must.Eq(t, 3, third.ownedDispatcher().Ownership.Claim)
		told := metrics.GetOrRegisterCounter("shard.predecessor_ended", third.Metrics)
		must.Zero(t, told.Count())
		f.setCutOff(first, false)
		time.Sleep(4 * time.Second)
		must.Eq(t, 1, told.Count())
		f.stopAll()
	})
}

// setCutOff cuts a host off from the other hosts and the store, or connects it again.
func (f *fleetOf) setCutOff(name string, cutOff bool) {
	mode := memstore.Healthy
	if cutOff {
		mode = memstore.Unresponsive
	}
	f.network.SetPartitioned(f.nodes[name].Peer.Addr(), cutOff)
	f.nodes[name].Store.(*instrumentedStore).Store.(*memstore.View).Set(mode, 0)
}
