package dispatch

import (
	"context"
	"io"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestMain starts the library's clock of meters outside of any bubble: it never
// ends.
func TestMain(m *testing.M) {
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}

// moody is a store whose appends fail, or get no answer, as it is told.
type moody struct {
	store.Store
	busy, silent atomic.Bool
}

// Append implements store.Store.
func (m *moody) Append(ctx context.Context, _ store.Partition, _ []store.Record, _ *store.Writer) (platform.Offset, error) {
	switch {
	case m.busy.Load():
		return 0, store.ErrUnavailable
	case m.silent.Load():
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return 0, platform.ErrOutcomeUnknown
	}
	return 0, nil
}

// writing runs a dispatcher on a store and calls f.
func writing(t *testing.T, s *moody, f func(d *Dispatcher)) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		begun := time.Now()
		d, err := New(Config{
			Store: s, Ownership: job.Ownership{Epoch: 1, Claim: 1}, Logger: logger, Metrics: metrics.NewRegistry(),
			AppendBytes: 1 << 20, Bounds: scheduler.Bounds{MaxLease: 10 * time.Second},
			Clock:     func() time.Duration { return time.Since(begun) },
			Confirmed: func() time.Duration { return 0 },
			Recorded:  func([]store.Record) {},
			Expired:   func(int) []job.ID { return nil },
		})
		must.NoError(t, err)
		d.Start()
		f(d)
		d.Abort()
		time.Sleep(time.Minute)
	})
}

// writeFor lets a caller wait for a record, and tells for how long.
func (d *Dispatcher) writeFor(patience time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	begun := time.Now()
	err := d.Write(ctx, store.Record{Key: "k", Value: []byte("v")})
	return time.Since(begun), err
}

// TestWritesDoNotWaitForTheOwnersRecord: a host took the shard over just before the
// store refused appends. Its callers were held until their time was over and told that
// the outcome was open, though nothing had been tried for them.
func TestWritesDoNotWaitForTheOwnersRecord(t *testing.T) {
	s := &moody{}
	s.busy.Store(true)
	writing(t, s, func(d *Dispatcher) {
		took, err := d.writeFor(1600 * time.Millisecond)
		must.ErrorIs(t, err, store.ErrUnavailable)
		must.Less(t, 200*time.Millisecond, took)
		s.busy.Store(false)
		time.Sleep(time.Second)
		_, err = d.writeFor(time.Second)
		must.NoError(t, err)
	})
}

// TestOnlyTriedWritesAreOpen: of two records the first is in an append without an
// answer, so its outcome is open; the second was never tried.
func TestOnlyTriedWritesAreOpen(t *testing.T) {
	s := &moody{}
	writing(t, s, func(d *Dispatcher) {
		time.Sleep(time.Second)
		s.silent.Store(true)
		first := make(chan error, 1)
		go func() {
			_, err := d.writeFor(1600 * time.Millisecond)
			first <- err
		}()
		time.Sleep(100 * time.Millisecond)
		_, err := d.writeFor(1600 * time.Millisecond)
		must.ErrorIs(t, err, store.ErrUnavailable)
		must.ErrorIs(t, <-first, platform.ErrOutcomeUnknown)
	})
}
