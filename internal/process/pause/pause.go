// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For sleeps for d. If ctx is done earlier it returns ctx's error immediately.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
