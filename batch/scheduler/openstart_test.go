package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	testEarlierOrders = 18 * time.Second
	testLateOrders    = 12 * time.Second
	testLease         = 6 * time.Second
)

// Guards against a gang whose other members wait for the gang's timeout: a member's runner has
// left while its start was open.
func TestGangIsStoppedWhenARunnerLeavesWithAnOpenStart(t *testing.T) {
	const now = worldStart
	core := scheduler.New(scheduler.Options{EarlierOrders: testEarlierOrders})
	for _, id := range []string{"r", "q"} {
		core.RunnerListed(batch.Runner{ID: id, Service: "s", Born: 1, Capacity: batch.Resources{MilliCPU: 1000}}, now)
		core.HandleReport(id, now, batch.Report{Born: 1}, now)
	}
	gang := batch.Step{Tasks: 2, Gang: true, Request: batch.Resources{MilliCPU: 1000}}
	core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{gang}}, nil, now)
	core.Decide(now, time.Unix(0, int64(now)))
	core.RecordCommitted("j", core.TakeRecords(1)[0].Version, now)
	orders := core.TakeOrders()
	must.Len(t, 2, orders)
	for _, o := range orders {
		core.NoteStartSent(o, now)
	}
	core.NoteStartAnswered(orders[1])
	core.HandleAnswer(orders[1], scheduler.Accepted, now)
	core.RunnerLeft(orders[0].Runner.ID, 1, now)
	stopped := make(map[string]bool)
	for _, o := range core.TakeOrders() {
		must.Eq(t, scheduler.StopRun, o.Kind)
		stopped[o.Runner.ID] = true
	}
	must.Eq(t, map[string]bool{"r": true, "q": true}, stopped)
}

// Guards against a series of leaders each of which waits anew for a start under way.
func TestRecordedLeaseEndCountsForAnOpenStart(t *testing.T) {
	const now = worldStart
	core := scheduler.New(scheduler.Options{
		Began: now, InheritedLeaseEnd: now.Add(testLease), EarlierOrders: testEarlierOrders,
		RecordedLeaseEnds: map[string]steady.Time{"r": now.Add(10 * time.Second)},
	})
	open := batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Attempt: 1, Runner: "r", Open: true}}}
	core.AddJob(oneTaskJob(), &open, now)
	core.Decide(now.Add(10*time.Second), time.Unix(0, int64(now)))
	must.Len(t, 0, core.TakeRecords(1)) // the recorded time may be later than a usual lease
	core.Decide(now.Add(11*time.Second), time.Unix(0, int64(now)))
	must.Len(t, 1, core.TakeRecords(1))
}

// Guards against a task that runs twice: a hold that was sent after the start is carried out by
// the next incarnation, and extends the lease of the run that the start began there.
func TestHoldsExtendTheWaitForAnOpenStart(t *testing.T) {
	const now = worldStart
	core, order, _ := startOneWith(t, scheduler.Options{EarlierOrders: testEarlierOrders, LateOrders: testLateOrders}, now)
	core.NoteLeaseExtension("r", now.Add(testLease))
	core.NoteStartSent(order, now)
	core.NoteDeadlineSent("r", now.Add(2*time.Second))
	core.Decide(now.Add(testEarlierOrders+1900*time.Millisecond), time.Unix(0, int64(now)))
	must.Len(t, 0, core.TakeRecords(1))
	core.Decide(now.Add(testEarlierOrders+3*time.Second), time.Unix(0, int64(now)))
	must.Len(t, 1, core.TakeRecords(1))
}

// A run that was accepted on a later try is recorded as open until the earlier one can't be
// carried out any more.
func TestOpenStartOfARunningTaskEnds(t *testing.T) {
	const now = worldStart
	core, order, _ := startOneWith(t, scheduler.Options{EarlierOrders: testEarlierOrders, LateOrders: testLateOrders}, now)
	core.NoteStartSent(order, now)
	core.NoteStartSent(order, now)
	core.NoteStartAnswered(order)
	core.HandleAnswer(order, scheduler.Accepted, now)
	open := func(at time.Duration) bool {
		core.NoteLeaseExtension("r", now.Add(at+testLease))
		core.HandleReport("r", now.Add(at), batch.Report{Born: 1, Running: []batch.RunningTask{{Task: order.Task, Attempt: 1, Percent: int(at / time.Second)}}}, now.Add(at))
		core.Decide(now.Add(at), time.Unix(0, int64(now)))
		core.Decide(now.Add(at+time.Second), time.Unix(0, int64(now)))
		records := core.TakeRecords(1)
		must.Len(t, 1, records)
		return records[0].Progress.Tasks[0].Open
	}
	for held := time.Duration(0); held < testLateOrders+testEarlierOrders; held += time.Second {
		core.NoteDeadlineSent("r", now.Add(held))
		if held == time.Second {
			must.True(t, open(held))
		}
	}
	must.False(t, open(testLateOrders+testEarlierOrders+time.Second))
}

