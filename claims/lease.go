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

func ownerKey(shard int) string { return fmt.Sprintf("claims/%d/owner", shard) }

// leaseManager holds the one lease under which a host owns shards. The lease
// only decides who takes a shard over; what a late owner writes is refused by
// the journal, not by the lease. It is safe for concurrent use.
type leaseManager struct {
	store kvstore.Store
	ttl   time.Duration

	mu    sync.Mutex
	lease kvstore.Lease // empty ID: none
}

// getOrGrant returns the lease, and asks for one when there is none.
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

// forget forgets a lease that has lapsed.
func (k *leaseManager) forget(lease kvstore.Lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease.ID == lease.ID {
		k.lease = kvstore.Lease{}
	}
}

// renewUntilDone renews the lease until ctx ends.
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

// revokeWithTimeout gives the lease up, so that others may take its shards at once.
func (k *leaseManager) revokeWithTimeout(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.revoke(ctx)
}

func (k *leaseManager) revoke(ctx context.Context) {
	k.mu.Lock()
	lease := k.lease
	k.lease = kvstore.Lease{}
	k.mu.Unlock()
	if lease.ID != "" {
		_ = k.store.Revoke(ctx, lease)
	}
}
