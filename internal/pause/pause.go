// Package pause waits for a duration or until a context ends, once or with
// exponential backoff. Loops that retry or poll call it. Its only state is the next
// wait of each Backoff.
package pause

import (
	"context"
	"time"
)

// Backoff is an exponential backoff: each wait after consecutive failures is twice
// as long as the one before. It is not safe for concurrent use.
type Backoff struct {
	Initial time.Duration // wait after the first failure
	Max     time.Duration // limit of later waits

	next time.Duration
}

// Wait waits for the current backoff and doubles the next one, up to Max. It
// returns false if ctx ended first.
func (b *Backoff) Wait(ctx context.Context) bool {
	delay := max(b.next, b.Initial)
	b.next = min(2*delay, b.Max)
	return For(ctx, delay)
}

// Reset makes the next wait last Initial. It is called after a success.
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
