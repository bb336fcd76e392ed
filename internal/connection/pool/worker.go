// Package pool pools the connections of this host to the endpoints of each
// worker. All connections to one worker count towards the host's share of the
// worker's connections and are guarded by one lock.
package pool

import (
	"errors"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/connection/wire"
)

// ErrShareExhausted reports that all connections of the host's share of a
// worker's connections are busy.
var ErrShareExhausted = errors.New("share of the worker's connections is used up")

// Worker holds the connections to one worker. It is safe for concurrent use.
type Worker struct {
	mu    sync.Mutex
	share int
	open  int
	pools map[*Pool]struct{}
}

// NewWorker returns a worker without connections. share is the maximum number of
// open connections.
func NewWorker(share int) *Worker {
	return &Worker{share: share, pools: map[*Pool]struct{}{}}
}

// SetShare sets the maximum number of open connections. Idle connections above it
// are closed immediately, busy ones after their request.
func (w *Worker) SetShare(share int) {
	w.mu.Lock()
	w.share = share
	closing := w.trim()
	w.mu.Unlock()
	closeAll(closing)
}

// Open returns the number of open connections.
func (w *Worker) Open() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.open
}

// Share returns the maximum number of open connections.
func (w *Worker) Share() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.share
}

// trim removes idle connections until the open ones are within the share. It
// returns them for closing. The caller holds mu.
func (w *Worker) trim() []*wire.Conn {
	var closing []*wire.Conn
	for w.open > w.share {
		c := w.takeIdle()
		if c == nil {
			break
		}
		w.open--
		closing = append(closing, c)
	}
	return closing
}

// takeIdle removes the least recently verified idle connection. The caller holds
// mu and decrements open.
func (w *Worker) takeIdle() *wire.Conn {
	var from *Pool
	for p := range w.pools {
		if len(p.idle) > 0 && (from == nil || p.idle[0].LastVerified().Before(from.idle[0].LastVerified())) {
			from = p
		}
	}
	if from == nil {
		return nil
	}
	c := from.idle[0]
	from.idle = from.idle[1:]
	return c
}

func closeAll(conns []*wire.Conn) {
	for _, c := range conns {
		c.Close()
	}
}

// Pool holds the connections to one endpoint. It is safe for concurrent use.
type Pool struct {
	worker *Worker
	// The worker's lock guards the fields below.
	idle []*wire.Conn
	// suspectUntil is the opening time up to which connections are suspect.
	suspectUntil time.Time
	closed       bool
}

// NewPool returns a pool without connections for an endpoint of the worker.
func (w *Worker) NewPool() *Pool {
	p := &Pool{worker: w}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pools[p] = struct{}{}
	return p
}
