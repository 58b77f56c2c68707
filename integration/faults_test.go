package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/client"
	"github.com/cyclamentray/cyclamentray/job"
)

// longTaskRunTime is longer than any lease, so that a gang which ends was
// stopped and did not finish by itself.
const longTaskRunTime = 10 * time.Minute

func (c *cluster) submitGang(e *entryHost, name string, s job.Shape) job.ID {
	c.t.Helper()
	id := job.ID{Organisation: "acme", Service: "billing", Name: name}
	c.eventually("job "+name+" to be accepted", func() bool {
		_, err := c.callerClient(e).Submit(context.Background(), job.Spec{
			ID: id, Template: "train", Shape: s, DeclaredRun: time.Minute, Checkpoint: true,
		})
		return err == nil
	})
	return id
}

func (c *cluster) waitForState(e *entryHost, id job.ID, want job.State) job.Record {
	c.t.Helper()
	var rec job.Record
	c.eventually(fmt.Sprintf("%s to be %s", id, want), func() bool {
		got, err := c.callerClient(e).Status(context.Background(), id)
		rec = got
		return err == nil && rec.State == want
	})
	return rec
}

// consistently fails the test if a condition does not hold throughout a period.
func (c *cluster) consistently(what string, period time.Duration, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(pollInterval) {
		if !holds() {
			c.t.Fatalf("did not hold throughout the period: %s", what)
		}
	}
}

// traffic sends requests to the entry hosts that are ready, as a load balancer
// would, until it is stopped, and counts the outcomes.
type traffic struct {
	c        *cluster
	stopping chan struct{}
	wg       sync.WaitGroup
	ran      atomic.Int64
	notRun   atomic.Int64
	unknown  atomic.Int64
	failures sync.Map // status, outcome and error of requests counted as unknown, as one string
}

const (
	trafficCallers         = 8
	readinessProbeInterval = 100 * time.Millisecond
	requestPauseMillis     = 2
)

func (c *cluster) startTraffic() *traffic {
	tr := &traffic{c: c, stopping: make(chan struct{})}
	var readyHosts atomic.Pointer[[]*entryHost]
	readyHosts.Store(&c.entryHosts)
	tr.wg.Go(func() { tr.probeReadiness(&readyHosts) })
	for i := range trafficCallers {
		tr.wg.Go(func() { tr.sendRequests(i, &readyHosts) })
	}
	return tr
}

func (tr *traffic) probeReadiness(readyHosts *atomic.Pointer[[]*entryHost]) {
	for {
		var up []*entryHost
		for _, e := range tr.c.entryHosts {
			if ready(e.url()) {
				up = append(up, e)
			}
		}
		if len(up) > 0 {
			readyHosts.Store(&up)
		}
		select {
		case <-tr.stopping:
			return
		case <-time.After(readinessProbeInterval):
		}
	}
}

func (tr *traffic) sendRequests(caller int, readyHosts *atomic.Pointer[[]*entryHost]) {
	for n := 0; ; n++ {
		select {
		case <-tr.stopping:
			return
		case <-time.After(requestPauseMillis * time.Millisecond):
		}
		up := *readyHosts.Load()
		e := up[n%len(up)]
		tr.countOutcome(tr.c.callerClient(e).Request(context.Background(), http.MethodPost, "billing", fmt.Sprintf("c%d/%d", caller, n), "", []byte("x")))
	}
}

func (tr *traffic) countOutcome(answer client.Answer, err error) {
	switch {
	case err == nil && answer.Outcome == "ran":
		tr.ran.Add(1)
	case err == nil && answer.Outcome == "not-run":
		tr.notRun.Add(1)
	default:
		tr.unknown.Add(1)
		tr.failures.Store(fmt.Sprintf("%d %s %v", answer.Status, answer.Outcome, err), true)
	}
}

func (tr *traffic) stop() {
	close(tr.stopping)
	tr.wg.Wait()
}

func (tr *traffic) failureSamples() []string {
	var out []string
	tr.failures.Range(func(k, _ any) bool {
		out = append(out, k.(string))
		return len(out) < 5
	})
	return out
}

// Every entry host is stopped by SIGTERM and restarted in turn under load. No
// request may be refused or be left with an unknown outcome.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a"}, entryHosts: 3, workers: 1, upstreams: 2, requestRunTime: 20 * time.Millisecond})
	tr := c.startTraffic()
	for _, e := range c.entryHosts {
		e.signal(syscall.SIGTERM)
		select {
		case <-e.exited:
		case <-time.After(conditionTimeout):
			t.Fatal("the entry host did not exit after SIGTERM")
		}
		must.NoError(t, e.exitErr)
		c.startEntryHost(e)
		c.eventually(e.host.Name+" to be ready again", func() bool { return ready(e.url()) })
	}
	tr.stop()
	must.Zero(t, tr.unknown.Load(), must.Sprint(tr.failureSamples()))
	must.Positive(t, tr.ran.Load())
	must.Zero(t, tr.notRun.Load())
}

// The scheduler is killed while a gang runs. Another entry host becomes
// scheduler, adopts the gang and starts further ones.
func TestKilledSchedulerIsReplacedAndItsGangsKeepRunning(t *testing.T) {
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a"}, entryHosts: 2, workers: 4, upstreams: 1, taskRunTime: longTaskRunTime})
	first := c.submitGang(c.entryHosts[0], "first", gangShape)
	c.waitForState(c.entryHosts[0], first, job.Running)
	old := c.waitForScheduler("fd-a")
	old.kill()
	other := c.otherEntryHost(old)
	second := c.submitGang(other, "second", gangShape)
	c.waitForState(other, second, job.Running)
	c.consistently("the first gang runs whole", 25*time.Second, func() bool { return len(c.runningTasks(first.String())) == 2 })
	must.Eq(t, job.Running, c.waitForState(other, first, job.Running).State)
}

