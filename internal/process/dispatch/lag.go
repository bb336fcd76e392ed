package dispatch

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/process/pause"
)

const (
	// lagPeriod is the time between two measurements of the process's lag.
	lagPeriod = 50 * time.Millisecond
	// lagDecay is the part of the lag that remains with each measurement: it rises at
	// once, since orders in flight have met it, and falls within some 0.3 s.
	lagDecay = 0.7
)

// smoothLag returns the lag after a measurement: how late the process does what is due,
// because it is short of processor time or was suspended.
func smoothLag(lag, measured time.Duration) time.Duration {
	return max(measured, time.Duration(lagDecay*float64(lag)))
}

// measureLag measures how late the dispatcher's goroutines run, until it ends.
func (d *Dispatcher) measureLag() {
	lag := time.Duration(0)
	for {
		due := d.Clock() + lagPeriod
		if pause.For(d.ctx, lagPeriod) != nil {
			return
		}
		lag = smoothLag(lag, max(0, d.Clock()-due))
		d.gauge("owner.lag_us").Update(lag.Microseconds())
		d.mu.Lock()
		d.starts.lag, d.stops.lag = lag, lag
		d.mu.Unlock()
	}
}
