package scheduler

import (
	"fmt"
	"maps"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// reservation keeps runners free of work with no stronger claim, until a waiting gang fits on
// them. It answers gangs of whole runners among many small tasks: the small ones take each
// runner that becomes free, and the gang never starts. A long-running unit whose restart is
// overdue is kept from running in the same way. It lapses when its unit can't start on them.
type reservation struct {
	unit    *unit
	runners []*runner
}

// reservationKey identifies a reservation. A service has one for a gang and one for an overdue
// restart at a time, which bounds the capacity that is idle, and lets neither wait for the other's.
type reservationKey struct {
	service string
	claim   claim
}

func (u *unit) reservationKey(now steady.Time) reservationKey {
	return reservationKey{u.job.spec.Service, u.claim(now)}
}

// hasReservation reports whether runners are reserved for the unit.
func (c *Core) hasReservation(u *unit) bool {
	for _, v := range c.reservations {
		if v.unit == u {
			return true
		}
	}
	return false
}

// reservationsAgainst returns the reservations that take capacity away from u.
func (c *Core) reservationsAgainst(u *unit, now steady.Time) []*reservation {
	var out []*reservation
	for key, v := range c.reservations {
		if key.service == u.job.spec.Service && v.unit.holdsOff(u, now) {
			out = append(out, v)
		}
	}
	return out
}

// reserve reserves the runners on which a gang that couldn't be placed can start first.
func (c *Core) reserve(u *unit, now steady.Time) {
	if !c.mayReserve(u, now) {
		return
	}
	chosen := c.soonestProspects(u, now)
	if chosen == nil {
		return
	}
	v := &reservation{unit: u}
	for _, p := range chosen {
		v.runners = append(v.runners, p.runner)
	}
	c.reservations[u.reservationKey(now)] = v
	c.opts.Observe(Decision{
		What: "reserve", Job: u.job.spec.ID, Task: batch.TaskID{Job: u.job.spec.ID, Occurrence: u.occurrence, Step: u.step, Index: u.first},
		Waited: now.Sub(u.eligibleSince), Work: c.speeds.expectedDuration(u), Reason: fmt.Sprintf("%d runners", len(v.runners)),
	})
}

// mayReserve reports whether the unit's restart is overdue, or it is a gang that has used up
// reservationShare of the time that it can wait, in a service that is busy and has no such
// reservation.
func (c *Core) mayReserve(u *unit, now steady.Time) bool {
	service := u.job.spec.Service
	if !c.uses(mechanism.Reservation) || c.reservations[u.reservationKey(now)] != nil {
		return false
	}
	if u.restartOverdue(now) {
		return !c.mostlyFree(service)
	}
	if u.tasks == 1 {
		return false
	}
	slack := c.deadline(u).Sub(u.eligibleSince) - c.speeds.expectedDuration(u)
	return float64(now.Sub(u.eligibleSince)) >= reservationShare*float64(slack) && !c.mostlyFree(service)
}

// soonestProspects returns the runners on which the unit can start first, or nil when
// it fits on none.
func (c *Core) soonestProspects(u *unit, now steady.Time) []prospect {
	var best []prospect
	var soonest steady.Time
	for _, chosen := range c.prospects(u, now) {
		if start, _ := startOf(chosen); best == nil || start < soonest {
			best, soonest = chosen, start
		}
	}
	return best
}

// dropReservations ends the reservations of units that no longer wait, those on whose runners
// the unit can't start any more, and those in services of which most is free.
func (c *Core) dropReservations(now steady.Time) {
	lapsed := make(map[reservationKey]bool)
	for key, v := range c.reservations {
		lapsed[key] = !v.unit.waiting() || v.unit.job.state.Final() || c.mostlyFree(key.service) || !c.canStartOn(v, now)
	}
	maps.DeleteFunc(c.reservations, func(key reservationKey, _ *reservation) bool { return lapsed[key] })
}

// canStartOn reports whether the unit of a reservation can start on its runners once the work
// that ends by itself has made room there.
func (c *Core) canStartOn(v *reservation, now steady.Time) bool {
	against := c.reservationsAgainst(v.unit, now)
	room := 0
	for _, r := range v.runners {
		if c.bar(v.unit, r, roomInTime, against, now) != "" || !v.unit.permitted(r, now, ticketMargin) {
			return false
		}
		room += v.unit.tasksFitting(r, r.roomInTime())
	}
	return room >= v.unit.tasks
}
