package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/client"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/faultproxy"
	"github.com/cyclamentray/cyclamentray/standin/kv"
	"github.com/cyclamentray/cyclamentray/standin/upstream"
	"github.com/cyclamentray/cyclamentray/standin/worker"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

const (
	operatorToken    = "operator-token"
	callerToken      = "acme-token"
	conditionTimeout = 90 * time.Second // allows for a busy machine
	pollInterval     = 20 * time.Millisecond
)

var binaryDir string // directory of the built programs

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cyclamentray-integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/cyclamentrayd", "../cmd/cyclamentray", "../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	binaryDir = dir
	return m.Run()
}

// process is a running program under test. It is killed when the test ends.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	logs    *lockedBuffer
	exited  chan struct{}
	exitErr error
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, logs: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaryDir, name), args...)
	p.cmd.Stderr = p.logs
	p.cmd.Stdout = p.logs
	must.NoError(t, p.cmd.Start())
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("log of %s %v:\n%s", name, args, p.logs)
		}
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// entryHost is an entry host process. Its connections to the platform pass
// through one fault proxy, and connections of other entry hosts to it through
// another.
type entryHost struct {
	*process
	host          kvstore.Host
	peerListen    string            // address of the peer listener, the target of peerProxy
	platformProxy *faultproxy.Proxy // connections to the platform
	peerProxy     *faultproxy.Proxy // connections from other entry hosts
}

// cutFromPlatform partitions the entry host from the platform: its calls get no
// response.
func (e *entryHost) cutFromPlatform() { blackhole(e.platformProxy) }

// heal ends every partition.
func (c *cluster) heal() {
	for _, e := range c.entryHosts {
		for _, p := range []*faultproxy.Proxy{e.platformProxy, e.peerProxy} {
			p.ClearFaults()
			p.CloseOpenConnections() // the bytes dropped on open connections are not sent again
		}
	}
}

// blackhole drops everything sent through a proxy, in both directions.
func blackhole(p *faultproxy.Proxy) {
	p.SetFault(faultproxy.ClientToTarget, faultproxy.Fault{CutAfterBytes: faultproxy.NoCut, Blackhole: true})
	p.SetFault(faultproxy.TargetToClient, faultproxy.Fault{CutAfterBytes: faultproxy.NoCut, Blackhole: true})
}

func (e *entryHost) url() string { return "http://" + e.host.Address }

// cluster is a deployment of entry host processes, with stand-ins for the
// platform, workers and upstreams in the test's process.
type cluster struct {
	t               *testing.T
	store           *kv.Server
	platformAddress string // IP:port of the platform's stand-in
	hosts           []kvstore.Host
	entryHosts      []*entryHost
	workers         []*worker.Server
	upstreams       []*upstream.Upstream
}

// clusterOptions configure a cluster.
type clusterOptions struct {
	failureDomains   []string
	entryHosts       int // in each failure domain
	workers          int // in each failure domain, in one rack
	upstreams        int // in each failure domain
	taskRunTime      time.Duration
	requestRunTime   time.Duration
	beforeWorkerCall func(path string) error
}

func newCluster(t *testing.T, s clusterOptions) *cluster {
	t.Helper()
	c := &cluster{t: t, store: kv.New()}
	c.platformAddress = c.serve(c.store)
	for _, fd := range s.failureDomains {
		c.addWorkers(fd, s)
		c.addUpstreams(fd, s)
	}
	for _, fd := range s.failureDomains {
		for i := range s.entryHosts {
			c.addEntryHost(fmt.Sprintf("%s-e%d", fd, i), fd)
		}
	}
	c.store.SetHosts(c.hosts)
	for _, e := range c.entryHosts {
		c.startEntryHost(e)
	}
	c.applyDocuments(s.failureDomains)
	return c
}

// serve starts an HTTP server and returns its IP:port.
func (c *cluster) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	c.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (c *cluster) addWorkers(fd string, s clusterOptions) {
	for i := range s.workers {
		name := fmt.Sprintf("%s-w%d", fd, i)
		w := worker.New(worker.Options{
			Name:          name,
			Accelerators:  8,
			RunTime:       func(workerapi.Gang, int) time.Duration { return s.taskRunTime },
			BeforeMessage: s.beforeWorkerCall,
		})
		c.workers = append(c.workers, w)
		c.hosts = append(c.hosts, kvstore.Host{
			Name: name, Kind: kvstore.Worker, FailureDomain: fd, Rack: fd + "-rack", Address: c.serve(w), Accelerators: 8,
		})
	}
}

func (c *cluster) addUpstreams(fd string, s clusterOptions) {
	for i := range s.upstreams {
		name := fmt.Sprintf("%s-u%d", fd, i)
		u := upstream.New(upstream.Options{Name: name, Work: s.requestRunTime})
		c.upstreams = append(c.upstreams, u)
		c.hosts = append(c.hosts, kvstore.Host{
			Name: name, Kind: kvstore.Upstream, FailureDomain: fd, Service: "billing", Address: c.serve(u), Slots: 8, Connections: 60,
		})
	}
}

func (c *cluster) addEntryHost(name, fd string) {
	e := &entryHost{peerListen: freeAddress(c.t), platformProxy: c.proxy(c.platformAddress)}
	e.peerProxy = c.proxy(e.peerListen)
	e.host = kvstore.Host{
		Name: name, Kind: kvstore.EntryHost, FailureDomain: fd, Address: freeAddress(c.t), PeerAddress: e.peerProxy.Addr(),
	}
	c.entryHosts = append(c.entryHosts, e)
	c.hosts = append(c.hosts, e.host)
}

// proxy starts a fault proxy that forwards to target.
func (c *cluster) proxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.New(target)
	must.NoError(c.t, err)
	c.t.Cleanup(p.Close)
	return p
}

