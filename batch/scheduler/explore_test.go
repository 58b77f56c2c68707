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

// faultAction is one action that may happen at the start of a simulated second.
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
	{"deliver next order late", func(w *world) {
		w.nextFaults = append(w.nextFaults, orderFault{answerLost: true, delay: 5 * time.Second})
	}},
	{"make runner unreachable", func(w *world) { w.unreachableUntil[w.busiest()] = w.now.Add(4 * time.Second) }},
	{"restart runner", func(w *world) {
		id := w.busiest()
		w.pool.Crash(w.now, id)
		w.pool.Reboot(w.now, id)
	}},
}

// busiest returns the runner with the most running tasks.
func (w *world) busiest() string {
	return slices.MaxFunc(w.allRunners(), func(a, b string) int {
		return w.pool.Runner(a).CountRuns() - w.pool.Runner(b).CountRuns()
	})
}

// sequenceLength is the number of seconds in a sequence, with one action at the
// start of each.
const sequenceLength = 4

// explore runs every sequence of fault actions. It returns their number and the
// first failure in alphabetical order: a violated invariant, or a job that is
// not done at the end.
func explore(t *testing.T, inject func(*world)) (sequences int, failure string) {
	var count atomic.Int64
	var mu sync.Mutex
	var group sync.WaitGroup
	total := 1
	for range sequenceLength {
		total *= len(faultActions)
	}
	workers := make(chan struct{}, 4)
	for n := range total {
		workers <- struct{}{}
		group.Go(func() {
			defer func() { <-workers }()
			count.Add(1)
			if found := runSequence(t, n, inject); found != "" {
				mu.Lock()
				defer mu.Unlock()
				if failure == "" || found < failure {
					failure = found
				}
			}
		})
	}
	group.Wait()
	return int(count.Load()), failure
}

func runSequence(t *testing.T, n int, inject func(*world)) string {
	w := newWorld(t, 1, faults{})
	w.collectViolations = true
	inject(w)
	w.addRunners(1, 2)
	w.startScheduler()
	w.run(1100 * time.Millisecond)
	w.submit(batch.Job{ID: "job", Priority: 1, Steps: []batch.Step{gang(1, 1, 6*time.Second)}}, 6*time.Second, false)
	names := ""
	for range sequenceLength {
		action := faultActions[n%len(faultActions)]
		n /= len(faultActions)
		names += action.name + "; "
		action.do(w)
		w.run(time.Second)
	}
	w.run(45 * time.Second)
	switch {
	case len(w.violations) > 0:
		return names + w.violations[0]
	case w.state("job") != batch.Completed:
		return names + fmt.Sprintf("the job is %q at the end", w.state("job"))
	}
	return ""
}

// Runs every sequence of four fault actions around one job: killed schedulers,
// lost and late orders, unreachable and restarted runners. The job's task never
// runs twice at the same time or after its recorded end, and is done in the
// end.
func TestJobRunsOnceUnderEveryFaultSequence(t *testing.T) {
	sequences, failure := explore(t, func(*world) {})
	t.Logf("%d sequences run", sequences)
	must.Eq(t, "", failure)
}

// The same search detects faults that are injected into the scheduler and its
// caller.
func TestExplorationDetectsInjectedFaults(t *testing.T) {
	for name, inject := range map[string]func(*world){
		"a new scheduler doesn't wait for leases it inherits": func(w *world) { w.skipInheritedWait = true },
		"ends are acknowledged before they are recorded":      func(w *world) { w.acknowledgeUnrecorded = true },
	} {
		t.Run(name, func(t *testing.T) {
			_, failure := explore(t, inject)
			t.Log(failure)
			must.NotEq(t, "", failure)
		})
	}
}
