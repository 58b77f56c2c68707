// Package keyspace is an in-memory stand-in for the platform's store, with
// transactions, leases, watches and fault injection. A Store holds the items,
// the history of changes and the leases. Tests, package platform/standin and
// package soak use it.
package keyspace

import (
	"context"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

// Outcome tells how a call to the store ends. Calls other than Commit treat every
// outcome except Served as Refused.
type Outcome int

// The outcomes.
const (
	Served                Outcome = iota
	Refused                       // not applied; the caller gets kvstore.ErrUnavailable
	AnswerLost                    // a commit is applied; the caller gets kvstore.ErrAmbiguous
	AnswerLostAppliedLate         // as AnswerLost, but applied only after Options.ApplyDelay
)

// Call describes a call to Options.Fault.
type Call struct {
	Write bool
	Key   string // key or prefix; the key of the first put of a transaction
}

// Options configures a Store.
type Options struct {
	Now        func() steady.Time // nil: steady.Now
	Fault      func(Call) Outcome // nil: every call is served
	ApplyDelay time.Duration      // until a commit with AnswerLostAppliedLate is applied
}

// leaseCheckInterval is how often a waiting watch checks for expired leases.
const leaseCheckInterval = 10 * time.Millisecond

// Store implements kvstore.Keyspace in memory. It is safe for concurrent use.
type Store struct {
	opts Options

	mu        sync.Mutex
	revision  uint64
	items     map[string]kvstore.Item
	sorted    []string // the keys of items in order; nil: to be sorted again
	history   []kvstore.Event
	compacted uint64 // history up to and including this revision was dropped
	leases    map[uint64]*lease
	changed   chan struct{} // closed and replaced at each change
}

type lease struct {
	ttl     time.Duration
	expires steady.Time
}

// New returns an empty store.
func New(o Options) *Store {
	if o.Now == nil {
		o.Now = steady.Now
	}
	if o.Fault == nil {
		o.Fault = func(Call) Outcome { return Served }
	}
	return &Store{
		opts:     o,
		revision: 1,
		items:    make(map[string]kvstore.Item),
		leases:   make(map[uint64]*lease),
		changed:  make(chan struct{}),
	}
}

var _ kvstore.Keyspace = (*Store)(nil)

// Get implements kvstore.Keyspace.
func (s *Store) Get(_ context.Context, key string) (kvstore.Item, error) {
	if s.opts.Fault(Call{Key: key}) != Served {
		return kvstore.Item{}, kvstore.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	item, ok := s.items[key]
	if !ok {
		return kvstore.Item{}, kvstore.ErrNotFound
	}
	return item, nil
}

// List returns every item under prefix, whatever their number.
func (s *Store) List(_ context.Context, prefix string) ([]kvstore.Item, uint64, error) {
	if s.opts.Fault(Call{Key: prefix}) != Served {
		return nil, 0, kvstore.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items, _ := s.itemsFrom(prefix, "", math.MaxInt, math.MaxInt)
	return items, s.revision, nil
}

// A page of a list ends after so many items, or at the item with which its values have
// so many bytes.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// ListPage implements kvstore.Keyspace.
func (s *Store) ListPage(_ context.Context, prefix, after string) (kvstore.Page, error) {
	if s.opts.Fault(Call{Key: prefix}) != Served {
		return kvstore.Page{}, kvstore.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := s.itemsFrom(prefix, after, pageItems, pageBytes)
	return kvstore.Page{Items: items, More: more, AsOf: s.revision}, nil
}

// itemsFrom returns the first items under prefix whose keys follow after, and whether there
// are more. The caller holds mu.
func (s *Store) itemsFrom(prefix, after string, maxItems, maxBytes int) (items []kvstore.Item, more bool) {
	s.endExpiredLeases()
	if s.sorted == nil {
		s.sorted = slices.Sorted(maps.Keys(s.items))
	}
	first, _ := slices.BinarySearch(s.sorted, max(prefix, after))
	bytes := 0
	for _, key := range s.sorted[first:] {
		switch {
		case !strings.HasPrefix(key, prefix):
			return items, false
		case key <= after:
			continue
		case len(items) == maxItems || bytes >= maxBytes:
			return items, true
		}
		items, bytes = append(items, s.items[key]), bytes+len(s.items[key].Value)
	}
	return items, false
}

// Watch implements kvstore.Keyspace.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Event, uint64, error) {
	if s.opts.Fault(Call{Key: prefix}) != Served {
		return nil, 0, kvstore.ErrUnavailable
	}
	deadline := time.Now().Add(wait)
	for {
		events, asOf, changed, err := s.eventsSince(prefix, after)
		if err != nil || len(events) > 0 || time.Now().After(deadline) {
			return events, asOf, err
		}
		select {
		case <-changed:
		case <-time.After(min(leaseCheckInterval, time.Until(deadline)+time.Millisecond)):
		case <-ctx.Done():
			return nil, 0, kvstore.ErrUnavailable
		}
	}
}

func (s *Store) eventsSince(prefix string, after uint64) ([]kvstore.Event, uint64, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	if after < s.compacted {
		return nil, 0, nil, kvstore.ErrCompacted
	}
	var out []kvstore.Event
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
		}
	}
	return out, s.revision, s.changed, nil
}

// Compact drops the history of changes. Watches from before the present
// revision fail with kvstore.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Commit implements kvstore.Keyspace.
func (s *Store) Commit(_ context.Context, txn kvstore.Txn) (uint64, error) {
	call := Call{Write: true}
	if len(txn.Puts) > 0 {
		call.Key = txn.Puts[0].Key
	}
	switch s.opts.Fault(call) {
	case Refused:
		return 0, kvstore.ErrUnavailable
	case AnswerLostAppliedLate:
		time.AfterFunc(s.opts.ApplyDelay, func() { _, _ = s.apply(txn) }) // the answer is lost
		return 0, kvstore.ErrAmbiguous
	case AnswerLost:
		_, _ = s.apply(txn) // the answer is lost
		return 0, kvstore.ErrAmbiguous
	}
	return s.apply(txn)
}

// WriteWithoutFaults applies the puts and deletes of a transaction. It ignores
// the transaction's conditions and injects no faults.
func (s *Store) WriteWithoutFaults(txn kvstore.Txn) {
	txn.If = nil
	_, _ = s.apply(txn) // can only fail if a put names a missing lease, and callers name none
}

func (s *Store) apply(txn kvstore.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	if err := s.checkConditions(txn); err != nil {
		return 0, err
	}
	s.revision++
	for _, p := range txn.Puts {
		s.recordEvent(kvstore.Event{Item: kvstore.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Lease: p.Lease}})
	}
	for _, key := range txn.Deletes {
		s.recordEvent(kvstore.Event{Item: kvstore.Item{Key: key, Revision: s.revision}, Deleted: true})
	}
	s.wakeWatches()
	return s.revision, nil
}

