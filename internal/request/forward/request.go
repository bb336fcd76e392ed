package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"
	"github.com/siskinvane/siskinvane/internal/connection/wire"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/request/admission"
	"github.com/siskinvane/siskinvane/internal/request/header"
	"github.com/siskinvane/siskinvane/internal/request/idempotency"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
	"github.com/siskinvane/siskinvane/internal/request/retry"
	"github.com/siskinvane/siskinvane/internal/request/routing"
)

const (
	servicePrefix = "/svc/"
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 64 << 20
	// replayBytes bounds the bodies that are held to be sent again.
	replayBytes = 64 << 10
)

// request is one request of a caller on its way.
type request struct {
	c       *app.RequestContext
	service *routing.Service
	method  string
	// target is the path and query that the endpoint gets.
	target   []byte
	id       string
	deadline time.Time
	// position is the lowest position that may answer a read.
	position uint64
	// seen is the position that the caller's session token names.
	seen uint64
	// queueUntil ends the waits for a turn.
	queueUntil time.Time
	// waitUntil ends the wait for that position.
	waitUntil time.Time

	// body is the whole body unless stream is set.
	body   []byte
	stream *callerBody
	length int64

	// tries, mayHaveRun and final tell what became of the request so far;
	// final is set when no further try can help.
	tries      int
	mayHaveRun bool
	final      bool
	need       routing.Constraints
	held       []*admission.Gate

	// keyed is set when the answer has to be kept for repeats.
	keyed  bool
	answer *idempotency.Answer
}

// hold records that the request was admitted by g.
func (r *request) hold(g *admission.Gate) { r.held = append(r.held, g) }

// release leaves g, if the request still holds it.
func (r *request) release(g *admission.Gate) {
	for i, held := range r.held {
		if held == g {
			r.held = append(r.held[:i], r.held[i+1:]...)
			g.Leave()
			return
		}
	}
}

// releaseAll leaves every gate.
func (r *request) releaseAll() {
	for _, g := range r.held {
		g.Leave()
	}
	r.held = nil
}

// read checks the caller's request and prepares it for the first try.
func (f *Forwarder) read(c *app.RequestContext) (*request, error) {
	now := f.now()
	if err := checkMessage(c); err != nil {
		c.Response.Header.SetConnectionClose(true)
		return nil, outcome.New(400, outcome.NotRun, outcome.BadRequest, "request: %w", err)
	}
	name, target, ok := splitTarget(c.Request.Header.RequestURI())
	if !ok {
		return nil, outcome.New(404, outcome.NotRun, outcome.UnknownService, "want /svc/<service>/<path>")
	}
	timeout, err := header.ParseTimeout(string(c.Request.Header.Peek(header.Timeout)))
	if err != nil {
		return nil, outcome.New(400, outcome.NotRun, outcome.BadRequest, "request: %w", err)
	}
	service := f.registry.Service(platform.ServiceName(name))
	if service == nil {
		return nil, outcome.New(404, outcome.NotRun, outcome.UnknownService, "service %s is not declared", name)
	}
	r := &request{
		c: c, service: service, method: string(c.Request.Header.Method()), target: target,
		id: requestID(c), deadline: now.Add(timeout),
	}
	if err := f.readSession(r); err != nil {
		return nil, err
	}
	return r, r.readBody()
}

func requestID(c *app.RequestContext) string {
	if id := c.Request.Header.Peek(header.RequestID); len(id) > 0 {
		return string(id)
	}
	return uuid.NewString()
}

// checkMessage refuses what cannot be forwarded without doubt.
func checkMessage(c *app.RequestContext) error {
	h := &c.Request.Header
	if err := header.CheckFraming(h.RawHeaders()); err != nil {
		return err
	}
	if len(h.Peek("Upgrade")) > 0 || h.IsConnect() {
		return header.ErrUpgrade
	}
	if !h.IsHTTP11() {
		return errors.New("want HTTP/1.1")
	}
	return nil
}

// splitTarget splits /svc/<service>/<path>?<query>. The path is passed on as
// it was written.
func splitTarget(uri []byte) (name string, target []byte, ok bool) {
	rest, ok := bytes.CutPrefix(uri, []byte(servicePrefix))
	if !ok {
		return "", nil, false
	}
	end := bytes.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	if end == 0 {
		return "", nil, false
	}
	tail := rest[end:]
	if len(tail) == 0 || tail[0] == '?' {
		tail = append([]byte{'/'}, tail...)
	}
	return string(rest[:end]), tail, true
}

