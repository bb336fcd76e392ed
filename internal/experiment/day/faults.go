package day

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/node"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// Kind is the type of a fault, as written in plans.
type Kind string

const (
	// KillHost kills the program on a host, StopHost stops it in an orderly way, and
	// KillAll kills it on all hosts; it restarts after the fault's duration.
	KillHost Kind = "kill_host"
	StopHost Kind = "stop_host"
	KillAll  Kind = "kill_all"
	// StoreDown: store calls get no answer and are not carried out.
	StoreDown Kind = "store_down"
	// StoreBusy: the store refuses calls.
	StoreBusy Kind = "store_busy"
	// StoreSlow: reads and appends are delayed.
	StoreSlow Kind = "store_slow"
	// StoreLost: store calls are carried out, but their answers are lost.
	StoreLost Kind = "store_lost"
	// StoreLate: appends get no answer and are carried out later.
	StoreLate Kind = "store_late"
	// RebalanceGroups reassigns all partitions of the store's groups to other members.
	RebalanceGroups Kind = "redeal"
	// Compact compacts the topics of jobs and declarations.
	Compact Kind = "compact"
	// CrashWorker crashes a worker and restarts it after the fault's duration.
	CrashWorker Kind = "crash_worker"
	// CutWorker partitions a worker from all hosts.
	CutWorker Kind = "cut_worker"
	// MuteWorker: a worker carries out its next three orders without answering.
	MuteWorker Kind = "mute_worker"
	// CutHost partitions a host from the other hosts and from the store.
	CutHost Kind = "cut_host"
	// LoseWorker ends a worker and its machine permanently.
	LoseWorker Kind = "lose_worker"
	// CrashWorkers is CrashWorker for the first third of the workers.
	CrashWorkers Kind = "crash_workers"
	// SlowWorkers slows the first workers down for the fault's duration, or until the end of
	// the day if that is zero.
	SlowWorkers Kind = "slow_workers"
	// DrainWorker drains, ends and replaces a worker.
	DrainWorker Kind = "drain_worker"
	// UpkeepWave declares an upkeep wave.
	UpkeepWave Kind = "upkeep_wave"
	// ShrinkWorker reduces the capacity of a worker for the fault's duration.
	ShrinkWorker Kind = "shrink_worker"
	// ShrinkWorkers is ShrinkWorker for the first third of the workers.
	ShrinkWorkers Kind = "shrink_workers"
	// AddWorkers adds a share of the workers that there are.
	AddWorkers Kind = "add_workers"
	// CutWorkers partitions a share of the workers from all hosts.
	CutWorkers Kind = "cut_workers"
	// DarkenWorkers crashes a share of the workers and restarts them after the fault's duration.
	DarkenWorkers Kind = "darken_workers"
	// LoseWorkers ends a share of the workers and their machines permanently.
	LoseWorkers Kind = "lose_workers"
	// SilenceWorkers: a share of the workers carries out orders without answering.
	SilenceWorkers Kind = "silence_workers"
	// LoseHost kills the program on a host, which does not restart.
	LoseHost Kind = "lose_host"
	// StallHost partitions a host from the other hosts and from the store. The orders that it
	// sends reach the workers once the fault is over, like those of a frozen process.
	StallHost Kind = "stall_host"
	// OddEntries: other writers replace the entry of a worker for the fault's duration, and
	// those of all workers in turns for a short time, by unreadable ones and by ones of another
	// address, and add entries of workers that do not exist.
	OddEntries Kind = "odd_entries"
	// Evacuate evacuates the failure domain with the number of the fault's worker, or all, for the
	// fault's duration.
	Evacuate Kind = "evacuate"
)

// randomKinds are the kinds that DrawFaults draws from.
var randomKinds = []Kind{
	KillHost, StopHost, KillAll, StoreDown, StoreBusy, StoreSlow, StoreLost, StoreLate, RebalanceGroups, Compact,
	CrashWorker, CutWorker, MuteWorker, CutHost, LoseWorker, CrashWorkers, DrainWorker, UpkeepWave,
}

// capacityKinds are the kinds that DrawReductions draws from.
var capacityKinds = []Kind{ShrinkWorker, ShrinkWorkers}

