package web

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// trackingListener tracks its open connections, so that idle ones can be closed when the
// server stops.
type trackingListener struct {
	net.Listener
	// guard is nil if the clients are trusted.
	guard *Guard

	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

func newTrackingListener(ln net.Listener, guard *Guard) *trackingListener {
	return &trackingListener{Listener: ln, guard: guard, conns: map[*trackedConn]struct{}{}}
}

// acceptPause is the time between two tries to accept a connection without a free
// descriptor.
const acceptPause = 20 * time.Millisecond

// Accept implements net.Listener. The server ends at the first error, so errors that pass
// are not returned.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case isPassing(err):
			time.Sleep(acceptPause)
			continue
		case err != nil:
			return nil, err
		}
		tracked := &trackedConn{Conn: conn, listener: l}
		l.mu.Lock()
		l.conns[tracked] = struct{}{}
		l.mu.Unlock()
		if l.guard == nil {
			return tracked, nil
		}
		if guarded := l.guard.guard(tracked); guarded != nil {
			return guarded, nil
		}
	}
}

// isPassing reports whether a later Accept may succeed: descriptors or memory were short,
// or the client has gone.
func isPassing(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// closeIdle closes the connections on which no request has begun since the last answer.
func (l *trackingListener) closeIdle() {
	l.mu.Lock()
	var idle []*trackedConn
	for c := range l.conns {
		if !c.requestBegun.Load() {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		// The connection is idle, so an error of Close does not matter.
		_ = c.Close()
	}
}

// trackedConn records whether bytes have been read since the last write.
type trackedConn struct {
	net.Conn
	listener     *trackingListener
	requestBegun atomic.Bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.requestBegun.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.requestBegun.Store(false)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
