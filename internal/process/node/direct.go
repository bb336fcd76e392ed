package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
)

// directWriter appends records straight to the store while the host cannot reach the
// shard's owner. It makes one append at a time and batches all waiting records into
// the next, because a slow store serves few appends a second and every host may be cut
// off from the owner at the same time.
type directWriter struct {
	node *Node

	mu      sync.Mutex
	waiting []*directWrite
	running bool
}

// directWrite is a record whose caller waits for the result of its append.
type directWrite struct {
	ctx    context.Context
	record store.Record
	// mayBeStored is set once an earlier append may have put the record into the log.
	mayBeStored bool
	result      chan error
}

// append waits until the record is in the log or ctx is done. mayBeStored is set if an
// earlier attempt may have stored the record. An error that matches
// store.ErrUnavailable means that the record is not in the log; after any other error
// it may be.
func (d *directWriter) append(ctx context.Context, r store.Record, mayBeStored bool) error {
	if d.node.ctx.Err() != nil && !mayBeStored {
		return fmt.Errorf("%w: the host has stopped", store.ErrUnavailable)
	}
	if err := ctx.Err(); err != nil {
		reason := store.ErrUnavailable
		if mayBeStored {
			reason = platform.ErrOutcomeUnknown
		}
		return fmt.Errorf("%w: no append has begun: %w", reason, err)
	}
	w := &directWrite{ctx: ctx, record: r, mayBeStored: mayBeStored, result: make(chan error, 1)}
	d.mu.Lock()
	d.waiting = append(d.waiting, w)
	if !d.running {
		d.running = true
		// Not tracked in Node.background, which Stop waits for, because it may start
		// while the node is stopping.
		go d.run()
	}
	d.mu.Unlock()
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
	}
	if d.withdraw(w) {
		return fmt.Errorf("%w: no append has begun", store.ErrUnavailable)
	}
	return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, ctx.Err())
}

// withdraw removes a record that still waits. It reports whether the record is
// certainly not in the log.
func (d *directWriter) withdraw(w *directWrite) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.Index(d.waiting, w)
	if i < 0 {
		return false
	}
	d.waiting = slices.Delete(d.waiting, i, i+1)
	return !w.mayBeStored
}

// run makes appends until no record waits.
func (d *directWriter) run() {
	for {
		batch := d.nextBatch()
		if len(batch) == 0 {
			return
		}
		if !d.appendBatch(batch) {
			d.node.sleep(appendRetryDelay)
		}
	}
}

// nextBatch dequeues as many records as fit into one append. If none waits it clears
// running and returns an empty batch.
func (d *directWriter) nextBatch() []*directWrite {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := store.Fitting(recordsOf(d.waiting), d.node.AppendBytes)
	batch := slices.Clone(d.waiting[:n])
	d.waiting = slices.Delete(d.waiting, 0, n)
	d.running = n > 0
	return batch
}

func recordsOf(writes []*directWrite) []store.Record {
	records := make([]store.Record, 0, len(writes))
	for _, w := range writes {
		records = append(records, w.record)
	}
	return records
}

// appendBatch makes one append and reports whether it succeeded. Records that may have
// been stored go back to the head of the queue while their callers wait and the store is
// not known to be away.
func (d *directWriter) appendBatch(batch []*directWrite) bool {
	records := recordsOf(batch)
	_, err := d.node.Store.Append(d.node.ctx, d.node.partition, records, nil)
	if err == nil {
		d.node.applyRecords(records)
		d.node.notifyOwner(records)
	}
	var retry []*directWrite
	for _, w := range batch {
		w.mayBeStored = w.mayBeStored || err != nil && !errors.Is(err, store.ErrUnavailable)
		switch {
		case err == nil || !w.mayBeStored:
			w.result <- err
		case w.ctx.Err() == nil && d.node.ctx.Err() == nil && !d.node.storeAway():
			retry = append(retry, w)
		default:
			w.result <- fmt.Errorf("%w: %v", platform.ErrOutcomeUnknown, err)
		}
	}
	d.mu.Lock()
	d.waiting = append(retry, d.waiting...)
	d.mu.Unlock()
	return err == nil
}
