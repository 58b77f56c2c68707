package dispatch

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

// Guards against a task that runs twice: lease ends hold only if the term before wrote them,
// as a leader in between may have extended the leases without changing them. Others are
// written over.
func TestLeaseEndsHoldOnlyAfterTheTermThatWroteThem(t *testing.T) {
	ends := ledger.LeaseEnds{Ends: []ledger.LeaseEnd{{Runner: "r", RemainingMS: 1, Mark: "m"}}}
	value, err := ledger.EncodeLeaseEnds(ends)
	must.NoError(t, err)
	type change struct{ key, value string } // an empty value: a deletion
	record, unreadable := change{ledger.LeaseEndsKey, string(value)}, change{ledger.LeaseEndsKey, "["}
	lead, end := change{ledger.LeaderKey, "h/1"}, change{key: ledger.LeaderKey}
	for name, test := range map[string]struct {
		changes   []change
		compacted bool
		want      int
	}{
		"the term before":             {[]change{lead, record, end, lead}, false, 1},
		"another term in between":     {[]change{lead, record, end, lead, end, lead}, false, 0},
		"written by a term since":     {[]change{lead, record, end, lead, record, end, lead}, false, 1},
		"the history was dropped":     {[]change{lead, record, end, lead}, true, 0},
		"the record can't be decoded": {[]change{lead, unreadable, end, lead}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			store := keyspace.New(keyspace.Options{})
			for _, c := range test.changes {
				if c.value == "" {
					store.WriteWithoutFaults(kvstore.Txn{Deletes: []string{c.key}})
					continue
				}
				store.WriteWithoutFaults(kvstore.Txn{Puts: []kvstore.Put{{Key: c.key, Value: []byte(c.value)}}})
			}
			if test.compacted {
				store.Compact()
			}
			items, asOf, err := store.List(t.Context(), ledger.ReplicaPrefix)
			must.NoError(t, err)
			l := &Leader{Options: Options{Log: log.New(io.Discard), Store: store}, term: &Term{Token: asOf}}
			replica := ledger.NewReplica(l.Log)
			replica.Reset(items)
			found, err := l.readLeaseEnds(t.Context(), replica.LeaseEnds())
			must.NoError(t, err)
			must.Len(t, test.want, found.ends)
			must.True(t, found.outdated, must.Sprint("it is written again, as of this term"))
			must.Positive(t, found.revision)
		})
	}
}
