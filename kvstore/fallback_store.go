package kvstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// maxStorePeers is how many peers are asked to carry one call.
	maxStorePeers = 3
	// peerCallTimeout bounds a carried call, the peer's own call included.
	peerCallTimeout = urgentTimeout + 500*time.Millisecond
	// peerWatchTimeout bounds a carried watch.
	peerWatchTimeout = storeWatchWait + 2*watchGrace
)

// FallbackStore is a Store that turns to peers while this host does not reach the
// platform. Freshness is not lost by that: callers count from before they sent.
// It is safe for concurrent use.
type FallbackStore struct {
	local *Guard
	peers peer.Caller
	// addresses returns the peers to ask, best first.
	addresses func() []string
}

// NewFallbackStore returns a carrier around a host's own guard. addresses returns the
// peers to ask, those of the own failure domain first.
func NewFallbackStore(local *Guard, peers peer.Caller, addresses func() []string) *FallbackStore {
	return &FallbackStore{local: local, peers: peers, addresses: addresses}
}

var _ Store = (*FallbackStore)(nil)
var _ HostWatcher = (*FallbackStore)(nil)

// call makes a call, by this host itself unless the platform is known to be
// down for it, and else through peers.
func (c *FallbackStore) call(ctx context.Context, args CarryArgs, timeout time.Duration) (reply CarryReply, err error) {
	addresses := c.addresses()
	if !c.local.Down() || len(addresses) == 0 {
		if err = c.local.execute(ctx, args, &reply); !errors.Is(err, ErrUnavailable) {
			return reply, err
		}
	} else {
		if isUrgent(ctx) && canHedge(storeOp(args.Op)) {
			return c.hedge(ctx, args, addresses, timeout)
		}
		c.local.probeInBackground()
	}
	if err := c.local.takeBudget(ctx); err != nil {
		return reply, err
	}
	return c.callPeers(ctx, addresses, args, timeout)
}

// canHedge reports whether a call may be made twice at once.
func canHedge(op storeOp) bool { return op == opGet || op == opRenew }

type callResult struct {
	reply CarryReply
	err   error
}

// hedge makes a call by this host and through peers at once, and takes the first
// answer: a slow platform may still answer in time.
func (c *FallbackStore) hedge(ctx context.Context, args CarryArgs, addresses []string, timeout time.Duration) (CarryReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, 2)
	go func() {
		var o callResult
		o.err = c.local.execute(ctx, args, &o.reply)
		results <- o
	}()
	go func() {
		reply, err := c.callPeers(ctx, addresses, args, timeout)
		results <- callResult{reply, err}
	}()
	first := <-results
	if !errors.Is(first.err, ErrUnavailable) {
		return first.reply, first.err
	}
	second := <-results
	return second.reply, second.err
}

// callPeers asks one peer after another until one reaches the platform.
func (c *FallbackStore) callPeers(ctx context.Context, addresses []string, args CarryArgs, timeout time.Duration) (reply CarryReply, err error) {
	for _, address := range addresses[:min(maxStorePeers, len(addresses))] {
		reply, err = c.callPeer(ctx, address, args, timeout)
		if !errors.Is(err, ErrUnavailable) {
			return reply, err
		}
	}
	return reply, failure(ErrUnavailable, errors.New("platform reached neither by this host nor through peers"))
}

func (c *FallbackStore) callPeer(ctx context.Context, address string, args CarryArgs, timeout time.Duration) (CarryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply CarryReply
	if err := c.peers.Call(ctx, address, "Platform.Carry", &args, &reply); err != nil {
		return reply, failure(unansweredKind(storeOp(args.Op), err), err)
	}
	c.local.count(args.Op, "carried")
	return reply, failureFromName(reply.Failure)
}

// unansweredKind tells what it means that a carried call went without an answer.
func unansweredKind(op storeOp, err error) error {
	if (op == opSwap || op == opAcquire) && !errors.Is(err, peer.ErrNotSent) {
		return ErrAmbiguous
	}
	return ErrUnavailable
}

// Get implements Store.
func (c *FallbackStore) Get(ctx context.Context, key string) (Entry, error) {
	reply, err := c.call(ctx, CarryArgs{Op: string(opGet), Key: key}, peerCallTimeout)
	return reply.Entry, err
}

// Watch implements Store.
func (c *FallbackStore) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	reply, err := c.call(ctx, CarryArgs{Op: string(opWatch), Key: key, Version: after}, peerWatchTimeout)
	return reply.Entry, err
}

// CompareAndSwap implements Store.
func (c *FallbackStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (Entry, error) {
	return swapAndResolve(ctx, c, swapArgs{key: key, value: value, version: version, nonce: newNonce()})
}

// Acquire implements Store.
func (c *FallbackStore) Acquire(ctx context.Context, key string, value []byte, lease Lease) (Entry, error) {
	return acquireAndResolve(ctx, c, acquireArgs{key: key, value: value, lease: lease})
}

func (c *FallbackStore) swapOnce(ctx context.Context, a swapArgs) (Entry, error) {
	args := CarryArgs{Op: string(opSwap), Key: a.key, Value: a.value, Version: a.version, Nonce: a.nonce}
	reply, err := c.call(ctx, args, peerCallTimeout)
	return reply.Entry, err
}

func (c *FallbackStore) acquireOnce(ctx context.Context, a acquireArgs) (Entry, error) {
	args := CarryArgs{Op: string(opAcquire), Key: a.key, Value: a.value, Lease: a.lease}
	reply, err := c.call(ctx, args, peerCallTimeout)
	return reply.Entry, err
}

// Grant implements Store.
func (c *FallbackStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	reply, err := c.call(ctx, CarryArgs{Op: string(opGrant), Lease: Lease{TTL: ttl}}, peerCallTimeout)
	return reply.Lease, err
}

// Renew implements Store.
func (c *FallbackStore) Renew(ctx context.Context, lease Lease) error {
	_, err := c.call(Urgent(ctx), CarryArgs{Op: string(opRenew), Lease: lease}, peerCallTimeout)
	return err
}

// Revoke implements Store.
func (c *FallbackStore) Revoke(ctx context.Context, lease Lease) error {
	_, err := c.call(Urgent(ctx), CarryArgs{Op: string(opRevoke), Lease: lease}, peerCallTimeout)
	return err
}

// Delete implements Deleter.
func (c *FallbackStore) Delete(ctx context.Context, key string) error {
	_, err := c.call(ctx, CarryArgs{Op: string(opDelete), Key: key}, peerCallTimeout)
	return err
}

// Hosts implements HostLister.
func (c *FallbackStore) Hosts(ctx context.Context) ([]Host, error) {
	reply, err := c.call(ctx, CarryArgs{Op: string(opHosts)}, peerCallTimeout)
	return reply.Hosts, err
}

// WatchHosts implements HostWatcher.
func (c *FallbackStore) WatchHosts(ctx context.Context, after uint64) ([]Host, uint64, error) {
	reply, err := c.call(ctx, CarryArgs{Op: string(opWatchHosts), Version: after}, peerWatchTimeout)
	return reply.Hosts, reply.Index, err
}
