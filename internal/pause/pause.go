// Package pause waits without outliving its caller.
package pause

import (
	"context"
	"time"
)

// Backoff waits longer after each failure in a row. It isn't safe for
// concurrent use.
type Backoff struct {
	Initial time.Duration // after one failure
	Max     time.Duration

	next time.Duration
}

// Wait waits for the pause that is due and doubles the next one. It returns
// false when ctx ended first.
func (b *Backoff) Wait(ctx context.Context) bool {
	due := max(b.next, b.Initial)
	b.next = min(2*due, b.Max)
	return For(ctx, due)
}

// Reset notes a success.
func (b *Backoff) Reset() { b.next = 0 }

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
