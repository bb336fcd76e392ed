package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinvane/siskinvane/internal/connection/pool"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/request/admission"
)

const (
	// defaultMaxConnections bounds the connections to a worker that declares no
	// bound.
	defaultMaxConnections = 64
	// leavingRetention is how long an endpoint is recorded as leaving after it
	// was removed from the directory, so that an older version of the directory
	// does not bring it back.
	leavingRetention = 10 * time.Minute
)

// endpointKey identifies an endpoint of one task attempt.
type endpointKey struct {
	platform.TaskAttempt
	addr string
}

// ShareFunc returns the number of connections that this host may have open to a
// worker that accepts maxConnections from all hosts together.
type ShareFunc func(maxConnections int64) int

// Registry holds the services and endpoints of the current directory. It is safe
// for concurrent use; Service takes no lock.
type Registry struct {
	domain platform.FailureDomain

	services atomic.Pointer[map[platform.ServiceName]*Service]

	mu        sync.Mutex
	endpoints map[endpointKey]*Endpoint
	workers   map[platform.WorkerID]*Worker
	leaving   map[endpointKey]time.Time
	share     ShareFunc
	table     *directory.Table
}

// NewRegistry returns an empty registry for a host in domain.
func NewRegistry(domain platform.FailureDomain, share ShareFunc) *Registry {
	r := &Registry{
		domain: domain, share: share,
		endpoints: map[endpointKey]*Endpoint{}, workers: map[platform.WorkerID]*Worker{},
		leaving: map[endpointKey]time.Time{}, table: &directory.Table{},
	}
	r.services.Store(&map[platform.ServiceName]*Service{})
	return r
}

// Service returns the named service, or nil.
func (r *Registry) Service(name platform.ServiceName) *Service {
	return (*r.services.Load())[name]
}

// OpenConnections returns the number of open connections to each worker.
func (r *Registry) OpenConnections() map[platform.WorkerID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := make(map[platform.WorkerID]int, len(r.workers))
	for id, w := range r.workers {
		open[id] = w.Open()
	}
	return open
}

// WithinShares reports whether the open connections to each worker are within this
// host's current share.
func (r *Registry) WithinShares() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		if w.Open() > w.Share() {
			return false
		}
	}
	return true
}

// Expire closes idle connections without a complete response since the given time.
func (r *Registry) Expire(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		e.Pool.Expire(since)
	}
}

// Update replaces the current directory by t.
func (r *Registry) Update(t *directory.Table, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table = t
	r.rebuild(now)
}

// Reshare recomputes the shares of connections with the share function.
func (r *Registry) Reshare(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rebuild(now)
}

// rebuild updates services, endpoints and workers from the table. The caller holds
// mu.
func (r *Registry) rebuild(now time.Time) {
	for k, since := range r.leaving {
		if now.Sub(since) > leavingRetention {
			delete(r.leaving, k)
		}
	}
	endpointsPerWorker := r.updateWorkers()
	old := *r.services.Load()
	services := make(map[platform.ServiceName]*Service, len(r.table.Services))
	listed := map[endpointKey]bool{}
	for i := range r.table.Services {
		d := &r.table.Services[i]
		s := old[d.Name]
		serviceIsNew := s == nil
		if serviceIsNew {
			s = newService(d.Name)
		}
		s.update(d)
		r.updateEndpoints(s, d, endpointsPerWorker, listed, serviceIsNew, now)
		services[d.Name] = s
	}
	r.services.Store(&services)
	r.removeUnlisted(listed, now)
}

// updateWorkers sets each worker's share and returns the number of endpoints per
// worker.
func (r *Registry) updateWorkers() map[platform.WorkerID]int {
	count := map[platform.WorkerID]int{}
	for i := range r.table.Services {
		for _, e := range r.table.Services[i].Endpoints {
			count[e.Worker]++
			r.updateWorker(e)
		}
	}
	return count
}

func (r *Registry) updateWorker(e directory.Endpoint) {
	capacity := e.MaxConnections
	if capacity <= 0 {
		capacity = defaultMaxConnections
	}
	share := r.share(capacity)
	w := r.workers[e.Worker]
	if w == nil {
		r.workers[e.Worker] = &Worker{Worker: pool.NewWorker(share)}
		return
	}
	w.SetShare(share)
}

func (r *Registry) updateEndpoints(
	s *Service, d *directory.Service, endpointsPerWorker map[platform.WorkerID]int, listed map[endpointKey]bool, serviceIsNew bool, now time.Time,
) {
	g := &endpointGroups{}
	limit := 0
	for _, dirEndpoint := range d.Endpoints {
		k := endpointKeyOf(dirEndpoint)
		listed[k] = true
		if dirEndpoint.Leaving {
			r.leaving[k] = now
		}
		e := r.endpoints[k]
		if _, left := r.leaving[k]; left {
			if e != nil {
				s.retire(e)
			}
			continue
		}
		if !dirEndpoint.Addr.IsValid() {
			continue
		}
		if e == nil {
			e = r.newEndpoint(s, dirEndpoint, serviceIsNew, now)
			r.endpoints[k] = e
		}
		if e.Retired() {
			r.leaving[k] = now
			continue
		}
		limit += e.setMaxLimit(max(1, r.workers[dirEndpoint.Worker].Share()/endpointsPerWorker[dirEndpoint.Worker]))
		if dirEndpoint.Domain == r.domain {
			g.local = append(g.local, e)
		} else {
			g.remote = append(g.remote, e)
		}
	}
	s.groups.Store(g)
	s.Gate.SetLimit(limit)
}

func (r *Registry) newEndpoint(s *Service, dirEndpoint directory.Endpoint, serviceIsNew bool, now time.Time) *Endpoint {
	w := r.workers[dirEndpoint.Worker]
	e := &Endpoint{
		Endpoint: dirEndpoint, Pool: w.NewPool(), service: s, worker: w,
		latency: initialLatency, limit: admission.NewLimit(w.Share()),
	}
	if !serviceIsNew {
		e.slowStartBegin = now
	}
	return e
}

// removeUnlisted removes endpoints that are not in the directory, and workers
// without endpoints once their connections are closed.
func (r *Registry) removeUnlisted(listed map[endpointKey]bool, now time.Time) {
	used := map[platform.WorkerID]bool{}
	for k, e := range r.endpoints {
		if listed[k] {
			used[e.Worker] = true
			continue
		}
		if e.Retired() {
			r.leaving[k] = now
		}
		e.Pool.Close()
		e.markRetired()
		delete(r.endpoints, k)
	}
	for id, w := range r.workers {
		if !used[id] && w.Open() == 0 {
			delete(r.workers, id)
		}
	}
}

func endpointKeyOf(e directory.Endpoint) endpointKey {
	return endpointKey{TaskAttempt: platform.TaskAttempt{Task: e.Task, Attempt: e.Attempt}, addr: e.Addr.String()}
}

func (s *Service) update(d *directory.Service) {
	s.mayWait.Store(d.MayWait)
	s.bound.Store(int64(d.Bound))
}

// setMaxLimit sets the upper bound of the concurrency limit and returns the limit.
func (e *Endpoint) setMaxLimit(limit int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit.SetMax(limit)
	return e.limit.Value()
}
