package node

import (
	"context"
	"errors"
	"net/netip"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/dispatch"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/group"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// minOwnerLinkMbps is the least bandwidth of a preferred owner's link, in
	// megabit/s. An owner of 500 workers needs 40 Mbit/s.
	minOwnerLinkMbps = 50.0
	// observerGroupName is the name of the group that standby hosts join while they
	// are not in the group of the shards. Its assignments are ignored.
	observerGroupName = "observers"

	// standbyDelay is how long a standby host sees no live owner before it joins the
	// group. Preferred hosts take over in about 1.3 s.
	standbyDelay = 2 * time.Second
	// shortStandbyDelay replaces standbyDelay after an owner that was a standby host,
	// because then there may be no preferred host. A preferred host that is a member
	// still comes first: the store waits for group.TTL and a join.
	shortStandbyDelay = group.TTL + 200*time.Millisecond
	// maxReadAge is the greatest age of the last read of the log's end at which a
	// standby host relies on its record of the owner.
	maxReadAge = 1500 * time.Millisecond
	// maxStoreGap is the time without an answer from the store after which a standby
	// host counts its delay anew. The owner cannot confirm its membership during an
	// outage either.
	maxStoreGap = 1500 * time.Millisecond
	// standbyPollInterval is the time between two checks of a standby host in the group
	// whether it has to stay there.
	standbyPollInterval = 50 * time.Millisecond

	// ownerProbeInterval is the time between two calls that ask the owner whether it
	// is alive.
	ownerProbeInterval = 500 * time.Millisecond
	// ownerProbeTimeout bounds such a call and an offer to take over.
	ownerProbeTimeout = time.Second

	// offerInterval is the time between two offers of a preferred host to take over
	// from a standby host.
	offerInterval = time.Second
	// maxOfferAge is how long such an offer holds.
	maxOfferAge = 2 * offerInterval
	// offerPause is how long a host that has stepped aside offers nothing: a standby owner
	// may serve the shard where it could not.
	offerPause = time.Minute
	// handBackInterval is the least time between two attempts of a standby owner to
	// hand the shard to a preferred host.
	handBackInterval = 10 * time.Second
	// handBackTimeout is how long a standby owner stays out of the group for another
	// host to take over. It covers a takeover with a slow store.
	handBackTimeout = 4 * time.Second
)

// standby reports whether the host's link is too narrow for a preferred owner.
func (n *Node) standby() bool { return n.LinkMbps > 0 && n.LinkMbps < minOwnerLinkMbps }

// ownerWatch holds what a standby host knows of the owner. It is safe for concurrent
// use.
type ownerWatch struct {
	mu sync.Mutex
	// epoch is the highest epoch of an owner seen in the log.
	epoch platform.Epoch
	// aliveAt is the last time at which an owner was known to be alive, or the start
	// of the process.
	aliveAt time.Duration
	// offer is the latest offer of a preferred host to take over, received at offeredAt.
	offer     OfferArgs
	offeredAt time.Duration
}

func (w *ownerWatch) recordAlive(at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.aliveAt = max(w.aliveAt, at)
}

// recordEpoch records the epoch of the current owner. A new owner is alive.
func (w *ownerWatch) recordEpoch(epoch platform.Epoch, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch > w.epoch {
		w.epoch, w.aliveAt = epoch, max(w.aliveAt, now)
	}
}

// recordOffer records an offer to take over.
func (w *ownerWatch) recordOffer(o OfferArgs, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.offer, w.offeredAt = o, now
}

// latestOffer returns the latest offer and when it was received. The offer is empty if
// there was none.
func (w *ownerWatch) latestOffer() (OfferArgs, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.offer, w.offeredAt
}

// ownerAliveAt returns the last time at which an owner was known to be alive, or the
// start of the process.
func (n *Node) ownerAliveAt() time.Duration {
	now := n.Clock()
	n.watch.recordEpoch(n.table.Owner().Epoch, now)
	if d := n.ownedDispatcher(); d != nil && d.Err() == nil {
		n.watch.recordAlive(now)
	}
	n.watch.mu.Lock()
	defer n.watch.mu.Unlock()
	return n.watch.aliveAt
}

