package kvstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/pause"
)

// Follower keeps a copy of a prefix current.
type Follower struct {
	Store  Keyspace
	Prefix string
	// Wait is how long one watch waits. It is short, so that a connection that
	// has gone silent is noticed and replaced.
	Wait time.Duration
	// Pause lies between two watches, so that a busy prefix is read in batches.
	// Nil: no pause.
	Pause func() time.Duration
	// Reset takes the whole prefix; Apply takes later changes in order.
	Reset func(items []Item)
	Apply func(events []Event)
	// Asking, when set, is called before each look at the store is sent.
	Asking func()
	// Behind, when set, is called before Apply when more changes wait than one
	// watch gives: the events' times are then unknown.
	Behind func()
	// Current, when set, is called after each look at the store that succeeded.
	Current func()
	// Lost and Regained tell that the copy is no longer, or again, current.
	Lost     func(err error)
	Regained func()

	taken int // events of the last watch
}

// fullBatch is how many events of one watch mean that more are waiting; the
// platform's store gives about 500 at a time.
const fullBatch = 400

const (
	followGrace   = 700 * time.Millisecond // beyond the wait, for a slow answer
	followTimeout = 2 * time.Second        // one whole list
	followRetry   = 60 * time.Millisecond  // first pause after a failure; doubles up to followMax
	followMax     = 400 * time.Millisecond // a change must be seen well within two seconds of the store's return
)

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var after uint64
	lost := true
	retry := pause.Backoff{Initial: followRetry, Max: followMax}
	for ctx.Err() == nil {
		if f.Asking != nil {
			f.Asking()
		}
		next, err := f.step(ctx, after, f.waitWhen(lost))
		switch {
		case err == nil:
			f.report(&lost, nil)
			if f.Current != nil {
				f.Current()
			}
			retry.Reset()
			after = next
			if f.Pause != nil && f.taken < fullBatch {
				pause.For(ctx, f.Pause())
			}
		case errors.Is(err, ErrCompacted):
			after = 0
		case ctx.Err() == nil:
			f.report(&lost, err)
			retry.Wait(ctx)
		}
	}
}

func (f *Follower) report(lost *bool, err error) {
	was := *lost
	*lost = err != nil
	if *lost && !was && f.Lost != nil {
		f.Lost(err)
	}
	if !*lost && was && f.Regained != nil {
		f.Regained()
	}
}

// waitWhen returns how long the next watch waits. After a failure it does not:
// that the store is back must be known at once, not when something changes.
func (f *Follower) waitWhen(lost bool) time.Duration {
	if lost {
		return 0
	}
	return f.Wait
}

// step lists the prefix when there is no copy to continue from, and watches it otherwise.
func (f *Follower) step(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	if after == 0 {
		ctx, cancel := context.WithTimeout(ctx, followTimeout)
		defer cancel()
		items, asOf, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			return 0, err
		}
		f.Reset(items)
		return asOf, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+followGrace)
	defer cancel()
	events, asOf, err := f.Store.Watch(ctx, f.Prefix, after, wait)
	if err != nil {
		return 0, err
	}
	f.taken = len(events)
	if f.taken >= fullBatch && f.Behind != nil {
		f.Behind()
	}
	if len(events) > 0 {
		f.Apply(events)
	}
	return max(after, asOf), nil
}
