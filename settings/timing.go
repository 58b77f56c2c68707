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

// SchedulerLease is the duration of the lease under which a host is its failure
// domain's scheduler.
func (t Timing) SchedulerLease() time.Duration { return millis(t.SchedulerLeaseMillis) }

// LedgerBatch is how long changes to jobs are batched into one write.
func (t Timing) LedgerBatch() time.Duration { return millis(t.LedgerBatchMillis) }

// PeerTimeout is the timeout of one call to another entry host.
func (t Timing) PeerTimeout() time.Duration { return millis(t.PeerTimeoutMillis) }

// DrainWait is how long a host that shuts down reports not ready before it closes
// its listeners.
func (t Timing) DrainWait() time.Duration { return seconds(t.DrainWaitSeconds) }

// DrainTimeout is how long a host that shuts down waits for open requests to
// finish.
func (t Timing) DrainTimeout() time.Duration { return seconds(t.DrainTimeoutSeconds) }
