package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// newBusyHarness simulates a busy day: serving tasks of five images on most of the
// capacity, and fillers of nine images that arrive faster than they finish.
func newBusyHarness(t testing.TB, seconds int) *harness {
	h := newHarness(t, 66)
	random := rand.New(rand.NewPCG(1, 1))
	costs := map[string]float64{}
	for i := range 9 {
		costs[fmt.Sprintf("f%d", i)] = 0.02 + 0.1*float64(i%3)
	}
	h.cluster.SetInterference(queueingLatency(costs))
	number := 0
	id := func() string { number++; return fmt.Sprintf("%016x", number) }
	for range 50 {
		h.submit(id(), nil, nil, servingStep(5, fmt.Sprintf("s%d", random.IntN(5))))
	}
	length := func(ref job.TaskRef) time.Duration {
		return time.Duration((0.8 + 1.8*random.Float64()) * float64(time.Second))
	}
	h.run(2 * time.Second)
	for range seconds {
		for range 12 {
			step := fillerStep(4+random.IntN(9), fmt.Sprintf("f%d", random.IntN(9)))
			h.submit(id(), length, nil, step, dependsOn(0)(step))
		}
		h.run(time.Second)
	}
	return h
}

// BenchmarkBusySecond measures the decisions of one second of a busy day.
func BenchmarkBusySecond(b *testing.B) {
	h := newBusyHarness(b, 10)
	b.ResetTimer()
	for range b.N {
		h.run(time.Second)
	}
}
