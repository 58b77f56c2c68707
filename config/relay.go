package config

import (
	"context"
	"time"

	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// relayPollWait is the time for which a poll of the relay waits for a change.
	relayPollWait   = time.Second
	maxLatestWait   = 5 * time.Second        // bounds LatestArgs.Wait
	peerAnswerGrace = 500 * time.Millisecond // time for a peer's answer beyond the wait
	// relayRetryDelay is the time for which a relay that failed is not polled.
	relayRetryDelay = 3 * time.Second
)

// LatestArgs are the arguments of Config.Latest, which asks a peer for its newest
// configuration.
type LatestArgs struct {
	Have uint64        // revision of the calling host
	Wait time.Duration // longest wait for a newer revision

	ctx context.Context
}

// SetContext implements peer.ContextSetter.
func (a *LatestArgs) SetContext(ctx context.Context) { a.ctx = ctx }

// LatestReply is a peer's newest configuration and when the platform confirmed it.
type LatestReply struct {
	Revision uint64
	// Confirmed is the time of the peer's last confirmation relative to the arrival
	// of this request; negative if earlier. The calling host adds it to the time at
	// which it sent the request, which is safe because the request arrived later.
	Confirmed time.Duration
	Known     bool   // whether the platform has ever confirmed the configuration
	Delta     *Delta // nil: the calling host has this revision already
}

// RegisterPeer registers the net/rpc service through which peers fetch the
// configuration.
func (d *Distributor) RegisterPeer(s *peer.Server) error {
	return s.Register("Config", &peerService{distributor: d})
}

// peerService is the net/rpc service "Config".
type peerService struct{ distributor *Distributor }

// Latest returns the newest configuration as a delta from the caller's revision. It
// waits up to args.Wait for one that is newer.
func (s *peerService) Latest(args LatestArgs, reply *LatestReply) error {
	arrived := s.distributor.opts.Now()
	if args.Wait > 0 {
		s.distributor.awaitNewer(args.ctx, args.Have, min(args.Wait, maxLatestWait))
	}
	s.distributor.fillReply(args.Have, arrived, reply)
	return nil
}

// awaitNewer waits until a revision later than have is in force, or until wait or
// ctx ends.
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

// fillReply sets reply to the current configuration, for a caller at revision have.
// arrived is the time at which the caller's request arrived.
func (d *Distributor) fillReply(have uint64, arrived time.Time, reply *LatestReply) {
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

// manifestAt returns the manifest of a past revision, or the empty manifest if it
// is no longer kept. The caller holds mu.
func (d *Distributor) manifestAt(revision uint64) manifest {
	for _, m := range d.pastManifests {
		if m.Revision == revision {
			return m
		}
	}
	return manifest{}
}

// pollRelay polls the relay once. If the relay does not answer, or the last
// confirmation is older than staleAfter even so, this host reads the platform
// itself for relayRetryDelay.
func (d *Distributor) pollRelay(ctx context.Context, address string) {
	err := d.fetchFromPeer(ctx, address, relayPollWait)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relayPollInFlight = false
	now := d.opts.Now()
	if err != nil || now.Sub(d.confirmed) > staleAfter {
		d.relayRetryAt = now.Add(relayRetryDelay)
	}
}

// fetchFromPeer fetches a peer's newest configuration and confirmation time, and
// adopts them.
func (d *Distributor) fetchFromPeer(ctx context.Context, address string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+peerAnswerGrace)
	defer cancel()
	known := d.currentConfiguration()
	args := &LatestArgs{Have: known.manifest.Revision, Wait: wait}
	var reply LatestReply
	sent := d.opts.Now()
	if err := d.opts.Peers.Call(ctx, address, "Config.Latest", args, &reply); err != nil {
		return err
	}
	return d.adoptReply(known, sent, reply)
}

// adoptReply adopts a peer's reply. known is the configuration whose revision the
// request named, and sent the time at which the request was sent.
func (d *Distributor) adoptReply(known *configuration, sent time.Time, reply LatestReply) error {
	next := known
	if reply.Delta != nil {
		var err error
		if next, err = known.applyDelta(reply.Delta); err != nil {
			d.opts.Logger.Warn("could not apply a peer's revision", "err", err)
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
