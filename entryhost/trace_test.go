package entryhost_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/cyclamentray/cyclamentray/internal/golden"
	"github.com/cyclamentray/cyclamentray/telemetry"
)

// sendTraced sends one request within a new trace and returns the trace's ID.
func sendTraced(t *testing.T, method, url, token, body string) string {
	ctx, span := telemetry.Start(t.Context(), "caller")
	defer span.End()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	must.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+token)
	c := &http.Client{Transport: telemetry.Transport(&http.Transport{DisableKeepAlives: true}, "entry host")}
	resp, err := c.Do(r)
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusOK, resp.StatusCode)
	return telemetry.TraceID(ctx)
}

// One trace covers every hop: those of a request to its upstream, and those of a job to
// the workers that start it later. Background calls must not create traces.
func TestTraces_EveryHopOfRequestsJobsAndEdits(t *testing.T) {
	rec := telemetry.NewRecorder()
	shutdown, err := telemetry.SetupTracing(t.Context(), telemetry.Tracing{Processors: []sdktrace.SpanProcessor{rec}})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, shutdown(context.Background())) })
	url := startDeployment(t)

	request := sendTraced(t, "GET", url+"/v1/services/levy-filings/requests/returns", filerToken, "")
	edit := sendTraced(t, "POST", url+"/v1/failure-domains/fd-b/out", operatorToken, "")
	submission := sendTraced(t, "POST", url+"/v1/jobs", filerToken, goodJob)
	awaitTracePart(t, rec, submission, "worker POST /v1/start")
	awaitTracePart(t, rec, edit, "platform PUT")

	golden.Check(t, "trace-request", rec.Shape(request))
	must.StrHasPrefix(t, "caller\n└─ entry host POST /v1/jobs\n   └─ entry POST /v1/jobs @fd-a-e0\n      ├─ worker POST /v1/reserve\n", rec.Shape(submission))
	for _, id := range rec.Traces() {
		must.False(t, strings.HasPrefix(rec.Shape(id), "Membership."), must.Sprint(rec.Shape(id)))
	}
}

func awaitTracePart(t *testing.T, rec *telemetry.Recorder, id, part string) {
	t.Helper()
	found := func() bool { return strings.Contains(rec.Shape(id), part) }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(found), wait.Timeout(time.Minute), wait.Gap(10*time.Millisecond)))
}
