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
	"github.com/siskinvane/siskinvane/internal/platform/store"
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
	s, path, code, ok := loadSettings(name, args, out, errOut, settings.LoadScheduler)
	if !ok {
		return code
	}
	logger, logWriter := run.NewRateLimitedLogger(out, s.LogLevel)
	defer logWriter.Close()
	event.ProcessStarted.Log(logger, logrus.Fields{"program": name, "version": run.Version, "host": s.Host, "failure_domain": s.Domain})
	p, err := startScheduler(s, logger, logWriter)
	if err != nil {
		event.ProcessFailed.Log(logger, logrus.Fields{"error": err})
		return run.ExitFailure
	}
	event.ProcessReady.Log(logger, logrus.Fields{"program": name})
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	watchCtx, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go settings.Watch(watchCtx, path, s, hangup, p.reloadSettings, func(err error) {
		event.SettingsRefused.Log(logger, logrus.Fields{"error": err})
	})
	return run.WaitForSignal(logger, p.Stop)
}

// memoryLimitShare is the share of the allowed memory that is set as the runtime's soft
// limit, at which the garbage collector runs at full effort. The rest is for stacks and
// unread bytes.
const memoryLimitShare = 0.7

const bytesPerMB = 1 << 20

// setRuntimeLimits bounds the processors and the memory of the Go runtime.
func setRuntimeLimits(s settings.Scheduler) {
	runtime.GOMAXPROCS(s.Processors)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB*bytesPerMB)))
}

// schedulerProcess is a running siskin-scheduler.
type schedulerProcess struct {
	logger    *logrus.Logger
	clients   *clientGuards
	store     *platform.Store
	advisor   *platform.Advisor
	machines  *platform.Machines
	node      *node.Node
	intake    *intake.Server
	readiness *web.Server
	// metrics is nil if the settings have no address for it.
	metrics *web.Server
	// stopTimeoutNanos bounds the duration of Stop. Reloaded settings may change it.
	stopTimeoutNanos atomic.Int64
}

