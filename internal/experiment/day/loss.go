package day

import (
	"math/rand/v2"
	"time"

	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// loseShare cuts off, crashes, silences or removes a share of the workers.
func (sim *simulation) loseShare(f Fault, duration time.Duration) {
	workers := sim.currentWorkers()
	rand.New(rand.NewPCG(uint64(f.Worker), 0)).Shuffle(len(workers), func(i, k int) {
		workers[i], workers[k] = workers[k], workers[i]
	})
	workers = firstOf(workers, f.WorkersPercent)
	for _, id := range workers {
		switch f.Kind {
		case CutWorkers:
			sim.cluster.SetPartitioned(id, true)
		case SilenceWorkers:
			sim.cluster.SetSilent(id, true)
		case LoseWorkers:
			sim.cluster.KeepEntry(id, f.KeepEntries)
			sim.cluster.LoseMachine(id)
		default:
			sim.cluster.KeepEntry(id, f.KeepEntries)
			sim.cluster.Crash(id)
		}
	}
	if f.Kind == LoseWorkers {
		return
	}
	time.Sleep(duration)
	for _, id := range workers {
		switch f.Kind {
		case CutWorkers:
			sim.cluster.SetPartitioned(id, false)
		case SilenceWorkers:
			sim.cluster.SetSilent(id, false)
		default:
			sim.cluster.Boot(sim.now(), id)
		}
	}
}

// stall holds what the host sends to workers for the given time and cuts it off from the other
// hosts and from the store.
func (h *host) stall(duration time.Duration) {
	over := make(chan struct{})
	h.link.Load().stalled.Store(&over)
	h.sim.network.SetPartitioned(h.ip, true)
	h.view.Set(memstore.Unresponsive, 0)
	time.Sleep(duration)
	h.sim.network.SetPartitioned(h.ip, false)
	h.view.Set(memstore.Healthy, 0)
	close(over)
}
