package node

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/dispatch"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/maintain"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// registryPeriod is the time between two readings of the workers' entries.
	registryPeriod = 300 * time.Millisecond
)

// dealt takes the shard over once the group deals it to this host, and gives it
// up once another owner was seen. Until then the host keeps what it was dealt.
func (n *Node) dealt(a store.Assignment, err error) {
	d := n.owned()
	if d != nil && d.Lost() != nil {
		event.OwnershipLost.Log(n.Logger, logrus.Fields{"epoch": d.Ownership.Epoch, "error": d.Lost()})
		n.release()
		n.member.Keep(false)
		return
	}
	if err != nil {
		return
	}
	if d != nil || !a.Holds(n.partition) || n.leaving.Load() {
		return
	}
	n.member.Keep(true)
	if err := n.takeOver(a.Epoch); err != nil {
		event.OwnershipFailed.Log(n.Logger, logrus.Fields{"epoch": a.Epoch, "error": err})
		n.member.Keep(false)
	}
}

// takeOver fences earlier owners, reads what they recorded and runs the shard.
func (n *Node) takeOver(epoch platform.Epoch) error {
	ctx, cancel := context.WithTimeout(n.ctx, takeOverTimeout)
	defer cancel()
	writer := &store.Writer{Name: dispatch.WriterName, Epoch: epoch}
	if err := n.announce(ctx, writer); err != nil {
		return err
	}
	if err := n.Refresh(ctx); err != nil {
		return err
	}
	previous := n.table.Owner()
	own := job.Ownership{Host: n.Host, Addr: n.Peer.String(), Epoch: epoch, Claim: previous.Claim + 1}
	d, err := dispatch.New(dispatch.Config{
		Store: n.Store, Partition: n.partition, Workers: n.Workers, Advisor: n.Advisor, Clock: n.Clock, Logger: n.Logger, Metrics: n.Metrics,
		Bounds: n.bounds(), Ownership: own, Predecessors: n.predecessors(), AppendBytes: n.AppendBytes,
		Recorded: n.take,
		Expired: func(limit int) []job.ID {
			return n.table.Expired(time.Now().Add(-n.Retention-retentionSlack).UnixMilli(), limit)
		},
		Confirmed: n.Followed,
	})
	if err != nil {
		return err
	}
	if c := n.Queues(); c != nil {
		d.SetConfig(c)
	}
	if learned := n.table.Learned(); learned != nil {
		if err := d.Restore(learned); err != nil {
			event.RecordUnreadable.Log(n.Logger, logrus.Fields{"error": err})
		}
	}
	d.Enroll(n.table.Workers())
	d.AddJobs(n.table.All())
	d.Start()
	watch, stop := context.WithCancel(n.ctx)
	n.mu.Lock()
	n.dispatcher, n.workers = d, stop
	n.mu.Unlock()
	n.done.Go(func() { n.followWorkers(watch, d) })
	n.maintain(watch, d, previous)
	n.count("shard.taken_over")
	event.OwnershipGained.Log(n.Logger, logrus.Fields{"epoch": epoch, "claim": own.Claim, "previous": previous.Host, "jobs": len(n.table.All())})
	return nil
}

// maintain carries out the waves of upkeep while this host owns the shard.
func (n *Node) maintain(ctx context.Context, d *dispatch.Dispatcher, previous job.Ownership) {
	if n.Machines == nil {
		return
	}
	var from time.Duration
	if previous.Claim > 0 {
		from = n.Clock() + n.MachineLease
	}
	m := maintain.New(maintain.Config{
		Shard: d, Machines: n.Machines, Waves: n.Waves(), Holder: n.Host, Token: d.Ownership.Epoch, OrdersFrom: from,
		Recorded: n.table.Waves(), Clock: n.Clock, Logger: n.Logger, Metrics: n.Metrics,
	})
	n.done.Go(func() { m.Run(ctx) })
}

// announce makes the store refuse writers of earlier epochs.
func (n *Node) announce(ctx context.Context, w *store.Writer) error {
	for {
		_, err := n.Store.Append(ctx, n.partition, nil, w)
		var fenced *store.FencedError
		var sequence *store.SequenceError
		if errors.As(err, &sequence) {
			// An earlier try was carried out: another epoch would be fenced or start
			// anywhere.
			return nil
		}
		if err == nil || errors.As(err, &fenced) || errors.Is(err, store.ErrUnavailable) || ctx.Err() != nil {
			return err
		}
	}
}

const (
	takeOverTimeout = 2 * time.Second
	// retentionSlack covers hosts whose times of day are seconds apart.
	retentionSlack = 30 * time.Second
)

// predecessors returns the earlier owners, the present one last.
func (n *Node) predecessors() []scheduler.Predecessor {
	var list []scheduler.Predecessor
	for _, o := range n.table.Owners() {
		list = append(list, scheduler.Predecessor{Claim: o.Claim, Released: o.Released, Backed: o.Backed, Replaced: o.Replaced})
	}
	return list
}

// release ends work on the shard.
func (n *Node) release() {
	n.mu.Lock()
	d, stop := n.dispatcher, n.workers
	n.dispatcher, n.workers = nil, nil
	n.mu.Unlock()
	if d == nil {
		return
	}
	stop()
	d.Stop()
	n.count("shard.released")
	event.OwnershipReleased.Log(n.Logger, logrus.Fields{"epoch": d.Ownership.Epoch})
}

// followWorkers hands the workers' entries to the dispatcher.
func (n *Node) followWorkers(ctx context.Context, d *dispatch.Dispatcher) {
	registry := n.Registry()
	for ctx.Err() == nil {
		changes, err := registry.Next(ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			n.store.failed("workers' entries", err)
		}
		for _, fault := range changes.Unreadable {
			event.EntryUnreadable.Log(n.Logger, logrus.Fields{"error": fault})
		}
		if err == nil {
			n.store.answered("workers' entries")
			d.SetWorkers(changes)
		}
		// The loop ends with the context.
		_ = pause.For(ctx, registryPeriod)
	}
}
