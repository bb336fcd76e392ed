package request

import (
	"cmp"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/siskinvane/siskinvane/internal/connection/wire"
	"github.com/siskinvane/siskinvane/internal/request/header"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
)

// callerTimeout bounds a caller's wait for an answer; it is longer than the timeout
// that the caller sends with a request.
const callerTimeout = 3 * time.Second

// call describes a request of a caller.
type call struct {
	method, path, id string
	// service defaults to serviceName.
	service string
	// direct is set for calls that go to an endpoint instead of an entry.
	direct       bool
	key, session string
	body         string
	timeout      time.Duration
}

// reply is the answer to a call. If err is set, no complete answer arrived and the
// outcome of the call is unknown.
type reply struct {
	err        error
	status     int
	outcome    outcome.Outcome
	reason     outcome.Reason
	session    string
	body       string
	retryAfter string
	replayed   bool
	duration   time.Duration
}

// caller sends requests over one connection at a time and never retries. It is not
// safe for concurrent use.
type caller struct {
	conn *wire.Conn
	addr netip.AddrPort
}

// send sends a request to addr and closes the connection if no complete answer
// arrives.
func (c *caller) send(addr netip.AddrPort, q call) reply {
	start := time.Now()
	r, err := c.exchange(addr, q)
	r.duration = time.Since(start)
	if err != nil {
		r.err = err
		c.close()
	}
	return r
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) exchange(addr netip.AddrPort, q call) (reply, error) {
	if err := c.connect(addr); err != nil {
		return reply{}, err
	}
	if err := c.conn.Begin(time.Now().Add(callerTimeout)); err != nil {
		return reply{}, err
	}
	if err := c.conn.Send(&wire.Message{Head: q.head(), Body: []byte(q.body)}); err != nil {
		return reply{}, err
	}
	answer := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(answer)
	if err := c.conn.ReadHead(answer); err != nil {
		return reply{}, err
	}
	body, err := c.conn.Body(answer, q.method == "HEAD")
	if err != nil {
		return reply{}, err
	}
	text, err := io.ReadAll(body)
	if err != nil {
		return reply{}, err
	}
	h := &answer.Header
	if h.ConnectionClose() {
		c.close()
	}
	return reply{
		status: answer.StatusCode(), body: string(text), session: string(h.Peek(header.Session)),
		outcome: outcome.Outcome(h.Peek(outcome.Header)), reason: outcome.Reason(h.Peek(outcome.HeaderReason)),
		replayed: len(h.Peek(header.Replayed)) > 0, retryAfter: string(h.Peek(outcome.HeaderRetryAfter)),
	}, nil
}

func (c *caller) connect(addr netip.AddrPort) error {
	if c.conn != nil && c.addr == addr && c.conn.Reusable() {
		return nil
	}
	c.close()
	conn, err := wire.Dial(addr, callerTimeout)
	if err != nil {
		return err
	}
	c.conn, c.addr = conn, addr
	return nil
}

func (q call) head() []byte {
	var b strings.Builder
	target := q.path
	if !q.direct {
		target = "/svc/" + cmp.Or(q.service, serviceName) + q.path
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: oracle\r\n", q.method, target)
	fmt.Fprintf(&b, "%s: %s\r\n%s: %s\r\n", header.RequestID, q.id, header.Timeout, header.FormatTimeout(q.timeout))
	if q.key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", header.IdempotencyKey, q.key)
	}
	if q.session != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", header.Session, q.session)
	}
	if q.method != "GET" && q.method != "HEAD" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}
