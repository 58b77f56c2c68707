package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// preemptRetryDelay is how long a unit waits for the capacity of units that
	// it preempted before it preempts more.
	preemptRetryDelay = nominationTTL

	// fasterRunnerWait is how long a unit that could start may still preempt
	// others on faster runners. Together with the wait for the preempted units
	// to stop, it lets a guarantee be reclaimed in time.
	fasterRunnerWait = 600 * time.Millisecond

	// guaranteeReclaimDelay is how long a unit within its organisation's
	// guarantee waits at most before it may preempt others regardless of the
	// work that this throws away. The guarantee is due back in 2.9 s; two
	// tries to stop others, reports and starts take up to 1.7 s of that.
	guaranteeReclaimDelay = 1200 * time.Millisecond

	// stopLatency is the part of a unit's slack that is reserved for stopping
	// the preempted units.
	stopLatency = 600 * time.Millisecond

	// minLostTime is the time that even a task with checkpoints loses: a stop
	// and a restore.
	minLostTime = 500 * time.Millisecond
)

// victims are the units to preempt on one runner to make room for another unit.
type victims struct {
	runner      *runner
	units       []*unit
	later       int       // number of other units that must be stopped too, and may not be yet
	tasks       int       // number of tasks of the preempting unit that fit then
	wasteByUnit []float64 // core-seconds that preempting each unit throws away
	waste       float64   // their sum
	runnerCost  float64   // slot.cost of the runner
}

// preempt stops units of lower priority so that u fits, with the least work
// thrown away, and nominates u for the freed capacity. Runners that are fast
// enough for u to be in time are tried first. It reports whether capacity for u
// is being freed.
func (c *Core) preempt(u *unit, now steady.Time) bool {
	if c.awaitsPreemption(u, now) {
		return true
	}
	candidates := c.preemptionCandidates(u, now)
	if c.preemptInTime(u, candidates, now) {
		return true
	}
	return c.stopVictims(u, u.chooseVictims(candidates, math.Inf(1)), c.wasteAllowed(u, now), now)
}

// preemptForFasterRunners preempts others on faster runners for a unit that
// could start at once but would be late. It reports whether capacity on such
// runners is being freed.
func (c *Core) preemptForFasterRunners(u *unit, now steady.Time) bool {
	if c.awaitsPreemption(u, now) {
		return u.awaitedCost <= c.maxCostInTime(u, now.Add(startLatency))
	}
	return now.Sub(u.eligibleSince) <= fasterRunnerWait && c.preemptInTime(u, c.preemptionCandidates(u, now), now)
}

// preemptInTime preempts others on those candidates that are fast enough for u to
// be in time.
func (c *Core) preemptInTime(u *unit, candidates []victims, now steady.Time) bool {
	if !c.uses(mechanism.InTimeVictims) {
		return false
	}
	chosen := u.chooseVictims(candidates, c.maxCostInTime(u, now.Add(stopLatency)))
	return c.stopVictims(u, chosen, wasteFactorInTime*c.ownWork(u), now)
}

// awaitsPreemption reports whether others were preempted for the unit so recently
// that their capacity may still become free. A guarantee that is due leaves no time
// to wait for stops that are late.
func (c *Core) awaitsPreemption(u *unit, now steady.Time) bool {
	limit := preemptRetryDelay
	if c.guaranteeDue(u, now) {
		limit = stopLatency
	}
	return !u.preemptingSince.IsZero() && now.Sub(u.preemptingSince) < limit
}

// guaranteeDue reports whether a unit within its organisation's guarantee has
// waited so long that it must start on any runner, whatever work that throws away.
func (c *Core) guaranteeDue(u *unit, now steady.Time) bool {
	return now.Sub(u.eligibleSince) >= guaranteeReclaimDelay && c.withinGuarantee(u.job)
}

// stopVictims stops the chosen units unless that throws away more than allowed
// core-seconds, and reports whether it did.
func (c *Core) stopVictims(u *unit, chosen []victims, allowed float64, now steady.Time) bool {
	if chosen == nil || wasteOf(chosen) > allowed || !allowStops(unitsOf(chosen)) {
		return false
	}
	u.preemptingSince, u.awaitedCost = now, 0
	left := u.tasks
	for _, v := range chosen {
		u.awaitedCost = math.Max(u.awaitedCost, v.runnerCost)
		take := min(v.tasks, left)
		left -= take
		for _, victim := range v.units {
			c.stopUnit(victim, now, "preempted by "+u.job.spec.ID)
		}
		v.runner.nominate(u, take, now)
	}
	return true
}

