package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
