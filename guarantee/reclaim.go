package guarantee

import (
	"cmp"
	"slices"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// Borrower is a running gang outside any guarantee.
type Borrower struct {
	Workers             []int // worker of each task; those no longer known are left out
	AcceleratorsPerTask int
	Cost                float64 // accelerator-seconds lost if it is stopped, weighed for fairness
}

// FixedStopCost is what stopping one more gang counts for, whatever its size, in
// accelerator-seconds.
const FixedStopCost = 600.0

// Reclaimer chooses which borrowers to stop for a waiting gang.
type Reclaimer struct {
	borrowers []Borrower
	onWorker  [][]int // borrowers with tasks on each worker
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

// Choice tells whom to stop, and where the waiting gang then goes.
type Choice struct {
	Victims   []int // borrowers, by position
	Placement []int // worker of each task
	Cost      float64
}

// request is what a call of Choose looks for.
type request struct {
	room    *topology.Capacity
	shape   job.Shape
	avoid   topology.AvoidFunc
	allowed func(borrower int) bool
}

// region is a group of workers that count as adjacent.
type region struct {
	workers []int
	has     func(w int) bool
}

// ChooseVictims finds the place for a shape whose clearing costs least. Room counts
// what is free or becoming free; it is changed during the call and restored.
// Allowed reports which borrowers may be stopped.
func (r *Reclaimer) ChooseVictims(room *topology.Capacity, s job.Shape, avoid topology.AvoidFunc, allowed func(borrower int) bool) (best Choice, ok bool) {
	q := request{room: room, shape: normal(s), avoid: avoid, allowed: allowed}
	for _, g := range regions(room, s.Adjacency) {
		if room.TaskCapacityIfEmpty(g.workers, q.shape) < q.shape.Tasks {
			continue
		}
		victims, enough := r.clear(q, g)
		cost := r.cost(victims)
		if !enough || ok && cost >= best.Cost {
			continue
		}
		ok = true
		best = Choice{Victims: victims, Cost: cost}
		r.give(room, victims)
		best.Placement = room.FitWithin(g.workers, q.shape, avoid)
		r.take(room, victims)
	}
	if ok && len(best.Placement) != s.Tasks {
		best.Placement = slices.Repeat(best.Placement, s.Tasks)
	}
	return best, ok
}

// regions returns the groups of workers that count as adjacent.
func regions(k *topology.Capacity, a job.Adjacency) []region {
	var out []region
	switch a {
	case job.SameWorker:
		for w := range k.Len() {
			out = append(out, region{[]int{w}, func(x int) bool { return x == w }})
		}
	case job.SameRack:
		for r := range k.RackCount() {
			out = append(out, region{k.RackWorkers(r), func(x int) bool { return k.RackOf(x) == r }})
		}
	default:
		all := make([]int, k.Len())
		for w := range all {
			all[w] = w
		}
		out = append(out, region{all, func(int) bool { return true }})
	}
	return out
}

// clear returns the borrowers to stop so that the region holds the shape:
// cheapest per accelerator first, and none that is not needed. Not enough means
// that stopping all of them does not do.
func (r *Reclaimer) clear(q request, g region) (victims []int, enough bool) {
	slots := q.room.TaskCapacity(g.workers, q.shape, q.avoid)
	if slots >= q.shape.Tasks {
		return nil, true
	}
	for _, b := range r.candidates(q, g) {
		if slots >= q.shape.Tasks {
			break
		}
		slots += r.gain(q, g, b)
		victims = append(victims, b)
	}
	if slots < q.shape.Tasks {
		r.take(q.room, victims)
		return nil, false
	}
	var needed []int
	for _, b := range victims {
		r.take(q.room, []int{b})
		gain := r.gain(q, g, b)
		if slots-gain >= q.shape.Tasks {
			r.take(q.room, []int{b})
			slots -= gain
			continue
		}
		needed = append(needed, b)
	}
	r.take(q.room, needed)
	return needed, true
}

// gain frees a borrower's accelerators and returns how many more of the
// shape's tasks the region then takes.
func (r *Reclaimer) gain(q request, g region, borrower int) int {
	b := r.borrowers[borrower]
	gained := 0
	for i := range b.Workers {
		w := b.Workers[i]
		if !g.has(w) {
			q.room.ReleaseAll(b.Workers[i:i+1], b.AcceleratorsPerTask)
			continue
		}
		before := q.room.TaskCapacityOn(w, q.shape, q.avoid)
		q.room.ReleaseAll(b.Workers[i:i+1], b.AcceleratorsPerTask)
		gained += q.room.TaskCapacityOn(w, q.shape, q.avoid) - before
	}
	return gained
}

// candidate is a borrower and its cost for each accelerator freed.
type candidate struct {
	borrower int
	cost     float64
}

// candidates returns the borrowers on the workers of a region that could hold a
// task, cheapest per accelerator first.
func (r *Reclaimer) candidates(q request, g region) []int {
	held := map[int]int{}
	var out []int
	for _, w := range g.workers {
		if q.room.Worker(w).Accelerators < q.shape.AcceleratorsPerTask {
			continue
		}
		for _, b := range r.onWorker[w] {
			if !q.allowed(b) {
				continue
			}
			if held[b] == 0 {
				out = append(out, b)
			}
			held[b] += r.on(b, w)
		}
	}
	ranked := make([]candidate, len(out))
	for i, b := range out {
		ranked[i] = candidate{b, (r.borrowers[b].Cost + FixedStopCost) / float64(held[b])}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.borrower, b.borrower))
	})
	for i, c := range ranked {
		out[i] = c.borrower
	}
	return out
}

// on returns how many accelerators a borrower holds on a worker.
func (r *Reclaimer) on(borrower, worker int) int {
	b := r.borrowers[borrower]
	n := 0
	for _, w := range b.Workers {
		if w == worker {
			n += b.AcceleratorsPerTask
		}
	}
	return n
}

func (r *Reclaimer) cost(victims []int) float64 {
	sum := 0.0
	for _, v := range victims {
		sum += r.borrowers[v].Cost + FixedStopCost
	}
	return sum
}

func (r *Reclaimer) give(k *topology.Capacity, victims []int) {
	for _, v := range victims {
		k.ReleaseAll(r.borrowers[v].Workers, r.borrowers[v].AcceleratorsPerTask)
	}
}

func (r *Reclaimer) take(k *topology.Capacity, victims []int) {
	for _, v := range victims {
		k.AllocateAll(r.borrowers[v].Workers, r.borrowers[v].AcceleratorsPerTask)
	}
}
