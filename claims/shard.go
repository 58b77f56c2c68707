package claims

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/internal/pause"
)

// errNotOwner means that this host does not own the key's shard.
var errNotOwner = apierr.New(apierr.Unavailable, "this entry host does not own the key's shard", "ask the shard's owner")

// errKeysFull refuses a new key when too many are within their retention.
var errKeysFull = apierr.New(apierr.Overloaded, "too many idempotency keys are kept; this attempt was not run", "retry later")

// queuedEvent is an event that waits for its write, and who waits for it.
type queuedEvent struct {
	event  event
	record *record    // of a new claim; nil for other events
	written chan error // nil: nobody waits
}

// shard is a shard while this host owns it. Its writer goroutine alone uses the
// journal; mu guards the rest. Safe for concurrent use.
type shard struct {
	opts    *Options
	journal *journal
	wake    chan struct{} // holds a token when queue is not empty

	mu       sync.Mutex
	table    *table
	queue    []queuedEvent
	writeFailing bool          // the last write failed and has not settled
	writeFailed  chan struct{} // closed while troubled
	closed    bool          // this host writes to the shard no more
}

// openShard takes a shard over under a term.
func openShard(ctx context.Context, o *Options, index int, term uint64) (*shard, error) {
	s := &shard{opts: o, wake: make(chan struct{}, 1), table: newTable(), writeFailed: make(chan struct{})}
	s.journal = newJournal(o, index, term, s.recordWriteResult)
	events, err := s.journal.takeOver(ctx)
	if err != nil {
		return nil, err
	}
	for _, e := range events {
		s.table.apply(e)
	}
	s.table.expire(o.Now().Add(-o.Retention))
	return s, nil
}

func (s *shard) recordWriteResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil && !s.writeFailing:
		close(s.writeFailed)
	case err == nil && s.writeFailing:
		s.writeFailed = make(chan struct{})
	}
	s.writeFailing = err != nil
}

// claim grants a key once its claim is in the store.
func (s *shard) claim(ctx context.Context, req Request) (Reply, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return Reply{}, errNotOwner
	}
	old := s.table.records[hashKey(req.Key)]
	known := old != nil
	if s.writeFailing && (!known || old.state == pending) {
		// Nobody was granted the key, and nobody will be before the write settles.
		s.mu.Unlock()
		return Reply{}, ErrUnavailable
	}
	reply, r := s.table.claim(s.opts.Now(), req)
	if known {
		s.mu.Unlock()
		return reply, nil
	}
	writeFailed := s.writeFailed
	result := make(chan error, 1)
	s.enqueue(queuedEvent{event: r.event(eventClaimed), record: r, written: result})
	s.mu.Unlock()
	select {
	case err := <-result:
		return reply, err
	case <-writeFailed:
		return s.abandon(r, reply)
	case <-ctx.Done():
		return s.abandon(r, reply)
	}
}

// abandon frees a claim whose asker gives up, unless it was granted just now.
func (s *shard) abandon(r *record, reply Reply) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.state == claimed {
		return reply, nil
	}
	r.abandoned = true
	return Reply{}, ErrUnavailable
}

func (s *shard) lookup(k Key) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Reply{}, errNotOwner
	}
	return s.table.lookup(s.opts.Now(), k), nil
}

// complete records an attempt's end; it is written with the next claims.
func (s *shard) complete(c Completion) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errNotOwner
	}
	if e, ok := s.table.complete(c); ok {
		s.enqueue(queuedEvent{event: e})
	}
	return nil
}

// enqueue wakes the writer. The caller holds mu.
func (s *shard) enqueue(e queuedEvent) {
	s.queue = append(s.queue, e)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes the queue in groups until ctx ends or the shard is lost. It writes
// what is queued before it returns, if the store answers in time.
func (s *shard) run(ctx context.Context) error {
	writeCtx, stop := withGracePeriod(ctx, callTimeout)
	defer stop()
	for ctx.Err() == nil {
		s.waitForWork(ctx)
		wrote, err := s.commitGroup(writeCtx)
		if err != nil {
			s.close()
			return err
		}
		if wrote {
			pause.For(ctx, s.opts.CommitInterval)
		}
	}
	_, err := s.commitGroup(writeCtx)
	s.close()
	return err
}

// withGracePeriod returns a context that ends some time after ctx.
func withGracePeriod(ctx context.Context, grace time.Duration) (context.Context, func()) {
	graceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(grace, cancel) })
	return graceCtx, func() {
		stop()
		cancel()
	}
}

// waitForWork waits for something to write. Ends of attempts alone wait longer than
// claims, for which a caller waits.
func (s *shard) waitForWork(ctx context.Context) {
	completionTimer := time.NewTimer(s.opts.CompletionDelay)
	defer completionTimer.Stop()
	for !s.hasQueuedClaim() {
		select {
		case <-s.wake:
		case <-completionTimer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *shard) hasQueuedClaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.queue {
		if e.record != nil {
			return true
		}
	}
	return false
}

// commitGroup writes one group; wrote is false when there was none.
func (s *shard) commitGroup(ctx context.Context) (wrote bool, err error) {
	group := s.takeGroup()
	if len(group) == 0 {
		return false, nil
	}
	events := make([]event, len(group))
	for i, e := range group {
		events[i] = e.event
	}
	err = s.journal.append(ctx, events)
	s.opts.commits.Inc()
	if errors.Is(err, errLogFull) {
		s.refuseGroup(group)
		return true, nil
	}
	s.resolveGroup(group, err)
	return true, err
}

// takeGroup removes a group from the queue, without the claims that nobody waits
// for any more.
func (s *shard) takeGroup() []queuedEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, func(e queuedEvent) bool {
		stale := e.record != nil && e.record.abandoned
		if stale {
			delete(s.table.records, e.record.hash)
		}
		return stale
	})
	n := min(len(s.queue), s.opts.EventsPerSegment)
	group := s.queue[:n:n]
	s.queue = s.queue[n:]
	return group
}

// resolveGroup tells the waiting callers that their claims are in the store, or not.
func (s *shard) resolveGroup(group []queuedEvent, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range group {
		if e.record == nil {
			continue
		}
		if err != nil {
			e.written <- ErrUnavailable
			continue
		}
		s.opts.grants.Inc()
		e.record.state = claimed
		if e.record.abandoned {
			delete(s.table.records, e.record.hash)
			s.enqueue(queuedEvent{event: e.record.event(eventReleased)})
		}
		e.written <- nil
	}
}

// refuseGroup drops a group that the log has no room for. Ends of attempts that are
// dropped leave their keys unknown after a change of owner.
func (s *shard) refuseGroup(group []queuedEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range group {
		if e.record != nil {
			delete(s.table.records, e.record.hash)
			e.written <- errKeysFull
		}
	}
}

// close refuses whatever still waits and whatever still comes.
func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, e := range s.queue {
		if e.record != nil {
			e.written <- ErrUnavailable
		}
	}
	s.queue = nil
}

func (s *shard) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.expire(s.opts.Now().Add(-s.opts.Retention))
}
