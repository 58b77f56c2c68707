package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// class is one kind of job of a heavy day.
type class struct {
	name          string
	priority      int
	jobsPerSecond float64
	burst         float64 // factor of the rate between the tenth and the sixteenth second
	tasks         int
	sizes         []int64 // accelerators of a task
	work          time.Duration
	gang          bool
	checkpoints   bool
	stretch       float64
	latency       time.Duration

	// The policy bench draws these too.
	spread, workSpread, estimateSpread float64         // of the logarithms of the number of tasks, the work and the declared duration
	sameRack                           float64         // share of the gangs that must be in one rack
	request                            batch.Resources // of a task, without accelerators
	credit, lateCredit                 float64         // what a job in time and a late one earn
}

// heavyDay has the rates of a heaviest day for half as many runners: urgent
// work doubles for six seconds.
var heavyDay = []class{
	{name: "urgent", priority: 0, jobsPerSecond: 1.3, burst: 2, tasks: 3, sizes: []int64{1, 2, 4, 8, 8}, work: 2500 * time.Millisecond, gang: true, stretch: 1.5, latency: 250 * time.Millisecond},
	{name: "large", priority: 1, jobsPerSecond: 0.4, burst: 1, tasks: 4, sizes: []int64{1, 2, 4, 8, 8}, work: 8500 * time.Millisecond, gang: true, stretch: 3, latency: time.Second},
	{name: "plain", priority: 2, jobsPerSecond: 0.3, burst: 1, tasks: 12, sizes: []int64{1}, work: 9500 * time.Millisecond, checkpoints: true, stretch: 3, latency: 3 * time.Second},
}

type classResult struct{ jobs, inTime, done int }

// Decisions are repeatable: the same load and faults give the same completion
// times, so that two policies can be compared load by load.
func TestDecisionsAreRepeatable(t *testing.T) {
	first := playHeavyDay(t, 5, mechanism.Set{}).completedAt
	must.MapNotEmpty(t, first)
	must.Eq(t, first, playHeavyDay(t, 5, mechanism.Set{}).completedAt)
}

// dayOutcome is what became of the jobs of one simulated day.
type dayOutcome struct {
	classOf     map[string]string      // by job
	due         map[string]steady.Time // by job: when it is late
	completedAt map[string]steady.Time // by job
}

// playHeavyDay plays a heavy day with the load of a seed, without the
// given mechanisms.
func playHeavyDay(t *testing.T, seed uint64, off mechanism.Set) dayOutcome {
	w := newWorld(t, seed, faults{})
	w.off = off
	w.addRunners(4, 6)
	w.startScheduler()
	w.run(1500 * time.Millisecond)
	rng := rand.New(rand.NewPCG(seed, 3))
	day := dayOutcome{classOf: make(map[string]string), due: make(map[string]steady.Time), completedAt: w.completedAt}
	for tick := range 300 {
		for _, c := range heavyDay {
			rate := c.jobsPerSecond / 10
			if tick >= 100 && tick < 160 {
				rate *= c.burst
			}
			if rng.Float64() >= rate {
				continue
			}
			id := fmt.Sprintf("%s%03d", c.name, tick)
			work := time.Duration(float64(c.work) * (0.6 + 0.8*rng.Float64()))
			w.submit(c.job(rng, id, work), work, false)
			day.classOf[id] = c.name
			day.due[id] = w.now.Add(time.Duration(c.stretch*float64(work)) + c.latency)
		}
		w.run(100 * time.Millisecond)
	}
	w.run(90 * time.Second)
	return day
}

// playHeavyDays returns the results of each class over days with the loads of the
// seeds 0 to seeds-1.
func playHeavyDays(t *testing.T, seeds uint64, off mechanism.Set) map[string]*classResult {
	sum := make(map[string]*classResult)
	for _, c := range heavyDay {
		sum[c.name] = &classResult{}
	}
	for seed := range seeds {
		for name, s := range playHeavyDay(t, seed, off).byClass() {
			total := sum[name]
			total.jobs, total.inTime, total.done = total.jobs+s.jobs, total.inTime+s.inTime, total.done+s.done
		}
	}
	return sum
}

// byClass counts the jobs of each class.
func (d dayOutcome) byClass() map[string]*classResult {
	out := make(map[string]*classResult)
	for _, c := range heavyDay {
		out[c.name] = &classResult{}
	}
	for id, name := range d.classOf {
		out[name].jobs++
		if ended, ok := d.completedAt[id]; ok {
			out[name].done++
			if !ended.After(d.due[id]) {
				out[name].inTime++
			}
		}
	}
	return out
}

func (c class) job(rng *rand.Rand, id string, work time.Duration) batch.Job {
	size := c.sizes[rng.IntN(len(c.sizes))]
	step := batch.Step{
		Tasks: c.tasks, Gang: c.gang, SameRack: c.gang && rng.IntN(2) == 0, Checkpoints: c.checkpoints,
		Estimate: time.Duration(float64(work) * (0.7 + 0.6*rng.Float64())),
		Request:  batch.Resources{MilliCPU: 7500, MemoryMB: 15000, Accelerators: size},
	}
	return batch.Job{
		ID: id, Queue: c.name, Organisation: "one", Priority: c.priority, Stretch: c.stretch, TargetLatency: c.latency, Steps: []batch.Step{step},
	}
}

// On heavy days most of what callers lose is lost to late urgent work. With the queue order, preemption and learned speeds more urgent jobs are in
// time than with first-fit in order of arrival, no other class has fewer jobs
// in time, and every job is still done.
func TestUrgentBurstIsServedInTime(t *testing.T) {
	baseline, full := playHeavyDays(t, 4, mechanism.FirstFit()), playHeavyDays(t, 4, mechanism.Set{})
	for _, c := range heavyDay {
		t.Logf("%s: first-fit %+v, full scheduler %+v", c.name, *baseline[c.name], *full[c.name])
		must.Eq(t, full[c.name].jobs, full[c.name].done, must.Sprint(c.name))
		must.GreaterEq(t, baseline[c.name].inTime, full[c.name].inTime, must.Sprint(c.name))
	}
	must.Greater(t, baseline["urgent"].inTime, full["urgent"].inTime)
}
