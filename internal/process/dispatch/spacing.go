package dispatch

import "time"

const (
	// minPlanInterval is the least time between two plans. The answers that arrive
	// meanwhile share one plan; under load they come less than a millisecond apart.
	minPlanInterval = 3 * time.Millisecond
	// maxPlanInterval bounds the time that the plans' cost may put between two of them.
	maxPlanInterval = 60 * time.Millisecond
	// planIdleFactor is the time that is left to the rest of the process after a plan, as
	// a multiple of what the plan took: plans take at most a quarter of the processor.
	planIdleFactor = 3
)

// planPause returns how long to wait after a plan that took the given time before the
// next one. On a host that is slow or short of processor time plans take longer and so
// follow one another at a greater distance, which leaves time for renewals, stops and
// acknowledgements.
func planPause(took time.Duration) time.Duration {
	return min(maxPlanInterval, max(minPlanInterval-took, planIdleFactor*took))
}
