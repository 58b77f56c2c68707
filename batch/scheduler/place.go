package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// tolerance is the part of a job's stretch that a slow runner may use up;
	// the rest is for waiting.
	tolerance = 0.55

	// avoidFactor makes a runner on which the unit failed look this much slower:
	// more than the users' runners differ from the average.
	avoidFactor = 2.0
)

// nomination keeps capacity for a unit that had others stopped.
type nomination struct {
	unit    *unit
	request batch.Resources
	until   steady.Time
}

// slot is a runner as a place for tasks of one unit.
type slot struct {
	runner  *runner
	cost    float64 // expected time relative to an average runner near the data
	rank    float64 // cost, with differences that don't matter to the job left out
	tasks   int     // how many tasks fit
	remote  bool
	explore bool // worth trying, to learn how fast it is
}

// place returns a runner for each task of the unit, or nil when it doesn't fit.
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
	return fill(bestSlots(slots, u.tasks), u.tasks)
}

func (c *Core) freeSlots(u *unit, now steady.Time, remote bool) []slot {
	slots := c.slots(u, now, func(r *runner) batch.Resources { return r.freeFor(u, now) })
	if !remote {
		slots = slices.DeleteFunc(slots, func(s slot) bool { return s.remote })
	}
	return slots
}

// placeKey names places that units of one shape share within one decision.
type placeKey struct {
	shape  shape
	remote bool
}

// placeOne places a single task. Steps have many equal ones, so the places for
// all that wait are looked for once in a decision, and looked at again when used.
func (c *Core) placeOne(u *unit, now steady.Time, remote bool) []*runner {
	key := placeKey{u.shape(), remote}
	slots, found := c.places[key]
	if !found {
		slots = bestSlots(c.freeSlots(u, now, remote), max(1, c.waiting[key.shape]))
	}
	defer func() { c.places[key] = slots }()
	for len(slots) > 0 {
		r := slots[0].runner
		if u.fitting(r, r.freeFor(u, now)) > 0 {
			return []*runner{r}
		}
		slots = slots[1:]
	}
	return nil
}

// bestSlots returns the n best slots in order. Each takes a task at least, so n
// tasks need no more of them.
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

// slots returns the open slots on which the unit may run.
func (c *Core) slots(u *unit, now steady.Time, free func(*runner) batch.Resources) []slot {
	open := c.openSlots(u, now, free)
	if !u.advised() {
		return open
	}
	return slices.DeleteFunc(open, func(s slot) bool { return !u.permitted(s.runner, now, permitMargin) })
}

// openSlots filters the runners that can take a task of the unit, whether it
// was asked if they may, and scores them.
func (c *Core) openSlots(u *unit, now steady.Time, free func(*runner) batch.Resources) []slot {
	var out []slot
	step := u.spec()
	for _, r := range c.runners {
		if r.Service != u.job.spec.Service || !r.has(step.Label) || !r.mayStart(c, now) {
			continue
		}
		if now.Before(r.suspended) || len(r.foreign) > 0 || r.disturbs(step) {
			continue
		}
		s := slot{runner: r, tasks: u.fitting(r, free(r))}
		if s.tasks == 0 {
			continue
		}
		s.remote = step.DataRack != "" && step.DataRack != r.Rack
		s.cost = c.cost(u, r, s.remote)
		s.rank = math.Max(s.cost, 1)
		if s.cost <= tolerance*u.job.spec.Stretch {
			s.rank = 1
		}
		s.explore = u.job.spec.Priority > 0 && c.speeds.unknown(r.ID)
		out = append(out, s)
	}
	return out
}

func (c *Core) cost(u *unit, r *runner, remote bool) float64 {
	cost := 1.0
	if !c.opts.Plain {
		cost = c.speeds.cautiousFactor(r.ID)
	}
	if remote {
		cost *= c.opts.RemoteFactor
	}
	for range u.avoid[r.ID] {
		cost *= avoidFactor
	}
	return cost
}

// compareSlots puts the faster first, then the fuller, so that whole runners
// stay free for large tasks.
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

// fitting returns how many tasks of the unit fit into free on r.
func (u *unit) fitting(r *runner, free batch.Resources) int {
	step := u.spec()
	limit := u.tasks
	if step.PerRunner > 0 {
		limit = min(limit, step.PerRunner-r.tasksOf(u))
	}
	n := 0
	holds := step.ReservedResources()
	for n < limit && holds.Fits(free) {
		free = free.Minus(holds)
		n++
	}
	return n
}

// disturbs reports whether a task of the step on r would fill beside a task that
// serves users. What fillers take shows in the response times within seconds.
func (r *runner) disturbs(step *batch.Step) bool {
	if !step.UsesIdleCPU && !step.ServesUsers() {
		return false
	}
	for _, other := range r.runs {
		if with := other.unit.spec(); step.UsesIdleCPU && with.ServesUsers() || step.ServesUsers() && with.UsesIdleCPU {
			return true
		}
	}
	return false
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

// fill takes the first slots until every task has a place.
func fill(slots []slot, tasks int) []*runner {
	var out []*runner
	for _, s := range slots {
		for range min(s.tasks, tasks-len(out)) {
			out = append(out, s.runner)
		}
		if len(out) == tasks {
			return out
		}
	}
	return nil
}

// fillOneRack fills the rack that serves the unit best: by its slowest member,
// then by how little is left free in the rack.
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
		chosen := fill(racks[name], tasks)
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

// freeFor returns what of r is free for the unit, without what is kept for others.
func (r *runner) freeFor(u *unit, now steady.Time) batch.Resources {
	free := r.free()
	for _, n := range r.nominated {
		if n.unit != u && n.unit.waiting() && now.Before(n.until) {
			free = free.Minus(n.request)
		}
	}
	return free
}
