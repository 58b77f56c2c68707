package intake_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/intake"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

const (
	callerTimeout = 900 * time.Millisecond
	lateApply     = 3 * time.Second // until a write whose answer was lost is carried out
)

func newIntake(fault func(keyspace.Call) keyspace.Outcome) (*intake.Intake, *ledger.Replica) {
	logger := log.New(io.Discard)
	replica := ledger.NewReplica(logger)
	config := &batch.Configuration{
		Queues: []batch.Queue{
			{Name: "q", Host: "h", Prefix: "/a/", Service: "s", Priority: 1},
			{Name: "q2", Host: "h", Prefix: "/a/b/", Service: "s", Public: true},
		},
		Organisations: []batch.Organisation{{Name: "one", Keys: []string{"k1", "k2"}}},
	}
	return intake.New(intake.Options{
		Store: keyspace.New(keyspace.Options{Fault: fault, ApplyDelay: lateApply}), Replica: replica,
		Configuration: func() *batch.Configuration { return config }, Now: time.Now, Log: logger,
	}), replica
}

func kindOf(err error) intake.Kind {
	var r intake.RequestError
	if errors.As(err, &r) {
		return r.Kind
	}
	return ""
}

func oneTask() batch.Job {
	return batch.Job{Steps: []batch.Step{{Tasks: 1, Request: batch.Resources{MilliCPU: 1}}}}
}

func TestResolve(t *testing.T) {
	in, _ := newIntake(nil)
	target, err := in.Resolve("h", "/a/0123", "k2")
	must.NoError(t, err)
	must.Eq(t, "q", target.Queue.Name)
	must.Eq(t, "one", target.Organisation)
	must.Eq(t, "0123", target.JobID)
	target, err = in.Resolve("h", "/a/b/0123", "")
	must.NoError(t, err)
	must.Eq(t, "q2", target.Queue.Name)
	_, err = in.Resolve("h", "/a/0123", "gone")
	must.Eq(t, intake.Unauthorised, kindOf(err))
	_, err = in.Resolve("other", "/a/0123", "k1")
	must.Eq(t, intake.NotFound, kindOf(err))
}

// A job that was certainly not stored is refused promptly as not accepted. A job
// that may have been stored, because a response of the store was lost, must not
// be reported as not accepted.
func TestSubmitReportsStoreOutcome(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcomes []keyspace.Outcome // of each try; the last applies to all later tries
		want     intake.Kind
		within   time.Duration
	}{
		{"stored", []keyspace.Outcome{keyspace.Served}, "", 200 * time.Millisecond},
		{"store unavailable", []keyspace.Outcome{keyspace.Refused}, intake.NotAccepted, 500 * time.Millisecond},
		{"response lost, then stored", []keyspace.Outcome{keyspace.AnswerLost, keyspace.Served}, "", 500 * time.Millisecond},
		{"response lost, then store unavailable", []keyspace.Outcome{keyspace.AnswerLost, keyspace.Refused}, intake.OutcomeUnknown, callerTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tries := 0
				in, replica := newIntake(func(c keyspace.Call) keyspace.Outcome {
					if !c.Write {
						return keyspace.Served
					}
					tries++
					return test.outcomes[min(tries, len(test.outcomes))-1]
				})
				target, err := in.Resolve("h", "/a/0123456789abcdef", "k1")
				must.NoError(t, err)
				began := time.Now()
				err = in.Submit(context.Background(), target, oneTask(), callerTimeout)
				must.Less(t, test.within, time.Since(began))
				must.Eq(t, test.want, kindOf(err), must.Sprint(err))
				_, known := replica.Job("0123456789abcdef")
				must.Eq(t, err == nil, known)
			})
		})
	}
}

func TestSubmitRejectsInvalidJobs(t *testing.T) {
	in, _ := newIntake(nil)
	target, err := in.Resolve("h", "/a/0123456789abcdef", "k1")
	must.NoError(t, err)
	for name, change := range map[string]func(*batch.Job){
		"no steps":             func(j *batch.Job) { j.Steps = nil },
		"zero tasks":           func(j *batch.Job) { j.Steps[0].Tasks = 0 },
		"too many tasks":       func(j *batch.Job) { j.Steps[0].Tasks = 1 << 30 },
		"negative request":     func(j *batch.Job) { j.Steps[0].Request.Accelerators = -1 },
		"depends on itself":    func(j *batch.Job) { j.Steps[0].After = []int{0} },
		"negative dependency":  func(j *batch.Job) { j.Steps[0].After = []int{-1} },
		"spec too long":        func(j *batch.Job) { j.Spec = string(make([]byte, 4001)) },
		"too many occurrences": func(j *batch.Job) { j.Schedule = &batch.Schedule{Occurrences: 1 << 30} },
	} {
		job := oneTask()
		change(&job)
		must.Eq(t, intake.Malformed, kindOf(in.Submit(context.Background(), target, job, callerTimeout)), must.Sprint(name))
	}
}