// portOffset is the offset from firstPort of the port last tried for an entry
// host.
var portOffset atomic.Int32

// firstPort lies below the range from which the kernel picks ports of outgoing
// connections, so that an entry host's port is still free when it restarts.
const firstPort = 20_000

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 10_000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset.Add(1)))
		if err != nil {
			continue
		}
		must.NoError(t, l.Close())
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

// startEntryHost starts an entry host's process, or restarts it after it has
// exited.
func (c *cluster) startEntryHost(e *entryHost) {
	file := filepath.Join(c.t.TempDir(), e.host.Name+".hujson")
	text := fmt.Sprintf(`{
		"host": {"name": %q, "failureDomain": %q, "region": "region-1"},
		"listen": {"http": %q, "peer": %q},
		"advertise": {"http": %q, "peer": %q},
		"platform": {"urls": ["http://%s"]},
		"seeds": [%s],
		"operatorTokenHashes": [%q],
		"timing": {"drainWaitSeconds": 1, "drainTimeoutSeconds": 30},
	}`, e.host.Name, e.host.FailureDomain, e.host.Address, e.peerListen, e.host.Address, e.host.PeerAddress, e.platformProxy.Addr(), c.seeds(e), auth.HashToken(operatorToken))
	must.NoError(c.t, os.WriteFile(file, []byte(text), 0o600))
	e.process = startProcess(c.t, "cyclamentrayd", "--settings", file)
}

// seeds returns the peer addresses of the other entry hosts, as elements of a
// JSON list without the brackets.
func (c *cluster) seeds(self *entryHost) string {
	var list []string
	for _, e := range c.entryHosts {
		if e != self {
			list = append(list, fmt.Sprintf("%q", e.host.PeerAddress))
		}
	}
	return strings.Join(list, ", ")
}

// applyDocuments applies documents of the failure domains and of one
// organisation with one service, and waits until every entry host is ready.
func (c *cluster) applyDocuments(failureDomains []string) {
	docs := []string{
		fmt.Sprintf(`{"kind": "organisation", "name": "acme", "tokenHashes": [%q], "teams": [{"name": "ops"}]}`, auth.HashToken(callerToken)),
		`{"kind": "service", "name": "billing", "organisation": "acme", "team": "ops",
			"jobs": [{"name": "train", "shape": {"tasks": 2, "acceleratorsPerTask": 8, "adjacency": "rack"}, "runSeconds": 60, "checkpoint": true}],
			"requests": {"timeoutMillis": 10000, "idempotentMethods": ["GET"]}}`,
	}
	for _, fd := range failureDomains {
		docs = append(docs, fmt.Sprintf(`{"kind": "failure-domain", "name": %q, "region": "region-1"}`, fd))
	}
	var refusal error
	c.eventually("the documents to be accepted", func() bool {
		_, refusal = c.operatorClient(c.entryHosts[0]).Apply(context.Background(), api.ApplyRequest{Documents: rawDocuments(docs...)})
		return refusal == nil || apierr.KindOf(refusal) == apierr.InvalidInput
	})
	must.NoError(c.t, refusal)
	c.waitForReady()
}

func (c *cluster) waitForReady() {
	for _, e := range c.entryHosts {
		c.eventually(e.host.Name+" to be ready", func() bool { return ready(e.url()) })
	}
}

// ready reports whether the entry host at url answers its readiness probe with 200.
func ready(url string) bool {
	resp, err := http.Get(url + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) operatorClient(e *entryHost) *client.Client {
	return client.New(e.url(), operatorToken)
}

func (c *cluster) callerClient(e *entryHost) *client.Client { return client.New(e.url(), callerToken) }

// eventually waits until a condition holds, and fails the test after
// conditionTimeout.
func (c *cluster) eventually(what string, done func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !done() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// executions returns how many requests with an idempotency key the upstreams
// executed.
func (c *cluster) executions(key string) int {
	total := 0
	for _, u := range c.upstreams {
		total += u.ExecutionsByKey()[key]
	}
	return total
}

// runningTasks returns the tasks of a job that run now, on all workers.
func (c *cluster) runningTasks(job string) []workerapi.Task {
	var tasks []workerapi.Task
	for _, w := range c.workers {
		for _, task := range w.Tasks().Tasks {
			if task.Gang.Job == job && task.State == workerapi.TaskRunning {
				tasks = append(tasks, task)
			}
		}
	}
	return tasks
}

// findScheduler returns the entry host that holds the scheduler's term of a
// failure domain; nil: none does.
func (c *cluster) findScheduler(fd string) *entryHost {
	for _, e := range c.entryHosts {
		if e.host.FailureDomain != fd {
			continue
		}
		top, err := c.operatorClient(e).Top(context.Background())
		if err == nil && top.Hosts[0].Term != 0 {
			return e
		}
	}
	return nil
}

func (c *cluster) waitForScheduler(fd string) *entryHost {
	c.t.Helper()
	var found *entryHost
	c.eventually("a scheduler of "+fd, func() bool {
		found = c.findScheduler(fd)
		return found != nil
	})
	return found
}

// runCLI runs the command-line program and returns its output and exit code.
func runCLI(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaryDir, "cyclamentray"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// startStandin starts a stand-in process and returns the address it prints.
func startStandin(t *testing.T, args ...string) string {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaryDir, "standin"), args...)
	out, err := cmd.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	must.NoError(t, err)
	return strings.TrimSpace(line)
}

func rawDocuments(docs ...string) []json.RawMessage {
	var out []json.RawMessage
	for _, d := range docs {
		out = append(out, json.RawMessage(d))
	}
	return out
}

func isConflict(err error) bool { return apierr.KindOf(err) == apierr.Conflict }
