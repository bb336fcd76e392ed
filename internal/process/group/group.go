// Package group maintains a host's membership in a group of the store, which
// assigns partitions to the members, and reports the host's assignment.
package group

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/bootclock"
	"github.com/siskinvane/siskinvane/internal/process/pause"
)

const (
	// TTL is how long a member keeps its partitions without joining again. It is
	// the minimum that the store allows and tolerates four lost joins.
	TTL = time.Second
	// joinPeriod is the time between two joins.
	joinPeriod = 200 * time.Millisecond
	// throttledJoinPeriod replaces joinPeriod after the store has refused a join
	// because of its rate limit, which all hosts share. Two joins still fit into
	// TTL.
	throttledJoinPeriod = 450 * time.Millisecond
	// throttleDuration is how long throttledJoinPeriod applies after such a
	// refusal.
	throttleDuration = 10 * time.Second
	// maxPendingJoins bounds the joins that wait for an answer: as many as start
	// before the first one times out.
	maxPendingJoins = int(TTL / joinPeriod)
)

// Member is one host's membership in a group. It is safe for concurrent use.
type Member struct {
	store store.Store
	clock bootclock.Clock

	mu         sync.Mutex
	membership store.Membership
	assignment store.Assignment
	// assignmentSentAt is when the join that returned assignment was sent.
	assignmentSentAt time.Duration
	// confirmedAt is when the latest answered join was sent; joined is set once
	// there is one.
	confirmedAt time.Duration
	joined      bool
	// throttledUntil is the end of the time in which throttledJoinPeriod applies.
	throttledUntil time.Duration
	// retaining is set while the member gives up none of its partitions.
	retaining bool
}

// New returns a member that has not joined.
func New(s store.Store, clock bootclock.Clock, groupName, member, topic string) *Member {
	return &Member{store: s, clock: clock, membership: store.Membership{Group: groupName, Member: member, Topic: topic, TTL: TTL}}
}

// Run joins periodically until ctx is done and calls onResult with the latest
// assignment or error, one call at a time. A join waits neither for the previous
// one, whose answer may be lost, nor for onResult. Results that arrive during a
// call of onResult are dropped except for the latest.
func (m *Member) Run(ctx context.Context, onResult func(store.Assignment, error)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	results := make(chan joinResult, 1)
	wg.Go(func() { deliverResults(ctx, results, onResult) })
	pending := make(chan struct{}, maxPendingJoins)
	for ctx.Err() == nil {
		delay := m.joinDelay()
		select {
		case pending <- struct{}{}:
			wg.Go(func() {
				a, err := m.join(ctx)
				<-pending
				replaceUndelivered(results, joinResult{a, err})
			})
		default:
		}
		// The loop ends with the context.
		_ = pause.For(ctx, delay)
	}
}

// joinDelay returns the time to wait until the next join.
func (m *Member) joinDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.clock() < m.throttledUntil {
		return throttledJoinPeriod
	}
	return joinPeriod
}

// joinResult is the outcome of a join.
type joinResult struct {
	assignment store.Assignment
	err        error
}

// replaceUndelivered puts r into results, which holds one result, in place of a
// result that was not delivered yet.
func replaceUndelivered(results chan joinResult, r joinResult) {
	for {
		select {
		case results <- r:
			return
		default:
		}
		select {
		case <-results:
		default:
		}
	}
}

// deliverResults calls onResult with each result until ctx is done.
func deliverResults(ctx context.Context, results <-chan joinResult, onResult func(store.Assignment, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-results:
			if ctx.Err() == nil {
				onResult(r.assignment, r.err)
			}
		}
	}
}

// join sends one join, which it gives up after TTL, and returns the latest known
// assignment.
func (m *Member) join(ctx context.Context) (store.Assignment, error) {
	m.mu.Lock()
	membership := m.membership
	m.mu.Unlock()
	sent := m.clock()
	ctx, cancel := context.WithTimeout(ctx, TTL)
	defer cancel()
	a, err := m.store.Join(ctx, membership)
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.Is(err, store.ErrThrottled) {
		m.throttledUntil = m.clock() + throttleDuration
	}
	if err != nil {
		return m.assignment, err
	}
	m.confirmedAt, m.joined = max(m.confirmedAt, sent), true
	if a.Epoch < m.assignment.Epoch || a.Epoch == m.assignment.Epoch && sent < m.assignmentSentAt {
		// The answer to a later join has arrived before this one.
		return m.assignment, nil
	}
	m.assignment, m.assignmentSentAt = a, sent
	if !m.retaining {
		m.membership.Epoch = a.Epoch
	}
	return a, nil
}

// Keep sets whether the member retains its partitions when the store assigns them
// to another member. The store hands a partition over only once its holder has
// acknowledged the new assignment by joining with its epoch, so an owner can
// keep its shard while other members join and leave the group.
func (m *Member) Keep(keep bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retaining = keep
	if !keep {
		m.membership.Epoch = m.assignment.Epoch
	}
}

// Leave gives up all partitions.
func (m *Member) Leave(ctx context.Context) error {
	m.mu.Lock()
	membership := m.membership
	m.mu.Unlock()
	return m.store.Leave(ctx, membership)
}

// ConfirmationAge returns the time since the latest answered join was sent, or the
// maximum duration if none was answered.
func (m *Member) ConfirmationAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.joined {
		return time.Duration(1<<63 - 1)
	}
	return m.clock() - m.confirmedAt
}
