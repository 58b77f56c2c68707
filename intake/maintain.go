package intake

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/election"
	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	// permitLapseDelay is the time after which all start permits of a failure
	// domain that was seen out of service have lapsed: the maximum age of a permit
	// plus the hold of a reservation, with a margin.
	permitLapseDelay = 5 * time.Second
	// maxTimeWithoutScheduler is how long a failure domain may be without a
	// scheduler before its queued jobs are moved.
	maxTimeWithoutScheduler = time.Minute
	// maxPrunedPerRound limits the records pruned by one call of Maintain.
	maxPrunedPerRound = 500
)

// prune deletes ended jobs after their retention. Before that it completes
// unfinished moves, as the old record of a job is kept until its move is complete.
// prune deletes the index entry before the record, so that an index entry without
// a record always belongs to a new job whose record is not written yet.
func (in *Intake) prune(ctx context.Context) {
	jobs := in.o.Ledgers.Jobs(in.o.FailureDomain)
	records, _, _ := jobs.Snapshot()
	in.finishMoves(ctx, in.o.FailureDomain, records)
	var expired []string
	for key, rec := range records {
		ended := rec.State.Terminal() || rec.State == job.Moved
		if rec.State == job.Moved && !rec.Arrived {
			continue
		}
		if ended && in.o.Now().Sub(rec.Ended) >= in.o.Retention {
			expired = append(expired, key)
		}
	}
	sort.Strings(expired)
	if len(expired) > maxPrunedPerRound {
		expired = expired[:maxPrunedPerRound]
	}
	var g errgroup.Group
	for _, key := range expired {
		g.Go(func() error { return in.pruneJob(ctx, key, records[key]) })
	}
	if err := g.Wait(); err != nil {
		in.o.Logger.Warn("pruning ended jobs failed; retrying in the next round", "err", err.Error())
	}
}

// pruneJob deletes one record and, before that, its index entry, so that the index
// never points to a deleted record. If the job was moved, pruneJob keeps the index
// entry and points it to the failure domain that the job was moved to.
func (in *Intake) pruneJob(ctx context.Context, key string, rec job.Record) error {
	here := in.o.FailureDomain
	_, err := in.o.Ledgers.Index().Update(ctx, key, func(old ledger.Claim, found bool) (ledger.Claim, bool, error) {
		if !found || old.FailureDomain != here {
			return old, found, nil
		}
		old.FailureDomain = rec.MovedTo
		return old, rec.State == job.Moved, nil
	})
	if err != nil {
		return err
	}
	_, err = in.o.Ledgers.Jobs(here).Update(ctx, key, func(old job.Record, found bool) (job.Record, bool, error) {
		keep := found && !old.State.Terminal() && old.State != job.Moved
		return old, keep, nil
	})
	return err
}

// moveQueuedJobs moves queued jobs out of failure domains that start nothing. Once
// a job's record is marked as moved, its old failure domain cannot start it: a
// scheduler records a placement before it starts anything.
func (in *Intake) moveQueuedJobs(ctx context.Context) {
	snap, _ := in.o.Config.Current()
	for _, domain := range in.domainsNotStarting(snap) {
		if in.movingDomain(snap, domain) != in.o.FailureDomain {
			continue
		}
		if !snap.FailureDomains[domain].Out && !in.termIsFree(ctx, domain) {
			continue
		}
		if err := in.moveQueuedJobsFrom(ctx, snap, domain); err != nil {
			in.o.Logger.Warn("moving queued jobs failed; retrying in the next round", "failureDomain", domain, "err", err.Error())
		}
	}
}

// termIsFree reads from the store whether no host holds a failure domain's term.
// Jobs must not be moved from a scheduler that is up but that this host alone
// cannot reach.
func (in *Intake) termIsFree(ctx context.Context, domain string) bool {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	e, err := in.o.Ledgers.Store().Get(ctx, election.Key(domain))
	return errors.Is(err, kvstore.ErrNotFound) || (err == nil && e.Lease == "")
}

