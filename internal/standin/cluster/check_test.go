package cluster

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	testWorker platform.WorkerID = "w1"
	testJob    job.ID            = "00000000000000a1"
)

// newLimitCluster returns a cluster whose only worker has room for four of a job's tasks,
// and a function that starts a task.
func newLimitCluster() (*Cluster, func(now time.Duration, index int)) {
	c := New()
	c.AddWorker(0, fleet.Worker{ID: testWorker, Capacity: platform.Resources{MilliCPU: 4000, MemoryMB: 400}})
	step := job.Step{Tasks: 9, Size: platform.Resources{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true}
	c.Job(testJob, &job.Submission{Spec: job.Spec{Steps: []job.Step{step}}}, nil, nil)
	return c, func(now time.Duration, index int) {
		c.Start(now, testWorker, fleet.StartOrder{
			Task: job.TaskRef{Job: testJob, Index: index}, Attempt: 1, LeaseEnd: platform.WorkerTime(now + maxLease), Token: 1,
		})
	}
}

// TestLimitOfReducedCapacity guards against a check that misses a start beyond a reduced
// capacity, or reports one that was allowed.
func TestLimitOfReducedCapacity(t *testing.T) {
	const second = time.Second
	whole, half := platform.Resources{MilliCPU: 4000, MemoryMB: 400}, platform.Resources{MilliCPU: 4000, MemoryMB: 200}
	cases := map[string]struct {
		change func(c *Cluster)
		// startAt is when a third task is started.
		startAt  time.Duration
		violated bool
	}{
		"unchanged":         {func(*Cluster) {}, 9 * second, false},
		"within the notice": {func(c *Cluster) { c.SetCapacity(second, testWorker, half) }, second + reductionNotice - 1, false},
		"after the notice":  {func(c *Cluster) { c.SetCapacity(second, testWorker, half) }, second + reductionNotice, true},
		"raised again":      {func(c *Cluster) { c.SetCapacity(second, testWorker, half); c.SetCapacity(8*second, testWorker, whole) }, 8 * second, false},
		"raised for a short time": {func(c *Cluster) {
			c.SetCapacity(second, testWorker, half)
			c.SetCapacity(6*second, testWorker, whole)
			c.SetCapacity(7*second, testWorker, half)
		}, 9 * second, false},
		"one dimension counts alone": {func(c *Cluster) { c.SetCapacity(second, testWorker, platform.Resources{MilliCPU: 2000, MemoryMB: 400}) }, 9 * second, true},
		"nothing":                    {func(c *Cluster) { c.SetCapacity(second, testWorker, platform.Resources{}) }, 9 * second, true},
		"a new run has no notice": {func(c *Cluster) {
			c.SetCapacity(second, testWorker, platform.Resources{MemoryMB: 1})
			c.Crash(testWorker)
			c.Boot(2*second, testWorker)
		}, 2 * second, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, start := newLimitCluster()
			start(0, 0)
			start(0, 1)
			tc.change(c)
			start(tc.startAt, 2)
			must.Eq(t, tc.violated, len(c.Violations()) > 0)
			for _, v := range c.Violations() {
				must.True(t, strings.HasPrefix(v, "LIMIT"))
			}
		})
	}
}

// TestLimitCountsTasksBeingStopped guards against a check that takes the resources of a
// task for free before it has ended.
func TestLimitCountsTasksBeingStopped(t *testing.T) {
	for _, after := range []time.Duration{0, stopGrace} {
		c, start := newLimitCluster()
		for i := range 4 {
			start(0, i)
		}
		c.Stop(time.Second, testWorker, fleet.StopOrder{Task: job.TaskRef{Job: testJob}, Attempt: 1, Token: 1})
		start(time.Second+after, 4)
		must.Eq(t, after < stopGrace, len(c.Violations()) > 0)
	}
}

// TestCapacitySurvivesCrash guards against a worker that has its former capacity again
// after a restart.
func TestCapacitySurvivesCrash(t *testing.T) {
	c, _ := newLimitCluster()
	reduced := platform.Resources{MilliCPU: 1000, MemoryMB: 50}
	c.SetCapacity(time.Second, testWorker, reduced)
	must.Eq(t, reduced, c.Entries()[0].Capacity)
	c.Crash(testWorker)
	c.Boot(2*time.Second, testWorker)
	must.Eq(t, reduced, c.Entries()[0].Capacity)
}
