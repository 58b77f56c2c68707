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
		placement := firstFit(k, w.Shape)
		if placement == nil {
			return p
		}
		k.AllocateAll(placement, w.Shape.AcceleratorsPerTask)
		p.Starts = append(p.Starts, Start{ID: w.ID, Workers: k.WorkerNames(placement)})
	}
	return p
}

// firstFit returns the first workers in name order that have room for a shape.
func firstFit(k *topology.Capacity, s job.Shape) []int {
	var groups [][]int
	for r := range k.RackCount() {
		groups = append(groups, k.RackWorkers(r))
	}
	if s.Adjacency == job.SameFailureDomain {
		groups = [][]int{slices.Concat(groups...)}
	}
	for _, group := range groups {
		var placement []int
		for _, w := range group {
			if s.Adjacency == job.SameWorker {
				placement = placement[:0]
			}
			for n := k.Free(w); n >= s.AcceleratorsPerTask && len(placement) < s.Tasks; n -= s.AcceleratorsPerTask {
				placement = append(placement, w)
			}
			if len(placement) == s.Tasks {
				return placement
			}
		}
	}
	return nil
}
