package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/job"
)

// benchPage returns a page with records like those of jobs that ran on 32 workers
// and ended.
func benchPage(records int) page[job.Record] {
	p := page[job.Record]{Entries: make(map[string]job.Record)}
	now := time.Now()
	for i := range records {
		rec := job.Record{Team: fmt.Sprint("team-", i%45), Generation: uint64(i % 3), Term: uint64(40_000 + i),
			Submitted: now, Started: now, Spec: job.Spec{
				ID:       job.ID{Organisation: fmt.Sprint("organisation-", i%4), Service: fmt.Sprint("service-", i%90), Name: fmt.Sprintf("job-2026-12-%06d", i*7919%1_000_003)},
				Template: "train", DeclaredRun: time.Hour,
				Shape: job.Shape{Tasks: 32, AcceleratorsPerTask: 1, Adjacency: job.SameRack}}}
		for t := range 32 {
			rec.Workers = append(rec.Workers, fmt.Sprintf("worker-%03d", (i*6+t%6)%121))
		}
		for _, state := range []job.State{job.Queued, job.Placed, job.Running, job.Finished} {
			now = now.Add(137*time.Millisecond + time.Duration(i)*time.Microsecond)
			rec.SetState(state, "", now)
		}
		p.Entries[rec.Spec.ID.String()] = rec
	}
	return p
}

// BenchmarkShard reports the size of one shard's value and the time to encode and
// decode it, for the records of one day of a failure domain (66 per shard), for
// those and a burst of 2,000 jobs (566 per shard), and for a full shard.
func BenchmarkShard(b *testing.B) {
	for _, records := range []int{66, 566, MaxShardEntries} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			p := benchPage(records)
			var value []byte
			for range b.N {
				var err error
				value, err = encode(p)
				must.NoError(b, err)
				_, err = decode[job.Record](value)
				must.NoError(b, err)
			}
			b.ReportMetric(float64(len(value)), "B/shard")
			b.ReportMetric(float64(len(value))/float64(records), "B/record")
		})
	}
}
