package owner

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/place"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
)

func (h *harness) submitService(o *Owner) {
	must.NoError(h.t, o.Submit(context.Background(), record.Job{
		ID: "svc:s#0", Service: "s", Class: "tap", Count: 1, Urgent: true,
		Size: platform.Resources{MilliCPU: 500, MemoryMB: 500, Slots: 1},
	}))
}

// measuredMilliCPU returns the CPU usage that a worker last measured for a task.
func (h *harness) measuredMilliCPU(w platform.WorkerID, id platform.TaskID) int64 {
	report, err := h.workerByID(w).From("test").Report(context.Background())
	must.NoError(h.t, err)
	for _, t := range report.Tasks {
		if t.Task == id {
			return t.Usage.MilliCPU
		}
	}
	h.t.Fatalf("no task %s on %s", id, w)
	return 0
}

func (o *Owner) setDesiredThrottle(id platform.TaskID, percent int) {
	o.follower.View(func() { o.placement.planner.Cache().SetThrottle(id, percent) })
}

// TestThrottleReachesTheWorker loses throttle calls or their responses. The
// throttle must still take effect, and a new owner, which does not know of it,
// must lift it.
func TestThrottleReachesTheWorker(t *testing.T) {
	for _, fault := range []worker.FaultScript{{}, {LoseAnswers: 3}, {UnreachableFrom: []platform.HostID{"a"}}} {
		h := newHarness(t, 1, 4)
		a := h.newClaimedOwner("a")
		h.submitService(a)
		h.submitJob(a, "j", 1, 10*time.Minute)
		h.runFor(a, 6*time.Second)
		must.Eq(t, 500, h.measuredMilliCPU("w0", "j/0"))
		a.setDesiredThrottle("j/0", 40)
		h.workerByID("w0").Faults.Set(fault)
		h.runFor(a, 2*time.Second)
		h.workerByID("w0").Faults.Set(worker.FaultScript{})
		calls := 0
		h.beforeCall = func(_ platform.HostID, call string, _ platform.WorkerID) {
			if call == "throttle" {
				calls++
			}
		}
		h.runFor(a, 12*time.Second)
		must.Eq(t, 200, h.measuredMilliCPU("w0", "j/0"))
		must.LessEq(t, 1, calls, must.Sprint("an accepted throttle must not be sent again"))
		explained, _ := a.Explain("j/0")
		must.SliceContains(t, explained.Lines, "It is throttled to 40% to protect a service on the worker.")

		b := h.newClaimedOwner("b")
		h.runFor(b, 12*time.Second)
		must.Eq(t, 500, h.measuredMilliCPU("w0", "j/0"))
	}
}

// TestUrgentTaskPreemptsLeastWork submits an urgent task to a full worker. It must
// preempt the batch task that ran for the shortest time, which resumes later.
func TestUrgentTaskPreemptsLeastWork(t *testing.T) {
	h := newHarness(t, 1, 4)
	a := h.newClaimedOwner("a")
	h.submitJob(a, "earn", 64, 100*time.Millisecond)
	h.runFor(a, 90*time.Second)
	for i := range 4 {
		h.submitJob(a, platform.JobID(fmt.Sprintf("long%d", i)), 1, 60*time.Second)
		h.runFor(a, 2*time.Second)
	}
	h.submitService(a)
	h.runFor(a, 5*time.Second)
	state, _, _ := h.taskState(a, "svc:s#0/0")
	must.Eq(t, record.Running, state)
	state, _, _ = h.taskState(a, "long3/0")
	must.Eq(t, record.Queued, state)
	h.runFor(a, 4*time.Minute)
	for i := range 4 {
		state, attempt, _ := h.taskState(a, platform.TaskID(fmt.Sprintf("long%d/0", i)))
		must.Eq(t, record.Finished, state)
		must.Eq(t, platform.Attempt(1+i/3), attempt)
	}
	must.Zero(t, h.workerByID("w0").Wasted())
}

// TestUnrecordedAssignmentIsPlannedAgain plans an assignment and does not record
// it. The task must be assigned again as attempt 1.
func TestUnrecordedAssignmentIsPlannedAgain(t *testing.T) {
	h := newHarness(t, 1, 4)
	a := h.newClaimedOwner("a")
	h.runFor(a, time.Second)
	h.submitJob(a, "j", 1, time.Minute)
	a.follower.View(func() {
		a.syncPlanner(a.term, Desired{})
		must.SliceLen(t, 1, a.planAssignments())
	})
	h.runFor(a, 3*time.Second)
	state, attempt, _ := h.taskState(a, "j/0")
	must.Eq(t, record.Running, state)
	must.Eq(t, 1, attempt)
}

// TestSubmitRefusesOversizedJob submits a job that no worker can hold. The error
// must name the dimension and nothing may be recorded. Without a report from
// every worker the job must be accepted.
func TestSubmitRefusesOversizedJob(t *testing.T) {
	h := newHarness(t, 2, 4)
	a := h.newClaimedOwner("a")
	h.runFor(a, time.Second)
	job := record.Job{
		ID: "big", Template: "t", Class: "batch", Count: 1,
		Size: platform.Resources{MilliCPU: 500, MemoryMB: 4001, Slots: 1},
	}
	var unfit *place.UnfitError
	must.True(t, errors.As(a.Submit(context.Background(), job), &unfit))
	must.Eq(t, "memory", unfit.Dimension)
	state, _, _ := h.taskState(a, "big/0")
	must.Zero(t, state)
	a.mu.Lock()
	report := a.workers["w1"].contact.Report
	a.workers["w1"].contact.Report = nil
	a.mu.Unlock()
	must.NoError(t, a.checkJobFits(&job), must.Sprint("a worker without a report may be large enough"))
	a.mu.Lock()
	a.workers["w1"].contact.Report = report
	a.mu.Unlock()
	job.Size.MemoryMB = 4000
	must.NoError(t, a.Submit(context.Background(), job))
	job.Size.MemoryMB = 4001
	must.NoError(t, a.Submit(context.Background(), job), must.Sprint("repetition of a recorded job"))
}
