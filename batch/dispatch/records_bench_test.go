package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

// storeOfEndedJobs returns a store with the records of n ended jobs of eight tasks, and of
// one that waits.
func storeOfEndedJobs(b *testing.B, n int) *keyspace.Store {
	store := keyspace.New(keyspace.Options{})
	put := func(key string, value any) kvstore.Put {
		text, err := json.Marshal(value)
		must.NoError(b, err)
		return kvstore.Put{Key: key, Value: text}
	}
	job := batch.Job{Service: "s", Spec: "filing", MaxAttempts: 3, Stretch: 1.5, Accepted: time.Now(), Steps: []batch.Step{{Tasks: 8, Estimate: time.Second}}}
	progress := batch.Progress{State: batch.Completed}
	for i := range 8 {
		progress.Tasks = append(progress.Tasks, batch.TaskProgress{Index: i, Done: true, Attempt: 1})
	}
	var puts []kvstore.Put
	for i := range n {
		job.ID = fmt.Sprintf("%016x", i)
		puts = append(puts, put(ledger.JobKey(job.ID), job), put(ledger.ProgressKey(job.ID), progress),
			kvstore.Put{Key: ledger.StateKey(job.ID), Value: []byte(batch.Completed)})
	}
	job.ID, job.Steps = "waits", []batch.Step{{Tasks: 1}}
	store.WriteWithoutFaults(kvstore.Txn{Puts: append(puts, put(ledger.JobKey(job.ID), job))})
	store.Compact()
	return store
}

// heapMB returns the memory in use after a collection, in MB.
func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// Time and memory of a host's start, which reads the records of all jobs, and of a takeover
// until the first start, beside a number of ended jobs. The store is in memory and answers
// at once, so the time is the host's own.
func BenchmarkEndedJobs(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		store := storeOfEndedJobs(b, n)
		logger := log.New(io.Discard)
		b.Run(fmt.Sprintf("start/%d", n), func(b *testing.B) {
			before := heapMB()
			for b.Loop() {
				replica := ledger.NewReplica(logger)
				items, _, err := store.List(b.Context(), ledger.ReplicaPrefix)
				must.NoError(b, err)
				replica.Reset(items)
				b.StopTimer()
				items = nil
				b.ReportMetric(heapMB()-before, "MB")
				runtime.KeepAlive(replica)
				b.StartTimer()
			}
		})
		b.Run(fmt.Sprintf("takeover/%d", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				replica := ledger.NewReplica(logger)
				items, asOf, err := store.List(b.Context(), ledger.ReplicaPrefix)
				must.NoError(b, err)
				replica.Reset(items)
				replica.NoteReadUpTo(asOf)
				items = nil
				runners := oneRunner{started: make(chan batch.TaskID, 1)}
				ctx, cancel := context.WithCancel(b.Context())
				ended := make(chan struct{})
				store.WriteWithoutFaults(kvstore.Txn{Puts: []kvstore.Put{{Key: ledger.LeaderKey, Value: []byte("h/1")}}, Deletes: []string{ledger.ProgressKey("waits")}})
				leader, err := store.Get(b.Context(), ledger.LeaderKey)
				must.NoError(b, err)
				term := &Term{Token: leader.Revision, ttl: time.Hour, renewed: steady.Now(), cancel: cancel}
				b.StartTimer()
				go func() {
					defer close(ended)
					Lead(ctx, Options{
						Store: store, Replica: replica, Runners: runners, Conditions: runners, Log: logger, Now: time.Now, RunnerLease: 6 * time.Second, Cores: 1,
					}, term)
				}()
				select {
				case <-runners.started:
				case <-time.After(time.Minute):
					b.Error("nothing was started")
				}
				b.StopTimer()
				b.ReportMetric(heapMB(), "MB")
				cancel()
				<-ended
				b.StartTimer()
			}
		})
	}
}
