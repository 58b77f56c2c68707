// Package progress bounds a call by how long its answer may be silent rather than by how
// long it may take: an answer that goes on arriving over a slow link isn't cut off.
package progress

import (
	"context"
	"io"
	"sync"
	"time"
)

// limit is a context that ends when nothing has arrived for its time of silence.
type limit struct {
	context.Context
	outer   *limit // nil: none
	silence time.Duration
	timer   *time.Timer

	mu       sync.Mutex
	deadline time.Time // when the context ends if nothing more arrives
	arrived  bool      // whether anything has arrived
}

type limitKey struct{}

// WithLimit returns a context that ends, with the cause context.DeadlineExceeded, when
// nothing has arrived for the given time since its start. Each arrival that Mark tells of
// begins that time anew.
func WithLimit(parent context.Context, silence time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	l := &limit{Context: ctx, outer: limitOf(parent), silence: silence, deadline: time.Now().Add(silence)}
	l.timer = time.AfterFunc(silence, func() { cancel(context.DeadlineExceeded) })
	return l, func() {
		l.timer.Stop()
		cancel(context.Canceled)
	}
}

// Deadline implements context.Context. It moves with each arrival.
func (l *limit) Deadline() (time.Time, bool) {
	l.mu.Lock()
	deadline := l.deadline
	l.mu.Unlock()
	if fixed, ok := l.Context.Deadline(); ok && fixed.Before(deadline) {
		return fixed, true
	}
	return deadline, true
}

// Value implements context.Context.
func (l *limit) Value(key any) any {
	if key == (limitKey{}) {
		return l
	}
	return l.Context.Value(key)
}

func limitOf(ctx context.Context) *limit {
	l, _ := ctx.Value(limitKey{}).(*limit)
	return l
}

// mark returns false if the limit's context has ended.
func (l *limit) mark() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Err() != nil {
		return false
	}
	l.arrived = true
	l.deadline = time.Now().Add(l.silence)
	l.timer.Reset(l.silence)
	return true
}

// Mark tells all limits of ctx that part of an answer has arrived, unless ctx has ended.
func Mark(ctx context.Context) {
	for l := limitOf(ctx); l != nil && l.mark(); l = l.outer {
	}
}

// Arrived reports whether anything has arrived since the innermost limit of ctx began.
// Without a limit it is false.
func Arrived(ctx context.Context) bool {
	l := limitOf(ctx)
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrived
}

// NewReader returns a reader of r that calls Mark for all that it reads.
func NewReader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx: ctx, r: r} }

type reader struct {
	ctx context.Context
	r   io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		Mark(r.ctx)
	}
	return n, err
}
