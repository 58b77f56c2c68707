package claims_test

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/claims"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/peer"
	"github.com/cyclamentray/cyclamentray/standin/faultproxy"
	"github.com/cyclamentray/cyclamentray/standin/kv"
)

const (
	testTimeout = 20 * time.Second
	leaseTTL    = 200 * time.Millisecond
)

type staticView struct{ view *membership.View }

func (s staticView) View() *membership.View { return s.view }

// host is the claims service of one entry host, which reaches the store through
// a fault-injecting proxy of its own.
type host struct {
	service *claims.Service
	proxy   *faultproxy.Proxy
	stop    func() // ends Run, which hands the shards over
}

type cluster struct {
	store *kv.Server
	hosts []*host
}

func startCluster(t *testing.T, n int, change ...func(*claims.Options)) *cluster {
	store := kv.New()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	c := &cluster{store: store}
	listeners := make([]net.Listener, n)
	var members []kvstore.Host
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		listeners[i] = l
		members = append(members, kvstore.Host{Name: fmt.Sprintf("e%d", i), Kind: kvstore.EntryHost, PeerAddress: l.Addr().String()})
	}
	for i := range n {
		c.hosts = append(c.hosts, startHost(t, server.Listener.Addr().String(), listeners[i], members, i, change))
	}
	return c
}

// startHost starts the claims service of members[i].
func startHost(t *testing.T, store string, l net.Listener, members []kvstore.Host, i int, change []func(*claims.Options)) *host {
	proxy, err := faultproxy.New(store)
	must.NoError(t, err)
	pool := peer.NewPool(peer.Options{Timeout: 500 * time.Millisecond})
	o := claims.Options{
		Store:          kvstore.NewClient("http://" + proxy.Addr()),
		Peers:          pool,
		Membership:     staticView{&membership.View{Self: members[i], Hosts: members}},
		CommitInterval: 5 * time.Millisecond,
		LeaseTTL:       leaseTTL,
		Segments:       8,
	}
	for _, f := range change {
		f(&o)
	}
	service := claims.New(o)
	server := peer.NewServer(peer.Options{})
	must.NoError(t, service.RegisterPeer(server))
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = service.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		wg.Wait()
		_ = server.Close()
	})
	t.Cleanup(func() {
		proxy.Close()
		stop()
		_ = pool.Close()
	})
	return &host{service: service, proxy: proxy, stop: stop}
}

func request(key, attempt string) claims.Request {
	return claims.Request{
		Key:     claims.Key{Organisation: "acme", Service: "loans", Key: key},
		Attempt: attempt,
		Until:   time.Now().Add(time.Minute),
	}
}

// claim makes one claim of a key at a host.
func (h *host) claim(key, attempt string, timeout time.Duration) (claims.Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply, err := h.service.Claim(ctx, request(key, attempt))
	return reply.Verdict, err
}

// mustClaim retries a claim until the host returns a verdict.
func (h *host) mustClaim(t *testing.T, key, attempt string) claims.Verdict {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if verdict, err := h.claim(key, attempt, time.Second); err == nil {
			return verdict
		}
	}
	t.Fatalf("key %s was never answered", key)
	return claims.Absent
}

// mustGrant retries a claim until it is granted: the key may still be held by an
// abandoned attempt whose release is not complete.
func (h *host) mustGrant(t *testing.T, key, attempt string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if h.mustClaim(t, key, attempt) == claims.Granted {
			return
		}
	}
	t.Fatalf("key %s was never granted", key)
}

