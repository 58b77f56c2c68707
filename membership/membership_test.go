package membership_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/goleak"

	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/peer"
)

// lister is a host list that can be made unavailable.
type lister struct {
	down  atomic.Bool
	hosts atomic.Pointer[[]kvstore.Host]
}

func (l *lister) Hosts(context.Context) ([]kvstore.Host, error) {
	if l.down.Load() {
		return nil, kvstore.ErrUnavailable
	}
	return *l.hosts.Load(), nil
}

// testHost is a running Membership with its peer server.
type testHost struct {
	*membership.Membership
	self   kvstore.Host
	server *peer.Server
	stop   func()
}

func startTestHost(t *testing.T, name string, l *lister, seeds ...string) *testHost {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	h := &testHost{server: peer.NewServer(peer.Options{})}
	h.self = kvstore.Host{Name: name, Kind: kvstore.EntryHost, FailureDomain: "n1", PeerAddress: listener.Addr().String()}
	pool := peer.NewPool(peer.Options{})
	h.Membership = membership.New(membership.Options{Self: h.self, Incarnation: name, Lister: l, Peers: pool, Seeds: seeds})
	must.NoError(t, h.RegisterPeer(h.server))
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { must.NoError(t, h.server.Serve(listener)) })
	running.Go(func() { must.NoError(t, h.Run(ctx)) })
	h.stop = sync.OnceFunc(func() {
		stop()
		_ = pool.Close()
		_ = h.server.Close()
		running.Wait()
	})
	return h
}

// peers returns, by name, whether each peer in view is leaving.
func (h *testHost) peers() map[string]bool {
	out := map[string]bool{}
	for _, p := range h.View().Peers() {
		out[p.Name] = p.Leaving
	}
	return out
}

func TestHostBootedDuringAPlatformOutageExchangesMembershipWithPeers(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := &lister{}
	l.hosts.Store(&[]kvstore.Host{})
	a := startTestHost(t, "a", l)
	defer a.stop()
	l.hosts.Store(&[]kvstore.Host{a.self, {Name: "w1", Kind: kvstore.Worker, FailureDomain: "n1"}})
	b := startTestHost(t, "b", l, a.self.PeerAddress)
	defer b.stop()
	eventually(t, func() bool { return len(a.View().Hosts) == 3 }) // b is in the view although the list lacks it
	l.down.Store(true)
	c := startTestHost(t, "c", l, a.self.PeerAddress)
	defer c.stop()

	eventually(t, func() bool { return len(c.peers()) == 2 && len(a.peers()) == 2 && len(b.peers()) == 2 })
	must.Len(t, 1, c.View().Workers("n1"))
	b.AnnounceDrain()
	eventually(t, func() bool { return a.peers()["b"] && c.peers()["b"] })
	b.stop()
	eventually(t, func() bool { return a.View().Silent["b"] && c.View().Silent["b"] })
	must.Eq(t, []string{a.self.PeerAddress}, c.PlatformProxies())
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(30*time.Second), wait.Gap(20*time.Millisecond)))
}
