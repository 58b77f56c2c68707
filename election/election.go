// Package election elects one entry host per failure domain as its scheduler. The
// scheduler holds a key of the platform's key-value service under a lease; the version
// of the key's entry is the fencing term. An Election keeps the current term and the
// last seen holder in memory. The entry host runs it, and the packages that schedule
// and accept jobs ask it whether this host may act.
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

// Holder reports whether this host is its failure domain's scheduler.
// It is safe for concurrent use.
type Holder interface {
	// Term returns the fencing term and the local monotonic time until which it is
	// certain to be valid. held is false when this host must not act as scheduler.
	Term() (term uint64, until time.Time, held bool)
}

const (
	// DefaultTTL is the time after which a lease expires unless it is renewed.
	DefaultTTL = 3 * time.Second
	// safetyMarginDivisor sets the safety margin: the holder stops acting 1/10 of
	// the TTL before the lease expires, so that clocks that run at different rates
	// do not let two hosts act at once.
	safetyMarginDivisor = 10
	// renewalsPerTTL is the number of renewals that are sent per TTL.
	renewalsPerTTL = 4
	// acquireJitter is the longest random delay before a host tries to acquire a
	// freed key; it keeps the candidates from trying all at once.
	acquireJitter = 100 * time.Millisecond
	revokeTimeout = time.Second
)

// Options configures an Election.
type Options struct {
	Store         kvstore.Store
	Host          string // name of this host
	FailureDomain string
	TTL           time.Duration // of the lease; 0: DefaultTTL
	Now           func() time.Time
	Random        *rand.Rand // nil: seeded at random; not shared: only Run uses it
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

// Key returns the store key that a failure domain's scheduler holds under its lease.
func Key(failureDomain string) string { return "cyclamentray/election/" + failureDomain }

// Election campaigns for a failure domain's key. It is safe for concurrent use.
type Election struct {
	opts Options

	mu          sync.Mutex
	current     heldTerm
	scheduler   string        // host last seen to hold the key; empty: none or not known
	resigned    chan struct{} // closed by Resign
	resigning   bool          // Resign was called
	termChanged chan struct{} // closed and replaced when a term begins or ends
}

// New returns an Election. This host takes part in it only while Run runs.
func New(opts Options) *Election {
	return &Election{opts: opts.withDefaults(), resigned: make(chan struct{}), termChanged: make(chan struct{})}
}

var _ Holder = (*Election)(nil)

// Term implements Holder.
func (e *Election) Term() (term uint64, until time.Time, held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current.term, e.current.validUntil, !e.resigning && e.current.validAt(e.opts.Now())
}

// Scheduler returns the name of the host last seen to hold the failure domain's
// key, or "" when none is known.
func (e *Election) Scheduler() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler
}

// Changed returns a channel that is closed when a term of this host begins or ends.
func (e *Election) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.termChanged
}

// Run campaigns for the key until ctx ends or Resign is called, then revokes any
// lease it holds. It returns nil.
func (e *Election) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.cancelOnResign(ctx, cancel)
	for ctx.Err() == nil {
		lease, ok := e.campaign(ctx)
		if !ok {
			continue
		}
		e.renewUntilLost(ctx, lease)
		e.setTerm(heldTerm{}, "term ended")
		e.revokeLease(context.WithoutCancel(ctx), lease)
	}
	return nil
}

func (e *Election) cancelOnResign(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-e.resigned:
		cancel()
	case <-ctx.Done():
	}
}

// Resign gives up the term and revokes its lease, so that another host can acquire
// the key at once. After it returns, this host neither holds a term nor campaigns.
// The error means that the lease was not revoked, for example because ctx ended.
func (e *Election) Resign(ctx context.Context) error {
	e.mu.Lock()
	lease := e.current.lease
	if !e.resigning {
		e.resigning = true
		close(e.resigned)
	}
	e.mu.Unlock()
	if lease.ID == "" {
		return nil
	}
	return errors.Wrap(e.opts.Store.Revoke(ctx, lease), "revoking the scheduler's lease")
}

func (e *Election) revokeLease(ctx context.Context, lease kvstore.Lease) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	if err := e.opts.Store.Revoke(ctx, lease); err != nil {
		e.opts.Logger.Warn("failed to revoke the scheduler's lease; it expires after its TTL", "err", err)
	}
}

