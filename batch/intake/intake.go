// Package intake serves callers' requests about batch jobs: submission,
// cancellation, and queries for a job's state and a queue's pending jobs. A job
// is accepted once it is stored. Jobs are kept in the store; this package reads
// them from the host's ledger replica and keeps only the time before which an
// unresponsive leader is not called again. The platform's HTTP handler calls it,
// and other hosts call StateService.
package intake

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	storeCallTimeout      = 900 * time.Millisecond // one store call; the store answers in 4 ms, in 350 ms when slow
	commitRetryInterval   = 40 * time.Millisecond  // between tries of a commit that the store did not answer
	storeReadTimeout      = time.Second            // one store read, including one try through a peer
	unavailableRetryLimit = 250 * time.Millisecond // a commit that certainly had no effect is retried this long before it is refused
	defaultRetryAfter     = time.Second            // an unavailable store has been probed again by then
	responseMargin        = 150 * time.Millisecond // part of the caller's timeout left for sending the response, at most
	responseShare         = 0.2                    // the same as a share of the timeout: the last retries of a caller have little time

	// Limits of one job; a larger one does not fit in one store record.
	maxTasks       = 10_000
	maxOccurrences = 2_000
	maxSpecBytes   = 4_000
)

// MaxSteps is the highest number of steps of one job.
const MaxSteps = 200

// Kind classifies why a request failed.
type Kind string

// Kinds of request errors.
const (
	NotReady       Kind = "not-ready"      // no configuration loaded yet, or the store is unavailable
	NotFound       Kind = "not-found"      // no such queue
	UnknownJob     Kind = "unknown-job"    // no such job
	Unauthorised   Kind = "unauthorised"   // the API key belongs to no organisation
	Malformed      Kind = "malformed"      // the request can't be decoded or is invalid
	NotAccepted    Kind = "not-accepted"   // certainly not stored
	OutcomeUnknown Kind = "outcome-unsure" // may be stored; the caller should send the request again
)

// RequestError is the error of a failed request, with the reason shown to the caller.
type RequestError struct {
	Kind       Kind
	Reason     string
	RetryAfter time.Duration // 0: none is sent
}

func (r RequestError) Error() string { return string(r.Kind) + ": " + r.Reason }

// Options configures an Intake.
type Options struct {
	Store            kvstore.Keyspace
	Replica          *ledger.Replica
	Configuration    func() *batch.Configuration // in force; nil: none yet
	StoreUnreachable func() bool                 // whether the store is known to answer neither this host nor its peers; nil: never
	Leader           *LeaderClient               // nil: only this host's replica is used
	Now              func() time.Time
	Log              *log.Logger
	Metrics          *metrics.Set // nil: no metrics
}

// Intake serves callers' requests. It is safe for concurrent use.
type Intake struct{ Options }

// New returns an Intake with the given options.
func New(o Options) *Intake { return &Intake{Options: o} }

// Target is the queue or job that a request addresses, and the organisation
// that makes the request.
type Target struct {
	Queue        batch.Queue
	Organisation string
	JobID        string // empty: the request addresses the queue itself
	MaxBodyBytes int64
}

// Resolve returns the target for a request's host name and path, with the
// organisation that holds the API key.
func (in *Intake) Resolve(host, path, key string) (Target, error) {
	config := in.Configuration()
	if config == nil {
		return Target{}, RequestError{Kind: NotReady, Reason: "no configuration yet", RetryAfter: defaultRetryAfter}
	}
	queue, found := config.QueueFor(host, path)
	if !found {
		return Target{}, RequestError{Kind: NotFound, Reason: "no queue takes this host and path"}
	}
	organisation, known := config.OrganisationFor(key)
	if !known && !queue.Public {
		return Target{}, RequestError{Kind: Unauthorised, Reason: "the API key belongs to no organisation"}
	}
	return Target{
		Queue:        queue,
		Organisation: organisation.Name,
		JobID:        path[len(queue.Prefix):],
		MaxBodyBytes: config.MaxBodyBytes,
	}, nil
}

