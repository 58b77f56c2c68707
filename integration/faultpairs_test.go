package integration

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// schedulerFault is a fault that can be injected into the scheduler of a failure
// domain.
type schedulerFault struct {
	name   string
	inject func(c *cluster, scheduler *entryHost)
	remove func(c *cluster, scheduler *entryHost)
}

var schedulerFaults = []schedulerFault{
	{
		name:   "killed",
		inject: func(_ *cluster, e *entryHost) { e.kill() },
		remove: func(c *cluster, e *entryHost) { c.startEntryHost(e) },
	},
	{
		name:   "paused",
		inject: func(_ *cluster, e *entryHost) { e.signal(syscall.SIGSTOP) },
		remove: func(_ *cluster, e *entryHost) { e.signal(syscall.SIGCONT) },
	},
	{
		name:   "cut off from the platform",
		inject: func(_ *cluster, e *entryHost) { e.cutFromPlatform() },
		remove: func(c *cluster, _ *entryHost) { c.heal() },
	},
	{
		name: "cut off from its peers",
		inject: func(c *cluster, _ *entryHost) {
			for _, e := range c.entryHosts {
				blackhole(e.peerProxy)
			}
		},
		remove: func(c *cluster, _ *entryHost) { c.heal() },
	},
}

// Two faults are injected into the scheduler in immediate succession, while one
// gang runs and another is queued. No gang may run twice, or in part for longer
// than it takes to stop it, and both run whole in the end.
func TestGangsSurvivePairsOfSchedulerFaults(t *testing.T) {
	const faultDuration = 6 * time.Second // longer than the scheduler's lease
	for i, first := range schedulerFaults {
		for _, second := range schedulerFaults[i+1:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a"}, entryHosts: 3, workers: 4, upstreams: 1, taskRunTime: longTaskRunTime})
				scheduler := c.waitForScheduler("fd-a")
				other := c.otherEntryHost(scheduler)
				one := c.submitGang(other, "one", gangShape)
				c.waitForState(other, one, job.Running)
				detector := c.detectOverlaps()
				two := c.submitGang(other, "two", gangShape)
				first.inject(c, scheduler)
				second.inject(c, scheduler)
				time.Sleep(faultDuration)
				second.remove(c, scheduler)
				first.remove(c, scheduler)
				c.waitForReady()
				for _, id := range []job.ID{one, two} {
					c.waitForState(other, id, job.Running)
					c.eventually(id.Name+" to run whole", func() bool { return len(c.runningTasks(id.String())) == gangShape.Tasks })
				}
				must.SliceEmpty(t, detector.stop())
			})
		}
	}
}

// overlapDetector records each job of which two generations run at the same time.
type overlapDetector struct {
	c        *cluster
	stopping chan struct{}
	wg       sync.WaitGroup
	overlaps []string
}

func (c *cluster) detectOverlaps() *overlapDetector {
	w := &overlapDetector{c: c, stopping: make(chan struct{})}
	w.wg.Go(w.run)
	return w
}

func (w *overlapDetector) run() {
	for {
		select {
		case <-w.stopping:
			return
		case <-time.After(pollInterval):
		}
		generations := make(map[string]uint64)
		for _, server := range w.c.workers {
			for _, task := range server.Tasks().Tasks {
				if task.State != workerapi.TaskRunning {
					continue
				}
				if g, ok := generations[task.Gang.Job]; ok && g != task.Gang.Generation {
					w.overlaps = append(w.overlaps, fmt.Sprintf("%s: generations %d and %d", task.Gang.Job, g, task.Gang.Generation))
				}
				generations[task.Gang.Job] = task.Gang.Generation
			}
		}
	}
}

func (w *overlapDetector) stop() []string {
	close(w.stopping)
	w.wg.Wait()
	return w.overlaps
}

// Two failure domains of different regions are partitioned from each other, and
// only one reaches the platform. Both continue to serve requests. The cut-off one
// keeps its running gangs and starts none, and receives an edit made during the
// partition once it has healed.
func TestPartitionedRegionsKeepServing(t *testing.T) {
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a", "fd-b"}, entryHosts: 1, workers: 4, upstreams: 1, taskRunTime: longTaskRunTime})
	cut, kept := c.entryHosts[0], c.entryHosts[1]
	running := c.submitGangTo(cut, "running", "fd-a")
	c.waitForState(cut, running, job.Running)
	c.partition(cut)
	tr := c.startTraffic()
	doc := `{"kind": "organisation", "name": "late", "teams": [{"name": "t"}]}`
	reply, err := c.operatorClient(kept).Apply(context.Background(), api.ApplyRequest{Documents: rawDocuments(doc)})
	must.NoError(t, err)
	elsewhere := c.submitGangTo(kept, "elsewhere", "fd-b")
	c.waitForState(kept, elsewhere, job.Running)
	started := c.startedGangs("fd-a")
	c.consistently("the cut-off region keeps its gang and starts nothing", 25*time.Second, func() bool {
		return len(c.runningTasks(running.String())) == gangShape.Tasks && c.startedGangs("fd-a") == started
	})
	tr.stop()
	must.Zero(t, tr.unknown.Load(), must.Sprint(tr.failureSamples()))
	must.Zero(t, tr.notRun.Load())
	c.heal()
	for _, e := range c.entryHosts {
		c.eventually("the edit to reach "+e.host.Name, func() bool { return c.revision(e) >= reply.Revision })
	}
	must.Eq(t, job.Running, c.waitForState(cut, running, job.Running).State)
}

// submitGangTo submits a gang that must run in one failure domain.
func (c *cluster) submitGangTo(e *entryHost, name, fd string) job.ID {
	c.t.Helper()
	id := job.ID{Organisation: "acme", Service: "billing", Name: name}
	spec := job.Spec{ID: id, Template: "train", Shape: gangShape, DeclaredRun: time.Minute, Checkpoint: true, FailureDomain: fd}
	c.eventually("job "+name+" to be accepted", func() bool {
		_, err := c.callerClient(e).Submit(context.Background(), spec)
		return err == nil
	})
	return id
}

// partition cuts an entry host off from the platform, and every entry host off
// from every other.
func (c *cluster) partition(e *entryHost) {
	e.cutFromPlatform()
	for _, other := range c.entryHosts {
		blackhole(other.peerProxy)
	}
}
