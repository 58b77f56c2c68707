package kvstore

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// directAgain is how long a host that can't reach the store asks its peers
	// first before it tries by itself again.
	directAgain = 1500 * time.Millisecond

	// directShare is the part of a call's time that the direct try may take
	// when peers could carry it.
	directShare = 0.45

	carriers = 2 // peers asked for one call
)

// Fallback is a Keyspace that asks peers to carry its calls while the store
// does not answer it. It is safe for concurrent use.
type Fallback struct {
	Direct Keyspace
	Peers  peer.Caller
	// Addresses returns where the peers listen, without this host.
	Addresses func() []string

	lostAt atomic.Int64 // steady time of the last direct failure; 0: none since the last success
}

var _ Keyspace = (*Fallback)(nil)

// Reachable reports whether the last direct call was answered.
func (f *Fallback) Reachable() bool { return f.lostAt.Load() == 0 }

// Get implements Keyspace.
func (f *Fallback) Get(ctx context.Context, key string) (Item, error) {
	reply, err := f.call(ctx, KeyspaceArgs{Op: keyspaceGet, Key: key})
	return reply.Item, err
}

// List implements Keyspace.
func (f *Fallback) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	reply, err := f.call(ctx, KeyspaceArgs{Op: keyspaceList, Key: prefix})
	return reply.Items, reply.Revision, err
}

// Watch implements Keyspace.
func (f *Fallback) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	reply, err := f.call(ctx, KeyspaceArgs{Op: keyspaceWatch, Key: prefix, Revision: after, Wait: wait})
	return reply.Events, reply.Revision, err
}

// Commit implements Keyspace.
func (f *Fallback) Commit(ctx context.Context, txn Txn) (uint64, error) {
	reply, err := f.call(ctx, KeyspaceArgs{Op: keyspaceCommit, Txn: txn})
	return reply.Revision, err
}

// Grant implements Keyspace.
func (f *Fallback) Grant(ctx context.Context, ttl time.Duration) (LeaseGrant, error) {
	reply, err := f.call(ctx, KeyspaceArgs{Op: keyspaceGrant, Wait: ttl})
	return reply.Lease, err
}

// Renew implements Keyspace.
func (f *Fallback) Renew(ctx context.Context, id uint64) error {
	_, err := f.call(ctx, KeyspaceArgs{Op: keyspaceRenew, Revision: id})
	return err
}

// Revoke implements Keyspace.
func (f *Fallback) Revoke(ctx context.Context, id uint64) error {
	_, err := f.call(ctx, KeyspaceArgs{Op: keyspaceRevoke, Revision: id})
	return err
}

// call tries the store itself and then peers. After a write without a clear
// outcome no peer is asked: the caller settles it.
func (f *Fallback) call(ctx context.Context, args KeyspaceArgs) (KeyspaceReply, error) {
	addresses := f.Addresses()
	lost := f.lostAt.Load()
	trustPeers := lost != 0 && steady.Now().Sub(steady.Time(lost)) < directAgain && len(addresses) > 0
	var reply KeyspaceReply
	err := errors.Wrap(ErrUnavailable, "asking peers first")
	if !trustPeers {
		reply, err = f.direct(ctx, args, len(addresses) > 0)
		if !errors.Is(err, ErrUnavailable) {
			return reply, err
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(carriers, len(addresses))] {
		if ctx.Err() != nil {
			break
		}
		reply, err = f.carried(ctx, address, args)
		if !errors.Is(err, ErrUnavailable) {
			return reply, err
		}
	}
	return reply, err
}

func (f *Fallback) direct(ctx context.Context, args KeyspaceArgs, share bool) (KeyspaceReply, error) {
	if deadline, ok := ctx.Deadline(); ok && share && args.Op != keyspaceWatch {
		part := time.Duration(float64(time.Until(deadline)) * directShare)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, part)
		defer cancel()
	}
	reply, err := perform(ctx, f.Direct, args)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAmbiguous) {
		f.lostAt.Store(int64(steady.Now()))
	} else {
		f.lostAt.Store(0)
	}
	return reply, err
}

func (f *Fallback) carried(ctx context.Context, address string, args KeyspaceArgs) (KeyspaceReply, error) {
	var reply KeyspaceReply
	err := f.Peers.Call(ctx, address, "Keyspace.Do", &args, &reply)
	if err == nil {
		return reply, carriedFailure(reply)
	}
	if args.writes() && !errors.Is(err, peer.ErrNotSent) {
		return reply, failure(ErrAmbiguous, err)
	}
	return reply, failure(ErrUnavailable, err)
}
