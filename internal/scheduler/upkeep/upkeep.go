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
	// Ordered lists the workers of machines whose maintenance was ordered and may still begin.
	Ordered []platform.WorkerID
	// Refused lists the workers whose machines have refused their upkeep as busy, and that
	// go on until these are drained again.
	Refused []platform.WorkerID
	// Orders lists the machines whose maintenance may be ordered now.
	Orders []Order
	// Done lists the waves that have completed.
	Done []int64
	// Late lists the waves that this owner has known, open, for longer than they may take.
	// Each is listed once.
	Late []int64
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

const (
	// maxBusyOrders is how many orders in a row a machine may refuse as busy before its
	// worker is used again for a while, and another machine gets its turn.
	maxBusyOrders = 3
	// minBusyRetry and maxBusyRetry bound that while, which doubles each time.
	minBusyRetry = 4 * time.Second
	maxBusyRetry = time.Minute
	// maxOrderDelay is how long an order without an answer may still be carried out.
	maxOrderDelay = 13 * time.Second
)

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
	// busy holds the machines that have refused their last orders as busy.
	busy map[platform.MachineID]*busyMachine
	// unansweredUntil is when the last order for a machine that got no answer can no longer
	// be carried out.
	unansweredUntil map[platform.MachineID]Instant
	// openSince is when this owner first saw the wave open, or zero. late is set once it
	// has been listed as late.
	openSince Instant
	late      bool
}

