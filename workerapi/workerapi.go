// Package workerapi defines the messages that entry hosts send to the
// platform's workers: JSON over HTTP POST, and one GET that lists tasks. It
// holds no state. Package gang is the client. A worker rejects a message whose
// term is older than the newest term it has seen, and stops every task whose
// lease expires.
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

// Gang identifies one run of a job. Each new run has a higher generation.
type Gang struct {
	Job        string `json:"job"` // job.ID as a string
	Generation uint64 `json:"generation"`
}

// Code is the result code of a worker's reply.
type Code string

// Result codes.
const (
	OK            Code = "ok"
	StaleTerm     Code = "stale-term"     // the worker has seen a newer term
	NoCapacity    Code = "no-capacity"    // too few free accelerators
	NoReservation Code = "no-reservation" // none was made, or it has expired
	UnknownGang   Code = "unknown-gang"   // the worker has no tasks of the gang
	Refused       Code = "refused"        // the reservation was refused for another reason
)

// ReserveRequest reserves accelerators for tasks of a gang until TTL has passed.
type ReserveRequest struct {
	Term                uint64        `json:"term"`
	Gang                Gang          `json:"gang"`
	Tasks               []int         `json:"tasks"` // task indices
	AcceleratorsPerTask int           `json:"acceleratorsPerTask"`
	TTL                 time.Duration `json:"holdNanos"` // counted from the request's arrival at the worker
}

// ReserveReply is the worker's reply to a ReserveRequest.
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
	WorkerAddresses []string      `json:"gangmates"` // address of each task's worker, by which the tasks find each other
	Lease           time.Duration `json:"leaseNanos"`
}

// GangRequest releases, checkpoints or stops a gang's tasks on a worker.
type GangRequest struct {
	Term   uint64        `json:"term"`
	Gang   Gang          `json:"gang"`
	Grace  time.Duration `json:"graceNanos,omitempty"` // longest time for a checkpoint before a stop
	Reason string        `json:"reason,omitempty"`     // why the gang is stopped
}

// Reply is a worker's reply that carries no data besides the result code.
type Reply struct {
	Code   Code   `json:"code"`
	Reason string `json:"reason,omitempty"`
}

// RenewRequest extends the leases of gangs' tasks on a worker. It carries no
// term, since it can only keep running tasks running. Lease 0 is a probe: it
// asks which gangs run and extends no lease.
type RenewRequest struct {
	Gangs []Gang        `json:"gangs"`
	Lease time.Duration `json:"leaseNanos"`
}

// RenewReply lists in Missing the gangs whose leases were not renewed, because
// none of their tasks runs or some failed or were stopped. Ended lists those
// tasks of these gangs that the worker still has a record of.
type RenewReply struct {
	Missing []Gang `json:"missing,omitempty"`
	Ended   []Task `json:"ended,omitempty"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// Task states.
const (
	TaskReserved TaskState = "reserved"
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// Task describes one task as reported by its worker.
type Task struct {
	Gang         Gang      `json:"gang"`
	Index        int       `json:"index"`
	GangTasks    int       `json:"gangTasks"` // number of tasks in the whole gang
	Accelerators int       `json:"accelerators"`
	State        TaskState `json:"state"`
	Reason       string    `json:"reason,omitempty"`
	Checkpointed time.Time `json:"checkpointed,omitzero"`
}

// TasksReply lists a worker's reservations and tasks. Ended tasks stay listed
// for a while, so that a scheduler which was unavailable when they ended can
// still read their outcome.
type TasksReply struct {
	Worker       string `json:"worker"`
	Incarnation  string `json:"incarnation"` // changes when the worker restarts
	Term         uint64 `json:"term"`        // newest term that the worker has seen
	Accelerators int    `json:"accelerators"`
	Tasks        []Task `json:"tasks"`
}
