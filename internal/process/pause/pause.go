// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For sleeps for d. If ctx is done earlier it returns ctx's error immediately. If d is not
// positive it returns without a timer.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
