package snapshot

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

const (
	// DefaultRetention is assumed for a log whose retention is not configured.
	DefaultRetention = time.Hour
	// snapshotsPerRetention is the number of snapshots per retention period.
	snapshotsPerRetention = 4
	// minReplayEntries is the minimum number of entries to replay before a
	// snapshot is due by LongReplay.
	minReplayEntries = 1024
	// assumedEntryBytes is the assumed size of an entry.
	assumedEntryBytes = 256
	// maxReplayRatio limits the bytes to replay to a multiple of the snapshot's
	// size.
	maxReplayRatio = 4
)

// Info describes a complete snapshot that was written and read back, or loaded.
type Info struct {
	// Exists is false before the first snapshot.
	Exists  bool
	Through platform.Offset
	// At is the writer's clock when it started to write the snapshot.
	At    time.Time
	Bytes uint64
}

func infoOf(a record.Anchor) Info {
	return Info{Exists: true, Through: a.Through, At: time.UnixMilli(a.AtMillis), Bytes: a.Bytes}
}

// Conditions are the inputs of the decision to write a snapshot.
type Conditions struct {
	Now time.Time
	// Span is the retained part of the record stream.
	Span platform.Span
	// Next is the offset up to which the state was replayed.
	Next   platform.Offset
	Latest Info
	// LogRecovered is set when the log had an outage since the last snapshot.
	LogRecovered bool
}

// Reason is the reason why a snapshot is due.
type Reason uint8

// Reasons to write a snapshot.
const (
	NotDue Reason = iota
	// First: there are records and no snapshot.
	First
	// AfterOutage: entries that the last snapshot needs may have expired.
	AfterOutage
	// Age: the last snapshot is older than a fixed fraction of the retention.
	Age
	// NearExpiry: the log trims by count and is close to the last snapshot.
	NearExpiry
	// LongReplay: there are many entries to replay for the size of the state.
	LongReplay
)

// Policy decides when a snapshot is due. It has no state.
type Policy struct {
	// Retention is how long the log retains an entry; zero means
	// DefaultRetention.
	Retention time.Duration
}

// Due returns why a snapshot is due, or NotDue. A snapshot is due by age even if
// there are no new records, because its own chunks and anchor expire too.
func (p Policy) Due(c Conditions) Reason {
	retention := p.Retention
	if retention == 0 {
		retention = DefaultRetention
	}
	switch {
	case c.Next == 0:
		return NotDue
	case !c.Latest.Exists:
		return First
	case c.LogRecovered:
		return AfterOutage
	case c.Now.Sub(c.Latest.At) >= retention/snapshotsPerRetention:
		return Age
	case nearExpiry(c):
		return NearExpiry
	case longReplay(c):
		return LongReplay
	}
	return NotDue
}

// nearExpiry reports whether entries have expired and the snapshot's offset is in
// the older half of the retained span, or before it.
func nearExpiry(c Conditions) bool {
	if c.Span.Oldest == 0 || c.Next <= c.Latest.Through {
		return false
	}
	if c.Latest.Through < c.Span.Oldest {
		return true
	}
	return c.Latest.Through-c.Span.Oldest < (c.Span.Next-c.Span.Oldest)/2
}

func longReplay(c Conditions) bool {
	entries := uint64(c.Next - min(c.Next, c.Latest.Through))
	return entries >= minReplayEntries && entries*assumedEntryBytes >= maxReplayRatio*c.Latest.Bytes
}
