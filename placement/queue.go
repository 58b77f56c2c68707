package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// Exponents of a job's expected run time and size in its score. With larger ones
// the wait of a long or large job counts for less.
const (
	runExponent  = 1.5
	sizeExponent = 1.5
)

// shareWeight is how strongly the share of all accelerators that an organisation
// uses enlarges the size of its jobs in their score, so that one organisation's
// queue does not hold up the others.
const shareWeight = 8.0

// Limits on reclaiming for urgent jobs outside guarantees.
const (
	maxUrgentReclaimAttempts = 2                      // in one decision
	urgentReclaimInterval    = 200 * time.Millisecond // delay until the next decision continues
)

// overdueAfter is the wait after which a job precedes all jobs that are not
// overdue, and may displace other gangs whatever the delay costs them.
const overdueAfter = 12 * time.Hour

// rankedJob is a waiting job with the keys by which the queue is sorted.
type rankedJob struct {
	w       *WaitingJob
	score   float64
	overdue bool
}

// admitJobs holds the jobs that can never run here and returns the others sorted:
// overdue jobs first, then by score.
func (d *decision) admitJobs() []*WaitingJob {
	queue := make([]rankedJob, 0, len(d.v.Waiting))
	for i := range d.v.Waiting {
		w := &d.v.Waiting[i]
		if reason := d.infeasibleReason(w.Shape); reason != "" {
			d.holdJob(w, reason)
			continue
		}
		queue = append(queue, rankedJob{w, d.score(w), d.overdue(w)})
	}
	slices.SortFunc(queue, compareRanked)
	out := make([]*WaitingJob, len(queue))
	for i, r := range queue {
		out[i] = r.w
	}
	return out
}

// compareRanked sorts overdue jobs first, oldest first, and the others by score,
// highest first.
func compareRanked(a, b rankedJob) int {
	switch {
	case a.overdue && b.overdue:
		return compareSubmissions(a.w, b.w)
	case a.overdue:
		return -1
	case b.overdue:
		return 1
	}
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return compareSubmissions(a.w, b.w)
}

// compareSubmissions orders jobs by submission time, then by ID.
func compareSubmissions(a, b *WaitingJob) int {
	if c := a.Submitted.Compare(b.Submitted); c != 0 {
		return c
	}
	return compareIDs(a.ID, b.ID)
}

// overdue reports whether a job has waited for overdueAfter and fits beside the
// backing of all guarantees. A job that does not fit there can run only while
// guarantees are unused, so keeping accelerators for it would delay other jobs in
// vain.
func (d *decision) overdue(w *WaitingJob) bool {
	if d.v.Now.Sub(w.Submitted) < overdueAfter {
		return false
	}
	fits, known := d.fitsBesideGuarantees[w.Shape]
	if !known {
		fits = d.capacityBesideBacking(noSlot).Fit(w.Shape, nil) != nil
		d.fitsBesideGuarantees[w.Shape] = fits
	}
	return fits
}

// score returns a job's priority among those that are not overdue. It grows with
// the wait, and falls with the expected run time and the size, so that small jobs
// that have waited long come first.
func (d *decision) score(w *WaitingJob) float64 {
	run := d.predictor.orderingRun(w).Seconds()
	size := float64(max(1, w.Shape.Accelerators()))
	size *= 1 + shareWeight*float64(d.usage[w.ID.Organisation])/float64(max(1, d.idleCapacity().TotalFree()))
	waited := max(0, d.v.Now.Sub(w.Submitted).Seconds())
	return (waited + run*size) / (math.Pow(run, runExponent) * math.Pow(size, sizeExponent))
}

// infeasibleReason returns why a shape fits on no workers here, unavailable ones
// included, or an empty string if it fits.
func (d *decision) infeasibleReason(s job.Shape) string {
	reason, known := d.infeasibleReasons[s]
	if known {
		return reason
	}
	why, remedy := malformed(s)
	if why == "" {
		_, why, remedy = feasibleOn(d.idleCapacity(), s)
	}
	if why != "" {
		reason = why + "; " + remedy
	}
	d.infeasibleReasons[s] = reason
	return reason
}

