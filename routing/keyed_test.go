package routing_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/claims"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/peer"
	"github.com/cyclamentray/cyclamentray/routing"
	"github.com/cyclamentray/cyclamentray/standin/faultproxy"
	"github.com/cyclamentray/cyclamentray/standin/kv"
	"github.com/cyclamentray/cyclamentray/standin/upstream"
)

// keyedEntryHost is an entry host that accepts idempotency keys.
type keyedEntryHost struct {
	*entryHost
	storeProxy *faultproxy.Proxy // between the host and the platform
	peers      *peer.Server
	claims     *claims.Service
	stop       func()
}

// startKeyedEntryHosts starts n entry hosts that share a platform and upstreams.
func startKeyedEntryHosts(t testing.TB, store *kv.Server, n int, commitInterval time.Duration, upstreams ...kvstore.Host) []*keyedEntryHost {
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	listeners := make([]net.Listener, n)
	hosts := upstreams
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		listeners[i] = l
		hosts = append(hosts, kvstore.Host{
			Name: fmt.Sprintf("e%d", i), Kind: kvstore.EntryHost, FailureDomain: "a", PeerAddress: l.Addr().String(),
		})
	}
	var out []*keyedEntryHost
	for i := range n {
		self := hosts[len(upstreams)+i]
		out = append(out, startKeyedEntryHost(t, server.Listener.Addr().String(), listeners[i], self, hosts, commitInterval))
	}
	return out
}

func startKeyedEntryHost(t testing.TB, store string, l net.Listener, self kvstore.Host, hosts []kvstore.Host, commitInterval time.Duration) *keyedEntryHost {
	proxy, err := faultproxy.New(store)
	must.NoError(t, err)
	s := newFakeSource(5*time.Second, hosts...)
	s.view = &membership.View{Self: self, Hosts: hosts}
	pool := peer.NewPool(peer.Options{})
	service := claims.New(claims.Options{
		Store:      kvstore.NewClient("http://" + proxy.Addr()),
		Peers:      pool,
		Membership: s, LeaseTTL: 500 * time.Millisecond, CommitInterval: commitInterval,
	})
	peers := peer.NewServer(peer.Options{})
	must.NoError(t, service.RegisterPeer(peers))
	go func() { _ = peers.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = service.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
	t.Cleanup(func() {
		proxy.Close()
		stop()
		_ = peers.Close()
		_ = pool.Close()
	})
	return &keyedEntryHost{entryHost: startEntryHost(t, s, service), storeProxy: proxy, peers: peers, claims: service, stop: stop}
}

// Each key is sent to all entry hosts at once, twice to each, while an upstream's
// responses are cut, the platform's responses are lost, and an owner of keys is
// isolated. No key may run twice, a key reported as run must have run, and a key
// reported as "not run" in all responses must not have run.
func TestKeyRunsAtMostOnceAcrossEntryHosts(t *testing.T) {
	host, u, cuttingProxy := startProxiedUpstream(t, upstream.Options{Name: "u1", Work: 2 * time.Millisecond})
	other, otherUpstream, _ := startProxiedUpstream(t, upstream.Options{Name: "u2", Work: 2 * time.Millisecond})
	entries := startKeyedEntryHosts(t, kv.New(), 3, 5*time.Millisecond, host, other)
	must.Eq(t, routing.Ran, entries[0].send(t, "POST", "acme", "warm-up").outcome)
	var callers sync.WaitGroup
	var mu sync.Mutex
	ran := make(map[string]bool)
	notRun := make(map[string]bool)
	const keys = 60
	for k := range keys {
		key := fmt.Sprint("key", k)
		switch k {
		case 10: // requests reach the upstream, their responses are cut
			cuttingProxy.SetFault(faultproxy.TargetToClient, faultproxy.Fault{CutAfterBytes: 0})
		case 25: // responses of the platform to host 0 are lost
			cuttingProxy.ClearFaults()
			entries[0].storeProxy.SetFault(faultproxy.TargetToClient, faultproxy.Fault{CutAfterBytes: 0})
			entries[0].storeProxy.CloseOpenConnections()
		case 40: // host 1 is isolated from the platform and from its peers, as if killed
			entries[0].storeProxy.ClearFaults()
			entries[1].storeProxy.RefuseNewConnections(true)
			entries[1].storeProxy.CloseOpenConnections()
			must.NoError(t, entries[1].peers.Close())
		}
		var tries sync.WaitGroup
		outcomes := make([]routing.Outcome, 2*len(entries))
		for i := range outcomes {
			tries.Go(func() { outcomes[i] = entries[i%len(entries)].send(t, "POST", "acme", key).outcome })
		}
		callers.Go(func() {
			tries.Wait()
			mu.Lock()
			defer mu.Unlock()
			notRun[key] = true
			for _, o := range outcomes {
				ran[key] = ran[key] || o == routing.Ran
				notRun[key] = notRun[key] && o == routing.NotRun
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	executions := u.ExecutionsByKey()
	for key, n := range otherUpstream.ExecutionsByKey() {
		executions[key] += n
	}
	must.Greater(t, keys/2, len(ran))
	for k := range keys {
		key := fmt.Sprint("key", k)
		must.LessEq(t, 1, executions[key], must.Sprint(key))
		must.False(t, ran[key] && executions[key] == 0, must.Sprint(key))
		must.False(t, notRun[key] && executions[key] > 0, must.Sprint(key))
	}
}

func TestRepeatedKeyReplaysRecordedResponse(t *testing.T) {
	host, u, _ := startProxiedUpstream(t, upstream.Options{Name: "u1"})
	entries := startKeyedEntryHosts(t, kv.New(), 2, 5*time.Millisecond, host)
	first := entries[0].send(t, "POST", "acme", "k")
	again := entries[1].send(t, "POST", "acme", "k")
	must.Eq(t, first, again)
	must.Eq(t, 1, u.ExecutionsByKey()["k"])
	req, err := http.NewRequest(http.MethodGet, entries[1].url+"/v1/services/loans/outcomes/k", nil)
	must.NoError(t, err)
	req.Header.Set("Organisation", "acme")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, string(routing.Ran), resp.Header.Get(routing.HeaderOutcome))
}
