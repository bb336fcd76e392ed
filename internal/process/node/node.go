// Package node joins the parts of the scheduling program on one host: callers'
// jobs come in, the log is followed, and the shard runs while the host owns it.
package node

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/bootclock"
	"github.com/siskinvane/siskinvane/internal/process/dispatch"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/group"
	"github.com/siskinvane/siskinvane/internal/process/keyed"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/process/peer"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// Config is what a node needs.
type Config struct {
	Host platform.HostID
	Peer netip.AddrPort
	// Network carries the calls between hosts.
	Network peer.Network
	Bounds  scheduler.Bounds
	// AppendBytes is the most that the store takes in one append.
	AppendBytes int
	// Retention is how long callers can ask for a job that has ended.
	Retention time.Duration
	Logger    *logrus.Logger
	Metrics   metrics.Registry
	Clock     bootclock.Clock

	Store   store.Store
	Workers fleet.Workers
	// Advisor is nil if the platform has no advice service.
	Advisor fleet.Advisor
	// Machines is nil if the platform has no service for machines.
	Machines fleet.Machines
	Waves    func() fleet.Waves
	// MachineLease is how long orders of another owner for machines may be under way.
	MachineLease time.Duration
	Registry     func() fleet.Registry
	Declarations queue.Source
}

// JobTopic is the topic of the shards' records in the store.
const JobTopic = "keyed.jobs"

// groupName is the group that deals the shards out.
const groupName = "shards"

// Node is the scheduling program of one host.
type Node struct {
	Config
	partition store.Partition
	table     *job.Table
	member    *group.Member
	store     *dependency
	server    *peer.Server
	peers     *peer.Caller
	config    atomic.Pointer[queue.Config]

	ctx    context.Context
	cancel context.CancelFunc
	// membership ends the joins of the group, joined is closed once they have ended.
	membership context.CancelFunc
	joined     chan struct{}
	done       sync.WaitGroup

	// followed is when the last read of the log that reached its end was sent.
	followed atomic.Int64
	// reading holds a token while the reader is in use.
	reading chan struct{}
	reader  *keyed.Reader

	// leaving is set once the node stops; it then takes no shard over.
	leaving atomic.Bool
	alone   aloneWriter

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	workers    context.CancelFunc
}

