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
		if a == Unhealthy && r.starts.any() && !u.othersWaitSince(r).IsZero() { // nothing was done, and the others still wait
			r.unansweredAt = now
			if r.runner.reachable {
				r.rounds++
			}
			return
		}
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

// maxGangStart is how long a gang waits for a member whose start has no answer, and maxGangRepeat
// for one whose start is being sent again. Its other members end by themselves three seconds
// after they began, and a stop takes a part of that.
const (
	maxGangStart  = 2 * time.Second
	maxGangRepeat = 2500 * time.Millisecond
)

// handleUnansweredStarts has starts sent again that have no answer, and stops a unit if one of
// its starts was left without an answer too often, or if others wait for its task.
func (c *Core) handleUnansweredStarts(u *unit, now steady.Time) {
	for _, r := range u.runs {
		if u.waitsTooLong(r, now) {
			c.stopUnit(u, now, "start without an answer")
			return
		}
		if r.phase != ordered || r.unansweredAt.IsZero() {
			continue
		}
		if r.rounds >= maxStartRounds || r.runner.reachable && now.Sub(r.unansweredAt) > maxUnanswered {
			c.stopUnit(u, now, "start without an answer")
			return
		}
		if c.mayStartNow(r, now) {
			c.planRepeat(r, now)
		}
	}
}

// waitsTooLong reports whether a gang has waited too long for a member without an answer.
func (u *unit) waitsTooLong(r *run, now steady.Time) bool {
	switch {
	case u.tasks == 1:
		return false
	case r.phase == ordered && !r.unansweredAt.IsZero():
		return now.Sub(r.createdAt) > maxGangStart
	case (r.phase == ordered || r.phase == planned) && r.rounds > 0:
		// Members that were all started again, as their runner restarted, haven't waited since createdAt.
		since := u.othersWaitSince(r)
		return now.Sub(r.createdAt) > maxGangRepeat && !since.IsZero() && now.Sub(since) > maxGangStart
	default:
		return false
	}
}

// repeatPause is the least time between two tries of a start to a runner that doesn't answer. A
// cut link may refuse connections at once.
const repeatPause = 450 * time.Millisecond

// mayStartNow reports whether a run's start may be sent now.
func (c *Core) mayStartNow(r *run, now steady.Time) bool {
	if !r.mayStart() || !r.unit.permitted(r.runner, now, startLatency) {
		return false
	}
	return r.runner.acceptsStarts(c, now) || c.mayTryAgain(r, now)
}

// mayTryAgain reports whether a start that may be under way may be sent again to a runner that
// doesn't answer: the rest of its gang waits, and the link may be cut for a short time only.
func (c *Core) mayTryAgain(r *run, now steady.Time) bool {
	return r.starts.any() && !r.unit.othersWaitSince(r).IsZero() && now.Sub(r.starts.sentAt) >= repeatPause &&
		r.runner.takesStarts(c) && (r.phase == planned || c.MayExtendLease(r.runner.ID, now)) // a planned one isn't sent without
}

// othersWaitSince returns since when another member of the run's gang is known to be there; 0: none
// is, or one has ended.
func (u *unit) othersWaitSince(r *run) (since steady.Time) {
	if !u.memberEndedAt.IsZero() {
		return 0
	}
	for _, o := range u.runs {
		if o != r && o.phase == running && (since.IsZero() || o.beganBy.Before(since)) {
			since = o.beganBy
		}
	}
	return since
}
