package dispatch

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestMain starts the metrics library's global ticker goroutine outside of any synctest
// bubble, because it never ends.
func TestMain(m *testing.M) {
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}

// maxRecordBytes is the largest record that a faultyStore takes.
const maxRecordBytes = 256 << 10

// faultyStore is a store whose appends fail while unavailable is set, or end without a
// known outcome while unresponsive is set. Appends that contain refusedKey always fail.
// Appends that contain a record of more than maxRecordBytes are rejected.
type faultyStore struct {
	store.Store
	unavailable, unresponsive atomic.Bool
	refusedKey                string
	// rejectedKey is the key of a record that is rejected unless rejectNothing is set.
	rejectedKey   string
	rejectNothing atomic.Bool
	rejections    atomic.Int64
}

// Append implements store.Store.
func (s *faultyStore) Append(ctx context.Context, _ store.Partition, records []store.Record, _ *store.Writer) (platform.Offset, error) {
	refused := slices.ContainsFunc(records, func(r store.Record) bool { return r.Key == s.refusedKey })
	tooLarge := slices.ContainsFunc(records, func(r store.Record) bool { return len(r.Value) > maxRecordBytes })
	rejected := !s.rejectNothing.Load() && slices.ContainsFunc(records, func(r store.Record) bool { return r.Key == s.rejectedKey })
	switch {
	case tooLarge || rejected:
		s.rejections.Add(1)
		return 0, store.ErrRejected
	case s.unavailable.Load() || refused:
		return 0, store.ErrUnavailable
	case s.unresponsive.Load():
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return 0, platform.ErrOutcomeUnknown
	}
	return 0, nil
}

// withDispatcher calls f with a running dispatcher on s, in virtual time.
func withDispatcher(t *testing.T, s *faultyStore, f func(d *Dispatcher)) {
	t.Helper()
	withConfiguredDispatcher(t, s, func(*Config) {}, f)
}

// withConfiguredDispatcher is withDispatcher with a change to the configuration.
func withConfiguredDispatcher(t *testing.T, s *faultyStore, change func(*Config), f func(d *Dispatcher)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		started := time.Now()
		c := Config{
			Store: s, Ownership: job.Ownership{Epoch: 1, Claim: 1}, Logger: logger, Metrics: metrics.NewRegistry(),
			AppendBytes: 1 << 20, Bounds: scheduler.Bounds{MaxLease: 10 * time.Second},
			Clock:           func() time.Duration { return time.Since(started) },
			ConfirmationAge: func() time.Duration { return 0 },
			OnRecorded:      func([]store.Record) {},
			ExpiredRecords:  func(int) []store.Record { return nil },
		}
		change(&c)
		d := New(c)
		d.Start()
		f(d)
		d.Abort()
		time.Sleep(time.Minute)
	})
}

// timedWrite writes a record with a timeout and returns how long the call took.
func (d *Dispatcher) timedWrite(timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	started := time.Now()
	err := d.Write(ctx, store.Record{Key: "k", Value: []byte("v")})
	return time.Since(started), err
}

// TestWritesFailWhileOwnershipRecordIsRefused guards against calls that block for
// nothing: a host became owner just before the store refused appends. Callers' writes
// waited for their whole timeout behind the ownership record and then reported an
// unknown outcome, although none of them had been tried.
func TestWritesFailWhileOwnershipRecordIsRefused(t *testing.T) {
	s := &faultyStore{}
	s.unavailable.Store(true)
	withDispatcher(t, s, func(d *Dispatcher) {
		took, err := d.timedWrite(1600 * time.Millisecond)
		must.ErrorIs(t, err, store.ErrUnavailable)
		must.Less(t, 200*time.Millisecond, took)
		s.unavailable.Store(false)
		time.Sleep(time.Second)
		_, err = d.timedWrite(time.Second)
		must.NoError(t, err)
	})
}

