package forward

import (
	"errors"
	"time"

	"github.com/siskinvane/siskinvane/internal/request/header"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
	"github.com/siskinvane/siskinvane/internal/request/retry"
	"github.com/siskinvane/siskinvane/internal/request/session"
)

const (
	// maxPositionWait bounds the wait until an endpoint has reached the position
	// of the caller's session token.
	maxPositionWait = 300 * time.Millisecond
	// positionPollInterval is the delay between two tries in that time.
	positionPollInterval = 10 * time.Millisecond
)

// errPositionNotReached reports that an endpoint has not reached the position of the
// caller's session token.
var errPositionNotReached = errors.New("endpoint has not reached the position of the session token")

var errNoKeys = errors.New("this host has no keys for session tokens")

// readSession verifies the caller's session token and sets the position that a read
// needs.
func (f *Forwarder) readSession(r *request) error {
	text := r.c.Request.Header.Peek(header.Session)
	if len(text) == 0 {
		return nil
	}
	ring := f.config.Keys.Ring()
	if ring == nil {
		return outcome.New(400, outcome.NotRun, outcome.BadSession, "%s: %w", header.Session, errNoKeys)
	}
	token, err := ring.Open(string(text))
	if err != nil {
		return outcome.New(400, outcome.NotRun, outcome.BadSession, "%s: %w", header.Session, err)
	}
	if token.Service != r.service.Name {
		return outcome.New(400, outcome.NotRun, outcome.BadSession, "%s: token is for service %s, not %s",
			header.Session, token.Service, r.service.Name)
	}
	r.sessionPosition = token.Position
	if retry.Safe(r.method) {
		r.minPosition = token.Position
	}
	return nil
}

// writeSession sets a session token for the highest position that the caller has
// seen. It sets none if the endpoint reported no position.
func (f *Forwarder) writeSession(t *try) {
	ring := f.config.Keys.Ring()
	if ring == nil || t.result.Position == 0 {
		return
	}
	r := t.request
	token := session.Token{Service: r.service.Name, Position: max(r.sessionPosition, t.result.Position)}
	r.c.Response.Header.Set(header.Session, ring.Seal(token))
}

// waitForPosition waits before the next try to find an endpoint that has reached the
// position of the caller's session token. It reports whether there is time for one.
func (f *Forwarder) waitForPosition(r *request) bool {
	now := f.now()
	if r.positionDeadline.IsZero() {
		r.positionDeadline = now.Add(min(maxPositionWait, r.timeLeft(now)/2))
	}
	if !now.Add(positionPollInterval).Before(r.positionDeadline) {
		return false
	}
	time.Sleep(positionPollInterval)
	return true
}

// positionRefusal returns the refusal of a request for which no endpoint reached
// the position in time.
func positionRefusal(r *request, err error) error {
	refusal := outcome.New(503, r.currentOutcome(), outcome.PositionNotReached, "service %s: %w", r.service.Name, err)
	return refusal.WithRetryAfter(overloadRetryAfter)
}
