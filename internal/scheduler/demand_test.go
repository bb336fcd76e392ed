package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// admit asks for the admission of a job that has plenty of time.
func (h *harness) admit(step job.Step) scheduler.Admission {
	return h.shard.Admit(h.now, &job.Submission{
		Queue: queueName, Service: service, Stretch: 100, TargetMS: 100_000, Spec: job.Spec{Steps: []job.Step{step}},
	})
}

// newNarrowHarness has 24 workers and sends ten start orders a tick.
func newNarrowHarness(t *testing.T) *harness {
	h := newHarness(t, 24)
	h.maxStarts = 1
	return h
}

// submitMany accepts jobs with steps of small tasks.
func (h *harness) submitMany(jobs int, steps ...job.Step) {
	for i := range steps {
		steps[i].Size.MilliCPU = 100
	}
	for i := range jobs {
		h.submit(fmt.Sprintf("%016x", i), nil, nil, steps...)
	}
}

// TestJobIsAcceptedWithoutStartOrders: jobs were accepted whose tasks no start order could
// reach in time, because admission left out overdue work, steps to come and its first 3 s.
func TestJobIsAcceptedWithoutStartOrders(t *testing.T) {
	for name, fill := range map[string]func(h *harness){
		"new owner": func(h *harness) {
			h.submitMany(100, batchStep(10))
			h.run(1200 * time.Millisecond)
		},
		"overdue": func(h *harness) {
			h.maxStarts = 0
			h.submitMany(100, batchStep(10))
			h.run(time.Minute)
			h.maxStarts = 1
			h.run(1200 * time.Millisecond)
		},
		"steps to come": func(h *harness) {
			h.submitMany(30, batchStep(11), dependsOn(0)(batchStep(40)))
			h.run(1200 * time.Millisecond)
		},
		"long-running": func(h *harness) {
			h.submitMany(100, servingStep(10, "web"))
			h.run(1200 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newNarrowHarness(t)
			fill(h)
			for _, step := range []job.Step{batchStep(1), servingStep(1, "web")} {
				a := h.admit(step)
				must.False(t, a.Admitted)
				must.Between(t, time.Second, a.RetryAfter, 5*time.Second)
			}
		})
	}
}

// TestJobIsRefusedAlthoughStartOrdersSuffice: start orders that hold tasks up for a moment,
// or that were short once, are no reason to refuse a job.
func TestJobIsRefusedAlthoughStartOrdersSuffice(t *testing.T) {
	for name, fill := range map[string]func(h *harness){
		"short backlog": func(h *harness) {
			h.submitMany(50, batchStep(10))
			h.run(1200 * time.Millisecond)
		},
		"burst": func(h *harness) {
			h.submitMany(100, batchStep(10))
			h.run(500 * time.Millisecond)
		},
		"wide link": func(h *harness) {
			h.maxStarts = 64
			h.submitMany(100, batchStep(10))
			h.run(1200 * time.Millisecond)
		},
		"backlog cleared": func(h *harness) {
			h.submitMany(100, batchStep(10))
			h.run(6 * time.Second)
		},
		"no plan": func(h *harness) {
			h.submitMany(100, batchStep(10))
			h.run(1200 * time.Millisecond)
			h.now += 2 * time.Second
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newNarrowHarness(t)
			fill(h)
			must.True(t, h.admit(batchStep(1)).Admitted)
		})
	}
}

// TestLongRunningTasksAreHeldUpBehindBatch: on a link that carries half of the start orders
// needed, later tasks of a long-running step waited behind batch tasks for over 3 s.
func TestLongRunningTasksAreHeldUpBehindBatch(t *testing.T) {
	h := newNarrowHarness(t)
	h.run(5 * time.Second)
	const jobsPerTick, jobsPerLongRunning = 2, 4
	size := platform.Resources{MilliCPU: 200, MemoryMB: 200}
	batch := job.Step{Tasks: 12, Size: size, EstimateMS: 1000}
	longRunning := job.Step{Tasks: 8, Size: size, LongRunning: true, Image: "web"}
	w, number := &idleWatch{}, 0
	for end := h.now + 20*time.Second; h.now < end; w.tick(h) {
		for range jobsPerTick {
			number++
			step := batch
			if number%jobsPerLongRunning == 0 {
				step = longRunning
			}
			if h.admit(step).Admitted {
				h.submit(fmt.Sprintf("%016x", number), nil, nil, step)
			}
		}
	}
	must.LessEq(t, maxIdle, w.longest, must.Sprintf("%s waited for %v", w.task, w.longest))
	h.checkViolations()
}

// TestStepWithoutStartOrdersIsNotNoted: steps that waited for a start order were not noted.
func TestStepWithoutStartOrdersIsNotNoted(t *testing.T) {
	heldUp := func(maxStarts int) (notes int) {
		h := newNarrowHarness(t)
		h.maxStarts = maxStarts
		h.submitMany(100, batchStep(10))
		h.run(3 * time.Second)
		for _, note := range h.shard.TakeNotes().Held {
			if note.HeldUp {
				must.GreaterEq(t, time.Second, note.Waited)
				notes++
			}
		}
		return notes
	}
	// Steps may be noted after 1 s, and then five times a second.
	const maxNotes = 1 + 2*5
	must.Between(t, 5, heldUp(1), maxNotes)
	must.Between(t, 5, heldUp(0), maxNotes)
	must.Zero(t, heldUp(unlimitedStarts))
}