// Submit stores a job. It returns nil once the job is stored, including when an
// earlier request with the same ID stored it. The write is conditional on the job not
// having been cancelled, so that one that the store carries out late stores nothing
// after a cancellation was answered.
func (in *Intake) Submit(ctx context.Context, target Target, job batch.Job, timeout time.Duration) error {
	if err := validate(job); err != nil {
		return err
	}
	if _, known := in.Replica.Job(target.JobID); known {
		return nil
	}
	in.fillFromTarget(&job, target)
	value, err := json.Marshal(job)
	if err != nil {
		return RequestError{Kind: Malformed, Reason: err.Error()}
	}
	key := ledger.JobKey(job.ID)
	txn := kvstore.Txn{If: []kvstore.Condition{{Key: key}, {Key: ledger.CancelKey(job.ID)}}, Puts: []kvstore.Put{{Key: key, Value: value}}}
	began := in.Now()
	err = in.commit(ctx, txn, timeout)
	in.recordCall("submit", err, in.Now().Sub(began))
	in.Log.Info("submit", "job", job.ID, "organisation", job.Organisation, "queue", job.Queue,
		"priority", job.Priority, "took", in.Now().Sub(began), "outcome", outcomeText(err))
	if err == nil {
		in.Replica.AddJob(&job)
	}
	return err
}

// recordCall updates the metrics for one call.
func (in *Intake) recordCall(call string, err error, took time.Duration) {
	if in.Metrics == nil {
		return
	}
	kind := Kind("accepted")
	var reqErr RequestError
	if errors.As(err, &reqErr) {
		kind = reqErr.Kind
	}
	name := fmt.Sprintf(`cyclamentray_batch_call_seconds{call=%q,outcome=%q}`, call, kind)
	in.Metrics.GetOrCreateHistogram(name).Update(took.Seconds())
}

func outcomeText(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

func (in *Intake) fillFromTarget(job *batch.Job, target Target) {
	q := target.Queue
	job.ID = target.JobID
	job.Queue = q.Name
	job.Organisation = target.Organisation
	job.Service = q.Service
	job.Priority = q.Priority
	job.MaxAttempts = q.MaxAttempts
	job.Stretch = q.Stretch
	job.TargetLatency = q.TargetLatency
	job.Advice = q.Advice
	job.Accepted = in.Now()
}

// validate returns a Malformed error for a job that is invalid or exceeds a limit.
func validate(job batch.Job) error {
	malformed := func(format string, args ...any) error {
		return RequestError{Kind: Malformed, Reason: fmt.Sprintf(format, args...)}
	}
	if len(job.Spec) > maxSpecBytes {
		return malformed("spec has %d bytes; the limit is %d", len(job.Spec), maxSpecBytes)
	}
	if len(job.Steps) == 0 || len(job.Steps) > MaxSteps {
		return malformed("job has %d steps; it must have 1 to %d", len(job.Steps), MaxSteps)
	}
	if s := job.Schedule; s != nil && (s.Occurrences > maxOccurrences || s.Interval < 0) {
		return malformed("schedule has %d occurrences at an interval of %s; the limit is %d occurrences and the interval must not be negative", s.Occurrences, s.Interval, maxOccurrences)
	}
	tasks := 0
	for i, step := range job.Steps {
		r := step.Request
		if step.Tasks < 1 || step.Tasks > maxTasks || r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0 {
			return malformed("step %d asks for %d tasks with %+v", i, step.Tasks, r)
		}
		for _, before := range step.After {
			if before < 0 || before >= i {
				return malformed("step %d depends on step %d, which is not an earlier step", i, before)
			}
		}
		tasks += step.Tasks
	}
	if tasks*job.Occurrences() > maxTasks {
		return malformed("job has %d tasks in all; the limit is %d", tasks*job.Occurrences(), maxTasks)
	}
	return nil
}

// commit applies a transaction that creates its first key, and retries it until
// the timeout. If the key already exists, an earlier try or an earlier request
// has created it, so commit returns nil. If another condition fails, nothing was
// written by any try, and none will be.
func (in *Intake) commit(ctx context.Context, txn kvstore.Txn, timeout time.Duration) error {
	if in.StoreUnreachable != nil && in.StoreUnreachable() {
		// Nothing was sent, so the caller can safely try another host.
		return RequestError{Kind: NotAccepted, Reason: "the store is unavailable", RetryAfter: defaultRetryAfter}
	}
	began := in.Now()
	deadline := began.Add(storeTime(timeout))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ambiguous := false
	for {
		err := in.commitOnce(ctx, txn)
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			if len(txn.If) == 1 || exists(conflict, txn.If[0].Key) {
				return nil
			}
			return RequestError{Kind: NotAccepted, Reason: "the job was cancelled before it was stored"}
		case errors.Is(err, kvstore.ErrUnavailable):
			if !ambiguous && in.Now().Sub(began) > unavailableRetryLimit {
				return RequestError{Kind: NotAccepted, Reason: "the store can't be reached", RetryAfter: defaultRetryAfter}
			}
		default:
			ambiguous = true
		}
		if !pause.For(ctx, commitRetryInterval) {
			break
		}
	}
	if ambiguous {
		return RequestError{Kind: OutcomeUnknown, Reason: "the store did not answer; the job may be stored"}
	}
	return RequestError{Kind: NotAccepted, Reason: "the store can't be reached", RetryAfter: defaultRetryAfter}
}

