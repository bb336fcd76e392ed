package day

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
)

const (
	// oddEntryPeriod is how long an entry stays replaced. Its worker then writes it anew.
	oddEntryPeriod = 400 * time.Millisecond
	// oddEntryShare says which part of the entries is replaced at a time, as its inverse.
	oddEntryShare = 3
	// absentWorkers is the number of entries of workers that do not exist.
	absentWorkers = 3
)

// elsewhere is the address of another worker, which refuses orders for those whose entries name
// it.
var elsewhere = netip.MustParseAddrPort("127.0.4.1:80")

// oddEntries are the entries of other writers among those of the workers. It is safe for
// concurrent use.
type oddEntries struct {
	mu sync.Mutex
	// turn alternates between unreadable entries and those of an undeclared service.
	turn int
	// writers is the number of faults that are active.
	writers int
	// replaced counts, for each worker, the faults that have replaced its entry.
	replaced map[platform.WorkerID]int
}

// disturb replaces the entry of a worker for the given time, and meanwhile those of the others
// in turns.
func (o *oddEntries) disturb(id platform.WorkerID, workers []platform.WorkerID, duration time.Duration) {
	o.replace(1, []platform.WorkerID{id})
	end := time.Now().Add(duration)
	for turn := 0; time.Now().Before(end); turn++ {
		var ids []platform.WorkerID
		for i, other := range workers {
			if (i+turn)%oddEntryShare == 0 {
				ids = append(ids, other)
			}
		}
		o.replace(1, ids)
		time.Sleep(oddEntryPeriod)
		o.replace(-1, ids)
		time.Sleep(oddEntryPeriod)
	}
	o.replace(-1, []platform.WorkerID{id})
}

// replace changes the number of faults that have replaced the entries of workers by n.
func (o *oddEntries) replace(n int, ids []platform.WorkerID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.replaced == nil {
		o.replaced = map[platform.WorkerID]int{}
	}
	o.writers += n
	o.turn++
	for _, id := range ids {
		o.replaced[id] += n
	}
}

// apply returns what a host reads of the given entries.
func (o *oddEntries) apply(entries []fleet.Worker) fleet.Changes {
	o.mu.Lock()
	defer o.mu.Unlock()
	changes := fleet.Changes{All: true}
	for _, w := range entries {
		if o.replaced[w.ID] > 0 && o.turn%4 < 2 {
			w.Service, w.Addr, w.Started = "undeclared", elsewhere, w.Started+1
		} else if o.replaced[w.ID] > 0 {
			changes.Unreadable = append(changes.Unreadable, fmt.Errorf("entry of worker %s: service is missing", w.ID))
			continue
		}
		changes.Set = append(changes.Set, w)
	}
	for i := range absentWorkers {
		if o.writers == 0 {
			break
		}
		w := workerInfo(i)
		w.ID, w.Started = platform.WorkerID(fmt.Sprintf("absent%d", i)), 1
		w.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 3, byte(i + 1)}), 80)
		changes.Set = append(changes.Set, w)
	}
	return changes
}
