package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func TestLimit(t *testing.T) {
	const target = 100 * time.Millisecond
	l := NewLimit(64)
	must.Eq(t, initialLimit, l.Value())
	for range 200 {
		l.Observe(Sample{Now: start, Latency: time.Millisecond, Target: target, InFlight: 1})
	}
	must.Eq(t, initialLimit, l.Value(), must.Sprint("an unused limit does not grow"))
	for range 10_000 {
		l.Observe(Sample{Now: start, Latency: time.Millisecond, Target: target, InFlight: l.Value()})
	}
	must.Eq(t, 64, l.Value())
	for range 50 {
		l.Observe(Sample{Now: start, Latency: 2 * target, Target: target, InFlight: 64})
	}
	must.Eq(t, 51, l.Value(), must.Sprint("one cut for all requests that met the same queue"))
	for i := range 100 {
		now := start.Add(time.Duration(i) * target)
		l.Observe(Sample{Now: now, Latency: time.Millisecond, Target: target, InFlight: 1, Overloaded: true})
	}
	must.Eq(t, minLimit, l.Value())
	l.SetMax(0)
	must.Eq(t, 0, l.Value())
}

// enter calls Enter in a new goroutine, waits until the request is queued or
// admitted, and returns the channel of its result.
func enter(g *Gate, level Level) <-chan error {
	result := make(chan error, 1)
	queued := g.waiting(level)
	go func() { result <- g.Enter(level, time.Minute) }()
	for g.waiting(level) == queued && len(result) == 0 {
		time.Sleep(time.Microsecond)
	}
	return result
}

// waiting returns a number that changes when a request of level is queued or
// admitted.
func (g *Gate) waiting(level Level) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queues[level]) + g.inFlight*1000
}

func TestGateAdmitsCriticalFirst(t *testing.T) {
	g := NewGate(1, 10)
	must.NoError(t, g.Enter(Critical, 0))
	mayWait := enter(g, MayWait)
	critical := enter(g, Critical)
	g.Leave()
	must.NoError(t, <-critical)
	must.Eq(t, 0, len(mayWait))
	g.Leave()
	must.NoError(t, <-mayWait)
}

func TestGateEvictsMayWaitFirst(t *testing.T) {
	g := NewGate(1, 2)
	must.NoError(t, g.Enter(Critical, 0))
	first, second := enter(g, MayWait), enter(g, MayWait)
	must.ErrorIs(t, g.Enter(MayWait, time.Minute), ErrQueueFull)
	critical := enter(g, Critical)
	must.ErrorIs(t, <-second, ErrQueueFull)
	must.Eq(t, 0, len(first))
	must.Eq(t, 0, len(critical))
}

func TestGateReservesRoomForCritical(t *testing.T) {
	g := NewGate(8, 0)
	for range 6 {
		must.NoError(t, g.Enter(MayWait, 0))
	}
	must.ErrorIs(t, g.Enter(MayWait, 0), ErrQueueFull)
	must.NoError(t, g.Enter(Critical, 0))
	must.NoError(t, g.Enter(Critical, 0))
	must.ErrorIs(t, g.Enter(Critical, 0), ErrQueueFull)
}

func TestGateDeadline(t *testing.T) {
	g := NewGate(0, 1)
	must.ErrorIs(t, g.Enter(Critical, 0), ErrDeadline)
	must.Eq(t, 0, g.InFlight())
	waiting := enter(g, Critical)
	g.SetLimit(1)
	must.NoError(t, <-waiting)
	must.Eq(t, 1, g.InFlight())
}
