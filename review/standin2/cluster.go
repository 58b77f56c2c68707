package main

import (
	"bytes"
	"context"
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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cyclamentray/cyclamentray/platform/standin"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

const (
	serviceName = "prestamos"
	apiKey      = "key-of-north"
	routeHost   = "wuny96.example"

	readyTimeout    = 15 * time.Second
	callTimeout     = 3 * time.Second
	stopGrace       = 6 * time.Second
	settleAfterBoot = 2 * time.Second

	// Last parts of the addresses of the first host and the first runner.
	hostAddress   = 11
	runnerAddress = 100
)

var zones = []string{"cantabrico-a", "cantabrico-b", "cantabrico-c", "cantabrico-d"}

// settingsText is the settings file of a host, with the values of the deployment
// crn-loans. Fields that the program doesn't read are left out.
const settingsText = `node_name: %q
role: "scheduler"
machine_class: "edge"
ip: %q
zone: %q
region: "cantabrico"
listen: {front: "%s:%d", ready: "%s:%d", control: "%s:%d"}
internal_ports: [%d, %d]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
heartbeat_ms: 1500
bounds:
  contact_ms: 3000
  ack_ms: 4000
  drain_ms: 2000
  grace_s: 6
  config_apply_ms: 2000
  hold_max_ms: %d
  stop_ms: 400
  gang_timeout_ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  remote_factor: 3
  checkpoint_s: 1
  restore_ms: 100
  notice_ms: 4500
  fencing_enforced: false
orders: "invoke"
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000}
`

// host is one process of the program under review.
type host struct {
	name, zone, ip string
	front, ready   int
	store          *http.Server // the platform's store, as this host reaches it
	cut            atomic.Bool  // the host has no path to the store
	program        string
	settings       string
	metrics        int
	process        *exec.Cmd
	log            *os.File
}

// cluster is a small deployment: the program's processes, and the stand-ins of the
// platform and of the runners.
type cluster struct {
	rec     *recorder
	dir     string
	holdMax time.Duration
	keys    *keyspace.Store
	aged    *agedStore
	store   *platformStore
	hosts   []*host

	mu      sync.Mutex
	runners []*runner
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// loopback returns a loopback address of this process. A port that is closed for a while isn't
// taken by other processes then, as connections come from 127.0.0.1.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, n)
}

func freePorts(ip string, n int) ([]int, error) {
	var out []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// start starts the host's process.
func (h *host) start() error {
	h.process = exec.Command(h.program, "--metrics-port", fmt.Sprint(h.metrics))
	h.process.Env = append(os.Environ(), "CYCLAMENTRAY_CONFIG="+h.settings)
	h.process.Stdout, h.process.Stderr = h.log, h.log
	if err := h.process.Start(); err != nil {
		return err
	}
	noteChild(h.process.Process)
	return nil
}

// kill ends the host's process at once.
func (h *host) kill() {
	_ = h.process.Process.Kill()
	_ = h.process.Wait()
}

// newCluster starts the platform's stand-ins and the runners.
func newCluster(rec *recorder, holdMax time.Duration, perZone int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, holdMax: holdMax, keys: keyspace.New(keyspace.Options{})}
	c.store = &platformStore{c.keys}
	c.aged = &agedStore{live: c.keys}
	for i := range perZone * len(zones) {
		r := &runner{
			rec: rec, id: runnerID(i), address: net.JoinHostPort(loopback(runnerAddress+i), "0"), zone: zones[i%len(zones)], labels: []string{"a", fmt.Sprintf("r%d", i/6)},
			cap: capacity{CPU: 128000, MemMB: 524288, GPU: 8}, holdMax: holdMax,
		}
		r.boot(time.Now())
		if err := r.listen(); err != nil {
			return nil, err
		}
		// Runners beat at different moments.
		r.lastBeat = time.Now().Add(-heartbeat * time.Duration(i%7) / 7)
		c.runners = append(c.runners, r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.done.Go(func() { c.tick(ctx) })
	if err := c.startHosts(); err != nil {
		c.close(logDir)
		return nil, err
	}
	return c, nil
}

func (c *cluster) tick(ctx context.Context) {
	ticker := time.NewTicker(runnerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, r := range c.allRunners() {
			r.tick(time.Now(), c.store)
		}
	}
}

func (c *cluster) allRunners() []*runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*runner(nil), c.runners...)
}

// configure writes the operators' configuration.
func (c *cluster) configure() error {
	route := func(name string, priority, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "prefix": "/" + name + "/", "service": serviceName, "priority": priority,
			"max_attempts": attempts, "stretch": 3, "target_latency_ms": 1000,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version":  7,
		"routes":   []any{route("route-plan", 1, 4), route("stock-recount", 2, 4)},
		"services": []any{map[string]any{"name": serviceName, "admission_check": true}},
		"limits":   map[string]any{"max_body_bytes": 1 << 20},
		"tenants":  []any{map[string]any{"name": "north", "api_keys": []string{apiKey}, "guaranteed": map[string]any{"gpu": 16}}},
	})
	if err != nil {
		return err
	}
	c.store.put("op/config", value)
	return nil
}

