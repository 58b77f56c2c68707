package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// gangEndTimeout is how long the other members of a gang may take to end by
	// themselves after one has ended: the time for a report to arrive and for a
	// stop at the runner.
	gangEndTimeout = 600 * time.Millisecond

	// stallTimeoutUrgent and stallTimeout are how long a run may show no
	// progress before it is moved. Runners report once a second, and a percent
	// of the longest work on the slowest runner takes about half a second.
	stallTimeoutUrgent = 1600 * time.Millisecond
	stallTimeout       = 3500 * time.Millisecond

	// localityWaitMin and localityWaitMax bound how long a unit waits for a
	// place near its data or, for a gang, in one rack.
	localityWaitMin = time.Second
	localityWaitMax = 6 * time.Second

	// nominationTTL is how long freed capacity is reserved for the unit that
	// preempted others: the time for a stop and its report, and a margin.
	nominationTTL = 1500 * time.Millisecond

	// longRunningPreemptDelay is how long a long-running task waits for a free
	// place before it may preempt others, and, if it has run before, before it is
	// overdue. It must run again within 6 s of its last run, and preemption takes up
	// to two seconds of that.
	longRunningPreemptDelay = 2 * time.Second
)

// Decide makes one scheduling pass: it ends runs whose runner's lease has
// expired, stops runs that must be moved, and places the waiting units that are
// eligible. wall is the time of day that the due times of occurrences are
// compared with.
func (c *Core) Decide(now steady.Time, wall time.Time) {
	c.decidedAt = now
	c.releaseDeferred(now)
	c.recordAnswers(now)
	c.expireLeases(now)
	c.noteSilentDomains(now)
	c.slotCache, c.waitingByShape = make(map[slotKey][]slot), make(map[shape]int)
	for _, j := range c.active {
		for _, u := range j.units {
			c.checkRunning(u, now)
		}
	}
	refused := make(map[shape]*unit)
	units := c.eligibleUnits(now, wall)
	clear(c.slotCache) // checkRunning filled it before waitingByShape was known
	for _, u := range units {
		c.waitingByShape[u.shape()]++
	}
	c.dropReservations(now)
	for _, u := range units {
		s := u.shape()
		if before := refused[s]; before != nil && !c.mayFareBetter(u, before, now) {
			u.refusal = behindItsShape
			continue
		}
		if !c.schedule(u, now) {
			refused[s] = u
			c.reserve(u, now)
		}
	}
	c.explainWaits(now)
}

// shape holds the properties that decide whether there is room for a unit. When there is none for
// one unit of a shape, there is none for the others either, but for what mayFareBetter names.
type shape struct {
	service, label, dataRack           string
	request                            batch.Resources
	tasks, perRunner                   int
	sameRack, usesIdleCPU, servesUsers bool
	priority                           int
	step                               *batch.Step // set when placement also depends on the step's own runs, failures or advice
	adviceKey                          stepKey     // set, with step, when the step needs advice
}

func (u *unit) shape() shape {
	s := u.spec()
	out := shape{
		service: u.job.spec.Service, label: s.Label, dataRack: s.DataRack, request: s.ReservedResources(), usesIdleCPU: s.UsesIdleCPU, servesUsers: s.ServesUsers(),
		tasks: u.tasks, perRunner: s.PerRunner, sameRack: s.SameRack, priority: u.job.spec.Priority,
	}
	if s.PerRunner > 0 || len(u.runnerFailures) > 0 || u.needsAdvice() {
		out.step = s
	}
	if u.needsAdvice() {
		out.adviceKey = stepKey{u.occurrence, u.step}
	}
	return out
}

// mayFareBetter reports whether a unit may be placed in this pass although another of its shape
// was refused: it has a claim of its own, may preempt more, or doesn't wait for a better place.
func (c *Core) mayFareBetter(u, refused *unit, now steady.Time) bool {
	if c.hasClaim(u, now) {
		return true
	}
	if u.job == refused.job && u.occurrence == refused.occurrence && u.step == refused.step {
		return false
	}
	if c.mayPreempt(u, now) && !c.mayPreempt(refused, now) || c.guaranteeDue(u, now) && !c.guaranteeDue(refused, now) {
		return true
	}
	return refused.refusal != noRoom && now.Sub(u.eligibleSince) >= c.localityWait(u)
}

// hasClaim reports whether runners are reserved for the unit, or others were stopped for it a
// short time ago.
func (c *Core) hasClaim(u *unit, now steady.Time) bool {
	if c.hasReservation(u) {
		return true
	}
	return !u.preemptingSince.IsZero() && now.Sub(u.preemptingSince) < nominationTTL
}

