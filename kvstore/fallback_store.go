package kvstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// maxStorePeers is how many peers are tried for one call.
	maxStorePeers = 3
	// peerCallTimeout bounds a call made through a peer, including the peer's
	// own call to the platform.
	peerCallTimeout = urgentTimeout + 500*time.Millisecond
	// peerWatchTimeout bounds a watch made through a peer.
	peerWatchTimeout = storeWatchWait + 2*watchGrace
)

// FallbackStore is a Store that makes its calls through peers while this host
// cannot reach the platform. The extra hop does not make answers look fresher than
// they are, since callers measure their age from before the call was sent.
// It is safe for concurrent use.
type FallbackStore struct {
	local *Guard
	peers peer.Caller
	// addresses returns the peers to call, in order of preference.
	addresses func() []string
}

// NewFallbackStore returns a FallbackStore around the host's own guard. addresses
// returns the peers to call, those of the host's own failure domain first.
func NewFallbackStore(local *Guard, peers peer.Caller, addresses func() []string) *FallbackStore {
	return &FallbackStore{local: local, peers: peers, addresses: addresses}
}

var _ Store = (*FallbackStore)(nil)
var _ HostWatcher = (*FallbackStore)(nil)

// call calls the platform directly, and through peers if it is unavailable to this
// host. While it is known to be down, call skips the direct attempt, or hedges
// urgent calls that allow it.
func (s *FallbackStore) call(ctx context.Context, args CarryArgs, timeout time.Duration) (reply CarryReply, err error) {
	addresses := s.addresses()
	if !s.local.Down() || len(addresses) == 0 {
		if err = s.local.execute(ctx, args, &reply); !errors.Is(err, ErrUnavailable) {
			return reply, err
		}
	} else {
		if isUrgent(ctx) && canHedge(storeOp(args.Op)) {
			return s.hedge(ctx, args, addresses, timeout)
		}
		s.local.probeInBackground()
	}
	if err := s.local.takeBudget(ctx); err != nil {
		return reply, err
	}
	return s.callPeers(ctx, addresses, args, timeout)
}

// canHedge reports whether hedge may make a call: two copies of it are then in
// flight at once.
func canHedge(op storeOp) bool { return op == opGet || op == opRenew }

// callResult is the result of one of the calls that hedge makes.
type callResult struct {
	reply CarryReply
	err   error
}

// hedge calls the platform directly and through peers at the same time and
// returns the first answer: a slow platform may still answer directly in time.
func (s *FallbackStore) hedge(ctx context.Context, args CarryArgs, addresses []string, timeout time.Duration) (CarryReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, 2)
	go func() {
		var r callResult
		r.err = s.local.execute(ctx, args, &r.reply)
		results <- r
	}()
	go func() {
		reply, err := s.callPeers(ctx, addresses, args, timeout)
		results <- callResult{reply, err}
	}()
	first := <-results
	if !errors.Is(first.err, ErrUnavailable) {
		return first.reply, first.err
	}
	second := <-results
	return second.reply, second.err
}

// callPeers tries up to maxStorePeers peers in turn until one reaches the
// platform.
func (s *FallbackStore) callPeers(ctx context.Context, addresses []string, args CarryArgs, timeout time.Duration) (reply CarryReply, err error) {
	for _, address := range addresses[:min(maxStorePeers, len(addresses))] {
		reply, err = s.callPeer(ctx, address, args, timeout)
		if !errors.Is(err, ErrUnavailable) {
			return reply, err
		}
	}
	return reply, failure(ErrUnavailable, errors.New("platform unreachable from this host and through peers"))
}

func (s *FallbackStore) callPeer(ctx context.Context, address string, args CarryArgs, timeout time.Duration) (CarryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply CarryReply
	if err := s.peers.Call(ctx, address, "Platform.Carry", &args, &reply); err != nil {
		return reply, failure(unansweredKind(storeOp(args.Op), err), err)
	}
	s.local.count(args.Op, "carried")
	return reply, failureFromName(reply.Failure)
}

// unansweredKind returns the failure of a call that a peer did not answer. The
// outcome of a write is unknown unless the request was never sent.
func unansweredKind(op storeOp, err error) error {
	if (op == opSwap || op == opAcquire) && !errors.Is(err, peer.ErrNotSent) {
		return ErrAmbiguous
	}
	return ErrUnavailable
}

// Get implements Store.
func (s *FallbackStore) Get(ctx context.Context, key string) (Entry, error) {
	reply, err := s.call(ctx, CarryArgs{Op: string(opGet), Key: key}, peerCallTimeout)
	return reply.Entry, err
}

// Watch implements Store.
func (s *FallbackStore) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	reply, err := s.call(ctx, CarryArgs{Op: string(opWatch), Key: key, Version: after}, peerWatchTimeout)
	return reply.Entry, err
}

// CompareAndSwap implements Store.
func (s *FallbackStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (Entry, error) {
	return swapAndResolve(ctx, s, swapArgs{key: key, value: value, version: version, nonce: newNonce()})
}

// Acquire implements Store.
func (s *FallbackStore) Acquire(ctx context.Context, key string, value []byte, lease Lease) (Entry, error) {
	return acquireAndResolve(ctx, s, acquireArgs{key: key, value: value, lease: lease})
}

func (s *FallbackStore) trySwap(ctx context.Context, a swapArgs) (Entry, error) {
	args := CarryArgs{Op: string(opSwap), Key: a.key, Value: a.value, Version: a.version, Nonce: a.nonce}
	reply, err := s.call(ctx, args, peerCallTimeout)
	return reply.Entry, err
}

func (s *FallbackStore) tryAcquire(ctx context.Context, a acquireArgs) (Entry, error) {
	args := CarryArgs{Op: string(opAcquire), Key: a.key, Value: a.value, Lease: a.lease}
	reply, err := s.call(ctx, args, peerCallTimeout)
	return reply.Entry, err
}

// Grant implements Store.
func (s *FallbackStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	reply, err := s.call(ctx, CarryArgs{Op: string(opGrant), Lease: Lease{TTL: ttl}}, peerCallTimeout)
	return reply.Lease, err
}

// Renew implements Store.
func (s *FallbackStore) Renew(ctx context.Context, lease Lease) error {
	_, err := s.call(Urgent(ctx), CarryArgs{Op: string(opRenew), Lease: lease}, peerCallTimeout)
	return err
}

// Revoke implements Store.
func (s *FallbackStore) Revoke(ctx context.Context, lease Lease) error {
	_, err := s.call(Urgent(ctx), CarryArgs{Op: string(opRevoke), Lease: lease}, peerCallTimeout)
	return err
}

// Delete implements Deleter.
func (s *FallbackStore) Delete(ctx context.Context, key string) error {
	_, err := s.call(ctx, CarryArgs{Op: string(opDelete), Key: key}, peerCallTimeout)
	return err
}

// Hosts implements HostLister.
func (s *FallbackStore) Hosts(ctx context.Context) ([]Host, error) {
	reply, err := s.call(ctx, CarryArgs{Op: string(opHosts)}, peerCallTimeout)
	return reply.Hosts, err
}

// WatchHosts implements HostWatcher.
func (s *FallbackStore) WatchHosts(ctx context.Context, after uint64) ([]Host, uint64, error) {
	reply, err := s.call(ctx, CarryArgs{Op: string(opWatchHosts), Version: after}, peerWatchTimeout)
	return reply.Hosts, reply.Index, err
}
