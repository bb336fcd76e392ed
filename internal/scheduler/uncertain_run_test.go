package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
)

// TestStartOnUnnoticedRunOutlivesItsLease: a start order to a worker whose restart the owner had not
// noticed asked for a lease on the clock of the run before, which was longer than the owner
// reckoned with.
func TestStartOnUnnoticedRunOutlivesItsLease(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner replaced %v", replaced), func(t *testing.T) {
			h := newHarness(t, 4)
			h.run(15 * time.Second)
			h.cluster.Crash("w00")
			// The owner may not act.
			h.now += 3 * time.Second
			h.cluster.Boot(h.now, "w00")
			for i := 1; i < 4; i++ {
				h.cluster.SetPartitioned(workerInfo(i).ID, true)
				h.renewLeases(workerInfo(i).ID)
			}
			id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
			h.plan()
			must.Zero(t, h.cluster.Running(id))
			h.now += tickInterval
			h.renewLeases("w00")
			h.record()
			h.syncWorkers()
			h.plan()
			must.Eq(t, 1, h.cluster.Running(id))
			h.cluster.SetPartitioned("w00", true)
			for i := 1; i < 4; i++ {
				h.cluster.SetPartitioned(workerInfo(i).ID, false)
			}
			if replaced {
				h.takeOver(false)
			}
			h.runUntilStart(20 * time.Second)
			h.checkViolations()
		})
	}
}

// TestNoStartOnClockOfEarlierRun: a start order went to a worker that might have restarted since
// its lists were read, with a lease end on the clock of the run before.
func TestNoStartOnClockOfEarlierRun(t *testing.T) {
	const away = 3 * time.Second
	awaitListsAfter := func(h *harness, held time.Duration) (arrive func()) {
		sent, order := h.now, h.awaitOrder("w00")
		lists, _ := h.cluster.Renew(sent+held, "w00", order)
		return func() { h.shard.RenewAnswered(h.now, sent, "w00", lists) }
	}
	awaitLists := func(h *harness) (arrive func()) { return awaitListsAfter(h, 0) }
	arriveAfterSecond := func(h *harness, held time.Duration) {
		arrive := awaitListsAfter(h, held)
		h.now += time.Second
		arrive()
		h.now += 700 * time.Millisecond
	}
	cases := map[string]struct {
		pass   func(h *harness)
		starts int
	}{
		"no renewal sent":       {func(h *harness) { h.now += away }, 0},
		"renewal withheld":      {func(h *harness) { awaitLists(h); h.shard.RenewalWithheld("w00"); h.now += away / 2 }, 0},
		"renewal awaited":       {func(h *harness) { awaitLists(h); h.now += away / 2 }, 1},
		"renewal long awaited":  {func(h *harness) { awaitLists(h); h.now += away }, 0},
		"renewal failed":        {func(h *harness) { sent := h.now; awaitLists(h); h.shard.RenewFailed(h.now, sent, "w00") }, 0},
		"lists arrived late":    {func(h *harness) { arrive := awaitLists(h); h.now += away; arrive() }, 0},
		"lists arrived in time": {func(h *harness) { h.now += away; h.renewLeases("w00"); h.now += away / 4 }, 1},
		"lists held back":       {func(h *harness) { arriveAfterSecond(h, 900*time.Millisecond) }, 1},
		"lists held up":         {func(h *harness) { arriveAfterSecond(h, 100*time.Millisecond) }, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.run(time.Second)
			h.submit(firstID, fixedLength(100), nil, batchStep(1))
			planned := h.shard.Plan(h.now, h.now.Milliseconds(), unlimitedStarts).Starts
			must.Len(t, 1, planned)
			tc.pass(h)
			_, wanted := h.shard.BeginStart(h.now, planned[0])
			must.Eq(t, tc.starts == 1, wanted)
			h.submit(secondID, fixedLength(100), nil, batchStep(1))
			must.Eq(t, tc.starts == 1, len(h.shard.Plan(h.now, h.now.Milliseconds(), unlimitedStarts).Starts) > 0)
		})
	}
}

// TestRepeatedStartOnClockOfEarlierRun: the second try of an order that got no answer went to a
// worker that might have restarted since its lists were read.
func TestRepeatedStartOnClockOfEarlierRun(t *testing.T) {
	h := newHarness(t, 1)
	h.run(time.Second)
	id := h.submit(firstID, fixedLength(100), nil, batchStep(1))
	start := h.beginOnlyStart()
	h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
	second := h.shard.Plan(h.now, h.now.Milliseconds(), unlimitedStarts).Starts
	must.Len(t, 1, second)
	h.cluster.Crash("w00")
	h.now += 2 * time.Second
	h.cluster.Boot(h.now, "w00")
	_, wanted := h.shard.BeginStart(h.now, second[0])
	must.False(t, wanted)
	h.syncWorkers()
	h.run(2 * time.Second)
	must.Eq(t, 1, h.cluster.Running(id))
	must.Eq(t, 1, h.cluster.Starts())
	h.checkViolations()
}
