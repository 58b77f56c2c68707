package kvstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/peer"
)

// storeOp names an operation of a Store in a call made through a peer.
type storeOp string

const (
	opGet        storeOp = "get"
	opSwap       storeOp = "swap"
	opWatch      storeOp = "watch"
	opGrant      storeOp = "grant"
	opRenew      storeOp = "renew"
	opRevoke     storeOp = "revoke"
	opAcquire    storeOp = "acquire"
	opWatchHosts storeOp = "watch-hosts"
	opHosts      storeOp = "hosts"
	opDelete     storeOp = "delete"
)

// CarryArgs holds the arguments of a call that a peer makes for a host that
// cannot reach the platform. Fields that the operation does not use are zero.
type CarryArgs struct {
	Op      string
	Key     string
	Value   []byte
	Version uint64 // expected by a swap, or seen by a watch
	Nonce   uint64
	Lease   Lease

	ctx context.Context
}

// SetContext implements peer.ContextSetter.
func (a *CarryArgs) SetContext(ctx context.Context) { a.ctx = ctx }

// CarryReply is the platform's answer, as returned by a peer.
type CarryReply struct {
	Failure string // name of the store's failure; empty: none
	Entry   Entry
	Lease   Lease
	Hosts   []Host
	Index   uint64
}

// failureNames maps failures to their names in replies between hosts. An error
// that matches several of them gets the name of the first, the most specific.
var failureNames = []struct {
	name string
	err  error
}{
	{"not-found", ErrNotFound},
	{"conflict", ErrConflict},
	{"lease-lost", ErrLeaseLost},
	{"held", ErrHeld},
	{"compacted", ErrCompacted},
	{"ambiguous", ErrAmbiguous},
	{"unavailable", ErrUnavailable},
}

// failureName returns the name of err's failure, or its text if it has none.
func failureName(err error) string {
	if err == nil {
		return ""
	}
	for _, f := range failureNames {
		if errors.Is(err, f.err) {
			return f.name
		}
	}
	return err.Error()
}

// failureFromName is the inverse of failureName.
func failureFromName(name string) error {
	if name == "" {
		return nil
	}
	for _, f := range failureNames {
		if f.name == name {
			return f.err
		}
	}
	return errors.Newf("platform call through a peer: %s", name)
}

// RegisterPeer registers the net/rpc service that makes calls for peers. The
// service calls the platform directly and never forwards to a third host.
func (g *Guard) RegisterPeer(s *peer.Server) error {
	return s.Register("Platform", &peerService{guard: g})
}

// peerService is the net/rpc service "Platform".
type peerService struct{ guard *Guard }

// Carry calls the platform on behalf of a peer.
func (s *peerService) Carry(args CarryArgs, reply *CarryReply) error {
	// The calling host has already charged the call to its own budget, so it
	// does not wait for this host's.
	err := s.guard.execute(Urgent(args.ctx), args, reply)
	reply.Failure = failureName(err)
	return nil
}

// execute runs the operation args.Op and stores its result in reply.
func (g *Guard) execute(ctx context.Context, args CarryArgs, reply *CarryReply) (err error) {
	switch storeOp(args.Op) {
	case opGet:
		reply.Entry, err = g.Get(ctx, args.Key)
	case opWatch:
		reply.Entry, err = g.Watch(ctx, args.Key, args.Version)
	case opSwap:
		reply.Entry, err = g.trySwap(ctx, swapArgs{key: args.Key, value: args.Value, version: args.Version, nonce: args.Nonce})
	case opAcquire:
		reply.Entry, err = g.tryAcquire(ctx, acquireArgs{key: args.Key, value: args.Value, lease: args.Lease})
	case opGrant:
		reply.Lease, err = g.Grant(ctx, args.Lease.TTL)
	case opRenew:
		err = g.Renew(ctx, args.Lease)
	case opRevoke:
		err = g.Revoke(ctx, args.Lease)
	case opDelete:
		err = g.Delete(ctx, args.Key)
	case opHosts:
		reply.Hosts, err = g.Hosts(ctx)
	case opWatchHosts:
		reply.Hosts, reply.Index, err = g.WatchHosts(ctx, args.Version)
	default:
		err = errors.Newf("unknown operation %q; run the same version on both hosts", args.Op)
	}
	return err
}
