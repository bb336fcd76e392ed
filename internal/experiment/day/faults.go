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

// Kind names a fault.
type Kind string

// Faults.
const (
	KillHost     Kind = "kill_host"
	StopHost     Kind = "stop_host"
	KillAll      Kind = "kill_all"
	StoreDown    Kind = "store_down"
	StoreBusy    Kind = "store_busy"
	StoreSlow    Kind = "store_slow"
	StoreLost    Kind = "store_lost"
	StoreLate    Kind = "store_late"
	Redeal       Kind = "redeal"
	Compact      Kind = "compact"
	CrashWorker  Kind = "crash_worker"
	CutWorker    Kind = "cut_worker"
	MuteWorker   Kind = "mute_worker"
	CutHost      Kind = "cut_host"
	LoseWorker   Kind = "lose_worker"
	CrashWorkers Kind = "crash_workers"
	DrainWorker  Kind = "drain_worker"
	UpkeepWave   Kind = "upkeep_wave"
)

var kinds = []Kind{
	KillHost, StopHost, KillAll, StoreDown, StoreBusy, StoreSlow, StoreLost, StoreLate, Redeal, Compact,
	CrashWorker, CutWorker, MuteWorker, CutHost, LoseWorker, CrashWorkers, DrainWorker, UpkeepWave,
}

// Fault is something that goes wrong.
type Fault struct {
	// AtMS is when it begins, ForMS how long it lasts, both in milliseconds.
	AtMS  int64 `json:"at_ms"`
	ForMS int64 `json:"for_ms,omitempty"`
	Kind  Kind  `json:"kind"`
	// Host and Worker number what is struck. Host -1 stands for all hosts, -2 for
	// the shard's owner; kill_all strikes all in any case.
	Host   int `json:"host,omitempty"`
	Worker int `json:"worker,omitempty"`
}

// Hosts that a fault may name beside single ones.
const (
	AllHosts = -1
	Owner    = -2
)

func (f *Fault) check(p *Plan) error {
	switch {
	case !slices.Contains(kinds, f.Kind):
		return fmt.Errorf("kind: %q, want one of %q", f.Kind, kinds)
	case f.AtMS < 0 || f.AtMS > int64(p.Seconds)*1000:
		return fmt.Errorf("at_ms: %d, want 0 to %d", f.AtMS, p.Seconds*1000)
	case f.ForMS < 0:
		return fmt.Errorf("for_ms: %d is negative", f.ForMS)
	case f.Host < Owner || f.Host >= p.Hosts:
		return fmt.Errorf("host: %d, want %d to %d", f.Host, Owner, p.Hosts-1)
	case f.Worker < 0 || f.Worker >= p.Workers:
		return fmt.Errorf("worker: %d, want 0 to %d", f.Worker, p.Workers-1)
	}
	return nil
}

