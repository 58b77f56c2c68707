package kvstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// maxCarriers is how many peers are asked to carry one call.
	maxCarriers = 3
	// carryTimeout bounds a carried call, the peer's own call included.
	carryTimeout = urgentTimeout + 500*time.Millisecond
	// carryWatchTimeout bounds a carried watch.
	carryWatchTimeout = watchWait + 2*watchSlack
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

// carry makes a call, by this host itself unless the platform is known to be
// down for it, and else through peers.
func (c *FallbackStore) carry(ctx context.Context, args CarryArgs, timeout time.Duration) (reply CarryReply, err error) {
	addresses := c.addresses()
	if !c.local.Down() || len(addresses) == 0 {
		if err = c.local.perform(ctx, args, &reply); !errors.Is(err, ErrUnavailable) {
			return reply, err
		}
	} else {
		if isUrgent(ctx) && repeatable(carryOp(args.Op)) {
			return c.both(ctx, args, addresses, timeout)
		}
		c.local.probe()
	}
	if err := c.local.spend(ctx); err != nil {
		return reply, err
	}
	return c.askAll(ctx, addresses, args, timeout)
}

// repeatable reports whether a call may be made twice at once.
func repeatable(op carryOp) bool { return op == opGet || op == opRenew }

type outcome struct {
	reply CarryReply
	err   error
}

// both makes a call by this host and through peers at once, and takes the first
// answer: a slow platform may still answer in time.
func (c *FallbackStore) both(ctx context.Context, args CarryArgs, addresses []string, timeout time.Duration) (CarryReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, 2)
	go func() {
		var o outcome
		o.err = c.local.perform(ctx, args, &o.reply)
		outcomes <- o
	}()
	go func() {
		reply, err := c.askAll(ctx, addresses, args, timeout)
		outcomes <- outcome{reply, err}
	}()
	first := <-outcomes
	if !errors.Is(first.err, ErrUnavailable) {
		return first.reply, first.err
	}
	second := <-outcomes
	return second.reply, second.err
}

// askAll asks one peer after another until one reaches the platform.
func (c *FallbackStore) askAll(ctx context.Context, addresses []string, args CarryArgs, timeout time.Duration) (reply CarryReply, err error) {
	for _, address := range addresses[:min(maxCarriers, len(addresses))] {
		reply, err = c.ask(ctx, address, args, timeout)
		if !errors.Is(err, ErrUnavailable) {
			return reply, err
		}
	}
	return reply, failure(ErrUnavailable, errors.New("platform reached neither by this host nor through peers"))
}

func (c *FallbackStore) ask(ctx context.Context, address string, args CarryArgs, timeout time.Duration) (CarryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply CarryReply
	if err := c.peers.Call(ctx, address, "Platform.Carry", &args, &reply); err != nil {
		return reply, failure(lost(carryOp(args.Op), err), err)
	}
	c.local.count(args.Op, "carried")
	return reply, failureNamed(reply.Failure)
}

// lost tells what it means that a carried call went without an answer.
func lost(op carryOp, err error) error {
	if (op == opSwap || op == opAcquire) && !errors.Is(err, peer.ErrNotSent) {
		return ErrAmbiguous
	}
	return ErrUnavailable
}

// Get implements Store.
func (c *FallbackStore) Get(ctx context.Context, key string) (Entry, error) {
	reply, err := c.carry(ctx, CarryArgs{Op: string(opGet), Key: key}, carryTimeout)
	return reply.Entry, err
}

// Watch implements Store.
func (c *FallbackStore) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	reply, err := c.carry(ctx, CarryArgs{Op: string(opWatch), Key: key, Version: after}, carryWatchTimeout)
	return reply.Entry, err
}

// CompareAndSwap implements Store.
func (c *FallbackStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (Entry, error) {
	return settleSwap(ctx, c, swapArgs{key: key, value: value, version: version, nonce: newNonce()})
}

// Acquire implements Store.
func (c *FallbackStore) Acquire(ctx context.Context, key string, value []byte, lease Lease) (Entry, error) {
	return settleAcquire(ctx, c, acquireArgs{key: key, value: value, lease: lease})
}

func (c *FallbackStore) swapOnce(ctx context.Context, a swapArgs) (Entry, error) {
	args := CarryArgs{Op: string(opSwap), Key: a.key, Value: a.value, Version: a.version, Nonce: a.nonce}
	reply, err := c.carry(ctx, args, carryTimeout)
	return reply.Entry, err
}

func (c *FallbackStore) acquireOnce(ctx context.Context, a acquireArgs) (Entry, error) {
	args := CarryArgs{Op: string(opAcquire), Key: a.key, Value: a.value, Lease: a.lease}
	reply, err := c.carry(ctx, args, carryTimeout)
	return reply.Entry, err
}

// Grant implements Store.
func (c *FallbackStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	reply, err := c.carry(ctx, CarryArgs{Op: string(opGrant), Lease: Lease{TTL: ttl}}, carryTimeout)
	return reply.Lease, err
}

// Renew implements Store.
func (c *FallbackStore) Renew(ctx context.Context, lease Lease) error {
	_, err := c.carry(Urgent(ctx), CarryArgs{Op: string(opRenew), Lease: lease}, carryTimeout)
	return err
}

// Revoke implements Store.
func (c *FallbackStore) Revoke(ctx context.Context, lease Lease) error {
	_, err := c.carry(Urgent(ctx), CarryArgs{Op: string(opRevoke), Lease: lease}, carryTimeout)
	return err
}

// Delete implements Deleter.
func (c *FallbackStore) Delete(ctx context.Context, key string) error {
	_, err := c.carry(ctx, CarryArgs{Op: string(opDelete), Key: key}, carryTimeout)
	return err
}

// Hosts implements HostLister.
func (c *FallbackStore) Hosts(ctx context.Context) ([]Host, error) {
	reply, err := c.carry(ctx, CarryArgs{Op: string(opHosts)}, carryTimeout)
	return reply.Hosts, err
}

// WatchHosts implements HostWatcher.
func (c *FallbackStore) WatchHosts(ctx context.Context, after uint64) ([]Host, uint64, error) {
	reply, err := c.carry(ctx, CarryArgs{Op: string(opWatchHosts), Version: after}, carryWatchTimeout)
	return reply.Hosts, reply.Index, err
}
