package config_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/kv"
)

func TestEditReachesEveryHostThroughRelays(t *testing.T) {
	f := newFleet(t, 4, 3)
	f.start()
	ctx := context.Background()
	revision, err := f.editor(0).Apply(ctx, []config.Document{failureDomain("n1"), organisation("o")}, 0)
	must.NoError(t, err)
	f.awaitRevision(revision)
	f.await(func() bool { // until every host is up to date through its relay
		for _, m := range f.members {
			if m.Age() > 2*time.Second {
				return false
			}
		}
		return true
	})
	before := f.store.Calls()["get"]
	for range 4 {
		revision, err = f.editor(5).SetFailureDomain(ctx, "n1", revision%2 == 1)
		must.NoError(t, err)
		took := f.awaitRevision(revision)
		t.Logf("in force on 12 hosts after %v", took)
		time.Sleep(500 * time.Millisecond)
	}
	t.Logf("%d reads in about 2 s and 4 edits", f.store.Calls()["get"]-before)
}

func TestRevisionNeverReverts(t *testing.T) {
	cases := map[string]kv.Faults{
		"store returns stale reads": {StaleReads: true},
		"store is down":             {Down: true},
		"store is down and slow":    {Down: true, Delay: 300 * time.Millisecond},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 2)
			f.start()
			ctx := context.Background()
			_, err := f.editor(0).Apply(ctx, []config.Document{failureDomain("n1")}, 0)
			must.NoError(t, err)
			f.awaitRevision(1)
			f.store.CopyForStaleReads()
			revision, err := f.editor(0).SetFailureDomain(ctx, "n1", true)
			must.NoError(t, err)
			f.awaitRevision(revision)
			f.store.SetFaults(fault)
			_, confirmed := f.members[0].Current()
			booted := f.restart(2)                                        // first of its failure domain, so it has no relay
			f.await(func() bool { return booted.revision() == revision }) // from its peers
			for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				for _, m := range f.members {
					must.Eq(t, revision, m.revision())
				}
			}
			_, later := f.members[0].Current()
			must.Less(t, time.Second, later.Sub(confirmed)) // failed and stale reads confirm nothing
		})
	}
}

func TestSchedulerStaysFreshWhenPlatformIsSlow(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.schedulers = true
	f.store.SetFaults(kv.Faults{Delay: 1300 * time.Millisecond})
	f.start()
	f.await(func() bool { return f.members[0].Age() < time.Minute })
	fresh := 0
	const samples = 100
	for range samples {
		time.Sleep(20 * time.Millisecond)
		if f.members[0].Age() < 2*time.Second {
			fresh++
		}
	}
	must.Greater(t, samples*9/10, fresh)
}

func TestHostReadsPlatformWhenRelayFails(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.members[1].start() // members[0] is the relay; it answers polls but never reads the platform
	f.members[2].start()
	revision, err := f.editor(1).Apply(context.Background(), []config.Document{failureDomain("n1")}, 0)
	must.NoError(t, err)
	f.await(func() bool { return f.members[2].revision() == revision })
	must.NoError(t, f.members[0].server.Close()) // now the relay does not answer either
	revision, err = f.editor(1).SetFailureDomain(context.Background(), "n1", true)
	must.NoError(t, err)
	f.await(func() bool { return f.members[2].revision() == revision && f.members[2].Age() < 2*time.Second })
}

// lossyStore serves as many reads of content as remaining says, and answers later
// ones with ErrNotFound.
type lossyStore struct {
	kvstore.Store
	remaining      atomic.Int32
	readsAfterHead int32         // if not 0, what remaining is set to at each read of the head
	refusalDelay   time.Duration // before ErrNotFound
}

func (s *lossyStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if key != "cyclamentray/config/manifest" {
		if s.remaining.Add(-1) < 0 {
			time.Sleep(s.refusalDelay)
			return kvstore.Entry{}, kvstore.ErrNotFound
		}
	} else if s.readsAfterHead != 0 {
		s.remaining.Store(s.readsAfterHead)
	}
	return s.Store.Get(ctx, key)
}

// A document that cannot be read must fail the whole revision. Otherwise a service
// whose document is missing would be taken for retired.
func TestMissingContentFailsTheWholeRevision(t *testing.T) {
	ctx := context.Background()
	_, store := newStore(t)
	e := config.NewEditor(config.EditorOptions{Store: store})
	_, err := e.Apply(ctx, []config.Document{organisation("o"), serviceDoc("s", "o"), serviceDoc("u", "o")}, 0)
	must.NoError(t, err)
	for readable := range 4 { // a complete read takes 4: the manifest and three documents
		runCtx, stop := context.WithCancel(ctx)
		lossy := &lossyStore{Store: store}
		lossy.remaining.Store(int32(readable))
		d := config.NewDistributor(config.Options{Store: lossy})
		done := make(chan struct{})
		go func() { defer close(done); _ = d.Run(runCtx) }()
		for lossy.remaining.Load() >= 0 {
			time.Sleep(time.Millisecond) // until a read has failed
		}
		time.Sleep(100 * time.Millisecond)
		stop()
		<-done
		snap, confirmed := d.Current()
		must.Eq(t, 0, snap.Revision)
		must.True(t, confirmed.IsZero())
	}
}

// Guards against a host that keeps an old revision: the documents of a large one are read
// anew each time that one of them can't be read, and are never all there.
func TestLoadGoesOnWithTheDocumentsThatWereRead(t *testing.T) {
	ctx := context.Background()
	_, store := newStore(t)
	e := config.NewEditor(config.EditorOptions{Store: store})
	revision, err := e.Apply(ctx, []config.Document{organisation("o"), serviceDoc("s", "o"), serviceDoc("u", "o")}, 0)
	must.NoError(t, err)
	const readsEachTry = 2 // of the manifest and one document
	lossy := &lossyStore{Store: store, readsAfterHead: readsEachTry, refusalDelay: 100 * time.Millisecond}
	d := config.NewDistributor(config.Options{Store: lossy})
	runCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); _ = d.Run(runCtx) }()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if snap, _ := d.Current(); snap.Revision == revision {
			break
		}
	}
	stop()
	<-done
	snap, _ := d.Current()
	must.Eq(t, revision, snap.Revision)
}
