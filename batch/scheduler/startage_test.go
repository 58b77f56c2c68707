package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Guards against a gang that isn't placed for long after a change of schedulers: an earlier try of
// a member's start has no answer, and the next scheduler counts its time anew, until the member's
// runner has left and can't show any more that the start is over.
func TestGangIsPlacedWhenAnInheritedStartIsOver(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.repeats = true
	w.addRunners(1, 4)
	w.startScheduler()
	w.run(1500 * time.Millisecond)
	w.nextFaults = []orderFault{{lost: true}}
	sent := w.now
	w.submit(batch.Job{ID: "gang", Priority: 1, Steps: []batch.Step{gang(2, 8, 20*time.Second)}}, 20*time.Second, false)
	w.run(8 * time.Second)
	must.Eq(t, 2, total(w.runsOf("gang")))
	on := w.runnerOfOpenStart("gang")
	must.NotEq(t, "", on)

	w.killScheduler()
	w.startScheduler()
	w.run(2 * time.Second)
	leaving := w.pool.Runner(on).Runner
	leaving.Draining, leaving.DrainRemaining = true, 5*time.Second
	w.core.RunnerListed(leaving, w.now)
	w.run(7 * time.Second)
	w.core.RunnerLeft(on, w.pool.Runner(on).Born, w.now)
	w.run(time.Second)
	must.Less(t, worldLateness+worldLateness, w.now.Sub(sent)) // it may have been sent when the scheduler began
	must.Eq(t, 2, total(w.runsOf("gang")))
}

// runnerOfOpenStart returns the runner of the job's first run that is recorded with a start that
// may be under way.
func (w *world) runnerOfOpenStart(job string) string {
	for _, row := range w.store[job].Tasks {
		if row.Open {
			return row.Runner
		}
	}
	return ""
}

// acceptedOnTheSecondTry returns a core with a run that was accepted on the second of two tries.
func acceptedOnTheSecondTry(t *testing.T, now steady.Time) (*scheduler.Core, scheduler.Order) {
	core, order, _ := startOneWith(t, scheduler.Options{EarlierOrders: testEarlierOrders, LateOrders: testLateOrders}, now)
	core.NoteStartSent(order, now)
	core.NoteStartUnanswered(order)
	must.False(t, core.RepeatStart(order))
	record := core.TakeRecords(1)[0]
	must.Eq(t, int64(0), record.Progress.Tasks[0].OpenMillis)
	core.RecordCommitted("j", record.Version, now)
	must.True(t, core.RepeatStart(order))
	core.NoteStartSent(order, now)
	core.NoteStartAnswered(order)
	core.HandleAnswer(order, scheduler.Accepted, now)
	return core, order
}

// The age of a start under way is recorded anew while it matters to the next scheduler, which
// waits only for the rest of the time.
func TestNextSchedulerCountsTheAgeOfAStart(t *testing.T) {
	sent := worldStart
	core, order := acceptedOnTheSecondTry(t, sent)
	running := batch.Report{Born: 1, Running: []batch.RunningTask{{Task: order.Task, Attempt: 1}}}
	var recorded batch.Progress
	now := sent
	for range 9 {
		now = now.Add(time.Second)
		core.HandleReport("r", now, running, now)
		core.Decide(now, time.Unix(0, int64(now)))
		for _, record := range core.TakeRecords(1) {
			recorded = record.Progress
			core.RecordCommitted("j", record.Version, now)
		}
	}
	must.True(t, recorded.Tasks[0].Open)
	must.Between(t, 7000, recorded.Tasks[0].OpenMillis, 9000)

	next := scheduler.New(scheduler.Options{EarlierOrders: testEarlierOrders, LateOrders: testLateOrders})
	next.AddJob(oneTaskJob(), &recorded, now)
	next.RunnerListed(batch.Runner{ID: "r", Service: "s", Capacity: batch.Resources{MilliCPU: 1000}}, now)
	open := true
	for open && now.Sub(sent) < 2*testLateOrders {
		now = now.Add(time.Second)
		next.HandleReport("r", now, running, now)
		next.Decide(now, time.Unix(0, int64(now)))
		for _, record := range next.TakeRecords(1) {
			open = record.Progress.Tasks[0].Open
		}
	}
	must.Greater(t, testLateOrders, now.Sub(sent)) // not before the start is over
	must.LessEq(t, testLateOrders+4*time.Second, now.Sub(sent))
}

// Guards against a task that runs twice: a start is sent again after its age was recorded, and the
// next scheduler counts the recorded age.
func TestNoAgeIsRecordedOfAStartThatMayBeSentAgain(t *testing.T) {
	now := worldStart
	core, order, _ := startOneWith(t, scheduler.Options{EarlierOrders: testEarlierOrders, LateOrders: testLateOrders}, now)
	core.NoteStartSent(order, now)
	core.NoteStartUnanswered(order)
	core.HandleAnswer(order, scheduler.OutcomeUnknown, now)
	core.RunnerUnreachable("r")
	ages := func() []int64 {
		var out []int64
		for _, record := range core.TakeRecords(1) {
			out = append(out, record.Progress.Tasks[0].OpenMillis)
			core.RecordCommitted("j", record.Version, now)
		}
		return out
	}
	for range 3 {
		now = now.Add(time.Second)
		core.Decide(now, time.Unix(0, int64(now)))
		must.Len(t, 0, ages()) // it may be sent again at any time
	}
	core.HandleReport("r", now, batch.Report{Born: 1}, now)
	core.Decide(now, time.Unix(0, int64(now)))
	must.Eq(t, []int64{0}, ages()) // it is planned to be sent again
	must.Len(t, 1, core.TakeOrders())
	core.NoteStartSent(order, now)
	core.NoteStartUnanswered(order)
	core.HandleAnswer(order, scheduler.OutcomeUnknown, now)
	core.CancelJob("j", now)
	now = now.Add(time.Second)
	core.Decide(now, time.Unix(0, int64(now)))
	must.Eq(t, []int64{1000}, ages()) // it was stopped, and is sent no more
}
