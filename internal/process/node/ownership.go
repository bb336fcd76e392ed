package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/dispatch"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/group"
	"github.com/siskinvane/siskinvane/internal/process/maintain"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// registryPollInterval is the time between two reads of the workers' entries.
	registryPollInterval = 300 * time.Millisecond
)

// handleAssignment takes over the shard once the group assigns it to this host and the
// table is loaded, which may take far longer than takeOverTimeout. It releases the shard
// once the dispatcher has given it up, mostly because another owner has been seen. Until
// then the host keeps the shard, even if the group assigns it to another host or a join
// fails. A host that does not take over a shard that it holds steps aside after
// maxUnclaimed.
func (n *Node) handleAssignment(a store.Assignment, err error) {
	d := n.ownedDispatcher()
	if d != nil && d.Err() != nil {
		n.dropShard(d)
		return
	}
	if err != nil {
		if d != nil {
			n.checkOutOfTouch(d)
		}
		if n.member.ConfirmationAge() > group.TTL {
			// The store may have assigned the shard to another host meanwhile.
			n.unserved.end()
		}
		return
	}
	if d != nil {
		n.checkServing(d)
		return
	}
	if !a.Holds(n.partition) || n.leaving.Load() || n.steppingAside {
		n.unserved.end()
		return
	}
	limit, lasted := maxUnclaimed, n.unserved.lasts(n.Clock())
	switch {
	case a.Epoch <= n.ownedEpoch:
		// The store takes records under a used epoch for repetitions of earlier ones.
		err, limit = errEpochUsed, group.TTL
	case !n.loaded.Load():
		err = errNotLoaded
	default:
		if err = n.claim(a.Epoch); err == nil {
			n.unserved.end()
			return
		}
		lasted = n.unserved.lasts(n.Clock())
	}
	if lasted >= limit {
		n.unserved.end()
		n.requestStepAside(lasted, err)
	}
}

var (
	errNotLoaded = errors.New("the jobs are not loaded")
	errEpochUsed = errors.New("the host has owned the shard under this epoch")
	// errOutOfTouch: the store answers other hosts, but not this one.
	errOutOfTouch = errors.New("the store answers other hosts only")
)

// checkServing gives the shard up once the dispatcher d has been unable to serve it for
// maxUnable, although the store answers the host's joins. One that may still act goes on
// until another host has taken over: its tasks would lose their leases.
func (n *Node) checkServing(d *dispatch.Dispatcher) {
	reason := d.Unable()
	if reason == nil || n.leaving.Load() {
		n.unserved.end()
		return
	}
	lasted := n.unserved.lasts(n.Clock())
	if lasted < maxUnable {
		return
	}
	n.unserved.end()
	if errors.Is(reason, dispatch.ErrNotClaimed) || errors.Is(reason, dispatch.ErrNotConfirmed) {
		d.Relinquish(reason)
		n.dropShard(d)
	}
	n.requestStepAside(lasted, reason)
}

// checkOutOfTouch leaves the shard to others once the store has answered none of the host's
// joins for maxOutOfTouch while it took records from another host. The store may go on
// carrying out the joins, and then keeps the shard with the host. Until another host has
// taken over, the host starts nothing on entries that the others may have seen change.
func (n *Node) checkOutOfTouch(d *dispatch.Dispatcher) {
	silent := n.member.ConfirmationAge()
	if n.steppingAside || n.leaving.Load() || silent < maxOutOfTouch || !n.othersReachStore(silent) {
		return
	}
	d.RequireRecentEntries()
	n.requestStepAside(silent, errOutOfTouch)
}

// noteOthersWrite records that the store takes records from another host, although it does
// not answer this host's joins.
func (n *Node) noteOthersWrite() {
	now := n.Clock()
	if at := time.Duration(n.othersWroteAt.Load()); at <= now-n.member.ConfirmationAge() {
		n.othersWroteAt.Store(int64(now))
	}
}

// othersReachStore reports whether the store has taken records from another host since it
// answered the latest join of this host, the time silent ago. After an outage for all hosts
// another one may be answered first, so the joins of a while have to be unanswered.
func (n *Node) othersReachStore(silent time.Duration) bool {
	now, at := n.Clock(), time.Duration(n.othersWroteAt.Load())
	return at > now-silent && now-at >= outOfTouchDelay
}

// claim takes over the shard. After an error the store may assign it to another host.
func (n *Node) claim(epoch platform.Epoch) error {
	n.takingOver.Store(true)
	defer n.takingOver.Store(false)
	n.member.Keep(true)
	err := n.takeOver(epoch)
	if err != nil {
		event.OwnershipFailed.Log(n.Logger, logrus.Fields{"epoch": epoch, "error": err})
		n.member.Keep(false)
		return err
	}
	n.ownedEpoch = epoch
	return nil
}

