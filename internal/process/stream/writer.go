package stream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

const (
	defaultWindow       = 20 * time.Millisecond
	defaultRetryTimeout = time.Second
	defaultMaxRecords   = 16384
	// maxBatchRecords limits the records of a batch with several commits.
	maxBatchRecords = 512
)

// ErrFull reports a commit that was rejected because too many records are
// queued. Its records were not written.
var ErrFull = errors.New("commit buffer is full")

// ErrNotWritten reports a commit whose records were certainly not written.
var ErrNotWritten = errors.New("commit not written")

// Options configures a Writer. Zero fields have default values.
type Options struct {
	// Window is the minimum time between two appends; commits that arrive in the
	// meantime share the next one.
	Window time.Duration
	// RetryTimeout is how long commits are retried while the log does not respond.
	RetryTimeout time.Duration
	// MaxRecords limits the queued records.
	MaxRecords int
	// Now is the clock.
	Now func() time.Time
	// Sleep waits for d or until ctx is done.
	Sleep func(ctx context.Context, d time.Duration) error
	// Rand adds jitter to retry delays. Nothing but the Writer may use it.
	Rand *rand.Rand
}

// Stats counts a Writer's work.
type Stats struct {
	// Appends counts calls of the log, Bytes their data, Records the records of
	// batches that were applied.
	Appends, Bytes, Records uint64
	// Unknown counts appends whose outcome was unknown, Resent those that were
	// repeated because the batch was not found in the stream.
	Unknown, Resent uint64
}

// Writer appends batches to a stream: commits in the order of their calls, one
// append at a time. It is safe for concurrent use.
type Writer struct {
	follower *Follower
	id       record.WriterID
	options  Options
	ctx      context.Context
	cancel   context.CancelFunc

	mu            sync.Mutex
	queue         []*commit
	queuedRecords int
	sequence      uint64
	// running is set while run is writing the queued commits.
	running bool
	// unsettled is set while the batch in progress has failed its commits with an
	// unknown outcome and replay has not applied it; new commits are rejected.
	unsettled bool
	stats     Stats
}

// commit is one call of Commit.
type commit struct {
	epoch   platform.Epoch
	records []record.Record
	done    chan struct{}
	result  Result
	err     error
}

// needsOwnBatch reports whether the commit must have a batch of its own.
func (c *commit) needsOwnBatch() bool {
	return slices.ContainsFunc(c.records, func(r record.Record) bool { return r.Claim != nil })
}

func (c *commit) finish(r Result, err error) {
	c.result, c.err = r, err
	close(c.done)
}

// NewWriter returns a writer with default options for the stream that f replays.
// id must belong to this run of the process only.
func NewWriter(f *Follower, id record.WriterID) *Writer {
	return NewWriterWith(f, id, Options{})
}

// NewWriterWith is like NewWriter with options.
func NewWriterWith(f *Follower, id record.WriterID, o Options) *Writer {
	if o.Window == 0 {
		o.Window = defaultWindow
	}
	if o.RetryTimeout == 0 {
		o.RetryTimeout = defaultRetryTimeout
	}
	if o.MaxRecords == 0 {
		o.MaxRecords = defaultMaxRecords
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sleep == nil {
		o.Sleep = pause.For
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(id.Incarnation, uint64(len(id.Host))))
	}
	w := &Writer{follower: f, id: id, options: o}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// ID returns the writer's identity.
func (w *Writer) ID() record.WriterID { return w.id }

// Stats returns the counts so far.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Settled reports whether no batch is left whose commits failed with an unknown
// outcome and which replay has not applied yet.
func (w *Writer) Settled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.unsettled
}

// Close stops the writer. Commits whose append may have taken effect fail with
// an unknown outcome, all others with ErrNotWritten.
func (w *Writer) Close() { w.cancel() }

// Commit appends records under epoch and returns the verdict of the replay. The
// records are contiguous and in order. An error that matches ErrFull or
// ErrNotWritten means that nothing was written. After one that matches
// platform.ErrOutcomeUnknown only the replayed state shows whether the records
// were written. When ctx ends first, the outcome is still settled before a later
// commit is written.
func (w *Writer) Commit(ctx context.Context, epoch platform.Epoch, records ...record.Record) (Result, error) {
	c := &commit{epoch: epoch, records: records, done: make(chan struct{})}
	if err := w.enqueue(c); err != nil {
		return Result{}, w.wrap(err)
	}
	select {
	case <-c.done:
		return c.result, w.wrap(c.err)
	case <-ctx.Done():
		return w.abandon(c, ctx.Err())
	}
}

func (w *Writer) enqueue(c *commit) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(c.records) == 0 {
		return fmt.Errorf("%w: no records", ErrNotWritten)
	}
	if w.ctx.Err() != nil {
		return fmt.Errorf("%w: writer is closed", ErrNotWritten)
	}
	if w.unsettled {
		return fmt.Errorf("%w: %w: an earlier batch is not settled", ErrNotWritten, platform.ErrLogUnavailable)
	}
	if w.queuedRecords+len(c.records) > w.options.MaxRecords {
		return fmt.Errorf("%w: %d records wait", ErrFull, w.queuedRecords)
	}
	if !w.running {
		if err := ants.Submit(w.run); err != nil {
			return fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
		w.running = true
	}
	w.queue = append(w.queue, c)
	w.queuedRecords += len(c.records)
	return nil
}

// abandon ends a commit whose caller has stopped waiting.
func (w *Writer) abandon(c *commit, cause error) (Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-c.done:
		return c.result, w.wrap(c.err)
	default:
	}
	if i := slices.Index(w.queue, c); i >= 0 {
		w.queue = slices.Delete(w.queue, i, i+1)
		w.queuedRecords -= len(c.records)
		return Result{}, w.wrap(fmt.Errorf("%w: %w", ErrNotWritten, cause))
	}
	return Result{}, w.wrap(fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, cause))
}

func (w *Writer) wrap(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("commit to %s: %w", w.follower.stream, err)
}

// takeGroup removes the commits of the next batch from the queue. It returns nil
// when the queue is empty.
func (w *Writer) takeGroup() []*commit {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.running = false
		return nil
	}
	n, records := 1, len(w.queue[0].records)
	if _, grouped := w.follower.state.(PerRecordState); grouped && !w.queue[0].needsOwnBatch() {
		for n < len(w.queue) && w.canJoin(w.queue[n], records) {
			records += len(w.queue[n].records)
			n++
		}
	}
	group := slices.Clone(w.queue[:n])
	w.queue = slices.Delete(w.queue, 0, n)
	w.queuedRecords -= records
	return group
}

// canJoin reports whether c may join the first queued commit in a batch that
// already has a number of records.
func (w *Writer) canJoin(c *commit, records int) bool {
	return c.epoch == w.queue[0].epoch && !c.needsOwnBatch() && records+len(c.records) <= maxBatchRecords
}

// requeue puts commits that were certainly not written back at the front of the
// queue.
func (w *Writer) requeue(group []*commit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = slices.Concat(group, w.queue)
	for _, c := range group {
		w.queuedRecords += len(c.records)
	}
}

// rejectQueued fails all queued commits with ErrNotWritten.
func (w *Writer) rejectQueued(cause error) {
	w.mu.Lock()
	queue := w.queue
	w.queue, w.queuedRecords = nil, 0
	w.mu.Unlock()
	for _, c := range queue {
		c.finish(Result{}, fmt.Errorf("%w: %w", ErrNotWritten, cause))
	}
}

func (w *Writer) setUnsettled(unsettled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unsettled = unsettled
}

func (w *Writer) updateStats(update func(*Stats)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	update(&w.stats)
}
