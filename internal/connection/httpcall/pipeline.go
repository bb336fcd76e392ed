package httpcall

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// maxIdlePipelines is the number of idle connections per address that are kept for DoAll.
const maxIdlePipelines = 2

// DoAll makes several calls of the same kind in one write over one connection (HTTP/1.1
// pipelining), which costs a fraction of as many calls of Do. The calls differ in their bodies
// only and must be idempotent. handle gets the complete responses in the order of the bodies; the
// calls from the returned number on got none. The error matches ErrNotSent or ErrNoAnswer and is
// nil if all calls were answered. r.Timeout limits all calls together.
func (c *Client) DoAll(ctx context.Context, r Request, bodies [][]byte, handle func(i int, a Answer)) (answered int, err error) {
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	deadline := time.Now().Add(timeoutFor(ctx, r.Timeout))
	for {
		conn, reused, err := c.pipelines.take(r.Addr, min(time.Until(deadline), dialTimeout))
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		answered, open, err := roundTrips(ctx, conn, r, bodies, deadline, handle)
		if open {
			c.pipelines.put(r.Addr, conn)
		} else {
			_ = conn.Close()
		}
		switch {
		case err == nil:
			return answered, nil
		case answered == 0 && reused && time.Now().Before(deadline) && ctx.Err() == nil:
			// The peer may have closed an idle connection just then.
			c.pipelines.closeIdle(r.Addr)
			continue
		case !errors.Is(err, errNewConnectionReset):
			c.closeIdle(r.Addr)
			c.pipelines.closeIdle(r.Addr)
		}
		return answered, fmt.Errorf("%w: answer %d of %d: %w", ErrNoAnswer, answered+1, len(bodies), err)
	}
}

// roundTrips writes the requests and reads the responses until one is missing. It reports whether
// the connection may be used again.
func roundTrips(ctx context.Context, conn network.Conn, r Request, bodies [][]byte, deadline time.Time, handle func(i int, a Answer)) (answered int, open bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	if err := conn.SetDeadline(deadline); err != nil {
		return 0, false, err
	}
	buildRequest(request, r, 0)
	for _, body := range bodies {
		request.SetBody(body)
		if err := req.Write(request, conn); err != nil {
			return 0, false, err
		}
	}
	if err := conn.Flush(); err != nil {
		return 0, false, err
	}
	for i := range bodies {
		response.Reset()
		if _, err := conn.Peek(1); err != nil {
			return i, false, err
		}
		if err := resp.Read(response, conn); err != nil {
			return i, false, err
		}
		handle(i, Answer{Status: response.StatusCode(), Body: response.Body(), resp: response})
		if err := conn.Release(); err != nil {
			return i + 1, false, err
		}
		if response.ConnectionClose() && i+1 < len(bodies) {
			return i + 1, false, errors.New("the peer closes the connection")
		}
	}
	return len(bodies), !response.ConnectionClose(), nil
}

// pipelines holds the idle connections of DoAll. It is safe for concurrent use.
type pipelines struct {
	dialer network.Dialer

	mu   sync.Mutex
	idle map[netip.AddrPort][]*idleConn
}

// idleConn is a connection that is closed by a timer unless it is taken before.
type idleConn struct {
	network.Conn
	expiry *time.Timer
}

func newPipelines() *pipelines {
	return &pipelines{dialer: dialer{standard.NewDialer()}, idle: map[netip.AddrPort][]*idleConn{}}
}

// take returns an idle connection to an address, or else a new one.
func (p *pipelines) take(addr netip.AddrPort, timeout time.Duration) (conn network.Conn, reused bool, err error) {
	p.mu.Lock()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		last := list[len(list)-1]
		p.drop(addr, last)
		if last.expiry.Stop() {
			p.mu.Unlock()
			return last.Conn, true, nil
		}
	}
	p.mu.Unlock()
	if timeout <= 0 {
		return nil, false, context.DeadlineExceeded
	}
	conn, err = p.dialer.DialConnection("tcp", addr.String(), timeout, nil)
	return conn, false, err
}

// put keeps a connection for a later call.
func (p *pipelines) put(addr netip.AddrPort, conn network.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdlePipelines {
		_ = conn.Close()
		return
	}
	c := &idleConn{Conn: conn}
	c.expiry = time.AfterFunc(maxIdleTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.drop(addr, c)
		_ = c.Close()
	})
	p.idle[addr] = append(p.idle[addr], c)
}

// closeIdle closes the idle connections to an address.
func (p *pipelines) closeIdle(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		if c.expiry.Stop() {
			_ = c.Close()
		}
	}
	delete(p.idle, addr)
}

// drop forgets an idle connection. The caller holds mu.
func (p *pipelines) drop(addr netip.AddrPort, c *idleConn) {
	p.idle[addr] = slices.DeleteFunc(p.idle[addr], func(other *idleConn) bool { return other == c })
	if len(p.idle[addr]) == 0 {
		delete(p.idle, addr)
	}
}
