package scheduler

import (
	"cmp"

	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// claim is how strong a unit's claim on room is. Claims decide who is placed first, whom a
// reservation holds off, and who is stopped for whom.
type claim int

// The claims, the strongest first.
const (
	overdueRestart claim = iota // a long-running unit is away, and must run again soon
	byPriority                  // all others; urgent ones have the priority 0
)

func (u *unit) claim(now steady.Time) claim {
	if u.restartOverdue(now) {
		return overdueRestart
	}
	return byPriority
}

// compareClaims orders units by their claims on room, the strongest first.
func compareClaims(a, b *unit, now steady.Time) int {
	return cmp.Or(cmp.Compare(a.claim(now), b.claim(now)), cmp.Compare(a.job.spec.Priority, b.job.spec.Priority))
}

// holdsOff reports whether room that is kept for u is kept from o. A unit whose restart is overdue
// takes any room that there is: what the room is kept for may wait for longer than the unit can.
func (u *unit) holdsOff(o *unit, now steady.Time) bool {
	return u != o && o.claim(now) != overdueRestart && compareClaims(u, o, now) <= 0
}

// yieldsTo reports whether u may be preempted for o. A long-running unit is
// never preempted, and may preempt every unit that isn't long-running or
// urgent. One that couldn't start again soon isn't preempted either.
func (u *unit) yieldsTo(o *unit) bool {
	if u.spec().LongRunning || u.waitsIfStopped() {
		return false
	}
	if o.spec().LongRunning {
		return u.job.spec.Priority > 0
	}
	return u.job.spec.Priority > o.job.spec.Priority
}

// restartOverdue reports whether a long-running unit that has run before has waited so
// long for its next run that it is placed before urgent work. Urgent work that leaves no
// room by itself would otherwise keep it from running for any time.
func (u *unit) restartOverdue(now steady.Time) bool {
	return u.spec().LongRunning && u.attempt > 0 && !u.waitingSince.IsZero() && now.Sub(u.waitingSince) >= longRunningPreemptDelay
}

// lasts reports whether the run holds its room until it fails or is stopped: no other unit can
// wait for its end.
func (r *run) lasts() bool { return r.unit.spec().LongRunning && r.phase != stopping }
