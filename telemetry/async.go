package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
)

// asyncQueueLines is the capacity of an AsyncWriter's queue in lines: the output of
// a busy host for a few seconds, in well under a megabyte.
const asyncQueueLines = 2048

// AsyncWriter writes log lines in the background from a bounded queue, so that a
// slow or blocked output never blocks the callers. Lines that arrive while the
// queue is full are dropped; their number is logged in a line of its own before
// the next line is written. It is safe for concurrent use.
type AsyncWriter struct {
	out             io.Writer
	queue           chan []byte
	done            chan struct{}
	unreportedDrops atomic.Uint64 // dropped since the number was last logged
	totalDrops      atomic.Uint64 // dropped or failed to write since the start
	closeOnce       sync.Once
}

// NewAsyncWriter returns an AsyncWriter to out and starts its goroutine, which
// runs until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan []byte, asyncQueueLines), done: make(chan struct{})}
	go w.writeQueued()
	return w
}

// Write queues a line. It never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.unreportedDrops.Add(1)
		w.totalDrops.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped or failed to be written.
func (w *AsyncWriter) Dropped() uint64 { return w.totalDrops.Load() }

func (w *AsyncWriter) writeQueued() {
	defer close(w.done)
	for line := range w.queue {
		if n := w.unreportedDrops.Swap(0); n > 0 {
			w.writeLine(fmt.Appendf(nil, "level=warn msg=\"log lines dropped: output too slow\" lines=%d\n", n))
		}
		w.writeLine(line)
	}
}

// writeLine writes a line to the output. Errors cannot be logged, since the log
// itself failed, so the line is counted as dropped.
func (w *AsyncWriter) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.totalDrops.Add(1)
	}
}

// Close waits until all queued lines are written or cancelled is closed, whichever
// comes first. Write must not be called afterwards.
func (w *AsyncWriter) Close(cancelled <-chan struct{}) {
	w.closeOnce.Do(func() { close(w.queue) })
	select {
	case <-w.done:
	case <-cancelled:
	}
}

// NewStructuredLogger returns a logger that writes one line of key=value pairs
// for each entry.
func NewStructuredLogger(w io.Writer, level string) *log.Logger {
	logger := NewLogger(w, level)
	logger.SetFormatter(log.LogfmtFormatter)
	return logger
}
