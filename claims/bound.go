package claims

import (
	"context"
	"strings"

	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/peer"
)

// maxBoundKeys limits the records of bound keys that a host keeps in memory.
const maxBoundKeys = 100_000

// boundIncarnation returns the incarnation that a key is bound to; ok is false
// for a key without the prefix of an incarnation. An incarnation has the form
// "<host name>.<random bytes in hexadecimal>".
func boundIncarnation(key string) (incarnation string, ok bool) {
	incarnation, _, found := strings.Cut(key, boundSeparator)
	dot := strings.LastIndex(incarnation, ".")
	return incarnation, found && dot > 0 && len(incarnation)-dot-1 == 2*incarnationBytes
}

// claimBound claims a key at the host of the incarnation it is bound to. The
// records of an incarnation that has ended are lost, so the verdict on its keys
// is Unknown from then on.
func (s *Service) claimBound(ctx context.Context, incarnation string, req Request) (Reply, error) {
	if incarnation == s.incarnation {
		return s.claimBoundLocally(req)
	}
	var reply Reply
	found, err := s.callBound(ctx, incarnation, "Claims.Claim", req, &reply)
	if !found {
		return Reply{Verdict: Unknown}, nil
	}
	return reply, err
}

// claimBoundLocally claims a key bound to this host's incarnation. It grants the
// claim without a write, as the records of bound keys exist only in memory.
func (s *Service) claimBoundLocally(req Request) (Reply, error) {
	s.boundMu.Lock()
	defer s.boundMu.Unlock()
	if s.bound.records[hashKey(req.Key)] == nil && len(s.bound.records) >= maxBoundKeys {
		return Reply{}, errKeysFull
	}
	reply, r := s.bound.claim(s.opts.Now(), req)
	if r.state == pending {
		r.state = claimed
	}
	return reply, nil
}

// completeBound completes an attempt at the host of the incarnation that its key is
// bound to. It does nothing when membership does not list that host.
func (s *Service) completeBound(ctx context.Context, incarnation string, c Completion) error {
	if incarnation == s.incarnation {
		s.boundMu.Lock()
		defer s.boundMu.Unlock()
		s.bound.complete(c)
		return nil
	}
	var ack Ack
	_, err := s.callBound(ctx, incarnation, "Claims.Complete", c, &ack)
	return err
}

// lookupBound looks a key up at the host of the incarnation it is bound to. The
// verdict on the keys of an incarnation that has ended is Unknown.
func (s *Service) lookupBound(ctx context.Context, incarnation string, k Key) (Reply, error) {
	if incarnation == s.incarnation {
		s.boundMu.Lock()
		defer s.boundMu.Unlock()
		return s.bound.lookup(s.opts.Now(), k), nil
	}
	var reply Reply
	found, err := s.callBound(ctx, incarnation, "Claims.Outcome", k, &reply)
	if !found {
		return Reply{Verdict: Unknown}, nil
	}
	return reply, err
}

// callBound calls the host of an incarnation. found is false when membership
// lists no entry host of its name.
func (s *Service) callBound(ctx context.Context, incarnation, method string, args, reply any) (found bool, err error) {
	name := incarnation[:strings.LastIndex(incarnation, ".")]
	hosts := s.opts.Membership.View().Select(func(h kvstore.Host) bool {
		return h.Kind == kvstore.EntryHost && h.Name == name
	})
	if len(hosts) == 0 {
		return false, nil
	}
	if err := s.opts.Peers.Call(ctx, hosts[0].PeerAddress, method, args, reply); err != nil {
		return true, ErrUnavailable
	}
	return true, nil
}

// RegisterPeer registers the methods that other entry hosts call with p.
func (s *Service) RegisterPeer(p *peer.Server) error { return p.Register("Claims", &endpoint{s}) }

// endpoint serves other entry hosts' calls over net/rpc.
type endpoint struct{ service *Service }

// Claim claims a key that is bound to this host or whose shard it owns.
func (e *endpoint) Claim(req Request, reply *Reply) error {
	if incarnation, ok := boundIncarnation(req.Key.Key); ok {
		return e.answerBound(incarnation, reply, func() (Reply, error) { return e.service.claimBoundLocally(req) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sh := e.shard(req.Key)
	if sh == nil {
		return errNotOwner
	}
	got, err := sh.claim(ctx, req)
	*reply = got
	return err
}

// Complete records the outcome of an attempt.
func (e *endpoint) Complete(c Completion, _ *Ack) error {
	if incarnation, ok := boundIncarnation(c.Key.Key); ok {
		if incarnation != e.service.incarnation {
			return nil
		}
		return e.service.completeBound(context.Background(), incarnation, c)
	}
	sh := e.shard(c.Key)
	if sh == nil {
		return errNotOwner
	}
	return sh.complete(c)
}

// Outcome looks a key up without claiming it.
func (e *endpoint) Outcome(k Key, reply *Reply) error {
	if incarnation, ok := boundIncarnation(k.Key); ok {
		return e.answerBound(incarnation, reply, func() (Reply, error) {
			return e.service.lookupBound(context.Background(), incarnation, k)
		})
	}
	sh := e.shard(k)
	if sh == nil {
		return errNotOwner
	}
	got, err := sh.lookup(k)
	*reply = got
	return err
}

// answerBound calls local if incarnation is the current one of this host, and
// otherwise sets the verdict to Unknown.
func (e *endpoint) answerBound(incarnation string, reply *Reply, local func() (Reply, error)) error {
	if incarnation != e.service.incarnation {
		*reply = Reply{Verdict: Unknown}
		return nil
	}
	got, err := local()
	*reply = got
	return err
}

// shard returns the shard of a key, or nil when this host does not own it.
func (e *endpoint) shard(k Key) *shard {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	return e.service.owned[e.service.shardOf(k)]
}
