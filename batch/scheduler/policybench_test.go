package scheduler_test

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/shoenig/test/must"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// The policy bench plays fleets, loads and faults drawn from seeds in virtual time,
// once with the whole scheduler and once without each mechanism that is asked for,
// and compares what callers get. It isn't part of the test run:
//
//	go test ./batch/scheduler -run TestPolicyBench -policy-seeds 8 -policy-without moves,preemption -policy-json FILE
var (
	policySeeds   = flag.Int("policy-seeds", 0, "days of each scenario that the policy bench plays; 0: none")
	policyWithout = flag.String("policy-without", "", "mechanisms, separated by commas, each of which the policy bench plays without")
	policyJSON    = flag.String("policy-json", "", "file for the policy bench's results")
)

// fleet describes runners of one shape.
type fleet struct {
	racks, perRack int
	speeds         []float64 // work done per unit of time; the runners take turns
	capacity       batch.Resources
}

// scenario is a fleet with a load and faults.
type scenario struct {
	name    string
	fleet   fleet
	classes []class
	faulty  bool // runners crash, hang and turn slow, and the scheduler is replaced
}

const (
	scenarioLength = 35 * time.Second // time in which jobs are submitted
	scenarioSettle = 60 * time.Second // time after it in which they may end
	burstStart     = 8 * time.Second
	burstEnd       = 14 * time.Second
	servedFactor   = 3 // a job that ends later than this multiple of its objective is not served
)

var mixedSizes = []int64{1, 2, 4, 8, 8}

// scenarios differ in what is scarce and in how far runners differ in speed.
var scenarios = []scenario{
	{
		name:  "scarce memory, two speeds",
		fleet: fleet{8, 6, []float64{1.43, 1.43, 0.59}, batch.Resources{MilliCPU: 32000, MemoryMB: 131072, Accelerators: 8}},
		classes: []class{
			{name: "urgent", jobsPerSecond: 1.9, burst: 2, tasks: 3, spread: 0.8, sizes: mixedSizes, work: 2500 * time.Millisecond, workSpread: 0.5, estimateSpread: 0.9, gang: true, sameRack: 0.8, stretch: 1.5, latency: 250 * time.Millisecond, request: batch.Resources{MilliCPU: 3700, MemoryMB: 20000}, credit: 4, lateCredit: 0.8},
			{name: "large", priority: 1, jobsPerSecond: 0.5, burst: 1, tasks: 5, spread: 0.8, sizes: mixedSizes, work: 11 * time.Second, workSpread: 0.3, estimateSpread: 0.2, gang: true, sameRack: 0.6, stretch: 3, latency: time.Second, request: batch.Resources{MilliCPU: 13000, MemoryMB: 68000}, credit: 3, lateCredit: 0.9},
			{name: "plain", priority: 2, jobsPerSecond: 0.55, burst: 1, tasks: 16, spread: 0.8, sizes: []int64{1}, work: 7600 * time.Millisecond, workSpread: 0.3, estimateSpread: 0.2, checkpoints: true, stretch: 3, latency: 3 * time.Second, request: batch.Resources{MilliCPU: 2800, MemoryMB: 15000}, credit: 1, lateCredit: 0.3},
		},
		faulty: true,
	},
	{
		name:  "ample memory, three speeds",
		fleet: fleet{6, 6, []float64{1 / 0.6, 1, 1 / 1.6}, batch.Resources{MilliCPU: 128000, MemoryMB: 512000, Accelerators: 8}},
		classes: []class{
			{name: "urgent", jobsPerSecond: 1.6, burst: 2, tasks: 3, spread: 0.8, sizes: mixedSizes, work: 2500 * time.Millisecond, workSpread: 0.5, estimateSpread: 0.5, gang: true, sameRack: 0.5, stretch: 1.5, latency: 250 * time.Millisecond, request: batch.Resources{MilliCPU: 15000, MemoryMB: 20000}, credit: 4, lateCredit: 0.8},
			{name: "large", priority: 1, jobsPerSecond: 0.5, burst: 1, tasks: 4, spread: 0.8, sizes: mixedSizes, work: 8500 * time.Millisecond, workSpread: 0.3, estimateSpread: 0.2, gang: true, sameRack: 0.5, stretch: 3, latency: time.Second, request: batch.Resources{MilliCPU: 50000, MemoryMB: 60000}, credit: 3, lateCredit: 0.9},
			{name: "plain", priority: 2, jobsPerSecond: 0.4, burst: 2, tasks: 12, spread: 0.8, sizes: []int64{1}, work: 9500 * time.Millisecond, workSpread: 0.3, estimateSpread: 0.2, checkpoints: true, stretch: 3, latency: 3 * time.Second, request: batch.Resources{MilliCPU: 11000, MemoryMB: 15000}, credit: 1, lateCredit: 0.3},
		},
	},
	{
		name:  "scarce accelerators, even speeds",
		fleet: fleet{5, 8, []float64{1, 0.95, 1.05}, batch.Resources{MilliCPU: 64000, MemoryMB: 256000, Accelerators: 4}},
		classes: []class{
			{name: "urgent", jobsPerSecond: 1.2, burst: 2.5, tasks: 2, spread: 0.6, sizes: []int64{1, 2, 4}, work: 2 * time.Second, workSpread: 0.4, estimateSpread: 0.3, gang: true, sameRack: 0.5, stretch: 2, latency: 400 * time.Millisecond, request: batch.Resources{MilliCPU: 8000, MemoryMB: 20000}, credit: 4, lateCredit: 0.8},
			{name: "large", priority: 1, jobsPerSecond: 0.4, burst: 2, tasks: 6, spread: 0.5, sizes: []int64{1, 4}, work: 9 * time.Second, workSpread: 0.3, estimateSpread: 0.3, gang: true, stretch: 3, latency: time.Second, request: batch.Resources{MilliCPU: 16000, MemoryMB: 40000}, credit: 3, lateCredit: 0.9},
			{name: "plain", priority: 2, jobsPerSecond: 0.4, burst: 1, tasks: 8, spread: 0.8, sizes: []int64{1}, work: 6 * time.Second, workSpread: 0.3, estimateSpread: 0.2, stretch: 4, latency: 3 * time.Second, request: batch.Resources{MilliCPU: 4000, MemoryMB: 10000}, credit: 1, lateCredit: 0.3},
		},
		faulty: true,
	},
}

