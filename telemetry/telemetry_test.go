package telemetry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/shoenig/test/must"
)

// startRecording installs tracing with a Recorder until the test ends.
func startRecording(t testing.TB) *Recorder {
	rec := NewRecorder()
	startTracing(t, rec)
	return rec
}

// startTracing installs tracing with a span processor until the test ends.
func startTracing(t testing.TB, p sdktrace.SpanProcessor) {
	shutdown, err := SetupTracing(t.Context(), Tracing{Exporter: "none", Processors: []sdktrace.SpanProcessor{p}})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, shutdown(context.Background())) })
}

// spanDurations passes ended spans on to a Recorder, each with a duration that the test
// sets, in the order in which they end. Their measured durations differ by machine.
type spanDurations struct {
	*Recorder
	mu        sync.Mutex
	durations []time.Duration
}

type timedSpan struct {
	sdktrace.ReadOnlySpan
	duration time.Duration
}

func (s timedSpan) EndTime() time.Time { return s.StartTime().Add(s.duration) }

func (d *spanDurations) OnEnd(s sdktrace.ReadOnlySpan) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var next time.Duration
	if len(d.durations) > 0 {
		next, d.durations = d.durations[0], d.durations[1:]
	}
	d.Recorder.OnEnd(timedSpan{s, next})
}

// serveEntryHost starts an HTTP server for handler as the entry host named host.
func serveEntryHost(t testing.TB, host string, set *metrics.Set, handler http.HandlerFunc) *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs/{name}", handler)
	s := httptest.NewServer(Middleware(host, set, time.Now, mux))
	t.Cleanup(s.Close)
	return s
}

