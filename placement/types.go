// Package placement decides which waiting gangs start where, and which running
// gangs are stopped to make room for them. Decide, PullableJobs and Feasible are
// pure functions; a decision depends only on an immutable View of one failure
// domain. Two types hold state that callers keep between decisions: Estimates,
// the learned run times, and Quarantine, the failures of workers, jobs and
// templates. The scheduler in package gang makes the decisions and keeps this
// state; package intake uses Feasible to choose a failure domain.
package placement

import (
	"time"

	"github.com/cyclamentray/cyclamentray/job"
)

// Worker is one worker as the scheduler sees it.
type Worker struct {
	Name              string
	Rack              string
	Accelerators      int
	UnavailableReason string // why it takes no new tasks (leaving, quarantined, silent); empty: it is available
	Probing           bool   // its quarantine has ended and no job has succeeded on it since: takes one gang of one task at a time
}

// Gang is a running gang with the workers of its tasks.
type Gang struct {
	ID           job.ID
	Team         string
	Template     string
	Generation   uint64
	Shape        job.Shape
	Workers      []string // worker of each task
	Urgent       bool
	Checkpoint   bool // its tasks can save their work when asked
	Guaranteed   bool // counts against its organisation's guarantee, so it is not reclaimable
	Stopping     bool // asked to stop; its accelerators are not yet free
	Started      time.Time
	Checkpointed time.Time     // zero: never
	DeclaredRun  time.Duration // as submitted
}

// WaitingJob is a queued job.
type WaitingJob struct {
	ID          job.ID
	Team        string
	Template    string
	Shape       job.Shape
	Urgent      bool
	Checkpoint  bool // its tasks can save their work when asked
	Submitted   time.Time
	DeclaredRun time.Duration
	Avoid       []string // workers on which it has failed
}

// Guarantee entitles an organisation to Count copies of a shape in this failure
// domain.
type Guarantee struct {
	Organisation string
	Shape        job.Shape
	Count        int
}

// Quota limits a team's accelerators in this failure domain.
type Quota struct {
	Organisation string
	Team         string
	Accelerators int // 0: no quota
}

// View is the complete input of a decision. Decide does not change it.
type View struct {
	Now        time.Time
	Out        bool // operators have taken the failure domain out of service
	Workers    []Worker
	Running    []Gang
	Waiting    []WaitingJob
	Guarantees []Guarantee
	Quotas     []Quota
	Estimates  *Estimates // learned run times; nil: the declared ones are used
}

// Start assigns a worker to each task of a waiting job.
type Start struct {
	ID         job.ID
	Workers    []string
	Guaranteed bool
}

// Reclaim asks a running gang to stop, so that its accelerators become free.
type Reclaim struct {
	ID     job.ID
	For    job.ID // the job that needs the accelerators; zero for a drain
	Reason string
}

// Hold is a waiting job that does not start now, and why.
type Hold struct {
	ID     job.ID
	Reason string
}

// Deficit is a guarantee that the present hardware cannot back.
type Deficit struct {
	Organisation string
	Shape        job.Shape
	Missing      int // copies of the shape that are not backed
	Reason       string
}

// Plan is the result of one decision.
type Plan struct {
	Starts        []Start
	Reclaims      []Reclaim
	Holds         []Hold
	Deficits      []Deficit
	DecideAgainAt time.Time // when to decide again even without an event; zero: only on events
}