var allKinds = slices.Concat(randomKinds, capacityKinds, []Kind{OddEntries, SlowWorkers, Evacuate}, lossKinds)

// lossKinds are the kinds that act on a share of the workers, or on owners besides.
var lossKinds = []Kind{AddWorkers, CutWorkers, DarkenWorkers, LoseWorkers, SilenceWorkers, LoseHost, StallHost}

// Fault is one fault of a plan.
type Fault struct {
	// AtMS is the start and ForMS the duration, both in milliseconds.
	AtMS  int64 `json:"at_ms"`
	ForMS int64 `json:"for_ms,omitempty"`
	Kind  Kind  `json:"kind"`
	// Host and Worker are the indexes of the targets. Host -1 means all hosts,
	// -2 for the shard's owner; kill_all affects all hosts whatever Host says.
	Host   int `json:"host,omitempty"`
	Worker int `json:"worker,omitempty"`
	// CapacityPercent is the capacity that shrink_worker and shrink_workers leave, in
	// percent of the whole.
	CapacityPercent int64 `json:"capacity_percent,omitempty"`
	// WorkersPercent is the share of the workers that kinds for a share act on. Slowness is the
	// factor by which slow_workers lengthens their work and the latency of their serving tasks.
	WorkersPercent int     `json:"workers_percent,omitempty"`
	Slowness       float64 `json:"slowness,omitempty"`
	// KeepEntries is set if the entries of workers that darken_workers and lose_workers end stay
	// in the platform's store.
	KeepEntries bool `json:"keep_entries,omitempty"`
	// AllDomains is set if evacuate evacuates all failure domains.
	AllDomains bool `json:"all_domains,omitempty"`
}

// maxSlowness bounds Fault.Slowness.
const maxSlowness = 100

// Special values of Fault.Host.
const (
	AllHosts = -1
	Owner    = -2
)

func (f *Fault) validate(p *Plan) error {
	switch {
	case !slices.Contains(allKinds, f.Kind):
		return fmt.Errorf("kind: %q, want one of %q", f.Kind, allKinds)
	case f.AtMS < 0 || f.AtMS > int64(p.Seconds)*1000:
		return fmt.Errorf("at_ms: %d, want 0 to %d", f.AtMS, p.Seconds*1000)
	case f.ForMS < 0:
		return fmt.Errorf("for_ms: %d is negative", f.ForMS)
	case f.Host < Owner || f.Host >= p.Hosts:
		return fmt.Errorf("host: %d, want %d to %d", f.Host, Owner, p.Hosts-1)
	case f.Worker < 0 || f.Worker >= p.Workers:
		return fmt.Errorf("worker: %d, want 0 to %d", f.Worker, p.Workers-1)
	case f.CapacityPercent < 0 || f.CapacityPercent > 100:
		return fmt.Errorf("capacity_percent: %d, want 0 to 100", f.CapacityPercent)
	case f.WorkersPercent < 0 || f.WorkersPercent > 100:
		return fmt.Errorf("workers_percent: %d, want 0 to 100", f.WorkersPercent)
	case f.Kind == SlowWorkers && (f.Slowness < 1 || f.Slowness > maxSlowness):
		return fmt.Errorf("slowness: %v, want 1 to %d", f.Slowness, maxSlowness)
	}
	return nil
}

// DrawFaults draws count faults that start within duration.
func DrawFaults(random *rand.Rand, count, hosts, workers int, duration time.Duration) []Fault {
	list := make([]Fault, 0, count)
	for range count {
		f := Fault{
			AtMS: random.Int64N(duration.Milliseconds()), ForMS: 500 + random.Int64N(5500),
			Kind: randomKinds[random.IntN(len(randomKinds))], Worker: random.IntN(workers),
		}
		switch random.IntN(3) {
		case 0:
			f.Host = Owner
		case 1:
			f.Host = random.IntN(hosts)
		case 2:
			f.Host = AllHosts
		}
		list = append(list, f)
	}
	return list
}

