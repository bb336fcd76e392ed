package header

import (
	"fmt"
	"strconv"
	"time"
)

// Fields that callers and endpoints exchange with siskinvane.
const (
	// Timeout is the time for which the sender will still wait, in milliseconds.
	Timeout = "Siskin-Timeout-Ms"
	// RequestID identifies a request; the entry host generates it if it is
	// missing.
	RequestID = "Siskin-Request-Id"
	// Leaving is set to "true" by an endpoint that accepts no new requests.
	Leaving = "Siskin-Leaving"
	// Position is the endpoint's position after it ran the request.
	Position = "Siskin-Position"
	// ReadPosition is the position that an endpoint must have reached to
	// answer a read.
	ReadPosition = "Siskin-Read-Position"
	// Session carries a caller's session token in both directions.
	Session = "Siskin-Session"
	// IdempotencyKey identifies a request, so that repeats of it do not run
	// again.
	IdempotencyKey = "Idempotency-Key"
	// Replayed is set to "true" on the stored answer to an earlier request
	// with the same idempotency key.
	Replayed = "Siskin-Replayed"
	// Watch is set to "true" by an endpoint whose response is an unbounded
	// sequence of lines, each of them a message.
	Watch = "Siskin-Watch"
	// WatchEnd is the trailer with the reason for the end of a watch.
	WatchEnd = "Siskin-Watch-End"
)

// Default and upper bound of the time that a request may take.
const (
	DefaultTimeout = 10 * time.Second
	MaxTimeout     = 5 * time.Minute
)

// ParseTimeout parses the value of the Timeout field. An empty value gives
// DefaultTimeout; a time above MaxTimeout gives MaxTimeout.
func ParseTimeout(value string) (time.Duration, error) {
	if value == "" {
		return DefaultTimeout, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	if err != nil || ms == 0 {
		return 0, fmt.Errorf("%s: %q, want a positive number of milliseconds", Timeout, value)
	}
	return min(time.Duration(ms)*time.Millisecond, MaxTimeout), nil
}

// FormatTimeout returns the value of the Timeout field for the time left. The value
// is at least one millisecond.
func FormatTimeout(left time.Duration) string {
	return strconv.FormatInt(max(left.Milliseconds(), 1), 10)
}