// unitsOf returns the units to preempt on all the runners, each once.
func unitsOf(chosen []victims) []*unit {
	var out []*unit
	for _, v := range chosen {
		for _, victim := range v.units {
			if !slices.Contains(out, victim) {
				out = append(out, victim)
			}
		}
	}
	return out
}

// wasteOf returns the core-seconds that stopping the chosen units throws away.
// A gang counts once.
func wasteOf(chosen []victims) float64 {
	seen := make(map[*unit]bool)
	sum := 0.0
	for _, v := range chosen {
		for i, victim := range v.units {
			if !seen[victim] {
				seen[victim] = true
				sum += v.wasteByUnit[i]
			}
		}
	}
	return sum
}

// wasteAllowed returns the core-seconds that preemption for u may throw away
// now.
func (c *Core) wasteAllowed(u *unit, now steady.Time) float64 {
	waited := now.Sub(u.eligibleSince)
	if u.spec().LongRunning {
		return math.Inf(1) // it serves no users while it is not running
	}
	if c.guaranteeDue(u, now) {
		return math.Inf(1)
	}
	work := c.speeds.expectedDuration(u)
	slack := time.Duration((u.job.spec.Stretch-1)*float64(work)) + u.job.spec.TargetLatency - stopLatency
	used := 1.0
	if waited < slack {
		used = float64(waited) / float64(slack)
	}
	return c.ownWork(u) * (wasteFactorMin + used*(wasteFactorMax-wasteFactorMin))
}

// ownWork returns the expected core-seconds of the unit itself.
func (c *Core) ownWork(u *unit) float64 {
	return u.cores() * c.speeds.expectedDuration(u).Seconds() * float64(u.tasks)
}

// withinGuarantee reports whether all urgent jobs of the job's organisation
// that have not ended fit into its guarantee together.
func (c *Core) withinGuarantee(j *job) bool {
	if c.config == nil || j.spec.Priority != 0 {
		return false
	}
	need := int64(0)
	for _, o := range c.active {
		if o.spec.Priority == 0 && o.spec.Organisation == j.spec.Organisation {
			need += o.spec.MaxAccelerators()
		}
	}
	for _, o := range c.config.Organisations {
		if o.Name == j.spec.Organisation {
			return need <= o.Guaranteed.Accelerators
		}
	}
	return false
}

// nominate reserves capacity of r for the given number of the unit's tasks until
// nominationTTL has passed.
func (r *runner) nominate(u *unit, tasks int, now steady.Time) {
	r.nominations = slices.DeleteFunc(r.nominations, func(n nomination) bool {
		return n.unit == u || !now.Before(n.until) || !n.unit.waiting()
	})
	var sum batch.Resources
	for range tasks {
		sum = sum.Plus(u.spec().ReservedResources())
	}
	r.nominations = append(r.nominations, nomination{unit: u, request: sum, until: now.Add(nominationTTL)})
}

// preemptionCandidates returns the runners on which stopping units makes room for
// tasks of u, the best first.
func (c *Core) preemptionCandidates(u *unit, now steady.Time) []victims {
	slots := c.slots(u, roomByStops, now)
	var all []victims
	for _, s := range slots {
		if !s.remote {
			all = append(all, c.victimsOn(u, s, now))
		}
	}
	slices.SortFunc(all, func(a, b victims) int {
		return cmp.Or(cmp.Compare(a.later, b.later), cmp.Compare(a.score(), b.score()), cmp.Compare(a.runner.ID, b.runner.ID))
	})
	return all
}

// chooseVictims returns the best candidates, on runners that cost at most maxCost,
// that together make room for u, or nil when they don't.
func (u *unit) chooseVictims(candidates []victims, maxCost float64) []victims {
	var affordable []victims
	for _, v := range candidates {
		if v.runnerCost <= maxCost {
			affordable = append(affordable, v)
		}
	}
	if !u.spec().SameRack || u.tasks == 1 {
		return takeVictims(affordable, u.tasks)
	}
	return cheapestRack(affordable, u.tasks)
}

// score orders runners by the work thrown away for each task that then fits,
// with a penalty for slow runners. Lower is better.
func (v victims) score() float64 { return (v.waste/float64(v.tasks) + 1) * v.runnerCost * v.runnerCost }

// cheapestRack returns the victims in the rack where their scores have the lowest
// sum, or nil when no rack has enough room for the tasks.
func cheapestRack(all []victims, tasks int) []victims {
	racks := make(map[string][]victims)
	for _, v := range all {
		racks[v.runner.Rack] = append(racks[v.runner.Rack], v)
	}
	var best []victims
	least := math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(racks)) {
		chosen := takeVictims(racks[name], tasks)
		if chosen == nil {
			continue
		}
		sum := 0.0
		for _, v := range chosen {
			sum += v.score()
		}
		if sum < least {
			best, least = chosen, sum
		}
	}
	return best
}

