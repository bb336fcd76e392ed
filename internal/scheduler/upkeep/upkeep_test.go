package upkeep_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/upkeep"
)

// yard is a set of machines whose upkeep takes a time. It notes how many were down for
// a wave at a time.
type yard struct {
	now      time.Duration
	machines []fleet.Machine
	// ends is when a machine is up again.
	ends map[platform.MachineID]time.Duration
	// had are the machines that have had their upkeep in a wave.
	had  map[string]bool
	load map[platform.WorkerID]upkeep.Load
	most int
}

func newYard(n int) *yard {
	y := &yard{ends: map[platform.MachineID]time.Duration{}, had: map[string]bool{}, load: map[platform.WorkerID]upkeep.Load{}}
	for i := range n {
		y.machines = append(y.machines, fleet.Machine{
			ID: machine(i), State: fleet.MachineUp, Worker: platform.WorkerID(fmt.Sprintf("w%d", i)),
		})
	}
	return y
}

func machine(i int) platform.MachineID { return platform.MachineID(fmt.Sprintf("m%d", i)) }

// advance lets time pass.
func (y *yard) advance(d time.Duration) {
	y.now += d
	for i := range y.machines {
		m := &y.machines[i]
		if m.State == fleet.MachineInUpkeep && y.now >= y.ends[m.ID] {
			m.State = fleet.MachineUp
			m.Worker += "'"
		}
	}
}

// upkeep carries an order out.
func (y *yard) upkeep(o upkeep.Order) fleet.MachineVerdict {
	key := fmt.Sprint(o)
	if y.had[key] {
		return fleet.MachineAccepted
	}
	i := slices.IndexFunc(y.machines, func(m fleet.Machine) bool { return m.ID == o.Machine })
	if y.machines[i].State != fleet.MachineUp {
		return fleet.MachineBusy
	}
	y.had[key] = true
	y.machines[i].State = fleet.MachineInUpkeep
	y.ends[o.Machine] = y.now + 2*time.Second
	down := 0
	for _, m := range y.machines {
		if m.State == fleet.MachineInUpkeep {
			down++
		}
	}
	y.most = max(y.most, down)
	return fleet.MachineAccepted
}

func (y *yard) plan(p *upkeep.Planner, waves ...fleet.Wave) upkeep.Steps {
	return p.Plan(y.now, upkeep.Snapshot{
		Waves: waves, Machines: slices.Clone(y.machines), ReadAt: y.now,
		Load: func(id platform.WorkerID) upkeep.Load { return y.load[id] },
	})
}

func wave(machines, mostDown int) fleet.Wave {
	w := fleet.Wave{Number: 7, MostDown: mostDown, Within: time.Minute}
	for i := range machines {
		w.Machines = append(w.Machines, machine(i))
	}
	return w
}

// TestWaveKeepsItsBound carries a wave out while owners change and answers are lost:
// no more machines are down at a time than the wave allows, and each has its upkeep
// before the wave is done.
func TestWaveKeepsItsBound(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		y := newYard(9)
		w := wave(7, 1+random.IntN(3))
		recorded := map[int64]upkeep.Progress{}
		p := upkeep.New(recorded)
		done := false
		for !done {
			must.Less(t, 2*time.Minute, y.now, must.Sprintf("seed %d", seed))
			y.advance(300 * time.Millisecond)
			if random.IntN(10) == 0 {
				p = upkeep.New(recorded)
			}
			steps := y.plan(p, w)
			for _, o := range steps.Order {
				p.Ordered(o.Wave, o.Machine)
				recorded[o.Wave] = clone(p.Progress(o.Wave))
				verdict := fleet.MachineVerdict(0)
				if random.IntN(4) > 0 {
					verdict = y.upkeep(o)
				}
				if random.IntN(4) == 0 {
					// The order was carried out, its answer is lost.
					verdict = 0
				}
				p.Answered(y.now, o.Wave, o.Machine, verdict)
				recorded[o.Wave] = clone(p.Progress(o.Wave))
			}
			done = len(steps.Done) > 0
		}
		must.LessEq(t, w.MostDown, y.most, must.Sprintf("seed %d", seed))
		must.MapLen(t, 7, y.had, must.Sprintf("seed %d", seed))
	}
}

func clone(p upkeep.Progress) upkeep.Progress {
	p.Ordered, p.Begun = slices.Clone(p.Ordered), slices.Clone(p.Begun)
	return p
}

// TestEmptiestMachineFirst: of machines that run tasks without an end the one with the
// fewest is cleared, and it is not ordered before they are gone.
func TestEmptiestMachineFirst(t *testing.T) {
	y := newYard(3)
	y.load["w0"], y.load["w1"], y.load["w2"] = upkeep.Load{Lasting: 3}, upkeep.Load{Lasting: 1, Short: 9}, upkeep.Load{Lasting: 2}
	p := upkeep.New(nil)
	steps := y.plan(p, wave(3, 1))
	must.Eq(t, []platform.WorkerID{"w1"}, steps.Clear)
	y.advance(time.Minute)
	must.SliceEmpty(t, y.plan(p, wave(3, 1)).Order)
	y.load["w1"] = upkeep.Load{Short: 1}
	must.SliceLen(t, 1, y.plan(p, wave(3, 1)).Order)
}

// TestShortTasksDoNotHoldAWaveUp: tasks that end get some seconds for it.
func TestShortTasksDoNotHoldAWaveUp(t *testing.T) {
	y := newYard(1)
	y.load["w0"] = upkeep.Load{Short: 2}
	p := upkeep.New(nil)
	must.SliceEmpty(t, y.plan(p, wave(1, 1)).Order)
	y.advance(7 * time.Second)
	must.Eq(t, []upkeep.Order{{Wave: 7, Machine: "m0"}}, y.plan(p, wave(1, 1)).Order)
}

// TestMachinesThatAreGoneAreNotWaitedFor: a wave is done once every machine that stays
// has begun its upkeep.
func TestMachinesThatAreGoneAreNotWaitedFor(t *testing.T) {
	y := newYard(1)
	p := upkeep.New(nil)
	y.plan(p, wave(3, 2))
	p.Ordered(7, "m0")
	p.Answered(y.now, 7, "m0", fleet.MachineAccepted)
	must.Eq(t, []int64{7}, y.plan(p, wave(3, 2)).Done)
	must.False(t, p.Open([]fleet.Wave{wave(3, 2)}))
}

// TestWavesShareAMachine: a machine that two waves name is ordered for one at a time.
func TestWavesShareAMachine(t *testing.T) {
	y := newYard(1)
	p := upkeep.New(nil)
	second := wave(1, 1)
	second.Number = 8
	must.Eq(t, []upkeep.Order{{Wave: 7, Machine: "m0"}}, y.plan(p, second, wave(1, 1)).Order)
}

// TestMachinesAddedToAWave: a wave that is done goes on when operators add machines.
func TestMachinesAddedToAWave(t *testing.T) {
	y := newYard(2)
	p := upkeep.New(nil)
	y.plan(p, wave(1, 1))
	p.Ordered(7, "m0")
	p.Answered(y.now, 7, "m0", fleet.MachineAccepted)
	must.Eq(t, []int64{7}, y.plan(p, wave(1, 1)).Done)
	y.advance(time.Second)
	must.True(t, p.Open([]fleet.Wave{wave(2, 1)}))
	must.Eq(t, []upkeep.Order{{Wave: 7, Machine: "m1"}}, y.plan(p, wave(2, 1)).Order)
	must.False(t, p.Progress(7).Done)
}
