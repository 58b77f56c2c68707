package cost

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/client"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/kv"
	"github.com/cyclamentray/cyclamentray/standin/worker"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

const (
	operatorToken  = "operator"
	callerToken    = "caller"
	failureDomains = 4
	gangTasks      = 8
	workersPerRack = 6
	measuredDomain = "n0" // the failure domain that runs all jobs
)

// size is the size of a deployment over all its failure domains.
type size struct {
	name       string
	workers    int
	tasks      int
	documents  int // services, each with a team of its own
	entryHosts int
}

type deployment struct {
	b       *testing.B
	size    size
	store   *kv.Server
	url     string
	hosts   []kvstore.Host
	workers []*worker.Server
	pids    map[string]int
}

func newDeployment(b *testing.B, s size) *deployment {
	b.Helper()
	d := &deployment{b: b, size: s, store: kv.New(), pids: map[string]int{}}
	d.url = "http://" + d.serve(d.store)
	for i := range s.workers {
		d.addWorker(i)
	}
	for i := range s.entryHosts {
		fd := fmt.Sprintf("n%d", i%failureDomains)
		d.hosts = append(d.hosts, kvstore.Host{
			Name: fmt.Sprintf("%s-e%d", fd, i/failureDomains), Kind: kvstore.EntryHost, FailureDomain: fd,
			Address: freeAddress(b), PeerAddress: freeAddress(b),
		})
	}
	d.store.SetHosts(d.hosts)
	program := filepath.Join(b.TempDir(), "cyclamentrayd")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/cyclamentrayd").CombinedOutput()
	must.NoError(b, err, must.Sprint(string(out)))
	for _, h := range d.hosts[s.workers:] {
		d.startHost(program, h)
	}
	d.applyDocuments()
	return d
}

func (d *deployment) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	d.b.Cleanup(func() {
		server.CloseClientConnections()
		server.Config.Close()
	})
	return server.Listener.Addr().String()
}

func (d *deployment) addWorker(i int) {
	fd := fmt.Sprintf("n%d", i%failureDomains)
	accelerators := d.size.tasks/d.size.workers + 4
	w := worker.New(worker.Options{Name: fmt.Sprintf("%s-w%d", fd, i), Accelerators: accelerators})
	d.workers = append(d.workers, w)
	d.hosts = append(d.hosts, kvstore.Host{
		Name: fmt.Sprintf("%s-w%d", fd, i), Kind: kvstore.Worker, FailureDomain: fd, Accelerators: accelerators,
		Rack: fmt.Sprintf("%s-r%d", fd, i/failureDomains/workersPerRack), Address: d.serve(w),
	})
}

// nextPort is the next port to try for an entry host. It is below the range that
// the kernel assigns to outgoing connections.
var nextPort = 20000

func freeAddress(b *testing.B) string {
	b.Helper()
	for ; nextPort < 30000; nextPort++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		must.NoError(b, l.Close())
		nextPort++
		return l.Addr().String()
	}
	b.Fatal("no free port")
	return ""
}

