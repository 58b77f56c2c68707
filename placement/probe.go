package placement

import "slices"

// startProbes starts one job of a single task on each idle probing worker, and
// returns the other jobs. A probe is never an urgent job, and never counts against a
// guarantee.
func (d *decision) startProbes(queue []*WaitingJob) []*WaitingJob {
	for i := range d.v.Workers {
		worker := &d.v.Workers[i]
		if !worker.Probing || worker.UnavailableReason != "" || d.hasRunningTask(worker.Name) {
			continue
		}
		j := slices.IndexFunc(queue, func(w *WaitingJob) bool { return d.canProbe(w, worker) })
		if j < 0 {
			continue
		}
		w := queue[j]
		d.plan.Starts = append(d.plan.Starts, Start{ID: w.ID, Workers: []string{worker.Name}})
		d.addUsage(w.ID.Organisation, w.Team, w.Shape)
		queue = slices.Delete(queue, j, j+1)
	}
	return queue
}

// canProbe reports whether a job is suitable to test that a worker has recovered.
func (d *decision) canProbe(w *WaitingJob, worker *Worker) bool {
	return w.Shape.Tasks == 1 &&
		w.Shape.AcceleratorsPerTask <= worker.Accelerators &&
		!w.Urgent &&
		!slices.Contains(w.Avoid, worker.Name) &&
		!d.overQuota(w)
}

// hasRunningTask reports whether any running gang has a task on a worker.
func (d *decision) hasRunningTask(name string) bool {
	return slices.ContainsFunc(d.v.Running, func(g Gang) bool { return slices.Contains(g.Workers, name) })
}
