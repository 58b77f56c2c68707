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
	operatorToken = "operator-token"
	callerToken   = "acme-token"
	patience      = 90 * time.Second // of a wait for a condition on a busy machine
	pollInterval  = 20 * time.Millisecond
)

var binaries string // folder of the built programs

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
	binaries = dir
	return m.Run()
}

// process is a program under test, ended when the test ends.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	logs *lockedBuffer
	done chan struct{}
	err  error
}

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

func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, logs: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, name), args...)
	p.cmd.Stderr = p.logs
	p.cmd.Stdout = p.logs
	must.NoError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		if t.Failed() {
			t.Logf("log of %s %v:\n%s", name, args, p.logs)
		}
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// entry is one entry host process. Everything it says to the platform passes
// one proxy, and everything that other entry hosts say to it another.
type entry struct {
	*process
	host   kvstore.Host
	listen string            // peer listener, behind inbound
	link   *faultproxy.Proxy // to the platform
	peers  *faultproxy.Proxy // from other entry hosts
}

// cut separates the entry host from the platform: calls go unanswered.
func (e *entry) cut() { blackhole(e.link) }

// heal ends every cut.
func (c *cluster) heal() {
	for _, e := range c.entries {
		for _, p := range []*faultproxy.Proxy{e.link, e.peers} {
			p.ClearFaults()
			p.CloseOpenConnections() // lost bytes cannot come back
		}
	}
}

func blackhole(p *faultproxy.Proxy) {
	p.SetFault(faultproxy.ClientToTarget, faultproxy.Fault{CutAfterBytes: faultproxy.NoCut, Blackhole: true})
	p.SetFault(faultproxy.TargetToClient, faultproxy.Fault{CutAfterBytes: faultproxy.NoCut, Blackhole: true})
}

func (e *entry) url() string { return "http://" + e.host.Address }

// cluster is a deployment: entry host processes, and stand-ins in the test.
type cluster struct {
	t         *testing.T
	store     *kv.Server
	platform  string // IP:port of the platform's stand-in
	hosts     []kvstore.Host
	entries   []*entry
	workers   []*worker.Server
	upstreams []*upstream.Upstream
}

// shape says what a cluster consists of.
type shape struct {
	failureDomains   []string
	entries          int // in each failure domain
	workers          int // in each failure domain, in one rack
	upstreams        int // in each failure domain
	taskRun          time.Duration
	work             time.Duration
	beforeWorkerCall func(path string) error
}

func newCluster(t *testing.T, s shape) *cluster {
	t.Helper()
	c := &cluster{t: t, store: kv.New()}
	c.platform = c.serve(c.store)
	for _, fd := range s.failureDomains {
		c.addWorkers(fd, s)
		c.addUpstreams(fd, s)
	}
	for _, fd := range s.failureDomains {
		for i := range s.entries {
			c.addEntry(fmt.Sprintf("%s-e%d", fd, i), fd)
		}
	}
	c.store.SetHosts(c.hosts)
	for _, e := range c.entries {
		c.startEntry(e)
	}
	c.applyDocuments(s.failureDomains)
	return c
}

func (c *cluster) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	c.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (c *cluster) addWorkers(fd string, s shape) {
	for i := range s.workers {
		name := fmt.Sprintf("%s-w%d", fd, i)
		w := worker.New(worker.Options{
			Name:          name,
			Accelerators:  8,
			RunTime:       func(workerapi.Gang, int) time.Duration { return s.taskRun },
			BeforeMessage: s.beforeWorkerCall,
		})
		c.workers = append(c.workers, w)
		c.hosts = append(c.hosts, kvstore.Host{
			Name: name, Kind: kvstore.Worker, FailureDomain: fd, Rack: fd + "-rack", Address: c.serve(w), Accelerators: 8,
		})
	}
}

func (c *cluster) addUpstreams(fd string, s shape) {
	for i := range s.upstreams {
		name := fmt.Sprintf("%s-u%d", fd, i)
		u := upstream.New(upstream.Options{Name: name, Work: s.work})
		c.upstreams = append(c.upstreams, u)
		c.hosts = append(c.hosts, kvstore.Host{
			Name: name, Kind: kvstore.Upstream, FailureDomain: fd, Service: "billing", Address: c.serve(u), Slots: 8, Connections: 60,
		})
	}
}

