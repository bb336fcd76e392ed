package node

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/bootclock"
)

// instrumentedStore measures the calls to a store, counts failures by kind and outcome,
// and limits the wait for the answer to an append. It implements store.Store.
type instrumentedStore struct {
	store.Store
	metrics metrics.Registry
	clock   bootclock.Clock
	// appendTimeout applies to appends only, since every caller of Append retries.
	appendTimeout adaptiveTimeout
	// shard observes the calls to the partition of the shard, unless it is nil.
	shard     *partitionAnswers
	partition store.Partition
}

// recordCall updates the metrics with one call. The long-poll time that a read may
// wait is subtracted from its duration.
func (s *instrumentedStore) recordCall(kind string, started, wait time.Duration, err error) {
	metrics.GetOrRegisterTimer("store."+kind, s.metrics).Update(max(0, s.clock()-started-wait))
	if outcome := outcomeOf(err); outcome != "" {
		metrics.GetOrRegisterCounter("store."+kind+"_"+outcome, s.metrics).Inc(1)
	}
}

// outcomeOf classifies the error of a store call for metrics. It returns "" if the
// call succeeded.
func outcomeOf(err error) string {
	var fenced *store.FencedError
	var expired *platform.OffsetExpiredError
	switch {
	case err == nil:
		return ""
	case errors.Is(err, store.ErrThrottled):
		return "throttled"
	case errors.Is(err, store.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return "unanswered"
	case errors.As(err, &fenced):
		return "fenced"
	case errors.As(err, &expired):
		return "expired"
	}
	return "failed"
}

// Append implements store.Store.
func (s *instrumentedStore) Append(ctx context.Context, p store.Partition, records []store.Record, w *store.Writer) (platform.Offset, error) {
	started := s.clock()
	var offset platform.Offset
	err := s.observe(ctx, p, func() (err error) {
		ctx, cancel := context.WithTimeout(ctx, s.appendTimeout.next())
		defer cancel()
		if s.shard != nil {
			var stop context.CancelFunc
			ctx, stop = s.shard.untilRegained(ctx)
			defer stop()
		}
		offset, err = s.Store.Append(ctx, p, records, w)
		return err
	})
	s.recordCall("append", started, 0, err)
	switch outcomeOf(err) {
	case "unanswered", "failed":
		s.appendTimeout.recordTimeout()
	case "unavailable", "throttled":
	default:
		s.appendTimeout.recordAnswer(s.clock() - started)
	}
	return offset, err
}

// Read implements store.Store.
func (s *instrumentedStore) Read(ctx context.Context, p store.Partition, from platform.Offset, wait time.Duration) (store.Page, error) {
	started := s.clock()
	var page store.Page
	err := s.observe(ctx, p, func() (err error) {
		page, err = s.Store.Read(ctx, p, from, wait)
		return err
	})
	s.recordCall("read", started, wait, err)
	return page, err
}

// observe makes a call to a partition, and has it observed if the partition is the shard's.
func (s *instrumentedStore) observe(ctx context.Context, p store.Partition, call func() error) error {
	if s.shard == nil || p != s.partition {
		return call()
	}
	return s.shard.observe(ctx, call)
}

// Newest implements store.Store.
func (s *instrumentedStore) Newest(ctx context.Context, p store.Partition, after *string) (store.NewestPage, error) {
	started := s.clock()
	page, err := s.Store.Newest(ctx, p, after)
	s.recordCall("newest", started, 0, err)
	return page, err
}

// Join implements store.Store.
func (s *instrumentedStore) Join(ctx context.Context, m store.Membership) (store.Assignment, error) {
	started := s.clock()
	a, err := s.Store.Join(ctx, m)
	s.recordCall("join", started, 0, err)
	return a, err
}
