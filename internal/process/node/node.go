// Package node wires the parts of siskin-scheduler on one host: it accepts callers'
// jobs, follows the log, and runs the dispatcher while the host owns the shard.
package node

import (
	"context"
	"errors"
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

// Config holds the dependencies and settings of a Node.
type Config struct {
	Host platform.HostID
	// Peer is the address on which the host serves calls of other hosts. Network carries
	// these calls.
	Peer    netip.AddrPort
	Network peer.Network
	// LinkMbps is the bandwidth of the host's network link in megabit/s, 0 if unknown.
	// A host with a narrow link owns the shard only while no other host can.
	LinkMbps float64
	Bounds   scheduler.Bounds
	// AppendBytes is the greatest size of one append to the store.
	AppendBytes int
	// Retention is how long callers can query a job after its end.
	Retention time.Duration
	Logger    *logrus.Logger
	Metrics   metrics.Registry
	Clock     bootclock.Clock

	Store   store.Store
	Workers fleet.Workers
	// Advisor is nil if the platform has no advice service.
	Advisor fleet.Advisor
	// Machines is nil if the platform has no machine service.
	Machines fleet.Machines
	// Waves and Registry return new sources, whose first Next returns the whole state.
	// The host uses new ones each time that it becomes the owner.
	Waves func() fleet.Waves
	// MachineLease is how long machine orders of another owner may be in flight.
	MachineLease time.Duration
	Registry     func() fleet.Registry
	Declarations queue.Source
}

// JobTopic is the topic of the shards' records in the store.
const JobTopic = "keyed.jobs"

// groupName is the name of the store's consumer group that assigns the shards.
const groupName = "shards"

// Node is siskin-scheduler on one host. Its methods are safe for concurrent use.
type Node struct {
	Config
	partition store.Partition
	table     *job.Table
	member    *group.Member
	// observer is the membership of a standby host that is not in the shards' group.
	observer    *group.Member
	storeHealth *storeHealth
	server      *peer.Server
	peers       *peer.Client
	// probes makes the calls that choose the owner. One that times out may close its
	// connection, which must not be one of peers.
	probes *peer.Client
	config atomic.Pointer[queue.Config]
	// evacuated are the failure domains that operators have evacuated, sorted, or nil before they
	// were read. followDeclarations changes it while it holds applying.
	evacuated atomic.Pointer[[]platform.FailureDomain]
	// declared is closed once the first version of the declarations is in force.
	declared  chan struct{}
	startedAt time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	// leaveGroup stops the joins to the group; joinsEnded is closed once they have ended.
	leaveGroup context.CancelFunc
	joinsEnded chan struct{}
	background sync.WaitGroup

	// caughtUpAt is when the last read that reached the end of the log was sent, in
	// nanoseconds of Clock.
	caughtUpAt atomic.Int64
	// loaded is set once the table holds the newest record of each key and those written
	// while they were read, which can take several reads. It is not set while a host that
	// has fallen behind what the log retains loads the table again.
	loaded atomic.Bool
	// logEnd is the end of the log as of the last answered read.
	logEnd atomic.Uint64
	// readToken holds a token while reader and unreadSince are in use.
	readToken chan struct{}
	reader    *keyed.Reader
	// unreadSince is when the first read since the last successful one was sent, or zero.
	unreadSince time.Duration

	// leaving is set once the node stops; from then on it does not take over the shard.
	leaving atomic.Bool
	direct  directWriter
	open    *openWrites
	answers *partitionAnswers
	// deciding is held while the owner decides on a proposal, until its write is open. It guards
	// refusals and is acquired before applying.
	deciding sync.Mutex
	refusals refusals
	// hasReleased is set once the host has given up the shard.
	hasReleased atomic.Bool

	// oldOwner is the epoch of the latest owner seen that lacks Service.ProposeJob.
	oldOwner atomic.Uint64
	// ownerClock is the clock of the shard's owner, for the terms of calls. termlessOwner is the
	// epoch of the latest owner seen that lacks Service.Term.
	ownerClock    ownerClock
	termlessOwner atomic.Uint64
	// toldOwner is the latest owner of which other hosts have told. It may be older than the log's.
	toldOwner atomic.Pointer[job.Ownership]

	// applying is held while a page is applied to the table and its changes are passed to
	// the dispatcher: the table reports a change only once, and the dispatcher must hear
	// of changes in the order in which they were applied. It is held as well while a new
	// version of the declarations or new bounds are passed to the dispatcher, so that a
	// takeover misses none. It is acquired before mu.
	applying sync.Mutex

	watch ownerWatch
	// inGroup is set while the host may be in the shards' group; takingOver while it
	// takes the shard over.
	inGroup    atomic.Bool
	takingOver atomic.Bool
	// releasing counts the dispatchers that the host has given up and that have not stopped yet.
	releasing atomic.Int32
	// unserved is the time for which the host has held the shard without serving it: it has
	// not taken it over or, as the owner, cannot act. steppingAside is set from the decision
	// to leave the group for that until the host joins again. ownedEpoch is the epoch of the
	// last takeover. All three are used by handleAssignment and between memberships.
	unserved      stretch
	steppingAside bool
	ownedEpoch    platform.Epoch
	// stepAside passes the reason to leave the group to the loop that joins.
	stepAside chan error
	// steppedAsideAt is when the host last had to leave the group, in nanoseconds of Clock,
	// or zero.
	steppedAsideAt atomic.Int64
	// othersWroteAt is when another host first told of records that the store had taken from
	// it, although the store did not answer this host's joins any more, in nanoseconds of
	// Clock, or zero.
	othersWroteAt atomic.Int64
	// offering is set while the host, still the owner, leaves the shard to others.
	offering atomic.Bool
	// handBackAt is the time of the last attempt to hand the shard to a preferred host,
	// used by runStandby only.
	handBackAt time.Duration

	mu             sync.Mutex
	dispatcher     *dispatch.Dispatcher
	stopOwnerLoops context.CancelFunc
}

// Start opens the peer server and runs a node in the background.
func Start(c Config) (*Node, error) {
	partition := store.Partition{Topic: JobTopic}
	instrumented := &instrumentedStore{Store: c.Store, metrics: c.Metrics, clock: c.Clock, partition: partition}
	c.Store = instrumented
	n := &Node{
		Config: c, partition: partition, table: job.NewTable(), readToken: make(chan struct{}, 1), peers: peer.NewClientOn(c.Network),
		probes: peer.NewClientOn(c.Network), watch: ownerWatch{aliveAt: c.Clock()}, handBackAt: c.Clock() - handBackInterval,
	}
	n.declared, n.startedAt = make(chan struct{}), c.Clock()
	n.direct.node = n
	n.answers = newPartitionAnswers(c.Clock, n.probePartition, n.reportPartition)
	instrumented.shard = n.answers
	n.stepAside = make(chan error, 1)
	n.open = newOpenWrites()
	n.storeHealth = newStoreHealth(c.Logger, c.Clock)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.reader = keyed.NewReader(c.Store, n.partition)
	memberName := fmt.Sprintf("%s-%d", c.Host, time.Now().UnixNano())
	n.member = group.New(c.Store, c.Clock, groupName, memberName, JobTopic)
	n.observer = group.New(c.Store, c.Clock, observerGroupName, memberName, JobTopic)
	if err := n.registerGauges(); err != nil {
		return nil, err
	}
	var err error
	if n.server, err = peer.ListenOn(c.Network, c.Peer, peerService, &Service{node: n}); err != nil {
		return nil, err
	}
	n.server.Start()
	n.background.Go(n.followDeclarations)
	n.background.Go(n.followLog)
	groupCtx, leave := context.WithCancel(n.ctx)
	n.leaveGroup = leave
	n.joinsEnded = make(chan struct{})
	if n.standby() {
		n.background.Go(func() { n.watchOwner(groupCtx) })
		n.background.Go(func() {
			defer close(n.joinsEnded)
			n.runStandby(groupCtx)
		})
		return n, nil
	}
	n.background.Go(n.offerToOwn)
	n.background.Go(func() {
		defer close(n.joinsEnded)
		n.runPreferred(groupCtx)
	})
	return n, nil
}

// Queues returns the declarations in force, or nil before the first version.
func (n *Node) Queues() *queue.Config { return n.config.Load() }

// firstReadTime is how long after its start a host is expected to read the declarations while all
// hosts start: callers wait for that time, which is less than they would wait to return.
const firstReadTime = 500 * time.Millisecond

// AwaitQueues returns the declarations in force. A host that has just started waits for the first
// version. It returns nil if none has come within firstReadTime of the start, or ctx is done.
func (n *Node) AwaitQueues(ctx context.Context) *queue.Config {
	left := n.startedAt + firstReadTime - n.Clock()
	if n.Queues() != nil || left <= 0 {
		return n.Queues()
	}
	timeout := time.NewTimer(left)
	defer timeout.Stop()
	select {
	case <-n.declared:
		n.count("requests.waited_for_declarations")
	case <-timeout.C:
	case <-ctx.Done():
	}
	return n.Queues()
}

// Undeclared returns for how long the host has run without declarations.
func (n *Node) Undeclared() time.Duration { return n.Clock() - n.startedAt }

// SetBounds changes the platform's limits for the shard that the host owns and for
// later takeovers.
func (n *Node) SetBounds(b scheduler.Bounds) {
	n.mu.Lock()
	n.Bounds = b
	n.mu.Unlock()
	n.applying.Lock()
	defer n.applying.Unlock()
	if d := n.ownedDispatcher(); d != nil {
		d.SetBounds(b)
	}
}

func (n *Node) bounds() scheduler.Bounds {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Bounds
}

// Ready reports whether the node can accept jobs.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.Queues() != nil && n.storeAge() < readyMaxOutage
}

