package node

import (
	"errors"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/dispatch"
	"github.com/siskinvane/siskinvane/internal/process/peer"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

const (
	narrowLink = 10.0
	wideLink   = 200.0
)

// fleetOf is a set of hosts of a testCluster. Hosts a, b, ... have narrow links, hosts
// x, y, ... wide ones; the store prefers the first names.
type fleetOf struct {
	*testCluster
	t     *testing.T
	nodes map[string]*Node
}

func newFleet(t *testing.T, names ...string) *fleetOf {
	f := &fleetOf{testCluster: newTestCluster(), t: t, nodes: map[string]*Node{}}
	for _, name := range names {
		f.start(name)
	}
	return f
}

func (f *fleetOf) start(name string) {
	link := narrowLink
	if name >= "n" {
		link = wideLink
	}
	f.nodes[name] = f.startLinkedHost(f.t, name, name[0], link)
}

// kill ends hosts without an orderly shutdown.
func (f *fleetOf) kill(names ...string) {
	for _, name := range names {
		n := f.nodes[name]
		delete(f.nodes, name)
		f.network.Kill(n.Peer.Addr())
		n.Stop()
	}
}

// stopAll stops all hosts and lets calls in flight end.
func (f *fleetOf) stopAll() {
	for _, n := range f.nodes {
		n.Stop()
	}
	time.Sleep(time.Minute)
}

// owner returns the name of the host that owns the shard under the highest epoch, or
// "".
func (f *fleetOf) owner() string {
	name, epoch := "", platform.Epoch(0)
	for host, n := range f.nodes {
		if d := n.ownedDispatcher(); d != nil && d.Err() == nil && d.Ownership.Epoch > epoch {
			name, epoch = host, d.Ownership.Epoch
		}
	}
	return name
}

// awaitOwner returns the time until the owner satisfies ok.
func (f *fleetOf) awaitOwner(limit time.Duration, ok func(owner string) bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !ok(f.owner()) {
		must.Less(f.t, limit, time.Since(began), must.Sprintf("owner %q", f.owner()))
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// awaitClaim returns once the owner satisfies ok and its ownership is in the log. An owner that is
// killed earlier leaves no trace, so the next one's claim has the same number.
func (f *fleetOf) awaitClaim(limit time.Duration, ok func(owner string) bool) {
	f.t.Helper()
	f.awaitOwner(limit, func(owner string) bool {
		if owner == "" || !ok(owner) {
			return false
		}
		d := f.nodes[owner].ownedDispatcher()
		return d != nil && !errors.Is(d.Unable(), dispatch.ErrNotClaimed)
	})
}

// watchOwners returns the hosts that own the shard in the given time, in order.
func (f *fleetOf) watchOwners(d time.Duration) []string {
	var seen []string
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if o := f.owner(); o != "" && (len(seen) == 0 || seen[len(seen)-1] != o) {
			seen = append(seen, o)
		}
	}
	return seen
}

func isNarrow(owner string) bool { return owner != "" && owner < "n" }
func isWide(owner string) bool   { return owner >= "n" }

// claims returns the number of owners so far.
func (f *fleetOf) claims() uint32 {
	claim := uint32(0)
	for _, n := range f.nodes {
		claim = max(claim, n.table.Owner().Claim)
	}
	return claim
}

// TestNarrowHostLeavesShardToWideOne guards against an owner whose link is too narrow
// for its orders while a host with a wide link lives: at the start, after the owner was
// killed, and after all hosts were killed and started again, whoever was the last owner.
func TestNarrowHostLeavesShardToWideOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "x", "y")
		must.Less(t, time.Second, f.awaitOwner(time.Second, isWide))
		for _, owner := range f.watchOwners(6 * time.Second) {
			must.True(t, isWide(owner))
		}
		must.Eq(t, 1, f.claims())
		f.kill(f.owner())
		must.Less(t, 1500*time.Millisecond, f.awaitOwner(2*time.Second, isWide))
		must.Len(t, 1, f.watchOwners(6*time.Second))
		must.Eq(t, 2, f.claims())
		f.kill("a", "b", "c", f.owner())
		for _, name := range []string{"a", "b", "c", "x", "y"} {
			f.start(name)
		}
		must.Len(t, 1, f.watchOwners(6*time.Second))
		must.True(t, isWide(f.owner()))
		must.Eq(t, 3, f.claims())
		f.kill("x", "y")
		f.awaitOwner(3*time.Second, isNarrow)
		time.Sleep(time.Second)
		f.kill("a", "b", "c")
		for _, name := range []string{"a", "b", "c", "x", "y"} {
			f.start(name)
		}
		must.Len(t, 1, f.watchOwners(6*time.Second))
		must.True(t, isWide(f.owner()))
		must.Eq(t, 5, f.claims())
		f.stopAll()
	})
}

