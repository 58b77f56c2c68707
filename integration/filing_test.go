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

// An entry host is killed while filings are under way, and the callers send
// them again, under the same keys, through every other host at once.
func TestFilingsOfAKilledEntryHostRunAtMostOnce(t *testing.T) {
	const filings = 20
	c := newCluster(t, shape{failureDomains: []string{"fd-a"}, entries: 3, workers: 1, upstreams: 2, work: 300 * time.Millisecond})
	victim := c.entries[0]
	c.eventually("keys to be claimable", func() bool { return c.file(victim, "warm-up") == "ran" })
	var wg sync.WaitGroup
	for i := range filings {
		wg.Go(func() { c.file(victim, key(i)) })
	}
	time.Sleep(150 * time.Millisecond)
	victim.kill()
	wg.Wait()
	for i := range filings {
		for _, e := range c.entries[1:] {
			wg.Go(func() { c.fileUntilDecided(e, key(i)) })
		}
	}
	wg.Wait()
	ran := 0
	for i := range filings {
		must.LessEq(t, 1, c.executions(key(i)), must.Sprint(key(i)))
		ran += c.executions(key(i))
	}
	must.Positive(t, ran)
}

func key(i int) string { return fmt.Sprintf("return-%d", i) }

// file sends one filing and returns its outcome.
func (c *cluster) file(e *entry, key string) string {
	answer, err := c.caller(e).Request(context.Background(), http.MethodPost, "billing", "returns", key, []byte("litres=1200"))
	if err != nil {
		return "unknown"
	}
	return answer.Outcome
}

// fileUntilDecided sends a filing until its outcome is no longer "not run".
func (c *cluster) fileUntilDecided(e *entry, key string) {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if c.file(e, key) != "not-run" {
			return
		}
	}
}

// A host that boots while the platform answers nobody learns the configuration
// from its peers, and serves requests under it.
func TestHostBootsDuringAPlatformOutage(t *testing.T) {
	c := newCluster(t, shape{failureDomains: []string{"fd-a"}, entries: 2, workers: 1, upstreams: 1})
	reborn, other := c.entries[0], c.entries[1]
	for _, e := range c.entries {
		e.cut()
	}
	reborn.kill()
	c.startEntry(reborn)
	c.eventually("the host to be ready without the platform", func() bool { return ready(reborn.url()) })
	answer, err := c.caller(reborn).Request(context.Background(), http.MethodGet, "billing", "x", "", nil)
	must.NoError(t, err)
	must.Eq(t, "ran", answer.Outcome)
	must.Eq(t, c.revision(other), c.revision(reborn))
}

func (c *cluster) revision(e *entry) uint64 {
	top, err := c.operator(e).Top(context.Background())
	must.NoError(c.t, err)
	return top.Hosts[0].Revision
}

// A failure domain's hosts lose the platform but not the other failure domain:
// their calls are carried, so jobs still start there.
func TestHostsCutOffFromThePlatformGoThroughTheOtherFailureDomain(t *testing.T) {
	c := newCluster(t, shape{failureDomains: []string{"fd-a", "fd-b"}, entries: 1, workers: 2, upstreams: 1, taskRun: longRun})
	a := c.entries[0]
	c.waitScheduler("fd-a")
	a.cut()
	id := job.ID{Organisation: "acme", Service: "billing", Name: "carried"}
	spec := job.Spec{ID: id, Template: "train", Shape: gangShape, DeclaredRun: time.Minute, FailureDomain: "fd-a"}
	c.eventually("the job to be taken through a peer", func() bool {
		_, err := c.caller(a).Submit(context.Background(), spec)
		return err == nil
	})
	rec := c.waitState(a, id, job.Running)
	must.Eq(t, "fd-a", rec.FailureDomain)
}

// Retiring a service stops its running gang and refuses its requests on every
// host, also on one that is restarted afterwards.
func TestRetirementReachesEveryHostAndLasts(t *testing.T) {
	c := newCluster(t, shape{failureDomains: []string{"fd-a"}, entries: 2, workers: 2, upstreams: 1, taskRun: longRun})
	id := c.submit(c.entries[0], "old", gangShape)
	c.waitState(c.entries[0], id, job.Running)
	_, err := c.operator(c.entries[1]).Retire(context.Background(), "billing")
	must.NoError(t, err)
	c.waitState(c.entries[0], id, job.Cancelled)
	must.SliceEmpty(t, c.running(id.String()))
	c.entries[0].kill()
	c.startEntry(c.entries[0])
	c.waitReady()
	for _, e := range c.entries {
		c.eventually("requests to be refused by "+e.host.Name, func() bool {
			answer, err := c.caller(e).Request(context.Background(), http.MethodGet, "billing", "x", "", nil)
			return err == nil && answer.Status == http.StatusGone && json.Valid(answer.Body)
		})
	}
}