// readyMaxOutage is how long a node stays ready without an answer from the store.
const readyMaxOutage = 2500 * time.Millisecond

// declarationsUse is the use of the store for which followDeclarations reports.
const declarationsUse = "declarations"

// followDeclarations applies each newer version of the declarations, ignores older ones, and
// keeps the evacuations up to date.
func (n *Node) followDeclarations() {
	for n.ctx.Err() == nil {
		sent := n.Clock()
		declared, err := n.Declarations.Next(n.ctx)
		var unusable *queue.UnusableError
		if err != nil && !errors.As(err, &unusable) {
			n.storeHealth.reportFailure(declarationsUse, sent, err)
			n.sleep(retryDelay)
			continue
		}
		stale := n.storeHealth.reportSuccess(declarationsUse, sent)
		n.evacuate(declared, stale)
		if err != nil {
			event.QueuesRefused.Log(n.Logger, logrus.Fields{"error": err, "version": n.declaredVersion()})
		}
		if c := declared.Config; c != nil && n.putInForce(c) {
			event.QueuesInForce.Log(n.Logger, logrus.Fields{"version": c.Version, "queues": len(c.Queues), "stale_ms": stale.Milliseconds()})
		}
	}
}

// putInForce makes c the version in force and reports true, unless it is not newer than
// the one in force.
func (n *Node) putInForce(c *queue.Config) bool {
	current := n.config.Load()
	if current != nil && c.Version <= current.Version {
		return false
	}
	n.config.Store(c)
	if current == nil {
		close(n.declared)
	}
	n.applying.Lock()
	defer n.applying.Unlock()
	if d := n.ownedDispatcher(); d != nil {
		d.SetConfig(c)
	}
	return true
}