// Random draws count faults for a day.
func Random(random *rand.Rand, count, hosts, workers int, length time.Duration) []Fault {
	list := make([]Fault, 0, count)
	for range count {
		f := Fault{
			AtMS: random.Int64N(length.Milliseconds()), ForMS: 500 + random.Int64N(5500),
			Kind: kinds[random.IntN(len(kinds))], Worker: random.IntN(workers),
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

// apply makes a fault happen and ends it after its time.
func (w *world) apply(f Fault) {
	time.Sleep(time.Duration(f.AtMS) * time.Millisecond)
	worker := w.workers[f.Worker%len(w.workers)]
	hosts := w.struck(f.Host)
	last := time.Duration(f.ForMS) * time.Millisecond
	w.logger.WithField("fault", fmt.Sprintf("%+v", f)).Info("fault begins")
	switch f.Kind {
	case KillHost, StopHost, KillAll:
		w.replace(f.Kind, hosts, last)
	case Redeal:
		w.store.Redeal()
	case Compact:
		w.store.Compact(store.Partition{Topic: node.JobTopic})
	case MuteWorker:
		w.cluster.Mute(worker, 3)
	case CutHost:
		for _, h := range hosts[:1] {
			w.network.Cut(h.ip, true)
			h.view.Set(memstore.Silent, 0)
		}
		time.Sleep(last)
		for _, h := range hosts[:1] {
			w.network.Cut(h.ip, false)
			h.view.Set(memstore.Serve, 0)
		}
	case UpkeepWave:
		w.declareWave(f)
	case CrashWorker, CutWorker, LoseWorker, CrashWorkers, DrainWorker:
		w.strikeWorkers(f, worker, last)
	default:
		w.disturbStore(f.Kind, hosts, last)
	}
}

// struck returns the hosts that a fault is about, at least one.
func (w *world) struck(number int) []*host {
	switch {
	case number == AllHosts:
		return w.hosts
	case number == Owner:
		for _, h := range w.live() {
			if n := h.node.Load(); n != nil && n.Owns() {
				return []*host{h}
			}
		}
		number = 0
	}
	return []*host{w.hosts[number%len(w.hosts)]}
}

// replace ends programs and starts them again.
func (w *world) replace(k Kind, hosts []*host, after time.Duration) {
	if k == KillAll {
		hosts = w.hosts
	} else {
		hosts = hosts[:1]
	}
	for _, h := range hosts {
		if k == StopHost {
			h.stop()
		} else {
			h.kill()
		}
	}
	time.Sleep(after)
	for _, h := range hosts {
		if h.node.Load() == nil {
			if err := h.start(); err != nil {
				w.logger.WithError(err).Error("host not started")
			}
		}
	}
}

// disturbStore changes for a time how the store treats hosts.
func (w *world) disturbStore(k Kind, hosts []*host, last time.Duration) {
	// Sixty times the usual time of an answer, and fifty times that of an append,
	// which are made one after the other.
	const slow, slowAppend = 240 * time.Millisecond, 100 * time.Millisecond
	mode, delay := memstore.Serve, time.Duration(0)
	switch k {
	case StoreDown:
		mode = memstore.Silent
	case StoreBusy:
		mode = memstore.Busy
	case StoreSlow:
		delay = slow
		w.store.SetAppendTime(slowAppend)
		defer w.store.SetAppendTime(0)
	case StoreLost:
		mode = memstore.Forgetful
	case StoreLate:
		mode = memstore.Late
	}
	for _, h := range hosts {
		h.view.Set(mode, delay)
	}
	time.Sleep(last)
	for _, h := range hosts {
		h.view.Set(memstore.Serve, 0)
	}
}

// strikeWorkers lets workers crash or cuts them off for a time.
func (w *world) strikeWorkers(f Fault, id platform.WorkerID, last time.Duration) {
	switch f.Kind {
	case CutWorker:
		w.cluster.Cut(id, true)
		time.Sleep(last)
		w.cluster.Cut(id, false)
	case LoseWorker:
		w.cluster.Lose(id)
	case DrainWorker:
		w.cluster.Leave(id, last)
		time.Sleep(last)
		w.cluster.Crash(id)
		time.Sleep(replacedAfter)
		w.cluster.Drain(id, false)
		w.cluster.Boot(w.now(), id)
	default:
		struck := []platform.WorkerID{id}
		if f.Kind == CrashWorkers {
			struck = w.workers[:(len(w.workers)+2)/3]
		}
		for _, id := range struck {
			w.cluster.Crash(id)
		}
		time.Sleep(last)
		for _, id := range struck {
			w.cluster.Boot(w.now(), id)
		}
	}
}

const (
	// replacedAfter is the time from a worker's end until another one takes its place.
	replacedAfter = time.Second
	// waveMachines are the machines of a wave, waveDown how many of them may be down.
	waveMachines = 5
	waveDown     = 2
)

// declareWave declares a wave of upkeep for some machines.
func (w *world) declareWave(f Fault) {
	var some []platform.WorkerID
	for i := range min(waveMachines, len(w.workers)) {
		some = append(some, w.workers[(f.Worker+i)%len(w.workers)])
	}
	w.cluster.Declare(int64(w.waves.Add(1)), waveDown, some...)
}
