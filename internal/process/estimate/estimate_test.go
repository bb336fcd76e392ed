package estimate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
)

var declared = platform.Resources{MilliCPU: 2000, MemoryMB: 4000, Slots: 1}

func usage(milliCPU, memoryMB int64) platform.Resources {
	return platform.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB, Slots: 1}
}

func TestUnprofiledTemplatesReserveMoreMemory(t *testing.T) {
	e := New()
	must.Eq(t, usage(2000, 6000), e.Size("a", declared))
	must.False(t, e.Profiled("a"))
	e.Observe("a/0", "a", usage(1000, 3000))
	must.True(t, e.Profiled("a"))
	must.Eq(t, declared, e.Size("a", declared))
}

func TestEstimatesRiseAtOnce(t *testing.T) {
	e := New()
	e.Size("a", declared)
	e.Observe("a/0", "a", usage(5000, 10_000))
	must.Eq(t, usage(5000, 11_000), e.Size("a", declared))
}

func TestEstimatesFallSlowlyAndNotBelowThePeak(t *testing.T) {
	e := New()
	e.Size("a", declared)
	e.Observe("a/peak", "a", usage(500, 2000))
	e.ObserveFinish("a/peak", time.Minute)
	first := e.Size("a", declared)
	must.Eq(t, usage(2000-375, 4000-450), first)
	for range 100 {
		e.Observe("a/1", "a", usage(500, 100))
		e.ObserveFinish("a/1", time.Minute)
	}
	must.Eq(t, usage(500, 2200), e.Size("a", declared))
}

func TestChangedDeclarationKeepsThePeak(t *testing.T) {
	e := New()
	e.Size("a", declared)
	e.Observe("a/0", "a", usage(500, 9000))
	must.Eq(t, usage(100, 9900), e.Size("a", usage(100, 200)))
}

func TestRunTimeFollowsFinishedTasks(t *testing.T) {
	e := New()
	e.Size("a", declared)
	must.Eq(t, 90*time.Second, e.RunTime("a", 90*time.Second))
	for i, d := range []time.Duration{100, 300, 100} {
		id := platform.TaskID(rune('0' + i))
		e.Observe(id, "a", declared)
		e.ObserveFinish(id, d*time.Second)
	}
	must.Eq(t, 250*time.Second, e.RunTime("a", 90*time.Second))
	must.MapEmpty(t, e.tasks)
}
