package member

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
)

var start = time.Unix(1000, 0)

func newHeartbeat(host platform.HostID, incarnation, sequence uint64) Heartbeat {
	return Heartbeat{Host: host, Incarnation: incarnation, Sequence: sequence, State: 1}
}

func TestObserveOrder(t *testing.T) {
	v := NewView()
	must.True(t, v.Observe(newHeartbeat("a", 5, 9), start))
	must.False(t, v.Observe(newHeartbeat("a", 5, 9), start.Add(1)), must.Sprint("repeated"))
	must.False(t, v.Observe(newHeartbeat("a", 5, 8), start.Add(1)), must.Sprint("overtaken"))
	must.False(t, v.Observe(newHeartbeat("a", 4, 99), start.Add(1)), must.Sprint("older incarnation"))
	must.True(t, v.Observe(newHeartbeat("a", 6, 1), start.Add(1)), must.Sprint("newer incarnation"))
	must.Len(t, 1, v.Live(start.Add(DeadAfter+1)))
	must.Len(t, 0, v.Live(start.Add(DeadAfter+2)))
}

func TestRefreshRequiresSameState(t *testing.T) {
	v := NewView()
	v.Observe(newHeartbeat("a", 5, 1), start)
	must.False(t, v.Refresh("a", 5, 2, 2, start.Add(DeadAfter)), must.Sprint("other state"))
	must.False(t, v.Refresh("a", 6, 2, 1, start.Add(DeadAfter)), must.Sprint("other incarnation"))
	must.Len(t, 0, v.Live(start.Add(DeadAfter+1)), must.Sprint("not refreshed"))
	must.True(t, v.Refresh("a", 5, 3, 1, start.Add(DeadAfter)))
	must.Len(t, 1, v.Live(start.Add(2*DeadAfter)))
}

func TestDrainingLastsForIncarnation(t *testing.T) {
	v := NewView()
	h := newHeartbeat("a", 5, 1)
	h.Draining = true
	v.Observe(h, start)
	v.Observe(newHeartbeat("a", 5, 2), start)
	must.True(t, v.All()[0].Leaving)
	v.Observe(newHeartbeat("a", 6, 1), start)
	must.False(t, v.All()[0].Leaving)
}

func TestEligibleSince(t *testing.T) {
	v := NewView()
	at := func(sequence uint64, after time.Duration, logDown bool) time.Time {
		h := newHeartbeat("a", 5, sequence)
		h.LogDown = logDown
		v.Observe(h, start.Add(after))
		return v.All()[0].EligibleSince
	}
	must.Eq(t, start, at(1, 0, false))
	must.Eq(t, start, at(2, time.Second, false))
	must.True(t, at(3, 2*time.Second, true).IsZero())
	must.Eq(t, start.Add(3*time.Second), at(4, 3*time.Second, false))
	must.Eq(t, start.Add(time.Minute), at(5, time.Minute, false), must.Sprint("after a silence"))
}

func entryHosts(ids ...string) []platform.Host {
	var hosts []platform.Host
	for _, id := range ids {
		hosts = append(hosts, platform.Host{ID: id, Role: platform.RoleEntry, State: platform.HostLive})
	}
	return hosts
}

// TestRoundComplete: a host that has just started or resumed after a pause must
// not count hosts as dead that it had no time to hear.
func TestRoundComplete(t *testing.T) {
	v := NewView()
	must.False(t, v.RoundComplete(start), must.Sprint("no host list"))
	v.Tick(start)
	v.SetListed(entryHosts("a", "b"), start)
	v.Observe(newHeartbeat("a", 1, 1), start)
	must.False(t, v.RoundComplete(start), must.Sprint("b was not heard"))
	v.Observe(newHeartbeat("b", 1, 1), start)
	must.True(t, v.RoundComplete(start))

	resumed := start.Add(time.Minute)
	must.False(t, v.RoundComplete(resumed), must.Sprint("paused, not yet noticed"))
	v.Tick(resumed)
	must.False(t, v.RoundComplete(resumed), must.Sprint("nothing heard since the pause"))
	v.Observe(newHeartbeat("a", 1, 2), resumed)
	v.Tick(resumed.Add(DeadAfter / 2))
	v.Tick(resumed.Add(DeadAfter))
	must.False(t, v.RoundComplete(resumed.Add(DeadAfter)))
	v.Tick(resumed.Add(DeadAfter + 1))
	must.True(t, v.RoundComplete(resumed.Add(DeadAfter+1)), must.Sprint("b had time to be heard"))
}

