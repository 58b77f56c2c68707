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

// longRun is longer than any lease, so a gang that stops was stopped.
const longRun = 10 * time.Minute

func (c *cluster) submit(e *entry, name string, s job.Shape) job.ID {
	c.t.Helper()
	id := job.ID{Organisation: "acme", Service: "billing", Name: name}
	c.eventually("job "+name+" to be taken", func() bool {
		_, err := c.caller(e).Submit(context.Background(), job.Spec{
			ID: id, Template: "train", Shape: s, DeclaredRun: time.Minute, Checkpoint: true,
		})
		return err == nil
	})
	return id
}

func (c *cluster) waitState(e *entry, id job.ID, want job.State) job.Record {
	c.t.Helper()
	var rec job.Record
	c.eventually(fmt.Sprintf("%s to be %s", id, want), func() bool {
		got, err := c.caller(e).Status(context.Background(), id)
		rec = got
		return err == nil && rec.State == want
	})
	return rec
}

// steadily checks a condition throughout a period.
func (c *cluster) steadily(what string, period time.Duration, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(pollInterval) {
		if !holds() {
			c.t.Fatalf("did not hold throughout: %s", what)
		}
	}
}

// traffic sends requests to the entry hosts that are ready, as a balancer
// would, until stopped.
type traffic struct {
	c       *cluster
	stop    chan struct{}
	wg      sync.WaitGroup
	ran     atomic.Int64
	notRun  atomic.Int64
	unknown atomic.Int64
	lost    sync.Map // what went wrong, by message
}

const (
	trafficCallers    = 8
	balancerInterval  = 100 * time.Millisecond
	trafficRestMillis = 2
)

func (c *cluster) startTraffic() *traffic {
	tr := &traffic{c: c, stop: make(chan struct{})}
	var inService atomic.Pointer[[]*entry]
	inService.Store(&c.entries)
	tr.wg.Go(func() { tr.balance(&inService) })
	for i := range trafficCallers {
		tr.wg.Go(func() { tr.send(i, &inService) })
	}
	return tr
}

func (tr *traffic) balance(inService *atomic.Pointer[[]*entry]) {
	for {
		var up []*entry
		for _, e := range tr.c.entries {
			if ready(e.url()) {
				up = append(up, e)
			}
		}
		if len(up) > 0 {
			inService.Store(&up)
		}
		select {
		case <-tr.stop:
			return
		case <-time.After(balancerInterval):
		}
	}
}

func (tr *traffic) send(caller int, inService *atomic.Pointer[[]*entry]) {
	for n := 0; ; n++ {
		select {
		case <-tr.stop:
			return
		case <-time.After(trafficRestMillis * time.Millisecond):
		}
		up := *inService.Load()
		e := up[n%len(up)]
		tr.count(tr.c.caller(e).Request(context.Background(), http.MethodPost, "billing", fmt.Sprintf("c%d/%d", caller, n), "", []byte("x")))
	}
}

func (tr *traffic) count(answer client.Answer, err error) {
	switch {
	case err == nil && answer.Outcome == "ran":
		tr.ran.Add(1)
	case err == nil && answer.Outcome == "not-run":
		tr.notRun.Add(1)
	default:
		tr.unknown.Add(1)
		tr.lost.Store(fmt.Sprintf("%d %s %v", answer.Status, answer.Outcome, err), true)
	}
}

func (tr *traffic) end() {
	close(tr.stop)
	tr.wg.Wait()
}

func (tr *traffic) losses() []string {
	var out []string
	tr.lost.Range(func(k, _ any) bool {
		out = append(out, k.(string))
		return len(out) < 5
	})
	return out
}

// Every entry host is restarted in turn, by SIGTERM, under load.
func TestRestartOfEveryEntryHostCutsNoRequest(t *testing.T) {
	c := newCluster(t, shape{failureDomains: []string{"fd-a"}, entries: 3, workers: 1, upstreams: 2, work: 20 * time.Millisecond})
	tr := c.startTraffic()
	for _, e := range c.entries {
		e.signal(syscall.SIGTERM)
		select {
		case <-e.done:
		case <-time.After(patience):
			t.Fatal("the entry host did not drain")
		}
		must.NoError(t, e.err)
		c.startEntry(e)
		c.eventually(e.host.Name+" to be ready again", func() bool { return ready(e.url()) })
	}
	tr.end()
	must.Zero(t, tr.unknown.Load(), must.Sprint(tr.losses()))
	must.Positive(t, tr.ran.Load())
	must.Zero(t, tr.notRun.Load())
}

