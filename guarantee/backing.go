package guarantee

import (
	"cmp"
	"slices"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// maxSearchSteps bounds the exhaustive search for a backing. The search runs only
// if no greedy order backs all slots.
const maxSearchSteps = 20_000

// Backing assigns adjacent accelerators to unused slots; no accelerator backs
// two slots.
type Backing struct {
	placements map[int][]int // worker of each task, by backed slot
	unbacked   []int         // slots that have no accelerators
}

// Placement returns the worker of each task of a slot, or nil if the slot is
// not backed.
func (b *Backing) Placement(slot int) []int { return b.placements[slot] }

// UnbackedSlots returns the slots that have no accelerators.
func (b *Backing) UnbackedSlots() []int { return b.unbacked }

// PlanBacking assigns accelerators to the given slots. The capacity k is what
// non-reclaimable work leaves free; it is not changed. If no plan is found that
// backs all slots, the result is that of the greedy order that backs the most.
func (a *Assignment) PlanBacking(k *topology.Capacity, slots []int) *Backing {
	best := a.packGreedily(k, slots, hardestFirst)
	for _, order := range []slotOrder{largestFirst, racksFirst} {
		if len(best.unbacked) == 0 {
			return best
		}
		if b := a.packGreedily(k, slots, order); len(b.unbacked) < len(best.unbacked) {
			best = b
		}
	}
	if len(best.unbacked) == 0 || a.accelerators(slots) > k.TotalFree() {
		return best
	}
	if b := a.packExhaustively(k, slots); b != nil {
		return b
	}
	return best
}

// UnusedSlots returns the slots that no claim uses, except the given one.
func (a *Assignment) UnusedSlots(except int) []int {
	var out []int
	for s := range a.slots {
		if a.Unused(s) && s != except {
			out = append(out, s)
		}
	}
	return out
}

func (a *Assignment) accelerators(slots []int) int {
	n := 0
	for _, s := range slots {
		n += a.slots[s].Shape.Accelerators()
	}
	return n
}

// slotOrder compares the shapes of two slots; the slot that sorts first is
// backed first.
type slotOrder func(a, b job.Shape) int

// hardestFirst sorts by accelerators per task, largest first, then by adjacency,
// closest first, then by number of tasks, most first.
func hardestFirst(a, b job.Shape) int {
	a, b = normalise(a), normalise(b)
	return cmp.Or(
		cmp.Compare(b.AcceleratorsPerTask, a.AcceleratorsPerTask),
		cmp.Compare(adjacencyLevel(a.Adjacency), adjacencyLevel(b.Adjacency)),
		cmp.Compare(b.Tasks, a.Tasks),
	)
}

// largestFirst sorts by the accelerators of the whole shape, most first.
func largestFirst(a, b job.Shape) int {
	return cmp.Or(cmp.Compare(b.Accelerators(), a.Accelerators()), hardestFirst(a, b))
}

// racksFirst sorts shapes within one rack before those on one worker, and both
// before those that may span the failure domain.
func racksFirst(a, b job.Shape) int {
	order := [...]int{1, 0, 2}
	return cmp.Or(
		cmp.Compare(order[adjacencyLevel(a.Adjacency)], order[adjacencyLevel(b.Adjacency)]),
		largestFirst(a, b),
	)
}

// packGreedily backs the slots one at a time in the given order.
func (a *Assignment) packGreedily(k *topology.Capacity, slots []int, order slotOrder) *Backing {
	k = k.Clone()
	b := &Backing{placements: make(map[int][]int, len(slots))}
	for _, s := range a.sorted(slots, order) {
		shape := a.slots[s].Shape
		placement := k.Fit(shape, nil)
		if placement == nil {
			b.unbacked = append(b.unbacked, s)
			continue
		}
		k.AllocateAll(placement, shape.AcceleratorsPerTask)
		b.placements[s] = placement
	}
	return b
}

func (a *Assignment) sorted(slots []int, order slotOrder) []int {
	slots = slices.Clone(slots)
	slices.SortStableFunc(slots, func(x, y int) int { return order(a.slots[x].Shape, a.slots[y].Shape) })
	return slots
}

// packExhaustively tries every way to back all slots, task by task, for at most
// maxSearchSteps steps. It returns nil if it finds none.
func (a *Assignment) packExhaustively(k *topology.Capacity, slots []int) *Backing {
	s := &searcher{k: k.Clone(), stepsLeft: maxSearchSteps}
	order := a.sorted(slots, hardestFirst)
	for _, slot := range order {
		s.shapes = append(s.shapes, normalise(a.slots[slot].Shape))
	}
	s.placements = make([][]int, len(order))
	if !s.placeShape(0) {
		return nil
	}
	b := &Backing{placements: make(map[int][]int, len(order))}
	for i, slot := range order {
		b.placements[slot] = s.placements[i]
		// A shape on one worker was normalised to a single task.
		if tasks := a.slots[slot].Shape.Tasks; tasks != len(s.placements[i]) {
			b.placements[slot] = slices.Repeat(s.placements[i], tasks)
		}
	}
	return b
}

// searcher is a depth-first search over the placements of tasks.
type searcher struct {
	k          *topology.Capacity
	shapes     []job.Shape // normalised, in the order in which they are placed
	placements [][]int     // worker of each task placed so far, by index in shapes
	stepsLeft  int
}

// placeShape places the tasks of shape i and of all later shapes. It reports
// whether that succeeded.
func (s *searcher) placeShape(i int) bool {
	if i == len(s.shapes) {
		return true
	}
	if s.shapes[i].Adjacency == job.SameFailureDomain {
		return s.placeTask(i, 0, s.k.Len())
	}
	for r := range s.k.RackCount() {
		ws := s.k.RackWorkers(r)
		if s.placeTask(i, ws[0], ws[len(ws)-1]+1) {
			return true
		}
	}
	return false
}

// placeTask places the next task of shape i on a worker from first to end-1,
// then all that follow. The tasks of a shape are equal, so it only tries them in
// the order of workers.
func (s *searcher) placeTask(i, first, end int) bool {
	shape := s.shapes[i]
	if len(s.placements[i]) == shape.Tasks {
		return s.placeShape(i + 1)
	}
	for w := first; w < end; w++ {
		if s.k.Worker(w).Unavailable || s.k.Free(w) < shape.AcceleratorsPerTask {
			continue
		}
		if s.stepsLeft--; s.stepsLeft < 0 {
			return false
		}
		s.k.Allocate(w, shape.AcceleratorsPerTask)
		s.placements[i] = append(s.placements[i], w)
		if s.placeTask(i, w, end) {
			return true
		}
		s.placements[i] = s.placements[i][:len(s.placements[i])-1]
		s.k.ReleaseAll([]int{w}, shape.AcceleratorsPerTask)
	}
	return false
}
