package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

const (
	// MinEligibleTime is how long a member must have been eligible before an owner
	// hands a shard over to it for rebalancing.
	MinEligibleTime = 10 * time.Second
	// MinLogContact is how long a host must have been in contact with the log
	// before it claims shards of an owner that reports that it has no contact.
	MinLogContact = 10 * time.Second
	// SilentOwnerTimeout is how long an owner must have sent no heartbeat before a
	// host claims its shard when the host's own network may be the cause: no
	// heartbeat of the owner arrived since its claim, or most hosts are silent. It
	// bounds how often a shard moves back and forth between hosts that cannot reach
	// each other.
	SilentOwnerTimeout = 30 * time.Second
)

// Candidate is the state of a live member on which the choice of owners depends.
type Candidate struct {
	Host        platform.HostID
	Incarnation uint64
	// Leaving is set when the host drains or the host list marks it as leaving.
	Leaving bool
	// LogDown is set when the host reports no contact with the log.
	LogDown bool
	// EligibleFor is how long the member has been live, in contact with the log and
	// not leaving.
	EligibleFor time.Duration
}

// Rank returns the members that may own a shard, the preferred one first, by
// rendezvous hashing. Members that are leaving or without contact with the log are
// left out.
func Rank(id platform.ShardID, members []Candidate) []platform.HostID {
	type scored struct {
		host  platform.HostID
		score uint64
	}
	var ranked []scored
	for _, m := range members {
		if !m.Leaving && !m.LogDown {
			ranked = append(ranked, scored{m.Host, rendezvousScore(string(id), string(m.Host))})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host))
	})
	hosts := make([]platform.HostID, len(ranked))
	for i, r := range ranked {
		hosts[i] = r.host
	}
	return hosts
}

// Action is what a host does with a shard.
type Action uint8

// Actions on a shard.
const (
	// Ignore the shard: the host is neither its first nor its second choice.
	Ignore Action = iota
	// Standby: replay the stream from time to time, so that a takeover is quick.
	Standby
	// Watch: the host is the first choice; replay the stream until the shard can be
	// claimed.
	Watch
	// TakeOver: claim the shard at the epoch after the replayed one.
	TakeOver
	// Run the shard as its owner.
	Run
	// HandOver: release the shard.
	HandOver
)

// Ownership is the input from which Decide chooses an action for a shard.
type Ownership struct {
	Shard platform.ShardID
	Self  record.WriterID
	// Owner is the owner according to the part of the shard's stream that the host
	// has replayed; zero when there is none.
	Owner record.WriterID
	// Members are the live members, Self among them.
	Members []Candidate
	// MayClaim is set when the host may claim shards: it has received heartbeats for
	// a full round, it is in the host list, and its permission allows claims.
	MayClaim bool
	// MayRebalance is set when the host may hand over one more shard now.
	MayRebalance bool
	// LogContact is how long the host has been in contact with the log.
	LogContact time.Duration
	// HalfReachable is set when at least half of the listed hosts send heartbeats.
	HalfReachable bool
	// OwnerHeartbeatSeen is set when a heartbeat of the owner arrived after its
	// claim was replayed, or when the claim was made before this host began to
	// replay.
	OwnerHeartbeatSeen bool
	// OwnerSilence is the time since the owner's last heartbeat or since its claim
	// was replayed, whichever is later.
	OwnerSilence time.Duration
}

// Decide returns what the host should do with the shard.
func (o Ownership) Decide() Action {
	ranked := Rank(o.Shard, o.Members)
	if o.Owner == o.Self && o.Owner != (record.WriterID{}) {
		return o.decideOwned(ranked)
	}
	if len(ranked) == 0 {
		return Ignore
	}
	if ranked[0] != o.Self.Host {
		if len(ranked) > 1 && ranked[1] == o.Self.Host {
			return Standby
		}
		return Ignore
	}
	if o.MayClaim && o.claimable() {
		return TakeOver
	}
	return Watch
}

// decideOwned returns the action for a shard that the host owns: HandOver when
// another member should own it, else Run.
func (o Ownership) decideOwned(ranked []platform.HostID) Action {
	if len(ranked) == 0 || ranked[0] == o.Self.Host {
		return Run
	}
	if o.member(o.Self.Host).Leaving {
		return HandOver
	}
	if o.MayRebalance && o.member(ranked[0]).EligibleFor >= MinEligibleTime {
		return HandOver
	}
	return Run
}

// claimable reports whether the shard has no owner, or one that cannot run it.
func (o Ownership) claimable() bool {
	if o.Owner == (record.WriterID{}) {
		return true
	}
	m := o.member(o.Owner.Host)
	if m.Host == "" {
		return o.HalfReachable && o.OwnerHeartbeatSeen || o.OwnerSilence >= SilentOwnerTimeout
	}
	if m.Incarnation > o.Owner.Incarnation {
		return true
	}
	return m.LogDown && o.LogContact >= MinLogContact
}

// member returns the member with the given identifier, or the zero value.
func (o Ownership) member(id platform.HostID) Candidate {
	for _, m := range o.Members {
		if m.Host == id {
			return m
		}
	}
	return Candidate{}
}
