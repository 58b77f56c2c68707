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

// Defaults of Options.
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
	renewalsPerTTL        = 3
	takeOverDelayPerShard = 300 * time.Millisecond // for each shard already owned
	ownerRetryInterval    = 50 * time.Millisecond
	expireInterval        = time.Minute
	watchTimeout          = 15 * time.Second // the store answers a watch within 10 s
	incarnationBytes      = 8                // random bytes in an incarnation's name
	boundSeparator        = "~"              // between the incarnation and the caller's part of a bound key
)

// Options configures a Service. Shards, Segments and EventsPerSegment must be
// the same on every entry host.
type Options struct {
	Now              func() time.Time // nil: time.Now
	Logger           *log.Logger      // nil: nothing is logged
	Metrics          *metrics.Set     // nil: none are kept
	Store            kvstore.Store
	Peers            peer.Caller
	Membership       membership.Source
	Shards           int           // number of shards that the keys are spread over
	Segments         int           // number of values in the ring of a shard's log
	EventsPerSegment int           // maximum; each key takes two events
	Retention        time.Duration // minimum time for which a key is kept
	CommitInterval   time.Duration // minimum time between two writes of a shard
	CompletionDelay  time.Duration // maximum time for which a completion is queued before it is written
	LeaseTTL         time.Duration // TTL of the lease under which this host owns shards

	commits *metrics.Counter // set by withDefaults
	grants  *metrics.Counter // set by withDefaults
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

// owner is the value of a shard's owner key: the entry host that owns the shard.
type owner struct {
	Name        string `json:"name"`
	Address     string `json:"address"` // IP:port of its peer listener
	Incarnation string `json:"incarnation"`
}

// Service claims keys for the requests of this entry host, and for those of
// other entry hosts whose keys' shards it owns. It is safe for concurrent use.
type Service struct {
	opts        Options
	incarnation string
	lease       leaseManager

	storeFailing atomic.Bool // the last read of an owner key failed

	mu     sync.Mutex
	owned  map[int]*shard
	owners map[int]owner // by shard, as last read from the store

	boundMu sync.Mutex
	bound   *table // keys bound to this incarnation
}

// New returns a service. It owns no shards before Run is called.
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

// Incarnation returns the prefix of keys bound to this process. A claim of a key
// of the form "<incarnation>~<caller's key>" needs no platform.
func (s *Service) Incarnation() string { return s.incarnation }

// Claim requests the right to execute a key's request. It returns Granted to one
// attempt only, until that attempt is completed as not run. An error means that
// nothing was granted. While the shard's owner changes, Claim retries until ctx
// ends.
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

// shardOf returns the index of a key's shard.
func (s *Service) shardOf(k Key) int {
	h := hashKey(k)
	return int(h[0]) % s.opts.Shards
}

// callOwner runs local when this host owns the key's shard, and calls the owner
// otherwise. It retries while the owner changes, until ctx ends. While the
// platform cannot be reached the owner cannot change, so callOwner returns
// ErrUnavailable without retrying.
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

// callOwnerOnce makes one attempt of callOwner. It returns errNotOwner when a
// retry may succeed.
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

// remoteError restores the type of an error that a peer returned: net/rpc sends
// only its text. Errors of unknown text become errNotOwner.
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

// Run takes shards over and serves them until ctx ends. It then revokes the
// lease, so that other hosts can take the shards over.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for index := range s.opts.Shards {
		wg.Go(func() { s.superviseShard(ctx, index) })
	}
	wg.Go(func() { s.lease.renewUntilDone(ctx, s.opts.LeaseTTL/renewalsPerTTL) })
	wg.Go(func() { s.expireUntilDone(ctx) })
	wg.Wait()
	handoverCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	s.lease.revoke(handoverCtx)
	return nil
}

// expireUntilDone removes expired records at each expireInterval until ctx ends.
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

// superviseShard watches a shard's owner key, and takes the shard over and serves
// it when no host holds it.
func (s *Service) superviseShard(ctx context.Context, index int) {
	key := ownerKey(index)
	version := uint64(0)
	backoff := initialBackoff
	immediate := true
	for ctx.Err() == nil {
		entry, err := s.readOwnerKey(ctx, key, version, immediate)
		s.storeFailing.Store(err != nil)
		if err != nil {
			immediate = true
			pause.For(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff, immediate = initialBackoff, false
		version = entry.Version
		s.recordOwner(index, entry)
		if entry.Lease != "" {
			continue
		}
		if !pause.For(ctx, s.takeOverDelay()) {
			return
		}
		if term, ok := s.acquire(ctx, index); ok {
			s.serveShard(ctx, index, term)
		}
		immediate = true // read the owner key now instead of waiting for its next change
	}
}

// readOwnerKey returns the entry of an owner key: at once if immediate is set,
// otherwise when its version differs from seen or the watch times out.
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

// recordOwner stores the owner that an owner key names, for callOwner.
func (s *Service) recordOwner(index int, entry kvstore.Entry) {
	var o owner
	if len(entry.Value) > 0 {
		if err := json.Unmarshal(entry.Value, &o); err != nil {
			s.opts.Logger.Warn("decoding the owner of a claims shard failed", "shard", index, "err", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners[index] = o
}

// takeOverDelay returns how long this host waits before it takes over one more
// shard. It grows with the number of shards that the host owns, so that the
// shards spread over the hosts.
func (s *Service) takeOverDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(len(s.owned)) * takeOverDelayPerShard
}

// acquire makes this host the owner of a shard in the store. The term is the
// version of the owner key.
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

// serveShard opens a shard that this host has acquired, and serves it until
// another host takes it over or ctx ends.
func (s *Service) serveShard(ctx context.Context, index int, term uint64) {
	sh, err := openShard(ctx, &s.opts, index, term)
	if err != nil {
		s.opts.Logger.Warn("taking over a claims shard failed", "shard", index, "err", err)
		s.lease.revokeWithTimeout(ctx)
		pause.For(ctx, maxBackoff)
		return
	}
	s.opts.Logger.Info("claims shard taken over", "shard", index, "term", term)
	s.setOwned(index, sh)
	defer s.setOwned(index, nil)
	shardCtx, cancel := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() { s.watchTerm(shardCtx, index, term, cancel) })
	err = sh.run(shardCtx)
	cancel()
	watching.Wait()
	if ctx.Err() == nil {
		s.opts.Logger.Warn("claims shard lost", "shard", index, "err", err)
	}
}

// watchTerm calls onLost when another host has acquired the shard.
func (s *Service) watchTerm(ctx context.Context, index int, term uint64, onLost func()) {
	version, failed := term, false
	for ctx.Err() == nil {
		entry, err := s.readOwnerKey(ctx, ownerKey(index), version, failed)
		failed = err != nil
		if err != nil {
			pause.For(ctx, maxBackoff)
			continue
		}
		version = entry.Version
		if entry.Version != term {
			onLost()
			return
		}
	}
}

// setOwned records that this host owns a shard; nil: that it no longer does.
func (s *Service) setOwned(index int, sh *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sh == nil {
		delete(s.owned, index)
		return
	}
	s.owned[index] = sh
}