// Guards against two grants of one key across changes of owner. All hosts claim
// the same keys repeatedly, while one host after the other is cut off from the
// store, gets no more replies on open connections, loses replies to writes that
// took effect, or has its writes delayed beyond the lease, so that other hosts
// take its shards over.
func TestKeyIsGrantedOnceUnderFaults(t *testing.T) {
	const (
		faultKinds     = 4
		newKeyInterval = 10 * time.Millisecond // interval between new keys
		recentKeys     = 200                   // number of newest keys that are claimed
		minGrantedKeys = 50
	)
	c := startCluster(t, 3, func(o *claims.Options) {
		o.Segments, o.EventsPerSegment = 512, 8 // small segments, so that the log advances to the next one often
	})
	c.hosts[0].mustGrant(t, "first", "a")
	began := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	var claimers sync.WaitGroup
	var mu sync.Mutex
	grants := make(map[string]int)
	for i, h := range c.hosts {
		rng := rand.New(rand.NewSource(int64(i)))
		claimers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				newest := int(time.Since(began) / newKeyInterval)
				key := fmt.Sprint("key", max(0, newest-rng.Intn(recentKeys)))
				verdict, err := h.claim(key, fmt.Sprintf("%d-%d", i, n), time.Second)
				if err == nil && verdict == claims.Granted {
					mu.Lock()
					grants[key]++
					mu.Unlock()
				}
			}
		})
	}
	enoughGranted := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(grants) > minGrantedKeys
	}
	for n := 0; n < faultKinds || !enoughGranted() && time.Since(began) < testTimeout; n++ {
		for _, h := range c.hosts {
			injectFault(h.proxy, n)
			time.Sleep(2 * leaseTTL)
			h.proxy.ClearFaults()
		}
	}
	cancel()
	claimers.Wait()
	must.Greater(t, minGrantedKeys, len(grants))
	for key, n := range grants {
		must.Eq(t, 1, n, must.Sprint(key))
	}
	must.NotEq(t, claims.Granted, c.hosts[1].mustClaim(t, "first", "b"))
	c.hosts[2].mustGrant(t, "last", "a")
}

// injectFault injects the nth kind of fault between a host and the store.
func injectFault(p *faultproxy.Proxy, n int) {
	switch n % 4 {
	case 0: // replies lost after the call took effect
		p.SetFault(faultproxy.TargetToClient, faultproxy.Fault{CutAfterBytes: 0})
		p.CloseOpenConnections()
	case 1: // open connections stop delivering replies
		p.FreezeOpenConnections(faultproxy.TargetToClient)
	case 2: // writes arrive after the lease has lapsed
		p.SetFault(faultproxy.ClientToTarget, faultproxy.Fault{CutAfterBytes: faultproxy.NoCut, Delay: 2 * leaseTTL})
	case 3: // connections refused
		p.RefuseNewConnections(true)
		p.CloseOpenConnections()
	}
}

// Without the platform, claims of unbound keys must fail before the caller's
// timeout, and a refused key must be claimable once the platform is back.
func TestUnboundKeysAreRefusedWithoutThePlatform(t *testing.T) {
	h := startCluster(t, 1).hosts[0]
	h.mustGrant(t, "x", "a")
	h.proxy.SetFault(faultproxy.ClientToTarget, faultproxy.Fault{CutAfterBytes: faultproxy.NoCut, Blackhole: true})
	started := time.Now()
	verdict, err := h.claim("during", "a", 100*time.Millisecond)
	must.Error(t, err)
	must.Eq(t, claims.Absent, verdict)
	for err = nil; err == nil; time.Sleep(time.Millisecond) { // until the failure of the first claim's write is recorded
		verdict, err = h.claim("during", "b", testTimeout)
		must.NotEq(t, claims.Granted, verdict)
		must.Less(t, testTimeout/2, time.Since(started))
	}
	must.ErrorIs(t, err, claims.ErrUnavailable)
	_, err = h.claim("during2", "a", testTimeout)
	must.ErrorIs(t, err, claims.ErrUnavailable)
	must.Less(t, testTimeout/2, time.Since(started))
	h.proxy.ClearFaults()
	h.proxy.CloseOpenConnections()
	must.Eq(t, claims.Running, h.mustClaim(t, "x", "b"))
	h.mustGrant(t, "during2", "b")
	must.Eq(t, claims.Running, h.mustClaim(t, "during2", "c"))
}

