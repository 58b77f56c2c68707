package dispatch

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	// termTTL is the lease duration that a term asks for: a failed leader is replaced
	// after it, and a leader that can't reach the store sends no starts after it. The
	// store may apply another one, and that counts.
	termTTL = 2 * time.Second

	renewalsPerTTL = 4                       // renewals of a term's lease in the time that it lasts
	renewTimeout   = 900 * time.Millisecond  // above the slowest store's latency, below the remaining lease
	watchInterval  = 500 * time.Millisecond  // at which a candidate looks at the leader without a change
	termMargin     = 200 * time.Millisecond  // for call latency and timers that fire late
	acquireJitter  = 120 * time.Millisecond  // spreads the candidates' attempts when a term ends
	acquireTimeout = 1500 * time.Millisecond // two calls to a slow store

	// minTermBeforeYield is how long a host leads before it may yield to a much
	// stronger one. yieldCooldown is how long after a yield it may not yield again:
	// the stronger host may still be registered although it is gone.
	minTermBeforeYield = 1500 * time.Millisecond
	yieldCooldown      = 20 * time.Second

	// yieldMinDelay is the AcquireDelay from which a host counts as much weaker
	// than the strongest one.
	yieldMinDelay = 300 * time.Millisecond
)

// Term is one host's authority to schedule, backed by a lease in the store. It is
// safe for concurrent use.
type Term struct {
	Token uint64        // fencing token: the store's revision, higher than in every earlier term
	lease uint64        // ID in the store
	ttl   time.Duration // of the lease, as the store applies it

	mu      sync.Mutex
	renewed steady.Time // when the last successful renewal was sent
	ended   bool
	cancel  context.CancelFunc
}

// Valid reports whether starts may be sent.
func (t *Term) Valid() bool { return t.validAt(steady.Now()) }

func (t *Term) validAt(now steady.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && now.Before(t.renewed.Add(t.ttl-termMargin))
}

// RunnerLeaseLimit returns the latest time to which a runner's lease of the given
// duration may be extended. A later leader waits only this long for a runner that
// it can't reach.
func (t *Term) RunnerLeaseLimit(lease time.Duration) steady.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.renewed.Add(t.ttl + lease)
}

// End ends the term on this host and cancels its scheduling.
func (t *Term) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.cancel()
}

// Candidate competes for the term and leads while it holds it.
type Candidate struct {
	Store        kvstore.Keyspace
	Replica      *ledger.Replica
	Host         string
	Log          *log.Logger
	Lead         func(ctx context.Context, t *Term)
	AcquireDelay func() time.Duration // wait before each attempt to acquire the term; nil: none

	lastYield steady.Time // when this host last yielded to a stronger one
}

// Run competes for the term until ctx ends, and then gives it up.
func (c *Candidate) Run(ctx context.Context) {
	changed, stopWatch := c.Replica.Watch()
	defer stopWatch()
	for ctx.Err() == nil {
		if !c.Replica.Loaded() || c.Replica.Leader() != (ledger.Leader{}) {
			waitForChange(ctx, changed, watchInterval)
			continue
		}
		if !pause.For(ctx, rand.N(acquireJitter)+c.acquireDelay()) || c.Replica.Leader() != (ledger.Leader{}) {
			continue
		}
		term, err := c.acquireTerm(ctx)
		if err != nil {
			c.Log.Debug("term not acquired", "err", err)
			pause.For(ctx, acquireJitter)
			continue
		}
		c.leadTerm(ctx, term)
	}
}

func (c *Candidate) acquireDelay() time.Duration {
	if c.AcquireDelay == nil {
		return 0
	}
	return c.AcquireDelay()
}

func waitForChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

func (c *Candidate) acquireTerm(ctx context.Context) (*Term, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	began := steady.Now()
	grant, err := c.Store.Grant(ctx, termTTL)
	if err != nil {
		return nil, err
	}
	if grant.TTL <= termMargin {
		return nil, errors.Newf("the store applies %s to the term's lease; a term needs more than %s", grant.TTL, termMargin)
	}
	if grant.TTL != termTTL {
		c.Log.Info("the store applies another duration to the term's lease", "asked", termTTL, "applied", grant.TTL)
	}
	value := c.Host + "/" + strconv.FormatUint(grant.ID, 10)
	revision, err := c.Store.Commit(ctx, kvstore.Txn{
		If:   []kvstore.Condition{{Key: ledger.LeaderKey}},
		Puts: []kvstore.Put{{Key: ledger.LeaderKey, Value: []byte(value), Lease: grant.ID}},
	})
	if errors.Is(err, kvstore.ErrAmbiguous) || errors.Is(err, kvstore.ErrConflict) {
		revision, err = c.readBackTerm(ctx, value)
	}
	if err != nil {
		return nil, err
	}
	return &Term{Token: revision, lease: grant.ID, ttl: grant.TTL, renewed: began}, nil
}

// readBackTerm reads whether a commit with an unclear outcome acquired the term. It
// returns the term's token.
func (c *Candidate) readBackTerm(ctx context.Context, value string) (uint64, error) {
	item, err := c.Store.Get(ctx, ledger.LeaderKey)
	if err != nil {
		return 0, err
	}
	if string(item.Value) != value {
		return 0, kvstore.ErrHeld
	}
	return item.Revision, nil
}

func (c *Candidate) leadTerm(ctx context.Context, t *Term) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.cancel = cancel
	c.Log.Info("term acquired", "token", t.Token)
	var renewing sync.WaitGroup
	renewing.Go(func() { c.renewTerm(termCtx, t) })
	c.Lead(termCtx, t)
	t.End()
	renewing.Wait()
	c.Log.Info("term ended", "token", t.Token)
	revokeCtx, cancelRevoke := context.WithTimeout(context.WithoutCancel(ctx), renewTimeout)
	defer cancelRevoke()
	if err := c.Store.Revoke(revokeCtx, t.lease); err != nil && !errors.Is(err, kvstore.ErrLeaseLost) {
		c.Log.Warn("term's lease not revoked; it will expire", "token", t.Token, "err", err)
	}
}

// shouldYield reports whether this host should yield the term to a much stronger
// one.
func (c *Candidate) shouldYield(began, now steady.Time) bool {
	if c.acquireDelay() < yieldMinDelay || now.Sub(began) < minTermBeforeYield {
		return false
	}
	return c.lastYield.IsZero() || now.Sub(c.lastYield) > yieldCooldown
}

// renewTerm renews the term's lease until the term ends. A store that doesn't
// answer doesn't end the term: it may have paused the lease.
func (c *Candidate) renewTerm(ctx context.Context, t *Term) {
	began := steady.Now()
	for pause.For(ctx, t.ttl/renewalsPerTTL) {
		sent := steady.Now()
		if c.shouldYield(began, sent) {
			c.Log.Info("term yielded to a stronger host", "token", t.Token)
			c.lastYield = sent
			t.End()
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, min(renewTimeout, t.ttl/2))
		err := c.Store.Renew(callCtx, t.lease)
		cancel()
		switch {
		case err == nil:
			t.mu.Lock()
			t.renewed = sent
			t.mu.Unlock()
		case errors.Is(err, kvstore.ErrLeaseLost):
			c.Log.Warn("term lost: its lease has ended", "token", t.Token)
			t.End()
			return
		}
		if leader := c.Replica.Leader(); leader.Revision > t.Token {
			c.Log.Warn("term lost: another host leads", "token", t.Token, "leader", leader.Value)
			t.End()
			return
		}
	}
}
