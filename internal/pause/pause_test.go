package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/internal/pause"
)

// Pauses double up to their limit and begin anew after a success.
func TestBackoff(t *testing.T) {
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

// A pause does not outlive its caller.
func TestBackoffEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	b := pause.Backoff{Initial: time.Hour, Max: time.Hour}
	must.False(t, b.Wait(ctx))
}
