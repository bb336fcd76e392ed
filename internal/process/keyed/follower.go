package keyed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
)

// FollowerConfig describes a Follower.
type FollowerConfig struct {
	Store     store.Store
	Partition store.Partition
	// Within is the time within which a change has to be known after it was acknowledged,
	// or after the store answers again.
	Within time.Duration
	// OnOverdue, if set, is called when a read has not been answered for the given time and
	// is about to be repeated, once for each call of Next.
	OnOverdue func(p store.Partition, waited time.Duration)
}

// Follower reads the changes of a partition that have to be known within a bound. It does
// not rely on one answer: a read whose answer is overdue goes on, but is repeated on new
// connections, and the first answer counts. It is not safe for concurrent use.
type Follower struct {
	reader  *Reader
	repeats *repeatedReads
	wait    time.Duration
}

// NewFollower returns a follower that has read nothing.
func NewFollower(c FollowerConfig) *Follower {
	// Half of the bound is spent waiting for a change, a quarter until an answer counts as
	// overdue. The last quarter is for the answer to the repeated read.
	interval := c.Within / 4
	repeats := &repeatedReads{Store: c.Store, interval: interval, onOverdue: c.OnOverdue}
	return &Follower{reader: NewReader(repeats, c.Partition), repeats: repeats, wait: 2 * interval}
}

// Next waits a bounded time for changes; see Reader.Next.
func (f *Follower) Next(ctx context.Context) (Changes, error) {
	changes, err := f.reader.Next(ctx, f.wait)
	f.repeats.impatient = err != nil
	return changes, err
}

// maxRepeats is the greatest number of repetitions of a read that are under way.
const maxRepeats = 3

// repeatedReads is a store that repeats reads whose answers are overdue.
type repeatedReads struct {
	store.Store
	// interval is the time that the store may take to answer, and between two repetitions.
	interval  time.Duration
	onOverdue func(store.Partition, time.Duration)
	// impatient is set after a failed call: what has changed meanwhile is needed without
	// waiting for further changes.
	impatient bool
}

// Read implements store.Store. Repetitions do not wait for a change.
func (s *repeatedReads) Read(ctx context.Context, p store.Partition, from platform.Offset, wait time.Duration) (store.Page, error) {
	overdue := wait + s.interval
	if s.impatient {
		overdue = s.interval
	}
	return repeat(ctx, s, p, overdue, func(ctx context.Context, repeated bool) (store.Page, error) {
		if repeated {
			return s.Store.Read(ctx, p, from, 0)
		}
		return s.Store.Read(ctx, p, from, wait)
	})
}

// Newest implements store.Store.
func (s *repeatedReads) Newest(ctx context.Context, p store.Partition, after *string) (store.NewestPage, error) {
	return repeat(ctx, s, p, s.interval, func(ctx context.Context, _ bool) (store.NewestPage, error) {
		return s.Store.Newest(ctx, p, after)
	})
}

// repeat makes a call, and makes it again on a new connection once its answer is overdue
// and after each interval from then on. It returns the first answer, or the error of the
// first call if that ends without an answer. Calls that are still under way at the return
// end by their timeouts.
func repeat[T any](ctx context.Context, s *repeatedReads, p store.Partition, overdue time.Duration, call func(ctx context.Context, repeated bool) (T, error)) (T, error) {
	c := calls[T]{call: call, outcomes: make(chan outcome[T]), returned: make(chan struct{})}
	defer close(c.returned)
	go c.run(ctx, false)
	repetitions, first := 0, true
	timer := time.NewTimer(overdue)
	defer timer.Stop()
	for {
		select {
		case o := <-c.outcomes:
			if !o.repeated || !errors.Is(o.err, platform.ErrOutcomeUnknown) {
				return o.answer, o.err
			}
			repetitions--
		case <-timer.C:
			timer.Reset(s.interval)
			if first && s.onOverdue != nil {
				s.onOverdue(p, overdue)
			}
			first = false
			if repetitions < maxRepeats {
				repetitions++
				go c.runRepeated(ctx, maxRepeats*s.interval)
			}
		case <-ctx.Done():
			var none T
			return none, fmt.Errorf("read %s: %w", p, ctx.Err())
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
	ctx, cancel := context.WithTimeout(store.WithNewConnection(ctx), timeout)
	defer cancel()
	c.run(ctx, true)
}