func (d *deployment) startHost(program string, h kvstore.Host) {
	file := filepath.Join(d.b.TempDir(), h.Name+".hujson")
	text := fmt.Sprintf(`{
		"host": {"name": %q, "failureDomain": %q, "region": "region"},
		"listen": {"http": %q, "peer": %q},
		"platform": {"urls": [%q]},
		"operatorTokenHashes": [%q],
		"log": {"level": "error"},
		"timing": {"drainWaitSeconds": 0, "drainTimeoutSeconds": 1},
	}`, h.Name, h.FailureDomain, h.Address, h.PeerAddress, d.url, auth.HashToken(operatorToken))
	must.NoError(d.b, os.WriteFile(file, []byte(text), 0o600))
	cmd := exec.Command(program, "--settings", file)
	cmd.Stderr = os.Stderr
	must.NoError(d.b, cmd.Start())
	d.pids[h.Name] = cmd.Process.Pid
	d.b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

// applyDocuments puts the documents in force, with the teams divided among 4
// organisations, and waits until all entry hosts are ready.
func (d *deployment) applyDocuments() {
	var docs []string
	for i := range failureDomains {
		docs = append(docs, fmt.Sprintf(`{"kind": "failure-domain", "name": "n%d", "region": "region"}`, i))
	}
	for o := range 4 {
		teams := ""
		for t := o; t < d.size.documents; t += 4 {
			if teams != "" {
				teams += ","
			}
			teams += fmt.Sprintf(`{"name": "t%d", "quota": 5000}`, t)
		}
		docs = append(docs, fmt.Sprintf(`{"kind": "organisation", "name": "o%d", "tokenHashes": [%q], "teams": [%s]}`, o, auth.HashToken(fmt.Sprint(callerToken, o)), teams))
	}
	for t := range d.size.documents {
		docs = append(docs, d.serviceDocument(t, 3600))
	}
	d.eventually(func() bool { return d.apply(docs...) == nil })
	d.eventually(func() bool {
		for _, h := range d.entryHosts() {
			resp, err := http.Get("http://" + h.Address + "/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (d *deployment) serviceDocument(t, runSeconds int) string {
	return fmt.Sprintf(`{"kind": "service", "name": "s%d", "organisation": "o%d", "team": "t%d",
		"jobs": [{"name": "train", "shape": {"tasks": %d, "acceleratorsPerTask": 1, "adjacency": "rack"}, "runSeconds": %d, "checkpoint": true}]}`,
		t, t%4, t, gangTasks, runSeconds)
}

func (d *deployment) entryHosts() []kvstore.Host { return d.hosts[d.size.workers:] }

func (d *deployment) apply(docs ...string) error {
	var raw []json.RawMessage
	for _, doc := range docs {
		raw = append(raw, json.RawMessage(doc))
	}
	_, err := client.New("http://"+d.entryHosts()[1].Address, operatorToken).Apply(context.Background(), api.ApplyRequest{Documents: raw})
	return err
}

// submit submits jobs to the measured failure domain.
func (d *deployment) submit(prefix string, jobs int) {
	c := d.callerClients()
	for i := range jobs {
		spec := job.Spec{
			ID:       job.ID{Organisation: fmt.Sprint("o", i%4), Service: fmt.Sprint("s", i%4), Name: fmt.Sprint(prefix, i)},
			Template: "train", Shape: job.Shape{Tasks: gangTasks, AcceleratorsPerTask: 1, Adjacency: job.SameRack},
			DeclaredRun: time.Hour, Checkpoint: true, FailureDomain: measuredDomain,
		}
		_, err := c[i%4].Submit(context.Background(), spec)
		must.NoError(d.b, err)
	}
}

func (d *deployment) callerClients() []*client.Client {
	var out []*client.Client
	for o := range 4 {
		out = append(out, client.New("http://"+d.entryHosts()[0].Address, fmt.Sprint(callerToken, o)))
	}
	return out
}

func (d *deployment) runningTasks() int {
	n := 0
	for _, w := range d.workers {
		for _, t := range w.Tasks().Tasks {
			if t.State == workerapi.TaskRunning {
				n++
			}
		}
	}
	return n
}

func (d *deployment) awaitRunning(tasks int) {
	d.b.Helper()
	for range 60 {
		if d.runningTasks() >= tasks {
			return
		}
		time.Sleep(time.Second)
	}
	list, err := d.callerClients()[0].Jobs(context.Background(), job.Queued)
	if err == nil && len(list.Jobs) > 0 {
		why, _ := d.callerClients()[0].Explain(context.Background(), list.Jobs[0].Spec.ID)
		d.b.Logf("%s", why.Why)
	}
	d.b.Fatalf("%d of %d tasks run", d.runningTasks(), tasks)
}

// roles returns the scheduler of the measured failure domain and another entry
// host of that failure domain.
func (d *deployment) roles() (out [2]role) {
	var scheduler string
	d.eventually(func() bool {
		top, err := client.New("http://"+d.entryHosts()[0].Address, operatorToken).Top(context.Background())
		if err != nil {
			return false
		}
		for _, h := range top.Hosts {
			if h.FailureDomain == measuredDomain && h.Term != 0 {
				scheduler = h.Name
			}
		}
		return scheduler != ""
	})
	for _, h := range d.entryHosts() {
		switch {
		case h.Name == scheduler:
			out[0] = role{"scheduler", d.pids[h.Name], h.Address}
		case h.FailureDomain == measuredDomain:
			out[1] = role{"plain", d.pids[h.Name], h.Address}
		}
	}
	return out
}

// scrape returns the sums of an entry host's byte counters, by the package in the
// metric's name.
func scrape(b *testing.B, address string) map[string]float64 {
	b.Helper()
	resp, err := http.Get("http://" + address + "/metrics")
	must.NoError(b, err)
	defer resp.Body.Close()
	out := map[string]float64{}
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		name, value, _ := strings.Cut(scanner.Text(), " ")
		pkg, _, found := strings.Cut(strings.TrimPrefix(name, "cyclamentray_"), "_bytes_total")
		if n, err := strconv.ParseFloat(value, 64); found && err == nil {
			out[pkg] += n
		}
	}
	return out
}

func (d *deployment) eventually(holds func() bool) {
	d.b.Helper()
	must.Wait(d.b, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(90*time.Second), wait.Gap(200*time.Millisecond)))
}
