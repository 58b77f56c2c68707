package guarantee

import (
	"cmp"
	"slices"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// Borrower is a running gang that does not count against a guarantee and so may
// be stopped.
type Borrower struct {
	Workers             []int // worker of each task, without workers that have left the cluster
	AcceleratorsPerTask int
	Cost                float64 // accelerator-seconds lost if it is stopped, weighted for fairness
}

// FixedStopCost is the part of the cost of stopping a gang that does not depend
// on its size, in accelerator-seconds.
const FixedStopCost = 600.0

// Reclaimer chooses the borrowers to stop for a waiting gang.
type Reclaimer struct {
	borrowers []Borrower
	onWorker  [][]int // indices of the borrowers with tasks on each worker
}

// NewReclaimer returns a reclaimer that chooses among the given borrowers.
func NewReclaimer(c *topology.Cluster, borrowers []Borrower) *Reclaimer {
	r := &Reclaimer{borrowers: borrowers, onWorker: make([][]int, c.Len())}
	for i, b := range borrowers {
		for _, w := range b.Workers {
			if list := r.onWorker[w]; len(list) == 0 || list[len(list)-1] != i {
				r.onWorker[w] = append(list, i)
			}
		}
	}
	return r
}

// Choice is the result of ChooseVictims: the borrowers to stop and the placement
// of the waiting gang after that.
type Choice struct {
	Victims   []int   // indices of the borrowers to stop
	Placement []int   // worker of each task
	Cost      float64 // sum of the victims' costs, each with FixedStopCost
}

// searchRequest holds the arguments of one call of ChooseVictims.
type searchRequest struct {
	available *topology.Capacity
	shape     job.Shape
	avoid     topology.AvoidFunc
	allowed   func(borrower int) bool
}

// workerGroup is a set of workers on which a gang's tasks count as adjacent.
type workerGroup struct {
	workers  []int
	contains func(w int) bool
}

// ChooseVictims chooses borrowers to stop so that a shape fits, at the lowest cost
// that it finds. The capacity available counts accelerators that are free or about
// to be freed; it is changed during the call and restored. The function allowed
// reports which borrowers may be stopped.
func (r *Reclaimer) ChooseVictims(available *topology.Capacity, s job.Shape, avoid topology.AvoidFunc, allowed func(borrower int) bool) (best Choice, ok bool) {
	q := searchRequest{available: available, shape: normalise(s), avoid: avoid, allowed: allowed}
	for _, g := range adjacentGroups(available, s.Adjacency) {
		if available.TaskCapacityIfEmpty(g.workers, q.shape) < q.shape.Tasks {
			continue
		}
		victims, enough := r.selectVictims(q, g)
		cost := r.totalCost(victims)
		if !enough || ok && cost >= best.Cost {
			continue
		}
		ok = true
		best = Choice{Victims: victims, Cost: cost}
		r.freeBorrowers(available, victims)
		best.Placement = available.FitWithin(g.workers, q.shape, avoid)
		r.occupyBorrowers(available, victims)
	}
	if ok && len(best.Placement) != s.Tasks {
		best.Placement = slices.Repeat(best.Placement, s.Tasks)
	}
	return best, ok
}

// adjacentGroups returns the sets of workers that satisfy an adjacency.
func adjacentGroups(k *topology.Capacity, a job.Adjacency) []workerGroup {
	var out []workerGroup
	switch a {
	case job.SameWorker:
		for w := range k.Len() {
			out = append(out, workerGroup{[]int{w}, func(x int) bool { return x == w }})
		}
	case job.SameRack:
		for r := range k.RackCount() {
			out = append(out, workerGroup{k.RackWorkers(r), func(x int) bool { return k.RackOf(x) == r }})
		}
	default:
		all := make([]int, k.Len())
		for w := range all {
			all[w] = w
		}
		out = append(out, workerGroup{all, func(int) bool { return true }})
	}
	return out
}

// selectVictims returns the borrowers to stop so that the group has room for the
// shape. It takes the cheapest per accelerator first and then drops those that
// turn out not to be needed. It returns enough = false if stopping all allowed
// borrowers would not make enough room.
func (r *Reclaimer) selectVictims(q searchRequest, g workerGroup) (victims []int, enough bool) {
	tasks := q.available.TaskCapacity(g.workers, q.shape, q.avoid)
	if tasks >= q.shape.Tasks {
		return nil, true
	}
	for _, b := range r.candidates(q, g) {
		if tasks >= q.shape.Tasks {
			break
		}
		tasks += r.freeBorrower(q, g, b)
		victims = append(victims, b)
	}
	if tasks < q.shape.Tasks {
		r.occupyBorrowers(q.available, victims)
		return nil, false
	}
	var needed []int
	for _, b := range victims {
		r.occupyBorrowers(q.available, []int{b})
		gain := r.freeBorrower(q, g, b)
		if tasks-gain >= q.shape.Tasks {
			r.occupyBorrowers(q.available, []int{b})
			tasks -= gain
			continue
		}
		needed = append(needed, b)
	}
	r.occupyBorrowers(q.available, needed)
	return needed, true
}

// freeBorrower marks a borrower's accelerators as free and returns how many more
// of the shape's tasks the group then has room for.
func (r *Reclaimer) freeBorrower(q searchRequest, g workerGroup, borrower int) int {
	b := r.borrowers[borrower]
	gained := 0
	for i := range b.Workers {
		w := b.Workers[i]
		if !g.contains(w) {
			q.available.ReleaseAll(b.Workers[i:i+1], b.AcceleratorsPerTask)
			continue
		}
		before := q.available.TaskCapacityOn(w, q.shape, q.avoid)
		q.available.ReleaseAll(b.Workers[i:i+1], b.AcceleratorsPerTask)
		gained += q.available.TaskCapacityOn(w, q.shape, q.avoid) - before
	}
	return gained
}

// rankedBorrower is a borrower with its cost for each accelerator freed.
type rankedBorrower struct {
	borrower           int
	costPerAccelerator float64
}

// candidates returns the borrowers on those workers of the group that are large
// enough for a task, cheapest per accelerator first.
func (r *Reclaimer) candidates(q searchRequest, g workerGroup) []int {
	acceleratorsHeld := map[int]int{}
	var out []int
	for _, w := range g.workers {
		if q.available.Worker(w).Accelerators < q.shape.AcceleratorsPerTask {
			continue
		}
		for _, b := range r.onWorker[w] {
			if !q.allowed(b) {
				continue
			}
			if acceleratorsHeld[b] == 0 {
				out = append(out, b)
			}
			acceleratorsHeld[b] += r.acceleratorsOn(b, w)
		}
	}
	ranked := make([]rankedBorrower, len(out))
	for i, b := range out {
		ranked[i] = rankedBorrower{b, (r.borrowers[b].Cost + FixedStopCost) / float64(acceleratorsHeld[b])}
	}
	slices.SortFunc(ranked, func(a, b rankedBorrower) int {
		return cmp.Or(cmp.Compare(a.costPerAccelerator, b.costPerAccelerator), cmp.Compare(a.borrower, b.borrower))
	})
	for i, b := range ranked {
		out[i] = b.borrower
	}
	return out
}

// acceleratorsOn returns how many accelerators a borrower uses on a worker.
func (r *Reclaimer) acceleratorsOn(borrower, worker int) int {
	b := r.borrowers[borrower]
	n := 0
	for _, w := range b.Workers {
		if w == worker {
			n += b.AcceleratorsPerTask
		}
	}
	return n
}

func (r *Reclaimer) totalCost(victims []int) float64 {
	sum := 0.0
	for _, v := range victims {
		sum += r.borrowers[v].Cost + FixedStopCost
	}
	return sum
}

// freeBorrowers marks the accelerators of the given borrowers as free.
func (r *Reclaimer) freeBorrowers(k *topology.Capacity, victims []int) {
	for _, v := range victims {
		k.ReleaseAll(r.borrowers[v].Workers, r.borrowers[v].AcceleratorsPerTask)
	}
}

// occupyBorrowers undoes freeBorrowers.
func (r *Reclaimer) occupyBorrowers(k *topology.Capacity, victims []int) {
	for _, v := range victims {
		k.AllocateAll(r.borrowers[v].Workers, r.borrowers[v].AcceleratorsPerTask)
	}
}
