package scheduler_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
)

// faultAction is one thing that may happen in a second of the explored day.
type faultAction struct {
	name string
	do   func(w *world)
}

var faultActions = []faultAction{
	{"nothing", func(*world) {}},
	{"kill scheduler", func(w *world) {
		w.killScheduler()
		w.after(1500*time.Millisecond, w.startSchedulerIfNone)
	}},
	{"lose next order", func(w *world) { w.nextFaults = append(w.nextFaults, orderFault{lost: true, answerLost: true}) }},
	{"lose next answer", func(w *world) { w.nextFaults = append(w.nextFaults, orderFault{answerLost: true}) }},
	{"carry next order out late", func(w *world) {
		w.nextFaults = append(w.nextFaults, orderFault{answerLost: true, delay: 5 * time.Second})
	}},
	{"cut runner off", func(w *world) { w.unreachableUntil[w.busiest()] = w.now.Add(4 * time.Second) }},
	{"restart runner", func(w *world) {
		id := w.busiest()
		w.pool.Crash(w.now, id)
		w.pool.Reboot(w.now, id)
	}},
}

// busiest returns the runner that runs most.
func (w *world) busiest() string {
	return slices.MaxFunc(w.ids(), func(a, b string) int {
		return w.pool.Runner(a).Running() - w.pool.Runner(b).Running()
	})
}

const exploredSeconds = 4 // with one move at the start of each

// explore plays every sequence of moves and returns how many there were and the
// first that broke a rule or left the job undone.
func explore(t *testing.T, plant func(*world)) (played int, broken string) {
	var count atomic.Int64
	var mu sync.Mutex
	var group sync.WaitGroup
	total := 1
	for range exploredSeconds {
		total *= len(faultActions)
	}
	workers := make(chan struct{}, 4)
	for n := range total {
		workers <- struct{}{}
		group.Go(func() {
			defer func() { <-workers }()
			count.Add(1)
			if found := playSequence(t, n, plant); found != "" {
				mu.Lock()
				defer mu.Unlock()
				if broken == "" || found < broken {
					broken = found
				}
			}
		})
	}
	group.Wait()
	return int(count.Load()), broken
}

func playSequence(t *testing.T, n int, plant func(*world)) string {
	w := newWorld(t, 1, faults{})
	w.collectViolations = true
	plant(w)
	w.addRunners(1, 2)
	w.startScheduler()
	w.run(1100 * time.Millisecond)
	w.submit(batch.Job{ID: "filing", Priority: 1, Steps: []batch.Step{gang(1, 1, 6*time.Second)}}, 6*time.Second, false)
	names := ""
	for range exploredSeconds {
		m := faultActions[n%len(faultActions)]
		n /= len(faultActions)
		names += m.name + "; "
		m.do(w)
		w.run(time.Second)
	}
	w.run(45 * time.Second)
	switch {
	case len(w.violations) > 0:
		return names + w.violations[0]
	case w.state("filing") != batch.Completed:
		return names + fmt.Sprintf("the job is %q at the end", w.state("filing"))
	}
	return ""
}

// Every sequence of four moves around one filing: kills, lost and late orders,
// cuts and restarts. It runs once at a time, never after its recorded end, and
// is done in the end.
func TestJobRunsOnceUnderEveryFaultSequence(t *testing.T) {
	played, broken := explore(t, func(*world) {})
	t.Logf("%d sequences played", played)
	must.Eq(t, "", broken)
}

// The same search finds what is planted.
func TestExplorationDetectsInjectedFaults(t *testing.T) {
	for name, plant := range map[string]func(*world){
		"a new scheduler doesn't wait for leases it inherits": func(w *world) { w.skipInheritedWait = true },
		"ends are acknowledged before they are recorded":      func(w *world) { w.acknowledgeUnrecorded = true },
	} {
		t.Run(name, func(t *testing.T) {
			_, broken := explore(t, plant)
			t.Log(broken)
			must.NotEq(t, "", broken)
		})
	}
}