func TestClaimsSurviveAChangeOfOwner(t *testing.T) {
	c := startCluster(t, 3)
	ctx := t.Context()
	for i := range 20 {
		c.hosts[i%3].mustGrant(t, fmt.Sprint("k", i), "a")
	}
	done := claims.Completion{Key: request("k0", "a").Key, Attempt: "a", Answer: claims.Answer{Status: 201}}
	must.NoError(t, c.hosts[0].service.Complete(ctx, done))
	notRun := claims.Completion{Key: request("k1", "a").Key, Attempt: "a", NotRun: true}
	must.NoError(t, c.hosts[0].service.Complete(ctx, notRun))
	c.hosts[0].stop()
	c.hosts[1].stop()
	last := c.hosts[2]
	must.Eq(t, claims.Done, last.mustClaim(t, "k0", "b"))
	must.Eq(t, claims.Granted, last.mustClaim(t, "k1", "b"))
	for i := 2; i < 20; i++ {
		must.Eq(t, claims.Running, last.mustClaim(t, fmt.Sprint("k", i), "b"))
	}
}

// A ring of 4 segments of 2 claims takes 8 keys within their retention. After
// that, new keys must be refused, also by the next owner, and the records of the
// 8 keys must be kept.
func TestFullLogRefusesNewKeys(t *testing.T) {
	const capacity = 8           // keys
	var clockOffset atomic.Int64 // added to the clock
	c := startCluster(t, 2, func(o *claims.Options) {
		o.Shards, o.Segments, o.EventsPerSegment = 1, 4, 2
		o.Now = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	})
	for i := range capacity {
		c.hosts[i%2].mustGrant(t, fmt.Sprint("k", i), "a")
	}
	for i, h := range c.hosts {
		_, err := h.claim("more", "a", testTimeout)
		must.Eq(t, apierr.Overloaded, apierr.KindOf(err))
		for k := range capacity {
			must.Eq(t, claims.Running, h.mustClaim(t, fmt.Sprint("k", k), "b"))
		}
		if i == 0 {
			h.stop()
		}
	}
	clockOffset.Store(int64(2 * claims.DefaultRetention))
	c.hosts[1].mustGrant(t, "more", "b")
}

// Claims of a key bound to an entry host need no platform. The verdict on a key of
// an earlier incarnation is Unknown.
func TestBoundKeysWorkWithoutThePlatform(t *testing.T) {
	c := startCluster(t, 2)
	for _, h := range c.hosts {
		h.proxy.RefuseNewConnections(true)
		h.proxy.CloseOpenConnections()
	}
	key := c.hosts[0].service.Incarnation() + "~booking-1"
	must.Eq(t, claims.Granted, c.hosts[1].mustClaim(t, key, "a"))
	must.Eq(t, claims.Running, c.hosts[0].mustClaim(t, key, "b"))
	done := claims.Completion{Key: request(key, "a").Key, Attempt: "a", Answer: claims.Answer{Status: 201, Body: []byte("ok"), Kept: true}}
	must.NoError(t, c.hosts[1].service.Complete(t.Context(), done))
	reply, err := c.hosts[1].service.Outcome(t.Context(), request(key, "").Key)
	must.NoError(t, err)
	must.Eq(t, claims.Reply{Verdict: claims.Done, Answer: done.Answer}, reply)
	endedKey := "e0.0123456789abcdef~booking-2" // an earlier incarnation of the same host
	must.Eq(t, claims.Unknown, c.hosts[1].mustClaim(t, endedKey, "a"))
	must.Eq(t, claims.Unknown, c.hosts[0].mustClaim(t, endedKey, "a"))
}

func TestKeyWithOtherFingerprintIsRefused(t *testing.T) {
	c := startCluster(t, 1)
	must.Eq(t, claims.Granted, c.hosts[0].mustClaim(t, "k", "a"))
	other := request("k", "b")
	other.Fingerprint = 7
	reply, err := c.hosts[0].service.Claim(t.Context(), other)
	must.NoError(t, err)
	must.Eq(t, claims.Mismatch, reply.Verdict)
}