// The scheduler is killed while a gang runs: another takes over, adopts the
// gang and starts further ones.
func TestKilledSchedulerIsReplacedAndItsGangsRunOn(t *testing.T) {
	c := newCluster(t, shape{failureDomains: []string{"fd-a"}, entries: 2, workers: 4, upstreams: 1, taskRun: longRun})
	first := c.submit(c.entries[0], "first", gangShape)
	c.waitState(c.entries[0], first, job.Running)
	old := c.waitScheduler("fd-a")
	old.kill()
	other := c.other(old)
	second := c.submit(other, "second", gangShape)
	c.waitState(other, second, job.Running)
	c.steadily("the first gang runs whole", 25*time.Second, func() bool { return len(c.running(first.String())) == 2 })
	must.Eq(t, job.Running, c.waitState(other, first, job.Running).State)
}

func (c *cluster) other(e *entry) *entry {
	for _, o := range c.entries {
		if o != e && o.host.FailureDomain == e.host.FailureDomain {
			return o
		}
	}
	return nil
}

// The scheduler is paused past its lease while a job waits for it. Its
// successor starts the job; when the old one wakes it starts nothing.
func TestPausedSchedulerStartsNothingUnderItsOldTerm(t *testing.T) {
	c := newCluster(t, shape{failureDomains: []string{"fd-a"}, entries: 2, workers: 4, upstreams: 1, taskRun: longRun})
	old := c.waitScheduler("fd-a")
	other := c.other(old)
	old.signal(syscall.SIGSTOP)
	id := c.submit(other, "waiting", gangShape)
	rec := c.waitState(other, id, job.Running)
	old.signal(syscall.SIGCONT)
	c.steadily("exactly one copy of the gang runs", 8*time.Second, func() bool {
		tasks := c.running(id.String())
		return len(tasks) == 2 && tasks[0].Gang == tasks[1].Gang
	})
	must.Eq(t, rec.Generation, c.waitState(other, id, job.Running).Generation)
}

// The platform answers nobody for longer than every lease. What runs goes on,
// requests flow, nothing new starts, and work resumes when it answers again.
func TestPlatformOutageKeepsWhatRuns(t *testing.T) {
	c := newCluster(t, shape{failureDomains: []string{"fd-a"}, entries: 2, workers: 4, upstreams: 1, taskRun: longRun})
	first := c.submit(c.entries[0], "first", gangShape)
	c.waitState(c.entries[0], first, job.Running)
	for _, e := range c.entries {
		e.cut()
	}
	tr := c.startTraffic()
	spec := job.Spec{ID: job.ID{Organisation: "acme", Service: "billing", Name: "during"}, Template: "train", Shape: gangShape}
	_, err := c.caller(c.entries[0]).Submit(context.Background(), spec)
	must.Error(t, err)
	c.steadily("the first gang runs whole and no other starts", 25*time.Second, func() bool {
		return len(c.running(first.String())) == 2 && len(c.running(spec.ID.String())) == 0
	})
	tr.end()
	must.Zero(t, tr.unknown.Load(), must.Sprint(tr.losses()))
	must.Zero(t, tr.notRun.Load())
	must.Positive(t, tr.ran.Load())
	c.heal()
	second := c.submit(c.entries[0], "second", gangShape)
	c.waitState(c.entries[0], second, job.Running)
}

// The failure domain is taken out while its scheduler is cut off from the
// platform and from the other hosts: within the bound nothing starts there.
func TestNoStartInAFailureDomainTakenOutBehindACut(t *testing.T) {
	const bound = 3 * time.Second
	c := newCluster(t, shape{failureDomains: []string{"fd-a", "fd-b"}, entries: 1, workers: 8, upstreams: 1, taskRun: longRun})
	a, b := c.entries[0], c.entries[1]
	c.waitScheduler("fd-a")
	single := job.Shape{Tasks: 1, AcceleratorsPerTask: 8, Adjacency: job.SameRack}
	for i := range 20 {
		c.submit(b, fmt.Sprintf("job-%d", i), single)
	}
	c.separate(a)
	_, err := c.operator(b).SetFailureDomain(context.Background(), "fd-a", true)
	must.NoError(t, err)
	time.Sleep(bound)
	before := c.started("fd-a")
	c.steadily("no task starts in fd-a", 10*time.Second, func() bool { return c.started("fd-a") == before })
}

// started counts the gangs ever started on a failure domain's workers.
func (c *cluster) started(fd string) int {
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

// Two operators edit the same documents at one revision: one is told that the
// other came first.
func TestOperatorsRaceAndOneIsToldSo(t *testing.T) {
	c := newCluster(t, shape{failureDomains: []string{"fd-a"}, entries: 2, workers: 1, upstreams: 1})
	top, err := c.operator(c.entries[0]).Top(context.Background())
	must.NoError(t, err)
	revision := top.Hosts[0].Revision
	var accepted, conflicts atomic.Int64
	var wg sync.WaitGroup
	for i, e := range c.entries {
		wg.Go(func() {
			doc := fmt.Sprintf(`{"kind": "organisation", "name": "org-%d", "teams": [{"name": "t"}]}`, i)
			_, err := c.operator(e).Apply(context.Background(), api.ApplyRequest{Documents: rawDocuments(doc), Expected: revision})
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
