package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/telemetry"
)

// maxFollowedMoves limits the moves of a job that one call follows.
const maxFollowedMoves = 8

// Submit stores a job, or returns the existing job of the same ID and spec. A nil
// error means that the job is in the ledger.
func (in *Intake) Submit(ctx context.Context, who auth.Identity, spec job.Spec) (job.Record, error) {
	if rec, err, ok := in.forward(ctx, methodSubmit, SubmitCall{Who: who, Spec: spec, Trace: telemetry.TraceParent(ctx)}); ok {
		return rec, err
	}
	return in.submitLocal(ctx, who, spec)
}

// submitLocal handles a submission on this host, also for other entry hosts.
func (in *Intake) submitLocal(ctx context.Context, who auth.Identity, spec job.Spec) (job.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	rec, err := in.submit(ctx, who, spec)
	if err != nil {
		in.refused.Inc()
		return job.Record{}, storeError(err)
	}
	in.submitted.Inc()
	return rec, nil
}

func (in *Intake) submit(ctx context.Context, who auth.Identity, spec job.Spec) (job.Record, error) {
	snap, _ := in.o.Config.Current()
	rec, err := checkSpec(snap, who, spec)
	if err != nil {
		return in.findRepeated(ctx, who, spec, err)
	}
	domain, err := in.chooseDomain(ctx, snap, rec)
	if err != nil {
		return in.findRepeated(ctx, who, spec, err)
	}
	claim, err := in.claimID(ctx, spec, domain)
	if err != nil {
		return job.Record{}, err
	}
	now := in.o.Now()
	rec.Submitted = now
	rec.TraceParent = telemetry.TraceParent(ctx)
	rec.SetState(job.Queued, "", now)
	return in.create(ctx, claim.FailureDomain, rec)
}

// findRepeated returns the job that an earlier submission of the same spec created,
// if this one is refused because the service is retired since or the shape no
// longer fits. Otherwise it returns the refusal.
func (in *Intake) findRepeated(ctx context.Context, who auth.Identity, spec job.Spec, refusal error) (job.Record, error) {
	if apierr.KindOf(refusal) != apierr.Retired && apierr.KindOf(refusal) != apierr.Infeasible {
		return job.Record{}, refusal
	}
	rec, err := in.Find(ctx, who, spec.ID)
	if err != nil || ledger.Digest(rec.Spec) != ledger.Digest(spec) {
		return job.Record{}, refusal
	}
	return rec, nil
}

// claimID binds the ID to a failure domain in the index, unless it is bound
// already. It returns the entry that all hosts use.
func (in *Intake) claimID(ctx context.Context, spec job.Spec, domain string) (ledger.Claim, error) {
	digest := ledger.Digest(spec)
	now := in.o.Now()
	return in.o.Ledgers.Index().Update(ctx, spec.ID.String(), func(old ledger.Claim, found bool) (ledger.Claim, bool, error) {
		if !found {
			return ledger.Claim{FailureDomain: domain, Digest: digest, At: now}, true, nil
		}
		if old.Digest != digest {
			return old, true, errOtherSpec(spec.ID)
		}
		return old, true, nil
	})
}

func errOtherSpec(id job.ID) error {
	return apierr.New(apierr.Conflict,
		"job "+id.String()+" exists with another spec", "choose another name, or send the same spec again")
}

// create writes the record to a ledger unless the job exists there. If the job was
// moved to another failure domain, create continues in the ledger of that one.
func (in *Intake) create(ctx context.Context, domain string, rec job.Record) (job.Record, error) {
	for range maxFollowedMoves {
		rec.FailureDomain = domain
		got, err := in.o.Ledgers.Jobs(domain).Update(ctx, rec.Spec.ID.String(),
			func(old job.Record, found bool) (job.Record, bool, error) {
				// The job was moved away from this ledger and is moved back to it.
				movedBack := old.State == job.Moved && old.Moves < rec.Moves
				if !found || movedBack {
					return rec, true, nil
				}
				return old, true, nil
			})
		if err != nil || got.State != job.Moved {
			return got, err
		}
		domain = got.MovedTo
		rec = movedRecord(got, in.o.Now())
	}
	return job.Record{}, apierr.New(apierr.Unavailable, "the job moved between failure domains too often to be followed", "send the same call again")
}

