package intake

import (
	"context"

	"github.com/cyclamentray/cyclamentray/job"
)

// holdReply mirrors the answer of the gang slice's Hold method.
type holdReply struct {
	Reason string
	Known  bool
}

// askHoldReason asks the entry hosts of a failure domain why a job waits; only the
// one that schedules knows.
func (in *Intake) askHoldReason(ctx context.Context, domain string, id job.ID) (string, bool) {
	if in.o.Peers == nil {
		return "", false
	}
	for _, h := range in.o.Membership.View().Peers() {
		if h.FailureDomain != domain {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, holdCallTimeout)
		var reply holdReply
		err := in.o.Peers.Call(ctx, h.PeerAddress, methodHold, id, &reply)
		cancel()
		if err == nil && reply.Known {
			return reply.Reason, true
		}
	}
	return "", false
}
