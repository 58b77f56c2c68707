package telemetry_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/telemetry"
)

// Write must return while the output is blocked. Lines that do not fit in the
// queue are counted, and reported once the output accepts data again.
func TestAsyncWriter_WriteReturnsWhileOutputIsBlocked(t *testing.T) {
	read, write := io.Pipe()
	w := telemetry.NewAsyncWriter(write)
	const lines = 20_000
	began := time.Now()
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		must.NoError(t, err)
	}
	must.Less(t, 5*time.Second, time.Since(began))
	must.Positive(t, w.Dropped())
	var out bytes.Buffer
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(&out, read) // until the pipe is closed
		close(done)
	}()
	for limit := time.Now().Add(5 * time.Second); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if _, err := fmt.Fprintln(w, "last"); err == nil && w.Dropped() > 0 {
			break
		}
	}
	w.Close(make(chan struct{}))
	must.NoError(t, write.Close())
	<-done
	must.StrContains(t, out.String(), "log lines dropped")
	must.Less(t, lines, strings.Count(out.String(), "line "))
}
