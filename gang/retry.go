package gang

import (
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement"
)

const (
	minRetryDelay = time.Second // enough for reservations left by the failed start to expire
	maxRetryDelay = 30 * time.Second
)

// startRetry is the backoff of a job whose last start failed before all of the
// gang's tasks ran. Without it, a worker that refuses or does not answer would
// cost a ledger write each cycle.
type startRetry struct {
	delay time.Duration
	at    time.Time // earliest time of the next start
}

// delayStart doubles the job's backoff, between minRetryDelay and maxRetryDelay.
func (s *Scheduler) delayStart(key string, now time.Time) {
	delay := min(max(2*s.retries[key].delay, minRetryDelay), maxRetryDelay)
	s.retries[key] = startRetry{delay: delay, at: now.Add(delay)}
}

// isStartable reports whether the job may be started now: it is queued, not
// cancelled, without a run, and past its backoff.
func (s *Scheduler) isStartable(now time.Time, key string, rec job.Record) bool {
	return rec.State == job.Queued && rec.CancelBy == "" && s.runs[key] == nil && !now.Before(s.retries[key].at)
}

// retryWaits returns the wait reasons of the jobs in backoff, drops the backoff of
// jobs that ended or moved, and schedules a cycle for the first retry.
func (s *Scheduler) retryWaits(now time.Time, records map[string]job.Record) []placement.Hold {
	var out []placement.Hold
	for _, key := range sortedKeys(s.retries) {
		rec, found := records[key]
		if !found || rec.State.Terminal() || rec.State == job.Moved {
			delete(s.retries, key)
			continue
		}
		at := s.retries[key].at
		if rec.State == job.Queued && now.Before(at) {
			out = append(out, placement.Hold{ID: rec.Spec.ID, Reason: "its last start failed and is tried again shortly: " + rec.Reason})
			s.wakeAt = earlierTime(s.wakeAt, at)
		}
	}
	return out
}
