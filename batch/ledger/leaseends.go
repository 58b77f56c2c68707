package ledger

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

// LeaseEnd records that nobody extends a runner's lease any more, and how long it may
// last. The hosts' clocks can't be compared, so a reader counts from when it first saw the
// entry: no earlier than it was written.
type LeaseEnd struct {
	Runner      string `json:"runner"`
	RemainingMS int64  `json:"remaining"` // until the lease has run out, counted from the write
	Mark        string `json:"mark"`      // differs between two entries of a runner
}

// Remaining returns how long after the write the lease may last.
func (e LeaseEnd) Remaining() time.Duration { return time.Duration(e.RemainingMS) * time.Millisecond }

// LeaseEnds is the record of lease ends. It holds only for the leader that follows the one
// that wrote it: a leader in between may have extended the leases without changing it, as
// one of an earlier version does.
type LeaseEnds struct {
	Ends []LeaseEnd `json:"ends"` // by runner
}

// leaseEndID identifies an entry of the record of lease ends.
type leaseEndID struct{ runner, mark string }

func (e LeaseEnd) id() leaseEndID { return leaseEndID{e.Runner, e.Mark} }

// seenLeaseEnds holds when each entry of the record was first seen here.
type seenLeaseEnds map[leaseEndID]steady.Time

// EncodeLeaseEnds encodes the record of lease ends.
func EncodeLeaseEnds(record LeaseEnds) ([]byte, error) { return json.Marshal(record) }

// DecodeLeaseEnds decodes the record of lease ends.
func DecodeLeaseEnds(value []byte) (LeaseEnds, error) {
	var record LeaseEnds
	if err := json.Unmarshal(value, &record); err != nil {
		return LeaseEnds{}, errors.Wrap(err, "decoding the record of lease ends")
	}
	for _, e := range record.Ends {
		if e.RemainingMS < 0 {
			return LeaseEnds{}, errors.Newf("the lease end of runner %s has a negative time", e.Runner)
		}
	}
	return record, nil
}

// putLeaseEnds notes which entries of the record are seen for the first time. The caller
// holds mu.
func (r *Replica) putLeaseEnds(item kvstore.Item) {
	record, err := DecodeLeaseEnds(item.Value)
	if err != nil {
		r.log.Error("lease ends are unreadable; a new leader waits for whole leases", "revision", item.Revision, "err", err)
	}
	r.endsItem = item
	now := steady.Now()
	seen := make(seenLeaseEnds, len(record.Ends))
	for _, e := range record.Ends {
		at, known := r.ends[e.id()]
		if !known {
			at = now
		}
		seen[e.id()] = at
	}
	r.ends = seen
}

// LeaseEndBy returns the time by which the lease of an entry, which is in the store at now,
// has run out.
func (r *Replica) LeaseEndBy(e LeaseEnd, now steady.Time) steady.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen, known := r.ends[e.id()]
	if !known {
		seen = now
	}
	return seen.Add(e.Remaining())
}
