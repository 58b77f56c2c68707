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
	roles := d.roles()

	calls := total(d.store.Calls())
	idle := d.during(roles, func() { time.Sleep(window) })
	b.ReportMetric(float64(total(d.store.Calls())-calls)/window.Seconds(), "platform-calls/s")
	for i, r := range roles {
		idle[i].report(b, r.name)
	}

	edited := d.during(roles, func() {
		for i := range edits {
			if err := d.apply(d.service(5, 1000+i)); err != nil {
				b.Fatal(err)
			}
			time.Sleep(editSpacing)
		}
	})
	submitted := d.during(roles, func() {
		d.submit("x", extraJobs)
		d.awaitRunning((jobs + extraJobs) * gangTasks)
	})
	for i, r := range roles {
		edited[i].reportEach(b, r.name, "edit", edits, idle[i])
		submitted[i].reportEach(b, r.name, "job", extraJobs, idle[i])
	}
}

// role is a process that is measured.
type role struct {
	name    string
	pid     int
	address string
}

// during measures each role while run runs. The reading of counters is left out.
func (d *deployment) during(roles [2]role, run func()) (out [2]rate) {
	var before, after [2]usage
	var counters [2]map[string]float64
	for i, r := range roles {
		counters[i] = scrape(d.b, r.address)
		before[i] = readUsage(d.b, r.pid)
	}
	run()
	for i, r := range roles {
		after[i] = readUsage(d.b, r.pid)
	}
	for i, r := range roles {
		out[i] = between(before[i], after[i])
		now := scrape(d.b, r.address)
		out[i].platform = now["platform"] - counters[i]["platform"]
		out[i].peers = now["peer"] - counters[i]["peer"]
	}
	return out
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
	bytes   float64 // both ways, over all connections
	memory  float64

	platform, peers float64 // parts of bytes
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
	b.ReportMetric(r.platform/r.seconds, role+"-platform-B/s")
	b.ReportMetric(r.peers/r.seconds, role+"-peer-B/s")
	b.ReportMetric(r.memory/(1<<20), role+"-MB")
}

// reportEach reports what each of n events added to the idle rate.
func (r rate) reportEach(b *testing.B, role, event string, n int, idle rate) {
	cpu := r.cpu - idle.cpu*r.seconds/idle.seconds
	bytes := r.bytes - idle.bytes*r.seconds/idle.seconds
	b.ReportMetric(1000*cpu/float64(n), role+"-ms/"+event)
	b.ReportMetric(bytes/float64(n), role+"-B/"+event)
}
