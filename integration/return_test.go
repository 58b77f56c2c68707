package integration

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/job"
)

// While a failure domain is out, a gang waits in the other one, which is full.
// Once it is back it takes the gang over and runs it.
func TestFailureDomainThatReturnsTakesWaitingGangs(t *testing.T) {
	c := newCluster(t, shape{failureDomains: []string{"fd-a", "fd-b"}, entries: 1, workers: 2, upstreams: 1, taskRun: longRun})
	b := c.entries[1]
	_, err := c.operator(b).SetFailureDomain(context.Background(), "fd-a", true)
	must.NoError(t, err)
	first := c.submit(b, "first", gangShape)
	must.Eq(t, "fd-b", c.waitState(b, first, job.Running).FailureDomain)
	second := c.submit(b, "second", gangShape)
	must.Eq(t, "fd-b", c.waitState(b, second, job.Queued).FailureDomain)
	_, err = c.operator(b).SetFailureDomain(context.Background(), "fd-a", false)
	must.NoError(t, err)
	must.Eq(t, "fd-a", c.waitState(b, second, job.Running).FailureDomain)
	must.Eq(t, job.Running, c.waitState(b, first, job.Running).State)
}
