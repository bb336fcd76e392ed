// Package outage decides which operations a host may perform while it cannot
// reach the log. The decision is a pure function of the last contact with the
// log, the peers' heartbeats and the last host list.
package outage

import (
	"fmt"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/member"
)

const (
	// LogContactTimeout is how long after the start of its last successful read a
	// host counts as in contact with the log.
	LogContactTimeout = 3 * time.Second
	// StaleOwnerTimeout bounds starts and renewals by a stale owner: a host that
	// may have lost a shard without noticing stops them this long after the start
	// of its last successful read of the log. A new owner that cannot reach a
	// worker must therefore wait as long after its claim, and then the lease time,
	// before it records the worker's attempts as ended.
	StaleOwnerTimeout = 5 * time.Minute
)

// Reason says why a permission allows what it does: the state of the log as the
// host sees it.
type Reason string

// Reasons of permissions.
const (
	// ReasonLogReachable means that the host is in contact with the log.
	ReasonLogReachable Reason = "log reached"
	// ReasonBehindPeer means that a peer has a newer configuration or claim.
	ReasonBehindPeer Reason = "a peer knows something newer"
	// ReasonPartitioned means that a peer reaches the log but this host does not.
	ReasonPartitioned Reason = "cut off from the log alone"
	// ReasonLogDown means that every listed entry host is live and none reaches the
	// log.
	ReasonLogDown Reason = "log down for all hosts"
	// ReasonLogDownPeerSilent means that no live host reaches the log, but that a
	// listed host is silent and may reach it.
	ReasonLogDownPeerSilent Reason = "log down and a listed host is silent"
)

// Permission lists the operations that a host may perform.
type Permission struct {
	// MayClaim allows claims of shards.
	MayClaim bool
	// MayAssign allows new assignments to be written.
	MayAssign bool
	// MayStart allows starts of assignments that were read back from the log.
	MayStart bool
	// MayRenew allows renewals of leases.
	MayRenew bool
	Reason   Reason
	// Detail names the peer that caused the reason and, for ReasonBehindPeer, what
	// it has that is newer; empty if no peer did.
	Detail string
}

// Input holds everything that a permission depends on.
type Input struct {
	// Host is the deciding host.
	Host platform.HostID
	// LogReadAt is when the last successful read of the log was begun; zero if
	// there was none.
	LogReadAt time.Time
	// ConfigVersion and Owned are the configuration version and the owned shards
	// that the host has replayed from the log.
	ConfigVersion uint64
	Owned         []member.OwnedShard
	// Peers holds the latest heartbeat of each known host. The deciding host's own
	// entry is ignored.
	Peers []member.Member
	// Listed names the entry hosts of the last host list; empty if there was none.
	Listed []platform.HostID
	Now    time.Time
}

// Decide returns what the host may do at in.Now.
func Decide(in Input) Permission {
	live := in.livePeers()
	recentlyRead := !in.LogReadAt.IsZero() && in.Now.Sub(in.LogReadAt) <= StaleOwnerTimeout
	if peer, newer := in.newerPeer(live); newer {
		return Permission{MayRenew: recentlyRead, Reason: ReasonBehindPeer, Detail: peer}
	}
	if in.inLogContact() {
		return Permission{MayClaim: true, MayAssign: true, MayStart: true, MayRenew: true, Reason: ReasonLogReachable}
	}
	for _, m := range live {
		if !m.LogDown {
			return Permission{MayRenew: recentlyRead, Reason: ReasonPartitioned, Detail: string(m.Host)}
		}
	}
	if silent, found := in.silentHost(live); found {
		return Permission{MayStart: recentlyRead, MayRenew: recentlyRead, Reason: ReasonLogDownPeerSilent, Detail: string(silent)}
	}
	// No time limit: while no host reaches the log, none can claim this host's shards.
	return Permission{MayStart: true, MayRenew: true, Reason: ReasonLogDown}
}

// inLogContact reports whether the last successful read of the log is recent
// enough to count as contact.
func (in Input) inLogContact() bool {
	return !in.LogReadAt.IsZero() && in.Now.Sub(in.LogReadAt) <= LogContactTimeout
}

// livePeers returns the peers heard within member.DeadAfter, in the order of
// Peers.
func (in Input) livePeers() []member.Member {
	var live []member.Member
	for _, m := range in.Peers {
		if m.Host != in.Host && in.Now.Sub(m.HeardAt) <= member.DeadAfter {
			live = append(live, m)
		}
	}
	return live
}

// newerPeer describes a peer that has a newer configuration, or a newer claim
// on a shard that this host believes it owns.
func (in Input) newerPeer(live []member.Member) (string, bool) {
	epochs := map[platform.ShardID]platform.Epoch{}
	for _, s := range in.Owned {
		epochs[s.Shard] = s.Epoch
	}
	for _, m := range live {
		if m.ConfigVersion > in.ConfigVersion {
			return fmt.Sprintf("%s: configuration version %d", m.Host, m.ConfigVersion), true
		}
		for _, s := range m.Owned {
			if epoch, owned := epochs[s.Shard]; owned && s.Epoch > epoch {
				return fmt.Sprintf("%s: shard %s epoch %d", m.Host, s.Shard, s.Epoch), true
			}
		}
	}
	return "", false
}

// silentHost returns a listed entry host that is not live. Without a host list
// nothing is known about other hosts, and it returns the host itself.
func (in Input) silentHost(live []member.Member) (platform.HostID, bool) {
	if len(in.Listed) == 0 {
		return in.Host, true
	}
	responsive := map[platform.HostID]bool{in.Host: true}
	for _, m := range live {
		responsive[m.Host] = true
	}
	for _, id := range in.Listed {
		if !responsive[id] {
			return id, true
		}
	}
	return "", false
}
