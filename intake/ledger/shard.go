package ledger

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	callTimeout           = 4 * time.Second // per call to the store
	maxWriteAttempts      = 12              // per group of updates
	readsPerWriteInterval = 4               // maximum reads of one shard by one host per WriteInterval
)

// result is the value or error that Table.Update returns.
type result[V any] struct {
	value V
	err   error
}

// update is a call of Table.Update that waits for its write.
type update[V any] struct {
	key       string
	change    Change[V]
	done      chan result[V] // buffered, so that commitLoop never blocks on a caller
	cancelled func() bool    // reports whether the caller no longer waits
}

// shard is one value of the store, with its cached page. At most one of this
// host's writes of it is in progress at a time.
type shard[V any] struct {
	t   *Table[V]
	key string

	mu         sync.Mutex
	page       page[V]      // cached
	version    uint64       // version of page in the store
	confirmed  time.Time    // start of the latest call to the store that showed page to be current
	loaded     bool         // page was read or written at least once
	pending    []*update[V] // updates of the next group
	committing bool         // commitLoop is running
	reading    bool         // readLoop is running
	nextRead   *readCall[V] // the next call of readLoop; nil: none is requested
}

// readCall is a read of the shard that one or more callers wait for.
type readCall[V any] struct {
	done chan struct{}
	page page[V]
	err  error
}

// snapshot returns the cached page and the time at which it was last confirmed;
// the last result is false if the shard was never read.
func (s *shard[V]) snapshot() (page[V], time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.page, s.confirmed, s.loaded
}

// applyRead updates the cached page from an entry read from the store, unless the
// cached one is newer. callStart is the time before the read.
func (s *shard[V]) applyRead(e kvstore.Entry, callStart time.Time) (page[V], error) {
	s.mu.Lock()
	if s.loaded && e.Version == s.version {
		defer s.mu.Unlock()
		s.confirmed = laterOf(s.confirmed, callStart)
		return s.page, nil
	}
	s.mu.Unlock()
	p, err := decode[V](e.Value)
	if err != nil {
		return p, err
	}
	s.install(p, e.Version, callStart)
	return p, nil
}

