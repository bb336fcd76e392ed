// Package outcome defines the responses that siskinvane itself sends to callers:
// the outcome of a request, the reason, and when to retry.
package outcome

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// Header fields of outcomes.
const (
	// Header carries the outcome of a request.
	Header = "Siskin-Outcome"
	// HeaderReason carries the reason of a refusal.
	HeaderReason = "Siskin-Reason"
	// HeaderRetryAfter carries the delay before a retry, in whole seconds.
	HeaderRetryAfter = "Retry-After"
)

// Outcome is the outcome of a request as reported to its caller.
type Outcome string

// Outcomes of requests.
const (
	// Answered means that the response comes from an endpoint and is complete.
	Answered Outcome = "answered"
	// NotRun means that no endpoint ran the request and none will.
	NotRun Outcome = "not-run"
	// Unknown means that an endpoint may have run the request.
	Unknown Outcome = "unknown"
)

// Reason is the cause of a response that does not come from an endpoint.
type Reason string

// Reasons of refusals.
const (
	BadRequest         Reason = "bad-request"
	UnknownService     Reason = "unknown-service"
	NoEndpoint         Reason = "no-endpoint"
	Overload           Reason = "overload"
	NoConnection       Reason = "no-connection"
	Deadline           Reason = "deadline"
	Draining           Reason = "draining"
	TooLarge           Reason = "too-large"
	PositionNotReached Reason = "position-not-reached"
	BadSession         Reason = "bad-session"
	KeyReused          Reason = "idempotency-key-reused"
	KeyInProgress      Reason = "idempotency-key-in-progress"
	KeyHistoryLost     Reason = "idempotency-key-history-lost"
	KeyHomeUnreachable Reason = "idempotency-home-unreachable"
	EndpointFailed     Reason = "endpoint-failed"
	AnswerTruncated    Reason = "answer-truncated"
)

// Refusal is a response that does not come from an endpoint. It implements error, so
// that the steps of request handling can return it.
type Refusal struct {
	Status  int
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the delay before a retry; zero means that a retry does not
	// help.
	RetryAfter time.Duration
	// Err is the cause. It names the step and the peer if another process was
	// involved.
	Err error
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %v", r.Reason, r.Outcome, r.Err)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// New returns a refusal whose cause is formatted as by fmt.Errorf.
func New(status int, o Outcome, reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Outcome: o, Reason: reason, Err: fmt.Errorf(format, args...)}
}

// WithRetryAfter sets RetryAfter to d and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// FromError returns the refusal that err wraps. Any other error gives a refusal with
// outcome Unknown and reason EndpointFailed.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Status: 502, Outcome: Unknown, Reason: EndpointFailed, Err: err}
}

// Write sends r to the caller. It discards header fields that were set before.
func (r *Refusal) Write(c *app.RequestContext) {
	c.Response.Reset()
	c.Header(Header, string(r.Outcome))
	c.Header(HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		c.Header(HeaderRetryAfter, strconv.Itoa(seconds))
	}
	c.String(r.Status, r.Err.Error()+"\n")
}
