package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
)

const randomSeeds = 60

// Schedulers are killed, runners crash, restart and become unreachable, and
// orders and answers get lost or late. No task runs twice at the same time,
// none starts before the steps that it comes after are done or after its
// recorded end, and every job ends once the faults are over.
func TestNothingRunsTwiceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, faults{lost: 0.08})
			w.addRunners(4, 3)
			w.startScheduler()
			rng := rand.New(rand.NewPCG(seed, 2))
			cancelled := runRandomFaults(w, rng)
			w.faults.lost = 0
			if w.core == nil {
				w.startScheduler()
			}
			w.run(120 * time.Second)
			for id := range w.jobs {
				want := batch.Completed
				if cancelled[id] {
					want = batch.Cancelled
				}
				got := w.state(id)
				must.True(t, got == want || cancelled[id] && got == batch.Completed, must.Sprintf("job %s is %q", id, got))
			}
		})
	}
}

// Runners restart under their ids and are cut off soon after, and holds that were sent to
// the earlier incarnation are carried out late by the new one. Guards against tasks that run
// twice, as such a hold extends the lease to the longest one and drops the ends up to a
// number of the earlier incarnation. With a new incarnation that is not fenced, some do.
func TestNothingRunsTwiceWhenLateHoldsReachRestartedRunners(t *testing.T) {
	const seeds = 30
	for name, skipFence := range map[string]bool{"fenced": false, "not fenced": true} {
		t.Run(name, func(t *testing.T) {
			var violations []string
			for seed := range uint64(seeds) {
				violations = append(violations, runRestartsAndCuts(t, seed, skipFence)...)
			}
			must.Eq(t, skipFence, len(violations) > 0, must.Sprint(violations))
		})
	}
}

// restartsAndCuts is how runners restart and are cut off.
type restartsAndCuts struct {
	faults
	skipFence  bool
	listed     bool // the store shows each restart soon
	killLeader bool // a scheduler is killed between a restart and the cut
	behindCut  bool // runners restart while they are cut off
	shortJobs  bool // short jobs are submitted all the time, so that starts are under way
}

// waysOfRestartsAndCuts are the combinations of restarts and cuts, by name.
var waysOfRestartsAndCuts = map[string]restartsAndCuts{
	"restart is listed":                   {listed: true},
	"restart is not listed":               {},
	"behind the cut, listed":              {behindCut: true, listed: true},
	"behind the cut, not listed":          {behindCut: true},
	"leader is killed, restart is listed": {killLeader: true, listed: true},
	"leader is killed, behind the cut":    {killLeader: true, behindCut: true, listed: true},
	"leader is killed, nothing is listed": {killLeader: true},
	"leader killed, behind cut, unlisted": {killLeader: true, behindCut: true},
}

// Guards against tasks that run twice: a start that is kept by a partition is carried out by
// the runner's next incarnation when the partition ends.
func TestNothingRunsTwiceWhenPartitionsKeepStarts(t *testing.T) {
	testRestartsAndCuts(t, 12, faults{keptOrders: true})
}

// Guards against the same, when a hold that is kept as well drops the end of the kept start's run.
func TestNothingRunsTwiceWhenKeptStartsReachRestartedRunners(t *testing.T) {
	testRestartsAndCuts(t, 30, faults{keptOrders: true, keptHolds: true})
}

// Guards against tasks that run twice: a runner's next incarnation carries out a start that
// was sent to the earlier one up to 10 s before.
func TestNothingRunsTwiceWhenLateStartsReachRestartedRunners(t *testing.T) {
	testRestartsAndCuts(t, 30, faults{lateOrders: 0.3, lateHolds: 0.3})
}

func testRestartsAndCuts(t *testing.T, seeds uint64, f faults) {
	for name, how := range waysOfRestartsAndCuts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			how.faults, how.shortJobs = f, true
			var violations []string
			for seed := range seeds {
				for _, v := range how.run(t, seed) {
					violations = append(violations, fmt.Sprintf("seed %d: %s", seed, v))
				}
			}
			must.SliceEmpty(t, violations, must.Sprint(strings.Join(violations, "\n")))
		})
	}
}

// runRestartsAndCuts runs long and short tasks while runners restart and are cut off, and
// returns the violations.
func runRestartsAndCuts(t *testing.T, seed uint64, skipFence bool) []string {
	return restartsAndCuts{faults: faults{lateHolds: 0.3}, skipFence: skipFence}.run(t, seed)
}

