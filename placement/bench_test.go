package placement

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// benchSeeds returns the seeds for tuning, or with HOLDOUT=1 the held-out ones, or
// the one that SEED names.
func benchSeeds() []uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return []uint64{seed}
	}
	if os.Getenv("HOLDOUT") != "" {
		return []uint64{101, 102, 103, 104, 105}
	}
	return []uint64{1, 2, 3, 4, 5}
}

// BenchmarkReplay measures completion time and fragmentation, and compares them with
// strict FIFO first-fit and with the same policy given the true run times.
func BenchmarkReplay(b *testing.B) {
	for _, size := range []traceSize{uniformOne, uniformAll, mixedOne, mixedAll} {
		for _, load := range []float64{.5, .8, .95} {
			b.Run(fmt.Sprintf("%s/load=%g", size.name, load), func(b *testing.B) {
				for b.Loop() {
					comparePolicies(b, size, load)
				}
			})
		}
	}
}

func comparePolicies(b *testing.B, size traceSize, load float64) {
	var ours, fifo, oracle replayResult
	n := float64(len(benchSeeds()))
	reclaims := 0
	for _, seed := range benchSeeds() {
		trace := drawTrace(size, load, seed)
		r := newReplay(size, trace, Decide)
		r.pullsJobs = true
		r.run()
		ours = ours.plus(r.result())
		reclaims += r.reclaims
		r = newReplay(size, trace, fifoFirstFit)
		r.run()
		fifo = fifo.plus(r.result())
		r = newReplay(size, trace, Decide)
		r.oracle, r.pullsJobs = true, true
		r.run()
		oracle = oracle.plus(r.result())
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(ours.meanCompletion/n, "mean/run")
	b.ReportMetric(fifo.meanCompletion/n, "fifo-mean/run")
	b.ReportMetric(oracle.meanCompletion/n, "oracle-mean/run")
	b.ReportMetric(ours.meanCompletion/fifo.meanCompletion, "mean/fifo")
	b.ReportMetric(ours.smallMean/n, "small-mean/run")
	b.ReportMetric(ours.p95Completion/n, "p95/run")
	b.ReportMetric(fifo.p95Completion/n, "fifo-p95/run")
	b.ReportMetric(ours.fragmented/n, "fragmented")
	b.ReportMetric(fifo.fragmented/n, "fifo-fragmented")
	b.ReportMetric(ours.longestWaitOfLargest.Hours(), "largest-wait-h")
	b.ReportMetric(fifo.longestWaitOfLargest.Hours(), "fifo-largest-wait-h")
	b.ReportMetric(float64(reclaims)/n, "reclaims")
}

func (r replayResult) plus(o replayResult) replayResult {
	return replayResult{
		meanCompletion: r.meanCompletion + o.meanCompletion, p95Completion: r.p95Completion + o.p95Completion, smallMean: r.smallMean + o.smallMean, longestWaitOfLargest: max(r.longestWaitOfLargest, o.longestWaitOfLargest),
		fragmented: r.fragmented + o.fragmented, workOfCapacity: r.workOfCapacity + o.workOfCapacity, workOfDemand: r.workOfDemand + o.workOfDemand,
	}
}

// BenchmarkLeaveAndReturn measures the work done while a failure domain is taken out
// of service and returns, as a share of what the accelerators in service could do.
func BenchmarkLeaveAndReturn(b *testing.B) {
	for _, size := range []traceSize{uniformAll, mixedAll} {
		b.Run(size.name, func(b *testing.B) {
			for b.Loop() {
				var ours, fifo replayResult
				for _, seed := range benchSeeds() {
					trace := drawTrace(size, .8, seed)
					ours = ours.plus(replayLeaveAndReturn(size, trace, Decide, true))
					fifo = fifo.plus(replayLeaveAndReturn(size, trace, fifoFirstFit, false))
				}
				n := float64(len(benchSeeds()))
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(ours.workOfCapacity/n, "work")
				b.ReportMetric(fifo.workOfCapacity/n, "fifo-work")
				b.ReportMetric(ours.workOfDemand/n, "work/wanted")
				b.ReportMetric(fifo.workOfDemand/n, "fifo-work/wanted")
			}
		})
	}
}

// replayLeaveAndReturn replays a trace in which the first failure domain leaves and
// returns.
func replayLeaveAndReturn(size traceSize, trace []traceJob, decide func(View) Plan, pulls bool) replayResult {
	r := newReplay(size, trace, decide)
	r.pullsJobs = pulls
	r.leaveAndReturn()
	r.run()
	return r.result()
}
