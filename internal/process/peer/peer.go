// Package peer serves net/rpc services to other siskinvane processes and calls
// theirs. Each call has a timeout, and a failed or silent connection is replaced.
package peer

import (
	"errors"
	"fmt"
	"net/netip"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	dialTimeout = time.Second
	callTimeout = 2 * time.Second
)

var (
	errTimeout = errors.New("no answer in time")
	errNotSent = errors.New("not sent in time")
)

// Client calls the net/rpc services of other processes over one connection per
// address. It is safe for concurrent use.
type Client struct {
	network Network
	mu      sync.Mutex
	clients map[netip.AddrPort]*connection
}

// NewClient returns a client over TCP. It connects on demand.
func NewClient() *Client { return NewClientOn(TCP) }

// NewClientOn returns a client over another network. It connects on demand.
func NewClientOn(network Network) *Client {
	return &Client{network: network, clients: map[netip.AddrPort]*connection{}}
}

// Call calls a method of a net/rpc service with the default timeout. It closes a
// connection that failed, or on which no byte has arrived since the beginning of a call
// that timed out, and the next call opens another. Other calls go on if theirs is only
// slow. reply must point to a zero value and is set only on success; args must not be
// changed even after an error. An error that matches platform.ErrOutcomeUnknown means
// that the call may have taken effect.
func (c *Client) Call(addr netip.AddrPort, service, method string, args, reply any) error {
	return c.CallTimeout(callTimeout, addr, service, method, args, reply)
}

// CallTimeout is like Call with another timeout. The timeout does not cover dialing.
func (c *Client) CallTimeout(timeout time.Duration, addr netip.AddrPort, service, method string, args, reply any) error {
	conn, err := c.client(addr)
	if err != nil {
		return platform.WrapCall("dial peer", addr.String(), err)
	}
	started := conn.age()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case conn.sending <- struct{}{}:
	case <-timer.C:
		c.closeIfSilent(addr, conn, started)
		return platform.WrapCall(service+" "+method, addr.String(), errNotSent)
	}
	// A late answer may arrive after this call has returned.
	own := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	go func() {
		defer func() { <-conn.sending }()
		conn.rpc.Go(service+"."+method, args, own.Interface(), done)
	}()
	select {
	case call := <-done:
		err = call.Error
		if _, answered := err.(rpc.ServerError); err != nil && !answered {
			c.closeClient(addr, conn)
			err = fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
		}
	case <-timer.C:
		c.closeIfSilent(addr, conn, started)
		err = fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, errTimeout)
	}
	if err == nil {
		reflect.ValueOf(reply).Elem().Set(own.Elem())
	}
	return platform.WrapCall(service+" "+method, addr.String(), err)
}

func (c *Client) client(addr netip.AddrPort) (*connection, error) {
	c.mu.Lock()
	conn := c.clients[addr]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	stream, err := c.network.Dial(addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return c.addClient(addr, newConnection(stream)), nil
}

// addClient registers a new connection and returns it. If another call has
// registered one meanwhile, it closes the new one and returns the other.
func (c *Client) addClient(addr netip.AddrPort, conn *connection) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.clients[addr]; other != nil {
		conn.rpc.Close()
		return other
	}
	c.clients[addr] = conn
	return conn
}

// closeIfSilent closes a connection on which no byte has arrived since it had the given
// age: it may be dead without a reset.
func (c *Client) closeIfSilent(addr netip.AddrPort, conn *connection, since time.Duration) {
	if conn.heardAt() <= since {
		c.closeClient(addr, conn)
	}
}

func (c *Client) closeClient(addr netip.AddrPort, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[addr] == conn {
		delete(c.clients, addr)
	}
	conn.rpc.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.clients {
		conn.rpc.Close()
		delete(c.clients, addr)
	}
}