// domainsNotStarting returns the failure domains that have been out of service for
// permitLapseDelay, or without a scheduler for maxTimeWithoutScheduler.
func (in *Intake) domainsNotStarting(snap *config.Snapshot) []string {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := in.o.Now()
	var out []string
	for name, d := range snap.FailureDomains {
		if !d.Out && in.o.HasScheduler(name) {
			delete(in.notStartingSince, name)
			continue
		}
		if in.notStartingSince[name].IsZero() {
			in.notStartingSince[name] = now
		}
		delay := maxTimeWithoutScheduler
		if d.Out {
			delay = permitLapseDelay
		}
		if now.Sub(in.notStartingSince[name]) >= delay {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// movingDomain returns the failure domain whose scheduler moves the jobs out of
// from, which starts nothing. It is the one with the highest hash of those that
// start jobs, so that all hosts choose the same one.
func (in *Intake) movingDomain(snap *config.Snapshot, from string) string {
	best, top := "", uint64(0)
	for name, d := range snap.FailureDomains {
		if d.Out || !in.o.HasScheduler(name) {
			continue
		}
		sum := xxhash.Sum64String(name + "/" + from)
		if best == "" || sum > top || (sum == top && name < best) {
			best, top = name, sum
		}
	}
	return best
}

// moveQueuedJobsFrom moves the queued jobs of one failure domain to others.
func (in *Intake) moveQueuedJobsFrom(ctx context.Context, snap *config.Snapshot, from string) error {
	records, err := in.o.Ledgers.Jobs(from).ReadAll(ctx)
	if err != nil {
		return err
	}
	in.finishMoves(ctx, from, records)
	var g errgroup.Group
	for _, key := range sortedKeys(records) {
		rec := records[key]
		if !movable(rec) {
			continue
		}
		to, err := in.chooseDomain(ctx, snap, rec)
		if err != nil || to == from || snap.FailureDomains[to].Out {
			continue
		}
		g.Go(func() error { return in.moveJob(ctx, key, from, to, "failure domain "+from+" starts nothing") })
	}
	return g.Wait()
}

// movable reports whether a job may be moved to another failure domain.
func movable(rec job.Record) bool {
	return rec.State == job.Queued && rec.CancelBy == "" && rec.Spec.FailureDomain == ""
}

// moveJob marks a job's record as moved and completes the move.
func (in *Intake) moveJob(ctx context.Context, key, from, to, reason string) error {
	now := in.o.Now()
	left, err := in.o.Ledgers.Jobs(from).Update(ctx, key, func(old job.Record, found bool) (job.Record, bool, error) {
		if !found || !movable(old) {
			return old, found, nil
		}
		old.MovedTo, old.Arrived = to, false
		old.SetState(job.Moved, reason, now)
		old.Ended = now
		return old, true, nil
	})
	if err != nil || left.State != job.Moved {
		return err
	}
	return in.completeMove(ctx, key, from, left)
}

// completeMove completes a move whose old record is marked as moved. It writes the
// record to the new ledger, then points the index to that, then marks the old
// record as arrived. All steps are idempotent, and any host may repeat them.
func (in *Intake) completeMove(ctx context.Context, key, from string, left job.Record) error {
	if _, err := in.create(ctx, left.MovedTo, movedRecord(left, in.o.Now())); err != nil {
		return err
	}
	_, err := in.o.Ledgers.Index().Update(ctx, key, func(old ledger.Claim, found bool) (ledger.Claim, bool, error) {
		if old.FailureDomain == from {
			old.FailureDomain = left.MovedTo
		}
		return old, found, nil
	})
	if err != nil {
		return err
	}
	_, err = in.o.Ledgers.Jobs(from).Update(ctx, key, func(old job.Record, found bool) (job.Record, bool, error) {
		old.Arrived = old.Arrived || (old.State == job.Moved && old.Moves == left.Moves)
		return old, found, nil
	})
	return err
}

// finishMoves completes the moves out of a ledger that another host began and did
// not complete within permitLapseDelay.
func (in *Intake) finishMoves(ctx context.Context, from string, records map[string]job.Record) {
	var g errgroup.Group
	for _, key := range sortedKeys(records) {
		rec := records[key]
		if rec.State == job.Moved && !rec.Arrived && in.o.Now().Sub(rec.Ended) >= permitLapseDelay {
			g.Go(func() error { return in.completeMove(ctx, key, from, rec) })
		}
	}
	if err := g.Wait(); err != nil {
		in.o.Logger.Warn("completing moves of jobs failed; retrying in the next round", "failureDomain", from, "err", err.Error())
	}
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