// Guards against a task that is started again after its last permitted attempt: that attempt was
// given up, and its failed end is listed later by the incarnation that carried it out.
func TestFailedEndOfARunThatWasGivenUpCounts(t *testing.T) {
	now := worldStart
	core := scheduler.New(scheduler.Options{EarlierOrders: testEarlierOrders})
	core.RunnerListed(batch.Runner{ID: "r", Service: "s", Born: 1, Capacity: batch.Resources{MilliCPU: 1000}}, now)
	core.HandleReport("r", now, batch.Report{Born: 1}, now)
	job := oneTaskJob()
	job.MaxAttempts = 1
	core.AddJob(job, nil, now)
	core.Decide(now, time.Unix(0, int64(now)))
	core.RecordCommitted("j", core.TakeRecords(1)[0].Version, now)
	order := core.TakeOrders()[0]
	core.HandleAnswer(order, scheduler.OutcomeUnknown, now)
	order.Kind = scheduler.StopRun
	core.HandleAnswer(order, scheduler.Accepted, now)
	now = now.Add(time.Second)
	core.HandleReport("r", now, batch.Report{Born: 1}, now) // the stop was answered, and the run isn't there
	core.HandleReport("r", now, batch.Report{Born: 2}, now)
	core.RunnerFenced("r", 2)
	end := batch.EndedTask{Sequence: 1, Task: order.Task, Attempt: 1, Reason: batch.EndFailed}
	core.HandleReport("r", now, batch.Report{Born: 2, Ended: []batch.EndedTask{end}}, now)
	state, _ := core.JobState("j")
	must.Eq(t, batch.Failed, state)
}

// Guards against a job that fails although no task has failed so often: a failed end that was
// recorded and not acknowledged is listed again to the next scheduler, or after that of a later
// attempt.
func TestFailedEndThatIsListedAgainCountsOnce(t *testing.T) {
	now := worldStart
	job := oneTaskJob()
	job.MaxAttempts = 2
	first := batch.EndedTask{Sequence: 1, Task: batch.TaskID{Job: "j"}, Attempt: 1, Reason: batch.EndFailed}
	failed := func(core *scheduler.Core) (batch.State, batch.Progress) {
		core.RunnerListed(incarnation(1, "b"), now)
		core.HandleReport("r", now, batch.Report{Born: 1, Ended: []batch.EndedTask{first}}, now)
		state, _ := core.JobState("j")
		records := core.TakeRecords(1)
		if len(records) == 0 {
			return state, batch.Progress{}
		}
		return state, records[0].Progress
	}
	core, order, _ := startOne(t, now)
	core.HandleAnswer(order, scheduler.Accepted, now)
	state, recorded := failed(core)
	must.Eq(t, batch.Running, state)
	for range 3 { // schedulers that follow one another before the end is acknowledged
		core = scheduler.New(scheduler.Options{})
		core.AddJob(job, &recorded, now)
		now = now.Add(time.Second)
		state, _ = failed(core)
		must.Eq(t, batch.Running, state)
	}
}

// Guards against a task that runs twice: a run is listed while the answer to a later try of its
// start is waited for, and the earlier try is taken for carried out.
func TestEarlierTryStaysUnderWayWhenALaterOneBeginsTheRun(t *testing.T) {
	now := worldStart
	for name, test := range map[string]struct {
		answered, open bool
	}{"the later try is answered": {true, true}, "neither is answered": {false, true}} {
		t.Run(name, func(t *testing.T) {
			core, order, _ := startOneWith(t, scheduler.Options{EarlierOrders: testEarlierOrders, LateOrders: testLateOrders}, now)
			core.NoteStartSent(order, now)
			core.NoteStartUnanswered(order)
			core.NoteStartSent(order, now)
			running := batch.Report{Born: 1, Running: []batch.RunningTask{{Task: order.Task, Attempt: 1}}}
			core.HandleReport("r", now, running, now)
			if test.answered {
				core.NoteStartAnswered(order)
				core.HandleAnswer(order, scheduler.Accepted, now)
			} else {
				core.NoteStartUnanswered(order)
			}
			core.HandleReport("r", now.Add(time.Second), running, now.Add(time.Second))
			core.Decide(now.Add(2*time.Second), time.Unix(0, int64(now)))
			records := core.TakeRecords(1)
			must.Len(t, 1, records)
			must.Eq(t, test.open, records[0].Progress.Tasks[0].Open)
		})
	}
}
