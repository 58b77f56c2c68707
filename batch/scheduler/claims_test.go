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
	const tick = 50 * time.Millisecond
	longest, away := time.Duration(0), time.Duration(0)
	for range d / tick {
		w.run(tick)
		away += tick
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
