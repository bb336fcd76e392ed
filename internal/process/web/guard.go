package web

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/siskinvane/siskinvane/internal/process/quota"
	"github.com/siskinvane/siskinvane/internal/request/framing"
)

// Guard protects a server from clients that nobody controls: requests are passed on once
// they are complete, and what they take together is bounded.
type Guard struct {
	Quota *quota.Quota
	// Limits returns the limits of the next request on a connection.
	Limits func() framing.Limits
	// OnTurnedAway is called for each connection or request that is turned away. It must
	// not block.
	OnTurnedAway func(Refusal)

	// turn holds a token while bytes of a long request are taken in.
	turn chan struct{}
}

// Refusal is a reason for which a client is turned away.
type Refusal string

// Refusals. Clients are answered with 431, 413, 400 and 503 for the first four; the others
// are closed without an answer.
const (
	HeadTooLarge Refusal = "head too large"
	BodyTooLarge Refusal = "body too large"
	Malformed    Refusal = "malformed"
	NoRoom       Refusal = "no room for the request"
	// Displaced means that the connection has given its room to another one.
	Displaced Refusal = "displaced"
	// NoConnection means that there is no room for another connection.
	NoConnection Refusal = "no room for the connection"
)

// status returns the status code of the answer.
func (r Refusal) status() int {
	switch r {
	case HeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case Malformed:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

const (
	// requestTimeout bounds the time from the first byte of a request to its last.
	requestTimeout = 3 * time.Minute
	// answerTimeout bounds a write of an answer.
	answerTimeout = 3 * time.Minute
	// lingerTimeout and lingerBytes bound what is read and dropped after a refusal.
	// Closing a connection with unread bytes can destroy the answer.
	lingerTimeout = 5 * time.Second
	lingerBytes   = 256 << 10
	// receiveBuffer is the kernel's buffer for unread bytes of a connection.
	receiveBuffer = 32 << 10
	// smallRequestBytes is what quota.ConnectionBytes covers of a request while it is
	// handled. Of the rest the library holds handlingCopies copies.
	smallRequestBytes = 8 << 10
	handlingCopies    = 6
	// fewReads is how many pieces a request may have, and smallRequestBytes how many bytes,
	// before it waits for its turn among those that are longer. Without turns a request of
	// one piece would wait for the processor as long as all of them.
	fewReads = 16
	// keptRequestBytes is the largest request after which a connection stays open.
	keptRequestBytes = 16 << 10
)

// handlingBytes returns the memory that a request takes while it is handled.
func handlingBytes(held int) int { return handlingCopies * max(0, held-smallRequestBytes) }

// ListenGuarded is like Listen for clients that nobody controls. Bodies are not streamed.
func ListenGuarded(addr netip.AddrPort, g Guard) (*Server, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A larger buffer costs memory only, so an error does not matter.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	ln, err := config.Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	g.turn = make(chan struct{}, 1)
	s := newServer(ln, &g, server.WithMaxKeepBodySize(keptRequestBytes))
	s.Use(closeAfterLargeRequest)
	return s, nil
}

// closeAfterLargeRequest makes clients connect again after a large request, as the library
// keeps buffers of its size until the connection closes.
func closeAfterLargeRequest(ctx context.Context, c *app.RequestContext) {
	c.Next(ctx)
	if len(c.Request.Header.RawHeaders())+len(c.Request.Body()) > keptRequestBytes {
		c.SetConnectionClose()
	}
}

// guardedConn gathers requests and passes complete ones on.
type guardedConn struct {
	*trackedConn
	guard   *Guard
	entry   *quota.Connection
	request framing.Request
	// ahead holds bytes that arrived after the end of the request.
	ahead []byte
	// continued is set while the library is about to send an interim answer that the
	// client has already.
	continued bool
}

// guard adds a connection to the books. It returns nil if there is no room.
func (g *Guard) guard(conn *trackedConn) *guardedConn {
	c := &guardedConn{trackedConn: conn, guard: g, entry: &quota.Connection{}}
	c.entry.Close = func() { _ = conn.Close() }
	turnedAway, ok := g.Quota.Open(c.entry, time.Now())
	g.close(turnedAway)
	if !ok {
		g.OnTurnedAway(NoConnection)
		// Nothing was read yet, so an error of Close does not matter.
		_ = conn.Close()
		return nil
	}
	return c
}

// close closes connections that gave their room to another one.
func (g *Guard) close(turnedAway []*quota.Connection) {
	for _, entry := range turnedAway {
		g.OnTurnedAway(Displaced)
		entry.Close()
	}
}

// Read implements net.Conn. It returns bytes of complete requests only, never those of two
// requests at once, and io.EOF after a refusal.
func (c *guardedConn) Read(p []byte) (int, error) {
	if !c.request.Pending() {
		if err := c.gather(p); err != nil {
			return 0, err
		}
	}
	return c.request.Read(p), nil
}

// gather reads the next request. It uses scratch for bytes on their way.
func (c *guardedConn) gather(scratch []byte) error {
	c.guard.Quota.Rest(c.entry, time.Now())
	c.request.Reset(c.guard.Limits())
	input := c.ahead
	c.ahead = nil
	received := 0
	for reads := 0; ; reads++ {
		begun := c.request.Begun()
		received += len(input)
		isLong := received > smallRequestBytes || reads > fewReads
		if isLong {
			c.guard.turn <- struct{}{}
		}
		n, done, err := c.request.Feed(input)
		if isLong {
			<-c.guard.turn
			runtime.Gosched()
		}
		switch {
		case errors.Is(err, framing.ErrHeadTooLarge):
			return c.refuse(HeadTooLarge, scratch)
		case errors.Is(err, framing.ErrBodyTooLarge):
			return c.refuse(BodyTooLarge, scratch)
		case err != nil:
			return c.refuse(Malformed, scratch)
		case !c.account(done):
			return c.refuse(NoRoom, scratch)
		case done:
			c.ahead = bytes.Clone(input[n:])
			return nil
		}
		if !begun && c.request.Begun() {
			c.requestBegun.Store(true)
			if err := c.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
				return err
			}
		}
		if c.request.ExpectsContinue() && !c.continued {
			c.continued = true
			if _, err := c.Conn.Write([]byte(interimAnswer)); err != nil {
				return err
			}
		}
		read, err := c.trackedConn.Read(scratch)
		if read == 0 && err != nil {
			return err
		}
		input = scratch[:read]
	}
}

// account records what the request takes. It returns false if there is no room.
func (c *guardedConn) account(done bool) bool {
	var turnedAway []*quota.Connection
	ok := true
	switch now := time.Now(); {
	case done:
		turnedAway, ok = c.guard.Quota.Handle(c.entry, handlingBytes(c.request.Held()), now)
	case c.request.Begun():
		turnedAway, ok = c.guard.Quota.Receive(c.entry, c.request.Held(), now)
	}
	c.guard.close(turnedAway)
	return ok
}

// refuse answers the request, which was not passed on, and ends the connection. It returns
// the error for the reader. An error on the way means that the client has gone.
func (c *guardedConn) refuse(r Refusal, scratch []byte) error {
	c.guard.Quota.Rest(c.entry, time.Now())
	c.request.Reset(framing.Limits{})
	c.guard.OnTurnedAway(r)
	// A server that stops need not wait for what is dropped.
	c.requestBegun.Store(false)
	retryAfter := ""
	if r == NoRoom {
		// The delay is spread so that not all clients return at once.
		retryAfter = "Retry-After: " + strconv.Itoa(1+rand.IntN(2)) + "\r\n"
	}
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTimeout))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n",
		r.status(), http.StatusText(r.status()), retryAfter)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && err == nil {
		_ = half.CloseWrite()
		for left := lingerBytes; left > 0; {
			n, err := c.Conn.Read(scratch)
			if err != nil {
				break
			}
			left -= n
		}
	}
	return io.EOF
}

const interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n"

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if c.continued && string(p) == interimAnswer {
		c.continued = false
		return len(p), nil
	}
	c.continued = false
	// A client that does not read its answer must not keep its room.
	c.guard.Quota.Rest(c.entry, time.Now())
	if err := c.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return 0, err
	}
	return c.trackedConn.Write(p)
}

// Close implements net.Conn. It is called by the connection's reader.
func (c *guardedConn) Close() error {
	c.guard.Quota.Remove(c.entry)
	c.request.Reset(framing.Limits{})
	return c.trackedConn.Close()
}
