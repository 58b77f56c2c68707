package dispatch

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	// maxRecordsPerTxn is how many records fit into one transaction: each needs a
	// condition and up to two puts, and the term needs a condition.
	maxRecordsPerTxn = (kvstore.MaxTxnEntries - 1) / 3

	commitTimeout       = 1500 * time.Millisecond // four times the slowest store's answer, direct and through a peer
	commitRetryDelay    = 50 * time.Millisecond   // doubles up to commitRetryDelayMax
	commitRetryDelayMax = 250 * time.Millisecond  // four calls a second are a small load for the store
)

// recordLoop commits changed progress records, one group at a time. Each record
// has at most one write in flight, and each write is conditional on the revision of
// the one before, so a write that the store carries out late changes nothing.
func (l *Leader) recordLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.recordsDirty:
		}
		for l.commitGroup(ctx) {
		}
	}
}

// commitGroup commits up to maxRecordsPerTxn changed records. It returns false when
// none is left or the term has ended.
func (l *Leader) commitGroup(ctx context.Context) bool {
	l.mu.Lock()
	records := l.core.TakeRecords(maxRecordsPerTxn)
	txn, err := l.progressTxn(records)
	l.mu.Unlock()
	if len(records) == 0 {
		return false
	}
	if err != nil {
		l.giveUpTerm("a record can't be encoded", err)
		return false
	}
	revision, ok := l.commit(ctx, txn)
	if !ok {
		return false
	}
	l.noteCommitted(records, txn, revision)
	signal(l.decisionDue)
	return true
}

// progressTxn builds the transaction that writes records, conditional on the term
// and on each record's revision. The caller holds mu.
func (l *Leader) progressTxn(records []scheduler.Record) (kvstore.Txn, error) {
	txn := kvstore.Txn{If: []kvstore.Condition{{Key: ledger.LeaderKey, Revision: l.term.Token}}}
	for _, r := range records {
		value, err := ledger.EncodeProgress(r.Progress)
		if err != nil {
			return txn, err
		}
		key := ledger.ProgressKey(r.Job)
		txn.If = append(txn.If, kvstore.Condition{Key: key, Revision: l.revisions[r.Job]})
		txn.Puts = append(txn.Puts, kvstore.Put{Key: key, Value: value})
		if state := r.Progress.State; state != l.states[r.Job] {
			txn.Puts = append(txn.Puts, kvstore.Put{Key: ledger.StateKey(r.Job), Value: []byte(state)})
		}
	}
	return txn, nil
}

func (l *Leader) noteCommitted(records []scheduler.Record, txn kvstore.Txn, revision uint64) {
	now := steady.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		l.revisions[r.Job] = revision
		l.states[r.Job] = r.Progress.State
		l.core.RecordCommitted(r.Job, r.Version, now)
	}
	l.raiseTokens(revision)
	l.notifyCommitted()
}

// notifyCommitted wakes those that wait for a commit. The caller holds mu.
func (l *Leader) notifyCommitted() {
	close(l.committed)
	l.committed = make(chan struct{})
}

// commit retries the transaction until its outcome is clear or the term ends. It
// returns the revision and true if the transaction was applied.
func (l *Leader) commit(ctx context.Context, txn kvstore.Txn) (uint64, bool) {
	retry := pause.Backoff{Initial: commitRetryDelay, Max: commitRetryDelayMax}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		revision, err := l.Store.Commit(callCtx, txn)
		cancel()
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			return revision, true
		case errors.As(err, &conflict):
			revision, err = resolveConflict(conflict, txn)
			if err == nil {
				return revision, true
			}
			l.giveUpTerm("a record could not be committed", err)
			return 0, false
		}
		l.Log.Debug("commit failed; retrying", "records", len(txn.Puts), "err", err)
		retry.Wait(ctx)
	}
	return 0, false
}

// resolveConflict returns the revision of a transaction that failed with a conflict
// because an earlier try had applied it: every key then has the value to be
// written. Otherwise it returns an error.
func resolveConflict(conflict *kvstore.ConflictError, txn kvstore.Txn) (uint64, error) {
	current := make(map[string]kvstore.Item, len(conflict.Items))
	for _, item := range conflict.Items {
		current[item.Key] = item
	}
	if leader := current[ledger.LeaderKey]; leader.Revision != txn.If[0].Revision {
		return 0, errors.Wrap(kvstore.ErrHeld, "another host leads")
	}
	var revision uint64
	for _, p := range txn.Puts {
		item, conditional := current[p.Key]
		if !conditional {
			continue // the state that callers see, written together with its record
		}
		if !bytes.Equal(item.Value, p.Value) {
			return 0, errors.Wrapf(errForeignWrite, "key %s at revision %d", p.Key, item.Revision)
		}
		revision = item.Revision
	}
	return revision, nil
}
