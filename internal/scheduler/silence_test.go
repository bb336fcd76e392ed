package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestBriefSilenceKeepsTasks guards against work that is given up because its worker was
// only silent, or slow to report, for a while: in one case it leaves renew orders
// unanswered for less than its leases last, in the other its entry lapses though it
// answers. No task may be started again or stopped in either case.
func TestBriefSilenceKeepsTasks(t *testing.T) {
	for name, c := range map[string]struct {
		silence func(h *harness, silent bool)
		lasts   time.Duration
	}{
		"no answers": {func(h *harness, silent bool) { h.cluster.SetPartitioned("w00", silent) }, 3 * time.Second},
		"no entry": {func(h *harness, silent bool) {
			h.unregistered["w00"] = silent
			h.syncWorkers()
		}, 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			lasting := h.submit(firstID, nil, nil, servingStep(2, "web"))
			finite := h.submit(secondID, fixedLength(25), nil, batchStep(3))
			h.run(time.Second)
			for range 2 {
				c.silence(h, true)
				h.run(c.lasts)
				c.silence(h, false)
				h.run(2 * time.Second)
			}
			must.Eq(t, 5, h.cluster.Starts())
			must.Eq(t, 2, h.cluster.Running(lasting))
			h.run(30 * time.Second)
			must.Eq(t, job.Done, h.state(finite))
			must.Eq(t, 5, h.cluster.Starts())
			h.checkViolations()
		})
	}
}

// TestUnansweredStopEnds: a worker answered renewals, but neither a start order nor the order
// to stop that attempt. The task was counted as running there without end.
func TestUnansweredStopEnds(t *testing.T) {
	h := newHarness(t, 2)
	// Without the first job, the second one would go to w00.
	h.submit(firstID, fixedLength(10), nil, batchStep(1))
	h.run(time.Second)
	h.cluster.SetMute("w01", true)
	id := h.submit(secondID, nil, nil, batchStep(1))
	h.run(12 * time.Second)
	// An order may be carried out up to 12 s late, so the task must not start elsewhere.
	must.Eq(t, 1, h.cluster.Starts())
	h.run(4 * time.Second)
	must.Eq(t, job.Done, h.state(id))
	must.Eq(t, 2, h.cluster.Starts())
	h.checkViolations()
}

// TestUnansweredStopOfEarlierRunEnds: a worker restarted before it had answered an order to stop
// an attempt, and its new run answered renewals only. The task was counted as stopping there
// without end.
func TestUnansweredStopOfEarlierRunEnds(t *testing.T) {
	h := newHarness(t, 1)
	h.run(time.Second)
	id := h.submit(firstID, fixedLength(20), nil, batchStep(1))
	h.plan()
	must.Eq(t, 1, h.cluster.Running(id))
	h.cluster.SetMute("w00", true)
	h.shard.SetCordoned([]platform.WorkerID{"w00"})
	h.now += 2 * tickInterval
	h.plan()
	h.cluster.Crash("w00")
	h.cluster.Boot(h.now, "w00")
	h.cluster.AddWorker(h.now, workerInfo(1))
	h.syncWorkers()
	h.run(3 * time.Second)
	must.Eq(t, 1, h.cluster.Running(id))
	h.checkViolations()
}

// TestDismissedWorkerStaysClosed: a worker was dismissed while the record that closes it was under
// way, and answered. It got a task before the log had opened it, so that the next owner, which did
// not hear it, started the task a second time.
func TestDismissedWorkerStaysClosed(t *testing.T) {
	h := newHarness(t, 2)
	h.run(time.Second)
	h.cluster.SetPartitioned("w00", true)
	h.recordingPaused = true
	h.shard.RenewFailed(h.now, h.now-700*time.Millisecond, "w00")
	closing := h.shard.TakeUnrecorded(h.now.Milliseconds())
	must.SliceLen(t, 1, closing.Enrolled)
	must.True(t, closing.Enrolled[0].Closed)
	h.run(200 * time.Millisecond)
	h.cluster.SetPartitioned("w00", false)
	h.cordonAllBut("w00")
	h.submit(firstID, fixedLength(10), nil, batchStep(1))
	h.run(300 * time.Millisecond)
	h.enrolled["w00"] = closing.Enrolled[0]
	h.shard.MarkRecorded(closing)
	h.run(300 * time.Millisecond)
	h.cluster.SetPartitioned("w00", true)
	h.recordingPaused = false
	h.takeOver(false)
	h.run(time.Second)
	h.checkViolations()
	must.One(t, h.cluster.Starts())
}
