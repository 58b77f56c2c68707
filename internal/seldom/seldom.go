// Package seldom bounds how often a log line is written that clients can cause. A Line
// keeps the time of the last one. Packages that refuse requests use it.
package seldom

import (
	"sync/atomic"
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Line is one kind of log line. It is safe for concurrent use.
type Line struct {
	Interval time.Duration // between two lines
	last     atomic.Int64  // a steady.Time; 0: none was written
}

// Due reports whether the line may be written now, and takes it as written if so.
func (l *Line) Due() bool {
	now, last := steady.Now(), l.last.Load()
	if last != 0 && now.Sub(steady.Time(last)) < l.Interval {
		return false
	}
	return l.last.CompareAndSwap(last, int64(now))
}
