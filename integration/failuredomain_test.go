package integration

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/job"
)

// A gang that is queued in a full failure domain while the other one is out of
// service moves to that one and runs there once it is back in service.
func TestFailureDomainBroughtBackRunsWaitingGangs(t *testing.T) {
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a", "fd-b"}, entryHosts: 1, workers: 2, upstreams: 1, taskRunTime: longTaskRunTime})
	b := c.entryHosts[1]
	_, err := c.operatorClient(b).SetFailureDomain(context.Background(), "fd-a", true)
	must.NoError(t, err)
	first := c.submitGang(b, "first", gangShape)
	must.Eq(t, "fd-b", c.waitForState(b, first, job.Running).FailureDomain)
	second := c.submitGang(b, "second", gangShape)
	must.Eq(t, "fd-b", c.waitForState(b, second, job.Queued).FailureDomain)
	_, err = c.operatorClient(b).SetFailureDomain(context.Background(), "fd-a", false)
	must.NoError(t, err)
	must.Eq(t, "fd-a", c.waitForState(b, second, job.Running).FailureDomain)
	must.Eq(t, job.Running, c.waitForState(b, first, job.Running).State)
}
