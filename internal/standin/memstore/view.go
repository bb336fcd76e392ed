package memstore

import (
	"context"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
)

// Mode is the fault that is injected into the calls of a host.
type Mode int

// Modes.
const (
	// Healthy means no fault.
	Healthy Mode = iota
	// Busy means that calls are refused without effect.
	Busy
	// Unresponsive means that calls get no reply and have no effect.
	Unresponsive
	// Reset means that connections are reset before calls take effect.
	Reset
	// LoseReplies means that calls take effect, but their replies are lost.
	LoseReplies
	// LateAppends means that appends get no reply and take effect lateAppendDelay later.
	LateAppends
)

// lateAppendDelay is the time until a late append takes effect.
const lateAppendDelay = 2 * time.Second

// callTimeout is how long a call waits for a reply that does not arrive. A read waits for
// a change in addition.
const callTimeout = 1500 * time.Millisecond

// View is the store as one host sees it. It implements store.Store and is safe for
// concurrent use.
type View struct {
	store *Store
	host  string

	mu      sync.Mutex
	mode    Mode
	delay   time.Duration
	appends int
	// partitionModes holds the faults of single partitions.
	partitionModes map[store.Partition]Mode
	// silences counts the changes to Unresponsive. A read that is under way then gets no
	// reply, like one on a connection that goes silent.
	silences int
	// repliesSince is when reads last began to get replies.
	repliesSince time.Duration
}

var _ store.Store = (*View)(nil)

// Set sets the fault and the latency of calls from now on. A zero delay means the
// default latency.
func (v *View) Set(m Mode, delay time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if delay == 0 {
		delay = defaultDelay
	}
	if m == Unresponsive {
		v.silences++
	}
	if !v.mode.repliesToReads() && m.repliesToReads() {
		v.repliesSince = v.store.now()
	}
	v.mode, v.delay = m, delay
}

func (m Mode) repliesToReads() bool { return m == Healthy || m == LateAppends }

// RepliesSince returns the time since the store was created from which on reads have got
// replies. It returns false if they get none now.
func (v *View) RepliesSince() (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.repliesSince, v.mode.repliesToReads()
}

// silentSince reports whether the view is silent or was since it had been so the given
// number of times.
func (v *View) silentSince(silences int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mode == Unresponsive || v.silences > silences
}

// Appends returns the number of append calls by the host, failed ones included.
func (v *View) Appends() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.appends
}

// beginCallOn is like beginCall for a call to a partition, which may have a fault of its own.
func (v *View) beginCallOn(ctx context.Context, p store.Partition) (Mode, error) {
	v.mu.Lock()
	mode, failing := v.partitionModes[p]
	v.mu.Unlock()
	if failing {
		return v.begin(ctx, mode, 0)
	}
	return v.beginCall(ctx)
}

// FailPartition sets the fault of calls to one partition from now on, or ends it if m is Healthy.
// Joins are not affected.
func (v *View) FailPartition(p store.Partition, m Mode) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.partitionModes == nil {
		v.partitionModes = map[store.Partition]Mode{}
	}
	v.partitionModes[p] = m
	if m == Healthy {
		delete(v.partitionModes, p)
	}
}

// beginCall waits for the latency of a call. It returns the current mode, or an error
// if the call has no effect.
func (v *View) beginCall(ctx context.Context) (Mode, error) {
	v.mu.Lock()
	mode, delay := v.mode, v.delay
	v.mu.Unlock()
	return v.begin(ctx, mode, delay)
}

// begin is beginCall in the given mode.
func (v *View) begin(ctx context.Context, mode Mode, delay time.Duration) (Mode, error) {
	switch mode {
	case Busy:
		return mode, store.ErrUnavailable
	case Reset:
		return mode, ErrReset
	case Unresponsive:
		if err := sleep(ctx, callTimeout); err != nil {
			return mode, err
		}
		return mode, ErrReset
	}
	return mode, sleep(ctx, delay)
}

// finishCall returns an error if the reply of a call is lost.
func (v *View) finishCall(ctx context.Context, m Mode) error {
	if m != LoseReplies {
		return nil
	}
	if err := sleep(ctx, callTimeout); err != nil {
		return err
	}
	return ErrReset
}

// Append implements store.Store.
func (v *View) Append(ctx context.Context, p store.Partition, records []store.Record, w *store.Writer) (platform.Offset, error) {
	v.mu.Lock()
	v.appends++
	v.mu.Unlock()
	mode, err := v.beginCallOn(ctx, p)
	if err != nil {
		return 0, err
	}
	if mode == LateAppends {
		return 0, v.appendLate(ctx, p, records, w)
	}
	offset, err := v.store.appendSerially(ctx, p, records, w)
	if lost := v.finishCall(ctx, mode); lost != nil {
		return 0, lost
	}
	return offset, err
}

func (v *View) appendLate(ctx context.Context, p store.Partition, records []store.Record, w *store.Writer) error {
	var copied *store.Writer
	if w != nil {
		c := *w
		copied = &c
	}
	time.AfterFunc(lateAppendDelay, func() {
		// The append has no effect if its writer has been fenced by then or its
		// sequence number is no longer the next one.
		_, _ = v.store.append(p, records, copied)
	})
	if err := sleep(ctx, callTimeout); err != nil {
		return err
	}
	return ErrReset
}

// Read implements store.Store.
func (v *View) Read(ctx context.Context, p store.Partition, from platform.Offset, wait time.Duration) (store.Page, error) {
	started := time.Now()
	v.mu.Lock()
	silences := v.silences
	v.mu.Unlock()
	page, err := v.read(ctx, p, from, wait)
	if v.silentSince(silences) {
		if err := sleep(ctx, time.Until(started.Add(wait+callTimeout))); err != nil {
			return store.Page{}, err
		}
		return store.Page{}, ErrReset
	}
	return page, err
}

// read reads from a store that is not silent.
func (v *View) read(ctx context.Context, p store.Partition, from platform.Offset, wait time.Duration) (store.Page, error) {
	mode, err := v.beginCallOn(ctx, p)
	if err != nil {
		return store.Page{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		page, changed, err := v.store.read(p, from)
		if err != nil || len(page.Records) > 0 || wait == 0 {
			if lost := v.finishCall(ctx, mode); lost != nil {
				return store.Page{}, lost
			}
			return page, err
		}
		select {
		case <-ctx.Done():
			return store.Page{}, ErrReset
		case <-deadline.C:
			return page, nil
		case <-changed:
		}
	}
}

// Newest implements store.Store.
func (v *View) Newest(ctx context.Context, p store.Partition, after *string) (store.NewestPage, error) {
	mode, err := v.beginCallOn(ctx, p)
	if err != nil {
		return store.NewestPage{}, err
	}
	page := v.store.newest(p, after)
	return page, v.finishCall(ctx, mode)
}

// Join implements store.Store.
func (v *View) Join(ctx context.Context, m store.Membership) (store.Assignment, error) {
	mode, err := v.beginCall(ctx)
	if err != nil {
		return store.Assignment{}, err
	}
	a := v.store.join(m)
	return a, v.finishCall(ctx, mode)
}

// Leave implements store.Store.
func (v *View) Leave(ctx context.Context, m store.Membership) error {
	mode, err := v.beginCall(ctx)
	if err != nil {
		return err
	}
	v.store.leave(m)
	return v.finishCall(ctx, mode)
}

// Ping makes a call without effect.
func (v *View) Ping(ctx context.Context) error {
	mode, err := v.beginCall(ctx)
	if err != nil {
		return err
	}
	return v.finishCall(ctx, mode)
}