// checkRunning stops a unit that has runs if it must be placed again: a gang of
// which a member has ended, a unit that outlasts the drain of its runner, a
// unit that would be in time elsewhere, or a unit without progress.
func (c *Core) checkRunning(u *unit, now steady.Time) {
	if len(u.runs) == 0 {
		return
	}
	c.handleUnansweredStarts(u, now)
	c.resendWithdrawn(u, now)
	if !u.memberEndedAt.IsZero() && now.Sub(u.memberEndedAt) > gangEndTimeout {
		c.stopUnit(u, now, "another member ended")
		return
	}
	if u.outlastsDrain(now) {
		c.stopUnit(u, now, "runner is leaving")
		return
	}
	if c.uses(mechanism.Moves) && c.shouldMove(u, now) {
		c.stopUnit(u, now, "too slow where it runs")
		return
	}
	if c.uses(mechanism.StallStops) && c.stalled(u, now) {
		u.recordStall(now)
		c.stopUnit(u, now, "no progress")
	}
}

// outlastsDrain reports whether a run of the unit can't end before its draining
// runner leaves.
func (u *unit) outlastsDrain(now steady.Time) bool {
	if !slices.ContainsFunc(u.runs, func(r *run) bool { return r.runner.Draining }) {
		return false
	}
	return slices.ContainsFunc(u.runs, func(r *run) bool {
		return r.phase == running && r.runner.Draining && now.Add(u.estimatedTimeLeft(now)).After(r.runner.leavesAt)
	})
}

// estimatedTimeLeft estimates how much longer the unit takes. A gang takes as
// long as its slowest member.
func (u *unit) estimatedTimeLeft(now steady.Time) time.Duration {
	var longest time.Duration
	for _, r := range u.runs {
		if r.percent < 100 {
			longest = max(longest, r.timeLeft()-now.Sub(r.progressedAt))
		}
	}
	return longest
}

// timeLeft estimates how much longer a run takes.
func (r *run) timeLeft() time.Duration {
	if r.pace <= 0 {
		return r.unit.spec().Estimate
	}
	return time.Duration(float64(100-r.percent) / r.pace * float64(time.Second))
}

// stalled reports whether no task of the unit has progressed within the stall
// timeout. A unit isn't stalled while one of its tasks is done, isn't running
// yet or is stopping, or while the last report of one of its runners is too old or
// leaves ends out.
// Long-running units are never stalled.
func (c *Core) stalled(u *unit, now steady.Time) bool {
	limit := stallTimeout
	if u.job.spec.Priority == 0 {
		limit = stallTimeoutUrgent
	}
	for _, r := range u.runs {
		progressing := r.phase != running || r.percent >= 100 || now.Sub(r.progressedAt) < limit
		if progressing || r.runner.endsTruncated || now.Sub(r.runner.reportReceivedAt) > c.maxReportAge {
			return false
		}
	}
	return !u.spec().LongRunning
}

// recordStall counts a failure of the unit on each of its runners. If the unit
// is a single task, its runner backs off too.
func (u *unit) recordStall(now steady.Time) {
	if u.runnerFailures == nil {
		u.runnerFailures = make(map[string]int)
	}
	for _, r := range u.runs {
		u.runnerFailures[r.runner.ID]++
		if u.tasks == 1 {
			r.runner.backOff(now)
		}
	}
}

// eligibleUnits returns the waiting units that may be placed, in the order in
// which they are placed: by their claims, then those that can still be in time, then
// those of small jobs, because that serves the most callers in time, and then by age.
func (c *Core) eligibleUnits(now steady.Time, wall time.Time) []*unit {
	var out []*unit
	for _, j := range c.active {
		for _, u := range j.units {
			if u.waiting() && u.eligible(now, wall, c.opts.MaxEarlyStart) {
				if u.waitingSince.IsZero() {
					u.waitingSince = now
				}
				out = append(out, u)
			}
		}
	}
	if !c.uses(mechanism.QueueOrder) {
		slices.SortStableFunc(out, func(a, b *unit) int { return a.job.spec.Accepted.Compare(b.job.spec.Accepted) })
		return out
	}
	tooLate := make(map[*unit]bool, len(out))
	for _, u := range out {
		tooLate[u] = c.tooLate(u, now)
	}
	slices.SortStableFunc(out, func(a, b *unit) int {
		return cmp.Or(
			compareClaims(a, b, now),
			compareBool(tooLate[a], tooLate[b]),
			cmp.Compare(a.job.size, b.job.size),
			a.job.spec.Accepted.Compare(b.job.spec.Accepted),
			cmp.Compare(a.occurrence, b.occurrence),
		)
	})
	return out
}

