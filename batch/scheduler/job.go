package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// job is a job with the state of its tasks.
type job struct {
	spec         *batch.Job
	state        batch.State
	cancelled    bool
	units        []*unit
	openUnits    map[stepKey]int // units that are not done, by step
	version      int             // incremented with each change of the job's record
	committed    int             // the version that is in the store
	recordQueued bool            // is in Core.dirty
	answersDue   bool            // is in Core.answered
	// recordsOpenStart says that the record that was last taken has a start that isn't answered.
	recordsOpenStart    bool
	openStartRecordedAt steady.Time // when that record was taken
	added               steady.Time
	size                float64                 // declared core-seconds of one occurrence
	adviceByStep        map[stepKey]*stepAdvice // for the steps that need advice
	work                map[stepKey]*stepWork
}

type stepKey struct{ occurrence, step int }

// unit is a group of tasks that are placed together: a gang, or a single task
// of a step that isn't a gang.
type unit struct {
	job               *job
	occurrence        int
	step              int
	first             int // index of its first task
	tasks             int
	done              bool
	failures          int
	failedAttempts    []int // the attempts that are counted in failures; none for long-running tasks
	attempt           int
	endedAttempt      int // the last attempt of which a runner has reported an end
	checkpoint        string
	checkpointAttempt int            // the attempt that made the checkpoint
	checkpointPercent int            // progress of the member that made it
	runs              []*run         // of the current attempt, not ended
	eligibleSince     steady.Time    // when it became eligible to be placed; 0: not yet
	waitingSince      steady.Time    // when it was first seen eligible without a run; 0: it has one, or isn't eligible
	runnerFailures    map[string]int // failures of the unit by runner
	preemptingSince   steady.Time    // when others were last preempted for it; 0: none since it was placed
	awaitedCost       float64        // highest slot.cost of the runners on which others were preempted for it
	memberEndedAt     steady.Time    // when the first member of the current attempt ended
	timesMoved        int            // how often it was moved to a faster place
	refusal           refusal        // why it was not placed when it was last considered
	explainedAt       steady.Time    // when its wait was last explained; 0: not since it was placed
}

// phase is the state of a run as the scheduler knows it.
type phase int

const (
	planned   phase = iota // waits until its record is committed
	ordered                // the start was sent and isn't answered yet
	inherited              // recorded by an earlier scheduler; its runner has not reported yet
	running
	stopping
	withdrawn // not there, but its start may be under way; see keepsRoom for what it reserves
)

// run is one attempt of one task on one runner.
type run struct {
	unit            *unit
	index           int
	runner          *runner
	attempt         int
	phase           phase
	reserves        bool        // its resources are reserved on its runner
	born            int64       // the incarnation of the runner that it was planned for
	requiredVersion int         // version of the job's record that must be committed before the start
	createdAt       steady.Time // when it was planned, or restored from a record
	phaseSince      steady.Time // when it entered its phase
	acceptedAt      steady.Time // when the runner accepted the last order; a report requested later lists the run unless it is gone
	starts          startsUnderWay
	unansweredAt    steady.Time // when the caller gave up waiting for an answer to its start; 0: it has not
	rounds          int         // how often it did
	stopSent        bool        // its runner may refuse its start from now on
	beganBy         steady.Time // when its start was accepted or a report first listed it; a report requested later lists it unless it is gone
	startedAt       steady.Time // when it was first known to run
	percent         int
	progressedAt    steady.Time // when percent last changed
	resumed         bool        // started from a checkpoint, or inherited
	remote          bool        // away from its data or its gang's rack
	pace            float64     // percent per second, at the last measurement
	paceError       float64     // largest relative error of pace
	paceReadAt      steady.Time // when pace was last measured
	paceReadPercent int         // percent at that time
	learnedPace     float64     // the pace from which the runner's speed was last learned; 0: none
}

func (u *unit) spec() *batch.Step { return &u.job.spec.Steps[u.step] }

// compareIdentity orders units by job and position in the job. It makes decisions
// between otherwise equal units repeatable.
func (u *unit) compareIdentity(o *unit) int {
	return cmp.Or(
		cmp.Compare(u.job.spec.ID, o.job.spec.ID), cmp.Compare(u.occurrence, o.occurrence),
		cmp.Compare(u.step, o.step), cmp.Compare(u.first, o.first),
	)
}

func (u *unit) waiting() bool { return !u.done && len(u.runs) == 0 }

func (r *run) task() batch.TaskID {
	return batch.TaskID{Job: r.unit.job.spec.ID, Occurrence: r.unit.occurrence, Step: r.unit.step, Index: r.index}
}

func (r *run) startOrder() Order {
	return Order{
		Kind:       StartRun,
		Runner:     r.runner.Runner,
		Task:       r.task(),
		Attempt:    r.attempt,
		Spec:       r.unit.job.spec.Spec,
		Checkpoint: r.unit.checkpoint,
		Ticket:     r.unit.ticket(r.runner),
	}
}

