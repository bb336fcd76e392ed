package node

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

func TestOutcomes(t *testing.T) {
	for want, err := range map[string]error{
		"":            nil,
		"throttled":   fmt.Errorf("append: %w", store.ErrThrottled),
		"unavailable": store.ErrFull,
		"unanswered":  platform.ErrOutcomeUnknown,
		"fenced":      &store.FencedError{},
		"expired":     &platform.OffsetExpiredError{},
		"failed":      errors.New("other"),
	} {
		must.Eq(t, want, outcomeOf(err))
	}
}

// TestStoreCallsAreCounted: calls are counted by kind and outcome, and the long-poll
// time of a read is not part of its duration.
func TestStoreCallsAreCounted(t *testing.T) {
	view := memstore.New().View("host")
	now := time.Duration(0)
	registry := metrics.NewRegistry()
	s := &instrumentedStore{Store: view, metrics: registry, clock: func() time.Duration { now += 50 * time.Millisecond; return now }}
	p := store.Partition{Topic: JobTopic}
	_, err := s.Append(t.Context(), p, []store.Record{{Key: "a"}}, nil)
	must.NoError(t, err)
	view.Set(memstore.Busy, 0)
	_, err = s.Append(t.Context(), p, []store.Record{{Key: "a"}}, nil)
	must.ErrorIs(t, err, store.ErrUnavailable)
	view.Set(memstore.Healthy, 0)
	_, err = s.Read(t.Context(), p, 0, 40*time.Millisecond)
	must.NoError(t, err)
	must.Eq(t, 2, metrics.GetOrRegisterTimer("store.append", registry).Count())
	must.Eq(t, 1, metrics.GetOrRegisterCounter("store.append_unavailable", registry).Count())
	must.Eq(t, int64(10*time.Millisecond), metrics.GetOrRegisterTimer("store.read", registry).Max())
}

func TestOutcomeUnknown(t *testing.T) {
	for _, c := range []struct {
		err     error
		unknown bool
	}{
		{nil, false},
		{&RefusedError{}, false},
		{fmt.Errorf("append: %w", store.ErrThrottled), false},
		{platform.ErrOutcomeUnknown, true},
		// A later attempt that certainly failed says nothing about earlier ones.
		{fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, store.ErrUnavailable), true},
		{errors.New("other"), true},
	} {
		must.Eq(t, c.unknown, OutcomeUnknown(c.err), must.Sprint(c.err))
	}
}
