package claims

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/internal/defaults"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/peer"
)

// The defaults of Options.
const (
	DefaultShards           = 2
	DefaultSegments         = 256
	DefaultEventsPerSegment = 1024
	DefaultRetention        = time.Hour
	DefaultCommitInterval   = 100 * time.Millisecond
	DefaultCompletionDelay  = time.Second
	DefaultLeaseTTL         = 6 * time.Second
)

const (
	renewalsPerTTL    = 3 // a lease is renewed this often in its TTL
	takeOverDelayPerShard   = 300 * time.Millisecond
	ownerRetryInterval       = 50 * time.Millisecond
	expireInterval   = time.Minute
	watchTimeout     = 15 * time.Second // the store answers a watch within 10 s
	incarnationBytes = 8
	boundSeparator   = "~"
)

// Options are what a Service needs. Shards, Segments and EventsPerSegment must
// be the same on every entry host.
type Options struct {
	Now              func() time.Time // nil: time.Now
	Logger           *log.Logger      // nil: nothing is logged
	Metrics          *metrics.Set     // nil: none are kept
	Store            kvstore.Store
	Peers            peer.Caller
	Membership       membership.Source
	Shards           int
	Segments         int           // values in the ring of a shard's log
	EventsPerSegment int           // two events a key
	Retention        time.Duration // how long a key is kept at least
	CommitInterval   time.Duration // least time between two writes of a shard
	CompletionDelay  time.Duration // longest wait of an attempt's end for a write
	LeaseTTL         time.Duration

	commits *metrics.Counter
	grants  *metrics.Counter
}

func (o Options) withDefaults() Options {
	setDefault(&o.Shards, DefaultShards)
	setDefault(&o.Segments, DefaultSegments)
	setDefault(&o.EventsPerSegment, DefaultEventsPerSegment)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.CommitInterval, DefaultCommitInterval)
	setDefault(&o.CompletionDelay, DefaultCompletionDelay)
	setDefault(&o.LeaseTTL, DefaultLeaseTTL)
	o.Now = defaults.Now(o.Now)
	o.Logger = defaults.Logger(o.Logger)
	o.Metrics = defaults.Metrics(o.Metrics)
	o.commits = o.Metrics.GetOrCreateCounter("cyclamentray_claims_commits_total")
	o.grants = o.Metrics.GetOrCreateCounter("cyclamentray_claims_grants_total")
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// owner is the value of a shard's head key.
type owner struct {
	Name        string `json:"name"`
	Address     string `json:"address"` // IP:port of its peer listener
	Incarnation string `json:"incarnation"`
}

// Service claims keys for the requests of this entry host, and for those of
// others whose keys' shards it owns. It is safe for concurrent use.
type Service struct {
	opts        Options
	incarnation string
	lease       leaseManager

	storeFailing atomic.Bool // the last read of a shard's head failed

	mu     sync.Mutex
	owned  map[int]*shard
	owners map[int]owner // as last read

	boundMu sync.Mutex
	bound   *table // keys bound to this incarnation
}

// New returns a service. It owns no shard until Run runs.
func New(o Options) *Service {
	o = o.withDefaults()
	s := &Service{
		opts:   o,
		owned:  make(map[int]*shard),
		owners: make(map[int]owner),
		bound:  newTable(),
	}
	var random [incarnationBytes]byte
	_, _ = rand.Read(random[:])
	s.incarnation = o.Membership.View().Self.Name + "." + hex.EncodeToString(random[:])
	s.lease = leaseManager{store: o.Store, ttl: o.LeaseTTL}
	return s
}

// Incarnation returns the prefix of keys bound to this process: a caller that
// sends "<incarnation>~<its own key>" needs no platform for its claim.
func (s *Service) Incarnation() string { return s.incarnation }

