// Package telemetry sets up logs, traces and request metrics.
package telemetry

import (
	"io"

	"github.com/charmbracelet/log"
)

// NewLogger returns a logger for one process. Each slice adds its own prefix
// with WithPrefix. An unknown level means info.
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
