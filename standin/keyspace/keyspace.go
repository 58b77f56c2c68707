// Package keyspace is a stand-in for the platform's store in memory, with
// transactions, leases and watches, and with faults on demand.
package keyspace

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

// Outcome is what a fault does to a call.
type Outcome int

// The outcomes.
const (
	Served                Outcome = iota
	Refused                       // nothing is done, and the caller is told
	AnswerLost                    // it is done, and the answer is lost
	AnswerLostAppliedLate         // the answer is lost, and it is done after ApplyDelay
)

// Call is one call, as a fault sees it.
type Call struct {
	Write bool
	Key   string // or prefix; of a transaction, its first put
}

// Options of a Store.
type Options struct {
	Now        func() steady.Time // nil: steady.Now
	Fault      func(Call) Outcome // nil: every call is served
	ApplyDelay time.Duration      // how late an AnswerLostAppliedLate call is done
}

// tick is how often a waiting watch looks for leases that ran out.
const tick = 10 * time.Millisecond

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	opts Options

	mu        sync.Mutex
	revision  uint64
	items     map[string]kvstore.Item
	history   []kvstore.Event
	compacted uint64 // history up to this revision is gone
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
	s.expire()
	item, ok := s.items[key]
	if !ok {
		return kvstore.Item{}, kvstore.ErrNotFound
	}
	return item, nil
}

// List implements kvstore.Keyspace.
func (s *Store) List(_ context.Context, prefix string) ([]kvstore.Item, uint64, error) {
	if s.opts.Fault(Call{Key: prefix}) != Served {
		return nil, 0, kvstore.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out []kvstore.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision, nil
}

// Watch implements kvstore.Keyspace.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Event, uint64, error) {
	if s.opts.Fault(Call{Key: prefix}) != Served {
		return nil, 0, kvstore.ErrUnavailable
	}
	limit := time.Now().Add(wait)
	for {
		events, asOf, changed, err := s.since(prefix, after)
		if err != nil || len(events) > 0 || time.Now().After(limit) {
			return events, asOf, err
		}
		select {
		case <-changed:
		case <-time.After(min(tick, time.Until(limit)+time.Millisecond)):
		case <-ctx.Done():
			return nil, 0, kvstore.ErrUnavailable
		}
	}
}

func (s *Store) since(prefix string, after uint64) ([]kvstore.Event, uint64, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
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

// Compact drops the history.
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
		time.AfterFunc(s.opts.ApplyDelay, func() { _, _ = s.apply(txn) }) // nobody hears of it
		return 0, kvstore.ErrAmbiguous
	case AnswerLost:
		_, _ = s.apply(txn) // nobody hears of it
		return 0, kvstore.ErrAmbiguous
	}
	return s.apply(txn)
}

// WriteWithoutFaults applies a transaction without conditions past all faults.
func (s *Store) WriteWithoutFaults(txn kvstore.Txn) {
	txn.If = nil
	_, _ = s.apply(txn) // only a lease could be missing, and none is named
}

func (s *Store) apply(txn kvstore.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if err := s.check(txn); err != nil {
		return 0, err
	}
	s.revision++
	for _, p := range txn.Puts {
		s.record(kvstore.Event{Item: kvstore.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Lease: p.Lease}})
	}
	for _, key := range txn.Deletes {
		s.record(kvstore.Event{Item: kvstore.Item{Key: key, Revision: s.revision}, Deleted: true})
	}
	s.signal()
	return s.revision, nil
}

func (s *Store) check(txn kvstore.Txn) error {
	conflict := &kvstore.ConflictError{}
	holds := true
	for _, c := range txn.If {
		item, ok := s.items[c.Key]
		if !ok {
			item = kvstore.Item{Key: c.Key}
		}
		conflict.Items = append(conflict.Items, item)
		holds = holds && item.Revision == c.Revision
	}
	if !holds {
		return conflict
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return kvstore.ErrLeaseLost
		}
	}
	return nil
}

func (s *Store) record(e kvstore.Event) {
	s.history = append(s.history, e)
	if e.Deleted {
		delete(s.items, e.Key)
		return
	}
	s.items[e.Key] = e.Item
}

func (s *Store) signal() {
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
	s.expire()
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
	s.end(id)
	return nil
}

// expire ends the leases that ran out.
func (s *Store) expire() {
	now := s.opts.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

func (s *Store) end(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.record(kvstore.Event{Item: kvstore.Item{Key: key, Revision: s.revision}, Deleted: true})
		}
	}
	s.signal()
}
