// Package upkeep decides which machines of declared waves are cleared and which have
// their upkeep next. It is pure: a snapshot goes in, steps come out.
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

// Progress is what is recorded of a wave.
type Progress struct {
	// Ordered are the machines for which an order was to be given, Begun those of
	// which the platform has accepted it.
	Ordered []platform.MachineID `cbor:"1,keyasint,omitempty"`
	Begun   []platform.MachineID `cbor:"2,keyasint,omitempty"`
	// Done is set once every machine that is still there has begun its upkeep; Gone are
	// the others.
	Done bool                 `cbor:"3,keyasint,omitempty"`
	Gone []platform.MachineID `cbor:"4,keyasint,omitempty"`
}

// over reports whether the wave is done as it is declared now: operators may add
// machines to one that was done.
func (p *Progress) over(declared fleet.Wave) bool {
	return p.Done && !slices.ContainsFunc(declared.Machines, func(id platform.MachineID) bool {
		return !slices.Contains(p.Begun, id) && !slices.Contains(p.Gone, id)
	})
}

// Load is what runs on a worker.
type Load struct {
	// Lasting counts tasks without an end, Short those that end.
	Lasting, Short int
}

// Empty reports whether nothing runs.
func (l Load) Empty() bool { return l == Load{} }

// Snapshot is what a plan goes by.
type Snapshot struct {
	Waves []fleet.Wave
	// Machines is the platform's list, and ReadAt when it was asked for.
	Machines []fleet.Machine
	ReadAt   Instant
	// Load tells what runs on a worker.
	Load func(platform.WorkerID) Load
}

// Steps are what is to be done now.
type Steps struct {
	// Clear are the workers that are to be left by what they run.
	Clear []platform.WorkerID
	// Order are the machines that may have their upkeep now.
	Order []Order
	// Done are the waves that are over.
	Done []int64
}

// Order names a machine that may have its upkeep.
type Order struct {
	Wave    int64
	Machine platform.MachineID
}

// clearingBound is how long the tasks of a machine that end may hold its upkeep up:
// the longest ones take 5 s. What still runs then is stopped by the upkeep and starts
// elsewhere.
const clearingBound = 6 * time.Second

// Planner carries waves out for one owner. It is not safe for concurrent use.
type Planner struct {
	waves map[int64]*wave
}

// wave is the state of one wave.
type wave struct {
	progress Progress
	// clearing are the machines that are being cleared, since when.
	clearing map[platform.MachineID]Instant
	// accepted is when the platform accepted the order for a machine, back are the
	// machines that were seen up after that.
	accepted map[platform.MachineID]Instant
	back     map[platform.MachineID]bool
}

// New returns a planner that goes on from what earlier owners have recorded.
func New(recorded map[int64]Progress) *Planner {
	p := &Planner{waves: map[int64]*wave{}}
	for number, progress := range recorded {
		p.wave(number).progress = progress
	}
	return p
}

func (p *Planner) wave(number int64) *wave {
	w, ok := p.waves[number]
	if !ok {
		w = &wave{clearing: map[platform.MachineID]Instant{}, accepted: map[platform.MachineID]Instant{}, back: map[platform.MachineID]bool{}}
		p.waves[number] = w
	}
	return w
}

// Progress returns what is to be recorded of a wave.
func (p *Planner) Progress(number int64) Progress { return p.wave(number).progress }

// Open reports whether a wave is not over.
func (p *Planner) Open(waves []fleet.Wave) bool {
	return slices.ContainsFunc(waves, func(w fleet.Wave) bool { return !p.wave(w.Number).progress.over(w) })
}

// Ordered notes that an order for a machine is about to be given.
func (p *Planner) Ordered(number int64, id platform.MachineID) {
	w := p.wave(number)
	if !slices.Contains(w.progress.Ordered, id) {
		w.progress.Ordered = append(w.progress.Ordered, id)
	}
}

// Answered takes the platform's answer to an order in. One without an answer, or that
// was refused for now, is given again by a later plan.
func (p *Planner) Answered(now Instant, number int64, id platform.MachineID, v fleet.MachineVerdict) {
	w := p.wave(number)
	if v == fleet.MachineAccepted || v == fleet.MachineUnknown || v == fleet.MachineNotInWave {
		if !slices.Contains(w.progress.Begun, id) {
			w.progress.Begun = append(w.progress.Begun, id)
		}
		w.accepted[id] = now
		delete(w.clearing, id)
	}
	if v == fleet.MachineUnknown || v == fleet.MachineNotInWave {
		w.back[id] = true
	}
}