// declaredVersion returns the version of the declarations in force, or 0 before the first
// one.
func (n *Node) declaredVersion() int64 {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// registerGauges registers the metrics that are read from the node's state.
func (n *Node) registerGauges() error {
	gauges := map[string]func() int64{
		"declarations.version": n.declaredVersion,
		"declarations.age_ms":  func() int64 { return n.storeHealth.age(declarationsUse).Milliseconds() },
		"evacuations.domains":  func() int64 { return int64(len(n.Evacuated())) },
		"store.unserved_ms":    func() int64 { return n.answers.lasts().Milliseconds() },
	}
	for name, value := range gauges {
		if err := n.Metrics.Register(name, metrics.NewFunctionalGauge(value)); err != nil {
			return fmt.Errorf("register metric %s: %w", name, err)
		}
	}
	return nil
}

const (
	retryDelay = 100 * time.Millisecond
	// followInterval is the time between two reads of the log. Hosts notify the owner
	// of records that they append; reading finds records whose notification failed.
	followInterval = time.Second
	// ownerFollowInterval replaces followInterval while the host owns the shard, since
	// it may act only if its last read is recent; see Dispatcher.MayAct.
	ownerFollowInterval = 250 * time.Millisecond
)

// sleep waits for d or until the node stops, whichever comes first.
func (n *Node) sleep(d time.Duration) { _ = pause.For(n.ctx, d) }

// followLog keeps the table up to date.
func (n *Node) followLog() {
	for n.ctx.Err() == nil {
		sent := n.Clock()
		if err := n.Refresh(n.ctx); err != nil {
			n.storeHealth.reportFailure("jobs", sent, err)
			n.sleep(retryDelay)
			continue
		}
		n.storeHealth.reportSuccess("jobs", sent)
		if n.ownedDispatcher() != nil {
			n.sleep(ownerFollowInterval)
		} else {
			n.sleep(followInterval)
		}
	}
}

// Refresh reads the log to its end and applies what it reads. Calls that wait for the same
// read share the next one.
func (n *Node) Refresh(ctx context.Context) error {
	called := n.Clock()
	select {
	case n.readToken <- struct{}{}:
		defer func() { <-n.readToken }()
	case <-ctx.Done():
		return fmt.Errorf("wait for another read of the log: %w", ctx.Err())
	}
	if time.Duration(n.caughtUpAt.Load()) > called {
		return nil
	}
	for {
		sent := n.Clock()
		if n.unreadSince == 0 {
			n.unreadSince = sent
		}
		changes, err := n.reader.Next(ctx, 0)
		if !n.reader.Loaded() || changes.All {
			n.loaded.Store(false)
		}
		if err != nil {
			return err
		}
		n.applyChanges(changes, n.unreadSince)
		n.unreadSince = 0
		n.logEnd.Store(uint64(changes.End))
		// A load may have begun long before this call, so its end is not that of the log.
		if !changes.All && n.reader.Position() >= changes.End {
			n.caughtUpAt.Store(int64(sent))
			n.loaded.Store(true)
			return nil
		}
	}
}

// applyChanges applies what was read from the log. The read began at the time since.
func (n *Node) applyChanges(c keyed.Changes, since time.Duration) {
	n.applying.Lock()
	defer n.applying.Unlock()
	if c.All {
		n.table.DeleteMissing(c.Page, since)
	}
	n.applyPage(c.Page)
}

// applyPage applies a page of the log to the table and passes changed jobs to the
// dispatcher if this host owns the shard. The caller holds applying.
func (n *Node) applyPage(page store.Page) {
	entries, err := n.table.Apply(page, n.Clock())
	if err != nil {
		event.RecordUnreadable.Log(n.Logger, logrus.Fields{"error": err})
	}
	d := n.ownedDispatcher()
	if d == nil {
		return
	}
	if n.table.Owner().Epoch > d.Ownership.Epoch {
		d.Relinquish(dispatch.ErrFenced)
		return
	}
	if len(entries) > 0 {
		d.AddJobs(entries)
	}
}

// SinceCaughtUp returns the time since the last read that reached the end of the log
// was sent.
func (n *Node) SinceCaughtUp() time.Duration {
	sent := n.caughtUpAt.Load()
	if sent == 0 {
		return time.Duration(1<<63 - 1)
	}
	return n.Clock() - time.Duration(sent)
}

// OwnsShard reports whether this host owns the shard.
func (n *Node) OwnsShard() bool { return n.ownedDispatcher() != nil }

// ownedDispatcher returns the dispatcher, or nil if this host does not own the shard.
func (n *Node) ownedDispatcher() *dispatch.Dispatcher {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dispatcher
}

// Leave leaves the group and hands the shard over. The host continues as the owner until
// the next owner has taken over or the deadline of ctx is near: a takeover takes seconds
// with a slow store and is impossible during a store outage. Two owners at a time are
// harmless, as after a crash, because the store and the workers obey the later one.
// Afterwards the node still answers callers through the next owner.
func (n *Node) Leave(ctx context.Context) error {
	n.leaving.Store(true)
	n.leaveGroup()
	// A join that arrives after the leave request would make the host a member again.
	select {
	case <-n.joinsEnded:
	case <-time.After(joinDrainTimeout):
	}
	err := n.handOver(ctx)
	n.releaseShard()
	return err
}

const (
	// joinDrainTimeout bounds the wait for joins in flight. It is about fifty times
	// their usual duration.
	joinDrainTimeout = 200 * time.Millisecond
	// shutdownReserve is the part of the shutdown time reserved for the shard's last
	// record, which takes up to 1 s, and for requests in progress.
	shutdownReserve = 1600 * time.Millisecond
	// handOverPollInterval is the time between two checks whether the next owner has
	// taken over, and between two attempts to leave the group.
	handOverPollInterval = 50 * time.Millisecond
)

// handOver leaves the group and waits for the next owner. It retries a leave request
// that failed and returns the last error.
func (n *Node) handOver(ctx context.Context) error {
	err := n.leaveMember(ctx)
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-shutdownReserve))
	defer cancel()
	for d := n.ownedDispatcher(); d != nil && d.Err() == nil; {
		select {
		case <-ctx.Done():
			return err
		case <-time.After(handOverPollInterval):
		}
		if err != nil {
			err = n.leaveMember(ctx)
		}
	}
	return err
}

// stopTimeout bounds the wait for calls in flight at a stop. Their results no longer
// matter, and a slow store answers late.
const stopTimeout = 200 * time.Millisecond

// Stop ends the node. It waits for background work for a bounded time.
func (n *Node) Stop() {
	n.cancel()
	n.answers.close()
	if d := n.ownedDispatcher(); d != nil {
		d.Abort()
	}
	ended := make(chan struct{})
	go func() {
		n.background.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopTimeout):
	}
	go n.server.Close()
	n.peers.Close()
	n.probes.Close()
}
