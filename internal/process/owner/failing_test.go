package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
)

// TestJobThatNeverRuns submits a job that fails on every worker. It must end as
// unrunnable with a reason, and other jobs must finish.
func TestJobThatNeverRuns(t *testing.T) {
	h := newHarness(t, 5, 4)
	for _, w := range h.workers {
		w.Faults.Set(worker.FaultScript{FailTemplates: []platform.TemplateName{"t-bad"}})
	}
	a := h.newClaimedOwner("a")
	h.submitJob(a, "bad", 1, time.Minute)
	h.submitJob(a, "good", 8, 5*time.Second)
	h.runFor(a, 5*time.Minute)
	state, attempts, _ := h.taskState(a, "bad/0")
	must.Eq(t, record.Unrunnable, state)
	must.GreaterEq(t, 3, attempts)
	a.follower.View(func() { must.StrContains(t, a.table.Task("bad/0").Reason, "cannot run here") })
	must.Eq(t, 8, h.countTasks(a, record.Finished))
}

// TestWorkerThatFailsEverything breaks one worker so that every start on it
// fails. The jobs must not become unrunnable but finish on other workers.
func TestWorkerThatFailsEverything(t *testing.T) {
	h := newHarness(t, 4, 4)
	h.workers[0].Faults.Set(worker.FaultScript{FailStarts: true})
	a := h.newClaimedOwner("a")
	for i := range 10 {
		h.submitJob(a, platform.JobID(fmt.Sprintf("j%d", i)), 2, 5*time.Second)
	}
	h.runFor(a, 5*time.Minute)
	must.Eq(t, 20, h.countTasks(a, record.Finished))
}
