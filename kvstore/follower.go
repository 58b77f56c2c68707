package kvstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/progress"
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
	// ReadStarted, when set, is called before each list or watch is sent. A list that was
	// cut off and goes on is not sent anew.
	ReadStarted func()
	// ReadTruncated, when set, is called before Apply when more changes may be
	// pending than one watch returns: the events' times are then unknown.
	ReadTruncated func()
	// ReadUpTo, when set, is called after Reset and Apply with the revision up to which the
	// copy shows all changes.
	ReadUpTo func(asOf uint64)
	// ReadDone, when set, is called after each list or watch that succeeded.
	ReadDone func()
	// Lost, when set, is called when the copy stops being current; Regained, when
	// set, when it is current for the first time or again.
	Lost     func(err error)
	Regained func()

	lastBatch int       // number of events of the last watch
	list      *fullRead // in progress; nil: none
}

// fullRead is a read of the whole prefix, with the changes since its first page. They are
// read meanwhile, as the store may drop its history before the last page is read.
type fullRead struct {
	listing   Listing
	events    []Event
	truncated bool      // a watch may have left changes out
	asOf      uint64    // revision up to which the changes were read; 0: no page was read
	caughtUp  time.Time // when they were read
}

// truncatedBatch is the number of events of one watch from which more are assumed
// to be pending; the platform's store returns about 500 at a time.
const truncatedBatch = 400

const (
	watchAnswerGrace    = 700 * time.Millisecond // time for a slow answer beyond the watch's wait
	pageSilence         = 2 * time.Second        // bounds the time in which nothing of a list's page arrives
	maxAnswerTime       = 10 * time.Second       // bounds an answer that goes on arriving
	catchUpInterval     = time.Second            // at which changes are read between pages; far below the time for which a store keeps its history
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
		if f.ReadStarted != nil && (f.list == nil || f.list.asOf == 0) {
			f.ReadStarted()
		}
		next, err := f.readNext(ctx, after, f.watchWait(lost))
		switch {
		case err == nil:
			f.reportLoss(&lost, nil)
			if f.ReadUpTo != nil {
				f.ReadUpTo(next)
			}
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

// ReadContext returns the context of one read, which may be silent for the given time. An answer
// that goes on arriving has maxAnswerTime more.
func ReadContext(ctx context.Context, silence time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, silence+maxAnswerTime)
	limited, cancelLimit := progress.WithLimit(ctx, silence)
	return limited, func() {
		cancelLimit()
		cancel()
	}
}

// readNext lists the prefix if after is 0, and otherwise watches it for changes
// later than after. It returns the revision to continue from.
func (f *Follower) readNext(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	if after == 0 {
		return f.readAll(ctx)
	}
	events, asOf, err := f.watch(ctx, after, wait)
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

func (f *Follower) watch(ctx context.Context, after uint64, wait time.Duration) (events []Event, asOf uint64, err error) {
	ctx, cancel := ReadContext(ctx, wait+watchAnswerGrace)
	defer cancel()
	return f.Store.Watch(ctx, f.Prefix, after, wait)
}

// readAll lists the prefix, or goes on with the list that was cut off, and reports the items
// and the changes since. It returns the revision to continue from.
func (f *Follower) readAll(ctx context.Context) (uint64, error) {
	if f.list == nil {
		f.list = &fullRead{listing: Listing{Store: f.Store, Prefix: f.Prefix, PageSilence: pageSilence}}
	}
	l := f.list
	for !l.listing.complete {
		if err := f.catchUp(ctx, l); err != nil {
			return 0, err
		}
		if err := l.listing.readPage(ctx); err != nil {
			return 0, err
		}
		if l.asOf == 0 {
			l.asOf, l.caughtUp = l.listing.asOf, time.Now()
		}
	}
	f.list, f.lastBatch = nil, 0
	f.Reset(l.listing.items)
	if l.truncated && f.ReadTruncated != nil {
		f.ReadTruncated()
	}
	if len(l.events) > 0 {
		f.Apply(l.events)
	}
	return l.asOf, nil
}

// catchUp reads the changes since the list's first page, if that was last done long ago. It
// gives the list up when the store has dropped them.
func (f *Follower) catchUp(ctx context.Context, l *fullRead) error {
	if l.asOf == 0 || time.Since(l.caughtUp) < catchUpInterval {
		return nil
	}
	events, asOf, err := f.watch(ctx, l.asOf, 0)
	if errors.Is(err, ErrCompacted) {
		f.list = nil
	}
	if err != nil {
		return err
	}
	l.events = append(l.events, events...)
	l.truncated = l.truncated || len(events) >= truncatedBatch
	l.asOf, l.caughtUp = max(l.asOf, asOf), time.Now()
	return nil
}
