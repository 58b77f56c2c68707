package gang

import (
	"context"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement"
)

// Summary summarises a failure domain's jobs for operators.
type Summary struct {
	Queued   int
	Running  int                 // placed, running or stopping
	Deficits []placement.Deficit // guarantees that the present hardware cannot back
}

// SummaryArgs are the arguments of the peer method Summary.
type SummaryArgs struct{}

// Summary summarises the failure domain as of this host's last read of the ledger.
func (s *Scheduler) Summary() Summary {
	sum := Summary{Deficits: s.Deficits()}
	records, _, _ := s.o.Ledger.Snapshot()
	for _, rec := range records {
		switch {
		case rec.State == job.Queued:
			sum.Queued++
		case isLive(rec.State):
			sum.Running++
		}
	}
	return sum
}

// SummaryOf asks the entry host whose peer listener is at address for its Summary.
func (s *Scheduler) SummaryOf(ctx context.Context, address string) (Summary, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var sum Summary
	err := s.o.Peers.Call(ctx, address, methodSummary, SummaryArgs{}, &sum)
	return sum, err
}

// Summary returns this host's Summary to another entry host.
func (p *peerMethods) Summary(_ SummaryArgs, reply *Summary) error {
	*reply = p.s.Summary()
	return nil
}
