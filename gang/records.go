package gang

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/job"
)

const (
	// recordWriteTimeout limits one write of a job's record to the ledger.
	recordWriteTimeout = 4 * time.Second
	// defaultMaxFailures applies when the job template sets no maximum.
	defaultMaxFailures = 3
)

// errSuperseded means that the ledger has the job at another generation or in
// a state that cannot change to the requested one.
var errSuperseded = errors.New("gang: run is superseded by the job's record in the ledger")

// writeState writes the run's state to the ledger.
func (c actionCall) writeState(ctx context.Context, a RecordState) Recorded {
	ctx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	rec := c.record
	now := c.s.o.Now()
	failureLimit := maxFailures(c.s.o.Config, rec.Spec)
	_, err := c.s.o.Ledger.Update(ctx, c.gang.Job, func(old job.Record, found bool) (job.Record, bool, error) {
		next, err := transition(old, found, rec, a, failureLimit, now)
		return next, found, err
	})
	return Recorded{State: a.State, OK: err == nil, Superseded: errors.Is(err, errSuperseded)}
}

func maxFailures(source config.Source, spec job.Spec) int {
	snap, _ := source.Current()
	for _, t := range snap.Services[spec.ID.Service].Jobs {
		if t.Name == spec.Template && t.MaxFailures > 0 {
			return t.MaxFailures
		}
	}
	return defaultMaxFailures
}

// transition returns the record after a run's change of state. old is the ledger's
// record, rec the run's; a job that has failed failureLimit times ends instead of
// being queued again. transition is idempotent, since a write whose reply was lost
// is repeated: it returns old when old already has the state, or when the job was
// to be queued and old has ended.
func transition(old job.Record, found bool, rec job.Record, a RecordState, failureLimit int, now time.Time) (job.Record, error) {
	if !found {
		return old, errSuperseded
	}
	if a.State == job.Placed {
		return placedRecord(old, rec, now)
	}
	if old.Generation != rec.Generation {
		return old, errSuperseded
	}
	if old.State == a.State || (a.State == job.Queued && old.State.Terminal()) {
		return old, nil
	}
	if !isLive(old.State) {
		return old, errSuperseded
	}
	next := old
	switch {
	case a.State == job.Running:
		if old.State == job.Stopping {
			return old, errSuperseded
		}
		next.Started = now
		next.SetState(job.Running, a.Reason, now)
	case a.State == job.Stopping:
		next.SetState(job.Stopping, a.Reason, now)
	case a.State == job.Queued:
		requeueRecord(&next, a, failureLimit, now)
	default:
		next.SetState(a.State, a.Reason, now)
	}
	return next, nil
}

func placedRecord(old, rec job.Record, now time.Time) (job.Record, error) {
	if old.State == job.Placed && old.Generation == rec.Generation && old.Term == rec.Term {
		return old, nil
	}
	if old.State != job.Queued || old.Generation+1 != rec.Generation || old.CancelBy != "" {
		return old, errSuperseded
	}
	next := old
	next.Generation, next.Workers = rec.Generation, rec.Workers
	next.Guaranteed, next.Term = rec.Guaranteed, rec.Term
	next.Started = time.Time{}
	next.SetState(job.Placed, "", now)
	return next, nil
}

// requeueRecord puts a job back in the queue. It ends the job instead when it was
// cancelled, failed for good or failed too often.
func requeueRecord(next *job.Record, a RecordState, failureLimit int, now time.Time) {
	if a.Failed {
		next.Failures++
		next.Avoid = append(append([]string(nil), next.Avoid...), a.SuspectWorkers...)
	}
	if a.Checkpointed {
		next.Checkpointed = now
	}
	next.Workers = nil
	next.Started = time.Time{}
	switch {
	case next.CancelBy != "":
		next.SetState(job.Cancelled, "cancelled by "+next.CancelBy, now)
	case a.FatalReason != "":
		next.SetState(job.Failed, a.FatalReason, now)
	case a.Failed && next.Failures >= failureLimit:
		next.SetState(job.Failed, "it failed too often; last: "+a.Reason, now)
	default:
		next.SetState(job.Queued, a.Reason, now)
	}
}

// endQueued writes the end of a queued job to the ledger.
func (s *Scheduler) endQueued(ctx context.Context, key string, state job.State, reason string) {
	if !s.beginEndWrite(key) {
		return
	}
	now := s.o.Now()
	s.ioCalls.Go(func() {
		defer s.finishEndWrite(key)
		ctx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
		defer cancel()
		_, err := s.o.Ledger.Update(ctx, key, func(old job.Record, found bool) (job.Record, bool, error) {
			if !found || old.State != job.Queued {
				return old, found, nil
			}
			old.SetState(state, reason, now)
			return old, true, nil
		})
		if err != nil {
			s.o.Logger.Warn("could not record the end of a queued job; retrying", "job", key, "err", err.Error())
		}
	})
}

// beginEndWrite reports whether the job's end may be written, and prevents
// concurrent writes of it until finishEndWrite.
func (s *Scheduler) beginEndWrite(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endWrites[key] {
		return false
	}
	s.endWrites[key] = true
	return true
}

// finishEndWrite allows the job's end to be written again.
func (s *Scheduler) finishEndWrite(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.endWrites, key)
}
