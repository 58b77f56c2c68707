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

// learnt tells what was learned since the estimates were last kept.
type learnt struct {
	read    chan json.RawMessage // what an earlier scheduler kept
	changed bool
	saved   time.Time
}

func newLearnt() learnt { return learnt{read: make(chan json.RawMessage, 1)} }

// learn takes a run's outcome into the estimates, the quarantine and the
// counters, once a run.
func (s *Scheduler) learn(t *tracked, r RecordState) {
	now := s.o.Now()
	spec := t.record.Spec
	if r.State == job.Running && t.record.Started.IsZero() {
		s.meters.whole.Inc()
		t.record.Started = now
		delete(s.retries, t.run.Gang.Job)
	}
	if t.ended || !(r.State == job.Queued || r.State.Terminal()) {
		return
	}
	t.ended = true
	switch {
	case r.State == job.Finished:
		s.quarantine.Succeeded(t.run.Workers, spec.ID, spec.Template)
		if !t.record.Started.IsZero() {
			s.estimates.Observe(spec.ID.Service, spec.Template, spec.DeclaredRun, now.Sub(t.record.Started))
			s.learnt.changed = true
		}
	case r.Failed:
		s.meters.broken.Inc()
		s.blame(t, r.SuspectWorkers, now)
	case r.State == job.Queued:
		s.meters.broken.Inc()
		if t.record.Started.IsZero() && t.record.Term == s.term {
			s.delayRetry(t.run.Gang.Job, now)
		}
	default:
		s.quarantine.Forget(spec.ID)
	}
}

// blame counts a failure against its worker or, when the job failed on several
// workers, against the job.
func (s *Scheduler) blame(t *tracked, suspects []string, now time.Time) {
	fleet := len(s.o.Membership.View().Workers(s.o.FailureDomain))
	spec := t.record.Spec
	for _, worker := range suspects {
		if fatal, reason := s.quarantine.Failed(worker, spec.ID, spec.Template, fleet, now); fatal {
			t.fatal = reason
			s.quarantine.Forget(spec.ID)
			return
		}
	}
}

func (s *Scheduler) learntKey() string { return "estimates/" + s.o.FailureDomain }

// loadLearnt reads what an earlier scheduler kept, beside the loop.
func (s *Scheduler) loadLearnt() {
	s.learnt.saved = s.o.Now()
	if s.o.Notes == nil {
		return
	}
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), estimatesIOTimeout)
		defer cancel()
		note, found, err := s.o.Notes.Read(ctx, s.learntKey())
		if err != nil || !found {
			return
		}
		select {
		case s.learnt.read <- note:
		default:
		}
	})
}

func (s *Scheduler) adoptLearnt(note json.RawMessage) {
	next := placement.NewEstimates()
	if err := json.Unmarshal(note, next); err != nil {
		s.o.Logger.Warn("kept run times are unreadable; learning anew", "err", err.Error())
		return
	}
	s.estimates = next
}

// saveLearnt keeps the estimates now and then, beside the loop.
func (s *Scheduler) saveLearnt(now time.Time) {
	if s.o.Notes == nil || !s.learnt.changed || now.Sub(s.learnt.saved) < estimatesSaveInterval {
		return
	}
	note, err := json.Marshal(s.estimates)
	if err != nil {
		return
	}
	s.learnt.changed, s.learnt.saved = false, now
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), estimatesIOTimeout)
		defer cancel()
		_, err := s.o.Notes.Update(ctx, s.learntKey(), func(json.RawMessage, bool) (json.RawMessage, bool, error) {
			return note, true, nil
		})
		if err != nil {
			s.o.Logger.Warn("learned run times were not kept", "err", err.Error())
		}
	})
}
