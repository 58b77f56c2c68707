package scheduler

import (
	"cmp"
	"slices"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// claim is how strong a unit's claim on room is. Claims decide who is placed first, whom a
// reservation holds off, and who is stopped for whom.
type claim int

// The claims, the strongest first.
const (
	overdueRestart claim = iota // a long-running unit is away, and must run again soon
	byPriority                  // all others; urgent ones have the priority 0
)

func (u *unit) claim(now steady.Time) claim {
	if u.restartOverdue(now) {
		return overdueRestart
	}
	return byPriority
}

// compareClaims orders units by their claims on room, the strongest first. Among overdue ones
// those that use idle CPU come last, as they would take runners of those that serve users.
func compareClaims(a, b *unit, now steady.Time) int {
	if by := cmp.Compare(a.claim(now), b.claim(now)); by != 0 {
		return by
	}
	if a.claim(now) == overdueRestart && a.spec().UsesIdleCPU != b.spec().UsesIdleCPU {
		return compareBool(a.spec().UsesIdleCPU, b.spec().UsesIdleCPU)
	}
	return cmp.Compare(a.job.spec.Priority, b.job.spec.Priority)
}

// holdsOff reports whether room that is kept for u is kept from o. A unit whose restart is overdue
// takes any room that there is: what the room is kept for may wait for longer than the unit can.
func (u *unit) holdsOff(o *unit, now steady.Time) bool {
	return u != o && o.claim(now) != overdueRestart && compareClaims(u, o, now) <= 0
}

// yieldsTo reports whether u may be preempted for o. A unit that uses idle CPU yields to one that
// serves users, as they never share a runner, if its step allows that. Another long-running unit
// is never preempted, and may preempt every unit that isn't long-running or urgent. One that
// couldn't start again soon isn't preempted either.
func (u *unit) yieldsTo(o *unit) bool {
	switch {
	case u.waitsIfStopped():
		return false
	case u.spec().UsesIdleCPU && o.spec().ServesUsers():
		return allowStops([]*unit{u})
	case u.spec().LongRunning:
		return false
	case o.spec().LongRunning:
		return u.job.spec.Priority > 0
	default:
		return u.job.spec.Priority > o.job.spec.Priority
	}
}

// allowStops reports whether the steps of the units allow that all of them are stopped, by the
// number of their tasks that may be unavailable at once. What isn't at work for another reason counts.
func allowStops(units []*unit) bool {
	away := make(map[*batch.Step]int)
	for _, u := range units {
		step := u.spec()
		if step.MaxUnavailable == 0 {
			continue // no bound
		}
		if _, counted := away[step]; !counted {
			away[step] = u.job.tasksAway(u.step)
		}
		away[step] += u.tasksAtWork()
		if away[step] > step.MaxUnavailable {
			return false
		}
	}
	return true
}

// allowedStops returns the first of the units, as many as may be stopped at once.
func allowedStops(units []*unit) []*unit {
	for len(units) > 0 && !allowStops(units) {
		units = units[:len(units)-1]
	}
	return units
}

// tasksAway returns how many tasks of a step aren't at work.
func (j *job) tasksAway(step int) int {
	away := 0
	for _, u := range j.units {
		if u.step == step {
			away += u.tasks - u.tasksAtWork()
		}
	}
	return away
}

// tasksAtWork returns how many of its tasks are at work. A long-running task shows 100 percent then.
func (u *unit) tasksAtWork() int {
	n := 0
	for _, r := range u.runs {
		if r.phase == running && r.percent >= 100 {
			n++
		}
	}
	return n
}

// room is the part of a runner's capacity that a unit is offered.
type room int

const (
	roomNow     room = iota // what is free
	roomInTime              // what is free once all that ends by itself has ended
	roomByStops             // what is free once all that yields to the unit has been stopped
	roomEver                // all of it
)

// roomFor returns the resources of r that the unit is offered.
func (r *runner) roomFor(u *unit, offered room, now steady.Time) batch.Resources {
	switch offered {
	case roomNow:
		return r.freeFor(u, now)
	case roomInTime:
		return r.roomInTime()
	case roomByStops:
		return r.obtainableBy(u, now)
	default:
		return r.Capacity
	}
}

// keepsApart reports whether tasks of the two steps must not share a runner: one uses idle CPU,
// and the other serves users. The CPU that the former takes shows in the response times of the
// latter within seconds.
func keepsApart(a, b *batch.Step) bool {
	return a.UsesIdleCPU && b.ServesUsers() || a.ServesUsers() && b.UsesIdleCPU
}

// conflictsWith reports whether r has, or others were stopped there for, work that must not share
// a runner with the unit, and that is still there when the runner has the room.
func (r *runner) conflictsWith(u *unit, offered room, now steady.Time) bool {
	step := u.spec()
	if offered == roomEver || !step.UsesIdleCPU && !step.ServesUsers() {
		return false
	}
	for _, o := range r.runs {
		if keepsApart(step, o.unit.spec()) && !o.goneWhen(u, offered, now) {
			return true
		}
	}
	return step.UsesIdleCPU && slices.ContainsFunc(r.nominations, func(n nomination) bool {
		return n.unit.spec().ServesUsers() && n.unit.waiting() && now.Before(n.until)
	})
}

// goneWhen reports whether the run has ended once its runner has the room that the unit is offered.
func (r *run) goneWhen(u *unit, offered room, now steady.Time) bool {
	switch offered {
	case roomInTime:
		return !r.lasts()
	case roomByStops:
		return r.makesWayFor(u, now)
	default:
		return false
	}
}

// makesWayFor reports whether the run is being stopped, or may be stopped for u.
func (r *run) makesWayFor(u *unit, now steady.Time) bool {
	return r.isStopping(now) || r.phase != stopping && r.phase != withdrawn && r.unit.yieldsTo(u)
}

// restartOverdue reports whether a long-running unit that has run before has waited so
// long for its next run that it is placed before urgent work. Urgent work that leaves no
// room by itself would otherwise keep it from running for any time.
func (u *unit) restartOverdue(now steady.Time) bool {
	return u.spec().LongRunning && u.attempt > 0 && !u.waitingSince.IsZero() && now.Sub(u.waitingSince) >= longRunningPreemptDelay
}

// lasts reports whether the run holds its room until it fails or is stopped: no other unit can
// wait for its end.
func (r *run) lasts() bool { return r.unit.spec().LongRunning && r.phase != stopping }
