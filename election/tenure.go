package election

import (
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

// tenure is one term of this host. Its zero value holds nothing.
type tenure struct {
	lease kvstore.Lease
	term  uint64
	until time.Time // local monotonic time at which the host must have stopped acting
}

// newTenure starts a term whose lease was asked for at sent. The store starts
// counting later than that, so the lease outlives until.
func newTenure(lease kvstore.Lease, term uint64, sent time.Time) tenure {
	return tenure{lease: lease, term: term}.renewed(sent)
}

// renewed extends the term by a renewal that was sent at sent.
func (t tenure) renewed(sent time.Time) tenure {
	until := sent.Add(t.lease.TTL - t.lease.TTL/marginShare)
	if until.After(t.until) {
		t.until = until
	}
	return t
}

// holds reports whether the term surely still holds at now.
func (t tenure) holds(now time.Time) bool { return t.term != 0 && now.Before(t.until) }
