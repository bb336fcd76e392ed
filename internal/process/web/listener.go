package web

import (
	"net"
	"sync"
	"sync/atomic"
)

// trackingListener tracks its open connections, so that idle ones can be closed when the
// server stops.
type trackingListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

func newTrackingListener(ln net.Listener) *trackingListener {
	return &trackingListener{Listener: ln, conns: map[*trackedConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[tracked] = struct{}{}
	return tracked, nil
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
