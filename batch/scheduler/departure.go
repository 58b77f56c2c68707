package scheduler

import (
	"slices"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// unconfirmedDeparture is the departure of an incarnation that a hold is to confirm.
type unconfirmedDeparture struct {
	since steady.Time // when it became known; 0: there is none
	born  int64
}

// RunnerLeft notes that an incarnation of a runner has ended, with all its runs.
func (c *Core) RunnerLeft(id string, born int64, now steady.Time) {
	r := c.runners[id]
	if r == nil || r.describedBorn != born {
		return // another incarnation is listed
	}
	r.listed = false
	if r.isOver(born) {
		return // the next incarnation has reported already
	}
	r.reachable = false
	c.loseAllRuns(r, now, "runner left")
}

// RunnerMayHaveLeft notes that an incarnation of a runner has ended, unless the runner answers a
// hold that is sent from now on.
func (c *Core) RunnerMayHaveLeft(id string, born int64, now steady.Time) {
	r := c.runners[id]
	if r == nil || r.describedBorn != born {
		return // another incarnation is listed
	}
	r.listed = false
	if !r.isOver(born) {
		r.mayHaveLeft = unconfirmedDeparture{since: now, born: born}
	}
}

// AwaitsDeparture reports whether a hold is to confirm the departure of a runner.
func (c *Core) AwaitsDeparture(id string) bool {
	r := c.runners[id]
	return r != nil && !r.mayHaveLeft.since.IsZero()
}

// HoldUnanswered notes that a hold, sent to a runner at asked, was answered by nobody or by
// another runner. By itself that shows no departure, as the runner may be cut off.
func (c *Core) HoldUnanswered(id string, asked, now steady.Time) {
	r := c.runners[id]
	if r == nil || r.mayHaveLeft.since.IsZero() || asked.Before(r.mayHaveLeft.since) {
		return
	}
	born := r.mayHaveLeft.born
	r.mayHaveLeft = unconfirmedDeparture{}
	c.RunnerLeft(id, born, now)
}

// RunnerUnreachable notes that a runner did not answer. Silence, and connections that are
// refused, say nothing about its runs: its failure domain may be cut off, by a partition that
// may refuse connections, and they go on until the runner's lease has run out.
func (c *Core) RunnerUnreachable(id string) {
	if r := c.runners[id]; r != nil {
		r.reachable = false
	}
}

// RunnerReplaced notes that another runner answered a call that was sent to an incarnation at its
// address at asked, both as described by sentTo. If that one is described still, was draining, is no
// longer listed and hasn't reported on a later call, it has left.
func (c *Core) RunnerReplaced(sentTo batch.Runner, asked, now steady.Time) {
	c.RunnerUnreachable(sentTo.ID)
	r := c.runners[sentTo.ID]
	if r == nil || asked.Before(r.reportRequestedAt) || r.listed || !r.Draining {
		return
	}
	if r.describedBorn != sentTo.Born || r.Address != sentTo.Address || r.isOver(sentTo.Born) {
		return
	}
	c.loseAllRuns(r, now, "another runner is at the address of the runner, which was leaving")
}

// isOver reports whether another incarnation has reported since the given one: a later one, or any
// on a call that was sent after the given one's entry was read. The time of start of the latter may
// be earlier, as the runner's time of day may have gone back.
func (r *runner) isOver(born int64) bool {
	switch {
	case born == 0:
		return false
	case r.Born > born || slices.Contains(r.earlierBorn, born):
		return true
	default:
		return r.Born != 0 && r.Born != born && r.describedBorn == born && r.reportRequestedAt.After(r.describedSince)
	}
}

// loseAllRuns gives up the runs on a runner that has ended. Those with starts under way wait
// until its next incarnation refuses these or can't carry them out any more.
func (c *Core) loseAllRuns(r *runner, now steady.Time, reason string) {
	r.leaseEndsBy = min(r.leaseEndsBy, now)
	for _, run := range r.runs {
		if run.starts.any() && now.Before(run.starts.overBy) {
			c.stopUnit(run.unit, now, reason)
			continue
		}
		c.noteStartsOver(run)
		c.giveUp(run, now, reason)
	}
}
