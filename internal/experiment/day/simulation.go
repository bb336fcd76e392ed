// Package day simulates a day of operation: hosts run the scheduler against in-memory
// stand-ins of the store, the workers and the network, while callers submit jobs and
// faults are injected. It checks what callers and workers observe. Inside a synctest
// bubble it runs in virtual time, else in real time.
package day

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/process/node"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/standin/cluster"
	"github.com/siskinvane/siskinvane/internal/standin/memnet"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

const (
	service        platform.ServiceName = "reports"
	queueName      queue.Name           = "digest"
	workersPerRack                      = 4
	peerPort                            = 7720
	// wideLinkMbps and narrowLinkMbps are the bandwidths of the hosts' links in
	// megabit/s; only the first one carries the orders of an owner.
	wideLinkMbps   = 200
	narrowLinkMbps = 10
)

var bounds = scheduler.Bounds{
	MaxLease: 10 * time.Second, StopGrace: time.Second, RemoteFactor: 1.5, Evacuation: evacuationBound,
}

// machineLease bounds how long machine orders of a previous owner may be in flight.
const machineLease = 3 * time.Second

// retention exceeds the length of a simulated day, because callers query every job
// until it has ended.
const retention = 10 * time.Minute

// simulation holds the hosts and the stand-ins of a simulated day.
type simulation struct {
	logger    *logrus.Logger
	startedAt time.Time
	store     *memstore.Store
	cluster   *cluster.Cluster
	network   *memnet.Network
	hosts     []*host
	// workers are the workers that have ever been added, under workersMu.
	workersMu sync.Mutex
	workers   []platform.WorkerID
	// declared holds the versions of the declarations.
	declared    declared
	evacuations evacuations
	disturbance disturbance
	entries     oddEntries
	// narrowHosts is the number of hosts with a narrow link, the first ones.
	narrowHosts int
	// linkBytesPerSecond is the bandwidth of each host's link to the workers in each
	// direction, or zero for no limit.
	linkBytesPerSecond float64
	// trafficEndedAt is when the last job was submitted for the first time, in nanoseconds of
	// the day, or zero.
	trafficEndedAt atomic.Int64
	// waves is the number of upkeep waves declared so far.
	waves atomic.Int64
}

// host is a machine that runs the scheduler.
type host struct {
	sim   *simulation
	index int
	ip    netip.Addr
	view  *memstore.View
	// node is nil while the program does not run.
	node atomic.Pointer[node.Node]
	// startedAt is when the current run of the program was started, in nanoseconds of the
	// day.
	startedAt atomic.Int64
	// link connects the current run of the program to the workers.
	link atomic.Pointer[link]
}

func newSimulation(hosts, workers int, logger *logrus.Logger) *simulation {
	sim := &simulation{
		logger: logger, startedAt: time.Now(), store: memstore.New(), cluster: cluster.New(), network: memnet.New(),
	}
	sim.declare(1)
	sim.addWorkers(workers)
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		sim.hosts = append(sim.hosts, &host{
			sim: sim, index: i, ip: netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), view: sim.store.View(name),
		})
	}
	return sim
}

// addWorkers starts further workers.
func (sim *simulation) addWorkers(count int) {
	sim.workersMu.Lock()
	defer sim.workersMu.Unlock()
	for range count {
		info := workerInfo(len(sim.workers))
		sim.workers = append(sim.workers, info.ID)
		sim.cluster.AddWorker(sim.now(), info)
	}
}

// currentWorkers returns the workers that have been added so far.
func (sim *simulation) currentWorkers() []platform.WorkerID {
	sim.workersMu.Lock()
	defer sim.workersMu.Unlock()
	return slices.Clone(sim.workers)
}

func workerInfo(i int) fleet.Worker {
	rack := platform.RackID(fmt.Sprintf("r%d", i/workersPerRack))
	return fleet.Worker{
		ID: platform.WorkerID(fmt.Sprintf("w%02d", i)), Service: service, Domain: domainOf(i / workersPerRack), Rack: rack,
		Addr:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)}), 80),
		Labels:   []string{"a", string(rack)},
		Capacity: workerCapacity,
	}
}