// Claim asks for the right to execute a key. It returns Granted for one attempt
// of a key only, until that attempt is completed as not run. An error means
// that nothing was granted. It waits for a change of owner while ctx lasts.
func (s *Service) Claim(ctx context.Context, req Request) (Reply, error) {
	if incarnation, ok := boundIncarnation(req.Key.Key); ok {
		return s.claimBound(ctx, incarnation, req)
	}
	var reply Reply
	err := s.callOwner(ctx, req.Key, "Claims.Claim", req, &reply, func(sh *shard) (err error) {
		reply, err = sh.claim(ctx, req)
		return err
	})
	return reply, err
}

// Complete records how a granted attempt ended.
func (s *Service) Complete(ctx context.Context, c Completion) error {
	if incarnation, ok := boundIncarnation(c.Key.Key); ok {
		return s.completeBound(ctx, incarnation, c)
	}
	var ack Ack
	return s.callOwner(ctx, c.Key, "Claims.Complete", c, &ack, func(sh *shard) error { return sh.complete(c) })
}

// Outcome looks a key up without claiming it.
func (s *Service) Outcome(ctx context.Context, k Key) (Reply, error) {
	if incarnation, ok := boundIncarnation(k.Key); ok {
		return s.lookupBound(ctx, incarnation, k)
	}
	var reply Reply
	err := s.callOwner(ctx, k, "Claims.Outcome", k, &reply, func(sh *shard) (err error) {
		reply, err = sh.lookup(k)
		return err
	})
	return reply, err
}

// shardOf returns the shard of a key.
func (s *Service) shardOf(k Key) int {
	h := hashKey(k)
	return int(h[0]) % s.opts.Shards
}

// callOwner runs local when this host owns the key's shard, and calls the owner
// otherwise. It retries while the owner changes, until ctx ends; without the
// platform no owner can change, so it gives up then.
func (s *Service) callOwner(ctx context.Context, k Key, method string, args, reply any, local func(*shard) error) error {
	index := s.shardOf(k)
	for {
		err := s.callOwnerOnce(ctx, index, method, args, reply, local)
		if !errors.Is(err, errNotOwner) {
			return err
		}
		if s.storeFailing.Load() || !pause.For(ctx, ownerRetryInterval) {
			return ErrUnavailable
		}
	}
}

// callOwnerOnce returns errNotOwner when another try may succeed.
func (s *Service) callOwnerOnce(ctx context.Context, index int, method string, args, reply any, local func(*shard) error) error {
	s.mu.Lock()
	sh, to := s.owned[index], s.owners[index]
	s.mu.Unlock()
	if sh != nil {
		return local(sh)
	}
	if to.Address == "" || to.Incarnation == s.incarnation {
		return errNotOwner
	}
	err := s.opts.Peers.Call(ctx, to.Address, method, args, reply)
	return remoteError(err)
}

// remoteError gives an error that crossed a peer connection its type back.
func remoteError(err error) error {
	if err == nil {
		return nil
	}
	for _, known := range []*apierr.Error{ErrUnavailable, errKeysFull} {
		if strings.Contains(err.Error(), known.Message) {
			return known
		}
	}
	return errNotOwner
}

// Run keeps this host's shards until ctx ends, and then hands them over.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for index := range s.opts.Shards {
		wg.Go(func() { s.superviseShard(ctx, index) })
	}
	wg.Go(func() { s.lease.renewUntilDone(ctx, s.opts.LeaseTTL/renewalsPerTTL) })
	wg.Go(func() { s.expireUntilDone(ctx) })
	wg.Wait()
	handover, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	s.lease.revoke(handover)
	return nil
}

func (s *Service) expireUntilDone(ctx context.Context) {
	for pause.For(ctx, expireInterval) {
		s.mu.Lock()
		for _, sh := range s.owned {
			sh.expire()
		}
		s.mu.Unlock()
		s.boundMu.Lock()
		s.bound.expire(s.opts.Now().Add(-s.opts.Retention))
		s.boundMu.Unlock()
	}
}

