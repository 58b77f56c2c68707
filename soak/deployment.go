// Package soak runs real hosts as processes against stand-ins of the platform,
// injects faults from outside them, and checks what callers and runners see.
package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/platform"
	"github.com/cyclamentray/cyclamentray/platform/standin"
	"github.com/cyclamentray/cyclamentray/standin/faultproxy"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
	"github.com/cyclamentray/cyclamentray/standin/runner"
)

const (
	heartbeat    = 1500 * time.Millisecond
	silenceLimit = 3 * heartbeat // after which a runner's entry is removed
	graceTime    = 6 * time.Second
	rackSize     = 3
	domains      = 2
	accelerators = 8
	portsEach    = 3 // for callers, readiness and peers
)

// deployment is the stand-ins and the hosts' processes.
type deployment struct {
	dir     string
	check   *Checker
	store   *keyspace.Store
	storeAt string
	runners *standin.RunnerServer
	hosts   []*hostProcess
	fleet   []*fleetRunner

	mu    sync.Mutex
	fault func(keyspace.Call) keyspace.Outcome // nil: none
	specs map[string]string                    // by job
	tasks map[string]runner.Task               // by job
}

// fleetRunner is a runner behind a proxy.
type fleetRunner struct {
	id     string
	domain string
	rack   string
	proxy  *faultproxy.Proxy
	gone   bool // crashed; its heartbeats have stopped
	drains bool
	silent time.Time // since when it is gone
}

// hostProcess is one host's process behind a proxy to the store.
type hostProcess struct {
	name     string
	settings string
	front    string
	store    *faultproxy.Proxy
	logPath  string

	mu          sync.Mutex
	process     *exec.Cmd
	incarnation int
	stopping    bool // ended on purpose; it is not started again
	ended       chan struct{}
}

func newDeployment(dir string, hosts, runners int, check *Checker) (*deployment, error) {
	d := &deployment{dir: dir, check: check, specs: make(map[string]string), tasks: make(map[string]runner.Task)}
	d.store = keyspace.New(keyspace.Options{Fault: d.faultOf, ApplyDelay: 2 * time.Second})
	address, err := serve(standin.StoreHandler(d.store))
	if err != nil {
		return nil, err
	}
	d.storeAt = address
	d.runners = &standin.RunnerServer{Pool: runner.New(runner.Options{
		GangTimeout: 3 * time.Second, DescribeTask: d.describe,
		OnStart: func(now steady.Time, on string, task batch.TaskID, attempt int) {
			check.RecordStart(now, on, d.domainOf(on), task, attempt, d.specOf(task.Job))
		},
		OnEnd:         func(_ steady.Time, on string, task batch.TaskID, _ int, _ batch.EndReason) { check.RecordEnd(on, task) },
		OnAcknowledge: func(_ steady.Time, _ string, end batch.EndedTask) { check.RecordAcknowledgement(end) },
	})}
	for i := range runners {
		if err := d.addRunner(i); err != nil {
			return nil, err
		}
	}
	// All at once: ports that were closed again may be given out twice.
	ports, err := freePorts(hosts * portsEach)
	if err != nil {
		return nil, err
	}
	for i := range hosts {
		if err := d.addHost(i, ports[i*portsEach:(i+1)*portsEach]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // ends with the process
	return l.Addr().String(), nil
}

func (d *deployment) faultOf(c keyspace.Call) keyspace.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fault == nil {
		return keyspace.Served
	}
	return d.fault(c)
}

func (d *deployment) setFault(f func(keyspace.Call) keyspace.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

func (d *deployment) describe(task batch.TaskID, _ string) runner.Task {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tasks[task.Job]
}

func (d *deployment) specOf(job string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.specs[job]
}

func (d *deployment) setJob(id, spec string, task runner.Task) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.specs[id], d.tasks[id] = spec, task
}

func (d *deployment) domainOf(id string) string {
	for _, r := range d.fleet {
		if r.id == id {
			return r.domain
		}
	}
	return ""
}

func (d *deployment) addRunner(i int) error {
	r := &fleetRunner{id: fmt.Sprintf("i-%d", i), domain: fmt.Sprintf("fd-%d", i/rackSize%domains), rack: fmt.Sprintf("rack-%d", i/rackSize)}
	address, err := serve(d.runners.Handler(r.id))
	if err != nil {
		return err
	}
	if r.proxy, err = faultproxy.New(address); err != nil {
		return err
	}
	d.fleet = append(d.fleet, r)
	d.runners.WithPool(func(now steady.Time, p *runner.Pool) { p.Add(now, d.told(r), []float64{1.6, 1, 0.6}[i%3]) })
	return d.beat(r)
}

func (d *deployment) told(r *fleetRunner) batch.Runner {
	return batch.Runner{
		ID: r.id, Address: r.proxy.Addr(), Service: "s", FailureDomain: r.domain, Labels: []string{"a", r.rack},
		Capacity: batch.Resources{MilliCPU: 64000, MemoryMB: 128000, Accelerators: accelerators},
		Draining: r.drains, DrainRemaining: 3 * time.Second,
	}
}

// beat writes a runner's entry, as the platform does for it.
func (d *deployment) beat(r *fleetRunner) error {
	told := d.told(r)
	d.runners.WithPool(func(_ steady.Time, p *runner.Pool) { told.Born = p.Runner(r.id).Born })
	entry, err := standin.EncodeRunner(told)
	if err != nil {
		return err
	}
	d.put(platform.RunnerPrefix+r.id, entry)
	return nil
}

// put writes a key past all faults: the platform's own writes always arrive.
func (d *deployment) put(key string, value []byte) {
	d.store.WriteWithoutFaults(kvstore.Txn{Puts: []kvstore.Put{{Key: key, Value: value}}})
}

func (d *deployment) remove(key string) {
	d.store.WriteWithoutFaults(kvstore.Txn{Deletes: []string{key}})
}

// tend sends heartbeats and removes the entries of silent runners until ctx ends.
func (d *deployment) tend(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(heartbeat):
		}
		for _, r := range d.fleet {
			d.mu.Lock()
			gone, silent := r.gone, time.Since(r.silent)
			d.mu.Unlock()
			switch {
			case !gone:
				if err := d.beat(r); err != nil {
					return err
				}
			case silent > silenceLimit:
				d.remove(platform.RunnerPrefix + r.id)
			}
		}
	}
}

