package gang

import (
	"context"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/peer"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// Methods of the net/rpc service that entry hosts of a failure domain offer
// each other.
const (
	peerService   = "Gangs"
	methodRelease = peerService + ".Release"
	methodObserve = peerService + ".Observe"
	methodHold    = peerService + ".Hold"
	methodSummary = peerService + ".Summary"
)

// stopRenewing makes this host stop renewing the gang's leases for good. It
// returns once no renewal of the current round is in flight.
func (r *renewer) stopRenewing(g workerapi.Gang) {
	r.mu.Lock()
	r.planner.StopRenewing(r.o.Now(), g)
	r.mu.Unlock()
	r.roundMu.Lock() // waits for the current round
	defer r.roundMu.Unlock()
}

// fenceGang makes every entry host of the failure domain stop renewing the gang,
// and reports whether all confirmed it. Hosts that do not answer must confirm it
// too, since they may still renew.
func (r *renewer) fenceGang(ctx context.Context, g workerapi.Gang) bool {
	r.stopRenewing(g)
	view := r.o.Membership.View()
	allConfirmed := true
	for _, h := range view.Hosts {
		if h.Kind != kvstore.EntryHost || h.FailureDomain != r.o.FailureDomain || h.Name == view.Self.Name {
			continue
		}
		allConfirmed = allConfirmed && r.callRelease(ctx, h.PeerAddress, g)
	}
	return allConfirmed
}

func (r *renewer) callRelease(ctx context.Context, peerAddress string, g workerapi.Gang) bool {
	if r.o.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*peerCallTimeout)
	defer cancel()
	return r.o.Peers.Call(ctx, peerAddress, methodRelease, g, &Ack{}) == nil
}

// Ack is the reply of a peer method that returns no data.
type Ack struct{ OK bool }

// HoldReply says why a queued job waits. Known is false when the answering host
// has no reason for the job.
type HoldReply struct {
	Reason string
	Known  bool
}

// RegisterPeer registers the methods that other entry hosts call.
func (s *Scheduler) RegisterPeer(server *peer.Server) error {
	return server.Register(peerService, &peerMethods{s})
}

type peerMethods struct{ s *Scheduler }

// Release makes this host stop renewing a gang's leases for good.
func (p *peerMethods) Release(g workerapi.Gang, reply *Ack) error {
	p.s.renewer.stopRenewing(g)
	reply.OK = true
	return nil
}

// Observe stores observations of another entry host's renewals.
func (p *peerMethods) Observe(observations []Observation, reply *Ack) error {
	for _, o := range observations {
		p.s.Observe(o)
	}
	reply.OK = true
	return nil
}

// Hold returns why a queued job waits, if this host schedules the failure domain.
func (p *peerMethods) Hold(id job.ID, reply *HoldReply) error {
	reply.Reason, reply.Known = p.s.WaitReason(id)
	return nil
}
