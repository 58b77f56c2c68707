// Package telemetry sets up logging, tracing and request metrics. Its state is
// the process-wide OpenTelemetry tracer provider that SetupTracing installs, the
// queue of each AsyncWriter and the spans of each Recorder. Programs set it up when they
// start; servers and clients of other packages start spans with it.
package telemetry

import (
	"io"

	"github.com/charmbracelet/log"
)

// NewLogger returns the logger of one process. Each package adds its own prefix
// with WithPrefix. An unknown level is taken as info.
func NewLogger(w io.Writer, level string) *log.Logger {
	l, err := log.ParseLevel(level)
	if err != nil {
		l = log.InfoLevel
	}
	return log.NewWithOptions(w, log.Options{
		Level:           l,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
	})
}
