package gang

import (
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// Event is an input of a run: a reply to one of its actions, a request to stop
// or the passing of time.
type Event interface{ event() }

// Recorded is the result of a RecordState. When OK is false, the ledger may or
// may not hold the state. Superseded means that the ledger has the job in a
// state that this run cannot lead to.
type Recorded struct {
	State      job.State
	OK         bool
	Superseded bool
}

// Reserved is a worker's reply to a Reserve; Code is empty when none came.
type Reserved struct {
	Worker string
	Code   workerapi.Code
	Reason string
}

// Started is a worker's reply to a Start. Sent is false when the request was
// never sent, because its permit was refused. Code is empty when no reply
// came.
type Started struct {
	Worker string
	Sent   bool
	Code   workerapi.Code
	Reason string
}

// TasksListed lists a worker's tasks; those of other gangs are ignored. Answered
// is false when the worker did not answer.
type TasksListed struct {
	Worker   string
	Answered bool
	Tasks    []workerapi.Task
}

// WorkerLost reports that a worker confirmed no renewal of the gang for a whole
// lease.
type WorkerLost struct {
	Worker string
	Reason string
}

// StopRequest asks the run to stop its gang: to checkpoint it within Grace, then
// to stop it.
type StopRequest struct {
	NextState job.State // state of the job afterwards: Queued to run again, or a terminal state
	Reason    string
	Grace     time.Duration // 0: stop without a checkpoint
}

// Checkpointed reports whether a worker checkpointed its tasks.
type Checkpointed struct {
	Worker string
	OK     bool
}

// Stopped is a worker's reply to a Stop; OK means that none of the gang's tasks
// runs there and none can start any more.
type Stopped struct {
	Worker string
	OK     bool
}

// Fenced is the result of a Fence. OK means that every entry host has confirmed
// that it will not renew the gang's leases again.
type Fenced struct{ OK bool }

// Tick makes the run check its timeouts and retries.
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

// Action is an output of a run: I/O that the scheduler does for it.
type Action interface{ action() }

// RecordState writes the run's state to the ledger.
type RecordState struct {
	State          job.State
	Reason         string
	Failed         bool     // a task failed
	SuspectWorkers []string // workers on which tasks failed
	Checkpointed   bool     // every worker checkpointed its tasks
	FatalReason    string   // why the job itself fails for good; empty: it may run again
}

// Reserve reserves accelerators on a worker.
type Reserve struct {
	Worker string
	Tasks  []int
}

// Start starts reserved tasks. The permit is checked immediately before the
// request is sent.
type Start struct {
	Worker string
	Tasks  []int
}

// ListTasks lists a worker's tasks.
type ListTasks struct{ Worker string }

// Checkpoint checkpoints the gang's tasks on a worker.
type Checkpoint struct {
	Worker string
	Grace  time.Duration
}

// Stop permanently ends the gang's tasks and reservations on a worker.
type Stop struct {
	Worker string
	Reason string
}

// Fence makes every entry host stop renewing the gang's leases for good.
type Fence struct{}

func (RecordState) action() {}
func (Reserve) action()     {}
func (Start) action()       {}
func (ListTasks) action()   {}
func (Checkpoint) action()  {}
func (Stop) action()        {}
func (Fence) action()       {}
