// Package store defines the interface of the platform's store: compacted,
// partitioned logs that retain the newest record of each key, fenced appends, and
// groups that assign partitions to their members.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// Partition is one partition of a topic: a log whose records have consecutive
// offsets.
type Partition struct {
	Topic  string
	Number int
}

// String returns the topic and the number, separated by a slash.
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Record is a key with a value. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// recordOverhead is the encoded size of a record in bytes, not counting its key
// and value: two length prefixes.
const recordOverhead = 5

// Size returns the encoded size of records in an append, in bytes.
func Size(records []Record) int {
	n := 0
	for _, r := range records {
		n += recordOverhead + len(r.Key) + len(r.Value)
	}
	return n
}

// Fitting returns how many leading records fit into limit bytes; at least one if
// there are any.
func Fitting(records []Record, limit int) int {
	size := 0
	for i := range records {
		size += Size(records[i : i+1])
		if i > 0 && size > limit {
			return i
		}
	}
	return len(records)
}

// StoredRecord is a record with its offset.
type StoredRecord struct {
	Record
	Offset platform.Offset
}

// Writer fences off older writers of the same name and deduplicates appends.
// Append fails with *FencedError once a higher epoch was seen, and with
// *SequenceError if Sequence does not follow the last one of its epoch. Repeating
// one of the last five appends returns its original result.
type Writer struct {
	Name     string
	Epoch    platform.Epoch
	Sequence uint64
}

// Page is the result of a read: consecutive records, the first retained offset,
// and the offset of the next append.
type Page struct {
	Records []StoredRecord
	First   platform.Offset
	End     platform.Offset
}

// NewestPage is a page of the newest records of each key. More is set if there may be
// another one.
type NewestPage struct {
	Page
	More bool
}

// Assignment is the partitions assigned to a member of a group. Epoch increases
// with each change of the group.
type Assignment struct {
	Epoch      platform.Epoch
	Partitions []Partition
}

// Holds reports whether p is assigned to the member.
func (a Assignment) Holds(p Partition) bool {
	for _, held := range a.Partitions {
		if held == p {
			return true
		}
	}
	return false
}

// Membership identifies a member of a group and the last assignment that it knows.
type Membership struct {
	Group  string
	Member string
	Topic  string
	// TTL is how long the member keeps its partitions without another Join.
	TTL time.Duration
	// Epoch is that of the last assignment received, or zero. Joining with it
	// confirms that the member has released the partitions that are not in that
	// assignment.
	Epoch platform.Epoch
}

// Store is the platform's store. An error matches ErrUnavailable if the call
// certainly had no effect, and platform.ErrOutcomeUnknown if it may have taken
// effect or may still do so. All methods are safe for concurrent use.
type Store interface {
	// Append appends all records or none and returns the offset of the first.
	// Without records it only registers the writer's epoch. A nil writer is not
	// checked.
	Append(ctx context.Context, p Partition, records []Record, writer *Writer) (platform.Offset, error)
	// Read returns records starting at offset from, waiting up to wait for one. It
	// fails with *platform.OffsetExpiredError if from is no longer retained.
	Read(ctx context.Context, p Partition, from platform.Offset, wait time.Duration) (Page, error)
	// Newest returns a page of the newest records of each key: the first page if after
	// is nil, else the page that follows the key *after, the last one of the page
	// before. Reads continue at the end of the first page. The pages are not a
	// snapshot, and a record may have a higher offset than that end.
	Newest(ctx context.Context, p Partition, after *string) (NewestPage, error)
	// Join joins a group or renews the membership.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Leave releases all partitions immediately and leaves the group.
	Leave(ctx context.Context, m Membership) error
}

// ErrUnavailable reports that a call to the store had no effect.
var ErrUnavailable = errors.New("store unavailable")

// ErrThrottled reports that a call had no effect because of the store's rate
// limit. It matches ErrUnavailable.
var ErrThrottled = fmt.Errorf("%w: too many calls", ErrUnavailable)

// ErrFull reports that the store accepts no more records. It matches
// ErrUnavailable.
var ErrFull = fmt.Errorf("%w: full", ErrUnavailable)

// ErrRejected reports that the store never accepts the call as it is, mostly because a
// record is too large. It matches ErrUnavailable.
var ErrRejected = fmt.Errorf("%w: rejected", ErrUnavailable)

// FencedError reports that a writer with a higher epoch has taken over.
type FencedError struct {
	Partition Partition
	Epoch     platform.Epoch
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("partition %s: epoch %d is fenced", e.Partition, e.Epoch)
}

// SequenceError reports that an append does not follow the writer's last one.
type SequenceError struct {
	Partition Partition
	Expected  uint64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("partition %s: sequence %d was expected", e.Partition, e.Expected)
}
