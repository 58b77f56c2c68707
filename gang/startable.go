package gang

import (
	"context"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement"
)

// startableQuery asks the loop which queued jobs of other failure domains could
// start here.
type startableQuery struct {
	records []job.Record
	reply   chan []job.ID // buffered, so that the loop does not block
}

// StartableJobs returns which of the queued jobs of other failure domains this one
// could start immediately in addition to its own. It returns none when this host
// does not schedule, or when ctx ends first.
func (s *Scheduler) StartableJobs(ctx context.Context, records []job.Record) []job.ID {
	q := startableQuery{records: records, reply: make(chan []job.ID, 1)}
	select {
	case s.startableQueries <- q:
	case <-ctx.Done():
		return nil
	}
	select {
	case ids := <-q.reply:
		return ids
	case <-ctx.Done():
		return nil
	}
}

// answerStartable answers a query. Only the loop calls it.
func (s *Scheduler) answerStartable(q startableQuery) {
	now := s.o.Now()
	own, _, complete := s.o.Ledger.Snapshot()
	if !complete || s.permit.Check(now, s.term) != nil {
		q.reply <- nil
		return
	}
	snap, _ := s.o.Config.Current()
	waiting := make([]placement.WaitingJob, 0, len(q.records))
	for _, rec := range q.records {
		waiting = append(waiting, placementWaitingJob(rec))
	}
	q.reply <- placement.PullableJobs(s.placementView(now, own, snap), waiting)
}
