package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
)

// Thresholds for attributing failures to workers, jobs and templates.
const (
	jobsToQuarantineWorker   = 3 // different jobs that fail on a worker before it is quarantined
	workersToFailJob         = 3 // different workers on which a job fails before the job itself fails
	workersToSuspectTemplate = 3 // different workers on which a template fails before its failures no longer count against workers
	workersPerQuarantine     = 4 // at most one in this many workers is quarantined
	initialBackoff           = 5 * time.Minute
	maxBackoff               = 4 * time.Hour
	failureWindow            = 2 * time.Hour // older failures no longer count against a worker
)

// Quarantine withholds tasks from workers on which different jobs fail, for a
// backoff that doubles each time, and then probes each of them with one small job.
// Failures of a template that fails on several workers without ever succeeding
// count against its jobs, not against the workers.
//
// It reads no clock and does no I/O, and is not safe for concurrent use.
type Quarantine struct {
	workers   map[string]*workerHealth
	jobs      map[job.ID][]string      // workers on which each job has failed
	templates map[templateKey][]string // workers on which a template failed since it last succeeded
}

type templateKey struct{ organisation, service, template string }

// workerHealth records a worker's failures and quarantine.
type workerHealth struct {
	failures         []workerFailure // of different jobs, since the last success
	quarantinedUntil time.Time       // end of the quarantine; zero: not quarantined
	backoff          time.Duration
}

type workerFailure struct {
	id       job.ID
	template templateKey
	at       time.Time
}

// NewQuarantine returns a quarantine without any recorded failures.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		workers:   map[string]*workerHealth{},
		jobs:      map[job.ID][]string{},
		templates: map[templateKey][]string{},
	}
}

// RecordFailure records that a job's task failed on a worker, one of totalWorkers.
// It reports whether the job itself is at fault, and why.
func (q *Quarantine) RecordFailure(worker string, id job.ID, template string, totalWorkers int, now time.Time) (jobFails bool, reason string) {
	t := templateKey{id.Organisation, id.Service, template}
	q.jobs[id] = insertSorted(q.jobs[id], worker)
	q.templates[t] = insertSorted(q.templates[t], worker)
	h := q.healthOf(worker)
	h.failures = slices.DeleteFunc(h.failures, func(f workerFailure) bool {
		return f.id == id || now.Sub(f.at) > failureWindow
	})
	h.failures = append(h.failures, workerFailure{id, t, now})
	if q.mayQuarantine(worker, totalWorkers, now) {
		h.quarantine(now)
	}
	failed := len(q.jobs[id])
	if failed < workersToFailJob {
		return false, ""
	}
	return true, fmt.Sprintf("it failed on %d different workers; look at its logs, mend it and submit it under a new name", failed)
}

// RecordSuccess records that a job succeeded on its workers. It clears the failures
// of these workers, of the job and of its template.
func (q *Quarantine) RecordSuccess(workers []string, id job.ID, template string) {
	for _, w := range workers {
		delete(q.workers, w)
	}
	delete(q.templates, templateKey{id.Organisation, id.Service, template})
	delete(q.jobs, id)
}

// ForgetJob removes the recorded failures of a job that has ended.
func (q *Quarantine) ForgetJob(id job.ID) { delete(q.jobs, id) }

// FailedWorkers returns the workers on which a job has failed, in name order.
func (q *Quarantine) FailedWorkers(id job.ID) []string { return slices.Clone(q.jobs[id]) }

// UnavailableReason returns why a worker takes no tasks, or an empty string if it
// takes them.
func (q *Quarantine) UnavailableReason(worker string, now time.Time) string {
	h := q.workers[worker]
	if h == nil || !now.Before(h.quarantinedUntil) {
		return ""
	}
	return fmt.Sprintf("quarantined until %s, since %d different jobs failed on it; repair or replace it",
		h.quarantinedUntil.UTC().Format(time.RFC3339), len(h.failures))
}

// Probing reports whether a worker's quarantine has ended and no job has succeeded
// on it since.
func (q *Quarantine) Probing(worker string, now time.Time) bool {
	h := q.workers[worker]
	return h != nil && !h.quarantinedUntil.IsZero() && !now.Before(h.quarantinedUntil)
}

// NextEnd returns when the next quarantine ends, or the zero time if there is none.
func (q *Quarantine) NextEnd(now time.Time) time.Time {
	var next time.Time
	for _, h := range q.workers {
		if h.quarantinedUntil.After(now) && (next.IsZero() || h.quarantinedUntil.Before(next)) {
			next = h.quarantinedUntil
		}
	}
	return next
}

// mayQuarantine reports whether enough different jobs have failed on a worker (one
// if it is probing) and not too many workers are quarantined.
func (q *Quarantine) mayQuarantine(worker string, totalWorkers int, now time.Time) bool {
	if q.UnavailableReason(worker, now) != "" {
		return false
	}
	count, others := 0, 0
	for _, f := range q.workers[worker].failures {
		if len(q.templates[f.template]) < workersToSuspectTemplate {
			count++
		}
	}
	for name, h := range q.workers {
		if name != worker && now.Before(h.quarantinedUntil) {
			others++
		}
	}
	needed := jobsToQuarantineWorker
	if q.Probing(worker, now) {
		needed = 1
	}
	return count >= needed && (others+1)*workersPerQuarantine <= max(totalWorkers, workersPerQuarantine)
}

func (q *Quarantine) healthOf(worker string) *workerHealth {
	h := q.workers[worker]
	if h == nil {
		h = &workerHealth{}
		q.workers[worker] = h
	}
	return h
}

// quarantine starts a quarantine with twice the previous backoff, at least
// initialBackoff and at most maxBackoff.
func (h *workerHealth) quarantine(now time.Time) {
	h.backoff = min(max(2*h.backoff, initialBackoff), maxBackoff)
	h.quarantinedUntil = now.Add(h.backoff)
}

// insertSorted returns a sorted list with a name added, unless the list has it. It
// does not change the given list.
func insertSorted(names []string, name string) []string {
	i, found := slices.BinarySearchFunc(names, name, cmp.Compare[string])
	if found {
		return names
	}
	return slices.Insert(slices.Clone(names), i, name)
}
