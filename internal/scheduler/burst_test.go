package scheduler_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler"
)

// runSmallTasks runs tasks of which one worker has room for 1,600 until they have all started, and
// returns a function that cancels them and returns their stop orders.
func runSmallTasks(t testing.TB, h *harness, tasks int) (cancel func() []scheduler.StopAction) {
	id := h.submit(firstID, fixedLength(1000), nil, smallStep(tasks))
	h.run(time.Second)
	must.Eq(t, tasks, h.cluster.Starts())
	return func() []scheduler.StopAction {
		h.shard.CancelJob(h.now, id)
		return h.planOnce(0).Stops
	}
}

// TestListCostsMemoryForEachRow guards against lists of what runs on a worker that cost the owner
// memory in proportion to their length each time that they are read.
func TestListCostsMemoryForEachRow(t *testing.T) {
	const tasks = 1500
	h := newHarness(t, 1)
	runSmallTasks(t, h, tasks)
	id := workerInfo(0).ID
	_, order, _ := h.shard.RenewOrder(h.now, id)
	lists, _ := h.cluster.Renew(h.now, id, order)
	must.SliceLen(t, tasks, lists.Running)
	const readings = 10
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range readings {
		h.shard.RenewAnswered(h.now, h.now, id, lists)
	}
	runtime.ReadMemStats(&after)
	const bytesPerRow = 16
	must.Less(t, readings*bytesPerRow*tasks, int(after.TotalAlloc-before.TotalAlloc))
}

// TestEachUnansweredStopIsRepeated guards against stop orders of a burst that are not repeated once
// all of them have failed, or are repeated although they were accepted.
func TestEachUnansweredStopIsRepeated(t *testing.T) {
	const tasks = 1000
	h := newHarness(t, 2)
	stops := runSmallTasks(t, h, tasks)()
	must.SliceLen(t, tasks, stops)
	for i, stop := range stops {
		if i%2 == 0 {
			h.shard.StopAnswered(h.now, stop, fleet.Answer{}, platform.ErrOutcomeUnknown)
		} else {
			h.shard.StopAnswered(h.now, stop, fleet.Answer{Verdict: fleet.Accepted}, nil)
		}
	}
	h.now += time.Second
	repeated := h.planOnce(0).Stops
	must.SliceLen(t, tasks/2, repeated)
	for _, stop := range repeated {
		h.shard.StopAnswered(h.now, stop, fleet.Answer{}, platform.ErrOutcomeUnknown)
	}
	h.now += time.Second
	must.SliceLen(t, tasks/2, h.planOnce(0).Stops)
}

// BenchmarkPlanDuringStops measures a plan that considers every worker while the stop orders of
// 15,000 tasks are under way.
func BenchmarkPlanDuringStops(b *testing.B) {
	h := newHarness(b, 10)
	stops := runSmallTasks(b, h, 15_000)()
	must.SliceLen(b, 15_000, stops)
	b.ResetTimer()
	for range b.N {
		h.now += scheduler.PlanPeriod
		h.planOnce(0)
	}
}
