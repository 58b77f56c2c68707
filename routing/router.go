// Package routing forwards short HTTP requests from callers to the upstreams of
// a service. A Dispatcher for each service decides which upstream gets which
// request and when a request is queued or shed; it does no I/O. The Router,
// which an entry host mounts on its HTTP server and runs in the background,
// does the I/O and holds in memory the queues, the state of each upstream and
// the pools of idle connections. Nothing is stored; idempotency keys are
// recorded by the Claims that the entry host passes in.
package routing

import (
	"context"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/internal/defaults"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
)

const (
	tickInterval      = 50 * time.Millisecond // between runs of the queue time-outs and probes
	poolTrimInterval  = time.Second
	drainPollInterval = 10 * time.Millisecond // between checks for requests in flight
)

// Options configures a Router.
type Options struct {
	Now        func() time.Time // nil: time.Now
	Seed       int64            // of the random numbers for tie-breaks and backoff jitter; 0: a random seed
	Logger     *log.Logger      // nil: logging is off
	Metrics    *metrics.Set     // nil: no metrics are exported
	Membership membership.Source
	Config     config.Source
	Claims     Claims        // nil: requests with an idempotency key are refused
	DrainDelay time.Duration // time the load balancer needs to notice that the host is not ready
}

// Router serves callers' requests by forwarding them to upstreams. It is safe
// for concurrent use.
type Router struct {
	opts         Options
	metrics      *routerMetrics
	lastTicketID atomic.Uint64
	inFlight     atomic.Int64 // requests being served, and outcomes of idempotency keys being recorded
	bodyBytes    atomic.Int64 // reserved for the request bodies held in memory
	draining     atomic.Bool

	mu          sync.Mutex
	dispatchers map[string]*serviceDispatcher
	pools       map[string]*pool // by address
}

// New returns a router. While Run is not running, queued requests do not time
// out, failed upstreams are not probed, and changes of membership and
// configuration take effect only with the next request.
func New(o Options) *Router {
	o.Now = defaults.Now(o.Now)
	if o.Seed == 0 {
		o.Seed = rand.Int63()
	}
	o.Logger = defaults.Logger(o.Logger)
	o.Metrics = defaults.Metrics(o.Metrics)
	r := &Router{opts: o, dispatchers: make(map[string]*serviceDispatcher), pools: make(map[string]*pool)}
	r.metrics = newRouterMetrics(o.Metrics, r)
	return r
}

// Register adds the router's HTTP handlers to mux.
func (r *Router) Register(mux *http.ServeMux) {
	mux.HandleFunc("/v1/services/{service}/requests/{path...}", r.serveRequest)
	mux.HandleFunc("GET /v1/services/{service}/outcomes/{key}", r.serveOutcome)
}

// Run does the router's background work until ctx ends: it sheds requests that
// have reached their queue deadline, applies changes of membership and
// configuration, probes upstreams that failed or are leaving, and closes
// connections that have been idle too long.
func (r *Router) Run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer r.closeIdleConnections()
	defer probes.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTrim := r.opts.Now()
	for {
		changed := r.opts.Config.Changed()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
		now := r.opts.Now()
		r.tick(ctx, now, &probes)
		if now.Sub(lastTrim) >= poolTrimInterval {
			lastTrim = now
			r.trimPools()
		}
	}
}

// tick refreshes and ticks every service and starts the probes that are due.
func (r *Router) tick(ctx context.Context, now time.Time, probes *sync.WaitGroup) {
	for _, s := range r.allDispatchers() {
		r.refreshDispatcher(s)
		for _, upstream := range s.tick(now) {
			probes.Add(1)
			go func() {
				defer probes.Done()
				alive, closing := r.probeUpstream(ctx, upstream)
				s.finishProbe(r.opts.Now(), upstream.Name, alive, closing)
			}()
		}
	}
}

func (r *Router) refreshDispatcher(s *serviceDispatcher) {
	snap, _ := r.opts.Config.Current()
	s.refresh(r.opts.Now(), r.opts.Membership.View(), snap)
}

func (r *Router) allDispatchers() []*serviceDispatcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*serviceDispatcher, 0, len(r.dispatchers))
	for _, s := range r.dispatchers {
		out = append(out, s)
	}
	return out
}

// dispatcherFor returns the dispatcher of the named service, refreshed with the
// current membership and configuration. It creates one on first use.
func (r *Router) dispatcherFor(name string) *serviceDispatcher {
	r.mu.Lock()
	s := r.dispatchers[name]
	if s == nil {
		s = newServiceDispatcher(name, r.opts.Seed+int64(len(r.dispatchers)))
		r.dispatchers[name] = s
	}
	r.mu.Unlock()
	r.refreshDispatcher(s)
	return s
}

func (r *Router) poolFor(upstream kvstore.Host) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[upstream.Address]
	if p == nil {
		p = &pool{}
		r.pools[upstream.Address] = p
	}
	return p
}

// connectionLimit returns this entry host's share of an upstream's connection
// limit; 0 is treated as no limit.
func (r *Router) connectionLimit(upstream kvstore.Host) int {
	if upstream.Connections == 0 {
		return 0
	}
	view := r.opts.Membership.View()
	topology := Topology{EntryHosts: entryHosts(view), Silent: view.Silent}
	return CapacityShare(upstream.Connections, upstream.Name, view.Self.Name, topology.sharingHosts(upstream))
}

// trimPools closes expired idle connections and drops the empty pools of
// upstreams that are no longer members.
func (r *Router) trimPools() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	memberAddresses := make(map[string]bool)
	for _, h := range r.opts.Membership.View().Hosts {
		memberAddresses[h.Address] = true
	}
	for address, p := range r.pools {
		if p.closeExpired(now) == 0 && !memberAddresses[address] {
			delete(r.pools, address)
		}
	}
}

func (r *Router) closeIdleConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		p.closeIdle()
	}
}

// Draining reports whether Drain was called, in which case the host is not ready.
func (r *Router) Draining() bool { return r.draining.Load() }

// Drain marks the host as not ready, waits for DrainDelay and then until no
// request is in flight. It interrupts no request: requests that still arrive
// are served, and their responses carry Connection: close. Shut the HTTP server
// down gracefully after Drain, so that the last responses are flushed. Drain
// returns ctx's error when ctx ends first.
func (r *Router) Drain(ctx context.Context) error {
	r.draining.Store(true)
	if !pause.For(ctx, r.opts.DrainDelay) {
		return ctx.Err()
	}
	for r.inFlight.Load() > 0 {
		if !pause.For(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}
