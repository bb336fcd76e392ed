package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/request/admission"
	"github.com/siskinvane/siskinvane/internal/request/retry"
)

const (
	// maxQueued bounds the queued requests of one service.
	maxQueued = 256
	// defaultTarget is the latency target of services that declare none.
	defaultTarget = time.Second
)

// endpointGroups holds the endpoints of a service inside and outside of this
// host's failure domain. A value is immutable.
type endpointGroups struct {
	local, remote []*Endpoint
}

// Service is one service with its endpoints. It is safe for concurrent use.
type Service struct {
	Name   platform.ServiceName
	Gate   *admission.Gate
	Budget *retry.Budget

	mayWait atomic.Bool
	// bound is the latency target in nanoseconds.
	bound  atomic.Int64
	groups atomic.Pointer[endpointGroups]
	// mu serializes ejections, so that concurrent ones do not exceed the
	// bound on ejected endpoints.
	mu sync.Mutex
}

func newService(name platform.ServiceName) *Service {
	s := &Service{Name: name, Gate: admission.NewGate(0, maxQueued), Budget: retry.NewBudget()}
	s.groups.Store(&endpointGroups{})
	return s
}

// MayWait reports whether the service's requests are refused first under overload.
func (s *Service) MayWait() bool { return s.mayWait.Load() }

func (s *Service) target() time.Duration {
	if bound := s.bound.Load(); bound > 0 {
		return time.Duration(bound)
	}
	return defaultTarget
}

// Level returns the admission level of the service's requests.
func (s *Service) Level() admission.Level {
	if s.MayWait() {
		return admission.MayWait
	}
	return admission.Critical
}

// Constraints restrict the choice of an endpoint for one try.
type Constraints struct {
	Now time.Time
	// Exclude lists endpoints that must not be chosen.
	Exclude []*Endpoint
	// Position is the position that the endpoint must have reached.
	Position uint64
}

// endpointView is the View of a group of endpoints under constraints.
type endpointView struct {
	endpoints   []*Endpoint
	constraints *Constraints
}

// Len implements View.
func (v endpointView) Len() int { return len(v.endpoints) }

// Candidate implements View.
func (v endpointView) Candidate(i int) Candidate {
	e := v.endpoints[i]
	for _, excluded := range v.constraints.Exclude {
		if excluded == e {
			return Candidate{}
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return Candidate{
		Expected: e.expected(v.constraints.Now),
		Usable:   e.usable(v.constraints.Now) && e.position >= v.constraints.Position,
	}
}

// Choose returns the endpoint for one try, or nil if none is usable.
func (s *Service) Choose(constraints *Constraints, rnd *rand.Rand) *Endpoint {
	g := s.groups.Load()
	local, remote := endpointView{g.local, constraints}, endpointView{g.remote, constraints}
	i, isRemote := Choose(local, remote, s.target(), rnd)
	switch {
	case i < 0:
		return nil
	case isRemote:
		return g.remote[i]
	}
	return g.local[i]
}

// Available reports whether any endpoint is neither retired nor ejected. All
// concurrency limits may be reached.
func (s *Service) Available(now time.Time) bool {
	g := s.groups.Load()
	for _, list := range [][]*Endpoint{g.local, g.remote} {
		for _, e := range list {
			if e.available(now) {
				return true
			}
		}
	}
	return false
}

// forEach calls f for each endpoint and returns the number of endpoints.
func (s *Service) forEach(f func(*Endpoint)) int {
	g := s.groups.Load()
	for _, e := range g.local {
		f(e)
	}
	for _, e := range g.remote {
		f(e)
	}
	return len(g.local) + len(g.remote)
}

// eject excludes e from new requests for its ejection time, unless too many
// endpoints of the service are ejected already. A slow start follows.
func (s *Service) eject(e *Endpoint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ejected := 0
	total := s.forEach(func(other *Endpoint) {
		other.mu.Lock()
		defer other.mu.Unlock()
		if now.Before(other.ejectedUntil) {
			ejected++
		}
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.ejectedUntil) || !CanEject(ejected, total) {
		return
	}
	e.ejections++
	e.failures = 0
	d := EjectionTime(e.ejections)
	e.ejectedUntil = now.Add(d)
	e.slowStartBegin = e.ejectedUntil
}

// retire excludes e from new requests permanently.
func (s *Service) retire(e *Endpoint) {
	if limit := e.markRetired(); limit > 0 {
		s.Gate.AddLimit(-limit)
	}
	e.Pool.Close()
}
