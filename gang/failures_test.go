package gang_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/gang"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/placement"
	"github.com/cyclamentray/cyclamentray/standin/worker"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// interceptor is a WorkerCaller that calls act before the call number actAtCall to
// path is sent. Once act has returned true, all calls fail.
type interceptor struct {
	gang.WorkerCaller
	path      string
	actAtCall int
	act       func() (dead bool)

	mu       sync.Mutex
	calls    int
	dead     bool
	answered atomic.Int32 // calls to path that have returned
}

func (in *interceptor) Call(ctx context.Context, address, path string, args, reply any) error {
	in.mu.Lock()
	if path == in.path {
		in.calls++
	}
	if path == in.path && in.calls == in.actAtCall && !in.dead {
		in.dead = in.act()
	}
	dead := in.dead
	in.mu.Unlock()
	if dead {
		return errors.New("this host is dead")
	}
	err := in.WorkerCaller.Call(ctx, address, path, args, reply)
	if path == in.path {
		in.answered.Add(1)
	}
	return err
}

// stoppableStore is a store that rejects writes once dead is true.
type stoppableStore struct {
	kvstore.Store
	dead *atomic.Bool
}

func (s stoppableStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (kvstore.Entry, error) {
	if s.dead.Load() {
		return kvstore.Entry{}, kvstore.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, value, version)
}

// failOnTwoGenerations fails the test if two generations of the job ever run at the
// same time.
func (c *cluster) failOnTwoGenerations(s job.Spec) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			if n := c.runningTasks(s); len(n) > 1 {
				c.t.Errorf("two generations run: %v", n)
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	})
	c.t.Cleanup(func() { cancel(); wg.Wait() })
}

func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(30*time.Second), wait.Gap(10*time.Millisecond), wait.BoolFunc(condition)), must.Sprint(description))
}

// TestNewSchedulerRestartsGangAfterKill stops a scheduler between two calls to
// workers. The next one must restart the gang without two generations running.
func TestNewSchedulerRestartsGangAfterKill(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name       string
		path       string
		killAtCall int
		reclaim    bool
	}{
		{"between two reservations", workerapi.PathReserve, 2, false},
		{"between reserve and start", workerapi.PathStart, 1, false},
		{"between two starts", workerapi.PathStart, 2, false},
		{"in a reclaim, before the checkpoint", workerapi.PathCheckpoint, 1, true},
		{"in a reclaim, between two stops", workerapi.PathStop, 2, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, nil)
			s := spec("a", 2)
			s.Checkpoint = true
			c.failOnTwoGenerations(s)
			killed := make(chan struct{})
			var reclaim sync.Once
			var dead atomic.Bool
			store := c.client
			c.client = stoppableStore{store, &dead}
			one := c.startEntryHost(1, func(o *gang.Options) {
				o.Workers = &interceptor{WorkerCaller: gang.NewHTTPWorkerCaller(), path: tc.path, actAtCall: tc.killAtCall, act: func() bool {
					dead.Store(true)
					close(killed)
					return true
				}}
				o.Decide = func(v placement.View) placement.Plan {
					p := placement.Decide(v)
					if tc.reclaim && len(v.Running) == 1 && !v.Running[0].Started.IsZero() {
						reclaim.Do(func() { p.Reclaims = []placement.Reclaim{{ID: s.ID, Reason: "needed"}} })
					}
					return p
				}
			})
			c.submit(one, s)
			<-killed
			one.term.set(0)
			one.stop()
			c.client = store
			two := c.startEntryHost(2, nil)
			rec := c.waitForState(two, s, job.Running)
			must.Eq(t, map[uint64]int{rec.Generation: 2}, c.runningTasks(s))
			must.EqOp(t, 2, rec.Generation, must.Sprint(rec.History))
		})
	}
}