// Start runs a node in the background.
func Start(c Config) (*Node, error) {
	c.Store = &observed{Store: c.Store, metrics: c.Metrics, clock: c.Clock}
	n := &Node{
		Config: c, partition: store.Partition{Topic: JobTopic}, table: job.NewTable(), reading: make(chan struct{}, 1), peers: peer.NewCallerOn(c.Network),
	}
	n.alone.node = n
	n.store = &dependency{logger: c.Logger, clock: c.Clock, since: map[string]time.Duration{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.reader = keyed.NewReader(c.Store, n.partition)
	n.member = group.New(c.Store, c.Clock, groupName, fmt.Sprintf("%s-%d", c.Host, time.Now().UnixNano()), JobTopic)
	var err error
	if n.server, err = peer.ListenOn(c.Network, c.Peer, peerService, &Service{node: n}); err != nil {
		return nil, err
	}
	n.server.Start()
	n.done.Go(n.followDeclarations)
	n.done.Go(n.followLog)
	member, leave := context.WithCancel(n.ctx)
	n.membership = leave
	n.joined = make(chan struct{})
	n.done.Go(func() {
		defer close(n.joined)
		n.member.Run(member, n.dealt)
	})
	return n, nil
}

// Queues returns the declarations in force, or nil before the first version.
func (n *Node) Queues() *queue.Config { return n.config.Load() }

// SetBounds changes the platform's figures from the next shard on that the host
// takes over, and for the one that it owns.
func (n *Node) SetBounds(b scheduler.Bounds) {
	n.mu.Lock()
	n.Bounds = b
	n.mu.Unlock()
	if d := n.owned(); d != nil {
		d.SetBounds(b)
	}
}

func (n *Node) bounds() scheduler.Bounds {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Bounds
}

// Ready reports whether the node can take jobs.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.Queues() != nil && n.member.Unconfirmed() < readyBound
}

// readyBound is how long a node without an answer of the store stays ready.
const readyBound = 2500 * time.Millisecond

// followDeclarations puts each new version in force, never an older one.
func (n *Node) followDeclarations() {
	for n.ctx.Err() == nil {
		c, err := n.Declarations.Next(n.ctx)
		if err != nil {
			n.store.failed("declarations", err)
			n.pause(retryPause)
			continue
		}
		n.store.answered("declarations")
		current := n.config.Load()
		if c == nil || current != nil && c.Version <= current.Version {
			continue
		}
		n.config.Store(c)
		event.QueuesInForce.Log(n.Logger, logrus.Fields{"version": c.Version, "queues": len(c.Queues)})
		if d := n.owned(); d != nil {
			d.SetConfig(c)
		}
	}
}

const (
	retryPause = 100 * time.Millisecond
	// followPeriod is the time between two reads of the log. Hosts tell the
	// owner of what they wrote; reading finds what such calls missed.
	followPeriod      = time.Second
	ownerFollowPeriod = 250 * time.Millisecond
)

// pause waits between two rounds of a loop, which ends with the node's context.
func (n *Node) pause(d time.Duration) { _ = pause.For(n.ctx, d) }

// followLog keeps the table up to date.
func (n *Node) followLog() {
	for n.ctx.Err() == nil {
		if err := n.Refresh(n.ctx); err != nil {
			n.store.failed("jobs", err)
			n.pause(retryPause)
			continue
		}
		n.store.answered("jobs")
		if n.owned() != nil {
			n.pause(ownerFollowPeriod)
		} else {
			n.pause(followPeriod)
		}
	}
}

// Refresh reads the log to its end.
func (n *Node) Refresh(ctx context.Context) error {
	select {
	case n.reading <- struct{}{}:
		defer func() { <-n.reading }()
	case <-ctx.Done():
		return fmt.Errorf("wait for another read of the log: %w", ctx.Err())
	}
	for {
		sent := n.Clock()
		changes, err := n.reader.Next(ctx, 0)
		if err != nil {
			return err
		}
		n.apply(changes.Page)
		if n.reader.Position() >= changes.End {
			n.followed.Store(int64(sent))
			return nil
		}
	}
}

// apply folds a page into the table and tells the shard, if this host owns it.
func (n *Node) apply(page store.Page) {
	entries, err := n.table.Apply(page, n.Clock())
	if err != nil {
		event.RecordUnreadable.Log(n.Logger, logrus.Fields{"error": err})
	}
	d := n.owned()
	if d == nil {
		return
	}
	if n.table.Owner().Epoch > d.Ownership.Epoch {
		d.Lose(dispatch.ErrFenced)
		return
	}
	if len(entries) > 0 {
		d.AddJobs(entries)
	}
}

// Followed returns how long ago the last read was sent that reached the end of
// the log.
func (n *Node) Followed() time.Duration {
	sent := n.followed.Load()
	if sent == 0 {
		return time.Duration(1<<63 - 1)
	}
	return n.Clock() - time.Duration(sent)
}

// Owns reports whether this host owns the shard.
func (n *Node) Owns() bool { return n.owned() != nil }

// owned returns the dispatcher while this host owns the shard.
func (n *Node) owned() *dispatch.Dispatcher {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dispatcher
}

// Leave leaves the group and hands the shard over. The host goes on as the owner until
// the next one has taken over, or until the time of the stop is nearly used up: with a
// slow store that takes seconds, and without it nobody could take over. Two owners at
// a time do no harm, as at a crash: the store and the workers follow the later one.
// The node still answers callers, with the help of the next owner.
func (n *Node) Leave(ctx context.Context) error {
	n.leaving.Store(true)
	n.membership()
	// A join that arrives after the leave would make the host a member again.
	select {
	case <-n.joined:
	case <-time.After(joinsWait):
	}
	err := n.handOver(ctx)
	n.release()
	return err
}

const (
	// joinsWait bounds the wait for joins under way: some fifty times their usual
	// time.
	joinsWait = 200 * time.Millisecond
	// leaveReserve is the time of a stop that is kept for the shard's last record,
	// which takes up to 1 s, and for requests in progress.
	leaveReserve = 1600 * time.Millisecond
	// leaveLook is the time between two looks whether the next owner has taken over,
	// and between two tries to leave the group.
	leaveLook = 50 * time.Millisecond
)

// handOver leaves the group and waits for the next owner.
func (n *Node) handOver(ctx context.Context) error {
	err := n.member.Leave(ctx)
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-leaveReserve))
	defer cancel()
	for d := n.owned(); d != nil && d.Lost() == nil; {
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leaveLook):
		}
		if err != nil {
			err = n.member.Leave(ctx)
		}
	}
	return err
}

// stopWait bounds the wait for calls under way at a stop. They decide nothing any
// more, and a slow store answers late.
const stopWait = 200 * time.Millisecond

// Stop ends the node.
func (n *Node) Stop() {
	n.cancel()
	if d := n.owned(); d != nil {
		d.Abort()
	}
	ended := make(chan struct{})
	go func() {
		n.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopWait):
	}
	go n.server.Close()
	n.peers.Close()
}
