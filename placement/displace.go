package placement

import (
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/guarantee"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// Conditions under which a blocked job displaces running gangs.
const (
	restartDelay             = 3 * time.Minute  // delay of a gang that is checkpointed and restarted
	minRunBeforeDisplacement = 30 * time.Minute // time since its start before which a gang is not displaced
	minDisplacementGain      = 1.5              // the wait saved must be at least this many times the delay caused
	minWaitSaved             = 10 * time.Minute // saving a shorter wait is not worth a displacement
)

// displace asks gangs that can checkpoint to stop for a blocked job and returns the
// job's placement. It does so only if that saves the job a wait of at least
// minWaitSaved, and of at least minDisplacementGain times the delay of those gangs.
// The delay does not matter if the job is overdue.
func (b *backfill) displace(w *WaitingJob, r reservation, avoid topology.AvoidFunc) (placement []int, ok bool) {
	d := b.d
	saved := r.from.Sub(d.v.Now) - expectedStopTime
	if saved < minWaitSaved || d.anyStopping() {
		return nil, false
	}
	run := d.predictor.backfillRun(w)
	available := b.levels[len(b.levels)-1].free
	choice, ok := d.chooseVictims(available, w, avoid, func(v int) bool { return d.displaceable(v, run, d.overdue(w)) })
	if !ok || len(choice.Victims) == 0 {
		return nil, false
	}
	delay := b.totalDelay(w, available, choice, run)
	if !d.overdue(w) && float64(saved) < minDisplacementGain*float64(delay) {
		return nil, false
	}
	d.reclaimBorrowers(choice.Victims, w.ID, reasonDisplaced)
	return choice.Placement, true
}

// displaceable reports whether a borrower may be stopped for a job of the given run
// time: it can checkpoint, is not urgent, has run for minRunBeforeDisplacement and,
// unless the job is overdue, is expected to run for longer than the job.
func (d *decision) displaceable(borrower int, run time.Duration, overdue bool) bool {
	g := &d.v.Running[d.borrowers[borrower]]
	if !g.Checkpoint || g.Urgent || d.v.Now.Sub(g.Started) < minRunBeforeDisplacement {
		return false
	}
	return overdue || d.expectedEnd(g).Sub(d.v.Now) > run
}

// totalDelay returns the sum of the delays of the gangs that a choice displaces. A
// gang that fits elsewhere is delayed by a restart, any other also by the job's run.
func (b *backfill) totalDelay(w *WaitingJob, available *topology.Capacity, c guarantee.Choice, run time.Duration) time.Duration {
	d := b.d
	k := available.Clone()
	for _, v := range c.Victims {
		i := d.borrowers[v]
		k.ReleaseAll(d.placements[i], d.v.Running[i].Shape.AcceleratorsPerTask)
	}
	k.AllocateAll(c.Placement, w.Shape.AcceleratorsPerTask)
	var sum time.Duration
	for _, v := range c.Victims {
		s := d.v.Running[d.borrowers[v]].Shape
		sum += restartDelay
		if elsewhere := k.Fit(s, nil); elsewhere != nil {
			k.AllocateAll(elsewhere, s.AcceleratorsPerTask)
			continue
		}
		sum += run
	}
	return sum
}

// anyStopping reports whether any gang is stopping or is asked to stop by this
// plan. Displacements happen one at a time, so that each shows its effect before
// the next.
func (d *decision) anyStopping() bool {
	return len(d.plan.Reclaims) > 0 || slices.ContainsFunc(d.v.Running, func(g Gang) bool { return g.Stopping })
}
