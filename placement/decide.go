package placement

import (
	"slices"

	"github.com/cyclamentray/cyclamentray/guarantee"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// Decide returns what to start, reclaim and hold. It does not change v, and equal
// views give equal plans.
//
// Waiting jobs within a guarantee are served first, then urgent jobs, then the
// others: overdue jobs first, then by a score that weighs a job's wait against its
// expected run time and size.
func Decide(v View) Plan {
	if v.Out {
		return drainPlan(&v)
	}
	return decide(&v).plan
}

// decide makes the plan of a failure domain that is in service.
func decide(v *View) *decision {
	d := newDecision(v)
	d.reportDeficits()
	queue := d.admitJobs()
	queue = d.startGuaranteed(queue)
	queue = d.startUrgent(queue)
	queue = d.startProbes(queue)
	d.startWithBackfill(queue)
	return d
}

// decision is the state of one call of Decide or PullableJobs.
type decision struct {
	v                     *View
	plan                  Plan
	cluster               *topology.Cluster
	free                  *topology.Capacity // free now and not set aside for a job
	freeSoon              *topology.Capacity // free, or about to be freed by stopping gangs
	unguaranteed          *topology.Capacity // not used by gangs that count against guarantees
	remaining             *topology.Capacity // free beside the reservations once the plan's jobs have started
	assignment            *guarantee.Assignment
	backing               *guarantee.Backing
	placements            [][]int // worker of each task of each running gang, without unknown workers
	borrowers             []int   // indices in v.Running of the gangs that may be reclaimed
	teams                 map[teamKey]*quotaUse
	usage                 map[string]int // accelerators in use by each organisation
	predictor             *predictor
	reclaimer             *guarantee.Reclaimer
	victims               []bool               // by index in borrowers: asked to stop in this plan
	fitsBesideGuarantees  map[job.Shape]bool   // whether a shape fits beside the backing of all guarantees
	urgentReclaimAttempts int                  // searches for borrowers to stop for urgent jobs outside guarantees
	noVictims             map[job.Shape]bool   // shapes for which urgent jobs found no borrowers to stop
	infeasibleReasons     map[job.Shape]string // why a shape can never run here; empty: it can
	idle                  *topology.Capacity   // all workers with nothing running; nil until first needed
}

// teamKey identifies a team of an organisation.
type teamKey struct{ organisation, name string }

// quotaUse is a team's quota and the part of it in use, in accelerators.
type quotaUse struct{ limit, used int }

func newDecision(v *View) *decision {
	d := &decision{
		v:                    v,
		cluster:              topology.NewCluster(topologyWorkers(v.Workers)),
		assignment:           guarantee.NewAssignment(guarantees(v.Guarantees)),
		teams:                map[teamKey]*quotaUse{},
		usage:                map[string]int{},
		predictor:            newPredictor(v.Estimates),
		infeasibleReasons:    map[job.Shape]string{},
		fitsBesideGuarantees: map[job.Shape]bool{},
		noVictims:            map[job.Shape]bool{},
	}
	for _, q := range v.Quotas {
		d.teams[teamKey{q.Organisation, q.Team}] = &quotaUse{limit: q.Accelerators}
	}
	d.unguaranteed = topology.NewCapacity(d.cluster)
	d.free = d.unguaranteed.Clone()
	d.freeSoon = d.unguaranteed.Clone()
	d.addRunning()
	d.backing = d.assignment.PlanBacking(d.unguaranteed, d.assignment.UnusedSlots(noSlot))
	return d
}

// noSlot is passed where a slot may be excluded, to exclude none.
const noSlot = -1

// addRunning allocates the accelerators of running gangs and determines which gangs
// count against guarantees: those that were started under one, as long as slots
// are left.
func (d *decision) addRunning() {
	d.placements = make([][]int, len(d.v.Running))
	for i := range d.v.Running {
		g := &d.v.Running[i]
		d.placements[i] = d.positions(g.Workers)
		n := g.Shape.AcceleratorsPerTask
		d.free.AllocateAll(d.placements[i], n)
		if !g.Stopping {
			d.freeSoon.AllocateAll(d.placements[i], n)
		}
		d.addUsage(g.ID.Organisation, g.Team, g.Shape)
	}
	for _, i := range d.claimOrder() {
		g := &d.v.Running[i]
		if _, ok := d.assignment.AddClaim(claimOf(g.ID, g.Shape, g.Urgent)); ok {
			d.unguaranteed.AllocateAll(d.placements[i], g.Shape.AcceleratorsPerTask)
			continue
		}
		d.borrowers = append(d.borrowers, i)
	}
	for i := range d.v.Running {
		if g := &d.v.Running[i]; !g.Guaranteed && !g.Stopping {
			d.borrowers = append(d.borrowers, i)
		}
	}
	slices.Sort(d.borrowers)
}

// claimOrder returns the running gangs that were started under a guarantee: urgent
// ones first, then larger, then older. When an edit of the configuration has removed
// slots, the last ones no longer count against the guarantee.
func (d *decision) claimOrder() []int {
	var out []int
	for i := range d.v.Running {
		if g := &d.v.Running[i]; g.Guaranteed && !g.Stopping {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b int) int { return compareGuaranteedGangs(&d.v.Running[a], &d.v.Running[b]) })
	return out
}

// positions returns the positions of the named workers, without unknown ones.
func (d *decision) positions(names []string) []int {
	out := make([]int, 0, len(names))
	for _, n := range names {
		if w, ok := d.cluster.Position(n); ok {
			out = append(out, w)
		}
	}
	return out
}

func (d *decision) addUsage(organisation, team string, s job.Shape) {
	d.usage[organisation] += s.Accelerators()
	if q := d.teams[teamKey{organisation, team}]; q != nil {
		q.used += s.Accelerators()
	}
}

// startJob adds a start to the plan and allocates its accelerators.
func (d *decision) startJob(w *WaitingJob, placement []int, guaranteed bool) {
	d.plan.Starts = append(d.plan.Starts, Start{ID: w.ID, Workers: d.cluster.WorkerNames(placement), Guaranteed: guaranteed})
	d.setAside(placement, w.Shape)
	d.addUsage(w.ID.Organisation, w.Team, w.Shape)
}

// setAside allocates accelerators so that no later job of this decision gets them.
func (d *decision) setAside(placement []int, s job.Shape) {
	d.free.AllocateAll(placement, s.AcceleratorsPerTask)
	d.freeSoon.AllocateAll(placement, s.AcceleratorsPerTask)
}

func (d *decision) holdJob(w *WaitingJob, reason string) {
	d.plan.Holds = append(d.plan.Holds, Hold{ID: w.ID, Reason: reason})
}

// reclaimBorrowers adds the borrowers to the plan's reclaims. From then on they
// count as stopping.
func (d *decision) reclaimBorrowers(borrowers []int, forJob job.ID, reason string) {
	for _, b := range borrowers {
		g := &d.v.Running[d.borrowers[b]]
		d.plan.Reclaims = append(d.plan.Reclaims, Reclaim{ID: g.ID, For: forJob, Reason: reason})
		d.freeSoon.ReleaseAll(d.placements[d.borrowers[b]], g.Shape.AcceleratorsPerTask)
		d.victims[b] = true
	}
}

// drainPlan returns the plan of a failure domain that is out of service: it holds
// all waiting jobs and asks the gangs that can checkpoint to stop.
func drainPlan(v *View) Plan {
	var p Plan
	for i := range v.Running {
		if g := &v.Running[i]; g.Checkpoint && !g.Stopping {
			p.Reclaims = append(p.Reclaims, Reclaim{ID: g.ID, Reason: reasonDrain})
		}
	}
	for i := range v.Waiting {
		p.Holds = append(p.Holds, Hold{ID: v.Waiting[i].ID, Reason: reasonOut})
	}
	return p
}

func claimOf(id job.ID, s job.Shape, urgent bool) guarantee.Claim {
	return guarantee.Claim{Organisation: id.Organisation, Shape: s, Urgent: urgent}
}

func guarantees(gs []Guarantee) []guarantee.Guarantee {
	out := make([]guarantee.Guarantee, len(gs))
	for i, g := range gs {
		out[i] = guarantee.Guarantee(g)
	}
	return out
}

// topologyWorkers converts workers to those of package topology. A probing worker
// is unavailable there.
func topologyWorkers(workers []Worker) []topology.Worker {
	out := make([]topology.Worker, len(workers))
	for i, w := range workers {
		out[i] = topology.Worker{
			Name:         w.Name,
			Rack:         w.Rack,
			Accelerators: w.Accelerators,
			Unavailable:  w.UnavailableReason != "" || w.Probing,
		}
	}
	return out
}
