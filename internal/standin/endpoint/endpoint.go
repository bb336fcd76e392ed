// Package endpoint simulates an endpoint of a service for tests and benchmarks. It
// counts executions by request identifier and injects faults according to a plan.
// It speaks HTTP/1.1 on plain sockets, because a server library would not reset,
// stall or truncate on demand.
package endpoint

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// lateDelay is the delay of late answers.
const lateDelay = 150 * time.Millisecond

// Config describes an endpoint.
type Config struct {
	Addr netip.AddrPort
	// Plan returns the fault to inject into the next request; nil means none. Calls
	// of Plan are serialized.
	Plan func() Fault
	// Replica is the data that the endpoint serves. If nil, answers carry no
	// position.
	Replica *Replica
	// Executions records the executed requests; the endpoints of one service share it.
	Executions *Executions
	// ServiceTime is how long the execution of a request takes.
	ServiceTime time.Duration
	// Slots limits the requests that run at a time to its capacity; the endpoints of
	// one worker share it. Nil means no limit.
	Slots chan struct{}
}

// Server is a running endpoint. It is safe for concurrent use.
type Server struct {
	config  Config
	ln      net.Listener
	leaving atomic.Bool
	// lastRequestNanos is the arrival of the last request in Unix nanoseconds.
	lastRequestNanos atomic.Int64
	requestCount     atomic.Int64

	planMu sync.Mutex

	mu       sync.Mutex
	conns    map[*net.TCPConn]struct{}
	killed   bool
	lateRuns sync.WaitGroup
}

// Start starts an endpoint that listens on c.Addr.
func Start(c Config) (*Server, error) {
	ln, err := net.Listen("tcp", c.Addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", c.Addr, err)
	}
	s := &Server{config: c, ln: ln, conns: map[*net.TCPConn]struct{}{}}
	go s.accept()
	return s, nil
}

// Addr returns the address that the endpoint listens on.
func (s *Server) Addr() netip.AddrPort { return s.ln.Addr().(*net.TCPAddr).AddrPort() }

// SetLeaving makes the endpoint announce in each answer that it is leaving and accepts no
// new requests.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// LastRequestAt returns when the last request arrived.
func (s *Server) LastRequestAt() time.Time { return time.Unix(0, s.lastRequestNanos.Load()) }

// Begun returns the number of requests that have arrived.
func (s *Server) Begun() int64 { return s.requestCount.Load() }

// OpenConnections returns the number of open client connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Kill closes the listener and resets all connections.
func (s *Server) Kill() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = true
	for c := range s.conns {
		reset(c)
	}
}

// WaitForLateRuns waits until the requests with fault LateRun have been executed.
func (s *Server) WaitForLateRuns() { s.lateRuns.Wait() }

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		tcp := c.(*net.TCPConn)
		if s.addConn(tcp) {
			go s.serve(tcp)
		}
	}
}

func (s *Server) addConn(c *net.TCPConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		reset(c)
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) removeConn(c *net.TCPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) nextFault() Fault {
	if s.config.Plan == nil {
		return None
	}
	s.planMu.Lock()
	defer s.planMu.Unlock()
	return s.config.Plan()
}

// reset closes c with a TCP reset.
func reset(c *net.TCPConn) {
	c.SetLinger(0) //nolint:errcheck // the connection is closed either way
	c.Close()
}

// Executions counts how often each request was executed, by identifier. It is safe for
// concurrent use.
type Executions struct {
	mu    sync.Mutex
	count map[string]int
}

// NewExecutions returns a counter without executions.
func NewExecutions() *Executions { return &Executions{count: map[string]int{}} }

// Add counts one execution of id.
func (r *Executions) Add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
}

// Count returns the number of executions of id.
func (r *Executions) Count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id]
}

// ExecutedMoreThan returns the identifiers that match and were executed more than n times.
func (r *Executions) ExecutedMoreThan(n int, match func(id string) bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, count := range r.count {
		if count > n && match(id) {
			ids = append(ids, id)
		}
	}
	return ids
}
