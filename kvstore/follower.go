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
	// ReadStarted, when set, is called before each look at the store is sent.
	ReadStarted func()
	// ReadTruncated, when set, is called before Apply when more changes wait than one
	// watch gives: the events' times are then unknown.
	ReadTruncated func()
	// ReadDone, when set, is called after each look at the store that succeeded.
	ReadDone func()
	// Lost and Regained tell that the copy is no longer, or again, current.
	Lost     func(err error)
	Regained func()

	lastBatch int // events of the last watch
}

// truncatedBatch is how many events of one watch mean that more are waiting; the
// platform's store gives about 500 at a time.
const truncatedBatch = 400

const (
	watchAnswerGrace = 700 * time.Millisecond // beyond the wait, for a slow answer
	listTimeout      = 2 * time.Second        // one whole list
	firstRetryWait   = 60 * time.Millisecond  // first pause after a failure; doubles up to followMax
	maxRetryWait     = 400 * time.Millisecond // a change must be seen well within two seconds of the store's return
)

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var after uint64
	lost := true
	retry := pause.Backoff{First: firstRetryWait, Most: maxRetryWait}
	for ctx.Err() == nil {
		if f.ReadStarted != nil {
			f.ReadStarted()
		}
		next, err := f.readNext(ctx, after, f.watchWait(lost))
		switch {
		case err == nil:
			f.reportLoss(&lost, nil)
			if f.ReadDone != nil {
				f.ReadDone()
			}
			retry.Reset()
			after = next
			if f.Pause != nil && f.lastBatch < truncatedBatch {
				pause.For(ctx, f.Pause())
			}
		case errors.Is(err, ErrCompacted):
			after = 0
		case ctx.Err() == nil:
			f.reportLoss(&lost, err)
			retry.Wait(ctx)
		}
	}
}

func (f *Follower) reportLoss(lost *bool, err error) {
	was := *lost
	*lost = err != nil
	if *lost && !was && f.Lost != nil {
		f.Lost(err)
	}
	if !*lost && was && f.Regained != nil {
		f.Regained()
	}
}

// watchWait returns how long the next watch waits. After a failure it does not:
// that the store is back must be known at once, not when something changes.
func (f *Follower) watchWait(lost bool) time.Duration {
	if lost {
		return 0
	}
	return f.Wait
}

// readNext lists the prefix when there is no copy to continue from, and watches it otherwise.
func (f *Follower) readNext(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	if after == 0 {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		items, asOf, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			return 0, err
		}
		f.Reset(items)
		return asOf, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchAnswerGrace)
	defer cancel()
	events, asOf, err := f.Store.Watch(ctx, f.Prefix, after, wait)
	if err != nil {
		return 0, err
	}
	f.lastBatch = len(events)
	if f.lastBatch >= truncatedBatch && f.ReadTruncated != nil {
		f.ReadTruncated()
	}
	if len(events) > 0 {
		f.Apply(events)
	}
	return max(after, asOf), nil
}
