package placement

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// seeds returns the seeds for tuning, or with HOLDOUT=1 those kept aside, or
// the one that SEED names.
func seeds() []uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return []uint64{seed}
	}
	if os.Getenv("HOLDOUT") != "" {
		return []uint64{101, 102, 103, 104, 105}
	}
	return []uint64{1, 2, 3, 4, 5}
}

// BenchmarkReplay measures completion time and fragmentation against strict
// FIFO first-fit and against the same policy with true run times.
func BenchmarkReplay(b *testing.B) {
	for _, size := range []traceSize{usersOne, usersWhole, letterOne, letterWhole} {
		for _, load := range []float64{.5, .8, .95} {
			b.Run(fmt.Sprintf("%s/load=%g", size.name, load), func(b *testing.B) {
				for b.Loop() {
					compare(b, size, load)
				}
			})
		}
	}
}

func compare(b *testing.B, size traceSize, load float64) {
	var ours, fifo, oracle replayResult
	n := float64(len(seeds()))
	reclaims := 0
	for _, seed := range seeds() {
		trace := drawTrace(size, load, seed)
		r := newReplay(size, trace, Decide)
		r.pulls = true
		r.run()
		ours = ours.plus(r.result())
		reclaims += r.reclaims
		r = newReplay(size, trace, fifoFirstFit)
		r.run()
		fifo = fifo.plus(r.result())
		r = newReplay(size, trace, Decide)
		r.oracle, r.pulls = true, true
		r.run()
		oracle = oracle.plus(r.result())
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(ours.mean/n, "mean/run")
	b.ReportMetric(fifo.mean/n, "fifo-mean/run")
	b.ReportMetric(oracle.mean/n, "oracle-mean/run")
	b.ReportMetric(ours.mean/fifo.mean, "mean/fifo")
	b.ReportMetric(ours.small/n, "small-mean/run")
	b.ReportMetric(ours.p95/n, "p95/run")
	b.ReportMetric(fifo.p95/n, "fifo-p95/run")
	b.ReportMetric(ours.fragmented/n, "fragmented")
	b.ReportMetric(fifo.fragmented/n, "fifo-fragmented")
	b.ReportMetric(ours.largest.Hours(), "largest-wait-h")
	b.ReportMetric(fifo.largest.Hours(), "fifo-largest-wait-h")
	b.ReportMetric(float64(reclaims)/n, "reclaims")
}

func (r replayResult) plus(o replayResult) replayResult {
	return replayResult{
		mean: r.mean + o.mean, p95: r.p95 + o.p95, small: r.small + o.small, largest: max(r.largest, o.largest),
		fragmented: r.fragmented + o.fragmented, work: r.work + o.work, ofWanted: r.ofWanted + o.ofWanted,
	}
}

// BenchmarkLeaveAndReturn measures the work done while a failure domain leaves
// and returns, as a share of what the accelerators in service could do.
func BenchmarkLeaveAndReturn(b *testing.B) {
	for _, size := range []traceSize{usersWhole, letterWhole} {
		b.Run(size.name, func(b *testing.B) {
			for b.Loop() {
				var ours, fifo replayResult
				for _, seed := range seeds() {
					trace := drawTrace(size, .8, seed)
					ours = ours.plus(leaveAndReturn(size, trace, Decide, true))
					fifo = fifo.plus(leaveAndReturn(size, trace, fifoFirstFit, false))
				}
				n := float64(len(seeds()))
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(ours.work/n, "work")
				b.ReportMetric(fifo.work/n, "fifo-work")
				b.ReportMetric(ours.ofWanted/n, "work/wanted")
				b.ReportMetric(fifo.ofWanted/n, "fifo-work/wanted")
			}
		})
	}
}

func leaveAndReturn(size traceSize, trace []traceJob, decide func(View) Plan, pulls bool) replayResult {
	r := newReplay(size, trace, decide)
	r.pulls = pulls
	r.leaveAndReturn()
	r.run()
	return r.result()
}
