package gang

import (
	"sort"
	"time"

	"github.com/cyclamentray/cyclamentray/workerapi"
)

// AssignedGang is a gang whose leases this host renews, and its workers.
type AssignedGang struct {
	Gang    workerapi.Gang
	Workers []string // distinct
}

// RenewalBatch is one renewal request to a worker. A probe asks which gangs run
// and extends no lease.
type RenewalBatch struct {
	Worker string
	Gangs  []workerapi.Gang
	Probe  bool
}

// Observation is what a renewal found out about a gang on a worker. Unreachable
// means that the worker confirmed no renewal for a whole lease.
type Observation struct {
	Gang        workerapi.Gang
	Worker      string
	Tasks       []workerapi.Task // the gang's ended tasks that the worker still lists
	Unreachable bool
}

// releaseRetention is how long a gang is kept out of renewal after StopRenewing:
// far longer than the ledger lists a generation that has ended.
const releaseRetention = time.Hour

// memberLease is the renewal state of a gang's tasks on one worker.
type memberLease struct {
	confirmedAt time.Time // time of the last renewal or probe that the worker confirmed; at first, of the assignment
	confirmed   bool      // the worker confirmed the last renewal or probe
	finished    bool      // all its tasks finished; nothing to renew
}

// gangLeases is the renewal state of one gang.
type gangLeases struct {
	assignedAt time.Time
	workers    map[string]*memberLease
	probing    bool // a probe was sent since the last renewal
	abandoned  bool // a member was lost; the gang is not renewed any more
}

// RenewalPlanner decides which leases one entry host renews. A gang's leases are
// renewed together, and only while every member confirmed the last renewal or
// probe. Members that did not, and all members of a gang that was newly assigned
// to this host, first get probes, which extend no lease. The remaining leases of
// a gang that lost a member therefore expire. RenewalPlanner does no I/O and
// reads no clock; it is not safe for concurrent use.
type RenewalPlanner struct {
	gangs      map[workerapi.Gang]*gangLeases
	releasedAt map[workerapi.Gang]time.Time
}

// NewRenewalPlanner returns a RenewalPlanner without gangs.
func NewRenewalPlanner() *RenewalPlanner {
	return &RenewalPlanner{gangs: make(map[workerapi.Gang]*gangLeases), releasedAt: make(map[workerapi.Gang]time.Time)}
}

// StopRenewing removes the gang and keeps it from being assigned to this host
// again for releaseRetention.
func (r *RenewalPlanner) StopRenewing(now time.Time, g workerapi.Gang) {
	r.releasedAt[g] = now
	delete(r.gangs, g)
}

// SetAssigned replaces the gangs whose leases this host renews.
func (r *RenewalPlanner) SetAssigned(now time.Time, assigned []AssignedGang) {
	next := make(map[workerapi.Gang]*gangLeases, len(assigned))
	for _, g := range assigned {
		if _, released := r.releasedAt[g.Gang]; released {
			continue
		}
		leases := r.gangs[g.Gang]
		if leases == nil {
			leases = newGangLeases(now, g.Workers)
		}
		next[g.Gang] = leases
	}
	r.gangs = next
	for g, at := range r.releasedAt {
		if now.Sub(at) >= releaseRetention {
			delete(r.releasedAt, g)
		}
	}
}

func newGangLeases(now time.Time, workers []string) *gangLeases {
	leases := &gangLeases{assignedAt: now, workers: make(map[string]*memberLease, len(workers))}
	for _, w := range workers {
		leases.workers[w] = &memberLease{confirmedAt: now}
	}
	return leases
}

// PlanRound returns the requests of one round, probes before renewals and each
// ordered by worker, and the gangs that are abandoned because a worker confirmed
// nothing for a whole lease.
func (r *RenewalPlanner) PlanRound(now time.Time) (batches []RenewalBatch, unreachable []Observation) {
	set := newBatchSet()
	for _, g := range r.sortedGangs() {
		leases := r.gangs[g]
		if leases.abandoned {
			continue
		}
		if w := leases.expiredWorker(now); w != "" {
			leases.abandoned = true
			unreachable = append(unreachable, Observation{Gang: g, Worker: w, Unreachable: true})
			continue
		}
		set.add(g, leases)
	}
	return set.batches(), unreachable
}

