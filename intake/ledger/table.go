package ledger

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/internal/defaults"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	// DefaultShards is the default number of values that a table is split into.
	DefaultShards = 4
	// DefaultWriteInterval is the default minimum time between two writes of one
	// shard by one host.
	DefaultWriteInterval = 200 * time.Millisecond
	// watchRetryDelay is the delay before a failed watch is retried.
	watchRetryDelay = 500 * time.Millisecond
)

// TableOptions configures a table.
type TableOptions struct {
	Store         kvstore.Store
	Prefix        string        // of the shards' keys in the store, such as "jobs/ledger/fd1"
	Shards        int           // 0: DefaultShards; the same on every host
	WriteInterval time.Duration // minimum time between two writes of a shard; 0: DefaultWriteInterval
	Now           func() time.Time
	Logger        *log.Logger  // nil: the default logger
	Metrics       *metrics.Set // nil: a private set
}

// Table is a map stored in a few values of the platform's store, its shards.
// Updates that arrive during a write of their shard are written together by the
// next write. A Table is safe for concurrent use, and many hosts may use tables on
// the same values concurrently.
type Table[V any] struct {
	o         TableOptions
	shards    []*shard[V]
	mu        sync.Mutex
	changed   chan struct{} // closed and replaced when the snapshot changes
	writes    *metrics.Counter
	reads     *metrics.Counter
	conflicts *metrics.Counter
}

// NewTable returns a table. It reads nothing from the store.
func NewTable[V any](o TableOptions) *Table[V] {
	if o.Shards == 0 {
		o.Shards = DefaultShards
	}
	if o.WriteInterval == 0 {
		o.WriteInterval = DefaultWriteInterval
	}
	o.Now = defaults.Now(o.Now)
	o.Logger = defaults.Logger(o.Logger)
	o.Metrics = defaults.Metrics(o.Metrics)
	t := &Table[V]{
		o:         o,
		changed:   make(chan struct{}),
		writes:    o.Metrics.GetOrCreateCounter("cyclamentray_intake_ledger_writes_total"),
		reads:     o.Metrics.GetOrCreateCounter("cyclamentray_intake_ledger_reads_total"),
		conflicts: o.Metrics.GetOrCreateCounter("cyclamentray_intake_ledger_conflicts_total"),
	}
	for i := range o.Shards {
		t.shards = append(t.shards, &shard[V]{t: t, key: fmt.Sprintf("%s/%d", o.Prefix, i)})
	}
	return t
}

func (t *Table[V]) shardOf(key string) *shard[V] {
	return t.shards[xxhash.Sum64String(key)%uint64(len(t.shards))]
}

// Change returns an entry's next value. It may be called several times, each time
// with a newer value, so it must return the same result if the value already
// includes its effect. If keep is false, the entry is removed. If err is not nil,
// the entry stays unchanged. A Change must not write to arrays or maps that old
// refers to.
type Change[V any] func(old V, found bool) (next V, keep bool, err error)

// Update applies a change to one entry and returns the entry's value once that is
// written. A nil error means that the change is in the store,
// kvstore.ErrUnavailable that it is not, and kvstore.ErrAmbiguous that it may be.
func (t *Table[V]) Update(ctx context.Context, key string, change Change[V]) (V, error) {
	return t.shardOf(key).update(ctx, key, change)
}

// Read reads an entry from the store. Concurrent reads of the same shard share one
// call to the store, which begins after they do.
func (t *Table[V]) Read(ctx context.Context, key string) (v V, found bool, err error) {
	p, err := t.shardOf(key).read(ctx)
	if err != nil {
		return v, false, err
	}
	v, found = p.Entries[key]
	return v, found, nil
}

// ReadAll reads all entries from the store.
func (t *Table[V]) ReadAll(ctx context.Context) (map[string]V, error) {
	pages := make([]page[V], len(t.shards))
	g, ctx := errgroup.WithContext(ctx)
	for i, s := range t.shards {
		g.Go(func() error {
			p, err := s.read(ctx)
			pages[i] = p
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	out := make(map[string]V)
	for _, p := range pages {
		maps.Copy(out, p.Entries)
	}
	return out, nil
}

// Snapshot returns the cached entries, which are the newest that this host has
// read or written. Each shard was confirmed to be current at confirmed or later;
// that is the time at which the confirming call to the store began. complete is
// false until every shard has been read once.
func (t *Table[V]) Snapshot() (entries map[string]V, confirmed time.Time, complete bool) {
	entries = make(map[string]V)
	complete = true
	for i, s := range t.shards {
		p, at, loaded := s.snapshot()
		maps.Copy(entries, p.Entries)
		complete = complete && loaded
		if i == 0 || at.Before(confirmed) {
			confirmed = at
		}
	}
	return entries, confirmed, complete
}

// Changed returns a channel that is closed when the snapshot changes next.
func (t *Table[V]) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// notifyChanged closes the channel that Changed returned, and makes a new one.
func (t *Table[V]) notifyChanged() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Run keeps the snapshot current with one watch per shard until ctx ends.
func (t *Table[V]) Run(ctx context.Context) error {
	var g errgroup.Group
	for _, s := range t.shards {
		g.Go(func() error {
			s.watchUntilDone(ctx)
			return nil
		})
	}
	return g.Wait()
}
