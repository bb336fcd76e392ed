package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
)

// countTasks returns the number of tasks in the given states.
func (h *harness) countTasks(o *Owner, states ...record.State) int {
	n := 0
	o.follower.View(func() {
		for _, s := range states {
			n += o.table.CountInState(s)
		}
	})
	return n
}

// TestMassCancel cancels 5,000 jobs together, some of which are running. All must
// end soon, with few log bytes, a bounded number of stop calls per worker and
// step, and a bounded table.
func TestMassCancel(t *testing.T) {
	const jobs = 5000
	h := newHarness(t, 16, 12)
	a := h.newClaimedOwner("a")
	runConcurrently(jobs, func(i int) {
		must.NoError(t, a.Submit(context.Background(), record.Job{
			ID: platform.JobID(fmt.Sprintf("j-%d", i)), Template: "t", Class: "batch", Count: 1,
			Size: platform.Resources{MilliCPU: 500, MemoryMB: 500, Slots: 1}, WorkMillis: uint64(hour.Milliseconds()),
		}))
	})
	h.runFor(a, 20*time.Second)
	must.Eq(t, 16*12, h.countTasks(a, record.Running))

	var mu sync.Mutex
	stops := map[platform.WorkerID]int{}
	h.beforeCall = func(_ platform.HostID, call string, w platform.WorkerID) {
		if call == "stop" {
			mu.Lock()
			defer mu.Unlock()
			stops[w]++
		}
	}
	before := a.writer.Stats()
	runConcurrently(jobs, func(i int) {
		must.NoError(t, a.Cancel(context.Background(), platform.JobID(fmt.Sprintf("j-%d", i))))
	})
	must.Zero(t, h.countTasks(a, record.Queued))
	for step := 0; h.countTasks(a, record.Assigned, record.Running) > 0; step++ {
		must.Less(t, 20, step, must.Sprint("steps until all stops are done"))
		clear(stops)
		must.NoError(t, h.step(a))
		for w, n := range stops {
			must.LessEq(t, 8, n, must.Sprintf("stops of %s in one step", w))
		}
		h.clock.advance(time.Second)
	}
	after := a.writer.Stats()
	t.Logf("%d cancellations: %d records, %d bytes, %d appends", jobs,
		after.Records-before.Records, after.Bytes-before.Bytes, after.Appends-before.Appends)
	must.Less(t, 100, (after.Bytes-before.Bytes)/jobs, must.Sprint("bytes in the log for each cancellation"))
	a.follower.View(func() { must.LessEq(t, task.MaxRetainedTasks, a.table.Len()) })
	for _, w := range h.workers {
		must.SliceEmpty(t, w.ActiveRuns())
	}
}

// runConcurrently calls f for 0 to n-1 from a few goroutines, as concurrent
// clients would.
func runConcurrently(n int, f func(i int)) {
	const goroutines = 32
	var wg sync.WaitGroup
	for c := range goroutines {
		wg.Go(func() {
			for i := c; i < n; i += goroutines {
				f(i)
			}
		})
	}
	wg.Wait()
}

// TestRackLost kills the workers of a rack. Their tasks must each be restarted
// once, with a bounded rate of starts and few log bytes.
func TestRackLost(t *testing.T) {
	const tasks = 100
	h := newHarness(t, 16, 12)
	a := h.newClaimedOwner("a")
	h.submitJob(a, "j", tasks, hour)
	h.runFor(a, 10*time.Second)
	must.Eq(t, tasks, h.countTasks(a, record.Running))
	lost := 0
	for _, w := range h.workers[:4] {
		lost += len(w.ActiveRuns())
		w.Kill()
	}
	must.Positive(t, lost)
	before, starts := a.writer.Stats(), h.oracle.Starts()
	start := h.clock.elapsed()
	for h.oracle.Starts() < starts+lost {
		must.Less(t, time.Minute, h.clock.elapsed()-start, must.Sprint("time until all lost tasks run again"))
		seen := h.oracle.Starts()
		must.NoError(t, h.step(a))
		must.LessEq(t, maxAssignmentsPerStep, h.oracle.Starts()-seen, must.Sprint("starts in one step"))
		h.clock.advance(200 * time.Millisecond)
	}
	h.runFor(a, 5*time.Second)
	must.Eq(t, starts+lost, h.oracle.Starts())
	must.Eq(t, tasks, h.countTasks(a, record.Running))
	after := a.writer.Stats()
	t.Logf("%d tasks lost: running again after %s, %d records, %d bytes, %d appends", lost,
		h.clock.elapsed()-start, after.Records-before.Records, after.Bytes-before.Bytes, after.Appends-before.Appends)
	must.Less(t, 500, int(after.Bytes-before.Bytes)/lost, must.Sprint("bytes in the log for each lost task"))
}
