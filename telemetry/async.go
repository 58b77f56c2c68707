package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
)

// asyncLines is how many lines may wait to be written: a few seconds of a busy
// host, and well under a megabyte.
const asyncLines = 2048

// AsyncWriter writes lines from a bounded queue, so that nobody waits for a
// slow or blocked output. Lines that find the queue full are dropped, counted
// and told of once there is room. It is safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	total   atomic.Uint64
	close   sync.Once
}

// NewAsyncWriter returns a writer to out. It must be closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (w *AsyncWriter) Dropped() uint64 { return w.total.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			w.put(fmt.Appendf(nil, "level=warn msg=\"log lines dropped: output too slow\" lines=%d\n", n))
		}
		w.put(line)
	}
}

// put writes a line. There is nowhere to report a failure of the log itself, so
// the line counts as dropped.
func (w *AsyncWriter) put(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.total.Add(1)
	}
}

// Close writes what is queued, unless the output is blocked; no Write may follow.
func (w *AsyncWriter) Close(limit <-chan struct{}) {
	w.close.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-limit:
	}
}

// NewStructuredLogger returns a logger that writes one line of key=value pairs
// for each entry.
func NewStructuredLogger(w io.Writer, level string) *log.Logger {
	logger := NewLogger(w, level)
	logger.SetFormatter(log.LogfmtFormatter)
	return logger
}
