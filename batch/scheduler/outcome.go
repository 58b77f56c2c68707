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

// outcome is what a caller gets of a unit.
type outcome int

// The outcomes, the best first.
const (
	inTime   outcome = iota
	late             // of less value to the caller
	unserved         // so late that it doesn't matter any more how late
)

const (
	// waitStep is the time after which a waiting unit starts at the earliest.
	waitStep = 200 * time.Millisecond

	// longestRun stands for the unknown time until nominated capacity is free.
	longestRun = time.Minute
)

// outcomeFrom returns the outcome of a unit that starts at the given time on runners
// of the given slot.cost.
func (c *Core) outcomeFrom(u *unit, start steady.Time, cost float64) outcome {
	took := start.Sub(u.eligibleSince) + startLatency + time.Duration(cost*float64(c.speeds.expectedDuration(u)))
	target := c.deadline(u).Sub(u.eligibleSince)
	switch {
	case took <= target:
		return inTime
	case took <= tooLateFactor*target:
		return late
	default:
		return unserved
	}
}

// awaitsBetterOutcome reports whether the unit waits although it could start on the
// free runners: it would be late there, and not on better runners that become free
// soon. It answers bursts on fleets of unequal runners, in which the free runners are
// the slow ones, or lie in different racks. Waiting ends when a guarantee is due, and
// after localityWaitMin while most of the service is free: its work then isn't left
// undone for the sake of time.
func (c *Core) awaitsBetterOutcome(u *unit, free []*runner, now steady.Time) bool {
	if !c.uses(mechanism.OutcomeWait) || u.spec().LongRunning || c.guaranteeDue(u, now) {
		return false
	}
	if now.Sub(u.eligibleSince) >= localityWaitMin && c.mostlyFree(u.job.spec.Service) {
		return false
	}
	atOnce := c.outcomeFrom(u, now, c.worstCost(u, free))
	return atOnce > inTime && c.outcomeOfWaiting(u, now) < atOnce
}

// worstCost returns the slot.cost of the slowest of the chosen runners. A gang whose
// tasks must be in one rack is slowed down on every runner when they aren't.
func (c *Core) worstCost(u *unit, chosen []*runner) float64 {
	worst := 0.0
	for _, r := range chosen {
		worst = math.Max(worst, c.cost(u, r, u.isRemote(chosen, r)))
	}
	return worst
}

// prospect is a runner on which tasks of a unit may start later.
type prospect struct {
	slot
	start steady.Time // when running work is expected to have made room
	ends  steady.Time // when a task that starts then ends
}

// outcomeOfWaiting returns the best outcome that the unit can expect on runners that
// are occupied now, if nothing else is started on them.
func (c *Core) outcomeOfWaiting(u *unit, now steady.Time) outcome {
	best := unserved
	for _, chosen := range c.prospects(u, now) {
		start, cost := startOf(chosen)
		best = min(best, c.outcomeFrom(u, start, cost))
	}
	return best
}

// prospects returns the sets of runners on which the tasks of the unit can be expected
// to start together: one for each rack that is large enough when the tasks must be in
// one rack, and one otherwise.
func (c *Core) prospects(u *unit, now steady.Time) [][]prospect {
	work := c.speeds.expectedDuration(u)
	racks := make(map[string][]prospect)
	for _, s := range c.slots(u, now, func(r *runner) batch.Resources { return r.Capacity }) {
		p := prospect{slot: s, start: c.roomExpectedAt(u, s.runner, now)}
		p.ends = p.start.Add(time.Duration(s.cost * float64(work)))
		rack := ""
		if u.spec().SameRack {
			rack = s.runner.Rack
		}
		racks[rack] = append(racks[rack], p)
	}
	var out [][]prospect
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		all := racks[rack]
		slices.SortFunc(all, func(a, b prospect) int {
			return cmp.Or(cmp.Compare(a.ends, b.ends), cmp.Compare(a.runner.ID, b.runner.ID))
		})
		if n, enough := countFor(all, u.tasks); enough {
			out = append(out, all[:n])
		}
	}
	return out
}

// countFor returns how many of the first prospects the tasks need. enough is false when
// all of them don't have room.
func countFor(prospects []prospect, tasks int) (n int, enough bool) {
	for i, p := range prospects {
		if tasks -= p.tasks; tasks <= 0 {
			return i + 1, true
		}
	}
	return 0, false
}

// startOf returns when a gang can start on all of the prospects, and the slot.cost of
// the slowest of them.
func startOf(prospects []prospect) (start steady.Time, cost float64) {
	for _, p := range prospects {
		start, cost = max(start, p.start), math.Max(cost, p.cost)
	}
	return start, cost
}

// roomExpectedAt returns when the work on r is expected to have made room for one task
// of the unit, at the earliest after waitStep.
func (c *Core) roomExpectedAt(u *unit, r *runner, now steady.Time) steady.Time {
	at := now.Add(waitStep)
	free := r.freeFor(u, now)
	if u.tasksFitting(r, free) > 0 {
		return at
	}
	type end struct {
		at   steady.Time
		held batch.Resources
	}
	var ends []end
	for _, run := range r.runs {
		ends = append(ends, end{now.Add(c.runTimeLeft(run, now)), run.unit.spec().ReservedResources()})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	for _, e := range ends {
		free = free.Plus(e.held)
		if u.tasksFitting(r, free) > 0 {
			return max(at, e.at)
		}
	}
	return at.Add(longestRun)
}

// runTimeLeft estimates how much longer a run takes.
func (c *Core) runTimeLeft(r *run, now steady.Time) time.Duration {
	switch {
	case r.phase == stopping:
		return stopLatency
	case r.pace > 0:
		return r.timeLeft() - now.Sub(r.progressedAt)
	case r.startedAt.IsZero():
		return time.Duration(c.speeds.timeFactor(r.runner.ID) * float64(c.speeds.expectedDuration(r.unit)))
	default:
		return time.Duration(c.speeds.timeFactor(r.runner.ID)*float64(c.speeds.expectedDuration(r.unit))) - now.Sub(r.startedAt)
	}
}
