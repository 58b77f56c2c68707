package gang

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// Cycle runs one scheduling cycle: it takes over or drops the term, reconciles
// the runs with the ledger, stops runs that must end, and starts queued jobs.
// Only loop, or a test that runs no loop, calls it.
func (s *Scheduler) Cycle(ctx context.Context) {
	began := time.Now()
	defer func() { s.metrics.cycleSeconds.Update(time.Since(began).Seconds()) }()
	now := s.o.Now()
	s.wakeAt = time.Time{}
	if !s.syncTerm(now) {
		return
	}
	records, _, complete := s.o.Ledger.Snapshot()
	if !complete {
		return
	}
	snap, _ := s.o.Config.Current()
	s.adoptRuns(ctx, now, records)
	s.applyObservations(ctx)
	s.tickRuns(ctx)
	s.applyStopRequests(ctx, now, records, snap)
	s.decidePlacement(ctx, now, records, snap)
	s.pruneObservations(records)
	s.saveEstimates(now)
}

// syncTerm drops all runs when the election's term differs from the one that
// they were started or adopted under. It reports whether this host holds a term.
func (s *Scheduler) syncTerm(now time.Time) bool {
	term, until, held := s.o.Election.Term()
	held = held && now.Before(until)
	if held && term == s.term {
		return true
	}
	s.runs = make(map[string]*trackedRun)
	s.term = 0
	if !held {
		return false
	}
	s.term = term
	s.loadEstimates()
	s.o.Logger.Info("took over scheduling of the failure domain", "failureDomain", s.o.FailureDomain, "term", term)
	return true
}

// adoptRuns drops runs that the ledger shows to be obsolete, and adopts jobs
// that the ledger lists as live and for which there is no run here.
func (s *Scheduler) adoptRuns(ctx context.Context, now time.Time, records map[string]job.Record) {
	for _, key := range sortedKeys(records) {
		rec := records[key]
		if t := s.runs[key]; t != nil && t.run.isObsolete(rec) {
			delete(s.runs, key)
		}
		if !isLive(rec.State) || s.runs[key] != nil {
			continue
		}
		g := workerapi.Gang{Job: key, Generation: rec.Generation}
		run, actions := adoptRecorded(g, rec, now)
		t := &trackedRun{run: run, record: rec}
		s.runs[key] = t
		s.metrics.gangsAdopted.Inc()
		s.executeActions(ctx, t, actions)
	}
}

// applyObservations passes the stored observations of renewals to their runs.
// Applying an observation again has no further effect.
func (s *Scheduler) applyObservations(ctx context.Context) {
	s.mu.Lock()
	var observations []Observation
	for _, t := range s.runs {
		seen := s.observations[t.run.Gang]
		for _, w := range sortedKeys(seen) {
			observations = append(observations, seen[w])
		}
	}
	s.mu.Unlock()
	for _, o := range observations {
		if t := s.runs[o.Gang.Job]; t != nil && t.run.Gang == o.Gang {
			s.stepRun(ctx, t, o.event())
		}
	}
}

// event converts the observation to the event that a run handles.
func (o Observation) event() Event {
	if o.Unreachable {
		return WorkerLost{Worker: o.Worker, Reason: "worker " + o.Worker + " answered no renewal for a whole lease"}
	}
	return TasksListed{Worker: o.Worker, Answered: true, Tasks: o.Tasks}
}

// adoptRecorded returns a run for a job that the ledger lists as live, and the
// run's first actions. A stop that the ledger has recorded is continued.
func adoptRecorded(g workerapi.Gang, rec job.Record, now time.Time) (*Run, []Action) {
	if rec.State != job.Stopping {
		return AdoptRun(g, rec.Workers, now)
	}
	request := StopRequest{NextState: job.Queued, Reason: rec.Reason}
	if rec.CancelBy != "" {
		request.NextState = job.Cancelled
	}
	return ResumeStop(g, rec.Workers, request, now)
}

// isLive reports whether a job in the state has a gang that was placed and has not
// ended.
func isLive(s job.State) bool { return s == job.Placed || s == job.Running || s == job.Stopping }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func (s *Scheduler) tickRuns(ctx context.Context) {
	for _, key := range sortedKeys(s.runs) {
		if t := s.runs[key]; t != nil {
			s.stepRun(ctx, t, Tick{})
		}
	}
}

// applyStopRequests stops the jobs that callers cancelled, whose service was
// retired, or whose failure domain was taken out of service.
func (s *Scheduler) applyStopRequests(ctx context.Context, now time.Time, records map[string]job.Record, snap *config.Snapshot) {
	for _, key := range sortedKeys(records) {
		rec := records[key]
		if rec.State.Terminal() || rec.State == job.Moved {
			continue
		}
		next, reason, mustStop := s.stopReason(rec, snap)
		if !mustStop {
			continue
		}
		if t := s.runs[key]; t != nil {
			s.stepRun(ctx, t, StopRequest{NextState: next, Reason: reason, Grace: checkpointGrace(rec)})
			continue
		}
		if rec.State == job.Queued && next != job.Queued {
			s.endQueued(ctx, key, next, reason)
		}
	}
}

