package gang

import (
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement"
)

const (
	minRetryDelay = time.Second // longer than a reservation that was left behind
	maxRetryDelay = 30 * time.Second
)

// startRetry delays a job whose start failed before its gang was whole, so that a
// worker which refuses or is silent does not cost a write each cycle.
type startRetry struct {
	delay time.Duration
	at    time.Time
}

func (s *Scheduler) delayStart(key string, now time.Time) {
	delay := min(max(2*s.retries[key].delay, minRetryDelay), maxRetryDelay)
	s.retries[key] = startRetry{delay: delay, at: now.Add(delay)}
}

// isStartable tells whether a queued job may be decided upon now.
func (s *Scheduler) isStartable(now time.Time, key string, rec job.Record) bool {
	return rec.State == job.Queued && rec.CancelBy == "" && s.runs[key] == nil && !now.Before(s.retries[key].at)
}

// retryWaits explains the jobs that wait for their next try, forgets those that
// are gone, and wakes the loop for the first of them.
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
