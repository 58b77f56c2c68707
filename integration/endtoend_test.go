package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

var gangShape = job.Shape{Tasks: 2, AcceleratorsPerTask: 8, Adjacency: job.SameRack}

const endToEndDocuments = `[
	{"kind": "failure-domain", "name": "fd-a", "region": "region-1"},
	{"kind": "organisation", "name": "acme", "tokenHashes": [%q], "teams": [{"name": "ops"}],
		"guarantees": [{"failureDomain": "fd-a", "shape": {"tasks": 2, "acceleratorsPerTask": 8, "adjacency": "rack"}, "count": 1}]},
	{"kind": "service", "name": "billing", "organisation": "acme", "team": "ops",
		"jobs": [{"name": "train", "shape": {"tasks": 2, "acceleratorsPerTask": 8, "adjacency": "rack"}, "runSeconds": 1}],
		"requests": {"timeoutMillis": 5000, "idempotentMethods": ["GET"]}},
]`

// Every part is a separate process, and only the command-line program calls them.
func TestEndToEndWithSeparateProcesses(t *testing.T) {
	store := startStandin(t, "kv")
	c := &cluster{t: t, platformAddress: store}
	c.hosts = []kvstore.Host{
		{Name: "w0", Kind: kvstore.Worker, FailureDomain: "fd-a", Rack: "r0", Accelerators: 8, Address: startStandin(t, "--name", "w0", "worker")},
		{Name: "w1", Kind: kvstore.Worker, FailureDomain: "fd-a", Rack: "r0", Accelerators: 8, Address: startStandin(t, "--name", "w1", "worker")},
		{Name: "u0", Kind: kvstore.Upstream, FailureDomain: "fd-a", Service: "billing", Slots: 8, Connections: 60, Address: startStandin(t, "--name", "u0", "upstream")},
	}
	c.addEntryHost("e0", "fd-a")
	putHosts(t, store, c.hosts)
	dir := t.TempDir()
	documents := filepath.Join(dir, "documents.hujson")
	writeFile(t, documents, endToEndDocuments, auth.HashToken(callerToken))
	settings := filepath.Join(dir, "settings.hujson")
	writeFile(t, settings, `{
		"host": {"name": "e0", "failureDomain": "fd-a", "region": "region-1"},
		"listen": {"http": %q, "peer": %q},
		"platform": {"urls": ["http://%s"]},
		"operatorTokenHashes": [%q],
	}`, c.entryHosts[0].host.Address, c.entryHosts[0].peerListen, store, auth.HashToken(operatorToken))
	c.entryHosts[0].process = startProcess(t, "cyclamentrayd", "--settings", settings)
	address := "--address=" + c.entryHosts[0].url()
	operator := "--token=" + operatorToken
	caller := "--token=" + callerToken

	out, code := runCLI(t, "validate", documents)
	must.Eq(t, 0, code, must.Sprint(out))
	c.eventually("the documents to be applied", func() bool {
		_, code = runCLI(t, address, operator, "apply", documents)
		return code == 0
	})
	c.eventually("the entry host to be ready", func() bool { return ready(c.entryHosts[0].url()) })

	out, code = runCLI(t, address, caller, "request", "billing", "hello")
	must.Eq(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, "200, outcome ran")

	out, code = runCLI(t, address, caller, "submit", "--template", "train", "--tasks", "2", "--accelerators", "8", "--wait", "--output", "json", "acme/billing/first")
	must.Eq(t, 0, code, must.Sprint(out))
	var rec job.Record
	must.NoError(t, json.Unmarshal([]byte(out), &rec))
	must.Eq(t, job.Finished, rec.State)
	must.SliceContainsAll(t, []string{"w0", "w1"}, rec.Workers)

	out, code = runCLI(t, address, caller, "status", "acme/billing/first")
	must.Eq(t, 0, code)
	must.StrContains(t, out, "finished")
	_, code = runCLI(t, address, caller, "status", "acme/billing/none")
	must.Eq(t, 5, code)
	_, code = runCLI(t, address, "--token=wrong", "status")
	must.Eq(t, 4, code)
	_, code = runCLI(t, address, caller, "retire", "billing")
	must.Eq(t, 4, code)
}

func writeFile(t *testing.T, file, format string, args ...any) {
	t.Helper()
	must.NoError(t, os.WriteFile(file, fmt.Appendf(nil, format, args...), 0o600))
}

func putHosts(t *testing.T, store string, hosts []kvstore.Host) {
	t.Helper()
	body, err := json.Marshal(hosts)
	must.NoError(t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+store+"/v1/hosts", bytes.NewReader(body))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
}
