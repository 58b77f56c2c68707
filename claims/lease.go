package claims

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

func headKey(shard int) string { return fmt.Sprintf("claims/%d/owner", shard) }

// leaseKeeper holds the one lease under which a host owns shards. The lease
// only decides who takes a shard over; what a late owner writes is refused by
// the journal, not by the lease. It is safe for concurrent use.
type leaseKeeper struct {
	store kvstore.Store
	ttl   time.Duration

	mu    sync.Mutex
	lease kvstore.Lease // empty ID: none
}

// get returns the lease, and asks for one when there is none.
func (k *leaseKeeper) get(ctx context.Context) (kvstore.Lease, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease.ID != "" {
		return k.lease, nil
	}
	lease, err := k.store.Grant(ctx, k.ttl)
	if err == nil {
		k.lease = lease
	}
	return lease, err
}

// lost forgets a lease that has lapsed.
func (k *leaseKeeper) lost(lease kvstore.Lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease.ID == lease.ID {
		k.lease = kvstore.Lease{}
	}
}

// run renews the lease until ctx ends.
func (k *leaseKeeper) run(ctx context.Context, interval time.Duration) {
	for pause.For(ctx, interval) {
		k.mu.Lock()
		lease := k.lease
		k.mu.Unlock()
		if lease.ID == "" {
			continue
		}
		callCtx, cancel := context.WithTimeout(kvstore.Urgent(ctx), interval)
		err := k.store.Renew(callCtx, lease)
		cancel()
		if errors.Is(err, kvstore.ErrLeaseLost) {
			k.lost(lease)
		}
	}
}

// drop gives the lease up, so that others may take its shards at once.
func (k *leaseKeeper) drop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.revoke(ctx)
}

func (k *leaseKeeper) revoke(ctx context.Context) {
	k.mu.Lock()
	lease := k.lease
	k.lease = kvstore.Lease{}
	k.mu.Unlock()
	if lease.ID != "" {
		_ = k.store.Revoke(ctx, lease)
	}
}
