package topology

import "slices"

// Capacity counts the free accelerators of each worker and rack of a cluster.
// It is not safe for concurrent use.
type Capacity struct {
	*Cluster
	free       []int // free accelerators of each worker; negative while its tasks use more than it has
	freeByRack []int // sum of Free over the workers of each rack
	totalFree  int   // sum of Free over all workers
	tasks      []int // number of tasks on each worker, to spread tasks without accelerators
	limit      []int // upper bound of Free for each worker; nil: no limit
	fillOrder  []int // buffer of fillWorkers, reused between calls
}

// NewCapacity returns the capacity of a cluster on which nothing runs.
// Unavailable workers have nothing free.
func NewCapacity(c *Cluster) *Capacity {
	k := &Capacity{
		Cluster:    c,
		free:       make([]int, c.Len()),
		freeByRack: make([]int, c.RackCount()),
		tasks:      make([]int, c.Len()),
	}
	for w, worker := range c.workers {
		if !worker.Unavailable {
			k.AddFree(w, worker.Accelerators)
		}
	}
	return k
}

// Clone returns a copy that shares only the cluster.
func (k *Capacity) Clone() *Capacity {
	return &Capacity{
		Cluster:    k.Cluster,
		free:       slices.Clone(k.free),
		freeByRack: slices.Clone(k.freeByRack),
		totalFree:  k.totalFree,
		tasks:      slices.Clone(k.tasks),
		limit:      slices.Clone(k.limit),
	}
}

// LimitedTo returns a copy in which no worker has more free accelerators than it
// has in other.
func (k *Capacity) LimitedTo(other *Capacity) *Capacity {
	c := k.Clone()
	c.limit = make([]int, c.Len())
	c.totalFree = 0
	clear(c.freeByRack)
	for w := range c.free {
		c.limit[w] = other.Free(w)
		if k.limit != nil {
			c.limit[w] = min(c.limit[w], k.limit[w])
		}
		c.freeByRack[c.rackOf[w]] += c.Free(w)
		c.totalFree += c.Free(w)
	}
	return c
}

// Free returns the free accelerators of the worker at position w.
func (k *Capacity) Free(w int) int {
	n := max(k.free[w], 0)
	if k.limit != nil {
		n = min(n, k.limit[w])
	}
	return n
}

// TotalFree returns the free accelerators of all workers.
func (k *Capacity) TotalFree() int { return k.totalFree }

// Allocate marks n accelerators of worker w as used by one more task. It does
// nothing for an unavailable worker.
func (k *Capacity) Allocate(w, n int) {
	if k.workers[w].Unavailable {
		return
	}
	k.adjustFree(w, -n)
	k.tasks[w]++
}

// AddFree marks n accelerators of worker w as free without removing a task.
func (k *Capacity) AddFree(w, n int) { k.adjustFree(w, n) }

// AllocateAll allocates n accelerators for each element of workers, so a worker
// that is listed several times gets as many tasks.
func (k *Capacity) AllocateAll(workers []int, n int) {
	for _, w := range workers {
		k.Allocate(w, n)
	}
}

// ReleaseAll undoes AllocateAll.
func (k *Capacity) ReleaseAll(workers []int, n int) {
	for _, w := range workers {
		if k.workers[w].Unavailable {
			continue
		}
		k.adjustFree(w, n)
		k.tasks[w]--
	}
}

func (k *Capacity) adjustFree(w, n int) {
	old := k.Free(w)
	k.free[w] += n
	delta := k.Free(w) - old
	k.freeByRack[k.rackOf[w]] += delta
	k.totalFree += delta
}
