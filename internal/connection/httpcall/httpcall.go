// Package httpcall makes HTTP/1.1 calls over keep-alive connections and
// distinguishes calls that were never sent from those with an unknown outcome.
package httpcall

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"time"
	"weak"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
)

const (
	dialTimeout = time.Second
	maxIdleTime = 30 * time.Second
	// maxConnections is the limit per address. The platform's workers accept 64.
	maxConnections = 48
)

// ErrNotSent reports that no byte of a call left this host, so that the peer
// cannot have acted on it.
var ErrNotSent = errors.New("call not sent")

// ErrNoAnswer reports that a call may have been sent and no complete response was
// received. The peer may have acted on it, or may do so later.
var ErrNoAnswer = errors.New("no answer")

// Client makes calls to any address. It closes a connection on which a call fails. After a
// call without an answer it closes the idle connections to that address as well, since they
// may have gone silent together, unless the peer has reset a new connection. It is safe for concurrent use.
type Client struct {
	keepAlive *client.Client
	oneShot   *client.Client
	// hosts maps an address to the weak.Pointer[http1.HostClient] that holds its keep-alive
	// connections. hertz drops hosts that are no longer called.
	hosts *sync.Map
	// pipelines are the connections of DoAll.
	pipelines *pipelines
}

// New returns a Client with a connection pool of its own.
func New() (*Client, error) {
	c := &Client{hosts: &sync.Map{}, pipelines: newPipelines()}
	var err error
	if c.keepAlive, err = newPool(true, client.WithHostClientConfigHook(c.rememberHost)); err != nil {
		return nil, err
	}
	if c.oneShot, err = newPool(false); err != nil {
		return nil, err
	}
	return c, nil
}

// rememberHost adds a new host to hosts.
func (c *Client) rememberHost(host any) error {
	h, ok := host.(*http1.HostClient)
	if !ok {
		return fmt.Errorf("host of type %T is unknown", host)
	}
	hosts, pointer := c.hosts, weak.Make(h)
	hosts.Store(h.Addr, pointer)
	runtime.AddCleanup(h, func(addr string) { hosts.CompareAndDelete(addr, pointer) }, h.Addr)
	return nil
}

// closeIdle closes the idle keep-alive connections to an address.
func (c *Client) closeIdle(addr netip.AddrPort) {
	pointer, known := c.hosts.Load(addr.String())
	if !known {
		return
	}
	if h := pointer.(weak.Pointer[http1.HostClient]).Value(); h != nil {
		h.CloseIdleConnections()
	}
}

func newPool(keepAlive bool, options ...config.ClientOption) (*client.Client, error) {
	c, err := client.NewClient(append(options,
		client.WithDialer(dialer{standard.NewDialer()}),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxIdleConnDuration(maxIdleTime),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithKeepAlive(keepAlive),
	)...)
	if err != nil {
		return nil, fmt.Errorf("create http client: %w", err)
	}
	return c, nil
}

// Request describes a call.
type Request struct {
	Addr    netip.AddrPort
	Method  string
	Path    string
	Headers []Header
	// ContentType is the media type of Body; empty means no body.
	ContentType string
	Body        []byte
	// Timeout limits the whole call, including connecting. It must be positive.
	Timeout time.Duration
	// Fresh requests a new connection that is closed after the call.
	Fresh bool
}

// Header is one header field of a request.
type Header struct {
	Name, Value string
}

// Answer is the peer's response. It is valid only inside the callback.
type Answer struct {
	Status int
	Body   []byte
	resp   *protocol.Response
}

// Header returns a header field of the response, or "".
func (a Answer) Header(name string) string { return a.resp.Header.Get(name) }

// Do makes one call and passes the complete response to handle, whose error it
// returns unchanged. Any other error matches ErrNotSent or ErrNoAnswer.
func (c *Client) Do(ctx context.Context, r Request, handle func(Answer) error) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	buildRequest(req, r, timeoutFor(ctx, r.Timeout))
	pool := c.keepAlive
	if r.Fresh {
		pool = c.oneShot
	}
	if err := pool.Do(ctx, req, resp); err != nil {
		err = classify(err, r.Fresh)
		// A peer that resets new connections has too many, and needs those that it has accepted.
		if errors.Is(err, ErrNoAnswer) && !errors.Is(err, errNewConnectionReset) {
			c.closeIdle(r.Addr)
		}
		return err
	}
	return handle(Answer{Status: resp.StatusCode(), Body: resp.Body(), resp: resp})
}

func buildRequest(req *protocol.Request, r Request, timeout time.Duration) {
	req.SetMethod(r.Method)
	req.SetRequestURI("http://" + r.Addr.String() + r.Path)
	for _, h := range r.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	if r.ContentType != "" {
		req.Header.SetContentTypeBytes([]byte(r.ContentType))
		req.SetBody(r.Body)
	}
	req.SetOptions(config.WithRequestTimeout(timeout), config.WithDialTimeout(min(timeout, dialTimeout)))
}

func timeoutFor(ctx context.Context, timeout time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return timeout
	}
	return max(time.Millisecond, min(timeout, time.Until(deadline)))
}

// classify wraps err in ErrNotSent if the call got no connection, and in
// ErrNoAnswer if it failed later. fresh is set if the call had a connection of its own.
func classify(err error, fresh bool) error {
	var op *net.OpError
	if errors.Is(err, hertzerrors.ErrNoFreeConns) || errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if fresh {
		return fmt.Errorf("%w on a new connection: %w", ErrNoAnswer, err)
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}
