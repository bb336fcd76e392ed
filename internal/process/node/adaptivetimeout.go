package node

import (
	"sync"
	"time"
)

const (
	// minAppendTimeout is a hundred times the usual duration of an append.
	minAppendTimeout = 400 * time.Millisecond
	// maxAppendTimeout allows for an append of the largest size to a slow store.
	maxAppendTimeout = 1500 * time.Millisecond
	// appendTimeoutFactor is the margin above the slowest recent answer.
	appendTimeoutFactor = 3
)

// adaptiveTimeout computes how long to wait for the answer to an append before the
// append is retried. Waiting for a lost answer wastes time, but retrying while an
// answer is only slow adds load and makes the store slower still. The timeout follows
// the slowest recent answer and doubles with each consecutive append that timed out, at
// most twice. It is safe for concurrent use.
type adaptiveTimeout struct {
	mu         sync.Mutex
	recentPeak time.Duration
	timeouts   int
}

// next returns the timeout of the next append.
func (t *adaptiveTimeout) next() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := max(minAppendTimeout, appendTimeoutFactor*t.recentPeak)
	return min(maxAppendTimeout, wait<<min(t.timeouts, 2))
}

// recordAnswer records an answered append that took the given time.
func (t *adaptiveTimeout) recordAnswer(elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeouts = 0
	// A faster answer has a weight of a quarter, as the store may become slow again.
	t.recentPeak = max(elapsed, (3*t.recentPeak+elapsed)/4)
}

// recordTimeout records an append that was not answered in time.
func (t *adaptiveTimeout) recordTimeout() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeouts++
}
