package forward

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/siskinvane/siskinvane/internal/connection/wire"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/request/header"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
	"github.com/siskinvane/siskinvane/internal/request/retry"
	"github.com/siskinvane/siskinvane/internal/request/routing"
)

const (
	dialTimeout = time.Second
	// maxIdleUnsafe is the maximum time since a connection's last complete
	// response for its reuse by a request that must not run twice.
	maxIdleUnsafe = time.Second
	// maxIdleSafe is the same for requests with a safe method, which may be
	// retried.
	maxIdleSafe = 10 * time.Second
	// staleConnTimeout is the minimum timeout for the first byte of a response
	// to a safe request on a connection that was idle for longer than
	// maxIdleUnsafe.
	staleConnTimeout = 250 * time.Millisecond
	// earlyResponseTimeout bounds the wait for a response that an endpoint may
	// have sent before it stopped reading the request.
	earlyResponseTimeout = 50 * time.Millisecond
)

// errNotRun reports that the endpoint responded that it did not run the request.
var errNotRun = errors.New("endpoint did not run the request")

// try is one try of a request at one endpoint.
type try struct {
	request  *request
	endpoint *routing.Endpoint
	conn     *wire.Conn
	// fresh is set if the connection was opened for this try.
	fresh    bool
	started  time.Time
	response *protocol.Response
	body     *wire.Body
	result   routing.Result
	ended    bool
	// notRun is set if the endpoint responded that it did not run the request.
	notRun bool
	// connReleased is set if the connection was released after a complete
	// response that is not relayed to the caller.
	connReleased bool
}

// send makes one try at e and relays the response. A nil result means that the caller
// has got a response or, if that was truncated, that its connection is closed.
func (f *Forwarder) send(r *request, e *routing.Endpoint) error {
	t := &try{request: r, endpoint: e, started: f.now(), response: protocol.AcquireResponse()}
	defer protocol.ReleaseResponse(t.response)
	e.Begin()
	err := f.exchange(t)
	f.endTry(t)
	if err != nil && t.result.EndpointFailed || t.result.Overloaded || t.result.Leaving {
		r.constraints.Exclude = append(r.constraints.Exclude, e)
	}
	return err
}

// endTry reports the result of the try to the endpoint. Further calls have no effect.
func (f *Forwarder) endTry(t *try) {
	if t.ended {
		return
	}
	t.ended = true
	t.result.Now = f.now()
	t.result.Latency = t.result.Now.Sub(t.started)
	t.endpoint.End(t.result)
}

func (f *Forwarder) exchange(t *try) error {
	if err := f.connect(t); err != nil {
		return err
	}
	if err := f.transfer(t); err != nil {
		f.abortTry(t)
		return err
	}
	return nil
}

// abortTry records whether the endpoint may have run the request and closes the
// connection. It does not close a released connection, which may already carry
// another request.
func (f *Forwarder) abortTry(t *try) {
	sent := t.connReleased || t.conn.Written() > 0
	if sent && !t.notRun {
		t.request.mayHaveRun = true
	}
	if !t.connReleased {
		t.endpoint.Pool.Discard(t.conn)
	}
}

// connect takes an idle connection that was in use recently enough from the pool, or
// opens a new one.
func (f *Forwarder) connect(t *try) error {
	maxIdle := maxIdleUnsafe
	if retry.Safe(t.request.method) {
		maxIdle = maxIdleSafe
	}
	p := t.endpoint.Pool
	if t.conn = p.Take(t.started.Add(-maxIdle)); t.conn != nil {
		return nil
	}
	peer := t.endpoint.Addr.String()
	if err := p.Reserve(); err != nil {
		t.result.Overloaded = true
		return platform.WrapCall("reserve connection", peer, err)
	}
	conn, err := wire.Dial(t.endpoint.Addr, min(dialTimeout, t.request.timeLeft(t.started)))
	if err != nil {
		p.Unreserve()
		t.result.EndpointFailed = true
		return platform.WrapCall("dial endpoint", peer, err)
	}
	t.conn, t.fresh = conn, true
	return nil
}