// served is what callers of one class got. Credit is the share of what the class
// could earn when a job in time earns its credit and a late one its late credit.
type served struct {
	Jobs, InTime, Late, Unserved int
	Credit, CreditOwed           float64
}

// dayResult is the result of one simulated day.
type dayResult struct {
	Classes    map[string]served
	Wasted     float64 // share of all core-seconds that was thrown away
	TotalWork  float64 `json:"-"`
	WastedWork float64 `json:"-"`
}

// creditShare returns the credit earned of all that could be earned.
func (d dayResult) creditShare() float64 {
	earned, owed := 0.0, 0.0
	for _, s := range d.Classes {
		earned, owed = earned+s.Credit, owed+s.CreditOwed
	}
	return earned / owed
}

func (d dayResult) unservedShare() float64 {
	unserved, jobs := 0, 0
	for _, s := range d.Classes {
		unserved, jobs = unserved+s.Unserved, jobs+s.Jobs
	}
	return float64(unserved) / float64(jobs)
}

// playScenario plays one day of a scenario without the given mechanisms.
func playScenario(t testing.TB, s scenario, seed uint64, off mechanism.Set) dayResult {
	w := newWorld(t, seed, faults{})
	w.off = off
	w.addFleet(s.fleet)
	w.startScheduler()
	w.run(1500 * time.Millisecond)
	arrivals := drawArrivals(s, seed)
	if s.faulty {
		w.drawFaults(seed)
	}
	began := w.now
	due := make(map[string]steady.Time)
	for _, a := range arrivals {
		w.run(began.Add(a.at).Sub(w.now))
		w.submit(a.job, a.work, false)
		due[a.job.ID] = w.now.Add(a.class.objective(a.work))
		w.submittedAt[a.job.ID] = w.now
	}
	w.run(scenarioSettle)
	result := dayResult{Classes: make(map[string]served), TotalWork: w.work, WastedWork: w.wasted, Wasted: w.wasted / w.work}
	for _, a := range arrivals {
		counts := result.Classes[a.class.name]
		ended, done := w.completedAt[a.job.ID]
		limit := w.submittedAt[a.job.ID].Add(servedFactor * a.class.objective(a.work))
		counts.count(a.class, done && !ended.After(due[a.job.ID]), done && !ended.After(limit))
		result.Classes[a.class.name] = counts
	}
	return result
}