func TestNewSchedulerAdoptsRunningGang(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, nil)
	s := spec("a", 2)
	one := c.startEntryHost(1, nil)
	c.submit(one, s)
	c.waitForState(one, s, job.Running)
	one.stop()
	two := c.startEntryHost(2, nil)
	c.submit(two, spec("b", 1))
	waitUntil(t, "the new scheduler has a wait reason for the job", func() bool {
		_, known := two.gang.WaitReason(spec("b", 1).ID)
		return known
	})
	must.Eq(t, map[uint64]int{1: 2}, c.runningTasks(s))
}

// TestStartIsRefusedOutOfService checks that no task starts when the failure domain
// is taken out of service, or the configuration can no longer be confirmed, after
// a gang's reservations were permitted and before its starts are.
func TestStartIsRefusedOutOfService(t *testing.T) {
	t.Parallel()
	takeOut := func(s *config.Snapshot) {
		s.FailureDomains = map[string]config.FailureDomain{"fd1": {Name: "fd1", Out: true}}
	}
	cases := []struct {
		name string
		act  func(c *cluster)
	}{
		{"taken out between reserve and start", func(c *cluster) { c.config.edit(takeOut) }},
		{"configuration not confirmed for 3 s", func(c *cluster) { c.config.setConfirmationAge(3 * time.Second) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, nil)
			s := spec("a", 2)
			e := c.startEntryHost(1, func(o *gang.Options) {
				o.Workers = &interceptor{WorkerCaller: gang.NewHTTPWorkerCaller(), path: workerapi.PathReserve, actAtCall: 2, act: func() bool {
					tc.act(c)
					return false
				}}
			})
			c.submit(e, s)
			c.waitForState(e, s, job.Queued) // either not placed yet, or queued again after the refusal
			waitUntil(t, "the start was refused", func() bool {
				rec, err := e.intake.Find(context.Background(), org, s.ID)
				return err == nil && rec.State == job.Queued && rec.Generation == 1
			})
			must.MapEmpty(t, c.runningTasks(s))
			for _, w := range c.workers {
				for _, task := range w.Tasks().Tasks { // ended tasks are listed too
					must.EqOp(t, workerapi.TaskReserved, task.State, must.Sprint("no task may have been started"))
				}
			}
		})
	}
}

func TestDelayedStartFindsReservationExpired(t *testing.T) {
	t.Parallel()
	var late sync.Once
	c := newCluster(t, 1, func(int) worker.Options {
		return worker.Options{BeforeMessage: func(path string) error {
			if path == workerapi.PathStart {
				late.Do(func() { time.Sleep(gang.ReservationTTL + 300*time.Millisecond) })
			}
			return nil
		}}
	})
	s := spec("a", 1)
	c.failOnTwoGenerations(s)
	e := c.startEntryHost(1, nil)
	c.submit(e, s)
	rec := c.waitForState(e, s, job.Running)
	must.EqOp(t, 2, rec.Generation, must.Sprint("the first generation must not have run"))
}

// TestStaleStartIsRefusedAfterHandover pauses a scheduler between its last permit
// check and its start request for longer than its term, while another host takes
// over. Its late start requests must start nothing.
func TestStaleStartIsRefusedAfterHandover(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, nil)
	s := spec("a", 2)
	c.failOnTwoGenerations(s)
	paused, resume := make(chan struct{}), make(chan struct{})
	caller := &interceptor{WorkerCaller: gang.NewHTTPWorkerCaller(), path: workerapi.PathStart, actAtCall: 1, act: func() bool {
		close(paused)
		<-resume
		return false
	}}
	one := c.startEntryHost(1, func(o *gang.Options) { o.Workers = caller })
	c.submit(one, s)
	<-paused
	two := c.startEntryHost(2, nil)
	rec := c.waitForState(two, s, job.Running)
	must.EqOp(t, 2, rec.Generation)
	close(resume)
	waitUntil(t, "the old scheduler's start requests arrive", func() bool { return caller.answered.Load() == 2 })
	one.stop()
	must.Eq(t, map[uint64]int{2: 2}, c.runningTasks(s))
}

