//go:build review

package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
	seen  []observation
	notes map[int64]bool // ends that were taken note of, by observation.end
	ends  int64          // number of ends so far
}

// noted notes that a scheduler has taken note of an end.
func (r *record) noted(end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notes == nil {
		r.notes = make(map[int64]bool)
	}
	r.notes[end] = true
}

// nextEnd returns the number of a new end.
func (r *record) nextEnd() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends++
	return r.ends
}

// isNoted reports whether an end of the task was taken note of.
func (r *record) isNoted(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.seen {
		if !o.start && o.task == task && r.notes[o.end] {
			return true
		}
	}
	return false
}

// startsAfterDone returns the starts of a job's tasks of which an earlier run had ended
// done, where the end of that run was taken note of then or later.
func (r *record) startsAfterDone(job string) []observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []observation
	done := make(map[string]bool)
	for _, o := range r.seen {
		switch {
		case jobOf(o.task) != job:
		case o.start && done[o.task]:
			out = append(out, o)
		case !o.start && o.how == "done" && r.notes[o.end]:
			done[o.task] = true
		}
	}
	return out
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) observe(o observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, o)
}

// startsOf returns the starts of a job's tasks.
func (r *record) startsOf(job string) []observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []observation
	for _, o := range r.seen {
		if o.start && jobOf(o.task) == job {
			out = append(out, o)
		}
	}
	return out
}

// endsOf returns the number of a job's runs that ended done.
func (r *record) endsOf(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, o := range r.seen {
		if !o.start && o.how == "done" && jobOf(o.task) == job {
			n++
		}
	}
	return n
}

// host is one machine of the system with its process.
type host struct {
	name, ip, settings string
	process            *exec.Cmd
	ended              chan struct{}
}

// deployment is the platform's side of a small deployment, and the processes of the
// system.
type deployment struct {
	dir     string
	net     string // first three bytes of all addresses
	log     *record
	store   *store
	runners []*runner
	hosts   []*host
	version int
}

const (
	frontPort = 8521
	readyPort = 8523
	peerPort  = 7000
	storePort = 8524
	taskPort  = 8080
	callHost  = "nony24.example"
	prefix    = "/lohu930/"

	urgentPrefix = "/pufi791/" // queue of priority 0
	key          = "d4a3hwrr6x73d3zji9n7"
)

// errSetup marks failures that say nothing about the rule.
var errSetup = errors.New("the case couldn't run")

// newDeployment starts the store and the runners and writes the configuration. label
// returns the kind of a runner.
func newDeployment(log *record, hosts, runners int, label func(int) string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, log: log, store: newStore(log)}
	if d.net, err = freeNet(); err != nil {
		return d, err
	}
	d.putConfiguration()
	for i := range hosts {
		h := &host{name: fmt.Sprintf("edge-zone-%c-1", 'a'+i), ip: fmt.Sprintf("%s.%d", d.net, 1+i)}
		storeAddress := fmt.Sprintf("%s.%d:%d", d.net, 101+i, storePort)
		if err := d.store.serve(storeAddress, h.name); err != nil {
			return d, err
		}
		h.settings = filepath.Join(dir, h.name+".yaml")
		if err := os.WriteFile(h.settings, []byte(d.settingsOf(h, 'a'+i, storeAddress)), 0o600); err != nil {
			return d, err
		}
		d.hosts = append(d.hosts, h)
	}
	for i := range runners {
		zone := 'a' + i%max(1, hosts)
		r := newRunner(runnerName(i), fmt.Sprintf("%s.%d:%d", d.net, 201+i, taskPort), fmt.Sprintf("zone-%c", zone), label(i), fmt.Sprintf("r%c-%d", zone, i/max(1, hosts)), d.store, log)
		if err := startRunner(r); err != nil {
			return d, err
		}
		d.runners = append(d.runners, r)
	}
	return d, nil
}