// PlanSecondPass returns the requests of the round's second pass, after the replies
// to the first: it renews gangs whose probes were all confirmed, and probes once
// more the members that confirmed nothing.
func (r *RenewalPlanner) PlanSecondPass() []RenewalBatch {
	set := newBatchSet()
	for _, g := range r.sortedGangs() {
		leases := r.gangs[g]
		if !leases.abandoned && (leases.probing || leases.hasUnconfirmed()) {
			set.add(g, leases)
		}
	}
	return set.batches()
}

// batchSet collects the gangs to probe and to renew by worker.
type batchSet struct {
	probes   map[string][]workerapi.Gang
	renewals map[string][]workerapi.Gang
}

func newBatchSet() batchSet {
	return batchSet{probes: make(map[string][]workerapi.Gang), renewals: make(map[string][]workerapi.Gang)}
}

// add adds a gang's next probes or renewals.
func (b batchSet) add(g workerapi.Gang, leases *gangLeases) {
	leases.probing = leases.hasUnconfirmed()
	for w, lease := range leases.workers {
		switch {
		case lease.finished:
		case !leases.probing:
			lease.confirmed = false
			b.renewals[w] = append(b.renewals[w], g)
		case !lease.confirmed:
			b.probes[w] = append(b.probes[w], g)
		}
	}
}

func (b batchSet) batches() []RenewalBatch {
	var out []RenewalBatch
	for _, w := range sortedKeys(b.probes) {
		out = append(out, RenewalBatch{Worker: w, Gangs: b.probes[w], Probe: true})
	}
	for _, w := range sortedKeys(b.renewals) {
		out = append(out, RenewalBatch{Worker: w, Gangs: b.renewals[w]})
	}
	return out
}

// hasUnconfirmed reports whether some member did not confirm the last renewal or
// probe.
func (leases *gangLeases) hasUnconfirmed() bool {
	for _, lease := range leases.workers {
		if !lease.finished && !lease.confirmed {
			return true
		}
	}
	return false
}

func (r *RenewalPlanner) sortedGangs() []workerapi.Gang {
	out := make([]workerapi.Gang, 0, len(r.gangs))
	for g := range r.gangs {
		out = append(out, g)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Job != out[j].Job {
			return out[i].Job < out[j].Job
		}
		return out[i].Generation < out[j].Generation
	})
	return out
}

// expiredWorker returns the first worker by name that confirmed nothing for a
// whole lease, or "".
func (leases *gangLeases) expiredWorker(now time.Time) string {
	found := ""
	for w, lease := range leases.workers {
		if !lease.finished && now.Sub(lease.confirmedAt) >= LeaseDuration && (found == "" || w < found) {
			found = w
		}
	}
	return found
}

// HandleReply applies a worker's reply to a batch and returns what it shows about
// gangs that were not renewed.
func (r *RenewalPlanner) HandleReply(now time.Time, b RenewalBatch, reply workerapi.RenewReply) []Observation {
	missing := make(map[workerapi.Gang]bool, len(reply.Missing))
	for _, g := range reply.Missing {
		missing[g] = true
	}
	var out []Observation
	for _, g := range b.Gangs {
		leases := r.gangs[g]
		if leases == nil || leases.workers[b.Worker] == nil {
			continue
		}
		if !missing[g] {
			lease := leases.workers[b.Worker]
			lease.confirmedAt, lease.confirmed = now, true
			continue
		}
		out = append(out, leases.onMissing(now, g, b.Worker, reply.Ended)...)
	}
	return out
}

// onMissing handles a gang that a worker did not renew: its tasks finished there,
// some ended otherwise, or its start is still in progress.
func (leases *gangLeases) onMissing(now time.Time, g workerapi.Gang, worker string, ended []workerapi.Task) []Observation {
	var tasks []workerapi.Task
	finished := true
	for _, t := range ended {
		if t.Gang == g {
			tasks = append(tasks, t)
			finished = finished && t.State == workerapi.TaskFinished
		}
	}
	starting := len(tasks) == 0 && now.Sub(leases.assignedAt) < LeaseDuration
	if starting {
		return nil
	}
	lease := leases.workers[worker]
	lease.finished = finished && len(tasks) > 0
	leases.abandoned = leases.abandoned || !lease.finished
	return []Observation{{Gang: g, Worker: worker, Tasks: tasks}}
}