func TestStartWithLostAnswerRestartsWholeGang(t *testing.T) {
	t.Parallel()
	var lost sync.Once
	c := newCluster(t, 2, func(i int) worker.Options {
		return worker.Options{AfterMessage: func(path string) (err error) {
			if i == 1 && path == workerapi.PathStart {
				lost.Do(func() { err = errors.New("answer lost") })
			}
			return err
		}}
	})
	s := spec("a", 2)
	c.failOnTwoGenerations(s)
	e := c.startEntryHost(1, nil)
	c.submit(e, s)
	c.waitForState(e, s, job.Running)
	must.Eq(t, map[uint64]int{2: 2}, c.runningTasks(s))
}

func TestOnlyRetirementCancelsJobsOfAService(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, nil)
	e := c.startEntryHost(1, nil)
	runs, waits := spec("runs", 1), spec("waits", 1)
	runs.Checkpoint = true
	c.submit(e, runs)
	c.waitForState(e, runs, job.Running)
	c.submit(e, waits)

	// A read of the configuration that lacks the service's document, or every
	// document, retires nothing.
	c.config.edit(func(s *config.Snapshot) { s.Services = map[string]config.Service{} })
	time.Sleep(3 * time.Second) // several cycles
	must.Eq(t, map[uint64]int{1: 1}, c.runningTasks(runs))
	must.EqOp(t, job.Queued, c.waitForState(e, waits, job.Queued).State)

	c.config.edit(func(s *config.Snapshot) { s.Retired = map[string]uint64{"svc": 9} })
	for _, s := range []job.Spec{runs, waits} {
		rec := c.waitForState(e, s, job.Cancelled)
		must.StrContains(t, rec.Reason, "svc was retired at revision 9")
	}
	must.MapEmpty(t, c.runningTasks(runs))
	tasks := c.workers[0].Tasks().Tasks
	must.Len(t, 1, tasks)
	must.False(t, tasks[0].Checkpointed.IsZero(), must.Sprint("the task was checkpointed"))
}

func TestTakingOutOfServiceCheckpointsAndRequeuesGangs(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, nil)
	e := c.startEntryHost(1, nil)
	s := spec("a", 2)
	s.Checkpoint = true
	c.submit(e, s)
	c.waitForState(e, s, job.Running)
	c.config.edit(func(s *config.Snapshot) {
		s.FailureDomains = map[string]config.FailureDomain{"fd1": {Name: "fd1", Out: true}}
	})
	rec := c.waitForState(e, s, job.Queued)
	must.MapEmpty(t, c.runningTasks(s))
	must.False(t, rec.Checkpointed.IsZero())
	c.config.edit(func(s *config.Snapshot) {
		s.FailureDomains = map[string]config.FailureDomain{"fd1": {Name: "fd1"}}
	})
	c.waitForState(e, s, job.Running)
}

func TestJobFailsAfterMaxFailures(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, func(int) worker.Options {
		return worker.Options{Fail: func(workerapi.Gang, int) bool { return true }}
	})
	e := c.startEntryHost(1, nil)
	s := spec("a", 1)
	c.submit(e, s)
	rec := c.waitForState(e, s, job.Failed)
	must.EqOp(t, 3, rec.Failures)
	must.StrContains(t, rec.Reason, "failed too often")
}

func TestWorkerThatFailsAllTasksIsQuarantined(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 7, func(i int) worker.Options {
		return worker.Options{Fail: func(workerapi.Gang, int) bool { return i == 0 }}
	})
	e := c.startEntryHost(1, nil)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		s := spec(name, 1)
		c.submit(e, s)
		waitUntil(t, "the job runs on a worker that does not fail", func() bool {
			rec, err := e.intake.Find(context.Background(), org, s.ID)
			return err == nil && rec.State == job.Running && rec.Workers[0] != "w0"
		})
	}
	must.Len(t, 3, c.workers[0].Tasks().Tasks, must.Sprint("failures before the quarantine"))
}
