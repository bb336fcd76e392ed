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
	// positionWait bounds the wait for an endpoint to reach the position that
	// the caller has seen.
	positionWait = 300 * time.Millisecond
	// positionPause is the time between two looks.
	positionPause = 10 * time.Millisecond
)

// errBehind reports that an endpoint has not reached the caller's position.
var errBehind = errors.New("endpoint has not reached the position of the session token")

var errNoKeys = errors.New("this host has no keys for session tokens")

// readSession checks the caller's session token.
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
	r.seen = token.Position
	if retry.Safe(r.method) {
		r.position = token.Position
	}
	return nil
}

// writeSession gives the caller a token for what it has seen now. Without a
// position from the endpoint there is nothing to promise.
func (f *Forwarder) writeSession(t *try) {
	ring := f.config.Keys.Ring()
	if ring == nil || t.result.Position == 0 {
		return
	}
	r := t.request
	token := session.Token{Service: r.service.Name, Position: max(r.seen, t.result.Position)}
	r.c.Response.Header.Set(header.Session, ring.Seal(token))
}

// waitForPosition pauses before the next look for an endpoint that has reached
// the caller's position. It reports whether there is time for one.
func (f *Forwarder) waitForPosition(r *request) bool {
	now := f.now()
	if r.waitUntil.IsZero() {
		r.waitUntil = now.Add(min(positionWait, r.left(now)/2))
	}
	if !now.Add(positionPause).Before(r.waitUntil) {
		return false
	}
	time.Sleep(positionPause)
	return true
}

// notReached is the answer when no endpoint reached the position in time.
func notReached(r *request, err error) error {
	refusal := outcome.New(503, r.fate(), outcome.PositionNotReached, "service %s: %w", r.service.Name, err)
	return refusal.WithRetryAfter(overloadRetryAfter)
}
