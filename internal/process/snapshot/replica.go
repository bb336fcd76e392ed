package snapshot

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/event"
)

// longOutage is the duration of a log outage after which a snapshot is written
// before any new decision.
const longOutage = time.Minute

// Replica loads a state from its latest snapshot, replays the stream from there,
// and writes new snapshots in the background. It is safe for concurrent use.
type Replica struct {
	*Snapshotter
	config Config
	logger *logrus.Logger
	submit func(work func()) error

	mu     sync.Mutex
	loaded bool
	// downSince is the time of the first failed call of the current outage, or
	// zero.
	downSince time.Time
	// needsSnapshot is set after a long outage until a snapshot is written.
	needsSnapshot bool
	saving        bool
}

// NewReplica returns a replica that has read nothing yet. It sets the function
// that c.Follower calls when entries have expired. submit runs work in the
// background and returns immediately.
func NewReplica(c Config, logger *logrus.Logger, submit func(work func()) error) *Replica {
	r := &Replica{Snapshotter: NewSnapshotter(c), config: c, logger: logger, submit: submit}
	c.Follower.OnExpired(r.reload)
	return r
}

func (r *Replica) reload(ctx context.Context) error {
	if err := r.Load(ctx); err != nil {
		return err
	}
	fields := r.fields()
	fields["through"] = r.Latest().Through
	event.StateReloaded.Log(r.logger, fields)
	return nil
}

func (r *Replica) fields() logrus.Fields { return logrus.Fields{"stream": r.config.Streams.Records} }

// Follow replays the stream up to its end. The first successful call starts from
// the latest snapshot.
func (r *Replica) Follow(ctx context.Context) error {
	err := r.loadOnce(ctx)
	if err == nil {
		err = r.config.Follower.Poll(ctx)
	}
	r.trackOutage(err)
	return err
}

func (r *Replica) loadOnce(ctx context.Context) error {
	r.mu.Lock()
	loaded := r.loaded
	r.mu.Unlock()
	if loaded {
		return nil
	}
	if err := r.Load(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded = true
	return nil
}

// trackOutage records whether the log is available, given the error of a call.
func (r *Replica) trackOutage(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	switch {
	case err == nil && r.downSince.IsZero():
	case err == nil:
		if now.Sub(r.downSince) >= longOutage {
			r.needsSnapshot = true
			r.LogRecovered()
		}
		r.downSince = time.Time{}
	case r.downSince.IsZero() && (errors.Is(err, platform.ErrLogUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)):
		r.downSince = now
	}
}

// Keep writes a snapshot in the background if one is due. It reports whether new
// decisions must wait for a snapshot, as they must after a long outage.
func (r *Replica) Keep(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.saving {
		r.saving = r.submit(func() { r.step(ctx) }) == nil
	}
	return r.needsSnapshot
}

// Saving reports whether background work is in progress.
func (r *Replica) Saving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.saving
}

func (r *Replica) step(ctx context.Context) {
	saved, err := r.Step(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saving = false
	fields := r.fields()
	switch {
	case ctx.Err() != nil:
	case err != nil:
		fields["error"] = err
		event.SnapshotFailed.Log(r.logger, fields)
	case saved:
		r.needsSnapshot = false
		fields["through"] = r.Latest().Through
		event.SnapshotWritten.Log(r.logger, fields)
	}
}
