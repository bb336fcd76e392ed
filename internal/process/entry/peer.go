package entry

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/connection/share"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/peer"
	"github.com/siskinvane/siskinvane/internal/request/idempotency"
)

// PeerService is the net/rpc name of the entry's peer service.
const PeerService = "Entry"

// None is an empty reply.
type None struct{}

// HelloArgs identifies the calling entry.
type HelloArgs struct {
	Host platform.HostID
}

// HelloReply returns the identity of the answering entry, including its
// incarnation, and how it shares the connections to workers.
type HelloReply struct {
	Member idempotency.Member
	// Counts is set if this host counts the calling host when it divides the
	// connections, and Within if this host has no more open than its share.
	Counts, Within bool
	// Full is set if this host has its full share.
	Full    bool
	Counted []share.CountedHost
}

// KeepReply returns the verdict on an idempotency key and its record.
type KeepReply struct {
	Verdict idempotency.Verdict
	Record  idempotency.Record
}

// HearReply reports whether an announcement matched the current members and was
// accepted.
type HearReply struct{ Taken bool }

// CancelArgs identifies a request that was not run.
type CancelArgs struct {
	Key      idempotency.Key
	Receiver idempotency.Member
}

// Peer is the net/rpc service that entries offer to each other.
type Peer struct{ entry *Entry }

// Hello returns this entry's identity and connection shares.
func (p *Peer) Hello(a HelloArgs, reply *HelloReply) error {
	*reply = p.entry.helloReply(a.Host)
	return nil
}

// Keep records that the calling entry received a request with an idempotency key.
func (p *Peer) Keep(r idempotency.KeepRequest, reply *KeepReply) error {
	reply.Verdict, reply.Record = p.entry.ledger.Keep(r, time.Now())
	return nil
}

// Learn stores the outcome of a request.
func (p *Peer) Learn(r idempotency.Record, _ *None) error {
	p.entry.ledger.Learn(r, time.Now())
	return nil
}

// Cancel removes the record of a request that was not run.
func (p *Peer) Cancel(a CancelArgs, _ *None) error {
	p.entry.ledger.Cancel(a.Key, a.Receiver)
	return nil
}

// Hear processes an announcement of another entry.
func (p *Peer) Hear(a idempotency.Announcement, reply *HearReply) error {
	reply.Taken = p.entry.ledger.Hear(&a, time.Now())
	return nil
}

// servePeer serves other entries at the peer address in the settings.
func servePeer(e *Entry) (*peer.Server, error) {
	s, err := peer.Listen(e.config.Host.EntryPeer, PeerService, &Peer{e})
	if err != nil {
		return nil, err
	}
	s.Start()
	return s, nil
}