// Plan decides what is to be done now.
func (p *Planner) Plan(now Instant, s Snapshot) Steps {
	var steps Steps
	machines := map[platform.MachineID]fleet.Machine{}
	for _, m := range s.Machines {
		machines[m.ID] = m
	}
	// A machine that two waves name is cleared and ordered for one of them at a time.
	taken := map[platform.MachineID]bool{}
	waves := slices.Clone(s.Waves)
	slices.SortFunc(waves, func(a, b fleet.Wave) int { return cmp.Compare(a.Number, b.Number) })
	for _, declared := range waves {
		w := p.wave(declared.Number)
		if w.progress.over(declared) {
			continue
		}
		w.progress.Done, w.progress.Gone = false, nil
		w.noteBack(s.ReadAt, machines)
		left := w.left(declared, machines)
		if len(left) == 0 {
			w.finish(declared)
			steps.Done = append(steps.Done, declared.Number)
			continue
		}
		w.choose(now, declared, left, machines, s, taken)
		for _, id := range sorted(w.clearing) {
			worker := machines[id].Worker
			steps.Clear = append(steps.Clear, worker)
			if w.cleared(now, id, s.Load(worker)) {
				steps.Order = append(steps.Order, Order{Wave: declared.Number, Machine: id})
			}
		}
	}
	return steps
}

// finish notes that no machine of the wave is left.
func (w *wave) finish(declared fleet.Wave) {
	w.progress.Done = true
	for _, id := range declared.Machines {
		if !slices.Contains(w.progress.Begun, id) {
			w.progress.Gone = append(w.progress.Gone, id)
		}
	}
}

// noteBack notes the machines that are up again, by a list that was asked for after
// their orders were accepted.
func (w *wave) noteBack(readAt Instant, machines map[platform.MachineID]fleet.Machine) {
	for _, id := range w.progress.Begun {
		if readAt > w.accepted[id] && machines[id].State == fleet.MachineUp {
			w.back[id] = true
		}
	}
}

// left returns the machines of the wave that are still there and have not begun their
// upkeep.
func (w *wave) left(declared fleet.Wave, machines map[platform.MachineID]fleet.Machine) []platform.MachineID {
	var list []platform.MachineID
	for _, id := range declared.Machines {
		if _, there := machines[id]; there && !slices.Contains(w.progress.Begun, id) {
			list = append(list, id)
		}
	}
	return list
}

// down counts the machines that may be down for the wave: those whose order was given
// or may have been, until they were seen back.
func (w *wave) down(machines map[platform.MachineID]fleet.Machine) int {
	n := 0
	for _, id := range w.progress.Ordered {
		_, there := machines[id]
		_, clearing := w.clearing[id]
		if there && !clearing && !w.back[id] {
			n++
		}
	}
	return n
}

// choose fills the machines that are being cleared up to what the wave allows: those
// whose order may have been carried out first, then those that run least.
func (w *wave) choose(now Instant, declared fleet.Wave, left []platform.MachineID, machines map[platform.MachineID]fleet.Machine, s Snapshot, taken map[platform.MachineID]bool) {
	for id := range w.clearing {
		if !slices.Contains(left, id) || machines[id].State != fleet.MachineUp {
			delete(w.clearing, id)
		}
	}
	load := func(id platform.MachineID) Load { return s.Load(machines[id].Worker) }
	slices.SortStableFunc(left, func(a, b platform.MachineID) int {
		return cmp.Or(
			cmp.Compare(w.rank(a), w.rank(b)),
			cmp.Compare(load(a).Lasting, load(b).Lasting),
			cmp.Compare(load(a).Short, load(b).Short),
			cmp.Compare(a, b),
		)
	})
	for _, id := range left {
		if _, clearing := w.clearing[id]; clearing {
			taken[id] = true
		}
	}
	for _, id := range left {
		_, clearing := w.clearing[id]
		again := slices.Contains(w.progress.Ordered, id)
		full := w.down(machines)+len(w.clearing) >= declared.MostDown
		// One that was ordered counts as down already.
		if clearing || taken[id] || machines[id].State != fleet.MachineUp || full && !again {
			continue
		}
		w.clearing[id] = now
		taken[id] = true
	}
}

// rank puts machines whose order may have been carried out before the others.
func (w *wave) rank(id platform.MachineID) int {
	if slices.Contains(w.progress.Ordered, id) {
		return 0
	}
	return 1
}

// cleared reports whether a machine may have its upkeep. Tasks without an end are
// always moved first.
func (w *wave) cleared(now Instant, id platform.MachineID, l Load) bool {
	return l.Empty() || l.Lasting == 0 && now >= w.clearing[id]+clearingBound
}

func sorted(set map[platform.MachineID]Instant) []platform.MachineID {
	list := make([]platform.MachineID, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
