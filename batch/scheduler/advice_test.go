package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/dispatch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	adviceDuration = 60 * time.Millisecond
	adviceValidity = 3 * time.Second
)

// adviser is a stand-in for the service that says which runners may run a step.
type adviser struct {
	approves    func(runner string) bool
	unavailable bool

	busy            bool
	questions       int
	largestQuestion int // number of runners in the largest question
	refused         int // starts without a valid ticket
	issued          map[string]steady.Time
}

// askAdviser asks the adviser as the leader does: one question at a time.
func (w *world) askAdviser() {
	if w.adviser == nil || w.adviser.busy {
		return
	}
	q, due := w.core.NextQuestion(w.now)
	if !due {
		return
	}
	a, core, asked := w.adviser, w.core, w.now
	a.busy = true
	a.questions++
	a.largestQuestion = max(a.largestQuestion, len(q.Runners))
	w.after(adviceDuration, func() {
		a.busy = false
		if w.core != core {
			return
		}
		if a.unavailable {
			core.HandleAdviceFailure(q, w.now)
			return
		}
		core.HandleAdvice(q, a.answer(w.now, q.Job, q.Step, q.Runners), asked)
	})
}

func (a *adviser) answer(now steady.Time, job string, step int, runners []string) batch.Approval {
	out := batch.Approval{Tickets: make(map[string]string), Valid: adviceValidity}
	for _, id := range runners {
		if a.approves(id) {
			ticket := fmt.Sprintf("%s/%d/%s/%d", job, step, id, now)
			a.issued[ticket] = now
			out.Tickets[id] = ticket
		}
	}
	return out
}

// permits is the check that runners make of a start.
func (w *world) permits(now steady.Time, _ string, o dispatch.StartOrder) bool {
	if w.adviser == nil || w.jobs[o.Task.Job].Advice == nil {
		return true
	}
	issued, known := w.adviser.issued[o.Ticket]
	if !known || now.Sub(issued) > adviceValidity {
		w.adviser.refused++
		return false
	}
	return true
}

func advisedWorld(t *testing.T, approves func(string) bool) *world {
	w := newWorld(t, 1, faults{})
	w.adviser = &adviser{approves: approves, issued: make(map[string]steady.Time)}
	w.addRunners(4, 12)
	w.startScheduler()
	w.run(1500 * time.Millisecond)
	return w
}

func advisedJob(id string, step batch.Step) batch.Job {
	return batch.Job{ID: id, Priority: 1, Steps: []batch.Step{step}, Advice: &batch.AdviceTimes{DecisionTime: adviceDuration, TimePerRunner: 2 * time.Millisecond, TicketValidity: adviceValidity}}
}

// A step runs only on runners that the adviser approves, and each start carries
// its ticket. Tasks that are still waiting when a ticket expires get new ones.
func TestAdvisedStepsRunOnlyOnApprovedRunners(t *testing.T) {
	w := advisedWorld(t, func(id string) bool { return id == "r0-1" || id == "r3-2" })
	step := batch.Step{Tasks: 40, Estimate: 2 * time.Second, Request: batch.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}}
	w.submit(advisedJob("wide", step), 2*time.Second, false)
	w.submit(advisedJob("gang", gang(2, 8, time.Second)), time.Second, false)
	for range 400 {
		w.run(50 * time.Millisecond)
		for _, id := range w.allRunners() {
			if id != "r0-1" && id != "r3-2" {
				must.Eq(t, 0, w.pool.Runner(id).CountRuns(), must.Sprint(id))
			}
		}
	}
	must.Eq(t, batch.Completed, w.state("wide"))
	must.Eq(t, batch.Completed, w.state("gang"))
	must.Eq(t, 0, w.adviser.refused)
	must.LessEq(t, 30, w.adviser.largestQuestion)
	must.LessEq(t, 16, w.adviser.questions)
}

// Without an answer from the adviser no advised job starts, questions are
// retried at a limited rate, and the work begins once the adviser answers.
// Other jobs don't wait for it.
func TestUnavailableAdviserDelaysOnlyAdvisedJobs(t *testing.T) {
	w := advisedWorld(t, func(string) bool { return true })
	w.adviser.unavailable = true
	w.submit(advisedJob("advised", gang(1, 1, time.Second)), time.Second, false)
	w.submit(batch.Job{ID: "plain", Priority: 1, Steps: []batch.Step{gang(1, 1, time.Second)}}, time.Second, false)
	w.run(4 * time.Second)
	must.Eq(t, batch.State(""), w.state("advised"))
	must.Eq(t, batch.Completed, w.state("plain"))
	must.LessEq(t, 14, w.adviser.questions) // three a second
	w.adviser.unavailable = false
	w.run(3 * time.Second)
	must.Eq(t, batch.Completed, w.state("advised"))
}

// A step that no runner may run is asked about once for each runner.
func TestAdviserIsAskedOnceAboutRefusedRunners(t *testing.T) {
	w := advisedWorld(t, func(string) bool { return false })
	w.submit(advisedJob("refused", gang(1, 1, time.Second)), time.Second, false)
	w.run(20 * time.Second)
	must.Eq(t, 2, w.adviser.questions) // 48 runners, 30 in a question
	must.Eq(t, 0, w.starts)
}

// A ticket is valid for one incarnation of its runner only.
func TestTicketIsInvalidAfterRunnerRestart(t *testing.T) {
	w := advisedWorld(t, func(id string) bool { return id == "r0-0" })
	w.submit(advisedJob("steps", batch.Step{Tasks: 24, Estimate: time.Second, Request: batch.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}}), time.Second, false)
	w.run(600 * time.Millisecond)
	w.pool.Crash(w.now, "r0-0")
	w.pool.Reboot(w.now, "r0-0")
	asked := w.adviser.questions
	w.run(20 * time.Second)
	must.Eq(t, batch.Completed, w.state("steps"))
	must.Greater(t, asked, w.adviser.questions)
}
