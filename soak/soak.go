package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/platform/standin"
	"github.com/cyclamentray/cyclamentray/standin/runner"
)

// Options of a run.
type Options struct {
	Binary      string // of the host's program
	Dir         string // for settings and logs
	Seed        uint64
	FaultPeriod time.Duration // with faults; calm time follows
	Hosts       int
	Runners     int
	Log         func(string) // told of each fault; nil: nobody
}

// Report tells how a run went.
type Report struct {
	Seed       uint64
	Jobs       int
	Accepted   int
	Starts     int
	Violations []string
}

const (
	bootTime    = 3 * time.Second
	submitEvery = 250 * time.Millisecond
	pollEvery   = 400 * time.Millisecond
	callTimeout = 3500 * time.Millisecond
	handInTries = 4
	// settleTime is how long after the last fault every accepted job must be
	// done: a takeover, a runner's lease, and the work that waits.
	settleTime = 60 * time.Second
	cancelOdds = 8 // one job in so many is cancelled

	hostName        = "soak" // that callers ask for
	organisationKey = "k"
)

// run is one soak.
type run struct {
	opts  Options
	d     *deployment
	check *Checker
	http  *http.Client

	mu        sync.Mutex
	rng       *rand.Rand // for callers
	jobs      []string
	cancelled map[string]bool
	version   int
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Log == nil {
		o.Log = func(string) {}
	}
	check := NewChecker()
	d, err := newDeployment(o.Dir, o.Hosts, o.Runners, check)
	if err != nil {
		return nil, err
	}
	defer d.close()
	r := &run{
		opts: o, d: d, check: check, cancelled: make(map[string]bool),
		http: &http.Client{Timeout: callTimeout}, rng: rand.New(rand.NewPCG(o.Seed, 1)),
	}
	defer r.http.CloseIdleConnections()
	r.configure()
	for _, h := range d.hosts {
		if err := h.start(o.Binary); err != nil {
			return nil, err
		}
	}
	return r.play(ctx)
}

func (r *run) play(ctx context.Context) (*Report, error) {
	tending, stopTending := context.WithCancel(ctx)
	defer stopTending()
	var background errgroup.Group
	background.Go(func() error { return r.d.tend(tending) })
	time.Sleep(bootTime)
	traffic, stopTraffic := context.WithTimeout(ctx, r.opts.FaultPeriod)
	defer stopTraffic()
	var callers sync.WaitGroup
	callers.Go(func() { r.d.trouble(traffic, rand.New(rand.NewPCG(r.opts.Seed, 2)), r.opts.Log) })
	callers.Go(func() { r.every(traffic, submitEvery, func() { callers.Go(func() { r.submit(ctx) }) }) })
	callers.Go(func() { r.every(traffic, pollEvery, r.poll) })
	callers.Go(func() { r.every(traffic, 3*time.Second, r.configure) })
	<-traffic.Done()
	callers.Wait()
	r.settle(ctx)
	stopTending()
	err := background.Wait()
	return r.report(), err
}

func (r *run) every(ctx context.Context, pause time.Duration, f func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
			f()
		}
	}
}

// configure adds a queue, by which callers see which version a host has.
func (r *run) configure() {
	r.mu.Lock()
	r.version++
	version := r.version
	r.mu.Unlock()
	config := batch.Configuration{
		Version:       int64(version),
		Services:      []batch.Service{{Name: "s"}},
		Organisations: []batch.Organisation{{Name: "one", Keys: []string{organisationKey}, Guaranteed: batch.Resources{Accelerators: accelerators}}},
	}
	for v := range version + 1 {
		config.Queues = append(config.Queues, batch.Queue{
			Name: fmt.Sprintf("q%d", v), Host: hostName, Prefix: fmt.Sprintf("/q%d/", v), Service: "s", Priority: v % 2,
			MaxAttempts: 9, Stretch: 3, TargetLatency: time.Second,
		})
	}
	text, err := standin.EncodeConfiguration(config)
	if err != nil {
		r.opts.Log("configuration not written: " + err.Error())
		return
	}
	r.d.put(standin.ConfigurationKey, text)
}

