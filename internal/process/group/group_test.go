package group

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// lossyStore is a store that refuses joins, or delays or loses the answers.
// answerLost and delay get the number of the join, counted from 1; each function
// may be nil.
type lossyStore struct {
	store.Store
	joins      atomic.Int64
	answerLost func(n int64) bool
	delay      func(n int64) time.Duration
	// throttled reports whether a join exceeds the store's rate limit.
	throttled func() bool
}

// Join implements store.Store.
func (l *lossyStore) Join(ctx context.Context, m store.Membership) (store.Assignment, error) {
	n := l.joins.Add(1)
	if l.throttled != nil && l.throttled() {
		return store.Assignment{}, store.ErrThrottled
	}
	if l.delay != nil {
		time.Sleep(l.delay(n))
	}
	a, err := l.Store.Join(ctx, m)
	if l.answerLost != nil && l.answerLost(n) {
		<-ctx.Done()
		return store.Assignment{}, platform.ErrOutcomeUnknown
	}
	return a, err
}

// runMember runs a member for the given time and returns the maximum time since
// the latest answered join was sent, taken after the first second.
func runMember(t *testing.T, s store.Store, runFor time.Duration, onResult func(store.Assignment, error)) time.Duration {
	begun := time.Now()
	clock := func() time.Duration { return time.Since(begun) }
	m := New(s, clock, "g", "h", "topic")
	ctx, cancel := context.WithTimeout(t.Context(), runFor)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		m.Run(ctx, onResult)
		close(ended)
	}()
	maxAge := time.Duration(0)
	for clock() < runFor {
		time.Sleep(10 * time.Millisecond)
		if clock() > time.Second {
			maxAge = max(maxAge, m.ConfirmationAge())
		}
	}
	<-ended
	return maxAge
}

func ignoreResult(store.Assignment, error) {}

// TestLostAnswersKeepConfirmationFresh: while the store loses two of three answers
// to joins, the next joins must not wait for them. In an incident with many lost
// answers to writes they did, and the owner concluded that it was cut off from
// the store.
func TestLostAnswersKeepConfirmationFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lossyStore{Store: memstore.New().View("h"), answerLost: func(n int64) bool { return n%3 != 0 }}
		must.Less(t, 800*time.Millisecond, runMember(t, s, 10*time.Second, ignoreResult))
	})
}

// TestJoinsContinueDuringCallback: the callback may take seconds while it takes a
// shard over from a slow store. Joins that waited for it made the host lose its
// membership in the meantime.
func TestJoinsContinueDuringCallback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lossyStore{Store: memstore.New().View("h")}
		busy := false
		maxAge := runMember(t, s, 6*time.Second, func(store.Assignment, error) {
			must.False(t, busy, must.Sprint("one call at a time"))
			busy = true
			time.Sleep(2 * time.Second)
			busy = false
		})
		must.Less(t, TTL/2, maxAge)
	})
}

// TestOvertakenAnswerIsDiscarded: answers on different connections may arrive out
// of order; the member must not go back to an older assignment.
func TestOvertakenAnswerIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := memstore.New().View("h")
		s := &lossyStore{Store: view, delay: func(n int64) time.Duration {
			if n%2 == 0 {
				return 300 * time.Millisecond
			}
			return 0
		}}
		newest := platform.Epoch(0)
		runMember(t, s, 5*time.Second, func(a store.Assignment, err error) {
			must.NoError(t, err)
			must.GreaterEq(t, newest, a.Epoch)
			newest = a.Epoch
		})
		must.Positive(t, newest)
	})
}

// TestPendingJoinsAreBounded: a store that never answers gets no more concurrent
// joins than start before the first one times out.
func TestPendingJoinsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lossyStore{Store: memstore.New().View("h"), answerLost: func(int64) bool { return true }}
		runMember(t, s, 4*time.Second, ignoreResult)
		must.Between(t, 10, s.joins.Load(), 21)
	})
}

// TestThrottledJoinsSlowDown: a member must join less often once the store has
// refused a join because of its rate limit. With 300 hosts the joins alone
// exceeded the limit, and the shard was left without an owner.
func TestThrottledJoinsSlowDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The store accepts three joins a second.
		tokens, refilled := 3.0, time.Now()
		var mu sync.Mutex
		s := &lossyStore{Store: memstore.New().View("h"), throttled: func() bool {
			mu.Lock()
			defer mu.Unlock()
			tokens = min(3, tokens+3*time.Since(refilled).Seconds())
			refilled = time.Now()
			if tokens < 1 {
				return true
			}
			tokens--
			return false
		}}
		must.Less(t, TTL, runMember(t, s, 9*time.Second, ignoreResult))
		must.LessEq(t, 9*3, s.joins.Load())
	})
}
