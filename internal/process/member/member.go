// Package member tracks which entry hosts are alive. Hosts exchange heartbeats as
// UDP datagrams. Their contents are only hints about liveness and about what to
// read from the log, which alone is authoritative.
package member

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	// HeartbeatPeriod is the time between heartbeats.
	HeartbeatPeriod = time.Second
	// DeadAfter is the time without a heartbeat after which a member counts as
	// dead.
	DeadAfter = 3 * time.Second
	// pauseThreshold is the time between two of its own heartbeats above which a
	// host assumes that it was paused.
	pauseThreshold = 2 * HeartbeatPeriod
	// forgetAfter is the time without a heartbeat after which a member is
	// forgotten.
	forgetAfter = 15 * time.Minute
)

// OwnedShard describes a shard to the peers of the host that owns it.
type OwnedShard struct {
	Shard platform.ShardID `json:"shard" cbor:"1,keyasint"`
	Epoch platform.Epoch   `json:"epoch" cbor:"2,keyasint"`
	// Directory increases when the shard's service endpoints change. Within one
	// epoch of the shard it never decreases.
	Directory uint64 `json:"directory" cbor:"3,keyasint,omitempty"`
}

// Heartbeat is the state that a host sends to its peers.
type Heartbeat struct {
	Host        platform.HostID
	Incarnation uint64
	// Sequence increases with each datagram of an incarnation, and State with each
	// change of Facts.
	Sequence uint64
	State    uint64
	Facts
}

// Facts are the rarely changing parts of a heartbeat.
type Facts struct {
	Domain platform.FailureDomain `cbor:"1,keyasint"`
	// Peer and EntryPeer are the addresses of the peer services (net/rpc) of the
	// host's placer and entry.
	Peer          netip.AddrPort `cbor:"2,keyasint"`
	EntryPeer     netip.AddrPort `cbor:"3,keyasint"`
	ConfigVersion uint64         `cbor:"4,keyasint,omitempty"`
	// ConfigDigest is a hash of the configuration stream's state. It must be the
	// same on all hosts at the same offset.
	ConfigDigest uint64 `cbor:"5,keyasint,omitempty"`
	// ConfigNext is the offset up to which the configuration was replayed.
	ConfigNext platform.Offset `cbor:"6,keyasint,omitempty"`
	Owned      []OwnedShard    `cbor:"7,keyasint,omitempty"`
	// Draining is set once the host has begun a planned stop.
	Draining bool `cbor:"8,keyasint,omitempty"`
	// LogDown is set while the host cannot reach the log.
	LogDown bool `cbor:"9,keyasint,omitempty"`
}

// Member is a host with its latest heartbeat.
type Member struct {
	Heartbeat
	// HeardAt is when the heartbeat was received.
	HeardAt time.Time
	// Leaving is set if the host is draining or listed as leaving.
	Leaving bool
	// EligibleSince is when the member last became live, not leaving and in
	// contact with the log; zero while it is not.
	EligibleSince time.Time
}

// View holds the latest heartbeat of each host. It is safe for concurrent use.
type View struct {
	mu      sync.Mutex
	members map[platform.HostID]*Member
	leaving map[platform.HostID]bool
	listed  []platform.HostID
	// listeningSince is when this host got its first host list, or when it resumed
	// after a pause; lastTick is when it last called Tick.
	listeningSince time.Time
	lastTick       time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{members: map[platform.HostID]*Member{}, leaving: map[platform.HostID]bool{}}
}

// Observe stores a heartbeat received at now. It reports false and changes nothing
// if the same or a later one of the host was stored before. Once set, Draining
// stays set until the host's next incarnation.
func (v *View) Observe(h Heartbeat, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.members[h.Host]
	if old != nil && !isNewer(h, old.Heartbeat) {
		return false
	}
	m := &Member{Heartbeat: h, HeardAt: now}
	if old != nil && old.Incarnation == h.Incarnation {
		m.Draining = m.Draining || old.Draining
		if now.Sub(old.HeardAt) <= DeadAfter {
			m.EligibleSince = old.EligibleSince
		}
	}
	v.members[h.Host] = m
	v.updateEligibility(m, now)
	return true
}

// Refresh records a heartbeat without facts, which repeats a state. It reports
// false and changes nothing if the view does not hold that state of the host,
// since the known facts may be out of date.
func (v *View) Refresh(host platform.HostID, incarnation, sequence, state uint64, now time.Time) bool {
	v.mu.Lock()
	m := v.members[host]
	known := m != nil && m.Incarnation == incarnation && m.State == state
	var h Heartbeat
	if known {
		h = m.Heartbeat
	}
	v.mu.Unlock()
	if !known {
		return false
	}
	h.Sequence = sequence
	v.Observe(h, now)
	return true
}

// isNewer orders heartbeats of one host by incarnation, then by sequence.
func isNewer(h, old Heartbeat) bool {
	if h.Incarnation != old.Incarnation {
		return h.Incarnation > old.Incarnation
	}
	return h.Sequence > old.Sequence
}

// updateEligibility sets Leaving and EligibleSince from the heartbeat and the host
// list. The caller holds mu.
func (v *View) updateEligibility(m *Member, now time.Time) {
	m.Leaving = m.Draining || v.leaving[m.Host]
	switch {
	case m.Leaving || m.LogDown:
		m.EligibleSince = time.Time{}
	case m.EligibleSince.IsZero():
		m.EligibleSince = now
	}
}

// SetListed sets the entry hosts of the host list. It also forgets members without
// a heartbeat within forgetAfter.
func (v *View) SetListed(hosts []platform.Host, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = nil
	v.leaving = map[platform.HostID]bool{}
	for _, h := range hosts {
		if h.Role == platform.RoleEntry {
			id := platform.HostID(h.ID)
			v.listed = append(v.listed, id)
			v.leaving[id] = h.State == platform.HostLeaving
		}
	}
	if v.listeningSince.IsZero() {
		v.listeningSince = now
	}
	for id, m := range v.members {
		if now.Sub(m.HeardAt) > forgetAfter {
			delete(v.members, id)
			continue
		}
		v.updateEligibility(m, now)
	}
}

// Listed returns the entry hosts of the last host list.
func (v *View) Listed() []platform.HostID {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed
}

// Tick records that this host is running. A paused host has missed heartbeats, so
// after a pause it waits for a heartbeat of each listed host again.
func (v *View) Tick(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.lastTick.IsZero() && now.Sub(v.lastTick) > pauseThreshold && !v.listeningSince.IsZero() {
		v.listeningSince = now
	}
	v.lastTick = now
}

// RoundComplete reports whether this host has heard every listed host since it
// began to listen, or has listened for longer than DeadAfter. Before that, a host
// that was not heard may still be alive and own shards.
func (v *View) RoundComplete(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listeningSince.IsZero() || now.Sub(v.lastTick) > pauseThreshold {
		return false
	}
	if now.Sub(v.listeningSince) > DeadAfter {
		return true
	}
	for _, id := range v.listed {
		if m := v.members[id]; m == nil || m.HeardAt.Before(v.listeningSince) {
			return false
		}
	}
	return true
}

// Incarnation returns the latest known incarnation of a host, or 0.
func (v *View) Incarnation(id platform.HostID) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.members[id]; m != nil {
		return m.Incarnation
	}
	return 0
}

// Live returns the members heard within DeadAfter before now, ordered by host.
func (v *View) Live(now time.Time) []Member {
	return slices.DeleteFunc(v.All(), func(m Member) bool { return now.Sub(m.HeardAt) > DeadAfter })
}

// All returns all members that are not forgotten, ordered by host.
func (v *View) All() []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return all
}
