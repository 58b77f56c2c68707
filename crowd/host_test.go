package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch/intake"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/peer"
	"github.com/cyclamentray/cyclamentray/platform/standin"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

// The limits of the host under test, as in its settings file.
const (
	memoryMB     = 128 // the smallest machine of a site has 144
	maxFDs       = 600
	fileFDs      = 200 // the part of maxFDs that is kept for files; sockets and pipes share the rest
	maxBodyBytes = 1 << 20
)

const (
	// patience is how long the checks of one test wait: beyond every time limit of the host,
	// so that the outcome does not depend on the machine's speed.
	patience = time.Minute

	askTimeout        = 5 * time.Second // of one try of an ordinary request
	askInterval       = 100 * time.Millisecond
	descriptorsSample = 10 * time.Millisecond

	callerHost = "a.example"
	jobPath    = "/jobs/"
	apiKey     = "key-one"
)

// hostProcess is a host under test.
type hostProcess struct {
	t                                            *testing.T
	store                                        *keyspace.Store
	process                                      *os.Process
	ended                                        chan struct{}
	api, readiness, peers, metrics               string
	logPath                                      string
	peakDescriptors, peakSockets, memoryPeakBase atomic.Int64
}

// startHost starts a host that serves with no runners and waits until it is ready.
func startHost(t *testing.T) *hostProcess {
	dir := t.TempDir()
	h := &hostProcess{t: t, store: keyspace.New(keyspace.Options{}), ended: make(chan struct{}), logPath: filepath.Join(dir, "host.log")}
	server := httptest.NewServer(standin.StoreHandler(h.store))
	t.Cleanup(server.Close)
	configuration := fmt.Sprintf(`{"version":1,"routes":[{"name":"q","host":%q,"prefix":%q,"service":"s","priority":0,"max_attempts":3,"stretch":1.5,"target_latency_ms":250}],
		"services":[{"name":"s","admission_check":true}],"limits":{"max_body_bytes":%d},"tenants":[{"name":"one","api_keys":[%q]}]}`, callerHost, jobPath, maxBodyBytes, apiKey)
	_, err := h.store.Commit(context.Background(), kvstore.Txn{Puts: []kvstore.Put{{Key: standin.ConfigurationKey, Value: []byte(configuration)}}})
	must.NoError(t, err)
	ports := freePorts(t, 4)
	address := func(i int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[i])) }
	h.api, h.readiness, h.peers, h.metrics = address(0), address(1), address(2), address(3)
	settings := standin.HostSettings{
		Name: "host-0", FailureDomain: "fd-0", APIAddress: h.api, ReadinessAddress: h.readiness, PeerPort: ports[2],
		StoreAddress: server.Listener.Addr().String(), HeartbeatInterval: 1500 * time.Millisecond, GracePeriod: 6 * time.Second, MemoryMB: memoryMB, MaxFDs: maxFDs,
	}
	settingsPath := filepath.Join(dir, "host.yaml")
	must.NoError(t, os.WriteFile(settingsPath, []byte(settings.YAML()), 0o600))
	h.start(buildHost(t, dir), settingsPath, ports[3])
	h.awaitAnswer(func() error { return get(h.readiness, "/-/readyz") })
	h.memoryPeakBase.Store(h.memoryPeakKB())
	return h
}

func buildHost(t *testing.T, dir string) string {
	binary := filepath.Join(dir, "batchd")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/cyclamentray-batchd").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return binary
}

func freePorts(t *testing.T, n int) []int {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// start starts the process with maxFDs as its limit of descriptors, and samples them.
func (h *hostProcess) start(binary, settingsPath string, metricsPort int) {
	output, err := os.Create(h.logPath)
	must.NoError(h.t, err)
	command := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxFDs), binary,
		"--settings", settingsPath, "--metrics-port", strconv.Itoa(metricsPort))
	command.Stdout, command.Stderr = output, output
	must.NoError(h.t, command.Start())
	h.process = command.Process
	go func() {
		_ = command.Wait() // the reason of its end is in its log
		_ = output.Close()
		close(h.ended)
	}()
	go h.sampleDescriptors()
	h.t.Cleanup(func() {
		_ = h.process.Kill() // it may have ended by itself
		<-h.ended
	})
}

func (h *hostProcess) sampleDescriptors() {
	for {
		select {
		case <-h.ended:
			return
		case <-time.After(descriptorsSample):
			h.sampleDescriptorsOnce()
		}
	}
}

func (h *hostProcess) sampleDescriptorsOnce() {
	dir := fmt.Sprintf("/proc/%d/fd", h.process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return // the process has just ended
	}
	sockets := int64(0)
	for _, e := range entries {
		link, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err == nil && (strings.HasPrefix(link, "socket:") || strings.HasPrefix(link, "pipe:")) {
			sockets++
		}
	}
	storeMax(&h.peakDescriptors, int64(len(entries)))
	storeMax(&h.peakSockets, sockets)
}

