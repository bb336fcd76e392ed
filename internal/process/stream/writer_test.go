package stream_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/shard"
	"github.com/siskinvane/siskinvane/internal/process/stream"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
)

const (
	streamName = "shard/s"
	// window differs from every retry delay, so that sleep can tell them apart.
	window = time.Nanosecond
)

// jobList is a minimal shard state: the jobs in the order in which they became
// effective, each once.
type jobList struct{ IDs []platform.JobID }

func (j *jobList) Apply(_ platform.Offset, r record.Record) error {
	if r.Job == nil || j.contains(r.Job.ID) {
		return errors.New("no effect")
	}
	j.IDs = append(j.IDs, r.Job.ID)
	return nil
}

func (j *jobList) contains(id platform.JobID) bool {
	for _, have := range j.IDs {
		if have == id {
			return true
		}
	}
	return false
}

func (j *jobList) MarshalBinary() ([]byte, error)    { return cbor.Marshal(j.IDs) }
func (j *jobList) UnmarshalBinary(data []byte) error { return cbor.Unmarshal(data, &j.IDs) }
func (j *jobList) Digest() uint64                    { return xxhash.Sum64String(fmt.Sprint(j.IDs)) }

func job(id string) record.Record {
	return record.Record{Job: &record.Job{ID: platform.JobID(id), Count: 1}}
}

// fixture is one writer on a store, with a clock that advances only during retry
// delays.
type fixture struct {
	store    *logservice.Store
	jobs     *jobList
	replay   *shard.Replayer
	follower *stream.Follower
	writer   *stream.Writer

	mu      sync.Mutex
	now     time.Time
	retries int

	onRetry func(n int)
}

func newFixture(t *testing.T, log func(platform.Log) platform.Log, o stream.Options) *fixture {
	f := &fixture{store: logservice.NewStore(), jobs: &jobList{}, now: time.Unix(1000, 0), onRetry: func(int) {}}
	f.replay = shard.NewReplayer("s", f.jobs)
	var l platform.Log = f.store.As("a")
	if log != nil {
		l = log(l)
	}
	f.follower = stream.NewFollower(l, streamName, f.replay)
	o.Window = window
	o.Now = f.clock
	o.Sleep = f.sleep
	f.writer = stream.NewWriterWith(f.follower, record.WriterID{Host: "a", Incarnation: 1}, o)
	t.Cleanup(f.writer.Close)
	res, err := f.writer.Commit(t.Context(), 1, record.Record{Claim: &record.Claim{}})
	must.NoError(t, err)
	must.Eq(t, record.Effective, res.Verdict)
	return f
}

func (f *fixture) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fixture) sleep(ctx context.Context, d time.Duration) error {
	if d == window {
		return ctx.Err()
	}
	f.mu.Lock()
	f.now = f.now.Add(d)
	f.retries++
	n, hook := f.retries, f.onRetry
	f.mu.Unlock()
	hook(n)
	return ctx.Err()
}

// setOnRetry sets the hook that runs at each retry delay; n counts them from 1.
func (f *fixture) setOnRetry(hook func(n int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onRetry = hook
}

// batches returns the decoded stream.
func (f *fixture) batches(t *testing.T) []record.Batch {
	entries, err := f.store.Read(t.Context(), streamName, 0, 1000)
	must.NoError(t, err)
	var out []record.Batch
	for _, e := range entries {
		b, err := record.Decode(e.Data)
		must.NoError(t, err)
		out = append(out, b)
	}
	return out
}

// blockingLog blocks each append until the test sends to pass.
type blockingLog struct {
	platform.Log
	entered chan struct{}
	pass    chan struct{}
}

func (l *blockingLog) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	l.entered <- struct{}{}
	<-l.pass
	return l.Log.Append(ctx, name, data)
}

func newBlockingLog(l platform.Log) *blockingLog {
	return &blockingLog{Log: l, entered: make(chan struct{}, 100), pass: make(chan struct{}, 100)}
}