// DrawReductions draws count reductions of the capacity of workers that start within
// duration.
func DrawReductions(random *rand.Rand, count, workers int, duration time.Duration) []Fault {
	list := make([]Fault, 0, count)
	for range count {
		list = append(list, Fault{
			AtMS: random.Int64N(duration.Milliseconds()), ForMS: 500 + random.Int64N(11_500),
			Kind: capacityKinds[random.IntN(len(capacityKinds))], Worker: random.IntN(workers), CapacityPercent: 20 + random.Int64N(61),
		})
	}
	return list
}

// inject waits for the fault's start, injects it and reverts it after its duration.
func (sim *simulation) inject(f Fault) {
	time.Sleep(time.Duration(f.AtMS) * time.Millisecond)
	workers := sim.currentWorkers()
	worker := workers[f.Worker%len(workers)]
	hosts := sim.targetHosts(f.Host)
	duration := time.Duration(f.ForMS) * time.Millisecond
	sim.logger.WithField("fault", fmt.Sprintf("%+v", f)).Info("injecting fault")
	switch f.Kind {
	// Tasks have to go on meanwhile, so these are no disturbances.
	case OddEntries:
		sim.entries.disturb(worker, workers, duration)
		return
	case AddWorkers:
		sim.addWorkers(len(workers) * f.WorkersPercent / 100)
		return
	case Evacuate:
		sim.evacuate(f, duration)
		return
	}
	sim.disturbance.begin()
	defer func() { sim.disturbance.end(sim.now()) }()
	switch f.Kind {
	case KillHost, StopHost, KillAll:
		sim.restartHosts(f.Kind, hosts, duration)
	case LoseHost:
		hosts[0].kill()
	case StallHost:
		hosts[0].stall(duration)
	case CutWorkers, DarkenWorkers, LoseWorkers, SilenceWorkers:
		sim.loseShare(f, duration)
	case RebalanceGroups:
		sim.store.RebalanceAll()
	case Compact:
		sim.store.Compact(store.Partition{Topic: node.JobTopic})
		sim.store.Compact(declarationsPartition)
	case MuteWorker:
		sim.cluster.LoseReplies(worker, 3)
	case CutHost:
		for _, h := range hosts[:1] {
			sim.network.SetPartitioned(h.ip, true)
			h.view.Set(memstore.Unresponsive, 0)
		}
		time.Sleep(duration)
		for _, h := range hosts[:1] {
			sim.network.SetPartitioned(h.ip, false)
			h.view.Set(memstore.Healthy, 0)
		}
	case UpkeepWave:
		sim.declareWave(f)
	case CrashWorker, CutWorker, LoseWorker, CrashWorkers, DrainWorker:
		sim.disturbWorkers(f, worker, duration)
	case ShrinkWorker, ShrinkWorkers:
		sim.reduceCapacity(f, worker, duration)
	case SlowWorkers:
		sim.slowWorkers(f, duration)
	default:
		sim.disturbStore(f.Kind, hosts, duration)
	}
}

// targetHosts resolves Fault.Host to at least one host.
func (sim *simulation) targetHosts(number int) []*host {
	switch {
	case number == AllHosts:
		return sim.hosts
	case number == Owner:
		for _, h := range sim.runningHosts() {
			if n := h.node.Load(); n != nil && n.OwnsShard() {
				return []*host{h}
			}
		}
		number = 0
	}
	return []*host{sim.hosts[number%len(sim.hosts)]}
}

// restartHosts kills or stops the program on the hosts and restarts it after the given
// time.
func (sim *simulation) restartHosts(kind Kind, hosts []*host, after time.Duration) {
	if kind == KillAll {
		hosts = sim.hosts
	} else {
		hosts = hosts[:1]
	}
	for _, h := range hosts {
		if kind == StopHost {
			h.stop()
		} else {
			h.kill()
		}
	}
	time.Sleep(after)
	for _, h := range hosts {
		if h.node.Load() == nil {
			if err := h.start(); err != nil {
				sim.logger.WithError(err).Error("failed to restart host")
			}
		}
	}
}

