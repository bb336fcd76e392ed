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
	// provenWindow is how recently a connection must have proven itself to
	// carry a request that must not run twice.
	provenWindow = time.Second
	// idleWindow is the same for requests that may be sent again.
	idleWindow = 10 * time.Second
	// oldConnectionWait bounds the wait for the first byte of an answer on a
	// connection that has not proven itself within provenWindow.
	oldConnectionWait = 250 * time.Millisecond
	// earlyAnswerWait bounds the wait for an answer that an endpoint may have
	// given before it stopped reading the request.
	earlyAnswerWait = 50 * time.Millisecond
)

// errNotRun reports that the endpoint itself said that it did not run the
// request.
var errNotRun = errors.New("endpoint did not run the request")

// try is one sending of a request to one endpoint.
type try struct {
	request  *request
	endpoint *routing.Endpoint
	conn     *wire.Conn
	// fresh is set when the connection was opened for this try.
	fresh   bool
	started time.Time
	answer  *protocol.Response
	body    *wire.Body
	result  routing.Result
	ended   bool
	// unrun is set when the endpoint said that it did not run the request.
	unrun bool
	// kept is set when the connection was given back after a whole answer that
	// the caller does not get.
	kept bool
}

// send makes one try at e and relays the answer. A nil result means that the
// caller has its answer or, if it broke off in the middle, a cut connection.
func (f *Forwarder) send(r *request, e *routing.Endpoint) error {
	t := &try{request: r, endpoint: e, started: f.now(), answer: protocol.AcquireResponse()}
	defer protocol.ReleaseResponse(t.answer)
	e.Begin()
	err := f.exchange(t)
	f.end(t)
	if err != nil && t.result.EndpointFailed || t.result.Overloaded || t.result.Leaving {
		r.need.Exclude = append(r.need.Exclude, e)
	}
	return err
}

// end accounts for the try once.
func (f *Forwarder) end(t *try) {
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
		f.abandon(t)
		return err
	}
	return nil
}

// abandon notes whether the endpoint may have run the request and closes the
// connection. One that was given back belongs to another request by now.
func (f *Forwarder) abandon(t *try) {
	sent := t.kept || t.conn.Written() > 0
	if sent && !t.unrun {
		t.request.mayHaveRun = true
	}
	if !t.kept {
		t.endpoint.Pool.Discard(t.conn)
	}
}

// connect takes a connection that is trusted enough or opens one.
func (f *Forwarder) connect(t *try) error {
	window := provenWindow
	if retry.Safe(t.request.method) {
		window = idleWindow
	}
	p := t.endpoint.Pool
	if t.conn = p.Take(t.started.Add(-window)); t.conn != nil {
		return nil
	}
	peer := t.endpoint.Addr.String()
	if err := p.Reserve(); err != nil {
		t.result.Overloaded = true
		return platform.WrapCall("reserve connection", peer, err)
	}
	conn, err := wire.Dial(t.endpoint.Addr, min(dialTimeout, t.request.left(t.started)))
	if err != nil {
		p.Unreserve()
		t.result.EndpointFailed = true
		return platform.WrapCall("dial endpoint", peer, err)
	}
	t.conn, t.fresh = conn, true
	return nil
}

// transfer sends the request, reads the answer and relays it. After an error
// the connection must be closed.
func (f *Forwarder) transfer(t *try) error {
	r := t.request
	if err := t.conn.Begin(f.firstByteDeadline(t)); err != nil {
		return f.failed(t, "prepare connection", err)
	}
	m := &wire.Message{Head: r.head(r.left(t.started)), Body: r.body, Length: r.length}
	if r.stream != nil {
		m.Stream = r.stream
	}
	if err := t.conn.Send(m); err != nil {
		if !earlyAnswer(t, err) {
			return f.failed(t, "send request", err)
		}
	} else if err := t.conn.ReadHead(t.answer); err != nil {
		return f.failed(t, "read answer", err)
	}
	return f.receive(t)
}

// firstByteDeadline is the time by which the answer must have begun.
func (f *Forwarder) firstByteDeadline(t *try) time.Time {
	r := t.request
	old := !t.fresh && t.started.Sub(t.conn.Proven()) > provenWindow
	if !old || r.stream != nil || !retry.Safe(r.method) {
		return r.deadline
	}
	wait := max(oldConnectionWait, 4*t.endpoint.Expected(t.started))
	return earlier(r.deadline, t.started.Add(wait))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// earlyAnswer reads the answer that the endpoint may have given before it
// closed the connection while the request was still on its way.
func earlyAnswer(t *try, cause error) bool {
	var source *wire.SourceError
	if errors.As(cause, &source) || t.conn.Written() == 0 {
		return false
	}
	if t.conn.SetReadDeadline(time.Now().Add(earlyAnswerWait)) != nil {
		return false
	}
	if t.conn.ReadHead(t.answer) != nil || t.answer.StatusCode() < 400 {
		return false
	}
	t.answer.Header.SetConnectionClose(true)
	return true
}

// failed judges who is to blame for err and adds step and peer to it.
func (f *Forwarder) failed(t *try, step string, err error) error {
	var source *wire.SourceError
	switch {
	case errors.As(err, &source):
	case t.fresh:
		t.result.EndpointFailed = true
	case isTimeout(err):
		t.endpoint.Pool.Condemn(t.conn.Opened(), t.started)
	}
	return platform.WrapCall(step, t.endpoint.Addr.String(), err)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// receive judges the answer's header and relays the answer.
func (f *Forwarder) receive(t *try) error {
	r := t.request
	h := &t.answer.Header
	peer := t.endpoint.Addr.String()
	t.result.Leaving = string(h.Peek(header.Leaving)) == "true"
	position, err := header.ParsePosition(string(h.Peek(header.Position)))
	if err != nil {
		return f.failed(t, "read answer", err)
	}
	t.result.Position = position
	if t.body, err = t.conn.Body(t.answer, r.method == "HEAD"); err != nil {
		return f.failed(t, "read answer", err)
	}
	if err := t.conn.SetReadDeadline(r.deadline); err != nil {
		return f.failed(t, "read answer", err)
	}
	t.unrun = string(h.Peek(outcome.Header)) == string(outcome.NotRun)
	behind := r.position > 0 && position < r.position
	if behind || t.unrun {
		f.dropAnswer(t)
	}
	if behind {
		return platform.WrapCall("read answer", peer, errBehind)
	}
	if t.unrun {
		t.result.Overloaded = !t.result.Leaving
		return platform.WrapCall("read answer", peer, errNotRun)
	}
	if err := f.relay(t); err != nil {
		return f.failed(t, "read body of the answer", fmt.Errorf("answer truncated: %w", err))
	}
	return nil
}

// dropAnswer reads an answer that the caller does not get, so that the
// connection can be used again.
func (f *Forwarder) dropAnswer(t *try) {
	if t.body.Length() < 0 || t.body.Length() > inlineBytes {
		return
	}
	if _, err := io.Copy(io.Discard, t.body); err != nil {
		return
	}
	t.kept = true
	f.giveBack(t)
}
