// Package keyed follows a compacted partition, which retains the newest record of
// each key.
package keyed

import (
	"context"
	"errors"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
)

// Reader reads the newest record of each key of a partition and then the changes.
// It is not safe for concurrent use.
type Reader struct {
	store     store.Store
	partition store.Partition
	next      platform.Offset
	loaded    bool
}

// NewReader returns a reader that has read nothing.
func NewReader(s store.Store, p store.Partition) *Reader {
	return &Reader{store: s, partition: p}
}

// Changes is a page of records in the order of the partition.
type Changes struct {
	store.Page
	// All is set if the page holds the newest records of all keys: a key without
	// a record was deleted.
	All bool
}

// Next returns the records written since the last call, waiting up to wait for
// one. The first call, and one whose next offset has expired, returns the newest
// record of each key.
func (r *Reader) Next(ctx context.Context, wait time.Duration) (Changes, error) {
	if !r.loaded {
		return r.load(ctx)
	}
	page, err := r.store.Read(ctx, r.partition, r.next, wait)
	var expired *platform.OffsetExpiredError
	if errors.As(err, &expired) {
		return r.load(ctx)
	}
	if err != nil {
		return Changes{}, err
	}
	r.next += platform.Offset(len(page.Records))
	return Changes{Page: page}, nil
}

func (r *Reader) load(ctx context.Context) (Changes, error) {
	page, err := r.store.Newest(ctx, r.partition)
	if err != nil {
		return Changes{}, err
	}
	r.next, r.loaded = page.End, true
	return Changes{Page: page, All: true}, nil
}

// Position returns the offset from which the next read continues.
func (r *Reader) Position() platform.Offset { return r.next }
