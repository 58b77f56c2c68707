package config

import (
	"context"
	"time"

	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// pollWait is how long a relay keeps a question open while nothing changes.
	pollWait  = time.Second
	maxWait   = 5 * time.Second
	pollSlack = 500 * time.Millisecond
	// relayRest is how long a relay that failed is left alone.
	relayRest = 3 * time.Second
)

// LatestArgs asks a peer for its newest edition.
type LatestArgs struct {
	Have uint64        // revision of the asking host
	Wait time.Duration // longest wait for a newer one

	ctx context.Context
}

// SetContext implements peer.ContextSetter.
func (a *LatestArgs) SetContext(ctx context.Context) { a.ctx = ctx }

// LatestReply tells a peer's newest edition and when the platform confirmed it.
type LatestReply struct {
	Revision uint64
	// Confirmed is when the platform was asked, counted from the arrival of this
	// question; negative when that was earlier. Since the question arrived after
	// it was sent, the asking host may count from its sending.
	Confirmed time.Duration
	Known     bool   // the platform has ever confirmed it
	Delta     *Delta // nil: the asking host has this revision already
}

// RegisterPeer publishes the slice's net/rpc service.
func (d *Distributor) RegisterPeer(s *peer.Server) error {
	return s.Register("Config", &service{d: d})
}

// service answers peers.
type service struct{ d *Distributor }

// Latest answers with the newest edition, as a change of the asking host's.
func (s *service) Latest(args LatestArgs, reply *LatestReply) error {
	arrived := s.d.opts.Now()
	if args.Wait > 0 {
		s.d.awaitNewer(args.ctx, args.Have, min(args.Wait, maxWait))
	}
	s.d.answer(args.Have, arrived, reply)
	return nil
}

func (d *Distributor) awaitNewer(ctx context.Context, have uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		d.mu.Lock()
		revision, changed := d.current.manifest.Revision, d.changed
		d.mu.Unlock()
		if revision > have {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (d *Distributor) answer(have uint64, arrived time.Time, reply *LatestReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply.Revision = d.current.manifest.Revision
	reply.Known = !d.confirmed.IsZero()
	if reply.Known {
		reply.Confirmed = d.confirmed.Sub(arrived)
	}
	if have < reply.Revision {
		reply.Delta = d.current.deltaFrom(d.manifestAt(have))
	}
}

// manifestAt returns the kept manifest of a revision, or the empty one. The
// caller holds mu.
func (d *Distributor) manifestAt(revision uint64) manifest {
	for _, m := range d.past {
		if m.Revision == revision {
			return m
		}
	}
	return manifest{}
}

// pollRelay asks the relay once, and turns to the platform for a while when the
// relay does not answer or has itself not heard the platform lately.
func (d *Distributor) pollRelay(ctx context.Context, address string) {
	err := d.ask(ctx, address, pollWait)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.polling = false
	now := d.opts.Now()
	if err != nil || now.Sub(d.confirmed) > staleAfter {
		d.relayOff = now.Add(relayRest)
	}
}

// ask takes over a peer's newest edition and its freshness.
func (d *Distributor) ask(ctx context.Context, address string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	known := d.newest()
	args := &LatestArgs{Have: known.manifest.Revision, Wait: wait}
	var reply LatestReply
	sent := d.opts.Now()
	if err := d.opts.Peers.Call(ctx, address, "Config.Latest", args, &reply); err != nil {
		return err
	}
	return d.take(known, sent, reply)
}

// take adopts a peer's answer to a question sent at sent, when this host had known.
func (d *Distributor) take(known *edition, sent time.Time, reply LatestReply) error {
	next := known
	if reply.Delta != nil {
		var err error
		if next, err = known.apply(reply.Delta); err != nil {
			d.opts.Logger.Warn("peer's revision not taken", "err", err)
			return err
		}
	}
	if next.manifest.Revision != reply.Revision {
		return nil // the peer is behind
	}
	var confirmed time.Time
	if reply.Known {
		confirmed = sent.Add(reply.Confirmed)
	}
	d.adopt(next, confirmed)
	return nil
}
