package worker

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/standin/interference"
)

// clock is a manually advanced clock.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

func newWorker(change func(*Config)) (*Worker, *clock) {
	c := &clock{now: time.Minute}
	config := Config{ID: "w", Capacity: platform.Resources{MilliCPU: 4000, MemoryMB: 4000, Slots: 4}, Clock: c.read}
	if change != nil {
		change(&config)
	}
	return New(config), c
}

func startOf(task platform.TaskID, attempt platform.Attempt) platform.StartRequest {
	return platform.StartRequest{
		Task: task, Attempt: attempt, Fence: platform.Fence{Shard: "s", Epoch: 2}, Kind: platform.KindBatch,
		Class: "batch", Template: "t", Size: platform.Resources{MilliCPU: 1000, MemoryMB: 1000, Slots: 1},
		Work: 10 * time.Second, NotAfter: platform.WorkerTime(time.Hour), Boot: "w-1", LeaseTTL: 15 * time.Second,
	}
}

func mustStart(t *testing.T, w *Worker, r platform.StartRequest) platform.CallResult {
	reply, err := w.From("a").Start(t.Context(), r)
	must.NoError(t, err)
	return reply.Result
}

func mustStop(t *testing.T, w *Worker, r platform.StopRequest) platform.StopReply {
	r.Fence = platform.Fence{Shard: "s", Epoch: 2}
	reply, err := w.From("a").Stop(t.Context(), r)
	must.NoError(t, err)
	return reply
}

// phaseOf returns the reported phase of a task, or "" if it is not reported.
func phaseOf(t *testing.T, w *Worker, id platform.TaskID) platform.TaskPhase {
	report, err := w.From("a").Report(t.Context())
	must.NoError(t, err)
	for _, r := range report.Tasks {
		if r.Task == id {
			return r.Phase
		}
	}
	return ""
}

func TestStartResults(t *testing.T) {
	cases := []struct {
		name   string
		change func(*platform.StartRequest)
		want   platform.CallResult
	}{
		{"accepted", func(*platform.StartRequest) {}, platform.Accepted},
		{"repeated", func(r *platform.StartRequest) { r.Task = "there" }, platform.Accepted},
		{"other boot", func(r *platform.StartRequest) { r.Boot = "w-0" }, platform.RefusedBoot},
		{"expired", func(r *platform.StartRequest) { r.NotAfter = -1 }, platform.RefusedExpired},
		{"older epoch", func(r *platform.StartRequest) { r.Fence.Epoch = 1 }, platform.RefusedFenced},
		{"stopped before", func(r *platform.StartRequest) { r.Task = "stopped" }, platform.RefusedFenced},
		{"later attempt than the stopped one", func(r *platform.StartRequest) { r.Task, r.Attempt = "stopped", 2 }, platform.Accepted},
		{"earlier attempt runs", func(r *platform.StartRequest) { r.Task, r.Attempt = "there", 2 }, platform.RefusedFenced},
		{"no processors", func(r *platform.StartRequest) { r.Size.MilliCPU = 3001 }, platform.RefusedCapacity},
		{"no memory", func(r *platform.StartRequest) { r.Size.MemoryMB = 3001 }, platform.RefusedCapacity},
		{"no slot", func(r *platform.StartRequest) { r.Size.Slots = 4 }, platform.RefusedCapacity},
		{"no accelerator", func(r *platform.StartRequest) { r.Size.Accelerators = 1 }, platform.RefusedCapacity},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, _ := newWorker(nil)
			mustStart(t, w, startOf("there", 1))
			mustStop(t, w, platform.StopRequest{TaskAttempt: platform.TaskAttempt{Task: "stopped", Attempt: 1}})
			r := startOf("new", 1)
			c.change(&r)
			must.Eq(t, c.want, mustStart(t, w, r))
		})
	}
}

func TestLeaseLapsesAndBatchFinishes(t *testing.T) {
	w, c := newWorker(nil)
	long := startOf("long", 1)
	long.Work = time.Hour
	mustStart(t, w, startOf("short", 1))
	mustStart(t, w, long)
	c.now += time.Minute
	must.Eq(t, platform.PhaseFinished, phaseOf(t, w, "short"))
	must.Eq(t, platform.PhaseLapsed, phaseOf(t, w, "long"))
	runs, _ := w.EndedRuns(0)
	must.Eq(t, 10*time.Second, runs[0].Ended-runs[0].Began)
	must.Eq(t, 15*time.Second, runs[1].Ended-runs[1].Began)
	must.Eq(t, 15*time.Second, w.Wasted())
}

func TestCheckpointKeepsProgress(t *testing.T) {
	w, c := newWorker(nil)
	mustStart(t, w, startOf("j", 1))
	c.now += 4 * time.Second
	stop := platform.StopRequest{TaskAttempt: platform.TaskAttempt{Task: "j", Attempt: 1}, Checkpoint: true}
	must.Eq(t, platform.Stopping, mustStop(t, w, stop).Result)
	c.now += checkpointDuration
	first := mustStop(t, w, stop)
	must.Eq(t, platform.PhaseStopped, first.Phase)
	must.Eq(t, first, mustStop(t, w, stop))
	must.Zero(t, w.Wasted())

	resume := startOf("j", 2)
	resume.Checkpoint = first.Checkpoint
	must.Eq(t, platform.Accepted, mustStart(t, w, resume))
	c.now += 5*time.Second + time.Millisecond
	must.Eq(t, platform.PhaseFinished, phaseOf(t, w, "j"))
}

