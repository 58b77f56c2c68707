package gang

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

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
	for _, h := range view.LocalPeers() {
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
