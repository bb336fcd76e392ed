package entry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/connection/share"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/request/idempotency"
)

const (
	// memberRefreshPeriod is the time between updates of the members.
	memberRefreshPeriod = 250 * time.Millisecond
	// helloPeriod is the time between Hello calls to a member.
	helloPeriod = time.Second
	// maxConcurrentHellos bounds the concurrent Hello calls.
	maxConcurrentHellos = 8
)

// memberTable is an entry's state of the other entries. It is safe for concurrent
// use.
type memberTable struct {
	mu     sync.Mutex
	byHost map[platform.HostID]*memberState
	share  *share.State
	// announced is the set whose announcement each member last accepted.
	announced map[idempotency.Member]memberSetID
}

// memberSetID identifies a set of members and its generation.
type memberSetID struct{ set, generation uint64 }

// memberState is the state of one other entry.
type memberState struct {
	member    idempotency.Member
	addr      netip.AddrPort
	lastHello time.Time
}

func newMemberTable(self platform.HostID, now time.Time) *memberTable {
	return &memberTable{
		byHost: map[platform.HostID]*memberState{}, share: share.New(self, now),
		announced: map[idempotency.Member]memberSetID{},
	}
}

// newIncarnation returns an identifier for a run of a process.
func newIncarnation(now time.Time) string { return fmt.Sprintf("%x", now.UnixNano()) }

// connectionShare implements routing.ShareFunc.
func (m *memberTable) connectionShare(maxConnections int64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.share.Share(maxConnections)
}

// helloReply returns the reply to another entry's Hello call.
func (e *Entry) helloReply(from platform.HostID) HelloReply {
	within := e.registry.WithinShares()
	m := e.members
	m.mu.Lock()
	defer m.mu.Unlock()
	return HelloReply{
		Member: e.ledger.Self(), Counts: m.share.Counts(from), Within: within,
		Full: m.share.Full(), Counted: m.share.Counted(time.Now()),
	}
}

// refreshMembersLoop updates the connection shares and the home hosts of
// idempotency keys from the members until ctx is done.
func (e *Entry) refreshMembersLoop(ctx context.Context) {
	defer e.loops.Done()
	pool, err := ants.NewPool(maxConcurrentHellos)
	if err != nil {
		event.MembersNotFollowed.Log(e.config.Logger, logrus.Fields{"error": fmt.Errorf("start pool for hellos: %w", err)})
		return
	}
	defer pool.Release()
	ticker := time.NewTicker(memberRefreshPeriod)
	defer ticker.Stop()
	for {
		e.refreshMembers(pool)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) refreshMembers(pool *ants.Pool) {
	table := e.directory.Table()
	if table.Version == 0 {
		return
	}
	now := time.Now()
	e.updateShares(table, now)
	e.helloMembers(pool, table, now)
	e.ledger.SetMembers(e.memberSet(table), now)
	e.announce(e.ledger.Announcements(now))
	e.ledger.Expire(now)
}

// updateShares updates the connection shares when the members have changed.
func (e *Entry) updateShares(table *directory.Table, now time.Time) {
	ids := make([]platform.HostID, len(table.Members))
	for i, m := range table.Members {
		ids[i] = m.Host
	}
	e.members.mu.Lock()
	changed := e.members.share.Observe(ids, now)
	e.members.mu.Unlock()
	if changed {
		e.registry.Reshare(now)
	}
}

// helloMembers calls Hello on the members for which a call is due.
func (e *Entry) helloMembers(pool *ants.Pool, table *directory.Table, now time.Time) {
	var wg sync.WaitGroup
	for _, m := range table.Members {
		if m.Host == e.config.Host.ID || !e.members.helloDue(m, now) {
			continue
		}
		wg.Add(1)
		err := pool.Submit(func() {
			defer wg.Done()
			e.helloMember(m)
		})
		if err != nil {
			wg.Done()
		}
	}
	wg.Wait()
}

// helloDue reports whether a Hello call to d is due, and if so stores now as the
// time of the call. It discards the state of d if d's address has changed.
func (m *memberTable) helloDue(d directory.Member, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.byHost[d.Host]
	if s == nil || s.addr != d.Entry {
		s = &memberState{addr: d.Entry}
		m.byHost[d.Host] = s
	}
	if now.Sub(s.lastHello) < helloPeriod {
		return false
	}
	s.lastHello = now
	return true
}

func (e *Entry) helloMember(d directory.Member) {
	var reply HelloReply
	if e.peers.Call(d.Entry, PeerService, "Hello", HelloArgs{Host: e.config.Host.ID}, &reply) != nil {
		return
	}
	m := e.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.byHost[d.Host]; s != nil {
		s.member = reply.Member
	}
	if reply.Counts && reply.Within {
		m.share.Ack(d.Host, reply.Counted, reply.Full, time.Now())
	}
}

// memberSet returns this entry and the members of the directory whose incarnation
// is known. It discards the state of members that left the directory.
func (e *Entry) memberSet(table *directory.Table) []idempotency.Member {
	set := []idempotency.Member{e.ledger.Self()}
	m := e.members
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := map[platform.HostID]bool{}
	for _, d := range table.Members {
		listed[d.Host] = true
		if s := m.byHost[d.Host]; s != nil && s.member != "" {
			set = append(set, s.member)
		}
	}
	for id := range m.byHost {
		if !listed[id] {
			delete(m.byHost, id)
		}
	}
	return set
}

// announce sends each member its announcement unless the member has accepted the
// one for the same set already. Announcements of leaving are always sent.
func (e *Entry) announce(announcements map[idempotency.Member]*idempotency.Announcement) {
	for to, a := range announcements {
		e.members.mu.Lock()
		current := memberSetID{a.Set, a.Generation}
		alreadyAccepted := e.members.announced[to] == current
		e.members.mu.Unlock()
		if alreadyAccepted && !a.Leaving {
			continue
		}
		var reply HearReply
		if err := e.callMember(to, "Hear", *a, &reply); err != nil || !reply.Taken {
			continue
		}
		e.members.mu.Lock()
		e.members.announced[to] = current
		e.members.mu.Unlock()
	}
}

// callMember calls the peer service of a known member.
func (e *Entry) callMember(to idempotency.Member, method string, args, reply any) error {
	addr, ok := e.members.address(to)
	if !ok {
		return fmt.Errorf("%s %s: not a member", PeerService, to)
	}
	return e.peers.Call(addr, PeerService, method, args, reply)
}

func (m *memberTable) address(to idempotency.Member) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.byHost {
		if s.member == to {
			return s.addr, true
		}
	}
	return netip.AddrPort{}, false
}

// Keep implements idempotency.Peers.
func (e *Entry) Keep(m idempotency.Member, r idempotency.KeepRequest) (idempotency.Verdict, idempotency.Record, error) {
	var reply KeepReply
	err := e.callMember(m, "Keep", r, &reply)
	return reply.Verdict, reply.Record, err
}

// Learn implements idempotency.Peers.
func (e *Entry) Learn(m idempotency.Member, r idempotency.Record) error {
	return e.callMember(m, "Learn", r, &None{})
}

// Cancel implements idempotency.Peers.
func (e *Entry) Cancel(m idempotency.Member, k idempotency.Key, receiver idempotency.Member) error {
	return e.callMember(m, "Cancel", CancelArgs{Key: k, Receiver: receiver}, &None{})
}
