// Package forward is the reverse proxy of an entry host: it forwards a request from
// a caller to an endpoint of a service, with admission control and retries, and
// relays the response.
package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/request/admission"
	"github.com/siskinvane/siskinvane/internal/request/idempotency"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
	"github.com/siskinvane/siskinvane/internal/request/routing"
	"github.com/siskinvane/siskinvane/internal/request/session"
)

const (
	// maxHostInFlight bounds the requests in progress on this host.
	maxHostInFlight = 4096
	// maxHostQueued bounds the requests that are queued on this host.
	maxHostQueued = 1024
	// Bounds of the time that a request is queued, by admission level.
	maxCriticalQueueWait = 500 * time.Millisecond
	maxMayWaitQueueWait  = 2 * time.Second
	// All waits for admission together take at most 1/queueWaitDivisor of a
	// request's remaining time.
	queueWaitDivisor = 2
	// overloadRetryAfter is the Retry-After of refusals because of overload or
	// missing endpoints.
	overloadRetryAfter = time.Second
)

// Config configures a Forwarder.
type Config struct {
	Registry *routing.Registry
	Now      func() time.Time
	// Keys holds the keys that sign session tokens.
	Keys *session.Keys
	// Coordinator ensures that requests with an idempotency key run at most
	// once. If it is nil, the key is forwarded and otherwise ignored.
	Coordinator *idempotency.Coordinator
	// RetryUnknown disables the protection against running a request twice: it
	// retries requests that may have run. It is a planted fault that shows
	// that the checks detect duplicate runs.
	RetryUnknown bool
}

// Forwarder forwards requests to the endpoints of a registry. It is safe for
// concurrent use.
type Forwarder struct {
	config   Config
	registry *routing.Registry
	now      func() time.Time
	hostGate *admission.Gate
	randPool sync.Pool
	draining atomic.Bool
	// drainStarted is closed when the forwarder starts to drain.
	drainStarted chan struct{}
	inFlight     atomic.Int64
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	return &Forwarder{
		config: c, registry: c.Registry, now: c.Now,
		hostGate:     admission.NewGate(maxHostInFlight, maxHostQueued),
		drainStarted: make(chan struct{}),
		randPool: sync.Pool{New: func() any {
			return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}},
	}
}

// Update replaces the current directory by t.
func (f *Forwarder) Update(t *directory.Table) { f.registry.Update(t, f.now()) }

// Drain ends watches after their last complete message and closes each caller's
// connection after its next response. Requests are still served.
func (f *Forwarder) Drain() {
	if f.draining.CompareAndSwap(false, true) {
		close(f.drainStarted)
	}
}

// Draining reports whether Drain was called.
func (f *Forwarder) Draining() bool { return f.draining.Load() }

// InFlight returns the number of requests in progress.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// Handle forwards a request for /svc/<service>/<path> and writes the response.
func (f *Forwarder) Handle(_ context.Context, c *app.RequestContext) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if err := f.handle(c); err != nil {
		outcome.FromError(err).Write(c)
	}
	if f.Draining() {
		c.Response.Header.SetConnectionClose(true)
	}
}

func (f *Forwarder) handle(c *app.RequestContext) error {
	r, err := f.parseRequest(c)
	if err != nil {
		return err
	}
	r.service.Budget.Deposit()
	return f.runWithKey(r)
}

// runAdmitted waits for admission on this host and runs r.
func (f *Forwarder) runAdmitted(r *request) error {
	if err := f.enterGate(f.hostGate, r); err != nil {
		return err
	}
	defer r.leaveGates()
	return f.runWithRetries(r)
}

// enterGate waits for admission at g. All waits of a request share one deadline, so
// that a refusal arrives well before the request's deadline.
func (f *Forwarder) enterGate(g *admission.Gate, r *request) error {
	wait := maxCriticalQueueWait
	if r.service.MayWait() {
		wait = maxMayWaitQueueWait
	}
	now := f.now()
	if r.queueDeadline.IsZero() {
		r.queueDeadline = now.Add(min(wait, r.timeLeft(now)/queueWaitDivisor))
	}
	if err := g.Enter(r.service.Level(), r.queueDeadline.Sub(now)); err != nil {
		return outcome.New(503, r.currentOutcome(), outcome.Overload, "service %s: %w", r.service.Name, err).
			WithRetryAfter(overloadRetryAfter)
	}
	r.addGate(g)
	return nil
}

// runWithRetries tries endpoints until the request is answered or must not be
// retried.
func (f *Forwarder) runWithRetries(r *request) error {
	for {
		err := f.tryOnce(r)
		if err == nil {
			return nil
		}
		if errors.Is(err, errPositionNotReached) {
			if f.waitForPosition(r) {
				continue
			}
			return positionRefusal(r, err)
		}
		if !f.mayRetry(r) {
			return r.refusal(err, f.now())
		}
	}
}

// mayRetry reports whether r may be retried. If so, it charges the retry budget.
func (f *Forwarder) mayRetry(r *request) bool {
	state := r.retryState(f.now())
	if f.config.RetryUnknown {
		state.Safe = true
	}
	if !state.Allowed() || r.noRetry {
		return false
	}
	return r.service.Budget.Withdraw()
}

// tryOnce waits for admission at the service, chooses an endpoint and sends the
// request to it.
func (f *Forwarder) tryOnce(r *request) error {
	if !r.service.Available(f.now()) {
		r.noRetry = true
		return outcome.New(503, r.currentOutcome(), outcome.NoEndpoint, "service %s has no endpoint", r.service.Name).
			WithRetryAfter(overloadRetryAfter)
	}
	if err := f.enterGate(r.service.Gate, r); err != nil {
		r.noRetry = true
		return err
	}
	defer r.leaveGate(r.service.Gate)
	e := f.chooseEndpoint(r)
	if e == nil {
		r.noRetry = true
		return outcome.New(503, r.currentOutcome(), outcome.Overload, "service %s has no free endpoint", r.service.Name).
			WithRetryAfter(overloadRetryAfter)
	}
	r.tries++
	return f.send(r, e)
}

// chooseEndpoint returns an endpoint that has not failed this request, or nil. It
// prefers endpoints known to have reached the position that the request needs.
func (f *Forwarder) chooseEndpoint(r *request) *routing.Endpoint {
	rng := f.randPool.Get().(*rand.Rand)
	defer f.randPool.Put(rng)
	constraints := &r.constraints
	constraints.Now = f.now()
	constraints.Position = r.minPosition
	if e := r.service.Choose(constraints, rng); e != nil {
		return e
	}
	constraints.Position = 0
	return r.service.Choose(constraints, rng)
}
