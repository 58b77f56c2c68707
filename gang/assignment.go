package gang

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// assignedGangs returns the gangs that are assigned to this host, as read from
// the ledger. A host that has never read the ledger asks the workers instead.
func (r *renewer) assignedGangs(ctx context.Context) (out []AssignedGang) {
	records, _, complete := r.o.Ledger.Snapshot()
	if !complete {
		return r.gangsFromWorkers(ctx)
	}
	assignment := newGangAssignment(r.o)
	for _, key := range sortedKeys(records) {
		rec := records[key]
		if (rec.State != job.Placed && rec.State != job.Running) || len(rec.Workers) == 0 {
			continue
		}
		if assignment.assignedToSelf(rec.Workers[0]) {
			g := workerapi.Gang{Job: key, Generation: rec.Generation}
			out = append(out, AssignedGang{Gang: g, Workers: distinct(rec.Workers)})
		}
	}
	return out
}

// gangsFromWorkers returns the assigned gangs as found in the workers' task lists.
// It leaves out gangs of which not every task is running or finished.
func (r *renewer) gangsFromWorkers(ctx context.Context) []AssignedGang {
	var mu sync.Mutex
	workersByTask := make(map[workerapi.Gang]map[int]string) // task index to worker
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
				if workersByTask[t.Gang] == nil {
					workersByTask[t.Gang] = make(map[int]string)
				}
				workersByTask[t.Gang][t.Index] = h.Name
				size[t.Gang] = t.GangTasks
			}
			return nil
		})
	}
	_ = g.Wait()
	assignment := newGangAssignment(r.o)
	var out []AssignedGang
	for gang, tasks := range workersByTask {
		if len(tasks) != size[gang] || !assignment.assignedToSelf(tasks[0]) {
			continue
		}
		workers := make([]string, len(tasks))
		for i := range workers {
			workers[i] = tasks[i]
		}
		out = append(out, AssignedGang{Gang: gang, Workers: distinct(workers)})
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

// gangAssignment distributes gangs over the live entry hosts by the rack of their
// first worker, so that most workers get renewals from one entry host only.
type gangAssignment struct {
	self  string
	hosts []string
	racks map[string]string // worker to rack
}

func newGangAssignment(o Options) gangAssignment {
	view := o.Membership.View()
	a := gangAssignment{self: view.Self.Name, hosts: []string{view.Self.Name}, racks: make(map[string]string)}
	for _, h := range view.LocalPeers() {
		a.hosts = append(a.hosts, h.Name)
	}
	for _, h := range view.Workers(o.FailureDomain) {
		a.racks[h.Name] = h.Rack
	}
	return a
}

// assignedToSelf reports whether this host has the highest rendezvous hash for the
// worker's rack.
func (a gangAssignment) assignedToSelf(worker string) bool {
	rack := a.racks[worker]
	if rack == "" {
		rack = worker
	}
	bestHost, bestHash := "", uint64(0)
	for _, h := range a.hosts {
		sum := xxhash.Sum64String(h + "/" + rack)
		if bestHost == "" || sum > bestHash || (sum == bestHash && h < bestHost) {
			bestHost, bestHash = h, sum
		}
	}
	return bestHost == a.self
}
