package dispatch

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

// shortLeases applies another duration to leases than the one asked for.
type shortLeases struct {
	kvstore.Keyspace
	ttl time.Duration
}

func (s shortLeases) Grant(ctx context.Context, _ time.Duration) (kvstore.LeaseGrant, error) {
	return s.Keyspace.Grant(ctx, s.ttl)
}

// Guards against two hosts that lead at once: a leader's term lasts as long as the store
// lets its lease last, which may be shorter or longer than the leader asked for.
func TestTermLastsAsLongAsTheStoreAppliesItsLease(t *testing.T) {
	for _, ttl := range []time.Duration{termTTL / 2, 2 * termTTL} {
		c := &Candidate{
			Store: shortLeases{keyspace.New(keyspace.Options{}), ttl}, Replica: ledger.NewReplica(log.New(io.Discard)), Host: "h", Log: log.New(io.Discard),
		}
		term, err := c.acquireTerm(t.Context())
		must.NoError(t, err)
		must.True(t, term.Valid())
		acquired := term.renewed
		must.Eq(t, acquired.Add(ttl+time.Second), term.RunnerLeaseLimit(time.Second))
		must.True(t, term.validAt(acquired.Add(ttl-termMargin-1)))
		must.False(t, term.validAt(acquired.Add(ttl-termMargin)))
		term.renewed = steady.Now().Add(termMargin - ttl - 1)
		must.False(t, term.Valid())
	}
}

// A term whose lease is shorter than asked for is renewed in time.
func TestTermWithAShortLeaseIsRenewedInTime(t *testing.T) {
	const ttl = termTTL / 2
	store := shortLeases{keyspace.New(keyspace.Options{}), ttl}
	ctx, cancel := context.WithTimeout(t.Context(), 3*ttl)
	defer cancel()
	terms := 0
	c := &Candidate{
		Store: store, Replica: ledger.NewReplica(log.New(io.Discard)), Host: "h", Log: log.New(io.Discard),
		Lead: func(ctx context.Context, term *Term) {
			terms++
			for ctx.Err() == nil {
				must.True(t, term.Valid())
				time.Sleep(10 * time.Millisecond)
			}
		},
	}
	c.Replica.Reset(nil)
	c.Run(ctx)
	must.Eq(t, 1, terms)
}