// transfer sends the request, reads the response and relays it. After an error the
// caller must call abortTry.
func (f *Forwarder) transfer(t *try) error {
	r := t.request
	if err := t.conn.Begin(f.firstByteDeadline(t)); err != nil {
		return f.tryError(t, "prepare connection", err)
	}
	m := &wire.Message{Head: r.encodeHead(r.timeLeft(t.started)), Body: r.body, Length: r.length}
	if r.stream != nil {
		m.Stream = r.stream
	}
	if err := t.conn.Send(m); err != nil {
		if !readEarlyResponse(t, err) {
			return f.tryError(t, "send request", err)
		}
	} else if err := t.conn.ReadHead(t.response); err != nil {
		return f.tryError(t, "read answer", err)
	}
	return f.receiveResponse(t)
}

// firstByteDeadline returns the time by which the response must have begun. On a
// connection that may be dead, a safe request gets a short time, so that it can be
// retried on another connection.
func (f *Forwarder) firstByteDeadline(t *try) time.Time {
	r := t.request
	stale := !t.fresh && t.started.Sub(t.conn.LastVerified()) > maxIdleUnsafe
	if !stale || r.stream != nil || !retry.Safe(r.method) {
		return r.deadline
	}
	wait := max(staleConnTimeout, 4*t.endpoint.Expected(t.started))
	return earliest(r.deadline, t.started.Add(wait))
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// readEarlyResponse reads a response that the endpoint may have sent before it closed
// the connection while the request was still being sent. It accepts only error
// responses, with a status of 400 or above.
func readEarlyResponse(t *try, cause error) bool {
	var source *wire.SourceError
	if errors.As(cause, &source) || t.conn.Written() == 0 {
		return false
	}
	if t.conn.SetReadDeadline(time.Now().Add(earlyResponseTimeout)) != nil {
		return false
	}
	if t.conn.ReadHead(t.response) != nil || t.response.StatusCode() < 400 {
		return false
	}
	t.response.Header.SetConnectionClose(true)
	return true
}

// tryError attributes err to the caller's body, the endpoint or an old connection,
// and adds step and peer to it. A timeout on an old connection makes the pool close
// idle connections of that age.
func (f *Forwarder) tryError(t *try, step string, err error) error {
	var source *wire.SourceError
	switch {
	case errors.As(err, &source):
	case t.fresh:
		t.result.EndpointFailed = true
	case isTimeout(err):
		t.endpoint.Pool.CloseSuspect(t.conn.Opened(), t.started)
	}
	return platform.WrapCall(step, t.endpoint.Addr.String(), err)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// receiveResponse evaluates the response's header and relays the response, unless the
// endpoint did not run the request or has not reached the position.
func (f *Forwarder) receiveResponse(t *try) error {
	r := t.request
	h := &t.response.Header
	peer := t.endpoint.Addr.String()
	t.result.Leaving = string(h.Peek(header.Leaving)) == "true"
	position, err := header.ParsePosition(string(h.Peek(header.Position)))
	if err != nil {
		return f.tryError(t, "read answer", err)
	}
	t.result.Position = position
	if t.body, err = t.conn.Body(t.response, r.method == "HEAD"); err != nil {
		return f.tryError(t, "read answer", err)
	}
	if err := t.conn.SetReadDeadline(r.deadline); err != nil {
		return f.tryError(t, "read answer", err)
	}
	t.notRun = string(h.Peek(outcome.Header)) == string(outcome.NotRun)
	positionBehind := r.minPosition > 0 && position < r.minPosition
	if positionBehind || t.notRun {
		f.discardResponse(t)
	}
	if positionBehind {
		return platform.WrapCall("read answer", peer, errPositionNotReached)
	}
	if t.notRun {
		t.result.Overloaded = !t.result.Leaving
		return platform.WrapCall("read answer", peer, errNotRun)
	}
	if err := f.relay(t); err != nil {
		return f.tryError(t, "read body of the answer", fmt.Errorf("answer truncated: %w", err))
	}
	return nil
}

// discardResponse reads a small response that is not relayed to the caller, so that
// the connection can be reused.
func (f *Forwarder) discardResponse(t *try) {
	if t.body.Length() < 0 || t.body.Length() > maxInlineBytes {
		return
	}
	if _, err := io.Copy(io.Discard, t.body); err != nil {
		return
	}
	t.connReleased = true
	f.releaseConn(t)
}
