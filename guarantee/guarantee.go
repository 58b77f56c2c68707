// Package guarantee decides which accelerators back each organisation's
// guaranteed shapes, which gangs count against them, and whom to reclaim from.
// Its decisions are pure.
package guarantee

import (
	"github.com/cyclamentray/cyclamentray/job"
)

// Guarantee promises an organisation Count copies of a shape.
type Guarantee struct {
	Organisation string
	Shape        job.Shape
	Count        int
}

// Claim is a gang that may count against its organisation's guarantee.
type Claim struct {
	Organisation string
	Shape        job.Shape
	Urgent       bool
}

// minFillDivisor is the inverse of the share of a guaranteed shape that a gang
// must fill to count against it, unless it is urgent.
const minFillDivisor = 2

// Fits reports whether a claim may use one copy of a guaranteed shape: it fits
// inside, and is urgent or fills at least half. Smaller gangs would use up
// shapes that were promised for large ones.
func (c Claim) Fits(s job.Shape) bool {
	if c.Shape.Accelerators() == 0 || !Inside(c.Shape, s) {
		return false
	}
	return c.Urgent || minFillDivisor*c.Shape.Accelerators() >= s.Accelerators()
}

// Inside reports whether a gang of the inner shape runs on the accelerators of
// any placement of the outer shape.
func Inside(inner, outer job.Shape) bool {
	inner, outer = normalise(inner), normalise(outer)
	if inner.AcceleratorsPerTask > outer.AcceleratorsPerTask {
		return false
	}
	if inner.AcceleratorsPerTask == 0 {
		return true
	}
	perTask := outer.AcceleratorsPerTask / inner.AcceleratorsPerTask
	if inner.Tasks <= perTask {
		return true
	}
	return inner.Tasks <= perTask*outer.Tasks && adjacencyLevel(outer.Adjacency) <= adjacencyLevel(inner.Adjacency)
}

// normalise writes a shape on one worker as one task.
func normalise(s job.Shape) job.Shape {
	if s.Adjacency == job.SameWorker {
		return job.Shape{Tasks: 1, AcceleratorsPerTask: s.Accelerators(), Adjacency: job.SameWorker}
	}
	return s
}

func adjacencyLevel(a job.Adjacency) int {
	switch a {
	case job.SameWorker:
		return 0
	case job.SameRack:
		return 1
	default:
		return 2
	}
}
