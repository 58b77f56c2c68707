package telemetry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
)

// Middleware wraps the root handler of an entry host. Each request gets a server
// span that continues the caller's trace, and is counted and timed in set by route.
func Middleware(host string, set *metrics.Set, now func() time.Time, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun := now()
		ctx, span := StartServer(Extract(r.Context(), r.Header), "entry "+r.Method, HostKey.String(host))
		defer span.End()
		sw := &statusWriter{ResponseWriter: w}
		inner := r.WithContext(ctx)
		next.ServeHTTP(sw, inner)
		route := routeOf(inner)
		if span.IsRecording() {
			span.SetName("entry " + route)
			span.SetAttributes(attribute.Int("http.status", sw.code()))
			if sw.code() >= http.StatusInternalServerError {
				span.SetStatus(codes.Error, http.StatusText(sw.code()))
			}
		}
		countRequest(set, route, sw.code(), now().Sub(begun))
	})
}

// routeOf returns the pattern that the mux matched, never the request's path:
// paths contain names of callers' jobs and would make the number of metrics
// unbounded.
func routeOf(r *http.Request) string {
	if r.Pattern == "" {
		return "unknown"
	}
	return r.Pattern
}

func countRequest(set *metrics.Set, route string, code int, took time.Duration) {
	label := "route=" + strconv.Quote(route)
	set.GetOrCreateCounter(fmt.Sprintf(`cyclamentray_http_requests_total{%s,code="%d"}`, label, code)).Inc()
	set.GetOrCreateHistogram(fmt.Sprintf(`cyclamentray_http_request_seconds{%s}`, label)).Update(took.Seconds())
}

// statusWriter records the status code of the response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *statusWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *statusWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *statusWriter) code() int {
	if w.status == 0 {
		return http.StatusOK
	}
	return w.status
}

// pathKey is the attribute for the path of an outgoing request. The path is not
// part of the span's name, since paths contain an unbounded set of names.
const pathKey = attribute.Key("url.path")

// Transport wraps base so that each request has a client span and the headers of
// the trace context. The span is named after the kind of host that the request is
// sent to, such as "worker".
func Transport(base http.RoundTripper, kind string) http.RoundTripper {
	return &transport{base: base, kind: kind}
}

type transport struct {
	base http.RoundTripper
	kind string
}

func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, span := StartClient(r.Context(), t.kind+" "+r.Method,
		attribute.String("server.address", r.URL.Host), pathKey.String(r.URL.Path))
	r = r.Clone(ctx)
	Inject(ctx, r.Header)
	resp, err := t.base.RoundTrip(r)
	if err == nil {
		span.SetAttributes(attribute.Int("http.status", resp.StatusCode))
	}
	End(span, err)
	return resp, err
}

// CloseIdleConnections closes the idle connections of the wrapped transport. It
// is called by http.Client.
func (t *transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
