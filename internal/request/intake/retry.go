package intake

import (
	"math"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which callers are asked to return.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
	// servingTime is the part of a caller's time that storing a job takes on a busy store. A caller
	// that returns with less left is not served.
	servingTime = 400 * time.Millisecond
)

// retryAfter returns the whole seconds after which a refused caller should return, given the time
// until it is expected to be served and the time that it has left. A caller that cannot wait for the
// expected time gets the last whole second from which it can still be served: the expectation is rough,
// and it would not return at all otherwise. random, from 0 to 1, spreads the callers who are given the same
// expectation over the seconds around it.
func retryAfter(expected, left time.Duration, random float64) int {
	expected = min(maxRetryAfter, max(minRetryAfter, expected))
	seconds := int(math.Floor(expected.Seconds() + random))
	if last := int((left - servingTime) / time.Second); last >= 1 {
		seconds = min(seconds, last)
	}
	return seconds
}