// superviseShard watches a shard's head key and takes the shard over when nobody holds it.
func (s *Service) superviseShard(ctx context.Context, index int) {
	key := ownerKey(index)
	version := uint64(0)
	backoff := initialBackoff
	immediate := true
	for ctx.Err() == nil {
		head, err := s.readOwnerKey(ctx, key, version, immediate)
		s.storeFailing.Store(err != nil)
		if err != nil {
			immediate = true
			pause.For(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff, immediate = initialBackoff, false
		version = head.Version
		s.recordOwner(index, head)
		if head.Lease != "" {
			continue
		}
		if !pause.For(ctx, s.takeOverDelay()) {
			return
		}
		if term, ok := s.acquire(ctx, index); ok {
			s.serveShard(ctx, index, term)
		}
		immediate = true // read the head again now, not after the next change
	}
}

func (s *Service) readOwnerKey(ctx context.Context, key string, seen uint64, immediate bool) (kvstore.Entry, error) {
	if !immediate {
		ctx, cancel := context.WithTimeout(ctx, watchTimeout)
		defer cancel()
		return s.opts.Store.Watch(ctx, key, seen)
	}
	ctx, cancel := context.WithTimeout(kvstore.Urgent(ctx), callTimeout)
	defer cancel()
	e, err := s.opts.Store.Get(ctx, key)
	if errors.Is(err, kvstore.ErrNotFound) {
		return kvstore.Entry{Key: key}, nil
	}
	return e, err
}

func (s *Service) recordOwner(index int, head kvstore.Entry) {
	var o owner
	if len(head.Value) > 0 {
		if err := json.Unmarshal(head.Value, &o); err != nil {
			s.opts.Logger.Warn("A shard's owner is unreadable", "shard", index, "err", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners[index] = o
}

// takeOverDelay spreads the shards over the hosts: one that owns some lets
// others go first.
func (s *Service) takeOverDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(len(s.owned)) * takeOverDelayPerShard
}

func (s *Service) acquire(ctx context.Context, index int) (term uint64, ok bool) {
	self := s.opts.Membership.View().Self
	value, err := json.Marshal(owner{Name: self.Name, Address: self.PeerAddress, Incarnation: s.incarnation})
	if err != nil {
		return 0, false
	}
	callCtx, cancel := context.WithTimeout(kvstore.Urgent(ctx), callTimeout)
	defer cancel()
	lease, err := s.lease.getOrGrant(callCtx)
	if err != nil {
		pause.For(ctx, initialBackoff)
		return 0, false
	}
	e, err := s.opts.Store.Acquire(callCtx, ownerKey(index), value, lease)
	if err != nil {
		if errors.Is(err, kvstore.ErrConflict) || errors.Is(err, kvstore.ErrLeaseLost) {
			s.lease.forget(lease)
		}
		pause.For(ctx, initialBackoff)
		return 0, false
	}
	return e.Version, true
}

// serveShard owns a shard until another host takes it over or ctx ends.
func (s *Service) serveShard(ctx context.Context, index int, term uint64) {
	sh, err := openShard(ctx, &s.opts, index, term)
	if err != nil {
		s.opts.Logger.Warn("Taking a shard of claims over failed", "shard", index, "err", err)
		s.lease.revokeWithTimeout(ctx)
		pause.For(ctx, maxBackoff)
		return
	}
	s.opts.Logger.Info("Owning a shard of claims", "shard", index, "term", term)
	s.setOwned(index, sh)
	defer s.setOwned(index, nil)
	shardCtx, cancel := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() { s.watchTerm(shardCtx, index, term, cancel) })
	err = sh.run(shardCtx)
	cancel()
	watching.Wait()
	if ctx.Err() == nil {
		s.opts.Logger.Warn("Lost a shard of claims", "shard", index, "err", err)
	}
}

// watchTerm ends the holding when another host has acquired the shard.
func (s *Service) watchTerm(ctx context.Context, index int, term uint64, onLost func()) {
	version, failed := term, false
	for ctx.Err() == nil {
		head, err := s.readOwnerKey(ctx, ownerKey(index), version, failed)
		failed = err != nil
		if err != nil {
			pause.For(ctx, maxBackoff)
			continue
		}
		version = head.Version
		if head.Version != term {
			onLost()
			return
		}
	}
}

func (s *Service) setOwned(index int, sh *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sh == nil {
		delete(s.owned, index)
		return
	}
	s.owned[index] = sh
}
