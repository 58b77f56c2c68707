package placement

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cyclamentray/cyclamentray/guarantee"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// Weights in the cost of stopping a gang, and the wait before reclaiming.
const (
	restartCostSeconds    = 180.0           // run time that a gang loses by a checkpoint and restart
	urgentWeight          = 10.0            // factor on the cost of stopping an urgent gang
	excessWeight          = 2.0             // the cost is divided by 1 + this times the organisation's excess share
	nonUrgentReclaimDelay = 2 * time.Minute // wait of a guaranteed job that is not urgent before accelerators are reclaimed for it
)

// startGuaranteed starts the waiting jobs that fit an unused guaranteed shape, or
// reclaims accelerators for them, and returns the other jobs. Urgent jobs are served
// first, then older ones, so that a later job never takes what was reclaimed for
// another.
func (d *decision) startGuaranteed(queue []*WaitingJob) []*WaitingJob {
	served := map[*WaitingJob]bool{}
	for _, w := range selectByUrgency(queue, d.mayClaim()) {
		served[w] = d.serveGuaranteed(w)
	}
	return withoutServed(queue, served)
}

// mayClaim returns a function that reports whether a job can use an unused slot. It
// asks the assignment only once for equal claims.
func (d *decision) mayClaim() func(w *WaitingJob) bool {
	known := map[guarantee.Claim]bool{}
	return func(w *WaitingJob) bool {
		c := claimOf(w.ID, w.Shape, w.Urgent)
		found, ok := known[c]
		if !ok {
			_, found = d.assignment.FindSlot(c)
			known[c] = found
		}
		return found
	}
}

