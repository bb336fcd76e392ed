package node

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/group"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler"
)

// The store answers for the membership of a host that cannot serve the shard: its calls to
// the shard's partition may fail while its joins are answered. Such a host leaves the group
// for a while, so that the store assigns the shard to another one.

const (
	// maxUnclaimed is how long a host may hold the shard without taking it over. It covers
	// two takeovers that time out.
	maxUnclaimed = 2 * takeOverTimeout
	// maxUnable is how long an owner may be unable to act. The leases that it has granted
	// are over by then, so that nothing that it could go on with is lost.
	maxUnable = scheduler.AuthorityBound
	// maxOutOfTouch is how long the store may answer none of an owner's joins while it takes
	// records from another host. The next owner then reads the workers' entries before a
	// reduction of a capacity that this one could not read is in force.
	maxOutOfTouch = 1500 * time.Millisecond
	// outOfTouchDelay is how long the store may leave the host's joins unanswered after it
	// has taken records from another host: two joins and the answer of a slow store.
	outOfTouchDelay = 600 * time.Millisecond
	// minStepAside is how long a host that reads the log, but cannot take over, stays out of
	// the group. It is longer than maxUnclaimed, since the next host may be unable as well.
	// The time doubles while nobody takes over, up to maxStepAside.
	minStepAside = 6 * time.Second
	maxStepAside = 12 * time.Second
	// newEpochStepAside is how long a host stays out that needs a new epoch. Its membership
	// expires by then even if the request to leave is lost.
	newEpochStepAside = group.TTL + 200*time.Millisecond
)

// stretch measures how long something has been the case.
type stretch struct {
	since   time.Duration
	running bool
}

// lasts returns how long it has been the case, which it still is.
func (s *stretch) lasts(now time.Duration) time.Duration {
	if !s.running {
		s.since, s.running = now, true
	}
	return now - s.since
}

// end records that it is not the case any more.
func (s *stretch) end() { s.running = false }

// requestStepAside makes the host leave the group for a while because of err, after it has
// kept the shard without serving it for the given time.
func (n *Node) requestStepAside(unserved time.Duration, err error) {
	event.SteppedAside.Log(n.Logger, logrus.Fields{"unserved_ms": unserved.Milliseconds(), "error": err})
	n.count("shard.stepped_aside")
	n.steppingAside = true
	n.steppedAsideAt.Store(int64(n.Clock()))
	select {
	case n.stepAside <- err:
	default:
	}
}

// continuesAsOwner offers the shard to others if the host, which has to leave the group for
// the given reason, still owns it. It reports whether no other host has taken over: the
// reason may hold for all of them.
func (n *Node) continuesAsOwner(ctx context.Context, reason error) bool {
	d := n.ownedDispatcher()
	if d == nil || ctx.Err() != nil {
		return false
	}
	n.offering.Store(true)
	defer n.offering.Store(false)
	gone, err := n.offerShard(ctx, d, minStepAside)
	if !gone && ctx.Err() == nil {
		event.ShardNotTaken.Log(n.Logger, logrus.Fields{"epoch": d.Ownership.Epoch, "reason": reason, "error": err})
	}
	return !gone
}

// steppedAside reports whether the host has stepped aside within offerPause.
func (n *Node) steppedAside() bool {
	at := n.steppedAsideAt.Load()
	return at != 0 && n.Clock()-time.Duration(at) < offerPause
}

// takeStepAside returns why the host has to leave the group for a while, if it has to.
func (n *Node) takeStepAside() (reason error, asked bool) {
	select {
	case reason = <-n.stepAside:
		return reason, true
	default:
		return nil, false
	}
}

// startMembership joins the group of the shards.
func (n *Node) startMembership(ctx context.Context) (stop func()) {
	n.takeStepAside()
	n.steppingAside = false
	n.inGroup.Store(true)
	return startJoins(ctx, n.member, n.handleAssignment)
}

// runPreferred keeps a preferred host in the group until ctx is done, except while it
// cannot serve the shard.
func (n *Node) runPreferred(ctx context.Context) {
	aside := minStepAside
	for ctx.Err() == nil {
		n.observeUntilLoaded(ctx)
		claim := n.table.Owner().Claim
		stop := n.startMembership(ctx)
		var reason error
		select {
		case <-ctx.Done():
		case reason = <-n.stepAside:
		}
		stop()
		if ctx.Err() != nil {
			return
		}
		if n.continuesAsOwner(ctx, reason) {
			continue
		}
		n.leaveGroupTemporarily(ctx)
		if n.table.Owner().Claim != claim {
			aside = minStepAside
		}
		switch {
		case errors.Is(reason, errEpochUsed):
			n.observeFor(ctx, newEpochStepAside)
		case n.readsLog():
			n.observeFor(ctx, aside)
			aside = min(2*aside, maxStepAside)
		}
		n.observeUntilReading(ctx)
	}
}

// readsLog reports whether the host has lately read the log to its end.
func (n *Node) readsLog() bool { return n.SinceCaughtUp() <= maxReadAge }

// observeFor returns after d or when ctx is done.
func (n *Node) observeFor(ctx context.Context, d time.Duration) {
	defer n.startObserving(ctx)()
	_ = pause.For(ctx, d)
}

// observeUntilReading returns once the host reads the log to its end, or ctx is done. A
// silent partition is mostly so for all hosts, which then come back at the same time.
func (n *Node) observeUntilReading(ctx context.Context) {
	if n.readsLog() {
		return
	}
	defer n.startObserving(ctx)()
	for ctx.Err() == nil && !n.readsLog() {
		_ = pause.For(ctx, standbyPollInterval)
	}
}
