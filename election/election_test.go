package election_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cyclamentray/cyclamentray/election"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/kv"
)

const ttl = 400 * time.Millisecond

// faultyStore is one host's connection to the store, with injected faults. They do not
// affect Acquire and Watch.
type faultyStore struct {
	kvstore.Store
	unreachable atomic.Bool  // calls fail without delay
	paused      sync.RWMutex // locked for writing: calls block, as in a paused process
}

func (s *faultyStore) checkFaults() error {
	s.paused.RLock()
	defer s.paused.RUnlock()
	if s.unreachable.Load() {
		return kvstore.ErrUnavailable
	}
	return nil
}

func (s *faultyStore) Grant(ctx context.Context, d time.Duration) (kvstore.Lease, error) {
	if err := s.checkFaults(); err != nil {
		return kvstore.Lease{}, err
	}
	return s.Store.Grant(ctx, d)
}

func (s *faultyStore) Renew(ctx context.Context, l kvstore.Lease) error {
	err := s.Store.Renew(ctx, l)
	if fault := s.checkFaults(); fault != nil { // the reply is late or lost, but the store has renewed the lease
		return fault
	}
	return err
}

func (s *faultyStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := s.checkFaults(); err != nil {
		return kvstore.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) Revoke(ctx context.Context, l kvstore.Lease) error {
	if err := s.checkFaults(); err != nil {
		return err
	}
	return s.Store.Revoke(ctx, l)
}

// host is a candidate of the election with its own connection to the store.
type host struct {
	*election.Election
	store *faultyStore
	stop  context.CancelFunc
}

type testCluster struct {
	t        *testing.T
	kvServer *kv.Server
	hosts    []*host
}

func newTestCluster(t *testing.T, size int, ttl time.Duration) *testCluster {
	t.Helper()
	c := &testCluster{t: t, kvServer: kv.New()}
	server := httptest.NewServer(c.kvServer)
	var running sync.WaitGroup
	for i := range size {
		ctx, stop := context.WithCancel(context.Background())
		store := &faultyStore{Store: kvstore.New(kvstore.Options{Base: server.URL, Rate: 1000, Burst: 1000})}
		e := election.New(election.Options{Store: store, Host: string(rune('a' + i)), FailureDomain: "n1", TTL: ttl})
		c.hosts = append(c.hosts, &host{Election: e, store: store, stop: stop})
		running.Go(func() { must.NoError(t, e.Run(ctx)) })
	}
	t.Cleanup(func() {
		c.kvServer.SetFaults(kv.Faults{})
		for _, h := range c.hosts {
			h.stop()
		}
		running.Wait()
		server.Close()
	})
	return c
}

// holder returns the host that holds a term, or nil. It fails the test when two
// hosts hold one at the same time.
func (c *testCluster) holder() (*host, uint64) {
	var found *host
	var term uint64
	for _, h := range c.hosts {
		t, _, held := h.Term()
		if !held {
			continue
		}
		if found != nil {
			// found may have lost its term since it was asked.
			if foundTerm, _, stillHeld := found.Term(); stillHeld && foundTerm == term {
				c.t.Fatalf("two hosts hold a term at once: terms %d and %d", term, t)
			}
		}
		found, term = h, t
	}
	return found, term
}

func (c *testCluster) awaitHolder(holds func(h *host, term uint64) bool) (*host, uint64) {
	c.t.Helper()
	var h *host
	var term uint64
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		h, term = c.holder()
		return holds(h, term)
	}), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
	return h, term
}

func anyHolder(h *host, _ uint64) bool { return h != nil }
func noHolder(h *host, _ uint64) bool  { return h == nil }

