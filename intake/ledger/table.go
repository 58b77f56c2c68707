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
	// DefaultShards is the number of values that a table is spread over.
	DefaultShards = 4
	// DefaultWriteInterval is the least time between two writes of one shard by one host.
	DefaultWriteInterval = 200 * time.Millisecond
	// watchRetryDelay is how long a failed watch rests before the next.
	watchRetryDelay = 500 * time.Millisecond
)

// TableOptions configures a table.
type TableOptions struct {
	Store         kvstore.Store
	Prefix        string        // of the shards' keys, such as "jobs/ledger/fd1"
	Shards        int           // 0: DefaultShards; the same on every host
	WriteInterval time.Duration // 0: DefaultGap
	Now           func() time.Time
	Logger        *log.Logger  // nil: the default logger
	Metrics       *metrics.Set // nil: a private set
}

// Table is a map kept in a few values of the platform's store. Updates that
// arrive while a shard's write is under way are written together by the next
// one. It is safe for concurrent use, by many hosts at once.
type Table[V any] struct {
	o         TableOptions
	shards    []*shard[V]
	mu        sync.Mutex
	changed   chan struct{}
	writes    *metrics.Counter
	reads     *metrics.Counter
	conflicts *metrics.Counter
}

// NewTable returns a table; nothing is read until it is used or run.
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

// Change makes an entry's next value. It may run several times, on newer and
// newer values, so it must give the same answer when its effect is already
// there. keep false removes the entry. An error leaves the entry as it is.
// It must not write to arrays or maps that old refers to.
type Change[V any] func(old V, found bool) (next V, keep bool, err error)

// Update applies a change to one entry and returns its value once written.
// A nil error means that the change is in the store. kvstore.ErrUnavailable
// means that it is not, kvstore.ErrAmbiguous that it may be.
func (t *Table[V]) Update(ctx context.Context, key string, change Change[V]) (V, error) {
	return t.shardOf(key).update(ctx, key, change)
}

// Read returns an entry as the store holds it now. Reads that wait for the
// same shard share one call.
func (t *Table[V]) Read(ctx context.Context, key string) (v V, found bool, err error) {
	p, err := t.shardOf(key).read(ctx)
	if err != nil {
		return v, false, err
	}
	v, found = p.Entries[key]
	return v, found, nil
}

// ReadAll returns every entry as the store holds it now.
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

// Snapshot returns the newest entries seen and the time before the store was
// asked when the oldest shard among them was last confirmed. complete is false
// until every shard has been read once.
func (t *Table[V]) Snapshot() (entries map[string]V, confirmed time.Time, complete bool) {
	entries = make(map[string]V)
	complete = true
	for i, s := range t.shards {
		p, at, known := s.snapshot()
		maps.Copy(entries, p.Entries)
		complete = complete && known
		if i == 0 || at.Before(confirmed) {
			confirmed = at
		}
	}
	return entries, confirmed, complete
}

// Changed returns a channel that is closed when a newer entry is seen.
func (t *Table[V]) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table[V]) notifyChanged() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Run keeps the snapshot fresh by one watch a shard, until ctx ends.
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
