// Package upkeep plans the maintenance ("upkeep") of machines. Operators declare waves,
// sets of machines with a limit on how many may be down at a time; the planner
// decides which machines are drained and which may be taken down next. It does no I/O
// and reads no clock: a plan depends on the snapshot passed in and on the recorded
// progress.
package upkeep

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
)

// Instant is a reading of the host's clock.
type Instant = time.Duration

// Progress is the recorded state of a wave.
type Progress struct {
	// Ordered lists the machines whose maintenance has been or was about to be
	// ordered, Begun those whose order the platform has accepted.
	Ordered []platform.MachineID `cbor:"1,keyasint,omitempty"`
	Begun   []platform.MachineID `cbor:"2,keyasint,omitempty"`
	// Done is set once every machine of the wave that still exists has begun its
	// maintenance. Removed lists the machines that no longer existed then.
	Done    bool                 `cbor:"3,keyasint,omitempty"`
	Removed []platform.MachineID `cbor:"4,keyasint,omitempty"`
}

// complete reports whether the wave is done as currently declared. Operators may add
// machines to a wave that was done, which reopens it.
func (p *Progress) complete(declared fleet.Wave) bool {
	return p.Done && !slices.ContainsFunc(declared.Machines, func(id platform.MachineID) bool {
		return !slices.Contains(p.Begun, id) && !slices.Contains(p.Removed, id)
	})
}

// TaskCounts counts the tasks on a worker.
type TaskCounts struct {
	// LongRunning counts long-running tasks. The others are batch tasks, which run to
	// completion.
	LongRunning, Batch int
}

// Empty reports whether the worker runs no tasks.
func (c TaskCounts) Empty() bool { return c == TaskCounts{} }

// Snapshot is the input of a plan.
type Snapshot struct {
	Waves []fleet.Wave
	// Machines is the platform's list of machines, ReadAt the time of the request
	// for it.
	Machines []fleet.Machine
	ReadAt   Instant
	// Load returns the task counts of a worker.
	Load func(platform.WorkerID) TaskCounts
}

// Actions are the actions to take now.
type Actions struct {
	// Drain lists the workers to drain.
	Drain []platform.WorkerID
	// Orders lists the machines whose maintenance may be ordered now.
	Orders []Order
	// Done lists the waves that have completed.
	Done []int64
}

// Order is an order for the maintenance of one machine.
type Order struct {
	Wave    int64
	Machine platform.MachineID
}

// drainTimeout is how long batch tasks may delay the maintenance of their machine. The
// longest ones take 5 s. Those that still run after the timeout are stopped by the
// maintenance and restarted elsewhere.
const drainTimeout = 6 * time.Second

// Planner plans the maintenance waves for one owner of a shard. It is not safe for
// concurrent use.
type Planner struct {
	waves map[int64]*waveState
}

// waveState is the planner's state of one wave.
type waveState struct {
	progress Progress
	// draining maps the machines that are being drained to the start of the drain.
	draining map[platform.MachineID]Instant
	// acceptedAt is when the platform accepted the order for a machine.
	acceptedAt map[platform.MachineID]Instant
	// recovered holds the machines that were seen up after their order was accepted.
	recovered map[platform.MachineID]bool
}

// New returns a planner that continues from the progress that earlier owners have
// recorded.
func New(recorded map[int64]Progress) *Planner {
	p := &Planner{waves: map[int64]*waveState{}}
	for number, progress := range recorded {
		p.ensureWave(number).progress = progress
	}
	return p
}

func (p *Planner) ensureWave(number int64) *waveState {
	w, ok := p.waves[number]
	if !ok {
		w = &waveState{draining: map[platform.MachineID]Instant{}, acceptedAt: map[platform.MachineID]Instant{}, recovered: map[platform.MachineID]bool{}}
		p.waves[number] = w
	}
	return w
}

// Progress returns the progress to record of a wave.
func (p *Planner) Progress(number int64) Progress { return p.ensureWave(number).progress }

// HasOpenWave reports whether any of the waves is not complete.
func (p *Planner) HasOpenWave(waves []fleet.Wave) bool {
	return slices.ContainsFunc(waves, func(w fleet.Wave) bool { return !p.ensureWave(w.Number).progress.complete(w) })
}

// RecordOrder records that an order for a machine is about to be sent.
func (p *Planner) RecordOrder(number int64, id platform.MachineID) {
	w := p.ensureWave(number)
	if !slices.Contains(w.progress.Ordered, id) {
		w.progress.Ordered = append(w.progress.Ordered, id)
	}
}

// RecordVerdict records the platform's answer to an order. A machine that the platform
// does not know, or not as part of the wave, needs no more orders and is not down for
// the wave. An order that got no answer or was refused temporarily is repeated by a
// later plan.
func (p *Planner) RecordVerdict(now Instant, number int64, id platform.MachineID, v fleet.MachineVerdict) {
	w := p.ensureWave(number)
	if v == fleet.MachineAccepted || v == fleet.MachineUnknown || v == fleet.MachineNotInWave {
		if !slices.Contains(w.progress.Begun, id) {
			w.progress.Begun = append(w.progress.Begun, id)
		}
		w.acceptedAt[id] = now
		delete(w.draining, id)
	}
	if v == fleet.MachineUnknown || v == fleet.MachineNotInWave {
		w.recovered[id] = true
	}
}