func TestAnotherHostTakesOverAfterAFault(t *testing.T) {
	cases := map[string]func(c *testCluster, h *host){
		"holder cannot reach the store": func(c *testCluster, h *host) { h.store.unreachable.Store(true) },
		"holder cannot reach the store, watches deliver nothing": func(c *testCluster, h *host) {
			c.kvServer.SetFaults(kv.Faults{SilentWatches: true})
			h.store.unreachable.Store(true)
		},
		"holder stops":  func(c *testCluster, h *host) { h.stop() },
		"holder paused": func(c *testCluster, h *host) { h.store.paused.Lock(); c.t.Cleanup(h.store.paused.Unlock) },
		"reply to the acquisition is lost": func(c *testCluster, h *host) {
			c.kvServer.SetFaults(kv.Faults{LoseAnswers: 1})
			h.store.unreachable.Store(true)
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 3, ttl)
			first, term := c.awaitHolder(anyHolder)
			fault(c, first)
			_, next := c.awaitHolder(func(h *host, _ uint64) bool { return h != nil && h != first })
			must.Greater(t, term, next)
		})
	}
}

func TestPausedHolderDoesNotRegainItsOldTerm(t *testing.T) {
	c := newTestCluster(t, 2, ttl)
	first, term := c.awaitHolder(anyHolder)
	first.store.paused.Lock()
	second, _ := c.awaitHolder(func(h *host, _ uint64) bool { return h != nil && h != first })
	first.store.paused.Unlock() // the reply to an old renewal arrives only now
	for end := time.Now().Add(2 * ttl); time.Now().Before(end); time.Sleep(time.Millisecond) {
		got, _, held := first.Term()
		must.False(t, held && got == term)
		c.holder()
	}
	second.store.unreachable.Store(true)
	c.awaitHolder(func(h *host, next uint64) bool { return h == first && next > term })
}

func TestNoHostIsElectedDuringAPlatformOutage(t *testing.T) {
	c := newTestCluster(t, 3, ttl)
	_, term := c.awaitHolder(anyHolder)
	c.kvServer.SetFaults(kv.Faults{Down: true})
	c.awaitHolder(noHolder)
	for end := time.Now().Add(3 * ttl); time.Now().Before(end); time.Sleep(time.Millisecond) {
		h, _ := c.holder()
		must.Nil(t, h)
	}
	c.kvServer.SetFaults(kv.Faults{})
	c.awaitHolder(func(h *host, next uint64) bool { return h != nil && next >= term })
}

func TestResignHandsOverBeforeTheLeaseExpires(t *testing.T) {
	c := newTestCluster(t, 2, time.Hour) // the other host can take over only if the lease is revoked
	first, _ := c.awaitHolder(anyHolder)
	must.NoError(t, first.Resign(context.Background()))
	_, _, held := first.Term()
	must.False(t, held)
	c.awaitHolder(func(h *host, _ uint64) bool { return h != nil && h != first })
}

// Guards against two hosts holding a term at once, and against terms that do not
// grow from one holder to the next, under random faults that may overlap.
func TestRandomFaultsNeverElectTwoHolders(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		random := rand.New(rand.NewPCG(seed, 0))
		c := newTestCluster(t, 3, ttl)
		var last uint64
		var lastHolder *host
		for range 12 {
			undo := c.injectFault(random)
			for end := time.Now().Add(time.Duration(random.Int64N(int64(2 * ttl)))); time.Now().Before(end); time.Sleep(time.Millisecond) {
				h, term := c.holder()
				if h == nil {
					continue
				}
				must.True(t, term > last || (term == last && h == lastHolder), must.Sprintf("seed %d: term %d after %d", seed, term, last))
				last, lastHolder = term, h
			}
			if random.IntN(2) == 0 {
				undo()
			} else {
				t.Cleanup(undo) // the fault lasts through the next ones
			}
		}
		for _, h := range c.hosts {
			h.stop()
		}
	}
}

func (c *testCluster) injectFault(random *rand.Rand) (undo func()) {
	h := c.hosts[random.IntN(len(c.hosts))]
	switch random.IntN(5) {
	case 0:
		h.store.unreachable.Store(true)
		return func() { h.store.unreachable.Store(false) }
	case 1:
		if h.store.paused.TryLock() {
			return sync.OnceFunc(h.store.paused.Unlock)
		}
		return func() {}
	case 2:
		c.kvServer.SetFaults(kv.Faults{Down: true})
	case 3:
		c.kvServer.SetFaults(kv.Faults{LoseAnswers: 2, SilentWatches: true})
	case 4:
		c.kvServer.SetFaults(kv.Faults{Delay: ttl / 3})
	}
	return func() { c.kvServer.SetFaults(kv.Faults{}) }
}
