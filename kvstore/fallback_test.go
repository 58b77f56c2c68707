package kvstore_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

// fakePeer carries calls to a store, as a peer does.
type fakePeer struct {
	service kvstore.KeyspaceService
	down    atomic.Bool
	calls   atomic.Int64
}

func (r *fakePeer) Call(_ context.Context, _, _ string, args, reply any) error {
	r.calls.Add(1)
	if r.down.Load() {
		return errors.New("connection reset")
	}
	return r.service.Do(args.(*kvstore.KeyspaceArgs), reply.(*kvstore.KeyspaceReply))
}

// newFallback is one store that a host reaches by itself, with faults, and through a
// peer, without.
func newFallback(fault *atomic.Int64) (*kvstore.Fallback, *fakePeer, *keyspace.Store) {
	var shared *keyspace.Store
	direct := keyspace.New(keyspace.Options{Fault: func(keyspace.Call) keyspace.Outcome { return keyspace.Outcome(fault.Load()) }})
	shared = keyspace.New(keyspace.Options{})
	r := &fakePeer{service: kvstore.KeyspaceService{Store: shared}}
	f := &kvstore.Fallback{Direct: direct, Peers: r, Addresses: func() []string { return []string{"peer"} }, ProbeKey: "probe"}
	return f, r, shared
}

func createKey(key string) kvstore.Txn {
	return kvstore.Txn{If: []kvstore.Condition{{Key: key}}, Puts: []kvstore.Put{{Key: key, Value: []byte("v")}}}
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// A try without an answer may have been done. That a later try certainly was
// not done must not make the whole look like "not done": the caller was told
// that its job was not accepted, and the job ran.
func TestFallbackReportsAmbiguousWhenAnEarlierAttemptMayHaveCommitted(t *testing.T) {
	var fault atomic.Int64
	fault.Store(int64(keyspace.Lost))
	f, r, _ := newFallback(&fault)
	r.down.Store(false)
	r.service.Store = keyspace.New(keyspace.Options{Fault: func(keyspace.Call) keyspace.Outcome { return keyspace.Refused }})
	_, err := f.Commit(shortContext(t), createKey("k"))
	must.ErrorIs(t, err, kvstore.ErrAmbiguous)
	must.False(t, errors.Is(err, kvstore.ErrUnavailable))
}

// A host that the store turns away goes on through a peer, and by itself again
// once the store answers it.
func TestFallbackUsesPeerUntilTheStoreAnswers(t *testing.T) {
	var fault atomic.Int64
	fault.Store(int64(keyspace.Refused))
	f, r, shared := newFallback(&fault)
	_, err := f.Commit(shortContext(t), createKey("k"))
	must.NoError(t, err)
	_, err = shared.Get(shortContext(t), "k")
	must.NoError(t, err)
	_, err = f.Commit(shortContext(t), createKey("k"))
	must.ErrorIs(t, err, kvstore.ErrConflict)
	fault.Store(int64(keyspace.Served))
	for deadline := time.Now().Add(5 * time.Second); ; {
		before := r.calls.Load()
		_, _ = f.Get(shortContext(t), "k") // found or not, by which way is what counts
		if r.calls.Load() == before {
			return
		}
		must.True(t, time.Now().Before(deadline), must.Sprint("still asks the peer"))
		time.Sleep(20 * time.Millisecond)
	}
}

// Without store and peers nothing is done, and the failure says so.
func TestFallbackFailsWhenStoreAndPeersAreDown(t *testing.T) {
	var fault atomic.Int64
	fault.Store(int64(keyspace.Refused))
	f, r, _ := newFallback(&fault)
	r.down.Store(true)
	_, err := f.Get(shortContext(t), "k")
	must.ErrorIs(t, err, kvstore.ErrUnavailable)
	_, err = f.Commit(shortContext(t), createKey("k"))
	must.ErrorIs(t, err, kvstore.ErrAmbiguous) // the peer may have made the call
}

// A follower sees every change once, across a history that is dropped and an
// outage, and tells when it is not current.
func TestFollowerSeesEveryChangeAcrossCompactionAndOutage(t *testing.T) {
	var fault atomic.Int64
	store := keyspace.New(keyspace.Options{Fault: func(c keyspace.Call) keyspace.Outcome {
		if c.Write {
			return keyspace.Served
		}
		return keyspace.Outcome(fault.Load())
	}})
	seen := make(map[string]bool)
	var n, lost, regained atomic.Int64
	record := func(key string) {
		seen[key] = true
		n.Store(int64(len(seen)))
	}
	f := &kvstore.Follower{
		Store: store, Prefix: "p/", Wait: 50 * time.Millisecond,
		Reset: func(items []kvstore.Item) {
			for _, item := range items {
				record(item.Key)
			}
		},
		Apply: func(events []kvstore.Event) {
			for _, e := range events {
				record(e.Key)
			}
		},
		Lost:     func(error) { lost.Add(1) },
		Regained: func() { regained.Add(1) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	commit := func(key string) {
		_, err := store.Commit(ctx, createKey(key))
		must.NoError(t, err)
	}
	await := func(want int64) {
		for deadline := time.Now().Add(5 * time.Second); n.Load() != want; time.Sleep(5 * time.Millisecond) {
			must.True(t, time.Now().Before(deadline), must.Sprintf("%d of %d seen", n.Load(), want))
		}
	}
	commit("p/1")
	await(1)
	commit("p/2")
	commit("other")
	await(2)
	store.Compact()
	commit("p/3")
	await(3)
	fault.Store(int64(keyspace.Refused))
	time.Sleep(150 * time.Millisecond)
	commit("p/4")
	store.Compact()
	fault.Store(int64(keyspace.Served))
	await(4)
	cancel()
	<-ended
	must.Eq(t, 1, lost.Load())
	must.Eq(t, 2, regained.Load())
}

// That the store is back is known at once, although nothing changes: until then
// callers are refused.
func TestFollowerReportsRecoveryWithoutWaitingForAChange(t *testing.T) {
	var fault atomic.Int64
	store := keyspace.New(keyspace.Options{Fault: func(keyspace.Call) keyspace.Outcome { return keyspace.Outcome(fault.Load()) }})
	regained := make(chan struct{}, 4)
	lost := make(chan struct{}, 4)
	f := &kvstore.Follower{
		Store: store, Prefix: "p/", Wait: 5 * time.Second, Pause: func() time.Duration { return 200 * time.Millisecond },
		Reset: func([]kvstore.Item) {}, Apply: func([]kvstore.Event) { fault.Store(int64(keyspace.Refused)) },
		Lost: func(error) { lost <- struct{}{} }, Regained: func() { regained <- struct{}{} },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	<-regained
	store.Write(createKey("p/1")) // ends the watch; the next one fails
	<-lost
	fault.Store(int64(keyspace.Served))
	select {
	case <-regained:
	case <-time.After(2 * time.Second): // well within a watch's wait
		t.Error("the store has been back for two seconds")
	}
	cancel()
	<-ended
}
