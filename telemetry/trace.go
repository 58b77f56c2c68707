package telemetry

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/cyclamentray/cyclamentray/apierr"
)

const tracerName = "cyclamentray"

// HostKey is the attribute for the name of the host that recorded the span.
const HostKey = attribute.Key("host.name")

// Tracing configures SetupTracing.
type Tracing struct {
	Exporter      string                   // none, stdout or otlp
	Endpoint      string                   // URL of an OTLP collector over HTTP
	SamplePercent int                      // share of new traces that are recorded; 0: all
	Host          string                   // name of this host, in the resource of every span
	Stdout        io.Writer                // for the stdout exporter
	Processors    []sdktrace.SpanProcessor // additional span processors, such as a Recorder
}

// SetupTracing installs the process's tracer provider. The returned function
// flushes pending spans and installs a no-op provider.
func SetupTracing(ctx context.Context, t Tracing) (shutdown func(context.Context) error, err error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := t.exporter(ctx)
	if err != nil {
		return nil, err
	}
	if exporter == nil && len(t.Processors) == 0 {
		return func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(t.options(exporter)...)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		otel.SetTracerProvider(noop.NewTracerProvider())
		return provider.Shutdown(ctx)
	}, nil
}

func (t Tracing) exporter(ctx context.Context) (sdktrace.SpanExporter, error) {
	switch t.Exporter {
	case "", "none":
		return nil, nil
	case "stdout":
		return stdouttrace.New(stdouttrace.WithWriter(t.Stdout))
	case "otlp":
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(t.Endpoint))
		return e, errors.Wrap(err, "set up OTLP exporter")
	}
	return nil, apierr.Invalid("trace.exporter", "unknown exporter "+t.Exporter, "use none, stdout or otlp")
}

func (t Tracing) options(exporter sdktrace.SpanExporter) []sdktrace.TracerProviderOption {
	ratio := 1.0
	if t.SamplePercent > 0 {
		ratio = float64(t.SamplePercent) / 100
	}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(rootSampler{sdktrace.TraceIDRatioBased(ratio)})),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", tracerName),
			attribute.String("host.name", t.Host),
		)),
	}
	if exporter != nil {
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	for _, p := range t.Processors {
		options = append(options, sdktrace.WithSpanProcessor(p))
	}
	return options
}

// rootSampler drops traces whose root would be a call to another process:
// heartbeats, lease renewals and other background work that no caller waits for.
// A caller that wants its call traced starts a span with Start first.
type rootSampler struct{ sdktrace.Sampler }

// ShouldSample implements Sampler.
func (s rootSampler) ShouldSample(p sdktrace.SamplingParameters) sdktrace.SamplingResult {
	if p.Kind == trace.SpanKindClient {
		return sdktrace.NeverSample().ShouldSample(p)
	}
	return s.Sampler.ShouldSample(p)
}

// Start begins a span for work within the process. Callers must End it.
func Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return start(ctx, name, trace.SpanKindInternal, attributes)
}

// StartClient begins a span for a call to another process.
func StartClient(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return start(ctx, name, trace.SpanKindClient, attributes)
}

// StartServer begins a span for a call received from another process.
func StartServer(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return start(ctx, name, trace.SpanKindServer, attributes)
}

func start(ctx context.Context, name string, kind trace.SpanKind, attributes []attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attributes...))
}

// End ends a span, marking it failed when err is not nil.
func End(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// Inject adds the trace context of ctx to an outgoing request's header.
func Inject(ctx context.Context, h http.Header) {
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
}

// Extract returns ctx with the trace context of an incoming request's header.
func Extract(ctx context.Context, h http.Header) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(h))
}

// ToCarrier returns the trace context of ctx as a map, for messages that are not
// HTTP.
func ToCarrier(ctx context.Context) map[string]string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier
}

// FromCarrier returns ctx with the trace context from a map that ToCarrier
// returned.
func FromCarrier(ctx context.Context, carried map[string]string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier(carried))
}

const traceParentKey = "traceparent"

// TraceParent returns the trace context of ctx as a W3C traceparent value, to be
// stored with work that continues later. It returns "" if the trace is not
// sampled.
func TraceParent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	return ToCarrier(ctx)[traceParentKey]
}

// WithTraceParent returns ctx with the trace context from a value that
// TraceParent returned.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return FromCarrier(ctx, map[string]string{traceParentKey: parent})
}

// TraceID returns the ID of ctx's trace in hexadecimal, or "" when it has none.
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}
