package day

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestEndsDuringLongPollAreListed: a renew order acknowledged ends that occurred while it waited,
// so that a worker that had restarted before never listed them.
func TestEndsDuringLongPollAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(0, 1, discardLogger())
		l := &link{sim: sim, killed: make(chan struct{})}
		id, size := job.ID("0000000000000001"), platform.Resources{MilliCPU: 1000, MemoryMB: 1000}
		sim.cluster.Job(id, &job.Submission{Service: service, Spec: job.Spec{Steps: []job.Step{{Tasks: 1, Size: size}}}}, nil, nil)
		w := sim.cluster.Entry(sim.workers[0])
		a, err := l.Start(context.Background(), w, fleet.StartOrder{Token: 1, Task: job.TaskRef{Job: id}, Attempt: 1, LeaseEnd: platform.WorkerTime(5 * time.Second)})
		must.NoError(t, err)
		must.Eq(t, fleet.Accepted, a.Verdict)
		reply, err := l.Renew(context.Background(), w, fleet.RenewOrder{Token: 1, Acknowledged: 9, Wait: 2 * time.Second})
		must.NoError(t, err)
		must.SliceLen(t, 1, reply.Ended)
		must.SliceEmpty(t, sim.cluster.Violations())
	})
}