// campaign waits until the key is free and tries once to acquire it. It returns the
// lease that holds the key, or false if this host did not acquire it.
func (e *Election) campaign(ctx context.Context) (kvstore.Lease, bool) {
	if !e.waitUntilFree(ctx) {
		return kvstore.Lease{}, false
	}
	pause.For(ctx, time.Duration(e.opts.Random.Int64N(int64(acquireJitter))))
	sent := e.opts.Now()
	callCtx, cancel := context.WithTimeout(ctx, e.opts.TTL)
	defer cancel()
	lease, err := e.opts.Store.Grant(callCtx, e.opts.TTL)
	if err != nil {
		return kvstore.Lease{}, false
	}
	entry, err := e.opts.Store.Acquire(callCtx, Key(e.opts.FailureDomain), []byte(e.opts.Host), lease)
	if err != nil {
		// The call may have succeeded although its reply was lost: revoke the lease
		// in either case, since it may hold the key.
		e.revokeLease(context.WithoutCancel(ctx), lease)
		return kvstore.Lease{}, false
	}
	e.setScheduler(e.opts.Host)
	e.setTerm(newHeldTerm(lease, entry.Version, sent), "term started")
	return lease, true
}

// waitUntilFree returns true once the key is seen to be free, or false when ctx ends.
func (e *Election) waitUntilFree(ctx context.Context) bool {
	var seen kvstore.Entry
	key := Key(e.opts.FailureDomain)
	for first := true; ctx.Err() == nil; first = false {
		var entry kvstore.Entry
		var err error
		if first {
			entry, err = e.readEntry(ctx, key)
		} else {
			entry, err = e.watchEntry(ctx, key, seen.Version)
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

func (e *Election) readEntry(ctx context.Context, key string) (kvstore.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, e.opts.TTL)
	defer cancel()
	entry, err := e.opts.Store.Get(ctx, key)
	if errors.Is(err, kvstore.ErrNotFound) {
		return kvstore.Entry{Key: key}, nil
	}
	return entry, err
}

// watchEntry waits until the key's version differs from after, for at most 1.5 TTLs,
// so that a watch whose connection no longer delivers anything cannot delay a takeover
// for longer. After that time-out it reads the key instead.
func (e *Election) watchEntry(ctx context.Context, key string, after uint64) (kvstore.Entry, error) {
	watchCtx, cancel := context.WithTimeout(ctx, e.opts.TTL*3/2)
	defer cancel()
	entry, err := e.opts.Store.Watch(watchCtx, key, after)
	if err == nil || ctx.Err() != nil || watchCtx.Err() == nil {
		return entry, err
	}
	return e.readEntry(ctx, key)
}

// renewUntilLost renews the lease until the store reports it lost, the term has
// expired by this host's clock or ctx ends. It does not renew an expired term:
// if renewals reached the store but their replies were lost, the lease would keep
// other hosts out while this host could no longer act under it.
func (e *Election) renewUntilLost(ctx context.Context, lease kvstore.Lease) {
	for ctx.Err() == nil {
		pause.For(ctx, e.opts.TTL/renewalsPerTTL)
		sent := e.opts.Now()
		if !e.termValidAt(sent) {
			e.opts.Logger.Warn("term expired: no renewal was confirmed in time")
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, e.opts.TTL/renewalsPerTTL)
		err := e.opts.Store.Renew(callCtx, lease)
		cancel()
		switch {
		case err == nil:
			e.extendTerm(sent)
		case errors.Is(err, kvstore.ErrLeaseLost):
			e.opts.Logger.Warn("lease lost: the store no longer knows it")
			return
		default:
			e.opts.Metrics.GetOrCreateCounter("cyclamentray_election_renewal_failures_total").Inc()
		}
	}
}

func (e *Election) termValidAt(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current.validAt(now)
}

func (e *Election) extendTerm(sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = e.current.extendedFrom(sent)
}

func (e *Election) setScheduler(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scheduler = host
}

// setTerm replaces the term, wakes the receivers of Changed and logs message.
func (e *Election) setTerm(next heldTerm, message string) {
	e.mu.Lock()
	e.current = next
	close(e.termChanged)
	e.termChanged = make(chan struct{})
	e.mu.Unlock()
	e.opts.Metrics.GetOrCreateCounter("cyclamentray_election_changes_total").Inc()
	e.opts.Logger.Info(message, "failureDomain", e.opts.FailureDomain, "term", next.term)
}

// retryDelay returns a random delay of 1 to 2 renewal intervals.
func (e *Election) retryDelay() time.Duration {
	return e.opts.TTL/renewalsPerTTL + time.Duration(e.opts.Random.Int64N(int64(e.opts.TTL/renewalsPerTTL)))
}
