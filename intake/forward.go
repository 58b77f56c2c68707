package intake

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/peer"
	"github.com/cyclamentray/cyclamentray/telemetry"
)

// forwardTimeout bounds a call to the entry host that writes for the others.
const forwardTimeout = 2 * time.Second

// Methods of the net/rpc service that entry hosts of a failure domain offer
// each other.
const (
	peerService  = "Jobs"
	methodSubmit = peerService + ".Submit"
	methodCancel = peerService + ".Cancel"
)

// SubmitCall is a submission taken by another entry host.
type SubmitCall struct {
	Who   auth.Identity
	Spec  job.Spec
	Trace string // W3C traceparent of the caller
}

// CancelCall is a cancellation taken by another entry host.
type CancelCall struct {
	Who   auth.Identity
	ID    job.ID
	Trace string // W3C traceparent of the caller
}

// JobReply answers both; Error is nil on success.
type JobReply struct {
	Record job.Record
	Error  *apierr.Error
}

func (r *JobReply) set(rec job.Record, err error) {
	r.Record = rec
	if err != nil {
		r.Error = apierr.From(err)
	}
}

// RegisterPeer offers this host's writes to the other entry hosts.
func (in *Intake) RegisterPeer(s *peer.Server) error {
	return s.Register(peerService, &peerMethods{in})
}

type peerMethods struct{ in *Intake }

// Submit takes a job for another entry host.
func (p *peerMethods) Submit(c SubmitCall, reply *JobReply) error {
	reply.set(p.in.submitHere(telemetry.WithTraceParent(context.Background(), c.Trace), c.Who, c.Spec))
	return nil
}

// Cancel cancels a job for another entry host.
func (p *peerMethods) Cancel(c CancelCall, reply *JobReply) error {
	reply.set(p.in.cancelHere(telemetry.WithTraceParent(context.Background(), c.Trace), c.Who, c.ID))
	return nil
}

// forward hands a call to the host that writes for the failure domain, so that
// a burst over many entry hosts is still written in few groups. ok is false
// when this host is the one, or when the other did not answer: the call is then
// made here, which is harmless, as it takes effect once for its ID.
func (in *Intake) forward(ctx context.Context, method string, args any) (rec job.Record, err error, ok bool) {
	h, found := in.writer()
	if !found {
		return job.Record{}, nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var reply JobReply
	if err := in.o.Peers.Call(ctx, h.PeerAddress, method, args, &reply); err != nil {
		return job.Record{}, nil, false
	}
	if reply.Error != nil {
		return job.Record{}, reply.Error, true
	}
	return reply.Record, nil, true
}

// schedulerTeller is an election.Holder that knows the holder's name.
type schedulerTeller interface{ Scheduler() string }

// writer returns the entry host of this failure domain that writes for the
// others: its scheduler, which writes to the same ledger anyway, or else one
// that all choose alike. found is false when that is this host.
func (in *Intake) writer() (h kvstore.Host, found bool) {
	if in.o.Peers == nil {
		return kvstore.Host{}, false
	}
	view := in.o.Membership.View()
	scheduler := ""
	if e, knows := in.o.Election.(schedulerTeller); knows {
		scheduler = e.Scheduler()
	}
	best, top := view.Self, xxhash.Sum64String(view.Self.Name)
	if view.Self.Name == scheduler {
		return kvstore.Host{}, false
	}
	for _, n := range view.LocalPeers() {
		if n.Leaving {
			continue
		}
		if n.Name == scheduler {
			return n, true
		}
		if sum := xxhash.Sum64String(n.Name); sum > top {
			best, top = n, sum
		}
	}
	return best, best.Name != view.Self.Name
}
