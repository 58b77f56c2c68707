package placement

import (
	"slices"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// fifoFirstFit is the baseline policy: jobs strictly in order of submission, each on
// the first workers in name order.
func fifoFirstFit(v View) Plan {
	var p Plan
	if v.Out {
		for _, g := range v.Running {
			if g.Checkpoint && !g.Stopping {
				p.Reclaims = append(p.Reclaims, Reclaim{ID: g.ID})
			}
		}
		return p
	}
	k := topology.NewCapacity(topology.NewCluster(topologyWorkers(v.Workers)))
	for _, g := range v.Running {
		for _, name := range g.Workers {
			w, _ := k.Position(name)
			k.Allocate(w, g.Shape.AcceleratorsPerTask)
		}
	}
	queue := slices.Clone(v.Waiting)
	slices.SortStableFunc(queue, func(a, b WaitingJob) int { return a.Submitted.Compare(b.Submitted) })
	for _, w := range queue {
		place := firstFit(k, w.Shape)
		if place == nil {
			return p
		}
		k.AllocateAll(place, w.Shape.AcceleratorsPerTask)
		p.Starts = append(p.Starts, Start{ID: w.ID, Workers: k.WorkerNames(place)})
	}
	return p
}

// firstFit returns the first workers in name order that have room for a shape.
func firstFit(k *topology.Capacity, s job.Shape) []int {
	var regions [][]int
	for r := range k.RackCount() {
		regions = append(regions, k.RackWorkers(r))
	}
	if s.Adjacency == job.SameFailureDomain {
		regions = [][]int{slices.Concat(regions...)}
	}
	for _, region := range regions {
		var place []int
		for _, w := range region {
			if s.Adjacency == job.SameWorker {
				place = place[:0]
			}
			for n := k.Free(w); n >= s.AcceleratorsPerTask && len(place) < s.Tasks; n -= s.AcceleratorsPerTask {
				place = append(place, w)
			}
			if len(place) == s.Tasks {
				return place
			}
		}
	}
	return nil
}
