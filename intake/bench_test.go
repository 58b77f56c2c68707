package intake_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/intake"
	"github.com/cyclamentray/cyclamentray/job"
)

// BenchmarkBurst submits 2,000 jobs concurrently over 1 or 7 entry hosts, cancels
// them, and reports the calls to the store and the time of each phase.
func BenchmarkBurst(b *testing.B) {
	const burst = 2_000
	for _, hosts := range []int{1, 7} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			for range b.N {
				s := newSite(b)
				ins, _ := s.entryHosts(b, hosts)
				for phase, act := range []func(*intake.Intake, job.Spec) error{
					func(in *intake.Intake, j job.Spec) error {
						_, err := in.Submit(context.Background(), org, j)
						return err
					},
					func(in *intake.Intake, j job.Spec) error {
						_, err := in.Cancel(context.Background(), org, j.ID)
						return err
					},
				} {
					before, began := s.kv.Calls(), time.Now()
					var wg sync.WaitGroup
					for i := range burst {
						wg.Go(func() { must.NoError(b, act(ins[i%hosts], spec(fmt.Sprint("job-", i)))) })
					}
					wg.Wait()
					phaseName := []string{"submit", "cancel"}[phase]
					after := s.kv.Calls()
					b.ReportMetric(float64(after["put"]-before["put"]), phaseName+"-writes")
					b.ReportMetric(float64(after["get"]-before["get"]), phaseName+"-reads")
					b.ReportMetric(time.Since(began).Seconds(), phaseName+"-s")
				}
			}
		})
	}
}
