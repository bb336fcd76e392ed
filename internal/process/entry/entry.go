// Package entry is the request process of an entry host. It fetches the directory
// that the local placer builds and forwards callers' requests to endpoints.
package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/process/peer"
	"github.com/siskinvane/siskinvane/internal/process/placer"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
	"github.com/siskinvane/siskinvane/internal/process/web"
	"github.com/siskinvane/siskinvane/internal/request/forward"
	"github.com/siskinvane/siskinvane/internal/request/idempotency"
	"github.com/siskinvane/siskinvane/internal/request/routing"
	"github.com/siskinvane/siskinvane/internal/request/session"
)

const (
	directoryPeriod = 200 * time.Millisecond
	// housekeepingPeriod is the time between closing idle connections and
	// reloading the session keys.
	housekeepingPeriod = 5 * time.Second
	// maxConnectionIdle is how long a connection to an endpoint may be idle.
	maxConnectionIdle = 15 * time.Second
	drainPollPeriod   = 10 * time.Millisecond
	// idleCallerTimeout is how long a stop waits for callers to close idle
	// connections.
	idleCallerTimeout = time.Second
	// callerReadTimeout bounds the wait for the next bytes of a request.
	callerReadTimeout = 30 * time.Second
	maxHeaderBytes    = 16 << 10
	// pathReady answers 200 while the load balancer may send requests to this
	// host.
	pathReady = "/ready"
)

// Config describes an entry.
type Config struct {
	Host   settings.Host
	Logger *logrus.Logger
	// FreshHistory is set if no earlier entry can have run requests with an
	// idempotency key, as on the first start of an installation.
	FreshHistory bool
	// KeyWindow is how long idempotency keys are remembered; zero means
	// idempotency.DefaultWindow.
	KeyWindow time.Duration
	// RetryUnknown gives up the guarantee to run requests at most once; see
	// forward.Config.
	RetryUnknown bool
	// Tracing creates a span for each request. Nil disables them.
	Tracing *telemetry.Tracing
}

// Entry is a running request process.
type Entry struct {
	config        Config
	requestServer *web.Server
	directory     *directory.Directory
	registry      *routing.Registry
	forwarder     *forward.Forwarder
	sessionKeys   session.Keys
	peers         *peer.Client
	members       *memberTable
	ledger        *idempotency.Ledger
	peerServer    *peer.Server
	cancel        context.CancelFunc
	loops         sync.WaitGroup
	metrics       *entryMetrics
	adminServer   *web.Server
}

// Start opens the entry's listeners and starts its loops.
func Start(c Config) (*Entry, error) {
	s, err := web.Listen(c.Host.Entry, serverOptions()...)
	if err != nil {
		return nil, err
	}
	if c.KeyWindow == 0 {
		c.KeyWindow = idempotency.DefaultWindow
	}
	now := time.Now()
	self := idempotency.NewMember(c.Host.ID, newIncarnation(now))
	e := &Entry{
		config: c, requestServer: s, directory: directory.New(), peers: peer.NewClient(),
		metrics: newMetrics(), members: newMemberTable(c.Host.ID, now),
		ledger: idempotency.NewLedger(self, now, c.KeyWindow, c.FreshHistory || c.Host.FreshKeyHistory),
	}
	e.registry = routing.NewRegistry(c.Host.Domain, e.members.connectionShare)
	e.forwarder = forward.New(forward.Config{
		Registry: e.registry, Now: time.Now, Keys: &e.sessionKeys, RetryUnknown: c.RetryUnknown,
		Coordinator: idempotency.NewCoordinator(e.ledger, e, time.Now, time.Sleep),
	})
	e.loadSessionKeys()
	if e.peerServer, err = servePeer(e); err != nil {
		return nil, err
	}
	if err := e.start(); err != nil {
		e.peerServer.Close()
		return nil, err
	}
	return e, nil
}

