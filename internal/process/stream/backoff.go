package stream

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff returns the delay after a number of consecutive failures, at least 1.
// It doubles with each failure up to maxBackoff and has up to one half taken off
// at random.
func backoff(failures int, random *rand.Rand) time.Duration {
	d := maxBackoff
	if shift := failures - 1; shift < 10 {
		d = min(maxBackoff, minBackoff<<shift)
	}
	return d/2 + time.Duration(random.Int64N(int64(d/2)))
}