// freeNet returns the first three bytes of loopback addresses that nothing listens on.
func freeNet() (string, error) {
	var b [2]byte
	for range 50 {
		_, _ = rand.Read(b[:])
		n := fmt.Sprintf("127.%d.%d", 64+b[0]%128, 1+b[1]%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", n, frontPort))
		if err == nil {
			_ = l.Close()
			return n, nil
		}
	}
	return "", errSetup
}

func (d *deployment) putConfiguration() {
	d.version += 3
	text, _ := json.Marshal(map[string]any{
		"version": d.version,
		"routes": []map[string]any{{
			"name": "r-7ejsmzz", "host": callHost, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": 1, "service": "s", "max_attempts": 3, "stretch": 3.0, "public": false,
		}, {
			"name": "r-yyjsg3a", "host": callHost, "prefix": urgentPrefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 250, "priority": 0, "service": "s", "max_attempts": 3, "stretch": 1.5, "public": false,
		}},
		"services": []map[string]any{{"name": "s", "health_path": "/healthz", "admission_check": true, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "kaje80", "api_keys": []string{key}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}}},
	})
	d.store.write(map[string][]byte{"op/config": text})
}

func (d *deployment) settingsOf(h *host, zone int, storeAddress string) string {
	return fmt.Sprintf(`node_name: %q
role: "scheduler"
machine_class: "edge"
serves: ["edge"]
ip: %q
zone: "zone-%c"
region: "region"
zones: {zone-a: "region", zone-b: "region", zone-c: "region"}
listen: {front: "%s:%d", ready: "%s:%d"}
internal_ports: [%d, %d]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: %d
contracts: ["base", "drain", "config", "cost", "recover", "sched", "tenants", "places", "platform"]
fault_tolerance: {machines: 2, zones: 1, regions: 0}
bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, config_apply_ms: 2000, evac_ms: 5000, recovery_s: 12, hold_max_ms: %d, stop_ms: 400, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remote_factor: 3, checkpoint_s: 1, restore_ms: 100}
orders: "invoke"
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000}
`, h.name, h.ip, zone, h.ip, frontPort, h.ip, readyPort, peerPort, peerPort+15, heartbeat.Milliseconds(), holdMax.Milliseconds(), storeAddress)
}

// start starts a host's process with the command of the deploy file.
func (d *deployment) start(h *host) error {
	command := exec.Command("target/cyclamentray-batchd", "--metrics-port", "9464")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=C", "CYCLAMENTRAY_CONFIG=" + h.settings}
	logFile, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = logFile.Close()
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	h.process, h.ended = command, make(chan struct{})
	d.log.printf("process of %s started", h.name)
	go func(ended chan struct{}) {
		_ = command.Wait()
		_ = logFile.Close()
		d.log.printf("process of %s ended: %v", h.name, command.ProcessState)
		close(ended)
	}(h.ended)
	return nil
}

func (d *deployment) signal(h *host, s syscall.Signal) {
	d.log.printf("signal %v to %s", s, h.name)
	_ = h.process.Process.Signal(s)
}

// close ends all processes and removes the folder with their logs.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.process != nil {
			_ = h.process.Process.Kill()
			<-h.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// ready reports whether a host's process answers the readiness probe with 200.
func (d *deployment) ready(h *host) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", h.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts every host and waits until all are ready.
func (d *deployment) startAll() error {
	for _, h := range d.hosts {
		if err := d.start(h); err != nil {
			return err
		}
	}
	return d.awaitReady(10 * time.Second)
}

func (d *deployment) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, h := range d.hosts {
			if d.ready(h) {
				n++
			}
		}
		if n == len(d.hosts) {
			return nil
		}
	}
	return fmt.Errorf("%w: the hosts did not become ready", errSetup)
}

// leader returns the host that last acquired the right to schedule, by the name in the
// store's record.
func (d *deployment) leader() *host {
	value, _ := d.store.value("batch/leader")
	name, _, _ := strings.Cut(string(value), "/")
	for _, h := range d.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// step is a step of a job that a client submits.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMB        int64  `json:"mem_mb"`
	GPU          int64  `json:"gpu"`
	EstimatedMS  int64  `json:"estimated_ms"`
	Requirements string `json:"requirements,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`

	uneven bool // the tasks take between half and one and a half times the estimate
}