// idleCapacity returns the capacity of all workers, unavailable ones included, with
// nothing running.
func (d *decision) idleCapacity() *topology.Capacity {
	if d.idle == nil {
		d.idle = topology.NewCapacity(d.cluster.AllAvailable())
	}
	return d.idle
}

// overQuota reports whether a job would take its team over its quota.
func (d *decision) overQuota(w *WaitingJob) bool {
	q := d.teams[teamKey{w.ID.Organisation, w.Team}]
	return q != nil && q.limit > 0 && q.used+w.Shape.Accelerators() > q.limit
}

func (d *decision) holdForQuota(w *WaitingJob) {
	t := teamKey{w.ID.Organisation, w.Team}
	d.holdJob(w, d.teams[t].exceededReason(t, w.Shape))
}

// avoidFunc returns a function that excludes the workers on which a job has failed.
// If the job does not fit on the other workers even when nothing else runs, it
// returns nil, so that no worker is excluded.
func (d *decision) avoidFunc(w *WaitingJob) topology.AvoidFunc {
	if len(w.Avoid) == 0 {
		return nil
	}
	failed := make(map[int]bool, len(w.Avoid))
	for _, p := range d.positions(w.Avoid) {
		failed[p] = true
	}
	avoid := func(w int) bool { return failed[w] }
	if topology.NewCapacity(d.cluster).Fit(w.Shape, avoid) == nil {
		return nil
	}
	return avoid
}

// startUrgent starts urgent jobs outside guarantees where accelerators are free, or
// reclaims accelerators for them from borrowers that are not urgent. It returns the
// jobs that it did not serve.
func (d *decision) startUrgent(queue []*WaitingJob) []*WaitingJob {
	urgent := selectByUrgency(queue, func(w *WaitingJob) bool { return w.Urgent })
	served := map[*WaitingJob]bool{}
	for _, w := range urgent {
		served[w] = !d.overQuota(w) && d.serveUrgent(w)
	}
	return withoutServed(queue, served)
}

// selectByUrgency returns the jobs that match, urgent ones first, then by
// submission time.
func selectByUrgency(queue []*WaitingJob, match func(w *WaitingJob) bool) []*WaitingJob {
	var out []*WaitingJob
	for _, w := range queue {
		if match(w) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *WaitingJob) int {
		if c := compareUrgency(a.Urgent, b.Urgent); c != 0 {
			return c
		}
		return compareSubmissions(a, b)
	})
	return out
}

// withoutServed returns the queue without the jobs that were served.
func withoutServed(queue []*WaitingJob, served map[*WaitingJob]bool) []*WaitingJob {
	if len(served) == 0 {
		return queue
	}
	return slices.DeleteFunc(queue, func(w *WaitingJob) bool { return served[w] })
}

// serveUrgent starts an urgent job or reclaims accelerators for it, and reports
// whether it did either.
func (d *decision) serveUrgent(w *WaitingJob) bool {
	avoid := d.avoidFunc(w)
	if placement := d.free.Fit(w.Shape, avoid); placement != nil {
		d.startJob(w, placement, false)
		return true
	}
	if d.noVictims[w.Shape] {
		return false
	}
	if d.urgentReclaimAttempts++; d.urgentReclaimAttempts > maxUrgentReclaimAttempts {
		d.decideAgainAt(d.v.Now.Add(urgentReclaimInterval))
		return false
	}
	choice, ok := d.chooseVictims(d.freeSoon, w, avoid, func(b int) bool { return !d.v.Running[d.borrowers[b]].Urgent })
	if !ok {
		d.noVictims[w.Shape] = true
		return false
	}
	d.reclaimAndSetAside(w, choice, reasonUrgentWork)
	d.holdJob(w, reasonUrgentReclaiming)
	return true
}

// decideAgainAt makes the plan ask for the next decision at t or earlier.
func (d *decision) decideAgainAt(t time.Time) {
	if d.plan.DecideAgainAt.IsZero() || t.Before(d.plan.DecideAgainAt) {
		d.plan.DecideAgainAt = t
	}
}
