package peer

import (
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// Server serves one net/rpc service. Its methods are safe for concurrent use.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	wg       sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// Listen listens on addr over TCP for the service name, which receiver
// implements. Calls are served after Start.
func Listen(addr netip.AddrPort, name string, receiver any) (*Server, error) {
	return ListenOn(TCP, addr, name, receiver)
}

// ListenOn is like Listen on another network.
func ListenOn(network Network, addr netip.AddrPort, name string, receiver any) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return nil, fmt.Errorf("register service %s: %w", name, err)
	}
	var err error
	if s.listener, err = network.Listen(addr); err != nil {
		return nil, platform.WrapCall("listen for peers", addr.String(), err)
	}
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Start serves calls in the background until Close.
func (s *Server) Start() {
	s.wg.Go(func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.serve(conn)
		}
	})
}

func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return
	}
	s.conns[conn] = true
	s.wg.Go(func() {
		s.rpc.ServeConn(conn)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	})
}

// Close closes the listener and all connections and waits for calls in
// progress.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
