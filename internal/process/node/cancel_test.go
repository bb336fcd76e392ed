package node

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// cancel cancels the job of submit as a caller with a timeout of 3 s.
func cancel(n *Node) error {
	ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	return n.Cancel(ctx, jobID)
}

// mustBeCancelled checks that every host shows the job as cancelled and none as waiting, and
// that repeated requests are answered like those of any cancelled job.
func (f *fleetOf) mustBeCancelled() {
	f.t.Helper()
	for name, n := range f.nodes {
		state, err := n.State(context.Background(), jobID)
		must.NoError(f.t, err, must.Sprint(name))
		must.Eq(f.t, job.Cancelled, state, must.Sprint(name))
		pending, err := n.Pending(context.Background(), "q")
		must.NoError(f.t, err, must.Sprint(name))
		must.Zero(f.t, pending, must.Sprint(name))
		must.NoError(f.t, submit(n, 3*time.Second), must.Sprint(name))
		must.NoError(f.t, cancel(n), must.Sprint(name))
	}
}

// TestCancelledJobRunsAfterItsCancelOvertookTheSubmission: a cancel was answered with "no such
// job" and left no trace, while another host was about to store the job.
func TestCancelledJobRunsAfterItsCancelOvertookTheSubmission(t *testing.T) {
	for name, c := range map[string]struct {
		// canceller is the host that cancels the job, which host v submits.
		canceller string
		// late is set if the submission's append is carried out after its answer is due.
		late bool
		// during acts on the hosts after the cancel.
		during func(f *fleetOf, views map[string]*memstore.View)
	}{
		"at another host":             {canceller: "w"},
		"at the submitting host":      {canceller: "v"},
		"before a late append":        {canceller: "w", late: true},
		"at its host, late append":    {canceller: "v", late: true},
		"owner replaced":              {canceller: "w", during: func(f *fleetOf, _ map[string]*memstore.View) { f.kill("u") }},
		"owner and canceller are off": {canceller: "w", late: true, during: func(f *fleetOf, _ map[string]*memstore.View) { f.kill("u", "w") }},
		"history dropped": {canceller: "w", late: true, during: func(f *fleetOf, _ map[string]*memstore.View) {
			f.store.Compact(f.nodes["v"].partition)
			f.start("x")
		}},
		"all hosts killed": {canceller: "w", late: true, during: func(f *fleetOf, _ map[string]*memstore.View) {
			f.kill("u", "v", "w")
			f.start("y")
		}},
		"owner out of touch": {canceller: "w", during: func(_ *fleetOf, views map[string]*memstore.View) {
			views["u"].Set(memstore.Unresponsive, 0)
			time.Sleep(3500 * time.Millisecond)
			views["u"].Set(memstore.Healthy, 0)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, views := newFleetWithViews(t, "u", "v", "w")
				owner := f.nodes["u"].Peer.Addr()
				f.network.SetPartitioned(owner, true)
				submitted := make(chan error, 1)
				go func(n *Node) { submitted <- submit(n, 3*time.Second) }(f.nodes["v"])
				time.Sleep(500 * time.Millisecond)
				if c.late {
					views["v"].Set(memstore.LateAppends, 0)
				}
				canceller := f.nodes[c.canceller]
				cancelled := make(chan error, 1)
				go func() { cancelled <- cancel(canceller) }()
				if c.late && c.canceller != "v" {
					must.ErrorIs(t, <-cancelled, ErrUnknownJob)
					_, err := f.nodes["v"].State(context.Background(), jobID)
					must.ErrorIs(t, err, ErrUnknownJob)
				}
				if c.during != nil {
					c.during(f, views)
				}
				time.Sleep(6 * time.Second)
				for _, v := range views {
					v.Set(memstore.Healthy, 0)
				}
				f.network.SetPartitioned(owner, false)
				time.Sleep(6 * time.Second)
				<-submitted
				f.mustBeCancelled()
				f.stopAll()
			})
		})
	}
}

// TestCancelIsNotAnsweredWithoutRecord guards against "no such job" as the answer to a cancel
// that the store did not take.
func TestCancelIsNotAnsweredWithoutRecord(t *testing.T) {
	for kind, fault := range failingAppends {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, stores := newPartlySilentFleet(t, "u", "v")
				for _, s := range stores {
					fault(s).Store(true)
				}
				err := cancel(f.nodes["v"])
				must.Error(t, err)
				must.False(t, errors.Is(err, ErrUnknownJob))
				for _, s := range stores {
					fault(s).Store(false)
				}
				must.ErrorIs(t, cancel(f.nodes["v"]), ErrUnknownJob)
				must.NoError(t, submit(f.nodes["u"], 3*time.Second))
				time.Sleep(time.Second)
				f.mustBeCancelled()
				f.stopAll()
			})
		})
	}
}

