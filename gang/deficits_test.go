package gang

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement"
)

// fixedTerm is an election.Holder that always holds term 1.
type fixedTerm struct{}

func (fixedTerm) Term() (uint64, time.Time, bool) { return 1, time.Now().Add(time.Hour), true }

// TestEachDeficitIsLoggedOnce checks that a deficit is logged when it appears, also
// when it replaces another one, and not again while it lasts.
func TestEachDeficitIsLoggedOnce(t *testing.T) {
	var logs bytes.Buffer
	s := New(Options{Logger: log.New(&logs), Election: fixedTerm{}})
	shape := job.Shape{Tasks: 2, AcceleratorsPerTask: 8, Adjacency: job.SameRack}
	one := placement.Deficit{Organisation: "one", Shape: shape, Missing: 1, Reason: "hosts are lost"}
	two := placement.Deficit{Organisation: "two", Shape: shape, Missing: 1, Reason: "hosts are lost"}
	for _, present := range [][]placement.Deficit{{one}, {one}, {two}, {two}, nil, nil} {
		s.setDeficits(present)
	}
	must.Eq(t, 2, strings.Count(logs.String(), "can not be backed"))
	must.Eq(t, 1, strings.Count(logs.String(), "backed again"))
	must.SliceEmpty(t, s.Deficits())
}
