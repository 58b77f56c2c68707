package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// nomination reserves capacity of a runner for a unit that preempted others.
type nomination struct {
	unit    *unit
	request batch.Resources
	until   steady.Time
}

// slot is a runner that has room for tasks of a unit.
type slot struct {
	runner  *runner
	cost    float64 // expected time relative to an average runner near the data
	rank    float64 // cost without the differences that don't matter to the job
	tasks   int     // number of tasks that fit
	remote  bool    // away from the unit's data
	explore bool    // the runner's speed is unknown and worth learning, and nothing runs there that will show it
}

// place returns a runner for each task of the unit, or nil when it doesn't fit.
// With remote, runners away from the data and more than one rack are allowed
// too.
func (c *Core) place(u *unit, now steady.Time, remote bool) []*runner {
	if u.tasks == 1 {
		return c.placeOne(u, now, remote)
	}
	slots := c.freeSlots(u, now, remote)
	if u.spec().SameRack {
		if near := fillOneRack(slots, u.tasks); near != nil || !remote {
			return near
		}
	}
	return fillSlots(bestSlots(slots, u.tasks), u.tasks)
}

// freeSlots returns the slots that have room without preemption.
func (c *Core) freeSlots(u *unit, now steady.Time, remote bool) []slot {
	slots := c.slots(u, roomNow, now)
	if !remote {
		slots = slices.DeleteFunc(slots, func(s slot) bool { return s.remote })
	}
	return slots
}

// slotKey identifies a list of slots that units of one shape share within one
// scheduling pass.
type slotKey struct {
	shape    shape
	remote   bool
	claim    claim // decides which reservations hold the unit off
	claimant *unit // set when the unit has a claim to runners that others of the shape don't get
}

// placeOne places a single task. Steps have many equal tasks, so the slots for
// all waiting tasks of a shape are collected once in a scheduling pass, and each
// is checked again when it is used.
func (c *Core) placeOne(u *unit, now steady.Time, remote bool) []*runner {
	key := slotKey{shape: u.shape(), remote: remote, claim: u.claim(now)}
	if c.hasClaim(u, now) {
		key.claimant = u
	}
	slots, found := c.slotCache[key]
	if !found {
		slots = bestSlots(c.freeSlots(u, now, remote), max(1, c.waitingByShape[key.shape]))
	}
	defer func() { c.slotCache[key] = slots }()
	for len(slots) > 0 {
		first := slots[0]
		if u.tasksFitting(first.runner, first.runner.freeFor(u, now)) > 0 && !first.runner.conflictsWith(u, roomNow, now) {
			if first.explore { // one task shows its speed; the next one goes to another runner
				first.explore = false
				slots = append(slots[1:], first)
			}
			return []*runner{first.runner}
		}
		slots = slots[1:]
	}
	return nil
}

// bestSlots returns the n best slots in order. Each has room for at least one
// task, so n tasks need no more of them.
func bestSlots(slots []slot, n int) []slot {
	if len(slots) <= 2*n {
		slices.SortFunc(slots, compareSlots)
		return slots
	}
	best := slices.Clone(slots[:n])
	slices.SortFunc(best, compareSlots)
	for _, s := range slots[n:] {
		if compareSlots(s, best[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, compareSlots)
		copy(best[at+1:], best[at:n-1])
		best[at] = s
	}
	return best
}

// slots returns the open slots on which the unit is permitted to run.
func (c *Core) slots(u *unit, offered room, now steady.Time) []slot {
	open := c.openSlots(u, offered, now)
	if !u.needsAdvice() {
		return open
	}
	return slices.DeleteFunc(open, func(s slot) bool { return !u.permitted(s.runner, now, ticketMargin) })
}

// openSlots returns the runners that offer room for a task of the unit, with
// their cost and rank. It ignores the adviser's answers.
func (c *Core) openSlots(u *unit, offered room, now steady.Time) []slot {
	var out []slot
	step, reserved := u.spec(), c.reservationsAgainst(u, now)
	for _, r := range c.allRunners {
		if r.Service != u.job.spec.Service || c.bar(u, r, offered, reserved, now) != "" {
			continue
		}
		s := slot{runner: r, tasks: u.tasksFitting(r, r.roomFor(u, offered, now))}
		if s.tasks == 0 {
			continue
		}
		s.remote = step.DataRack != "" && step.DataRack != r.Rack
		s.cost = c.cost(u, r, s.remote)
		s.rank = math.Max(s.cost, 1)
		if c.uses(mechanism.SlackTolerance) && s.cost <= slowdownTolerance*u.job.spec.Stretch {
			s.rank = 1
		}
		s.explore = c.uses(mechanism.Exploration) && u.job.spec.Priority > 0 && len(r.runs) == 0 && c.speeds.unknown(r.ID)
		out = append(out, s)
	}
	return out
}

// bar returns why nothing of the unit may start on a runner of its service in the room that it
// offers, however much that is; empty: it may, by all but the adviser's answers. reserved are the
// reservations against the unit.
func (c *Core) bar(u *unit, r *runner, offered room, reserved []*reservation, now steady.Time) string {
	step := u.spec()
	switch {
	case !r.hasLabel(step.Label):
		return "without its label"
	case !r.acceptsStarts(c, now):
		return "not taking starts"
	case c.suspended(r, now):
		return "suspended"
	case len(r.orphans) > 0:
		return "with unrecorded runs"
	case r.conflictsWith(u, offered, now):
		return "with work that conflicts"
	case r.reportsNearlyFull():
		return "with too many unread ends"
	case slices.ContainsFunc(reserved, func(v *reservation) bool { return slices.Contains(v.runners, r) }):
		return "reserved"
	default:
		return ""
	}
}

// suspended reports whether a runner gets no work because of failures.
func (c *Core) suspended(r *runner, now steady.Time) bool {
	return c.uses(mechanism.FailureBackoff) && now.Before(r.suspendedUntil)
}

// cost returns slot.cost for the unit on r.
func (c *Core) cost(u *unit, r *runner, remote bool) float64 {
	cost := 1.0
	if c.uses(mechanism.LearnedSpeeds) {
		cost = c.speeds.cautiousFactor(r.ID)
	}
	if remote {
		cost *= c.opts.RemoteFactor
	}
	for range u.runnerFailures[r.ID] {
		cost *= failedRunnerFactor
	}
	return cost
}

// compareSlots orders runners of better rank first, then those whose speed is
// worth learning, then fuller ones, so that whole runners stay free for large
// tasks, and then slower ones.
func compareSlots(a, b slot) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		compareBool(b.explore, a.explore),
		cmp.Compare(a.runner.free().Accelerators, b.runner.free().Accelerators),
		cmp.Compare(b.cost, a.cost),
		cmp.Compare(a.runner.ID, b.runner.ID),
	)
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