// TestLeavingStateIsRetained: the host list may return to an older state in which a
// leaving host is live. The host must not count as live until the list has said so
// for MaxHostListLag, unless it has restarted or moved.
func TestLeavingStateIsRetained(t *testing.T) {
	l := NewLeavingTracker()
	incarnation := uint64(7)
	state := func(h platform.Host, after time.Duration) platform.HostState {
		out := l.Correct([]platform.Host{h}, func(platform.HostID) uint64 { return incarnation }, start.Add(after))
		return out[0].State
	}
	live := platform.Host{ID: "a", Role: platform.RoleEntry, State: platform.HostLive, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	leaving := live
	leaving.State = platform.HostLeaving
	must.Eq(t, platform.HostLive, state(live, 0))
	must.Eq(t, platform.HostLeaving, state(leaving, 1))
	must.Eq(t, platform.HostLeaving, state(live, 2), must.Sprint("the list returned to an older state"))
	must.Eq(t, platform.HostLeaving, state(live, MaxHostListLag+1))
	must.Eq(t, platform.HostLive, state(live, MaxHostListLag+2), must.Sprint("live for long"))

	state(leaving, 0)
	incarnation = 8
	must.Eq(t, platform.HostLive, state(live, 1), must.Sprint("another incarnation"))
	state(leaving, 2)
	moved := live
	moved.Addr = netip.MustParseAddrPort("127.0.0.1:2")
	must.Eq(t, platform.HostLive, state(moved, 3), must.Sprint("another address"))
}

// TestMissingWorkersAreRetained: a worker that the host list omits counts as leaving
// for MaxHostListLag, as an older state of the list may lack it.
func TestMissingWorkersAreRetained(t *testing.T) {
	l := NewLeavingTracker()
	worker := platform.Host{ID: "w", Role: platform.RoleWorker, State: platform.HostLive}
	correct := func(hosts []platform.Host, after time.Duration) []platform.Host {
		return l.Correct(hosts, func(platform.HostID) uint64 { return 0 }, start.Add(after))
	}
	correct(append(entryHosts("a"), worker), 0)
	missing := correct(nil, MaxHostListLag)
	must.Len(t, 1, missing, must.Sprint("entry hosts are not retained"))
	must.Eq(t, platform.HostLeaving, missing[0].State)
	must.Len(t, 0, correct(nil, MaxHostListLag+1))
	must.Eq(t, platform.HostLive, correct([]platform.Host{worker}, MaxHostListLag+2)[0].State)
}

// TestDatagramSize checks the size of the datagrams of a host with two shards, with
// and without facts, and that a host with 200 more shards stays within
// maxDatagramBytes.
func TestDatagramSize(t *testing.T) {
	encoder := datagramEncoder{host: "entry-17", incarnation: uint64(start.UnixNano())}
	f := Facts{
		Domain: "tagaytay", Peer: netip.MustParseAddrPort("10.20.30.40:7002"), EntryPeer: netip.MustParseAddrPort("10.20.30.40:7003"),
		ConfigVersion: 4000, ConfigDigest: 1 << 63, ConfigNext: 70000,
		Owned: []OwnedShard{{"tagaytay-3", 12, 345}, {"amadeo-7", 9, 12}},
	}
	changed, err := encoder.setFacts(f)
	must.NoError(t, err)
	must.True(t, changed)
	changed, err = encoder.setFacts(f)
	must.NoError(t, err)
	must.False(t, changed)
	full, err := encoder.nextDatagram(true, false)
	must.NoError(t, err)
	short, err := encoder.nextDatagram(false, false)
	must.NoError(t, err)
	t.Logf("full %d B, short %d B, headers %d B", len(full), len(short), headerBytes)
	must.LessEq(t, 128, len(full))
	must.LessEq(t, 40, len(short))

	d, err := decodeDatagram(full)
	must.NoError(t, err)
	must.Eq(t, f, *d.Facts)
	for i := range 200 {
		f.Owned = append(f.Owned, OwnedShard{Shard: platform.ShardID(fmt.Sprintf("tagaytay-%d", i)), Epoch: 1})
	}
	_, err = encoder.setFacts(f)
	must.NoError(t, err)
	full, err = encoder.nextDatagram(true, false)
	must.NoError(t, err)
	must.LessEq(t, maxDatagramBytes, len(full))
	_, err = decodeDatagram([]byte("stray"))
	must.ErrorIs(t, err, errInvalidDatagram)
}
