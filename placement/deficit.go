package placement

import (
	"fmt"
)

// reportDeficits adds to the plan the guarantees that the present hardware cannot
// back.
func (d *decision) reportDeficits() {
	missing := d.backing.UnbackedSlots()
	if len(missing) == 0 {
		return
	}
	reason := d.deficitReason()
	index := map[Deficit]int{}
	for _, slot := range missing {
		s := d.assignment.Slots()[slot]
		key := Deficit{Organisation: s.Organisation, Shape: s.Shape}
		i, seen := index[key]
		if !seen {
			i = len(d.plan.Deficits)
			index[key] = i
			key.Reason = reason
			d.plan.Deficits = append(d.plan.Deficits, key)
		}
		d.plan.Deficits[i].Missing++
	}
}

// deficitReason returns the cause of the deficits: unavailable workers or too many
// guarantees.
func (d *decision) deficitReason() string {
	workers, accelerators := 0, 0
	for _, w := range d.v.Workers {
		if w.UnavailableReason != "" {
			workers++
			accelerators += w.Accelerators
		}
	}
	allWorkers := d.idleCapacity().Clone()
	slots := d.assignment.UnusedSlots(noSlot)
	for i := range d.v.Running {
		if g := &d.v.Running[i]; g.Guaranteed && !g.Stopping {
			allWorkers.AllocateAll(d.positions(g.Workers), g.Shape.AcceleratorsPerTask)
		}
	}
	if workers > 0 && len(d.assignment.PlanBacking(allWorkers, slots).UnbackedSlots()) == 0 {
		return fmt.Sprintf("%d workers with %d accelerators are unavailable; bring them back or lower the guarantees",
			workers, accelerators)
	}
	return fmt.Sprintf("the guarantees ask for more adjacent accelerators than the %d workers here have; add workers or lower the guarantees",
		len(d.v.Workers))
}
