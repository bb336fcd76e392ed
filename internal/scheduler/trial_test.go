package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/cluster"
)

// newServingHarness returns workers with one serving task each, whose latencies are those of
// the given function of the active fillers beside it.
func newServingHarness(t *testing.T, workers int, latency func(active int) float64) *harness {
	h := newHarness(t, workers)
	h.cluster.SetInterference(func(_ *job.Step, fillers []cluster.Filler) float64 {
		active := 0
		for _, f := range fillers {
			if f.Percent > 0 {
				active++
			}
		}
		return latency(active)
	})
	step := servingStep(workers, "web")
	step.MaxPerWorker = 1
	h.submit(firstID, nil, nil, step)
	h.run(8 * time.Second)
	return h
}

// TestUnmeasuredFillersStart: fillers of an image that had never been measured waited for ever
// where serving tasks had less headroom than such an image may take, under new owners too.
func TestUnmeasuredFillersStart(t *testing.T) {
	for _, share := range []float64{0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 1, 1.1, 1.6} {
		for _, replaced := range []bool{false, true} {
			t.Run(fmt.Sprint(share, replaced), func(t *testing.T) {
				h := newServingHarness(t, 6, func(int) float64 { return share * targetMS })
				step := fillerStep(4, "new")
				id := h.submit("00000000000000a2", fixedLength(1), nil, step, dependsOn(0)(step))
				if replaced {
					h.run(time.Second)
					h.takeOver(true)
				}
				w := &idleWatch{}
				for range 400 {
					w.tick(h)
				}
				must.Eq(t, job.Done, h.state(id))
				must.LessEq(t, maxIdle, w.longest)
				h.checkViolations()
			})
		}
	}
}

// TestHarmfulFillersFinish: fillers that bring every serving task over its target waited for
// ever. They may do harm for a short time on one worker after the other.
func TestHarmfulFillersFinish(t *testing.T) {
	for i := range 4 {
		checkpoints, renewInterval := i%2 == 0, []time.Duration{tickInterval, 700 * time.Millisecond}[i/2]
		t.Run(fmt.Sprint(checkpoints, renewInterval), func(t *testing.T) {
			latency := func(active int) float64 { return targetMS * (0.7 + 0.5*float64(active)) }
			h := newServingHarness(t, 8, latency)
			h.renewInterval = renewInterval
			step := fillerStep(3, "harmful")
			step.Checkpointing = checkpoints
			id := h.submit("00000000000000a2", fixedLength(3), nil, step)
			idle := &idleWatch{}
			for range 1200 {
				idle.tick(h)
			}
			must.Eq(t, job.Done, h.state(id))
			must.LessEq(t, maxIdle, idle.longest)
			h.checkViolations()
		})
	}
}

// TestFillersFinishBesideTasksOverTarget: fillers were halted, or not started, beside serving
// tasks that were over their targets with and without them.
func TestFillersFinishBesideTasksOverTarget(t *testing.T) {
	h := newServingHarness(t, 8, func(int) float64 { return 1.6 * targetMS })
	idle := &idleWatch{}
	for i := range 4 {
		h.submit(fmt.Sprintf("%016x", 0xa2+i), fixedLength(2), nil, fillerStep(4, "new"))
	}
	for range 800 {
		idle.tick(h)
	}
	for i := range 4 {
		must.Eq(t, job.Done, h.state(job.ID(fmt.Sprintf("%016x", 0xa2+i))))
	}
	must.LessEq(t, maxIdle, idle.longest)
	h.checkViolations()
}

// TestHarmIsBoundedAfterTargetIsMetAgain: serving tasks that were over their targets by
// themselves recover, and the fillers beside them are the cause from then on.
func TestHarmIsBoundedAfterTargetIsMetAgain(t *testing.T) {
	for phase := range 12 {
		base := 1.6
		latency := func(active int) float64 { return targetMS * (base + 0.3*float64(min(active, 1))) }
		h := newServingHarness(t, 4, latency)
		for i := range 4 {
			step := fillerStep(4, "new")
			step.Checkpointing = i%2 == 0
			h.submit(fmt.Sprintf("%016x", 0xa2+i), fixedLength(30), nil, step)
		}
		h.run(5*time.Second + time.Duration(phase)*250*time.Millisecond)
		base = 0.8
		h.run(10 * time.Second)
		h.checkViolations()
	}
}

// TestShortFillersDoNoLastingHarm: fillers that end before they would be halted kept a serving task
// over its target one after the other.
func TestShortFillersDoNoLastingHarm(t *testing.T) {
	for _, workers := range []int{1, 4} {
		for _, length := range []float64{0.5, 0.9, 1.3, 2} {
			t.Run(fmt.Sprint(workers, length), func(t *testing.T) {
				latency := func(active int) float64 { return targetMS * (0.9 + 0.5*float64(min(active, 1))) }
				h := newServingHarness(t, workers, latency)
				for i := range 20 {
					h.submit(fmt.Sprintf("%016x", 0xa2+i), fixedLength(length), nil, fillerStep(4, "harmful"))
				}
				harmed, longest := 0, 0
				for range 800 {
					h.tick()
					harmed++
					if countActiveFillers(h.cluster, "w00") == 0 {
						harmed = 0
					}
					longest = max(longest, harmed)
				}
				must.Less(t, 4*time.Second, time.Duration(longest)*tickInterval)
				h.checkViolations()
			})
		}
	}
}

