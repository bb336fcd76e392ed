package scheduler

import (
	"fmt"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform/fleet"
)

// maxEntryAge is how long the capacities in the workers' entries can be relied on once
// capacities have been seen to change. A reduction is in force no earlier than 3 s after a
// worker's entry shows it; the rest is for an order to arrive.
const maxEntryAge = 2500 * time.Millisecond

// entries tracks how far the workers' entries can be relied on.
type entries struct {
	// readThrough is the time up to which all changes of the entries are known.
	readThrough Instant
	// capacityChanged is set once the capacity of a worker has changed during its run.
	capacityChanged bool
	// recentRequired is set from the takeover and from RequireRecentEntries, at requiredAt,
	// until recent entries are read that were requested later.
	recentRequired bool
	requiredAt     Instant
}

// EntriesRead records that SetWorker and RemoveWorker were called for every change of the
// entries up to the time through. The entries may have been read long before they arrived.
func (s *Shard) EntriesRead(now, through Instant) {
	s.entries.readThrough = max(s.entries.readThrough, through)
	if through > s.entries.requiredAt && now <= through+maxEntryAge {
		s.entries.recentRequired = false
	}
}

// RequireRecentEntries makes the shard start nothing on entries older than maxEntryAge, until
// entries that were requested after now have been read, even if no capacity has been seen to
// change.
func (s *Shard) RequireRecentEntries(now Instant) {
	s.entries.recentRequired, s.entries.requiredAt = true, now
}

// noteCapacityChange records that the capacity of a worker has changed during its run, for
// this owner and the next ones.
func (s *Shard) noteCapacityChange() {
	if !s.entries.capacityChanged {
		s.entries.capacityChanged = true
		s.journal.markModels()
	}
}

// CapacitiesKnown reports whether tasks may be started on the capacities that the entries
// have shown. Without access to the store an owner continues as long as the capacities of
// its workers do not change. A new owner must have read recent entries once: those that it
// reads while it recovers may be so old that workers have left since.
func (s *Shard) CapacitiesKnown(now Instant) bool {
	if s.entries.readThrough == 0 {
		return false
	}
	return !s.entries.capacityChanged && !s.entries.recentRequired || now <= s.entries.readThrough+maxEntryAge
}

// checkWriter returns an error if an entry of a worker was not written by the worker. A run
// keeps its address and its service, and a later one is of a declared service. If such an
// entry were applied, orders for the run would go elsewhere, and an answer from there would
// count as the end of everything that the run has.
func (s *Shard) checkWriter(w *workerState, entry fleet.Worker) error {
	if _, declared := s.config.Services[entry.Service]; !declared && len(s.config.Services) > 0 && entry.Service != w.info.Service {
		return fmt.Errorf("entry of worker %s: service %q is not declared", entry.ID, entry.Service)
	}
	run := w.run
	if run == 0 {
		run = w.info.Started
	}
	reached := w.heardAt != 0 || w.previousClaim != 0
	if reached && entry.Started <= run && (entry.Addr != w.info.Addr || entry.Service != w.info.Service) {
		return fmt.Errorf("entry of worker %s: service %q at %v, but its run is of service %q at %v", entry.ID, entry.Service, entry.Addr, w.info.Service, w.info.Addr)
	}
	return nil
}
