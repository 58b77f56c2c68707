package gang_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/job"
)

// TestStartableJobsFitBesideOwnJobs checks that a scheduler returns jobs of other
// failure domains only while it holds the term, and only as many as fit in addition
// to its own.
func TestStartableJobsFitBesideOwnJobs(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, nil)
	e := c.startEntryHost(1, nil)
	one, two := job.Record{Spec: spec("one", 1)}, job.Record{Spec: spec("two", 1)}
	startable := func() []job.ID {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return e.gang.StartableJobs(ctx, []job.Record{one, two})
	}
	own := spec("own", 1)
	c.submit(e, own)
	c.waitForState(e, own, job.Running)
	must.Eq(t, []job.ID{one.Spec.ID}, startable())
	e.term.set(0)
	must.SliceEmpty(t, startable())
}