// otherEntryHost returns another entry host of the same failure domain.
func (c *cluster) otherEntryHost(e *entryHost) *entryHost {
	for _, o := range c.entryHosts {
		if o != e && o.host.FailureDomain == e.host.FailureDomain {
			return o
		}
	}
	return nil
}

// The scheduler is paused for longer than its lease while a job is queued. Its
// successor starts the job; the old scheduler starts nothing when it resumes.
func TestPausedSchedulerStartsNothingUnderItsOldTerm(t *testing.T) {
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a"}, entryHosts: 2, workers: 4, upstreams: 1, taskRunTime: longTaskRunTime})
	old := c.waitForScheduler("fd-a")
	other := c.otherEntryHost(old)
	old.signal(syscall.SIGSTOP)
	id := c.submitGang(other, "waiting", gangShape)
	rec := c.waitForState(other, id, job.Running)
	old.signal(syscall.SIGCONT)
	c.consistently("exactly one copy of the gang runs", 8*time.Second, func() bool {
		tasks := c.runningTasks(id.String())
		return len(tasks) == 2 && tasks[0].Gang == tasks[1].Gang
	})
	must.Eq(t, rec.Generation, c.waitForState(other, id, job.Running).Generation)
}

// The platform is unreachable for longer than every lease. Running gangs and
// requests continue and no gang starts; gangs start again once the platform is
// reachable.
func TestGangsAndRequestsContinueDuringPlatformOutage(t *testing.T) {
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a"}, entryHosts: 2, workers: 4, upstreams: 1, taskRunTime: longTaskRunTime})
	first := c.submitGang(c.entryHosts[0], "first", gangShape)
	c.waitForState(c.entryHosts[0], first, job.Running)
	for _, e := range c.entryHosts {
		e.cutFromPlatform()
	}
	tr := c.startTraffic()
	spec := job.Spec{ID: job.ID{Organisation: "acme", Service: "billing", Name: "during"}, Template: "train", Shape: gangShape}
	_, err := c.callerClient(c.entryHosts[0]).Submit(context.Background(), spec)
	must.Error(t, err)
	c.consistently("the first gang runs whole and no other starts", 25*time.Second, func() bool {
		return len(c.runningTasks(first.String())) == 2 && len(c.runningTasks(spec.ID.String())) == 0
	})
	tr.stop()
	must.Zero(t, tr.unknown.Load(), must.Sprint(tr.failureSamples()))
	must.Zero(t, tr.notRun.Load())
	must.Positive(t, tr.ran.Load())
	c.heal()
	second := c.submitGang(c.entryHosts[0], "second", gangShape)
	c.waitForState(c.entryHosts[0], second, job.Running)
}

// A failure domain is taken out of service while its scheduler is partitioned
// from the platform and from the other entry hosts. Nothing may start there once
// startBound has passed.
func TestPartitionedFailureDomainStartsNothingOnceTakenOut(t *testing.T) {
	const startBound = 3 * time.Second
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a", "fd-b"}, entryHosts: 1, workers: 8, upstreams: 1, taskRunTime: longTaskRunTime})
	a, b := c.entryHosts[0], c.entryHosts[1]
	c.waitForScheduler("fd-a")
	single := job.Shape{Tasks: 1, AcceleratorsPerTask: 8, Adjacency: job.SameRack}
	for i := range 20 {
		c.submitGang(b, fmt.Sprintf("job-%d", i), single)
	}
	c.partition(a)
	_, err := c.operatorClient(b).SetFailureDomain(context.Background(), "fd-a", true)
	must.NoError(t, err)
	time.Sleep(startBound)
	before := c.startedGangs("fd-a")
	c.consistently("no task starts in fd-a", 10*time.Second, func() bool { return c.startedGangs("fd-a") == before })
}

// startedGangs returns how many gangs were ever started on the workers of a
// failure domain, counting each generation.
func (c *cluster) startedGangs(fd string) int {
	gangs := make(map[string]bool)
	for _, w := range c.workers {
		reply := w.Tasks()
		if reply.Worker[:len(fd)] != fd {
			continue
		}
		for _, task := range reply.Tasks {
			gangs[fmt.Sprintf("%s#%d", task.Gang.Job, task.Gang.Generation)] = true
		}
	}
	return len(gangs)
}

// Two operators edit the documents concurrently at the same revision: one edit is
// accepted and the other is refused as a conflict.
func TestConcurrentEditsOfOneRevisionConflict(t *testing.T) {
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a"}, entryHosts: 2, workers: 1, upstreams: 1})
	top, err := c.operatorClient(c.entryHosts[0]).Top(context.Background())
	must.NoError(t, err)
	revision := top.Hosts[0].Revision
	var accepted, conflicts atomic.Int64
	var wg sync.WaitGroup
	for i, e := range c.entryHosts {
		wg.Go(func() {
			doc := fmt.Sprintf(`{"kind": "organisation", "name": "org-%d", "teams": [{"name": "t"}]}`, i)
			_, err := c.operatorClient(e).Apply(context.Background(), api.ApplyRequest{Documents: rawDocuments(doc), Expected: revision})
			if err == nil {
				accepted.Add(1)
			} else if isConflict(err) {
				conflicts.Add(1)
			}
		})
	}
	wg.Wait()
	must.Eq(t, 1, accepted.Load())
	must.Eq(t, 1, conflicts.Load())
}
