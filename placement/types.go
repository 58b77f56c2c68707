// Package placement decides which waiting gangs start where, and which running
// ones are reclaimed for them. Its decisions are pure: they take an immutable
// view of one failure domain and return a plan.
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
	UnavailableReason string // why it takes no new tasks (leaving, quarantined, silent); empty: it does
	Probing           bool   // back from quarantine on trial: takes one gang of one task at a time
}

// Gang is a running gang and where its tasks are.
type Gang struct {
	ID           job.ID
	Team         string
	Template     string
	Generation   uint64
	Shape        job.Shape
	Workers      []string // worker of each task
	Urgent       bool
	Checkpoint   bool
	Guaranteed   bool // counts against its organisation's guarantee, so is not reclaimable
	Stopping     bool // asked to stop; its accelerators are not free yet
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
	Checkpoint  bool
	Submitted   time.Time
	DeclaredRun time.Duration
	Avoid       []string // workers on which it has failed
}

// Guarantee promises an organisation Count copies of a shape here.
type Guarantee struct {
	Organisation string
	Shape        job.Shape
	Count        int
}

// Quota bounds a team's accelerators in this failure domain.
type Quota struct {
	Organisation string
	Team         string
	Accelerators int // 0: no quota
}

// View is everything a decision depends on. Decide does not change it.
type View struct {
	Now        time.Time
	Out        bool // operators have taken the failure domain out
	Workers    []Worker
	Running    []Gang
	Waiting    []WaitingJob
	Guarantees []Guarantee
	Quotas     []Quota
	Estimates  *Estimates // learned run times; nil: declared ones are used
}

// Start tells which worker runs each task of a waiting job.
type Start struct {
	ID         job.ID
	Workers    []string
	Guaranteed bool
}

// Reclaim asks for a running gang's accelerators back.
type Reclaim struct {
	ID     job.ID
	For    job.ID // the job that needs them; zero for a drain or a move
	Reason string
}

// Hold tells why a waiting job does not start now.
type Hold struct {
	ID     job.ID
	Reason string
}

// Deficit is a guarantee that the present hardware cannot back.
type Deficit struct {
	Organisation string
	Shape        job.Shape
	Missing      int
	Reason       string
}

// Plan is what one decision asks for.
type Plan struct {
	Starts        []Start
	Reclaims      []Reclaim
	Holds         []Hold
	Deficits      []Deficit
	DecideAgainAt time.Time // when to decide again without any event; zero: only on events
}