func startScheduler(s settings.Scheduler, logger *logrus.Logger, logWriter *logring.Writer) (*schedulerProcess, error) {
	client, err := httpcall.New()
	if err != nil {
		return nil, err
	}
	registry := metrics.NewRegistry()
	droppedLines := metrics.NewFunctionalGauge(func() int64 { return int64(logWriter.Dropped()) })
	if err := registry.Register("log.lines_dropped", droppedLines); err != nil {
		return nil, fmt.Errorf("register metric: %w", err)
	}
	storeClient := platform.NewStore(client, s.Store)
	p := &schedulerProcess{logger: logger, store: storeClient, clients: newClientGuards(s, logger, registry)}
	var advisor fleet.Advisor
	if s.Advice.IsValid() {
		p.advisor = platform.NewAdvisor(client, s.Advice)
		advisor = p.advisor
	}
	var machines fleet.Machines
	if s.Machines.IsValid() {
		p.machines = platform.NewMachines(client, s.Machines)
		machines = p.machines
	}
	p.applySettings(s)
	operators := platform.OperatorRecords{
		Store: storeClient, Within: s.Bounds.OperatorsBound(),
		OnOverdue: func(p store.Partition, waited time.Duration) {
			metrics.GetOrRegisterCounter("store.answers_overdue", registry).Inc(1)
			event.AnswerOverdue.Log(logger, logrus.Fields{"partition": p.String(), "waited_ms": waited.Milliseconds()})
		},
	}
	n, err := node.Start(node.Config{
		Host: s.Host, Peer: s.Peer, Network: peer.TCP, LinkMbps: s.LinkMbps, Logger: logger, Metrics: registry, Clock: bootclock.Now,
		Bounds: schedulerBounds(s), Retention: settings.Seconds(s.Bounds.RetentionSeconds), AppendBytes: s.Bounds.AppendBytes,
		Store: storeClient, Workers: platform.NewWorkers(client), Advisor: advisor,
		Machines: machines, MachineLease: settings.Milliseconds(s.Bounds.MachineLeaseMS),
		Waves:        func() fleet.Waves { return platform.NewWaves(operators) },
		Registry:     func() fleet.Registry { return platform.NewRegistry(storeClient) },
		Declarations: platform.NewDeclarations(operators),
	})
	if err != nil {
		return nil, err
	}
	p.node = n
	if p.intake, err = intake.Start(s.Callers, n, platform.Codec{}, logger, p.clients.guard("callers", p.clients.callers, n.Queues)); err != nil {
		return nil, err
	}
	if p.readiness, err = serveReadiness(s.Readiness, n, p.clients.guard("readiness", p.clients.readiness, n.Queues)); err != nil {
		return nil, err
	}
	if s.Metrics.IsValid() {
		if p.metrics, err = serveMetrics(s.Metrics, registry, n, p.clients.guard("metrics", p.clients.metrics, n.Queues)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// serveMetrics serves the metrics of registry and the status of n at addr.
func serveMetrics(addr netip.AddrPort, registry metrics.Registry, n *node.Node, g web.Guard) (*web.Server, error) {
	w, err := web.ListenGuarded(addr, g)
	if err != nil {
		return nil, err
	}
	w.GET(telemetry.PathMetrics, telemetry.Handler(registry))
	w.GET(node.PathStatus, func(_ context.Context, c *app.RequestContext) { web.WriteJSON(c, n.Status()) })
	w.Start()
	return w, nil
}

// serveReadiness answers each request at addr with status 200 while the node is ready,
// else with 503.
func serveReadiness(addr netip.AddrPort, n *node.Node, g web.Guard) (*web.Server, error) {
	w, err := web.ListenGuarded(addr, g)
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

func schedulerBounds(s settings.Scheduler) scheduler.Bounds {
	return scheduler.Bounds{
		MaxLease: settings.Milliseconds(s.Bounds.MaxLeaseMS), StopGrace: settings.Milliseconds(s.Bounds.StopGraceMS),
		RemoteFactor: s.Bounds.RemoteFactor, Evacuation: settings.Milliseconds(s.Bounds.EvacuationMS),
	}
}

// applySettings applies the settings that may change while the process runs.
func (p *schedulerProcess) applySettings(s settings.Scheduler) {
	setRuntimeLimits(s)
	p.clients.setLimits(s)
	run.SetLevel(p.logger, s.LogLevel)
	p.stopTimeoutNanos.Store(int64(stopTimeoutShare * float64(settings.Seconds(s.Bounds.ShutdownSeconds))))
	p.store.SetAddr(s.Store)
	if p.advisor != nil && s.Advice.IsValid() {
		p.advisor.SetAddr(s.Advice)
	}
	if p.machines != nil && s.Machines.IsValid() {
		p.machines.SetAddr(s.Machines)
	}
}

// reloadSettings applies changed settings. The host's name, its own addresses and the
// bandwidth of its link remain those of the start.
func (p *schedulerProcess) reloadSettings(s settings.Scheduler) {
	p.applySettings(s)
	p.node.SetBounds(schedulerBounds(s))
	event.ProcessReloaded.Log(p.logger, logrus.Fields{"store": s.Store, "memory_mb": s.MemoryMB, "max_lease_ms": s.Bounds.MaxLeaseMS})
}

// Stop hands the shard over, continues to serve callers until the load balancer has
// noticed that the host is not ready, lets requests in flight finish and stops the node.
func (p *schedulerProcess) Stop(ctx context.Context) error {
	stopTimeout := time.Duration(p.stopTimeoutNanos.Load())
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	noticePeriodOver := time.After(min(drainNoticePeriod, stopTimeout/2))
	leaveErr := p.node.Leave(ctx)
	select {
	case <-ctx.Done():
	case <-noticePeriodOver:
	}
	err := errors.Join(leaveErr, p.intake.Stop(ctx), p.readiness.Stop(ctx))
	if p.metrics != nil {
		err = errors.Join(err, p.metrics.Stop(ctx))
	}
	p.node.Stop()
	return err
}

const (
	// drainNoticePeriod is how long a load balancer takes at most to notice that the
	// host is not ready: it polls each second and acts on the second response.
	drainNoticePeriod = 2300 * time.Millisecond
	// stopTimeoutShare is the share of the allowed shutdown time that Stop may take.
	stopTimeoutShare = 0.8
)