// storeAge returns the time since the latest answered join of any group was sent.
func (n *Node) storeAge() time.Duration {
	return min(n.member.ConfirmationAge(), n.observer.ConfirmationAge())
}

// runStandby keeps a standby host in the group while it owns the shard or sees no live
// owner, until ctx is done. Otherwise the host only observes.
func (n *Node) runStandby(ctx context.Context) {
	for ctx.Err() == nil {
		n.observe(ctx)
		if ctx.Err() == nil {
			n.joinWhileNeeded(ctx)
		}
	}
}

// startJoins runs m in the background. The returned function ends it and waits for a
// takeover in progress.
func startJoins(ctx context.Context, m *group.Member, onResult func(store.Assignment, error)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.Run(ctx, onResult)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// startObserving joins the group of observers, which shows whether the store answers.
func (n *Node) startObserving(ctx context.Context) (stop func()) {
	return startJoins(ctx, n.observer, func(store.Assignment, error) {})
}

// observeUntilLoaded returns once the table is loaded, or ctx is done. A member that
// cannot take over yet would keep the shard from those that can.
func (n *Node) observeUntilLoaded(ctx context.Context) {
	if n.loaded.Load() {
		return
	}
	defer n.startObserving(ctx)()
	for ctx.Err() == nil && !n.loaded.Load() {
		_ = pause.For(ctx, standbyPollInterval)
	}
}

// observe returns once no live owner has been seen for the delay, or ctx is done.
func (n *Node) observe(ctx context.Context) {
	defer n.startObserving(ctx)()
	countFrom := n.Clock()
	for ctx.Err() == nil {
		now := n.Clock()
		if n.storeAge() > maxStoreGap {
			countFrom = now
		}
		delay := standbyDelay
		if n.table.Owner().Standby {
			delay = shortStandbyDelay
		}
		remaining := delay - (now - max(countFrom, n.ownerAliveAt()))
		if remaining <= 0 && n.SinceCaughtUp() < maxReadAge {
			return
		}
		_ = pause.For(ctx, min(max(remaining, standbyPollInterval), ownerProbeInterval))
	}
}

// joinWhileNeeded is a member of the group until another live owner is seen or a
// preferred host has taken the shard over, or ctx is done.
func (n *Node) joinWhileNeeded(ctx context.Context) {
	joinedAt := n.Clock()
	event.StandbyJoined.Log(n.Logger, logrus.Fields{
		"last_owner": n.table.Owner().Host, "owner_silent_ms": (joinedAt - n.ownerAliveAt()).Milliseconds(), "link_mbps": n.LinkMbps,
	})
	stop := n.startMembership(ctx)
	defer func() { stop() }()
	for ctx.Err() == nil {
		_ = pause.For(ctx, standbyPollInterval)
		if reason, asked := n.takeStepAside(); asked {
			stop()
			if n.continuesAsOwner(ctx, reason) {
				stop = n.startMembership(ctx)
				continue
			}
			n.leaveGroupTemporarily(ctx)
			if n.readsLog() && !errors.Is(reason, errEpochUsed) {
				n.observeFor(ctx, minStepAside)
			}
			return
		}
		aliveAt := n.ownerAliveAt()
		switch {
		case n.OwnsShard():
			host, offered := n.acceptedOffer()
			if !offered {
				continue
			}
			stop()
			if n.handBack(ctx, host) {
				return
			}
			stop = startJoins(ctx, n.member, n.handleAssignment)
		case !n.takingOver.Load() && aliveAt > joinedAt:
			stop()
			if !n.OwnsShard() {
				n.leaveGroupTemporarily(ctx)
				return
			}
			// The takeover began meanwhile.
			stop = startJoins(ctx, n.member, n.handleAssignment)
		}
	}
}

// acceptedOffer returns the preferred host to which the shard is to be handed.
func (n *Node) acceptedOffer() (platform.HostID, bool) {
	d, now := n.ownedDispatcher(), n.Clock()
	offer, at := n.watch.latestOffer()
	if d == nil || offer.Epoch != d.Ownership.Epoch || now-at > maxOfferAge || now-n.handBackAt < handBackInterval {
		return "", false
	}
	n.handBackAt = now
	n.count("shard.hand_back_tried")
	return offer.Host, true
}

// leaveGroupTemporarily leaves the group until the host joins it again. If the store does
// not answer, the membership expires.
func (n *Node) leaveGroupTemporarily(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, group.TTL)
	defer cancel()
	sent := n.Clock()
	if err := n.leaveMember(ctx); err != nil {
		n.storeHealth.reportFailure("group", sent, err)
		return
	}
	n.storeHealth.reportSuccess("group", sent)
}

