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

	// acceleratorCores weighs an accelerator's time against a core's.
	acceleratorCores = 8

	// unsavedFloor is the work that even a saved task loses: stop and restore.
	unsavedFloor = 500 * time.Millisecond
)

// victims is a way to make room on one runner.
type victims struct {
	runner *runner
	units  []*unit
	tasks  int     // of the preempting unit that fit then
	waste  float64 // core-seconds thrown away
	cost   float64 // of the runner
}

// preempt has units of lower priority stopped so that u fits, with the least
// work thrown away, and keeps their room for u. It reports whether room is on
// its way.
func (c *Core) preempt(u *unit, now steady.Time) bool {
	if !u.preempting.IsZero() && now.Sub(u.preempting) < preemptAgain {
		return true
	}
	chosen := c.choosePreemption(u, now)
	if chosen == nil {
		return false
	}
	u.preempting = now
	left := u.tasks
	for _, v := range chosen {
		take := min(v.tasks, left)
		left -= take
		for _, victim := range v.units {
			c.stopUnit(victim, now, "preempted by "+u.job.spec.ID)
		}
		v.runner.nominate(u, take, now)
	}
	return true
}

func (r *runner) nominate(u *unit, tasks int, now steady.Time) {
	r.nominated = slices.DeleteFunc(r.nominated, func(n nomination) bool {
		return n.unit == u || !now.Before(n.until) || !n.unit.waiting()
	})
	var sum batch.Resources
	for range tasks {
		sum = sum.Plus(u.spec().Request)
	}
	r.nominated = append(r.nominated, nomination{unit: u, request: sum, until: now.Add(nominationLife)})
}

func (c *Core) choosePreemption(u *unit, now steady.Time) []victims {
	slots := c.slots(u, now, func(r *runner) batch.Resources { return r.freeFor(u, now).Plus(r.preemptible(u)) })
	var all []victims
	for _, s := range slots {
		if !s.remote {
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
			sum = sum.Plus(run.unit.spec().Request)
		}
	}
	return sum
}

func (u *unit) yieldsTo(o *unit) bool {
	return u.job.spec.Priority > o.job.spec.Priority && !u.spec().LongRunning
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
			free = free.Plus(run.unit.spec().Request)
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
		v.waste += victim.unsaved(now)
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
			sum = sum.Plus(u.spec().Request)
		}
	}
	return sum
}

// unsaved returns the core-seconds that stopping the unit throws away.
func (u *unit) unsaved(now steady.Time) float64 {
	step := u.spec()
	cores := float64(step.Request.MilliCPU)/1000 + acceleratorCores*float64(step.Request.Accelerators)
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
