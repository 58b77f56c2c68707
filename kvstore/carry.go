package kvstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/peer"
)

// carryOp names a carried call.
type carryOp string

const (
	opGet        carryOp = "get"
	opSwap       carryOp = "swap"
	opWatch      carryOp = "watch"
	opGrant      carryOp = "grant"
	opRenew      carryOp = "renew"
	opRevoke     carryOp = "revoke"
	opAcquire    carryOp = "acquire"
	opWatchHosts carryOp = "watch-hosts"
	opHosts      carryOp = "hosts"
	opDelete     carryOp = "delete"
)

// CarryArgs is a call that a peer makes for a host that does not reach the
// platform. Fields that the operation does not need are zero.
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

// CarryReply is the platform's answer, brought by a peer.
type CarryReply struct {
	Failure string // name of the store's failure; empty: none
	Entry   Entry
	Lease   Lease
	Hosts   []Host
	Index   uint64
}

// failureNames lists the failures that cross between hosts. The most specific
// one of an error comes first.
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

func nameFailure(err error) string {
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

func failureNamed(name string) error {
	if name == "" {
		return nil
	}
	for _, f := range failureNames {
		if f.name == name {
			return f.err
		}
	}
	return errors.Newf("platform, through a peer: %s", name)
}

// RegisterPeer publishes the net/rpc service that makes calls for peers. It
// never passes them on to a third host.
func (g *Guard) RegisterPeer(s *peer.Server) error {
	return s.Register("Platform", &service{guard: g})
}

type service struct{ guard *Guard }

// Carry makes a peer's call.
func (s *service) Carry(args CarryArgs, reply *CarryReply) error {
	// The asking host has spent its own budget on the call.
	err := s.guard.perform(Urgent(args.ctx), args, reply)
	reply.Failure = nameFailure(err)
	return nil
}

func (g *Guard) perform(ctx context.Context, args CarryArgs, reply *CarryReply) (err error) {
	switch carryOp(args.Op) {
	case opGet:
		reply.Entry, err = g.Get(ctx, args.Key)
	case opWatch:
		reply.Entry, err = g.Watch(ctx, args.Key, args.Version)
	case opSwap:
		reply.Entry, err = g.swapOnce(ctx, swapArgs{key: args.Key, value: args.Value, version: args.Version, nonce: args.Nonce})
	case opAcquire:
		reply.Entry, err = g.acquireOnce(ctx, acquireArgs{key: args.Key, value: args.Value, lease: args.Lease})
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
		err = errors.Newf("unknown call %q; bring both hosts to one release", args.Op)
	}
	return err
}
