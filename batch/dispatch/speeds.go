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

// speedsWriteInterval lies between two records of learned speeds: what a takeover may
// lose is a few runs' worth, and a write every two seconds is little for the store.
const speedsWriteInterval = 2 * time.Second

// readSpeeds reads what earlier terms learned. A record that can't be read is
// left out: speeds are learned again within some ten runs.
func (l *Leader) readSpeeds(ctx context.Context) (batch.Speeds, error) {
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

// speedsLoop records what was learned until ctx ends.
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
			l.Log.Debug("learned speeds not recorded; trying again", "err", err)
			continue
		}
		last = value
	}
}

func (l *Leader) encodeSpeeds() ([]byte, error) {
	l.mu.Lock()
	learned := l.core.Learned()
	l.mu.Unlock()
	return ledger.EncodeSpeeds(learned)
}

func (l *Leader) writeSpeeds(ctx context.Context, value []byte) error {
	if !l.term.Valid() {
		return errors.New("the term is in doubt")
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := l.Store.Commit(ctx, kvstore.Txn{
		If:   []kvstore.Condition{{Key: ledger.LeaderKey, Revision: l.term.Token}},
		Puts: []kvstore.Put{{Key: ledger.SpeedsKey, Value: value}},
	})
	return err
}
