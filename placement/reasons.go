package placement

import (
	"fmt"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
)

// Reasons shown to callers and operators.
const (
	reasonOut                  = "operators have taken the failure domain out of service; wait for its return, or submit the job to another one"
	reasonDrain                = "operators have taken the failure domain out of service; the job goes on from its checkpoint elsewhere"
	reasonGuaranteedReclaiming = "its organisation's guaranteed accelerators are being reclaimed for it; it starts when the gangs on them have stopped"
	reasonUrgentReclaiming     = "accelerators are being reclaimed for it as it is urgent; it starts when the gangs on them have stopped, unless work within a guarantee needs them"
	reasonDisplaced            = "it is moved, or paused, for a job that this saves more waiting than it costs; it goes on from its checkpoint"
	reasonUrgentWork           = "urgent work needs its accelerators"
)

func (q *quotaUse) exceededReason(t teamKey, s job.Shape) string {
	return fmt.Sprintf("team %s uses %d of its quota of %d accelerators, and the job needs %d; wait for the team's jobs, or ask for a larger quota",
		t.name, q.used, q.limit, s.Accelerators())
}

func reservedReason(s job.Shape, at time.Time) string {
	return fmt.Sprintf("%s; accelerators are kept for it from about %s, as running jobs are expected to end",
		shortageReason(s), at.UTC().Format(time.RFC3339))
}

func shortageReason(s job.Shape) string {
	return fmt.Sprintf("no %s has %d x %d free accelerators; wait, or submit a smaller shape or a wider adjacency",
		s.Adjacency, s.Tasks, s.AcceleratorsPerTask)
}

func reservedByOthersReason(s job.Shape) string {
	return fmt.Sprintf("the %d x %d free accelerators are kept for a job that has waited longer; wait, or submit a shorter job",
		s.Tasks, s.AcceleratorsPerTask)
}
