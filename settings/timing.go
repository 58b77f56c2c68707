package settings

import "time"

// Timing holds the intervals and time limits of one host.
type Timing struct {
	SchedulerLeaseMillis int `json:"schedulerLeaseMillis"`
	LedgerBatchMillis    int `json:"ledgerBatchMillis"`
	PeerTimeoutMillis    int `json:"peerTimeoutMillis"`
	DrainWaitSeconds     int `json:"drainWaitSeconds"`
	DrainTimeoutSeconds  int `json:"drainTimeoutSeconds"`
}

func millis(n int) time.Duration  { return time.Duration(n) * time.Millisecond }
func seconds(n int) time.Duration { return time.Duration(n) * time.Second }

// SchedulerLease is the length of the lease that makes a host the scheduler.
func (t Timing) SchedulerLease() time.Duration { return millis(t.SchedulerLeaseMillis) }

// LedgerBatch is how long changes of jobs are gathered into one write.
func (t Timing) LedgerBatch() time.Duration { return millis(t.LedgerBatchMillis) }

// PeerTimeout is the deadline of one call to another entry host.
func (t Timing) PeerTimeout() time.Duration { return millis(t.PeerTimeoutMillis) }

// DrainWait is how long a leaving host reports not ready before it stops listening.
func (t Timing) DrainWait() time.Duration { return seconds(t.DrainWaitSeconds) }

// DrainTimeout is the longest time that a leaving host gives requests to finish.
func (t Timing) DrainTimeout() time.Duration { return seconds(t.DrainTimeoutSeconds) }
