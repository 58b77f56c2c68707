// Package soak runs hosts of the batch scheduler as processes against stand-ins
// of the platform, injects faults from outside the processes, and checks what
// callers and runners observe. A run holds the stand-ins, the host processes and
// the observations of its Checker. Its test and the command cyclamentray-soak
// call Run.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	heartbeatInterval     = 1500 * time.Millisecond
	entryTimeout          = 3 * heartbeatInterval // without heartbeats until a runner's entry is removed
	drainTime             = 3 * time.Second       // for which a runner stays at least that drains
	gracePeriod           = 6 * time.Second
	runnersPerRack        = 3
	failureDomains        = 2
	acceleratorsPerRunner = 8
	portsPerHost          = 3 // one each for callers, readiness and peers

	// lateApply is when the store carries out a write whose answer was lost: after all
	// bounds for a cancellation, so that a late write of a cancelled job shows.
	lateApply = maxCancelDelay + 3*time.Second
)

// deployment holds the stand-ins of the platform and the host processes.
type deployment struct {
	dir          string
	name         string // differs from that of every other run; in the host name and the key of callers' requests
	address      *runAddress
	checker      *Checker
	store        *keyspace.Store
	storeAddress string
	runnerServer *standin.RunnerServer
	hosts        []*hostProcess
	runners      []*proxiedRunner
	evacuations  sync.Mutex   // held while one is requested or ended
	lives        sync.Mutex   // held while a runner announces that it drains, or reboots
	log          func(string) // called with a line for each start that was kept

	mu        sync.Mutex
	removals  *rand.Rand                           // decides which restarts are followed by a removal of the entry
	fault     func(keyspace.Call) keyspace.Outcome // nil: none
	specs     map[string]string                    // by job
	tasks     map[string]runner.Task               // by job
	lateUntil time.Time                            // when the last late order is carried out
}

// proxiedRunner is a stand-in runner that hosts reach through a proxy.
type proxiedRunner struct {
	id            string
	failureDomain string
	rack          string
	proxy         *faultproxy.Proxy
	down          bool // crashed, left or cut off; its heartbeats have stopped
	draining      bool
	drainsUntil   time.Time                       // until when it stays at least, while it drains
	downSince     time.Time                       // when its state last changed
	lastHeartbeat time.Time                       // when its entry was last written
	ordersLate    func(path string) time.Duration // how much later it carries an order out; nil: no order is late
	stalls        [2]int                          // by direction, scenarios that keep its bytes
}

// hostProcess is one host's process. It reaches the store through a proxy.
type hostProcess struct {
	name         string
	settingsPath string
	apiAddress   string
	storeProxy   *faultproxy.Proxy
	logPath      string
	checker      *Checker
	log          func(string) // called with a line for each signal

	mu          sync.Mutex
	process     *exec.Cmd
	incarnation int
	paused      bool // by SIGSTOP
	stopping    bool // stopped for good; it is not restarted
	ended       chan struct{}
}

func newDeployment(dir string, hosts, runners int, seed uint64, checker *Checker) (*deployment, error) {
	address, err := reserveAddress()
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, name: fmt.Sprintf("soak-%016x", rand.Uint64()), address: address, checker: checker, removals: rand.New(rand.NewPCG(seed, 5)), specs: make(map[string]string), tasks: make(map[string]runner.Task)}
	d.store = keyspace.New(keyspace.Options{Fault: d.storeOutcome, ApplyDelay: lateApply})
	if d.storeAddress, err = d.serve(standin.StoreHandler(d.store)); err != nil {
		return nil, errors.CombineErrors(err, address.release())
	}
	d.runnerServer = &standin.RunnerServer{Pool: runner.New(runner.Options{
		GangTimeout: 3 * time.Second, MaxLease: standin.RunnerLease, DescribeTask: d.describeTask,
		OnStart: func(now steady.Time, runnerID string, task batch.TaskID, attempt int) {
			checker.RecordStart(now, runnerID, d.failureDomainOf(runnerID), task, attempt, d.specOf(task.Job))
		},
		OnEnd: func(_ steady.Time, runnerID string, task batch.TaskID, attempt int, reason batch.EndReason) {
			checker.RecordEnd(runnerID, task)
			if reason == batch.EndDone {
				checker.RecordDone(runnerID, task, attempt)
			}
		},
		OnAcknowledge: func(_ steady.Time, runnerID string, end batch.EndedTask, lapsed bool) {
			checker.RecordAcknowledgement(end)
			checker.CheckNotRestarted(runnerID, end, lapsed)
		},
		OnFence: func(_ steady.Time, _ string, sinceBoot time.Duration) { checker.RecordFence(sinceBoot) },
	}), Late: d.latenessOfOthers}
	if err := d.addAll(hosts, runners); err != nil {
		return nil, errors.CombineErrors(err, d.close())
	}
	return d, nil
}

