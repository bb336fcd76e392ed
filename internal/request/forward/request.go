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
	// MaxBodyBytes bounds the size of a request's body.
	MaxBodyBytes = 64 << 20
	// maxReplayBytes bounds the size of bodies that are buffered for retries.
	maxReplayBytes = 64 << 10
)

// request is the state of one request of a caller.
type request struct {
	c       *app.RequestContext
	service *routing.Service
	method  string
	// target is the path and query in the request to the endpoint.
	target   []byte
	id       string
	deadline time.Time
	// minPosition is the position that an endpoint must have reached to answer
	// the request; zero if any endpoint may answer it.
	minPosition uint64
	// sessionPosition is the position in the caller's session token.
	sessionPosition uint64
	// queueDeadline bounds the waits for admission; zero before the first one.
	queueDeadline time.Time
	// positionDeadline bounds the wait for an endpoint at minPosition; zero
	// before the wait.
	positionDeadline time.Time

	// body is the whole body unless stream is set.
	body   []byte
	stream *callerBody
	length int64

	// tries, mayHaveRun and noRetry are the results of the tries so far;
	// noRetry is set if a further try cannot help.
	tries       int
	mayHaveRun  bool
	noRetry     bool
	constraints routing.Constraints
	gates       []*admission.Gate

	// keyed is set if the answer must be recorded for repeats.
	keyed          bool
	recordedAnswer *idempotency.Answer
}

// addGate records that g admitted the request.
func (r *request) addGate(g *admission.Gate) { r.gates = append(r.gates, g) }

// leaveGate leaves g unless the request has left it already.
func (r *request) leaveGate(g *admission.Gate) {
	for i, held := range r.gates {
		if held == g {
			r.gates = append(r.gates[:i], r.gates[i+1:]...)
			g.Leave()
			return
		}
	}
}

// leaveGates leaves all gates that admitted the request.
func (r *request) leaveGates() {
	for _, g := range r.gates {
		g.Leave()
	}
	r.gates = nil
}

// parseRequest validates the caller's request and prepares it for the first try.
func (f *Forwarder) parseRequest(c *app.RequestContext) (*request, error) {
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

// checkMessage returns an error for messages that cannot be forwarded unambiguously.
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

// splitTarget splits /svc/<service>/<path>?<query> into the service and the target
// for the endpoint. It keeps the path's encoding.
func splitTarget(uri []byte) (name string, target []byte, ok bool) {
	rest, ok := bytes.CutPrefix(uri, []byte(servicePrefix))
	if !ok {
		return "", nil, false
	}
	nameLen := bytes.IndexAny(rest, "/?")
	if nameLen < 0 {
		nameLen = len(rest)
	}
	if nameLen == 0 {
		return "", nil, false
	}
	path := rest[nameLen:]
	if len(path) == 0 || path[0] == '?' {
		path = append([]byte{'/'}, path...)
	}
	return string(rest[:nameLen]), path, true
}

// readBody buffers a small body; a larger one, or one of unknown length, is left as a
// stream.
func (r *request) readBody() error {
	r.length = int64(r.c.Request.Header.ContentLength())
	if r.length > MaxBodyBytes {
		return outcome.New(413, outcome.NotRun, outcome.TooLarge, "body of %d bytes, at most %d", r.length, MaxBodyBytes)
	}
	if r.length == 0 || r.length < -1 {
		r.length = 0
		return nil
	}
	stream := &callerBody{r: r.c.Request.BodyStream(), remaining: MaxBodyBytes}
	if r.length > 0 {
		stream.r = io.LimitReader(stream.r, r.length)
	}
	if r.length < 0 || r.length > maxReplayBytes {
		r.stream = stream
		return nil
	}
	r.body = make([]byte, r.length)
	if _, err := io.ReadFull(stream, r.body); err != nil {
		return outcome.New(400, outcome.NotRun, outcome.BadRequest, "read body of the caller: %w", err)
	}
	return nil
}

// callerBody is a streamed request body with a bound on its size.
type callerBody struct {
	r         io.Reader
	remaining int64
	// started is set by the first read; from then on the body cannot be sent
	// again.
	started bool
}

var errBodyTooLarge = fmt.Errorf("body is larger than %d bytes", MaxBodyBytes)

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.started = true
	n, err := b.r.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

func (r *request) timeLeft(now time.Time) time.Duration { return r.deadline.Sub(now) }

// retryState returns the state that decides about a retry.
func (r *request) retryState(now time.Time) retry.State {
	return retry.State{
		Safe:       retry.Safe(r.method),
		MayHaveRun: r.mayHaveRun,
		Replayable: r.stream == nil || !r.stream.started,
		Tries:      r.tries,
		TimeLeft:   r.timeLeft(now),
	}
}

// currentOutcome returns the outcome if the request is abandoned now.
func (r *request) currentOutcome() outcome.Outcome {
	if r.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// refusal returns the response to the caller if the request is abandoned because of
// err.
func (r *request) refusal(err error, now time.Time) error {
	var existing *outcome.Refusal
	if errors.As(err, &existing) {
		existing.Outcome = r.currentOutcome()
		return existing
	}
	refusal := &outcome.Refusal{Status: 502, Outcome: r.currentOutcome(), Reason: outcome.EndpointFailed, Err: err}
	var source *wire.SourceError
	switch {
	case errors.As(err, &source):
		refusal.Status, refusal.Reason = 400, outcome.BadRequest
	case r.timeLeft(now) <= 0:
		refusal.Status, refusal.Reason = 504, outcome.Deadline
	}
	if refusal.Outcome == outcome.NotRun && refusal.Status >= 500 {
		refusal.Status = 503
		refusal.RetryAfter = overloadRetryAfter
	}
	return refusal
}

// encodeHead returns the request line and the header for the endpoint.
func (r *request) encodeHead(timeLeft time.Duration) []byte {
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
	b = appendText(b, header.Timeout, header.FormatTimeout(timeLeft))
	b = appendText(b, header.RequestID, r.id)
	if r.minPosition > 0 {
		b = appendText(b, header.ReadPosition, header.FormatPosition(r.minPosition))
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