func (s *served) count(c class, inTime, served bool) {
	s.Jobs++
	s.CreditOwed += c.credit
	switch {
	case inTime:
		s.InTime++
		s.Credit += c.credit
	case served:
		s.Late++
		s.Credit += c.lateCredit
	default:
		s.Unserved++
	}
}

// arrival is one job of a scenario.
type arrival struct {
	at    time.Duration
	class class
	job   batch.Job
	work  time.Duration
}

func drawArrivals(s scenario, seed uint64) []arrival {
	var out []arrival
	for i, c := range s.classes {
		rng := rand.New(rand.NewPCG(seed, uint64(10+i)))
		for at := time.Duration(0); at < scenarioLength; {
			rate := c.jobsPerSecond
			if at >= burstStart && at < burstEnd {
				rate *= c.burst
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			work := logNormal(rng, c.work, c.workSpread)
			out = append(out, arrival{at, c, c.draw(rng, fmt.Sprintf("%s%d", c.name, len(out)), work, s.fleet), work})
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

// logNormal draws a duration with the given mean and spread of its logarithm.
func logNormal(rng *rand.Rand, mean time.Duration, spread float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(spread*rng.NormFloat64()-spread*spread/2))
}

// draw draws a job of the class that fits the fleet.
func (c class) draw(rng *rand.Rand, id string, work time.Duration, f fleet) batch.Job {
	tasks := max(1, int(math.Round(float64(c.tasks)*math.Exp(c.spread*rng.NormFloat64()-c.spread*c.spread/2))))
	request := c.request
	request.Accelerators = c.sizes[rng.IntN(len(c.sizes))]
	if c.gang {
		tasks = min(tasks, f.racks*f.perRack/4)
	}
	sameRack := c.gang && rng.Float64() < c.sameRack
	if sameRack {
		tasks = min(tasks, f.perRack)
	}
	return batch.Job{
		ID: id, Queue: c.name, Organisation: "one", Priority: c.priority, Stretch: c.stretch, TargetLatency: c.latency,
		Steps: []batch.Step{{
			Tasks: tasks, Gang: c.gang, SameRack: sameRack, Checkpoints: c.checkpoints, Request: request,
			Estimate: logNormal(rng, work, c.estimateSpread),
		}},
	}
}

// objective returns the time within which a job of the given work is in time.
func (c class) objective(work time.Duration) time.Duration {
	return time.Duration(c.stretch*float64(work)) + c.latency
}

// addFleet adds the runners of a fleet.
func (w *world) addFleet(f fleet) {
	for rack := range f.racks {
		for i := range f.perRack {
			w.pool.Add(w.now, batch.Runner{
				ID: w.addRunnerID(rack, i), Service: "s", FailureDomain: fmt.Sprintf("fd%d", rack%4),
				Rack: fmt.Sprintf("rack%d", rack), Labels: []string{"a"}, Capacity: f.capacity,
			}, f.speeds[(rack*f.perRack+i)%len(f.speeds)])
		}
	}
}

// drawFaults schedules faults: a runner that crashes and reboots, two that hang,
// a sixth of them slow for some seconds, and a scheduler that is replaced.
func (w *world) drawFaults(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 77))
	at := func() time.Duration { return time.Duration(rng.Int64N(int64(scenarioLength))) }
	any := func() string { return w.runnerIDs[rng.IntN(len(w.runnerIDs))] }
	crashed, hanging := any(), []string{any(), any()}
	crash, hang, slow, replace := at(), at(), at(), at()
	w.after(crash, func() { w.pool.Crash(w.now, crashed) })
	w.after(crash+2*time.Second, func() { w.pool.Reboot(w.now, crashed) })
	for _, id := range hanging {
		w.after(hang, func() { w.pool.Runner(id).Hangs = true })
		w.after(hang+5*time.Second, func() { w.pool.Runner(id).Hangs = false })
	}
	for range len(w.runnerIDs) / 6 {
		id := any()
		usual := w.pool.Runner(id).Speed
		w.after(slow, func() { w.pool.Runner(id).Speed = usual / 6 })
		w.after(slow+7*time.Second, func() { w.pool.Runner(id).Speed = usual })
	}
	w.after(replace, w.killScheduler)
	w.after(replace+2200*time.Millisecond, w.startScheduler)
}

// playDays plays the days of a scenario with the seeds 0 to seeds-1, several at a
// time.
func playDays(t testing.TB, s scenario, seeds int, off mechanism.Set) []dayResult {
	out := make([]dayResult, seeds)
	var group sync.WaitGroup
	running := make(chan struct{}, 3)
	for seed := range seeds {
		running <- struct{}{}
		group.Go(func() {
			out[seed] = playScenario(t, s, uint64(seed), off)
			<-running
		})
	}
	group.Wait()
	return out
}

// comparison is the result of a policy beside that of the whole scheduler on the
// same days.
type comparison struct {
	Scenario, Without string
	Days              int
	Credit            float64 // mean over days of the share of the credit earned
	CreditGain        float64 // mean over days of the whole scheduler's credit less this one
	CreditGainError   float64 // half the width of its 95 % confidence interval
	Unserved, Wasted  float64 // shares of jobs and of core-seconds
	InTime            map[string]float64
}

func compare(s scenario, without string, whole, policy []dayResult) comparison {
	out := comparison{Scenario: s.name, Without: without, Days: len(policy), InTime: make(map[string]float64)}
	var credit, gain, unserved, wasted []float64
	jobs, inTime := make(map[string]int), make(map[string]int)
	for i, d := range policy {
		credit, gain = append(credit, d.creditShare()), append(gain, whole[i].creditShare()-d.creditShare())
		unserved, wasted = append(unserved, d.unservedShare()), append(wasted, d.Wasted)
		for name, c := range d.Classes {
			jobs[name], inTime[name] = jobs[name]+c.Jobs, inTime[name]+c.InTime
		}
	}
	out.Credit, out.Unserved, out.Wasted = stat.Mean(credit, nil), stat.Mean(unserved, nil), stat.Mean(wasted, nil)
	mean, deviation := stat.MeanStdDev(gain, nil)
	out.CreditGain, out.CreditGainError = mean, confidenceHalfWidth(deviation, len(gain))
	for name := range jobs {
		out.InTime[name] = float64(inTime[name]) / float64(jobs[name])
	}
	return out
}

// confidenceHalfWidth returns half the width of the 95 % confidence interval of a
// mean of n values with the given standard deviation.
func confidenceHalfWidth(deviation float64, n int) float64 {
	if n < 2 {
		return math.Inf(1)
	}
	quantile := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile(0.975)
	return quantile * stat.StdErr(deviation, float64(n))
}

// Compares policies over several seeds and prints what callers get with each.
func TestPolicyBench(t *testing.T) {
	if *policySeeds == 0 {
		return // not asked for
	}
	names := []string{""}
	if *policyWithout != "" {
		names = append(names, strings.Split(*policyWithout, ",")...)
	}
	var results []comparison
	for _, s := range scenarios {
		var whole []dayResult
		for _, name := range names {
			off := mechanism.Set{}
			if name != "" {
				parsed, err := mechanism.Parse([]string{name})
				must.NoError(t, err)
				off = parsed
			}
			days := playDays(t, s, *policySeeds, off)
			if whole == nil {
				whole = days
			}
			results = append(results, compare(s, name, whole, days))
		}
	}
	printComparisons(t, results)
	if *policyJSON != "" {
		text, err := json.MarshalIndent(results, "", "  ")
		must.NoError(t, err)
		must.NoError(t, os.WriteFile(*policyJSON, text, 0o644))
	}
}

func printComparisons(t *testing.T, results []comparison) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\twithout\tdays\tcredit\tworth of the mechanism\tunserved\twasted\tin time: urgent\tlarge\tplain")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%+.3f +- %.3f\t%.4f\t%.3f\t%.3f\t%.3f\t%.3f\n", r.Scenario, cmp.Or(r.Without, "nothing"), r.Days, r.Credit,
			r.CreditGain, r.CreditGainError, r.Unserved, r.Wasted, r.InTime["urgent"], r.InTime["large"], r.InTime["plain"])
	}
	must.NoError(t, table.Flush())
}

