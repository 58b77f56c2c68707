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

// fault disturbs the scheduler of a failure domain; mend ends the disturbance.
type fault struct {
	name string
	make func(c *cluster, scheduler *entry)
	mend func(c *cluster, scheduler *entry)
}

var schedulerFaults = []fault{
	{
		name: "killed",
		make: func(_ *cluster, e *entry) { e.kill() },
		mend: func(c *cluster, e *entry) { c.startEntry(e) },
	},
	{
		name: "paused",
		make: func(_ *cluster, e *entry) { e.signal(syscall.SIGSTOP) },
		mend: func(_ *cluster, e *entry) { e.signal(syscall.SIGCONT) },
	},
	{
		name: "cut off from the platform",
		make: func(_ *cluster, e *entry) { e.cut() },
		mend: func(c *cluster, _ *entry) { c.heal() },
	},
	{
		name: "cut off from its peers",
		make: func(c *cluster, _ *entry) {
			for _, e := range c.entries {
				blackhole(e.peers)
			}
		},
		mend: func(c *cluster, _ *entry) { c.heal() },
	},
}

// Two faults hit the scheduler within a moment of each other, while one gang
// runs and another waits. No gang ever runs twice or in part for longer than
// it takes to stop it, and both run in the end.
func TestPairsOfFaultsOfTheScheduler(t *testing.T) {
	const faultFor = 6 * time.Second // longer than the scheduler's lease
	for i, first := range schedulerFaults {
		for _, second := range schedulerFaults[i+1:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, shape{failureDomains: []string{"fd-a"}, entries: 3, workers: 4, upstreams: 1, taskRun: longRun})
				scheduler := c.waitScheduler("fd-a")
				other := c.other(scheduler)
				one := c.submit(other, "one", gangShape)
				c.waitState(other, one, job.Running)
				watch := c.watchCopies()
				two := c.submit(other, "two", gangShape)
				first.make(c, scheduler)
				second.make(c, scheduler)
				time.Sleep(faultFor)
				second.mend(c, scheduler)
				first.mend(c, scheduler)
				c.waitReady()
				for _, id := range []job.ID{one, two} {
					c.waitState(other, id, job.Running)
					c.eventually(id.Name+" to run whole", func() bool { return len(c.running(id.String())) == gangShape.Tasks })
				}
				must.SliceEmpty(t, watch.end())
			})
		}
	}
}

// copies looks for a job of which two generations run at the same time.
type copies struct {
	c     *cluster
	stop  chan struct{}
	wg    sync.WaitGroup
	found []string
}

func (c *cluster) watchCopies() *copies {
	w := &copies{c: c, stop: make(chan struct{})}
	w.wg.Go(w.run)
	return w
}

func (w *copies) run() {
	for {
		select {
		case <-w.stop:
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
					w.found = append(w.found, fmt.Sprintf("%s: generations %d and %d", task.Gang.Job, g, task.Gang.Generation))
				}
				generations[task.Gang.Job] = task.Gang.Generation
			}
		}
	}
}

func (w *copies) end() []string {
	close(w.stop)
	w.wg.Wait()
	return w.found
}

// Two failure domains of different regions lose each other, and only one still
// reaches the platform. Both go on serving; the cut-off one keeps what runs and
// starts nothing; an edit made meanwhile reaches it once they meet again.
func TestRegionsThatLoseEachOther(t *testing.T) {
	c := newCluster(t, shape{failureDomains: []string{"fd-a", "fd-b"}, entries: 1, workers: 4, upstreams: 1, taskRun: longRun})
	cut, kept := c.entries[0], c.entries[1]
	running := c.submitTo(cut, "running", "fd-a")
	c.waitState(cut, running, job.Running)
	c.separate(cut)
	tr := c.startTraffic()
	doc := `{"kind": "organisation", "name": "late", "teams": [{"name": "t"}]}`
	reply, err := c.operator(kept).Apply(context.Background(), api.ApplyRequest{Documents: rawDocuments(doc)})
	must.NoError(t, err)
	elsewhere := c.submitTo(kept, "elsewhere", "fd-b")
	c.waitState(kept, elsewhere, job.Running)
	started := c.started("fd-a")
	c.steadily("the cut-off region keeps its gang and starts nothing", 25*time.Second, func() bool {
		return len(c.running(running.String())) == gangShape.Tasks && c.started("fd-a") == started
	})
	tr.end()
	must.Zero(t, tr.unknown.Load(), must.Sprint(tr.losses()))
	must.Zero(t, tr.notRun.Load())
	c.heal()
	for _, e := range c.entries {
		c.eventually("the edit to reach "+e.host.Name, func() bool { return c.revision(e) >= reply.Revision })
	}
	must.Eq(t, job.Running, c.waitState(cut, running, job.Running).State)
}

// submitTo submits a gang to one failure domain.
func (c *cluster) submitTo(e *entry, name, fd string) job.ID {
	c.t.Helper()
	id := job.ID{Organisation: "acme", Service: "billing", Name: name}
	spec := job.Spec{ID: id, Template: "train", Shape: gangShape, DeclaredRun: time.Minute, Checkpoint: true, FailureDomain: fd}
	c.eventually("job "+name+" to be taken", func() bool {
		_, err := c.caller(e).Submit(context.Background(), spec)
		return err == nil
	})
	return id
}

// separate cuts an entry host off from the platform, and every entry host off
// from every other.
func (c *cluster) separate(e *entry) {
	e.cut()
	for _, other := range c.entries {
		blackhole(other.peers)
	}
}
