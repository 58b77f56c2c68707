package settings

import "time"

// Timing holds the intervals and time limits of one host.
type Timing struct {
	HeartbeatMillis        int `json:"heartbeatMillis"`
	HeartbeatTimeoutMillis int `json:"heartbeatTimeoutMillis"`
	HostListMillis         int `json:"hostListMillis"`
	ConfirmMillis          int `json:"confirmMillis"`
	PermitMillis           int `json:"permitMillis"`
	ReservationMillis      int `json:"reservationMillis"`
	SchedulerLeaseMillis   int `json:"schedulerLeaseMillis"`
	TaskLeaseMillis        int `json:"taskLeaseMillis"`
	TaskRenewMillis        int `json:"taskRenewMillis"`
	ScheduleMillis         int `json:"scheduleMillis"`
	LedgerBatchMillis      int `json:"ledgerBatchMillis"`
	PlatformTimeoutMillis  int `json:"platformTimeoutMillis"`
	PeerTimeoutMillis      int `json:"peerTimeoutMillis"`
	CheckpointGraceSeconds int `json:"checkpointGraceSeconds"`
	IdleConnectionSeconds  int `json:"idleConnectionSeconds"`
	DrainWaitSeconds       int `json:"drainWaitSeconds"`
	DrainTimeoutSeconds    int `json:"drainTimeoutSeconds"`
}

func millis(n int) time.Duration  { return time.Duration(n) * time.Millisecond }
func seconds(n int) time.Duration { return time.Duration(n) * time.Second }

// Heartbeat is the interval between heartbeats to peers and workers.
func (t Timing) Heartbeat() time.Duration { return millis(t.HeartbeatMillis) }

// HeartbeatTimeout is the silence after which a host counts as gone.
func (t Timing) HeartbeatTimeout() time.Duration { return millis(t.HeartbeatTimeoutMillis) }

// HostList is the interval between reads of the platform's host list.
func (t Timing) HostList() time.Duration { return millis(t.HostListMillis) }

// Confirm is the interval between reads that confirm the configuration's revision.
func (t Timing) Confirm() time.Duration { return millis(t.ConfirmMillis) }

// Permit is the greatest age of a confirmed configuration under which tasks may start.
func (t Timing) Permit() time.Duration { return millis(t.PermitMillis) }

// Reservation is how long a worker holds reserved accelerators before a start.
func (t Timing) Reservation() time.Duration { return millis(t.ReservationMillis) }

// SchedulerLease is the length of the lease that makes a host the scheduler.
func (t Timing) SchedulerLease() time.Duration { return millis(t.SchedulerLeaseMillis) }

// TaskLease is how long tasks run on without a renewal.
func (t Timing) TaskLease() time.Duration { return millis(t.TaskLeaseMillis) }

// TaskRenew is the interval between renewals of tasks' leases.
func (t Timing) TaskRenew() time.Duration { return millis(t.TaskRenewMillis) }

// Schedule is the longest time between two placement decisions.
func (t Timing) Schedule() time.Duration { return millis(t.ScheduleMillis) }

// LedgerBatch is how long changes of jobs are gathered into one write.
func (t Timing) LedgerBatch() time.Duration { return millis(t.LedgerBatchMillis) }

// PlatformTimeout is the deadline of one call to the platform.
func (t Timing) PlatformTimeout() time.Duration { return millis(t.PlatformTimeoutMillis) }

// PeerTimeout is the deadline of one call to another entry host.
func (t Timing) PeerTimeout() time.Duration { return millis(t.PeerTimeoutMillis) }

// CheckpointGrace is how long a task gets to save its work before it is stopped.
func (t Timing) CheckpointGrace() time.Duration { return seconds(t.CheckpointGraceSeconds) }

// IdleConnection is the age at which an idle connection to an upstream is closed.
func (t Timing) IdleConnection() time.Duration { return seconds(t.IdleConnectionSeconds) }

// DrainWait is how long a leaving host reports not ready before it stops listening.
func (t Timing) DrainWait() time.Duration { return seconds(t.DrainWaitSeconds) }

// DrainTimeout is the longest time that a leaving host gives requests to finish.
func (t Timing) DrainTimeout() time.Duration { return seconds(t.DrainTimeoutSeconds) }