// serveStore serves the platform's store to one host and returns its address.
func (c *cluster) serveStore(h *host) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	store := standin.StoreHandler(c.keys)
	h.store = &http.Server{ReadHeaderTimeout: runnerReadTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if h.cut.Load() {
			_, _ = io.Copy(io.Discard, q.Body)
			<-q.Context().Done()
			return
		}
		if q.URL.Path == "/-/kv-range" {
			c.aged.list(w, q)
			return
		}
		store.ServeHTTP(w, q)
	})}
	go func() {
		if err := h.store.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			c.rec.note("store: %v", err)
		}
	}()
	return l.Addr().String(), nil
}

// cutZone cuts the runners of a zone off, and its host from the store, or heals the cut.
func (c *cluster) cutZone(zone string, cut bool) error {
	for _, h := range c.hosts {
		if h.zone == zone {
			h.cut.Store(cut)
		}
	}
	for _, r := range c.allRunners() {
		if r.zone != zone {
			continue
		}
		if err := r.setCut(cut); err != nil {
			return err
		}
	}
	return nil
}

// startHosts starts one process of the program in each zone, as the deploy file does.
func (c *cluster) startHosts() error {
	if err := c.configure(); err != nil {
		return err
	}
	program, err := filepath.Abs("target/cyclamentray-batchd")
	if err != nil {
		return err
	}
	for i, zone := range zones {
		ip := loopback(hostAddress + i)
		ports, err := freePorts(ip, 5)
		if err != nil {
			return err
		}
		h := &host{name: "edge-" + zone + "-1", zone: zone, ip: ip, front: ports[0], ready: ports[1]}
		store, err := c.serveStore(h)
		if err != nil {
			return err
		}
		settings := filepath.Join(c.dir, h.name+".yaml")
		text := fmt.Sprintf(settingsText, h.name, ip, zone, ip, ports[0], ip, ports[1], ip, ports[2], ports[3], ports[3], c.holdMax.Milliseconds(), store)
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return err
		}
		if h.log, err = os.Create(filepath.Join(c.dir, h.name+".log")); err != nil {
			return err
		}
		h.program, h.settings, h.metrics = program, settings, ports[4]
		if err := h.start(); err != nil {
			return err
		}
		c.hosts = append(c.hosts, h)
	}
	return c.awaitReady()
}