// TestOnlyAttemptedWritesHaveUnknownOutcome: of two records, the first is in an append
// that gets no answer, so its outcome is unknown. The second was never tried and must
// fail as not written.
func TestOnlyAttemptedWritesHaveUnknownOutcome(t *testing.T) {
	s := &faultyStore{}
	withDispatcher(t, s, func(d *Dispatcher) {
		time.Sleep(time.Second)
		s.unresponsive.Store(true)
		first := make(chan error, 1)
		go func() {
			_, err := d.timedWrite(1600 * time.Millisecond)
			first <- err
		}()
		time.Sleep(100 * time.Millisecond)
		_, err := d.timedWrite(1600 * time.Millisecond)
		must.ErrorIs(t, err, store.ErrUnavailable)
		must.ErrorIs(t, <-first, platform.ErrOutcomeUnknown)
	})
}

// TestWrittenRecordTakesEffectWithoutLaterAppends: a caller's cancellation was in the log,
// but its tasks ran on while the store refused a later append of the same batch.
func TestWrittenRecordTakesEffectWithoutLaterAppends(t *testing.T) {
	var recorded atomic.Bool
	var writeErr error
	inTime := false
	change := func(c *Config) {
		c.AppendBytes = 1
		c.OnRecorded = func(records []store.Record) {
			recorded.Store(recorded.Load() || records[0].Key == "k")
		}
	}
	s := &faultyStore{refusedKey: job.LearnedModelsRecord(nil).Key}
	withConfiguredDispatcher(t, s, change, func(d *Dispatcher) {
		time.Sleep(learnedRecordPeriod)
		_, writeErr = d.timedWrite(time.Second)
		time.Sleep(time.Millisecond)
		inTime = recorded.Load()
	})
	must.NoError(t, writeErr)
	must.True(t, inTime)
}

// TestRequestAfterAnswerMissesRecord: a caller's next request was refused, since its owner answered
// the one before and then took in what it had recorded.
func TestRequestAfterAnswerMissesRecord(t *testing.T) {
	var recorded atomic.Bool
	var writeErr error
	known := false
	change := func(c *Config) {
		c.OnRecorded = func([]store.Record) {
			time.Sleep(time.Millisecond)
			recorded.Store(true)
		}
	}
	withConfiguredDispatcher(t, &faultyStore{}, change, func(d *Dispatcher) {
		_, writeErr = d.timedWrite(time.Second)
		known = recorded.Load()
	})
	must.NoError(t, writeErr)
	must.True(t, known)
}

// TestLargeProgressBlocksNoOtherRecords: the progress of a job with many stopped tasks was
// rejected by the store, again and again, and with it the records of all other jobs.
func TestLargeProgressBlocksNoOtherRecords(t *testing.T) {
	withDispatcher(t, &faultyStore{}, func(d *Dispatcher) {
		large := job.Entry{ID: "00000000000000a1", Submission: &job.Submission{
			MaxFailures: 1, TargetMS: 1000, Spec: job.Spec{Steps: []job.Step{{Tasks: 10_000}, {Tasks: 10_000}}},
		}}
		large.Progress = job.Progress{State: job.Running, Checkpoints: map[int]string{}}
		for i := range 20_000 {
			large.Progress.Checkpoints[i] = fmt.Sprintf("%016x", i)
		}
		d.AddJobs([]job.Entry{large})
		large.Cancelled = true
		d.AddJobs([]job.Entry{large})
		_, err := d.timedWrite(time.Second)
		must.NoError(t, err)
	})
}

