// Package defaults fills in what the Options of a slice leave out.
package defaults

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// Now returns now, or the system's clock.
func Now(now func() time.Time) func() time.Time {
	if now == nil {
		return time.Now
	}
	return now
}

// Logger returns l, or a logger that drops everything.
func Logger(l *log.Logger) *log.Logger {
	if l == nil {
		return log.New(io.Discard)
	}
	return l
}

// Metrics returns set, or one that nobody reads.
func Metrics(set *metrics.Set) *metrics.Set {
	if set == nil {
		return metrics.NewSet()
	}
	return set
}
