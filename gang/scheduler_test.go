package gang_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/gang"
	"github.com/cyclamentray/cyclamentray/intake"
	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/standin/kv"
	"github.com/cyclamentray/cyclamentray/standin/worker"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// fakeConfig is a config.Source under the test's control.
type fakeConfig struct {
	mu      sync.Mutex
	snap    config.Snapshot
	age     time.Duration
	changed chan struct{}
}

func (f *fakeConfig) Current() (*config.Snapshot, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	snap := f.snap
	return &snap, time.Now().Add(-f.age)
}

func (f *fakeConfig) Changed() <-chan struct{} { return f.changed }

func (f *fakeConfig) edit(change func(*config.Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.snap)
	f.snap.Revision++
}

// setConfirmationAge sets the age of the configuration's last confirmation.
func (f *fakeConfig) setConfirmationAge(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.age = age
}

// fakeTerm is an election.Holder under the test's control.
type fakeTerm struct {
	mu   sync.Mutex
	term uint64
}

func (f *fakeTerm) Term() (uint64, time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term, time.Now().Add(time.Hour), f.term != 0
}

func (f *fakeTerm) set(term uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term = term
}

// fakeView is a membership.Source with a view that the test sets.
type fakeView struct{ view membership.View }

func (f *fakeView) View() *membership.View { return &f.view }

// cluster is one failure domain on loopback: a store and workers. Tests start the
// entry hosts.
type cluster struct {
	t       *testing.T
	store   *kv.Server
	client  kvstore.Store
	config  *fakeConfig
	view    *fakeView
	workers []*worker.Server
}

func testSnapshot() config.Snapshot {
	shape := job.Shape{Tasks: 4, AcceleratorsPerTask: 8, Adjacency: job.SameRack}
	return config.Snapshot{
		Revision:      1,
		Organisations: map[string]config.Organisation{"org": {Name: "org"}},
		Services: map[string]config.Service{"svc": {Name: "svc", Organisation: "org", Team: "team",
			Jobs: []config.JobTemplate{{Name: "train", Shape: shape, Checkpoint: true, MaxFailures: 3}}}},
		FailureDomains: map[string]config.FailureDomain{"fd1": {Name: "fd1"}},
		Retired:        map[string]uint64{},
	}
}

// newCluster starts n workers of 8 accelerators in one rack.
func newCluster(t *testing.T, n int, options func(i int) worker.Options) *cluster {
	c := &cluster{t: t, store: kv.New(), config: &fakeConfig{snap: testSnapshot(), changed: make(chan struct{})}}
	server := httptest.NewServer(c.store)
	t.Cleanup(server.Close)
	c.client = kvstore.NewClient(server.URL)
	c.view = &fakeView{membership.View{Self: kvstore.Host{Name: "entry1", Kind: kvstore.EntryHost, FailureDomain: "fd1"}}}
	c.view.view.Hosts = []kvstore.Host{c.view.view.Self}
	for i := range n {
		o := worker.Options{}
		if options != nil {
			o = options(i)
		}
		o.Name, o.Accelerators = fmt.Sprintf("w%d", i), 8
		w := worker.New(o)
		s := httptest.NewServer(w)
		t.Cleanup(s.Close)
		c.workers = append(c.workers, w)
		c.view.view.Hosts = append(c.view.view.Hosts, kvstore.Host{Name: o.Name, Kind: kvstore.Worker,
			FailureDomain: "fd1", Rack: "rack1", Accelerators: 8, Address: strings.TrimPrefix(s.URL, "http://")})
	}
	return c
}

// entryHost is an entry host's ledgers, intake and gang scheduler.
type entryHost struct {
	ledgers *ledger.Ledgers
	intake  *intake.Intake
	gang    *gang.Scheduler
	term    *fakeTerm
	stop    func()
}

// startEntryHost starts an entry host that holds the given term; 0: none.
func (c *cluster) startEntryHost(term uint64, change func(*gang.Options)) *entryHost {
	e := &entryHost{term: &fakeTerm{term: term}}
	e.ledgers = ledger.New(ledger.Options{Store: c.client, WriteInterval: 5 * time.Millisecond})
	e.intake = intake.New(intake.Options{FailureDomain: "fd1", Ledgers: e.ledgers, Config: c.config, Membership: c.view, Election: e.term})
	o := gang.Options{FailureDomain: "fd1", Ledger: e.ledgers.Jobs("fd1"), Config: c.config, Membership: c.view, Election: e.term}
	if change != nil {
		change(&o)
	}
	e.gang = gang.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = e.ledgers.Run(ctx, "fd1") })
	wg.Go(func() { _ = e.gang.Run(ctx) })
	e.stop = func() { cancel(); wg.Wait() }
	c.t.Cleanup(e.stop)
	return e
}

var org = auth.Identity{Organisation: "org"}

func spec(name string, tasks int) job.Spec {
	return job.Spec{ID: job.ID{Organisation: "org", Service: "svc", Name: name}, Template: "train",
		Shape: job.Shape{Tasks: tasks, AcceleratorsPerTask: 8, Adjacency: job.SameRack}}
}

func (c *cluster) submit(e *entryHost, s job.Spec) {
	_, err := e.intake.Submit(context.Background(), org, s)
	must.NoError(c.t, err)
}

// waitForState waits until the job is in the state and returns its record.
func (c *cluster) waitForState(e *entryHost, s job.Spec, state job.State) job.Record {
	c.t.Helper()
	var rec job.Record
	must.Wait(c.t, wait.InitialSuccess(wait.Timeout(45*time.Second), wait.Gap(20*time.Millisecond), wait.BoolFunc(func() bool {
		rec, _ = e.intake.Find(context.Background(), org, s.ID)
		return rec.State == state
	})), must.Sprintf("job is %+v, wanted %s", rec, state))
	return rec
}

// runningTasks returns the number of the job's running tasks on all workers by
// generation.
func (c *cluster) runningTasks(s job.Spec) map[uint64]int {
	out := make(map[uint64]int)
	for _, w := range c.workers {
		for _, t := range w.Tasks().Tasks {
			if t.State == workerapi.TaskRunning && t.Gang.Job == s.ID.String() {
				out[t.Gang.Generation]++
			}
		}
	}
	return out
}

func TestGangRunsOnTwoWorkersAndFinishes(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, func(int) worker.Options {
		return worker.Options{RunTime: func(workerapi.Gang, int) time.Duration { return 500 * time.Millisecond }}
	})
	e := c.startEntryHost(1, nil)
	s := spec("a", 2)
	c.submit(e, s)
	rec := c.waitForState(e, s, job.Running)
	must.SliceContainsAll(t, []string{"w0", "w1"}, rec.Workers)
	c.waitForState(e, s, job.Finished)
	must.EqOp(t, 5, c.store.Calls()["put"], must.Sprint("writes: index, queued, placed, running, finished"))
}
