package gang

import (
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// Event is something that a run learns.
type Event interface{ event() }

// Recorded says that the ledger took the run's last record, or may not have.
// Superseded means that the ledger has the job in a state that this run can
// not lead to.
type Recorded struct {
	State      job.State
	OK         bool
	Superseded bool
}

// Reserved is a worker's answer to a reservation; Code is empty when none came.
type Reserved struct {
	Worker string
	Code   workerapi.Code
	Reason string
}

// Started is a worker's answer to a start. Sent is false when the message was
// never sent, because its permit was refused.
type Started struct {
	Worker string
	Sent   bool
	Code   workerapi.Code
	Reason string
}

// TasksListed is what a worker holds of the run's gang. Known is false when the
// worker did not answer.
type TasksListed struct {
	Worker   string
	Answered bool
	Tasks    []workerapi.Task
}

// WorkerLost says that a worker's tasks could not be renewed for a whole lease.
type WorkerLost struct {
	Worker string
	Reason string
}

// StopRequest asks the run to end by choice: checkpoint, grace, stop.
type StopRequest struct {
	NextState job.State // Queued to run again, or a terminal state
	Reason    string
	Grace     time.Duration // 0: stop without a checkpoint
}

// Checkpointed says that a worker saved its tasks' work, or did not.
type Checkpointed struct {
	Worker string
	OK     bool
}

// Stopped is a worker's answer to a stop; OK means that none of the gang's
// tasks runs there and none can start any more.
type Stopped struct {
	Worker string
	OK     bool
}

// Fenced says that every entry host has promised to renew the gang no more.
type Fenced struct{ OK bool }

// Tick says that time has passed.
type Tick struct{}

func (Recorded) event()     {}
func (Reserved) event()     {}
func (Started) event()      {}
func (TasksListed) event()  {}
func (WorkerLost) event()   {}
func (StopRequest) event()  {}
func (Checkpointed) event() {}
func (Stopped) event()      {}
func (Fenced) event()       {}
func (Tick) event()         {}

// Action is something that a run wants done.
type Action interface{ action() }

// RecordState asks for the run's state in the ledger.
type RecordState struct {
	State          job.State
	Reason         string
	Failed         bool     // the run ended in failure
	SuspectWorkers []string // workers on which tasks failed
	Checkpointed   bool     // every task saved its work
	FatalReason    string   // why the job itself is at fault; empty: it may run again
}

// Reserve asks for a reservation on a worker.
type Reserve struct {
	Worker string
	Tasks  []int
}

// Start asks to start reserved tasks, under a permit checked just before.
type Start struct {
	Worker string
	Tasks  []int
}

// ListTasks asks what a worker holds.
type ListTasks struct{ Worker string }

// Checkpoint asks a worker to save the work of the gang's tasks.
type Checkpoint struct {
	Worker string
	Grace  time.Duration
}

// Stop asks a worker to end the gang's tasks and reservations for good.
type Stop struct {
	Worker string
	Reason string
}

// Fence asks every entry host to renew the gang no more.
type Fence struct{}

func (RecordState) action() {}
func (Reserve) action()     {}
func (Start) action()       {}
func (ListTasks) action()   {}
func (Checkpoint) action()  {}
func (Stop) action()        {}
func (Fence) action()       {}
