package placement

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cyclamentray/cyclamentray/guarantee"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// What a reclaim costs, when choosing whom to stop.
const (
	restartSeconds  = 180.0 // work time that a gang loses by a checkpoint and restart
	urgentWeight    = 10.0  // stopping urgent work counts as this many times its cost
	excessWeight    = 2.0   // stopping an organisation within its guarantees, per excess share
	reclaimPatience = 2 * time.Minute
)

// startGuaranteed starts the waiting jobs that fit an unused guaranteed shape,
// or reclaims for them, and returns the other jobs. Urgent and older ones come
// first, so that a later job never takes what was reclaimed for another.
func (d *decision) startGuaranteed(queue []*WaitingJob) []*WaitingJob {
	served := map[*WaitingJob]bool{}
	for _, w := range byRight(queue, d.mayClaim()) {
		served[w] = d.serveGuaranteed(w)
	}
	return without(queue, served)
}

// mayClaim returns a test whether a job may find an unused slot, which asks
// the assignment but once for equal claims.
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

// serveGuaranteed reports whether the job was started or reclaimed for.
func (d *decision) serveGuaranteed(w *WaitingJob) bool {
	slot, ok := d.assignment.FindSlot(claimOf(w.ID, w.Shape, w.Urgent))
	if !ok || d.overQuota(w) {
		return false
	}
	avoid := d.avoid(w)
	spare := d.spare(slot)
	if place := d.free.LimitedTo(spare).Fit(w.Shape, avoid); place != nil {
		d.startWithin(w, place)
		return true
	}
	if place := d.free.Fit(w.Shape, avoid); place != nil && d.leavesBacking(w, slot, place) {
		d.startWithin(w, place)
		return true
	}
	if !w.Urgent && d.v.Now.Sub(w.Submitted) < reclaimPatience {
		d.wakeAt(w.Submitted.Add(reclaimPatience))
		return false
	}
	return d.reclaimWithin(w, spare, avoid)
}

// startWithin starts a job within its organisation's guarantee.
func (d *decision) startWithin(w *WaitingJob, place []int) {
	d.claim(w, place)
	d.start(w, place, true)
}

// claim makes the place firm and the job's slot used. The places that back
// other slots stay as they are unless the place took some of them.
func (d *decision) claim(w *WaitingJob, place []int) {
	slot, _ := d.assignment.AddClaim(claimOf(w.ID, w.Shape, w.Urgent))
	spare := d.spare(slot)
	d.firm.AllocateAll(place, w.Shape.AcceleratorsPerTask)
	if !holds(spare, place, w.Shape) {
		d.backing = d.assignment.PlanBacking(d.firm, d.assignment.UnusedSlots(noSlot))
	}
}

// holds reports whether the capacity has room for the shape at the place.
func holds(k *topology.Capacity, place []int, s job.Shape) bool {
	need := map[int]int{}
	for _, w := range place {
		need[w] += s.AcceleratorsPerTask
		if need[w] > k.Free(w) {
			return false
		}
	}
	return true
}

// spare returns what neither guaranteed work nor the backing of unused slots
// other than the given one holds.
func (d *decision) spare(slot int) *topology.Capacity {
	k := d.firm.Clone()
	for s, unused := range d.assignment.Slots() {
		if s != slot && d.assignment.Unused(s) {
			k.AllocateAll(d.backing.Placement(s), unused.Shape.AcceleratorsPerTask)
		}
	}
	return k
}

// leavesBacking reports whether as many of the other unused slots can be
// backed once the job runs at the place as before.
func (d *decision) leavesBacking(w *WaitingJob, slot int, place []int) bool {
	others := d.assignment.UnusedSlots(slot)
	before := 0
	if len(d.backing.UnbackedSlots()) > 0 {
		before = len(d.assignment.PlanBacking(d.firm, others).UnbackedSlots())
	}
	k := d.firm.Clone()
	k.AllocateAll(place, w.Shape.AcceleratorsPerTask)
	return len(d.assignment.PlanBacking(k, others).UnbackedSlots()) <= before
}

// reclaimWithin sets accelerators aside for a guaranteed job and asks the
// borrowers on them to stop. What is stopping already is used first.
func (d *decision) reclaimWithin(w *WaitingJob, spare *topology.Capacity, avoid topology.AvoidFunc) bool {
	room := d.soon.LimitedTo(spare)
	choice, ok := d.choose(room, w, avoid, func(int) bool { return true })
	if !ok {
		return false
	}
	d.claim(w, choice.Placement)
	d.commit(w, choice, fmt.Sprintf("its accelerators are guaranteed to organisation %s", w.ID.Organisation))
	d.hold(w, reasonReclaiming)
	return true
}

// commit reclaims what a choice names and sets its place aside.
func (d *decision) commit(w *WaitingJob, c guarantee.Choice, reason string) {
	d.reclaim(c.Victims, w.ID, reason)
	d.setAside(c.Placement, w.Shape)
	d.use(w.ID.Organisation, w.Team, w.Shape)
}

// choose picks the borrowers to stop for a job among those that are allowed
// and not yet asked to.
func (d *decision) choose(room *topology.Capacity, w *WaitingJob, avoid topology.AvoidFunc, allowed func(borrower int) bool) (guarantee.Choice, bool) {
	if d.reclaimer == nil {
		d.reclaimer = d.newReclaimer()
		d.victims = make([]bool, len(d.borrowers))
	}
	return d.reclaimer.ChooseVictims(room, w.Shape, avoid, func(b int) bool { return !d.victims[b] && allowed(b) })
}

func (d *decision) newReclaimer() *guarantee.Reclaimer {
	excess := d.excess()
	bs := make([]guarantee.Borrower, len(d.borrowers))
	for b, i := range d.borrowers {
		g := &d.v.Running[i]
		bs[b] = guarantee.Borrower{
			Workers:             d.places[i],
			AcceleratorsPerTask: g.Shape.AcceleratorsPerTask,
			Cost:                d.lost(g) / (1 + excessWeight*excess[g.ID.Organisation]),
		}
		if g.Urgent {
			bs[b].Cost = urgentWeight * (bs[b].Cost + guarantee.FixedStopCost)
		}
	}
	return guarantee.NewReclaimer(d.cluster, bs)
}

// lost returns the accelerator-seconds that stopping a gang wastes.
func (d *decision) lost(g *Gang) float64 {
	if g.Checkpoint {
		return restartSeconds * float64(g.Shape.Accelerators())
	}
	return max(0, d.v.Now.Sub(g.Started).Seconds()) * float64(g.Shape.Accelerators())
}

// excess returns, for each organisation, the share of all accelerators that it
// uses beyond its guarantees.
func (d *decision) excess() map[string]float64 {
	promised := map[string]int{}
	for _, s := range d.assignment.Slots() {
		promised[s.Organisation] += s.Shape.Accelerators()
	}
	all := 0
	for _, w := range d.v.Workers {
		all += w.Accelerators
	}
	out := map[string]float64{}
	for org, n := range d.usage {
		out[org] = float64(max(0, n-promised[org])) / float64(max(all, 1))
	}
	return out
}

// compareHolders orders gangs by their right to keep a guarantee.
func compareHolders(a, b *Gang) int {
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
