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

// AwaitsStart reports whether a start order may be sent. The outcome must be open: its run
// was neither listed nor ended by a report, nor stopped. A start whose outcome is known must
// not be sent again, since a runner that has restarted doesn't know that the run ended. The
// runner must be the incarnation that the run was planned for.
func (c *Core) AwaitsStart(o Order) bool {
	run := c.runOf(o)
	return run != nil && run.phase == ordered && run.mayStart()
}

// mayStart reports whether the run's runner is, as far as is known, the incarnation that
// the run was planned for. A later one may be of another kind.
func (r *run) mayStart() bool { return r.born == r.runner.Born && r.runner.described() }

// NoteStartSent notes that a try of a start order is about to be sent. Until it is answered,
// the runner may still carry it out, and so may its next incarnation, which knows nothing of
// the lease, the stops and the ends of the one before.
func (c *Core) NoteStartSent(o Order, now steady.Time) {
	if run := c.runOf(o); run != nil {
		run.openTries++
		run.answered, run.openSince, run.openUntil = false, now, now.Add(c.opts.EarlierOrders)
	}
}

// NoteStartAnswered notes that a try of a start order was answered, or was not sent after all.
func (c *Core) NoteStartAnswered(o Order) {
	run := c.runOf(o)
	if run == nil || run.openTries == 0 {
		return
	}
	run.openTries--
	if run.openTries > 0 {
		return
	}
	run.openUntil = 0
	c.noteAnswered(run)
}

// noteAnswered notes that no try of a run's start is open any more.
func (c *Core) noteAnswered(r *run) {
	r.answered = true
	if j := r.unit.job; !j.answersDue {
		j.answersDue = true
		c.answered = append(c.answered, j)
	}
}

// endOpenStarts notes which runs have outlived their open starts.
func (c *Core) endOpenStarts(u *unit, now steady.Time) {
	for _, r := range u.runs {
		if !r.answered && !r.openUntil.IsZero() && !now.Before(r.openUntil) {
			r.openTries = 0
			c.noteAnswered(r)
		}
	}
}

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
		if a == Accepted && r.phase == running { // a report listed the run before the answer arrived
			r.acceptedAt, r.beganBy = now, now
		}
		return
	}
	u := r.unit
	switch a {
	case Accepted:
		r.phase, r.phaseSince, r.acceptedAt, r.beganBy, r.startedAt, r.progressedAt = running, now, now, now, now, now
		c.noteBegun(u.job)
	case NotExecuted, Unhealthy:
		if a == Unhealthy {
			r.runner.backOff(now)
		}
		c.notifyObserver("refused", r, "start refused by the runner")
		if u.needsAdvice() {
			delete(u.stepAdvice().byRunner, r.runner.ID) // the ticket may be the reason for the refusal
		}
		c.detach(r)
		c.markChanged(u.job)
		c.stopUnit(u, now, "another member was not started")
	case OutcomeUnknown:
		r.runner.backOff(now)
		c.stopUnit(u, now, "start without an answer")
	}
}
