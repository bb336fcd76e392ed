// Package wire implements an HTTP/1.1 connection to an endpoint. It counts the
// bytes that were written to the kernel, which shows whether any byte of a
// request may have been sent, and it detects truncated responses.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/siskinvane/siskinvane/internal/request/header"
)

// MaxHeadBytes limits the status line and header of a response.
const MaxHeadBytes = 16 << 10

// maxInterimResponses limits the 1xx responses before the final one.
const maxInterimResponses = 8

// Errors of responses.
var (
	// ErrHeadTooLarge reports a header above MaxHeadBytes.
	ErrHeadTooLarge = errors.New("header of the answer is too large")
	// ErrUnframed reports a response with neither Content-Length nor chunked
	// encoding, whose truncation could not be detected.
	ErrUnframed = errors.New("answer has neither a length nor chunks, so its end cannot be told")
)

// Conn is a connection to an endpoint. It carries one request at a time.
type Conn struct {
	netConn  net.Conn
	reader   *bufio.Reader
	opened   time.Time
	verified time.Time
	written  int64
}

// Dial opens a connection to addr. The TCP handshake counts as a verification.
func Dial(addr netip.AddrPort, timeout time.Duration) (*Conn, error) {
	raw, err := net.DialTimeout("tcp", addr.String(), timeout)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &Conn{netConn: raw, reader: bufio.NewReaderSize(raw, MaxHeadBytes), opened: now, verified: now}, nil
}

// Opened returns when the connection was opened.
func (c *Conn) Opened() time.Time { return c.opened }

// LastVerified returns the time at which the endpoint last responded on this
// connection.
func (c *Conn) LastVerified() time.Time { return c.verified }

// MarkVerified records that a complete response arrived at time now.
func (c *Conn) MarkVerified(now time.Time) { c.verified = now }

// Begin prepares the connection for a request that must complete by deadline.
func (c *Conn) Begin(deadline time.Time) error {
	c.written = 0
	return c.netConn.SetDeadline(deadline)
}

// SetReadDeadline sets the deadline of reads; the zero time means none. It may be
// called while a read is in progress.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.netConn.SetReadDeadline(t) }

// Written returns the number of bytes written to the kernel since Begin.
func (c *Conn) Written() int64 { return c.written }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.netConn.Write(p)
	c.written += int64(n)
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error { return c.netConn.Close() }

// Reusable reports whether an idle connection is still open and has no unread
// data. Unsolicited bytes make it unusable.
func (c *Conn) Reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok {
		return false
	}
	rc, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = peekErr == syscall.EAGAIN
	})
	return err == nil && idle
}

// ReadHead reads the status line and header of the final response into r.
func (c *Conn) ReadHead(r *protocol.Response) error {
	for range maxInterimResponses {
		if err := c.readOneHead(r); err != nil {
			return err
		}
		if r.StatusCode() == 101 {
			return header.ErrUpgrade
		}
		if r.StatusCode() >= 200 {
			return nil
		}
	}
	return fmt.Errorf("more than %d interim answers", maxInterimResponses)
}

func (c *Conn) readOneHead(r *protocol.Response) error {
	head, err := c.peekHead()
	if err != nil {
		return err
	}
	_, lines, _ := bytes.Cut(head, []byte{'\n'})
	if err := header.CheckFraming(lines); err != nil {
		return err
	}
	return resp.ReadHeader(&r.Header, bufferedReader{c.reader})
}

// peekHead waits for a complete header and returns it without consuming it.
func (c *Conn) peekHead() ([]byte, error) {
	want := 1
	for {
		if _, err := c.reader.Peek(want); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, ErrHeadTooLarge
			}
			return nil, err
		}
		all, _ := c.reader.Peek(c.reader.Buffered())
		if end := bytes.Index(all, []byte("\r\n\r\n")); end >= 0 {
			return all[:end+4], nil
		}
		want = len(all) + 1
	}
}
