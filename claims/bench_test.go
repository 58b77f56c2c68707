package claims

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRecordMemory reports the heap bytes that an owner uses for each key,
// without the answer's body, and the time to replay a key's events from the log.
func BenchmarkRecordMemory(b *testing.B) {
	const keys = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := newTable()
		now := time.Now()
		for k := range keys {
			h := hashKey(Key{Organisation: "acme", Service: "loans", Key: fmt.Sprint(k)})
			t.apply(event{kind: eventClaimed, hash: h, attempt: uint64(k), until: now})
			t.apply(event{kind: eventDone, hash: h, attempt: uint64(k), status: 201})
		}
		took := time.Since(now)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		b.ReportMetric(float64(took.Nanoseconds())/keys, "ns/key")
		runtime.KeepAlive(t)
	}
}
