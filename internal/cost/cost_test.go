package cost

import (
	"testing"
	"time"
)

// sizes are fractions of the deployment size that the system is designed for.
var sizes = []size{
	{"eighth", 121, 1125, 45, 8},
	{"quarter", 242, 2250, 90, 8},
	{"half", 485, 4500, 180, 16},
	{"whole", 970, 9000, 360, 28},
}

const (
	idleWindow  = 12 * time.Second
	edits       = 10
	editSpacing = 500 * time.Millisecond
	extraJobs   = 10
)

// BenchmarkControl reports the resources that an entry host uses for the control
// plane while nothing changes, and what one edit and one job add to that. Run it
// with -benchtime=1x. Each figure is of one process: the scheduler of a failure
// domain that runs a quarter of the tasks, or an entry host of the same failure
// domain that is not its scheduler.
func BenchmarkControl(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			for range b.N {
				measureControl(b, s)
			}
		})
	}
}

func measureControl(b *testing.B, s size) {
	d := newDeployment(b, s)
	jobs := s.tasks / failureDomains / gangTasks
	d.submit("j", jobs)
	d.awaitRunning(jobs * gangTasks)
	time.Sleep(5 * time.Second) // until the rate of lease renewals is steady
	roles := d.roles()

	calls := sumCalls(d.store.Calls())
	idle := d.measureDuring(roles, func() { time.Sleep(idleWindow) })
	b.ReportMetric(float64(sumCalls(d.store.Calls())-calls)/idleWindow.Seconds(), "platform-calls/s")
	for i, r := range roles {
		idle[i].report(b, r.name)
	}

	edited := d.measureDuring(roles, func() {
		for i := range edits {
			if err := d.apply(d.serviceDocument(5, 1000+i)); err != nil {
				b.Fatal(err)
			}
			time.Sleep(editSpacing)
		}
	})
	submitted := d.measureDuring(roles, func() {
		d.submit("x", extraJobs)
		d.awaitRunning((jobs + extraJobs) * gangTasks)
	})
	for i, r := range roles {
		edited[i].reportEach(b, r.name, "edit", edits, idle[i])
		submitted[i].reportEach(b, r.name, "job", extraJobs, idle[i])
	}
}

// role is a measured process: the scheduler, or a plain entry host.
type role struct {
	name    string
	pid     int
	address string
}

// measureDuring returns what each role uses during run. The cost of reading the
// byte counters is excluded.
func (d *deployment) measureDuring(roles [2]role, run func()) (out [2]windowUsage) {
	var before, after [2]usage
	var countersBefore [2]map[string]float64
	for i, r := range roles {
		countersBefore[i] = scrape(d.b, r.address)
		before[i] = readUsage(d.b, r.pid)
	}
	run()
	for i, r := range roles {
		after[i] = readUsage(d.b, r.pid)
	}
	for i, r := range roles {
		out[i] = usageBetween(before[i], after[i])
		countersAfter := scrape(d.b, r.address)
		out[i].platform = countersAfter["platform"] - countersBefore[i]["platform"]
		out[i].peers = countersAfter["peer"] - countersBefore[i]["peer"]
	}
	return out
}

func sumCalls(calls map[string]int) int {
	n := 0
	for _, c := range calls {
		n += c
	}
	return n
}

// windowUsage is what a process uses within a period of time.
type windowUsage struct {
	seconds float64
	cpu     float64 // seconds of processor time
	bytes   float64 // read and written, over all connections
	memory  float64 // resident, in bytes

	platform, peers float64 // shares of bytes, by the counters of the process
}

func usageBetween(a, b usage) windowUsage {
	return windowUsage{
		seconds: b.at.Sub(a.at).Seconds(),
		cpu:     (b.cpu - a.cpu).Seconds(),
		bytes:   float64(b.bytes - a.bytes),
		memory:  float64(b.memory),
	}
}

func (r windowUsage) report(b *testing.B, role string) {
	b.ReportMetric(100*r.cpu/r.seconds, role+"-cpu-%")
	b.ReportMetric(r.bytes/r.seconds, role+"-B/s")
	b.ReportMetric(r.platform/r.seconds, role+"-platform-B/s")
	b.ReportMetric(r.peers/r.seconds, role+"-peer-B/s")
	b.ReportMetric(r.memory/(1<<20), role+"-MB")
}

// reportEach reports what each of n events used in addition to the idle process.
func (r windowUsage) reportEach(b *testing.B, role, event string, n int, idle windowUsage) {
	cpu := r.cpu - idle.cpu*r.seconds/idle.seconds
	bytes := r.bytes - idle.bytes*r.seconds/idle.seconds
	b.ReportMetric(1000*cpu/float64(n), role+"-ms/"+event)
	b.ReportMetric(bytes/float64(n), role+"-B/"+event)
}
