// Package intake takes callers' requests about batch jobs: it accepts a job
// once it is stored, and tells and ends it.
package intake

import (
	"context"
	"encoding/json"
	"fmt"
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
	callTimeout  = 900 * time.Millisecond // one call of the store; it answers in 4 ms, in 350 ms when slow
	retryPause   = 40 * time.Millisecond  // before a call that had no clear outcome is made again
	readTimeout  = time.Second            // the same, once through a peer
	refuseAfter  = 250 * time.Millisecond // of a store that certainly did nothing, before the caller is told
	retryAfter   = time.Second            // how long an outage's next look takes
	answerMargin = 150 * time.Millisecond // kept of the caller's patience for the answer's way

	// Limits of one job; larger ones can't be kept in one record.
	maxSteps       = 200
	maxTasks       = 10_000
	maxOccurrences = 2_000
	maxSpecBytes   = 4_000
)

// Kind is a reason for which a request isn't served.
type Kind string

// The kinds.
const (
	NotReady      Kind = "not-ready"      // no configuration yet, or the store can't be asked
	NotFound      Kind = "not-found"      // no such queue
	Unknown       Kind = "unknown-job"    // no such job
	Unauthorised  Kind = "unauthorised"   // no organisation holds the key
	Malformed     Kind = "malformed"      // the request can't be read or can't be meant
	NotAccepted   Kind = "not-accepted"   // certainly not stored
	OutcomeUnsure Kind = "outcome-unsure" // it may be stored; send it again
)

// Refusal says why a request isn't served.
type Refusal struct {
	Kind       Kind
	Reason     string
	RetryAfter time.Duration // 0: not told
}

func (r Refusal) Error() string { return string(r.Kind) + ": " + r.Reason }

// Options of an Intake.
type Options struct {
	Store         kvstore.Keyspace
	Replica       *ledger.Replica
	Configuration func() *batch.Configuration // in force; nil: none yet
	StoreLost     func() bool                 // known to answer neither this host nor its peers; nil: never
	Leader        *LeaderCopy                 // nil: only this host's copy is asked
	Now           func() time.Time
	Log           *log.Logger
	Metrics       *metrics.Set // nil: nothing is counted
}

// Intake serves callers. It is safe for concurrent use.
type Intake struct{ Options }

// New returns an Intake.
func New(o Options) *Intake { return &Intake{Options: o} }

// Target is what a request is about.
type Target struct {
	Queue        batch.Queue
	Organisation string
	JobID        string // empty: the queue itself
	MaxBodyBytes int64
}

// Resolve finds the queue of a request and the organisation that makes it.
func (in *Intake) Resolve(host, path, key string) (Target, error) {
	config := in.Configuration()
	if config == nil {
		return Target{}, Refusal{Kind: NotReady, Reason: "no configuration yet", RetryAfter: retryAfter}
	}
	queue, found := config.QueueFor(host, path)
	if !found {
		return Target{}, Refusal{Kind: NotFound, Reason: "no queue takes this host and path"}
	}
	organisation, known := config.OrganisationFor(key)
	if !known && !queue.Public {
		return Target{}, Refusal{Kind: Unauthorised, Reason: "no organisation holds this key"}
	}
	return Target{
		Queue:        queue,
		Organisation: organisation.Name,
		JobID:        path[len(queue.Prefix):],
		MaxBodyBytes: config.MaxBodyBytes,
	}, nil
}

// Submit stores a job. It returns nil once it is stored, also by an earlier
// request with the same id.
func (in *Intake) Submit(ctx context.Context, target Target, job batch.Job, patience time.Duration) error {
	if err := check(job); err != nil {
		return err
	}
	if _, known := in.Replica.Job(target.JobID); known {
		return nil
	}
	in.complete(&job, target)
	value, err := json.Marshal(job)
	if err != nil {
		return Refusal{Kind: Malformed, Reason: err.Error()}
	}
	key := ledger.JobKey(job.ID)
	txn := kvstore.Txn{If: []kvstore.Condition{{Key: key}}, Puts: []kvstore.Put{{Key: key, Value: value}}}
	began := in.Now()
	err = in.commit(ctx, txn, patience)
	in.count("submit", err, in.Now().Sub(began))
	in.Log.Info("submit", "job", job.ID, "organisation", job.Organisation, "queue", job.Queue,
		"priority", job.Priority, "took", in.Now().Sub(began), "outcome", outcome(err))
	if err == nil {
		in.Replica.AddJob(&job)
	}
	return err
}

// count notes how a call ended and how long it took.
func (in *Intake) count(call string, err error, took time.Duration) {
	if in.Metrics == nil {
		return
	}
	kind := Kind("accepted")
	var refusal Refusal
	if errors.As(err, &refusal) {
		kind = refusal.Kind
	}
	name := fmt.Sprintf(`cyclamentray_batch_call_seconds{call=%q,outcome=%q}`, call, kind)
	in.Metrics.GetOrCreateHistogram(name).Update(took.Seconds())
}

func outcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

