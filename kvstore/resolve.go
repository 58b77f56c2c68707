package kvstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/pause"
)

// resolveTimeout bounds the time to find out, by reading back and retrying,
// whether a write whose answer was lost took effect.
const resolveTimeout = 3 * time.Second

// swapArgs are the arguments of a compare-and-swap.
type swapArgs struct {
	key     string
	value   []byte
	version uint64
	nonce   uint64 // stored with the value, to identify this write when it is read back
}

// acquireArgs are the arguments of an acquisition.
type acquireArgs struct {
	key   string
	value []byte
	lease Lease
}

// writer makes single attempts at writes; their outcome may be ErrAmbiguous.
type writer interface {
	Get(ctx context.Context, key string) (Entry, error)
	trySwap(ctx context.Context, a swapArgs) (Entry, error)
	tryAcquire(ctx context.Context, a acquireArgs) (Entry, error)
}

// swapAndResolve makes a compare-and-swap and resolves a lost answer.
func swapAndResolve(ctx context.Context, w writer, a swapArgs) (Entry, error) {
	write := func(ctx context.Context) (Entry, error) { return w.trySwap(ctx, a) }
	classify := func(found Entry) writeState { return swapState(found, a.version, a.nonce) }
	return writeAndResolve(ctx, w, a.key, write, classify)
}

// acquireAndResolve makes an acquisition and resolves a lost answer.
func acquireAndResolve(ctx context.Context, w writer, a acquireArgs) (Entry, error) {
	write := func(ctx context.Context) (Entry, error) { return w.tryAcquire(ctx, a) }
	classify := func(found Entry) writeState { return acquireState(found, a.lease) }
	return writeAndResolve(ctx, w, a.key, write, classify)
}

// writeAndResolve makes a write and, when its answer is lost, reads the key back to
// find out whether the write took effect. While the key shows no trace of it, the
// write may still be in flight, so an identical one is sent; the store applies at
// most one of them.
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

// readBack reads a key; a missing key is an entry at version 0.
func readBack(ctx context.Context, w writer, key string) (Entry, error) {
	found, err := w.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return Entry{Key: key}, nil
	}
	return found, err
}

// newNonce returns a random nonce, which is never 0.
func newNonce() uint64 { return rand.Uint64() | 1 }

// writeState is what reading a key back shows about a write whose answer was lost.
type writeState int

const (
	applied    writeState = iota // the write took effect
	pending                      // the write has not taken effect, but still may
	superseded                   // the key was written again; whether this write came before is unknown
)

// swapState returns the state of a swap at version with a nonce, given the key's
// entry.
func swapState(found Entry, version, nonce uint64) writeState {
	switch {
	case found.Nonce == nonce:
		return applied
	case found.Version == version:
		return pending
	}
	return superseded
}

// acquireState returns the state of an acquisition under a lease, given the key's
// entry.
func acquireState(found Entry, lease Lease) writeState {
	switch found.Lease {
	case lease.ID:
		return applied
	case "":
		return pending
	}
	return superseded
}
