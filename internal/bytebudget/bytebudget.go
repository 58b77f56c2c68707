// Package bytebudget bounds the memory of what is read from many connections at once.
// A Budget counts bytes as they arrive, not as they are announced. When it is used up,
// the reader that holds most is given up, so that the many small ones are still served
// next to large ones that don't end. It keeps the open holds and their sizes; it does
// not hold the bytes themselves. The handler of callers' requests and the server of
// peers' calls use it.
package bytebudget

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrGivenUp means that a hold was given up, or not extended, as the budget is used up.
var ErrGivenUp = errors.New("too many bytes are being read at once")

// firmFactor is the firm limit as a multiple of the budget. Between the two, holds that
// were given up have not released their memory yet.
const firmFactor = 2

// Budget is a number of bytes that Holds share. It is safe for concurrent use.
type Budget struct {
	limit    int64
	onGiveUp func()

	mu      sync.Mutex
	used    int64 // by all holds, including those given up and not closed yet
	leaving int64 // of it, by holds that were given up
	holds   map[*Hold]struct{}
	opened  uint64
}

// New returns a Budget of limit bytes. onGiveUp is called for each hold that is given up;
// it must not block.
func New(limit int64, onGiveUp func()) *Budget {
	return &Budget{limit: limit, onGiveUp: onGiveUp, holds: make(map[*Hold]struct{})}
}

// Hold is the part of a Budget that one reader uses.
type Hold struct {
	budget *Budget
	giveUp func()
	order  uint64

	// The fields below are guarded by budget.mu.
	bytes    int64
	complete bool // it can no longer be given up
	gone     bool // it was given up
}

// Open returns a Hold of no bytes. giveUp ends the reader's wait for more bytes; it must
// not block. The caller closes the Hold when it has released its memory.
func (b *Budget) Open(giveUp func()) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened++
	h := &Hold{budget: b, giveUp: giveUp, order: b.opened}
	b.holds[h] = struct{}{}
	return h
}

// Resize sets the bytes of the hold. If they exceed the budget, the hold with most bytes
// among those that are not complete is given up. It returns ErrGivenUp if that is this
// one, or if nothing can be given up; the hold then keeps its size.
func (h *Hold) Resize(bytes int64) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.gone {
		return ErrGivenUp
	}
	more := bytes - h.bytes
	for more > 0 && more > b.limit-(b.used-b.leaving) {
		if victim := b.largest(h, bytes); victim == nil || victim == h {
			return b.refuse(h)
		} else if !b.drop(victim) {
			return b.refuse(h)
		}
	}
	if more > 0 && more > firmFactor*b.limit-b.used {
		return b.refuse(h)
	}
	b.used += more
	h.bytes = bytes
	return nil
}

// refuse gives h up without a call of giveUp: its own reader asks.
func (b *Budget) refuse(h *Hold) error {
	b.leave(h)
	return ErrGivenUp
}

// largest returns the hold to give up, where growing would have the given size. Of holds
// of one size it is the one opened first.
func (b *Budget) largest(growing *Hold, size int64) *Hold {
	var victim *Hold
	most := int64(0)
	for h := range b.holds {
		bytes := h.bytes
		if h == growing {
			bytes = size
		} else if h.complete || h.gone {
			continue
		}
		if bytes > most || bytes == most && victim != nil && h.order < victim.order {
			victim, most = h, bytes
		}
	}
	return victim
}

// drop gives up victim. It returns false if that releases nothing.
func (b *Budget) drop(victim *Hold) bool {
	if victim.bytes == 0 {
		return false
	}
	b.leave(victim)
	victim.giveUp()
	return true
}

func (b *Budget) leave(h *Hold) {
	h.gone = true
	b.leaving += h.bytes
	b.onGiveUp()
}

// Complete ends the time in which the hold may be given up. It returns ErrGivenUp if the
// hold was given up before.
func (h *Hold) Complete() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.gone {
		return ErrGivenUp
	}
	h.complete = true
	return nil
}

// Gone reports whether the hold was given up.
func (h *Hold) Gone() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.gone
}

// Close releases the hold's bytes. It may be called more than once.
func (h *Hold) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.holds[h]; !open {
		return
	}
	delete(b.holds, h)
	b.used -= h.bytes
	if h.gone {
		b.leaving -= h.bytes
	}
}