func (how restartsAndCuts) run(t *testing.T, seed uint64) []string {
	w := newWorld(t, seed, how.faults)
	w.skipFence, w.collectViolations, w.entriesNameIncarnations = how.skipFence, true, how.listed
	w.addRunners(2, 3)
	w.startScheduler()
	w.run(2 * time.Second)
	rng := rand.New(rand.NewPCG(seed, 3))
	for round := range 3 {
		for i := range 6 {
			work := []time.Duration{2 * time.Second, 15 * time.Second}[i%2]
			w.submit(randomJob(rng, fmt.Sprintf("job%d-%d", round, i)), work, false)
		}
		if how.shortJobs {
			submitShortJobs(w, rng, round)
		}
		w.run(time.Duration(1000+rng.IntN(3000)) * time.Millisecond)
		for _, id := range w.allRunners()[:3] { // one failure domain
			how.restart(w, id, rng)
		}
		if how.killLeader {
			killAfter := time.Duration(rng.IntN(2500)) * time.Millisecond
			w.after(killAfter, w.killScheduler)
			w.after(killAfter+2*time.Second, w.startSchedulerIfNone)
		}
		w.run(14 * time.Second)
	}
	return w.violations
}

// submitShortJobs has jobs of one short task each submitted in the next 15 s.
func submitShortJobs(w *world, rng *rand.Rand, round int) {
	const interval, jobs = 100 * time.Millisecond, 150
	for i := range jobs {
		j := batch.Job{ID: fmt.Sprintf("short%d-%d", round, i), Organisation: "one", Queue: "q", Priority: rng.IntN(2), TargetLatency: time.Second, Steps: []batch.Step{{
			Tasks: 1, Request: batch.Resources{MilliCPU: 2000, MemoryMB: 1000, Accelerators: 1}, Estimate: 2 * time.Second,
		}}}
		work := time.Duration(500+rng.IntN(4000)) * time.Millisecond
		w.after(time.Duration(i)*interval, func() { w.submit(j, work, false) })
	}
}

// restart crashes a runner, restarts it and cuts it off.
func (how restartsAndCuts) restart(w *world, id string, rng *rand.Rand) {
	crashAfter, cutAt := time.Duration(0), 600*time.Millisecond+time.Duration(rng.IntN(3000))*time.Millisecond
	if how.behindCut {
		crashAfter, cutAt = time.Duration(1+rng.IntN(2000))*time.Millisecond, time.Duration(0)
	}
	w.after(crashAfter, func() {
		w.pool.Crash(w.now, id)
		w.cutOff(id, 600*time.Millisecond)
	})
	w.after(crashAfter+600*time.Millisecond, func() {
		w.pool.Reboot(w.now, id)
		if how.listed {
			w.after(time.Second, func() { w.listRestarted(id) })
		}
	})
	w.after(cutAt, func() { w.cutOff(id, 9*time.Second) })
}

// runRandomFaults submits random jobs for 25 s and injects random faults for
// 40 s. It returns the cancelled jobs.
func runRandomFaults(w *world, rng *rand.Rand) map[string]bool {
	cancelled := make(map[string]bool)
	ids := w.allRunners()
	for second := range 40 {
		if second < 25 {
			w.submit(randomJob(rng, fmt.Sprintf("job%02d", second)), time.Duration(500+rng.IntN(4000))*time.Millisecond, false)
		}
		victim := ids[rng.IntN(len(ids))]
		switch rng.IntN(14) {
		case 0:
			w.killScheduler()
			w.after(time.Duration(1+rng.IntN(4))*time.Second, w.startSchedulerIfNone)
		case 1:
			w.pool.Crash(w.now, victim)
			w.after(time.Duration(rng.IntN(3000))*time.Millisecond, func() { w.pool.Reboot(w.now, victim) })
		case 2, 3:
			w.unreachableUntil[victim] = w.now.Add(time.Duration(1+rng.IntN(9)) * time.Second)
		case 4:
			id := fmt.Sprintf("job%02d", rng.IntN(second+1))
			if w.jobs[id] != nil {
				cancelled[id] = true
				w.cancel(id)
			}
		case 5:
			w.pool.Runner(victim).Hangs = true
			w.after(5*time.Second, func() { w.pool.Runner(victim).Hangs = false })
		}
		w.run(time.Second)
	}
	return cancelled
}

func (w *world) startSchedulerIfNone() {
	if w.core == nil {
		w.startScheduler()
	}
}

func randomJob(rng *rand.Rand, id string) batch.Job {
	first := randomStep(rng)
	steps := []batch.Step{first}
	if rng.IntN(3) == 0 {
		second := randomStep(rng)
		second.After = []int{0}
		steps = append(steps, second)
	}
	return batch.Job{ID: id, Organisation: "one", Queue: "q", Priority: rng.IntN(3), Steps: steps, TargetLatency: time.Second}
}

func randomStep(rng *rand.Rand) batch.Step {
	s := batch.Step{
		Tasks:       1 + rng.IntN(4),
		Request:     batch.Resources{MilliCPU: 4000, MemoryMB: 8000, Accelerators: int64(1 + rng.IntN(4))},
		Estimate:    2 * time.Second,
		Gang:        rng.IntN(2) == 0,
		Checkpoints: rng.IntN(2) == 0,
	}
	if s.Gang {
		s.SameRack = rng.IntN(2) == 0
	}
	return s
}
