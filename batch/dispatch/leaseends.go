package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	// leaseEndsInterval is the time between two looks at the leases whose end is to be
	// recorded. Runners that are lost together are recorded together.
	leaseEndsInterval = 100 * time.Millisecond

	// leaseEndsRefresh is the time between two writes of a record that names the same
	// runners. A host that has just started counts from the last one.
	leaseEndsRefresh = time.Second
)

// leaseEndsRecord is the record of lease ends as it is in the store, without entries that
// don't hold.
type leaseEndsRecord struct {
	ends     []ledger.LeaseEnd // by runner
	revision uint64            // 0: there is none
	outdated bool              // the store's record is of an earlier term
	written  steady.Time       // when this leader last wrote it; 0: it has not
}

// readLeaseEnds returns the record of earlier terms from its item, if there is one. One that
// can't be decoded, or that was not written by the term before, is taken for an empty one,
// which is safe: the new leader then waits for whole leases.
func (l *Leader) readLeaseEnds(ctx context.Context, item kvstore.Item) (leaseEndsRecord, error) {
	if item.Revision == 0 {
		return leaseEndsRecord{}, nil
	}
	record := leaseEndsRecord{revision: item.Revision, outdated: true}
	found, err := ledger.DecodeLeaseEnds(item.Value)
	if err != nil {
		l.Log.Error("lease ends are unreadable; waiting for whole leases", "revision", record.revision, "err", err)
		return record, nil
	}
	if len(found.Ends) == 0 {
		record.outdated = false
		return record, nil
	}
	holds, err := l.noTermSince(ctx, record.revision)
	if err != nil {
		return record, err
	}
	if !holds {
		l.Log.Warn("lease ends may be older than the term before; waiting for whole leases", "revision", record.revision)
		return record, nil
	}
	record.ends = found.Ends
	return record, nil
}

// noTermSince reports whether no other term than this one is known to have begun after a
// revision. It returns false if the store's history doesn't show that.
func (l *Leader) noTermSince(ctx context.Context, revision uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	events, _, err := l.Store.Watch(ctx, ledger.LeaderKey, revision, 0)
	if errors.Is(err, kvstore.ErrCompacted) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	other := slices.ContainsFunc(events, func(e kvstore.Event) bool { return !e.Deleted && e.Revision != l.term.Token })
	return !other, nil
}

// leaseEndsBy returns the time by which the lease of each runner in the record has run out.
func (l *Leader) leaseEndsBy(record leaseEndsRecord, now steady.Time) map[string]steady.Time {
	by := make(map[string]steady.Time, len(record.ends))
	for _, e := range record.ends {
		by[e.Runner] = l.Replica.LeaseEndBy(e, now)
		l.Log.Info("inherited lease end", "runner", e.Runner, "in", by[e.Runner].Sub(now).Round(time.Millisecond), "token", l.term.Token)
	}
	return by
}

// leaseEndsLoop keeps the record of lease ends current until ctx ends. One write is in
// flight at a time, and each is conditional on the one before, so that none is carried out
// after a lease was extended that it names.
func (l *Leader) leaseEndsLoop(ctx context.Context) {
	for pause.For(ctx, leaseEndsInterval) {
		if !l.term.Valid() {
			continue // it couldn't be written, and would keep leases from being extended
		}
		l.mu.Lock()
		next := l.nextLeaseEnds(l.core.LeaseEndsToRecord(steady.Now()))
		tokensDue := l.tokensDue() // this commit raises them, if no other does
		l.mu.Unlock()
		if slices.Equal(next, l.leaseEnds.ends) && !l.leaseEnds.outdated && !tokensDue {
			continue
		}
		if !l.writeLeaseEnds(ctx, next) {
			return
		}
	}
}

// nextLeaseEnds returns the entries for the given runners: those in the record as they are,
// unless it is to be refreshed, and new ones.
func (l *Leader) nextLeaseEnds(ends map[string]steady.Time) []ledger.LeaseEnd {
	now := steady.Now()
	var next []ledger.LeaseEnd
	for _, e := range l.leaseEnds.ends {
		if _, still := ends[e.Runner]; still && now.Sub(l.leaseEnds.written) < leaseEndsRefresh {
			next = append(next, e)
			delete(ends, e.Runner)
		}
	}
	for runner, by := range ends {
		remaining := max(0, by.Sub(now)) + time.Millisecond // the record is in whole milliseconds
		next = append(next, ledger.LeaseEnd{Runner: runner, RemainingMS: remaining.Milliseconds(), Mark: fmt.Sprintf("%d/%d", l.term.Token, now)})
	}
	slices.SortFunc(next, func(a, b ledger.LeaseEnd) int { return cmp.Compare(a.Runner, b.Runner) })
	return next
}

// writeLeaseEnds commits the record and passes it to the core. It returns false when the
// term has ended.
func (l *Leader) writeLeaseEnds(ctx context.Context, next []ledger.LeaseEnd) bool {
	value, err := ledger.EncodeLeaseEnds(ledger.LeaseEnds{Ends: next})
	if err != nil {
		l.giveUpTerm("the lease ends can't be encoded", err)
		return false
	}
	revision, ok := l.commit(ctx, kvstore.Txn{
		If:   []kvstore.Condition{{Key: ledger.LeaderKey, Revision: l.term.Token}, {Key: ledger.LeaseEndsKey, Revision: l.leaseEnds.revision}},
		Puts: []kvstore.Put{{Key: ledger.LeaseEndsKey, Value: value}},
	})
	if !ok {
		return false
	}
	runners := make([]string, 0, len(next))
	for _, e := range next {
		runners = append(runners, e.Runner)
	}
	if len(next) != len(l.leaseEnds.ends) {
		l.Log.Info("lease ends recorded", "runners", len(next), "before", len(l.leaseEnds.ends), "token", l.term.Token)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseEnds = leaseEndsRecord{ends: next, revision: revision, written: steady.Now()}
	l.core.LeaseEndsRecorded(runners)
	l.raiseTokens(revision)
	l.notifyCommitted()
	signal(l.decisionDue)
	return true
}
