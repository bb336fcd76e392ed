package keyed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/repeat"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// delayedStore answers each read after a time of its own.
type delayedStore struct {
	store.Store
	// answerAfter returns the time until a read is answered.
	answerAfter func(newConnection bool) time.Duration
	timeout     time.Duration

	mu             sync.Mutex
	calls          int
	underWay, most int
}

// delay waits as long as the answer to a call takes. It fails at the call's timeout.
func (s *delayedStore) delay(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	s.underWay++
	s.most = max(s.most, s.underWay)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.underWay--
		s.mu.Unlock()
	}()
	answer := s.answerAfter(platform.WantsNewConnection(ctx))
	select {
	case <-time.After(min(answer, s.timeout)):
		if answer > s.timeout {
			return platform.ErrOutcomeUnknown
		}
		return nil
	case <-ctx.Done():
		return platform.ErrOutcomeUnknown
	}
}

// Read implements store.Store.
func (s *delayedStore) Read(ctx context.Context, p store.Partition, from platform.Offset, wait time.Duration) (store.Page, error) {
	if err := s.delay(ctx); err != nil {
		return store.Page{}, err
	}
	return s.Store.Read(ctx, p, from, wait)
}

// Newest implements store.Store.
func (s *delayedStore) Newest(ctx context.Context, p store.Partition, after *string) (store.NewestPage, error) {
	if err := s.delay(ctx); err != nil {
		return store.NewestPage{}, err
	}
	return s.Store.Newest(ctx, p, after)
}

const never = time.Hour

// followDelayed returns a follower with a bound of two seconds of a store that holds one
// record, and counts the calls of OnOverdue.
func followDelayed(t *testing.T, s *delayedStore) (f *Follower, overdue *int) {
	t.Helper()
	stored := memstore.New()
	stored.Put(partition, store.Record{Key: "a", Value: []byte("1")})
	s.Store = stored.View("h1")
	overdue = new(int)
	return NewFollower(FollowerConfig{
		Store: s, Partition: partition, Within: 2 * time.Second,
		OnOverdue: func(store.Partition, time.Duration) { *overdue++ },
	}), overdue
}

// TestReadIsRepeatedOnNewConnection guards against a read that waits on a dead connection.
func TestReadIsRepeatedOnNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &delayedStore{timeout: 12 * time.Second, answerAfter: func(newConnection bool) time.Duration {
			if newConnection {
				return time.Millisecond
			}
			return never
		}}
		f, overdue := followDelayed(t, s)
		started := time.Now()
		changes, err := f.Next(t.Context())
		must.NoError(t, err)
		must.Len(t, 1, changes.Records)
		must.Less(t, 600*time.Millisecond, time.Since(started))
		must.Eq(t, 1, *overdue)
		time.Sleep(time.Minute)
	})
}

// TestLateAnswerCounts guards against a busy link on which each answer is dropped as late.
func TestLateAnswerCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &delayedStore{timeout: 12 * time.Second, answerAfter: func(bool) time.Duration { return 4 * time.Second }}
		f, _ := followDelayed(t, s)
		changes, err := f.Next(t.Context())
		must.NoError(t, err)
		must.Len(t, 1, changes.Records)
		time.Sleep(time.Minute)
	})
}

// TestSilentStoreGetsFewReads guards against reads that pile up while a store is silent.
func TestSilentStoreGetsFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &delayedStore{timeout: 12 * time.Second, answerAfter: func(bool) time.Duration { return never }}
		f, overdue := followDelayed(t, s)
		_, err := f.Next(t.Context())
		must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		must.Eq(t, 1, *overdue)
		time.Sleep(time.Minute)
		s.mu.Lock()
		defer s.mu.Unlock()
		must.Eq(t, 1+repeat.MaxUnderWay, s.most)
		must.LessEq(t, 25, s.calls, must.Sprint("12 s, two reads a second"))
		must.Zero(t, s.underWay)
	})
}

// TestReadAfterFailureDoesNotWait guards against a wait for changes after a failed read.
func TestReadAfterFailureDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var silent atomic.Bool
		s := &delayedStore{timeout: 1500 * time.Millisecond, answerAfter: func(bool) time.Duration {
			if silent.Load() {
				return never
			}
			return time.Millisecond
		}}
		f, _ := followDelayed(t, s)
		_, err := f.Next(t.Context())
		must.NoError(t, err)
		silent.Store(true)
		_, err = f.Next(t.Context())
		must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		time.AfterFunc(100*time.Millisecond, func() { silent.Store(false) })
		started := time.Now()
		_, err = f.Next(t.Context())
		must.NoError(t, err)
		must.Less(t, 600*time.Millisecond, time.Since(started))
		time.Sleep(time.Minute)
	})
}

// TestRefusalEndsRead guards against a refusal that is hidden by a read under way.
func TestRefusalEndsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := memstore.New().View("h1")
		view.Set(memstore.Unresponsive, 0)
		f := NewFollower(FollowerConfig{Store: view, Partition: partition, Within: 2 * time.Second})
		time.AfterFunc(100*time.Millisecond, func() { view.Set(memstore.Busy, 0) })
		started := time.Now()
		_, err := f.Next(t.Context())
		must.ErrorIs(t, err, store.ErrUnavailable)
		must.Less(t, 600*time.Millisecond, time.Since(started))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		view.Set(memstore.Unresponsive, 0)
		_, err = f.Next(ctx)
		must.True(t, errors.Is(err, context.DeadlineExceeded))
		time.Sleep(time.Minute)
	})
}