// install caches a page unless the cached one is newer. callStart is the time before
// the call to the store that read or wrote the page.
func (s *shard[V]) install(p page[V], version uint64, callStart time.Time) {
	s.mu.Lock()
	newer := !s.loaded || version > s.version
	if newer {
		s.page, s.version, s.loaded = p, version, true
	}
	if version >= s.version {
		s.confirmed = laterOf(s.confirmed, callStart)
	}
	s.mu.Unlock()
	if newer {
		s.t.notifyChanged()
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// fetch reads the shard from the store. A missing key is an empty page.
func (s *shard[V]) fetch(ctx context.Context) (page[V], error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	callStart := s.t.o.Now()
	s.t.reads.Inc()
	e, err := s.t.o.Store.Get(ctx, s.key)
	if errors.Is(err, kvstore.ErrNotFound) {
		e, err = kvstore.Entry{Key: s.key}, nil
	}
	if err != nil {
		return page[V]{}, err
	}
	return s.applyRead(e, callStart)
}

// read reads the shard's page with a call to the store that begins after read is
// called. Callers share a read that has not begun yet, but never one that has: it
// may miss writes that ended before they called.
func (s *shard[V]) read(ctx context.Context) (page[V], error) {
	s.mu.Lock()
	call := s.nextRead
	if call == nil {
		call = &readCall[V]{done: make(chan struct{})}
		s.nextRead = call
	}
	if !s.reading {
		s.reading = true
		go s.readLoop()
	}
	s.mu.Unlock()
	select {
	case <-call.done:
		return call.page, call.err
	case <-ctx.Done():
		return page[V]{}, errors.Mark(ctx.Err(), kvstore.ErrUnavailable)
	}
}

// readLoop makes the requested reads, one at a time, until none is requested. It
// makes at most readsPerWriteInterval reads per WriteInterval.
func (s *shard[V]) readLoop() {
	for {
		s.mu.Lock()
		call := s.nextRead
		s.nextRead = nil
		if call == nil {
			s.reading = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		call.page, call.err = s.fetch(context.Background())
		close(call.done)
		time.Sleep(s.t.o.WriteInterval / readsPerWriteInterval)
	}
}

// watchUntilDone keeps the cached page current with watches until ctx ends.
func (s *shard[V]) watchUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		after, loaded := s.version, s.loaded
		s.mu.Unlock()
		var err error
		if !loaded {
			_, err = s.fetch(ctx)
		} else {
			err = s.watch(ctx, after)
		}
		if err != nil {
			pause.For(ctx, watchRetryDelay)
		}
	}
}

// watch waits for a newer version than after, and caches it.
func (s *shard[V]) watch(ctx context.Context, after uint64) error {
	s.t.reads.Inc()
	callStart := s.t.o.Now()
	e, err := s.t.o.Store.Watch(ctx, s.key, after)
	if err != nil {
		return err
	}
	_, err = s.applyRead(e, callStart)
	return err
}

// update queues a change and waits for its result.
func (s *shard[V]) update(ctx context.Context, key string, change Change[V]) (V, error) {
	u := &update[V]{key: key, change: change, done: make(chan result[V], 1)}
	u.cancelled = func() bool { return ctx.Err() != nil }
	s.mu.Lock()
	s.pending = append(s.pending, u)
	if !s.committing {
		s.committing = true
		go s.commitLoop()
	}
	s.mu.Unlock()
	select {
	case r := <-u.done:
		return r.value, r.err
	case <-ctx.Done():
		var zero V
		return zero, errors.Mark(ctx.Err(), kvstore.ErrAmbiguous)
	}
}

// commitLoop writes groups of updates until none is pending.
func (s *shard[V]) commitLoop() {
	for {
		s.mu.Lock()
		group := s.pending
		s.pending = nil
		if len(group) == 0 {
			s.committing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.commit(group)
		time.Sleep(s.t.o.WriteInterval)
	}
}

// writeAttempt is a write of a group that may or may not have taken effect.
type writeAttempt[V any] struct {
	nonce   string
	results []result[V]
}

// commit writes one group, and retries up to maxWriteAttempts times. After a write
// whose reply was lost, it reads the page back and looks for the nonce of the write.
func (s *shard[V]) commit(group []*update[V]) {
	var tried []writeAttempt[V]
	var err error
	for n := range maxWriteAttempts {
		if n > 0 {
			time.Sleep(mathrand.N(s.t.o.WriteInterval * time.Duration(min(n, 4)) / 2))
		}
		var base page[V]
		base, err = s.basePage(n > 0)
		if err != nil {
			continue
		}
		if results, applied := findApplied(tried, base); applied {
			deliverResults(group, results)
			return
		}
		a := writeAttempt[V]{nonce: rand.Text()}
		a.results, err = s.write(group, a.nonce)
		if err == nil {
			deliverResults(group, a.results)
			return
		}
		if errors.Is(err, kvstore.ErrAmbiguous) {
			tried = append(tried, a)
		}
	}
	if len(tried) > 0 {
		err = errors.Mark(err, kvstore.ErrAmbiguous)
	}
	s.t.o.Logger.Warn("ledger write failed", "shard", s.key, "updates", len(group), "err", err.Error())
	for _, u := range group {
		u.done <- result[V]{err: err}
	}
}

// findApplied returns the results of the earlier attempt that took effect,
// according to the nonces in the page.
func findApplied[V any](tried []writeAttempt[V], p page[V]) ([]result[V], bool) {
	for _, a := range tried {
		if p.hasNonce(a.nonce) {
			return a.results, true
		}
	}
	return nil, false
}

// basePage returns the page that a write is based on: the cached one or, if fresh
// is set or none is cached, one read from the store.
func (s *shard[V]) basePage(fresh bool) (page[V], error) {
	p, _, loaded := s.snapshot()
	if loaded && !fresh {
		return p, nil
	}
	return s.fetch(context.Background())
}

// write applies the group to the page and writes it with a compare-and-swap. If
// the group changes nothing, it only reads the page, to confirm that it is current.
// If the write fails, it returns the results with the error, as the write may have
// taken effect.
func (s *shard[V]) write(group []*update[V], nonce string) ([]result[V], error) {
	s.mu.Lock()
	base, version := s.page, s.version
	s.mu.Unlock()
	next := base.copyWithNonce(nonce)
	results, changed := apply(group, next.Entries)
	if !changed {
		return s.confirmUnchanged(group)
	}
	value, err := encode(next)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	callStart := s.t.o.Now()
	s.t.writes.Inc()
	e, err := s.t.o.Store.CompareAndSwap(ctx, s.key, value, version)
	if errors.Is(err, kvstore.ErrConflict) {
		s.t.conflicts.Inc()
	}
	if err != nil {
		return results, err
	}
	s.install(next, e.Version, callStart)
	return results, nil
}

// confirmUnchanged returns the results of a group that changes nothing, computed
// from a page read from the store. It returns kvstore.ErrConflict if the group
// changes that page.
func (s *shard[V]) confirmUnchanged(group []*update[V]) ([]result[V], error) {
	fresh, err := s.fetch(context.Background())
	if err != nil {
		return nil, err
	}
	results, changed := apply(group, fresh.copyWithNonce("").Entries)
	if changed {
		return nil, errors.Mark(errors.New("the shard changed during the update"), kvstore.ErrConflict)
	}
	return results, nil
}

// deliverResults sends each update of a group its result.
func deliverResults[V any](group []*update[V], results []result[V]) {
	for i, u := range group {
		u.done <- results[i]
	}
}

// apply applies a group's changes to entries in place. It skips updates whose
// caller no longer waits.
func apply[V any](group []*update[V], entries map[string]V) (results []result[V], changed bool) {
	results = make([]result[V], len(group))
	for i, u := range group {
		if u.cancelled() {
			continue
		}
		old, found := entries[u.key]
		next, keep, err := u.change(old, found)
		if err == nil && keep && !found && len(entries) >= MaxShardEntries {
			err = errFull
		}
		switch {
		case err != nil:
			results[i] = result[V]{value: old, err: err}
			continue
		case keep:
			entries[u.key] = next
			changed = changed || !found || !reflect.DeepEqual(old, next)
		case found:
			delete(entries, u.key)
			changed = true
		}
		results[i] = result[V]{value: next}
	}
	return results, changed
}
