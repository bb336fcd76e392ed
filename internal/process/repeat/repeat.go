// Package repeat repeats calls whose answer is overdue, without giving up the earlier ones:
// an answer may be late because the link is slow, or may never come.
package repeat

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// MaxUnderWay is the greatest number of repetitions of a call that are under way.
const MaxUnderWay = 3

// Policy says when a call is repeated.
type Policy struct {
	// Overdue is the time from the call to its first repetition, Interval that between two
	// repetitions. A repetition may take MaxUnderWay times Interval.
	Overdue, Interval time.Duration
	// OnOverdue, if set, is called before the first repetition.
	OnOverdue func()
}

// Call makes a call and repeats it on new connections while no answer comes. It returns the
// first answer, or the error of the first call if that ends without an answer: one that
// matches platform.ErrOutcomeUnknown. The call must be one that may be made several times.
// Those under way at the return end by their timeouts.
func Call[T any](ctx context.Context, p Policy, call func(ctx context.Context, repeated bool) (T, error)) (T, error) {
	c := calls[T]{call: call, outcomes: make(chan outcome[T]), returned: make(chan struct{})}
	defer close(c.returned)
	go c.run(ctx, false)
	underWay, first := 0, true
	timer := time.NewTimer(p.Overdue)
	defer timer.Stop()
	for {
		select {
		case o := <-c.outcomes:
			if !o.repeated || !errors.Is(o.err, platform.ErrOutcomeUnknown) {
				return o.answer, o.err
			}
			underWay--
		case <-timer.C:
			timer.Reset(p.Interval)
			if first && p.OnOverdue != nil {
				p.OnOverdue()
			}
			first = false
			if underWay < MaxUnderWay {
				underWay++
				go c.runRepeated(ctx, MaxUnderWay*p.Interval)
			}
		case <-ctx.Done():
			var none T
			return none, fmt.Errorf("wait for an answer: %w", ctx.Err())
		}
	}
}

// calls is a call and its repetitions, which run side by side.
type calls[T any] struct {
	call     func(ctx context.Context, repeated bool) (T, error)
	outcomes chan outcome[T]
	// returned is closed when outcomes are no longer received.
	returned chan struct{}
}

// outcome is the outcome of a call or of one of its repetitions.
type outcome[T any] struct {
	answer   T
	err      error
	repeated bool
}

func (c *calls[T]) run(ctx context.Context, repeated bool) {
	answer, err := c.call(ctx, repeated)
	select {
	case c.outcomes <- outcome[T]{answer, err, repeated}:
	case <-c.returned:
	}
}

func (c *calls[T]) runRepeated(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(platform.WithNewConnection(ctx), timeout)
	defer cancel()
	c.run(ctx, true)
}
