package snapshot

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/stream"
)

// checkPeriod is the minimum time between two checks whether a snapshot is due.
const checkPeriod = 5 * time.Second

// Config configures a Snapshotter.
type Config struct {
	Log     platform.Log
	Streams Streams
	Writer  record.WriterID
	// State is guarded by Follower.
	State    State
	Follower *stream.Follower
	Policy   Policy
	// Now is the clock.
	Now func() time.Time
}

// Snapshotter loads and saves the snapshots of one state. It is safe for
// concurrent use.
type Snapshotter struct {
	config Config

	// ioMu is held while a snapshot is loaded or saved; it guards the counters
	// of the entries and snapshots that this process wrote.
	ioMu          sync.Mutex
	sequence      uint64
	snapshotCount uint64

	// mu is never held during calls of the log; it guards the fields below.
	mu           sync.Mutex
	latest       Info
	logRecovered bool
	lastCheck    time.Time
}

// NewSnapshotter returns a snapshotter that has loaded nothing yet.
func NewSnapshotter(c Config) *Snapshotter { return &Snapshotter{config: c} }

// Latest returns the latest snapshot that is known to be complete.
func (s *Snapshotter) Latest() Info {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// LogRecovered records that the log is available again after an outage. The next
// Step writes a snapshot regardless of the age of the last one.
func (s *Snapshotter) LogRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logRecovered = true
	s.lastCheck = time.Time{}
}

// Load replaces the state by the latest complete snapshot whose following records
// the log retains. A state at a later offset stays unchanged. The error matches
// ErrNoSnapshot when the state's next entry has expired and no snapshot is usable.
func (s *Snapshotter) Load(ctx context.Context) error {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	span, err := s.config.Log.Span(ctx, s.config.Streams.Records)
	if err != nil {
		return fmt.Errorf("load snapshot: %w", err)
	}
	found, err := readAnchors(ctx, s.config.Log, s.config.Streams.Anchors)
	if err != nil {
		return fmt.Errorf("load snapshot: %w", err)
	}
	next := s.nextOffset()
	failures := []error{ErrNoSnapshot}
	for _, a := range found {
		if a.Through < span.Oldest || a.Through < next {
			break
		}
		err := s.loadFrom(ctx, a)
		if err == nil {
			return nil
		}
		if !errors.Is(err, ErrNoSnapshot) {
			return fmt.Errorf("load snapshot: %w", err)
		}
		failures = append(failures, err)
	}
	if next >= span.Oldest {
		return nil
	}
	return fmt.Errorf("load %s from offset %d, oldest is %d: %w",
		s.config.Streams.Records, next, span.Oldest, errors.Join(failures...))
}

func (s *Snapshotter) nextOffset() platform.Offset {
	var next platform.Offset
	s.config.Follower.View(func() { next = s.config.State.Next() })
	return next
}

func (s *Snapshotter) loadFrom(ctx context.Context, a record.Anchor) error {
	data, err := readChunks(ctx, s.config.Log, s.config.Streams.Chunks, a)
	if err != nil {
		return err
	}
	if err := Import(s.config.Follower, s.config.State, Image{Through: a.Through, Digest: a.Digest, Data: data}); err != nil {
		return fmt.Errorf("%w: %w", ErrNoSnapshot, err)
	}
	s.setLatest(a, false)
	return nil
}

// Step writes a snapshot if one is due and reports whether it was due. It
// checks the log at most once per checkPeriod.
func (s *Snapshotter) Step(ctx context.Context) (bool, error) {
	if !s.startCheck() {
		return false, nil
	}
	span, err := s.config.Log.Span(ctx, s.config.Streams.Records)
	if err != nil {
		return false, fmt.Errorf("check snapshot: %w", err)
	}
	if s.due(span) == NotDue {
		return false, nil
	}
	return true, s.Save(ctx)
}

// startCheck reports whether a check is due and, if so, records its time.
func (s *Snapshotter) startCheck() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if !s.lastCheck.IsZero() && now.Sub(s.lastCheck) < checkPeriod {
		return false
	}
	s.lastCheck = now
	return true
}

func (s *Snapshotter) due(span platform.Span) Reason {
	next := s.nextOffset()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Policy.Due(Conditions{
		Now: s.config.Now(), Span: span, Next: next, Latest: s.latest, LogRecovered: s.logRecovered,
	})
}

// Save replays the record stream up to its end and writes a snapshot of the
// state. On an error the earlier snapshot remains the latest one.
func (s *Snapshotter) Save(ctx context.Context) error {
	if err := s.config.Follower.Poll(ctx); err != nil {
		return fmt.Errorf("save snapshot: %w", err)
	}
	im, err := Export(s.config.Follower, s.config.State)
	if err != nil {
		return fmt.Errorf("save snapshot: %w", err)
	}
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	a, err := s.writeSnapshot(ctx, im)
	if err != nil {
		return fmt.Errorf("save snapshot through %d: %w", im.Through, err)
	}
	s.setLatest(a, true)
	return nil
}

// setLatest records a complete snapshot that was written or loaded.
func (s *Snapshotter) setLatest(a record.Anchor, written bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = infoOf(a)
	if written {
		s.logRecovered = false
	}
}