// stopReason reports whether a job must stop, why, and which state it then
// enters. Only an explicit retirement stops a service's jobs; a service that is
// merely missing from the configuration that was read does not.
func (s *Scheduler) stopReason(rec job.Record, snap *config.Snapshot) (next job.State, reason string, ok bool) {
	if rec.CancelBy != "" {
		return job.Cancelled, "cancelled by " + rec.CancelBy, true
	}
	if revision, retired := snap.Retired[rec.Spec.ID.Service]; retired {
		reason := fmt.Sprintf("service %s was retired at revision %d", rec.Spec.ID.Service, revision)
		return job.Cancelled, reason, true
	}
	if d, known := snap.FailureDomains[s.o.FailureDomain]; known && d.Out {
		return job.Queued, "the failure domain was taken out of service", true
	}
	return "", "", false
}

func checkpointGrace(rec job.Record) time.Duration {
	if !rec.Spec.Checkpoint || rec.CancelBy != "" {
		return 0
	}
	return CheckpointGrace
}

// decidePlacement starts and reclaims gangs as Options.Decide plans, provided
// that starts are permitted.
func (s *Scheduler) decidePlacement(ctx context.Context, now time.Time, records map[string]job.Record, snap *config.Snapshot) {
	if err := s.permit.Check(now, s.term); err != nil {
		s.metrics.permitsRefused.Inc()
		s.setWaitReasons(records, nil, err.Error())
		return
	}
	plan := s.o.Decide(s.placementView(now, records, snap))
	s.wakeAt = earlierTime(plan.DecideAgainAt, s.quarantine.NextEnd(now))
	s.setWaitReasons(records, append(plan.Holds, s.retryWaits(now, records)...), "waiting for the next decision")
	s.setDeficits(plan.Deficits)
	for _, r := range plan.Reclaims {
		s.reclaimRun(ctx, r)
	}
	for _, start := range plan.Starts {
		s.placeRun(ctx, now, start, records[start.ID.String()])
	}
}

// earlierTime returns the earlier of two times; the zero time means never.
func earlierTime(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (s *Scheduler) reclaimRun(ctx context.Context, r placement.Reclaim) {
	t := s.runs[r.ID.String()]
	if t == nil {
		return
	}
	s.stepRun(ctx, t, StopRequest{NextState: job.Queued, Reason: r.Reason, Grace: checkpointGrace(t.record)})
}

func (s *Scheduler) placeRun(ctx context.Context, now time.Time, start placement.Start, rec job.Record) {
	key := start.ID.String()
	if rec.State != job.Queued || s.runs[key] != nil || len(start.Workers) != rec.Spec.Shape.Tasks {
		return
	}
	rec.Generation++
	rec.Workers = start.Workers
	rec.Guaranteed = start.Guaranteed
	rec.Term = s.term
	run, actions := NewRun(workerapi.Gang{Job: key, Generation: rec.Generation}, start.Workers, now)
	t := &trackedRun{run: run, record: rec}
	s.runs[key] = t
	s.metrics.gangsPlaced.Inc()
	s.executeActions(ctx, t, actions)
}

// setWaitReasons replaces the wait reasons of the queued jobs. Jobs that waits does
// not list get the reason otherwise.
func (s *Scheduler) setWaitReasons(records map[string]job.Record, waits []placement.Hold, otherwise string) {
	next := make(map[string]string, len(waits))
	for key, rec := range records {
		if rec.State == job.Queued {
			next[key] = otherwise
		}
	}
	for _, h := range waits {
		next[h.ID.String()] = h.Reason
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitReasons = next
}

// setDeficits replaces the deficits. It logs each new one, and the end of the last.
func (s *Scheduler) setDeficits(deficits []placement.Deficit) {
	s.mu.Lock()
	before := s.deficits
	s.deficits = deficits
	s.mu.Unlock()
	for _, d := range deficits {
		if !slices.Contains(before, d) {
			s.o.Logger.Warn("a guarantee can not be backed", "organisation", d.Organisation, "missing", d.Missing, "reason", d.Reason)
		}
	}
	if len(before) > 0 && len(deficits) == 0 {
		s.o.Logger.Info("all guarantees are backed again")
	}
}

// pruneObservations drops the observations of gangs that the ledger no longer
// lists as live.
func (s *Scheduler) pruneObservations(records map[string]job.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for g := range s.observations {
		rec, found := records[g.Job]
		if !found || rec.Generation > g.Generation || !isLive(rec.State) {
			delete(s.observations, g)
		}
	}
}
