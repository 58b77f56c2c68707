package placement

import (
	"fmt"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// Feasible reports whether a shape would fit on the workers if nothing else ran,
// unavailable workers included. If not, it returns the reason and a remedy.
func Feasible(workers []Worker, shape job.Shape) (ok bool, reason, remedy string) {
	if reason, remedy = malformed(shape); reason != "" {
		return false, reason, remedy
	}
	return feasibleOn(emptyCapacity(workers), shape)
}

// feasibleOn is Feasible for a valid shape on workers on which nothing runs.
func feasibleOn(empty *topology.Capacity, shape job.Shape) (ok bool, reason, remedy string) {
	if empty.Fit(shape, nil) != nil {
		return true, "", ""
	}
	reason = fmt.Sprintf("no %s here holds %d tasks of %d accelerators, even when nothing else runs",
		shape.Adjacency, shape.Tasks, shape.AcceleratorsPerTask)
	return false, reason, remedyFor(empty, shape)
}

// malformed returns why a shape is invalid on any cluster, and a remedy.
func malformed(shape job.Shape) (reason, remedy string) {
	if shape.Tasks < 1 || shape.Tasks > job.MaxGangTasks {
		return fmt.Sprintf("a gang of %d tasks is not between 1 and %d", shape.Tasks, job.MaxGangTasks),
			"submit a gang within these bounds"
	}
	if shape.AcceleratorsPerTask < 0 || !shape.Adjacency.Valid() {
		return "the shape has no valid accelerators per task or adjacency",
			"give 0 or more accelerators per task, and adjacency worker, rack or failure-domain"
	}
	return "", ""
}

// remedyFor returns the change that would make an infeasible shape fit.
func remedyFor(empty *topology.Capacity, shape job.Shape) string {
	one := job.Shape{Tasks: 1, AcceleratorsPerTask: shape.AcceleratorsPerTask, Adjacency: job.SameWorker}
	if empty.Fit(one, nil) == nil {
		return fmt.Sprintf("ask for at most %d accelerators per task", maxAcceleratorsPerWorker(empty))
	}
	for _, wider := range []job.Adjacency{job.SameRack, job.SameFailureDomain} {
		s := shape
		s.Adjacency = wider
		if empty.Fit(s, nil) != nil {
			return fmt.Sprintf("submit it with adjacency %s, or with fewer tasks", wider)
		}
	}
	return "submit it with fewer tasks or fewer accelerators per task, or to a larger failure domain"
}

// maxAcceleratorsPerWorker returns the free accelerators of the worker that has the
// most.
func maxAcceleratorsPerWorker(k *topology.Capacity) int {
	most := 0
	for w := range k.Len() {
		most = max(most, k.Free(w))
	}
	return most
}

func emptyCapacity(workers []Worker) *topology.Capacity {
	return topology.NewCapacity(topology.NewCluster(topologyWorkers(workers)).AllAvailable())
}