func newJobID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// jobBody returns the body of a submission of a job with one step.
func jobBody(s step) []byte {
	spec, _ := json.Marshal(taskNeeds{WorkMS: s.EstimatedMS, CPU: s.CPU, MemMB: s.MemMB, GPU: s.GPU, Lasts: s.LongRunning, Uneven: s.uneven})
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "phases": []step{s}})
	return body
}

var clients = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// callerDeadline is how long clients wait for a response.
const callerDeadline = 3 * time.Second

// call makes a client's call to a host and returns the status, or 0 if there was no
// answer.
func (d *deployment) call(h *host, method, path string, body []byte) (int, string) {
	return d.callFor(callerDeadline, h, method, path, body)
}

// callFor makes a call of a client that leaves after the given time.
func (d *deployment) callFor(patience time.Duration, h *host, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", h.ip, frontPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = callHost
	q.Header.Set("Api-Key", key)
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	resp, err := clients.Do(q)
	if err != nil {
		d.log.printf("client: %s %s at %s: no answer: %v", method, path, h.name, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	answer := strings.TrimSpace(string(text))
	d.log.printf("client: %s %s at %s: %d %s", method, path, h.name, resp.StatusCode, answer)
	return resp.StatusCode, answer
}

// submit submits a job at a host and returns the time of its acceptance.
func (d *deployment) submit(h *host, id string, s step) (time.Time, error) {
	return d.submitTo(h, prefix, id, s)
}

func (d *deployment) submitTo(h *host, queue, id string, s step) (time.Time, error) {
	if status, _ := d.call(h, http.MethodPost, queue+id, jobBody(s)); status != http.StatusOK {
		return time.Time{}, fmt.Errorf("%w: job %s was not accepted", errSetup, id)
	}
	return time.Now(), nil
}

// awaitState polls a job's state until it is the wanted one.
func (d *deployment) awaitState(h *host, id, state string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if status, text := d.call(h, http.MethodGet, prefix+id, nil); status == http.StatusOK && strings.Contains(text, `"`+state+`"`) {
			return true
		}
	}
	return false
}

// watchIdle is the check of LOST: it asks for a job finish_s after it was submitted, and
// watches it for six seconds more. It returns the longest time for which nothing of the
// job ran while tasks were left, there was room for two of them, and under half of the
// service's GPUs and processors were in use.
func (d *deployment) watchIdle(id string, s step, submitted time.Time) time.Duration {
	time.Sleep(time.Until(submitted.Add(finish)))
	var since time.Time
	longest := time.Duration(0)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.isRunning(id) || d.log.endsOf(id) >= s.Count || !d.hasRoomTwice(s) {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	status, answer := d.call(d.anyReady(), http.MethodGet, prefix+id, nil)
	d.log.printf("job %s, from %.0f s to %.0f s after it was submitted: nothing of it ran for %.1f s on end, with room for it twice over and under half in use; %d of %d tasks done; %d %s",
		id, finish.Seconds(), finish.Seconds()+6, longest.Seconds(), d.log.endsOf(id), s.Count, status, answer)
	return longest
}

// hasRoomTwice reports whether the live runners have room for two tasks of the step, and
// under half of their GPUs and processors are in use.
func (d *deployment) hasRoomTwice(s step) bool {
	var usedCPU, allCPU, usedGPU, allGPU int64
	rooms := int64(0)
	for _, r := range d.runners {
		cpu, mem, gpu, live := r.used()
		if !live {
			continue
		}
		usedCPU, allCPU, usedGPU, allGPU = usedCPU+cpu, allCPU+r.cpu, usedGPU+gpu, allGPU+r.gpu
		n := min((r.cpu-cpu)/max(1, s.CPU), (r.mem-mem)/max(1, s.MemMB))
		if s.GPU > 0 {
			n = min(n, (r.gpu-gpu)/s.GPU)
		}
		rooms += n
	}
	return rooms >= 2 && 2*usedCPU < allCPU && 2*usedGPU < allGPU
}