// readBody holds a small body; a larger one stays a stream.
func (r *request) readBody() error {
	r.length = int64(r.c.Request.Header.ContentLength())
	if r.length > MaxBodyBytes {
		return outcome.New(413, outcome.NotRun, outcome.TooLarge, "body of %d bytes, at most %d", r.length, MaxBodyBytes)
	}
	if r.length == 0 || r.length < -1 {
		r.length = 0
		return nil
	}
	stream := &callerBody{r: r.c.Request.BodyStream(), left: MaxBodyBytes}
	if r.length > 0 {
		stream.r = io.LimitReader(stream.r, r.length)
	}
	if r.length < 0 || r.length > replayBytes {
		r.stream = stream
		return nil
	}
	r.body = make([]byte, r.length)
	if _, err := io.ReadFull(stream, r.body); err != nil {
		return outcome.New(400, outcome.NotRun, outcome.BadRequest, "read body of the caller: %w", err)
	}
	return nil
}

// callerBody is a streamed body with a bound on its size.
type callerBody struct {
	r    io.Reader
	left int64
	// begun is set once any byte was taken.
	begun bool
}

var errBodyTooLarge = fmt.Errorf("body is larger than %d bytes", MaxBodyBytes)

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.begun = true
	n, err := b.r.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

func (r *request) left(now time.Time) time.Duration { return r.deadline.Sub(now) }

// state returns what a decision about another try needs.
func (r *request) state(now time.Time) retry.State {
	return retry.State{
		Safe:       retry.Safe(r.method),
		MayHaveRun: r.mayHaveRun,
		Replayable: r.stream == nil || !r.stream.begun,
		Tries:      r.tries,
		TimeLeft:   r.left(now),
	}
}

// fate is the outcome when the request is given up now.
func (r *request) fate() outcome.Outcome {
	if r.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// refusal is the answer when the request is given up for err.
func (r *request) refusal(err error, now time.Time) error {
	var known *outcome.Refusal
	if errors.As(err, &known) {
		known.Outcome = r.fate()
		return known
	}
	refusal := &outcome.Refusal{Status: 502, Outcome: r.fate(), Reason: outcome.EndpointFailed, Err: err}
	var source *wire.SourceError
	switch {
	case errors.As(err, &source):
		refusal.Status, refusal.Reason = 400, outcome.BadRequest
	case r.left(now) <= 0:
		refusal.Status, refusal.Reason = 504, outcome.Deadline
	}
	if refusal.Outcome == outcome.NotRun && refusal.Status >= 500 {
		refusal.Status = 503
		refusal.RetryAfter = overloadRetryAfter
	}
	return refusal
}

// head returns the request line and header for the endpoint.
func (r *request) head(left time.Duration) []byte {
	h := &r.c.Request.Header
	b := make([]byte, 0, 512)
	b = append(append(append(b, r.method...), ' '), r.target...)
	b = append(b, " HTTP/1.1\r\n"...)
	hop := header.ReadHopByHop(h)
	h.VisitAll(func(key, value []byte) {
		if !hop.Contains(key) && !header.IsOwnRequestField(key) {
			b = appendField(b, key, value)
		}
	})
	b = appendText(b, "Via", "1.1 siskinvane")
	b = appendText(b, header.Timeout, header.FormatTimeout(left))
	b = appendText(b, header.RequestID, r.id)
	if r.position > 0 {
		b = appendText(b, header.ReadPosition, header.FormatPosition(r.position))
	}
	switch {
	case r.length < 0:
		b = appendText(b, "Transfer-Encoding", "chunked")
	case r.length > 0 || !retry.Safe(r.method):
		b = appendText(b, "Content-Length", fmt.Sprint(r.length))
	}
	return append(b, "\r\n"...)
}

func appendField(b, key, value []byte) []byte {
	b = append(append(b, key...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

func appendText(b []byte, key, value string) []byte {
	b = append(append(b, key...), ": "...)
	return append(append(b, value...), "\r\n"...)
}
