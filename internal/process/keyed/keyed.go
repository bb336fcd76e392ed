// Package keyed follows a compacted partition, which retains the newest record of
// each key.
package keyed

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

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
	// pages holds the pages of a load that is not complete yet.
	pages []store.NewestPage
	// after is the key after which the next page of such a load begins, or nil.
	after *string
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
// record of each key. After an error the next call goes on where the last one failed.
func (r *Reader) Next(ctx context.Context, wait time.Duration) (Changes, error) {
	if !r.loaded {
		return r.load(ctx)
	}
	page, err := r.store.Read(ctx, r.partition, r.next, wait)
	var expired *platform.OffsetExpiredError
	if errors.As(err, &expired) {
		r.loaded = false
		return r.load(ctx)
	}
	if err != nil {
		return Changes{}, err
	}
	r.next += platform.Offset(len(page.Records))
	return Changes{Page: page}, nil
}

// load reads the pages of the newest records that are still missing.
func (r *Reader) load(ctx context.Context) (Changes, error) {
	for {
		page, err := r.store.Newest(ctx, r.partition, r.after)
		if err != nil {
			return Changes{}, err
		}
		r.pages = append(r.pages, page)
		if !page.More || len(page.Records) == 0 {
			break
		}
		next, ok := lastKey(page, r.after)
		if !ok {
			r.pages, r.after = nil, nil
			return Changes{}, fmt.Errorf("%w: the newest records of %v do not go on", store.ErrUnavailable, r.partition)
		}
		r.after = &next
	}
	// Records written since the first page are read again from its end on, since a
	// later page may lack them.
	all := store.Page{First: r.pages[0].First, End: r.pages[0].End}
	for _, page := range r.pages {
		all.Records = append(all.Records, page.Records...)
	}
	r.next, r.loaded, r.pages, r.after = all.End, true, nil, nil
	return Changes{Page: all, All: true}, nil
}

// lastKey returns the key of a page from which the load goes on, and whether there is one
// behind after. A key that is no text was replaced in the answer and has another place in the
// order, so it is used only if the page has no other one.
func lastKey(page store.NewestPage, after *string) (key string, ok bool) {
	for _, readable := range []bool{true, false} {
		for _, r := range page.Records {
			if readable && strings.ContainsRune(r.Key, utf8.RuneError) || after != nil && r.Key <= *after {
				continue
			}
			key, ok = max(key, r.Key), true
		}
		if ok {
			break
		}
	}
	return key, ok
}

// Loaded reports whether the newest record of each key has been read.
func (r *Reader) Loaded() bool { return r.loaded }

// Position returns the offset from which the next read continues.
func (r *Reader) Position() platform.Offset { return r.next }
