package placement

import "github.com/cyclamentray/cyclamentray/job"

// PullableJobs returns the offered jobs, held by other failure domains, that this one
// could start at once beside its own jobs and reservations. It considers them in the
// order offered and does not change v.
func PullableJobs(v View, offered []WaitingJob) []job.ID {
	if v.Out || len(offered) == 0 {
		return nil
	}
	d := decide(&v)
	if len(d.plan.Reclaims) > 0 {
		return nil // this failure domain lacks free accelerators itself
	}
	var out []job.ID
	for i := range offered {
		w := &offered[i]
		if d.overQuota(w) {
			continue
		}
		placement := d.remaining.Fit(w.Shape, d.avoidFunc(w))
		if placement == nil {
			continue
		}
		d.remaining.AllocateAll(placement, w.Shape.AcceleratorsPerTask)
		d.addUsage(w.ID.Organisation, w.Team, w.Shape)
		out = append(out, w.ID)
	}
	return out
}
