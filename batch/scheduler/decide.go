package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// gangSettle is how long the other members of a gang get to end by
	// themselves after one did: a report's way, and a stop at the runner.
	gangSettle = 600 * time.Millisecond

	// stalledUrgent and stalled are how long a run may show no progress before
	// it is moved. Runners report once a second, and a percent of the longest
	// work on the slowest runner takes about half a second.
	stalledUrgent = 1600 * time.Millisecond
	stalled       = 3500 * time.Millisecond

	// remotePatience bounds how long a task waits for a place near its data.
	remotePatienceMin = time.Second
	remotePatienceMax = 6 * time.Second

	// nominationLife is how long freed capacity is kept for the unit that had
	// others stopped: a stop, its report and a margin.
	nominationLife = 1500 * time.Millisecond

	// lastingPatience is how long a task that lasts waits for a free place. It is
	// due back 6 s after its last run, and making room takes up to two.
	lastingPatience = 2 * time.Second
)

// Decide expires what has lapsed, moves runs that make no progress and places
// what waits. wall is the time of day that occurrences are due by.
func (c *Core) Decide(now steady.Time, wall time.Time) {
	c.expire(now)
	c.places, c.waiting = make(map[placeKey][]slot), make(map[shape]int)
	for _, j := range c.active {
		for _, u := range j.units {
			c.tend(u, now)
		}
	}
	failed := make(map[shape]bool)
	queue := c.queue(now, wall)
	clear(c.places) // tending looked for places before it was known how many wait
	for _, u := range queue {
		c.waiting[u.shape()]++
	}
	for _, u := range queue {
		s := u.shape()
		if failed[s] {
			continue
		}
		if !c.schedule(u, now) {
			failed[s] = true
		}
	}
}

// shape is what decides whether a unit fits: units of one shape fail alike.
type shape struct {
	service, label, dataRack string
	request                  batch.Resources
	tasks, perRunner         int
	sameRack, fills, serves  bool
	priority                 int
	step                     *batch.Step // set where runs of the step limit each other
	advised                  stepKey     // with step, of a step that needs advice
}

func (u *unit) shape() shape {
	s := u.spec()
	out := shape{
		service: u.job.spec.Service, label: s.Label, dataRack: s.DataRack, request: s.ReservedResources(), fills: s.UsesIdleCPU, serves: s.ServesUsers(),
		tasks: u.tasks, perRunner: s.PerRunner, sameRack: s.SameRack, priority: u.job.spec.Priority,
	}
	if s.PerRunner > 0 || len(u.avoid) > 0 || u.advised() {
		out.step = s
	}
	if u.advised() {
		out.advised = stepKey{u.occurrence, u.step}
	}
	return out
}

// tend looks after a unit that runs.
func (c *Core) tend(u *unit, now steady.Time) {
	if len(u.runs) == 0 {
		return
	}
	if !u.ending.IsZero() && now.Sub(u.ending) > gangSettle {
		c.stopUnit(u, now, "another member ended")
		return
	}
	if u.leaving(now) {
		c.stopUnit(u, now, "runner is leaving")
		return
	}
	if !c.opts.Plain && c.betterElsewhere(u, now) {
		c.stopUnit(u, now, "too slow where it runs")
		return
	}
	if c.stalled(u, now) {
		u.blame(now)
		c.stopUnit(u, now, "no progress")
	}
}

// leaving reports whether a run of the unit can't end before its runner leaves.
func (u *unit) leaving(now steady.Time) bool {
	if !slices.ContainsFunc(u.runs, func(r *run) bool { return r.runner.Draining }) {
		return false
	}
	return slices.ContainsFunc(u.runs, func(r *run) bool {
		return r.phase == running && r.runner.Draining && now.Add(u.left(now)).After(r.runner.leaves)
	})
}

// left estimates how much longer the unit takes, a gang as long as its slowest.
func (u *unit) left(now steady.Time) time.Duration {
	var most time.Duration
	for _, r := range u.runs {
		if r.percent < 100 {
			most = max(most, r.remaining()-now.Sub(r.advanced))
		}
	}
	return most
}

// remaining estimates how much longer a run takes.
func (r *run) remaining() time.Duration {
	if r.pace <= 0 {
		return r.unit.spec().Estimate
	}
	return time.Duration(float64(100-r.percent) / r.pace * float64(time.Second))
}

func (c *Core) stalled(u *unit, now steady.Time) bool {
	limit := stalled
	if u.job.spec.Priority == 0 {
		limit = stalledUrgent
	}
	for _, r := range u.runs {
		moved := r.phase != running || r.percent >= 100 || now.Sub(r.advanced) < limit
		if moved || now.Sub(r.runner.contact) > c.fresh {
			return false
		}
	}
	return !u.spec().LongRunning
}

func (u *unit) blame(now steady.Time) {
	if u.avoid == nil {
		u.avoid = make(map[string]int)
	}
	for _, r := range u.runs {
		u.avoid[r.runner.ID]++
		if u.tasks == 1 {
			r.runner.suspect(now)
		}
	}
}

