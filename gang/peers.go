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

// stopRenewing promises that this host renews the gang no more, and waits for
// messages already under way.
func (r *renewer) stopRenewing(g workerapi.Gang) {
	r.mu.Lock()
	r.planner.StopRenewing(r.o.Now(), g)
	r.mu.Unlock()
	r.roundMu.Lock() // waits for the present round
	defer r.roundMu.Unlock()
}

// fenceGang gets that promise from every entry host that may renew the gang, the
// silent ones included: one that does not answer may still renew.
func (r *renewer) fenceGang(ctx context.Context, g workerapi.Gang) bool {
	r.stopRenewing(g)
	view := r.o.Membership.View()
	all := true
	for _, h := range view.Hosts {
		if h.Kind != kvstore.EntryHost || h.FailureDomain != r.o.FailureDomain || h.Name == view.Self.Name {
			continue
		}
		all = all && r.callRelease(ctx, h.PeerAddress, g)
	}
	return all
}

func (r *renewer) callRelease(ctx context.Context, address string, g workerapi.Gang) bool {
	if r.o.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*peerCallTimeout)
	defer cancel()
	return r.o.Peers.Call(ctx, address, methodRelease, g, &Ack{}) == nil
}

// Ack is the answer of a peer method that returns nothing else.
type Ack struct{ OK bool }

// HoldReply is the answer to a question why a job waits.
type HoldReply struct {
	Reason string
	Known  bool
}

// RegisterPeer offers the renewal and explanation methods to other entry hosts.
func (s *Scheduler) RegisterPeer(server *peer.Server) error {
	return server.Register(peerService, &peerMethods{s})
}

type peerMethods struct{ s *Scheduler }

// Release promises to renew a gang no more.
func (p *peerMethods) Release(g workerapi.Gang, reply *Ack) error {
	p.s.renewer.stopRenewing(g)
	reply.OK = true
	return nil
}

// Observe takes what another entry host's renewals taught.
func (p *peerMethods) Observe(observations []Observation, reply *Ack) error {
	for _, o := range observations {
		p.s.Observe(o)
	}
	reply.OK = true
	return nil
}

// Hold tells why a queued job waits, if this host schedules.
func (p *peerMethods) Hold(id job.ID, reply *HoldReply) error {
	reply.Reason, reply.Known = p.s.WaitReason(id)
	return nil
}
