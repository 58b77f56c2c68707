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

// Guards against a task that waits for a start which nothing can carry out any more: its runner is
// gone, and another one has its address. Guards as well against a start elsewhere that comes too
// early: a runner may come back under its ID while the start may be carried out, or be partitioned.
func TestStartIsOverOnceItCannotBeCarriedOutAndAnotherRunnerHasTheAddress(t *testing.T) {
	const sentTo, elsewhere = "10.0.0.1:80", "10.0.0.2:80"
	type hold struct {
		address string // where another runner answered it; empty: nobody did
	}
	taken := hold{sentTo}
	always := func(second int) hold { return taken }
	for name, test := range map[string]struct {
		holds     func(second int) hold
		sentTo    string // address of a second try; empty: there is none
		listed    bool
		inherited bool
		startsAt  int // second at which the task starts on the other runner
	}{
		"answered by another runner from the beginning": {holds: always, startsAt: 13},
		"since a second ago": {holds: func(second int) hold {
			if second < 12 {
				return hold{}
			}
			return taken
		}, startsAt: 14},
		"one hold has no answer": {holds: func(second int) hold {
			if second == 12 {
				return hold{}
			}
			return taken
		}, startsAt: 15},
		"not once the start can't be carried out": {holds: func(second int) hold {
			if second > 12 {
				return hold{}
			}
			return taken
		}, startsAt: 19},
		"never":                      {holds: func(int) hold { return hold{} }, startsAt: 19},
		"at another address":         {holds: func(int) hold { return hold{elsewhere} }, startsAt: 19},
		"tries to two addresses":     {holds: always, sentTo: elsewhere, startsAt: 19},
		"two tries to the address":   {holds: always, sentTo: sentTo, startsAt: 13},
		"the runner is listed":       {holds: always, listed: true, startsAt: 19},
		"start of an earlier leader": {holds: always, inherited: true, startsAt: 19},
	} {
		t.Run(name, func(t *testing.T) {
			var recorded *batch.Progress
			if test.inherited {
				recorded = &batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Attempt: 1, Runner: "r", Open: true}}}
			}
			w, order := newTwoRunners(t, recorded)
			if !test.inherited {
				order.Runner.Address = sentTo
				w.NoteStartSent(order, w.now)
				w.NoteStartUnanswered(order)
			}
			if test.sentTo != "" {
				order.Runner.Address = test.sentTo
				w.NoteStartSent(order, w.now)
				w.NoteStartUnanswered(order)
			}
			w.RunnerUnreachable("r")
			if !test.listed {
				w.RunnerUnlisted("r")
			}
			for second := 1; second <= 20; second++ {
				w.at(time.Duration(second) * time.Second)
				w.report("q", batch.Report{Born: 1})
				if h := test.holds(second); h.address != "" {
					w.AddressTaken("r", h.address, w.now)
				} else {
					w.AddressNotTaken("r")
				}
				if on := starts(w.decide()); len(on) > 0 {
					must.Eq(t, []string{"q"}, on)
					must.Eq(t, test.startsAt, second)
					return
				}
			}
			t.Fatal("the task was not started on the other runner")
		})
	}
}

// Guards against a second run of a task: a hold that another runner answered is older than a
// report of the runner, which has come back.
func TestReportOutranksAnEarlierAnswerOfAnotherRunner(t *testing.T) {
	w, order := newTwoRunners(t, nil)
	order.Runner.Address = "10.0.0.1:80"
	w.NoteStartSent(order, w.now)
	w.NoteStartUnanswered(order)
	w.RunnerUnlisted("r")
	w.at(testLateOrders + time.Second)
	w.AddressTaken("r", order.Runner.Address, w.now)
	asked := w.now.Add(3 * time.Second)
	w.at(testLateOrders + 5*time.Second)
	w.HandleReport("r", w.now, batch.Report{Born: 1, Running: []batch.RunningTask{{Task: order.Task, Attempt: 1}}}, w.now)
	w.AddressTaken("r", order.Runner.Address, asked)
	w.report("q", batch.Report{Born: 1})
	must.SliceEmpty(t, starts(w.decide()))
	must.True(t, w.RunnerNeeded("r"))
}

// Guards against tasks that run twice: a runner crashes behind a cut, another one answers at its
// address once the cut is over, and the runner comes back there under its ID while a start of it
// is late or kept.
func TestNothingRunsTwiceWhenAnotherRunnerHasTheAddressForAWhile(t *testing.T) {
	const seeds = 6
	for name, f := range map[string]faults{
		"kept":          {lost: 0.05, keptOrders: true, keptHolds: true},
		"late":          {lateOrders: 0.4, lateHolds: 0.1},
		"late and kept": {lateOrders: 0.3, lateHolds: 0.1, keptOrders: true, keptHolds: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var violations []string
			for seed := range uint64(seeds) {
				for _, v := range runReplacedRunners(t, seed, f) {
					violations = append(violations, fmt.Sprintf("seed %d: %s", seed, v))
				}
			}
			must.SliceEmpty(t, violations, must.Sprint(strings.Join(violations, "\n")))
		})
	}
}

func runReplacedRunners(t *testing.T, seed uint64, f faults) []string {
	w := newWorld(t, seed, f)
	w.collectViolations, w.repeats, w.entriesNameIncarnations = true, seed%2 == 0, true
	w.addRunners(2, 3)
	w.startScheduler()
	rng := rand.New(rand.NewPCG(seed, 5))
	within := func(atLeast, spread time.Duration) time.Duration {
		return atLeast + time.Duration(rng.Int64N(int64(spread)))
	}
	away := make(map[string]bool)
	replace := func(id string) {
		away[id] = true
		crash := within(200*time.Millisecond, time.Second)
		if rng.IntN(2) == 0 {
			w.cutOff(id, within(time.Second, 6*time.Second))
		}
		w.after(crash, func() {
			w.pool.Crash(w.now, id)
			w.replaced[id] = true
		})
		w.after(crash+within(500*time.Millisecond, 4*time.Second), func() {
			if w.core != nil {
				w.core.RunnerUnlisted(id)
			}
		})
		w.after(crash+within(7*time.Second, 6*time.Second), func() {
			w.replaced[id], away[id] = false, false
			w.pool.Reboot(w.now, id)
			w.listRestarted(id)
		})
	}
	for second := range 40 {
		for i := range 2 {
			w.submit(randomJob(rng, fmt.Sprintf("job%02d-%d", second, i)), within(300*time.Millisecond, 4*time.Second), false)
		}
		if victim := w.allRunners()[rng.IntN(len(w.allRunners()))]; second%2 == 0 && !away[victim] {
			replace(victim)
		}
		w.run(time.Second)
	}
	w.faults = faults{}
	w.run(240 * time.Second)
	for id := range w.jobs {
		if got := w.state(id); got != batch.Completed {
			w.violations = append(w.violations, fmt.Sprintf("job %s is %q", id, got))
		}
	}
	return w.violations
}
