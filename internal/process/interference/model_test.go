package interference

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
)

// train feeds the model with measurements of a victim that each task of class "heavy"
// slows by half, and that class "light" does not affect.
func train(m *Model, rng *rand.Rand, n int) {
	for range n {
		heavy, light := float64(rng.IntN(3)), float64(rng.IntN(4))
		ratio := 0.5 * (1 + 0.5*heavy) * (1 + 0.1*rng.NormFloat64())
		neighbours := AddNeighbour(nil, "tap", 1)
		neighbours = AddNeighbour(neighbours, "heavy", heavy)
		neighbours = AddNeighbour(neighbours, "light", light)
		m.Observe(Observation{Victim: "tap", Load: 0.5 + 0.2*rng.Float64(), Neighbours: neighbours, Ratio: ratio})
	}
}

func TestModelTellsAntagonistFromBystander(t *testing.T) {
	m := NewModel()
	train(m, rand.New(rand.NewPCG(1, 2)), 200)
	neighbours := []Neighbour{{"heavy", 2}, {"light", 3}, {"tap", 1}}
	must.Eq(t, "heavy", m.RankAntagonists("tap", 0.6, neighbours)[0].Antagonist)
	must.InDelta(t, 1.45, m.Estimate("tap", "heavy", 0.6).Slowdown, 0.15)
	must.InDelta(t, 1, m.Estimate("tap", "light", 0.6).Slowdown, 0.1)
}

func TestMissChanceFollowsNeighbours(t *testing.T) {
	m := NewModel()
	train(m, rand.New(rand.NewPCG(3, 4)), 200)
	alone := m.MissChance("tap", 0.6, []Neighbour{{"light", 3}, {"tap", 1}}, Cautious)
	crowded := m.MissChance("tap", 0.6, []Neighbour{{"heavy", 3}, {"tap", 1}}, Cautious)
	must.Less(t, 0.05, alone)
	must.Greater(t, 0.8, crowded)
}

func TestConfidenceOrdersPredictions(t *testing.T) {
	m := NewModel()
	train(m, rand.New(rand.NewPCG(5, 6)), 20)
	neighbours := []Neighbour{{"heavy", 1}, {"never-seen", 2}, {"tap", 1}}
	low := m.MissChance("tap", 0.6, neighbours, Optimistic)
	high := m.MissChance("tap", 0.6, neighbours, Cautious)
	must.Less(t, high, low)
}

// TestModelFollowsAChangedSlowdown checks that old measurements lose their weight: a
// class that once slowed the victim no longer does.
func TestModelFollowsAChangedSlowdown(t *testing.T) {
	m := NewModel()
	rng := rand.New(rand.NewPCG(7, 8))
	train(m, rng, 300)
	for range 3000 {
		n := float64(rng.IntN(3))
		neighbours := AddNeighbour(AddNeighbour(nil, "tap", 1), "heavy", n)
		m.Observe(Observation{Victim: "tap", Load: 0.6, Neighbours: neighbours, Ratio: 0.5})
	}
	must.InDelta(t, 1, m.Estimate("tap", "heavy", 0.6).Slowdown, 0.1)
}

func TestWeakenEstimateLowersSlowdown(t *testing.T) {
	m := NewModel()
	train(m, rand.New(rand.NewPCG(9, 10)), 200)
	before := m.Estimate("tap", "heavy", 0.6)
	m.WeakenEstimate("tap", "heavy", 0.6)
	after := m.Estimate("tap", "heavy", 0.6)
	must.Less(t, before.Slowdown, after.Slowdown)
	must.Greater(t, before.LogDeviation, after.LogDeviation)
}

func TestClassesAreBounded(t *testing.T) {
	m := NewModel()
	for i := range 3 * maxClasses {
		neighbours := []Neighbour{{Class: platform.ClassName("c" + string(rune(0x100+i))), Amount: 1}}
		m.Observe(Observation{Victim: "tap", Load: 0.6, Neighbours: neighbours, Ratio: 1})
	}
	must.LessEq(t, firstClassFeature+maxClasses+1, len(m.victims["tap"][1].mean))
}

func BenchmarkMissChance(b *testing.B) {
	m := NewModel()
	train(m, rand.New(rand.NewPCG(1, 2)), 200)
	neighbours := []Neighbour{{"heavy", 2}, {"light", 3}, {"tap", 1}}
	for b.Loop() {
		m.MissChance("tap", 0.6, neighbours, Cautious)
	}
}
