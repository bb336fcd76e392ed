package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestRecordOfWorkerWithManyTasksIsRefused guards against a worker's record that the store refuses
// for the tasks that it names: beyond the bound the worker is not closed.
func TestRecordOfWorkerWithManyTasksIsRefused(t *testing.T) {
	for _, c := range []struct {
		tasks  int
		closed bool
	}{{1999, true}, {2000, true}, {2001, false}, {6000, false}} {
		h := newHarness(t, 4)
		h.run(time.Second)
		id := h.submit(firstID, nil, nil, smallStep(c.tasks))
		var running []fleet.Running
		for i := range c.tasks {
			running = append(running, fleet.Running{Task: job.TaskRef{Job: id, Index: i}, Attempt: 1})
		}
		h.listOn(0, running, nil)
		h.cluster.SetPartitioned("w00", true)
		h.run(2 * time.Second)
		e := h.enrolled["w00"]
		must.Eq(t, c.closed, e.Closed, must.Sprint(c.tasks))
		r, err := job.EnrollmentRecord(e)
		must.NoError(t, err)
		must.LessEq(t, job.MaxRecordBytes, len(r.Value))
	}
}

// TestDoneTasksBeyondSpanOutgrowRecord guards against a set of done tasks that grows without bound
// beyond a task that never ends: occurrences far beyond it wait until it is done.
func TestDoneTasksBeyondSpanOutgrowRecord(t *testing.T) {
	const each, span = 500, 1000
	h := newHarness(t, 4)
	h.run(time.Second)
	id := h.submitAs(firstID, h.everyMinute(span*time.Minute+30*time.Second), nil, nil, smallStep(each))
	p := job.Progress{State: job.Running, Revision: 1}
	for n := each; n < span*each; n++ {
		p.Done.Add(n)
	}
	h.log[id] = p
	h.takeOver(true)
	h.run(800 * time.Millisecond)
	must.Eq(t, each, h.cluster.Starts(), must.Sprint("the first occurrence is not done"))
	h.run(4 * time.Second)
	must.Eq(t, 2*each, h.cluster.Starts(), must.Sprint("the latest one waits no longer"))
	h.checkViolations()
}
