package progress_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/internal/progress"
)

// A call goes on while its answer arrives, and ends when that stops; so do the calls
// around it.
func TestLimitEndsWithSilenceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outer, cancelOuter := progress.WithLimit(t.Context(), 2*time.Second)
		defer cancelOuter()
		ctx, cancel := progress.WithLimit(outer, time.Second)
		defer cancel()
		must.False(t, progress.Arrived(ctx))
		for range 10 {
			time.Sleep(900 * time.Millisecond)
			must.NoError(t, ctx.Err())
			progress.Mark(ctx)
		}
		must.True(t, progress.Arrived(ctx))
		deadline, ok := ctx.Deadline()
		must.True(t, ok)
		must.Eq(t, time.Second, time.Until(deadline))
		time.Sleep(time.Second + time.Millisecond)
		must.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
		must.NoError(t, outer.Err())
		progress.Mark(ctx) // too late
		must.Error(t, ctx.Err())
		time.Sleep(time.Second)
		must.ErrorIs(t, context.Cause(outer), context.DeadlineExceeded)
	})
}

// Guards against a limit that outlasts the fixed time of its caller.
func TestLimitKeepsTheFixedDeadlineAroundIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixed, cancelFixed := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancelFixed()
		ctx, cancel := progress.WithLimit(fixed, 2*time.Second)
		defer cancel()
		time.Sleep(2*time.Second - time.Millisecond)
		progress.Mark(ctx)
		deadline, _ := ctx.Deadline()
		must.Eq(t, time.Second+time.Millisecond, time.Until(deadline))
		time.Sleep(time.Second + 2*time.Millisecond)
		must.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
	})
}
