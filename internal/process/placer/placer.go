// Package placer is the control process of an entry host. It follows the
// configuration stream, exchanges heartbeats with other placers, claims and runs
// shards, builds the endpoint directory for the local entry and serves the
// operators' control interface.
package placer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/member"
	"github.com/siskinvane/siskinvane/internal/process/peer"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/process/shard"
	"github.com/siskinvane/siskinvane/internal/process/snapshot"
	"github.com/siskinvane/siskinvane/internal/process/stream"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
	"github.com/siskinvane/siskinvane/internal/process/web"
	"github.com/siskinvane/siskinvane/internal/version/config"
)

const (
	// HostListPeriod is the time between polls of the host list.
	HostListPeriod   = time.Second
	configPollPeriod = time.Second
	stepPeriod       = 200 * time.Millisecond
	directoryPeriod  = 200 * time.Millisecond
	// commitTimeout bounds a commit on behalf of a peer.
	commitTimeout = 3 * time.Second
)

// Config describes a placer.
type Config struct {
	Host     settings.Host
	Log      platform.Log
	HostList platform.HostList
	Dialer   platform.WorkerDialer
	Logger   *logrus.Logger
	// Tracing creates the spans of task starts. Nil disables them.
	Tracing *telemetry.Tracing
	// Now is the clock.
	Now func() time.Time
}

// Placer is a running control process.
type Placer struct {
	config         Config
	log            *monitoredLog
	writerID       record.WriterID
	members        *member.View
	exchange       *member.Exchange
	directory      *directory.Directory
	cache          *endpointCache
	peers          *peer.Client
	configReplay   *config.Replay
	configFollower *stream.Follower
	configReplica  *snapshot.Replica
	configWriter   *stream.Writer
	controlServer  *web.Server
	peerServer     *peer.Server
	cancel         context.CancelFunc
	background     sync.WaitGroup
	// pollConfig requests an early poll of the configuration stream.
	pollConfig chan struct{}

	mu              sync.Mutex
	draining        bool
	leaving         *member.LeavingTracker
	hosts           []platform.Host
	layout          *shard.Layout
	cachedAllotment cachedAllotment
	shards          map[platform.ShardID]*localShard
	// lastHandover is when the last shard was handed over for balance.
	lastHandover time.Time
	// minTableVersion is the latest table version that the entry reported.
	minTableVersion uint64
	// configImported is set once a peer's configuration was imported.
	configImported bool
}

// Start opens the placer's listeners and starts its loops.
func Start(c Config) (*Placer, error) {
	p := newPlacer(c)
	if err := p.listen(); err != nil {
		return nil, errors.Join(err, p.closeListeners(context.Background()))
	}
	p.registerRoutes()
	p.controlServer.Start()
	p.peerServer.Start()
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.exchange.Start(ctx)
	p.loop(ctx, HostListPeriod, nil, p.refreshHosts)
	p.loop(ctx, configPollPeriod, p.pollConfig, p.refreshConfig)
	p.loop(ctx, stepPeriod, nil, p.stepShards)
	p.loop(ctx, directoryPeriod, nil, p.refreshDirectory)
	return p, nil
}

func newPlacer(c Config) *Placer {
	log := newMonitoredLog(c.Log, c.Now)
	replay := config.NewReplay()
	follower := stream.NewFollower(repeatingLog{log}, record.ConfigStream, replay)
	id := record.WriterID{Host: c.Host.ID, Incarnation: uint64(c.Now().UnixNano())}
	p := &Placer{
		config: c, log: log, writerID: id, members: member.NewView(),
		directory: directory.New(), cache: newEndpointCache(),
		peers: peer.NewClient(), configReplay: replay, configFollower: follower,
		configWriter: stream.NewWriter(follower, id), pollConfig: make(chan struct{}, 1),
		leaving: member.NewLeavingTracker(), layout: shard.NewLayout(nil),
		shards: map[platform.ShardID]*localShard{},
	}
	p.configReplica = newConfigReplica(p)
	return p
}

func (p *Placer) listen() error {
	var err error
	host := p.config.Host
	if p.peerServer, err = peer.Listen(host.Peer, PeerService, &Peer{placer: p}); err != nil {
		return err
	}
	p.exchange, err = member.Listen(host.Peer, member.ExchangeConfig{
		Host: host.ID, Incarnation: p.writerID.Incarnation, Facts: p.facts, Targets: p.heartbeatTargets,
		OnHeartbeat: p.handleHeartbeat, View: p.members, Now: p.config.Now,
		OnEncodeError: func(err error) {
			event.HeartbeatNotSent.Log(p.config.Logger, logrus.Fields{"error": err})
		},
	})
	if err != nil {
		return err
	}
	p.controlServer, err = web.ListenOperators(host.Control, p.config.Logger, "control")
	return err
}

func (p *Placer) closeListeners(ctx context.Context) error {
	if p.peerServer != nil {
		p.peerServer.Close()
	}
	if p.exchange != nil {
		p.exchange.Close()
	}
	if p.controlServer != nil {
		return p.controlServer.Stop(ctx)
	}
	return nil
}

// Stop hands over the host's shards, ends the loops and closes the listeners.
func (p *Placer) Stop(ctx context.Context) error {
	p.drain(ctx)
	return p.Abort(ctx)
}

// Abort ends the loops and closes the listeners without handing over shards, like
// a crash of the process.
func (p *Placer) Abort(ctx context.Context) error {
	p.cancel()
	p.background.Wait()
	err := p.closeListeners(ctx)
	p.peers.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.shards {
		s.owner.Close()
	}
	return err
}

// loop runs f immediately and then every period, or earlier if trigger receives a
// value, until ctx is done.
func (p *Placer) loop(ctx context.Context, period time.Duration, trigger <-chan struct{}, f func(context.Context)) {
	p.background.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			f(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-trigger:
			}
		}
	})
}

func (p *Placer) commitContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), commitTimeout)
}
