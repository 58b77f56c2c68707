package entryhost_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/dev"
	"github.com/cyclamentray/cyclamentray/internal/httpjson"
)

const (
	operatorToken = dev.OperatorToken
	filerToken    = "mwambao-mwambao"      // of a caller of organisation mwambao
	partnerToken  = "consorcio-playa-kits" // of a caller of organisation playa-kits

	goodJob = `{"id": {"organisation": "mwambao", "service": "levy-filings", "name": "j1"}, "template": "reconcile",
	  "shape": {"tasks": 1, "acceleratorsPerTask": 8, "adjacency": "rack"}, "declaredRunNanos": 1000000000}`
)

// startDeployment starts one entry host per failure domain and applies the documents of
// package dev. It returns the URL of one of the hosts.
func startDeployment(t *testing.T) (url string) {
	size := dev.DefaultSize()
	size.EntryHosts = 1
	d, err := dev.Start(t.Context(), dev.Options{
		FailureDomains: dev.FailureDomains(), Services: dev.Services(), Size: size,
		LogOutput: io.Discard, LogLevel: log.ErrorLevel,
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, d.Close()) })
	_, err = d.Apply(t.Context())
	must.NoError(t, err)
	return d.EntryHostURLs()[0]
}

// send makes a request and returns the status and body of the response.
func send(t *testing.T, method, url, token, body string) (int, []byte) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	must.NoError(t, err)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp.StatusCode, data
}

func jobWith(old, with string) string { return strings.Replace(goodJob, old, with, 1) }

func applyBody(documents string) string { return `{"documents": [` + documents + `]}` }

