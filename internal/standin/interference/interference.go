// Package interference models how much tasks on a simulated worker slow each other
// down. The code under test has no access to the model and sees only its effect in
// delayed reports.
package interference

import (
	"math"
	"math/rand/v2"

	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	// noEffectShare and mildShare are the shares of class pairs without and with
	// mild interference; the rest interfere severely.
	noEffectShare = 0.55
	mildShare     = 0.30
	// Bounds of the slowdown that one neighbour adds at load 1.
	mildSlowdownMin, mildSlowdownMax     = 0.05, 0.30
	severeSlowdownMin, severeSlowdownMax = 0.80, 2.50
	// onsetLoadMin and onsetLoadMax bound the load up to which a pair does not
	// interfere.
	onsetLoadMin, onsetLoadMax = 0.2, 0.6
	// neighbourExponent is applied to the number of neighbours of one class: the
	// slowdown that they add grows less than linearly.
	neighbourExponent = 0.7
	// saturationLoad is the load above which every task waits for processors.
	saturationLoad = 0.9
	// saturationSlope is the slowdown added per unit of load above saturationLoad.
	saturationSlope = 4.0
	// maxLoad caps the load used in the model.
	maxLoad = 2.0
)

// effect is the effect of one neighbour of a class on a victim.
type effect struct {
	// slowdownAtFullLoad is the slowdown added at load 1.
	slowdownAtFullLoad float64
	// onsetLoad is the load above which the slowdown begins.
	onsetLoad float64
}

type classPair struct {
	victim, neighbour platform.ClassName
}

// Table holds the effect of each ordered pair of classes. It does not change
// after its creation and may be read concurrently.
type Table struct {
	effects map[classPair]effect
}

// NewTable returns a table for classes. It is a pure function of seed and the order
// of classes. The effects of a on b and of b on a are independent.
func NewTable(seed uint64, classes []platform.ClassName) *Table {
	r := rand.New(rand.NewPCG(seed, uint64(len(classes))))
	t := &Table{effects: map[classPair]effect{}}
	for _, victim := range classes {
		for _, neighbour := range classes {
			t.effects[classPair{victim, neighbour}] = drawEffect(r)
		}
	}
	return t
}

func drawEffect(r *rand.Rand) effect {
	kind, size, onset := r.Float64(), r.Float64(), r.Float64()
	e := effect{onsetLoad: onsetLoadMin + onset*(onsetLoadMax-onsetLoadMin)}
	switch {
	case kind < noEffectShare:
	case kind < noEffectShare+mildShare:
		e.slowdownAtFullLoad = mildSlowdownMin + size*(mildSlowdownMax-mildSlowdownMin)
	default:
		e.slowdownAtFullLoad = severeSlowdownMin + size*(severeSlowdownMax-severeSlowdownMin)
	}
	return e
}

// Slowdown returns the factor, at least 1, by which work of class victim takes longer.
// load is the actual processor demand on the worker as a fraction of its capacity; it
// may exceed 1. neighbours lists the class of each other task on the worker, one entry
// per task. Classes that are not in the table have no effect.
func (t *Table) Slowdown(victim platform.ClassName, load float64, neighbours []platform.ClassName) float64 {
	load = math.Max(0, math.Min(load, maxLoad))
	slowdown := 1 + saturationSlope*math.Max(0, load-saturationLoad)
	for i, class := range neighbours {
		if n := countAtLast(neighbours, i, class); n > 0 {
			slowdown += t.effects[classPair{victim, class}].slowdownAt(load) * math.Pow(float64(n), neighbourExponent)
		}
	}
	return slowdown
}

// slowdownAt returns the slowdown that one neighbour adds at a load. It grows linearly
// above onsetLoad.
func (e effect) slowdownAt(load float64) float64 {
	if load <= e.onsetLoad {
		return 0
	}
	return e.slowdownAtFullLoad * (load - e.onsetLoad) / (1 - e.onsetLoad)
}

// countAtLast returns the number of entries of class in list if list[i] is the last of
// them, else 0, so that a sum over i counts each class once.
func countAtLast(list []platform.ClassName, i int, class platform.ClassName) int {
	for _, c := range list[i+1:] {
		if c == class {
			return 0
		}
	}
	n := 1
	for _, c := range list[:i] {
		if c == class {
			n++
		}
	}
	return n
}