// workerCapacity is the capacity of a worker while no fault reduces it.
var workerCapacity = platform.Resources{MilliCPU: 32_000, MemoryMB: 128_000}

// now returns the time since the day began.
func (sim *simulation) now() time.Duration { return time.Since(sim.startedAt) }

// start starts the program on the host.
func (h *host) start() error {
	h.startedAt.Store(int64(h.sim.now()))
	l := &link{sim: h.sim, host: h, killed: make(chan struct{})}
	h.link.Store(l)
	var workers fleet.Workers = l
	if h.sim.linkBytesPerSecond > 0 {
		workers = newNarrowLink(l, h.sim.linkBytesPerSecond)
	}
	linkMbps := float64(wideLinkMbps)
	if h.index < h.sim.narrowHosts {
		linkMbps = narrowLinkMbps
	}
	n, err := node.Start(node.Config{
		Host: platform.HostID(fmt.Sprintf("host-%d", h.index)), Peer: netip.AddrPortFrom(h.ip, peerPort),
		Network: h.sim.network.Host(h.ip), LinkMbps: linkMbps, Logger: h.sim.logger, Metrics: metrics.NewRegistry(),
		Clock: h.sim.now, Bounds: bounds, Retention: retention, AppendBytes: memstore.MaxAppendBytes, Store: h.view, Workers: workers,
		Machines: l, MachineLease: machineLease, Waves: func() fleet.Waves { return &waves{host: h} },
		Registry:     func() fleet.Registry { return &registry{host: h} },
		Declarations: newDeclarations(h.view),
	})
	if err != nil {
		return fmt.Errorf("start host %d: %w", h.index, err)
	}
	h.node.Store(n)
	return nil
}

// kill ends the program without an orderly shutdown.
func (h *host) kill() {
	n := h.node.Swap(nil)
	if n == nil {
		return
	}
	close(h.link.Load().killed)
	h.sim.network.Kill(h.ip)
	n.Stop()
}

// stop shuts the program down in an orderly way.
func (h *host) stop() {
	n := h.node.Load()
	if n == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	// The error is ignored: if the store does not answer, the next owner takes the
	// shard over.
	_ = n.Leave(ctx)
	if !h.node.CompareAndSwap(n, nil) {
		return
	}
	n.Stop()
	h.sim.network.Kill(h.ip)
}

// runningHosts returns the hosts on which the program runs.
func (sim *simulation) runningHosts() []*host {
	var list []*host
	for _, h := range sim.hosts {
		if h.node.Load() != nil {
			list = append(list, h)
		}
	}
	return list
}

// registry delivers the workers that are up as long as the host can reach the store.
// It implements fleet.Registry.
type registry struct {
	host *host
}

// Next implements fleet.Registry.
func (r *registry) Next(ctx context.Context) (fleet.Changes, error) {
	if err := r.host.view.Ping(ctx); err != nil {
		return fleet.Changes{}, err
	}
	return r.host.sim.entries.apply(r.host.sim.cluster.Entries()), nil
}

// waves delivers the declared upkeep waves and accepts reports as long as the host can
// reach the store. It implements fleet.Waves.
type waves struct {
	host *host
}

// Next implements fleet.Waves.
func (w *waves) Next(ctx context.Context) (fleet.DeclaredWaves, error) {
	select {
	case <-ctx.Done():
		return fleet.DeclaredWaves{}, ctx.Err()
	case <-time.After(time.Second):
	}
	if err := w.host.view.Ping(ctx); err != nil {
		return fleet.DeclaredWaves{}, err
	}
	return fleet.DeclaredWaves{Waves: w.host.sim.cluster.Waves()}, nil
}

// Report implements fleet.Waves.
func (w *waves) Report(ctx context.Context, wave int64, done bool) error {
	if err := w.host.view.Ping(ctx); err != nil {
		return err
	}
	w.host.sim.cluster.Report(w.host.sim.now(), wave, done)
	return nil
}