// addAll adds the runners and the hosts.
func (d *deployment) addAll(hosts, runners int) error {
	for i := range runners {
		if err := d.addRunner(i); err != nil {
			return err
		}
	}
	for i := range hosts {
		if err := d.addHost(i); err != nil {
			return err
		}
	}
	// The hosts' ports are chosen last and at once: the system may assign a port that was
	// closed a second time.
	ports, err := d.address.freePorts(hosts * portsPerHost)
	if err != nil {
		return err
	}
	for i, h := range d.hosts {
		if err := d.writeSettings(h, i, ports[i*portsPerHost:(i+1)*portsPerHost]); err != nil {
			return err
		}
	}
	return nil
}

// serve serves handler on a port of the run's address, and returns both.
func (d *deployment) serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", d.address.anyPort())
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // ends with the process
	return l.Addr().String(), nil
}

func (d *deployment) storeOutcome(c keyspace.Call) keyspace.Outcome {
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
	if (f != nil) != (d.fault != nil) {
		d.checker.RecordDisruption(allHosts, f != nil, steady.Now())
	}
	d.fault = f
}

func (d *deployment) describeTask(task batch.TaskID, _ string) runner.Task {
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

func (d *deployment) failureDomainOf(id string) string {
	for _, r := range d.runners {
		if r.id == id {
			return r.failureDomain
		}
	}
	return ""
}

// lateness returns how much later a runner carries out an order.
func (d *deployment) lateness(id, path string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.runners {
		if r.id == id && r.ordersLate != nil {
			late := r.ordersLate(path)
			if at := time.Now().Add(late); late > 0 && at.After(d.lateUntil) {
				d.lateUntil = at
			}
			return late
		}
	}
	return 0
}

// lastLateOrder returns when the last late order is carried out.
func (d *deployment) lastLateOrder() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lateUntil
}

// latenessOfOthers returns the lateness of orders that startHandler doesn't serve.
func (d *deployment) latenessOfOthers(id, path string) time.Duration {
	if path == platform.StartPath {
		return 0
	}
	return d.lateness(id, path)
}

func (d *deployment) setOrdersLate(r *proxiedRunner, f func(path string) time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.ordersLate = f
}

func (d *deployment) addRunner(i int) error {
	r := &proxiedRunner{id: fmt.Sprintf("i-%d", i), failureDomain: fmt.Sprintf("fd-%d", i/runnersPerRack%failureDomains), rack: fmt.Sprintf("rack-%d", i/runnersPerRack)}
	address, err := d.serve(&startHandler{deployment: d, runner: r, api: d.runnerServer.Handler(r.id)})
	if err != nil {
		return err
	}
	if r.proxy, err = faultproxy.NewAt(d.address.anyPort(), address); err != nil {
		return err
	}
	d.runners = append(d.runners, r)
	d.runnerServer.WithPool(func(now steady.Time, p *runner.Pool) { p.Add(now, d.runnerRecord(r), []float64{1.6, 1, 0.6}[i%3]) })
	return d.writeRunnerEntry(r)
}

func (d *deployment) runnerRecord(r *proxiedRunner) batch.Runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return batch.Runner{
		ID: r.id, Address: r.proxy.Addr(), Service: "s", FailureDomain: r.failureDomain, Labels: []string{"a", r.rack, r.id},
		Capacity: batch.Resources{MilliCPU: 64000, MemoryMB: 128000, Accelerators: acceleratorsPerRunner},
		Draining: r.draining, DrainRemaining: max(0, time.Until(r.drainsUntil)),
	}
}

// writeRunnerEntry writes a runner's entry to the store, as the platform does for
// each heartbeat of the runner.
func (d *deployment) writeRunnerEntry(r *proxiedRunner) error {
	record := d.runnerRecord(r)
	d.runnerServer.WithPool(func(_ steady.Time, p *runner.Pool) { record.Born = p.Runner(r.id).Born })
	entry, err := standin.EncodeRunner(record)
	if err != nil {
		return err
	}
	d.writeKey(platform.RunnerPrefix+r.id, entry)
	d.mu.Lock()
	r.lastHeartbeat = time.Now()
	d.mu.Unlock()
	return nil
}

// entryRemovalOdds: after one restart in entryRemovalOdds, the entry is removed by the clock of
// the incarnation that crashed.
const entryRemovalOdds = 2

// removeEntryByEarlierClock removes a runner's entry entryTimeout after the last heartbeat of its
// present incarnation, whatever later ones write. It does so after some of the restarts.
func (d *deployment) removeEntryByEarlierClock(r *proxiedRunner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	due := r.lastHeartbeat.Add(entryTimeout)
	if d.removals.IntN(entryRemovalOdds) != 0 {
		return
	}
	d.log("entry to be removed by the clock of the incarnation that crashed: " + r.id)
	time.AfterFunc(time.Until(due), func() { d.deleteKey(platform.RunnerPrefix + r.id) })
}