// leaveMember leaves the group unless the host has left it already.
func (n *Node) leaveMember(ctx context.Context) error {
	if !n.inGroup.Load() {
		return nil
	}
	err := n.member.Leave(ctx)
	if err == nil {
		n.inGroup.Store(false)
	}
	return err
}

// handBack hands the shard to a preferred host. It returns false if none has taken over
// within handBackTimeout, or ctx is done.
func (n *Node) handBack(ctx context.Context, to platform.HostID) bool {
	d := n.ownedDispatcher()
	if d == nil {
		return true
	}
	started := n.Clock()
	gone, err := n.offerShard(ctx, d, handBackTimeout)
	switch {
	case gone && errors.Is(err, dispatch.ErrFenced):
		event.ShardHandedBack.Log(n.Logger, logrus.Fields{"epoch": d.Ownership.Epoch, "to": to, "took_ms": (n.Clock() - started).Milliseconds()})
	case !gone && ctx.Err() == nil:
		event.HandBackFailed.Log(n.Logger, logrus.Fields{"epoch": d.Ownership.Epoch, "to": to, "error": err})
	}
	return gone
}

// offerShard leaves the group and continues as the owner, by the dispatcher d, until another
// host has taken over. It then releases the shard and returns true and why d gave it up. If
// no host takes over within the limit, or ctx is done, the host remains the owner, and the
// error is that of the request to leave, or nil.
func (n *Node) offerShard(ctx context.Context, d *dispatch.Dispatcher, limit time.Duration) (gone bool, err error) {
	defer n.startObserving(ctx)()
	started := n.Clock()
	leaveErr := n.leaveMember(ctx)
	for ctx.Err() == nil && n.Clock()-started < limit {
		if err := d.Err(); err != nil {
			n.dropShard(d)
			return true, err
		}
		if leaveErr != nil {
			leaveErr = n.leaveMember(ctx)
		}
		_ = pause.For(ctx, handOverPollInterval)
	}
	if ctx.Err() == nil {
		n.inGroup.Store(true)
	}
	return false, leaveErr
}

// watchOwner asks the recorded owner whether it is alive, one call at a time, until
// ctx is done.
func (n *Node) watchOwner(ctx context.Context) {
	silent := false
	for ctx.Err() == nil {
		owner := n.table.Owner()
		if !n.OwnsShard() {
			err := n.probeOwner(owner)
			if err != nil && !silent && owner.Claim > 0 && ctx.Err() == nil {
				n.reportOwnerUnreachable("owns", err, logrus.Fields{"owner": owner.Host})
			}
			silent = err != nil
			if silent {
				n.readNextOwner(ctx)
			}
		}
		if n.table.Owner().Epoch == owner.Epoch {
			_ = pause.For(ctx, ownerProbeInterval)
		}
	}
}

// readNextOwner reads the log, where another owner may be recorded.
func (n *Node) readNextOwner(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ownerProbeTimeout)
	defer cancel()
	// followLog reports reads that fail.
	_ = n.Refresh(ctx)
}

