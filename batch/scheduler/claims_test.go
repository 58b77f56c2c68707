package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
)

// restartLimit is how long a long-running task may be seen away: it is due again 6 s after its
// last run, and callers may see that for 3 s more.
const restartLimit = 9 * time.Second

// leaveNow takes a runner away, as if it had drained.
func (w *world) leaveNow(id string) {
	born := w.listedBorn[id]
	w.pool.Crash(w.now, id)
	w.leave(id, born)
}

// runnerWith returns a runner with a run of the job.
func (w *world) runnerWith(job string) string {
	for _, id := range w.allRunners() {
		if w.pool.CountJobRuns(id, job) > 0 {
			return id
		}
	}
	must.Unreachable(w.t, must.Sprint("no runner with a run of "+job))
	return ""
}

// longestAway runs the world for d and returns for how long on end a job had fewer runs than due.
func (w *world) longestAway(d time.Duration, job string, due int) time.Duration {
	longest, away := time.Duration(0), time.Duration(0)
	for range d / worldTick {
		w.run(worldTick)
		away += worldTick
		if total(w.runsOf(job)) >= due {
			away = 0
		}
		longest = max(longest, away)
	}
	return longest
}

// Guards against long-running tasks that aren't started again on runners reserved for a gang that
// can't start, as other long-running tasks are at work on them.
func TestLongRunningTasksRestartBesideAGangThatCanNotStart(t *testing.T) {
	w := faultFreeWorld(t, 1, 16)
	w.submit(batch.Job{ID: "failing", Priority: 2, Steps: []batch.Step{longRunning(accelerated(4, 5))}}, 14*time.Second, true)
	w.submit(batch.Job{ID: "lasting", Priority: 2, Steps: []batch.Step{longRunning(accelerated(12, 5))}}, time.Hour, false)
	w.run(time.Second)
	must.Eq(t, 4, total(w.runsOf("failing")))
	must.Eq(t, 12, total(w.runsOf("lasting")))
	w.submit(batch.Job{ID: "gang", Priority: 1, Stretch: 1.5, Steps: []batch.Step{gang(8, 8, 8*time.Second)}}, 8*time.Second, false)
	longest := w.longestAway(80*time.Second, "failing", 4)
	t.Logf("longest absence %s", longest)
	must.LessEq(t, restartLimit, longest)
}

// Guards against a long-running task that isn't started again on a runner that is reserved for a
// gang, although the gang waits for work that outlasts the time in which the task is due.
func TestLongRunningTaskRestartsOnARunnerReservedForAGangThatWaits(t *testing.T) {
	w := faultFreeWorld(t, 1, 4)
	w.submit(batch.Job{ID: "urgent", Steps: []batch.Step{accelerated(2, 8)}}, 40*time.Second, false)
	w.run(time.Second)
	w.submit(batch.Job{ID: "lasting", Priority: 2, Steps: []batch.Step{longRunning(accelerated(1, 4))}}, time.Hour, false)
	w.run(time.Second)
	w.submit(batch.Job{ID: "gang", Priority: 1, Stretch: 1.5, Steps: []batch.Step{gang(2, 8, 8*time.Second)}}, 8*time.Second, false)
	w.run(8 * time.Second)
	must.Eq(t, 0, total(w.runsOf("gang")))
	w.leaveNow(w.runnerWith("lasting"))
	longest := w.longestAway(30*time.Second, "lasting", 1)
	t.Logf("longest absence %s", longest)
	must.LessEq(t, restartLimit, longest)
	w.run(40 * time.Second)
	must.Eq(t, batch.Completed, w.state("gang"))
}

// besideFillers returns how often tasks of both jobs are on one runner.
func (w *world) besideFillers(serving, filling string) int {
	n := 0
	a, b := w.runsOf(serving), w.runsOf(filling)
	for _, id := range w.allRunners() {
		if a[id] > 0 && b[id] > 0 {
			n++
		}
	}
	return n
}

func lastingFillers(tasks int) batch.Step {
	s := longRunning(fillingStep(tasks))
	s.Request.Accelerators = 0
	return s
}

// Guards against a task that serves users and isn't started again when there are tasks that use
// idle CPU on all runners that are left.
func TestServingTaskRestartsBesideFillersOnAllOtherRunners(t *testing.T) {
	w := faultFreeWorld(t, 1, 6)
	w.submit(batch.Job{ID: "serving", Priority: 1, Steps: []batch.Step{servingStep(1)}}, time.Hour, false)
	w.run(time.Second)
	fillers := lastingFillers(5)
	fillers.PerRunner = 1
	w.submit(batch.Job{ID: "filling", Priority: 2, Steps: []batch.Step{fillers}}, time.Hour, false)
	w.run(2 * time.Second)
	must.Eq(t, 5, total(w.runsOf("filling")))
	w.leaveNow(w.runnerWith("serving"))
	longest := w.longestAway(20*time.Second, "serving", 1)
	t.Logf("longest absence %s", longest)
	must.LessEq(t, restartLimit, longest)
	must.Eq(t, 4, total(w.runsOf("filling"))) // one runner is enough
	must.Eq(t, 0, w.besideFillers("serving", "filling"))
}

// Tasks that use idle CPU are stopped for one that serves users only as far as their step allows:
// here one at a time, so that a runner with several of them is emptied one after the other.
func TestFillersAreStoppedOnlyAsFarAsTheirStepAllows(t *testing.T) {
	const fillers = 3
	w := faultFreeWorld(t, 2, 2)
	elsewhere := longRunning(accelerated(2, 8)) // leaves no room for fillers
	elsewhere.Label, elsewhere.Request.MemoryMB = "rack1", 128000
	serving := servingStep(1)
	serving.Label = "rack0"
	w.submit(batch.Job{ID: "elsewhere", Priority: 1, Steps: []batch.Step{elsewhere}}, time.Hour, false)
	w.submit(batch.Job{ID: "serving", Priority: 1, Steps: []batch.Step{serving}}, time.Hour, false)
	w.run(time.Second)
	step := lastingFillers(fillers)
	step.MaxUnavailable = 1
	w.submit(batch.Job{ID: "filling", Priority: 2, Steps: []batch.Step{step}}, time.Hour, false)
	w.run(2 * time.Second)
	must.Eq(t, fillers, w.runsOf("filling")[w.runnerWith("filling")])
	w.cancel("elsewhere")
	w.run(time.Second)
	w.leaveNow(w.runnerWith("serving"))
	least, away := fillers, time.Duration(0)
	for total(w.runsOf("serving")) == 0 && away < 2*restartLimit {
		w.run(worldTick)
		least = min(least, total(w.runsOf("filling")))
		away += worldTick
	}
	t.Logf("away for %s", away)
	must.LessEq(t, restartLimit, away)
	must.Eq(t, fillers-1, least)
	w.run(3 * time.Second)
	must.Eq(t, fillers, total(w.runsOf("filling")))
	must.Eq(t, 0, w.besideFillers("serving", "filling"))
}
