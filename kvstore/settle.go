package kvstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/pause"
)

// settleTimeout bounds the reading back of a write whose answer was lost.
const settleTimeout = 3 * time.Second

type swapArgs struct {
	key     string
	value   []byte
	version uint64
	nonce   uint64 // stored beside the value, to tell this write from others
}

type acquireArgs struct {
	key   string
	value []byte
	lease Lease
}

// writer makes single tries of writes; their outcome may be ErrAmbiguous.
type writer interface {
	Get(ctx context.Context, key string) (Entry, error)
	swapOnce(ctx context.Context, a swapArgs) (Entry, error)
	acquireOnce(ctx context.Context, a acquireArgs) (Entry, error)
}

func settleSwap(ctx context.Context, w writer, a swapArgs) (Entry, error) {
	write := func(ctx context.Context) (Entry, error) { return w.swapOnce(ctx, a) }
	judge := func(found Entry) verdict { return judgeSwap(found, a.version, a.nonce) }
	return settle(ctx, w, a.key, write, judge)
}

func settleAcquire(ctx context.Context, w writer, a acquireArgs) (Entry, error) {
	write := func(ctx context.Context) (Entry, error) { return w.acquireOnce(ctx, a) }
	judge := func(found Entry) verdict { return judgeAcquire(found, a.lease) }
	return settle(ctx, w, a.key, write, judge)
}

// settle makes a write and, when its answer is lost, finds out whether it took
// effect. While the key shows no trace of it the write may still be under way,
// so the same one is sent again: at most one of them is applied.
func settle(ctx context.Context, w writer, key string, write func(context.Context) (Entry, error), judge func(Entry) verdict) (Entry, error) {
	written, err := write(ctx)
	if !errors.Is(err, ErrAmbiguous) {
		return written, err
	}
	ctx, cancel := context.WithTimeout(Urgent(ctx), settleTimeout)
	defer cancel()
	for try := 0; ctx.Err() == nil; try++ {
		found, readErr := readBack(ctx, w, key)
		switch {
		case readErr != nil:
		case judge(found) == applied:
			return found, nil
		case judge(found) == overtaken:
			return Entry{}, err
		default:
			if written, writeErr := write(ctx); writeErr == nil {
				return written, nil
			}
		}
		pause.For(ctx, backoff(try, rand.Float64()))
	}
	return Entry{}, err
}

func readBack(ctx context.Context, w writer, key string) (Entry, error) {
	found, err := w.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return Entry{Key: key}, nil
	}
	return found, err
}

func newNonce() uint64 { return rand.Uint64() | 1 }

// verdict is what reading a key back tells of a write whose answer was lost.
type verdict int

const (
	applied   verdict = iota // the write took effect
	pending                  // it has not, and may yet
	overtaken                // the key moved on; whether through this write is unknown
)

// judgeSwap tells what a key shows of a swap at version under a nonce.
func judgeSwap(found Entry, version, nonce uint64) verdict {
	switch {
	case found.Nonce == nonce:
		return applied
	case found.Version == version:
		return pending
	}
	return overtaken
}

// judgeAcquire tells what a key shows of an acquisition under a lease.
func judgeAcquire(found Entry, lease Lease) verdict {
	switch found.Lease {
	case lease.ID:
		return applied
	case "":
		return pending
	}
	return overtaken
}
