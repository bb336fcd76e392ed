package interference

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
)

var classes = []platform.ClassName{"kiosk", "tap", "summary", "waves", "roster"}

func TestSlowdownGrowsWithLoadAndNeighbours(t *testing.T) {
	for seed := range uint64(20) {
		table := NewTable(seed, classes)
		for _, victim := range classes {
			for _, other := range classes {
				one := []platform.ClassName{other}
				two := []platform.ClassName{other, other}
				for _, load := range []float64{0, 0.3, 0.7, 1, 1.5} {
					s := table.Slowdown(victim, load, one)
					must.GreaterEq(t, 1, s)
					must.GreaterEq(t, s, table.Slowdown(victim, load, two))
					must.GreaterEq(t, s, table.Slowdown(victim, load+0.2, one))
				}
			}
		}
	}
}

func TestTableDependsOnSeedAlone(t *testing.T) {
	must.Eq(t, NewTable(7, classes), NewTable(7, classes))
	must.NotEq(t, NewTable(7, classes), NewTable(8, classes))
}

func TestSlowdownIgnoresOrder(t *testing.T) {
	table := NewTable(3, classes)
	a := table.Slowdown("tap", 0.9, []platform.ClassName{"summary", "waves", "summary"})
	b := table.Slowdown("tap", 0.9, []platform.ClassName{"summary", "summary", "waves"})
	must.InDelta(t, a, b, 1e-9)
}
