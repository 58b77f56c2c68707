package kvstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// keyspaceOp names an operation of a Keyspace in a call made through a peer.
type keyspaceOp string

const (
	keyspaceGet    keyspaceOp = "get"
	keyspaceList   keyspaceOp = "list-page"
	keyspaceWatch  keyspaceOp = "watch"
	keyspaceCommit keyspaceOp = "commit"
	keyspaceGrant  keyspaceOp = "grant"
	keyspaceRenew  keyspaceOp = "renew"
	keyspaceRevoke keyspaceOp = "revoke"
)

// KeyspaceArgs holds the arguments of a call that a peer makes for a host that
// cannot reach the store. Fields that the operation does not use are zero.
type KeyspaceArgs struct {
	Op       keyspaceOp
	Key      string        // or the prefix, for a list or watch
	After    string        // key that a page of a list begins after
	Revision uint64        // after which to watch, or the lease's ID
	Wait     time.Duration // of a watch, or the TTL of a grant
	Txn      Txn

	ctx context.Context
}

// SetContext implements peer.ContextSetter.
func (a *KeyspaceArgs) SetContext(ctx context.Context) { a.ctx = ctx }

// writes reports whether the call commits a transaction. A commit whose answer is lost
// fails with ErrAmbiguous.
func (a *KeyspaceArgs) writes() bool { return a.Op == keyspaceCommit }

// KeyspaceReply is the store's answer, as returned by a peer.
type KeyspaceReply struct {
	Failure  string // name of the store's failure; empty: none
	Item     Item
	Items    []Item // of a page of a list, or of a conflict
	More     bool   // items follow after the page
	Events   []Event
	Revision uint64
	Lease    LeaseGrant
}

// KeyspaceService is the net/rpc service that calls Store on behalf of peers. It
// is registered as "Keyspace".
type KeyspaceService struct{ Store Keyspace }

// Do makes one call for a peer.
func (s *KeyspaceService) Do(args *KeyspaceArgs, reply *KeyspaceReply) error {
	ctx := args.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	answer, err := callKeyspace(ctx, s.Store, *args)
	*reply = answer
	reply.Failure = failureName(err)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		reply.Items = conflict.Items
	}
	return nil
}

// callKeyspace runs the operation args.Op on store.
func callKeyspace(ctx context.Context, store Keyspace, args KeyspaceArgs) (KeyspaceReply, error) {
	var r KeyspaceReply
	var err error
	switch args.Op {
	case keyspaceGet:
		r.Item, err = store.Get(ctx, args.Key)
	case keyspaceList:
		var page Page
		page, err = store.ListPage(ctx, args.Key, args.After)
		r.Items, r.More, r.Revision = page.Items, page.More, page.AsOf
	case keyspaceWatch:
		r.Events, r.Revision, err = store.Watch(ctx, args.Key, args.Revision, args.Wait)
	case keyspaceCommit:
		r.Revision, err = store.Commit(ctx, args.Txn)
	case keyspaceGrant:
		r.Lease, err = store.Grant(ctx, args.Wait)
	case keyspaceRenew:
		err = store.Renew(ctx, args.Revision)
	case keyspaceRevoke:
		err = store.Revoke(ctx, args.Revision)
	default:
		err = errors.Wrapf(ErrUnavailable, "unknown operation %q; run the same version on every host", args.Op)
	}
	return r, err
}

// replyError returns the error that a peer's reply names.
func replyError(r KeyspaceReply) error {
	if errors.Is(failureFromName(r.Failure), ErrConflict) {
		return &ConflictError{Items: r.Items}
	}
	return failureFromName(r.Failure)
}
