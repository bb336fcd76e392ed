// Package share decides how many connections to each worker this entry host
// may have open, so that all entry hosts together stay within the worker's
// limit. It does no I/O; the current time is passed in.
//
// A host that counts n hosts, itself included, may open 1/(n+1) of the limit, so
// that there is always room for one more host. A joining host starts within that
// room. It takes its full share only after every other live host has acknowledged
// it: that host counts it, has closed its connections above its own, now smaller
// share, and has sent the list of the hosts that it counts. At least one of them
// must have its full share, and no counted host may be dead. If there is no such
// host, the joining host waits until the connections of unknown earlier hosts are
// certainly closed. A host that died or left is counted until its connections are
// certainly closed.
//
// Limitation: when all hosts die together without closing their connections, their
// replacements have no record of the dead hosts. One replacement stays within the
// limit; several together can exceed it until GoneAfter has passed.
package share

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	// JoinWait is the minimum time before a new host takes its full share.
	JoinWait = 3 * time.Second
	// GoneAfter is how long a host is counted after it was last a member.
	// Endpoints must close connections that were idle for this long.
	GoneAfter = 60 * time.Second
	// joinDivisor is the part of a worker's limit, 1/joinDivisor, that a new host
	// may open at first.
	joinDivisor = 16
)

// State is one host's view of the hosts that share the workers' connections. It
// is not safe for concurrent use.
type State struct {
	self    platform.HostID
	started time.Time
	// lastSeen maps the counted hosts, except this one, to the time at which each
	// was last a member.
	lastSeen map[platform.HostID]time.Time
	// lastObserved is the time of the last observation.
	lastObserved time.Time
	// acknowledgedBy holds the hosts that have acknowledged this one.
	acknowledgedBy map[platform.HostID]bool
	// informed is set once a host with its full share has sent the hosts that it
	// counts.
	informed bool
	full     bool
}

// CountedHost is a host that another host counts.
type CountedHost struct {
	Host platform.HostID
	// Age is the time since it was last a member.
	Age time.Duration
}

// New returns the state of a host that starts at time now.
func New(self platform.HostID, now time.Time) *State {
	return &State{
		self: self, started: now,
		lastSeen: map[platform.HostID]time.Time{}, acknowledgedBy: map[platform.HostID]bool{},
	}
}

// Observe updates the state with the members that are believed to be alive at
// time now. It reports whether shares may have changed.
func (s *State) Observe(members []platform.HostID, now time.Time) bool {
	s.lastObserved = now
	before, wasFull := len(s.lastSeen), s.full
	for _, m := range members {
		if m != s.self {
			s.lastSeen[m] = now
		}
	}
	maps.DeleteFunc(s.lastSeen, func(_ platform.HostID, last time.Time) bool { return now.Sub(last) > GoneAfter })
	s.full = s.full || s.canTakeFull(now)
	return len(s.lastSeen) != before || s.full != wasFull
}

// canTakeFull reports whether this host can take its full share.
func (s *State) canTakeFull(now time.Time) bool {
	wait := GoneAfter
	if s.informed {
		wait = JoinWait
	}
	return now.Sub(s.started) > wait && len(s.Pending()) == 0 && !s.countsDeadHost()
}

// countsDeadHost reports whether a counted host is no longer a member. Such a
// host cannot close connections to make room.
func (s *State) countsDeadHost() bool {
	for _, last := range s.lastSeen {
		if !last.Equal(s.lastObserved) {
			return true
		}
	}
	return false
}

// Full reports whether this host has its full share.
func (s *State) Full() bool { return s.full }

// Counted returns the other hosts that this one counts, sorted.
func (s *State) Counted(now time.Time) []CountedHost {
	list := make([]CountedHost, 0, len(s.lastSeen))
	for m, last := range s.lastSeen {
		list = append(list, CountedHost{Host: m, Age: now.Sub(last)})
	}
	slices.SortFunc(list, func(a, b CountedHost) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return list
}

// Counts reports whether this host counts other.
func (s *State) Counts(other platform.HostID) bool {
	_, ok := s.lastSeen[other]
	return ok
}

// Pending returns the live hosts whose acknowledgement is still needed, sorted.
func (s *State) Pending() []platform.HostID {
	if s.full {
		return nil
	}
	var pending []platform.HostID
	for m, last := range s.lastSeen {
		if !s.acknowledgedBy[m] && last.Equal(s.lastObserved) {
			pending = append(pending, m)
		}
	}
	slices.Sort(pending)
	return pending
}

// Ack records that other counts this host and is within its own share. It also
// adds the hosts that other counts. full is set if other has its full share.
func (s *State) Ack(other platform.HostID, counted []CountedHost, full bool, now time.Time) {
	s.acknowledgedBy[other] = true
	s.informed = s.informed || full
	for _, c := range counted {
		last := now.Add(-c.Age)
		if c.Host != s.self && last.After(s.lastSeen[c.Host]) {
			s.lastSeen[c.Host] = last
		}
	}
}

// Share returns how many connections this host may have open to a worker that
// admits bound connections from all hosts together.
func (s *State) Share(bound int64) int {
	share := bound / int64(len(s.lastSeen)+2)
	if !s.full {
		share = min(share, bound/joinDivisor)
	}
	return int(share)
}
