package day

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
)

// Sizes of messages in bytes, with headers and without payloads.
const (
	orderBytes = 350
	replyBytes = 150
	rowBytes   = 70
)

// pipe is one direction of a network link, which carries one message after the other.
// It is safe for concurrent use.
type pipe struct {
	// bytesPerSecond is the bandwidth.
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when the last message has passed.
	freeAt time.Duration
}

// send queues a message of the given size at now and returns the time until it has
// passed.
func (p *pipe) send(now time.Duration, size int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeAt = max(now, p.freeAt) + time.Duration(float64(size)/p.bytesPerSecond*float64(time.Second))
	return p.freeAt - now
}

// narrowLink connects a host to the workers over a link of limited bandwidth. A message
// that waits longer than its sender still arrives. It implements fleet.Workers.
type narrowLink struct {
	*link
	out, in pipe
}

var _ fleet.Workers = (*narrowLink)(nil)

func newNarrowLink(l *link, bytesPerSecond float64) *narrowLink {
	return &narrowLink{link: l, out: pipe{bytesPerSecond: bytesPerSecond}, in: pipe{bytesPerSecond: bytesPerSecond}}
}

// exchange sends a worker an order of the given size and waits up to timeout for the answer.
// carryOut executes the order and returns the answer and its size, or false if there is
// no answer.
func exchange[T any](l *narrowLink, w fleet.Worker, timeout time.Duration, size int, carryOut func() (T, int, bool)) (T, error) {
	answers := make(chan T, 1)
	go func() {
		time.Sleep(l.out.send(l.sim.now(), size))
		if _, err := l.sendTo(w, timeout); err != nil {
			return
		}
		answer, answerSize, answered := carryOut()
		if !answered {
			return
		}
		time.Sleep(l.in.send(l.sim.now(), answerSize) + networkDelay)
		answers <- answer
	}()
	select {
	case a := <-answers:
		return a, nil
	case <-l.killed:
	case <-time.After(timeout):
	}
	var none T
	return none, fmt.Errorf("%w: no answer from the worker", platform.ErrOutcomeUnknown)
}

// Start implements fleet.Workers.
func (l *narrowLink) Start(_ context.Context, w fleet.Worker, o fleet.StartOrder) (fleet.Answer, error) {
	return exchange(l, w, orderTimeout, orderBytes+len(o.Payload), func() (fleet.Answer, int, bool) {
		a, answered := l.sim.cluster.Start(l.sim.now(), w.ID, o)
		return a, replyBytes, answered
	})
}

// Stop implements fleet.Workers.
func (l *narrowLink) Stop(_ context.Context, w fleet.Worker, o fleet.StopOrder) (fleet.Answer, error) {
	return exchange(l, w, orderTimeout, orderBytes, func() (fleet.Answer, int, bool) {
		a, answered := l.sim.cluster.Stop(l.sim.now(), w.ID, o)
		return a, replyBytes, answered
	})
}

// Throttle implements fleet.Workers.
func (l *narrowLink) Throttle(_ context.Context, w fleet.Worker, o fleet.ThrottleOrder) (fleet.Answer, error) {
	return exchange(l, w, orderTimeout, orderBytes, func() (fleet.Answer, int, bool) {
		a, answered := l.sim.cluster.Throttle(l.sim.now(), w.ID, o)
		return a, replyBytes, answered
	})
}

// Renew implements fleet.Workers.
func (l *narrowLink) Renew(ctx context.Context, w fleet.Worker, o fleet.RenewOrder) (fleet.RenewReply, error) {
	return exchange(l, w, renewTimeout+o.Wait, orderBytes, func() (fleet.RenewReply, int, bool) {
		reply, err := l.link.Renew(ctx, w, o)
		return reply, replyBytes + rowBytes*(len(reply.Running)+len(reply.Ended)), err == nil
	})
}
