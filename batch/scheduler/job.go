package scheduler

import (
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// job is one job and what became of its tasks.
type job struct {
	spec      *batch.Job
	state     batch.State
	cancelled bool
	units     []*unit
	open      map[stepKey]int // units that are not done
	version   int             // grows with each change of what is recorded
	committed int             // the version that is in the store
	queued    bool            // waits to be recorded
	added     steady.Time
	size      float64               // core-seconds declared, one occurrence
	permits   map[stepKey]*permits  // of steps that need advice
	work      map[stepKey]*estimate // log of the seconds that a task of the step takes
}

type stepKey struct{ occurrence, step int }

// unit is what is placed as one: a gang, or a task of a step that is no gang.
type unit struct {
	job          *job
	occurrence   int
	step         int
	first        int // index of its first task
	tasks        int
	done         bool
	failures     int
	failedLast   int // the attempt whose failure was counted last
	attempt      int
	checkpoint   string
	savedIn      int            // attempt that the checkpoint is of
	savedPercent int            // of the member that made it
	runs         []*run         // of the present attempt, not ended
	since        steady.Time    // when its turn came; 0: not yet
	avoid        map[string]int // failures by runner
	preempting   steady.Time    // when it last had others stopped
	awaited      float64        // time factor of the slowest runner that they were stopped on
	ending       steady.Time    // when a member of the present attempt ended
	preempted    int            // how often it was stopped for others
	moves        int            // how often it was moved to a faster place
}

type phase int

const (
	planned   phase = iota // waits for its record
	ordered                // the start was sent and isn't answered
	inherited              // recorded by an earlier scheduler; its runner has not reported yet
	running
	stopping
)

// run is one attempt of one task on one runner.
type run struct {
	unit        *unit
	index       int
	runner      *runner
	attempt     int
	phase       phase
	needs       int         // version of the job's record that must be committed first
	began       steady.Time // when it was planned, or taken over
	changed     steady.Time // when it entered its phase
	confirmed   steady.Time // when the runner answered the last order; later reports list the run or it is gone
	started     steady.Time // when it was first known to run
	percent     int
	advanced    steady.Time // when percent last grew
	resumed     bool        // began at a checkpoint
	remote      bool        // away from its data or its gang's rack
	pace        float64     // percent a second, lately
	paceError   float64     // largest relative error of pace
	markAt      steady.Time // when pace was last read
	markPercent int
	learnedPace float64 // the pace that the runner's speed was last learned from; 0: none
}

func (u *unit) spec() *batch.Step { return &u.job.spec.Steps[u.step] }

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

// AddJob takes a job with its recorded progress; nil: nothing is recorded.
func (c *Core) AddJob(spec *batch.Job, recorded *batch.Progress, now steady.Time) {
	if c.jobs[spec.ID] != nil {
		return
	}
	j := &job{spec: spec, state: batch.Queued, open: make(map[stepKey]int), added: now}
	c.jobs[spec.ID] = j
	j.addUnits(now)
	j.size = sizeOf(spec)
	if recorded != nil {
		c.restore(j, recorded, now)
	}
	if !j.state.Final() {
		c.active = append(c.active, j)
	}
}

func sizeOf(spec *batch.Job) float64 {
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
			j.open[stepKey{k, s}] = count
		}
	}
}

// restore applies a record written by an earlier scheduler, or by this one.
func (c *Core) restore(j *job, recorded *batch.Progress, now steady.Time) {
	j.state = recorded.State
	for _, t := range recorded.Tasks {
		u := j.unitOf(t.Occurrence, t.Step, t.Index)
		if u == nil {
			continue
		}
		u.attempt = max(u.attempt, t.Attempt)
		u.failures = max(u.failures, t.Failures)
		if t.Checkpoint != "" {
			u.checkpoint = t.Checkpoint
		}
		if t.Done {
			j.finishUnit(u)
			continue
		}
		if t.Runner != "" && !j.state.Final() {
			r := &run{unit: u, index: t.Index, runner: c.runner(t.Runner), attempt: t.Attempt, phase: inherited, began: now, changed: now, resumed: true}
			c.attach(r)
		}
	}
}

