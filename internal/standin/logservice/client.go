package logservice

import (
	"context"
	"fmt"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// clientLog is a Store as one client sees it, injected faults included.
type clientLog struct {
	store  *Store
	client string
}

// Append implements platform.Log.
func (l *clientLog) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	offset, err := l.store.append(name, data)
	if err != nil {
		return 0, err
	}
	if l.store.faults.takeLostReply() {
		return 0, fmt.Errorf("%w: reply to append was lost", platform.ErrOutcomeUnknown)
	}
	return offset, nil
}

// Read implements platform.Log.
func (l *clientLog) Read(ctx context.Context, name string, from platform.Offset, limit int) ([]platform.Entry, error) {
	if err := l.applyFaults(ctx); err != nil {
		return nil, err
	}
	return l.store.read(name, from, limit)
}

// Span implements platform.Log.
func (l *clientLog) Span(ctx context.Context, name string) (platform.Span, error) {
	if err := l.applyFaults(ctx); err != nil {
		return platform.Span{}, err
	}
	return l.store.span(name), nil
}

// applyFaults injects the faults that act before a call takes effect. A client that
// is cut off cannot tell whether its call reached the log, so it gets
// platform.ErrOutcomeUnknown.
func (l *clientLog) applyFaults(ctx context.Context) error {
	if l.store.faults.cutOff(l.client) {
		return fmt.Errorf("%w: client %s is cut off", platform.ErrOutcomeUnknown, l.client)
	}
	if l.store.faults.down() {
		return platform.ErrLogUnavailable
	}
	if d := l.store.faults.delay(); d > 0 {
		return l.store.options.Sleep(ctx, d)
	}
	return nil
}