// TestNarrowHostsAloneTakeOver guards against a deployment without wide links whose
// shard stays without an owner for longer than the store needs to notice a lost one.
func TestNarrowHostsAloneTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		must.Less(t, 2500*time.Millisecond, f.awaitOwner(3*time.Second, isNarrow))
		for range 10 {
			time.Sleep(3700 * time.Millisecond)
			killed := f.owner()
			f.kill(killed)
			must.Less(t, 1800*time.Millisecond, f.awaitOwner(3*time.Second, isNarrow))
			f.start(killed)
		}
		time.Sleep(5 * time.Second)
		must.Eq(t, 11, f.claims())
		f.stopAll()
	})
}

// TestNarrowHostTakesOverFromCutOnes guards against a shard without an owner while all
// hosts with wide links live but do not reach the store.
func TestNarrowHostTakesOverFromCutOnes(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "a", "b", "x", "y")
			time.Sleep(3 * time.Second)
			must.True(t, isWide(f.owner()))
			for _, name := range []string{"x", "y"} {
				f.view(name).Set(memstore.Unresponsive, 0)
				f.network.SetPartitioned(f.nodes[name].Peer.Addr(), partitioned)
			}
			must.Less(t, 3*time.Second, f.awaitOwner(4*time.Second, isNarrow))
			f.stopAll()
		})
	}
}

// TestShardReturnsToWideHost guards against a narrow host that keeps the shard, or
// leaves it without an owner, once a host with a wide link is back. The owner changes
// exactly once, also with a slow store.
func TestShardReturnsToWideHost(t *testing.T) {
	for _, appendTime := range []time.Duration{0, 600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "a", "b", "c")
			time.Sleep(5 * time.Second)
			narrow := f.owner()
			must.True(t, isNarrow(narrow))
			f.store.SetAppendTime(appendTime)
			f.start("x")
			ownerless := time.Duration(0)
			began := time.Now()
			for f.owner() != "x" {
				must.Less(t, 4*time.Second, time.Since(began))
				time.Sleep(5 * time.Millisecond)
				if f.owner() == "" {
					ownerless += 5 * time.Millisecond
				}
			}
			must.LessEq(t, 50*time.Millisecond, ownerless)
			must.Eq(t, []string{"x"}, f.watchOwners(15*time.Second))
			must.Eq(t, 2, f.claims())
			must.False(t, f.nodes[narrow].OwnsShard())
			must.Less(t, time.Second, f.nodes[narrow].Outage())
			f.stopAll()
		})
	}
}

// TestUnclaimedShardStaysWithNarrowOwner guards against a narrow owner that gives the
// shard up to a wide host which cannot take it over, and against attempts in quick
// succession.
func TestUnclaimedShardStaysWithNarrowOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		time.Sleep(5 * time.Second)
		narrow := f.owner()
		began := time.Now()
		for time.Since(began) < 30*time.Second {
			n := f.nodes[narrow]
			must.NoError(t, (&Service{node: n}).Offer(OfferArgs{Host: "x", Epoch: n.table.Owner().Epoch}, &Empty{}))
			time.Sleep(500 * time.Millisecond)
			must.Eq(t, narrow, f.owner())
		}
		must.Eq(t, 1, f.claims())
		must.Between(t, 2, metrics.GetOrRegisterCounter("shard.hand_back_tried", f.nodes[narrow].Metrics).Count(), 3)
		must.Less(t, ownerJoinMaxAge, f.nodes[narrow].storeAge())
		f.stopAll()
	})
}

// TestStoreOutageKeepsOrderOfHosts guards against narrow hosts that join as soon as a
// store outage ends: the owner was silent for its duration.
func TestStoreOutageKeepsOrderOfHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "x", "y")
		time.Sleep(3 * time.Second)
		owner := f.owner()
		for _, outage := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			for name := range f.nodes {
				f.view(name).Set(memstore.Busy, 0)
			}
			time.Sleep(outage)
			f.kill(owner)
			for name := range f.nodes {
				f.view(name).Set(memstore.Healthy, 0)
			}
			f.start(owner)
			f.view(owner).Set(memstore.Healthy, 0)
			f.awaitOwner(2*time.Second, isWide)
			owner = f.owner()
			must.Eq(t, []string{owner}, f.watchOwners(5*time.Second))
		}
		f.stopAll()
	})
}