func storeMax(peak *atomic.Int64, v int64) {
	for old := peak.Load(); v > old && !peak.CompareAndSwap(old, v); old = peak.Load() {
	}
}

// memoryPeakKB returns the highest resident size of the process so far, VmHWM: the kernel
// keeps it, so that no peak falls between two samples. It is 0 if the process has ended.
func (h *hostProcess) memoryPeakKB() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			must.NoError(h.t, err)
			return kb
		}
	}
	return 0
}

func (h *hostProcess) lives() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// checkHolds checks that the host has kept its limits, and that it answers an ordinary
// request on each listener. The crowd's connections are still open.
func (h *hostProcess) checkHolds() {
	h.t.Helper()
	answered := map[string]error{}
	deadline := time.Now().Add(patience)
	for name, ask := range map[string]func() error{
		"a job":     h.submitAndRead,
		"readiness": func() error { return get(h.readiness, "/-/readyz") },
		"metrics":   func() error { return get(h.metrics, "/metrics") },
		"a peer":    h.askAsPeer,
	} {
		answered[name] = h.poll(deadline, ask)
	}
	h.t.Logf("lives %t; memory peak %d kB (%d before the crowd), limit %d; descriptors peak %d, limit %d; sockets and pipes peak %d, limit %d; answers %v",
		h.lives(), h.memoryPeakKB(), h.memoryPeakBase.Load(), memoryMB<<10, h.peakDescriptors.Load(), maxFDs, h.peakSockets.Load(), maxFDs-fileFDs, answered)
	if !h.lives() || anyError(answered) {
		h.t.Log(h.lastLog())
	}
	must.True(h.t, h.lives())
	must.LessEq(h.t, memoryMB<<10, h.memoryPeakKB())
	must.Less(h.t, maxFDs, h.peakDescriptors.Load())
	must.Less(h.t, maxFDs-fileFDs, h.peakSockets.Load())
	for name, err := range answered {
		must.NoError(h.t, err, must.Sprint(name))
	}
}

func anyError(answered map[string]error) bool {
	for _, err := range answered {
		if err != nil {
			return true
		}
	}
	return false
}

func (h *hostProcess) lastLog() string {
	const lastBytes = 2000
	text, err := os.ReadFile(h.logPath)
	must.NoError(h.t, err)
	return string(text[max(0, len(text)-lastBytes):])
}

// poll repeats ask until it succeeds, the process ends or the deadline has passed.
func (h *hostProcess) poll(deadline time.Time, ask func() error) error {
	for ; ; time.Sleep(askInterval) {
		err := ask()
		if err == nil || !h.lives() || time.Now().After(deadline) {
			return err
		}
	}
}

func (h *hostProcess) awaitAnswer(ask func() error) {
	must.NoError(h.t, h.poll(time.Now().Add(patience), ask), must.Sprint(h.logPath))
}

// submitAndRead submits a small job and requests its state.
func (h *hostProcess) submitAndRead() error {
	const id = "00000000000000aa"
	if err := expect200(h.callAPI(http.MethodPost, id, []byte(smallJob))); err != nil {
		return err
	}
	return expect200(h.callAPI(http.MethodGet, id, nil))
}

func (h *hostProcess) callAPI(method, id string, body []byte) (int, error) {
	r, err := http.NewRequest(method, "http://"+h.api+jobPath+id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = callerHost
	r.Header.Set(standin.APIKeyHeader, apiKey)
	return send(r)
}

func (h *hostProcess) askAsPeer() error {
	pool := peer.NewPool(peer.Options{Host: "host-1"})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var reply intake.StateReply
	return pool.Call(ctx, h.peers, "Jobs.State", intake.StateArgs{ID: "00000000000000ab"}, &reply)
}

func get(address, path string) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return err
	}
	return expect200(send(r))
}

// send sends a request on a new connection and returns the status of its answer.
func send(r *http.Request) (int, error) {
	client := http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

func expect200(status int, err error) error {
	if err == nil && status != http.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	return err
}

// checkRefusedAreNotStored checks that no job with a refused submission is in the store.
func (h *hostProcess) checkRefusedAreNotStored(statuses []int) {
	h.t.Helper()
	counts := map[int]int{}
	for i, status := range statuses {
		counts[status]++
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			_, err := h.store.Get(context.Background(), ledger.JobKey(jobID(i)))
			must.ErrorIs(h.t, err, kvstore.ErrNotFound, must.Sprintf("job %d was answered %d", i, status))
		}
	}
	h.t.Logf("answers by status (0: connection closed): %v", counts)
}

// jobID returns the ID of the job that a crowd's connection submits.
func jobID(connection int) string { return fmt.Sprintf("%016x", 1<<32+connection) }
