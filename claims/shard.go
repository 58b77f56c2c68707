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

// errKeysFull means that a new key was refused because too many keys are within
// their retention.
var errKeysFull = apierr.New(apierr.Overloaded, "too many idempotency keys are kept; this attempt was not run", "retry later")

// queuedEvent is an event that waits to be written.
type queuedEvent struct {
	event   event
	record  *record    // of a new claim; nil for other events
	written chan error // receives the write's result; nil: no caller waits
}

// shard is a shard that this host owns. Only the goroutine of run uses the
// journal; mu guards the other fields. It is safe for concurrent use.
type shard struct {
	opts    *Options
	journal *journal
	wake    chan struct{} // receives a token when an event is queued

	mu           sync.Mutex
	table        *table
	queue        []queuedEvent
	writeFailing bool          // the last write failed and has not been repeated successfully
	writeFailed  chan struct{} // closed while writeFailing
	closed       bool          // this host no longer writes to the shard
}

// openShard takes a shard over under a term, and loads its records from the log.
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

// recordWriteResult is the journal's onWriteResult: it notifies the waiting claims
// when writes begin to fail.
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

// claim claims a key. It returns Granted only once the claim is in the store.
func (s *shard) claim(ctx context.Context, req Request) (Reply, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return Reply{}, errNotOwner
	}
	old := s.table.records[hashKey(req.Key)]
	known := old != nil
	if s.writeFailing && (!known || old.state == pending) {
		// The key is granted to no attempt, and cannot be before a write succeeds.
		s.mu.Unlock()
		return Reply{}, ErrUnavailable
	}
	reply, r := s.table.claim(s.opts.Now(), req)
	if known {
		s.mu.Unlock()
		return reply, nil
	}
	writeFailed := s.writeFailed
	written := make(chan error, 1)
	s.enqueue(queuedEvent{event: r.event(eventClaimed), record: r, written: written})
	s.mu.Unlock()
	select {
	case err := <-written:
		return reply, err
	case <-writeFailed:
		return s.abandon(r, reply)
	case <-ctx.Done():
		return s.abandon(r, reply)
	}
}

// abandon marks a claim whose caller stops waiting as abandoned, so that the key
// is released. If the claim was granted in the meantime, it returns reply.
func (s *shard) abandon(r *record, reply Reply) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.state == claimed {
		return reply, nil
	}
	r.abandoned = true
	return Reply{}, ErrUnavailable
}

// lookup looks a key up without claiming it.
func (s *shard) lookup(k Key) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Reply{}, errNotOwner
	}
	return s.table.lookup(s.opts.Now(), k), nil
}

// complete records the outcome of an attempt and queues its event, which is
// written with the next claims or after CompletionDelay.
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

// enqueue adds an event to the queue and wakes run. The caller holds mu.
func (s *shard) enqueue(e queuedEvent) {
	s.queue = append(s.queue, e)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes the queue in groups until ctx ends or the shard is lost. After ctx
// ends it writes one more group, for at most callTimeout, refuses the claims that
// are still queued, and returns.
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

// withGracePeriod returns a context that is cancelled grace after ctx ends.
func withGracePeriod(ctx context.Context, grace time.Duration) (context.Context, func()) {
	graceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(grace, cancel) })
	return graceCtx, func() {
		stop()
		cancel()
	}
}

// waitForWork returns when a claim is queued, after CompletionDelay, or when ctx
// ends. No caller waits for the write of a completion, so completions alone may
// stay queued for CompletionDelay.
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

// commitGroup writes one group of queued events and resolves its claims. wrote is
// false when the queue was empty.
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

// takeGroup removes up to EventsPerSegment events from the queue, and drops the
// claims that were abandoned.
func (s *shard) takeGroup() []queuedEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, func(e queuedEvent) bool {
		abandoned := e.record != nil && e.record.abandoned
		if abandoned {
			delete(s.table.records, e.record.hash)
		}
		return abandoned
	})
	n := min(len(s.queue), s.opts.EventsPerSegment)
	group := s.queue[:n:n]
	s.queue = s.queue[n:]
	return group
}

// resolveGroup sends the result of a write to the callers of the group's claims.
// A claim that was abandoned during the write is released again.
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

// refuseGroup drops a group for which the log has no space. After a change of
// owner, the verdict on the keys of dropped completions becomes Unknown.
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

// close refuses the queued claims and all later calls.
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

// expire removes the records whose retention has passed.
func (s *shard) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.expire(s.opts.Now().Add(-s.opts.Retention))
}
