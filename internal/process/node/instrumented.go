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
}

// recordCall updates the metrics with one call. The long-poll time that a read may
// wait is subtracted from its duration.
func (o *instrumentedStore) recordCall(kind string, started, wait time.Duration, err error) {
	metrics.GetOrRegisterTimer("store."+kind, o.metrics).Update(max(0, o.clock()-started-wait))
	if outcome := outcomeOf(err); outcome != "" {
		metrics.GetOrRegisterCounter("store."+kind+"_"+outcome, o.metrics).Inc(1)
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
func (o *instrumentedStore) Append(ctx context.Context, p store.Partition, records []store.Record, w *store.Writer) (platform.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, o.appendTimeout.next())
	defer cancel()
	started := o.clock()
	offset, err := o.Store.Append(ctx, p, records, w)
	o.recordCall("append", started, 0, err)
	switch outcomeOf(err) {
	case "unanswered", "failed":
		o.appendTimeout.recordTimeout()
	case "unavailable", "throttled":
	default:
		o.appendTimeout.recordAnswer(o.clock() - started)
	}
	return offset, err
}

// Read implements store.Store.
func (o *instrumentedStore) Read(ctx context.Context, p store.Partition, from platform.Offset, wait time.Duration) (store.Page, error) {
	started := o.clock()
	page, err := o.Store.Read(ctx, p, from, wait)
	o.recordCall("read", started, wait, err)
	return page, err
}

// Newest implements store.Store.
func (o *instrumentedStore) Newest(ctx context.Context, p store.Partition) (store.Page, error) {
	started := o.clock()
	page, err := o.Store.Newest(ctx, p)
	o.recordCall("newest", started, 0, err)
	return page, err
}

// Join implements store.Store.
func (o *instrumentedStore) Join(ctx context.Context, m store.Membership) (store.Assignment, error) {
	started := o.clock()
	a, err := o.Store.Join(ctx, m)
	o.recordCall("join", started, 0, err)
	return a, err
}
