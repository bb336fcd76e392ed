package stream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// readLimit is the number of entries per read.
const readLimit = 256

// Follower replays a stream into a state. It is safe for concurrent use; its
// lock also guards the state.
type Follower struct {
	log    platform.Log
	stream string

	mu      sync.Mutex
	state   State
	watches map[batchKey]*watch
	reload  func(ctx context.Context) error
	stopped error
}

// batchKey identifies a batch independently of its offset.
type batchKey struct {
	writer   record.WriterID
	sequence uint64
}

// watch holds the outcome of the first occurrence of a batch in the stream. The
// follower's lock guards its fields.
type watch struct {
	applied bool
	// skipped is set when a reload may have passed over the batch.
	skipped bool
	result  batchResult
}

// NewFollower returns a follower that replays stream into state.
func NewFollower(log platform.Log, stream string, state State) *Follower {
	return &Follower{log: log, stream: stream, state: state, watches: map[batchKey]*watch{}}
}

// OnExpired sets the function that Poll calls when the next entry has expired.
// load must call Replace to bring the state to an offset that the log retains.
// Without it Poll returns the *platform.OffsetExpiredError.
func (f *Follower) OnExpired(load func(ctx context.Context) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reload = load
}

// View runs do while the state cannot change.
func (f *Follower) View(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// Replace runs load, which replaces the state by a later one. Batches that this
// may skip are never applied here: their commits end with an unknown outcome.
func (f *Follower) Replace(load func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.Next()
	if err := load(); err != nil {
		return fmt.Errorf("reload %s: %w", f.stream, err)
	}
	if f.state.Next() == before {
		return nil
	}
	for _, w := range f.watches {
		w.skipped = !w.applied
	}
	return nil
}

// Poll replays the stream up to its end. It never skips entries that expired
// before they were replayed: the error matches *platform.OffsetExpiredError
// unless the function set by OnExpired loaded a later state. After an entry of a
// newer format every Poll fails with an error that matches record.ErrFormat.
func (f *Follower) Poll(ctx context.Context) error {
	for {
		n, err := f.pollOnce(ctx)
		var expired *platform.OffsetExpiredError
		if errors.As(err, &expired) {
			if err = f.reloadExpired(ctx, err); err == nil {
				continue
			}
		}
		if err != nil || n < readLimit {
			return err
		}
	}
}

// reloadExpired loads a later state after an entry has expired.
func (f *Follower) reloadExpired(ctx context.Context, cause error) error {
	f.mu.Lock()
	load, before := f.reload, f.state.Next()
	f.mu.Unlock()
	if load == nil {
		return cause
	}
	if err := load(ctx); err != nil {
		return errors.Join(cause, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Next() <= before {
		return cause
	}
	return nil
}

func (f *Follower) pollOnce(ctx context.Context) (int, error) {
	f.mu.Lock()
	from, stopped := f.state.Next(), f.stopped
	f.mu.Unlock()
	if stopped != nil {
		return 0, stopped
	}
	entries, err := f.log.Read(ctx, f.stream, from, readLimit)
	if err != nil {
		return 0, fmt.Errorf("follow %s: %w", f.stream, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		if e.Offset < f.state.Next() {
			continue
		}
		if err := f.apply(e); err != nil {
			return 0, err
		}
	}
	return len(entries), nil
}

// apply replays e and updates the batch's watch, if any. The caller holds mu.
func (f *Follower) apply(e platform.Entry) error {
	v, err := f.state.Apply(e)
	if err != nil {
		err = fmt.Errorf("follow %s: %w", f.stream, err)
		if errors.Is(err, record.ErrFormat) {
			f.stopped = err
		}
		return err
	}
	if len(f.watches) == 0 {
		return nil
	}
	b, err := record.Decode(e.Data)
	if err != nil {
		return nil
	}
	if w := f.watches[batchKey{b.Writer, b.Sequence}]; w != nil && !w.applied {
		w.applied = true
		w.result = batchResult{offset: e.Offset, verdict: v, records: f.recordVerdicts()}
	}
	return nil
}

func (f *Follower) recordVerdicts() []record.Verdict {
	if s, ok := f.state.(PerRecordState); ok {
		return slices.Clone(s.RecordVerdicts())
	}
	return nil
}

// applyAppended replays an entry that was just appended, without reading the
// log, if it is the next one. Otherwise it does nothing and a Poll is needed.
func (f *Follower) applyAppended(e platform.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped != nil || e.Offset != f.state.Next() {
		return f.stopped
	}
	return f.apply(e)
}

// stopError returns the error that stopped the follower for good, or nil.
func (f *Follower) stopError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped
}

func (f *Follower) watch(key batchKey) *watch {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &watch{}
	f.watches[key] = w
	return w
}

func (f *Follower) unwatch(key batchKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.watches, key)
}

// readWatch returns a copy of w.
func (f *Follower) readWatch(w *watch) watch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *w
}