func (r *run) stopOrder() Order {
	return Order{Kind: StopRun, Runner: r.runner.Runner, Task: r.task(), Attempt: r.attempt}
}

// AddJob adds a job with its recorded progress. recorded is nil when nothing is
// recorded.
func (c *Core) AddJob(spec *batch.Job, recorded *batch.Progress, now steady.Time) {
	if c.jobs[spec.ID] != nil {
		return
	}
	j := &job{spec: spec, state: batch.Queued, openUnits: make(map[stepKey]int), added: now}
	c.jobs[spec.ID] = j
	j.addUnits(now)
	j.size = declaredSize(spec)
	if recorded != nil {
		c.restore(j, recorded, now)
	}
	if !j.state.Final() {
		c.active = append(c.active, j)
	}
}

func declaredSize(spec *batch.Job) float64 {
	sum := 0.0
	for _, s := range spec.Steps {
		sum += coresOf(s.Request) * s.Estimate.Seconds() * float64(s.Tasks)
	}
	return sum
}

func (j *job) addUnits(now steady.Time) {
	for k := range j.spec.Occurrences() {
		for s, step := range j.spec.Steps {
			size, count := 1, step.Tasks
			if step.Gang {
				size, count = step.Tasks, 1
			}
			for i := range count {
				j.units = append(j.units, &unit{job: j, occurrence: k, step: s, first: i * size, tasks: size})
			}
			j.openUnits[stepKey{k, s}] = count
		}
	}
}

// restore applies a record written by an earlier scheduler, or by this one.
func (c *Core) restore(j *job, recorded *batch.Progress, now steady.Time) {
	j.state = recorded.State
	for _, t := range recorded.Tasks {
		u := j.unitWithTask(t.Occurrence, t.Step, t.Index)
		if u == nil {
			continue
		}
		u.attempt = max(u.attempt, t.Attempt)
		u.failures, u.failedAttempts = max(u.failures, t.Failures), t.Failed
		if t.Checkpoint != "" {
			u.checkpoint = t.Checkpoint
		}
		if t.Done {
			j.markDone(u)
		}
		if t.Runner != "" && (t.Open || !t.Done && !j.state.Final()) {
			r := &run{unit: u, index: t.Index, runner: c.ensureRunner(t.Runner), attempt: cmp.Or(t.RunAttempt, t.Attempt), phase: inherited, born: recorded.Incarnations[t.Runner], createdAt: now, phaseSince: now, resumed: true}
			r.starts.settled = !t.Open
			if t.Open {
				j.recordsOpenStart, j.openStartRecordedAt = true, now
				r.starts.noteInherited(t.SentOnce, now.Add(-time.Duration(t.OpenMillis)*time.Millisecond), c.inheritedStartsEnd(t.Runner, now))
			}
			if t.Done || j.state.Final() {
				r.phase = withdrawn
			}
			c.attach(r)
		}
	}
}

// unitWithTask returns the unit that contains a task, or nil.
func (j *job) unitWithTask(occurrence, step, index int) *unit {
	for _, u := range j.units {
		if u.occurrence == occurrence && u.step == step && index >= u.first && index < u.first+u.tasks {
			return u
		}
	}
	return nil
}

// markDone counts a unit as done. It doesn't end the job.
func (j *job) markDone(u *unit) {
	if u.done {
		return
	}
	u.done = true
	j.openUnits[stepKey{u.occurrence, u.step}]--
}

// progress returns the progress of the job to be recorded, with the ages of its starts at the
// given time.
func (j *job) progress(at steady.Time) batch.Progress {
	p := batch.Progress{State: j.state, Incarnations: j.incarnations()}
	for _, u := range j.units {
		p.Tasks = u.appendProgress(p.Tasks, at)
	}
	return p
}

// incarnations returns, by runner, the earliest incarnation that one of the job's runs was
// meant for.
func (j *job) incarnations() map[string]int64 {
	var out map[string]int64
	for _, u := range j.units {
		for _, r := range u.runs {
			if r.born == 0 {
				continue
			}
			if out == nil {
				out = make(map[string]int64)
			}
			if born, known := out[r.runner.ID]; !known || r.born < born {
				out[r.runner.ID] = r.born
			}
		}
	}
	return out
}

func (u *unit) appendProgress(rows []batch.TaskProgress, at steady.Time) []batch.TaskProgress {
	if u.attempt == 0 && !u.done {
		return rows
	}
	row := batch.TaskProgress{
		Occurrence: u.occurrence, Step: u.step, Index: u.first,
		Done: u.done, Failures: u.failures, Failed: slices.Clone(u.failedAttempts), Attempt: u.attempt,
	}
	if u.done { // rows of runs whose starts are under way follow
		rows = append(rows, row)
	} else {
		row.Checkpoint = u.checkpoint
	}
	if len(u.runs) == 0 && !u.done {
		return append(rows, row)
	}
	for _, r := range u.runs {
		row.Index, row.Runner, row.Open, row.SentOnce, row.RunAttempt = r.index, r.runner.ID, !r.starts.settled, !r.starts.repeated && !r.starts.settled, 0
		row.OpenMillis = r.startAge(at).Milliseconds()
		if r.attempt != u.attempt {
			row.RunAttempt = r.attempt
		}
		rows = append(rows, row)
		row.Checkpoint = "" // only one row of a gang carries it
	}
	return rows
}

