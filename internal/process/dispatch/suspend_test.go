package dispatch

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// recordingWorkers keep the start orders that reach them.
type recordingWorkers struct {
	fleet.Workers
	starts []fleet.StartOrder
}

// Start implements fleet.Workers.
func (w *recordingWorkers) Start(_ context.Context, _ fleet.Worker, o fleet.StartOrder) (fleet.Answer, error) {
	w.starts = append(w.starts, o)
	return fleet.Answer{Verdict: fleet.Accepted}, nil
}

// TestSuspendedOwnerGrantsNoNewLease suspends the host for some seconds just after the
// dispatcher has checked that it may act. The lease of the start order that it then sends
// must count from before the check: a later owner waits only for leases that the earlier
// one could have granted while it was allowed to act.
func TestSuspendedOwnerGrantsNoNewLease(t *testing.T) {
	const suspension = 4 * time.Second
	now, age, suspended := time.Minute, time.Duration(0), false
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	workers := &recordingWorkers{}
	d := New(Config{
		Ownership: job.Ownership{Epoch: 1, Claim: 1}, Logger: logger, Metrics: metrics.NewRegistry(), Workers: workers,
		Bounds: scheduler.Bounds{MaxLease: 10 * time.Second},
		Clock:  func() time.Duration { return now },
		ConfirmationAge: func() time.Duration {
			checked := age
			if suspended {
				now, age, suspended = now+suspension, age+suspension, false
			}
			return checked
		},
	})
	defer d.Abort()
	addStartableTask(d)
	actions := d.shard.Plan(now, 0, 1)
	must.Len(t, 1, actions.Starts)
	order := d.starts.add(now, "w")
	suspended = true
	d.sendStart(actions.Starts[0], order)
	const workerClock = platform.WorkerTime(time.Second)
	for _, o := range workers.starts {
		must.LessEq(t, workerClock+platform.WorkerTime(5*time.Second), o.LeaseEnd)
	}
	must.Len(t, 1, workers.starts)
}
