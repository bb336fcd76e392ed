package pool

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/connection/wire"
)

// Take removes and returns the idle connection that was verified last, or nil if
// that was before since. It discards connections that the endpoint closed.
func (p *Pool) Take(since time.Time) *wire.Conn {
	for {
		c := p.popIdle(since)
		if c == nil || c.Reusable() {
			return c
		}
		p.Discard(c)
	}
}

func (p *Pool) popIdle(since time.Time) *wire.Conn {
	p.worker.mu.Lock()
	defer p.worker.mu.Unlock()
	n := len(p.idle)
	if n == 0 || p.idle[n-1].LastVerified().Before(since) {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// Reserve makes room for one new connection, closing an idle connection to
// the worker if needed. It returns ErrShareExhausted when all connections of the
// share are busy. The caller must pass the connection to Put or Discard, or call
// Unreserve.
func (p *Pool) Reserve() error {
	p.worker.mu.Lock()
	var closing *wire.Conn
	if p.worker.open >= p.worker.share {
		closing = p.worker.takeIdle()
		if closing == nil {
			p.worker.mu.Unlock()
			return ErrShareExhausted
		}
		p.worker.open--
	}
	p.worker.open++
	p.worker.mu.Unlock()
	if closing != nil {
		closing.Close()
	}
	return nil
}

// Unreserve releases the reservation of a connection that was not opened.
func (p *Pool) Unreserve() {
	p.worker.mu.Lock()
	p.worker.open--
	p.worker.mu.Unlock()
}

// Put returns a connection to the pool after its response was read completely at
// time now.
func (p *Pool) Put(c *wire.Conn, now time.Time) {
	c.MarkVerified(now)
	p.worker.mu.Lock()
	if p.closed || p.worker.open > p.worker.share {
		p.worker.open--
		p.worker.mu.Unlock()
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.worker.mu.Unlock()
}

// Discard closes a connection that must not carry another request.
func (p *Pool) Discard(c *wire.Conn) {
	c.Close()
	p.Unreserve()
}

// CloseSuspect closes the idle connections that were opened no later than opened
// and not verified after since. It is called when a connection of that age
// stopped responding; the endpoint itself is not treated as failed.
func (p *Pool) CloseSuspect(opened, since time.Time) {
	p.worker.mu.Lock()
	var closing []*wire.Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.Opened().After(opened) || c.LastVerified().After(since) {
			kept = append(kept, c)
			continue
		}
		closing = append(closing, c)
	}
	p.idle = kept
	p.worker.open -= len(closing)
	if opened.After(p.suspectUntil) {
		p.suspectUntil = opened
	}
	p.worker.mu.Unlock()
	closeAll(closing)
}

// Expire closes the idle connections that were last verified before since.
func (p *Pool) Expire(since time.Time) {
	p.worker.mu.Lock()
	n := 0
	for n < len(p.idle) && p.idle[n].LastVerified().Before(since) {
		n++
	}
	closing := append([]*wire.Conn(nil), p.idle[:n]...)
	p.idle = p.idle[n:]
	p.worker.open -= n
	p.worker.mu.Unlock()
	closeAll(closing)
}

// Close closes the idle connections; busy ones are closed after their request.
func (p *Pool) Close() {
	p.worker.mu.Lock()
	closing := p.idle
	p.idle = nil
	p.closed = true
	p.worker.open -= len(closing)
	delete(p.worker.pools, p)
	p.worker.mu.Unlock()
	closeAll(closing)
}
