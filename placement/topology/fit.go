package topology

import (
	"slices"

	"github.com/cyclamentray/cyclamentray/job"
)

// AvoidFunc reports whether a gang must not use the worker at position w; a nil
// AvoidFunc excludes none.
type AvoidFunc func(w int) bool

// Fit finds adjacent free accelerators for a shape and returns the worker of
// each task, or nil if there are none. It prefers workers and racks with few free
// accelerators, to avoid fragmenting empty ones.
func (k *Capacity) Fit(s job.Shape, avoid AvoidFunc) []int {
	if s.Tasks <= 0 || s.Accelerators() > k.totalFree {
		return nil
	}
	switch s.Adjacency {
	case job.SameWorker:
		return k.fitWorker(s, avoid)
	case job.SameRack:
		return k.fitRack(s, avoid)
	default:
		return k.fitAnywhere(s, avoid)
	}
}

// FitWithin places a shape's tasks on the given workers and returns the worker
// of each task, or nil if they lack the capacity. It ignores the adjacency.
func (k *Capacity) FitWithin(workers []int, s job.Shape, avoid AvoidFunc) []int {
	if k.TaskCapacity(workers, s, avoid) < s.Tasks {
		return nil
	}
	return k.fillWorkers(workers, s, avoid)
}

func (k *Capacity) fitWorker(s job.Shape, avoid AvoidFunc) []int {
	best := -1
	for r, rack := range k.racks {
		if k.freeByRack[r] < s.Accelerators() {
			continue
		}
		for _, w := range rack {
			if k.usable(w, avoid) && k.Free(w) >= s.Accelerators() && (best < 0 || k.tighterFit(w, best)) {
				best = w
			}
		}
	}
	if best < 0 {
		return nil
	}
	return slices.Repeat([]int{best}, s.Tasks)
}

// tighterFit reports whether worker a is preferred to worker b: it has fewer
// free accelerators, else its rack has, else it runs fewer tasks.
func (k *Capacity) tighterFit(a, b int) bool {
	if k.Free(a) != k.Free(b) {
		return k.Free(a) < k.Free(b)
	}
	if ra, rb := k.freeByRack[k.rackOf[a]], k.freeByRack[k.rackOf[b]]; ra != rb {
		return ra < rb
	}
	return k.tasks[a] < k.tasks[b]
}

func (k *Capacity) fitRack(s job.Shape, avoid AvoidFunc) []int {
	best := -1
	for r, rack := range k.racks {
		if k.freeByRack[r] < s.Accelerators() || best >= 0 && k.freeByRack[r] >= k.freeByRack[best] {
			continue
		}
		if k.TaskCapacity(rack, s, avoid) >= s.Tasks {
			best = r
		}
	}
	if best < 0 {
		return nil
	}
	return k.fillWorkers(k.racks[best], s, avoid)
}

func (k *Capacity) fitAnywhere(s job.Shape, avoid AvoidFunc) []int {
	racks := make([]int, 0, len(k.racks))
	taskCapacity := 0
	for r, rack := range k.racks {
		if n := k.TaskCapacity(rack, s, avoid); n > 0 {
			racks = append(racks, r)
			taskCapacity += n
		}
	}
	if taskCapacity < s.Tasks {
		return nil
	}
	slices.SortStableFunc(racks, func(a, b int) int { return k.freeByRack[a] - k.freeByRack[b] })
	part := s
	var out []int
	for _, r := range racks {
		part.Tasks = min(s.Tasks-len(out), k.TaskCapacity(k.racks[r], s, avoid))
		out = append(out, k.fillWorkers(k.racks[r], part, avoid)...)
		if len(out) == s.Tasks {
			break
		}
	}
	return out
}

// fillWorkers places a shape's tasks on workers that together have room for
// them, starting with those that have the fewest free accelerators.
func (k *Capacity) fillWorkers(workers []int, s job.Shape, avoid AvoidFunc) []int {
	order := k.fillOrder[:0]
	for _, w := range workers {
		if k.TaskCapacityOn(w, s, avoid) > 0 {
			order = append(order, w)
		}
	}
	k.fillOrder = order
	if s.AcceleratorsPerTask == 0 {
		return k.spreadTasks(order, s.Tasks)
	}
	slices.SortStableFunc(order, func(a, b int) int { return k.Free(a) - k.Free(b) })
	out := make([]int, 0, s.Tasks)
	for _, w := range order {
		n := min(s.Tasks-len(out), k.TaskCapacityOn(w, s, avoid))
		for range n {
			out = append(out, w)
		}
	}
	return out
}

// spreadTasks distributes tasks without accelerators evenly over the workers,
// starting with those that run the fewest tasks.
func (k *Capacity) spreadTasks(workers []int, tasks int) []int {
	slices.SortStableFunc(workers, func(a, b int) int { return k.tasks[a] - k.tasks[b] })
	out := make([]int, tasks)
	for i := range out {
		out[i] = workers[i%len(workers)]
	}
	return out
}

// TaskCapacity returns how many of a shape's tasks the given workers have room
// for.
func (k *Capacity) TaskCapacity(workers []int, s job.Shape, avoid AvoidFunc) int {
	n := 0
	for _, w := range workers {
		n += k.TaskCapacityOn(w, s, avoid)
	}
	return n
}

// TaskCapacityOn returns how many of a shape's tasks a worker has room for.
func (k *Capacity) TaskCapacityOn(w int, s job.Shape, avoid AvoidFunc) int {
	if !k.usable(w, avoid) {
		return 0
	}
	if s.AcceleratorsPerTask == 0 {
		return s.Tasks
	}
	return k.Free(w) / s.AcceleratorsPerTask
}

func (k *Capacity) usable(w int, avoid AvoidFunc) bool {
	return !k.workers[w].Unavailable && (avoid == nil || !avoid(w))
}