// TestPlannedStopPassesShardOn guards against a gap when the only preferred owner, or a
// narrow owner, is stopped as planned.
func TestPlannedStopPassesShardOn(t *testing.T) {
	for _, hosts := range [][]string{{"a", "b", "x"}, {"a", "b"}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, hosts...)
			time.Sleep(5 * time.Second)
			first := f.owner()
			took, err := leave(f.nodes[first], 4800*time.Millisecond)
			must.NoError(t, err)
			must.Less(t, 3200*time.Millisecond, took)
			f.awaitOwner(100*time.Millisecond, isNarrow)
			must.NotEq(t, first, f.owner())
			f.stopAll()
		})
	}
}

// TestUnknownLinksChangeNothing guards against hosts without a known link that take
// part in the choice: all are members of the group at all times.
func TestUnknownLinksChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		first, second := c.startPair(t)
		must.False(t, first.table.Owner().Standby)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			must.Less(t, ownerJoinMaxAge, second.member.ConfirmationAge())
		}
		c.network.Kill(first.Peer.Addr())
		first.Stop()
		time.Sleep(1300 * time.Millisecond)
		must.True(t, second.OwnsShard())
		c.stop(second)
	})
}

// earlierHost serves the calls that hosts of earlier versions know. It fails Written
// unless confirmed is set.
type earlierHost struct{ confirmed atomic.Bool }

// Written is like Service.Written.
func (h *earlierHost) Written(WrittenArgs, *Empty) error {
	if !h.confirmed.Load() {
		return errNotOwner
	}
	return nil
}

// TestOwnerOfEarlierVersionCountsAsAlive guards against a narrow host that takes an
// owner for lost because it does not know the call that asks whether it is alive, and
// against one that then never takes it for lost.
func TestOwnerOfEarlierVersionCountsAsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "x")
		time.Sleep(time.Second)
		x := f.nodes["x"]
		f.kill("x")
		earlier := &earlierHost{}
		earlier.confirmed.Store(true)
		server, err := peer.ListenOn(f.network.Host(x.Peer.Addr()), x.Peer, peerService, earlier)
		must.NoError(t, err)
		server.Start()
		time.Sleep(8 * time.Second)
		must.Eq(t, "", f.owner())
		earlier.confirmed.Store(false)
		must.Less(t, 3*time.Second, f.awaitOwner(3*time.Second, isNarrow))
		server.Close()
		f.stopAll()
	})
}

// TestUnknownMethod: only the answer of a host that does not know a method counts as
// such.
func TestUnknownMethod(t *testing.T) {
	must.True(t, unknownMethod(platform.WrapCall("x", "y", rpc.ServerError("rpc: can't find method Shard.Owning"))))
	must.False(t, unknownMethod(rpc.ServerError(errNotOwner.Error())))
	must.False(t, unknownMethod(errors.New("connection refused")))
	must.False(t, unknownMethod(nil))
}

// TestOwnershipOfOtherVersions guards against ownership records that hosts of an earlier
// version cannot read, or whose records this one cannot.
func TestOwnershipOfOtherVersions(t *testing.T) {
	type earlierOwnership struct {
		Released bool           `cbor:"5,keyasint,omitempty"`
		Host     string         `cbor:"1,keyasint"`
		Addr     string         `cbor:"2,keyasint"`
		Epoch    platform.Epoch `cbor:"3,keyasint"`
		Claim    uint32         `cbor:"4,keyasint"`
	}
	earlier := earlierOwnership{Host: "h", Addr: "127.0.0.1:1", Epoch: 3, Claim: 2}
	current := job.Ownership{Host: "h", Addr: "127.0.0.1:1", Epoch: 3, Claim: 2, Standby: true}
	r, err := job.OwnershipRecord(current, []job.PastTerm{{Claim: 1, ReplacedAge: time.Second}})
	must.NoError(t, err)
	var read earlierOwnership
	must.NoError(t, cbor.Unmarshal(r.Value, &read))
	must.Eq(t, earlier, read)
	r.Value, err = cbor.Marshal(earlier)
	must.NoError(t, err)
	table := job.NewTable()
	_, err = table.Apply(store.Page{Records: []store.StoredRecord{{Record: r}}}, 0)
	must.NoError(t, err)
	current.Standby = false
	must.Eq(t, current, table.Owner())
}
