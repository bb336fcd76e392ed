// Package peer serves net/rpc services to other siskinvane processes and calls
// theirs. Each call has a timeout, and a failed connection is replaced.
package peer

import (
	"errors"
	"fmt"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	dialTimeout = time.Second
	callTimeout = 2 * time.Second
)

var errTimeout = errors.New("no answer in time")

// Client calls the net/rpc services of other processes over one connection per
// address. It is safe for concurrent use.
type Client struct {
	network Network
	mu      sync.Mutex
	clients map[netip.AddrPort]*rpc.Client
}

// NewClient returns a client over TCP. It connects on demand.
func NewClient() *Client { return NewClientOn(TCP) }

// NewClientOn returns a client over another network. It connects on demand.
func NewClientOn(network Network) *Client {
	return &Client{network: network, clients: map[netip.AddrPort]*rpc.Client{}}
}

// Call calls a method of a net/rpc service with the default timeout. It closes a
// connection that failed or timed out, and the next call opens another. An error
// that matches platform.ErrOutcomeUnknown means that the call may have taken
// effect.
func (c *Client) Call(addr netip.AddrPort, service, method string, args, reply any) error {
	return c.CallTimeout(callTimeout, addr, service, method, args, reply)
}

// CallTimeout is like Call with another timeout. The timeout does not cover dialing.
func (c *Client) CallTimeout(timeout time.Duration, addr netip.AddrPort, service, method string, args, reply any) error {
	client, err := c.client(addr)
	if err != nil {
		return platform.WrapCall("dial peer", addr.String(), err)
	}
	call := client.Go(service+"."+method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		err = errTimeout
	}
	if _, answered := err.(rpc.ServerError); err != nil && !answered {
		c.closeClient(addr, client)
		err = fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	return platform.WrapCall(service+" "+method, addr.String(), err)
}

func (c *Client) client(addr netip.AddrPort) (*rpc.Client, error) {
	c.mu.Lock()
	client := c.clients[addr]
	c.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := c.network.Dial(addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return c.addClient(addr, rpc.NewClient(conn)), nil
}

// addClient registers a new connection and returns it. If another call has
// registered one meanwhile, it closes the new one and returns the other.
func (c *Client) addClient(addr netip.AddrPort, client *rpc.Client) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.clients[addr]; other != nil {
		client.Close()
		return other
	}
	c.clients[addr] = client
	return client
}

func (c *Client) closeClient(addr netip.AddrPort, client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[addr] == client {
		delete(c.clients, addr)
	}
	client.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, client := range c.clients {
		client.Close()
		delete(c.clients, addr)
	}
}
