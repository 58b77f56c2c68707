// Package election decides which entry host schedules a failure domain, by a
// lease in the platform's service whose entry version is the fencing term.
package election

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/defaults"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

// Holder tells whether this host is its failure domain's scheduler.
// It is safe for concurrent use.
type Holder interface {
	// Term returns the fencing term and the local monotonic time until which it
	// surely holds. held is false when this host must not act.
	Term() (term uint64, until time.Time, held bool)
}

const (
	// DefaultTTL is how long a lease lasts without renewal.
	DefaultTTL = 3 * time.Second
	// marginShare is the part of the TTL that the holder gives up, so that
	// clocks of unequal rate do not let two hosts act at once.
	marginShare = 10
	// renewalsPerTTL is how often a lease is renewed within its TTL.
	renewalsPerTTL = 4
	// candidateJitter spreads the candidates of a freed key.
	candidateJitter = 100 * time.Millisecond
	revokeTimeout   = time.Second
)

// Options configures an Election.
type Options struct {
	Store         kvstore.Store
	Host          string // name of this host
	FailureDomain string
	TTL           time.Duration // 0: DefaultTTL
	Now           func() time.Time
	Random        *rand.Rand // nil: seeded at random; used by Run alone
	Logger        *log.Logger
	Metrics       *metrics.Set
}

func (o Options) withDefaults() Options {
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	o.Now = defaults.Now(o.Now)
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	o.Logger = defaults.Logger(o.Logger)
	o.Metrics = defaults.Metrics(o.Metrics)
	return o
}

// Key returns the store key that the scheduler of a failure domain holds.
func Key(failureDomain string) string { return "cyclamentray/election/" + failureDomain }

// Election campaigns for a failure domain's lease. It is safe for concurrent use.
type Election struct {
	opts Options

	mu        sync.Mutex
	tenure    tenure
	scheduler string        // host last seen to hold the key; empty: none or not known
	resigned  chan struct{} // closed by Resign
	resigning bool
	changed   chan struct{} // closed and replaced when the term changes
}

// New returns an election in which this host does not yet take part; call Run.
func New(opts Options) *Election {
	return &Election{opts: opts.withDefaults(), resigned: make(chan struct{}), changed: make(chan struct{})}
}

var _ Holder = (*Election)(nil)

// Term implements Holder.
func (e *Election) Term() (term uint64, until time.Time, held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tenure.term, e.tenure.until, !e.resigning && e.tenure.holds(e.opts.Now())
}

// Scheduler returns the name of the host last seen to hold the failure domain's
// lease, or "" when none is known.
func (e *Election) Scheduler() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler
}

// Changed returns a channel that is closed when a term begins or ends here.
func (e *Election) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// Run campaigns until ctx ends, then frees the lease. It returns nil.
func (e *Election) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.endOnResign(ctx, cancel)
	for ctx.Err() == nil {
		lease, ok := e.campaign(ctx)
		if !ok {
			continue
		}
		e.hold(ctx, lease)
		e.step(tenure{}, "term ended")
		e.revoke(context.WithoutCancel(ctx), lease)
	}
	return nil
}

func (e *Election) endOnResign(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-e.resigned:
		cancel()
	case <-ctx.Done():
	}
}

// Resign hands the term over: from its return on this host neither holds a term
// nor campaigns, and the lease is free for another host unless ctx ended first.
func (e *Election) Resign(ctx context.Context) error {
	e.mu.Lock()
	lease := e.tenure.lease
	if !e.resigning {
		e.resigning = true
		close(e.resigned)
	}
	e.mu.Unlock()
	if lease.ID == "" {
		return nil
	}
	return errors.Wrap(e.opts.Store.Revoke(ctx, lease), "freeing the scheduler's lease")
}

func (e *Election) revoke(ctx context.Context, lease kvstore.Lease) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	if err := e.opts.Store.Revoke(ctx, lease); err != nil {
		e.opts.Logger.Warn("lease not freed; it lapses by itself", "err", err)
	}
}

