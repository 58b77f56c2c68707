// Package guarantee decides which accelerators back each organisation's
// guaranteed shapes, which gangs count against those shapes, and which other
// gangs to stop when a waiting gang needs their accelerators. Its results depend
// only on its arguments, and it keeps no state between decisions. Package
// placement calls it within each scheduling decision.
package guarantee

import (
	"github.com/cyclamentray/cyclamentray/job"
)

// Guarantee entitles an organisation to Count copies of a shape.
type Guarantee struct {
	Organisation string
	Shape        job.Shape
	Count        int
}

// Claim describes a gang that may count against its organisation's guarantee.
type Claim struct {
	Organisation string
	Shape        job.Shape
	Urgent       bool
}

// minFillDivisor is the inverse of the smallest share of a guaranteed shape's
// accelerators that a gang must use to count against it: 2 means half. Urgent
// gangs are exempt.
const minFillDivisor = 2

// Fits reports whether a claim may use one copy of a guaranteed shape: it must
// fit inside the shape, and be urgent or use at least half of it. Otherwise
// small gangs would use up shapes that are guaranteed for large ones.
func (c Claim) Fits(s job.Shape) bool {
	if c.Shape.Accelerators() == 0 || !Inside(c.Shape, s) {
		return false
	}
	return c.Urgent || minFillDivisor*c.Shape.Accelerators() >= s.Accelerators()
}

// Inside reports whether every placement of the outer shape has room for a gang
// of the inner shape.
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

// normalise returns a shape with adjacency SameWorker as a single task that
// needs all of its accelerators, and any other shape unchanged.
func normalise(s job.Shape) job.Shape {
	if s.Adjacency == job.SameWorker {
		return job.Shape{Tasks: 1, AcceleratorsPerTask: s.Accelerators(), Adjacency: job.SameWorker}
	}
	return s
}

// adjacencyLevel numbers the adjacencies: 0 for one worker, 1 for one rack, 2
// for one failure domain.
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
