// Package request tests and measures the request path with stand-in endpoints: it
// checks the answers that callers get against what the endpoints ran, and measures the
// cost that an entry adds to a request.
package request

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/process/entry"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	standindirectory "github.com/siskinvane/siskinvane/internal/standin/directory"
	"github.com/siskinvane/siskinvane/internal/standin/endpoint"
	"github.com/siskinvane/siskinvane/internal/standin/netpath"
)

const (
	serviceName = "diary"
	mayWaitName = "summary"
	domainName  = "catania"
	// directoryTimeout bounds the wait for an entry to receive the directory.
	directoryTimeout    = 5 * time.Second
	directoryPollPeriod = 5 * time.Millisecond
	// idempotencyKeyWindow is how long entries remember idempotency keys; callers repeat
	// requests within a much shorter time.
	idempotencyKeyWindow = 10 * time.Second
)

var loopback = netip.MustParseAddr("127.0.0.1")

// testbedConfig configures a testbed.
type testbedConfig struct {
	entries   int
	endpoints int
	// endpoint is the configuration of all endpoints; Addr is ignored.
	endpoint endpoint.Config
	// faultPlan returns the fault plan of the nth endpoint. It may be nil.
	faultPlan     func(n int) func() endpoint.Fault
	history       *endpoint.History
	targetLatency time.Duration
	retryUnknown  bool
	sessionKeys   string
	drainNotice   time.Duration
	// mayWait adds the service mayWaitName, whose endpoint runs on the worker
	// of the first endpoint.
	mayWait bool
	// direct connects entries to endpoints without a netpath between them.
	direct bool
}

// replica is an endpoint with the network path to it.
type replica struct {
	server *endpoint.Server
	// path is nil when the entries reach the endpoint directly.
	path  *netpath.Proxy
	entry directory.Endpoint
}

func (r *replica) close() {
	r.server.Kill()
	if r.path != nil {
		r.path.Close()
	}
	r.server.WaitForLateRuns()
}

// host is an entry host. Callers reach it through a path that outlives single entries.
type host struct {
	settings settings.Host
	entry    *entry.Entry
	path     *netpath.Proxy
}

// testbed runs entries, endpoints and the directory that connects them. It is not safe
// for concurrent use.
type testbed struct {
	config   testbedConfig
	source   *standindirectory.Source
	version  uint64
	replicas []*replica
	retired  []*replica
	hosts    []*host
	// startedEndpoints and startedEntries include those that have been replaced.
	startedEndpoints, startedEntries int
	stopping                         sync.WaitGroup
}

func startTestbed(c testbedConfig) (*testbed, error) {
	source, err := standindirectory.Serve(loopback)
	if err != nil {
		return nil, err
	}
	b := &testbed{config: c, source: source}
	for range c.endpoints {
		if err := b.addReplica(); err != nil {
			return nil, errors.Join(err, b.stop())
		}
	}
	for i := range c.entries {
		if err := b.addHost(i); err != nil {
			return nil, errors.Join(err, b.stop())
		}
	}
	b.publish()
	return b, b.awaitDirectory()
}

func (b *testbed) addReplica() error {
	c := b.config.endpoint
	c.Addr = netip.AddrPortFrom(loopback, 0)
	if b.config.faultPlan != nil {
		c.Plan = b.config.faultPlan(b.startedEndpoints)
	}
	if b.config.history != nil {
		c.Replica = b.config.history.NewReplica()
	}
	s, err := endpoint.Start(c)
	if err != nil {
		return err
	}
	b.startedEndpoints++
	r := &replica{server: s, entry: directory.Endpoint{
		Task: platform.TaskID(fmt.Sprintf("svc:%s#%d/0", serviceName, b.startedEndpoints)), Attempt: 1,
		Worker: platform.WorkerID(fmt.Sprintf("worker-%d", b.startedEndpoints)), Domain: domainName,
		Addr: s.Addr(), MaxConnections: 4096,
	}}
	b.replicas = append(b.replicas, r)
	if b.config.direct {
		return nil
	}
	if r.path, err = netpath.Open(loopback, s.Addr()); err != nil {
		return err
	}
	r.entry.Addr = r.path.Addr()
	return nil
}

