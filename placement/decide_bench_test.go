package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
)

// busyView returns a view of a full cluster with the workers and jobs of the letter1
// traces, with many jobs waiting and, for each accelerator, about four tasks without
// accelerators.
func busyView(workers, waiting int) View {
	size := traceSize{workers: []int{workers}, span: 3 * 24 * time.Hour, mixedWorkers: true}
	trace := drawTrace(size, 2, 1)
	v := View{Now: time.Time{}.Add(size.span), Workers: size.cluster(0), Guarantees: size.guarantees(), Estimates: NewEstimates()}
	for _, j := range trace[:min(400, len(trace))] {
		v.Estimates.Observe(j.ID.Service, j.Template, j.DeclaredRun, j.trueRun)
	}
	for i, j := range trace {
		w := j.WaitingJob
		if w.Submitted = v.Now.Add(-time.Duration(i%500) * time.Minute); i < 7*workers/32 {
			w.Shape = job.Shape{Tasks: 32, Adjacency: job.SameFailureDomain}
		}
		v.Waiting = append(v.Waiting, w)
	}
	v = viewAfter(v, Decide(v))
	for i := range v.Running {
		v.Running[i].Started = v.Now.Add(-time.Duration(i%300) * time.Minute)
	}
	for i := range trace {
		w := trace[i%len(trace)].WaitingJob
		w.ID.Name += fmt.Sprint("-", i)
		v.Waiting = append(v.Waiting, w)
	}
	v.Waiting = v.Waiting[:min(len(v.Waiting), waiting)]
	return v
}

// BenchmarkDecide measures one decision on clusters of four sizes, with 200 jobs
// waiting and with a burst of 2,000.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{60, 243, 486, 970} {
		for _, waiting := range []int{200, 2000} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, waiting), func(b *testing.B) {
				v := busyView(workers, waiting)
				tasks := 0
				for _, g := range v.Running {
					tasks += len(g.Workers)
				}
				b.ReportAllocs()
				for b.Loop() {
					Decide(v)
				}
				b.ReportMetric(float64(tasks), "tasks")
				b.ReportMetric(float64(len(v.Waiting)), "waiting")
			})
		}
	}
}
