package scheduler

import (
	"math"
	"time"

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

// outcomeFrom returns the outcome of a unit that starts at the given time on runners
// of the given slot.cost. A unit that declares no duration is never late.
func (c *Core) outcomeFrom(u *unit, start steady.Time, cost float64) outcome {
	work := c.speeds.expectedDuration(u)
	if work <= 0 {
		return inTime
	}
	took := start.Sub(u.eligibleSince) + startLatency + time.Duration(cost*float64(work))
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
	atOnce := c.outcomeOn(u, free, now)
	return atOnce > inTime && c.outcomeOfWaiting(u, now) < atOnce
}

// outcomeOn returns the outcome of a unit that starts on the chosen runners now.
func (c *Core) outcomeOn(u *unit, chosen []*runner, now steady.Time) outcome {
	return c.outcomeFrom(u, now, c.worstCost(u, chosen))
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
