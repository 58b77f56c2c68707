package kvstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/cyclamentray/cyclamentray/internal/defaults"
)

const (
	// callTimeout bounds one call: a platform that takes longer counts as down.
	callTimeout = time.Second
	// urgentTimeout bounds an urgent call. It is longer than callTimeout, since a
	// slow answer is still useful to the caller, but after callTimeout the
	// platform counts as down all the same.
	urgentTimeout = 1900 * time.Millisecond
	// watchGrace is the time that a watch may take beyond the store's own wait.
	watchGrace = time.Second
	// defaultCallsPerSecond and defaultCallBurst are a host's call budget: calls
	// per second, and calls at once, which are enough to take over a shard of
	// claims or a failure domain.
	defaultCallsPerSecond = 40
	defaultCallBurst      = 300
	watchKind             = "watch" // kind of watches in metrics
	// probeKey is read to check whether the platform answers. It need not exist.
	probeKey = "cyclamentray/probe"
)

// Options configures a Guard.
type Options struct {
	Base    string   // base URL of the platform, such as "http://127.0.0.1:8500"
	Others  []string // further base URLs of the platform, tried in turn
	Rate    float64  // calls per second that this host may make; 0: the default
	Burst   int      // calls that may be made at once; 0: the default
	Now     func() time.Time
	Logger  *log.Logger
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	if o.Rate <= 0 {
		o.Rate = defaultCallsPerSecond
	}
	if o.Burst <= 0 {
		o.Burst = defaultCallBurst
	}
	o.Now = defaults.Now(o.Now)
	o.Logger = defaults.Logger(o.Logger)
	o.Metrics = defaults.Metrics(o.Metrics)
	return o
}

// Guard is the Store through which an entry host calls the platform. Around a
// Client, it sets a deadline on every call, counts it, rate-limits the host's
// calls, holds calls back while the platform is down (a circuit breaker), and
// resolves writes whose answer was lost. It is safe for concurrent use.
type Guard struct {
	opts   Options
	client *Client
	budget *rate.Limiter

	mu         sync.Mutex
	breaker    circuitBreaker
	watchCache map[string]Entry // last entry seen of each watched key
}

// New returns a guard around a client of the platform at opts.Base.
func New(opts Options) *Guard {
	opts = opts.withDefaults()
	transport := newTransport()
	transport.DialContext = countedDial(opts.Metrics)
	g := &Guard{
		opts:   opts,
		client: newClient(transport, append([]string{opts.Base}, opts.Others...)...),
		budget: rate.NewLimiter(rate.Limit(opts.Rate), opts.Burst),

		watchCache: make(map[string]Entry),
	}
	opts.Metrics.GetOrCreateGauge("cyclamentray_platform_down", func() float64 {
		if g.Down() {
			return 1
		}
		return 0
	})
	return g
}

var _ Store = (*Guard)(nil)
var _ HostLister = (*Guard)(nil)

// Down reports whether the platform did not answer this host's last call.
func (g *Guard) Down() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.breaker.down()
}

// do makes one call, bounded by timeout, and counts it under its kind. An urgent
// call gets urgentTimeout if that is longer; if it then takes longer than
// callTimeout, the platform counts as down before the call has ended.
func (g *Guard) do(ctx context.Context, kind string, timeout time.Duration, call func(context.Context) error) error {
	if err := g.admit(ctx, kind); err != nil {
		return err
	}
	if isUrgent(ctx) {
		timeout = max(timeout, urgentTimeout)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := g.opts.Now()
	if timeout == urgentTimeout {
		slow := time.AfterFunc(callTimeout, func() { g.updateBreaker(func(b *circuitBreaker) { b.recordFailure(g.opts.Now(), rand.Float64()) }) })
		defer slow.Stop()
	}
	err := call(callCtx)
	g.record(ctx, kind, sent, err)
	return err
}

// admit refuses a call that the circuit breaker holds back, and waits until the
// host's call budget allows it. Urgent calls are never refused and do not wait.
func (g *Guard) admit(ctx context.Context, kind string) error {
	if !isUrgent(ctx) {
		g.mu.Lock()
		admitted := g.breaker.allow(g.opts.Now())
		g.mu.Unlock()
		if !admitted {
			g.count(kind, "held-back")
			return failure(ErrUnavailable, errors.New("platform is down; call held back"))
		}
	}
	if err := g.takeBudget(ctx); err != nil {
		g.count(kind, "over-budget")
		return err
	}
	return nil
}

// takeBudget waits until the host's call budget allows one more call. An urgent
// call does not wait: it is charged in advance, so that later calls wait longer.
func (g *Guard) takeBudget(ctx context.Context) error {
	if isUrgent(ctx) {
		g.budget.ReserveN(g.opts.Now(), 1)
		return nil
	}
	return failure(ErrUnavailable, errors.Wrap(g.budget.Wait(ctx), "call budget"))
}

// record counts a call's outcome and updates the circuit breaker. A call that its
// caller cancelled says nothing about the platform, unless callTimeout had passed by
// then; a cancelled watch never does. An answer later than callTimeout does not mark
// the platform as up, unless it is a watch's.
func (g *Guard) record(ctx context.Context, kind string, sent time.Time, err error) {
	now := g.opts.Now()
	g.opts.Metrics.GetOrCreateHistogram(fmt.Sprintf(`cyclamentray_platform_call_seconds{kind=%q}`, kind)).Update(now.Sub(sent).Seconds())
	if !noAnswer(err) {
		g.count(kind, "answered")
		if now.Sub(sent) < callTimeout || kind == watchKind {
			g.updateBreaker(func(b *circuitBreaker) { b.recordAnswer() })
		}
		return
	}
	g.count(kind, "failed")
	if ctx.Err() != nil && (kind == watchKind || now.Sub(sent) < callTimeout) {
		return
	}
	g.updateBreaker(func(b *circuitBreaker) { b.recordFailure(now, rand.Float64()) })
}

// updateBreaker applies change to the circuit breaker and logs when the platform
// goes down or comes up.
func (g *Guard) updateBreaker(change func(*circuitBreaker)) {
	g.mu.Lock()
	before := g.breaker.down()
	change(&g.breaker)
	after := g.breaker.down()
	g.mu.Unlock()
	switch {
	case after && !before:
		g.opts.Logger.Warn("platform does not answer")
	case before && !after:
		g.opts.Logger.Info("platform answers again")
	}
}

func (g *Guard) count(kind, outcome string) {
	name := fmt.Sprintf(`cyclamentray_platform_calls_total{kind=%q,outcome=%q}`, kind, outcome)
	g.opts.Metrics.GetOrCreateCounter(name).Inc()
}

// noAnswer reports whether a call failed without a usable answer.
func noAnswer(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAmbiguous)
}

