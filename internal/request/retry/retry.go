// Package retry decides whether a request may be retried. A request that may have
// run is retried only if its method is safe. PUT and DELETE are idempotent, but an
// abandoned try may still run after a later write of the same caller and undo it.
package retry

import "time"

// MaxTries bounds the tries of one request.
const MaxTries = 3

// Idempotent reports whether method is idempotent by RFC 9110 section 9.2.2, so that
// running the same request twice in a row has the effect of running it once.
func Idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	}
	return false
}

// Safe reports whether method only reads.
func Safe(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

// State is the state of a request after a failed try.
type State struct {
	// Safe is set if the request only reads.
	Safe bool
	// MayHaveRun is set if any try may have run.
	MayHaveRun bool
	// Replayable is set if the whole body can be sent again.
	Replayable bool
	// Tries is the number of tries so far.
	Tries int
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// Allowed reports whether the request may be retried, regardless of the budget.
func (s State) Allowed() bool {
	if s.MayHaveRun && !s.Safe {
		return false
	}
	return s.Replayable && s.Tries < MaxTries && s.TimeLeft > 0
}
