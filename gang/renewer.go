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

// renewer keeps the leases of this host's share of gangs. It needs neither
// the term nor the platform: it goes on with the roster it last knew.
type renewer struct {
	o       Options
	observe func(Observation)

	mu    sync.Mutex // guards core
	core  *Renewals
	round sync.RWMutex // held for reading while messages of a round are under way

	sent   *metrics.Counter
	failed *metrics.Counter
}

func newRenewer(o Options, observe func(Observation)) *renewer {
	return &renewer{
		o:       o,
		observe: observe,
		core:    NewRenewals(),
		sent:    o.Metrics.GetOrCreateCounter("cyclamentray_gang_renewals_sent_total"),
		failed:  o.Metrics.GetOrCreateCounter("cyclamentray_gang_renewals_unanswered_total"),
	}
}

func (r *renewer) run(ctx context.Context) {
	ticker := time.NewTicker(RenewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.renewOnce(ctx)
		}
	}
}

// renewOnce does one round: one message to each worker with gangs of the
// share, and a second one where an answer calls for it.
func (r *renewer) renewOnce(ctx context.Context) {
	roster := r.roster(ctx)
	r.round.RLock()
	defer r.round.RUnlock()
	r.mu.Lock()
	r.core.SetRoster(r.o.Now(), roster)
	batches, lost := r.core.Tick(r.o.Now())
	r.mu.Unlock()
	r.report(ctx, lost)
	r.send(ctx, batches)
	r.mu.Lock()
	batches = r.core.Again()
	r.mu.Unlock()
	r.send(ctx, batches)
}

// send delivers a round's messages side by side and takes in the answers.
func (r *renewer) send(ctx context.Context, batches []Batch) {
	learned := make([][]Observation, len(batches))
	var g errgroup.Group
	for i, b := range batches {
		g.Go(func() error {
			learned[i] = r.renew(ctx, b)
			return nil
		})
	}
	_ = g.Wait()
	r.report(ctx, slices.Concat(learned...))
}

func (r *renewer) renew(ctx context.Context, b Batch) []Observation {
	address, listed := workerAddress(r.o, b.Worker)
	if !listed {
		return nil
	}
	r.sent.Inc()
	req := workerapi.RenewRequest{Gangs: b.Gangs, Lease: Lease}
	if b.Probe {
		req.Lease = 0
	}
	var reply workerapi.RenewReply
	if err := r.o.Workers.Call(ctx, address, workerapi.PathRenew, req, &reply); err != nil {
		r.failed.Inc()
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Answer(r.o.Now(), b, reply)
}

func workerAddress(o Options, worker string) (string, bool) {
	for _, h := range o.Membership.View().Hosts {
		if h.Name == worker && h.Kind == kvstore.Worker {
			return h.Address, true
		}
	}
	return "", false
}

// report tells this host's scheduler and the other entry hosts, as any of them
// may be, or become, the one that schedules.
func (r *renewer) report(ctx context.Context, learned []Observation) {
	for _, o := range learned {
		r.observe(o)
	}
	if len(learned) == 0 || r.o.Peers == nil {
		return
	}
	for _, h := range r.o.Membership.View().LocalPeers() {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		_ = r.o.Peers.Call(ctx, h.PeerAddress, methodObserve, learned, &Ack{})
		cancel()
	}
}
