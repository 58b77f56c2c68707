package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	// loadTimeout bounds one read of the records, such as a page of a list.
	loadTimeout = 3 * time.Second

	// changesSilence bounds the time in which nothing of the changes arrives. A watch leaves no
	// time for a peer when the store doesn't answer this host; the next try then begins with one.
	changesSilence = loadTimeout / 2
)

// storedRecords are the records of earlier terms in the store. Those of jobs that have ended
// are left out where nothing of the job can be under way.
type storedRecords struct {
	jobs      *ledger.Replica
	progress  []kvstore.Item
	leaseEnds leaseEndsRecord
	speeds    batch.Speeds
}

// recordsReader reads the records of earlier terms. It keeps what it has read when a read
// fails, so that it ends however many records there are.
type recordsReader struct {
	*Leader
	jobs     *ledger.Replica // as of asOf
	asOf     uint64          // 0: unknown
	list     kvstore.Listing // of the jobs, if the store no longer has the changes after asOf
	progress kvstore.Listing
}

func newRecordsReader(l *Leader) *recordsReader {
	return &recordsReader{
		Leader:   l,
		list:     kvstore.Listing{Store: l.Store, Prefix: ledger.ReplicaPrefix, PageSilence: loadTimeout},
		progress: kvstore.Listing{Store: l.Store, Prefix: ledger.ProgressPrefix, PageSilence: loadTimeout, Keep: l.mayBeUnderWay},
	}
}

// mayBeUnderWay reports whether something of a job may be under way by its progress record: it
// has not ended, or one of its starts may still be carried out.
func (l *Leader) mayBeUnderWay(progress kvstore.Item) bool {
	return !l.Replica.Ended(ledger.JobFromProgressKey(progress.Key)) || ledger.HasOpenStart(progress.Value)
}

func (r *recordsReader) read(ctx context.Context) (found storedRecords, err error) {
	if err := r.readJobs(ctx); err != nil {
		return found, err
	}
	found.jobs = r.jobs
	if found.leaseEnds, err = r.readLeaseEnds(ctx, r.jobs.LeaseEnds()); err != nil {
		return found, err
	}
	if found.progress, _, err = r.progress.Read(ctx); err != nil {
		return found, err
	}
	found.speeds, err = r.readSpeeds(ctx)
	return found, err
}

// readJobs reads the changes since the replica was copied, up to the beginning of the term. The
// jobs are listed if the store doesn't return the changes. Each try copies the replica again, which
// the host's follower may have brought further meanwhile.
func (r *recordsReader) readJobs(ctx context.Context) error {
	if r.asOf < r.term.Token {
		r.jobs, r.asOf = r.Replica.CopyOpen()
	}
	for r.asOf != 0 && r.asOf < r.term.Token {
		if err := r.readChanges(ctx); err != nil {
			return err
		}
	}
	if r.asOf != 0 {
		return nil
	}
	items, asOf, err := r.list.Read(ctx)
	if err != nil {
		return err
	}
	r.jobs, r.asOf = ledger.NewReplica(r.Log), asOf
	r.jobs.Reset(items)
	return nil
}

// readChanges applies the next changes after asOf.
func (r *recordsReader) readChanges(ctx context.Context) error {
	ctx, cancel := kvstore.ReadContext(ctx, changesSilence)
	defer cancel()
	events, asOf, err := r.Store.Watch(ctx, ledger.ReplicaPrefix, r.asOf, 0)
	switch {
	case errors.Is(err, kvstore.ErrCompacted):
		r.asOf = 0
		return nil
	case err != nil:
		return err
	case asOf <= r.asOf:
		return errors.Newf("the store's changes end at revision %d, before the term's %d", asOf, r.term.Token)
	}
	r.jobs.Apply(events)
	r.asOf = asOf
	return nil
}
