package pressure

import "time"

const (
	// lossWindow is the time over which lost tasks are counted.
	lossWindow = 10 * time.Second
	// massLossFraction is the fraction of all running tasks whose loss within
	// lossWindow is a mass loss, and minMassLoss the minimum number of tasks.
	massLossFraction = 0.05
	minMassLoss      = 8
	// recoveryPeriod is how long starts are rate-limited after the last mass loss.
	recoveryPeriod = 60 * time.Second
	// startRateFraction is the rate limit as a fraction of the running tasks per
	// second, and minStartRate its lower bound in tasks per second.
	startRateFraction = 0.01
	minStartRate      = 2.0
)

// Pacer is a token bucket that limits the rate at which non-urgent tasks are started
// after many tasks were lost together, so that the recovery itself does not overload
// the workers.
type Pacer struct {
	lost        int
	windowStart time.Time
	pacedUntil  time.Time
	tokens      float64
	refilledAt  time.Time
}

// RecordLoss records the loss of n tasks while running tasks still run.
func (p *Pacer) RecordLoss(now time.Time, n, running int) {
	if now.Sub(p.windowStart) > lossWindow {
		p.windowStart, p.lost = now, 0
	}
	p.lost += n
	if p.lost >= max(int(massLossFraction*float64(running)), minMassLoss) {
		if !p.Paced(now) {
			p.tokens, p.refilledAt = 0, now
		}
		p.pacedUntil = now.Add(recoveryPeriod)
	}
}

// Paced reports whether starts are rate-limited now.
func (p *Pacer) Paced(now time.Time) bool { return now.Before(p.pacedUntil) }

// Allowed returns how many non-urgent tasks may be started now, at most limit.
func (p *Pacer) Allowed(now time.Time, running, limit int) int {
	if !p.Paced(now) {
		return limit
	}
	rate := max(startRateFraction*float64(running), minStartRate)
	p.tokens = min(p.tokens+rate*now.Sub(p.refilledAt).Seconds(), rate*lossWindow.Seconds())
	p.refilledAt = now
	return min(int(p.tokens), limit)
}

// RecordStart records the start of a non-urgent task.
func (p *Pacer) RecordStart(now time.Time) {
	if p.Paced(now) {
		p.tokens--
	}
}
