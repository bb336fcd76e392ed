// Package logservice is an in-memory implementation of the platform's append-only
// log for tests and trials. It keeps streams within a retention limit, serves them
// over HTTP and injects faults.
package logservice

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/pause"
)

// Options configures a Store. The zero value retains everything and sets no limit.
type Options struct {
	Retention Retention
	// AppendsPerSecond limits the rate of appends to all streams together; zero
	// sets no limit. A burst of up to one second's appends is accepted.
	AppendsPerSecond int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Sleep waits for an injected delay; nil means the wall clock.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Store holds the streams. It implements platform.Log as a client without a name,
// for tests that need no network. It is safe for concurrent use.
type Store struct {
	options Options
	faults  Faults

	mu      sync.Mutex
	streams map[string]*stream
	bucket  tokenBucket
}

// NewStore returns an empty store without limits.
func NewStore() *Store { return NewStoreWith(Options{}) }

// NewStoreWith returns an empty store with the given options.
func NewStoreWith(o Options) *Store {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sleep == nil {
		o.Sleep = pause.For
	}
	return &Store{options: o, streams: map[string]*stream{}}
}

// Faults returns the store's injected faults, which the caller may change.
func (s *Store) Faults() *Faults { return &s.faults }

// As returns the log as the named client sees it, injected faults included.
func (s *Store) As(client string) platform.Log { return &clientLog{store: s, client: client} }

// Append implements platform.Log.
func (s *Store) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	return s.As("").Append(ctx, name, data)
}

// Read implements platform.Log.
func (s *Store) Read(ctx context.Context, name string, from platform.Offset, limit int) ([]platform.Entry, error) {
	return s.As("").Read(ctx, name, from, limit)
}

// Span implements platform.Log.
func (s *Store) Span(ctx context.Context, name string) (platform.Span, error) {
	return s.As("").Span(ctx, name)
}

// Trim drops all entries of a stream with offsets below to.
func (s *Store) Trim(name string, to platform.Offset) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[name]
	if st == nil || to > st.next() || to < st.oldest {
		return fmt.Errorf("trim %s to %d: out of range", name, to)
	}
	st.drop(int(to - st.oldest))
	return nil
}

// append adds data to a stream. It returns platform.ErrLogBusy above the limit on
// the rate of appends.
func (s *Store) append(name string, data []byte) (platform.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if !s.bucket.take(s.options.AppendsPerSecond, now) {
		return 0, platform.ErrLogBusy
	}
	st := s.streams[name]
	if st == nil {
		st = &stream{}
		s.streams[name] = st
	}
	offset := st.append(data, now)
	st.expire(s.options.Retention, now)
	return offset, nil
}

func (s *Store) read(name string, from platform.Offset, limit int) ([]platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[name]
	if st == nil {
		return nil, nil
	}
	st.expire(s.options.Retention, s.options.Now())
	if from < st.oldest {
		return nil, &platform.OffsetExpiredError{Stream: name, From: from, Oldest: st.oldest}
	}
	return st.read(from, limit, s.faults.takeDuplicateRead()), nil
}

func (s *Store) span(name string) platform.Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[name]
	if st == nil {
		return platform.Span{}
	}
	st.expire(s.options.Retention, s.options.Now())
	return platform.Span{Oldest: st.oldest, Next: st.next()}
}

// tokenBucket limits the rate of appends. It holds up to one second's worth of
// tokens.
type tokenBucket struct {
	tokens     float64
	lastRefill time.Time
}

// take removes one token from a bucket that is refilled at a rate of perSecond. It
// returns false if there is none. Zero sets no limit.
func (b *tokenBucket) take(perSecond int, now time.Time) bool {
	if perSecond == 0 {
		return true
	}
	if b.lastRefill.IsZero() {
		b.tokens = float64(perSecond)
	} else {
		b.tokens += now.Sub(b.lastRefill).Seconds() * float64(perSecond)
	}
	b.lastRefill = now
	b.tokens = min(b.tokens, float64(perSecond))
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