func (c *cluster) addEntry(name, fd string) {
	e := &entry{listen: freeAddress(c.t), link: c.proxy(c.platform)}
	e.peers = c.proxy(e.listen)
	e.host = kvstore.Host{
		Name: name, Kind: kvstore.EntryHost, FailureDomain: fd, Address: freeAddress(c.t), PeerAddress: e.peers.Addr(),
	}
	c.entries = append(c.entries, e)
	c.hosts = append(c.hosts, e.host)
}

func (c *cluster) proxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.New(target)
	must.NoError(c.t, err)
	c.t.Cleanup(p.Close)
	return p
}

// nextPort is the next port to try for an entry host. It lies below the range
// that the kernel gives to outgoing connections, so that a host finds its port
// free when it is started again.
var nextPort atomic.Int32

const firstPort = 20_000

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 10_000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)))
		if err != nil {
			continue
		}
		must.NoError(t, l.Close())
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

// startEntry starts an entry host's process, again after it has ended.
func (c *cluster) startEntry(e *entry) {
	file := filepath.Join(c.t.TempDir(), e.host.Name+".hujson")
	text := fmt.Sprintf(`{
		"host": {"name": %q, "failureDomain": %q, "region": "region-1"},
		"listen": {"http": %q, "peer": %q},
		"advertise": {"http": %q, "peer": %q},
		"platform": {"urls": ["http://%s"]},
		"seeds": [%s],
		"operatorTokenHashes": [%q],
		"timing": {"drainWaitSeconds": 1, "drainTimeoutSeconds": 30},
	}`, e.host.Name, e.host.FailureDomain, e.host.Address, e.listen, e.host.Address, e.host.PeerAddress, e.link.Addr(), c.seeds(e), auth.HashToken(operatorToken))
	must.NoError(c.t, os.WriteFile(file, []byte(text), 0o600))
	e.process = start(c.t, "cyclamentrayd", "--settings", file)
}

// seeds returns the peer addresses of the other entry hosts, as a JSON list's inside.
func (c *cluster) seeds(self *entry) string {
	var list []string
	for _, e := range c.entries {
		if e != self {
			list = append(list, fmt.Sprintf("%q", e.host.PeerAddress))
		}
	}
	return strings.Join(list, ", ")
}

// applyDocuments puts one organisation with one service in force everywhere.
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
		_, refusal = c.operator(c.entries[0]).Apply(context.Background(), api.ApplyRequest{Documents: rawDocuments(docs...)})
		return refusal == nil || apierr.KindOf(refusal) == apierr.InvalidInput
	})
	must.NoError(c.t, refusal)
	c.waitReady()
}

func (c *cluster) waitReady() {
	for _, e := range c.entries {
		c.eventually(e.host.Name+" to be ready", func() bool { return ready(e.url()) })
	}
}

func ready(url string) bool {
	resp, err := http.Get(url + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) operator(e *entry) *client.Client { return client.New(e.url(), operatorToken) }

func (c *cluster) caller(e *entry) *client.Client { return client.New(e.url(), callerToken) }

// eventually waits for a condition, and fails the test when it does not come.
func (c *cluster) eventually(what string, done func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(patience)
	for !done() {
		if time.Now().After(deadline) {
			c.t.Fatalf("gave up waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// executions returns how often upstreams executed requests under a key.
func (c *cluster) executions(key string) int {
	total := 0
	for _, u := range c.upstreams {
		total += u.ExecutionsByKey()[key]
	}
	return total
}

// running returns the tasks of a job that run now, over all workers.
func (c *cluster) running(job string) []workerapi.Task {
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

// scheduler returns the entry host that holds a failure domain's term; nil: none does.
func (c *cluster) scheduler(fd string) *entry {
	for _, e := range c.entries {
		if e.host.FailureDomain != fd {
			continue
		}
		top, err := c.operator(e).Top(context.Background())
		if err == nil && top.Hosts[0].Term != 0 {
			return e
		}
	}
	return nil
}

func (c *cluster) waitScheduler(fd string) *entry {
	c.t.Helper()
	var found *entry
	c.eventually("a scheduler of "+fd, func() bool {
		found = c.scheduler(fd)
		return found != nil
	})
	return found
}

// runCLI runs the command line and returns its output and exit code.
func runCLI(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "cyclamentray"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// startStandin starts a stand-in process and returns the address it prints.
func startStandin(t *testing.T, args ...string) string {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "standin"), args...)
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
