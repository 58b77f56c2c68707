// Package pause waits without outliving its caller.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns false when ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
