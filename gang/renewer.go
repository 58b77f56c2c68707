package gang

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/peer"
	"github.com/cyclamentray/cyclamentray/platform"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// Methods of the net/rpc service that entry hosts of a failure domain offer
// each other.
const (
	peerService   = "Gangs"
	methodRelease = peerService + ".Release"
	methodObserve = peerService + ".Observe"
	methodHold    = peerService + ".Hold"
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
		if h.Name == worker && h.Kind == platform.Worker {
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
	for _, h := range r.o.Membership.View().Neighbours() {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		_ = r.o.Peers.Call(ctx, h.PeerAddress, methodObserve, learned, &Ack{})
		cancel()
	}
}

// roster lists the gangs of this host's share. A host that has never read the
// ledger asks the workers instead.
func (r *renewer) roster(ctx context.Context) (out []RosterGang) {
	records, _, complete := r.o.Ledger.Snapshot()
	if !complete {
		return r.listed(ctx)
	}
	share := newShares(r.o)
	for _, key := range sortedKeys(records) {
		rec := records[key]
		if (rec.State != job.Placed && rec.State != job.Running) || len(rec.Workers) == 0 {
			continue
		}
		if share.mine(rec.Workers[0]) {
			g := workerapi.Gang{Job: key, Generation: rec.Generation}
			out = append(out, RosterGang{Gang: g, Workers: distinct(rec.Workers)})
		}
	}
	return out
}

// listed builds the roster from what the workers run: whole gangs only.
func (r *renewer) listed(ctx context.Context) []RosterGang {
	var mu sync.Mutex
	found := make(map[workerapi.Gang]map[int]string)
	size := make(map[workerapi.Gang]int)
	var g errgroup.Group
	for _, h := range r.o.Membership.View().Workers(r.o.FailureDomain) {
		g.Go(func() error {
			var reply workerapi.TasksReply
			if err := r.o.Workers.Call(ctx, h.Address, workerapi.PathTasks, nil, &reply); err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			for _, t := range reply.Tasks {
				if t.State != workerapi.TaskRunning && t.State != workerapi.TaskFinished {
					continue
				}
				if found[t.Gang] == nil {
					found[t.Gang] = make(map[int]string)
				}
				found[t.Gang][t.Index] = h.Name
				size[t.Gang] = t.GangTasks
			}
			return nil
		})
	}
	_ = g.Wait()
	share := newShares(r.o)
	var out []RosterGang
	for gang, tasks := range found {
		if len(tasks) != size[gang] || !share.mine(tasks[0]) {
			continue
		}
		workers := make([]string, len(tasks))
		for i := range workers {
			workers[i] = tasks[i]
		}
		out = append(out, RosterGang{Gang: gang, Workers: distinct(workers)})
	}
	return out
}

func distinct(names []string) []string {
	seen := make(map[string]bool, len(names))
	var out []string
	for _, n := range names {
		if !seen[n] {
			seen[n] = true
			out = append(out, n)
		}
	}
	return out
}

// shares splits gangs over the live entry hosts by the rack of their first
// worker, so that most workers hear from one entry host only.
type shares struct {
	self  string
	hosts []string
	racks map[string]string // worker to rack
}

func newShares(o Options) shares {
	view := o.Membership.View()
	sh := shares{self: view.Self.Name, hosts: []string{view.Self.Name}, racks: make(map[string]string)}
	for _, h := range view.Neighbours() {
		sh.hosts = append(sh.hosts, h.Name)
	}
	for _, h := range view.Workers(o.FailureDomain) {
		sh.racks[h.Name] = h.Rack
	}
	return sh
}

// mine tells whether this host has the highest rendezvous hash for the rack.
func (sh shares) mine(worker string) bool {
	rack := sh.racks[worker]
	if rack == "" {
		rack = worker
	}
	best, top := "", uint64(0)
	for _, h := range sh.hosts {
		sum := xxhash.Sum64String(h + "/" + rack)
		if best == "" || sum > top || (sum == top && h < best) {
			best, top = h, sum
		}
	}
	return best == sh.self
}

// release promises that this host renews the gang no more, and waits for
// messages already under way.
func (r *renewer) release(g workerapi.Gang) {
	r.mu.Lock()
	r.core.Release(r.o.Now(), g)
	r.mu.Unlock()
	r.round.Lock() // waits for the present round
	defer r.round.Unlock()
}

// fence gets that promise from every entry host that may renew the gang, the
// silent ones included: one that does not answer may still renew.
func (r *renewer) fence(ctx context.Context, g workerapi.Gang) bool {
	r.release(g)
	view := r.o.Membership.View()
	all := true
	for _, h := range view.Hosts {
		if h.Kind != platform.EntryHost || h.FailureDomain != r.o.FailureDomain || h.Name == view.Self.Name {
			continue
		}
		all = all && r.askRelease(ctx, h.PeerAddress, g)
	}
	return all
}

func (r *renewer) askRelease(ctx context.Context, address string, g workerapi.Gang) bool {
	if r.o.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
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
	p.s.renewer.release(g)
	reply.OK = true
	return nil
}

// Observe takes what another entry host's renewals taught.
func (p *peerMethods) Observe(learned []Observation, reply *Ack) error {
	for _, o := range learned {
		p.s.Observe(o)
	}
	reply.OK = true
	return nil
}

// Hold tells why a queued job waits, if this host schedules.
func (p *peerMethods) Hold(id job.ID, reply *HoldReply) error {
	reply.Reason, reply.Known = p.s.Hold(id)
	return nil
}
