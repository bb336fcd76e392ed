// Package quota bounds the connections of a server and the memory that their requests take
// together, and decides who is turned away when there is no room. It does no I/O.
package quota

import (
	"math/bits"
	"sync"
	"time"
)

// Limits bound a server. Bytes counts ConnectionBytes for each connection.
type Limits struct {
	Connections int
	Bytes       int
}

// ConnectionBytes is the memory that a connection takes beside its request: stacks, buffers
// of the library and the kernel's receive buffer.
const ConnectionBytes = 32 << 10

// state is what a connection does.
type state int

const (
	// idle means that no byte of a request has arrived since the last answer.
	idle state = iota
	// unfinished means that a request is arriving.
	unfinished
	// handled means that a handler has the request. It may have run.
	handled
)

// Connection is a connection in the books.
type Connection struct {
	// Close is called by the quota's user for each connection that is turned away.
	Close func()

	state state
	// since is when the state began.
	since time.Time
	bytes int
	gone  bool
}

// Quota keeps the books of one server. It is safe for concurrent use.
type Quota struct {
	mu          sync.Mutex
	limits      Limits
	connections map[*Connection]struct{}
	bytes       int
}

// New returns empty books.
func New(l Limits) *Quota { return &Quota{limits: l, connections: map[*Connection]struct{}{}} }

// SetLimits changes the limits for what comes from now on.
func (q *Quota) SetLimits(l Limits) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits = l
}

// Usage returns the number of connections and the bytes counted for them.
func (q *Quota) Usage() (connections, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.connections), q.bytes
}

// Open adds an idle connection. It returns those to close in its favor; ok is false if it
// has no room itself.
func (q *Quota) Open(c *Connection, now time.Time) (turnedAway []*Connection, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c.state, c.since, c.bytes, c.gone = idle, now, 0, false
	q.connections[c] = struct{}{}
	turnedAway, ok = q.makeRoom(c, ConnectionBytes)
	if !ok {
		q.remove(c)
	}
	return turnedAway, ok
}

// Receive records that the unfinished request of c takes the given bytes. The results are
// those of Open. ok is false as well if c was turned away before.
func (q *Quota) Receive(c *Connection, bytes int, now time.Time) (turnedAway []*Connection, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.gone {
		return nil, false
	}
	if c.state != unfinished {
		c.state, c.since = unfinished, now
	}
	return q.makeRoom(c, ConnectionBytes+bytes)
}

// Handle records that the request of c is complete and takes the given bytes while it is
// handled. The results are those of Receive.
func (q *Quota) Handle(c *Connection, bytes int, now time.Time) (turnedAway []*Connection, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.gone {
		return nil, false
	}
	if turnedAway, ok = q.makeRoom(c, ConnectionBytes+bytes); ok {
		c.state, c.since = handled, now
	}
	return turnedAway, ok
}

// Rest records that the request of c, if there was one, has its answer.
func (q *Quota) Rest(c *Connection, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !c.gone && c.state != idle {
		q.bytes -= c.bytes - ConnectionBytes
		c.state, c.since, c.bytes = idle, now, ConnectionBytes
	}
}

// Remove takes a connection out of the books.
func (q *Quota) Remove(c *Connection) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(c)
}

func (q *Quota) remove(c *Connection) {
	if !c.gone {
		delete(q.connections, c)
		q.bytes -= c.bytes
		c.gone = true
	}
}

// makeRoom sets the bytes of c. It takes others out of the books until c has room, or
// leaves all as it is if that does not give enough.
func (q *Quota) makeRoom(c *Connection, bytes int) (turnedAway []*Connection, ok bool) {
	connections, total := len(q.connections), q.bytes+bytes-c.bytes
	leaving := map[*Connection]bool{}
	for bytes > c.bytes && (connections > q.limits.Connections || total > q.limits.Bytes) {
		v := q.choose(c, bytes, connections > q.limits.Connections, leaving)
		if v == nil {
			return nil, false
		}
		leaving[v] = true
		connections--
		total -= v.bytes
		turnedAway = append(turnedAway, v)
	}
	for _, v := range turnedAway {
		q.remove(v)
	}
	q.bytes += bytes - c.bytes
	c.bytes = bytes
	return turnedAway, true
}

// choose returns the connection to turn away in favor of c, which is to take the given
// bytes, or nil if c itself has to go. Where connections are short that is the one that has
// waited longest for its client. Where memory is short, requests as large as c's go first,
// then connections that have been idle since before c's request, whose clients lose nothing.
func (q *Quota) choose(c *Connection, bytes int, connectionsShort bool, leaving map[*Connection]bool) *Connection {
	var longestIdle, oldest, largest *Connection
	for v := range q.connections {
		if v == c || v.state == handled || leaving[v] {
			continue
		}
		if oldest == nil || v.since.Before(oldest.since) {
			oldest = v
		}
		switch {
		case v.state == idle && (longestIdle == nil || v.since.Before(longestIdle.since)):
			longestIdle = v
		case v.state == unfinished && (largest == nil || before(v, v.bytes, largest, largest.bytes)):
			largest = v
		}
	}
	switch {
	case connectionsShort:
		return oldest
	case largest != nil && before(largest, largest.bytes, c, bytes):
		return largest
	case longestIdle != nil && longestIdle.since.Before(c.since):
		return longestIdle
	}
	return nil
}

// before reports whether a, which takes aBytes, is turned away before b: the larger one,
// and of two of the same magnitude the one that began first.
func before(a *Connection, aBytes int, b *Connection, bBytes int) bool {
	aSize, bSize := bits.Len(uint(aBytes)), bits.Len(uint(bBytes))
	if aSize != bSize {
		return aSize > bSize
	}
	return a.since.Before(b.since)
}