// eligible reports whether the unit may be placed: its occurrence is due and
// the steps before it are done. It sets eligibleSince.
func (u *unit) eligible(now steady.Time, wall time.Time, maxEarly time.Duration) bool {
	if !u.eligibleSince.IsZero() {
		return true
	}
	eligibleAt := u.job.spec.Accepted
	if due := u.job.spec.Due(u.occurrence); !due.IsZero() {
		eligibleAt = due
		if wall.Add(maxEarly).Before(due) {
			return false
		}
	}
	if !u.predecessorsDone() {
		return false
	}
	u.eligibleSince = now
	if len(u.spec().After) == 0 {
		// An earlier scheduler may have found the unit eligible already, so its
		// wait counts from the acceptance or the due time.
		u.eligibleSince = now.Add(-max(0, wall.Sub(eligibleAt)))
	}
	return true
}

// predecessorsDone reports whether all steps that the unit's step comes after
// are done.
func (u *unit) predecessorsDone() bool {
	return !slices.ContainsFunc(u.spec().After, func(s int) bool {
		return u.job.openUnits[stepKey{u.occurrence, s}] > 0
	})
}

// CancelJob cancels a job.
func (c *Core) CancelJob(id string, now steady.Time) {
	j := c.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	if j.state.Final() {
		return
	}
	c.endJob(j, batch.Cancelled, now)
}

// noteBegun notes that a task of the job has begun on a runner. A run that is only planned,
// refused or without an answer doesn't count: the job is still pending.
func (c *Core) noteBegun(j *job) {
	if j.state == batch.Queued {
		j.state = batch.Running
		c.markChanged(j)
	}
}

// endJob gives a job its final state and stops its runs.
func (c *Core) endJob(j *job, state batch.State, now steady.Time) {
	j.state = state
	c.markChanged(j)
	if state != batch.Completed { // the remaining runs of a completed job are ending by themselves
		for _, u := range j.units {
			c.stopUnit(u, now, "job "+string(state))
		}
	}
	c.active = slices.DeleteFunc(c.active, func(o *job) bool { return o == j })
}

// stopUnit stops every run of a unit. Runs whose start was not sent end at
// once.
func (c *Core) stopUnit(u *unit, now steady.Time, reason string) {
	for _, r := range slices.Clone(u.runs) {
		switch {
		case r.phase == planned && !r.starts.any():
			c.detach(r)
			c.markChanged(u.job)
		case r.phase == stopping, r.phase == withdrawn:
		default:
			c.stopRun(r, now, reason)
		}
	}
}

func (c *Core) stopRun(r *run, now steady.Time, reason string) {
	r.phase, r.phaseSince, r.acceptedAt, r.stopSent = stopping, now, 0, true
	c.notifyObserver("stop", r, reason)
	c.orders = append(c.orders, r.stopOrder())
}

// attach adds a run to its unit and its runner, and reserves its resources.
func (c *Core) attach(r *run) {
	r.unit.runs = append(r.unit.runs, r)
	r.runner.runs[runKey{r.task(), r.attempt}] = r
	if r.phase != withdrawn || c.keepsRoom(r) {
		r.reserve()
	}
}

// reserve reserves the run's resources on its runner, unless they are.
func (r *run) reserve() {
	if r.reserves {
		return
	}
	r.reserves = true
	r.runner.reserved = r.runner.reserved.Plus(r.unit.spec().ReservedResources())
	if r.unit.job.spec.Priority == 0 {
		r.runner.reservedUrgent = r.runner.reservedUrgent.Plus(r.unit.spec().ReservedResources())
		r.runner.urgentRuns = append(r.runner.urgentRuns, r)
	}
}

// release undoes reserve.
func (r *run) release() {
	if !r.reserves {
		return
	}
	r.reserves = false
	r.runner.reserved = r.runner.reserved.Minus(r.unit.spec().ReservedResources())
	if r.unit.job.spec.Priority == 0 {
		r.runner.reservedUrgent = r.runner.reservedUrgent.Minus(r.unit.spec().ReservedResources())
		r.runner.urgentRuns = slices.DeleteFunc(r.runner.urgentRuns, func(o *run) bool { return o == r })
	}
}

// detach removes a run that has ended, and releases its resources.
func (c *Core) detach(r *run) {
	key := runKey{r.task(), r.attempt}
	if r.runner.runs[key] != r {
		return
	}
	delete(r.runner.runs, key)
	r.release()
	u := r.unit
	u.runs = slices.DeleteFunc(u.runs, func(o *run) bool { return o == r })
	if len(u.runs) == 0 {
		u.memberEndedAt = 0
	}
}

// JobState returns the state of a job as decided, whether it is recorded or
// not.
func (c *Core) JobState(id string) (batch.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	return j.state, true
}
