package placer

import (
	"context"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/outage"
	"github.com/siskinvane/siskinvane/internal/process/repeat"
)

// configReadPolicy keeps a version in force within 3 s after its publication: a poll period,
// a read that gets no answer, and its repetition.
var configReadPolicy = repeat.Policy{Overdue: 500 * time.Millisecond, Interval: 500 * time.Millisecond}

// repeatingLog repeats reads whose answer is overdue. The log may have answered on another
// connection.
type repeatingLog struct{ platform.Log }

// Read implements platform.Log.
func (l repeatingLog) Read(ctx context.Context, stream string, from platform.Offset, limit int) ([]platform.Entry, error) {
	return repeat.Call(ctx, configReadPolicy, func(ctx context.Context, _ bool) ([]platform.Entry, error) {
		return l.Log.Read(ctx, stream, from, limit)
	})
}

// monitoredLog wraps a log and tracks since when it is reachable. It is safe for
// concurrent use.
type monitoredLog struct {
	platform.Log
	now func() time.Time

	mu sync.Mutex
	// lastReadStart is the start time of the last successful read; reachableSince
	// is that of the first one in the current period of reachability.
	lastReadStart  time.Time
	reachableSince time.Time
}

func newMonitoredLog(log platform.Log, now func() time.Time) *monitoredLog {
	return &monitoredLog{Log: log, now: now}
}

// Read implements platform.Log.
func (l *monitoredLog) Read(ctx context.Context, stream string, from platform.Offset, limit int) ([]platform.Entry, error) {
	start := l.now()
	entries, err := l.Log.Read(ctx, stream, from, limit)
	if err == nil {
		l.recordRead(start)
	}
	return entries, err
}

func (l *monitoredLog) recordRead(start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if start.Sub(l.lastReadStart) > outage.LogContactTimeout {
		l.reachableSince = start
	}
	if start.After(l.lastReadStart) {
		l.lastReadStart = start
	}
}

// lastRead returns the start time of the last successful read.
func (l *monitoredLog) lastRead() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReadStart
}

// reachableFor returns how long the log has been reachable at now; it is negative
// while the log is unreachable.
func (l *monitoredLog) reachableFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastReadStart.IsZero() || now.Sub(l.lastReadStart) > outage.LogContactTimeout {
		return -1
	}
	return now.Sub(l.reachableSince)
}
