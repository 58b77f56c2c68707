package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/platform/standin"
	"github.com/cyclamentray/cyclamentray/standin/runner"
)

// Options configures a run.
type Options struct {
	Binary      string // path of the host's program
	Dir         string // directory for the hosts' settings and logs
	Seed        uint64
	FaultPeriod time.Duration // how long faults are injected and jobs submitted; time without faults follows
	Hosts       int
	Runners     int
	Scenarios   bool         // runs the scenarios, beside the random faults and after them
	Scenario    string       // with Scenarios: the only one to run beside the random faults; empty: all
	Without     string       // with Scenarios: the one of all that is left out; empty: none
	Log         func(string) // called with a line for each fault; nil: no log
}

// Report is the result of a run. Violations is empty if all checks passed.
type Report struct {
	Seed       uint64
	Jobs       int
	Accepted   int
	Starts     int
	Answers    int // to requests on connections that are kept open
	LateStarts int // carried out by a later incarnation than they were sent to
	Restarts   int // of runners
	// FenceTimes are the times from the restarts of runners to the first holds with a token
	// above those of earlier incarnations, in ascending order.
	FenceTimes []time.Duration
	Violations []string
}

// String returns the figures of the run.
func (r *Report) String() string {
	fences := "no incarnation fenced"
	if n := len(r.FenceTimes); n > 0 {
		fences = fmt.Sprintf("%d fenced after min %s, median %s, max %s", n, rounded(r.FenceTimes[0]), rounded(r.FenceTimes[n/2]), rounded(r.FenceTimes[n-1]))
	}
	return fmt.Sprintf("seed %d: %d jobs, %d accepted, %d starts, %d of them in a later incarnation, %d restarts of runners, %s, %d answers on open connections, %d violations",
		r.Seed, r.Jobs, r.Accepted, r.Starts, r.LateStarts, r.Restarts, fences, r.Answers, len(r.Violations))
}

func rounded(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }

const (
	startupTime       = 3 * time.Second
	submitInterval    = 250 * time.Millisecond
	pollInterval      = 400 * time.Millisecond
	callTimeout       = 3500 * time.Millisecond
	maxSubmitAttempts = 4
	// settleTimeout is the time after the last fault by which every accepted job
	// must have ended. It covers a takeover, a runner's lease and the queued work.
	settleTimeout = 60 * time.Second
	cancelOdds    = 8 // one job in cancelOdds is cancelled
)

// soakRun is the state of one run.
type soakRun struct {
	opts       Options
	deployment *deployment
	checker    *Checker
	http       *http.Client
	writing    sync.Mutex // held while a configuration is written

	mu        sync.Mutex
	rng       *rand.Rand // for jobs and requests
	jobs      []string
	cancelled map[string]bool
	version   int
}

// Run runs hosts and submits jobs under the random faults of one seed. It returns
// once every accepted job has ended or settleTimeout is over.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Scenarios && len(o.scenarios()) == 0 {
		return nil, errors.Newf("there is no scenario of the name %q", o.Scenario)
	}
	if o.Log == nil {
		o.Log = func(string) {}
	}
	checker := NewChecker()
	d, err := newDeployment(o.Dir, o.Hosts, o.Runners, o.Seed, checker)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err := d.close(); err != nil {
			o.Log("address not released: " + err.Error())
		}
	}()
	r := &soakRun{
		opts: o, deployment: d, checker: checker, cancelled: make(map[string]bool),
		http: &http.Client{Timeout: callTimeout}, rng: rand.New(rand.NewPCG(o.Seed, 1)),
	}
	defer r.http.CloseIdleConnections()
	d.log, checker.log = o.Log, o.Log
	// Of holds and stops; startHandler writes such lines of starts.
	d.runnerServer.CarriedOutLate = func(id, order string, earlier bool) {
		o.Log(fmt.Sprintf("late at %s, sent to an earlier incarnation %t: %s", id, earlier, order))
	}
	r.writeConfiguration()
	for _, h := range d.hosts {
		h.log = o.Log
		if err := h.start(o.Binary); err != nil {
			return nil, err
		}
	}
	return r.execute(ctx)
}