func (b *testbed) addHost(i int) error {
	h := &host{}
	if err := b.startHost(h, i); err != nil {
		return err
	}
	var err error
	if h.path, err = netpath.Open(loopback, h.settings.Entry); err != nil {
		return err
	}
	b.hosts = append(b.hosts, h)
	return nil
}

// startHost starts an entry on free ports.
func (b *testbed) startHost(h *host, i int) error {
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	h.settings = settings.Host{
		ID: platform.HostID(fmt.Sprintf("entry-%d-%d", i, b.startedEntries)), Domain: domainName,
		Peer: b.source.Addr(), Entry: netip.AddrPortFrom(loopback, ports[0]),
		EntryPeer: netip.AddrPortFrom(loopback, ports[1]), SessionKeys: b.config.sessionKeys,
		DrainNoticeMS: max(b.config.drainNotice.Milliseconds(), 1),
	}
	b.startedEntries++
	h.entry, err = b.startEntry(h.settings)
	return err
}

func (b *testbed) startEntry(s settings.Host) (*entry.Entry, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return entry.Start(entry.Config{
		Host: s, Logger: logger, RetryUnknown: b.config.retryUnknown,
		FreshHistory: len(b.hosts) < b.config.entries, KeyWindow: idempotencyKeyWindow,
	})
}

// publish publishes a new directory version with the current endpoints and entries.
func (b *testbed) publish() {
	b.version++
	t := &directory.Table{Version: b.version, ConfigVersion: 1}
	for _, h := range b.hosts {
		t.Members = append(t.Members, directory.Member{
			Host: h.settings.ID, Domain: h.settings.Domain, Entry: h.settings.EntryPeer,
		})
	}
	s := directory.Service{Name: serviceName, Class: "prompt", Percentile: 99, Bound: b.config.targetLatency}
	for _, r := range b.replicas {
		s.Endpoints = append(s.Endpoints, r.entry)
	}
	t.Services = []directory.Service{s}
	if b.config.mayWait {
		t.Services = append(t.Services, b.mayWaitService())
	}
	b.source.Publish(t)
}

// mayWaitService returns a second service on the worker of the first endpoint.
func (b *testbed) mayWaitService() directory.Service {
	e := b.replicas[0].entry
	e.Task = platform.TaskID("svc:" + mayWaitName + "#0/0")
	return directory.Service{
		Name: mayWaitName, Class: "later", Percentile: 99, Bound: time.Second, MayWait: true,
		Endpoints: []directory.Endpoint{e},
	}
}

// awaitDirectory waits until every entry has received the current directory.
func (b *testbed) awaitDirectory() error {
	deadline := time.Now().Add(directoryTimeout)
	for _, h := range b.hosts {
		for h.entry.DirectoryVersion() < b.version {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %s did not receive directory version %d in time", h.settings.ID, b.version)
			}
			time.Sleep(directoryPollPeriod)
		}
	}
	return nil
}

// stop stops entries and endpoints and waits for late executions.
func (b *testbed) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var errs []error
	for _, h := range b.hosts {
		h.path.Close()
		errs = append(errs, h.entry.Stop(ctx))
	}
	b.stopping.Wait()
	for _, r := range append(b.replicas, b.retired...) {
		r.close()
	}
	b.source.Close()
	return errors.Join(errs...)
}

// freePorts returns n ports that are currently free; another process may take them.
func freePorts(n int) ([]uint16, error) {
	ports := make([]uint16, n)
	for i := range n {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(loopback, 0).String())
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer ln.Close()
		ports[i] = ln.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return ports, nil
}
