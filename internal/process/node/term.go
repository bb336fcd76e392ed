package node

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// Term is what a call to the shard's owner is meant for: one ownership, and a time after which
// nobody waits for the call. Calls that a cut has held up arrive in a later ownership of the same
// host, or after their caller was answered by another way. The zero Term is that of hosts of
// earlier versions.
type Term struct {
	Epoch platform.Epoch
	// Sent and Expiry are on the owner's clock, and not later than the caller's times.
	Sent, Expiry time.Duration
}

const (
	// clockDrift bounds by how much the clocks of two hosts drift apart, as a share of the time.
	clockDrift = 0.02
	// maxClockAge is how long an estimate of the owner's clock is used: the drift by then is an
	// eighth of ownerTimeout.
	maxClockAge = 10 * time.Second
)

// ownerClock estimates the clock of the shard's owner. The estimate is never ahead of that clock, so
// that a call has expired when its caller gives it up. It is safe for concurrent use.
type ownerClock struct {
	mu    sync.Mutex
	epoch platform.Epoch
	// lead is by how much the owner's clock was ahead of this host's at the time at, at least.
	lead, at time.Duration
}

// note takes in that the owner of an epoch has answered with the time on its clock.
func (c *ownerClock) note(now time.Duration, epoch platform.Epoch, answered time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lead := answered - now; epoch > c.epoch || epoch == c.epoch && (lead > c.leadAt(now) || now-c.at > maxClockAge) {
		c.epoch, c.lead, c.at = epoch, lead, now
	}
}

// leadAt returns the lead that is certain at the time now. The caller holds mu.
func (c *ownerClock) leadAt(now time.Duration) time.Duration {
	return c.lead - time.Duration(clockDrift*float64(now-c.at))
}

// term returns the term of a call that is made now to the owner of an epoch and that its caller
// gives up after timeout. It reports false if the owner has not answered lately.
func (c *ownerClock) term(now time.Duration, epoch platform.Epoch, timeout time.Duration) (Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch != epoch || now-c.at > maxClockAge {
		return Term{}, false
	}
	sent := now + c.leadAt(now)
	return Term{Epoch: epoch, Sent: sent, Expiry: sent + timeout}, true
}

// TermReply is the reply of Service.Term: the epoch under which the host owns the shard, or 0, and
// the time on its clock.
type TermReply struct {
	Epoch platform.Epoch
	Now   time.Duration
}

// Term tells what other hosts need for the terms of their calls. Hosts of older versions do not
// have it.
func (s *Service) Term(_ Empty, reply *TermReply) error {
	reply.Epoch, reply.Now = s.node.ownedEpochNow(), s.node.Clock()
	return nil
}

// ownedEpochNow returns the epoch under which the host owns the shard, or 0.
func (n *Node) ownedEpochNow() platform.Epoch {
	if d := n.ownedDispatcher(); d != nil {
		return d.Ownership.Epoch
	}
	return 0
}

// termFor returns the term of a call to an owner that is given up after timeout. It asks the owner
// for the time if it has not answered this host lately, which takes up part of the timeout. An owner
// of an earlier version gets the zero Term.
func (n *Node) termFor(owner job.Ownership, addr netip.AddrPort, timeout time.Duration) (Term, error) {
	started := n.Clock()
	if t, known := n.ownerClock.term(started, owner.Epoch, timeout); known {
		return t, nil
	}
	if n.termlessOwner.Load() == uint64(owner.Epoch) {
		return Term{}, nil
	}
	var reply TermReply
	err := n.peers.CallTimeout(timeout, addr, peerService, "Term", Empty{}, &reply)
	switch {
	case unknownMethod(err):
		n.termlessOwner.Store(uint64(owner.Epoch))
		return Term{}, nil
	case err != nil:
		// Nothing was asked of the owner yet.
		return Term{}, fmt.Errorf("%w: %v", errNoTerm, err)
	case reply.Epoch != owner.Epoch:
		return Term{}, errNotOwner
	}
	now := n.Clock()
	n.ownerClock.note(now, reply.Epoch, reply.Now)
	t, _ := n.ownerClock.term(now, owner.Epoch, timeout-(now-started))
	return t, nil
}

var errNoTerm = errors.New("the owner has not told its epoch")

// reportLate logs a call that arrives under another ownership than it was meant for, or after its
// expiry.
func (n *Node) reportLate(call string, t Term, fields logrus.Fields) {
	n.count("calls.late")
	fields["call"], fields["epoch"], fields["epoch_now"] = call, t.Epoch, n.ownedEpochNow()
	fields["age_ms"] = (n.Clock() - t.Sent).Milliseconds()
	event.CallLate.Log(n.Logger, fields)
}

// late reports whether a call must not be carried out under the given epoch now.
func (t Term) late(now time.Duration, epoch platform.Epoch) bool {
	return t.Epoch != 0 && (t.Epoch != epoch || now > t.Expiry)
}
