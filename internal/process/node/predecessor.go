package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/siskinvane/siskinvane/internal/process/dispatch"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// predecessorProbeInterval is the time between two calls that ask whether the owner before
// has ended.
const predecessorProbeInterval = 100 * time.Millisecond

// awaitPredecessorEnd asks the host of an earlier owner, until it answers that this owner has
// ended, and tells d. Tasks that may run on a worker that does not answer then wait for the
// leases only, not for the time for which that owner might act without the store. It returns
// after that time, or when ctx is done.
func (n *Node) awaitPredecessorEnd(ctx context.Context, d *dispatch.Dispatcher, earlier job.OwnershipTerm) {
	until := n.Clock()
	if earlier.ReplacedAt != 0 {
		until = earlier.ReplacedAt
	}
	until += scheduler.AuthorityBound
	for !earlier.Released && ctx.Err() == nil && n.Clock() < until {
		if n.hasEnded(earlier.Ownership) {
			n.count("shard.predecessor_ended")
			d.PredecessorEnded(earlier.Claim)
			return
		}
		// The loop ends with the context.
		_ = pause.For(ctx, predecessorProbeInterval)
	}
}

// hasEnded reports whether an earlier owner has certainly sent its last order. A host that
// does not answer may only be cut off.
func (n *Node) hasEnded(owner job.Ownership) bool {
	addr, err := netip.ParseAddrPort(owner.Addr)
	if err != nil {
		return false
	}
	if addr == n.Peer {
		// This process has given the shard up before, or has replaced the owner's.
		return owner.Host == n.Host && n.releasing.Load() == 0
	}
	var reply OwningReply
	err = n.probes.CallTimeout(actsProbeTimeout, addr, peerService, "Owning", Empty{}, &reply)
	return err == nil && reply.Idle && reply.Host == owner.Host
}

// isIdle reports whether the host neither acts as the owner of the shard nor takes it over. It
// reads the states in the order in which a takeover and a release pass through them.
func (n *Node) isIdle() bool {
	return !n.takingOver.Load() && n.ownedDispatcher() == nil && n.releasing.Load() == 0
}
