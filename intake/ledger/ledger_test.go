package ledger_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/kv"
)

// faultyStore loses the replies to writes that took effect, or drops writes before
// they reach the store.
type faultyStore struct {
	kvstore.Store
	mu          sync.Mutex
	loseReplies int // number of next writes that take effect but whose reply is lost
	dropWrites  int // number of next writes that do not reach the store
	writes      int
}

func (f *faultyStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (kvstore.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.dropWrites > 0 {
		f.dropWrites--
		return kvstore.Entry{}, kvstore.ErrUnavailable
	}
	e, err := f.Store.CompareAndSwap(ctx, key, value, version)
	if f.loseReplies > 0 {
		f.loseReplies--
		return kvstore.Entry{}, kvstore.ErrAmbiguous
	}
	return e, err
}

func newStore(t *testing.T) *faultyStore {
	server := httptest.NewServer(kv.New())
	t.Cleanup(server.Close)
	return &faultyStore{Store: kvstore.NewClient(server.URL)}
}

func newTable(store kvstore.Store) *ledger.Table[int] {
	return ledger.NewTable[int](ledger.TableOptions{Store: store, Prefix: "t", Shards: 2, WriteInterval: 5 * time.Millisecond})
}

// increment is not idempotent, so that a write repeated after a lost reply shows in
// the value.
func increment(old int, _ bool) (int, bool, error) { return old + 1, true, nil }

func TestUpdateIsWrittenOnceWhenRepliesAreLost(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	table := newTable(store)
	store.loseReplies, store.dropWrites = 2, 1
	for want := 1; want <= 3; want++ {
		got, err := table.Update(context.Background(), "a", increment)
		must.NoError(t, err)
		must.EqOp(t, want, got)
	}
}

func TestUpdatesOfManyHostsMerge(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	var wg sync.WaitGroup
	for range 4 {
		table := newTable(store)
		for i := range 50 {
			wg.Go(func() {
				_, err := table.Update(context.Background(), fmt.Sprint(i%5), increment)
				must.NoError(t, err)
			})
		}
	}
	wg.Wait()
	entries, err := newTable(store).ReadAll(context.Background())
	must.NoError(t, err)
	for i := range 5 {
		must.EqOp(t, 40, entries[fmt.Sprint(i)])
	}
	must.Less(t, 80, store.writes, must.Sprint("200 updates are written in groups"))
}

func TestUpdateReportsAnUnreachableStore(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.dropWrites = 1_000
	_, err := newTable(store).Update(context.Background(), "a", increment)
	must.True(t, errors.Is(err, kvstore.ErrUnavailable))
	_, found, err := newTable(store).Read(context.Background(), "a")
	must.NoError(t, err)
	must.False(t, found)
}