// start registers the handlers and starts the servers and loops.
func (e *Entry) start() error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	s := e.requestServer
	s.GET(pathReady, e.handleReady)
	s.NoRoute(e.handleRequest)
	if err := e.startAdmin(); err != nil {
		cancel()
		return err
	}
	s.Start()
	e.loops.Add(2)
	go e.refreshDirectoryLoop(ctx)
	go e.refreshMembersLoop(ctx)
	return nil
}

// serverOptions returns the options of the server for callers' requests.
func serverOptions() []config.Option {
	return []config.Option{
		server.WithStreamBody(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadTimeout(callerReadTimeout),
		server.WithExitWaitTime(idleCallerTimeout),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
	}
}

// DirectoryVersion returns the version of the directory in use, or zero if none
// was fetched yet.
func (e *Entry) DirectoryVersion() uint64 { return e.directory.Table().Version }

// Drain turns readiness off, ends watches at their next message and asks callers
// to close their connections. Requests are still served.
func (e *Entry) Drain() { e.forwarder.Drain() }

// Stop shuts the entry down: it turns readiness off, gives the load balancer time
// to notice, waits for requests in progress and only then closes the listener.
// Requests that have not ended when ctx is done are aborted.
func (e *Entry) Stop(ctx context.Context) error {
	e.Drain()
	// If ctx is done early, the shutdown continues with the next step.
	_ = pause.For(ctx, e.config.Host.DrainNotice())
	e.awaitRequests(ctx)
	err := errors.Join(e.requestServer.Stop(ctx), e.stopAdmin(ctx))
	e.awaitRequests(ctx)
	e.cancel()
	e.loops.Wait()
	if ctx.Err() == nil {
		e.announce(e.ledger.Handover(time.Now()))
	}
	e.peers.Close()
	e.peerServer.Close()
	return err
}

// awaitRequests waits until no request is in progress or ctx is done.
func (e *Entry) awaitRequests(ctx context.Context) {
	for e.forwarder.InFlight() > 0 && ctx.Err() == nil {
		_ = pause.For(ctx, drainPollPeriod)
	}
}

// handleReady reports to the load balancer whether this host accepts requests.
func (e *Entry) handleReady(_ context.Context, c *app.RequestContext) {
	switch {
	case e.forwarder.Draining():
		c.String(503, "draining\n")
	case e.directory.Table().Version == 0:
		c.String(503, "no directory yet\n")
	default:
		c.String(200, "ready\n")
	}
}

// refreshDirectoryLoop fetches the local placer's directory until ctx is done.
// While the placer is unavailable, the last table stays in use. The loop also
// closes idle connections and reloads the session keys.
func (e *Entry) refreshDirectoryLoop(ctx context.Context) {
	defer e.loops.Done()
	ticker := time.NewTicker(directoryPeriod)
	defer ticker.Stop()
	lastHousekeeping := time.Now()
	for {
		e.fetchDirectory()
		if now := time.Now(); now.Sub(lastHousekeeping) >= housekeepingPeriod {
			lastHousekeeping = now
			e.registry.Expire(now.Add(-maxConnectionIdle))
			e.loadSessionKeys()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) fetchDirectory() {
	var reply placer.TableReply
	args := placer.TableArgs{Version: e.directory.Table().Version}
	err := e.peers.Call(e.config.Host.Peer, placer.PeerService, "Table", args, &reply)
	if err == nil && reply.Table != nil && e.directory.Publish(reply.Table) {
		e.forwarder.Update(reply.Table)
	}
}

// loadSessionKeys loads the session keys from the file named in the settings, if
// any. After an error the earlier keys stay in use.
func (e *Entry) loadSessionKeys() {
	path := e.config.Host.SessionKeys
	if path == "" {
		return
	}
	changed, err := e.sessionKeys.Load(path)
	switch {
	case err != nil:
		event.SessionKeysRefused.Log(e.config.Logger, logrus.Fields{"error": err})
	case changed:
		event.SessionKeysLoaded.Log(e.config.Logger, logrus.Fields{"keys": e.sessionKeys.Ring().IDs()})
	}
}
