// Package routing carries short requests from callers to the upstreams of a
// service. Its core decides which upstream takes which request, and when a
// request waits or is refused; a thin driver does the I/O.
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
	tickInterval      = 50 * time.Millisecond
	poolTrimInterval  = time.Second
	drainPollInterval = 10 * time.Millisecond
)

// Options are what a Router needs.
type Options struct {
	Now        func() time.Time // nil: time.Now
	Seed       int64            // of the choice among equal upstreams; 0: by the clock
	Logger     *log.Logger      // nil: nothing is logged
	Metrics    *metrics.Set     // nil: none are kept
	Membership membership.Source
	Config     config.Source
	Claims     Claims        // nil: requests with an idempotency key are refused
	DrainDelay time.Duration // how long the balancer needs to see that the host is not ready
}

// Router serves callers' requests. It is safe for concurrent use.
type Router struct {
	opts         Options
	metrics      *routerMetrics
	lastTicketID atomic.Uint64
	inFlight     atomic.Int64
	bodyBytes    atomic.Int64 // bytes of bodies in memory
	draining     atomic.Bool

	mu       sync.Mutex
	services map[string]*serviceDispatcher
	pools    map[string]*pool // by address
}

// New returns a router. Run must be running for it to shed, probe and refresh
// on time.
func New(o Options) *Router {
	o.Now = defaults.Now(o.Now)
	if o.Seed == 0 {
		o.Seed = rand.Int63()
	}
	o.Logger = defaults.Logger(o.Logger)
	o.Metrics = defaults.Metrics(o.Metrics)
	r := &Router{opts: o, services: make(map[string]*serviceDispatcher), pools: make(map[string]*pool)}
	r.metrics = newRouterMetrics(o.Metrics, r)
	return r
}

// Register adds the router's calls to mux.
func (r *Router) Register(mux *http.ServeMux) {
	mux.HandleFunc("/v1/services/{service}/requests/{path...}", r.serveRequest)
	mux.HandleFunc("GET /v1/services/{service}/outcomes/{key}", r.serveOutcome)
}

// Run does the router's background work until ctx ends: it sheds requests that
// have waited too long, follows membership and configuration, and probes
// upstreams that failed.
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

func (r *Router) tick(ctx context.Context, now time.Time, probes *sync.WaitGroup) {
	for _, s := range r.allServices() {
		r.refreshService(s)
		for _, host := range s.tick(now) {
			probes.Add(1)
			go func() {
				defer probes.Done()
				alive, closing := r.probeUpstream(ctx, host)
				s.finishProbe(r.opts.Now(), host.Name, alive, closing)
			}()
		}
	}
}

func (r *Router) refreshService(s *serviceDispatcher) {
	snap, _ := r.opts.Config.Current()
	s.refresh(r.opts.Now(), r.opts.Membership.View(), snap)
}

func (r *Router) allServices() []*serviceDispatcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*serviceDispatcher, 0, len(r.services))
	for _, s := range r.services {
		out = append(out, s)
	}
	return out
}

// serviceFor returns the driver of a serviceFor's core, with membership and
// configuration as of now.
func (r *Router) serviceFor(name string) *serviceDispatcher {
	r.mu.Lock()
	s := r.services[name]
	if s == nil {
		s = newServiceDispatcher(name, r.opts.Seed+int64(len(r.services)))
		r.services[name] = s
	}
	r.mu.Unlock()
	r.refreshService(s)
	return s
}

func (r *Router) poolFor(host kvstore.Host) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[host.Address]
	if p == nil {
		p = &pool{}
		r.pools[host.Address] = p
	}
	return p
}

// connectionLimit is this host's share of an upstream's connections; 0: none is set.
func (r *Router) connectionLimit(host kvstore.Host) int {
	if host.Connections == 0 {
		return 0
	}
	view := r.opts.Membership.View()
	topology := Topology{EntryHosts: entryHosts(view), Silent: view.Silent}
	return CapacityShare(host.Connections, host.Name, view.Self.Name, topology.sharingHosts(host))
}

func (r *Router) trimPools() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	listed := make(map[string]bool)
	for _, h := range r.opts.Membership.View().Hosts {
		listed[h.Address] = true
	}
	for address, p := range r.pools {
		if p.closeExpired(now) == 0 && !listed[address] {
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

// Draining reports whether Drain was called: the host is not ready then.
func (r *Router) Draining() bool { return r.draining.Load() }

// Drain makes the host not ready, keeps serving for DrainDelay and longer, and
// returns once no request is in flight. It cuts off nothing: requests that
// still arrive are served, and their callers are told to close their
// connections. Shut the HTTP server down gracefully after it, so that the last
// answers are flushed. It returns ctx's error when ctx ends first.
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