// probeOwner asks the recorded owner whether it owns the shard and records when it was
// alive.
func (n *Node) probeOwner(owner job.Ownership) error {
	addr, err := netip.ParseAddrPort(owner.Addr)
	if err != nil {
		return errNoOwner
	}
	if addr == n.Peer {
		return errNotOwner
	}
	sent := n.Clock()
	var reply OwningReply
	err = n.probes.CallTimeout(ownerProbeTimeout, addr, peerService, "Owning", Empty{}, &reply)
	if unknownMethod(err) {
		// A host of an earlier version is always in the group, and accepts records
		// while the store has confirmed that lately.
		err = n.probes.CallTimeout(ownerProbeTimeout, addr, peerService, "Written", WrittenArgs{}, &Empty{})
		reply = OwningReply{Owns: true}
	}
	switch {
	case err != nil:
		return err
	case !reply.Owns:
		return errNotOwner
	}
	n.watch.recordAlive(sent - reply.StoreAge)
	return nil
}

var errNoOwner = errors.New("no owner is recorded")

// unknownMethod reports whether the called host does not know the method.
func unknownMethod(err error) bool {
	var answer rpc.ServerError
	return errors.As(err, &answer) && strings.Contains(string(answer), "can't find method")
}

// OwningReply is the reply of Service.Owning. Owns is set if the host owns the shard and has
// begun neither to stop nor to leave the shard to others. StoreAge is the time since the
// latest answered join of the host was sent. Acts is set if the host has not begun to stop and
// serves running tasks as the owner, whatever else it is unable to do; hosts of older versions
// never set it. Idle is set if no owner runs in the host's process or is about to; Host is the
// host's name, since another one may have taken over its address.
type OwningReply struct {
	Owns     bool
	StoreAge time.Duration
	Acts     bool
	Idle     bool
	Host     platform.HostID
}

// Owning tells a standby host whether this host is a live owner.
func (s *Service) Owning(_ Empty, reply *OwningReply) error {
	d := s.node.ownedDispatcher()
	reply.Owns = d != nil && d.Err() == nil && !s.node.leaving.Load() && !s.node.offering.Load()
	reply.StoreAge = s.node.storeAge()
	reply.Idle, reply.Host = s.node.isIdle(), s.node.Host
	reply.Acts = d != nil && d.Err() == nil && !s.node.leaving.Load() && d.Acts()
	return nil
}

// OfferArgs is the argument of Service.Offer: a preferred host and the epoch of the
// owner that it would replace.
type OfferArgs struct {
	Host  platform.HostID
	Epoch platform.Epoch
}

// Offer tells a standby owner that a preferred host is ready to take over.
func (s *Service) Offer(args OfferArgs, _ *Empty) error {
	d := s.node.ownedDispatcher()
	if !s.node.standby() || d == nil || d.Ownership.Epoch != args.Epoch {
		return errNotOwner
	}
	s.node.watch.recordOffer(args, s.node.Clock())
	return nil
}

// offerToOwn offers a preferred host to a standby owner until the node stops.
func (n *Node) offerToOwn() {
	failing := false
	for pause.For(n.ctx, offerInterval) == nil {
		owner := n.table.Owner()
		addr, err := netip.ParseAddrPort(owner.Addr)
		if err != nil || !owner.Standby || owner.Released || n.OwnsShard() || !n.Ready() || n.steppedAside() || n.member.ConfirmationAge() > ownerJoinMaxAge || n.SinceCaughtUp() > maxReadAge {
			failing = false
			continue
		}
		err = n.probes.CallTimeout(ownerProbeTimeout, addr, peerService, "Offer", OfferArgs{Host: n.Host, Epoch: owner.Epoch}, &Empty{})
		if err != nil && !failing && n.ctx.Err() == nil {
			n.reportOwnerUnreachable("offer", err, logrus.Fields{"owner": owner.Host})
		}
		failing = err != nil
	}
}