// exists reports whether a key of a failed transaction's conditions exists.
func exists(conflict *kvstore.ConflictError, key string) bool {
	return slices.ContainsFunc(conflict.Items, func(item kvstore.Item) bool { return item.Key == key && item.Revision != 0 })
}

// storeTime returns how much of a caller's timeout the store's calls may take.
func storeTime(timeout time.Duration) time.Duration {
	return timeout - min(responseMargin, time.Duration(responseShare*float64(timeout)))
}

func (in *Intake) commitOnce(ctx context.Context, txn kvstore.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := in.Store.Commit(ctx, txn)
	return err
}

// State returns the state of a job.
func (in *Intake) State(ctx context.Context, target Target, timeout time.Duration) (batch.State, error) {
	if entry, known := in.Replica.Job(target.JobID); known {
		return in.latestState(ctx, target.JobID, entry.State()), nil
	}
	if err := in.checkStored(ctx, target.JobID, timeout); err != nil {
		return "", err
	}
	return batch.Queued, nil
}

// latestState returns the later of a job's state in this host's replica and in
// the leader's.
func (in *Intake) latestState(ctx context.Context, id string, local batch.State) batch.State {
	if local.Final() || in.Leader == nil {
		return local
	}
	if state, known := in.Leader.State(ctx, id); known && state != batch.Queued {
		return state
	}
	return local
}

// checkStored reads a job that the replica lacks from the store. It returns nil
// if the store has the job.
func (in *Intake) checkStored(ctx context.Context, id string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, min(storeReadTimeout, storeTime(timeout)))
	defer cancel()
	_, err := in.Store.Get(ctx, ledger.JobKey(id))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, kvstore.ErrNotFound):
		return RequestError{Kind: UnknownJob, Reason: "no job has this id"}
	default:
		in.Log.Warn("reading a job from the store failed", "job", id, "err", err)
		return RequestError{Kind: NotReady, Reason: "the store can't be reached", RetryAfter: defaultRetryAfter}
	}
}

// Cancel cancels a job. It returns nil once the cancellation is stored or if the
// job has already ended. The cancellation of a job that isn't stored is stored, too,
// before the job is reported as unknown: a write of the job may still be under way,
// sent by any host.
func (in *Intake) Cancel(ctx context.Context, target Target, timeout time.Duration) error {
	entry, known := in.Replica.Job(target.JobID)
	if known && entry.State().Final() {
		return nil
	}
	began := in.Now()
	key := ledger.CancelKey(target.JobID)
	txn := kvstore.Txn{If: []kvstore.Condition{{Key: key}}, Puts: []kvstore.Put{{Key: key, Value: []byte("1")}}}
	err := in.commit(ctx, txn, timeout)
	if err == nil && !known {
		err = in.checkStored(ctx, target.JobID, timeout-in.Now().Sub(began))
	}
	in.recordCall("cancel", err, in.Now().Sub(began))
	in.Log.Info("cancel", "job", target.JobID, "organisation", target.Organisation, "outcome", outcomeText(err))
	if err == nil {
		in.Replica.MarkCancelled(target.JobID)
	}
	return err
}

// Pending returns the number of a queue's jobs that have not started.
func (in *Intake) Pending(ctx context.Context, target Target) (int, error) {
	if !in.Replica.Loaded() {
		return 0, RequestError{Kind: NotReady, Reason: "the job records are not loaded yet", RetryAfter: defaultRetryAfter}
	}
	if in.Leader != nil {
		if n, ok := in.Leader.Pending(ctx, target.Queue.Name); ok {
			return n, nil
		}
	}
	return in.Replica.PendingJobs(target.Queue.Name), nil
}