// movedRecord returns the first record of a moved job in its new ledger, from the
// record left in the old one.
func movedRecord(left job.Record, now time.Time) job.Record {
	rec := left
	rec.MovedTo, rec.Arrived = "", false
	rec.Moves++
	rec.Ended = time.Time{}
	rec.Workers = nil
	rec.SetState(job.Queued, "moved from another failure domain", now)
	return rec
}

// Find returns the current record of a job from the store. For a job that the
// caller may not see it returns the same error as for one that does not exist.
func (in *Intake) Find(ctx context.Context, who auth.Identity, id job.ID) (job.Record, error) {
	rec, _, err := in.locate(ctx, who, id)
	return rec, storeError(err)
}

func errNoJob(id job.ID) error {
	return apierr.New(apierr.NotFound, "no job "+id.String(), "check the name; ended jobs are kept for a limited time")
}

// locate returns a job's record and the failure domain whose ledger holds it.
func (in *Intake) locate(ctx context.Context, who auth.Identity, id job.ID) (job.Record, string, error) {
	if !who.MaySee(id.Organisation) {
		return job.Record{}, "", errNoJob(id)
	}
	claim, found, err := in.o.Ledgers.Index().Read(ctx, id.String())
	if err != nil {
		return job.Record{}, "", err
	}
	if !found {
		return job.Record{}, "", errNoJob(id)
	}
	return in.followMoves(ctx, claim.FailureDomain, id)
}

// followMoves reads a job's record, starting in the ledger of domain and following
// its moves.
func (in *Intake) followMoves(ctx context.Context, domain string, id job.ID) (job.Record, string, error) {
	var left job.Record
	for range maxFollowedMoves {
		rec, found, err := in.o.Ledgers.Jobs(domain).Read(ctx, id.String())
		switch {
		case err != nil:
			return job.Record{}, "", err
		case !found && left.MovedTo != "":
			return movedRecord(left, in.o.Now()), domain, nil // the move is not completed yet
		case !found:
			return job.Record{}, "", errNoJob(id)
		case rec.State != job.Moved:
			return rec, domain, nil
		}
		left, domain = rec, rec.MovedTo
	}
	return job.Record{}, "", apierr.New(apierr.Unavailable, "the job moved between failure domains too often to be followed", "send the same call again")
}

// Cancel requests the cancellation of a job. A queued job ends at once; a running
// one is stopped by its scheduler. Cancel is idempotent.
func (in *Intake) Cancel(ctx context.Context, who auth.Identity, id job.ID) (job.Record, error) {
	if rec, err, ok := in.forward(ctx, methodCancel, CancelCall{Who: who, ID: id, Trace: telemetry.TraceParent(ctx)}); ok {
		return rec, err
	}
	return in.cancelLocal(ctx, who, id)
}

// cancelLocal handles a cancellation on this host, also for other entry hosts.
func (in *Intake) cancelLocal(ctx context.Context, who auth.Identity, id job.ID) (job.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	_, domain, err := in.locate(ctx, who, id)
	if err != nil {
		return job.Record{}, storeError(err)
	}
	by := who.Organisation
	if who.Operator {
		by = "an operator"
	}
	now := in.o.Now()
	rec, err := in.o.Ledgers.Jobs(domain).Update(ctx, id.String(), func(old job.Record, found bool) (job.Record, bool, error) {
		if !found || old.State == job.Moved {
			return old, found, apierr.New(apierr.Unavailable, "the job is moving to another failure domain", "cancel it again")
		}
		if old.State.Terminal() || old.CancelBy != "" {
			return old, true, nil
		}
		old.CancelBy = by
		if old.State == job.Queued {
			old.SetState(job.Cancelled, "cancelled by "+by, now)
		}
		return old, true, nil
	})
	return rec, storeError(err)
}

// storeError converts errors of the store to errors with a remedy.
func storeError(err error) error {
	var typed *apierr.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typed):
		return err
	case errors.Is(err, kvstore.ErrAmbiguous):
		return apierr.New(apierr.OutcomeUnknown,
			"the platform did not confirm the write", "send the same call again; it takes effect once at most")
	default:
		return apierr.New(apierr.Unavailable,
			"the platform's store does not answer; nothing was written", "send the same call again later")
	}
}
