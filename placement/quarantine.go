package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
)

// When workers and jobs are blamed for failures.
const (
	jobsToQuarantineWorker   = 3 // different jobs that fail on a worker before it is quarantined
	workersToFailJob         = 3 // different workers on which a job fails before it fails itself
	workersToSuspectTemplate = 3 // different workers on which a template fails before it is suspect
	workersPerQuarantine     = 4 // at most one in this many workers is quarantined
	initialBackoff           = 5 * time.Minute
	maxBackoff               = 4 * time.Hour
	failureWindow            = 2 * time.Hour // older failures no longer count against a worker
)

// Quarantine keeps workers on which different jobs fail from taking tasks, for
// a back-off that doubles each time, and then lets each prove itself with one
// small job. Failures of a template that fails on several workers without ever
// succeeding count against its jobs, not against the workers.
//
// It is pure, and not safe for concurrent use.
type Quarantine struct {
	workers   map[string]*workerHealth
	jobs      map[job.ID][]string      // workers on which each job has failed
	templates map[templateKey][]string // workers on which a template failed since it last succeeded
}

type templateKey struct{ organisation, service, template string }

// workerHealth is what is known against a worker.
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

// NewQuarantine returns a quarantine that holds nothing against anyone.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		workers:   map[string]*workerHealth{},
		jobs:      map[job.ID][]string{},
		templates: map[templateKey][]string{},
	}
}

// RecordFailure records that a job's task failed on a worker, out of fleet workers. It
// reports whether the job itself is at fault, and why.
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

// RecordSuccess records that a job ended well on its workers: nothing is held
// against them or its template any more.
func (q *Quarantine) RecordSuccess(workers []string, id job.ID, template string) {
	for _, w := range workers {
		delete(q.workers, w)
	}
	delete(q.templates, templateKey{id.Organisation, id.Service, template})
	delete(q.jobs, id)
}

// ForgetJob drops what is known of a job that has ended.
func (q *Quarantine) ForgetJob(id job.ID) { delete(q.jobs, id) }

// FailedWorkers returns the workers on which a job has failed, in name order.
func (q *Quarantine) FailedWorkers(id job.ID) []string { return slices.Clone(q.jobs[id]) }

// UnavailableReason tells why a worker takes no tasks; empty if it does.
func (q *Quarantine) UnavailableReason(worker string, now time.Time) string {
	h := q.workers[worker]
	if h == nil || !now.Before(h.quarantinedUntil) {
		return ""
	}
	return fmt.Sprintf("quarantined until %s, since %d different jobs failed on it; repair or replace it",
		h.quarantinedUntil.UTC().Format(time.RFC3339), len(h.failures))
}

// Probing reports whether a worker is back from quarantine and has not yet
// finished a job.
func (q *Quarantine) Probing(worker string, now time.Time) bool {
	h := q.workers[worker]
	return h != nil && !h.quarantinedUntil.IsZero() && !now.Before(h.quarantinedUntil)
}

// NextEnd returns when the next quarantine ends; zero if there is none.
func (q *Quarantine) NextEnd(now time.Time) time.Time {
	var next time.Time
	for _, h := range q.workers {
		if h.quarantinedUntil.After(now) && (next.IsZero() || h.quarantinedUntil.Before(next)) {
			next = h.quarantinedUntil
		}
	}
	return next
}

// mayQuarantine reports whether enough different jobs have failed on a worker,
// or one on trial, and not too many workers are quarantined.
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

func (h *workerHealth) quarantine(now time.Time) {
	h.backoff = min(max(2*h.backoff, initialBackoff), maxBackoff)
	h.quarantinedUntil = now.Add(h.backoff)
}

// insertSorted adds a name to a sorted list that does not hold it yet.
func insertSorted(names []string, name string) []string {
	i, found := slices.BinarySearchFunc(names, name, cmp.Compare[string])
	if found {
		return names
	}
	return slices.Insert(slices.Clone(names), i, name)
}
