package interference

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func TestBetweenReturnsNeighboursOfAPeriod(t *testing.T) {
	h := NewHistory()
	one := []Neighbour{{"summary", 1}}
	two := []Neighbour{{"summary", 2}}
	h.Record("w", at(0), one)
	h.Record("w", at(30), two)
	cases := []struct {
		name     string
		from, to int
		want     []Neighbour
		ok       bool
	}{
		{"before the first", -10, -5, nil, false},
		{"first", 5, 10, one, true},
		{"changed in between", 25, 35, two, false},
		{"second", 30, 40, two, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := h.Between("w", at(c.from), at(c.to))
			must.Eq(t, c.ok, ok)
			must.Eq(t, c.want, got)
		})
	}
}

func TestHistoryIsBoundedAndKeepsItsOwnCopy(t *testing.T) {
	h := NewHistory()
	neighbours := []Neighbour{{"summary", 1}}
	for i := range 10 * maxSnapshots {
		neighbours[0].Amount = float64(i + 1)
		h.Record("w", at(i), neighbours)
	}
	must.LessEq(t, maxSnapshots, len(h.workers["w"]))
	got, ok := h.Between("w", at(630), at(630))
	must.True(t, ok)
	must.Eq(t, 631, got[0].Amount)
}

func TestAddNeighbourKeepsOrder(t *testing.T) {
	var list []Neighbour
	list = AddNeighbour(list, "b", 1)
	list = AddNeighbour(list, "a", 2)
	list = AddNeighbour(list, "b", 1)
	must.Eq(t, []Neighbour{{"a", 2}, {"b", 2}}, list)
	list = AddNeighbour(list, "a", -2)
	list = AddNeighbour(list, "c", -1)
	must.Eq(t, []Neighbour{{"b", 2}}, list)
	must.Eq(t, 2, AmountOf(list, "b"))
}
