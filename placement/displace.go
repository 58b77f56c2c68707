package placement

import (
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/guarantee"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// When a blocked job displaces running gangs.
const (
	restartTime   = 3 * time.Minute  // delay of a gang that is checkpointed and restarted
	settledTime   = 30 * time.Minute // a gang is not displaced sooner after its start
	displaceGain  = 1.5              // the wait saved must be this many times the delay caused
	shortestSaved = 10 * time.Minute // waits that are not worth a displacement
)

// displace asks gangs that can checkpoint to stop for a blocked job when that
// saves it more waiting than it costs them, and returns where the job then goes.
// An overdue job need not save more than it costs.
// A gang that finds room elsewhere loses a restart, another also the job's run.
func (b *backfill) displace(w *WaitingJob, r reservation, avoid topology.AvoidFunc) (place []int, ok bool) {
	d := b.d
	saved := r.from.Sub(d.v.Now) - stopGrace
	if saved < shortestSaved || d.anyStopping() {
		return nil, false
	}
	run := d.predicts.backfill(w)
	room := b.levels[len(b.levels)-1].free
	choice, ok := d.choose(room, w, avoid, func(v int) bool { return d.displaceable(v, run, d.overdue(w)) })
	if !ok || len(choice.Victims) == 0 {
		return nil, false
	}
	delay := b.delay(w, room, choice, run)
	if !d.overdue(w) && float64(saved) < displaceGain*float64(delay) {
		return nil, false
	}
	d.reclaim(choice.Victims, w.ID, reasonMove)
	return choice.Placement, true
}

// displaceable reports whether a borrower may make room for a job of the given
// run time: it can checkpoint, has settled, and is expected to go on for longer.
func (d *decision) displaceable(borrower int, run time.Duration, overdue bool) bool {
	g := &d.v.Running[d.borrowers[borrower]]
	if !g.Checkpoint || g.Urgent || d.v.Now.Sub(g.Started) < settledTime {
		return false
	}
	return overdue || d.expectedEnd(g).Sub(d.v.Now) > run
}

// delay returns the sum of the delays of the gangs that a choice displaces.
func (b *backfill) delay(w *WaitingJob, room *topology.Capacity, c guarantee.Choice, run time.Duration) time.Duration {
	d := b.d
	k := room.Clone()
	for _, v := range c.Victims {
		i := d.borrowers[v]
		k.ReleaseAll(d.places[i], d.v.Running[i].Shape.AcceleratorsPerTask)
	}
	k.AllocateAll(c.Placement, w.Shape.AcceleratorsPerTask)
	var sum time.Duration
	for _, v := range c.Victims {
		s := d.v.Running[d.borrowers[v]].Shape
		sum += restartTime
		if elsewhere := k.Fit(s, nil); elsewhere != nil {
			k.AllocateAll(elsewhere, s.AcceleratorsPerTask)
			continue
		}
		sum += run
	}
	return sum
}

// anyStopping reports whether any gang is being stopped. One displacement at a
// time shows its effect before the next.
func (d *decision) anyStopping() bool {
	return len(d.plan.Reclaims) > 0 || slices.ContainsFunc(d.v.Running, func(g Gang) bool { return g.Stopping })
}
