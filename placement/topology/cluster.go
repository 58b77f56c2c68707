// Package topology indexes the workers of one failure domain by rack, counts
// their free accelerators and finds adjacent free accelerators for a shape. It
// holds only the workers and counts that its callers pass in. Packages placement
// and guarantee build and use it within each scheduling decision.
package topology

import (
	"cmp"
	"slices"

	"github.com/cyclamentray/cyclamentray/job"
)

// Worker is a machine with accelerators.
type Worker struct {
	Name         string
	Rack         string
	Accelerators int
	Unavailable  bool // takes no new tasks
}

// Cluster is an immutable index of workers. Workers and racks are identified by
// their position when sorted by rack and name, so that equal inputs give equal
// decisions.
type Cluster struct {
	workers []Worker
	rackOf  []int          // rack of each worker
	racks   [][]int        // workers of each rack
	byName  map[string]int // position of each worker
}

// NewCluster indexes workers; their order in the argument does not matter.
func NewCluster(workers []Worker) *Cluster {
	c := &Cluster{
		workers: slices.Clone(workers),
		rackOf:  make([]int, len(workers)),
		byName:  make(map[string]int, len(workers)),
	}
	if !slices.IsSortedFunc(c.workers, compareWorkers) {
		slices.SortFunc(c.workers, compareWorkers)
	}
	for i, w := range c.workers {
		if i == 0 || w.Rack != c.workers[i-1].Rack {
			c.racks = append(c.racks, nil)
		}
		last := len(c.racks) - 1
		c.racks[last] = append(c.racks[last], i)
		c.rackOf[i] = last
		c.byName[w.Name] = i
	}
	return c
}

func compareWorkers(a, b Worker) int {
	return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
}

// AllAvailable returns a copy of the cluster in which every worker is available.
func (c *Cluster) AllAvailable() *Cluster {
	all := *c
	all.workers = slices.Clone(c.workers)
	for w := range all.workers {
		all.workers[w].Unavailable = false
	}
	return &all
}

// Len returns the number of workers.
func (c *Cluster) Len() int { return len(c.workers) }

// RackCount returns the number of racks.
func (c *Cluster) RackCount() int { return len(c.racks) }

// RackWorkers returns the positions of a rack's workers. Callers must not change
// the slice.
func (c *Cluster) RackWorkers(r int) []int { return c.racks[r] }

// RackOf returns the rack of the worker at position w.
func (c *Cluster) RackOf(w int) int { return c.rackOf[w] }

// Worker returns the worker at position w.
func (c *Cluster) Worker(w int) Worker { return c.workers[w] }

// Position returns the position of the named worker.
func (c *Cluster) Position(name string) (w int, ok bool) {
	w, ok = c.byName[name]
	return w, ok
}

// TaskCapacityIfEmpty returns how many of a shape's tasks the given workers
// could run if nothing else ran on them.
func (c *Cluster) TaskCapacityIfEmpty(workers []int, s job.Shape) int {
	if s.AcceleratorsPerTask == 0 {
		return s.Tasks
	}
	n := 0
	for _, w := range workers {
		n += c.workers[w].Accelerators / s.AcceleratorsPerTask
	}
	return n
}

// WorkerNames returns the names of the workers at the given positions.
func (c *Cluster) WorkerNames(positions []int) []string {
	names := make([]string, len(positions))
	for i, w := range positions {
		names[i] = c.workers[w].Name
	}
	return names
}
