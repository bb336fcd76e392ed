package admission

import (
	"errors"
	"sync"
	"time"
)

// Level is the urgency of a request.
type Level uint8

// Levels in the order in which they are admitted.
const (
	Critical Level = iota
	MayWait
	levelCount
)

// Errors of Gate.Enter. In both cases the request was not admitted.
var (
	ErrQueueFull = errors.New("queue is full")
	ErrDeadline  = errors.New("deadline passed in the queue")
)

// mayWaitPercent is the percentage of a gate's limit that is open to work that may
// wait. The rest lets urgent work be admitted without a wait.
const mayWaitPercent = 75

// Gate admits requests up to a limit and queues further ones by level. It is safe
// for concurrent use.
type Gate struct {
	mu        sync.Mutex
	limit     int
	maxQueued int
	inFlight  int
	queues    [levelCount][]*waiter
}

// waiter is one queued request.
type waiter struct {
	// result receives nil for an admission, or the error of a refusal.
	result   chan error
	resolved bool
}

// NewGate returns a gate that admits limit requests at a time and queues maxQueued.
func NewGate(limit, maxQueued int) *Gate {
	return &Gate{limit: limit, maxQueued: maxQueued}
}

// SetLimit replaces the limit and admits queued requests for which there is room.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.admit()
}

// AddLimit adds delta to the limit and admits queued requests for which there is
// room.
func (g *Gate) AddLimit(delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit += delta
	g.admit()
}

// InFlight returns the number of admitted requests that have not left.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Enter admits one request, waiting for room for at most wait. After a nil result
// the caller must call Leave when the request ends.
func (g *Gate) Enter(level Level, wait time.Duration) error {
	w, err := g.admitOrQueue(level)
	if w == nil {
		return err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case err := <-w.result:
		return err
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.resolved {
		return <-w.result
	}
	g.remove(level, w)
	return ErrDeadline
}

// admitOrQueue admits or refuses a request, or queues it and returns its waiter.
// The waiter is nil unless the request is queued.
func (g *Gate) admitOrQueue(level Level) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hasRoom(level) && len(g.queues[level]) == 0 {
		g.inFlight++
		return nil, nil
	}
	if g.queueLength() >= g.maxQueued && !g.evict(level) {
		return nil, ErrQueueFull
	}
	w := &waiter{result: make(chan error, 1)}
	g.queues[level] = append(g.queues[level], w)
	return w, nil
}

// Leave ends an admitted request.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.admit()
}

// hasRoom reports whether a request of level can be admitted now. Work that may
// wait has room for at least one request unless the limit is 0. The caller holds
// mu.
func (g *Gate) hasRoom(level Level) bool {
	limit := g.limit
	if level == MayWait {
		limit = max(limit*mayWaitPercent/100, min(limit, 1))
	}
	return g.inFlight < limit
}

func (g *Gate) queueLength() int {
	n := 0
	for _, q := range g.queues {
		n += len(q)
	}
	return n
}

// evict refuses the last waiter of the least urgent level below the given one, to
// make room in the queue. It reports whether there was one. The caller holds mu.
func (g *Gate) evict(level Level) bool {
	for l := levelCount - 1; l > level; l-- {
		if n := len(g.queues[l]); n > 0 {
			g.resolve(g.queues[l][n-1], ErrQueueFull)
			g.queues[l] = g.queues[l][:n-1]
			return true
		}
	}
	return false
}

// admit admits queued requests for which there is room, most urgent first. The
// caller holds mu.
func (g *Gate) admit() {
	for level := range levelCount {
		for len(g.queues[level]) > 0 && g.hasRoom(level) {
			w := g.queues[level][0]
			g.queues[level] = g.queues[level][1:]
			g.inFlight++
			g.resolve(w, nil)
		}
	}
}

func (g *Gate) resolve(w *waiter, err error) {
	w.resolved = true
	w.result <- err
}

func (g *Gate) remove(level Level, w *waiter) {
	for i, other := range g.queues[level] {
		if other == w {
			g.queues[level] = append(g.queues[level][:i], g.queues[level][i+1:]...)
			return
		}
	}
}