// wholeDays keeps the days that were played with the whole scheduler, by scenario, as
// several tests compare with them.
var wholeDays = struct {
	sync.Mutex
	played map[string][]dayResult
}{played: make(map[string][]dayResult)}

// playWholeDays returns the first days of a scenario, played with the whole scheduler.
func playWholeDays(t testing.TB, s scenario, days int) []dayResult {
	wholeDays.Lock()
	defer wholeDays.Unlock()
	if len(wholeDays.played[s.name]) < days {
		wholeDays.played[s.name] = playDays(t, s, days, mechanism.Set{})
	}
	return wholeDays.played[s.name][:days]
}

// mustEarnMore plays the first days of the scenarios with the whole scheduler and
// without a mechanism, and checks that the mechanism serves callers better: the
// jobs earn more credit, and no larger share of them is left unserved.
func mustEarnMore(t *testing.T, m mechanism.Mechanism, days int, in ...scenario) {
	var whole, without, wholeUnserved, withoutUnserved float64
	for _, s := range in {
		full, other := playWholeDays(t, s, days), playDays(t, s, days, mechanism.Without(m))
		for i := range full {
			whole, without = whole+full[i].creditShare(), without+other[i].creditShare()
			wholeUnserved, withoutUnserved = wholeUnserved+full[i].unservedShare(), withoutUnserved+other[i].unservedShare()
		}
	}
	n := float64(days * len(in))
	t.Logf("credit %.3f, without %s %.3f; unserved %.4f, %.4f", whole/n, m, without/n, wholeUnserved/n, withoutUnserved/n)
	must.Greater(t, without, whole)
	must.LessEq(t, withoutUnserved, wholeUnserved)
}

// Work that has time to spare fills slow runners as readily as others, which
// leaves the fast ones to urgent jobs.
func TestUsingSlowRunnersServesCallersBetter(t *testing.T) {
	mustEarnMore(t, mechanism.SlackTolerance, 6, scenarios[0], scenarios[1])
}

// Callers who declare nearly at random get more when the scheduler learns how little
// their declarations say.
func TestLearningDeclaredDurationsServesCallersBetter(t *testing.T) {
	mustEarnMore(t, mechanism.DurationFit, 8, scenarios[0])
}

// In a burst the free runners are the slow ones. Urgent jobs get more when they wait
// for fast runners that are expected to be free in time.
func TestWaitingForABetterOutcomeServesCallersBetter(t *testing.T) {
	mustEarnMore(t, mechanism.OutcomeWait, 8, scenarios[0])
}

// At the start of a deployment no runner's speed is known. Callers get more when the
// first jobs show the speeds of many runners.
func TestLearningTheSpeedsOfIdleRunnersServesCallersBetter(t *testing.T) {
	mustEarnMore(t, mechanism.Exploration, 4, scenarios[0], scenarios[1])
}