func post(ctx context.Context, c *http.Client, url string) (int, error) {
	r, err := http.NewRequestWithContext(ctx, "POST", url, strings.NewReader("{}"))
	if err != nil {
		return 0, err
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Body.Close()
}

func TestTrace_TreeHasOneSpanPerHop(t *testing.T) {
	rec := NewRecorder()
	startTracing(t, &spanDurations{Recorder: rec, durations: []time.Duration{
		20 * time.Microsecond, 40 * time.Microsecond, 840 * time.Microsecond,
		2 * time.Millisecond, 1234567 * time.Microsecond, 61 * time.Second,
	}})
	set := metrics.NewSet()
	client := &http.Client{Transport: Transport(http.DefaultTransport, "entry-host")}
	secondHop := serveEntryHost(t, "b-1", set, func(w http.ResponseWriter, r *http.Request) {
		ctx := FromCarrier(context.Background(), ToCarrier(r.Context())) // as in a net/rpc message
		_, span := StartClient(ctx, "platform.get")
		End(span, errors.New("store unavailable"))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	firstHop := serveEntryHost(t, "a-1", set, func(w http.ResponseWriter, r *http.Request) {
		status, err := post(r.Context(), client, secondHop.URL+"/v1/jobs/secret")
		must.NoError(t, err)
		w.WriteHeader(status)
	})
	ctx, span := Start(t.Context(), "caller")
	status, err := post(ctx, client, firstHop.URL+"/v1/jobs/secret")
	must.NoError(t, err)
	must.Eq(t, 503, status)
	End(span, nil)

	must.Eq(t, []string{TraceID(ctx)}, rec.Traces())
	must.Eq(t, `caller
└─ entry-host POST /v1/jobs/secret
   └─ entry POST /v1/jobs/{name} @a-1  failed: Service Unavailable
      └─ entry-host POST /v1/jobs/secret
         └─ entry POST /v1/jobs/{name} @b-1  failed: Service Unavailable
            └─ platform.get  failed: store unavailable
`, rec.Shape(TraceID(ctx)))
	must.Eq(t, `caller  1m1s
└─ entry-host POST /v1/jobs/secret  1.23457s
   └─ entry POST /v1/jobs/{name} @a-1  2ms  failed: Service Unavailable
      └─ entry-host POST /v1/jobs/secret  840µs
         └─ entry POST /v1/jobs/{name} @b-1  40µs  failed: Service Unavailable
            └─ platform.get  20µs  failed: store unavailable
`, rec.Tree(TraceID(ctx)))

	var b bytes.Buffer
	set.WritePrometheus(&b)
	must.StrContains(t, b.String(), `cyclamentray_http_requests_total{route="POST /v1/jobs/{name}",code="503"} 2`)
	must.StrNotContains(t, b.String(), "secret")
}

func TestRecorder_MemoryIsBounded(t *testing.T) {
	rec := startRecording(t)
	ctx, root := Start(t.Context(), "many")
	for range maxSpansPerTrace + 10 {
		_, s := Start(ctx, "one")
		s.End()
	}
	root.End()
	must.StrContains(t, rec.Shape(TraceID(ctx)), "(11 more spans not kept)")
	for range maxTraces {
		_, s := Start(t.Context(), "later")
		s.End()
	}
	must.Len(t, maxTraces, rec.Traces())
	must.Eq(t, "", rec.Shape(TraceID(ctx)))
	must.Eq(t, "", rec.Tree("no trace"))
}

func TestStartClient_WithoutParentIsNotRecorded(t *testing.T) {
	rec := startRecording(t)
	ctx, heartbeat := StartClient(t.Context(), "heartbeat")
	must.Eq(t, "", TraceParent(ctx))
	_, received := StartServer(FromCarrier(t.Context(), ToCarrier(ctx)), "heartbeat")
	received.End()
	heartbeat.End()
	must.SliceEmpty(t, rec.Traces())
}

func TestWithTraceParent_ContinuesTheTrace(t *testing.T) {
	rec := startRecording(t)
	ctx, submitted := Start(t.Context(), "submit")
	kept := TraceParent(ctx)
	submitted.End()
	_, later := StartClient(WithTraceParent(t.Context(), kept), "start")
	later.End()
	must.Eq(t, "submit\n└─ start\n", rec.Shape(TraceID(ctx)))
	must.Eq(t, t.Context(), WithTraceParent(t.Context(), ""))
}

func TestSetupTracing_Exporters(t *testing.T) {
	var out bytes.Buffer
	shutdown, err := SetupTracing(t.Context(), Tracing{Exporter: "stdout", Stdout: &out, Host: "a-1"})
	must.NoError(t, err)
	_, s := Start(t.Context(), "seen")
	s.End()
	must.NoError(t, shutdown(t.Context()))
	must.StrContains(t, out.String(), `"Name":"seen"`)
	_, s = Start(t.Context(), "off again")
	must.False(t, s.IsRecording())

	_, err = SetupTracing(t.Context(), Tracing{Exporter: "carrier-pigeon"})
	must.ErrorContains(t, err, "use none, stdout or otlp")
}

func TestTracingOff_StillPropagatesTheCallersTrace(t *testing.T) {
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	header := http.Header{"Traceparent": {parent}}
	ctx, span := StartServer(Extract(t.Context(), header), "entry")
	defer span.End()
	out := http.Header{}
	Inject(ctx, out)
	must.Eq(t, parent, out.Get("Traceparent"))
}

func TestNewLogger_LevelAndPrefix(t *testing.T) {
	var out bytes.Buffer
	l := NewLogger(&out, "warn").WithPrefix("gang")
	l.Info("hidden")
	l.Warn("lost a worker", "worker", "w-1")
	must.StrContains(t, out.String(), "WARN gang: lost a worker worker=w-1\n")
	must.StrNotContains(t, out.String(), "hidden")
}

// BenchmarkMiddleware measures one request through the middleware whose handler
// makes one outgoing request, without sockets.
func BenchmarkMiddleware(b *testing.B) {
	hop := &http.Client{Transport: Transport(emptyUpstream{}, "upstream")}
	handler := Middleware("a-1", metrics.NewSet(), time.Now, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = post(r.Context(), hop, "http://upstream/")
	}))
	run := func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/", nil))
		}
	}
	b.Run("off", run)
	b.Run("on", func(b *testing.B) {
		shutdown, err := SetupTracing(b.Context(), Tracing{Processors: []sdktrace.SpanProcessor{NewRecorder()}})
		must.NoError(b, err)
		run(b)
		must.NoError(b, shutdown(context.Background()))
	})
	b.Run("sampled-1-percent", func(b *testing.B) {
		shutdown, err := SetupTracing(b.Context(), Tracing{SamplePercent: 1, Processors: []sdktrace.SpanProcessor{NewRecorder()}})
		must.NoError(b, err)
		run(b)
		must.NoError(b, shutdown(context.Background()))
	})
	must.False(b, trace.SpanFromContext(b.Context()).IsRecording())
}

// emptyUpstream is a transport that answers every request with an empty 200.
type emptyUpstream struct{}

func (emptyUpstream) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: 200, Body: http.NoBody, Request: r}, nil
}
