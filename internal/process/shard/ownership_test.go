package shard

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

func makeCandidates(n int) []Candidate {
	members := make([]Candidate, n)
	for i := range members {
		members[i] = Candidate{Host: platform.HostID(fmt.Sprintf("h%d", i)), Incarnation: 5, EligibleFor: MinEligibleTime}
	}
	return members
}

// candidate returns the entry of a host in o.Members, or nil.
func candidate(o *Ownership, host platform.HostID) *Candidate {
	for i := range o.Members {
		if o.Members[i].Host == host {
			return &o.Members[i]
		}
	}
	return nil
}

func removeCandidate(o *Ownership, host platform.HostID) {
	var rest []Candidate
	for _, m := range o.Members {
		if m.Host != host {
			rest = append(rest, m)
		}
	}
	o.Members = rest
}

func TestDecide(t *testing.T) {
	ranked := Rank("catania-3", makeCandidates(4))
	writer := func(i int) record.WriterID { return record.WriterID{Host: ranked[i], Incarnation: 5} }
	cases := []struct {
		name   string
		self   int
		owner  record.WriterID
		change func(*Ownership)
		want   Action
	}{
		{"first choice claims a shard without owner", 0, record.WriterID{}, func(*Ownership) {}, TakeOver},
		{"first choice watches while it may not claim", 0, record.WriterID{}, func(o *Ownership) { o.MayClaim = false }, Watch},
		{"second choice stands by", 1, record.WriterID{}, func(*Ownership) {}, Standby},
		{"third choice ignores", 2, record.WriterID{}, func(*Ownership) {}, Ignore},
		{"first choice watches a live owner", 0, writer(1), func(*Ownership) {}, Watch},
		{"first choice waits for a leaving owner's release", 0, writer(1), func(o *Ownership) { candidate(o, ranked[1]).Leaving = true }, Watch},
		{"first choice claims from a dead owner", 0, writer(1), func(o *Ownership) { removeCandidate(o, ranked[1]) }, TakeOver},
		{"dead owner but few hosts reachable", 0, writer(1), func(o *Ownership) {
			removeCandidate(o, ranked[1])
			o.HalfReachable = false
		}, Watch},
		{"few hosts reachable but owner silent for long", 0, writer(1), func(o *Ownership) {
			removeCandidate(o, ranked[1])
			o.HalfReachable = false
			o.OwnerSilence = SilentOwnerTimeout
		}, TakeOver},
		{"dead owner without heartbeat since its claim", 0, writer(1), func(o *Ownership) {
			removeCandidate(o, ranked[1])
			o.OwnerHeartbeatSeen = false
		}, Watch},
		{"first choice claims from a restarted owner", 0, writer(1), func(o *Ownership) { candidate(o, ranked[1]).Incarnation = 6 }, TakeOver},
		{"owner without heartbeat since its restart keeps the shard", 0, writer(1), func(o *Ownership) { candidate(o, ranked[1]).Incarnation = 4 }, Watch},
		{"first choice claims from an owner that alone lost the log", 0, writer(1), func(o *Ownership) { candidate(o, ranked[1]).LogDown = true }, TakeOver},
		{"own contact with the log just restored", 0, writer(1), func(o *Ownership) {
			candidate(o, ranked[1]).LogDown = true
			o.LogContact = MinLogContact - 1
		}, Watch},
		{"own earlier incarnation is treated as dead", 0, record.WriterID{Host: ranked[0], Incarnation: 4}, func(*Ownership) {}, TakeOver},
		{"first choice keeps running its shard", 0, writer(0), func(*Ownership) {}, Run},
		{"owner that is second choice hands over", 1, writer(1), func(*Ownership) {}, HandOver},
		{"owner hands over no faster than its rebalancing rate", 1, writer(1), func(o *Ownership) { o.MayRebalance = false }, Run},
		{"owner does not hand over to a member that just joined", 1, writer(1), func(o *Ownership) { candidate(o, ranked[0]).EligibleFor = MinEligibleTime - 1 }, Run},
		{"leaving owner hands over immediately", 0, writer(0), func(o *Ownership) {
			o.MayRebalance = false
			candidate(o, ranked[0]).Leaving = true
			candidate(o, ranked[1]).EligibleFor = 0
		}, HandOver},
		{"leaving owner keeps the shard while all members leave", 0, writer(0), func(o *Ownership) {
			for i := range o.Members {
				o.Members[i].Leaving = true
			}
		}, Run},
		{"leaving member claims nothing", 0, record.WriterID{}, func(o *Ownership) { candidate(o, ranked[0]).Leaving = true }, Ignore},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := Ownership{
				Shard: "catania-3", Self: writer(c.self), Owner: c.owner, Members: makeCandidates(4),
				MayClaim: true, MayRebalance: true, LogContact: MinLogContact,
				HalfReachable: true, OwnerHeartbeatSeen: true,
			}
			c.change(&o)
			must.Eq(t, c.want, o.Decide())
		})
	}
}

// TestRankSpreadsAndMovesLittle checks that no host of 24 gets more than 8 of 64
// shards, and that the death of a host moves only the shards that it owned.
func TestRankSpreadsAndMovesLittle(t *testing.T) {
	members := makeCandidates(24)
	count := map[platform.HostID]int{}
	for i := range 64 {
		id := platform.ShardID(fmt.Sprintf("d%d-%d", i/8, i%8))
		owner := Rank(id, members)[0]
		count[owner]++
		if owner != members[0].Host {
			must.Eq(t, owner, Rank(id, members[1:])[0])
		}
	}
	for host, n := range count {
		must.LessEq(t, 8, n, must.Sprintf("shards of %s", host))
	}
}