// A job that this host's replica has not received yet must be read from the store
// before it is reported as unknown. It can be cancelled, also a second time.
func TestStateReadsStoreWhenReplicaLacksJob(t *testing.T) {
	in, replica := newIntake(nil)
	target, err := in.Resolve("h", "/a/0123456789abcdef", "k1")
	must.NoError(t, err)
	_, err = in.State(context.Background(), target, callerTimeout)
	must.Eq(t, intake.UnknownJob, kindOf(err))
	must.NoError(t, in.Submit(context.Background(), target, oneTask(), callerTimeout))
	replica.Reset(nil)
	state, err := in.State(context.Background(), target, callerTimeout)
	must.NoError(t, err)
	must.Eq(t, batch.Queued, state)
	must.NoError(t, in.Cancel(context.Background(), target, callerTimeout))
	must.NoError(t, in.Cancel(context.Background(), target, callerTimeout))
}

// Guards against a job that runs after its cancellation was answered: the write of its
// submission has no answer, the caller cancels, and the store carries the write out later,
// whichever host cancels and whether or not the first one goes on trying.
func TestCancelHoldsAgainstAWriteThatIsCarriedOutLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := true
		in, _ := newIntake(func(c keyspace.Call) keyspace.Outcome {
			if c.Write && late {
				return keyspace.AnswerLostAppliedLate
			}
			return keyspace.Served
		})
		target, err := in.Resolve("h", "/a/0123456789abcdef", "k1")
		must.NoError(t, err)
		must.Eq(t, intake.OutcomeUnknown, kindOf(in.Submit(t.Context(), target, oneTask(), 300*time.Millisecond)))
		late = false
		other, _ := newIntake(nil)
		other.Store = in.Store
		must.Eq(t, intake.UnknownJob, kindOf(other.Cancel(t.Context(), target, callerTimeout)))
		time.Sleep(2 * lateApply)
		_, err = in.Store.Get(t.Context(), ledger.JobKey(target.JobID))
		must.ErrorIs(t, err, kvstore.ErrNotFound)
		_, err = other.State(t.Context(), target, callerTimeout)
		must.Eq(t, intake.UnknownJob, kindOf(err))
		must.Eq(t, intake.UnknownJob, kindOf(in.Cancel(t.Context(), target, callerTimeout)), must.Sprint("cancelled again"))
		must.Eq(t, intake.NotAccepted, kindOf(in.Submit(t.Context(), target, oneTask(), callerTimeout)), must.Sprint("a late try of the submission"))
	})
}

// A job that was stored in time is cancelled, and its submission stays accepted.
func TestCancelOfAJobWhoseWriteWasCarriedOutIsAccepted(t *testing.T) {
	in, _ := newIntake(nil)
	target, err := in.Resolve("h", "/a/0123456789abcdef", "k1")
	must.NoError(t, err)
	other, replica := newIntake(nil)
	other.Store = in.Store
	must.NoError(t, in.Submit(t.Context(), target, oneTask(), callerTimeout))
	must.NoError(t, other.Cancel(t.Context(), target, callerTimeout))
	must.NoError(t, other.Submit(t.Context(), target, oneTask(), callerTimeout), must.Sprint("the same submission again"))
	_, known := replica.Job(target.JobID)
	must.True(t, known)
}

// While the store is known to be unreachable, a job is refused within 50 ms as not
// accepted, and nothing is written.
func TestSubmitFailsFastDuringKnownStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writes := 0
		in, _ := newIntake(func(c keyspace.Call) keyspace.Outcome {
			if c.Write {
				writes++
			}
			return keyspace.AnswerLost
		})
		in.StoreUnreachable = func() bool { return true }
		target, err := in.Resolve("h", "/a/0123456789abcdef", "k1")
		must.NoError(t, err)
		began := time.Now()
		err = in.Submit(context.Background(), target, oneTask(), callerTimeout)
		must.Less(t, 50*time.Millisecond, time.Since(began))
		must.Eq(t, intake.NotAccepted, kindOf(err))
		must.Eq(t, 0, writes)
		var reqErr intake.RequestError
		must.True(t, errors.As(err, &reqErr))
		must.Positive(t, reqErr.RetryAfter)
	})
}

// slowStore answers each commit after a delay, unless its context ends before.
type slowStore struct {
	kvstore.Keyspace
	delay time.Duration
}

func (s slowStore) Commit(ctx context.Context, txn kvstore.Txn) (uint64, error) {
	if !pause.For(ctx, s.delay) {
		return 0, kvstore.ErrAmbiguous
	}
	return s.Keyspace.Commit(ctx, txn)
}

// A caller's last retry may come with little time left. It is used for the store,
// which accepts the job, and not kept for the response.
func TestSubmitUsesTheShortTimeOfALastRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in, replica := newIntake(nil)
		in.Store = slowStore{in.Store, 30 * time.Millisecond}
		target, err := in.Resolve("h", "/a/0123456789abcdef", "k1")
		must.NoError(t, err)
		must.NoError(t, in.Submit(t.Context(), target, oneTask(), 120*time.Millisecond))
		_, known := replica.Job(target.JobID)
		must.True(t, known)
	})
}