// tasksFitting returns how many tasks of the unit fit into the free resources
// of r.
func (u *unit) tasksFitting(r *runner, free batch.Resources) int {
	step := u.spec()
	limit := u.tasks
	if step.PerRunner > 0 {
		limit = min(limit, step.PerRunner-r.tasksOf(u))
	}
	n := 0
	perTask := step.ReservedResources()
	for n < limit && perTask.Fits(free) {
		free = free.Minus(perTask)
		n++
	}
	return n
}

// tasksOf counts the tasks of the unit's step and occurrence on r.
func (r *runner) tasksOf(u *unit) int {
	n := 0
	for key := range r.runs {
		if key.task.Job == u.job.spec.ID && key.task.Step == u.step && key.task.Occurrence == u.occurrence {
			n++
		}
	}
	return n
}

// fillSlots assigns the tasks to the slots in order, and returns a runner for
// each task, or nil when the slots don't suffice.
func fillSlots(slots []slot, tasks int) []*runner {
	var out []*runner
	take := func(s slot, n int) {
		for range min(n, tasks-len(out)) {
			out = append(out, s.runner)
		}
	}
	for _, s := range slots {
		if s.explore { // one task shows its speed; the others follow below
			take(s, 1)
			continue
		}
		take(s, s.tasks)
	}
	for _, s := range slots {
		if s.explore {
			take(s, s.tasks-1)
		}
	}
	if len(out) < tasks {
		return nil
	}
	return out
}

// fillOneRack places all tasks in the best rack: by the rank of its slowest
// member, then by how little room it has.
func fillOneRack(slots []slot, tasks int) []*runner {
	racks := make(map[string][]slot)
	for _, s := range slots {
		racks[s.runner.Rack] = append(racks[s.runner.Rack], s)
	}
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.Sort(names)
	var best []*runner
	bestRank, bestRoom := math.Inf(1), 0
	for _, name := range names {
		slices.SortFunc(racks[name], compareSlots)
		chosen := fillSlots(racks[name], tasks)
		if chosen == nil {
			continue
		}
		rank, room := worstRank(racks[name], chosen), rackRoom(racks[name])
		if rank < bestRank || rank == bestRank && room < bestRoom {
			best, bestRank, bestRoom = chosen, rank, room
		}
	}
	return best
}

func worstRank(slots []slot, chosen []*runner) float64 {
	worst := 0.0
	for _, s := range slots {
		if slices.Contains(chosen, s.runner) {
			worst = math.Max(worst, s.rank)
		}
	}
	return worst
}

func rackRoom(slots []slot) int {
	room := 0
	for _, s := range slots {
		room += s.tasks
	}
	return room
}

// freeFor returns the resources of r that are free for the unit, without those
// nominated for others.
func (r *runner) freeFor(u *unit, now steady.Time) batch.Resources {
	free := r.free()
	for _, n := range r.nominations {
		if n.unit != u && n.unit.waiting() && now.Before(n.until) {
			free = free.Minus(n.request)
		}
	}
	return free
}
