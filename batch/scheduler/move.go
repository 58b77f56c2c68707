package scheduler

import (
	"math"
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// moveOverhead is the time that a move takes in addition to the unit's work:
	// a stop, its report and a start.
	moveOverhead = 500 * time.Millisecond

	// maxMoves bounds the moves of one unit, because each throws work away.
	maxMoves = 2
)

// deadline returns the time after which the unit's work is late.
func (c *Core) deadline(u *unit) steady.Time {
	spec := u.job.spec
	return u.eligibleSince.Add(time.Duration(spec.Stretch*float64(c.speeds.expectedDuration(u))) + spec.TargetLatency)
}

// shouldMove reports whether a unit is going to be late where it runs and would
// be in time elsewhere. If so, it counts the move.
func (c *Core) shouldMove(u *unit, now steady.Time) bool {
	if u.done || u.timesMoved >= maxMoves || u.spec().LongRunning || u.waitsIfStopped() {
		return false
	}
	here, known := u.measuredTimeLeft(now)
	if !known || !now.Add(here).After(c.deadline(u)) {
		return false
	}
	there, found := c.timeAfterMove(u, now)
	if !found || now.Add(there).After(c.deadline(u)) || float64(there) > moveTimeRatio*float64(here) {
		return false
	}
	u.timesMoved++
	return true
}

// measuredTimeLeft returns how much longer the unit takes at its measured pace.
// It returns false while a task isn't running or has no measured pace.
func (u *unit) measuredTimeLeft(now steady.Time) (time.Duration, bool) {
	var longest time.Duration
	for _, r := range u.runs {
		if r.phase != running || r.percent < 100 && r.pace <= 0 {
			return 0, false
		}
		if r.percent < 100 {
			longest = max(longest, r.timeLeft()-now.Sub(r.progressedAt))
		}
	}
	return longest, len(u.runs) == u.tasks
}

// timeAfterMove returns how long the unit still takes if it is moved now. It
// returns false when there is no other place.
func (c *Core) timeAfterMove(u *unit, now steady.Time) (time.Duration, bool) {
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
		left -= u.checkpointedShare()
	}
	return moveOverhead + time.Duration(left*worst*float64(c.speeds.expectedDuration(u))), true
}

// checkpointedShare estimates the share of the work that the last checkpoint
// covers.
func (u *unit) checkpointedShare() float64 {
	percent := 0
	for _, r := range u.runs {
		percent = max(percent, r.percent)
	}
	return checkpointCoverage * float64(percent) / 100
}

// checkpointCoverage is the average share of the work done that a checkpoint
// covers.
const checkpointCoverage = 0.8

// maxCostInTime returns the highest slot.cost of a runner on which the unit is in
// time if it starts at the given time.
func (c *Core) maxCostInTime(u *unit, start steady.Time) float64 {
	work := c.speeds.expectedDuration(u)
	if work <= 0 {
		return math.Inf(1)
	}
	return float64(c.deadline(u).Sub(start)) / float64(work)
}

// startLatency is the time that committing a record and sending a start take
// before the work begins.
const startLatency = 100 * time.Millisecond
