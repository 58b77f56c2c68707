package telemetry

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Limits of the memory used by a Recorder.
const (
	maxTraces        = 256
	maxSpansPerTrace = 512
)

// Recorder keeps the ended spans of the newest traces in memory and formats a
// trace as a tree. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	order  []trace.TraceID // oldest first
	traces map[trace.TraceID]*recordedTrace
}

type recordedTrace struct {
	spans   []sdktrace.ReadOnlySpan
	dropped int
}

// NewRecorder returns an empty Recorder, to be passed in Tracing.Processors.
func NewRecorder() *Recorder { return &Recorder{traces: map[trace.TraceID]*recordedTrace{}} }

var _ sdktrace.SpanProcessor = (*Recorder)(nil)

// OnStart implements SpanProcessor.
func (r *Recorder) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd implements SpanProcessor.
func (r *Recorder) OnEnd(s sdktrace.ReadOnlySpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := s.SpanContext().TraceID()
	t, ok := r.traces[id]
	if !ok {
		t = &recordedTrace{}
		r.traces[id] = t
		r.order = append(r.order, id)
		r.evictOldest()
	}
	if len(t.spans) == maxSpansPerTrace {
		t.dropped++
		return
	}
	t.spans = append(t.spans, s)
}

func (r *Recorder) evictOldest() {
	if len(r.order) <= maxTraces {
		return
	}
	delete(r.traces, r.order[0])
	r.order = r.order[1:]
}

// Shutdown implements SpanProcessor.
func (r *Recorder) Shutdown(context.Context) error { return nil }

// ForceFlush implements SpanProcessor.
func (r *Recorder) ForceFlush(context.Context) error { return nil }

// Traces returns the IDs of the traces held, newest first.
func (r *Recorder) Traces() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.order))
	for i := len(r.order) - 1; i >= 0; i-- {
		ids = append(ids, r.order[i].String())
	}
	return ids
}

// Tree formats a trace with one line per span: name, path, host, duration, and
// the error if it failed. It returns "" for a trace that is not in memory.
func (r *Recorder) Tree(traceID string) string {
	return r.formatTree(traceID, func(s sdktrace.ReadOnlySpan) string {
		return fmt.Sprintf("  %s", s.EndTime().Sub(s.StartTime()).Round(10*time.Microsecond))
	})
}

// Shape is Tree without durations, for comparison with a golden file.
func (r *Recorder) Shape(traceID string) string {
	return r.formatTree(traceID, func(sdktrace.ReadOnlySpan) string { return "" })
}

func (r *Recorder) formatTree(traceID string, timing func(sdktrace.ReadOnlySpan) string) string {
	id, err := trace.TraceIDFromHex(traceID)
	if err != nil {
		return ""
	}
	r.mu.Lock()
	t, ok := r.traces[id]
	if !ok {
		r.mu.Unlock()
		return ""
	}
	spans, dropped := append([]sdktrace.ReadOnlySpan(nil), t.spans...), t.dropped
	r.mu.Unlock()

	p := &treePrinter{children: childrenOf(spans), timing: timing}
	p.printChildren(trace.SpanID{}, "")
	if dropped > 0 {
		fmt.Fprintf(&p.out, "(%d more spans not kept)\n", dropped)
	}
	return p.out.String()
}

// childrenOf groups spans by parent, ordered by start time. A span whose parent is
// not in spans, because another process recorded it, is treated as a root.
func childrenOf(spans []sdktrace.ReadOnlySpan) map[trace.SpanID][]sdktrace.ReadOnlySpan {
	held := map[trace.SpanID]bool{}
	for _, s := range spans {
		held[s.SpanContext().SpanID()] = true
	}
	children := map[trace.SpanID][]sdktrace.ReadOnlySpan{}
	for _, s := range spans {
		parent := s.Parent().SpanID()
		if !held[parent] {
			parent = trace.SpanID{}
		}
		children[parent] = append(children[parent], s)
	}
	for _, siblings := range children {
		sort.SliceStable(siblings, func(i, j int) bool { return startsBefore(siblings[i], siblings[j]) })
	}
	return children
}

func startsBefore(a, b sdktrace.ReadOnlySpan) bool {
	if !a.StartTime().Equal(b.StartTime()) {
		return a.StartTime().Before(b.StartTime())
	}
	return a.Name() < b.Name()
}

type treePrinter struct {
	children map[trace.SpanID][]sdktrace.ReadOnlySpan
	timing   func(sdktrace.ReadOnlySpan) string
	out      strings.Builder
}

// printChildren writes the descendants of parent, each line prefixed by indent.
func (p *treePrinter) printChildren(parent trace.SpanID, indent string) {
	siblings := p.children[parent]
	for i, s := range siblings {
		branch, below := "├─ ", "│  "
		if i == len(siblings)-1 {
			branch, below = "└─ ", "   "
		}
		if !parent.IsValid() {
			branch, below = "", ""
		}
		p.out.WriteString(indent + branch + s.Name() + pathOf(s) + hostOf(s) + p.timing(s) + failureOf(s) + "\n")
		p.printChildren(s.SpanContext().SpanID(), indent+below)
	}
}

func pathOf(s sdktrace.ReadOnlySpan) string { return attributeOf(s, pathKey, " ") }

func hostOf(s sdktrace.ReadOnlySpan) string { return attributeOf(s, HostKey, " @") }

// attributeOf returns mark followed by the attribute's value, or "" if the span
// does not have the attribute.
func attributeOf(s sdktrace.ReadOnlySpan, key attribute.Key, mark string) string {
	for _, a := range s.Attributes() {
		if a.Key == key {
			return mark + a.Value.AsString()
		}
	}
	return ""
}

func failureOf(s sdktrace.ReadOnlySpan) string {
	if s.Status().Code != codes.Error {
		return ""
	}
	return "  failed: " + s.Status().Description
}
