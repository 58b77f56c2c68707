package kvstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/pause"
)

// Follower watches a prefix of a Keyspace and reports its content and changes
// through callbacks, from which the caller keeps a copy. Run makes the calls, one
// at a time.
type Follower struct {
	Store  Keyspace
	Prefix string
	// Wait is how long one watch waits for a change. It is short, so that a
	// connection that no longer delivers answers is detected and replaced.
	Wait time.Duration
	// Pause returns the time between two watches, so that frequent changes of a
	// prefix are read in batches. Nil: no pause.
	Pause func() time.Duration
	// MaxRetryWait returns the longest pause between two reads while the store is
	// away. Nil: defaultMaxRetryWait.
	MaxRetryWait func() time.Duration
	// Reset receives all items under the prefix; Apply receives later
	// changes in order.
	Reset func(items []Item)
	Apply func(events []Event)
	// ReadStarted, when set, is called before each list or watch is sent.
	ReadStarted func()
	// ReadTruncated, when set, is called before Apply when more changes may be
	// pending than one watch returns: the events' times are then unknown.
	ReadTruncated func()
	// ReadDone, when set, is called after each list or watch that succeeded.
	ReadDone func()
	// Lost, when set, is called when the copy stops being current; Regained, when
	// set, when it is current for the first time or again.
	Lost     func(err error)
	Regained func()

	lastBatch int // number of events of the last watch
}

// truncatedBatch is the number of events of one watch from which more are assumed
// to be pending; the platform's store returns about 500 at a time.
const truncatedBatch = 400

const (
	watchAnswerGrace    = 700 * time.Millisecond // time for a slow answer beyond the watch's wait
	listTimeout         = 2 * time.Second        // bounds one list
	firstRetryWait      = 60 * time.Millisecond  // first pause after a failure; doubles up to MaxRetryWait
	defaultMaxRetryWait = 400 * time.Millisecond // changes must be seen well within two seconds of the store's recovery
)

// Run follows the prefix until ctx ends. It lists the prefix first, and again
// whenever the store has compacted the history that the next watch needs.
func (f *Follower) Run(ctx context.Context) {
	var after uint64
	lost := true
	retry := pause.Backoff{Initial: firstRetryWait, Max: defaultMaxRetryWait}
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
			if f.MaxRetryWait != nil {
				retry.Max = f.MaxRetryWait()
			}
			retry.Wait(ctx)
		}
	}
}

// reportLoss records whether the last read failed, and calls Lost or Regained
// when that changed.
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

// watchWait returns how long the next watch waits. After a failure it is 0, so
// that recovery of the store is detected at once and not only when a key changes.
func (f *Follower) watchWait(lost bool) time.Duration {
	if lost {
		return 0
	}
	return f.Wait
}

// readNext lists the prefix if after is 0, and otherwise watches it for changes
// later than after. It returns the revision to continue from.
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
