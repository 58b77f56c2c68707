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

// ownerKey returns the store key that names a shard's owner.
func ownerKey(shard int) string { return fmt.Sprintf("claims/%d/owner", shard) }

// leaseManager holds the one lease under which a host owns shards. The lease
// only decides which host takes a shard over. Writes of an owner whose lease has
// lapsed are refused by the journal's compare-and-swap, not by the lease. It is
// safe for concurrent use.
type leaseManager struct {
	store kvstore.Store
	ttl   time.Duration

	mu    sync.Mutex
	lease kvstore.Lease // empty ID: none
}

// getOrGrant returns the lease, and requests one from the store when there is
// none.
func (k *leaseManager) getOrGrant(ctx context.Context) (kvstore.Lease, error) {
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

// forget drops a lease that has lapsed, so that getOrGrant requests a new one.
func (k *leaseManager) forget(lease kvstore.Lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease.ID == lease.ID {
		k.lease = kvstore.Lease{}
	}
}

// renewUntilDone renews the lease at each interval until ctx ends.
func (k *leaseManager) renewUntilDone(ctx context.Context, interval time.Duration) {
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
			k.forget(lease)
		}
	}
}

// revokeWithTimeout calls revoke and waits for at most callTimeout.
func (k *leaseManager) revokeWithTimeout(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.revoke(ctx)
}

// revoke ends the lease, so that other hosts can take its shards over at once.
func (k *leaseManager) revoke(ctx context.Context) {
	k.mu.Lock()
	lease := k.lease
	k.lease = kvstore.Lease{}
	k.mu.Unlock()
	if lease.ID != "" {
		_ = k.store.Revoke(ctx, lease)
	}
}
