package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// candidates is a fixed View.
type candidates []Candidate

func (l candidates) Len() int                  { return len(l) }
func (l candidates) Candidate(i int) Candidate { return l[i] }

// usable returns a usable candidate with an expected latency of ms milliseconds.
func usable(ms int) Candidate {
	return Candidate{Expected: time.Duration(ms) * time.Millisecond, Usable: true}
}

func TestChoose(t *testing.T) {
	const target = 100 * time.Millisecond
	unusable := Candidate{Expected: time.Millisecond}
	tests := map[string]struct {
		local, remote candidates
		index         int
		isRemote      bool
	}{
		"nothing":                      {nil, nil, -1, false},
		"only local":                   {candidates{usable(1)}, nil, 0, false},
		"local slow but inside":        {candidates{usable(50)}, candidates{usable(1)}, 0, false},
		"spills before the target":     {candidates{usable(51)}, candidates{usable(1)}, 0, true},
		"remote is not better":         {candidates{usable(60)}, candidates{usable(59)}, 0, false},
		"local unusable":               {candidates{unusable}, candidates{usable(90)}, 0, true},
		"finds the only usable one":    {candidates{unusable, unusable, unusable, usable(5), unusable}, nil, 3, false},
		"better of two":                {candidates{usable(9), usable(3)}, nil, 1, false},
		"no usable one anywhere":       {candidates{unusable}, candidates{unusable}, -1, false},
		"local slow, remote not there": {candidates{usable(500)}, nil, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				i, isRemote := Choose(test.local, test.remote, target, rand.New(rand.NewPCG(seed, 0)))
				must.Eq(t, test.index, i)
				must.Eq(t, test.isRemote, isRemote)
			}
		})
	}
}

// TestTwoChoicesAvoidSlowEndpoint checks that the slowest of eight endpoints is
// never chosen and that the others share the load evenly.
func TestTwoChoicesAvoidSlowEndpoint(t *testing.T) {
	l := candidates{usable(1), usable(1), usable(1), usable(1), usable(1), usable(1), usable(1), usable(40)}
	rnd := rand.New(rand.NewPCG(1, 2))
	counts := make([]int, len(l))
	for range 8000 {
		i, _ := Choose(l, nil, time.Second, rnd)
		counts[i]++
	}
	must.Eq(t, 0, counts[7])
	for _, n := range counts[:7] {
		must.Between(t, 900, n, 1500)
	}
}

func TestEjectionAndSlowStart(t *testing.T) {
	must.False(t, CanEject(0, 1))
	must.True(t, CanEject(0, 2))
	must.False(t, CanEject(1, 2))
	must.False(t, CanEject(1, 3))
	must.True(t, CanEject(1, 4))
	must.Eq(t, baseEjectionTime, EjectionTime(1))
	must.Eq(t, 4*baseEjectionTime, EjectionTime(3))
	must.Eq(t, maxEjectionTime, EjectionTime(100))
	must.Eq(t, 10, slowStartPercentAt(0))
	must.Eq(t, 50, slowStartPercentAt(slowStartWindow/2))
	must.Eq(t, 100, slowStartPercentAt(slowStartWindow))
}
