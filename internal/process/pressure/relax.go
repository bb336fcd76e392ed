package pressure

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/interference"
	"github.com/siskinvane/siskinvane/internal/process/place"
)

const (
	// initialRelaxBackoff is how long the throttles on a worker stay after a
	// mitigation. The time doubles with each mitigation that follows within
	// backoffResetAfter, up to maxRelaxBackoff.
	initialRelaxBackoff = 20 * time.Second
	maxRelaxBackoff     = 4 * time.Minute
	// backoffResetAfter is the time without a mitigation after which the backoff is
	// reset.
	backoffResetAfter = 10 * time.Minute
	// maxRelaxMissChance is the maximum predicted probability of a miss at which a
	// throttle is relaxed.
	maxRelaxMissChance = 0.15
	// maxThrottledTime is the time after which a throttled task is moved.
	maxThrottledTime = 90 * time.Second
)

// relaxBackoff delays the relaxing of throttles on one worker.
type relaxBackoff struct {
	delay          time.Duration
	until          time.Time
	lastMitigation time.Time
}

// ensureBackoff returns the backoff of a worker, creating it if needed.
func (c *Controller) ensureBackoff(w platform.WorkerID) *relaxBackoff {
	b := c.relaxBackoffs[w]
	if b == nil {
		b = &relaxBackoff{}
		c.relaxBackoffs[w] = b
	}
	return b
}

// extend restarts the backoff after a mitigation. It doubles the delay if the last
// mitigation was recent.
func (b *relaxBackoff) extend(now time.Time) {
	switch {
	case b.delay == 0 || now.Sub(b.lastMitigation) > backoffResetAfter:
		b.delay = initialRelaxBackoff
	default:
		b.delay = min(2*b.delay, maxRelaxBackoff)
	}
	b.lastMitigation = now
	b.until = now.Add(b.delay)
}

// relaxThrottles relaxes one throttle on each worker whose services are all healthy,
// unless the model expects that to cause a miss.
func (s *step) relaxThrottles() {
	for _, id := range s.throttledTasks() {
		r := s.cache.Resident(id)
		if r == nil {
			delete(s.controller.throttledSince, id)
			continue
		}
		b := s.controller.ensureBackoff(r.Worker)
		if s.now.Before(b.until) || !s.servicesHealthy(r.Worker) || !s.safeToRelax(r) {
			continue
		}
		s.throttle(r, looserThrottle(r.EffectiveCPUPercent()), "the services beside it are well inside their targets")
		b.until = s.now.Add(initialRelaxBackoff)
	}
}

// throttledTasks returns the throttled tasks, the longest throttled first.
func (s *step) throttledTasks() []platform.TaskID {
	ids := make([]platform.TaskID, 0, len(s.controller.throttledSince))
	for id := range s.controller.throttledSince {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b platform.TaskID) int {
		if c := s.controller.throttledSince[a].Compare(s.controller.throttledSince[b]); c != 0 {
			return c
		}
		if a < b {
			return -1
		}
		return 1
	})
	return ids
}

// servicesHealthy reports whether every monitored service on a worker is healthy and
// has no mitigation in progress.
func (s *step) servicesHealthy(w platform.WorkerID) bool {
	view := s.cache.Worker(w)
	if view == nil {
		return false
	}
	healthy := true
	view.EachResident(func(r *place.Resident) {
		v := s.controller.victims[r.Task]
		if r.Service != "" && v != nil && v.worker == w {
			healthy = healthy && v.mitigation == nil && v.healthy >= healthyToRelax
		}
	})
	return healthy
}

// safeToRelax reports whether no service on the worker is likely to miss its target
// when the throttle of r is relaxed.
func (s *step) safeToRelax(r *place.Resident) bool {
	w := s.cache.Worker(r.Worker)
	added := float64(looserThrottle(r.EffectiveCPUPercent())-r.EffectiveCPUPercent()) / float64(throttleLevels[0])
	neighbours := interference.AddNeighbour(slices.Clone(w.Neighbours), r.Class, added)
	for _, v := range w.Victims {
		if s.model.MissChance(v.Class, w.Load(), neighbours, interference.Expected) > maxRelaxMissChance {
			return false
		}
	}
	return true
}

// moveLongThrottled moves tasks that have been throttled for longer than
// maxThrottledTime, so that they finish elsewhere. It leaves reservedEvictions in the
// budget for missed targets.
func (s *step) moveLongThrottled() {
	for _, id := range s.throttledTasks() {
		r := s.cache.Resident(id)
		if s.budget.Available() <= reservedEvictions {
			return
		}
		if r != nil && r.Evictable() && s.now.Sub(s.controller.throttledSince[id]) > maxThrottledTime {
			s.move(r, "throttled for long to protect a service")
		}
	}
}