// Plan returns the actions to take now.
func (p *Planner) Plan(now Instant, s Snapshot) Actions {
	var actions Actions
	machines := map[platform.MachineID]fleet.Machine{}
	for _, m := range s.Machines {
		machines[m.ID] = m
	}
	// A machine that belongs to two waves is drained and ordered for one at a time.
	claimed := map[platform.MachineID]bool{}
	waves := slices.Clone(s.Waves)
	slices.SortFunc(waves, func(a, b fleet.Wave) int { return cmp.Compare(a.Number, b.Number) })
	for _, declared := range waves {
		w := p.ensureWave(declared.Number)
		if w.progress.complete(declared) {
			continue
		}
		w.progress.Done, w.progress.Removed = false, nil
		w.markRecovered(s.ReadAt, machines)
		remaining := w.remaining(declared, machines)
		if len(remaining) == 0 {
			w.markDone(declared)
			actions.Done = append(actions.Done, declared.Number)
			continue
		}
		w.startDraining(now, declared, remaining, machines, s, claimed)
		for _, id := range sortedIDs(w.draining) {
			worker := machines[id].Worker
			actions.Drain = append(actions.Drain, worker)
			if w.mayOrder(now, id, s.Load(worker)) {
				actions.Orders = append(actions.Orders, Order{Wave: declared.Number, Machine: id})
			}
		}
	}
	return actions
}

// markDone marks the wave as done, and those of its machines that have not begun
// their maintenance as removed.
func (w *waveState) markDone(declared fleet.Wave) {
	w.progress.Done = true
	for _, id := range declared.Machines {
		if !slices.Contains(w.progress.Begun, id) {
			w.progress.Removed = append(w.progress.Removed, id)
		}
	}
}

// markRecovered marks the machines as recovered that the list shows as up, if it was
// requested after their order was accepted. An older list may show them as they were
// before their maintenance.
func (w *waveState) markRecovered(readAt Instant, machines map[platform.MachineID]fleet.Machine) {
	for _, id := range w.progress.Begun {
		if readAt > w.acceptedAt[id] && machines[id].State == fleet.MachineUp {
			w.recovered[id] = true
		}
	}
}

// remaining returns the machines of the wave that still exist and have not begun their
// maintenance.
func (w *waveState) remaining(declared fleet.Wave, machines map[platform.MachineID]fleet.Machine) []platform.MachineID {
	var list []platform.MachineID
	for _, id := range declared.Machines {
		if _, exists := machines[id]; exists && !slices.Contains(w.progress.Begun, id) {
			list = append(list, id)
		}
	}
	return list
}

// countUnavailable counts the machines that may be down for the wave: those that were
// or may have been ordered, until they are seen up again.
func (w *waveState) countUnavailable(machines map[platform.MachineID]fleet.Machine) int {
	n := 0
	for _, id := range w.progress.Ordered {
		_, exists := machines[id]
		_, draining := w.draining[id]
		if exists && !draining && !w.recovered[id] {
			n++
		}
	}
	return n
}

// startDraining starts to drain machines up to the limit of the wave. Machines whose
// order may have been carried out come first, then those with the fewest tasks.
func (w *waveState) startDraining(now Instant, declared fleet.Wave, remaining []platform.MachineID, machines map[platform.MachineID]fleet.Machine, s Snapshot, claimed map[platform.MachineID]bool) {
	for id := range w.draining {
		if !slices.Contains(remaining, id) || machines[id].State != fleet.MachineUp {
			delete(w.draining, id)
		}
	}
	load := func(id platform.MachineID) TaskCounts { return s.Load(machines[id].Worker) }
	slices.SortStableFunc(remaining, func(a, b platform.MachineID) int {
		return cmp.Or(
			cmp.Compare(w.priority(a), w.priority(b)),
			cmp.Compare(load(a).LongRunning, load(b).LongRunning),
			cmp.Compare(load(a).Batch, load(b).Batch),
			cmp.Compare(a, b),
		)
	})
	for _, id := range remaining {
		if _, draining := w.draining[id]; draining {
			claimed[id] = true
		}
	}
	for _, id := range remaining {
		_, draining := w.draining[id]
		alreadyOrdered := slices.Contains(w.progress.Ordered, id)
		atLimit := w.countUnavailable(machines)+len(w.draining) >= declared.MaxDown
		// A machine that was ordered before already counts as unavailable.
		if draining || claimed[id] || machines[id].State != fleet.MachineUp || atLimit && !alreadyOrdered {
			continue
		}
		w.draining[id] = now
		claimed[id] = true
	}
}

// priority sorts machines whose order may have been carried out before the others.
func (w *waveState) priority(id platform.MachineID) int {
	if slices.Contains(w.progress.Ordered, id) {
		return 0
	}
	return 1
}

// mayOrder reports whether the maintenance of a machine may be ordered: it runs no
// tasks, or drainTimeout has passed and it runs no long-running ones. Those are
// always moved first.
func (w *waveState) mayOrder(now Instant, id platform.MachineID, c TaskCounts) bool {
	return c.Empty() || c.LongRunning == 0 && now >= w.draining[id]+drainTimeout
}

func sortedIDs(set map[platform.MachineID]Instant) []platform.MachineID {
	list := make([]platform.MachineID, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
