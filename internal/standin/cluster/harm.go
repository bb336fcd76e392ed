package cluster

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// defaultHarmBound is how long fillers may keep a serving task over its target.
const defaultHarmBound = 4 * time.Second

// harmCheck configures the check that fillers do not harm serving tasks.
type harmCheck struct {
	bound time.Duration
	// excused reports whether the time does not count. Nil means that all time counts.
	excused func(now time.Duration) bool
}

// SetHarmBound sets how long fillers may keep a serving task over its target, 4 s unless
// set. excused reports whether a time does not count, for example because of a fault; a
// task is then harmed anew from its end. Nil means that all time counts. excused must not
// call the cluster.
func (c *Cluster) SetHarmBound(bound time.Duration, excused func(now time.Duration) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.harm = harmCheck{bound: bound, excused: excused}
}

// checkHarm records a violation if a serving task with the given latency, in milliseconds,
// has been harmed for too long: it is over its target, would be under it without the
// fillers on its worker, and at least one of these works. One violation is recorded each
// time that it is harmed.
func (c *Cluster) checkHarm(now time.Duration, w *worker, ref job.TaskRef, a *attempt, latency float64, fillers []Filler) {
	step := c.step(ref)
	target := float64(step.TargetMS)
	harmed := latency > target && anyWorks(fillers) && c.tailLatency(step, nil)/w.speed < target
	if !harmed || c.harm.excused != nil && c.harm.excused(now) {
		a.harmed = harmSpan{}
		return
	}
	if !a.harmed.active {
		a.harmed = harmSpan{active: true, since: now}
	}
	if now-a.harmed.since >= c.harm.bound && !a.harmed.reported {
		a.harmed.reported = true
		c.recordViolation(now, "HARM", "%s on %s has been over its target since %v beside %v", ref, w.info.ID, a.harmed.since, fillers)
	}
}

// harmSpan is the time for which an attempt has been harmed without a break.
type harmSpan struct {
	active, reported bool
	since            time.Duration
}

// anyWorks reports whether one of the fillers gets processor time.
func anyWorks(fillers []Filler) bool {
	for _, f := range fillers {
		if f.Percent > 0 {
			return true
		}
	}
	return false
}
