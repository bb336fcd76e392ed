package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/connection/httpcall"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/process/bootclock"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/logring"
	"github.com/siskinvane/siskinvane/internal/process/node"
	"github.com/siskinvane/siskinvane/internal/process/peer"
	"github.com/siskinvane/siskinvane/internal/process/run"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
	"github.com/siskinvane/siskinvane/internal/process/web"
	"github.com/siskinvane/siskinvane/internal/request/intake"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/platform"
)

// Scheduler runs siskin-scheduler and returns its exit code.
func Scheduler(args []string, out, errOut io.Writer) int {
	const name = "siskin-scheduler"
	s, path, code, ok := load(name, args, out, errOut, settings.LoadScheduler)
	if !ok {
		return code
	}
	logger, lines := run.NewBoundedLogger(out, s.LogLevel)
	defer lines.Close()
	event.ProcessStarted.Log(logger, logrus.Fields{"program": name, "version": run.Version, "host": s.Host})
	p, err := startScheduler(s, logger, lines)
	if err != nil {
		event.ProcessFailed.Log(logger, logrus.Fields{"error": err})
		return run.ExitFailure
	}
	event.ProcessReady.Log(logger, logrus.Fields{"program": name})
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	watch, stop := context.WithCancel(context.Background())
	defer stop()
	go settings.Watch(watch, path, s, hangup, p.reload, func(err error) {
		event.SettingsRefused.Log(logger, logrus.Fields{"error": err})
	})
	return run.UntilSignal(logger, p.Stop)
}

// memoryShare is the share of the allowed memory at which the garbage collector
// works as hard as it can; the rest is for stacks and unread bytes.
const memoryShare = 0.7

const bytesPerMB = 1 << 20

func limitRuntime(s settings.Scheduler) {
	runtime.GOMAXPROCS(s.Processors)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB*bytesPerMB)))
}

// schedulerProcess is a running siskin-scheduler.
type schedulerProcess struct {
	logger    *logrus.Logger
	store     *platform.Store
	advisor   *platform.Advisor
	machines  *platform.Machines
	node      *node.Node
	intake    *intake.Server
	readiness *web.Server
	// metrics is nil if the settings name no address for them.
	metrics *web.Server
	// shutdown bounds a stop, in nanoseconds.
	shutdown atomic.Int64
}

func startScheduler(s settings.Scheduler, logger *logrus.Logger, lines *logring.Writer) (*schedulerProcess, error) {
	http, err := httpcall.New()
	if err != nil {
		return nil, err
	}
	registry := metrics.NewRegistry()
	dropped := metrics.NewFunctionalGauge(func() int64 { return int64(lines.Dropped()) })
	if err := registry.Register("log.lines_dropped", dropped); err != nil {
		return nil, fmt.Errorf("register metric: %w", err)
	}
	store := platform.NewStore(http, s.Store)
	p := &schedulerProcess{logger: logger, store: store}
	var advisor fleet.Advisor
	if s.Advice.IsValid() {
		p.advisor = platform.NewAdvisor(http, s.Advice)
		advisor = p.advisor
	}
	var machines fleet.Machines
	if s.Machines.IsValid() {
		p.machines = platform.NewMachines(http, s.Machines)
		machines = p.machines
	}
	p.apply(s)
	n, err := node.Start(node.Config{
		Host: s.Host, Peer: s.Peer, Network: peer.TCP, Logger: logger, Metrics: registry, Clock: bootclock.Now,
		Bounds: boundsOf(s), Retention: settings.Seconds(s.Bounds.RetentionSeconds), AppendBytes: s.Bounds.AppendBytes,
		Store: store, Workers: platform.NewWorkers(http), Advisor: advisor,
		Machines: machines, MachineLease: settings.Milliseconds(s.Bounds.MachineLeaseMS),
		Waves:        func() fleet.Waves { return platform.NewWaves(store) },
		Registry:     func() fleet.Registry { return platform.NewRegistry(store) },
		Declarations: platform.NewDeclarations(store),
	})
	if err != nil {
		return nil, err
	}
	p.node = n
	if p.intake, err = intake.Start(s.Callers, n, platform.Codec{}, logger); err != nil {
		return nil, err
	}
	if p.readiness, err = serveReadiness(s.Readiness, n); err != nil {
		return nil, err
	}
	if s.Metrics.IsValid() {
		if p.metrics, err = serveMetrics(s.Metrics, registry); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func serveMetrics(addr netip.AddrPort, registry metrics.Registry) (*web.Server, error) {
	w, err := web.Listen(addr)
	if err != nil {
		return nil, err
	}
	w.GET(telemetry.PathMetrics, telemetry.Handler(registry))
	w.Start()
	return w, nil
}

func serveReadiness(addr netip.AddrPort, n *node.Node) (*web.Server, error) {
	w, err := web.Listen(addr)
	if err != nil {
		return nil, err
	}
	w.Any("/*path", func(_ context.Context, c *app.RequestContext) {
		if n.Ready() {
			c.SetStatusCode(200)
		} else {
			c.SetStatusCode(503)
		}
	})
	w.Start()
	return w, nil
}

func boundsOf(s settings.Scheduler) scheduler.Bounds {
	return scheduler.Bounds{
		MaxLease: settings.Milliseconds(s.Bounds.MaxLeaseMS), StopGrace: settings.Milliseconds(s.Bounds.StopGraceMS),
		RemoteFactor: s.Bounds.RemoteFactor,
	}
}

// apply puts the settings in force that may change while the process runs.
func (p *schedulerProcess) apply(s settings.Scheduler) {
	limitRuntime(s)
	run.SetLevel(p.logger, s.LogLevel)
	p.shutdown.Store(int64(shutdownShare * float64(settings.Seconds(s.Bounds.ShutdownSeconds))))
	p.store.MoveTo(s.Store)
	if p.advisor != nil && s.Advice.IsValid() {
		p.advisor.MoveTo(s.Advice)
	}
	if p.machines != nil && s.Machines.IsValid() {
		p.machines.MoveTo(s.Machines)
	}
}

// reload applies changed settings. The host's own name and addresses stay as they
// were at the start.
func (p *schedulerProcess) reload(s settings.Scheduler) {
	p.apply(s)
	p.node.SetBounds(boundsOf(s))
	event.ProcessReloaded.Log(p.logger, logrus.Fields{"store": s.Store, "memory_mb": s.MemoryMB, "max_lease_ms": s.Bounds.MaxLeaseMS})
}

// Stop hands the shard over, serves callers until the balancer has noticed, lets
// their requests finish and ends the process.
func (p *schedulerProcess) Stop(ctx context.Context) error {
	shutdown := time.Duration(p.shutdown.Load())
	ctx, cancel := context.WithTimeout(ctx, shutdown)
	defer cancel()
	noticed := time.After(min(drainNotice, shutdown/2))
	left := p.node.Leave(ctx)
	select {
	case <-ctx.Done():
	case <-noticed:
	}
	err := errors.Join(left, p.intake.Stop(ctx), p.readiness.Stop(ctx))
	if p.metrics != nil {
		err = errors.Join(err, p.metrics.Stop(ctx))
	}
	p.node.Stop()
	return err
}

const (
	// drainNotice covers a balancer that asks for readiness each second and
	// believes the second answer.
	drainNotice = 2300 * time.Millisecond
	// shutdownShare is the share of the allowed time that a stop takes at most.
	shutdownShare = 0.8
)
