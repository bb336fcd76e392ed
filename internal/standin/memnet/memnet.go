// Package memnet is an in-memory network between hosts for tests and trials. It
// implements peer.Network for each host, and can partition a host from the others.
package memnet

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Network connects hosts, which are identified by their IP addresses. It is safe for
// concurrent use.
type Network struct {
	mu          sync.Mutex
	listeners   map[netip.AddrPort]*listener
	partitioned map[netip.Addr]bool
	conns       map[net.Conn]netip.Addr
}

// New returns a network without hosts.
func New() *Network {
	return &Network{listeners: map[netip.AddrPort]*listener{}, partitioned: map[netip.Addr]bool{}, conns: map[net.Conn]netip.Addr{}}
}

var (
	errRefused = errors.New("connection refused")
	errTimeout = errors.New("connection timed out")
)

// Host returns the network as a host uses it.
func (n *Network) Host(ip netip.Addr) *Host { return &Host{network: n, ip: ip} }

// SetPartitioned sets whether a host is partitioned from all others. A partition closes
// the host's connections.
func (n *Network) SetPartitioned(ip netip.Addr, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[ip] = partitioned
	if partitioned {
		n.closeConnsOf(ip)
	}
}

// Kill closes all connections and listeners of a host.
func (n *Network) Kill(ip netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closeConnsOf(ip)
	for addr, l := range n.listeners {
		if addr.Addr() == ip {
			delete(n.listeners, addr)
			l.close()
		}
	}
}

// closeConnsOf closes the connections of a host. The caller holds n.mu.
func (n *Network) closeConnsOf(ip netip.Addr) {
	for c, owner := range n.conns {
		if owner == ip {
			c.Close()
			delete(n.conns, c)
		}
	}
}

// Host is the network as one host uses it. It implements peer.Network.
type Host struct {
	network *Network
	ip      netip.Addr
}

// Listen starts listening on an address of the host.
func (h *Host) Listen(addr netip.AddrPort) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, addr: addr, incoming: make(chan net.Conn, 16), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to an address. If either host is partitioned, it fails after timeout;
// if nobody listens on the address, immediately.
func (h *Host) Dial(addr netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	if n.partitioned[h.ip] || n.partitioned[addr.Addr()] {
		n.mu.Unlock()
		time.Sleep(timeout)
		return nil, errTimeout
	}
	defer n.mu.Unlock()
	l := n.listeners[addr]
	if l == nil {
		return nil, errRefused
	}
	client, server := net.Pipe()
	n.conns[client], n.conns[server] = h.ip, addr.Addr()
	select {
	case l.incoming <- server:
		return client, nil
	default:
		return nil, errRefused
	}
}

// listener implements net.Listener.
type listener struct {
	network  *Network
	addr     netip.AddrPort
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.addr] == l {
		delete(l.network.listeners, l.addr)
	}
	l.network.mu.Unlock()
	l.close()
	return nil
}

func (l *listener) close() { l.once.Do(func() { close(l.closed) }) }

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