// takeVictims returns the first of all that together make room for the tasks, or
// nil when all of them don't.
func takeVictims(all []victims, tasks int) []victims {
	var out []victims
	for _, v := range all {
		out = append(out, v)
		tasks -= v.tasks
		if tasks <= 0 {
			return out
		}
	}
	return nil
}

// isStopping reports whether the run was told to stop and may still end in time. A
// stop that is late says nothing about when its capacity becomes free.
func (r *run) isStopping(now steady.Time) bool {
	return r.phase == stopping && now.Sub(r.phaseSince) < stopLatency
}

// obtainableBy returns the resources of r that are free for u or that stopping
// others frees. Runners that urgent work fills are recognised without a look at
// each run, because a pass asks this for every runner and waiting shape. Urgent work
// yields only to units that serve users, if it uses idle CPU.
func (r *runner) obtainableBy(u *unit, now steady.Time) batch.Resources {
	atMost := r.Capacity.Minus(r.reservedUrgent)
	if !u.spec().ServesUsers() && !u.spec().ReservedResources().Fits(atMost) && !slices.ContainsFunc(r.urgentRuns, func(o *run) bool { return o.phase == stopping }) {
		return batch.Resources{}
	}
	return r.freeFor(u, now).Plus(r.preemptibleBy(u, now))
}

// preemptibleBy returns the resources on r of units that yield to u or are
// stopping.
func (r *runner) preemptibleBy(u *unit, now steady.Time) batch.Resources {
	var sum batch.Resources
	for _, run := range r.runs {
		if run.makesWayFor(u, now) {
			sum = sum.Plus(run.unit.spec().ReservedResources())
		}
	}
	return sum
}

// victimsOn chooses the units to stop on one runner: all that must not share it with
// the unit, and others to make room. Runs that are stopping already count as free;
// among the others, those of the lowest priority go first, and then those with the
// least unsaved work.
func (c *Core) victimsOn(u *unit, s slot, now steady.Time) victims {
	r := s.runner
	free := r.freeFor(u, now)
	var candidates []*unit
	for _, run := range r.runs {
		switch {
		case run.isStopping(now):
			free = free.Plus(run.unit.spec().ReservedResources())
		case run.makesWayFor(u, now) && !slices.Contains(candidates, run.unit):
			candidates = append(candidates, run.unit)
		}
	}
	slices.SortFunc(candidates, func(a, b *unit) int {
		return cmp.Or(
			compareBool(!keepsApart(u.spec(), a.spec()), !keepsApart(u.spec(), b.spec())),
			cmp.Compare(b.job.spec.Priority, a.job.spec.Priority),
			cmp.Compare(a.lostWork(now), b.lostWork(now)),
			a.compareIdentity(b),
		)
	})
	v := victims{runner: r, tasks: u.tasksFitting(r, free), runnerCost: s.cost}
	for _, victim := range candidates {
		if v.tasks > 0 && !keepsApart(u.spec(), victim.spec()) {
			break
		}
		free = free.Plus(victim.heldOn(r))
		v.units = append(v.units, victim)
		lost := victim.lostWork(now)
		v.wasteByUnit = append(v.wasteByUnit, lost)
		v.waste += lost
		v.tasks = u.tasksFitting(r, free)
	}
	allowed := allowedStops(v.units)
	v.units, v.later = allowed, len(v.units)-len(allowed)
	v.tasks = max(v.tasks, 1)
	return v
}

// heldOn returns the resources that a unit holds on r.
func (u *unit) heldOn(r *runner) batch.Resources {
	var sum batch.Resources
	for _, run := range u.runs {
		if run.runner == r && run.phase != withdrawn {
			sum = sum.Plus(u.spec().ReservedResources())
		}
	}
	return sum
}

// cores returns what one task requests in cores, with accelerators counted as
// coresPerAccelerator cores each.
func (u *unit) cores() float64 { return coresOf(u.spec().Request) }

func coresOf(request batch.Resources) float64 {
	return float64(request.MilliCPU)/1000 + coresPerAccelerator*float64(request.Accelerators)
}

// lostWork returns the core-seconds that stopping the unit throws away.
func (u *unit) lostWork(now steady.Time) float64 {
	step := u.spec()
	cores := u.cores()
	sum := 0.0
	for _, r := range u.runs {
		lost := minLostTime
		if !step.Checkpoints && !r.startedAt.IsZero() {
			lost += now.Sub(r.startedAt)
		}
		sum += cores * lost.Seconds()
	}
	return sum
}
