// Package day plays a day: hosts run the scheduling program against stand-ins of
// the store, the workers and the network, callers hand jobs in, faults strike. It
// checks what callers and workers see. Run inside a synctest bubble it takes
// virtual time, else real time.
package day

import (
	"context"
	"fmt"
	"net/netip"
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
	service   platform.ServiceName = "reports"
	queueName queue.Name           = "digest"
	// workersPerRack is how many workers share a rack.
	workersPerRack = 4
	peerPort       = 7720
)

var bounds = scheduler.Bounds{
	MaxLease: 10 * time.Second, StopGrace: time.Second, RemoteFactor: 1.5,
}

// machineLease is how long orders of another owner for machines may be under way.
const machineLease = 3 * time.Second

// retention is longer than a day: hosts are asked for every job at its end.
const retention = 10 * time.Minute

// world is what a day is played in.
type world struct {
	logger  *logrus.Logger
	begun   time.Time
	store   *memstore.Store
	cluster *cluster.Cluster
	network *memnet.Network
	hosts   []*host
	workers []platform.WorkerID
	config  *queue.Config
	// waves counts the waves of upkeep that were declared.
	waves atomic.Int64
}

// host is one machine of the system.
type host struct {
	world *world
	index int
	ip    netip.Addr
	view  *memstore.View
	// node is nil while the program does not run.
	node atomic.Pointer[node.Node]
	// link is the host's way to the workers; each run of the program has its own.
	link *link
}

func newWorld(hosts, workers int, logger *logrus.Logger) *world {
	w := &world{
		logger: logger, begun: time.Now(), store: memstore.New(), cluster: cluster.New(), network: memnet.New(),
		config: queue.New(1,
			[]*queue.Queue{{Name: queueName, Service: service, MaxFailures: 3, Stretch: 2, Target: time.Second}},
			[]*queue.Service{{Name: service}}, queue.Limits{}),
	}
	for i := range workers {
		info := workerInfo(i)
		w.workers = append(w.workers, info.ID)
		w.cluster.Add(w.now(), info)
	}
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		w.hosts = append(w.hosts, &host{
			world: w, index: i, ip: netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), view: w.store.View(name),
		})
	}
	return w
}

func workerInfo(i int) fleet.Worker {
	rack := platform.RackID(fmt.Sprintf("r%d", i/workersPerRack))
	return fleet.Worker{
		ID: platform.WorkerID(fmt.Sprintf("w%02d", i)), Service: service, Rack: rack,
		Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)}), 80),
		Labels: []string{"a", string(rack)},
		Room:   platform.Resources{MilliCPU: 32_000, MemoryMB: 128_000},
	}
}

// now returns the time since the day began.
func (w *world) now() time.Duration { return time.Since(w.begun) }

// start runs the program on a host.
func (h *host) start() error {
	h.link = &link{world: h.world, host: h, alive: make(chan struct{})}
	n, err := node.Start(node.Config{
		Host: platform.HostID(fmt.Sprintf("host-%d", h.index)), Peer: netip.AddrPortFrom(h.ip, peerPort),
		Network: h.world.network.Host(h.ip), Logger: h.world.logger, Metrics: metrics.NewRegistry(),
		Clock: h.world.now, Bounds: bounds, Retention: retention, AppendBytes: memstore.CallBytes, Store: h.view, Workers: h.link,
		Machines: h.link, MachineLease: machineLease, Waves: func() fleet.Waves { return &waves{host: h} },
		Registry:     func() fleet.Registry { return &registry{host: h} },
		Declarations: &declarations{host: h},
	})
	if err != nil {
		return fmt.Errorf("start host %d: %w", h.index, err)
	}
	h.node.Store(n)
	return nil
}

// kill ends the program at once.
func (h *host) kill() {
	n := h.node.Swap(nil)
	if n == nil {
		return
	}
	close(h.link.alive)
	h.world.network.Kill(h.ip)
	n.Stop()
}

// stop ends the program as planned.
func (h *host) stop() {
	n := h.node.Load()
	if n == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	// A store that does not answer leaves the shard to the next owner.
	_ = n.Leave(ctx)
	if !h.node.CompareAndSwap(n, nil) {
		return
	}
	n.Stop()
	h.world.network.Kill(h.ip)
}

// live returns the hosts on which the program runs.
func (w *world) live() []*host {
	var list []*host
	for _, h := range w.hosts {
		if h.node.Load() != nil {
			list = append(list, h)
		}
	}
	return list
}

// declarations tells the one version of the declarations. It implements
// queue.Source.
type declarations struct {
	host *host
	told bool
}

// Next implements queue.Source.
func (d *declarations) Next(ctx context.Context) (*queue.Config, error) {
	if !d.told {
		d.told = true
		return d.host.world.config, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(2 * time.Second):
	}
	return nil, ctx.Err()
}

// registry tells the workers that are up, while the store serves the host. It
// implements fleet.Registry.
type registry struct {
	host *host
}

// Next implements fleet.Registry.
func (r *registry) Next(ctx context.Context) (fleet.Changes, error) {
	if err := r.host.view.Ping(ctx); err != nil {
		return fleet.Changes{}, err
	}
	return fleet.Changes{All: true, Set: r.host.world.cluster.Entries()}, nil
}

// waves tells the waves that were declared and takes reports, while the store serves the
// host. It implements fleet.Waves.
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
	return fleet.DeclaredWaves{Waves: w.host.world.cluster.Waves()}, nil
}

// Report implements fleet.Waves.
func (w *waves) Report(ctx context.Context, wave int64, done bool) error {
	if err := w.host.view.Ping(ctx); err != nil {
		return err
	}
	w.host.world.cluster.Report(w.host.world.now(), wave, done)
	return nil
}