func (r *soakRun) execute(ctx context.Context) (*Report, error) {
	entriesCtx, stopEntries := context.WithCancel(ctx)
	defer stopEntries()
	var background errgroup.Group
	background.Go(func() error { return r.deployment.maintainRunnerEntries(entriesCtx) })
	time.Sleep(startupTime)
	trafficCtx, stopTraffic := context.WithTimeout(ctx, r.opts.FaultPeriod)
	defer stopTraffic()
	var callers sync.WaitGroup
	callers.Go(func() { r.deployment.injectFaults(trafficCtx, rand.New(rand.NewPCG(r.opts.Seed, 2)), r.opts.Log) })
	if r.opts.Scenarios {
		callers.Go(func() { r.runScenarios(trafficCtx, rand.New(rand.NewPCG(r.opts.Seed, 3))) })
	}
	callers.Go(func() { r.runEvery(trafficCtx, submitInterval, func() { callers.Go(func() { r.submit(ctx) }) }) })
	callers.Go(func() { r.runEvery(trafficCtx, pollInterval, r.poll) })
	callers.Go(func() { r.keepConnections(trafficCtx) })
	callers.Go(func() { r.runEvery(trafficCtx, 3*time.Second, r.writeConfiguration) })
	<-trafficCtx.Done()
	callers.Wait()
	r.checkAfterFaults(ctx)
	if r.opts.Scenarios {
		rng := rand.New(rand.NewPCG(r.opts.Seed, 4))
		r.checkCalmTakeover(ctx, rng)
		r.checkOddEntriesInCalm(ctx, rng)
		r.checkStopsInCalm(ctx)
	}
	stopEntries()
	err := background.Wait()
	return r.report(), err
}

func (r *soakRun) runEvery(ctx context.Context, interval time.Duration, f func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
			f()
		}
	}
}

// writeConfiguration writes a new version of the configuration with one more
// queue, by which poll sees whether a host has that version.
func (r *soakRun) writeConfiguration() {
	r.writing.Lock()
	defer r.writing.Unlock()
	r.mu.Lock()
	r.version++
	version := r.version
	r.mu.Unlock()
	config := batch.Configuration{
		Version:       int64(version),
		Services:      []batch.Service{{Name: "s"}},
		Organisations: []batch.Organisation{{Name: "one", Keys: []string{r.deployment.name}, Guaranteed: batch.Resources{Accelerators: acceleratorsPerRunner}}},
	}
	for v := range version + 1 {
		config.Queues = append(config.Queues, batch.Queue{
			Name: fmt.Sprintf("q%d", v), Host: r.deployment.name, Prefix: fmt.Sprintf("/q%d/", v), Service: "s", Priority: v % 2,
			MaxAttempts: 9, Stretch: 3, TargetLatency: time.Second,
		})
	}
	text, err := standin.EncodeConfiguration(config)
	if err != nil {
		r.opts.Log("configuration not written: " + err.Error())
		return
	}
	r.deployment.writeKey(standin.ConfigurationKey, text)
}

func (r *soakRun) submit(ctx context.Context) {
	id, body, task, cancel := r.newJob()
	r.checker.RecordSubmission(id, body, task.GangSize)
	r.deployment.setJob(id, body, task)
	accepted := false
	for range maxSubmitAttempts {
		status, _ := r.call(ctx, "POST", r.randomHost(), "/q0/"+id, r.jobBody(body, task))
		r.checker.RecordSubmissionAnswer(id, status, steady.Now())
		if status == http.StatusOK {
			accepted = true
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if !accepted {
		return
	}
	r.mu.Lock()
	r.jobs = append(r.jobs, id)
	r.mu.Unlock()
	if !cancel {
		return
	}
	time.Sleep(500 * time.Millisecond)
	r.mu.Lock()
	r.cancelled[id] = true // before the answer: the cancellation may be stored even if it is lost
	r.mu.Unlock()
	for range maxSubmitAttempts {
		if status, _ := r.call(ctx, "DELETE", r.randomHost(), "/q0/"+id, ""); status == http.StatusOK {
			return
		}
	}
}

func (r *soakRun) newJob() (id, spec string, task runner.Task, cancel bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id = fmt.Sprintf("%016x", r.rng.Uint64())
	task = runner.Task{
		Work: time.Duration(200+r.rng.IntN(2000)) * time.Millisecond, GangSize: 1 + r.rng.IntN(4), ChecksCapacity: true,
		Request: batch.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: int64(1 + r.rng.IntN(4))},
	}
	if r.rng.IntN(2) == 0 {
		task.Checkpoint = 300 * time.Millisecond
	}
	return id, "spec " + id, task, r.rng.IntN(cancelOdds) == 0
}

func (r *soakRun) jobBody(spec string, task runner.Task) string {
	return r.stepBody(spec, batch.Step{
		Tasks: task.GangSize, Request: task.Request, Estimate: task.Work, Gang: task.GangSize > 1, Checkpoints: task.Checkpoint > 0,
	})
}

func (r *soakRun) stepBody(spec string, step batch.Step) string {
	text, err := standin.EncodeJob(spec, step)
	if err != nil {
		r.opts.Log("job not written: " + err.Error())
	}
	return string(text)
}

func (r *soakRun) randomHost() *hostProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deployment.hosts[r.rng.IntN(len(r.deployment.hosts))]
}

