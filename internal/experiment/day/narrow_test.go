package day

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxRanOn is how long after its cancellation was acknowledged a job may have a running
// task: the time to stop it and the grace period of the stop.
const maxRanOn = 4 * time.Second

// TestOwnerWithFullLinkKeepsGuarantees: the owner's link carries fewer start orders than
// the callers' jobs ask for.
func TestOwnerWithFullLinkKeepsGuarantees(t *testing.T) {
	t.Parallel()
	for _, kbPerSecond := range []float64{200, 100} {
		t.Run(fmt.Sprint(kbPerSecond), func(t *testing.T) {
			t.Parallel()
			r := runDay(t, fullLinkPlan(kbPerSecond))
			must.LessEq(t, maxRanOn, r.RanOn)
		})
	}
}

func fullLinkPlan(kbPerSecond float64) Plan {
	return Plan{
		Hosts: 3, Workers: 40, Seconds: 40, QuietSeconds: 120, JobsPerSecond: 8, Seed: 1,
		PayloadBytes: 2400, LongRunningShare: 0.3, LinkKBPerSecond: kbPerSecond,
	}
}

// TestNoTaskStarvesOnFullLink: long-running tasks waited behind batch tasks while the
// owner's link limited the starts.
func TestNoTaskStarvesOnFullLink(t *testing.T) {
	t.Parallel()
	r := playDay(t, fullLinkPlan(200))
	must.SliceEmpty(t, r.Waiting)
}

// TestNoTaskStarvesOnOverloadedLink: the owner's link carries half of the start orders that
// jobs need.
func TestNoTaskStarvesOnOverloadedLink(t *testing.T) {
	t.Parallel()
	r := playDay(t, fullLinkPlan(100))
	must.SliceEmpty(t, r.Waiting)
}
