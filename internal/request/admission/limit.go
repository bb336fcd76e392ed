// Package admission limits concurrent and queued requests. Limits adapt to the
// measured latency; work that may wait is refused first.
package admission

import "time"

const (
	initialLimit = 16
	minLimit     = 1
	// decreaseFactor multiplies a limit when the latency exceeds its target.
	decreaseFactor = 0.8
)

// Limit is a bound on concurrent requests with additive increase and multiplicative
// decrease: it grows by about one for each round of requests within the latency
// target and is cut when the target is missed. The zero Limit is not usable. It
// is not safe for concurrent use.
type Limit struct {
	value        float64
	max          float64
	lastDecrease time.Time
}

// Sample is the measurement of one finished request.
type Sample struct {
	Now     time.Time
	Latency time.Duration
	// Target is the latency above which the limit is cut.
	Target time.Duration
	// InFlight is the number of requests in progress, including this one.
	InFlight int
	// Overloaded is set if the endpoint refused the request because of overload,
	// or if the latency of more urgent work is affected.
	Overloaded bool
}

// NewLimit returns a limit with the given upper bound.
func NewLimit(upper int) Limit {
	return Limit{value: float64(min(initialLimit, upper)), max: float64(upper)}
}

// SetMax changes the upper bound.
func (l *Limit) SetMax(upper int) {
	l.max = float64(upper)
	l.value = min(l.value, l.max)
}

// Value returns the limit. It is at least one unless the upper bound is zero.
func (l *Limit) Value() int {
	return int(min(max(l.value, minLimit), l.max))
}

// Observe adapts the limit to s. It cuts the limit at most once per target latency,
// because the requests of one round all meet the same queue. It raises the limit
// only if at least half of it is in use.
func (l *Limit) Observe(s Sample) {
	if s.Overloaded || s.Latency > s.Target {
		if s.Now.Sub(l.lastDecrease) >= s.Target {
			l.lastDecrease = s.Now
			l.value = max(l.value*decreaseFactor, minLimit)
		}
		return
	}
	if 2*s.InFlight >= int(l.value) {
		l.value = min(l.value+1/max(l.value, 1), l.max)
	}
}