// call makes one request; status 0 means that no complete answer was received.
func (r *soakRun) call(ctx context.Context, method string, h *hostProcess, path, body string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.apiAddress+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = r.deployment.name
	req.Header.Set(standin.APIKeyHeader, r.deployment.name)
	resp, err := r.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// poll asks a random host for the state of a job and whether it has a version of
// the configuration, and records the answers.
func (r *soakRun) poll() {
	h := r.randomHost()
	r.mu.Lock()
	id := ""
	if len(r.jobs) > 0 {
		id = r.jobs[r.rng.IntN(len(r.jobs))]
	}
	version := 1 + r.rng.IntN(r.version)
	r.mu.Unlock()
	if id != "" {
		asked := steady.Now()
		status, text := r.call(context.Background(), "GET", h, "/q0/"+id, "")
		r.checkStateAnswer(id, status, text, asked)
	}
	incarnation := h.incarnationName()
	status, _ := r.call(context.Background(), "GET", h, fmt.Sprintf("/q%d/", version), "")
	if incarnation == h.incarnationName() && (status == http.StatusOK || status == http.StatusNotFound) {
		r.checker.RecordConfiguration(incarnation, version, status == http.StatusOK)
	}
}

// checkAfterFaults waits until every accepted job has ended, for settleTimeout at
// most, and until the last late order was carried out contactTime ago. Then it runs the
// checks that need all faults to be over.
func (r *soakRun) checkAfterFaults(ctx context.Context) {
	states := make(map[string]string)
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(pollInterval) {
		unfinished := 0
		for _, id := range r.jobs {
			if state := states[id]; batch.State(state).Final() {
				continue
			}
			states[id] = r.jobState(ctx, id)
			if !batch.State(states[id]).Final() {
				unfinished++
			}
		}
		if unfinished == 0 {
			break
		}
	}
	sleep(ctx, time.Until(r.deployment.lastLateOrder())+contactTime)
	time.Sleep(2 * time.Second) // for stop orders in flight
	for _, id := range r.jobs {
		r.checker.CheckFinalState(id, states[id], r.cancelled[id])
	}
	r.checker.CheckCancelledJobs(r.cancelled)
	r.checker.CheckRefusedJobs()
}

// checkStateAnswer checks the answer to a request for a job's state, and returns the state;
// empty: there is none.
func (r *soakRun) checkStateAnswer(id string, status int, text string, asked steady.Time) string {
	r.checker.CheckStateAnswer(id, status, asked)
	var body struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return ""
	}
	if batch.State(body.State) == batch.Completed {
		r.checker.CheckCompleted(id, steady.Now())
	}
	return body.State
}

func (r *soakRun) jobState(ctx context.Context, id string) string {
	asked := steady.Now()
	status, text := r.call(ctx, "GET", r.randomHost(), "/q0/"+id, "")
	if state := r.checkStateAnswer(id, status, text, asked); state != "" {
		return state
	}
	return fmt.Sprintf("unknown (%d)", status)
}

func (r *soakRun) report() *Report {
	c := r.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Report{
		Seed: r.opts.Seed, Jobs: len(c.jobs), Accepted: len(r.jobs), Starts: c.starts, Answers: c.answers, LateStarts: c.lateStarts,
		Restarts: c.restarts, FenceTimes: slices.Sorted(slices.Values(c.fenceTimes)), Violations: slices.Clone(c.violations),
	}
}

// TempDir creates a directory for the settings and logs of one run.
func TempDir() (string, error) { return os.MkdirTemp("", "cyclamentray-soak-") }
