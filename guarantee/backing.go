package guarantee

import (
	"cmp"
	"slices"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// searchSteps bounds the search for a backing plan after the quick orders
// have failed.
const searchSteps = 20_000

// Backing gives unused slots concrete adjacent accelerators, no two the same.
type Backing struct {
	places map[int][]int // worker of each task of each backed slot
	missed []int         // slots without accelerators
}

// Placement returns the worker of each task of a slot, nil if it has none.
func (b *Backing) Placement(slot int) []int { return b.places[slot] }

// UnbackedSlots returns the slots that have no accelerators.
func (b *Backing) UnbackedSlots() []int { return b.missed }

// PlanBacking makes a backing plan for the given slots of an assignment. The capacity is what
// non-reclaimable work leaves; it is not changed. When not all slots can be
// backed, the plan backs as many as the best order found does.
func (b *Assignment) PlanBacking(k *topology.Capacity, slots []int) *Backing {
	best := b.greedy(k, slots, hardestFirst)
	for _, order := range []slotOrder{largestFirst, nearestFirst} {
		if len(best.missed) == 0 {
			return best
		}
		if p := b.greedy(k, slots, order); len(p.missed) < len(best.missed) {
			best = p
		}
	}
	if len(best.missed) == 0 || b.accelerators(slots) > k.TotalFree() {
		return best
	}
	if p := b.search(k, slots); p != nil {
		return p
	}
	return best
}

// UnusedSlots returns the slots that no claim uses, without the one given.
func (b *Assignment) UnusedSlots(without int) []int {
	var out []int
	for s := range b.slots {
		if b.Unused(s) && s != without {
			out = append(out, s)
		}
	}
	return out
}

func (b *Assignment) accelerators(slots []int) int {
	n := 0
	for _, s := range slots {
		n += b.slots[s].Shape.Accelerators()
	}
	return n
}

// slotOrder compares the shapes of two slots: the lesser is backed first.
type slotOrder func(a, b job.Shape) int

// hardestFirst puts large tasks before small, then near before wide.
func hardestFirst(a, b job.Shape) int {
	a, b = normal(a), normal(b)
	return cmp.Or(
		cmp.Compare(b.AcceleratorsPerTask, a.AcceleratorsPerTask),
		cmp.Compare(width(a.Adjacency), width(b.Adjacency)),
		cmp.Compare(b.Tasks, a.Tasks),
	)
}

// largestFirst puts large shapes before small.
func largestFirst(a, b job.Shape) int {
	return cmp.Or(cmp.Compare(b.Accelerators(), a.Accelerators()), hardestFirst(a, b))
}

// nearestFirst puts racks before workers, and both before the failure domain.
func nearestFirst(a, b job.Shape) int {
	order := [...]int{1, 0, 2}
	return cmp.Or(
		cmp.Compare(order[width(a.Adjacency)], order[width(b.Adjacency)]),
		largestFirst(a, b),
	)
}

func (b *Assignment) greedy(k *topology.Capacity, slots []int, order slotOrder) *Backing {
	k = k.Clone()
	p := &Backing{places: make(map[int][]int, len(slots))}
	for _, s := range b.sorted(slots, order) {
		shape := b.slots[s].Shape
		place := k.Fit(shape, nil)
		if place == nil {
			p.missed = append(p.missed, s)
			continue
		}
		k.AllocateAll(place, shape.AcceleratorsPerTask)
		p.places[s] = place
	}
	return p
}

func (b *Assignment) sorted(slots []int, order slotOrder) []int {
	slots = slices.Clone(slots)
	slices.SortStableFunc(slots, func(x, y int) int { return order(b.slots[x].Shape, b.slots[y].Shape) })
	return slots
}

// search tries every way to back all slots, task by task, until it has taken
// searchSteps. It returns nil when it found none.
func (b *Assignment) search(k *topology.Capacity, slots []int) *Backing {
	s := &searcher{k: k.Clone(), steps: searchSteps}
	order := b.sorted(slots, hardestFirst)
	for _, slot := range order {
		s.shapes = append(s.shapes, normal(b.slots[slot].Shape))
	}
	s.places = make([][]int, len(order))
	if !s.next(0) {
		return nil
	}
	p := &Backing{places: make(map[int][]int, len(order))}
	for i, slot := range order {
		p.places[slot] = s.places[i]
		if tasks := b.slots[slot].Shape.Tasks; tasks != len(s.places[i]) {
			p.places[slot] = slices.Repeat(s.places[i], tasks)
		}
	}
	return p
}

// searcher is a depth-first search over the places of tasks.
type searcher struct {
	k      *topology.Capacity
	shapes []job.Shape
	places [][]int
	steps  int
}

// next places the tasks of shape i and of those after it.
func (s *searcher) next(i int) bool {
	if i == len(s.shapes) {
		return true
	}
	if s.shapes[i].Adjacency == job.SameFailureDomain {
		return s.task(i, 0, s.k.Len())
	}
	for r := range s.k.RackCount() {
		ws := s.k.RackWorkers(r)
		if s.task(i, ws[0], ws[len(ws)-1]+1) {
			return true
		}
	}
	return false
}

// task places the next task of shape i on a worker from first up to end. Tasks
// are equal, so they go in the order of workers.
func (s *searcher) task(i, first, end int) bool {
	shape := s.shapes[i]
	if len(s.places[i]) == shape.Tasks {
		return s.next(i + 1)
	}
	for w := first; w < end; w++ {
		if s.k.Worker(w).Unavailable || s.k.Free(w) < shape.AcceleratorsPerTask {
			continue
		}
		if s.steps--; s.steps < 0 {
			return false
		}
		s.k.Allocate(w, shape.AcceleratorsPerTask)
		s.places[i] = append(s.places[i], w)
		if s.task(i, w, end) {
			return true
		}
		s.places[i] = s.places[i][:len(s.places[i])-1]
		s.k.ReleaseAll([]int{w}, shape.AcceleratorsPerTask)
	}
	return false
}
