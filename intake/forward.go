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

// forwardTimeout is the timeout of a call to the writer host, which writerHost
// returns.
const forwardTimeout = 2 * time.Second

// Methods of the net/rpc service that entry hosts of a failure domain call on
// each other.
const (
	peerService  = "Jobs"
	methodSubmit = peerService + ".Submit"
	methodCancel = peerService + ".Cancel"
)

// SubmitCall is a submission that another entry host forwards.
type SubmitCall struct {
	Who   auth.Identity
	Spec  job.Spec
	Trace string // W3C traceparent of the caller
}

// CancelCall is a cancellation that another entry host forwards.
type CancelCall struct {
	Who   auth.Identity
	ID    job.ID
	Trace string // W3C traceparent of the caller
}

// JobReply is the reply to a SubmitCall or CancelCall. Error is nil on success.
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

// RegisterPeer registers the methods by which other entry hosts forward calls to
// this one with s.
func (in *Intake) RegisterPeer(s *peer.Server) error {
	return s.Register(peerService, &peerMethods{in})
}

// peerMethods serves the calls that other entry hosts forward.
type peerMethods struct{ in *Intake }

// Submit submits a job on behalf of another entry host.
func (p *peerMethods) Submit(c SubmitCall, reply *JobReply) error {
	reply.set(p.in.submitLocal(telemetry.WithTraceParent(context.Background(), c.Trace), c.Who, c.Spec))
	return nil
}

// Cancel cancels a job on behalf of another entry host.
func (p *peerMethods) Cancel(c CancelCall, reply *JobReply) error {
	reply.set(p.in.cancelLocal(telemetry.WithTraceParent(context.Background(), c.Trace), c.Who, c.ID))
	return nil
}

// forward sends a call to the failure domain's writer host, so that a burst over
// many entry hosts is still written in few groups. ok is false when this host is
// the writer host, or when the writer host did not answer. The caller then makes
// the call locally; this is safe even if the writer host received it, as calls
// are idempotent by job ID.
func (in *Intake) forward(ctx context.Context, method string, args any) (rec job.Record, err error, ok bool) {
	h, found := in.writerHost()
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

// schedulerNamer is an election.Holder that returns the name of the host that
// holds the term.
type schedulerNamer interface{ Scheduler() string }

// writerHost returns the entry host that writes to the ledger on behalf of the
// other entry hosts of this failure domain: the scheduler, which writes to the
// same ledger anyway. Without a scheduler it is the one with the highest hash of
// its name, so that all hosts choose the same one. found is false when this host
// is the writer host.
func (in *Intake) writerHost() (h kvstore.Host, found bool) {
	if in.o.Peers == nil {
		return kvstore.Host{}, false
	}
	view := in.o.Membership.View()
	scheduler := ""
	if e, knows := in.o.Election.(schedulerNamer); knows {
		scheduler = e.Scheduler()
	}
	best, top := view.Self, xxhash.Sum64String(view.Self.Name)
	if view.Self.Name == scheduler {
		return kvstore.Host{}, false
	}
	for _, p := range view.LocalPeers() {
		if p.Leaving {
			continue
		}
		if p.Name == scheduler {
			return p, true
		}
		if sum := xxhash.Sum64String(p.Name); sum > top {
			best, top = p, sum
		}
	}
	return best, best.Name != view.Self.Name
}
