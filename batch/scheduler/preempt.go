package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// preemptAgain is how long a unit waits for what it had stopped before it
	// has more stopped.
	preemptAgain = nominationLife

	// wasteFirst and wasteLast bound the work that an urgent unit may have thrown
	// away, as a multiple of its own: at once, and when its slack is used up. At
	// the users' prices an urgent job in time is worth about five times its
	// own work thrown away.
	wasteFirst = 0.5
	wasteLast  = 4.0

	// wasteInTime bounds it where it decides whether the job is in time: at the
	// users' prices a late one is worth a fifth, and the difference pays for four
	// to eight times the job's own work.
	wasteInTime = 4.0

	// fasterWithin is how long a unit that could start may look for a faster place.
	// With the wait for what is stopped, a guarantee is still reclaimed in time.
	fasterWithin = 600 * time.Millisecond

	// reclaimAfter is how long a unit within its organisation's guarantee waits
	// at most before others are stopped whatever that throws away. The guarantee
	// is due back in 2.7 s; a stop, reports and starts take up to 0.8 s of that.
	reclaimAfter = 1200 * time.Millisecond

	// stopLead is kept of a unit's slack for the stop itself.
	stopLead = 600 * time.Millisecond

	// acceleratorCores weighs an accelerator's time against a core's.
	acceleratorCores = 8

	// unsavedFloor is the work that even a saved task loses: stop and restore.
	unsavedFloor = 500 * time.Millisecond
)

// victims is a way to make room on one runner.
type victims struct {
	runner *runner
	units  []*unit
	tasks  int       // of the preempting unit that fit then
	wastes []float64 // core-seconds that each of the units throws away
	waste  float64   // their sum
	cost   float64   // of the runner
}

// preempt has units of lower priority stopped so that u fits, with the least
// work thrown away, and keeps their room for u. Runners that are fast enough for
// u to be in time go first. It reports whether room is on its way.
func (c *Core) preempt(u *unit, now steady.Time) bool {
	if u.awaitsRoom(now) {
		return true
	}
	if c.preemptInTime(u, now) {
		return true
	}
	return c.stopVictims(u, c.choosePreemption(u, math.Inf(1), now), c.wasteAllowed(u, now), now)
}

// preemptFaster makes room for a unit that could start at once but would be late.
func (c *Core) preemptFaster(u *unit, now steady.Time) bool {
	if u.awaitsRoom(now) {
		return u.awaited <= c.slowestInTime(u, now.Add(startLead))
	}
	return now.Sub(u.since) <= fasterWithin && c.preemptInTime(u, now)
}

// preemptInTime makes room on runners that are fast enough for u to be in time.
func (c *Core) preemptInTime(u *unit, now steady.Time) bool {
	chosen := c.choosePreemption(u, c.slowestInTime(u, now.Add(stopLead)), now)
	return c.stopVictims(u, chosen, wasteInTime*c.ownWork(u), now)
}

// awaitsRoom reports whether others were stopped for the unit a moment ago.
func (u *unit) awaitsRoom(now steady.Time) bool {
	return !u.preempting.IsZero() && now.Sub(u.preempting) < preemptAgain
}

// stopVictims stops what was chosen unless that throws too much away.
func (c *Core) stopVictims(u *unit, chosen []victims, allowed float64, now steady.Time) bool {
	if chosen == nil || wasteOf(chosen) > allowed {
		return false
	}
	u.preempting, u.awaited = now, 0
	left := u.tasks
	for _, v := range chosen {
		u.awaited = math.Max(u.awaited, v.cost)
		take := min(v.tasks, left)
		left -= take
		for _, victim := range v.units {
			victim.preempted++
			c.stopUnit(victim, now, "preempted by "+u.job.spec.ID)
		}
		v.runner.nominate(u, take, now)
	}
	return true
}

// wasteOf returns the core-seconds that a choice throws away. A gang counts once.
func wasteOf(chosen []victims) float64 {
	seen := make(map[*unit]float64)
	for _, v := range chosen {
		for i, victim := range v.units {
			seen[victim] = v.wastes[i]
		}
	}
	sum := 0.0
	for _, w := range seen {
		sum += w
	}
	return sum
}

// wasteAllowed returns the core-seconds that may be thrown away for u now.
func (c *Core) wasteAllowed(u *unit, now steady.Time) float64 {
	waited := now.Sub(u.since)
	if u.spec().LongRunning {
		return math.Inf(1) // away, it serves nobody
	}
	if waited >= reclaimAfter && c.withinGuarantee(u.job) {
		return math.Inf(1)
	}
	work := c.speeds.duration(u)
	slack := time.Duration((u.job.spec.Stretch-1)*float64(work)) + u.job.spec.TargetLatency - stopLead
	used := 1.0
	if waited < slack {
		used = float64(waited) / float64(slack)
	}
	return c.ownWork(u) * (wasteFirst + used*(wasteLast-wasteFirst))
}

