package gang

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement"
)

const (
	estimatesSaveInterval = 10 * time.Minute
	estimatesIOTimeout    = 10 * time.Second
)

// estimatesState tracks the loading and saving of the run time estimates.
type estimatesState struct {
	loaded  chan json.RawMessage // estimates saved by an earlier scheduler
	changed bool                 // since the last save
	savedAt time.Time
}

func newEstimatesState() estimatesState { return estimatesState{loaded: make(chan json.RawMessage, 1)} }

// countOutcome updates the estimates, the quarantine and the counters with a
// run's start and with its outcome, each once per run.
func (s *Scheduler) countOutcome(t *trackedRun, r RecordState) {
	now := s.o.Now()
	spec := t.record.Spec
	if r.State == job.Running && t.record.Started.IsZero() {
		s.metrics.gangsStarted.Inc()
		t.record.Started = now
		delete(s.retries, t.run.Gang.Job)
	}
	if t.outcomeCounted || !(r.State == job.Queued || r.State.Terminal()) {
		return
	}
	t.outcomeCounted = true
	switch {
	case r.State == job.Finished:
		s.quarantine.RecordSuccess(t.run.Workers, spec.ID, spec.Template)
		if !t.record.Started.IsZero() {
			s.estimates.Observe(spec.ID.Service, spec.Template, spec.DeclaredRun, now.Sub(t.record.Started))
			s.estimatesState.changed = true
		}
	case r.Failed:
		s.metrics.gangsBroken.Inc()
		s.attributeFailure(t, r.SuspectWorkers, now)
	case r.State == job.Queued:
		s.metrics.gangsBroken.Inc()
		if t.record.Started.IsZero() && t.record.Term == s.term {
			s.delayStart(t.run.Gang.Job, now)
		}
	default:
		s.quarantine.ForgetJob(spec.ID)
	}
}

// attributeFailure counts a failure against its worker or, when the job failed
// on several workers, against the job.
func (s *Scheduler) attributeFailure(t *trackedRun, suspects []string, now time.Time) {
	totalWorkers := len(s.o.Membership.View().Workers(s.o.FailureDomain))
	spec := t.record.Spec
	for _, worker := range suspects {
		if fatal, reason := s.quarantine.RecordFailure(worker, spec.ID, spec.Template, totalWorkers, now); fatal {
			t.fatalReason = reason
			s.quarantine.ForgetJob(spec.ID)
			return
		}
	}
}

func (s *Scheduler) estimatesKey() string { return "estimates/" + s.o.FailureDomain }

// loadEstimates reads the estimates that an earlier scheduler saved, without
// blocking the loop.
func (s *Scheduler) loadEstimates() {
	s.estimatesState.savedAt = s.o.Now()
	if s.o.Notes == nil {
		return
	}
	s.ioCalls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), estimatesIOTimeout)
		defer cancel()
		saved, found, err := s.o.Notes.Read(ctx, s.estimatesKey())
		if err != nil || !found {
			return
		}
		select {
		case s.estimatesState.loaded <- saved:
		default:
		}
	})
}

func (s *Scheduler) replaceEstimates(saved json.RawMessage) {
	next := placement.NewEstimates()
	if err := json.Unmarshal(saved, next); err != nil {
		s.o.Logger.Warn("saved run time estimates are unreadable; ignoring them", "err", err.Error())
		return
	}
	s.estimates = next
}

// saveEstimates saves changed estimates at most once per estimatesSaveInterval,
// without blocking the loop.
func (s *Scheduler) saveEstimates(now time.Time) {
	if s.o.Notes == nil || !s.estimatesState.changed || now.Sub(s.estimatesState.savedAt) < estimatesSaveInterval {
		return
	}
	encoded, err := json.Marshal(s.estimates)
	if err != nil {
		return
	}
	s.estimatesState.changed, s.estimatesState.savedAt = false, now
	s.ioCalls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), estimatesIOTimeout)
		defer cancel()
		_, err := s.o.Notes.Update(ctx, s.estimatesKey(), func(json.RawMessage, bool) (json.RawMessage, bool, error) {
			return encoded, true, nil
		})
		if err != nil {
			s.o.Logger.Warn("could not save run time estimates", "err", err.Error())
		}
	})
}
