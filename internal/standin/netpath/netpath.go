// Package netpath is a TCP proxy for tests. It simulates a network device, such as a
// NAT gateway or a firewall, that loses its connection table: packets of existing
// connections are dropped without notice to either end.
package netpath

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const copyBufferBytes = 16 << 10

// Proxy listens on an address and forwards each connection to a target. It is safe for
// concurrent use.
type Proxy struct {
	ln     net.Listener
	target netip.AddrPort

	// droppedReads is the number of reads from clients whose data was dropped, and
	// lastDropNanos is the time of the last one in Unix nanoseconds.
	droppedReads, lastDropNanos atomic.Int64

	mu        sync.Mutex
	conns     map[*proxiedConn]struct{}
	refuseNew bool
}

// proxiedConn is a connection from a client and the one to the target that it is
// forwarded to.
type proxiedConn struct {
	client, server net.Conn
	// blackholed is set if all data is dropped in both directions.
	blackholed atomic.Bool
}

// Open starts a proxy on a free port of ip that forwards connections to target.
func Open(ip netip.Addr, target netip.AddrPort) (*Proxy, error) {
	ln, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", ip, err)
	}
	p := &Proxy{ln: ln, target: target, conns: map[*proxiedConn]struct{}{}}
	go p.accept()
	return p, nil
}

// Addr returns the address that clients dial.
func (p *Proxy) Addr() netip.AddrPort { return p.ln.Addr().(*net.TCPAddr).AddrPort() }

// Retarget forwards new connections to target.
func (p *Proxy) Retarget(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Blackhole makes the proxy drop all further data of the existing connections, in both
// directions and without notice to either end. It returns their number. New
// connections work.
func (p *Proxy) Blackhole() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.blackholed.Store(true)
	}
	return len(p.conns)
}

// Dropped returns the number of reads from clients whose data was dropped, and the
// time of the last one.
func (p *Proxy) Dropped() (int64, time.Time) {
	return p.droppedReads.Load(), time.Unix(0, p.lastDropNanos.Load())
}

// Reset resets the existing connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.reset()
	}
}

// RefuseNew sets whether new connections are refused by a reset.
func (p *Proxy) RefuseNew(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuseNew = refuse
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	p.ln.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.handleConn(client)
	}
}

func (p *Proxy) handleConn(client net.Conn) {
	p.mu.Lock()
	refuse, target := p.refuseNew, p.target
	p.mu.Unlock()
	conn := &proxiedConn{client: client}
	if refuse {
		conn.reset()
		return
	}
	server, err := net.Dial("tcp", target.String())
	if err != nil {
		conn.reset()
		return
	}
	conn.server = server
	p.mu.Lock()
	p.conns[conn] = struct{}{}
	p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn.relay(conn.server, conn.client, p)
	}()
	conn.relay(conn.client, conn.server, nil)
	<-done
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

// relay forwards data in one direction until either end closes. It counts dropped
// reads in p unless p is nil.
func (conn *proxiedConn) relay(to, from net.Conn, p *Proxy) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		if conn.blackholed.Load() {
			if err != nil {
				from.Close()
				return
			}
			if p != nil {
				p.droppedReads.Add(1)
				p.lastDropNanos.Store(time.Now().UnixNano())
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				conn.reset()
				return
			}
		}
		if err != nil {
			conn.propagateClose(to, err)
			return
		}
	}
}

// propagateClose passes the end of one direction on: a failed read resets both
// connections, an orderly close is forwarded.
func (conn *proxiedConn) propagateClose(to net.Conn, err error) {
	if opErr, ok := err.(*net.OpError); ok && opErr != nil {
		conn.reset()
		return
	}
	to.(*net.TCPConn).CloseWrite() //nolint:errcheck // the other end may be gone
}

func (conn *proxiedConn) reset() {
	for _, c := range []net.Conn{conn.client, conn.server} {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0) //nolint:errcheck // the connection is closed either way
			tcp.Close()
		}
	}
}