func TestRenewalByGeneration(t *testing.T) {
	w, c := newWorker(nil)
	long := startOf("a", 1)
	long.Work = time.Hour
	mustStart(t, w, long)
	report, err := w.From("a").Report(t.Context())
	must.NoError(t, err)
	renew := func() platform.CallResult {
		reply, err := w.From("a").Renew(t.Context(), platform.RenewRequest{
			Fence: platform.Fence{Shard: "s", Epoch: 2}, NotAfter: platform.WorkerTime(time.Hour),
			LeaseTTL: 15 * time.Second, IfGeneration: report.Generation,
		})
		must.NoError(t, err)
		return reply.Result
	}
	c.now += 10 * time.Second
	must.Eq(t, platform.Accepted, renew())
	mustStart(t, w, startOf("b", 1))
	c.now += 10 * time.Second
	must.Eq(t, platform.RefusedChanged, renew())
	must.Eq(t, platform.PhaseRunning, phaseOf(t, w, "a"))
	c.now += 6 * time.Second
	must.Eq(t, platform.PhaseLapsed, phaseOf(t, w, "a"))
}

func TestThrottleAndNeighboursSlowBatch(t *testing.T) {
	classes := []platform.ClassName{"batch"}
	seed := uint64(0)
	for ; interference.NewTable(seed, classes).Slowdown("batch", 0.75, []platform.ClassName{"batch"}) < 1.2; seed++ {
	}
	cases := []struct {
		name       string
		neighbours int
		percent    int
		after      time.Duration
		finished   bool
	}{
		{"alone", 0, 100, 10 * time.Second, true},
		{"throttled", 0, 50, 11 * time.Second, false},
		{"throttled, later", 0, 50, 21 * time.Second, true},
		{"crowded", 2, 100, 11 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, clock := newWorker(func(c *Config) { c.Interference = interference.NewTable(seed, classes) })
			for i := range c.neighbours + 1 {
				r := startOf(platform.TaskID("j"+string(rune('0'+i))), 1)
				r.LeaseTTL = time.Hour
				mustStart(t, w, r)
			}
			id := platform.TaskAttempt{Task: "j0", Attempt: 1}
			_, err := w.From("a").Throttle(t.Context(), platform.ThrottleRequest{
				TaskAttempt: id, Fence: platform.Fence{Shard: "s", Epoch: 2}, Percent: c.percent,
			})
			must.NoError(t, err)
			clock.now += c.after
			must.Eq(t, c.finished, phaseOf(t, w, "j0") == platform.PhaseFinished)
		})
	}
}

func TestFaults(t *testing.T) {
	ctx := context.Background()
	t.Run("answer lost after the effect", func(t *testing.T) {
		w, _ := newWorker(nil)
		w.Faults.Set(FaultScript{LoseAnswers: 1})
		_, err := w.From("a").Start(ctx, startOf("j", 1))
		must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		must.Eq(t, platform.PhaseRunning, phaseOf(t, w, "j"))
	})
	t.Run("out of reach of one host", func(t *testing.T) {
		w, _ := newWorker(nil)
		w.Faults.Set(FaultScript{UnreachableFrom: []platform.HostID{"a"}})
		_, err := w.From("a").Report(ctx)
		must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		_, err = w.From("b").Report(ctx)
		must.NoError(t, err)
	})
	t.Run("pause", func(t *testing.T) {
		w, c := newWorker(nil)
		mustStart(t, w, startOf("before", 1))
		w.Pause()
		late := startOf("late", 1)
		late.NotAfter = platform.WorkerTime(3 * time.Second)
		_, err := w.From("a").Start(ctx, late)
		must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		_, err = w.From("a").Start(ctx, startOf("valid", 1))
		must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		c.now += time.Minute
		w.Resume()
		must.Eq(t, platform.TaskPhase(""), phaseOf(t, w, "late"))
		must.Eq(t, platform.PhaseRunning, phaseOf(t, w, "valid"))
		must.Eq(t, platform.PhaseFinished, phaseOf(t, w, "before"))
	})
	t.Run("restart", func(t *testing.T) {
		w, _ := newWorker(nil)
		mustStart(t, w, startOf("j", 1))
		w.Restart()
		must.Eq(t, platform.TaskPhase(""), phaseOf(t, w, "j"))
		must.Eq(t, platform.RefusedBoot, mustStart(t, w, startOf("j", 1)))
	})
	t.Run("fails everything it starts", func(t *testing.T) {
		w, c := newWorker(nil)
		w.Faults.Set(FaultScript{FailStarts: true})
		mustStart(t, w, startOf("j", 1))
		c.now += failDelay
		must.Eq(t, platform.PhaseFailed, phaseOf(t, w, "j"))
	})
	t.Run("reports late", func(t *testing.T) {
		w, c := newWorker(func(c *Config) { c.Lag = 10 * time.Second })
		r := startOf("j", 1)
		r.LeaseTTL, r.Work = time.Hour, time.Hour
		mustStart(t, w, r)
		c.now += 12 * time.Second
		report, err := w.From("a").Report(ctx)
		must.NoError(t, err)
		must.GreaterEq(t, 10*time.Second, time.Duration(report.Now-report.MeasuredAt))
		w.Faults.Set(FaultScript{ReportLagMillis: 20_000})
		c.now += 30 * time.Second
		report, err = w.From("a").Report(ctx)
		must.NoError(t, err)
		must.GreaterEq(t, 30*time.Second, time.Duration(report.Now-report.MeasuredAt))
	})
}
