package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestStartsToWorkersThatAreDown: starts went to workers that had not answered for up to 1.7 s. Each may be carried out
// by the worker's next run, which the owner does not know.
func TestStartsToWorkersThatAreDown(t *testing.T) {
	l := newLinkedWorkers(0)
	withLinkedWorkers(t, l, 20, func(d *Dispatcher) {
		submit := func(i int) {
			d.AddJobs([]job.Entry{entry(fmt.Sprintf("%016x", 0x1000+i), 1)})
			time.Sleep(20 * time.Millisecond)
		}
		for i := range 50 {
			submit(i)
		}
		l.mu.Lock()
		for i := range 10 {
			l.lost[workerID(i)], l.silent[workerID(i)] = true, true
		}
		l.mu.Unlock()
		for i := range 100 {
			submit(50 + i)
		}
		time.Sleep(time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.LessEq(t, 1, l.unanswered)
		must.Eq(t, 150, l.accepted)
	})
}

// TestNothingStartsOverSlowLink: answers that took longer than an order may wait counted as none, so that each start was
// given up before it was sent.
func TestNothingStartsOverSlowLink(t *testing.T) {
	l := newLinkedWorkers(0)
	l.renewAnswer = 450 * time.Millisecond
	withLinkedWorkers(t, l, 2, func(d *Dispatcher) {
		d.AddJobs([]job.Entry{entry(firstJob, 2)})
		time.Sleep(3 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		must.Eq(t, 2, l.accepted)
	})
}
