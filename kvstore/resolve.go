package kvstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/pause"
)

// resolveTimeout bounds the reading back of a write whose answer was lost.
const resolveTimeout = 3 * time.Second

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

func swapAndResolve(ctx context.Context, w writer, a swapArgs) (Entry, error) {
	write := func(ctx context.Context) (Entry, error) { return w.swapOnce(ctx, a) }
	classify := func(found Entry) writeState { return swapState(found, a.version, a.nonce) }
	return writeAndResolve(ctx, w, a.key, write, classify)
}

func acquireAndResolve(ctx context.Context, w writer, a acquireArgs) (Entry, error) {
	write := func(ctx context.Context) (Entry, error) { return w.acquireOnce(ctx, a) }
	classify := func(found Entry) writeState { return acquireState(found, a.lease) }
	return writeAndResolve(ctx, w, a.key, write, classify)
}

// writeAndResolve makes a write and, when its answer is lost, finds out whether it took
// effect. While the key shows no trace of it the write may still be under way,
// so the same one is sent again: at most one of them is applied.
func writeAndResolve(ctx context.Context, w writer, key string, write func(context.Context) (Entry, error), classify func(Entry) writeState) (Entry, error) {
	written, err := write(ctx)
	if !errors.Is(err, ErrAmbiguous) {
		return written, err
	}
	ctx, cancel := context.WithTimeout(Urgent(ctx), resolveTimeout)
	defer cancel()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		found, readErr := readBack(ctx, w, key)
		switch {
		case readErr != nil:
		case classify(found) == applied:
			return found, nil
		case classify(found) == superseded:
			return Entry{}, err
		default:
			if written, writeErr := write(ctx); writeErr == nil {
				return written, nil
			}
		}
		pause.For(ctx, backoff(attempt, rand.Float64()))
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

// writeState is what reading a key back tells of a write whose answer was lost.
type writeState int

const (
	applied    writeState = iota // the write took effect
	pending                      // it has not, and may yet
	superseded                   // the key moved on; whether through this write is unknown
)

// swapState tells what a key shows of a swap at version under a nonce.
func swapState(found Entry, version, nonce uint64) writeState {
	switch {
	case found.Nonce == nonce:
		return applied
	case found.Version == version:
		return pending
	}
	return superseded
}

// acquireState tells what a key shows of an acquisition under a lease.
func acquireState(found Entry, lease Lease) writeState {
	switch found.Lease {
	case lease.ID:
		return applied
	case "":
		return pending
	}
	return superseded
}
