package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/internal/pause"
)

// Waits double up to Max and start again at Initial after Reset.
func TestBackoff_DoublesUpToMaxUntilReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := pause.Backoff{Initial: 100 * time.Millisecond, Max: 300 * time.Millisecond}
		for _, want := range []time.Duration{100, 200, 300, 300} {
			began := time.Now()
			must.True(t, b.Wait(t.Context()))
			must.Eq(t, want*time.Millisecond, time.Since(began))
		}
		b.Reset()
		began := time.Now()
		must.True(t, b.Wait(t.Context()))
		must.Eq(t, 100*time.Millisecond, time.Since(began))
	})
}

// Wait returns at once when its context has ended.
func TestBackoff_WaitReturnsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	b := pause.Backoff{Initial: time.Hour, Max: time.Hour}
	must.False(t, b.Wait(ctx))
}