// dropShard releases the shard after its dispatcher d has given it up.
func (n *Node) dropShard(d *dispatch.Dispatcher) {
	event.OwnershipLost.Log(n.Logger, logrus.Fields{"epoch": d.Ownership.Epoch, "error": d.Err()})
	n.releaseShard()
	n.member.Keep(false)
}

// takeOver fences earlier owners, reads the log to its end and starts the dispatcher. It
// also reads the log before, so that a host that cannot read leaves the owner in place, and
// so does one that is no better off than an owner that still acts.
func (n *Node) takeOver(epoch platform.Epoch) error {
	ctx, cancel := context.WithTimeout(n.ctx, takeOverTimeout+actsProbeTimeout)
	defer cancel()
	if err := n.Refresh(ctx); err != nil {
		return err
	}
	if err := n.checkBetterOff(ctx); err != nil {
		return err
	}
	writer := &store.Writer{Name: dispatch.WriterName, Epoch: epoch}
	if err := n.fenceEarlierOwners(ctx, writer); err != nil {
		return err
	}
	if err := n.Refresh(ctx); err != nil {
		return err
	}
	earlier, previous := n.table.Owners(), n.table.Owner()
	own := job.Ownership{Host: n.Host, Addr: n.Peer.String(), Epoch: epoch, Claim: previous.Claim + 1, Standby: n.standby(), BoundsLeases: true}
	d := dispatch.New(dispatch.Config{
		Store: n.Store, Partition: n.partition, Workers: n.Workers, Advisor: n.Advisor, Clock: n.Clock, Logger: n.Logger, Metrics: n.Metrics,
		Bounds: n.bounds(), Ownership: own, Predecessors: scheduler.Predecessors(n.table.Owners()), AppendBytes: n.AppendBytes,
		OnRecorded:      n.applyRecords,
		ExpiredRecords:  n.expiredRecords,
		ConfirmationAge: n.SinceCaughtUp,
	})
	if learned := n.table.LearnedModels(); learned != nil {
		if err := d.Restore(learned); err != nil {
			event.RecordUnreadable.Log(n.Logger, logrus.Fields{"error": err})
		}
	}
	ownerCtx, stop := context.WithCancel(n.ctx)
	n.handStateTo(d, stop)
	n.background.Go(func() { n.followWorkers(ownerCtx, d) })
	// A worker that does not answer may have been reached last by any of them.
	for _, term := range earlier {
		n.background.Go(func() { n.awaitPredecessorEnd(ownerCtx, d, term) })
		n.background.Go(func() { n.tellSuccession(ownerCtx, term.Ownership, own) })
	}
	n.startUpkeep(ownerCtx, d, previous)
	n.count("shard.taken_over")
	event.OwnershipGained.Log(n.Logger, logrus.Fields{
		"epoch": epoch, "claim": own.Claim, "previous": previous.Host, "jobs": len(n.table.All()), "queues_version": d.DeclaredVersion(),
	})
	return nil
}

// checkBetterOff returns an error if the recorded owner still acts, and offers the shard since
// the store fails it, but fails this host as well. A full store is no such failure.
func (n *Node) checkBetterOff(ctx context.Context) error {
	owner := n.table.Owner()
	if owner.Claim == 0 || owner.Released || !n.ownerActs(owner) {
		return nil
	}
	_, err := n.Store.Append(ctx, n.partition, []store.Record{job.NoOpRecord()}, nil)
	if err != nil && !errors.Is(err, store.ErrFull) {
		return fmt.Errorf("owner %s still acts, and this host cannot append: %w", owner.Host, err)
	}
	if _, err := n.Registry().Next(ctx); err != nil {
		return fmt.Errorf("owner %s still acts, and this host cannot read the workers' entries: %w", owner.Host, err)
	}
	return nil
}

// ownerActs asks the recorded owner whether it still acts. One that does not answer within
// actsProbeTimeout counts as dead, since the shard has no owner while it is asked. The time
// covers dialing, which takes longer if the owner's machine is off.
func (n *Node) ownerActs(owner job.Ownership) bool {
	addr, err := netip.ParseAddrPort(owner.Addr)
	if err != nil || addr == n.Peer {
		return false
	}
	acts := make(chan bool, 1)
	go func() {
		var reply OwningReply
		err := n.probes.CallTimeout(actsProbeTimeout, addr, peerService, "Owning", Empty{}, &reply)
		acts <- err == nil && reply.Acts
	}()
	timeout := time.NewTimer(actsProbeTimeout)
	defer timeout.Stop()
	select {
	case answer := <-acts:
		return answer
	case <-timeout.C:
		return false
	}
}

