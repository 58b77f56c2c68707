// Package workerapi holds the messages between entry hosts and the platform's
// workers: HTTP POSTs of JSON. A worker refuses any message under a term older
// than the newest it has seen, and stops every task whose lease lapses.
package workerapi

import "time"

// Paths of the worker's HTTP interface.
const (
	PathReserve    = "/v1/reserve"    // ReserveRequest -> ReserveReply
	PathRelease    = "/v1/release"    // GangRequest -> Reply
	PathStart      = "/v1/start"      // StartRequest -> Reply
	PathRenew      = "/v1/renew"      // RenewRequest -> RenewReply
	PathCheckpoint = "/v1/checkpoint" // GangRequest -> Reply
	PathStop       = "/v1/stop"       // GangRequest -> Reply
	PathTasks      = "/v1/tasks"      // GET -> TasksReply
)

// Gang names one run of a job: a later generation is a later run.
type Gang struct {
	Job        string `json:"job"` // job.ID as a string
	Generation uint64 `json:"generation"`
}

// Code is a worker's verdict on a message.
type Code string

// The verdicts.
const (
	OK            Code = "ok"
	StaleTerm     Code = "stale-term"
	NoCapacity    Code = "no-capacity"
	NoReservation Code = "no-reservation"
	UnknownGang   Code = "unknown-gang"
	Refused       Code = "refused"
)

// ReserveRequest holds accelerators for tasks of a gang for a short time.
type ReserveRequest struct {
	Term                uint64        `json:"term"`
	Gang                Gang          `json:"gang"`
	Tasks               []int         `json:"tasks"` // task indices
	AcceleratorsPerTask int           `json:"acceleratorsPerTask"`
	TTL                 time.Duration `json:"holdNanos"` // from arrival at the worker
}

// ReserveReply answers a reservation.
type ReserveReply struct {
	Code   Code   `json:"code"`
	Reason string `json:"reason,omitempty"`
}

// StartRequest starts the reserved tasks of a gang under a lease.
type StartRequest struct {
	Term            uint64        `json:"term"`
	Gang            Gang          `json:"gang"`
	Tasks           []int         `json:"tasks"`
	Size            int           `json:"size"` // number of tasks in the whole gang
	Service         string        `json:"service"`
	Template        string        `json:"template"`
	WorkerAddresses []string      `json:"gangmates"` // worker addresses, one a task, for the tasks to find each other
	Lease           time.Duration `json:"leaseNanos"`
}

// GangRequest releases, checkpoints or stops a gang's tasks on a worker.
type GangRequest struct {
	Term   uint64        `json:"term"`
	Gang   Gang          `json:"gang"`
	Grace  time.Duration `json:"graceNanos,omitempty"` // for a checkpoint before a stop
	Reason string        `json:"reason,omitempty"`
}

// Reply is a worker's plain answer.
type Reply struct {
	Code   Code   `json:"code"`
	Reason string `json:"reason,omitempty"`
}

// RenewRequest extends the leases of gangs' tasks on a worker. It needs no
// term: it only keeps running what runs. Lease 0 asks which gangs run without
// extending anything.
type RenewRequest struct {
	Gangs []Gang        `json:"gangs"`
	Lease time.Duration `json:"leaseNanos"`
}

// RenewReply lists the gangs that were not renewed, since none of their tasks
// runs or some failed or were stopped, and the tasks of theirs that the worker
// remembers.
type RenewReply struct {
	Missing []Gang `json:"missing,omitempty"`
	Ended   []Task `json:"ended,omitempty"`
}

// TaskState is a task's stage of life on its worker.
type TaskState string

// The states of a task.
const (
	TaskReserved TaskState = "reserved"
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// Task is one task as its worker reports it.
type Task struct {
	Gang         Gang      `json:"gang"`
	Index        int       `json:"index"`
	GangTasks    int       `json:"gangTasks"` // number of tasks in the whole gang
	Accelerators int       `json:"accelerators"`
	State        TaskState `json:"state"`
	Reason       string    `json:"reason,omitempty"`
	Checkpointed time.Time `json:"checkpointed,omitzero"`
}

// TasksReply lists what a worker holds. Ended tasks are listed for a while, so
// that a scheduler that was away learns how they ended.
type TasksReply struct {
	Worker       string `json:"worker"`
	Incarnation  string `json:"incarnation"` // changes when the worker restarts
	Term         uint64 `json:"term"`        // newest term seen
	Accelerators int    `json:"accelerators"`
	Tasks        []Task `json:"tasks"`
}
