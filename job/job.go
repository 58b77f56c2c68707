// Package job defines the messages that describe jobs: shapes, identities,
// states and ledger records. It holds no state; its methods only check or update
// the value that they are called on. Intake, the schedulers, placement and the
// ledgers use it.
package job

import "time"

// Adjacency is how close to each other a gang's tasks must run.
type Adjacency string

// The adjacencies, closest first.
const (
	SameWorker        Adjacency = "worker"
	SameRack          Adjacency = "rack"
	SameFailureDomain Adjacency = "failure-domain"
)

// Valid reports whether a is one of the known adjacencies.
func (a Adjacency) Valid() bool {
	return a == SameWorker || a == SameRack || a == SameFailureDomain
}

// MaxGangTasks is the largest number of tasks in one gang.
const MaxGangTasks = 64

// Shape describes the accelerators that a gang occupies: equal tasks on
// adjacent accelerators.
type Shape struct {
	Tasks               int       `json:"tasks"`
	AcceleratorsPerTask int       `json:"acceleratorsPerTask"`
	Adjacency           Adjacency `json:"adjacency"`
}

// Accelerators returns the number of accelerators the whole shape occupies.
func (s Shape) Accelerators() int { return s.Tasks * s.AcceleratorsPerTask }

// ID identifies a job. The caller chooses Name. Submission is idempotent: a
// repeated submission under the same ID finds the first one.
type ID struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Name         string `json:"name"`
}

// String returns the ID as organisation/service/name.
func (id ID) String() string { return id.Organisation + "/" + id.Service + "/" + id.Name }

// State is a job's lifecycle state.
type State string

// The states of a job. In Placed a gang generation is recorded and may run; in
// Running every task has been seen running.
const (
	Queued    State = "queued"
	Placed    State = "placed"
	Running   State = "running"
	Stopping  State = "stopping"
	Finished  State = "finished"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	Moved     State = "moved" // continues in the ledger of another failure domain
)

// Terminal reports whether a job in this state never runs again.
func (s State) Terminal() bool { return s == Finished || s == Failed || s == Cancelled }

// Valid reports whether s is one of the states.
func (s State) Valid() bool {
	switch s {
	case Queued, Placed, Running, Stopping, Finished, Failed, Cancelled, Moved:
		return true
	}
	return false
}

// Transition is one change of a job's state, recorded for callers.
type Transition struct {
	At     time.Time `json:"at"`
	State  State     `json:"state"`
	Reason string    `json:"reason,omitempty"`
}

// MaxTransitions is the largest number of transitions in a record's history.
// Older ones are dropped; the newest is last.
const MaxTransitions = 12

// Spec is a job as its caller submits it.
type Spec struct {
	ID            ID            `json:"id"`
	Template      string        `json:"template"` // name of the job template in the service document
	Shape         Shape         `json:"shape"`
	Urgent        bool          `json:"urgent,omitempty"`
	DeclaredRun   time.Duration `json:"declaredRunNanos"` // run time that the caller expects; often far off
	Checkpoint    bool          `json:"checkpoint,omitempty"`
	FailureDomain string        `json:"failureDomain,omitempty"` // empty: intake chooses one
}

// Record is a job as stored in a failure domain's ledger.
type Record struct {
	Spec          Spec      `json:"spec"`
	Team          string    `json:"team"`
	FailureDomain string    `json:"failureDomain"` // failure domain whose scheduler is responsible for the job
	State         State     `json:"state"`
	Reason        string    `json:"reason,omitempty"` // why the job waits, stopped or failed; shown to callers
	Generation    uint64    `json:"generation,omitempty"`
	Workers       []string  `json:"workers,omitempty"` // worker of each task, by task index
	Submitted     time.Time `json:"submitted"`
	Started       time.Time `json:"started,omitzero"`
	Ended         time.Time `json:"ended,omitzero"`
	Failures      int       `json:"failures,omitempty"` // runs that ended in failure, on any worker
	CancelBy      string    `json:"cancelBy,omitempty"` // caller or retirement that requested cancellation; empty: none

	Term         uint64       `json:"term,omitempty"`        // term of the scheduler that placed this generation
	Guaranteed   bool         `json:"guaranteed,omitempty"`  // placed under its organisation's guarantee
	Checkpointed time.Time    `json:"checkpointed,omitzero"` // time of the newest checkpoint of any run
	Avoid        []string     `json:"avoid,omitempty"`       // workers on which a run failed
	MovedTo      string       `json:"movedTo,omitempty"`     // failure domain whose ledger now holds the job
	Arrived      bool         `json:"arrived,omitempty"`     // the move to MovedTo is complete
	Moves        int          `json:"moves,omitempty"`       // moves between failure domains so far
	TraceParent  string       `json:"traceParent,omitempty"` // W3C trace context of the submission; empty: not traced
	History      []Transition `json:"history,omitempty"`     // at most MaxTransitions, oldest first
}

// SetState sets the record's state and reason and appends the transition to its
// history. It sets Ended when the state is terminal. It never writes to the old
// history's array, which copies of the record may share.
func (r *Record) SetState(state State, reason string, now time.Time) {
	r.State = state
	r.Reason = reason
	kept := r.History
	if len(kept) >= MaxTransitions {
		kept = kept[len(kept)-MaxTransitions+1:]
	}
	next := make([]Transition, 0, len(kept)+1)
	next = append(next, kept...)
	r.History = append(next, Transition{At: now, State: state, Reason: reason})
	if state.Terminal() {
		r.Ended = now
	}
}
