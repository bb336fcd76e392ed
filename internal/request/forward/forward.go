// Package forward carries one request from a caller to an endpoint and the
// answer back.
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
	// hostLimit bounds the requests in progress on this host.
	hostLimit = 4096
	// hostQueueMax bounds the requests that wait for room on this host.
	hostQueueMax = 1024
	// Bounds of the time that a request waits for its turn.
	criticalQueueWait = 500 * time.Millisecond
	mayWaitQueueWait  = 2 * time.Second
	// queuePart of a request's time is the most that it waits for its turns
	// together.
	queuePart = 2
	// overloadRetryAfter is told to callers that were refused for overload.
	overloadRetryAfter = time.Second
)

// Config describes a forwarder.
type Config struct {
	Registry *routing.Registry
	Now      func() time.Time
	// Keys are the keys of session tokens.
	Keys *session.Keys
	// Coordinator makes requests with an idempotency key run once. Nil passes
	// the key on without a look.
	Coordinator *idempotency.Coordinator
	// RetryUnknown sends a request again although it may have run. It exists
	// to show that the checks notice it.
	RetryUnknown bool
}

// Forwarder forwards requests to the endpoints of a registry. It is safe for
// concurrent use.
type Forwarder struct {
	config   Config
	registry *routing.Registry
	now      func() time.Time
	host     *admission.Gate
	rands    sync.Pool
	draining atomic.Bool
	// drained is closed when the forwarder starts draining.
	drained  chan struct{}
	inFlight atomic.Int64
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	return &Forwarder{
		config: c, registry: c.Registry, now: c.Now,
		host:    admission.NewGate(hostLimit, hostQueueMax),
		drained: make(chan struct{}),
		rands: sync.Pool{New: func() any {
			return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}},
	}
}

// Update makes t the directory in force.
func (f *Forwarder) Update(t *directory.Table) { f.registry.Update(t, f.now()) }

// Drain ends watches at their next message and asks callers to leave their
// connections. Requests are still served.
func (f *Forwarder) Drain() {
	if f.draining.CompareAndSwap(false, true) {
		close(f.drained)
	}
}

// Draining reports whether Drain was called.
func (f *Forwarder) Draining() bool { return f.draining.Load() }

// InFlight returns the number of requests in progress.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// Handle forwards a request for /svc/<service>/<path>.
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
	r, err := f.read(c)
	if err != nil {
		return err
	}
	r.service.Budget.Deposit()
	return f.runKeyed(r)
}

// admit waits for room on this host and runs r.
func (f *Forwarder) admit(r *request) error {
	if err := f.enter(f.host, r); err != nil {
		return err
	}
	defer r.releaseAll()
	return f.run(r)
}

// enter waits for room at g. All waits of a request end at the same time, so
// that a refusal comes well before the deadline.
func (f *Forwarder) enter(g *admission.Gate, r *request) error {
	wait := criticalQueueWait
	if r.service.MayWait() {
		wait = mayWaitQueueWait
	}
	now := f.now()
	if r.queueUntil.IsZero() {
		r.queueUntil = now.Add(min(wait, r.left(now)/queuePart))
	}
	if err := g.Enter(r.service.Level(), r.queueUntil.Sub(now)); err != nil {
		return outcome.New(503, r.fate(), outcome.Overload, "service %s: %w", r.service.Name, err).
			WithRetryAfter(overloadRetryAfter)
	}
	r.hold(g)
	return nil
}

// run tries endpoints until the request is answered or must not be tried
// again.
func (f *Forwarder) run(r *request) error {
	for {
		err := f.tryOnce(r)
		if err == nil {
			return nil
		}
		if errors.Is(err, errBehind) {
			if f.waitForPosition(r) {
				continue
			}
			return notReached(r, err)
		}
		if !f.mayRetry(r) {
			return r.refusal(err, f.now())
		}
	}
}

func (f *Forwarder) mayRetry(r *request) bool {
	state := r.state(f.now())
	if f.config.RetryUnknown {
		state.Safe = true
	}
	if !state.Allowed() || r.final {
		return false
	}
	return r.service.Budget.Withdraw()
}

// tryOnce gets the turn of the service, chooses an endpoint and sends the
// request to it.
func (f *Forwarder) tryOnce(r *request) error {
	if !r.service.Available(f.now()) {
		r.final = true
		return outcome.New(503, r.fate(), outcome.NoEndpoint, "service %s has no endpoint", r.service.Name).
			WithRetryAfter(overloadRetryAfter)
	}
	if err := f.enter(r.service.Gate, r); err != nil {
		r.final = true
		return err
	}
	defer r.release(r.service.Gate)
	e := f.choose(r)
	if e == nil {
		r.final = true
		return outcome.New(503, r.fate(), outcome.Overload, "service %s has no free endpoint", r.service.Name).
			WithRetryAfter(overloadRetryAfter)
	}
	r.tries++
	return f.send(r, e)
}

// choose prefers endpoints that have not failed this request and have reached
// the position that the caller has seen.
func (f *Forwarder) choose(r *request) *routing.Endpoint {
	rnd := f.rands.Get().(*rand.Rand)
	defer f.rands.Put(rnd)
	need := &r.need
	need.Now = f.now()
	need.Position = r.position
	if e := r.service.Choose(need, rnd); e != nil {
		return e
	}
	need.Position = 0
	return r.service.Choose(need, rnd)
}
