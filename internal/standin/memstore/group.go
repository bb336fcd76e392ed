package memstore

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
)

// partitions is the number of partitions of each topic.
const partitions = 4

// group assigns the partitions of a topic to its members.
type group struct {
	topic      string
	generation platform.Epoch
	members    map[string]*member
	// assigned is the member that each partition is assigned to. heldBy is the member
	// that holds it: a member keeps a reassigned partition until it confirms the new
	// generation.
	assigned [partitions]string
	heldBy   [partitions]string
	// rotation shifts the assignment by this number of members.
	rotation int
}

// member is one member of a group.
type member struct {
	lastJoin time.Duration
	ttl      time.Duration
}

// join adds a member to a group or renews its membership, and returns its assignment.
func (s *Store) join(m store.Membership) store.Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[m.Group]
	if g == nil {
		g = &group{topic: m.Topic, members: map[string]*member{}}
		s.groups[m.Group] = g
	}
	now := s.now()
	g.expire(now)
	if _, known := g.members[m.Member]; !known {
		g.members[m.Member] = &member{}
		g.rebalance()
	}
	*g.members[m.Member] = member{lastJoin: now, ttl: m.TTL}
	if m.Epoch >= g.generation {
		g.releaseReassigned(m.Member)
	}
	return g.assignment(m.Member)
}

// expire removes the members that have not renewed their membership within its TTL.
func (g *group) expire(now time.Duration) {
	for name, m := range g.members {
		if now-m.lastJoin > m.ttl {
			g.removeMember(name)
		}
	}
}

func (g *group) removeMember(name string) {
	delete(g.members, name)
	for i := range g.heldBy {
		if g.heldBy[i] == name {
			g.heldBy[i] = ""
		}
	}
	g.rebalance()
}

// releaseReassigned releases the partitions that a member holds and that are assigned
// to others.
func (g *group) releaseReassigned(name string) {
	for i := range g.heldBy {
		if g.heldBy[i] == name && g.assigned[i] != name {
			g.heldBy[i] = ""
		}
	}
}

// rebalance distributes the partitions evenly over the members and starts a new
// generation.
func (g *group) rebalance() {
	g.generation++
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	for i := range g.assigned {
		g.assigned[i] = ""
		if len(names) > 0 {
			g.assigned[i] = names[(i+g.rotation)%len(names)]
		}
	}
}

// assignment returns the partitions that are assigned to a member and held by no
// other member, and marks them as held by it.
func (g *group) assignment(name string) store.Assignment {
	a := store.Assignment{Epoch: g.generation}
	for i := range g.assigned {
		if g.assigned[i] == name && (g.heldBy[i] == "" || g.heldBy[i] == name) {
			g.heldBy[i] = name
			a.Partitions = append(a.Partitions, store.Partition{Topic: g.topic, Number: i})
		}
	}
	return a
}

// leave removes a member from a group and releases its partitions.
func (s *Store) leave(m store.Membership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[m.Group]; g != nil {
		if _, known := g.members[m.Member]; known {
			g.removeMember(m.Member)
		}
	}
}

// RebalanceAll reassigns the partitions of all groups, each to the next member in the
// order of names, without waiting for their holders to release them.
func (s *Store) RebalanceAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		g.rotation++
		g.heldBy = [partitions]string{}
		g.rebalance()
	}
}
