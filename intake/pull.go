package intake

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/job"
)

const (
	// pullInterval is the time between two looks at other failure domains' queues.
	pullInterval = 10 * time.Second
	// minQueuedTime is how long a job has waited where it is before another failure
	// domain may take it.
	minQueuedTime = 15 * time.Second
	// minTimeBetweenMoves is the least time between two moves of one job.
	minTimeBetweenMoves = 10 * time.Minute
)

// pull takes over queued jobs of failure domains in service that this one could
// start at once, as after its return to service. It looks only while nothing
// waits here, so that a busy failure domain costs no reads.
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
			in.o.Logger.Warn("queued jobs were not taken over; it is tried again", "failureDomain", from, "err", err.Error())
		}
	}
}

// hasQueuedJobs reports whether a job is queued in this failure domain.
func (in *Intake) hasQueuedJobs() bool {
	records, _, complete := in.o.Ledgers.Jobs(in.o.FailureDomain).Snapshot()
	for _, rec := range records {
		if rec.State == job.Queued {
			return true
		}
	}
	return !complete
}

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

// queuedLongEnough reports whether a queued job has waited long enough where it is.
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
