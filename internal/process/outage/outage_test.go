package outage

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/member"
)

var start = time.Unix(1000, 0)

// peer returns a member whose last heartbeat was received silence before now.
func peer(id string, logDown bool, silence time.Duration, now time.Time) member.Member {
	h := member.Heartbeat{Host: platform.HostID(id), Facts: member.Facts{ConfigVersion: 4, LogDown: logDown}}
	return member.Member{Heartbeat: h, HeardAt: now.Add(-silence)}
}

// baseInput returns the input of host "a" at sinceRead after its last read of the
// log. It is listed with "b" and "c", which cannot reach the log either.
func baseInput(sinceRead time.Duration) Input {
	now := start.Add(sinceRead)
	return Input{
		Host: "a", LogReadAt: start, ConfigVersion: 4,
		Owned:  []member.OwnedShard{{Shard: "s", Epoch: 7}},
		Peers:  []member.Member{peer("a", false, 0, now), peer("b", true, time.Second, now), peer("c", true, 0, now)},
		Listed: []platform.HostID{"a", "b", "c"},
		Now:    now,
	}
}

func TestDecide(t *testing.T) {
	all := Permission{MayClaim: true, MayAssign: true, MayStart: true, MayRenew: true, Reason: ReasonLogReachable}
	cases := []struct {
		name      string
		sinceRead time.Duration
		change    func(*Input)
		want      Permission
	}{
		{"log just read", time.Second, func(*Input) {}, all},
		{"log read, at the contact timeout", LogContactTimeout, func(*Input) {}, all},
		{"log read, newer version heard", time.Second, func(in *Input) { in.Peers[1].ConfigVersion = 5 },
			Permission{MayRenew: true, Reason: ReasonBehindPeer}},
		{"older version heard", time.Second, func(in *Input) { in.Peers[1].ConfigVersion = 3 }, all},
		{"newer claim on own shard", time.Second, func(in *Input) {
			in.Peers[2].Owned = []member.OwnedShard{{Shard: "s", Epoch: 8}}
		}, Permission{MayRenew: true, Reason: ReasonBehindPeer}},
		{"newer claim on another shard", time.Second, func(in *Input) {
			in.Peers[2].Owned = []member.OwnedShard{{Shard: "t", Epoch: 8}}
		}, all},
		{"newer claim past the timeout", StaleOwnerTimeout + time.Second, func(in *Input) {
			in.Peers[2].Owned = []member.OwnedShard{{Shard: "s", Epoch: 8}}
		}, Permission{Reason: ReasonBehindPeer}},
		{"newer version in a stale heartbeat", time.Second, func(in *Input) {
			in.Peers[1].ConfigVersion = 5
			in.Peers[1].HeardAt = in.Now.Add(-member.DeadAfter - 1)
		}, all},
		{"a peer reaches the log", LogContactTimeout + 1, func(in *Input) { in.Peers[1].LogDown = false },
			Permission{MayRenew: true, Reason: ReasonPartitioned}},
		{"a peer reaches the log, past the timeout", StaleOwnerTimeout + 1, func(in *Input) { in.Peers[1].LogDown = false },
			Permission{Reason: ReasonPartitioned}},
		{"down for all", LogContactTimeout + 1, func(*Input) {}, Permission{MayStart: true, MayRenew: true, Reason: ReasonLogDown}},
		{"down for all, past the timeout", 10 * StaleOwnerTimeout, func(*Input) {},
			Permission{MayStart: true, MayRenew: true, Reason: ReasonLogDown}},
		{"a listed host is silent", LogContactTimeout + 1, func(in *Input) { in.Peers[1].HeardAt = time.Time{} },
			Permission{MayStart: true, MayRenew: true, Reason: ReasonLogDownPeerSilent}},
		{"a listed host is silent, at the timeout", StaleOwnerTimeout, func(in *Input) { in.Peers[1].HeardAt = time.Time{} },
			Permission{MayStart: true, MayRenew: true, Reason: ReasonLogDownPeerSilent}},
		{"a listed host is silent, past the timeout", StaleOwnerTimeout + 1, func(in *Input) { in.Peers[1].HeardAt = time.Time{} },
			Permission{Reason: ReasonLogDownPeerSilent}},
		{"a listed host was never heard", StaleOwnerTimeout + 1, func(in *Input) { in.Listed = append(in.Listed, "d") },
			Permission{Reason: ReasonLogDownPeerSilent}},
		{"no host list", StaleOwnerTimeout + 1, func(in *Input) { in.Listed = nil }, Permission{Reason: ReasonLogDownPeerSilent}},
		{"never read the log", time.Second, func(in *Input) {
			in.LogReadAt = time.Time{}
			in.Listed = nil
		}, Permission{Reason: ReasonLogDownPeerSilent}},
		{"alone in the list", StaleOwnerTimeout + 1, func(in *Input) { in.Listed, in.Peers = in.Listed[:1], nil },
			Permission{MayStart: true, MayRenew: true, Reason: ReasonLogDown}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := baseInput(c.sinceRead)
			c.change(&in)
			got := Decide(in)
			got.Detail = ""
			must.Eq(t, c.want, got)
		})
	}
}
