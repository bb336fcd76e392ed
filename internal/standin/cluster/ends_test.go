package cluster

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestEndsAreListedInParts guards against a stand-in that lists what a worker would not: all
// ends at once, or later ones before earlier ones.
func TestEndsAreListedInParts(t *testing.T) {
	const tasks = 2*fleet.MaxListedEnds + 20
	c := New()
	c.AddWorker(0, fleet.Worker{ID: testWorker, Capacity: platform.Resources{MilliCPU: tasks}})
	step := job.Step{Tasks: tasks, Size: platform.Resources{MilliCPU: 1}}
	c.Job(testJob, &job.Submission{Spec: job.Spec{Steps: []job.Step{step}}}, nil, nil)
	for i := range tasks {
		c.Start(0, testWorker, fleet.StartOrder{Task: job.TaskRef{Job: testJob, Index: i}, Attempt: 1, LeaseEnd: platform.WorkerTime(maxLease), Token: 1})
	}
	listed := func(acknowledged uint64) (first uint64, n int, goesOn bool) {
		reply, answered := c.Renew(2*time.Second, testWorker, fleet.RenewOrder{Token: 1, Acknowledged: acknowledged})
		must.True(t, answered)
		must.SliceEmpty(t, reply.Running)
		for i, e := range reply.Ended {
			must.Eq(t, reply.Ended[0].Number+uint64(i), e.Number)
		}
		return reply.Ended[0].Number, len(reply.Ended), reply.EndsGoOn()
	}
	for _, want := range []struct {
		acknowledged, first uint64
		n                   int
		goesOn              bool
	}{
		{0, 1, 500, true}, {0, 1, 500, true}, {20, 21, 500, true}, {500, 501, 500, true}, {1000, 1001, 20, false},
	} {
		first, n, goesOn := listed(want.acknowledged)
		must.Eq(t, want.first, first)
		must.Eq(t, want.n, n)
		must.Eq(t, want.goesOn, goesOn)
	}
}