// TestHarmfulFillersOfManyJobsStart: fillers waited for more than 3 s with workers free for a trial,
// since as many trials went on as harmful ones leave.
func TestHarmfulFillersOfManyJobsStart(t *testing.T) {
	latency := func(active int) float64 { return targetMS * (0.7 + 0.5*float64(active)) }
	h := newServingHarness(t, 12, latency)
	for i := range 8 {
		step := fillerStep(3, "harmful")
		step.Checkpointing = true
		h.submit(fmt.Sprintf("%016x", 0xa2+i), fixedLength(20), nil, step)
	}
	idle := &idleWatch{}
	for range 800 {
		idle.tick(h)
	}
	must.LessEq(t, maxIdle, idle.longest)
	h.checkViolations()
}

// TestHarmEndsInTimeAtPaceOfRenewals: measurements came up to 0.95 s apart, so that fillers that take
// 0.9 s to stop worked for more than 4 s beside a serving task that they kept over its target.
func TestHarmEndsInTimeAtPaceOfRenewals(t *testing.T) {
	// A stop takes 0.3 s in the stand-in.
	const longest = 4*time.Second - 600*time.Millisecond
	for _, added := range []float64{0.32, 0.5} {
		for phase := range 8 {
			h := newServingHarness(t, 1, func(active int) float64 { return targetMS * (0.7 + added*float64(active)) })
			h.run(time.Duration(phase) * tickInterval)
			step := fillerStep(1, "harmful")
			step.Checkpointing = true
			h.submit("00000000000000a2", fixedLength(6), nil, step)
			var order fleet.RenewOrder
			sentAt, answerAt := time.Duration(0), h.now
			harmed := time.Duration(0)
			for range 600 {
				h.now += tickInterval
				h.cluster.Advance(h.now)
				h.syncWorkers()
				switch {
				case sentAt == 0 && h.now >= answerAt+h.shard.RenewPause("w00"):
					_, order, _ = h.shard.RenewOrder(h.now, "w00")
					sentAt, answerAt = h.now, h.now+order.Wait
				case sentAt != 0 && h.now >= answerAt:
					reply, _ := h.cluster.Renew(h.now, "w00", order)
					h.shard.RenewAnswered(h.now, sentAt, "w00", reply)
					sentAt, answerAt = 0, h.now
				}
				h.plan()
				h.record()
				if harmed += tickInterval; countActiveFillers(h.cluster, "w00") == 0 {
					harmed = 0
				}
				must.LessEq(t, longest, harmed, must.Sprint(added, phase))
			}
			must.Positive(t, h.cluster.Starts())
			h.checkViolations()
		}
	}
}

// TestWideFillerStarts: a filler wider than two thirds of the largest worker never started.
func TestWideFillerStarts(t *testing.T) {
	h := newHarness(t, 2)
	step := fillerStep(2, "wide")
	step.Size.MilliCPU = 30_000
	id := h.submit(firstID, fixedLength(1), nil, step)
	h.run(5 * time.Second)
	must.Eq(t, job.Done, h.state(id))
	h.checkViolations()
}

// TestHaltedFillersGoOn: fillers without checkpoints were halted for ever beside a serving task
// that stayed close to its target, those of long-running steps and gangs too, and one that went on after a
// pause counted as standing still.
func TestHaltedFillersGoOn(t *testing.T) {
	cases := map[string]func(*job.Step){
		"batch":        func(*job.Step) {},
		"gang":         func(s *job.Step) { s.Gang = true },
		"long-running": func(s *job.Step) { s.LongRunning = true },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			base := 0.2
			latency := func(active int) float64 { return targetMS * (base + 0.05*float64(active)) }
			h := newServingHarness(t, 1, latency)
			h.submit("00000000000000a2", fixedLength(0.7), nil, fillerStep(30, "quiet"))
			h.run(8 * time.Second)
			step := fillerStep(3, "quiet")
			step.Checkpointing = false
			change(&step)
			id := h.submit("00000000000000a3", fixedLength(10), nil, step)
			h.run(4 * time.Second)
			must.Eq(t, 3, h.cluster.Running(id))
			base = 0.97
			idle := &idleWatch{}
			active := 0
			for range 2400 {
				idle.tick(h)
				active += countActiveFillers(h.cluster, "w00")
			}
			if !step.LongRunning {
				must.Eq(t, job.Done, h.state(id))
			}
			must.Greater(t, 100, active)
			must.LessEq(t, maxIdle, idle.longest)
			h.checkViolations()
		})
	}
}

// TestFillersWaitForSpareCPU: fillers of a job with nothing running waited until those of other
// jobs left them CPU, although fillers reserve none.
func TestFillersWaitForSpareCPU(t *testing.T) {
	h := newHarness(t, 4)
	h.submit(firstID, fixedLength(20), nil, fillerStep(32, "long"))
	h.run(3 * time.Second)
	must.GreaterEq(t, 16, h.cluster.Running(firstID))
	id := h.submit("00000000000000a2", fixedLength(1), nil, fillerStep(2, "short"))
	idle := &idleWatch{}
	for range 200 {
		idle.tick(h)
	}
	must.Eq(t, job.Done, h.state(id))
	must.LessEq(t, maxIdle, idle.longest)
	h.checkViolations()
}

// TestBacklogKeepsJobsIdle: in a backlog of overdue fillers jobs had nothing running for longer
// than allowed, since the ends of their tasks are noticed late.
func TestBacklogKeepsJobsIdle(t *testing.T) {
	h := newHarness(t, 12)
	// Renewals come up to 0.95 s apart.
	h.renewInterval = 950 * time.Millisecond
	overdue := func(s *job.Submission) { s.Stretch, s.TargetMS = 0, 1 }
	for i := range 200 {
		h.submitAs(fmt.Sprintf("%016x", 0xa1+i), overdue, fixedLength(0.7), nil, fillerStep(20, "short"))
	}
	idle := &idleWatch{}
	for range 400 {
		idle.tick(h)
	}
	must.LessEq(t, maxIdle, idle.longest, must.Sprintf("%s waited for %v", idle.task, idle.longest))
	h.checkViolations()
}
