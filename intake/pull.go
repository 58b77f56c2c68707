package intake

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/job"
)

const (
	// pullInterval is the minimum time between two reads of other failure domains'
	// queues.
	pullInterval = 10 * time.Second
	// minQueuedTime is how long a job must be queued in its failure domain before
	// another one may pull it.
	minQueuedTime = 15 * time.Second
	// minTimeBetweenMoves is the minimum time between two moves of one job.
	minTimeBetweenMoves = 10 * time.Minute
)

// pull moves queued jobs here from other failure domains in service if this one
// could start them at once, for example after its return to service. It does so
// only while no job is queued here, so that a busy failure domain causes no reads.
func (in *Intake) pull(ctx context.Context) {
	now := in.o.Now()
	snap, _ := in.o.Config.Current()
	here := snap.FailureDomains[in.o.FailureDomain]
	if in.o.SelectStartable == nil || here.Out || now.Sub(in.lastPull) < pullInterval || in.hasQueuedJobs() {
		return
	}
	in.lastPull = now
	for _, from := range sortedKeys(snap.FailureDomains) {
		if from == here.Name || snap.FailureDomains[from].Out || !in.o.HasScheduler(from) {
			continue
		}
		if err := in.pullFrom(ctx, from); err != nil {
			in.o.Logger.Warn("pulling queued jobs failed; retrying after the pull interval", "failureDomain", from, "err", err.Error())
		}
	}
}

// hasQueuedJobs reports whether a job is or may be queued in this failure domain:
// it returns true while the ledger is not read completely.
func (in *Intake) hasQueuedJobs() bool {
	records, _, complete := in.o.Ledgers.Jobs(in.o.FailureDomain).Snapshot()
	for _, rec := range records {
		if rec.State == job.Queued {
			return true
		}
	}
	return !complete
}

// pullFrom moves the jobs here that this failure domain can start at once.
func (in *Intake) pullFrom(ctx context.Context, from string) error {
	records, err := in.o.Ledgers.Jobs(from).ReadAll(ctx)
	if err != nil {
		return err
	}
	var offered []job.Record
	for _, key := range sortedKeys(records) {
		if rec := records[key]; movable(rec) && in.queuedLongEnough(rec) {
			offered = append(offered, rec)
		}
	}
	if len(offered) == 0 {
		return nil
	}
	var g errgroup.Group
	for _, id := range in.o.SelectStartable(ctx, offered) {
		g.Go(func() error {
			return in.moveJob(ctx, id.String(), from, in.o.FailureDomain, "failure domain "+in.o.FailureDomain+" has room for it")
		})
	}
	return g.Wait()
}

// queuedLongEnough reports whether a queued job may be pulled: it has been queued
// in its failure domain for minQueuedTime, or for minTimeBetweenMoves if it was
// moved before.
func (in *Intake) queuedLongEnough(rec job.Record) bool {
	since := rec.Submitted
	if n := len(rec.History); n > 0 {
		since = rec.History[n-1].At
	}
	required := minQueuedTime
	if rec.Moves > 0 {
		required = minTimeBetweenMoves
	}
	return in.o.Now().Sub(since) >= required
}