// handStateTo starts the dispatcher d with the bounds, declarations and evacuations in force and the
// jobs and workers in the table, and makes it the one that hears of changes. No change is
// passed on meanwhile, so none is missed. The jobs come before the workers, since tasks of
// unknown jobs are stopped on workers that answer.
func (n *Node) handStateTo(d *dispatch.Dispatcher, stop context.CancelFunc) {
	n.applying.Lock()
	defer n.applying.Unlock()
	d.SetBounds(n.bounds())
	if c := n.Queues(); c != nil {
		d.SetConfig(c)
	}
	if domains := n.evacuated.Load(); domains != nil {
		d.SetEvacuated(*domains)
	}
	d.AddJobs(n.table.All())
	d.Enroll(n.table.Workers())
	d.Start()
	n.mu.Lock()
	n.dispatcher, n.stopOwnerLoops = d, stop
	n.mu.Unlock()
}

// startUpkeep carries out maintenance waves in the background until ctx is done. After
// a change of owner it gives no orders for MachineLease, since orders of the previous
// owner may still be in flight.
func (n *Node) startUpkeep(ctx context.Context, d *dispatch.Dispatcher, previous job.Ownership) {
	if n.Machines == nil {
		return
	}
	var ordersFrom time.Duration
	if previous.Claim > 0 {
		ordersFrom = n.Clock() + n.MachineLease
	}
	m := maintain.New(maintain.Config{
		Shard: d, Machines: n.Machines, Waves: n.Waves(), Holder: n.Host, Token: d.Ownership.Epoch, FirstOrderAt: ordersFrom,
		Recorded: n.table.Waves(), Clock: n.Clock, Logger: n.Logger, Metrics: n.Metrics,
	})
	n.background.Go(func() { m.Run(ctx) })
}

// fenceEarlierOwners makes the store refuse writers of earlier epochs by an empty append
// of the writer w. It retries while the outcome is unknown.
func (n *Node) fenceEarlierOwners(ctx context.Context, w *store.Writer) error {
	for {
		_, err := n.Store.Append(ctx, n.partition, nil, w)
		var fenced *store.FencedError
		var sequence *store.SequenceError
		if errors.As(err, &sequence) {
			// An earlier try has succeeded: with another epoch the store would have
			// fenced the writer or accepted any sequence number.
			return nil
		}
		if err == nil || errors.As(err, &fenced) || errors.Is(err, store.ErrUnavailable) || ctx.Err() != nil {
			return err
		}
	}
}

const (
	takeOverTimeout = 2 * time.Second
	// actsProbeTimeout is about thirty times the usual duration of a call to another host.
	actsProbeTimeout = 150 * time.Millisecond
	// retentionSkew allows for wall clocks of hosts that are seconds apart.
	retentionSkew = 30 * time.Second
)

// releaseShard stops the dispatcher and the loops that run while the host owns the
// shard.
func (n *Node) releaseShard() {
	n.releasing.Add(1)
	defer n.releasing.Add(-1)
	n.mu.Lock()
	d, stop := n.dispatcher, n.stopOwnerLoops
	n.dispatcher, n.stopOwnerLoops = nil, nil
	n.mu.Unlock()
	if d == nil {
		return
	}
	n.hasReleased.Store(true)
	stop()
	d.Stop()
	n.count("shard.released")
	event.OwnershipReleased.Log(n.Logger, logrus.Fields{"epoch": d.Ownership.Epoch})
}

// followWorkers passes changes of the workers' entries to the dispatcher until ctx is
// done.
func (n *Node) followWorkers(ctx context.Context, d *dispatch.Dispatcher) {
	registry := n.Registry()
	unreadable := unreadableEntries{logger: n.Logger, metrics: n.Metrics, clock: n.Clock}
	for ctx.Err() == nil {
		sent := n.Clock()
		changes, err := registry.Next(ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			n.storeHealth.reportFailure("workers' entries", sent, err)
		}
		unreadable.report(changes.Unreadable)
		if err == nil {
			n.storeHealth.reportSuccess("workers' entries", sent)
			unreadable.report(d.SetWorkers(sent, changes))
			if changes.More && len(changes.Set)+len(changes.Removed)+len(changes.Unreadable) > 0 {
				continue
			}
		}
		// The loop ends with the context.
		_ = pause.For(ctx, registryPollInterval)
	}
}
