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
func (m *leaseManager) getOrGrant(ctx context.Context) (kvstore.Lease, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.ID != "" {
		return m.lease, nil
	}
	lease, err := m.store.Grant(ctx, m.ttl)
	if err == nil {
		m.lease = lease
	}
	return lease, err
}

// forget drops a lease that has lapsed, so that getOrGrant requests a new one.
func (m *leaseManager) forget(lease kvstore.Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.ID == lease.ID {
		m.lease = kvstore.Lease{}
	}
}

// renewUntilDone renews the lease at each interval until ctx ends.
func (m *leaseManager) renewUntilDone(ctx context.Context, interval time.Duration) {
	for pause.For(ctx, interval) {
		m.mu.Lock()
		lease := m.lease
		m.mu.Unlock()
		if lease.ID == "" {
			continue
		}
		callCtx, cancel := context.WithTimeout(kvstore.Urgent(ctx), interval)
		err := m.store.Renew(callCtx, lease)
		cancel()
		if errors.Is(err, kvstore.ErrLeaseLost) {
			m.forget(lease)
		}
	}
}

// revokeWithTimeout calls revoke and waits for at most callTimeout.
func (m *leaseManager) revokeWithTimeout(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.revoke(ctx)
}

// revoke ends the lease, so that other hosts can take its shards over at once.
func (m *leaseManager) revoke(ctx context.Context) {
	m.mu.Lock()
	lease := m.lease
	m.lease = kvstore.Lease{}
	m.mu.Unlock()
	if lease.ID != "" {
		_ = m.store.Revoke(ctx, lease)
	}
}