// schedule places a unit, or preempts others to make room for it. It returns
// false when neither is possible now, so that other units of the same shape
// needn't be tried.
func (c *Core) schedule(u *unit, now steady.Time) bool {
	if near := c.place(u, now, false); near != nil {
		switch {
		case c.awaitsFasterRunners(u, near, now):
			u.refusal = awaitsPreempted
		case c.awaitsBetterOutcome(u, near, now):
			u.refusal = awaitsLessLate
		default:
			c.assign(u, near, now)
		}
		return true
	}
	if c.mayPreempt(u, now) && c.preempt(u, now) {
		u.refusal = awaitsPreempted
		return true
	}
	if now.Sub(u.eligibleSince) < c.localityWait(u) {
		u.refusal = awaitsNear
		return false
	}
	far := c.place(u, now, true)
	if far == nil {
		u.refusal = noRoom
		return false
	}
	if c.awaitsBetterOutcome(u, far, now) {
		u.refusal = awaitsLessLate
		return false
	}
	c.assign(u, far, now)
	return true
}

// awaitsFasterRunners reports whether the unit waits for faster runners that
// preemption frees for it, because it would be late on the free ones. It may
// start that preemption.
func (c *Core) awaitsFasterRunners(u *unit, free []*runner, now steady.Time) bool {
	if !c.uses(mechanism.FasterRunners) || c.guaranteeDue(u, now) {
		return false
	}
	return c.mayPreempt(u, now) && c.outcomeOn(u, free, now) > inTime && c.preemptForFasterRunners(u, now)
}

// mayPreempt reports whether others may be stopped to make room for the unit.
func (c *Core) mayPreempt(u *unit, now steady.Time) bool {
	if !c.uses(mechanism.Preemption) {
		return false
	}
	return u.job.spec.Priority == 0 || u.spec().LongRunning && now.Sub(u.eligibleSince) >= longRunningPreemptDelay
}

// localityWait returns how long a unit waits for a place near its data or, for a
// gang, in one rack. While most of the service is free, it is the minimum: that
// place is then not occupied by work that ends soon.
func (c *Core) localityWait(u *unit) time.Duration {
	if u.job.spec.Priority == 0 || !c.uses(mechanism.LocalityWait) {
		return 0
	}
	if c.mostlyFree(u.job.spec.Service) {
		return localityWaitMin
	}
	return min(max(u.spec().Estimate, localityWaitMin), localityWaitMax)
}

// mostlyFree reports whether less than half of the service's accelerators and
// less than half of its CPU are reserved.
func (c *Core) mostlyFree(service string) bool {
	var reserved, all batch.Resources
	for _, r := range c.allRunners {
		if r.Service == service && r.listed {
			reserved, all = reserved.Plus(r.reserved), all.Plus(r.Capacity)
		}
	}
	return 2*reserved.Accelerators < all.Accelerators && 2*reserved.MilliCPU < all.MilliCPU
}

// assign plans a run of each task of the unit.
func (c *Core) assign(u *unit, chosen []*runner, now steady.Time) {
	j := u.job
	u.attempt++
	u.memberEndedAt, u.waitingSince, u.refusal, u.explainedAt = 0, 0, "", 0
	c.markChanged(j)
	var sincePreemption time.Duration
	if !u.preemptingSince.IsZero() {
		sincePreemption = now.Sub(u.preemptingSince)
		u.preemptingSince = 0
	}
	for i, to := range chosen {
		to.nominations = slices.DeleteFunc(to.nominations, func(n nomination) bool { return n.unit == u })
		r := &run{unit: u, index: u.first + i, runner: to, attempt: u.attempt, phase: planned, born: to.Born, requiredVersion: j.version, createdAt: now, phaseSince: now}
		r.resumed, r.remote = u.checkpoint != "", u.isRemote(chosen, to)
		c.attach(r)
		c.opts.Observe(Decision{
			What: "place", Job: j.spec.ID, Task: r.task(), Attempt: r.attempt, Runner: to.ID, Waited: now.Sub(u.eligibleSince),
			SincePreemption: sincePreemption,
			TimeFactor:      c.speeds.timeFactor(to.ID), Work: c.speeds.expectedDuration(u), Remote: r.remote,
		})
	}
}

// isRemote reports whether a task on r is slowed down by its distance from its
// data or from its gang.
func (u *unit) isRemote(chosen []*runner, r *runner) bool {
	step := u.spec()
	if step.DataRack != "" && step.DataRack != r.Rack {
		return true
	}
	return step.SameRack && slices.ContainsFunc(chosen, func(o *runner) bool { return o.Rack != r.Rack })
}

// tooLate reports whether the unit would end later than tooLateFactor times its
// target time.
func (c *Core) tooLate(u *unit, now steady.Time) bool {
	if u.spec().LongRunning {
		return false // its value is the time that it runs
	}
	target := c.deadline(u).Sub(u.eligibleSince)
	return now.Sub(u.eligibleSince) > tooLateFactor*target-c.speeds.expectedDuration(u)
}
