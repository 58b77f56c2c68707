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

// Guards against a lasting task that is away for longer than the 7 s after a disruption in which
// it must be back: two starts of it are lost, and its runner is well.
func TestLastingTaskIsBackSoonAfterLostStarts(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addRunners(2, 3)
	w.startScheduler()
	w.run(2 * time.Second)
	w.nextFaults = []orderFault{{lost: true}, {lost: true}}
	w.submit(batch.Job{ID: "lasting", Organisation: "one", Queue: "q", Priority: 1, Steps: []batch.Step{servingStep(1)}}, time.Hour, false)
	for len(w.nextFaults) > 0 {
		w.run(worldTick)
	}
	w.run(answerTimeout) // the end of the disruption
	running := func() (n int) {
		for _, c := range w.runsOf("lasting") {
			n += c
		}
		return n
	}
	for range 700 {
		if running() > 0 {
			return
		}
		w.run(worldTick)
	}
	must.Unreachable(t, must.Sprint("nothing runs 7 s after the last lost start"))
}

// faultMixes are combinations of faults, by name.
var faultMixes = map[string]faults{
	"lost":              {lost: 0.1},
	"kept":              {lost: 0.05, keptOrders: true, keptHolds: true},
	"late":              {lateOrders: 0.2, lateHolds: 0.2},
	"late and kept":     {lost: 0.05, lateOrders: 0.1, lateHolds: 0.1, keptOrders: true, keptHolds: true},
	"late starts, lost": {lost: 0.1, lateOrders: 0.1},
}

// Runners restart, twice in a row or with a departure between, are cut off, schedulers are killed
// in series, orders are lost, late or kept, and reports and entries of earlier incarnations arrive
// after those of the next ones, all at once. Nothing runs twice, no runner is
// filled over its capacity, and all jobs end afterwards.
func TestNothingRunsTwiceWhenAllFaultsActTogether(t *testing.T) {
	const seeds = 8
	for name, f := range faultMixes {
		for _, unguarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unguarded %t", name, unguarded), func(t *testing.T) {
				t.Parallel()
				var violations []string
				for seed := range uint64(seeds) {
					for _, v := range runAllFaults(t, seed, f, unguarded) {
						violations = append(violations, fmt.Sprintf("seed %d: %s", seed, v))
					}
				}
				must.SliceEmpty(t, violations, must.Sprint(strings.Join(violations, "\n")))
			})
		}
	}
}

// Guards against the same as TestStoppedStartUnderWayKeepsItsRoomOnARunnerThatDoesNotGuardIt: three
// starts to one runner are kept, two of them stopped, and its next incarnation carries all out.
func TestRunnerIsNotFilledByStartsThatItsNextIncarnationCarriesOut(t *testing.T) {
	must.SliceEmpty(t, runAllFaults(t, 12, faultMixes["late"], true))
}

// evidenceShares are the shares of reports that are late, and of restarts after which an earlier
// entry is listed again, that are drawn.
var evidenceShares = []float64{0, 0.1, 0.4}