// TestCancelsOfUnknownJobsStayBounded guards against cancellations that fill memory, log or
// link, and that nothing deletes: repeated ones add no records, too many are turned away, and
// all end with their retention, also if no process has lived that long.
func TestCancelsOfUnknownJobsStayBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, views := newFleetWithViews(t, "u", "v")
		n := f.nodes["v"]
		partition := n.partition
		unknown := func(i int) job.ID { return job.ID(fmt.Sprintf("%016x", i)) }
		cancelAll := func(from, to int) (recorded int) {
			errs := make(chan error, to-from)
			for i := from; i < to; i++ {
				go func() { errs <- n.Cancel(context.Background(), unknown(i)) }()
			}
			for range to - from {
				switch err := <-errs; err {
				case ErrUnknownJob:
					recorded++
				default:
					must.ErrorIs(t, err, errTooManyCancellations)
				}
			}
			return recorded
		}
		must.Eq(t, maxEarlyCancellations, cancelAll(0, maxEarlyCancellations))
		must.Zero(t, cancelAll(maxEarlyCancellations, 2*maxEarlyCancellations))
		appends := views["u"].Appends() + views["v"].Appends()
		must.Less(t, 200, appends)
		must.Eq(t, 1000, cancelAll(0, 1000))
		must.Eq(t, maxEarlyCancellations, f.nodes["u"].table.EarlyCancellations())
		pending, err := n.Pending(context.Background(), "q")
		must.NoError(t, err)
		must.Zero(t, pending)

		retention := n.cancellationRetention()
		for range 3 {
			time.Sleep(retention / 3)
			f.kill("u", "v")
			f.start("u")
			f.start("v")
		}
		n = f.nodes["v"]
		time.Sleep(5*time.Second + maxEarlyCancellations/100*time.Second)
		must.Zero(t, n.table.EarlyCancellations())
		for _, i := range []int{0, 1000, maxEarlyCancellations - 1} {
			must.Nil(t, f.store.Newest(partition, "c"+string(unknown(i))))
		}
		must.Eq(t, 1, cancelAll(0, 1))
		f.stopAll()
	})
}

// TestRepeatedCancelOfUnknownJobOutlastsFirst guards against a cancel that is answered on the
// strength of a record that is about to be deleted.
func TestRepeatedCancelOfUnknownJobOutlastsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFleetWithViews(t, "u", "v")
		n := f.nodes["v"]
		must.ErrorIs(t, cancel(n), ErrUnknownJob)
		time.Sleep(n.cancellationRetention() - time.Second)
		must.ErrorIs(t, cancel(n), ErrUnknownJob)
		time.Sleep(n.cancellationRetention()/2 - time.Second)
		must.NoError(t, submit(f.nodes["u"], 3*time.Second))
		time.Sleep(time.Second)
		f.mustBeCancelled()
		f.stopAll()
	})
}

// submitEndless submits a job without an end, which is refused since there are no workers.
func submitEndless(n *Node, id job.ID) error {
	endless := submission()
	endless.Spec.Steps[0].LongRunning, endless.Spec.Steps[0].Size.MilliCPU = true, 1000
	ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	return n.Submit(ctx, id, endless)
}

// TestCancelledSubmissionIsStoredUnderLoad guards against a cancelled job whose caller is told
// to come back with it since there is no room.
func TestCancelledSubmissionIsStoredUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFleetWithViews(t, "u", "v")
		must.ErrorIs(t, cancel(f.nodes["v"]), ErrUnknownJob)
		var refused *RefusedError
		must.True(t, errors.As(submitEndless(f.nodes["v"], otherJobID), &refused))
		must.NoError(t, submitEndless(f.nodes["v"], jobID))
		time.Sleep(time.Second)
		f.mustBeCancelled()
		f.stopAll()
	})
}

// TestCancellationOutlivesDeletedJob: the deletion of a job has to delete the cancellation that
// came before its submission, so that its ID is free again.
func TestCancellationOutlivesDeletedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		n := c.startHost(t, "h1", 1)
		time.Sleep(2 * time.Second)
		must.ErrorIs(t, cancel(n), ErrUnknownJob)
		must.NoError(t, submit(n, 3*time.Second))
		time.Sleep(2*time.Minute + n.cancellationRetention())
		for _, key := range []string{"j", "c", "p"} {
			must.Nil(t, c.store.Newest(n.partition, key+string(jobID)))
		}
		must.Zero(t, n.table.EarlyCancellations())
		must.NoError(t, submit(n, 3*time.Second))
		state, err := n.State(context.Background(), jobID)
		must.NoError(t, err)
		must.Eq(t, job.Queued, state)
		c.stop(n)
	})
}

// TestRefusedJobIsStoredByAnotherHost: a caller was told that its job never runs, while the
// host that it had asked first, and that did not reach the owner, stored it.
func TestRefusedJobIsStoredByAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, views := newFleetWithViews(t, "u", "v", "w")
		owner := f.nodes["u"].Peer.Addr()
		f.network.SetPartitioned(owner, true)
		views["v"].Set(memstore.LateAppends, 0)
		first := make(chan error, 1)
		go func() { first <- submitEndless(f.nodes["v"], jobID) }()
		time.Sleep(1500 * time.Millisecond)
		f.network.SetPartitioned(owner, false)
		second := submitEndless(f.nodes["w"], jobID)
		var refused *RefusedError
		wasRefused := errors.As(second, &refused)
		<-first
		time.Sleep(6 * time.Second)
		_, err := f.nodes["w"].State(context.Background(), jobID)
		stored := err == nil
		views["v"].Set(memstore.Healthy, 0)
		f.stopAll()
		must.False(t, wasRefused && stored, must.Sprintf("refused with %v, and stored", second))
	})
}
