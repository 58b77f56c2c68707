package runner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/dispatch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/standin/runner"
)

// Two crash faults of one runner may overlap: the second reboot then meets a
// runner that is up and has runs. Their ends must be reported, because an observer
// would otherwise take the next attempt for a second run of the task.
func TestRebootOfARunningRunnerReportsTheEndsOfItsRuns(t *testing.T) {
	now := steady.Time(1000 * time.Second)
	task := batch.TaskID{Job: "j"}
	var ended []batch.TaskID
	p := runner.New(runner.Options{
		DescribeTask: func(batch.TaskID, string) runner.Task { return runner.Task{Work: time.Minute} },
		OnEnd: func(_ steady.Time, _ string, task batch.TaskID, _ int, _ batch.EndReason) {
			ended = append(ended, task)
		},
	})
	p.Add(now, batch.Runner{ID: "r"}, 1)
	p.Crash(now, "r")
	p.Reboot(now, "r")
	answer := p.Start(now, "r", dispatch.StartOrder{Task: task, Attempt: 1, Deadline: time.Minute})
	must.Eq(t, dispatch.Accepted, answer)
	must.SliceEmpty(t, ended)

	p.Reboot(now.Add(time.Second), "r")
	must.Eq(t, []batch.TaskID{task}, ended)
	must.Eq(t, 0, p.CountTaskRuns(task))
}

// A lease is shortened to the longest one, counted from when the order is carried out, also
// if the order's deadline is on the clock of an earlier incarnation.
func TestLeaseIsShortenedToTheLongestOne(t *testing.T) {
	const start = steady.Time(1000 * time.Second)
	p := runner.New(runner.Options{
		MaxLease:     6 * time.Second,
		DescribeTask: func(batch.TaskID, string) runner.Task { return runner.Task{Work: time.Hour} },
	})
	p.Add(start, batch.Runner{ID: "r"}, 1)
	now := start.Add(time.Minute)
	p.Reboot(now, "r")
	must.Eq(t, dispatch.Accepted, p.Start(now, "r", dispatch.StartOrder{Task: batch.TaskID{Job: "j"}, Attempt: 1, Deadline: time.Minute}))
	p.Advance(now.Add(5900 * time.Millisecond))
	must.Eq(t, 1, p.Runner("r").CountRuns())
	p.Advance(now.Add(6100 * time.Millisecond))
	must.Eq(t, 0, p.Runner("r").CountRuns())
}

// An incarnation is fenced by the first hold with a token above those of the earlier ones.
func TestFirstHoldWithARaisedTokenIsNotedOnceForEachIncarnation(t *testing.T) {
	now := steady.Time(1000 * time.Second)
	var noted []time.Duration
	p := runner.New(runner.Options{OnFence: func(_ steady.Time, _ string, sinceBoot time.Duration) { noted = append(noted, sinceBoot) }})
	p.Add(now, batch.Runner{ID: "r"}, 1)
	hold := func(after time.Duration, token uint64) {
		_, answer := p.Hold(now.Add(after), "r", dispatch.HoldOrder{Token: token})
		must.Eq(t, dispatch.Accepted, answer)
	}
	hold(time.Second, 7) // the first incarnation follows no other
	p.Reboot(now.Add(2*time.Second), "r")
	hold(3*time.Second, 7)
	p.Reboot(now.Add(4*time.Second), "r")
	hold(5*time.Second, 7)
	must.SliceEmpty(t, noted)
	hold(6*time.Second, 8)
	hold(7*time.Second, 9)
	must.Eq(t, []time.Duration{2 * time.Second}, noted)
}

// Guards against a stand-in that hides tasks that run twice: the pages let a runner refuse attempts
// up to one that was stopped or has ended there, and not one beside another that runs. A stop and a
// higher token that an incarnation has seen don't hold for the next one.
func TestTwoAttemptsOfATaskRunBesideEachOther(t *testing.T) {
	const now = steady.Time(1000 * time.Second)
	task := batch.TaskID{Job: "j"}
	for name, attempts := range map[string][]int{"the higher one second": {1, 2}, "the lower one second": {2, 1}} {
		for _, restarts := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, after a restart %t", name, restarts), func(t *testing.T) {
				p := runner.New(runner.Options{DescribeTask: func(batch.TaskID, string) runner.Task { return runner.Task{Work: time.Minute} }})
				p.Add(now, batch.Runner{ID: "r"}, 1)
				if restarts {
					must.Eq(t, dispatch.Accepted, p.Stop(now, "r", dispatch.StopOrder{Task: task, Attempt: 1, Token: 2}))
					p.Crash(now, "r")
					p.Reboot(now, "r")
				}
				for _, n := range attempts {
					must.Eq(t, dispatch.Accepted, p.Start(now, "r", dispatch.StartOrder{Task: task, Attempt: n, Token: 1, Deadline: time.Minute}))
				}
				must.Eq(t, 2, p.CountTaskRuns(task))
			})
		}
	}
}