// writeKey writes a key without faults, since the platform's own writes always
// take effect.
func (d *deployment) writeKey(key string, value []byte) {
	d.store.WriteWithoutFaults(kvstore.Txn{Puts: []kvstore.Put{{Key: key, Value: value}}})
}

func (d *deployment) deleteKey(key string) {
	d.store.WriteWithoutFaults(kvstore.Txn{Deletes: []string{key}})
}

// maintainRunnerEntries writes the entries of live runners at each heartbeat and
// removes those of runners that are down, until ctx ends.
func (d *deployment) maintainRunnerEntries(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(heartbeatInterval):
		}
		for _, r := range d.runners {
			d.mu.Lock()
			down, downFor := r.down, time.Since(r.downSince)
			d.mu.Unlock()
			switch {
			case !down:
				if err := d.writeRunnerEntry(r); err != nil {
					return err
				}
			case downFor > entryTimeout:
				d.deleteKey(platform.RunnerPrefix + r.id)
			}
		}
	}
}

func (d *deployment) addHost(i int) error {
	proxy, err := faultproxy.NewAt(d.address.anyPort(), d.storeAddress)
	if err != nil {
		return err
	}
	d.hosts = append(d.hosts, &hostProcess{
		name: fmt.Sprintf("host-%d", i), storeProxy: proxy, checker: d.checker,
		settingsPath: filepath.Join(d.dir, fmt.Sprintf("host-%d.yaml", i)), logPath: filepath.Join(d.dir, fmt.Sprintf("host-%d.log", i)),
	})
	return nil
}

// writeSettings writes the settings file of the host with the given number.
func (d *deployment) writeSettings(h *hostProcess, number int, ports []int) error {
	h.apiAddress = d.hostAddress(ports[0])
	settings := standin.HostSettings{
		Name: h.name, Address: d.address.ip, FailureDomain: fmt.Sprintf("fd-%d", number%failureDomains), APIAddress: h.apiAddress,
		ReadinessAddress: d.hostAddress(ports[1]), PeerPort: ports[2], StoreAddress: h.storeProxy.Addr(), HeartbeatInterval: heartbeatInterval, GracePeriod: gracePeriod,
	}
	return os.WriteFile(h.settingsPath, []byte(settings.YAML()), 0o600)
}

func (d *deployment) hostAddress(port int) string { return fmt.Sprintf("%s:%d", d.address.ip, port) }

// start starts the host's process. It is restarted whenever it ends, until stop.
func (h *hostProcess) start(binary string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	output, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(binary, "--settings", h.settingsPath)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return errors.CombineErrors(err, output.Close())
	}
	h.process, h.ended = command, make(chan struct{})
	h.incarnation++
	go h.waitAndRestart(binary, command, output, h.ended)
	return nil
}

// restartDelay is the time between the end of a process and its restart.
const restartDelay = 300 * time.Millisecond

func (h *hostProcess) waitAndRestart(binary string, command *exec.Cmd, output *os.File, ended chan struct{}) {
	_ = command.Wait() // the reason of its end is in its log
	_ = output.Close()
	close(ended)
	time.Sleep(restartDelay)
	h.mu.Lock()
	stopping := h.stopping
	h.mu.Unlock()
	if !stopping {
		if err := h.start(binary); err != nil {
			fmt.Fprintln(os.Stderr, "soak: host not restarted:", err)
		}
	}
}

// signal sends a signal to the current process.
func (h *hostProcess) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		h.recordSignal(s)
		_ = h.process.Process.Signal(s) // it may have ended by itself
		if s == syscall.SIGKILL {
			h.disrupt(false)
		}
	}
}

// recordSignal records a signal that is about to be sent. The caller holds mu.
func (h *hostProcess) recordSignal(s syscall.Signal) {
	h.log(fmt.Sprintf("%s: %s", h.name, s))
	switch s {
	case syscall.SIGTERM:
		h.checker.RecordStop(h.name, steady.Now())
	case syscall.SIGKILL:
		h.disrupt(true)
	case syscall.SIGSTOP, syscall.SIGCONT:
		if pause := s == syscall.SIGSTOP; pause != h.paused {
			h.paused = pause
			h.disrupt(pause)
		}
	}
}

// disrupt records that an unplanned disruption of the host begins or ends.
func (h *hostProcess) disrupt(begins bool) {
	h.checker.RecordDisruption(h.name, begins, steady.Now())
}

func (h *hostProcess) incarnationName() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%s/%d", h.name, h.incarnation)
}

// stop kills the process, waits for its end and prevents its restart.
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

// close ends the hosts and proxies, and lets other runs have the address.
func (d *deployment) close() error {
	for _, h := range d.hosts {
		h.stop()
		h.storeProxy.Close()
	}
	for _, r := range d.runners {
		r.proxy.Close()
	}
	return d.address.release()
}
