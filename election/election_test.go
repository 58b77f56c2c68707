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

// gate stands between one host and the platform.
type gate struct {
	kvstore.Store
	cut    atomic.Bool  // calls fail at once
	frozen sync.RWMutex // held for writing: calls wait, as in a paused process
}

func (g *gate) pass() error {
	g.frozen.RLock()
	defer g.frozen.RUnlock()
	if g.cut.Load() {
		return kvstore.ErrUnavailable
	}
	return nil
}

func (g *gate) Grant(ctx context.Context, d time.Duration) (kvstore.Lease, error) {
	if err := g.pass(); err != nil {
		return kvstore.Lease{}, err
	}
	return g.Store.Grant(ctx, d)
}

func (g *gate) Renew(ctx context.Context, l kvstore.Lease) error {
	err := g.Store.Renew(ctx, l)
	if cut := g.pass(); cut != nil { // the answer is late or lost, the renewal is not
		return cut
	}
	return err
}

func (g *gate) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := g.pass(); err != nil {
		return kvstore.Entry{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g *gate) Revoke(ctx context.Context, l kvstore.Lease) error {
	if err := g.pass(); err != nil {
		return err
	}
	return g.Store.Revoke(ctx, l)
}

type host struct {
	*election.Election
	gate *gate
	stop context.CancelFunc
}

type fleet struct {
	t     *testing.T
	stand *kv.Server
	hosts []*host
}

func newFleet(t *testing.T, size int, ttl time.Duration) *fleet {
	t.Helper()
	f := &fleet{t: t, stand: kv.New()}
	server := httptest.NewServer(f.stand)
	var running sync.WaitGroup
	for i := range size {
		ctx, stop := context.WithCancel(context.Background())
		g := &gate{Store: kvstore.New(kvstore.Options{Base: server.URL, Rate: 1000, Burst: 1000})}
		e := election.New(election.Options{Store: g, Host: string(rune('a' + i)), FailureDomain: "n1", TTL: ttl})
		f.hosts = append(f.hosts, &host{Election: e, gate: g, stop: stop})
		running.Go(func() { must.NoError(t, e.Run(ctx)) })
	}
	t.Cleanup(func() {
		f.stand.SetFaults(kv.Faults{})
		for _, h := range f.hosts {
			h.stop()
		}
		running.Wait()
		server.Close()
	})
	return f
}

// holder returns the one host that holds the term. It fails the test when two
// hold at once.
func (f *fleet) holder() (*host, uint64) {
	var found *host
	var term uint64
	for _, h := range f.hosts {
		t, _, held := h.Term()
		if !held {
			continue
		}
		if found != nil {
			if again, _, still := found.Term(); still && again == term {
				f.t.Fatalf("two hosts hold at once, terms %d and %d", term, t)
			}
		}
		found, term = h, t
	}
	return found, term
}

func (f *fleet) await(holds func(h *host, term uint64) bool) (*host, uint64) {
	f.t.Helper()
	var h *host
	var term uint64
	must.Wait(f.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		h, term = f.holder()
		return holds(h, term)
	}), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
	return h, term
}

func someone(h *host, _ uint64) bool { return h != nil }
func nobody(h *host, _ uint64) bool  { return h == nil }

func TestAnotherHostTakesOver(t *testing.T) {
	cases := map[string]func(f *fleet, h *host){
		"holder cut off": func(f *fleet, h *host) { h.gate.cut.Store(true) },
		"holder cut off, watches silent": func(f *fleet, h *host) {
			f.stand.SetFaults(kv.Faults{SilentWatches: true})
			h.gate.cut.Store(true)
		},
		"holder stops":  func(f *fleet, h *host) { h.stop() },
		"holder paused": func(f *fleet, h *host) { h.gate.frozen.Lock(); f.t.Cleanup(h.gate.frozen.Unlock) },
		"answer of the acquisition is lost": func(f *fleet, h *host) {
			f.stand.SetFaults(kv.Faults{LoseAnswers: 1})
			h.gate.cut.Store(true)
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, ttl)
			first, term := f.await(someone)
			fault(f, first)
			_, next := f.await(func(h *host, _ uint64) bool { return h != nil && h != first })
			must.Greater(t, term, next)
		})
	}
}

func TestPausedHolderDoesNothingUnderItsOldTerm(t *testing.T) {
	f := newFleet(t, 2, ttl)
	first, term := f.await(someone)
	first.gate.frozen.Lock()
	second, _ := f.await(func(h *host, _ uint64) bool { return h != nil && h != first })
	first.gate.frozen.Unlock() // a renewal that the store took long ago is answered now
	for end := time.Now().Add(2 * ttl); time.Now().Before(end); time.Sleep(time.Millisecond) {
		got, _, held := first.Term()
		must.False(t, held && got == term)
		f.holder()
	}
	second.gate.cut.Store(true)
	f.await(func(h *host, next uint64) bool { return h == first && next > term })
}

func TestNobodyIsElectedDuringAnOutage(t *testing.T) {
	f := newFleet(t, 3, ttl)
	_, term := f.await(someone)
	f.stand.SetFaults(kv.Faults{Down: true})
	f.await(nobody)
	for end := time.Now().Add(3 * ttl); time.Now().Before(end); time.Sleep(time.Millisecond) {
		h, _ := f.holder()
		must.Nil(t, h)
	}
	f.stand.SetFaults(kv.Faults{})
	f.await(func(h *host, next uint64) bool { return h != nil && next >= term })
}

func TestResignHandsOverWithoutWaitingForTheLease(t *testing.T) {
	f := newFleet(t, 2, time.Hour) // only a freed lease lets the other in
	first, _ := f.await(someone)
	must.NoError(t, first.Resign(context.Background()))
	_, _, held := first.Term()
	must.False(t, held)
	f.await(func(h *host, _ uint64) bool { return h != nil && h != first })
}

// Random faults, alone and together: never two holders, and terms only grow
// from one holder to the next.
func TestRandomFaultsNeverElectTwo(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		random := rand.New(rand.NewPCG(seed, 0))
		f := newFleet(t, 3, ttl)
		var last uint64
		var lastHolder *host
		for range 12 {
			undo := f.disturb(random)
			for end := time.Now().Add(time.Duration(random.Int64N(int64(2 * ttl)))); time.Now().Before(end); time.Sleep(time.Millisecond) {
				h, term := f.holder()
				if h == nil {
					continue
				}
				must.True(t, term > last || (term == last && h == lastHolder), must.Sprintf("seed %d: term %d after %d", seed, term, last))
				last, lastHolder = term, h
			}
			if random.IntN(2) == 0 {
				undo()
			} else {
				t.Cleanup(undo) // goes on through the next fault
			}
		}
		for _, h := range f.hosts {
			h.stop()
		}
	}
}

func (f *fleet) disturb(random *rand.Rand) (undo func()) {
	h := f.hosts[random.IntN(len(f.hosts))]
	switch random.IntN(5) {
	case 0:
		h.gate.cut.Store(true)
		return func() { h.gate.cut.Store(false) }
	case 1:
		if h.gate.frozen.TryLock() {
			return sync.OnceFunc(h.gate.frozen.Unlock)
		}
		return func() {}
	case 2:
		f.stand.SetFaults(kv.Faults{Down: true})
	case 3:
		f.stand.SetFaults(kv.Faults{LoseAnswers: 2, SilentWatches: true})
	case 4:
		f.stand.SetFaults(kv.Faults{Delay: ttl / 3})
	}
	return func() { f.stand.SetFaults(kv.Faults{}) }
}
