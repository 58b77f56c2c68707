package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// moveCost is what moving a unit takes beside its work: a stop, its report
	// and a start.
	moveCost = 500 * time.Millisecond

	// moveGain is how much sooner a unit must be done elsewhere to be moved;
	// estimates of work and speed are off by about as much.
	moveGain = 0.75

	// movesMost bounds the moves of one unit: each throws work away.
	movesMost = 2
)

// due returns when the unit's work is late.
func (c *Core) due(u *unit) steady.Time {
	spec := u.job.spec
	return u.since.Add(time.Duration(spec.Stretch*float64(c.speeds.duration(u))) + spec.TargetLatency)
}

// betterElsewhere reports whether a unit is going to be late where it runs and
// would be in time elsewhere.
func (c *Core) betterElsewhere(u *unit, now steady.Time) bool {
	if u.done || u.moves >= movesMost || u.spec().LongRunning {
		return false
	}
	here, known := u.remaining(now)
	if !known || !now.Add(here).After(c.due(u)) {
		return false
	}
	there, found := c.elsewhere(u, now)
	if !found || now.Add(there).After(c.due(u)) || float64(there) > moveGain*float64(here) {
		return false
	}
	u.moves++
	return true
}

// remaining returns how much longer the unit takes at its present pace.
func (u *unit) remaining(now steady.Time) (time.Duration, bool) {
	var most time.Duration
	for _, r := range u.runs {
		if r.phase != running || r.percent < 100 && r.pace <= 0 {
			return 0, false
		}
		if r.percent < 100 {
			most = max(most, r.remaining()-now.Sub(r.advanced))
		}
	}
	return most, len(u.runs) == u.tasks
}

// elsewhere returns how long the unit takes when it is moved now.
func (c *Core) elsewhere(u *unit, now steady.Time) (time.Duration, bool) {
	chosen := c.place(u, now, false)
	if chosen == nil {
		return 0, false
	}
	worst := 0.0
	for _, r := range chosen {
		worst = math.Max(worst, c.speeds.cautiousFactor(r.ID))
	}
	left := 1.0
	if u.spec().Checkpoints && u.checkpoint != "" {
		left -= u.saved()
	}
	return moveCost + time.Duration(left*worst*float64(c.speeds.duration(u))), true
}

// saved estimates the part of the work that the last checkpoint holds.
func (u *unit) saved() float64 {
	most := 0
	for _, r := range u.runs {
		most = max(most, r.percent)
	}
	return savedShare * float64(most) / 100
}

// savedShare is the part of what was done that a checkpoint holds on average.
const savedShare = 0.8

// slowestInTime returns the largest time factor of a runner on which the unit
// is in time when it starts at the given time.
func (c *Core) slowestInTime(u *unit, start steady.Time) float64 {
	work := c.speeds.duration(u)
	if work <= 0 {
		return math.Inf(1)
	}
	return float64(c.due(u).Sub(start)) / float64(work)
}

// late reports whether the unit is going to be late when it starts on the
// chosen runners now.
func (c *Core) late(u *unit, chosen []*runner, now steady.Time) bool {
	limit := c.slowestInTime(u, now.Add(startLead))
	return slices.ContainsFunc(chosen, func(r *runner) bool { return c.cost(u, r, u.away(chosen, r)) > limit })
}

// startLead is the time that a record and a start take before the work begins.
const startLead = 100 * time.Millisecond