// ownWork returns the core-seconds that the unit takes itself.
func (c *Core) ownWork(u *unit) float64 {
	return u.cores() * c.speeds.duration(u).Seconds() * float64(u.tasks)
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

func (r *runner) nominate(u *unit, tasks int, now steady.Time) {
	r.nominated = slices.DeleteFunc(r.nominated, func(n nomination) bool {
		return n.unit == u || !now.Before(n.until) || !n.unit.waiting()
	})
	var sum batch.Resources
	for range tasks {
		sum = sum.Plus(u.spec().ReservedResources())
	}
	r.nominated = append(r.nominated, nomination{unit: u, request: sum, until: now.Add(nominationLife)})
}

// choosePreemption returns what to stop on runners that cost no more than most.
func (c *Core) choosePreemption(u *unit, most float64, now steady.Time) []victims {
	slots := c.slots(u, now, func(r *runner) batch.Resources { return r.freeFor(u, now).Plus(r.preemptible(u)) })
	var all []victims
	for _, s := range slots {
		if !s.remote && s.cost <= most {
			all = append(all, c.victimsOn(u, s, now))
		}
	}
	slices.SortFunc(all, func(a, b victims) int {
		return cmp.Or(cmp.Compare(a.price(), b.price()), cmp.Compare(a.runner.ID, b.runner.ID))
	})
	if !u.spec().SameRack || u.tasks == 1 {
		return takeVictims(all, u.tasks)
	}
	return cheapestRack(all, u.tasks)
}

// price orders runners by the waste for each task that they then take; slow
// runners serve worse.
func (v victims) price() float64 { return (v.waste/float64(v.tasks) + 1) * v.cost * v.cost }

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
			sum += v.price()
		}
		if sum < least {
			best, least = chosen, sum
		}
	}
	return best
}

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

// preemptible is what units that yield to u hold on r.
func (r *runner) preemptible(u *unit) batch.Resources {
	var sum batch.Resources
	for _, run := range r.runs {
		if run.unit.yieldsTo(u) || run.phase == stopping {
			sum = sum.Plus(run.unit.spec().ReservedResources())
		}
	}
	return sum
}

// yieldsTo reports whether u may be stopped for o. What lasts is stopped for
// nothing, and takes the place of all that ends but is not urgent.
func (u *unit) yieldsTo(o *unit) bool {
	if u.spec().LongRunning {
		return false
	}
	if o.spec().LongRunning {
		return u.job.spec.Priority > 0
	}
	return u.job.spec.Priority > o.job.spec.Priority
}

// victimsOn picks what to stop on one runner: what is stopping already counts
// as free, then the least unsaved work goes first.
func (c *Core) victimsOn(u *unit, s slot, now steady.Time) victims {
	r := s.runner
	free := r.freeFor(u, now)
	var able []*unit
	for _, run := range r.runs {
		switch {
		case run.phase == stopping:
			free = free.Plus(run.unit.spec().ReservedResources())
		case run.unit.yieldsTo(u) && !slices.Contains(able, run.unit):
			able = append(able, run.unit)
		}
	}
	slices.SortFunc(able, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(b.job.spec.Priority, a.job.spec.Priority), cmp.Compare(a.unsaved(now), b.unsaved(now)))
	})
	v := victims{runner: r, tasks: u.fitting(r, free), cost: s.cost}
	for _, victim := range able {
		if v.tasks > 0 {
			break
		}
		free = free.Plus(victim.held(r))
		v.units = append(v.units, victim)
		lost := victim.unsaved(now) * float64(1+victim.preempted)
		v.wastes = append(v.wastes, lost)
		v.waste += lost
		v.tasks = u.fitting(r, free)
	}
	v.tasks = max(v.tasks, 1)
	return v
}

// held is what a unit holds on r.
func (u *unit) held(r *runner) batch.Resources {
	var sum batch.Resources
	for _, run := range u.runs {
		if run.runner == r {
			sum = sum.Plus(u.spec().ReservedResources())
		}
	}
	return sum
}

// cores returns what one task holds, an accelerator counted as several cores.
func (u *unit) cores() float64 { return coresOf(u.spec().Request) }

func coresOf(request batch.Resources) float64 {
	return float64(request.MilliCPU)/1000 + acceleratorCores*float64(request.Accelerators)
}

// unsaved returns the core-seconds that stopping the unit throws away.
func (u *unit) unsaved(now steady.Time) float64 {
	step := u.spec()
	cores := u.cores()
	sum := 0.0
	for _, r := range u.runs {
		lost := unsavedFloor
		if !step.Checkpoints && !r.started.IsZero() {
			lost += now.Sub(r.started)
		}
		sum += cores * lost.Seconds()
	}
	return sum
}
