package gang

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// renewer renews the leases of the gangs that are assigned to this host. It needs
// neither the term nor the platform: without them it continues with the last
// assignment that it could read.
type renewer struct {
	o       Options
	observe func(Observation)

	mu      sync.Mutex // guards planner
	planner *RenewalPlanner
	roundMu sync.RWMutex // held for reading while requests of a round are in flight

	renewalsSent       *metrics.Counter
	renewalsUnanswered *metrics.Counter
}

func newRenewer(o Options, observe func(Observation)) *renewer {
	return &renewer{
		o:                  o,
		observe:            observe,
		planner:            NewRenewalPlanner(),
		renewalsSent:       o.Metrics.GetOrCreateCounter("cyclamentray_gang_renewals_sent_total"),
		renewalsUnanswered: o.Metrics.GetOrCreateCounter("cyclamentray_gang_renewals_unanswered_total"),
	}
}

func (r *renewer) run(ctx context.Context) {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.renewRound(ctx)
		}
	}
}

// renewRound runs one round: a first pass of renewals and probes to the workers
// of the assigned gangs, and a second pass that depends on their replies.
func (r *renewer) renewRound(ctx context.Context) {
	assigned := r.assignedGangs(ctx)
	r.roundMu.RLock()
	defer r.roundMu.RUnlock()
	r.mu.Lock()
	r.planner.SetAssigned(r.o.Now(), assigned)
	batches, unreachable := r.planner.PlanRound(r.o.Now())
	r.mu.Unlock()
	r.reportObservations(ctx, unreachable)
	r.sendBatches(ctx, batches)
	r.mu.Lock()
	batches = r.planner.PlanSecondPass()
	r.mu.Unlock()
	r.sendBatches(ctx, batches)
}

// sendBatches sends requests concurrently and reports what their replies show.
func (r *renewer) sendBatches(ctx context.Context, batches []RenewalBatch) {
	observations := make([][]Observation, len(batches))
	var g errgroup.Group
	for i, b := range batches {
		g.Go(func() error {
			observations[i] = r.sendBatch(ctx, b)
			return nil
		})
	}
	_ = g.Wait()
	r.reportObservations(ctx, slices.Concat(observations...))
}

func (r *renewer) sendBatch(ctx context.Context, b RenewalBatch) []Observation {
	address, listed := findWorkerAddress(r.o, b.Worker)
	if !listed {
		return nil
	}
	r.renewalsSent.Inc()
	req := workerapi.RenewRequest{Gangs: b.Gangs, Lease: LeaseDuration}
	if b.Probe {
		req.Lease = 0
	}
	var reply workerapi.RenewReply
	if err := r.o.Workers.Call(ctx, address, workerapi.PathRenew, req, &reply); err != nil {
		r.renewalsUnanswered.Inc()
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.HandleReply(r.o.Now(), b, reply)
}

func findWorkerAddress(o Options, worker string) (string, bool) {
	for _, h := range o.Membership.View().Hosts {
		if h.Name == worker && h.Kind == kvstore.Worker {
			return h.Address, true
		}
	}
	return "", false
}

// reportObservations passes observations to this host's scheduler and to the
// other entry hosts, since any of them may hold the term now or later.
func (r *renewer) reportObservations(ctx context.Context, observations []Observation) {
	for _, o := range observations {
		r.observe(o)
	}
	if len(observations) == 0 || r.o.Peers == nil {
		return
	}
	for _, h := range r.o.Membership.View().LocalPeers() {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		_ = r.o.Peers.Call(ctx, h.PeerAddress, methodObserve, observations, &Ack{})
		cancel()
	}
}
