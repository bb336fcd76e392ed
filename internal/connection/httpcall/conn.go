package httpcall

import (
	"crypto/tls"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// errNewConnectionReset reports that the peer has reset a connection before any answer on it.
var errNewConnectionReset = errors.New("new connection reset")

// dialer marks resets of new connections. It implements network.Dialer.
type dialer struct{ network.Dialer }

// DialConnection implements network.Dialer.
func (d dialer) DialConnection(transport, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	c, err := d.Dialer.DialConnection(transport, address, timeout, tlsConfig)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a connection whose errors match errNewConnectionReset if the peer resets it before it has
// answered anything. It is used by one call at a time.
type conn struct {
	network.Conn
	answered bool
}

// Peek implements network.Reader.
func (c *conn) Peek(n int) ([]byte, error) {
	b, err := c.Conn.Peek(n)
	c.answered = c.answered || len(b) > 0
	return b, c.markReset(err)
}

// Flush implements network.Writer.
func (c *conn) Flush() error { return c.markReset(c.Conn.Flush()) }

func (c *conn) markReset(err error) error {
	if !c.answered && errors.Is(err, syscall.ECONNRESET) {
		return fmt.Errorf("%w: %w", errNewConnectionReset, err)
	}
	return err
}

// ToHertzError implements network.ErrorNormalization.
func (c *conn) ToHertzError(err error) error {
	if n, ok := c.Conn.(network.ErrorNormalization); ok {
		return n.ToHertzError(err)
	}
	return err
}
