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

// shared is a membership and configuration that tests change at will.
type shared struct {
	mu      sync.Mutex
	view    *membership.View
	snap    *config.Snapshot
	changed chan struct{}
}

func (s *shared) View() *membership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *shared) Current() (*config.Snapshot, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snap, time.Now()
}

func (s *shared) Changed() <-chan struct{} { return s.changed }

func (s *shared) setHosts(hosts ...kvstore.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = &membership.View{Self: s.view.Self, Hosts: hosts}
}

func (s *shared) setOut(name string, out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.snap
	next.FailureDomains = map[string]config.FailureDomain{name: {Name: name, Out: out}}
	s.snap = &next
}

// entry is one entry host's router behind a real listener.
type entry struct {
	shared *shared
	router *routing.Router
	server *httptest.Server
	url    string
}

func newShared(timeout time.Duration, hosts ...kvstore.Host) *shared {
	service := config.Service{Name: "loans", Organisation: "acme", Requests: &config.Requests{
		TimeoutMillis: int(timeout.Milliseconds()), ShareWith: []string{"north", "south", "west"},
	}}
	return &shared{
		view:    &membership.View{Self: kvstore.Host{Name: "e1", Kind: kvstore.EntryHost, FailureDomain: "a"}, Hosts: hosts},
		snap:    &config.Snapshot{Revision: 1, Services: map[string]config.Service{"loans": service}},
		changed: make(chan struct{}),
	}
}

func startEntry(t testing.TB, s *shared, claims routing.Claims) *entry {
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
	return &entry{shared: s, router: r, server: server, url: server.URL}
}

// asOrganisation stands in for the token check: the header names the caller.
func asOrganisation(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if name := r.Header.Get("Organisation"); name != "" {
			r = r.WithContext(auth.WithIdentity(r.Context(), auth.Identity{Organisation: name}))
		}
		next.ServeHTTP(w, r)
	})
}

func (e *entry) self() *entry { return e }

type reply struct {
	status  int
	outcome routing.Outcome
	body    string
	cut     bool
}

func (e *entry) do(t testing.TB, method, organisation, key string) reply {
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
	return reply{status: resp.StatusCode, outcome: routing.Outcome(resp.Header.Get(routing.HeaderOutcome)), body: string(body), cut: err != nil}
}

// runnerHost starts an upstream behind a fault proxy.
func runnerHost(t testing.TB, o upstream.Options) (kvstore.Host, *upstream.Upstream, *faultproxy.Proxy) {
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

// runnerHosts starts upstreams that take their connections directly.
func runnerHosts(t testing.TB, n int) []kvstore.Host {
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

func answerTwice(l net.Listener, served *atomic.Int64, late time.Duration) {
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

// load posts from n callers until the returned function is called, which
// returns how often each outcome was seen.
func load(t testing.TB, balancer func() *entry, n int) func() map[routing.Outcome]int {
	var stop atomic.Bool
	var wg sync.WaitGroup
	var mu sync.Mutex
	seen := make(map[routing.Outcome]int)
	for range n {
		wg.Go(func() {
			for !stop.Load() {
				got := balancer().do(t, "POST", "acme", "")
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
