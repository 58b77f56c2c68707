package kvstore_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

// slowStore is a store whose pages of a list take pageTime each, and which keeps its history
// for a limited time. Each page is followed by a change of a key that was on the first one.
type slowStore struct {
	*keyspace.Store
	history time.Duration
	pages   int
	written []time.Time // of the changes since begin, each one revision
	begin   uint64      // revision before them
	onPage  func(page int)
}

const (
	pageTime   = 400 * time.Millisecond
	changedKey = "p/00000"
)

func (s *slowStore) ListPage(ctx context.Context, prefix, after string) (kvstore.Page, error) {
	time.Sleep(pageTime)
	page, err := s.Store.ListPage(ctx, prefix, after)
	s.pages++
	s.WriteWithoutFaults(kvstore.Txn{Puts: []kvstore.Put{{Key: changedKey, Value: fmt.Append(nil, s.pages)}}})
	s.written = append(s.written, time.Now())
	if s.onPage != nil {
		s.onPage(s.pages)
	}
	return page, err
}

func (s *slowStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Event, uint64, error) {
	if next := int(after - s.begin); next < len(s.written) && time.Since(s.written[next]) > s.history {
		return nil, 0, kvstore.ErrCompacted
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

func newSlowStore(t *testing.T, items int) *slowStore {
	s := &slowStore{Store: keyspace.New(keyspace.Options{}), history: 3 * time.Second}
	var txn kvstore.Txn
	for i := range items {
		txn.Puts = append(txn.Puts, kvstore.Put{Key: fmt.Sprintf("p/%05d", i)})
	}
	s.WriteWithoutFaults(txn)
	_, asOf, err := s.List(t.Context(), "p/")
	must.NoError(t, err)
	s.begin = asOf
	return s
}

// followUntil follows the store until the changed key is seen with the value of the last
// page, and returns how often the whole prefix was reported.
func followUntil(t *testing.T, s *slowStore, items int, limit time.Duration) (resets int) {
	seen := make(map[string]string)
	f := &kvstore.Follower{
		Store: s, Prefix: "p/", Wait: 50 * time.Millisecond,
		Reset: func(all []kvstore.Item) {
			resets++
			clear(seen)
			for _, item := range all {
				seen[item.Key] = string(item.Value)
			}
		},
		Apply: func(events []kvstore.Event) {
			for _, e := range events {
				seen[e.Key] = string(e.Value)
			}
		},
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	f.Run(ctx)
	must.MapLen(t, items, seen)
	must.Eq(t, fmt.Sprint(s.pages), seen[changedKey], must.Sprint("the last change was not seen"))
	return resets
}

// Guards against a list that never ends, as the store has dropped the history since its first page.
func TestFollowerReadsAListThatTakesLongerThanTheStoreKeepsItsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 10_000
		s := newSlowStore(t, items)
		must.Eq(t, 1, followUntil(t, s, items, 20*time.Second))
		must.Eq(t, items/500, s.pages)
	})
}

// Guards against changes that are missed when the store drops its history between two pages.
func TestFollowerReadsAListAnewWhenTheHistorySinceItsFirstPageIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 10_000
		s := newSlowStore(t, items)
		s.onPage = func(page int) {
			if page == 7 {
				s.Compact()
			}
		}
		must.Eq(t, 1, followUntil(t, s, items, 30*time.Second))
		must.Greater(t, items/500, s.pages)
	})
}
