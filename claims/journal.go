package claims

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	maxParallelLoads = 16                    // slots read in parallel during a take-over
	callTimeout      = time.Second           // per call to the store, and per claim for another host
	initialBackoff   = 20 * time.Millisecond // delay before the first retry; doubles up to maxBackoff
	maxBackoff       = time.Second
	maxFenceAttempts = 8 // per take-over
)

var (
	// errFenced means that another host has taken the shard over.
	errFenced = errors.New("claims: another host has taken the shard over; send the call to that host")
	// errLogFull means that every segment of the ring holds keys within their
	// retention, so that none can be overwritten.
	errLogFull = errors.New("claims: every segment of the log holds keys within their retention; raise Segments or lower Retention")
)

// journal is a shard's log: a ring of slots, which are keys of the store that hold
// one segment each. Events are appended to the newest segment only. Each write is a
// compare-and-swap on the slot's version last read or written by this owner.
// It is not safe for concurrent use.
type journal struct {
	opts          *Options
	shard         int
	term          uint64
	versions      []uint64    // store version of each slot; 0: never written
	newest        []time.Time // time of the newest event in each slot; zero: no events
	current       segment     // newest segment, as last written
	onWriteResult func(error) // called with the error of each failed write, and with nil after a successful one
}

func newJournal(o *Options, shard int, term uint64, onWriteResult func(error)) *journal {
	return &journal{
		opts: o, shard: shard, term: term, onWriteResult: onWriteResult,
		versions: make([]uint64, o.Segments), newest: make([]time.Time, o.Segments),
	}
}

func (j *journal) slotKey(slot int) string { return fmt.Sprintf("claims/%d/%d", j.shard, slot) }

func (j *journal) slotOf(seq uint64) int { return int(seq % uint64(j.opts.Segments)) }

// takeOver fences every earlier owner and returns the log's events, oldest
// first.
//
// An earlier owner can write only to the newest segment or to the slot after
// it. takeOver rewrites both at the versions that it read, before the new owner
// decides on any claim. The earlier owner's next write therefore fails, and
// takeOver returns every event that it wrote. The rewrites keep the events and
// use no further slot, so a full log can be taken over too.
func (j *journal) takeOver(ctx context.Context) ([]event, error) {
	for range maxFenceAttempts {
		segments, err := j.load(ctx)
		if err != nil {
			return nil, err
		}
		err = j.fence(ctx, segments)
		if errors.Is(err, kvstore.ErrConflict) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return eventsInOrder(segments), nil
	}
	return nil, errors.New("claims: the shard's log changed during every attempt to take it over; retry later")
}

// load reads the ring in the order in which its segments are written. It stops
// at the first slot that was never written, as no later slot was written either.
func (j *journal) load(ctx context.Context) ([]segment, error) {
	ctx = kvstore.Urgent(ctx)
	segments := make([]segment, j.opts.Segments)
	clear(j.versions)
	for first := 1; first <= len(segments); first += maxParallelLoads {
		more, err := j.loadRange(ctx, segments, first, min(first+maxParallelLoads, len(segments)+1))
		if err != nil {
			return nil, err
		}
		if !more {
			break
		}
	}
	for slot, s := range segments {
		j.newest[slot] = time.Time{}
		if len(s.events) > 0 {
			j.newest[slot] = s.newest
		}
	}
	return segments, nil
}

// loadRange reads the slots of the sequence numbers from first to end-1 in
// parallel. more is false when one of them was never written.
func (j *journal) loadRange(ctx context.Context, segments []segment, first, end int) (more bool, err error) {
	var group errgroup.Group
	for seq := first; seq < end; seq++ {
		slot := j.slotOf(uint64(seq))
		group.Go(func() error { return j.loadSlot(ctx, segments, slot) })
	}
	if err := group.Wait(); err != nil {
		return false, err
	}
	for seq := first; seq < end; seq++ {
		if j.versions[j.slotOf(uint64(seq))] == 0 {
			return false, nil
		}
	}
	return true, nil
}

