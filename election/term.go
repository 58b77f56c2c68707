package election

import (
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

// heldTerm is a term of this host and the lease under which the host holds the key.
// The zero value is no term.
type heldTerm struct {
	lease      kvstore.Lease
	term       uint64
	validUntil time.Time // local monotonic time by which the host must have stopped acting
}

// newHeldTerm returns a term whose lease was requested at sent. The store starts
// the lease's TTL later than that, so the lease expires after validUntil.
func newHeldTerm(lease kvstore.Lease, term uint64, sent time.Time) heldTerm {
	return heldTerm{lease: lease, term: term}.extendedFrom(sent)
}

// extendedFrom returns the term as extended by a renewal that was sent at sent. It
// never shortens the term.
func (t heldTerm) extendedFrom(sent time.Time) heldTerm {
	until := sent.Add(t.lease.TTL - t.lease.TTL/safetyMarginDivisor)
	if until.After(t.validUntil) {
		t.validUntil = until
	}
	return t
}

// validAt reports whether the term is certain to be valid at now.
func (t heldTerm) validAt(now time.Time) bool { return t.term != 0 && now.Before(t.validUntil) }
