package intake

import (
	"context"

	"github.com/cyclamentray/cyclamentray/job"
)

// holdReply has the fields of the reply to the Hold method of package gang.
type holdReply struct {
	Reason string
	Known  bool
}

// askWaitReason asks the entry hosts of a failure domain why a job waits. Only the
// host that runs the scheduler can answer.
func (in *Intake) askWaitReason(ctx context.Context, domain string, id job.ID) (string, bool) {
	if in.o.Peers == nil {
		return "", false
	}
	for _, h := range in.o.Membership.View().Peers() {
		if h.FailureDomain != domain {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, waitReasonTimeout)
		var reply holdReply
		err := in.o.Peers.Call(ctx, h.PeerAddress, methodHold, id, &reply)
		cancel()
		if err == nil && reply.Known {
			return reply.Reason, true
		}
	}
	return "", false
}
