package dispatch

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestFirstContactsAreBounded: after a takeover all workers sent their lists at the same
// moment and filled the host's link.
func TestFirstContactsAreBounded(t *testing.T) {
	l := newLinkedWorkers(0)
	l.renewAnswer = 100 * time.Millisecond
	withLinkedWorkers(t, l, 400, func(*Dispatcher) {
		l.mu.Lock()
		defer l.mu.Unlock()
		must.MapLen(t, 400, l.contacted)
		must.LessEq(t, 64, l.maxAtOnce)
	})
}

// TestLostWorkersDoNotDelayFirstContact: renewals to lost workers must not take up the
// room of those to workers that answer.
func TestLostWorkersDoNotDelayFirstContact(t *testing.T) {
	l := newLinkedWorkers(0)
	for i := range 200 {
		l.lost[workerID(i)] = true
	}
	withLinkedWorkers(t, l, 400, func(*Dispatcher) {
		l.mu.Lock()
		defer l.mu.Unlock()
		must.MapLen(t, 200, l.contacted)
	})
}

// TestUnansweredRenewalsBackOff: lost workers were called five times a second each.
func TestUnansweredRenewalsBackOff(t *testing.T) {
	for failures, want := range []time.Duration{200, 200, 400, 800, 800, 800} {
		must.Eq(t, want*time.Millisecond, retryDelay(failures))
	}
	l := newLinkedWorkers(0)
	l.lost[workerID(0)] = true
	withLinkedWorkers(t, l, 1, func(*Dispatcher) {
		time.Sleep(18 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.Between(t, 9, l.renewals[workerID(0)], 13)
	})
}

// TestEndsThatWaitAreNotAskedForAgain: a worker whose ends could not be acknowledged yet
// was called after each record of other progress, up to fifty times a second.
func TestEndsThatWaitAreNotAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		d := New(Config{
			Ownership: job.Ownership{Epoch: 1, Claim: 1}, Bounds: scheduler.Bounds{MaxLease: 10 * time.Second},
			Clock:           func() time.Duration { return time.Minute + time.Since(started) },
			ConfirmationAge: func() time.Duration { return time.Second },
		})
		var recording sync.WaitGroup
		defer recording.Wait()
		defer d.Abort()
		unread := addStartableWorker(d)
		d.shard.RenewAnswered(d.Clock(), d.Clock(), "w", fleet.RenewReply{
			Verdict: fleet.Accepted, Clock: platform.WorkerTime(time.Second), Started: 1,
			Ended: []fleet.Ended{{Number: 1, Task: job.TaskRef{Job: unread.ID}, Attempt: 1, Kind: fleet.EndDone}},
		})
		recording.Go(func() {
			for d.ctx.Err() == nil {
				time.Sleep(minAppendInterval)
				d.mu.Lock()
				close(d.recorded)
				d.recorded = make(chan struct{})
				d.mu.Unlock()
			}
		})
		waitStarted := time.Now()
		must.False(t, d.awaitEndsRecorded("w", renewRetryDelay))
		must.Eq(t, renewRetryDelay, time.Since(waitStarted))
	})
}

// TestLeaseFollowsContactAtOnce: a renewal without a wait grants no lease, and the next one
// was delayed on a full link, so that leases expired after one or two lost answers.
func TestLeaseFollowsContactAtOnce(t *testing.T) {
	l := newLinkedWorkers(0)
	l.lostFor = 3 * time.Second
	withLinkedWorkers(t, l, 1, func(d *Dispatcher) {
		d.mu.Lock()
		d.starts.add(d.Clock(), workerID(0))
		d.starts.answerTime = time.Second
		d.mu.Unlock()
		time.Sleep(6 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.False(t, l.contacted[workerID(0)].IsZero())
		must.Less(t, maxRenewPause, l.leased[workerID(0)].Sub(l.contacted[workerID(0)]))
	})
}

// TestRestartEndsPauseBeforeRenewal: a restart that the worker's entry had shown was looked
// into only after the pause that follows an unanswered renewal, of up to 0.8 s.
func TestRestartEndsPauseBeforeRenewal(t *testing.T) {
	l := newLinkedWorkers(0)
	withLinkedWorkers(t, l, 1, func(d *Dispatcher) {
		w := workerEntry(0)
		l.mu.Lock()
		l.lost[w.ID] = true
		l.mu.Unlock()
		time.Sleep(10 * time.Second)
		l.mu.Lock()
		for l.failedAt.IsZero() || time.Since(l.failedAt) > 20*time.Millisecond {
			l.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			l.mu.Lock()
		}
		before := l.renewals[w.ID]
		l.lost[w.ID], l.run = false, 2
		l.mu.Unlock()
		w.Started = 2
		d.SetWorkers(d.Clock(), fleet.Changes{Set: []fleet.Worker{w}})
		time.Sleep(2 * roundTrip)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.Greater(t, before, l.renewals[w.ID])
	})
}

// TestFirstContactsPassLostWorkers bounds the time until a new owner has heard all workers that
// answer: the lost ones, 64 of them per 0.2 s, take their turns before them.
func TestFirstContactsPassLostWorkers(t *testing.T) {
	for lost, limit := range map[int]time.Duration{50: 500 * time.Millisecond, 500: 2500 * time.Millisecond, 1350: 5 * time.Second} {
		l := newLinkedWorkers(0)
		for i := range lost {
			l.lost[workerID(i)] = true
		}
		began := time.Time{}
		withLinkedWorkers(t, l, 2*lost, func(*Dispatcher) {
			began = time.Now().Add(-2 * time.Second)
			time.Sleep(20 * time.Second)
		})
		last := time.Time{}
		for _, at := range l.contacted {
			if at.After(last) {
				last = at
			}
		}
		t.Log(lost, last.Sub(began))
		must.MapLen(t, lost, l.contacted)
		must.Less(t, limit, last.Sub(began))
	}
}