// hopelessFactor is how far beyond its target time a job earns its caller
// nothing more by being early: it then yields to those that can still be in time.
const hopelessFactor = 3

// queue returns the units whose turn has come, in the order they are placed:
// by priority; those that can still be in time first; small ones first, because
// that serves the most callers in time; and then by age.
func (c *Core) queue(now steady.Time, wall time.Time) []*unit {
	var out []*unit
	for _, j := range c.active {
		for _, u := range j.units {
			if u.waiting() && u.eligible(now, wall, c.opts.Early) {
				out = append(out, u)
			}
		}
	}
	if c.opts.Plain {
		slices.SortStableFunc(out, func(a, b *unit) int { return a.job.spec.Accepted.Compare(b.job.spec.Accepted) })
		return out
	}
	slices.SortStableFunc(out, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(a.job.spec.Priority, b.job.spec.Priority),
			compareBool(c.hopeless(a, now), c.hopeless(b, now)),
			cmp.Compare(a.job.size, b.job.size),
			a.job.spec.Accepted.Compare(b.job.spec.Accepted),
			cmp.Compare(a.occurrence, b.occurrence),
		)
	})
	return out
}

// schedule places a unit, or stops others to make room for it. It returns false
// when neither is possible now, so that units alike needn't be tried.
func (c *Core) schedule(u *unit, now steady.Time) bool {
	if near := c.place(u, now, false); near != nil {
		if !c.awaitsFaster(u, near, now) {
			c.assign(u, near, now)
		}
		return true
	}
	if c.preempts(u, now) && c.preempt(u, now) {
		return true
	}
	if now.Sub(u.since) < c.remotePatience(u) {
		return false
	}
	far := c.place(u, now, true)
	if far == nil {
		return false
	}
	c.assign(u, far, now)
	return true
}

// awaitsFaster reports whether room for the unit is on its way on faster
// runners, because it would be late on those that are free.
func (c *Core) awaitsFaster(u *unit, free []*runner, now steady.Time) bool {
	return c.preempts(u, now) && c.late(u, free, now) && c.preemptFaster(u, now)
}

// preempts reports whether others may be stopped for the unit.
func (c *Core) preempts(u *unit, now steady.Time) bool {
	if c.opts.Plain {
		return false
	}
	return u.job.spec.Priority == 0 || u.spec().LongRunning && now.Sub(u.since) >= lastingPatience
}

// remotePatience is how long a unit waits for a place near its data. While most
// of the service is free, the place near it isn't taken by work that ends soon.
func (c *Core) remotePatience(u *unit) time.Duration {
	if u.job.spec.Priority == 0 {
		return 0
	}
	if c.mostlyFree(u.job.spec.Service) {
		return remotePatienceMin
	}
	return min(max(u.spec().Estimate, remotePatienceMin), remotePatienceMax)
}

func (c *Core) mostlyFree(service string) bool {
	var used, all batch.Resources
	for _, r := range c.runners {
		if r.Service == service && r.listed {
			used, all = used.Plus(r.used), all.Plus(r.Capacity)
		}
	}
	return 2*used.Accelerators < all.Accelerators && 2*used.MilliCPU < all.MilliCPU
}

// assign plans a run of each task of the unit.
func (c *Core) assign(u *unit, chosen []*runner, now steady.Time) {
	j := u.job
	u.attempt++
	u.ending = 0
	if j.state == batch.Queued {
		j.state = batch.Running
	}
	c.change(j)
	var preempted time.Duration
	if !u.preempting.IsZero() {
		preempted = now.Sub(u.preempting)
		u.preempting = 0
	}
	for i, to := range chosen {
		to.nominated = slices.DeleteFunc(to.nominated, func(n nomination) bool { return n.unit == u })
		r := &run{unit: u, index: u.first + i, runner: to, attempt: u.attempt, phase: planned, needs: j.version, began: now, changed: now}
		r.resumed, r.remote = u.checkpoint != "", u.away(chosen, to)
		c.attach(r)
		c.opts.Observe(Decision{
			What: "place", Job: j.spec.ID, Task: r.task(), Attempt: r.attempt, Runner: to.ID, Waited: now.Sub(u.since),
			Preempted: preempted,
			Factor:    c.speeds.timeFactor(to.ID), Work: c.speeds.duration(u),
		})
	}
}

// away reports whether a task on r is slowed down by its distance from its data
// or from its gang.
func (u *unit) away(chosen []*runner, r *runner) bool {
	step := u.spec()
	if step.DataRack != "" && step.DataRack != r.Rack {
		return true
	}
	return step.SameRack && slices.ContainsFunc(chosen, func(o *runner) bool { return o.Rack != r.Rack })
}

// hopeless reports whether the unit's work is far too late to matter.
func (c *Core) hopeless(u *unit, now steady.Time) bool {
	if u.spec().LongRunning {
		return false // it earns as long as it runs
	}
	late := c.due(u).Sub(u.since)
	return now.Sub(u.since) > hopelessFactor*late-c.speeds.duration(u)
}
