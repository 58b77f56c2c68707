package scheduler

import (
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// A start without an answer is under way: its runner may carry it out until
// Options.LateOrders after it was sent, and so may the runner's next incarnation, which has
// seen no token, no stop and no end. Evidence from one incarnation therefore settles a start
// for that incarnation alone. While a start is under way,
//
//   - its task stays on the runner: the run is withdrawn and not lost when it is not there;
//   - the start may be sent there again as the same attempt, as no incarnation runs one attempt
//     twice;
//   - no end is acknowledged to the runner. A start of a task whose end was acknowledged would
//     run the task again, and a hold that acknowledges ends might reach the next incarnation and
//     drop the end of the run that the start began there. An end that isn't acknowledged is gone
//     with its incarnation; if the task is done already, what the next one carries out is stopped.

// startsUnderWay is what is known of the tries of a run's start.
type startsUnderWay struct {
	tries    int         // sent and not known to be carried out or refused
	awaited  int         // of these, the ones whose answer is waited for
	seen     bool        // the run was listed while an answer was waited for, so that it isn't known which try began it
	repeated bool        // more than one may have been sent, or is about to be
	sentAt   steady.Time // when the last was sent
	begun    bool        // one has begun the run
	settled  bool        // none is under way
	overBy   steady.Time // when all that they may begin has ended, if the runner can't be reached; 0: none is under way
	address  string      // to which all of them were sent; empty: unknown, or several
}

func (s *startsUnderWay) any() bool { return s.tries > 0 }

// noteSettled notes that n tries were carried out or refused, or were not sent after all. It
// reports whether none is under way any more.
func (s *startsUnderWay) noteSettled(n int) bool {
	if s.tries == 0 {
		return false
	}
	s.tries = max(0, s.tries-n)
	if s.tries > 0 {
		return false
	}
	s.settled, s.overBy = true, 0
	return true
}

// noteInherited notes that a start of an earlier scheduler may be under way that was sent at
// sentAt or before.
func (s *startsUnderWay) noteInherited(once bool, sentAt, overBy steady.Time) {
	s.tries, s.repeated, s.sentAt, s.overBy = 1, !once, sentAt, overBy
	if s.repeated {
		s.tries = 2 // one may be known to have begun the run, and another be under way
	}
}

// startAge returns how long before at the last try was sent of a start that may be under way; 0: it
// is not, or a try may be sent before the run's record is written again.
func (r *run) startAge(at steady.Time) time.Duration {
	if !r.starts.any() || r.phase == planned || r.phase == ordered {
		return 0
	}
	return max(0, at.Sub(r.starts.sentAt))
}

// openStartRecordInterval is the time between two records of how long a start has been under way.
// The next scheduler waits for it so much longer than necessary at most.
const openStartRecordInterval = 2 * time.Second

// recordStartAges has the records of jobs written with starts that have been under way for longer
// than their records say.
func (c *Core) recordStartAges(now steady.Time) {
	for _, j := range c.active {
		if j.recordsOpenStart && now.Sub(j.openStartRecordedAt) >= openStartRecordInterval && c.startsAge(j, now) {
			c.markChanged(j)
		}
	}
}

// startsAge reports whether a start of the job may be under way for which no other try is sent.
func (c *Core) startsAge(j *job, now steady.Time) bool {
	for _, u := range j.units {
		for _, r := range u.runs {
			if age := r.startAge(now); age >= openStartRecordInterval && age < c.opts.LateOrders+openStartRecordInterval {
				return true
			}
		}
	}
	return false
}

// carriedOutBy returns when the run's start can't be carried out any more.
func (c *Core) carriedOutBy(r *run) steady.Time {
	if !r.starts.any() {
		return 0
	}
	return r.starts.sentAt.Add(c.opts.LateOrders)
}

// NoteStartSent notes that a try of a start order is about to be sent.
func (c *Core) NoteStartSent(o Order, now steady.Time) {
	run := c.runOf(o)
	if run == nil {
		return
	}
	s := &run.starts
	if s.tries == 0 {
		s.address = o.Runner.Address
	} else if s.address != o.Runner.Address {
		s.address = ""
	}
	s.tries++
	s.awaited++
	s.settled, s.sentAt, s.overBy = false, now, max(s.overBy, now.Add(c.opts.EarlierOrders))
}

// NoteStartNotSent notes that a try of a start order was not sent after all.
func (c *Core) NoteStartNotSent(o Order) {
	run := c.runOf(o)
	if run == nil {
		return
	}
	s := &run.starts
	s.tries, s.awaited = max(0, s.tries-1), max(0, s.awaited-1)
	if s.tries == 0 {
		s.overBy = 0
	}
}

// NoteStartAnswered notes that a try of a start order was answered.
func (c *Core) NoteStartAnswered(o Order) {
	if run := c.runOf(o); run != nil {
		run.starts.awaited, run.starts.seen = max(0, run.starts.awaited-1), false
		c.noteStartsSettled(run, 1)
	}
}

// NoteStartUnanswered notes that the answer to a try of a start order is not waited for any more.
func (c *Core) NoteStartUnanswered(o Order) {
	run := c.runOf(o)
	if run == nil {
		return
	}
	s := &run.starts
	s.awaited = max(0, s.awaited-1)
	if s.seen && s.awaited == 0 {
		s.seen = false
		c.noteStartsSettled(run, 1)
	}
}

// RepeatStart notes that a start without an answer is to be sent again. It reports whether it
// may be: the run's record says so.
func (c *Core) RepeatStart(o Order) bool {
	run := c.runOf(o)
	if run == nil || run.phase != ordered || !run.runner.takesStarts(c) {
		return false
	}
	if !run.starts.repeated {
		run.starts.repeated = true
		c.markChanged(run.unit.job)
		run.requiredVersion = run.unit.job.version
	}
	return run.requiredVersion <= run.unit.job.committed
}

// noteCarriedOut notes that a try has begun the run, as its runner lists it or its end.
func (c *Core) noteCarriedOut(r *run) {
	if r.starts.begun {
		return
	}
	r.starts.begun = true
	if r.starts.awaited > 0 {
		r.starts.seen = true
		return
	}
	c.noteStartsSettled(r, 1)
}

// noteStartsOver notes that no try can be carried out any more.
func (c *Core) noteStartsOver(r *run) { c.noteStartsSettled(r, r.starts.tries) }

func (c *Core) noteStartsSettled(r *run, tries int) {
	if !r.starts.noteSettled(tries) {
		return
	}
	if j := r.unit.job; !j.answersDue {
		j.answersDue = true
		c.answered = append(c.answered, j)
	}
}

// endStartsByTime notes which starts are over whatever has become of their runner.
func (c *Core) endStartsByTime(r *runner, now steady.Time) {
	for _, run := range r.runs {
		if run.starts.any() && !now.Before(run.starts.overBy.Add(leaseExpiryMargin)) {
			c.noteStartsOver(run)
		}
	}
}

// NoteDeadlineSent notes that an order with a deadline is about to be sent to a runner. It may
// extend the lease of a run there that a start under way begins later. A start that can't be
// carried out any more begins none: the runner still reports its earlier incarnation.
func (c *Core) NoteDeadlineSent(id string, now steady.Time) {
	r := c.runners[id]
	if r == nil {
		return
	}
	for _, run := range r.runs {
		if run.starts.any() && !now.After(c.carriedOutBy(run)) {
			run.starts.overBy = max(run.starts.overBy, now.Add(c.opts.EarlierOrders))
		}
	}
}

// resumptionTime is how long after a partition what it has kept arrives at the latest.
const resumptionTime = 2 * time.Second

// startsOver reports whether a report of the run's runner, requested at asked, shows all that the
// run's start has begun.
func (c *Core) startsOver(r *run, asked steady.Time) bool {
	return asked.After(c.carriedOutBy(r)) && asked.Sub(r.runner.reachableSince) >= resumptionTime
}

// AddressTaken notes that another runner has answered a hold, sent at asked, at a runner's address.
// Only a runner at the address to which a start was sent can carry it out. So if the start can't be
// carried out any more, nothing can come of it, whichever incarnations were there before. It
// returns the number of runs whose starts are over.
func (c *Core) AddressTaken(id, address string, asked steady.Time) (over int) {
	r := c.runners[id]
	if r == nil || asked.Before(r.reportRequestedAt) {
		return 0
	}
	if r.takenAddress != address {
		r.takenAddress, r.takenSince = address, asked
	}
	if r.listed || address == "" || asked.Sub(r.takenSince) < resumptionTime {
		return 0
	}
	for _, run := range r.runs {
		if run.starts.any() && run.starts.address == address && asked.After(c.carriedOutBy(run)) {
			c.noteStartsOver(run)
			over++
		}
	}
	return over
}

// AddressNotTaken notes that a hold to a runner was answered by itself or by nobody.
func (c *Core) AddressNotTaken(id string) {
	if r := c.runners[id]; r != nil {
		r.takenAddress = ""
	}
}

// waitsIfStopped reports whether the unit could not start elsewhere soon if it was stopped now:
// a try of one of its starts has no answer, and is not waited for any more.
func (u *unit) waitsIfStopped() bool {
	return slices.ContainsFunc(u.runs, func(r *run) bool { return r.starts.tries > r.starts.awaited })
}

// hasStartsUnderWay reports whether the runner may still carry out starts.
func (r *runner) hasStartsUnderWay() bool {
	for _, run := range r.runs {
		if run.starts.any() || run.phase == ordered && !run.starts.settled {
			return true
		}
	}
	return false
}

// giveUp treats a run as lost that is not on its runner any more, or withdraws it if its start
// is under way there.
func (c *Core) giveUp(r *run, now steady.Time, reason string) {
	switch {
	case !r.starts.any() && r.unit.done:
		c.detach(r)
		c.markChanged(r.unit.job)
	case !r.starts.any():
		c.loseRun(r, now, reason)
	case r.phase != withdrawn:
		c.notifyGivenUp("withdraw", r, now, reason)
		c.withdraw(r, now)
	}
}

// keepsRoom reports whether a run whose start may be under way reserves its resources although it
// isn't there: its runner starts what exceeds its capacity.
func (c *Core) keepsRoom(r *run) bool {
	return r.starts.any() && c.config != nil && slices.ContainsFunc(c.config.Services, func(s batch.Service) bool {
		return s.Name == r.runner.Service && !s.AdmissionControl
	})
}

// withdraw keeps a run, so that its task is started nowhere else, and releases what it reserves
// where that can't fill the runner over its capacity.
func (c *Core) withdraw(r *run, now steady.Time) {
	if !c.keepsRoom(r) {
		r.release()
	}
	r.phase, r.phaseSince, r.acceptedAt, r.startedAt, r.percent, r.pace = withdrawn, now, 0, 0, 0, 0
	if u := r.unit; r.starts.begun && len(u.runs) > 1 && u.memberEndedAt.IsZero() {
		u.memberEndedAt = now
	}
}

// reinstate undoes withdraw.
func (c *Core) reinstate(r *run, to phase, now steady.Time) {
	r.reserve()
	r.phase, r.phaseSince = to, now
}

// settleEnded removes a run that has ended, or withdraws it if a try of its start is under way.
func (c *Core) settleEnded(r *run, now steady.Time) {
	if r.starts.any() {
		c.withdraw(r, now)
		return
	}
	c.detach(r)
}

// maxWithdrawnMember is how long the members of a gang that are there wait for one whose start
// can't be sent again.
const maxWithdrawnMember = 300 * time.Millisecond

// resendWithdrawn has the starts of a unit's withdrawn runs sent again that have not begun and
// were not stopped, if all of the unit's runs are there or may be.
func (c *Core) resendWithdrawn(u *unit, now steady.Time) {
	if u.done || !u.memberEndedAt.IsZero() || len(u.runs) != u.tasks {
		return
	}
	var due []*run
	for _, r := range u.runs {
		if r.phase == stopping {
			return
		}
		if r.phase == withdrawn {
			due = append(due, r)
		}
	}
	fitting := 0
	var reserved []*run
	for _, r := range due {
		if !c.mayResend(r, now) {
			break
		}
		if !r.reserves {
			r.reserve()
			reserved = append(reserved, r)
		}
		fitting++
	}
	for _, r := range reserved {
		r.release()
	}
	if fitting == len(due) {
		for _, r := range due {
			r.born = r.runner.Born
			c.planRepeat(r, now)
		}
		return
	}
	if missing := due[fitting]; len(due) < len(u.runs) && now.Sub(missing.phaseSince) > maxWithdrawnMember {
		c.stopUnit(u, now, "the start of another member can't be sent again")
	}
}

// planRepeat has a run's start sent again once the run's record says so.
func (c *Core) planRepeat(r *run, now steady.Time) {
	c.reinstate(r, planned, now)
	r.unansweredAt, r.starts.repeated = 0, true
	r.starts.settled = false
	c.markChanged(r.unit.job)
	r.requiredVersion = r.unit.job.version
	c.notifyObserver("repeat", r, "its start may be under way, and is sent again")
}

// mayResend reports whether a withdrawn run's start may be sent again.
func (c *Core) mayResend(r *run, now steady.Time) bool {
	u, on := r.unit, r.runner
	step := u.spec()
	return !r.starts.begun && !r.stopSent && on.acceptsStarts(c, now) && !c.suspended(on, now) && len(on.orphans) == 0 &&
		on.Service == u.job.spec.Service && on.hasLabel(step.Label) && u.permitted(on, now, ticketMargin) &&
		(r.reserves || step.ReservedResources().Fits(on.freeFor(u, now)))
}

// attachFound adds a run to its task that a runner lists and that no record names there, unless
// the task has another run or the run's end was read already. It reports whether it did.
func (c *Core) attachFound(r *runner, key runKey, now steady.Time) bool {
	j := c.jobs[key.task.Job]
	if j == nil || j.state.Final() {
		return false
	}
	u := j.unitWithTask(key.task.Occurrence, key.task.Step, key.task.Index)
	if u == nil || !u.waiting() || key.attempt > u.attempt || key.attempt == u.endedAttempt {
		return false
	}
	found := &run{
		unit: u, index: key.task.Index, runner: r, attempt: key.attempt, phase: running, born: r.Born,
		starts: startsUnderWay{begun: true, settled: true}, createdAt: now, phaseSince: now, acceptedAt: now, beganBy: now, resumed: true,
	}
	c.attach(found)
	c.markChanged(j)
	c.notifyObserver("found run", found, "its runner lists it, and its task has no other run")
	if u.spec().Gang {
		c.stopUnit(u, now, "the rest of its gang is not there")
	}
	return true
}