// Get implements Store.
func (g *Guard) Get(ctx context.Context, key string) (e Entry, err error) {
	err = g.do(ctx, "get", callTimeout, func(ctx context.Context) error {
		e, err = g.client.Get(ctx, key)
		return err
	})
	return e, err
}

// Grant implements Store.
func (g *Guard) Grant(ctx context.Context, ttl time.Duration) (l Lease, err error) {
	err = g.do(ctx, "grant", callTimeout, func(ctx context.Context) error {
		l, err = g.client.Grant(ctx, ttl)
		return err
	})
	return l, err
}

// Renew implements Store. Renewals are urgent, since a lease that is not renewed
// in time lapses.
func (g *Guard) Renew(ctx context.Context, lease Lease) error {
	return g.do(Urgent(ctx), "renew", callTimeout, func(ctx context.Context) error {
		return g.client.Renew(ctx, lease)
	})
}

// Revoke implements Store.
func (g *Guard) Revoke(ctx context.Context, lease Lease) error {
	return g.do(Urgent(ctx), "revoke", callTimeout, func(ctx context.Context) error {
		return g.client.Revoke(ctx, lease)
	})
}

// Delete implements Deleter.
func (g *Guard) Delete(ctx context.Context, key string) error {
	return g.do(ctx, "delete", callTimeout, func(ctx context.Context) error {
		return g.client.Delete(ctx, key)
	})
}

// Hosts implements HostLister.
func (g *Guard) Hosts(ctx context.Context) (hosts []Host, err error) {
	err = g.do(ctx, "hosts", callTimeout, func(ctx context.Context) error {
		hosts, err = g.client.Hosts(ctx)
		return err
	})
	return hosts, err
}

// WatchHosts implements HostWatcher.
func (g *Guard) WatchHosts(ctx context.Context, after uint64) (hosts []Host, index uint64, err error) {
	err = g.do(ctx, watchKind, storeWatchWait+watchGrace, func(ctx context.Context) error {
		hosts, index, err = g.client.WatchHosts(ctx, after)
		return err
	})
	return hosts, index, err
}

// CompareAndSwap implements Store.
func (g *Guard) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (Entry, error) {
	return swapAndResolve(ctx, g, swapArgs{key: key, value: value, version: version, nonce: newNonce()})
}

// Acquire implements Store.
func (g *Guard) Acquire(ctx context.Context, key string, value []byte, lease Lease) (Entry, error) {
	return acquireAndResolve(ctx, g, acquireArgs{key: key, value: value, lease: lease})
}

func (g *Guard) trySwap(ctx context.Context, a swapArgs) (e Entry, err error) {
	err = g.do(ctx, "swap", callTimeout, func(ctx context.Context) error {
		e, err = g.client.compareAndSwap(ctx, a.key, a.value, a.version, a.nonce)
		return err
	})
	return e, err
}

func (g *Guard) tryAcquire(ctx context.Context, a acquireArgs) (e Entry, err error) {
	err = g.do(Urgent(ctx), "acquire", callTimeout, func(ctx context.Context) error {
		e, err = g.client.Acquire(ctx, a.key, a.value, a.lease)
		return err
	})
	return e, err
}

// probeInBackground starts one small read if the platform is down and the back-off
// allows a call. Its answer marks the platform as up.
func (g *Guard) probeInBackground() {
	g.mu.Lock()
	allowed := g.breaker.down() && g.breaker.allow(g.opts.Now())
	g.mu.Unlock()
	if allowed {
		go func() { _, _ = g.Get(Urgent(context.Background()), probeKey) }()
	}
}
