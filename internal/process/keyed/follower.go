package keyed

import (
	"context"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/repeat"
)

// FollowerConfig describes a Follower.
type FollowerConfig struct {
	Store     store.Store
	Partition store.Partition
	// Within is the time within which a change has to be known after it was acknowledged,
	// or after the store answers again.
	Within time.Duration
	// OnOverdue, if set, is called once for each read that has not been answered for the
	// given time, before it is repeated.
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
	return repeat.Call(ctx, s.policy(p, overdue), func(ctx context.Context, repeated bool) (store.Page, error) {
		if repeated {
			return s.Store.Read(ctx, p, from, 0)
		}
		return s.Store.Read(ctx, p, from, wait)
	})
}

// Newest implements store.Store.
func (s *repeatedReads) Newest(ctx context.Context, p store.Partition, after *string) (store.NewestPage, error) {
	return repeat.Call(ctx, s.policy(p, s.interval), func(ctx context.Context, _ bool) (store.NewestPage, error) {
		return s.Store.Newest(ctx, p, after)
	})
}

func (s *repeatedReads) policy(p store.Partition, overdue time.Duration) repeat.Policy {
	return repeat.Policy{Overdue: overdue, Interval: s.interval, OnOverdue: func() {
		if s.onOverdue != nil {
			s.onOverdue(p, overdue)
		}
	}}
}
