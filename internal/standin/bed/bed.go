// Package bed runs simulated platform services, workers and any number of entry
// hosts in one process on loopback addresses, for the development program and for
// scenarios.
package bed

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/entry"
	"github.com/siskinvane/siskinvane/internal/process/placer"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
	"github.com/siskinvane/siskinvane/internal/process/web"
	"github.com/siskinvane/siskinvane/internal/standin/hostlist"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// region is the region of all hosts.
const region platform.Region = "home"

var loopback = netip.MustParseAddr("127.0.0.1")

// Config describes what a bed starts.
type Config struct {
	// Domains are the failure domains; hosts and workers are spread over them.
	Domains []platform.FailureDomain
	// Hosts is the number of entry hosts, Workers the number of workers.
	Hosts   int
	Workers int
	// Capacity is the capacity of each worker.
	Capacity platform.Resources
	// WorkersPerRack is the number of workers in a rack.
	WorkersPerRack int
	// MaxConnections is the maximum number of connections to a worker.
	MaxConnections int64
	Logger         *logrus.Logger
	// ControlPort and EntryPort are the ports of the first host's interfaces
	// for operators and callers on 127.0.0.1; zero means default ports on a loopback
	// address of its own.
	ControlPort uint16
	EntryPort   uint16
	// Spans receives every ended span of all hosts and workers. Nil disables tracing.
	Spans sdktrace.SpanProcessor
	// DrainNoticeMS is settings.Host.DrainNoticeMS of all hosts.
	DrainNoticeMS int64
	// PlatformOnly lists the hosts and prepares their settings but starts none.
	PlatformOnly bool
}

// Host is one entry host. Placer and Entry are nil if the host is not started, see
// Config.PlatformOnly.
type Host struct {
	Settings settings.Host
	Placer   *placer.Placer
	Entry    *entry.Entry
}

// Bed is a running set of simulated platform services, workers and hosts.
type Bed struct {
	config   Config
	Log      *logservice.Store
	HostList *hostlist.List
	Workers  []*worker.Worker
	Hosts    []*Host
	servers  []*web.Server
	logAddr  netip.AddrPort
	// startedAt is the zero point of the clock that all workers share.
	startedAt    time.Time
	hostListAddr netip.AddrPort
}

// Start starts the platform services, the workers and the hosts. On an error it stops
// what it has started.
func Start(c Config) (*Bed, error) {
	b := &Bed{config: c, startedAt: time.Now(), Log: logservice.NewStore(), HostList: &hostlist.List{}}
	if err := b.start(); err != nil {
		return nil, errors.Join(err, b.Stop(context.Background()))
	}
	return b, nil
}

func (b *Bed) start() error {
	logServer, err := logservice.Serve(b.Log, netip.AddrPortFrom(loopback, 0))
	if err != nil {
		return err
	}
	b.logAddr = logServer.Addr()
	b.servers = append(b.servers, logServer.Server)
	listServer, err := hostlist.Serve(b.HostList, netip.AddrPortFrom(loopback, 0))
	if err != nil {
		return err
	}
	b.hostListAddr = listServer.Addr()
	b.servers = append(b.servers, listServer)
	for i := range b.config.Workers {
		if err := b.startWorker(i); err != nil {
			return err
		}
	}
	for i := range b.config.Hosts {
		if err := b.startHost(i); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bed) startWorker(i int) error {
	id := platform.WorkerID(fmt.Sprintf("worker-%02d", i))
	domain := b.config.Domains[i%len(b.config.Domains)]
	rack := platform.RackID(fmt.Sprintf("rack-%d", i/len(b.config.Domains)/b.config.WorkersPerRack))
	var w *worker.Worker
	count := func(request string) { w.Executions.Add(request) }
	w = worker.New(worker.Config{
		ID: id, Rack: rack, Domain: domain, Capacity: b.config.Capacity,
		MaxConnections: b.config.MaxConnections,
		Clock:          func() time.Duration { return time.Since(b.startedAt) },
		Tracing:        b.tracing("worker", platform.HostID(id)),
		OpenEndpoint:   worker.OpenEndpoint(id, loopback, b.tracing("endpoint", platform.HostID(id)), count),
	})
	s, err := worker.Serve(w, netip.AddrPortFrom(loopback, 0))
	if err != nil {
		return err
	}
	b.Workers = append(b.Workers, w)
	b.servers = append(b.servers, s)
	b.HostList.Set(platform.Host{
		ID: string(id), Role: platform.RoleWorker, State: platform.HostLive,
		Addr: s.Addr(), Rack: rack, Domain: domain, Region: region,
	})
	return nil
}

// tracing returns the tracing of one program on a host or worker, or nil if tracing
// is disabled.
func (b *Bed) tracing(program string, host platform.HostID) *telemetry.Tracing {
	if b.config.Spans == nil {
		return nil
	}
	return telemetry.NewTracingWithProcessor(b.config.Spans, program, string(host))
}

// LogAddr returns the address of the log.
func (b *Bed) LogAddr() netip.AddrPort { return b.logAddr }

// Stop stops the hosts, then the workers and platform services.
func (b *Bed) Stop(ctx context.Context) error {
	var errs []error
	for _, h := range b.Hosts {
		if h.Entry != nil {
			errs = append(errs, h.Entry.Stop(ctx))
		}
		if h.Placer != nil {
			errs = append(errs, h.Placer.Stop(ctx))
		}
	}
	for _, s := range b.servers {
		errs = append(errs, s.Stop(ctx))
	}
	return errors.Join(errs...)
}