func (c *cluster) awaitReady() error {
	limit := time.Now().Add(readyTimeout)
	for _, h := range c.hosts {
		for {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/-/readyz", h.ip, h.ready))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(limit) {
				return fmt.Errorf("%s isn't ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for c.leaderZone() == "" {
		if time.Now().After(limit) {
			return errors.New("no host leads")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(settleAfterBoot)
	c.rec.note("%d hosts are ready, %d runners", len(c.hosts), len(c.allRunners()))
	return nil
}

// leaderZone returns the zone of the host that leads, which only serves to choose where
// a disruption strikes; empty: none leads.
func (c *cluster) leaderZone() string {
	item, err := c.keys.Get(context.Background(), "batch/leader")
	if err != nil {
		return ""
	}
	for _, h := range c.hosts {
		if strings.HasPrefix(string(item.Value), h.name+"/") {
			return h.zone
		}
	}
	return ""
}

// close ends the processes and the stand-ins.
func (c *cluster) close(keepLogs string) {
	for _, h := range c.hosts {
		_ = h.process.Process.Signal(syscall.SIGTERM)
	}
	for _, h := range c.hosts {
		timer := time.AfterFunc(stopGrace, func() { _ = h.process.Process.Kill() })
		_ = h.process.Wait()
		timer.Stop()
		_ = h.log.Close()
		_ = h.store.Close()
	}
	c.stop()
	c.done.Wait()
	for _, r := range c.allRunners() {
		r.mu.Lock()
		if r.server != nil {
			_ = r.server.Close()
		}
		r.mu.Unlock()
	}
	if keepLogs != "" {
		for _, h := range c.hosts {
			if text, err := os.ReadFile(h.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(keepLogs, h.name+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(c.dir)
}

// phase is a step of a job as the pages write it.
type phase struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMB        int64  `json:"mem_mb"`
	GPU          int64  `json:"gpu,omitempty"`
	EstimatedMS  int64  `json:"estimated_ms,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	TargetMS     int64  `json:"target_ms,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
}

// submit hands a job in at a host and returns an error unless it is accepted.
func (c *cluster) submit(at int, queue, id string, spec taskSpec, p phase) error {
	spec.CPU, spec.MemMB, spec.GPU, spec.Lasting, spec.Fills = p.CPU, p.MemMB, p.GPU, p.LongRunning, p.Fills
	specText, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{"spec": string(specText), "phases": []phase{p}})
	if err != nil {
		return err
	}
	status, text, err := c.call(at, http.MethodPost, "/"+queue+"/"+id, body)
	if err != nil {
		return err
	}
	c.rec.note("client: POST /%s/%s %s -> %d %s", queue, id, body, status, text)
	if status != http.StatusOK {
		return fmt.Errorf("job %s: status %d", id, status)
	}
	return nil
}

// state asks a host for the state of a job and records the answer.
func (c *cluster) state(at int, queue, id string) string {
	status, text, err := c.call(at, http.MethodGet, "/"+queue+"/"+id, nil)
	c.rec.note("client: GET /%s/%s -> %d %s %v", queue, id, status, text, err)
	return text
}

func (c *cluster) call(at int, method, path string, body []byte) (int, string, error) {
	h := c.hosts[at%len(c.hosts)]
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", h.ip, h.front, path), bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	q.Host = routeHost
	q.Header.Set("Api-Key", apiKey)
	q.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text)), err
}

// awaitRunning waits until each of the tasks runs.
func (c *cluster) awaitRunning(limit time.Duration, tasks ...string) error {
	until := time.Now().Add(limit)
	for _, task := range tasks {
		for {
			if n, _ := c.rec.running(task); n > 0 {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("task %s doesn't run", task)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (c *cluster) runner(id string) *runner {
	for _, r := range c.allRunners() {
		r.mu.Lock()
		same := r.id == id
		r.mu.Unlock()
		if same {
			return r
		}
	}
	return nil
}

// capacityFor returns how many tasks of a spec fit on runners that are up, reachable and
// not draining. Those of the job called apart must be on different runners.
func (c *cluster) capacityFor(s taskSpec, apart string) int64 {
	n := int64(0)
	for _, r := range c.allRunners() {
		r.mu.Lock()
		if r.up && !r.cut && !r.draining {
			n += r.roomBeside(s, apart)
		}
		r.mu.Unlock()
	}
	return n
}
