// Package intake serves the job requests of callers over HTTP. It finds the queue
// of a request by host and path prefix, and submits, queries and cancels jobs.
package intake

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/node"
	"github.com/siskinvane/siskinvane/internal/process/web"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// Codec converts between the bodies and headers of callers' requests and the types
// of the scheduler.
type Codec interface {
	DecodeJob(body []byte) (job.Spec, error)
	EncodeState(s job.State) []byte
	EncodePending(count int) []byte
	// RequestTimeout returns how long the caller waits for a response, or zero if it
	// states no time. It reads header fields through header.
	RequestTimeout(header func(string) string) time.Duration
}

// Server serves callers' requests on one address.
type Server struct {
	node   *node.Node
	codec  Codec
	logger *logrus.Logger
	web    *web.Server
}

// Start starts a server on addr that passes requests on to n. Callers that g turns away do
// not reach it.
func Start(addr netip.AddrPort, n *node.Node, codec Codec, logger *logrus.Logger, g web.Guard) (*Server, error) {
	w, err := web.ListenGuarded(addr, g)
	if err != nil {
		return nil, err
	}
	s := &Server{node: n, codec: codec, logger: logger, web: w}
	w.Any("/*path", s.serve)
	w.Start()
	return s, nil
}

// Stop stops the server after the requests in progress have finished or ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.web.Stop(ctx) }

const contentType = "application/json"

// serve handles one request.
func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	config := s.node.Queues()
	if config == nil {
		event.JobRefused.Log(s.logger, logrus.Fields{"path": string(c.Path()), "reason": "no declarations yet"})
		s.retryLater(c, time.Second)
		return
	}
	path := string(c.Path())
	q := config.Find(hostOf(c), path)
	if q == nil {
		c.SetStatusCode(404)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout(c, q))
	defer cancel()
	rest := strings.TrimPrefix(path, q.Prefix)
	if rest == "" && string(c.Method()) == "GET" {
		s.countPending(ctx, c, q.Name)
		return
	}
	id, err := job.ParseID(rest)
	if err != nil {
		s.refuseInvalid(c, "", err)
		return
	}
	switch string(c.Method()) {
	case "POST":
		s.submit(ctx, c, q, id)
	case "GET":
		s.queryState(ctx, c, id)
	case "DELETE":
		s.cancel(ctx, c, id)
	default:
		c.SetStatusCode(405)
	}
}

// hostOf returns the host that the caller addressed, without a port.
func hostOf(c *app.RequestContext) string {
	host := string(c.Host())
	if i := strings.IndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}

// defaultTimeout bounds a request whose caller states no time.
const defaultTimeout = 3 * time.Second

// timeout returns the time that the request may take: the caller's, bounded by the
// queue's timeout if there is one.
func (s *Server) timeout(c *app.RequestContext, q *queue.Queue) time.Duration {
	timeout := s.codec.RequestTimeout(func(name string) string { return string(c.GetHeader(name)) })
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q.Timeout > 0 {
		timeout = min(timeout, q.Timeout)
	}
	return timeout
}

// refuseOverload answers that a job was not accepted. It adds 0 or 1 s at random to
// Retry-After, to spread the retries of callers over a second.
func (s *Server) refuseOverload(c *app.RequestContext, r *node.RefusedError) {
	c.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))+rand.IntN(2)))
	c.SetStatusCode(503)
}

// maxRetryAfter bounds the Retry-After of an outage.
const maxRetryAfter = 5 * time.Second

// retryAfter returns the delay after which callers retry during an outage. It equals
// the time that the outage has lasted, between 1 s and maxRetryAfter, so that it
// doubles with each retry of a caller.
func retryAfter(outage time.Duration) time.Duration {
	return min(maxRetryAfter, max(time.Second, outage))
}

// refuseInvalid answers that a request is invalid, with err as the body.
func (s *Server) refuseInvalid(c *app.RequestContext, id job.ID, err error) {
	event.JobInvalid.Log(s.logger, logrus.Fields{"job": id, "error": err})
	c.String(400, err.Error())
}

// stateUnavailable answers that the state of a job is not available now, and when to
// retry.
func (s *Server) stateUnavailable(c *app.RequestContext, id job.ID, err error) {
	event.StateUnanswered.Log(s.logger, logrus.Fields{"job": id, "error": err})
	s.retryLater(c, retryAfter(s.node.Outage()))
}

// retryLater answers that the request had no effect and can be retried after delay.
func (s *Server) retryLater(c *app.RequestContext, delay time.Duration) {
	setRetryAfter(c, delay)
	c.SetStatusCode(503)
}

func setRetryAfter(c *app.RequestContext, delay time.Duration) {
	c.Response.Header.Set("Retry-After", strconv.Itoa(int(delay.Round(time.Second)/time.Second)))
}

// submit accepts a job. It answers 504 if the outcome is unknown, and 503 if the job was
// not accepted, both with Retry-After.
func (s *Server) submit(ctx context.Context, c *app.RequestContext, q *queue.Queue, id job.ID) {
	spec, err := s.codec.DecodeJob(c.Request.Body())
	if err != nil {
		s.refuseInvalid(c, id, err)
		return
	}
	err = s.node.Submit(ctx, id, &job.Submission{
		Queue: q.Name, Service: q.Service, Priority: q.Priority, MaxFailures: q.MaxFailures,
		Stretch: q.Stretch, TargetMS: q.Target.Milliseconds(), AcceptedMS: time.Now().UnixMilli(), Spec: spec,
	})
	var refused *node.RefusedError
	switch {
	case err == nil:
		c.SetStatusCode(200)
	case node.OutcomeUnknown(err):
		setRetryAfter(c, retryAfter(s.node.Outage()))
		c.SetStatusCode(504)
	case errors.As(err, &refused):
		s.refuseOverload(c, refused)
	default:
		s.retryLater(c, retryAfter(s.node.Outage()))
	}
}

func (s *Server) countPending(ctx context.Context, c *app.RequestContext, q queue.Name) {
	n, err := s.node.Pending(ctx, q)
	if err != nil {
		event.CountUnanswered.Log(s.logger, logrus.Fields{"queue": q, "error": err})
		s.retryLater(c, retryAfter(s.node.Outage()))
		return
	}
	c.Data(200, contentType, s.codec.EncodePending(n))
}

func (s *Server) queryState(ctx context.Context, c *app.RequestContext, id job.ID) {
	state, err := s.node.State(ctx, id)
	switch {
	case err == nil:
		c.Data(200, contentType, s.codec.EncodeState(state))
	case errors.Is(err, node.ErrUnknownJob):
		c.SetStatusCode(410)
	default:
		s.stateUnavailable(c, id, err)
	}
}

func (s *Server) cancel(ctx context.Context, c *app.RequestContext, id job.ID) {
	err := s.node.Cancel(ctx, id)
	switch {
	case err == nil:
		c.SetStatusCode(200)
	case errors.Is(err, node.ErrUnknownJob):
		c.SetStatusCode(410)
	default:
		s.stateUnavailable(c, id, err)
	}
}
