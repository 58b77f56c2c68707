package kvstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// keyspaceOp names a call of a Keyspace.
type keyspaceOp string

const (
	keyspaceGet    keyspaceOp = "get"
	keyspaceList   keyspaceOp = "list"
	keyspaceWatch  keyspaceOp = "watch"
	keyspaceCommit keyspaceOp = "commit"
	keyspaceGrant  keyspaceOp = "grant"
	keyspaceRenew  keyspaceOp = "renew"
	keyspaceRevoke keyspaceOp = "revoke"
)

// KeyspaceArgs is a call that a peer makes for a host that does not reach the
// store. Fields that the operation does not need are zero.
type KeyspaceArgs struct {
	Op       keyspaceOp
	Key      string // or prefix
	Revision uint64 // watched after, or the lease's id
	Wait     time.Duration
	Txn      Txn

	ctx context.Context
}

// SetContext implements peer.ContextSetter.
func (a *KeyspaceArgs) SetContext(ctx context.Context) { a.ctx = ctx }

func (a *KeyspaceArgs) writes() bool { return a.Op == keyspaceCommit }

// KeyspaceReply is the store's answer, brought by a peer.
type KeyspaceReply struct {
	Failure  string // name of the store's failure; empty: none
	Item     Item
	Items    []Item // of a list, or of a conflict
	Events   []Event
	Revision uint64
	Lease    LeaseGrant
}

// KeyspaceService carries peers' calls. It is registered as "Keyspace".
type KeyspaceService struct{ Store Keyspace }

// Do makes a peer's call.
func (s *KeyspaceService) Do(args *KeyspaceArgs, reply *KeyspaceReply) error {
	ctx := args.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	answer, err := perform(ctx, s.Store, *args)
	*reply = answer
	reply.Failure = nameFailure(err)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		reply.Items = conflict.Items
	}
	return nil
}

// perform makes a call on a store.
func perform(ctx context.Context, store Keyspace, a KeyspaceArgs) (KeyspaceReply, error) {
	var r KeyspaceReply
	var err error
	switch a.Op {
	case keyspaceGet:
		r.Item, err = store.Get(ctx, a.Key)
	case keyspaceList:
		r.Items, r.Revision, err = store.List(ctx, a.Key)
	case keyspaceWatch:
		r.Events, r.Revision, err = store.Watch(ctx, a.Key, a.Revision, a.Wait)
	case keyspaceCommit:
		r.Revision, err = store.Commit(ctx, a.Txn)
	case keyspaceGrant:
		r.Lease, err = store.Grant(ctx, a.Wait)
	case keyspaceRenew:
		err = store.Renew(ctx, a.Revision)
	case keyspaceRevoke:
		err = store.Revoke(ctx, a.Revision)
	default:
		err = errors.Wrapf(ErrUnavailable, "unknown operation %q; run the same version on every host", a.Op)
	}
	return r, err
}

// carriedFailure returns the failure that a peer's reply names.
func carriedFailure(r KeyspaceReply) error {
	if errors.Is(failureNamed(r.Failure), ErrConflict) {
		return &ConflictError{Items: r.Items}
	}
	return failureNamed(r.Failure)
}
