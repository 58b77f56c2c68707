package dispatch

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

// speedsWriteInterval is the time between two writes of learned speeds. A takeover
// loses the results of at most a few runs, and a write every two seconds is a small
// load for the store.
const speedsWriteInterval = 2 * time.Second

// readSpeeds reads the speeds that earlier terms learned. A record that can't be
// decoded is ignored: speeds are learned again within about ten runs.
func (l *Leader) readSpeeds(ctx context.Context) (batch.Speeds, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	item, err := l.Store.Get(ctx, ledger.SpeedsKey)
	if errors.Is(err, kvstore.ErrNotFound) {
		return batch.Speeds{}, nil
	}
	if err != nil {
		return batch.Speeds{}, err
	}
	speeds, err := ledger.DecodeSpeeds(item.Value)
	if err != nil {
		l.Log.Error("learned speeds are unreadable and are learned anew", "revision", item.Revision, "err", err)
	}
	return speeds, nil
}

// speedsLoop writes learned speeds that have changed to the store until ctx ends.
func (l *Leader) speedsLoop(ctx context.Context) {
	var last []byte
	for pause.For(ctx, speedsWriteInterval) {
		value, err := l.encodeSpeeds()
		if err != nil {
			l.Log.Error("learned speeds can't be recorded", "err", err)
			return
		}
		if bytes.Equal(value, last) {
			continue
		}
		if err := l.writeSpeeds(ctx, value); err != nil {
			l.Log.Debug("writing learned speeds failed; retrying", "err", err)
			continue
		}
		last = value
	}
}

func (l *Leader) encodeSpeeds() ([]byte, error) {
	l.mu.Lock()
	learned := l.core.LearnedSpeeds()
	l.mu.Unlock()
	return ledger.EncodeSpeeds(learned)
}

func (l *Leader) writeSpeeds(ctx context.Context, value []byte) error {
	if !l.term.Valid() {
		return errors.New("the term's lease may have expired")
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := l.Store.Commit(ctx, kvstore.Txn{
		If:   []kvstore.Condition{{Key: ledger.LeaderKey, Revision: l.term.Token}},
		Puts: []kvstore.Put{{Key: ledger.SpeedsKey, Value: value}},
	})
	return err
}