// unitOf returns the unit that holds a task, or nil.
func (j *job) unitOf(occurrence, step, index int) *unit {
	for _, u := range j.units {
		if u.occurrence == occurrence && u.step == step && index >= u.first && index < u.first+u.tasks {
			return u
		}
	}
	return nil
}

func (j *job) finishUnit(u *unit) {
	if u.done {
		return
	}
	u.done = true
	j.open[stepKey{u.occurrence, u.step}]--
}

// progress returns what is to be recorded of the job.
func (j *job) progress() batch.Progress {
	p := batch.Progress{State: j.state}
	for _, u := range j.units {
		p.Tasks = u.appendProgress(p.Tasks)
	}
	return p
}

func (u *unit) appendProgress(rows []batch.TaskProgress) []batch.TaskProgress {
	if u.attempt == 0 && !u.done {
		return rows
	}
	row := batch.TaskProgress{
		Occurrence: u.occurrence, Step: u.step, Index: u.first,
		Done: u.done, Failures: u.failures, Attempt: u.attempt,
	}
	if u.done {
		return append(rows, row)
	}
	row.Checkpoint = u.checkpoint
	if len(u.runs) == 0 {
		return append(rows, row)
	}
	for _, r := range u.runs {
		row.Index, row.Runner = r.index, r.runner.ID
		rows = append(rows, row)
		row.Checkpoint = "" // one row of a gang carries it
	}
	return rows
}

// eligible reports whether a unit's turn has come, and notes when.
func (u *unit) eligible(now steady.Time, wall time.Time, early time.Duration) bool {
	if !u.since.IsZero() {
		return true
	}
	turn := u.job.spec.Accepted
	if due := u.job.spec.Due(u.occurrence); !due.IsZero() {
		turn = due
		if wall.Add(early).Before(due) {
			return false
		}
	}
	if !u.afterDone() {
		return false
	}
	u.since = now
	if len(u.spec().After) == 0 {
		// An earlier scheduler may have seen its turn come already.
		u.since = now.Add(-max(0, wall.Sub(turn)))
	}
	return true
}

// afterDone reports whether all steps that come before are done.
func (u *unit) afterDone() bool {
	return !slices.ContainsFunc(u.spec().After, func(s int) bool {
		return u.job.open[stepKey{u.occurrence, s}] > 0
	})
}

// Cancel stops a job for good.
func (c *Core) Cancel(id string, now steady.Time) {
	j := c.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	if j.state.Final() {
		return
	}
	c.end(j, batch.Cancelled, now)
}

// end gives a job its final state and stops what still runs of it.
func (c *Core) end(j *job, state batch.State, now steady.Time) {
	j.state = state
	c.change(j)
	if state != batch.Completed { // what still runs then is ending by itself
		for _, u := range j.units {
			c.stopUnit(u, now, "job "+string(state))
		}
	}
	c.active = slices.DeleteFunc(c.active, func(o *job) bool { return o == j })
}

// stopUnit stops every run of a unit. Runs whose start was not sent end at once.
func (c *Core) stopUnit(u *unit, now steady.Time, reason string) {
	for _, r := range slices.Clone(u.runs) {
		switch r.phase {
		case planned:
			c.detach(r)
			c.change(u.job)
		case stopping:
		default:
			c.stopRun(r, now, reason)
		}
	}
}

func (c *Core) stopRun(r *run, now steady.Time, reason string) {
	r.phase, r.changed, r.confirmed = stopping, now, 0
	c.observe("stop", r, reason)
	c.orders = append(c.orders, r.stopOrder())
}

func (c *Core) attach(r *run) {
	r.unit.runs = append(r.unit.runs, r)
	r.runner.runs[runKey{r.task(), r.attempt}] = r
	r.runner.used = r.runner.used.Plus(r.unit.spec().ReservedResources())
}

// detach removes a run that has ended.
func (c *Core) detach(r *run) {
	key := runKey{r.task(), r.attempt}
	if r.runner.runs[key] != r {
		return
	}
	delete(r.runner.runs, key)
	r.runner.used = r.runner.used.Minus(r.unit.spec().ReservedResources())
	u := r.unit
	u.runs = slices.DeleteFunc(u.runs, func(o *run) bool { return o == r })
	if len(u.runs) == 0 {
		u.ending = 0
	}
}

// State returns a job's state as decided, recorded or not.
func (c *Core) State(id string) (batch.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	return j.state, true
}