func (j *journal) loadSlot(ctx context.Context, segments []segment, slot int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := j.opts.Store.Get(ctx, j.slotKey(slot))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	j.versions[slot] = e.Version
	segments[slot], err = decodeSegment(e.Value)
	return err
}

// fence rewrites the newest segment and the slot after it under this owner's
// term, without changing their events.
func (j *journal) fence(ctx context.Context, segments []segment) error {
	last := segment{}
	for _, s := range segments {
		if s.term > j.term {
			return errFenced
		}
		if s.seq > last.seq {
			last = s
		}
	}
	if last.seq > 0 {
		last.term = j.term
		last.commits++
		if err := j.writeSegment(ctx, j.slotOf(last.seq), last); err != nil {
			return err
		}
	}
	slot := j.slotOf(last.seq + 1)
	next := segments[slot]
	next.term = j.term
	next.commits++
	if err := j.writeSegment(ctx, slot, next); err != nil {
		return err
	}
	j.current = last
	if last.seq == 0 {
		j.current = segment{term: j.term, seq: 1}
	}
	return nil
}

// checkSlotReusable returns errLogFull if the slot of seq still holds an event
// within its retention.
func (j *journal) checkSlotReusable(seq uint64) error {
	newest := j.newest[j.slotOf(seq)]
	if !newest.IsZero() && j.opts.Now().Sub(newest) < j.opts.Retention {
		return errLogFull
	}
	return nil
}

// eventsInOrder returns the events of all segments, oldest first.
func eventsInOrder(segments []segment) []event {
	oldest := 0
	for slot, s := range segments {
		if s.seq > 0 && (segments[oldest].seq == 0 || s.seq < segments[oldest].seq) {
			oldest = slot
		}
	}
	var events []event
	for i := range segments {
		events = append(events, segments[(oldest+i)%len(segments)].events...)
	}
	return events
}

// append writes events to the log and retries failed writes. It returns nil
// once the events are in the store, errFenced when another host has taken the
// shard over, errLogFull when no segment can be reused, or ctx's error, after
// which the journal must not be used again.
func (j *journal) append(ctx context.Context, events []event) error {
	next := j.current
	if len(next.events)+len(events) > j.opts.EventsPerSegment && len(next.events) > 0 {
		next = segment{term: j.term, seq: j.current.seq + 1}
		if err := j.checkSlotReusable(next.seq); err != nil {
			return err
		}
	}
	next.commits++
	next.newest = j.opts.Now()
	next.events = append(next.events[:len(next.events):len(next.events)], events...)
	backoff := initialBackoff
	for {
		err := j.writeSegment(ctx, j.slotOf(next.seq), next)
		if err == nil {
			j.current = next
			j.newest[j.slotOf(next.seq)] = next.newest
			j.onWriteResult(nil)
			return nil
		}
		if errors.Is(err, kvstore.ErrConflict) {
			return errFenced
		}
		j.onWriteResult(err)
		if !pause.For(ctx, backoff) {
			return ctx.Err()
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// writeSegment writes a segment to its slot with one compare-and-swap. If that
// fails, it reads the slot back to find out whether the write took effect. After
// an error other than ErrConflict the write may have taken effect or not, and the
// same segment must be written again before any other.
func (j *journal) writeSegment(ctx context.Context, slot int, s segment) error {
	ctx, cancel := context.WithTimeout(kvstore.Urgent(ctx), callTimeout)
	defer cancel()
	value := s.encode()
	e, err := j.opts.Store.CompareAndSwap(ctx, j.slotKey(slot), value, j.versions[slot])
	if err == nil {
		j.versions[slot] = e.Version
		return nil
	}
	stored, readErr := j.opts.Store.Get(ctx, j.slotKey(slot))
	if errors.Is(readErr, kvstore.ErrNotFound) && j.versions[slot] == 0 {
		return err
	}
	if readErr != nil {
		return errors.Mark(readErr, kvstore.ErrUnavailable)
	}
	if bytes.Equal(stored.Value, value) {
		j.versions[slot] = stored.Version
		return nil
	}
	if stored.Version != j.versions[slot] {
		return kvstore.ErrConflict
	}
	return errors.Mark(err, kvstore.ErrUnavailable)
}
