package routing_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/routing"
	"github.com/cyclamentray/cyclamentray/standin/faultproxy"
	"github.com/cyclamentray/cyclamentray/standin/upstream"
)

const testTimeout = 20 * time.Second

// fakeSource is a source of membership and configuration that tests can change.
type fakeSource struct {
	mu      sync.Mutex
	view    *membership.View
	snap    *config.Snapshot
	changed chan struct{}
}

func (s *fakeSource) View() *membership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *fakeSource) Current() (*config.Snapshot, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snap, time.Now()
}

func (s *fakeSource) Changed() <-chan struct{} { return s.changed }

func (s *fakeSource) setHosts(hosts ...kvstore.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = &membership.View{Self: s.view.Self, Hosts: hosts}
}

func (s *fakeSource) setOut(name string, out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.snap
	next.FailureDomains = map[string]config.FailureDomain{name: {Name: name, Out: out}}
	s.snap = &next
}

// entryHost is a router behind a real HTTP listener.
type entryHost struct {
	source *fakeSource
	router *routing.Router
	server *httptest.Server
	url    string
}

func newFakeSource(timeout time.Duration, hosts ...kvstore.Host) *fakeSource {
	service := config.Service{Name: "loans", Organisation: "acme", Requests: &config.Requests{
		TimeoutMillis: int(timeout.Milliseconds()), ShareWith: []string{"north", "south", "west"},
	}}
	return &fakeSource{
		view:    &membership.View{Self: kvstore.Host{Name: "e1", Kind: kvstore.EntryHost, FailureDomain: "a"}, Hosts: hosts},
		snap:    &config.Snapshot{Revision: 1, Services: map[string]config.Service{"loans": service}},
		changed: make(chan struct{}),
	}
}

func startEntryHost(t testing.TB, s *fakeSource, claims routing.Claims) *entryHost {
	r := routing.New(routing.Options{Seed: 1, DrainDelay: 20 * time.Millisecond, Membership: s, Config: s, Claims: claims})
	mux := http.NewServeMux()
	r.Register(mux)
	server := httptest.NewServer(asOrganisation(mux))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = r.Run(ctx) })
	t.Cleanup(func() {
		server.Close()
		cancel()
		wg.Wait()
	})
	return &entryHost{source: s, router: r, server: server, url: server.URL}
}

// asOrganisation replaces authentication: the Organisation header names the
// caller's organisation.
func asOrganisation(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if name := r.Header.Get("Organisation"); name != "" {
			r = r.WithContext(auth.WithIdentity(r.Context(), auth.Identity{Organisation: name}))
		}
		next.ServeHTTP(w, r)
	})
}

// self returns e, as the balancer argument of startLoad.
func (e *entryHost) self() *entryHost { return e }

type reply struct {
	status    int
	outcome   routing.Outcome
	body      string
	truncated bool // the body could not be read to its end
}

func (e *entryHost) send(t testing.TB, method, organisation, key string) reply {
	req, err := http.NewRequest(method, e.url+"/v1/services/loans/requests/book", strings.NewReader("kit"))
	must.NoError(t, err)
	req.Header.Set("Organisation", organisation)
	if key != "" {
		req.Header.Set(routing.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, outcome: routing.Outcome(resp.Header.Get(routing.HeaderOutcome)), body: string(body), truncated: err != nil}
}

// startProxiedUpstream starts a stand-in upstream behind a fault proxy.
func startProxiedUpstream(t testing.TB, o upstream.Options) (kvstore.Host, *upstream.Upstream, *faultproxy.Proxy) {
	u := upstream.New(o)
	server := httptest.NewServer(u)
	proxy, err := faultproxy.New(server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() {
		proxy.Close()
		server.CloseClientConnections()
		server.Close()
	})
	host := kvstore.Host{
		Name: o.Name, Kind: kvstore.Upstream, FailureDomain: "a", Service: "loans",
		Address: proxy.Addr(), Slots: 8, Connections: 60,
	}
	return host, u, proxy
}

// startUpstreams starts n stand-in upstreams that are reached without a proxy.
func startUpstreams(t testing.TB, n int) []kvstore.Host {
	var hosts []kvstore.Host
	for i := range n {
		name := fmt.Sprint("u", i)
		server := httptest.NewServer(upstream.New(upstream.Options{Name: name, Slots: 64, Work: 2 * time.Millisecond}))
		t.Cleanup(server.Close)
		hosts = append(hosts, kvstore.Host{
			Name: name, Kind: kvstore.Upstream, FailureDomain: "a", Service: "loans",
			Address: server.Listener.Addr().String(), Slots: 64,
		})
	}
	return hosts
}

func waitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

// serveDuplicateResponses accepts connections on l and sends each response twice,
// the second time after the delay late.
func serveDuplicateResponses(l net.Listener, served *atomic.Int64, late time.Duration) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				body := fmt.Sprintf("answer %d", served.Add(1))
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				_, _ = io.WriteString(conn, text)
				time.Sleep(late)
				_, _ = io.WriteString(conn, text)
			}
		}()
	}
}

// startLoad sends POST requests from n concurrent callers, each to the entry host
// that balancer returns. The returned function stops them and returns the number
// of requests by outcome.
func startLoad(t testing.TB, balancer func() *entryHost, n int) func() map[routing.Outcome]int {
	var stop atomic.Bool
	var wg sync.WaitGroup
	var mu sync.Mutex
	seen := make(map[routing.Outcome]int)
	for range n {
		wg.Go(func() {
			for !stop.Load() {
				got := balancer().send(t, "POST", "acme", "")
				mu.Lock()
				seen[got.outcome]++
				mu.Unlock()
			}
		})
	}
	return func() map[routing.Outcome]int {
		stop.Store(true)
		wg.Wait()
		return seen
	}
}