func TestCommitsShareOneAppend(t *testing.T) {
	var blocking *blockingLog
	f := newFixture(t, func(l platform.Log) platform.Log {
		blocking = newBlockingLog(l)
		blocking.pass <- struct{}{}
		return blocking
	}, stream.Options{})
	<-blocking.entered
	results := make([]stream.Result, 10)
	var done sync.WaitGroup
	commit := func(i int, id string) {
		done.Go(func() {
			res, err := f.writer.Commit(t.Context(), 1, job(id))
			must.NoError(t, err)
			results[i] = res
		})
	}
	commit(0, "first")
	<-blocking.entered
	for i := 1; i < 10; i++ {
		commit(i, fmt.Sprintf("j%d", i%9))
		f.writer.AwaitQueued(i)
	}
	blocking.pass <- struct{}{}
	blocking.pass <- struct{}{}
	done.Wait()

	must.SliceLen(t, 3, f.batches(t))
	must.Eq(t, 3, f.writer.Stats().Appends)
	for i, res := range results {
		must.Eq(t, record.Effective, res.Verdict, must.Sprintf("commit %d", i))
	}
	must.Eq(t, []platform.JobID{"first", "j1", "j2", "j3", "j4", "j5", "j6", "j7", "j8", "j0"}, f.jobs.IDs)
}

func TestEachCommitHasItsOwnVerdict(t *testing.T) {
	var blocking *blockingLog
	f := newFixture(t, func(l platform.Log) platform.Log {
		blocking = newBlockingLog(l)
		blocking.pass <- struct{}{}
		return blocking
	}, stream.Options{})
	<-blocking.entered
	verdicts := make([]record.Verdict, 4)
	var done sync.WaitGroup
	for i, c := range []struct {
		epoch platform.Epoch
		id    string
	}{{1, "a"}, {1, "b"}, {1, "a"}, {7, "c"}} {
		done.Go(func() {
			res, err := f.writer.Commit(t.Context(), c.epoch, job(c.id))
			must.NoError(t, err)
			verdicts[i] = res.Verdict
		})
		if i == 0 {
			<-blocking.entered
		} else {
			f.writer.AwaitQueued(i)
		}
	}
	for range 3 {
		blocking.pass <- struct{}{}
	}
	done.Wait()
	must.Eq(t, []record.Verdict{record.Effective, record.Effective, record.Invalid, record.Stale}, verdicts)
	must.SliceLen(t, 4, f.batches(t))
}

func TestLostResponsesAreReadBack(t *testing.T) {
	cases := []struct {
		name string
		set  logservice.FaultSet
		// recoverAfter is the number of retry delays after which the log is healthy.
		recoverAfter int
		copies       int
		resent       uint64
	}{
		{"response lost", logservice.FaultSet{LoseAnswers: 1}, 1, 1, 0},
		{"request lost", logservice.FaultSet{CutOff: []string{"a"}}, 2, 1, 1},
		{"down", logservice.FaultSet{Down: true}, 2, 1, 0},
		{"repeated read", logservice.FaultSet{LoseAnswers: 1, DuplicateReads: 3}, 1, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, nil, stream.Options{})
			f.setOnRetry(func(n int) {
				if n == c.recoverAfter {
					f.store.Faults().Set(logservice.FaultSet{DuplicateReads: c.set.DuplicateReads})
				}
			})
			f.store.Faults().Set(c.set)
			res, err := f.writer.Commit(t.Context(), 1, job("x"))
			must.NoError(t, err)
			must.Eq(t, record.Effective, res.Verdict)
			f.store.Faults().Set(logservice.FaultSet{})
			must.SliceLen(t, 1+c.copies, f.batches(t))
			must.Eq(t, []platform.JobID{"x"}, f.jobs.IDs)
			must.Eq(t, c.resent, f.writer.Stats().Resent)
		})
	}
}

// duplicatingLog applies each append twice and returns the second offset, like a
// proxy that repeats a call.
type duplicatingLog struct{ platform.Log }

func (d *duplicatingLog) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	if _, err := d.Log.Append(ctx, name, data); err != nil {
		return 0, err
	}
	return d.Log.Append(ctx, name, data)
}

func TestDuplicateAppendTakesVerdictOfFirstCopy(t *testing.T) {
	f := newFixture(t, func(l platform.Log) platform.Log { return &duplicatingLog{l} }, stream.Options{})
	res, err := f.writer.Commit(t.Context(), 1, job("x"))
	must.NoError(t, err)
	must.Eq(t, stream.Result{Offset: 2, Verdict: record.Effective, Records: []record.Verdict{record.Effective}}, res)
	must.Eq(t, []platform.JobID{"x"}, f.jobs.IDs)
}