func (r *run) submit(ctx context.Context) {
	id, body, task, cancel := r.newJob()
	r.check.RecordSubmission(id, body)
	r.d.setJob(id, body, task)
	accepted := false
	for range handInTries {
		status, _ := r.call(ctx, "POST", r.host(), "/q0/"+id, r.jobBody(body, task))
		r.check.RecordSubmissionAnswer(id, status, steady.Now())
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
	r.cancelled[id] = true // whatever the answer: it may be stored
	r.mu.Unlock()
	for range handInTries {
		if status, _ := r.call(ctx, "DELETE", r.host(), "/q0/"+id, ""); status == http.StatusOK {
			return
		}
	}
}

func (r *run) newJob() (id, spec string, task runner.Task, cancel bool) {
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

func (r *run) jobBody(spec string, task runner.Task) string {
	text, err := standin.EncodeJob(spec, batch.Step{
		Tasks: task.GangSize, Request: task.Request, Estimate: task.Work, Gang: task.GangSize > 1, Checkpoints: task.Checkpoint > 0,
	})
	if err != nil {
		r.opts.Log("job not written: " + err.Error())
	}
	return string(text)
}

func (r *run) host() *hostProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.d.hosts[r.rng.IntN(len(r.d.hosts))]
}

// call makes one request; status 0 means that no whole answer came.
func (r *run) call(ctx context.Context, method string, h *hostProcess, path, body string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = hostName
	req.Header.Set(standin.APIKeyHeader, organisationKey)
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

// poll asks a host for a job, and whether it has a configuration.
func (r *run) poll() {
	h := r.host()
	r.mu.Lock()
	id := ""
	if len(r.jobs) > 0 {
		id = r.jobs[r.rng.IntN(len(r.jobs))]
	}
	version := 1 + r.rng.IntN(r.version)
	r.mu.Unlock()
	if id != "" {
		asked := steady.Now()
		status, _ := r.call(context.Background(), "GET", h, "/q0/"+id, "")
		r.check.RecordStateAnswer(id, status, asked)
	}
	incarnation := h.version()
	status, _ := r.call(context.Background(), "GET", h, fmt.Sprintf("/q%d/", version), "")
	if incarnation == h.version() && (status == http.StatusOK || status == http.StatusNotFound) {
		r.check.RecordConfiguration(incarnation, version, status == http.StatusOK)
	}
}

// settle waits until every accepted job has ended, and checks what became of it.
func (r *run) settle(ctx context.Context) {
	states := make(map[string]string)
	for limit := time.Now().Add(settleTime); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(pollEvery) {
		open := 0
		for _, id := range r.jobs {
			if state := states[id]; batch.State(state).Final() {
				continue
			}
			states[id] = r.state(ctx, id)
			if !batch.State(states[id]).Final() {
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	time.Sleep(2 * time.Second) // stops that are on their way
	for _, id := range r.jobs {
		r.check.CheckFinalState(id, states[id], r.cancelled[id])
	}
	r.check.CheckCancelledJobs(r.cancelled)
	r.check.CheckRefusedJobs()
}

func (r *run) state(ctx context.Context, id string) string {
	status, text := r.call(ctx, "GET", r.host(), "/q0/"+id, "")
	var body struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return fmt.Sprintf("unknown (%d)", status)
	}
	return body.State
}

func (r *run) report() *Report {
	r.check.mu.Lock()
	starts := r.check.starts
	jobs := len(r.check.jobs)
	r.check.mu.Unlock()
	return &Report{Seed: r.opts.Seed, Jobs: jobs, Accepted: len(r.jobs), Starts: starts, Violations: r.check.Violations()}
}

// TempDir returns a new folder for one run's settings and logs.
func TempDir() (string, error) { return os.MkdirTemp("", "cyclamentray-soak-") }