func (in *Intake) complete(job *batch.Job, target Target) {
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

// check refuses what can't be meant.
func check(job batch.Job) error {
	malformed := func(format string, args ...any) error {
		return Refusal{Kind: Malformed, Reason: fmt.Sprintf(format, args...)}
	}
	if len(job.Spec) > maxSpecBytes {
		return malformed("spec has %d bytes; %d are the limit", len(job.Spec), maxSpecBytes)
	}
	if len(job.Steps) == 0 || len(job.Steps) > maxSteps {
		return malformed("%d steps; 1 to %d are taken", len(job.Steps), maxSteps)
	}
	if s := job.Schedule; s != nil && (s.Occurrences > maxOccurrences || s.Interval < 0) {
		return malformed("%d occurrences every %s; %d are the limit", s.Occurrences, s.Interval, maxOccurrences)
	}
	tasks := 0
	for i, step := range job.Steps {
		r := step.Request
		if step.Tasks < 1 || step.Tasks > maxTasks || r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0 {
			return malformed("step %d asks for %d tasks with %+v", i, step.Tasks, r)
		}
		for _, before := range step.After {
			if before < 0 || before >= i {
				return malformed("step %d comes after step %d, which is no earlier step", i, before)
			}
		}
		tasks += step.Tasks
	}
	if tasks*job.Occurrences() > maxTasks {
		return malformed("%d tasks; %d are the limit", tasks*job.Occurrences(), maxTasks)
	}
	return nil
}

// commit applies a transaction that creates its first key. A key that exists
// already is a success: an earlier try, or an earlier request.
func (in *Intake) commit(ctx context.Context, txn kvstore.Txn, patience time.Duration) error {
	if in.StoreLost != nil && in.StoreLost() {
		// Nothing was sent, so the caller may try elsewhere without a doubt.
		return Refusal{Kind: NotAccepted, Reason: "the store is away", RetryAfter: retryAfter}
	}
	began := in.Now()
	limit := began.Add(patience - answerMargin)
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	unsure := false
	for {
		err := in.commitOnce(ctx, txn)
		switch {
		case err == nil, errors.Is(err, kvstore.ErrConflict):
			return nil
		case errors.Is(err, kvstore.ErrUnavailable):
			if !unsure && in.Now().Sub(began) > refuseAfter {
				return Refusal{Kind: NotAccepted, Reason: "the store can't be reached", RetryAfter: retryAfter}
			}
		default:
			unsure = true
		}
		if !pause.For(ctx, retryPause) {
			break
		}
	}
	if unsure {
		return Refusal{Kind: OutcomeUnsure, Reason: "the store did not answer; the job may be stored"}
	}
	return Refusal{Kind: NotAccepted, Reason: "the store can't be reached", RetryAfter: retryAfter}
}

func (in *Intake) commitOnce(ctx context.Context, txn kvstore.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := in.Store.Commit(ctx, txn)
	return err
}

// State returns the state of a job.
func (in *Intake) State(ctx context.Context, target Target, patience time.Duration) (batch.State, error) {
	if entry, known := in.Replica.Job(target.JobID); known {
		return in.latest(ctx, target.JobID, entry.State()), nil
	}
	if err := in.stored(ctx, target.JobID, patience); err != nil {
		return "", err
	}
	return batch.Queued, nil
}

// latest returns the later of this host's state of a job and the leader's.
func (in *Intake) latest(ctx context.Context, id string, own batch.State) batch.State {
	if own.Final() || in.Leader == nil {
		return own
	}
	if state, known := in.Leader.State(ctx, id); known && state != batch.Queued {
		return state
	}
	return own
}

// stored asks the store itself for a job that the copy doesn't have.
func (in *Intake) stored(ctx context.Context, id string, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, min(readTimeout, patience-answerMargin))
	defer cancel()
	_, err := in.Store.Get(ctx, ledger.JobKey(id))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, kvstore.ErrNotFound):
		return Refusal{Kind: Unknown, Reason: "no job has this id"}
	default:
		in.Log.Warn("job can't be looked up", "job", id, "err", err)
		return Refusal{Kind: NotReady, Reason: "the store can't be reached", RetryAfter: retryAfter}
	}
}

// Cancel ends a job. It returns nil once that is stored.
func (in *Intake) Cancel(ctx context.Context, target Target, patience time.Duration) error {
	entry, known := in.Replica.Job(target.JobID)
	if !known {
		if err := in.stored(ctx, target.JobID, patience); err != nil {
			return err
		}
	}
	if known && entry.State().Final() {
		return nil
	}
	began := in.Now()
	key := ledger.CancelKey(target.JobID)
	txn := kvstore.Txn{If: []kvstore.Condition{{Key: key}}, Puts: []kvstore.Put{{Key: key, Value: []byte("1")}}}
	err := in.commit(ctx, txn, patience)
	in.count("cancel", err, in.Now().Sub(began))
	in.Log.Info("cancel", "job", target.JobID, "organisation", target.Organisation, "outcome", outcome(err))
	if err == nil {
		in.Replica.MarkCancelled(target.JobID)
	}
	return err
}

// Pending returns how many jobs of a queue have not begun.
func (in *Intake) Pending(ctx context.Context, target Target) (int, error) {
	if !in.Replica.Loaded() {
		return 0, Refusal{Kind: NotReady, Reason: "the list of jobs isn't loaded yet", RetryAfter: retryAfter}
	}
	if in.Leader != nil {
		if n, ok := in.Leader.Pending(ctx, target.Queue.Name); ok {
			return n, nil
		}
	}
	return in.Replica.PendingJobs(target.Queue.Name), nil
}