// TestCrashesOfLargeJobBlockNoOtherRecords: a lost domain added a crash to each of thousands of
// tasks of a job; the store refused its progress for ever, and with it the records of all others.
func TestCrashesOfLargeJobBlockNoOtherRecords(t *testing.T) {
	withDispatcher(t, &faultyStore{}, func(d *Dispatcher) {
		large := job.Entry{ID: "00000000000000a1", Submission: &job.Submission{
			MaxFailures: 1, TargetMS: 1000, Spec: job.Spec{Steps: []job.Step{{Tasks: 10_000}, {Tasks: 10_000}}},
		}}
		large.Progress = job.Progress{State: job.Running, Crashes: map[int][]job.Crash{}}
		for i := range 10_000 {
			large.Progress.Crashes[i] = []job.Crash{{Worker: "worker-01", Run: 1_700_000_000_000, Over: true}}
		}
		d.AddJobs([]job.Entry{large})
		large.Cancelled = true
		d.AddJobs([]job.Entry{large})
		_, err := d.timedWrite(time.Second)
		must.NoError(t, err)
	})
}

// TestRejectedRecordHoldsUpNoOther: a record that the store rejects for what it contains was tried
// again at once, for ever, with all records beside it.
func TestRejectedRecordHoldsUpNoOther(t *testing.T) {
	entry := func(id job.ID) job.Entry {
		return job.Entry{ID: id, Cancelled: true, Submission: &job.Submission{Spec: job.Spec{Steps: []job.Step{{Tasks: 1}}}}}
	}
	rejected, accepted := entry("00000000000000a1"), entry("00000000000000a2")
	s := &faultyStore{rejectedKey: "p" + string(rejected.ID)}
	logger, logged := test.NewNullLogger()
	withConfiguredDispatcher(t, s, func(c *Config) { c.Logger = logger }, func(d *Dispatcher) {
		d.AddJobs([]job.Entry{rejected, accepted})
		_, err := d.timedWrite(time.Second)
		must.NoError(t, err)
		time.Sleep(time.Second)
		_, known := d.State(accepted.ID)
		must.False(t, known, must.Sprint("its end is recorded"))
		// The first append that contains it is repeated without the records beside it only.
		tries := s.rejections.Load()
		must.Between(t, 1, tries, 4)
		time.Sleep(5 * time.Second)
		must.Eq(t, tries, s.rejections.Load())
		state, known := d.State(rejected.ID)
		must.True(t, known)
		must.False(t, state.Final(), must.Sprint("its end is not recorded"))
		s.rejectNothing.Store(true)
		time.Sleep(15 * time.Second)
		_, known = d.State(rejected.ID)
		must.False(t, known)
	})
	i := slices.IndexFunc(logged.AllEntries(), func(e *logrus.Entry) bool { return e.Data["key"] == s.rejectedKey })
	must.GreaterEq(t, 0, i)
	must.MapContainsKey(t, logged.AllEntries()[i].Data, "bytes")
}

// TestLargeLearnedStateBlocksNoOtherRecords: what was learned of many images was rejected by
// the store every few seconds, and with it the records of callers and jobs.
func TestLargeLearnedStateBlocksNoOtherRecords(t *testing.T) {
	for nameBytes, recorded := range map[int]bool{10: true, 4000: false} {
		learned := headroom.Snapshot{}
		for i := range 120 {
			learned.Images = append(learned.Images, fmt.Sprintf("%0*d", nameBytes, i))
			learned.LowLevels = append(learned.LowLevels, 1)
			for j := range 120 {
				learned.Costs = append(learned.Costs, headroom.CostSnapshot{Victim: i, Antagonist: j, Mean: 0.1, Variance: 0.0001})
			}
		}
		value, err := cbor.Marshal(map[int]any{1: learned})
		must.NoError(t, err)
		var records atomic.Int64
		change := func(c *Config) {
			c.OnRecorded = func(list []store.Record) {
				if slices.ContainsFunc(list, func(r store.Record) bool { return r.Key == job.LearnedModelsRecord(nil).Key }) {
					records.Add(1)
				}
			}
		}
		withConfiguredDispatcher(t, &faultyStore{}, change, func(d *Dispatcher) {
			must.NoError(t, d.Restore(value))
			for range 3 {
				_, err := d.timedWrite(time.Second)
				must.NoError(t, err)
				time.Sleep(2 * learnedRecordPeriod)
			}
			must.Eq(t, recorded, records.Load() > 0)
		})
	}
}
