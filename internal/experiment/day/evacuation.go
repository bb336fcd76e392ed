package day

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
)

const (
	// failureDomains is the number of failure domains of the workers; racks take turns.
	failureDomains = 3
	// evacuationBound is the time within which a host whose reads get replies has to obey an
	// evacuation.
	evacuationBound = 2500 * time.Millisecond
	// evacuationPrefix is the prefix of the keys of evacuated domains beside the declarations.
	evacuationPrefix = "evacuated/"
)

func domainOf(number int) platform.FailureDomain {
	return platform.FailureDomain(fmt.Sprintf("d%d", number%failureDomains))
}

// evacuations holds the evacuated domains and checks what hosts start there. It is safe for
// concurrent use.
type evacuations struct {
	mu sync.Mutex
	// since is when each evacuated domain was evacuated.
	since      map[platform.FailureDomain]time.Duration
	violations []string
}

// evacuate evacuates the domains of a fault for the given time.
func (sim *simulation) evacuate(f Fault, duration time.Duration) {
	domains := []platform.FailureDomain{domainOf(f.Worker)}
	if f.AllDomains {
		domains = []platform.FailureDomain{domainOf(0), domainOf(1), domainOf(2)}
	}
	sim.setEvacuated(domains, true)
	time.Sleep(duration)
	sim.setEvacuated(domains, false)
}

func (sim *simulation) setEvacuated(domains []platform.FailureDomain, evacuated bool) {
	e := &sim.evacuations
	for _, d := range domains {
		record := store.Record{Key: evacuationPrefix + string(d)}
		e.mu.Lock()
		if e.since == nil {
			e.since = map[platform.FailureDomain]time.Duration{}
		}
		if delete(e.since, d); evacuated {
			record.Value, e.since[d] = []byte("{}"), sim.now()
		}
		e.mu.Unlock()
		sim.store.Put(declarationsPartition, record)
	}
	for _, id := range sim.currentWorkers() {
		if slices.Contains(domains, sim.cluster.Entry(id).Domain) {
			sim.cluster.SetEvacuated(id, evacuated)
		}
	}
}

// checkStart records a violation if a host that reads the operators' records starts a task on a
// worker whose domain was evacuated in time for it to know.
func (e *evacuations) checkStart(now time.Duration, h *host, w fleet.Worker, o fleet.StartOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, evacuated := e.since[w.Domain]
	if !evacuated {
		return
	}
	since, replies := h.view.RepliesSince()
	known := max(at, since, time.Duration(h.startedAt.Load()))
	if replies && now > known+evacuationBound {
		e.violations = append(e.violations, fmt.Sprintf("EVAC: %v on %s of domain %s, evacuated %v before, by host %d", o.Task, w.ID, w.Domain, now-at, h.index))
	}
}