func TestOutageRejectsQueuedCommits(t *testing.T) {
	f := newFixture(t, nil, stream.Options{RetryTimeout: time.Second})
	f.store.Faults().Set(logservice.FaultSet{Down: true})
	_, err := f.writer.Commit(t.Context(), 1, job("x"))
	must.ErrorIs(t, err, stream.ErrNotWritten)
	must.ErrorIs(t, err, platform.ErrLogUnavailable)
	f.store.Faults().Set(logservice.FaultSet{})
	_, err = f.writer.Commit(t.Context(), 1, job("y"))
	must.NoError(t, err)
	must.Eq(t, []platform.JobID{"y"}, f.jobs.IDs)
	sequences := map[uint64]bool{}
	for _, b := range f.batches(t) {
		must.False(t, sequences[b.Sequence])
		sequences[b.Sequence] = true
	}
}

// TestUnknownOutcomeIsSettledFirst loses the response of an append in an outage
// that is longer than RetryTimeout. Later commits must be rejected until the
// outcome is settled, and be written after the settled one.
func TestUnknownOutcomeIsSettledFirst(t *testing.T) {
	f := newFixture(t, nil, stream.Options{RetryTimeout: time.Second})
	f.store.Faults().Set(logservice.FaultSet{CutOff: []string{"a"}})
	_, err := f.writer.Commit(t.Context(), 1, job("x"))
	must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	must.False(t, errors.Is(err, stream.ErrNotWritten))
	_, err = f.writer.Commit(t.Context(), 1, job("early"))
	must.ErrorIs(t, err, stream.ErrNotWritten)

	f.store.Faults().Set(logservice.FaultSet{})
	f.writer.AwaitSettled()
	_, err = f.writer.Commit(t.Context(), 1, job("y"))
	must.NoError(t, err)
	must.Eq(t, []platform.JobID{"x", "y"}, f.jobs.IDs)
}

func TestAbandonedCommits(t *testing.T) {
	var blocking *blockingLog
	f := newFixture(t, func(l platform.Log) platform.Log {
		blocking = newBlockingLog(l)
		blocking.pass <- struct{}{}
		return blocking
	}, stream.Options{})
	<-blocking.entered
	ctx, cancel := context.WithCancel(t.Context())
	errs := make([]error, 2)
	var done sync.WaitGroup
	done.Go(func() { _, errs[0] = f.writer.Commit(ctx, 1, job("sent")) })
	<-blocking.entered
	done.Go(func() { _, errs[1] = f.writer.Commit(ctx, 1, job("waiting")) })
	f.writer.AwaitQueued(1)
	cancel()
	done.Wait()
	must.ErrorIs(t, errs[0], platform.ErrOutcomeUnknown)
	must.ErrorIs(t, errs[1], stream.ErrNotWritten)
	blocking.pass <- struct{}{}
	blocking.pass <- struct{}{}
	_, err := f.writer.Commit(t.Context(), 1, job("next"))
	must.NoError(t, err)
	must.Eq(t, []platform.JobID{"sent", "next"}, f.jobs.IDs)
}

func TestFullBufferRejectsCommits(t *testing.T) {
	var blocking *blockingLog
	f := newFixture(t, func(l platform.Log) platform.Log {
		blocking = newBlockingLog(l)
		blocking.pass <- struct{}{}
		return blocking
	}, stream.Options{MaxRecords: 2})
	<-blocking.entered
	var done sync.WaitGroup
	done.Go(func() { _, _ = f.writer.Commit(t.Context(), 1, job("sent")) })
	<-blocking.entered
	done.Go(func() { _, _ = f.writer.Commit(t.Context(), 1, job("a"), job("b")) })
	f.writer.AwaitQueued(1)
	_, err := f.writer.Commit(t.Context(), 1, job("c"))
	must.ErrorIs(t, err, stream.ErrFull)
	blocking.pass <- struct{}{}
	blocking.pass <- struct{}{}
	done.Wait()
}
