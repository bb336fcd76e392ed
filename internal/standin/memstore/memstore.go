// Package memstore is an in-memory implementation of the platform's store for tests
// and trials: logs with compaction by key, fenced writers, and groups. Each host has
// a view of its own, into which faults can be injected separately.
package memstore

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/pause"
)

// Store holds the state shared by all views. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	logs    map[store.Partition]*log
	groups  map[string]*group
	changed chan struct{}
	// views are the hosts' views by name.
	views     map[string]*View
	createdAt time.Time
	// appendTime is how long an append takes; appendSlot holds a token while one is
	// in progress.
	appendTime time.Duration
	appendSlot chan struct{}
	// pendingAppends is the number of queued and current appends.
	pendingAppends int
}

// log is one partition. newest holds the newest record of each key, which stays
// after compaction.
type log struct {
	firstOffset platform.Offset
	records     []store.StoredRecord
	newest      map[string]store.StoredRecord
	writers     map[string]*writer
}

// writer is the state of the writers that share one name. offsets holds the offsets
// of the epoch's appends by sequence number, to answer repeated ones.
type writer struct {
	epoch       platform.Epoch
	sequence    uint64
	initialized bool
	offsets     map[uint64]platform.Offset
}

// New returns an empty store.
func New() *Store {
	return &Store{
		logs: map[store.Partition]*log{}, groups: map[string]*group{}, changed: make(chan struct{}),
		views: map[string]*View{}, createdAt: time.Now(), appendSlot: make(chan struct{}, 1),
	}
}

// log returns a partition and creates it at first use. The caller holds s.mu.
func (s *Store) log(p store.Partition) *log {
	l, ok := s.logs[p]
	if !ok {
		l = &log{newest: map[string]store.StoredRecord{}, writers: map[string]*writer{}}
		s.logs[p] = l
	}
	return l
}

func (l *log) end() platform.Offset { return l.firstOffset + platform.Offset(len(l.records)) }

// Put writes a record without a fenced writer, as operators and workers do.
func (s *Store) Put(p store.Partition, r store.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log(p).add([]store.Record{r})
	s.notifyReaders()
}

// add appends records and returns the offset of the first one. A record without a
// value deletes its key.
func (l *log) add(records []store.Record) platform.Offset {
	first := l.end()
	for _, r := range records {
		stored := store.StoredRecord{Record: r, Offset: l.end()}
		l.records = append(l.records, stored)
		if len(r.Value) == 0 {
			delete(l.newest, r.Key)
		} else {
			l.newest[r.Key] = stored
		}
	}
	return first
}

// notifyReaders wakes up the waiting reads. The caller holds s.mu.
func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history of a partition. The newest record of each key stays.
func (s *Store) Compact(p store.Partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.log(p)
	l.firstOffset = l.end()
	l.records = nil
}

// SetAppendTime makes appends run one after the other and take the given time each.
// An append is carried out even if its caller no longer waits for it.
func (s *Store) SetAppendTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendTime = d
}

// maxQueueTime bounds the time that appends wait in the queue; beyond it, further
// ones are refused.
const maxQueueTime = 2 * time.Second

// appendSerially appends after all earlier appends are done. If ctx ends first, it
// returns ErrReset and the append still takes effect.
func (s *Store) appendSerially(ctx context.Context, p store.Partition, records []store.Record, w *store.Writer) (platform.Offset, error) {
	s.mu.Lock()
	appendTime := s.appendTime
	queueFull := time.Duration(s.pendingAppends)*appendTime > maxQueueTime
	if appendTime > 0 && !queueFull {
		s.pendingAppends++
	}
	s.mu.Unlock()
	switch {
	case queueFull:
		return 0, store.ErrUnavailable
	case appendTime == 0:
		return s.append(p, records, w)
	}
	var copied *store.Writer
	if w != nil {
		c := *w
		copied = &c
	}
	var offset platform.Offset
	var err error
	done := make(chan struct{})
	go func() {
		s.appendSlot <- struct{}{}
		time.Sleep(appendTime)
		offset, err = s.append(p, records, copied)
		<-s.appendSlot
		s.mu.Lock()
		s.pendingAppends--
		s.mu.Unlock()
		close(done)
	}()
	select {
	case <-done:
		return offset, err
	case <-ctx.Done():
		return 0, ErrReset
	}
}

