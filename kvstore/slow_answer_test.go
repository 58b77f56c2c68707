package kvstore_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/progress"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

// slowAnswers is a Keyspace whose answers to reads arrive in pieces, one each interval.
type slowAnswers struct {
	*keyspace.Store
	pieces   int
	interval time.Duration
	silent   atomic.Bool // no piece arrives
	cutOff   atomic.Int64
}

// arrive returns an error if ctx ends before all pieces have arrived.
func (s *slowAnswers) arrive(ctx context.Context) error {
	for range s.pieces {
		if !pause.For(ctx, s.interval) {
			s.cutOff.Add(1)
			return kvstore.ErrUnavailable
		}
		if !s.silent.Load() {
			progress.Mark(ctx)
		}
	}
	return nil
}

func (s *slowAnswers) ListPage(ctx context.Context, prefix, after string) (kvstore.Page, error) {
	if err := s.arrive(ctx); err != nil {
		return kvstore.Page{}, err
	}
	return s.Store.ListPage(ctx, prefix, after)
}

func (s *slowAnswers) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Event, uint64, error) {
	events, asOf, err := s.Store.Watch(ctx, prefix, after, wait)
	if err == nil && len(events) > 0 {
		err = s.arrive(ctx)
	}
	return events, asOf, err
}

// listWithin reports whether a follower's first list of the store is complete within the
// given time.
func listWithin(t *testing.T, limit time.Duration, direct *slowAnswers, p *fakePeer) (listed bool) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	f := &kvstore.Follower{
		Store:  &kvstore.Fallback{Direct: direct, Peers: p, Addresses: func() []string { return []string{"peer"} }, ProbeKey: "probe"},
		Prefix: "p/", Wait: time.Second,
		Reset: func([]kvstore.Item) {
			listed = true
			cancel()
		},
		Apply: func([]kvstore.Event) {},
	}
	f.Run(ctx)
	return listed
}

// Guards against a list that is given up while it arrives, and read through peers whose own
// links that fills too.
func TestAnswerThatArrivesIsNotReadThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &slowAnswers{Store: keyspace.New(keyspace.Options{}), pieces: 10, interval: 500 * time.Millisecond}
		p := &fakePeer{service: kvstore.KeyspaceService{Store: keyspace.New(keyspace.Options{})}}
		listed := listWithin(t, 5100*time.Millisecond, direct, p)
		time.Sleep(time.Second) // a probe of the store ends
		must.True(t, listed)
		must.Eq(t, 0, p.calls.Load())
		must.Eq(t, 0, direct.cutOff.Load())
	})
}

// Guards against a host that waits for a store that has gone silent.
func TestSilentAnswerIsReadThroughAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &slowAnswers{Store: keyspace.New(keyspace.Options{}), pieces: 10, interval: 500 * time.Millisecond}
		direct.silent.Store(true)
		p := &fakePeer{service: kvstore.KeyspaceService{Store: keyspace.New(keyspace.Options{})}}
		listed := listWithin(t, 1100*time.Millisecond, direct, p)
		time.Sleep(time.Second) // a probe of the store ends
		must.True(t, listed)
		must.Positive(t, p.calls.Load())
	})
}

// Guards against a watch that is given up while its answer arrives, as the store answers
// again that was away when it began.
func TestAnswerThatArrivesIsNotGivenUpWhenTheStoreAnswersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var refused atomic.Bool
		store := keyspace.New(keyspace.Options{Fault: func(c keyspace.Call) keyspace.Outcome {
			if refused.Load() && c.Key == "probe" {
				return keyspace.Refused
			}
			return keyspace.Served
		}})
		store.WriteWithoutFaults(createKey("p/1"))
		direct := &slowAnswers{Store: store, pieces: 10, interval: 200 * time.Millisecond}
		p := &fakePeer{}
		p.down.Store(true)
		f := &kvstore.Fallback{Direct: direct, Peers: p, Addresses: func() []string { return []string{"peer"} }, ProbeKey: "probe"}
		refused.Store(true)
		_, err := f.Get(shortContext(t), "probe")
		must.Error(t, err)
		time.AfterFunc(500*time.Millisecond, func() { refused.Store(false) })
		ctx, cancel := progress.WithLimit(t.Context(), 1700*time.Millisecond)
		defer cancel()
		events, _, err := f.Watch(ctx, "p/", 1, time.Second)
		must.NoError(t, err)
		must.Len(t, 1, events)
		must.Eq(t, 0, direct.cutOff.Load())
	})
}

// silentPeers is a Caller whose peers don't answer.
type silentPeers struct{}

func (silentPeers) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	return context.Cause(ctx)
}

// Guards against a read that goes on to the next peer when the store answers this host
// again: on slow links an old configuration stayed for the time that the peers have.
func TestReadIsMadeDirectlyAsSoonAsTheStoreAnswersAgain(t *testing.T) {
	for _, knownDown := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var refused atomic.Bool
			store := keyspace.New(keyspace.Options{Fault: func(keyspace.Call) keyspace.Outcome {
				if refused.Load() {
					return keyspace.Refused
				}
				return keyspace.Served
			}})
			f := &kvstore.Fallback{Direct: store, Peers: silentPeers{}, Addresses: func() []string { return []string{"a", "b", "c"} }, ProbeKey: "probe"}
			refused.Store(true)
			if knownDown {
				ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
				defer cancel()
				_, err := f.ListPage(ctx, "p/", "")
				must.Error(t, err)
			}
			start := time.Now()
			time.AfterFunc(300*time.Millisecond, func() { refused.Store(false) })
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := f.ListPage(ctx, "p/", "")
			took := time.Since(start)
			time.Sleep(time.Second) // a probe of the store ends
			must.NoError(t, err)
			must.LessEq(t, 500*time.Millisecond, took)
		})
	}
}