// disturbStore makes the store misbehave towards the hosts for the given time.
func (sim *simulation) disturbStore(kind Kind, hosts []*host, duration time.Duration) {
	// 60 times the usual response time and 50 times the usual time of an append;
	// appends are carried out one after the other.
	const slow, slowAppend = 240 * time.Millisecond, 100 * time.Millisecond
	mode, delay := memstore.Healthy, time.Duration(0)
	switch kind {
	case StoreDown:
		mode = memstore.Unresponsive
	case StoreBusy:
		mode = memstore.Busy
	case StoreSlow:
		delay = slow
		sim.store.SetAppendTime(slowAppend)
		defer sim.store.SetAppendTime(0)
	case StoreLost:
		mode = memstore.LoseReplies
	case StoreLate:
		mode = memstore.LateAppends
	}
	for _, h := range hosts {
		h.view.Set(mode, delay)
	}
	time.Sleep(duration)
	for _, h := range hosts {
		h.view.Set(memstore.Healthy, 0)
	}
}

// disturbWorkers crashes, partitions, drains or removes workers.
func (sim *simulation) disturbWorkers(f Fault, id platform.WorkerID, duration time.Duration) {
	switch f.Kind {
	case CutWorker:
		sim.cluster.SetPartitioned(id, true)
		time.Sleep(duration)
		sim.cluster.SetPartitioned(id, false)
	case LoseWorker:
		sim.cluster.LoseMachine(id)
	case DrainWorker:
		sim.cluster.DrainWithNotice(id, duration)
		time.Sleep(duration)
		sim.cluster.Crash(id)
		time.Sleep(replacementDelay)
		sim.cluster.SetDraining(id, false)
		sim.cluster.Boot(sim.now(), id)
	default:
		ids := []platform.WorkerID{id}
		if f.Kind == CrashWorkers {
			ids = sim.firstThird()
		}
		for _, id := range ids {
			sim.cluster.Crash(id)
		}
		time.Sleep(duration)
		for _, id := range ids {
			sim.cluster.Boot(sim.now(), id)
		}
	}
}

// slowWorkers slows workers down for the given time, or until the end of the day if it is
// zero. Only the two changes count as a disturbance: slow workers are no reason for tasks to
// wait.
func (sim *simulation) slowWorkers(f Fault, duration time.Duration) {
	set := func(slowness float64) {
		for _, id := range firstOf(sim.currentWorkers(), f.WorkersPercent) {
			sim.cluster.SetSlowness(sim.now(), id, slowness)
		}
	}
	set(f.Slowness)
	if duration == 0 {
		return
	}
	sim.disturbance.end(sim.now())
	time.Sleep(duration)
	sim.disturbance.begin()
	set(1)
}

// firstThird returns the first third of the workers.
func (sim *simulation) firstThird() []platform.WorkerID {
	workers := sim.currentWorkers()
	return workers[:(len(workers)+2)/3]
}

// firstOf returns the first workers of a list, as many as the given share of it.
func firstOf(workers []platform.WorkerID, percent int) []platform.WorkerID {
	return workers[:(len(workers)*percent+99)/100]
}

// reduceCapacity reduces the capacity of workers for the given time.
func (sim *simulation) reduceCapacity(f Fault, id platform.WorkerID, duration time.Duration) {
	ids := []platform.WorkerID{id}
	if f.Kind == ShrinkWorkers {
		ids = sim.firstThird()
	}
	whole := workerCapacity
	reduced := platform.Resources{
		MilliCPU: whole.MilliCPU * f.CapacityPercent / 100, MemoryMB: whole.MemoryMB * f.CapacityPercent / 100,
	}
	for _, id := range ids {
		sim.cluster.SetCapacity(sim.now(), id, reduced)
	}
	time.Sleep(duration)
	for _, id := range ids {
		sim.cluster.SetCapacity(sim.now(), id, whole)
	}
}

const (
	// replacementDelay is the time between a worker's end and the start of its
	// replacement.
	replacementDelay = time.Second
	// waveMachines is the number of machines in a wave, waveMaxDown the number of
	// them that may be down at the same time.
	waveMachines = 5
	waveMaxDown  = 2
)

// declareWave declares an upkeep wave for waveMachines machines, starting with the
// fault's worker.
func (sim *simulation) declareWave(f Fault) {
	var ids []platform.WorkerID
	workers := sim.currentWorkers()
	for i := range min(waveMachines, len(workers)) {
		ids = append(ids, workers[(f.Worker+i)%len(workers)])
	}
	sim.cluster.DeclareWave(int64(sim.waves.Add(1)), waveMaxDown, ids...)
}
