package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestBriefSilenceKeepsTasks guards against work that is given up because its worker was
// only silent, or slow to report, for a while: in one case it leaves renew orders
// unanswered for less than its leases last, in the other its entry lapses though it
// answers. No task may be started again or stopped in either case.
func TestBriefSilenceKeepsTasks(t *testing.T) {
	for name, c := range map[string]struct {
		silence func(h *harness, silent bool)
		lasts   time.Duration
	}{
		"no answers": {func(h *harness, silent bool) { h.cluster.SetPartitioned("w00", silent) }, 3 * time.Second},
		"no entry": {func(h *harness, silent bool) {
			h.unregistered["w00"] = silent
			h.syncWorkers()
		}, 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			lasting := h.submit(firstID, nil, nil, servingStep(2, "web"))
			finite := h.submit(secondID, fixedLength(25), nil, batchStep(3))
			h.run(time.Second)
			for range 2 {
				c.silence(h, true)
				h.run(c.lasts)
				c.silence(h, false)
				h.run(2 * time.Second)
			}
			must.Eq(t, 5, h.cluster.Starts())
			must.Eq(t, 2, h.cluster.Running(lasting))
			h.run(30 * time.Second)
			must.Eq(t, job.Done, h.state(finite))
			must.Eq(t, 5, h.cluster.Starts())
			h.checkViolations()
		})
	}
}
