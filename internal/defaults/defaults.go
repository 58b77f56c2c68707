// Package defaults supplies defaults for options that may be nil. Constructors of
// other packages call it. It holds no state.
package defaults

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// Now returns now, or time.Now if it is nil.
func Now(now func() time.Time) func() time.Time {
	if now == nil {
		return time.Now
	}
	return now
}

// Logger returns l, or a logger that discards everything if it is nil.
func Logger(l *log.Logger) *log.Logger {
	if l == nil {
		return log.New(io.Discard)
	}
	return l
}

// Metrics returns set, or a new set that is not exported if it is nil.
func Metrics(set *metrics.Set) *metrics.Set {
	if set == nil {
		return metrics.NewSet()
	}
	return set
}
