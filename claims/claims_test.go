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

// host is one entry host's claims, with its own faulty way to the store.
type host struct {
	service *claims.Service
	proxy   *faultproxy.Proxy
	stop    func() // hands its shards over
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
	var list []kvstore.Host
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		listeners[i] = l
		list = append(list, kvstore.Host{Name: fmt.Sprintf("e%d", i), Kind: kvstore.EntryHost, PeerAddress: l.Addr().String()})
	}
	for i := range n {
		c.hosts = append(c.hosts, startHost(t, server.Listener.Addr().String(), listeners[i], list, i, change))
	}
	return c
}

func startHost(t *testing.T, store string, l net.Listener, list []kvstore.Host, i int, change []func(*claims.Options)) *host {
	proxy, err := faultproxy.New(store)
	must.NoError(t, err)
	pool := peer.NewPool(peer.Options{Timeout: 500 * time.Millisecond})
	o := claims.Options{
		Store:          kvstore.NewClient("http://" + proxy.Addr()),
		Peers:          pool,
		Membership:     staticView{&membership.View{Self: list[i], Hosts: list}},
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

// claim tries a key once at a host.
func (h *host) claim(key, attempt string, wait time.Duration) (claims.Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	reply, err := h.service.Claim(ctx, request(key, attempt))
	return reply.Verdict, err
}

// mustClaim retries until the host answers.
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

// mustGrant retries while an abandoned attempt is being cleared away.
func (h *host) mustGrant(t *testing.T, key, attempt string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if h.mustClaim(t, key, attempt) == claims.Granted {
			return
		}
	}
	t.Fatalf("key %s was never granted", key)
}

// Every host tries every key again and again, while the shards' owner is cut
// off, silenced, or loses answers after their effect, and others take over.
func TestKeyIsGrantedOnceUnderFaults(t *testing.T) {
	const (
		faultKinds   = 4
		newKeyInterval   = 10 * time.Millisecond // a new key comes up this often
		recentKeys   = 200                   // and is tried until so many newer ones came up
		minGrantedKeys = 50                    // granted
	)
	c := startCluster(t, 3, func(o *claims.Options) {
		o.Segments, o.EventsPerSegment = 512, 8 // often on to the next segment
	})
	c.hosts[0].mustGrant(t, "first", "a")
	began := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	var tries sync.WaitGroup
	var mu sync.Mutex
	grants := make(map[string]int)
	for i, h := range c.hosts {
		rng := rand.New(rand.NewSource(int64(i)))
		tries.Go(func() {
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
	for n := range faultKinds {
		for _, h := range c.hosts {
			injectFault(h.proxy, n)
			time.Sleep(2 * leaseTTL)
			h.proxy.Heal()
		}
	}
	cancel()
	tries.Wait()
	must.Greater(t, minGrantedKeys, len(grants))
	for key, n := range grants {
		must.Eq(t, 1, n, must.Sprint(key))
	}
	must.NotEq(t, claims.Granted, c.hosts[1].mustClaim(t, "first", "b"))
	c.hosts[2].mustGrant(t, "last", "a")
}

// injectFault puts the nth kind of fault on a host's way to the store.
func injectFault(p *faultproxy.Proxy, n int) {
	switch n % 4 {
	case 0: // answers lost after their effect
		p.Set(faultproxy.Down, faultproxy.Fault{CutAfter: 0})
		p.CutOpen()
	case 1: // open connections silent for good
		p.FreezeOpen(faultproxy.Down)
	case 2: // writes arrive after the lease has lapsed
		p.Set(faultproxy.Up, faultproxy.Fault{CutAfter: faultproxy.NoCut, Delay: 2 * leaseTTL})
	case 3:
		p.Refuse(true)
		p.CutOpen()
	}
}

// Without the platform a plain key is refused soon, and is free afterwards.
func TestUnboundKeysAreRefusedWithoutThePlatform(t *testing.T) {
	h := startCluster(t, 1).hosts[0]
	h.mustGrant(t, "x", "a")
	h.proxy.Set(faultproxy.Up, faultproxy.Fault{CutAfter: faultproxy.NoCut, Blackhole: true})
	started := time.Now()
	verdict, err := h.claim("during", "a", 100*time.Millisecond)
	must.Error(t, err)
	must.Eq(t, claims.Absent, verdict)
	for err = nil; err == nil; time.Sleep(time.Millisecond) { // until the first claim's write is given up
		verdict, err = h.claim("during", "b", testTimeout)
		must.NotEq(t, claims.Granted, verdict)
		must.Less(t, testTimeout/2, time.Since(started))
	}
	must.ErrorIs(t, err, claims.ErrUnavailable)
	_, err = h.claim("during2", "a", testTimeout)
	must.ErrorIs(t, err, claims.ErrUnavailable)
	must.Less(t, testTimeout/2, time.Since(started))
	h.proxy.Heal()
	h.proxy.CutOpen()
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
	free := claims.Completion{Key: request("k1", "a").Key, Attempt: "a", NotRun: true}
	must.NoError(t, c.hosts[0].service.Complete(ctx, free))
	c.hosts[0].stop()
	c.hosts[1].stop()
	last := c.hosts[2]
	must.Eq(t, claims.Done, last.mustClaim(t, "k0", "b"))
	must.Eq(t, claims.Granted, last.mustClaim(t, "k1", "b"))
	for i := 2; i < 20; i++ {
		must.Eq(t, claims.Running, last.mustClaim(t, fmt.Sprint("k", i), "b"))
	}
}

// A ring of 4 segments of 2 claims takes 8 keys within their retention. Then
// new keys are refused, also by the next owner, and nothing is forgotten.
func TestFullLogRefusesNewKeys(t *testing.T) {
	const room = 8
	var clockOffset atomic.Int64 // added to the clock
	c := startCluster(t, 2, func(o *claims.Options) {
		o.Shards, o.Segments, o.EventsPerSegment = 1, 4, 2
		o.Now = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	})
	for i := range room {
		c.hosts[i%2].mustGrant(t, fmt.Sprint("k", i), "a")
	}
	for i, h := range c.hosts {
		_, err := h.claim("more", "a", testTimeout)
		must.Eq(t, apierr.Overloaded, apierr.KindOf(err))
		for k := range room {
			must.Eq(t, claims.Running, h.mustClaim(t, fmt.Sprint("k", k), "b"))
		}
		if i == 0 {
			h.stop()
		}
	}
	clockOffset.Store(int64(2 * claims.DefaultRetention))
	c.hosts[1].mustGrant(t, "more", "b")
}

// A key bound to an entry host needs no platform, and ends with that host.
func TestBoundKeysWorkWithoutThePlatform(t *testing.T) {
	c := startCluster(t, 2)
	for _, h := range c.hosts {
		h.proxy.Refuse(true)
		h.proxy.CutOpen()
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