// compareUrgency sorts urgent before non-urgent.
func compareUrgency(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// serveGuaranteed starts a job within its organisation's guarantee or reclaims
// accelerators for it, and reports whether it did either.
func (d *decision) serveGuaranteed(w *WaitingJob) bool {
	slot, ok := d.assignment.FindSlot(claimOf(w.ID, w.Shape, w.Urgent))
	if !ok || d.overQuota(w) {
		return false
	}
	avoid := d.avoidFunc(w)
	spare := d.capacityBesideBacking(slot)
	if placement := d.free.LimitedTo(spare).Fit(w.Shape, avoid); placement != nil {
		d.startGuaranteedJob(w, placement)
		return true
	}
	if placement := d.free.Fit(w.Shape, avoid); placement != nil && d.keepsBacking(w, slot, placement) {
		d.startGuaranteedJob(w, placement)
		return true
	}
	if !w.Urgent && d.v.Now.Sub(w.Submitted) < nonUrgentReclaimDelay {
		d.decideAgainAt(w.Submitted.Add(nonUrgentReclaimDelay))
		return false
	}
	return d.reclaimForGuaranteed(w, spare, avoid)
}

// startGuaranteedJob starts a job within its organisation's guarantee.
func (d *decision) startGuaranteedJob(w *WaitingJob, placement []int) {
	d.claimSlot(w, placement)
	d.startJob(w, placement, true)
}

// claimSlot marks the job's slot as used and the placement as guaranteed. The
// placements that back other slots stay as they are unless the job takes some of
// their accelerators.
func (d *decision) claimSlot(w *WaitingJob, placement []int) {
	slot, _ := d.assignment.AddClaim(claimOf(w.ID, w.Shape, w.Urgent))
	spare := d.capacityBesideBacking(slot)
	d.unguaranteed.AllocateAll(placement, w.Shape.AcceleratorsPerTask)
	if !hasRoomAt(spare, placement, w.Shape) {
		d.backing = d.assignment.PlanBacking(d.unguaranteed, d.assignment.UnusedSlots(noSlot))
	}
}

// hasRoomAt reports whether the capacity has room for the shape at the placement.
func hasRoomAt(k *topology.Capacity, placement []int, s job.Shape) bool {
	need := map[int]int{}
	for _, w := range placement {
		need[w] += s.AcceleratorsPerTask
		if need[w] > k.Free(w) {
			return false
		}
	}
	return true
}

// capacityBesideBacking returns the capacity that is used neither by guaranteed
// gangs nor by the backing of unused slots other than the given one.
func (d *decision) capacityBesideBacking(slot int) *topology.Capacity {
	k := d.unguaranteed.Clone()
	for s, unused := range d.assignment.Slots() {
		if s != slot && d.assignment.Unused(s) {
			k.AllocateAll(d.backing.Placement(s), unused.Shape.AcceleratorsPerTask)
		}
	}
	return k
}

// keepsBacking reports whether, once the job runs at the placement, at least as
// many of the other unused slots can be backed as before.
func (d *decision) keepsBacking(w *WaitingJob, slot int, placement []int) bool {
	others := d.assignment.UnusedSlots(slot)
	before := 0
	if len(d.backing.UnbackedSlots()) > 0 {
		before = len(d.assignment.PlanBacking(d.unguaranteed, others).UnbackedSlots())
	}
	k := d.unguaranteed.Clone()
	k.AllocateAll(placement, w.Shape.AcceleratorsPerTask)
	return len(d.assignment.PlanBacking(k, others).UnbackedSlots()) <= before
}

// reclaimForGuaranteed sets accelerators aside for a guaranteed job and asks the
// borrowers on them to stop. Accelerators of gangs that are already stopping are
// used first.
func (d *decision) reclaimForGuaranteed(w *WaitingJob, spare *topology.Capacity, avoid topology.AvoidFunc) bool {
	available := d.freeSoon.LimitedTo(spare)
	choice, ok := d.chooseVictims(available, w, avoid, func(int) bool { return true })
	if !ok {
		return false
	}
	d.claimSlot(w, choice.Placement)
	d.reclaimAndSetAside(w, choice, fmt.Sprintf("its accelerators are guaranteed to organisation %s", w.ID.Organisation))
	d.holdJob(w, reasonGuaranteedReclaiming)
	return true
}

// reclaimAndSetAside reclaims the victims of a choice and sets its placement aside
// for the job.
func (d *decision) reclaimAndSetAside(w *WaitingJob, c guarantee.Choice, reason string) {
	d.reclaimBorrowers(c.Victims, w.ID, reason)
	d.setAside(c.Placement, w.Shape)
	d.addUsage(w.ID.Organisation, w.Team, w.Shape)
}

// chooseVictims chooses the borrowers to stop for a job among those that are
// allowed and not yet asked to stop.
func (d *decision) chooseVictims(available *topology.Capacity, w *WaitingJob, avoid topology.AvoidFunc, allowed func(borrower int) bool) (guarantee.Choice, bool) {
	if d.reclaimer == nil {
		d.reclaimer = d.newReclaimer()
		d.victims = make([]bool, len(d.borrowers))
	}
	return d.reclaimer.ChooseVictims(available, w.Shape, avoid, func(b int) bool { return !d.victims[b] && allowed(b) })
}

func (d *decision) newReclaimer() *guarantee.Reclaimer {
	excess := d.excessShares()
	bs := make([]guarantee.Borrower, len(d.borrowers))
	for b, i := range d.borrowers {
		g := &d.v.Running[i]
		bs[b] = guarantee.Borrower{
			Workers:             d.placements[i],
			AcceleratorsPerTask: g.Shape.AcceleratorsPerTask,
			Cost:                d.lostWork(g) / (1 + excessWeight*excess[g.ID.Organisation]),
		}
		if g.Urgent {
			bs[b].Cost = urgentWeight * (bs[b].Cost + guarantee.FixedStopCost)
		}
	}
	return guarantee.NewReclaimer(d.cluster, bs)
}

// lostWork returns the accelerator-seconds lost by stopping a gang.
func (d *decision) lostWork(g *Gang) float64 {
	if g.Checkpoint {
		return restartCostSeconds * float64(g.Shape.Accelerators())
	}
	return max(0, d.v.Now.Sub(g.Started).Seconds()) * float64(g.Shape.Accelerators())
}

// excessShares returns, for each organisation, the share of all accelerators that
// it uses beyond its guarantees.
func (d *decision) excessShares() map[string]float64 {
	guaranteed := map[string]int{}
	for _, s := range d.assignment.Slots() {
		guaranteed[s.Organisation] += s.Shape.Accelerators()
	}
	all := 0
	for _, w := range d.v.Workers {
		all += w.Accelerators
	}
	out := map[string]float64{}
	for org, n := range d.usage {
		out[org] = float64(max(0, n-guaranteed[org])) / float64(max(all, 1))
	}
	return out
}

// compareGuaranteedGangs orders gangs by their precedence for keeping a guarantee.
func compareGuaranteedGangs(a, b *Gang) int {
	return cmp.Or(
		compareUrgency(a.Urgent, b.Urgent),
		cmp.Compare(b.Shape.Accelerators(), a.Shape.Accelerators()),
		a.Started.Compare(b.Started),
		compareIDs(a.ID, b.ID),
	)
}

func compareIDs(a, b job.ID) int {
	return cmp.Or(
		cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Name, b.Name),
	)
}