func (s *Store) checkConditions(txn kvstore.Txn) error {
	conflict := &kvstore.ConflictError{}
	met := true
	for _, c := range txn.If {
		item, ok := s.items[c.Key]
		if !ok {
			item = kvstore.Item{Key: c.Key}
		}
		conflict.Items = append(conflict.Items, item)
		met = met && item.Revision == c.Revision
	}
	if !met {
		return conflict
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return kvstore.ErrLeaseLost
		}
	}
	return nil
}

func (s *Store) recordEvent(e kvstore.Event) {
	s.history = append(s.history, e)
	if _, known := s.items[e.Key]; known == e.Deleted {
		s.sorted = nil
	}
	if e.Deleted {
		delete(s.items, e.Key)
		return
	}
	s.items[e.Key] = e.Item
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant implements kvstore.Keyspace.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (kvstore.LeaseGrant, error) {
	if s.opts.Fault(Call{Write: true}) != Served {
		return kvstore.LeaseGrant{}, kvstore.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: ttl, expires: s.opts.Now().Add(ttl)}
	return kvstore.LeaseGrant{ID: id, TTL: ttl}, nil
}

// Renew implements kvstore.Keyspace.
func (s *Store) Renew(_ context.Context, id uint64) error {
	if s.opts.Fault(Call{}) != Served {
		return kvstore.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	l := s.leases[id]
	if l == nil {
		return kvstore.ErrLeaseLost
	}
	l.expires = s.opts.Now().Add(l.ttl)
	return nil
}

// Revoke implements kvstore.Keyspace.
func (s *Store) Revoke(_ context.Context, id uint64) error {
	if s.opts.Fault(Call{Write: true}) != Served {
		return kvstore.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return kvstore.ErrLeaseLost
	}
	s.endLease(id)
	return nil
}

// endExpiredLeases ends the leases that have expired and deletes their keys. The
// caller holds mu.
func (s *Store) endExpiredLeases() {
	now := s.opts.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.recordEvent(kvstore.Event{Item: kvstore.Item{Key: key, Revision: s.revision}, Deleted: true})
		}
	}
	s.wakeWatches()
}