// busyMachine counts the orders in a row that a machine has refused as busy.
type busyMachine struct {
	refusals int
	// retryAt is when the machine may be drained again, and retryAfter the time before it
	// that it was not drained. Both are zero before maxBusyOrders refusals.
	retryAt    Instant
	retryAfter time.Duration
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
		w = &waveState{
			draining: map[platform.MachineID]Instant{}, acceptedAt: map[platform.MachineID]Instant{}, recovered: map[platform.MachineID]bool{},
			busy: map[platform.MachineID]*busyMachine{}, unansweredUntil: map[platform.MachineID]Instant{},
		}
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
// later plan. A machine that is always busy is not drained meanwhile.
func (p *Planner) RecordVerdict(now Instant, number int64, id platform.MachineID, v fleet.MachineVerdict) {
	w := p.ensureWave(number)
	switch v {
	case fleet.MachineBusy:
		w.recordBusy(now, id)
	case noVerdict:
		w.unansweredUntil[id] = now + maxOrderDelay
		delete(w.busy, id)
	}
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

// noVerdict is the verdict on an order that got no answer.
const noVerdict fleet.MachineVerdict = 0

// recordBusy records that a machine has refused an order as busy.
func (w *waveState) recordBusy(now Instant, id platform.MachineID) {
	b := w.busy[id]
	if b == nil {
		b = &busyMachine{}
		w.busy[id] = b
	}
	b.refusals++
	if b.refusals%maxBusyOrders == 0 {
		b.retryAfter = max(minBusyRetry, min(maxBusyRetry, 2*b.retryAfter))
		b.retryAt = now + b.retryAfter
		delete(w.draining, id)
	}
}

// waits reports whether a machine is not drained because it was busy.
func (w *waveState) waits(now Instant, id platform.MachineID) bool {
	b := w.busy[id]
	return b != nil && now < b.retryAt
}

// refused reports whether the last orders for a machine were refused as busy and none that
// got no answer can still be carried out: the machine is not down for the wave.
func (w *waveState) refused(now Instant, id platform.MachineID) bool {
	b := w.busy[id]
	return b != nil && b.retryAt != 0 && now >= w.unansweredUntil[id]
}

// isLate reports, once, that the wave has been open for longer than it may take.
func (w declaredWave) isLate(now Instant) bool {
	if w.openSince == 0 {
		w.openSince = now
	}
	if w.late || w.declared.Within <= 0 || now-w.openSince <= w.declared.Within {
		return false
	}
	w.late = true
	return true
}

// declaredWave is a declared wave with its state.
type declaredWave struct {
	*waveState
	declared fleet.Wave
}

// plan is one pass over the open waves.
type plan struct {
	now      Instant
	snapshot Snapshot
	machines map[platform.MachineID]fleet.Machine
	// open are the waves that are not complete, sorted by number, and ending those whose
	// last machines may still be down.
	open, ending []declaredWave
	// known are the states of all waves.
	known map[int64]*waveState
}

// Plan returns the actions to take now.
func (p *Planner) Plan(now Instant, s Snapshot) Actions {
	var actions Actions
	pass := p.newPlan(now, s)
	for _, w := range pass.open {
		remaining := w.remaining(pass.machines)
		if len(remaining) == 0 {
			w.markDone(w.declared)
			actions.Done = append(actions.Done, w.declared.Number)
			continue
		}
		if w.isLate(now) {
			actions.Late = append(actions.Late, w.declared.Number)
		}
		pass.startDraining(w, remaining)
		for _, id := range sortedIDs(w.draining) {
			worker := pass.machines[id].Worker
			actions.Drain = append(actions.Drain, worker)
			if w.mayOrder(now, id, s.Load(worker)) {
				actions.Orders = append(actions.Orders, Order{Wave: w.declared.Number, Machine: id})
			}
		}
	}
	actions.Ordered, actions.Refused = pass.ordered(), pass.refused()
	return actions
}

// ordered returns the workers of the machines that were ordered their maintenance, by whichever
// owner, and have neither been seen up since it was accepted nor refused it.
func (p *plan) ordered() []platform.WorkerID {
	var list []platform.WorkerID
	for _, w := range slices.Concat(p.open, p.ending) {
		for _, id := range w.progress.Ordered {
			if worker := p.machines[id].Worker; worker != "" && !w.recovered[id] && !w.refused(p.now, id) {
				list = append(list, worker)
			}
		}
	}
	return list
}

// refused returns the workers of the machines whose last orders were refused as busy and no
// order for which may still be carried out.
func (p *plan) refused() []platform.WorkerID {
	var list []platform.WorkerID
	for _, w := range p.known {
		for id := range w.busy {
			if w.refused(p.now, id) && !p.unavailable(id) && p.machines[id].Worker != "" {
				list = append(list, p.machines[id].Worker)
			}
		}
	}
	return list
}

// newPlan reopens the waves that have changed since they were done, and updates what is
// known of each wave from the list of machines.
func (p *Planner) newPlan(now Instant, s Snapshot) *plan {
	pass := &plan{now: now, snapshot: s, machines: map[platform.MachineID]fleet.Machine{}, known: p.waves}
	for _, m := range s.Machines {
		pass.machines[m.ID] = m
	}
	for _, declared := range s.Waves {
		w := p.ensureWave(declared.Number)
		w.markRecovered(s.ReadAt, pass.machines)
		switch {
		case !w.progress.complete(declared):
			w.progress.Done, w.progress.Removed = false, nil
			pass.open = append(pass.open, declaredWave{w, declared})
		case slices.ContainsFunc(declared.Machines, func(id platform.MachineID) bool { return w.mayBeDown(pass, id) }):
			pass.ending = append(pass.ending, declaredWave{w, declared})
		}
	}
	slices.SortFunc(pass.open, func(a, b declaredWave) int { return cmp.Compare(a.declared.Number, b.declared.Number) })
	for number, w := range p.waves {
		var needed []platform.MachineID
		if i := slices.IndexFunc(pass.open, func(o declaredWave) bool { return o.declared.Number == number }); i >= 0 {
			needed = pass.open[i].remaining(pass.machines)
		}
		for id := range w.draining {
			if !slices.Contains(needed, id) || pass.machines[id].State != fleet.MachineUp {
				delete(w.draining, id)
			}
		}
	}
	return pass
}

// markDone marks the wave as done, and those of its machines that have not begun
// their maintenance as removed.
func (w *waveState) markDone(declared fleet.Wave) {
	w.progress.Done, w.openSince, w.late = true, 0, false
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
func (w declaredWave) remaining(machines map[platform.MachineID]fleet.Machine) []platform.MachineID {
	var list []platform.MachineID
	for _, id := range w.declared.Machines {
		if _, exists := machines[id]; exists && !slices.Contains(w.progress.Begun, id) {
			list = append(list, id)
		}
	}
	return list
}

// mayBeDown reports whether a machine may be down for the wave: it was or may have been
// ordered, and has neither been seen up since nor, being up, refused its orders.
func (w *waveState) mayBeDown(p *plan, id platform.MachineID) bool {
	if !slices.Contains(w.progress.Ordered, id) || w.drains(id) {
		return false
	}
	if slices.Contains(w.progress.Begun, id) {
		return !w.recovered[id]
	}
	return p.machines[id].State != fleet.MachineUp || !w.refused(p.now, id)
}

func (w *waveState) drains(id platform.MachineID) bool {
	_, draining := w.draining[id]
	return draining
}

// draining reports whether a machine is drained for any wave.
func (p *plan) draining(id platform.MachineID) bool {
	for _, w := range p.known {
		if w.drains(id) {
			return true
		}
	}
	return false
}

// unavailable reports whether a machine is drained or may be down, for whichever wave.
func (p *plan) unavailable(id platform.MachineID) bool {
	if _, exists := p.machines[id]; !exists {
		return false
	}
	for _, w := range p.known {
		if w.drains(id) || w.mayBeDown(p, id) {
			return true
		}
	}
	return false
}

// atLimit reports whether a wave that contains the machine has as many machines
// unavailable as its limit allows. Waves may share machines: one that is down for one of
// them counts towards the limits of all that contain it.
func (p *plan) atLimit(id platform.MachineID) bool {
	for _, w := range slices.Concat(p.open, p.ending) {
		if !slices.Contains(w.declared.Machines, id) {
			continue
		}
		n := 0
		for _, other := range w.declared.Machines {
			if p.unavailable(other) {
				n++
			}
		}
		if n >= w.declared.MaxDown {
			return true
		}
	}
	return false
}

// startDraining starts to drain machines of a wave up to the limits. Machines whose
// order may have been carried out come first, then those with the fewest tasks. A machine
// that belongs to several waves is drained for one at a time.
func (p *plan) startDraining(w declaredWave, remaining []platform.MachineID) {
	load := func(id platform.MachineID) TaskCounts { return p.snapshot.Load(p.machines[id].Worker) }
	slices.SortStableFunc(remaining, func(a, b platform.MachineID) int {
		return cmp.Or(
			cmp.Compare(w.priority(p, a), w.priority(p, b)),
			cmp.Compare(load(a).LongRunning, load(b).LongRunning),
			cmp.Compare(load(a).Batch, load(b).Batch),
			cmp.Compare(a, b),
		)
	})
	for _, id := range remaining {
		if p.draining(id) || w.waits(p.now, id) || p.machines[id].State != fleet.MachineUp {
			continue
		}
		// A machine that may be down already counts as unavailable.
		if p.atLimit(id) && !w.mayBeDown(p, id) {
			continue
		}
		w.draining[id] = p.now
	}
}

// priority sorts machines whose order may have been carried out before the others, and
// those that have refused theirs behind them.
func (w *waveState) priority(p *plan, id platform.MachineID) int {
	switch {
	case w.mayBeDown(p, id):
		return 0
	case w.busy[id] != nil:
		return 2
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
