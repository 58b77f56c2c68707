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
	// permitLapseDelay is how long after a failure domain was seen out of service
	// its start permits have surely lapsed: the permit's age and the hold of
	// a reservation, with a margin.
	permitLapseDelay = 5 * time.Second
	// maxTimeWithoutScheduler is how long a failure domain may be without a scheduler
	// before its queued jobs go elsewhere.
	maxTimeWithoutScheduler = time.Minute
	// maxPrunedPerRound bounds the records pruned in one round.
	maxPrunedPerRound = 500
)

// prune drops ended jobs after their retention: from the index first, so that
// an index entry without a record can only be a new job's.
func (in *Intake) prune(ctx context.Context) {
	jobs := in.o.Ledgers.Jobs(in.o.FailureDomain)
	records, _, _ := jobs.Snapshot()
	in.finishMoves(ctx, in.o.FailureDomain, records)
	var old []string
	for key, rec := range records {
		ended := rec.State.Terminal() || rec.State == job.Moved
		if rec.State == job.Moved && !rec.Arrived {
			continue
		}
		if ended && in.o.Now().Sub(rec.Ended) >= in.o.Retention {
			old = append(old, key)
		}
	}
	sort.Strings(old)
	if len(old) > maxPrunedPerRound {
		old = old[:maxPrunedPerRound]
	}
	var g errgroup.Group
	for _, key := range old {
		g.Go(func() error { return in.pruneJob(ctx, key, records[key]) })
	}
	if err := g.Wait(); err != nil {
		in.o.Logger.Warn("pruning is put off", "err", err.Error())
	}
}

// pruneJob drops one record. The index must not lead to a record that is gone:
// a job that moved on is looked up where it went.
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

// moveQueuedJobs takes queued jobs out of failure domains that start nothing. The write
// that marks a job as moved is what keeps it from being placed there later, as
// a placement is recorded before anything starts.
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
			in.o.Logger.Warn("queued jobs were not moved; it is tried again", "failureDomain", domain, "err", err.Error())
		}
	}
}

// termIsFree asks the platform whether nobody holds a failure domain's term: a
// scheduler that only this host does not reach keeps its jobs.
func (in *Intake) termIsFree(ctx context.Context, domain string) bool {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	e, err := in.o.Ledgers.Store().Get(ctx, election.Key(domain))
	return errors.Is(err, kvstore.ErrNotFound) || (err == nil && e.Lease == "")
}

// domainsNotStarting lists failure domains that have started nothing for long enough.
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

// movingDomain picks one open failure domain, whose scheduler moves the jobs.
func (in *Intake) movingDomain(snap *config.Snapshot, closed string) string {
	best, top := "", uint64(0)
	for name, d := range snap.FailureDomains {
		if d.Out || !in.o.HasScheduler(name) {
			continue
		}
		sum := xxhash.Sum64String(name + "/" + closed)
		if best == "" || sum > top || (sum == top && name < best) {
			best, top = name, sum
		}
	}
	return best
}

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

// movable reports whether a job may run elsewhere.
func movable(rec job.Record) bool {
	return rec.State == job.Queued && rec.CancelBy == "" && rec.Spec.FailureDomain == ""
}

func (in *Intake) moveJob(ctx context.Context, key, from, to, reason string) error {
	now := in.o.Now()
	left, err := in.o.Ledgers.Jobs(from).Update(ctx, key, func(old job.Record, found bool) (job.Record, bool, error) {
		if !found || !movable(old) {
			return old, found, nil
		}
		old.MovedTo, old.Arrived = to, false
		old.Enter(job.Moved, reason, now)
		old.Ended = now
		return old, true, nil
	})
	if err != nil || left.State != job.Moved {
		return err
	}
	return in.completeMove(ctx, key, from, left)
}

// completeMove completes a move: the record in its new ledger, then the index, then
// the note that nothing is left to do. Any step may be repeated by any host.
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

// finishMoves completes moves out of a ledger that their host left half done.
func (in *Intake) finishMoves(ctx context.Context, from string, records map[string]job.Record) {
	var g errgroup.Group
	for _, key := range sortedKeys(records) {
		rec := records[key]
		if rec.State == job.Moved && !rec.Arrived && in.o.Now().Sub(rec.Ended) >= permitLapseDelay {
			g.Go(func() error { return in.completeMove(ctx, key, from, rec) })
		}
	}
	if err := g.Wait(); err != nil {
		in.o.Logger.Warn("moves are completed later", "failureDomain", from, "err", err.Error())
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
