package peer

import (
	"net"
	"net/rpc"
	"sync/atomic"
	"time"
)

// connection is a connection to another process that calls share.
type connection struct {
	rpc    *rpc.Client
	stream *heardStream
	// sending holds a token while a request is written, which may take long on a full
	// link and forever on a dead one.
	sending chan struct{}
}

func newConnection(stream net.Conn) *connection {
	s := &heardStream{Conn: stream, opened: time.Now()}
	return &connection{rpc: rpc.NewClient(s), stream: s, sending: make(chan struct{}, 1)}
}

// age returns the time since the connection was opened.
func (c *connection) age() time.Duration { return time.Since(c.stream.opened) }

// heardAt returns the age at which the last byte arrived, or 0 if none has.
func (c *connection) heardAt() time.Duration { return time.Duration(c.stream.heard.Load()) }

// heardStream records when the last byte arrived, in nanoseconds since opened.
type heardStream struct {
	net.Conn
	opened time.Time
	heard  atomic.Int64
}

// Read implements net.Conn.
func (s *heardStream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 0 {
		s.heard.Store(int64(time.Since(s.opened)))
	}
	return n, err
}
