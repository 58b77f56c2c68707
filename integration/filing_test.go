package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/job"
)

// An entry host is killed while it handles filings. The callers then retry them
// with the same idempotency keys through all other entry hosts at once.
func TestRetriedFilingsRunAtMostOnceAfterEntryHostIsKilled(t *testing.T) {
	const filings = 20
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a"}, entryHosts: 3, workers: 1, upstreams: 2, requestRunTime: 300 * time.Millisecond})
	killed := c.entryHosts[0]
	c.eventually("keys to be claimable", func() bool { return c.fileReturn(killed, "warm-up") == "ran" })
	var wg sync.WaitGroup
	for i := range filings {
		wg.Go(func() { c.fileReturn(killed, returnKey(i)) })
	}
	time.Sleep(150 * time.Millisecond)
	killed.kill()
	wg.Wait()
	for i := range filings {
		for _, e := range c.entryHosts[1:] {
			wg.Go(func() { c.retryWhileNotRun(e, returnKey(i)) })
		}
	}
	wg.Wait()
	ran := 0
	for i := range filings {
		must.LessEq(t, 1, c.executions(returnKey(i)), must.Sprint(returnKey(i)))
		ran += c.executions(returnKey(i))
	}
	must.Positive(t, ran)
}

func returnKey(i int) string { return fmt.Sprintf("return-%d", i) }

// fileReturn sends one filing and returns its outcome; "unknown" after an error.
func (c *cluster) fileReturn(e *entryHost, key string) string {
	answer, err := c.callerClient(e).Request(context.Background(), http.MethodPost, "billing", "returns", key, []byte("litres=1200"))
	if err != nil {
		return "unknown"
	}
	return answer.Outcome
}

// retryWhileNotRun sends a filing until its outcome is no longer "not run".
func (c *cluster) retryWhileNotRun(e *entryHost, key string) {
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if c.fileReturn(e, key) != "not-run" {
			return
		}
	}
}

// An entry host that starts while the platform is unreachable fetches the
// configuration from its peers and serves requests with it.
func TestEntryHostStartsDuringPlatformOutage(t *testing.T) {
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a"}, entryHosts: 2, workers: 1, upstreams: 1})
	restarted, other := c.entryHosts[0], c.entryHosts[1]
	for _, e := range c.entryHosts {
		e.cutFromPlatform()
	}
	restarted.kill()
	c.startEntryHost(restarted)
	c.eventually("the restarted entry host to be ready without the platform", func() bool { return ready(restarted.url()) })
	answer, err := c.callerClient(restarted).Request(context.Background(), http.MethodGet, "billing", "x", "", nil)
	must.NoError(t, err)
	must.Eq(t, "ran", answer.Outcome)
	must.Eq(t, c.revision(other), c.revision(restarted))
}

func (c *cluster) revision(e *entryHost) uint64 {
	top, err := c.operatorClient(e).Top(context.Background())
	must.NoError(c.t, err)
	return top.Hosts[0].Revision
}

// The entry host of one failure domain is cut off from the platform but not from
// the other failure domain. Its platform calls are forwarded there, so jobs still
// start in its failure domain.
func TestPlatformCallsAreForwardedThroughPeerWhenCutOff(t *testing.T) {
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a", "fd-b"}, entryHosts: 1, workers: 2, upstreams: 1, taskRunTime: longTaskRunTime})
	a := c.entryHosts[0]
	c.waitForScheduler("fd-a")
	a.cutFromPlatform()
	id := job.ID{Organisation: "acme", Service: "billing", Name: "carried"}
	spec := job.Spec{ID: id, Template: "train", Shape: gangShape, DeclaredRun: time.Minute, FailureDomain: "fd-a"}
	c.eventually("the job to be accepted through a peer", func() bool {
		_, err := c.callerClient(a).Submit(context.Background(), spec)
		return err == nil
	})
	rec := c.waitForState(a, id, job.Running)
	must.Eq(t, "fd-a", rec.FailureDomain)
}

// Once a service is retired, its running gang is stopped and every entry host
// refuses its requests, also one that is restarted afterwards.
func TestRetirementReachesEveryHostAndSurvivesRestart(t *testing.T) {
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a"}, entryHosts: 2, workers: 2, upstreams: 1, taskRunTime: longTaskRunTime})
	id := c.submitGang(c.entryHosts[0], "old", gangShape)
	c.waitForState(c.entryHosts[0], id, job.Running)
	_, err := c.operatorClient(c.entryHosts[1]).Retire(context.Background(), "billing")
	must.NoError(t, err)
	c.waitForState(c.entryHosts[0], id, job.Cancelled)
	must.SliceEmpty(t, c.runningTasks(id.String()))
	c.entryHosts[0].kill()
	c.startEntryHost(c.entryHosts[0])
	c.waitForReady()
	for _, e := range c.entryHosts {
		c.eventually("requests to be refused by "+e.host.Name, func() bool {
			answer, err := c.callerClient(e).Request(context.Background(), http.MethodGet, "billing", "x", "", nil)
			return err == nil && answer.Status == http.StatusGone && json.Valid(answer.Body)
		})
	}
}