// campaign waits until the key is free and tries to take it once.
func (e *Election) campaign(ctx context.Context) (kvstore.Lease, bool) {
	if !e.waitFree(ctx) {
		return kvstore.Lease{}, false
	}
	pause.For(ctx, time.Duration(e.opts.Random.Int64N(int64(candidateJitter))))
	sent := e.opts.Now()
	callCtx, cancel := context.WithTimeout(ctx, e.opts.TTL)
	defer cancel()
	lease, err := e.opts.Store.Grant(callCtx, e.opts.TTL)
	if err != nil {
		return kvstore.Lease{}, false
	}
	entry, err := e.opts.Store.Acquire(callCtx, Key(e.opts.FailureDomain), []byte(e.opts.Host), lease)
	if err != nil {
		// After an unknown outcome the lease may hold the key: free it either way.
		e.revoke(context.WithoutCancel(ctx), lease)
		return kvstore.Lease{}, false
	}
	e.setScheduler(e.opts.Host)
	e.step(newTenure(lease, entry.Version, sent), "term begun")
	return lease, true
}

// waitFree returns true once the key is seen to be free.
func (e *Election) waitFree(ctx context.Context) bool {
	var seen kvstore.Entry
	key := Key(e.opts.FailureDomain)
	for first := true; ctx.Err() == nil; first = false {
		var entry kvstore.Entry
		var err error
		if first {
			entry, err = e.get(ctx, key)
		} else {
			entry, err = e.watch(ctx, key, seen.Version)
		}
		if err != nil {
			pause.For(ctx, e.retryDelay())
			continue
		}
		seen = entry
		if entry.Lease == "" {
			e.setScheduler("")
			return true
		}
		e.setScheduler(string(entry.Value))
	}
	return false
}

func (e *Election) get(ctx context.Context, key string) (kvstore.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, e.opts.TTL)
	defer cancel()
	entry, err := e.opts.Store.Get(ctx, key)
	if errors.Is(err, kvstore.ErrNotFound) {
		return kvstore.Entry{Key: key}, nil
	}
	return entry, err
}

// watch waits for a change for little more than one TTL: a watch whose
// connection went silent must not delay a takeover for longer. After such a
// one the key is read plainly.
func (e *Election) watch(ctx context.Context, key string, after uint64) (kvstore.Entry, error) {
	watchCtx, cancel := context.WithTimeout(ctx, e.opts.TTL*3/2)
	defer cancel()
	entry, err := e.opts.Store.Watch(watchCtx, key, after)
	if err == nil || ctx.Err() != nil || watchCtx.Err() == nil {
		return entry, err
	}
	return e.get(ctx, key)
}

// hold renews the lease until the term has lapsed on this host's own clock or
// ctx ends. It never renews beyond that: a host whose renewals arrive but whose
// answers do not would keep the lease from everyone and act under it itself
// no more.
func (e *Election) hold(ctx context.Context, lease kvstore.Lease) {
	for ctx.Err() == nil {
		pause.For(ctx, e.opts.TTL/renewalsPerTTL)
		sent := e.opts.Now()
		if !e.holds(sent) {
			e.opts.Logger.Warn("term lapsed")
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, e.opts.TTL/renewalsPerTTL)
		err := e.opts.Store.Renew(callCtx, lease)
		cancel()
		switch {
		case err == nil:
			e.renewed(sent)
		case errors.Is(err, kvstore.ErrLeaseLost):
			e.opts.Logger.Warn("lease lost")
			return
		default:
			e.opts.Metrics.GetOrCreateCounter("cyclamentray_election_renewal_failures_total").Inc()
		}
	}
}

func (e *Election) holds(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tenure.holds(now)
}

func (e *Election) renewed(sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tenure = e.tenure.renewed(sent)
}

func (e *Election) setScheduler(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scheduler = host
}

func (e *Election) step(next tenure, message string) {
	e.mu.Lock()
	e.tenure = next
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
	e.opts.Metrics.GetOrCreateCounter("cyclamentray_election_changes_total").Inc()
	e.opts.Logger.Info(message, "failureDomain", e.opts.FailureDomain, "term", next.term)
}

func (e *Election) retryDelay() time.Duration {
	return e.opts.TTL/renewalsPerTTL + time.Duration(e.opts.Random.Int64N(int64(e.opts.TTL/renewalsPerTTL)))
}
