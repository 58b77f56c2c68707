package election

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

func TestTermValidityCountsFromTheTimeOfSending(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	held := newHeldTerm(kvstore.Lease{TTL: 10 * time.Second}, 7, t0)
	must.True(t, held.validAt(at(8.9)))
	must.False(t, held.validAt(at(9))) // within the safety margin
	held = held.extendedFrom(at(4))    // the time of the reply does not matter
	must.True(t, held.validAt(at(12.9)))
	must.False(t, held.validAt(at(13)))
	must.Eq(t, held, held.extendedFrom(at(2))) // replies out of order do not shorten the term
	must.False(t, heldTerm{}.validAt(t0))
}