// append appends records to a partition. A non-nil w must hold the highest epoch of
// its name and the next sequence number; a repeated sequence number returns the
// offset of the first append.
func (s *Store) append(p store.Partition, records []store.Record, w *store.Writer) (platform.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := store.Size(records); n > MaxAppendBytes {
		return 0, fmt.Errorf("%w: append of %d bytes, at most %d are allowed", store.ErrRejected, n, MaxAppendBytes)
	}
	l := s.log(p)
	if w == nil {
		defer s.notifyReaders()
		return l.add(records), nil
	}
	state := l.writers[w.Name]
	if state == nil {
		state = &writer{}
		l.writers[w.Name] = state
	}
	switch {
	case w.Epoch < state.epoch:
		return 0, &store.FencedError{Partition: p, Epoch: w.Epoch}
	case w.Epoch > state.epoch || !state.initialized:
		*state = writer{epoch: w.Epoch, initialized: true, offsets: map[uint64]platform.Offset{}}
	default:
		if offset, repeated := state.offsets[w.Sequence]; repeated {
			return offset, nil
		}
		if w.Sequence != state.sequence+1 {
			return 0, &store.SequenceError{Partition: p, Expected: state.sequence + 1}
		}
	}
	state.sequence = w.Sequence
	offset := l.add(records)
	if len(records) > 0 {
		state.offsets[w.Sequence] = offset
	}
	s.notifyReaders()
	return offset, nil
}

// read returns the records from an offset on, and a channel that is closed at the
// next change of the store.
func (s *Store) read(p store.Partition, from platform.Offset) (store.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.log(p)
	if from < l.firstOffset {
		return store.Page{}, nil, &platform.OffsetExpiredError{Stream: p.String(), From: from, Oldest: l.firstOffset}
	}
	page := store.Page{First: l.firstOffset, End: l.end()}
	if from < l.end() {
		page.Records = slices.Clone(l.records[from-l.firstOffset:])
	}
	return page, s.changed, nil
}

// newest returns a page of the newest records in the order of keys; see store.Store.
func (s *Store) newest(p store.Partition, after *string) store.NewestPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.log(p)
	page := store.NewestPage{Page: store.Page{First: l.firstOffset, End: l.end()}}
	for _, r := range l.newest {
		if after == nil || r.Key > *after {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b store.StoredRecord) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Records) > newestPageRecords {
		page.Records, page.More = page.Records[:newestPageRecords], true
	}
	return page
}

// newestPageRecords is the greatest number of records in a page of the newest ones.
const newestPageRecords = 500

// Newest returns the newest value of a key, or nil if there is none.
func (s *Store) Newest(p store.Partition, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log(p).newest[key].Value
}

// View returns the store as the named host sees it, injected faults included.
func (s *Store) View(host string) *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.views[host]
	if !ok {
		v = &View{store: s, host: host, delay: defaultDelay}
		s.views[host] = v
	}
	return v
}

// MaxAppendBytes is the maximum size of one append in bytes.
const MaxAppendBytes = 2 << 20

// defaultDelay is the latency of a call without injected faults.
const defaultDelay = 4 * time.Millisecond

// now returns the time since the store was created.
func (s *Store) now() time.Duration { return time.Since(s.createdAt) }

// ErrReset is the error of a view's calls that get no reply.
var ErrReset = fmt.Errorf("%w: connection reset", platform.ErrOutcomeUnknown)

// sleep waits for d. It fails with platform.ErrOutcomeUnknown if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if err := pause.For(ctx, d); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	return nil
}
