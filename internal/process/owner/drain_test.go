package owner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
)

// TestLeavingWorkerIsDrained marks a worker as leaving. Its tasks must move
// without losing work, and at most one replica of a service at a time.
func TestLeavingWorkerIsDrained(t *testing.T) {
	const replicas = 3
	cases := []struct {
		name  string
		leave func(*harness)
	}{
		{"in its report", func(h *harness) { h.workers[0].SetLeaving(true) }},
		{"in the host list", func(h *harness) { h.hosts[0].State = platform.HostLeaving }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 2, 16)
			h.hosts = h.hosts[:1]
			a := h.newClaimedOwner("a")
			must.NoError(t, a.Submit(context.Background(), record.Job{
				ID: "svc", Service: "svc", Class: "tap", Count: replicas, Urgent: true,
				Size: platform.Resources{MilliCPU: 500, MemoryMB: 500, Slots: 1},
			}))
			h.submitJob(a, "j", 4, hour)
			h.runFor(a, 5*time.Second)
			must.Len(t, replicas+4, h.workers[0].ActiveRuns())

			h.hosts = append(h.hosts, platform.Host{ID: "w1", Role: platform.RoleWorker, State: platform.HostLive, Domain: "d"})
			h.runFor(a, 2*time.Second)
			c.leave(h)
			for range 400 {
				must.NoError(t, h.step(a))
				h.clock.advance(200 * time.Millisecond)
				must.GreaterEq(t, replicas-1, h.runningReplicas(a, "svc"))
			}
			must.SliceEmpty(t, h.workers[0].ActiveRuns())
			must.Len(t, replicas+4, h.workers[1].ActiveRuns())
			must.Zero(t, h.workers[0].Wasted())
		})
	}
}

// runningReplicas counts the replicas of a service that are running and not
// being moved.
func (h *harness) runningReplicas(o *Owner, service platform.ServiceName) int {
	n := 0
	o.follower.View(func() {
		o.table.EachInState(record.Running, func(t *task.Task) bool {
			if t.Spec().Service == service {
				n++
			}
			return true
		})
	})
	return n
}
