package stream

import (
	"errors"
	"fmt"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// batch is a group of commits that is written by one append.
type batch struct {
	key         batchKey
	watch       *watch
	data        []byte
	commits     []*commit
	recordCount int
	// maybeWritten is set when an append of the batch may have taken effect.
	maybeWritten bool
	// acked is set when the log acknowledged an append of the batch.
	acked bool
}

// failureStreak counts the failures since the last settled batch.
type failureStreak struct {
	count int
	since time.Time
}

// run writes batches until the queue is empty.
func (w *Writer) run() {
	var failures failureStreak
	for {
		group := w.takeGroup()
		if group == nil {
			return
		}
		b, err := w.newBatch(group)
		if err != nil {
			finishAll(group, fmt.Errorf("%w: %w", ErrNotWritten, err))
			continue
		}
		written := w.writeBatch(b, &failures)
		w.follower.unwatch(b.key)
		if written {
			failures = failureStreak{}
			// An error means that the writer is closed; the next append fails.
			_ = w.options.Sleep(w.ctx, w.options.Window)
		}
	}
}

// newBatch encodes a group under the next sequence number. A number is never
// reused, even if its batch was certainly not written.
func (w *Writer) newBatch(group []*commit) (*batch, error) {
	var records []record.Record
	for _, c := range group {
		records = append(records, c.records...)
	}
	w.mu.Lock()
	w.sequence++
	key := batchKey{w.id, w.sequence}
	w.mu.Unlock()
	data, err := record.Encode(record.Batch{
		Writer: w.id, Epoch: group[0].epoch, Sequence: key.sequence, Records: records,
	})
	if err != nil {
		return nil, err
	}
	return &batch{key: key, watch: w.follower.watch(key), data: data, commits: group, recordCount: len(records)}, nil
}

// writeBatch appends b and waits until replay has applied it. It returns false
// when b was certainly not written and its commits were queued again or rejected.
func (w *Writer) writeBatch(b *batch, failures *failureStreak) bool {
	for {
		err := w.tryWrite(b)
		if w.settle(b) {
			w.setUnsettled(false)
			return true
		}
		if err == nil {
			err = w.ctx.Err()
		}
		if w.ctx.Err() != nil || errors.Is(err, record.ErrFormat) {
			w.failBatch(b, err)
			w.rejectQueued(err)
			return true
		}
		if !b.maybeWritten && !b.acked {
			w.requeue(b.commits)
			w.waitToRetry(failures, nil, err)
			return false
		}
		w.waitToRetry(failures, b, err)
	}
}

// tryWrite makes one attempt to get b applied: it appends b unless b may be in
// the stream already, and reads the stream as far as needed.
func (w *Writer) tryWrite(b *batch) error {
	if b.maybeWritten {
		if err := w.follower.Poll(w.ctx); err != nil {
			return err
		}
		if b.acked || w.applied(b) {
			return nil
		}
		w.updateStats(func(s *Stats) { s.Resent++ })
	}
	at, err := w.appendBatch(b)
	if err != nil {
		return err
	}
	if err := w.follower.applyAppended(platform.Entry{Offset: at, Data: b.data}); err != nil {
		return err
	}
	if w.applied(b) {
		return nil
	}
	return w.follower.Poll(w.ctx)
}

func (w *Writer) appendBatch(b *batch) (platform.Offset, error) {
	if err := errors.Join(w.ctx.Err(), w.follower.stopError()); err != nil {
		return 0, err
	}
	w.updateStats(func(s *Stats) { s.Appends++; s.Bytes += uint64(len(b.data)) })
	f := w.follower
	at, err := f.log.Append(w.ctx, f.stream, b.data)
	switch {
	case err == nil:
		b.maybeWritten, b.acked = true, true
	case errors.Is(err, platform.ErrLogUnavailable):
	default:
		b.maybeWritten = true
		w.updateStats(func(s *Stats) { s.Unknown++ })
	}
	return at, err
}

func (w *Writer) applied(b *batch) bool { return w.follower.readWatch(b.watch).applied }

// settle finishes b's commits if replay has applied b or a reload has skipped
// it. It reports whether it did.
func (w *Writer) settle(b *batch) bool {
	state := w.follower.readWatch(b.watch)
	if state.skipped {
		w.failBatch(b, errors.New("the stream was reloaded past the batch"))
		return true
	}
	if !state.applied {
		return false
	}
	w.updateStats(func(s *Stats) { s.Records += uint64(b.recordCount) })
	first := 0
	for _, c := range b.commits {
		c.finish(state.result.commitResult(first, len(c.records)), nil)
		first += len(c.records)
	}
	b.commits = nil
	return true
}

// failBatch fails b's commits with the outcome that is known without replay.
func (w *Writer) failBatch(b *batch, cause error) {
	outcome := platform.ErrOutcomeUnknown
	if !b.maybeWritten {
		outcome = ErrNotWritten
	}
	finishAll(b.commits, fmt.Errorf("%w: %w", outcome, cause))
	b.commits = nil
}

// waitToRetry waits for the backoff delay. When the failures have lasted for
// RetryTimeout, it fails all commits; b is still settled before the next batch.
func (w *Writer) waitToRetry(failures *failureStreak, b *batch, cause error) {
	if cause == nil {
		cause = platform.ErrOutcomeUnknown
	}
	now := w.options.Now()
	if failures.count == 0 {
		failures.since = now
	}
	if now.Sub(failures.since) >= w.options.RetryTimeout {
		if b != nil {
			w.setUnsettled(true)
			w.failBatch(b, cause)
		}
		w.rejectQueued(cause)
	}
	failures.count++
	// An error means that the writer is closed; the next attempt returns it.
	_ = w.options.Sleep(w.ctx, backoff(failures.count, w.options.Rand))
}

func finishAll(group []*commit, err error) {
	for _, c := range group {
		c.finish(Result{}, err)
	}
}
