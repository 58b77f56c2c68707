package cost

import (
	"testing"
	"time"
)

// sizes grow up to the size to design for.
var sizes = []size{
	{"eighth", 121, 1125, 45, 8},
	{"quarter", 242, 2250, 90, 8},
	{"half", 485, 4500, 180, 16},
	{"whole", 970, 9000, 360, 28},
}

const (
	window      = 12 * time.Second
	edits       = 10
	editSpacing = 500 * time.Millisecond
	extraJobs   = 10
)

// BenchmarkControl reports what an entry host spends on control while nothing
// changes, and what one edit and one job add to that. Run it with
// -benchtime=1x. Figures are of one process: the scheduler of a failure domain
// with a quarter of the tasks, and a neighbour that is not.
func BenchmarkControl(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			for range b.N {
				measure(b, s)
			}
		})
	}
}

func measure(b *testing.B, s size) {
	d := newDeployment(b, s)
	jobs := s.tasks / failureDomains / gangTasks
	d.submit("j", jobs)
	d.awaitRunning(jobs * gangTasks)
	time.Sleep(5 * time.Second) // renewals settle
	scheduler, plain := d.roles()

	calls := total(d.store.Calls())
	before := [2]usage{readUsage(b, scheduler), readUsage(b, plain)}
	time.Sleep(window)
	idle := [2]rate{between(before[0], readUsage(b, scheduler)), between(before[1], readUsage(b, plain))}
	callRate := float64(total(d.store.Calls())-calls) / window.Seconds()
	idle[0].report(b, "scheduler")
	idle[1].report(b, "plain")
	b.ReportMetric(callRate, "platform-calls/s")

	before = [2]usage{readUsage(b, scheduler), readUsage(b, plain)}
	for i := range edits {
		if err := d.apply(d.service(5, 1000+i)); err != nil {
			b.Fatal(err)
		}
		time.Sleep(editSpacing)
	}
	between(before[0], readUsage(b, scheduler)).reportEach(b, "scheduler", "edit", edits, idle[0])
	between(before[1], readUsage(b, plain)).reportEach(b, "plain", "edit", edits, idle[1])

	before = [2]usage{readUsage(b, scheduler), readUsage(b, plain)}
	d.submit("x", extraJobs)
	d.awaitRunning((jobs + extraJobs) * gangTasks)
	between(before[0], readUsage(b, scheduler)).reportEach(b, "scheduler", "job", extraJobs, idle[0])
	between(before[1], readUsage(b, plain)).reportEach(b, "plain", "job", extraJobs, idle[1])
}

func total(calls map[string]int) int {
	n := 0
	for _, c := range calls {
		n += c
	}
	return n
}

// rate is a process's use over a window.
type rate struct {
	seconds float64
	cpu     float64 // seconds of processor time
	bytes   float64
	memory  float64
}

func between(a, b usage) rate {
	return rate{
		seconds: b.at.Sub(a.at).Seconds(),
		cpu:     (b.cpu - a.cpu).Seconds(),
		bytes:   float64(b.bytes - a.bytes),
		memory:  float64(b.memory),
	}
}

func (r rate) report(b *testing.B, role string) {
	b.ReportMetric(100*r.cpu/r.seconds, role+"-cpu-%")
	b.ReportMetric(r.bytes/r.seconds, role+"-B/s")
	b.ReportMetric(r.memory/(1<<20), role+"-MB")
}

// reportEach reports what each of n events added to the idle rate.
func (r rate) reportEach(b *testing.B, role, event string, n int, idle rate) {
	cpu := r.cpu - idle.cpu*r.seconds/idle.seconds
	bytes := r.bytes - idle.bytes*r.seconds/idle.seconds
	b.ReportMetric(1000*cpu/float64(n), role+"-ms/"+event)
	b.ReportMetric(bytes/float64(n), role+"-B/"+event)
}
