package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// reportingFleet is a core with two failure domains of four runners each, whose
// runners report in turn, each once a second.
type reportingFleet struct {
	core   *scheduler.Core
	now    steady.Time
	orders []scheduler.Order
	cut    map[string]bool // runners that are cut off
}

const reportTurn = 125 * time.Millisecond

func newReportingFleet(off mechanism.Set) *reportingFleet {
	f := &reportingFleet{core: scheduler.New(scheduler.Options{Off: off}), now: worldStart, cut: make(map[string]bool)}
	for i := range 8 {
		f.core.RunnerListed(batch.Runner{
			ID: runnerID(i), Service: "s", FailureDomain: fmt.Sprintf("fd%d", i/4),
			Capacity: batch.Resources{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8},
		}, f.now)
	}
	f.run(2 * time.Second)
	return f
}

func runnerID(i int) string { return fmt.Sprintf("r%d", i) }

// run lets the runners report in turn, and decides every 25 ms.
func (f *reportingFleet) run(d time.Duration) {
	const step = 25 * time.Millisecond
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		if since := f.now.Sub(worldStart); since%reportTurn == 0 {
			id := runnerID(int(since/reportTurn) % 8)
			if !f.cut[id] {
				f.core.HandleReport(id, f.now, batch.Report{Born: 1}, f.now)
				f.core.ReportDue(id, f.now.Add(time.Second+100*time.Millisecond))
			}
		}
		f.core.Decide(f.now, time.Unix(0, int64(f.now)))
		for _, r := range f.core.TakeRecords(100) {
			f.core.RecordCommitted(r.Job, r.Version, f.now)
		}
		f.orders = append(f.orders, f.core.TakeOrders()...)
	}
}

// submit adds a job of one task that fills a runner.
func (f *reportingFleet) submit(id string) {
	f.core.AddJob(&batch.Job{
		ID: id, Queue: "q", Service: "s", Stretch: 1.5, MaxAttempts: 3, Accepted: time.Unix(0, int64(f.now)), Steps: []batch.Step{gang(1, 8, 2*time.Second)},
	}, nil, f.now)
}

// startedIn counts the starts in the domain of each name.
func (f *reportingFleet) startedIn() map[string]int {
	out := make(map[string]int)
	for _, o := range f.orders {
		if o.Kind == scheduler.StartRun {
			out[o.Runner.FailureDomain]++
		}
	}
	return out
}

// cutDomain cuts the first failure domain off, submits four jobs 0.4 s later, and
// returns the starts by domain.
func cutDomain(off mechanism.Set) map[string]int {
	f := newReportingFleet(off)
	for i := range 4 {
		f.cut[runnerID(i)] = true
	}
	f.run(400 * time.Millisecond)
	for i := range 4 {
		f.submit(fmt.Sprintf("urgent%d", i))
	}
	f.run(200 * time.Millisecond)
	return f.startedIn()
}

// A start that is sent into a failure domain that was just cut off isn't answered, and
// its job runs nowhere until the lease of the runner has run out. The callers of urgent
// jobs that come 0.4 s after the cut are served by the other domain.
func TestNothingStartsInASilentFailureDomain(t *testing.T) {
	must.Eq(t, map[string]int{"fd1": 4}, cutDomain(mechanism.Set{}))
	must.Positive(t, cutDomain(mechanism.Without(mechanism.SilenceCheck))["fd0"])
}

// One runner that owes a report gets no starts, and the others of its domain do. Its
// next report ends that. What runs on silent runners is not stopped.
func TestSilentRunnerKeepsItsWorkAndReturnsWithItsReport(t *testing.T) {
	f := newReportingFleet(mechanism.Set{})
	for i := range 8 {
		f.submit(fmt.Sprintf("first%d", i))
	}
	f.run(100 * time.Millisecond)
	must.Eq(t, map[string]int{"fd0": 4, "fd1": 4}, f.startedIn())
	f.cut[runnerID(0)] = true
	f.run(1300 * time.Millisecond)
	for _, o := range f.orders {
		must.Eq(t, scheduler.StartRun, o.Kind, must.Sprint(o))
	}

	g := newReportingFleet(mechanism.Set{})
	g.cut[runnerID(0)] = true
	g.run(1300 * time.Millisecond)
	for i := range 8 {
		g.submit(fmt.Sprintf("job%d", i))
	}
	g.run(100 * time.Millisecond)
	must.Eq(t, map[string]int{"fd0": 3, "fd1": 4}, g.startedIn())
	g.cut[runnerID(0)] = false
	g.run(1100 * time.Millisecond)
	must.Eq(t, map[string]int{"fd0": 4, "fd1": 4}, g.startedIn())
}
