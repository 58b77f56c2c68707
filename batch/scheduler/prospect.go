package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// waitStep is the shortest wait that is worth considering: a few scheduling passes.
	waitStep = 200 * time.Millisecond

	// nominatedTime stands for the unknown time until the work of a unit for which
	// capacity is nominated has ended.
	nominatedTime = time.Minute
)

// prospect is a runner on which tasks of a unit may start later.
type prospect struct {
	slot
	start steady.Time // when running work is expected to have made room
	ends  steady.Time // when a task that starts then ends
}

// prospects returns the sets of runners on which the tasks of the unit can be expected
// to start together: one for each rack that is large enough when the tasks must be in
// one rack, and one otherwise.
func (c *Core) prospects(u *unit, now steady.Time) [][]prospect {
	work := c.speeds.expectedDuration(u)
	racks := make(map[string][]prospect)
	for _, s := range c.slots(u, roomInTime, now) {
		p := prospect{slot: s, start: c.roomExpectedAt(u, s.runner, now)}
		p.ends = p.start.Add(time.Duration(s.cost * float64(work)))
		rack := ""
		if u.spec().SameRack {
			rack = s.runner.Rack
		}
		racks[rack] = append(racks[rack], p)
	}
	var out [][]prospect
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		all := racks[rack]
		slices.SortFunc(all, func(a, b prospect) int {
			return cmp.Or(cmp.Compare(a.ends, b.ends), cmp.Compare(a.runner.ID, b.runner.ID))
		})
		if n, enough := countFor(all, u.tasks); enough {
			out = append(out, all[:n])
		}
	}
	return out
}

// countFor returns how many of the first prospects the tasks need. enough is false when
// all of them don't have room.
func countFor(prospects []prospect, tasks int) (n int, enough bool) {
	for i, p := range prospects {
		if tasks -= p.tasks; tasks <= 0 {
			return i + 1, true
		}
	}
	return 0, false
}

// startOf returns when a gang can start on all of the prospects, and the slot.cost of
// the slowest of them.
func startOf(prospects []prospect) (start steady.Time, cost float64) {
	for _, p := range prospects {
		start, cost = max(start, p.start), math.Max(cost, p.cost)
	}
	return start, cost
}

// roomExpectedAt returns when the work on r is expected to have made room for one task
// of the unit, at the earliest after waitStep.
func (c *Core) roomExpectedAt(u *unit, r *runner, now steady.Time) steady.Time {
	soonest := now.Add(waitStep)
	free := r.freeFor(u, now)
	if u.tasksFitting(r, free) > 0 {
		return soonest
	}
	for _, e := range c.expectedEnds(r, now) {
		free = free.Plus(e.held)
		if u.tasksFitting(r, free) > 0 {
			return max(soonest, e.at)
		}
	}
	return soonest.Add(nominatedTime)
}

// roomInTime returns the resources of r that become free by themselves.
func (r *runner) roomInTime() batch.Resources {
	room := r.Capacity
	for _, run := range r.runs {
		if run.phase != withdrawn && run.lasts() {
			room = room.Minus(run.unit.spec().ReservedResources())
		}
	}
	return room
}

// expectedEnd is the expected end of a run, with the resources that it holds until then.
type expectedEnd struct {
	at   steady.Time
	held batch.Resources
}

// expectedEnds returns the expected ends of the runs on r that end by themselves, the first one first.
func (c *Core) expectedEnds(r *runner, now steady.Time) []expectedEnd {
	var out []expectedEnd
	for _, run := range r.runs {
		if run.phase == withdrawn || run.lasts() {
			continue
		}
		out = append(out, expectedEnd{now.Add(c.expectedTimeLeft(run, now)), run.unit.spec().ReservedResources()})
	}
	slices.SortFunc(out, func(a, b expectedEnd) int { return cmp.Compare(a.at, b.at) })
	return out
}

// expectedTimeLeft estimates how much longer a run takes, by its pace where that is
// known and by the learned speed of its runner otherwise.
func (c *Core) expectedTimeLeft(r *run, now steady.Time) time.Duration {
	if r.phase == stopping {
		return stopLatency
	}
	if r.pace > 0 {
		return r.timeLeft() - now.Sub(r.progressedAt)
	}
	whole := time.Duration(c.speeds.timeFactor(r.runner.ID) * float64(c.speeds.expectedDuration(r.unit)))
	if r.startedAt.IsZero() {
		return whole
	}
	return whole - now.Sub(r.startedAt)
}
