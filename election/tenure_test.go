package election

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

func TestTenureCountsFromBeforeSending(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	n := newTenure(kvstore.Lease{TTL: 10 * time.Second}, 7, t0)
	must.True(t, n.holds(at(8.9)))
	must.False(t, n.holds(at(9))) // the margin is given up
	n = n.renewed(at(4))          // its answer may arrive at any time
	must.True(t, n.holds(at(12.9)))
	must.False(t, n.holds(at(13)))
	must.Eq(t, n, n.renewed(at(2))) // answers that crossed do not shorten
	must.False(t, tenure{}.holds(t0))
}
