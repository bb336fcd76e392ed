package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinvane/siskinvane/internal/connection/pool"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/request/admission"
)

const (
	// latencySmoothing is the weight of a new sample in the moving average.
	latencySmoothing = 0.1
	// initialLatency is the assumed latency of an endpoint that has not
	// responded yet.
	initialLatency = time.Millisecond
	// pressurePercent is the percentage of its latency target above which the
	// latency of urgent work puts its worker under pressure. While a worker is
	// under pressure, the limits of work that may wait there are cut.
	pressurePercent = 25
	// pressureDuration is how long a worker stays under pressure after the
	// last such response.
	pressureDuration = time.Second
)

// Worker is this host's state of one worker.
type Worker struct {
	*pool.Worker
	// pressureUntil is the end of the pressure by urgent work, as a Unix time in
	// nanoseconds.
	pressureUntil atomic.Int64
}

// Endpoint is one endpoint with this host's estimates of its load and health. It
// is safe for concurrent use.
type Endpoint struct {
	directory.Endpoint
	Pool    *pool.Pool
	service *Service
	worker  *Worker

	mu       sync.Mutex
	latency  time.Duration
	inFlight int
	limit    admission.Limit
	// slowStartBegin is zero for endpoints without slow start.
	slowStartBegin time.Time
	failures       int
	ejections      int
	ejectedUntil   time.Time
	retired        bool
	position       uint64
}

// Result is the result of one try.
type Result struct {
	Now     time.Time
	Latency time.Duration
	// Answered is set if a complete response arrived.
	Answered bool
	// EndpointFailed is set if the endpoint itself failed, rather than a
	// connection that was opened for an earlier request.
	EndpointFailed bool
	// Overloaded is set if the endpoint refused to run the request, or if this
	// host has no free connection to its worker.
	Overloaded bool
	// Leaving is set if the endpoint responded that it accepts no new requests.
	Leaving bool
	// Position is the position that the endpoint reported, or zero.
	Position uint64
}

// Begin accounts for the start of a try.
func (e *Endpoint) Begin() {
	e.mu.Lock()
	e.inFlight++
	e.mu.Unlock()
}

// End accounts for the end of a try.
func (e *Endpoint) End(r Result) {
	e.mu.Lock()
	before := e.limit.Value()
	e.observe(r)
	e.inFlight--
	delta := e.limit.Value() - before
	eject := r.EndpointFailed && e.failures >= ejectAfterFailures
	e.mu.Unlock()
	if r.Leaving {
		e.service.retire(e)
	}
	if eject {
		e.service.eject(e, r.Now)
	}
	if delta != 0 {
		e.service.Gate.AddLimit(delta)
	}
}

// observe updates the estimates from the result of a try. The caller holds mu.
func (e *Endpoint) observe(r Result) {
	if r.EndpointFailed {
		e.failures++
	}
	if r.Position > e.position {
		e.position = r.Position
	}
	if !r.Answered {
		return
	}
	e.failures = 0
	e.ejections = 0
	e.latency += time.Duration(latencySmoothing * float64(r.Latency-e.latency))
	e.limit.Observe(admission.Sample{
		Now: r.Now, Latency: r.Latency, Target: e.service.target(), InFlight: e.inFlight,
		Overloaded: r.Overloaded || e.service.MayWait() && e.worker.underPressure(r.Now),
	})
	if !e.service.MayWait() && r.Latency*100 > e.service.target()*pressurePercent {
		e.worker.pressureUntil.Store(r.Now.Add(pressureDuration).UnixNano())
	}
}

func (w *Worker) underPressure(now time.Time) bool { return now.UnixNano() < w.pressureUntil.Load() }

// Expected returns the expected latency of the next request.
func (e *Endpoint) Expected(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expected(now)
}

// expected implements Expected. The caller holds mu.
func (e *Endpoint) expected(now time.Time) time.Duration {
	limit := max(e.limit.Value(), 1)
	queued := e.latency + e.latency*time.Duration(e.inFlight)/time.Duration(limit)
	if e.slowStartBegin.IsZero() {
		return queued
	}
	return queued * 100 / time.Duration(slowStartPercentAt(now.Sub(e.slowStartBegin)))
}

// Usable reports whether the endpoint may get a request now.
func (e *Endpoint) Usable(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usable(now)
}

// usable implements Usable. The caller holds mu.
func (e *Endpoint) usable(now time.Time) bool {
	return !e.retired && e.inFlight < e.limit.Value() && !now.Before(e.ejectedUntil)
}

// available reports whether the endpoint is neither retired nor ejected. Its
// concurrency limit may be reached.
func (e *Endpoint) available(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.retired && !now.Before(e.ejectedUntil)
}

// InFlight returns the number of tries in progress.
func (e *Endpoint) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// Position returns the highest position that the endpoint has reported.
func (e *Endpoint) Position() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.position
}

// Retired reports whether the endpoint must never get another request.
func (e *Endpoint) Retired() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retired
}

// markRetired marks the endpoint as retired. It returns the concurrency limit that
// the service loses, or 0 if the endpoint was retired already.
func (e *Endpoint) markRetired() (limit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.retired {
		return 0
	}
	e.retired = true
	return e.limit.Value()
}