func runAllFaults(t *testing.T, seed uint64, f faults, unguarded bool) []string {
	w := newWorld(t, seed, f)
	w.collectViolations, w.unguarded, w.repeats = true, unguarded, seed%2 == 0
	w.entriesNameIncarnations, w.confirmsDepartures = seed%3 != 0, seed%8 >= 6
	w.addRunners(2, 3)
	w.startScheduler()
	rng := rand.New(rand.NewPCG(seed, 4))
	cancelled := make(map[string]bool)
	ids := w.allRunners()
	entries := rand.New(rand.NewPCG(seed, 5))
	w.lateReports, w.relisted = evidenceShares[entries.IntN(len(evidenceShares))], evidenceShares[entries.IntN(len(evidenceShares))]
	restart := func(id string) {
		before := w.pool.Runner(id).Runner
		w.pool.Crash(w.now, id)
		w.cutOff(id, 600*time.Millisecond)
		left := rng.IntN(4) == 0
		w.after(300*time.Millisecond, func() {
			if left {
				w.leave(id, w.listedBorn[id])
			}
		})
		w.after(600*time.Millisecond, func() { w.pool.Reboot(w.now, id) })
		listed := time.Duration(700+rng.IntN(1500)) * time.Millisecond
		w.after(listed, func() { w.listRestarted(id) })
		if w.relisted > 0 && entries.Float64() < w.relisted { // until the next heartbeat
			again := listed + time.Duration(entries.IntN(4000))*time.Millisecond
			w.after(again, func() { w.listEntry(before) })
			if entries.IntN(2) == 0 { // the entry is deleted, as that incarnation has left
				w.after(again+time.Duration(entries.IntN(1000))*time.Millisecond, func() { w.leave(id, before.Born) })
			}
			w.after(again+time.Duration(entries.IntN(1500))*time.Millisecond, func() { w.listRestarted(id) })
		}
	}
	for second := range 40 {
		for i := range 3 {
			id := fmt.Sprintf("job%02d-%d", second, i)
			w.submit(randomJob(rng, id), time.Duration(300+rng.IntN(4000))*time.Millisecond, false)
		}
		victim := ids[rng.IntN(len(ids))]
		switch rng.IntN(10) {
		case 0:
			for n := range 1 + rng.IntN(3) { // schedulers in series
				at := time.Duration(n*3000+rng.IntN(2000)) * time.Millisecond
				w.after(at, w.killScheduler)
				w.after(at+time.Duration(200+rng.IntN(1500))*time.Millisecond, w.startSchedulerIfNone)
			}
		case 1, 2, 3:
			restart(victim)
			if rng.IntN(2) == 0 {
				w.after(time.Duration(1500+rng.IntN(6000))*time.Millisecond, func() { restart(victim) })
			}
			if rng.IntN(2) == 0 {
				w.after(time.Duration(700+rng.IntN(2000))*time.Millisecond, func() { w.cutOff(victim, 9*time.Second) })
			}
		case 4, 5:
			w.cutOff(victim, time.Duration(1+rng.IntN(9))*time.Second)
		case 6:
			id := fmt.Sprintf("job%02d-%d", rng.IntN(second+1), rng.IntN(3))
			cancelled[id] = true
			w.cancel(id)
		}
		w.run(time.Second)
	}
	w.faults = faults{}
	w.run(15 * time.Second)
	w.startSchedulerIfNone()
	w.run(240 * time.Second)
	for id := range w.jobs {
		got := w.state(id)
		if got != batch.Completed && !(cancelled[id] && (got == batch.Cancelled || got == "")) {
			w.violations = append(w.violations, fmt.Sprintf("job %s is %q", id, got))
		}
	}
	return w.violations
}

// Guards against ends that are never acknowledged, and runs whose ends are left out of reports:
// starts to their runner follow one another so that one is always under way.
func TestEndsAreAcknowledgedBetweenStarts(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addRunners(1, 1)
	w.startScheduler()
	w.run(2 * time.Second)
	small := batch.Step{Tasks: 1, Request: batch.Resources{MilliCPU: 100, MemoryMB: 100}, Estimate: 200 * time.Millisecond}
	longest, since := time.Duration(0), w.now
	for n := range 1500 {
		w.submit(batch.Job{ID: fmt.Sprintf("j%04d", n), Organisation: "one", Queue: "q", Priority: 1, Steps: []batch.Step{small}}, 200*time.Millisecond, false)
		before := len(w.doneAt)
		w.run(worldTick)
		if len(w.doneAt) > before {
			since = w.now
		}
		longest = max(longest, w.now.Sub(since))
	}
	w.run(time.Second)
	done := 0
	for id := range w.jobs {
		if w.state(id) == batch.Completed {
			done++
		}
	}
	must.LessEq(t, 2*time.Second, longest, must.Sprintf("%d of %d jobs are completed", done, len(w.jobs)))
}
