package kvstore_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

// fakePeer makes calls to a store on behalf of the caller, as a peer does. While
// down is set, it gives no answer.
type fakePeer struct {
	service kvstore.KeyspaceService
	down    atomic.Bool
	calls   atomic.Int64
}

func (p *fakePeer) Call(_ context.Context, _, _ string, args, reply any) error {
	p.calls.Add(1)
	if p.down.Load() {
		return errors.New("connection reset")
	}
	return p.service.Do(args.(*kvstore.KeyspaceArgs), reply.(*kvstore.KeyspaceReply))
}

// newFallback returns a Fallback over two stores: one that the host calls directly,
// with the faults that fault selects, and one behind a peer, without faults.
func newFallback(fault *atomic.Int64) (*kvstore.Fallback, *fakePeer, *keyspace.Store) {
	var peerStore *keyspace.Store
	direct := keyspace.New(keyspace.Options{Fault: func(keyspace.Call) keyspace.Outcome { return keyspace.Outcome(fault.Load()) }})
	peerStore = keyspace.New(keyspace.Options{})
	p := &fakePeer{service: kvstore.KeyspaceService{Store: peerStore}}
	f := &kvstore.Fallback{Direct: direct, Peers: p, Addresses: func() []string { return []string{"peer"} }, ProbeKey: "probe"}
	return f, p, peerStore
}

func createKey(key string) kvstore.Txn {
	return kvstore.Txn{If: []kvstore.Condition{{Key: key}}, Puts: []kvstore.Put{{Key: key, Value: []byte("v")}}}
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a commit reported as not done that was in fact done. The first
// attempt may have committed although its answer was lost; the second is refused.
// With the error of the second alone, a caller was told that its job was not
// accepted, and the job ran.
func TestFallbackReportsAmbiguousWhenAnEarlierAttemptMayHaveCommitted(t *testing.T) {
	var fault atomic.Int64
	fault.Store(int64(keyspace.AnswerLost))
	f, p, _ := newFallback(&fault)
	p.down.Store(false)
	p.service.Store = keyspace.New(keyspace.Options{Fault: func(keyspace.Call) keyspace.Outcome { return keyspace.Refused }})
	_, err := f.Commit(shortContext(t), createKey("k"))
	must.ErrorIs(t, err, kvstore.ErrAmbiguous)
	must.False(t, errors.Is(err, kvstore.ErrUnavailable))
}

// A host that the store refuses calls it through a peer, and directly again once
// the store answers.
func TestFallbackUsesPeerUntilTheStoreAnswers(t *testing.T) {
	var fault atomic.Int64
	fault.Store(int64(keyspace.Refused))
	f, p, peerStore := newFallback(&fault)
	_, err := f.Commit(shortContext(t), createKey("k"))
	must.NoError(t, err)
	_, err = peerStore.Get(shortContext(t), "k")
	must.NoError(t, err)
	_, err = f.Commit(shortContext(t), createKey("k"))
	must.ErrorIs(t, err, kvstore.ErrConflict)
	fault.Store(int64(keyspace.Served))
	for deadline := time.Now().Add(5 * time.Second); ; {
		before := p.calls.Load()
		_, _ = f.Get(shortContext(t), "k") // only the path of the call matters, not its result
		if p.calls.Load() == before {
			return
		}
		must.True(t, time.Now().Before(deadline), must.Sprint("calls still go through the peer"))
		time.Sleep(20 * time.Millisecond)
	}
}

// With store and peer down, a read fails as unavailable, and a commit as ambiguous.
func TestFallbackFailsWhenStoreAndPeersAreDown(t *testing.T) {
	var fault atomic.Int64
	fault.Store(int64(keyspace.Refused))
	f, p, _ := newFallback(&fault)
	p.down.Store(true)
	_, err := f.Get(shortContext(t), "k")
	must.ErrorIs(t, err, kvstore.ErrUnavailable)
	_, err = f.Commit(shortContext(t), createKey("k"))
	must.ErrorIs(t, err, kvstore.ErrAmbiguous) // the peer may have made the call before its connection was reset
}

// A follower sees every change although the store compacts its history and refuses
// reads for a while, and reports when its copy is not current.
func TestFollowerSeesEveryChangeAcrossCompactionAndOutage(t *testing.T) {
	var fault atomic.Int64
	store := keyspace.New(keyspace.Options{Fault: func(c keyspace.Call) keyspace.Outcome {
		if c.Write {
			return keyspace.Served
		}
		return keyspace.Outcome(fault.Load())
	}})
	seen := make(map[string]bool)
	var seenCount, lost, regained atomic.Int64
	record := func(key string) {
		seen[key] = true
		seenCount.Store(int64(len(seen)))
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
		for deadline := time.Now().Add(5 * time.Second); seenCount.Load() != want; time.Sleep(5 * time.Millisecond) {
			must.True(t, time.Now().Before(deadline), must.Sprintf("%d of %d seen", seenCount.Load(), want))
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
	for deadline := time.Now().Add(5 * time.Second); lost.Load() == 0; time.Sleep(5 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprint("the outage was not noticed"))
	}
	commit("p/4")
	store.Compact()
	fault.Store(int64(keyspace.Served))
	await(4)
	cancel()
	<-ended
	must.Eq(t, 1, lost.Load())
	must.Eq(t, 2, regained.Load())
}

// The follower must report the store's recovery at once, even if no key changes,
// because callers are refused until it does.
func TestFollowerReportsRecoveryWithoutWaitingForAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		store.WriteWithoutFaults(createKey("p/1")) // ends the watch; the next one fails
		<-lost
		fault.Store(int64(keyspace.Served))
		select {
		case <-regained:
		case <-time.After(2 * time.Second): // well within a watch's wait
			t.Error("recovery not reported within 2 s")
		}
		cancel()
		<-ended
	})
}

// The store returns after an outage of 3 s. A follower of a small deployment reads
// it again within a few answers, as callers are refused until then; the retries of
// a large one stay below the store's rate.
func TestFollowerReadsSoonAfterALongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fault atomic.Int64
		store := keyspace.New(keyspace.Options{Fault: func(keyspace.Call) keyspace.Outcome { return keyspace.Outcome(fault.Load()) }})
		regained := make(chan time.Time, 4)
		f := &kvstore.Follower{
			Store: store, Prefix: "p/", Wait: 50 * time.Millisecond,
			MaxRetryWait: func() time.Duration { return kvstore.RetryInterval(6) },
			Reset:        func([]kvstore.Item) {}, Apply: func([]kvstore.Event) {},
			Regained: func() { regained <- time.Now() },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		<-regained
		fault.Store(int64(keyspace.Refused))
		time.Sleep(3050 * time.Millisecond)
		fault.Store(int64(keyspace.Served))
		back := time.Now()
		must.LessEq(t, 100*time.Millisecond, (<-regained).Sub(back))
		cancel()
		synctest.Wait()
	})
	must.GreaterEq(t, 100*time.Millisecond, kvstore.RetryInterval(43))
}
