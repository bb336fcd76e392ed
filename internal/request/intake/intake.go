// Package intake serves the job requests of callers over HTTP. It finds the queue
// of a request by host and path prefix, and submits, queries and cancels jobs.
package intake

import (
	"context"
	"errors"
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
	config := s.declarations(ctx, c)
	if config == nil {
		event.JobRefused.Log(s.logger, logrus.Fields{"path": string(c.Path()), "reason": "no declarations yet"})
		ctx, cancel := context.WithTimeout(ctx, s.timeout(c, nil))
		defer cancel()
		s.retryLater(ctx, c, s.node.Undeclared())
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

// declarations returns those in force, or nil if there are none in time. A caller waits for half of
// its time at most, so that it can return.
func (s *Server) declarations(ctx context.Context, c *app.RequestContext) *queue.Config {
	if config := s.node.Queues(); config != nil {
		return config
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout(c, nil)/2)
	defer cancel()
	return s.node.AwaitQueues(ctx)
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
// timeout of the queue if there is one. q may be nil.
func (s *Server) timeout(c *app.RequestContext, q *queue.Queue) time.Duration {
	timeout := s.codec.RequestTimeout(func(name string) string { return string(c.GetHeader(name)) })
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q != nil && q.Timeout > 0 {
		timeout = min(timeout, q.Timeout)
	}
	return timeout
}

// expectedOutage returns how long the store is expected to stay away when an attempt has failed
// with err: for as long again as it has been.
func (s *Server) expectedOutage(err error) time.Duration {
	var away *node.AwayError
	if errors.As(err, &away) {
		return away.Lasted
	}
	return s.node.Outage()
}

// refuseInvalid answers that a request is invalid, with err as the body.
func (s *Server) refuseInvalid(c *app.RequestContext, id job.ID, err error) {
	event.JobInvalid.Log(s.logger, logrus.Fields{"job": id, "error": err})
	c.String(400, err.Error())
}

// stateUnavailable answers that the state of a job is not available now, and when to
// retry.
func (s *Server) stateUnavailable(ctx context.Context, c *app.RequestContext, id job.ID, err error) {
	event.StateUnanswered.Log(s.logger, logrus.Fields{"job": id, "error": err})
	s.retryLater(ctx, c, s.expectedOutage(err))
}

// retryLater answers that the request had no effect. It can be served after the expected delay.
func (s *Server) retryLater(ctx context.Context, c *app.RequestContext, expected time.Duration) {
	setRetryAfter(ctx, c, expected)
	c.SetStatusCode(503)
}

// setRetryAfter tells the caller of a request, which waits until ctx is done, when to return.
func setRetryAfter(ctx context.Context, c *app.RequestContext, expected time.Duration) {
	deadline, _ := ctx.Deadline()
	c.Response.Header.Set("Retry-After", strconv.Itoa(retryAfter(expected, time.Until(deadline), rand.Float64())))
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
		setRetryAfter(ctx, c, s.expectedOutage(err))
		c.SetStatusCode(504)
	case errors.As(err, &refused):
		s.retryLater(ctx, c, refused.RetryAfter)
	default:
		s.retryLater(ctx, c, s.expectedOutage(err))
	}
}

func (s *Server) countPending(ctx context.Context, c *app.RequestContext, q queue.Name) {
	n, err := s.node.Pending(ctx, q)
	if err != nil {
		event.CountUnanswered.Log(s.logger, logrus.Fields{"queue": q, "error": err})
		s.retryLater(ctx, c, s.expectedOutage(err))
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
		s.stateUnavailable(ctx, c, id, err)
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
		s.stateUnavailable(ctx, c, id, err)
	}
}
