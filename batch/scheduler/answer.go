package scheduler

import (
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Answer is the outcome of an order.
type Answer int

// The possible answers.
const (
	Accepted       Answer = iota
	NotExecuted           // the order was not carried out
	Unhealthy             // not carried out because something is wrong with the runner
	OutcomeUnknown        // the order may have been carried out, or may be later
)

// TakesStarts reports whether an order's runner may be given starts, but for whether it can be
// reached now.
func (c *Core) TakesStarts(o Order) bool {
	r := c.runners[o.Runner.ID]
	return r != nil && r.takesStarts(c)
}

// AwaitsStart reports whether a start order may be sent. The outcome must be open: its run
// was neither listed nor ended by a report, nor stopped. A start whose outcome is known must
// not be sent again, since a runner that has restarted doesn't know that the run ended. The
// runner must be the incarnation that the run was planned for.
func (c *Core) AwaitsStart(o Order) bool {
	run := c.runOf(o)
	return run != nil && run.phase == ordered && run.mayStart() && !run.unit.done
}

// mayStart reports whether the run's runner is, as far as is known, the incarnation that
// the run was planned for. A later one may be of another kind.
func (r *run) mayStart() bool { return r.born == r.runner.Born && r.runner.described() }

// answersRecordInterval is the time between two passes that record which starts are answered.
// The next scheduler waits longer for runs whose starts it doesn't know to be answered, if
// their runners can't be reached.
const answersRecordInterval = 500 * time.Millisecond

// recordAnswers has the records of jobs written whose starts were answered since the last pass.
func (c *Core) recordAnswers(now steady.Time) {
	if now.Sub(c.answersRecordedAt) < answersRecordInterval {
		return
	}
	c.answersRecordedAt = now
	for _, j := range c.answered {
		j.answersDue = false
		if j.recordsOpenStart {
			c.markChanged(j)
		}
	}
	c.answered = c.answered[:0]
	c.recordStartAges(now)
}

// runOf returns the run that an order is for; nil: it has ended.
func (c *Core) runOf(o Order) *run {
	r := c.runners[o.Runner.ID]
	if r == nil {
		return nil
	}
	return r.runs[runKey{o.Task, o.Attempt}]
}

// HandleAnswer applies a runner's answer to an order.
func (c *Core) HandleAnswer(o Order, a Answer, now steady.Time) {
	run := c.runOf(o)
	if run == nil {
		return
	}
	if o.Kind == StopRun {
		if a == Accepted && run.phase == stopping {
			run.acceptedAt = now
		}
		return
	}
	c.handleStartAnswer(run, a, now)
}

func (c *Core) handleStartAnswer(r *run, a Answer, now steady.Time) {
	if r.phase != ordered {
		if a == Accepted {
			r.starts.begun = true
		}
		if a == Accepted && r.phase == running { // a report listed the run before the answer arrived
			r.acceptedAt, r.beganBy = now, now
		}
		return
	}
	u := r.unit
	switch a {
	case Accepted:
		r.phase, r.phaseSince, r.acceptedAt, r.beganBy, r.startedAt, r.progressedAt = running, now, now, now, now, now
		r.starts.begun = true
		c.noteBegun(u.job)
	case NotExecuted, Unhealthy:
		if a == Unhealthy {
			r.runner.backOff(now)
		}
		c.notifyObserver("refused", r, "start refused by the runner")
		if u.needsAdvice() {
			delete(u.stepAdvice().byRunner, r.runner.ID) // the ticket may be the reason for the refusal
		}
		if r.starts.any() && a == Unhealthy && u.tasks == 1 {
			c.withdraw(r, now) // nothing was done: it may be sent again
			return
		}
		if r.starts.any() {
			c.stopUnit(u, now, "start refused while an earlier try is under way")
			return
		}
		c.detach(r)
		c.markChanged(u.job)
		c.stopUnit(u, now, "another member was not started")
	case OutcomeUnknown:
		r.runner.backOff(now)
		r.unansweredAt = now
		r.rounds++
	}
}

// maxStartRounds is how often a start is sent in as many tries as the caller makes.
const maxStartRounds = 3

// maxUnanswered is how long a start that has no answer waits to be sent again to a runner that
// can be reached.
const maxUnanswered = 4 * time.Second

// maxGangStart is how long a gang waits for a member whose start has no answer. Its other members
// end by themselves a second later.
const maxGangStart = 2 * time.Second

// handleUnansweredStarts has starts sent again that have no answer, and stops a unit if one of
// its starts was left without an answer too often, or if others wait for its task.
func (c *Core) handleUnansweredStarts(u *unit, now steady.Time) {
	for _, r := range u.runs {
		if r.phase != ordered || r.unansweredAt.IsZero() {
			continue
		}
		gangWaits := u.tasks > 1 && now.Sub(r.createdAt) > maxGangStart
		if r.rounds >= maxStartRounds || gangWaits || r.runner.reachable && now.Sub(r.unansweredAt) > maxUnanswered {
			c.stopUnit(u, now, "start without an answer")
			return
		}
		if r.mayStart() && r.runner.acceptsStarts(c, now) && u.permitted(r.runner, now, startLatency) {
			c.planRepeat(r, now)
		}
	}
}
