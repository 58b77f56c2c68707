package gang_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// TestWorkerCallsShareTheTraceOfTheSubmission is not parallel, since it replaces the
// process-wide tracer provider.
func TestWorkerCallsShareTheTraceOfTheSubmission(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(spans)))
	defer otel.SetTracerProvider(before)
	c := newCluster(t, 1, nil)
	e := c.startEntryHost(1, nil)
	s := spec("a", 1)
	ctx, root := otel.Tracer("test").Start(context.Background(), "caller")
	_, err := e.intake.Submit(ctx, org, s)
	must.NoError(t, err)
	root.End()
	c.waitForState(e, s, job.Running)
	waitUntil(t, "reserve and start have spans in the caller's trace", func() bool {
		seen := make(map[string]bool)
		for _, span := range spans.Ended() {
			if span.SpanContext().TraceID() == root.SpanContext().TraceID() {
				seen[span.Name()] = true
				for _, a := range span.Attributes() {
					seen[a.Value.String()] = true
				}
			}
		}
		return seen[workerapi.PathReserve] && seen[workerapi.PathStart]
	})
}