func TestBadInput_GetsTypedErrorsAndChangesNothing(t *testing.T) {
	url := startDeployment(t)
	_, before := send(t, "GET", url+"/v1/config", operatorToken, "")
	huge := strings.Repeat(" ", 2<<20)
	cases := []struct {
		name, call, token, body string
		kind                    apierr.Kind
	}{
		{"no token", "POST /v1/jobs", "", goodJob, apierr.Unauthenticated},
		{"unknown path without a token", "GET /v1/secrets", "", "", apierr.Unauthenticated},
		{"malformed job", "POST /v1/jobs", filerToken, `{"id":`, apierr.InvalidInput},
		{"empty job", "POST /v1/jobs", filerToken, ``, apierr.InvalidInput},
		{"unknown field of a job", "POST /v1/jobs", filerToken, jobWith(`"template"`, `"tmplate": "x", "template"`), apierr.InvalidInput},
		{"job as a list", "POST /v1/jobs", filerToken, `[` + goodJob + `]`, apierr.InvalidInput},
		{"oversize job", "POST /v1/jobs", filerToken, huge + goodJob, apierr.TooLarge},
		{"negative tasks", "POST /v1/jobs", filerToken, jobWith(`"tasks": 1`, `"tasks": -1`), apierr.InvalidInput},
		{"no tasks", "POST /v1/jobs", filerToken, jobWith(`"tasks": 1`, `"tasks": 0`), apierr.InvalidInput},
		{"overflowing shape", "POST /v1/jobs", filerToken, jobWith(`"tasks": 1`, `"tasks": 9223372036854775807`), apierr.InvalidInput},
		{"unknown adjacency", "POST /v1/jobs", filerToken, jobWith(`"rack"`, `"moon"`), apierr.InvalidInput},
		{"negative run time", "POST /v1/jobs", filerToken, jobWith(`1000000000`, `-5`), apierr.InvalidInput},
		{"larger than its template", "POST /v1/jobs", filerToken, jobWith(`"tasks": 1`, `"tasks": 64`), apierr.InvalidInput},
		{"unknown template", "POST /v1/jobs", filerToken, jobWith(`reconcile`, `x`), apierr.InvalidInput},
		{"unknown service of a job", "POST /v1/jobs", filerToken, jobWith(`levy-filings`, `x`), apierr.NotFound},
		{"unknown organisation", "POST /v1/jobs", operatorToken, jobWith(`mwambao`, `x`), apierr.NotFound},
		{"another organisation's job", "POST /v1/jobs", partnerToken, goodJob, apierr.Forbidden},
		{"job of an organisation that does not exist", "POST /v1/jobs", partnerToken, jobWith(`mwambao`, `x`), apierr.Forbidden},
		{"two jobs in one body", "POST /v1/jobs", filerToken, goodJob + goodJob, apierr.InvalidInput},
		{"absent job", "GET /v1/jobs/mwambao/levy-filings/absent", filerToken, "", apierr.NotFound},
		{"absent job cancelled", "DELETE /v1/jobs/mwambao/levy-filings/absent", filerToken, "", apierr.NotFound},
		{"unknown state", "GET /v1/jobs?state=sleeping", filerToken, "", apierr.InvalidInput},
		{"unknown service", "GET /v1/services/x/requests/y", filerToken, "", apierr.NotFound},
		{"another organisation's service", "GET /v1/services/levy-filings/requests/y", partnerToken, "", apierr.NotFound},
		{"malformed edit", "POST /v1/config", operatorToken, `{"documents": [{]}`, apierr.InvalidInput},
		{"oversize edit", "POST /v1/config", operatorToken, huge, apierr.TooLarge},
		{"empty edit", "POST /v1/config", operatorToken, applyBody(``), apierr.InvalidInput},
		{"absurd shape in a document", "POST /v1/config", operatorToken, applyBody(`{"kind": "service", "name": "levy-filings", "organisation": "mwambao", "team": "filings",
		  "jobs": [{"name": "reconcile", "shape": {"tasks": 65, "acceleratorsPerTask": -8}, "runSeconds": 1}]}`), apierr.InvalidInput},
		{"document of an unknown organisation", "POST /v1/config", operatorToken, applyBody(`{"kind": "service", "name": "s", "organisation": "x", "team": "y"}`), apierr.InvalidInput},
		{"wrong revision", "POST /v1/config", operatorToken, `{"expectedRevision": 99, "documents": [{"kind": "failure-domain", "name": "fd-z", "region": "r"}]}`, apierr.Conflict},
		{"caller's edit", "POST /v1/config", filerToken, applyBody(`{"kind": "failure-domain", "name": "fd-z", "region": "r"}`), apierr.Forbidden},
		{"caller takes a failure domain out", "POST /v1/failure-domains/fd-a/out", filerToken, "", apierr.Forbidden},
		{"unknown failure domain out", "POST /v1/failure-domains/fd-z/out", operatorToken, "", apierr.NotFound},
		{"unknown service retired", "POST /v1/services/x/retire", operatorToken, "", apierr.NotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			method, path, _ := strings.Cut(c.call, " ")
			status, body := send(t, method, url+path, c.token, c.body)
			got := httpjson.ReadError(status, body)
			must.Eq(t, c.kind, got.Kind, must.Sprintf("status %d, body %s", status, body))
			must.Eq(t, (&apierr.Error{Kind: c.kind}).Status(), status)
			for _, mistake := range apierr.Flatten(got) {
				must.NotEq(t, "", mistake.Remedy, must.Sprintf("%s", body))
			}
		})
	}
	_, after := send(t, "GET", url+"/v1/config", operatorToken, "")
	must.Eq(t, string(before), string(after), must.Sprint("a rejected edit changed the configuration in force"))
	status, body := send(t, "POST", url+"/v1/jobs", filerToken, goodJob)
	must.Eq(t, http.StatusOK, status, must.Sprintf("%s", body))
}

// Guards against replies from which an organisation can tell whether another
// organisation's job exists: they must equal the replies for an absent job.
func TestOrganisations_CannotProbeEachOthersJobs(t *testing.T) {
	url := startDeployment(t)
	status, body := send(t, "POST", url+"/v1/jobs", filerToken, goodJob)
	must.Eq(t, http.StatusOK, status, must.Sprintf("%s", body))
	const theirs, absent = "/v1/jobs/mwambao/levy-filings/j1", "/v1/jobs/mwambao/levy-filings/j2"
	for _, call := range []struct{ method, suffix string }{{"GET", ""}, {"GET", "/explain"}, {"DELETE", ""}} {
		status, body := send(t, call.method, url+theirs+call.suffix, partnerToken, "")
		_, missing := send(t, call.method, url+absent+call.suffix, partnerToken, "")
		must.Eq(t, http.StatusNotFound, status)
		must.Eq(t, strings.ReplaceAll(string(missing), "j2", "j1"), string(body))
	}
	_, list := send(t, "GET", url+"/v1/jobs", partnerToken, "")
	must.StrNotContains(t, string(list), "j1")
	_, own := send(t, "GET", url+theirs, filerToken, "")
	must.StrNotContains(t, string(own), `"cancelBy"`) // the other organisation's DELETE had no effect
}