func (d *deployment) addHost(i int, ports []int) error {
	proxy, err := faultproxy.New(d.storeAt)
	if err != nil {
		return err
	}
	h := &hostProcess{
		name: fmt.Sprintf("host-%d", i), store: proxy, front: fmt.Sprintf("127.0.0.1:%d", ports[0]),
		settings: filepath.Join(d.dir, fmt.Sprintf("host-%d.yaml", i)), logPath: filepath.Join(d.dir, fmt.Sprintf("host-%d.log", i)),
	}
	settings := standin.HostSettings{
		Name: h.name, FailureDomain: fmt.Sprintf("fd-%d", i%domains), APIAddress: h.front,
		ReadinessAddress: fmt.Sprintf("127.0.0.1:%d", ports[1]), PeerPort: ports[2], StoreAddress: proxy.Addr(), HeartbeatInterval: heartbeat, GracePeriod: graceTime,
	}
	if err := os.WriteFile(h.settings, []byte(settings.YAML()), 0o600); err != nil {
		return err
	}
	d.hosts = append(d.hosts, h)
	return nil
}

func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// start starts the host's process and restarts it whenever it ends, until stop.
func (h *hostProcess) start(binary string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	output, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(binary, "--settings", h.settings)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return errors.CombineErrors(err, output.Close())
	}
	h.process, h.ended = command, make(chan struct{})
	h.incarnation++
	go h.wait(binary, command, output, h.ended)
	return nil
}

// restartPause lies between the end of a process and its next start.
const restartPause = 300 * time.Millisecond

func (h *hostProcess) wait(binary string, command *exec.Cmd, output *os.File, ended chan struct{}) {
	_ = command.Wait() // how it ended is in its log
	_ = output.Close()
	close(ended)
	time.Sleep(restartPause)
	h.mu.Lock()
	stopping := h.stopping
	h.mu.Unlock()
	if !stopping {
		if err := h.start(binary); err != nil {
			fmt.Fprintln(os.Stderr, "soak: host not restarted:", err)
		}
	}
}

// signal sends a signal to the present process, by its id.
func (h *hostProcess) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s) // it may have ended by itself
	}
}

func (h *hostProcess) version() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%s/%d", h.name, h.incarnation)
}

// stop ends the process for good.
func (h *hostProcess) stop() {
	h.mu.Lock()
	h.stopping = true
	ended := h.ended
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	if ended != nil {
		<-ended
	}
}

func (d *deployment) close() {
	for _, h := range d.hosts {
		h.stop()
		h.store.Close()
	}
	for _, r := range d.fleet {
		r.proxy.Close()
	}
}
