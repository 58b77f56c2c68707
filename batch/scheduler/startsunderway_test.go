package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// twoRunners drives a core with a job of one task and the runners "r" and "q". Time passes by at.
type twoRunners struct {
	*scheduler.Core
	now steady.Time
}

func newTwoRunners(t *testing.T, recorded *batch.Progress) (w *twoRunners, start scheduler.Order) {
	w = &twoRunners{Core: scheduler.New(scheduler.Options{
		Began: worldStart, InheritedLeaseEnd: worldStart.Add(testLease), EarlierOrders: testEarlierOrders, LateOrders: testLateOrders,
	}), now: worldStart}
	w.AddJob(oneTaskJob(), recorded, w.now)
	for _, id := range []string{"r", "q"} {
		w.RunnerListed(batch.Runner{ID: id, Service: "s", Born: 1, Capacity: batch.Resources{MilliCPU: 1000}}, w.now)
	}
	if recorded != nil {
		return w, scheduler.Order{}
	}
	w.report("r", batch.Report{Born: 1})
	orders := w.decide()
	must.Len(t, 1, orders)
	w.report("q", batch.Report{Born: 1})
	return w, orders[0]
}

// at sets the time, counted from the first decision.
func (w *twoRunners) at(d time.Duration) { w.now = worldStart.Add(d) }

func (w *twoRunners) report(id string, r batch.Report) {
	w.NoteLeaseExtension(id, w.now.Add(testLease))
	w.HandleReport(id, w.now, r, w.now)
}

// decide makes a pass, commits the records and returns the orders.
func (w *twoRunners) decide() []scheduler.Order {
	w.Decide(w.now, time.Unix(0, int64(w.now)))
	for _, record := range w.TakeRecords(10) {
		w.RecordCommitted(record.Job, record.Version, w.now)
	}
	return w.TakeOrders()
}

// born returns the incarnation of a runner that reported last.
func (w *twoRunners) born(id string) (born int64) {
	for !w.ReportedLast(id, born) {
		born++
	}
	return born
}

// restart has the runner "r" report as its next incarnation, which has seen a higher token.
func (w *twoRunners) restart(born int64, r batch.Report) {
	r.Born = born
	w.RunnerListed(batch.Runner{ID: "r", Service: "s", Born: born, Capacity: batch.Resources{MilliCPU: 1000}}, w.now)
	w.report("r", batch.Report{Born: born})
	w.RunnerFenced("r", born)
	w.report("r", r)
}

func starts(orders []scheduler.Order) (on []string) {
	for _, o := range orders {
		if o.Kind == scheduler.StartRun {
			on = append(on, o.Runner.ID)
		}
	}
	return on
}

// Guards against a task that runs twice: its start has no answer, the runner has answered a stop
// and doesn't list it, and the next incarnation carries the start out.
func TestStoppedTaskStaysOnItsRunnerWhileItsStartIsUnderWay(t *testing.T) {
	w, order := newTwoRunners(t, nil)
	w.NoteStartSent(order, w.now)
	w.NoteStartUnanswered(order)
	for range 3 { // the rounds that a start gets
		w.HandleAnswer(order, scheduler.OutcomeUnknown, w.now)
		w.at(2 * time.Second)
		w.report("r", batch.Report{Born: 1})
		w.decide()
	}
	order.Kind = scheduler.StopRun
	w.HandleAnswer(order, scheduler.Accepted, w.now)
	for second := 3 * time.Second; second <= testLateOrders; second += time.Second {
		w.at(second)
		w.report("r", batch.Report{Born: 1})
		w.report("q", batch.Report{Born: 1})
		must.SliceEmpty(t, starts(w.decide()))
	}
	w.at(testLateOrders + time.Second)
	w.report("r", batch.Report{Born: 1})
	must.Len(t, 1, starts(w.decide()))
}

// The next incarnation has carried the start out: its run is the task's run.
func TestStartThatTheNextIncarnationCarriesOutIsTheTasksRun(t *testing.T) {
	w, order := newTwoRunners(t, nil)
	w.NoteStartSent(order, w.now)
	w.NoteStartUnanswered(order)
	w.HandleAnswer(order, scheduler.OutcomeUnknown, w.now)
	w.at(5 * time.Second)
	w.restart(2, batch.Report{Running: []batch.RunningTask{{Task: order.Task, Attempt: 1}}})
	w.at(20 * time.Second)
	w.report("r", batch.Report{Born: 2, Running: []batch.RunningTask{{Task: order.Task, Attempt: 1, Percent: 50}}})
	must.SliceEmpty(t, w.decide())
	w.report("r", batch.Report{Born: 2, Ended: []batch.EndedTask{{Sequence: 1, Task: order.Task, Attempt: 1, Reason: batch.EndDone}}})
	state, _ := w.JobState("j")
	must.Eq(t, batch.Completed, state)
}

// A start that was under way when its runner restarted is sent to the next incarnation, as the
// same attempt, once that one refuses the earlier order.
func TestStartUnderWayIsSentAgainToTheNextIncarnation(t *testing.T) {
	w, order := newTwoRunners(t, nil)
	w.NoteStartSent(order, w.now)
	w.NoteStartUnanswered(order)
	w.at(5 * time.Second)
	w.report("q", batch.Report{Born: 1})
	w.restart(2, batch.Report{})
	again := w.decide()
	must.Eq(t, []string{"r"}, starts(again))
	must.Eq(t, order.Attempt, again[0].Attempt)
}

// A run whose start was answered is lost with its incarnation at once.
func TestRunWithAnAnsweredStartIsLostWithItsIncarnation(t *testing.T) {
	w, order := newTwoRunners(t, nil)
	w.NoteStartSent(order, w.now)
	w.NoteStartAnswered(order)
	w.HandleAnswer(order, scheduler.Accepted, w.now)
	w.at(time.Second)
	w.restart(2, batch.Report{})
	w.report("q", batch.Report{Born: 1})
	again := w.decide()
	must.Len(t, 1, starts(again))
	must.Eq(t, order.Attempt+1, again[0].Attempt)
}

// Guards against a task that runs again after its end was acknowledged: one try of its start has
// begun the run that is done, and another is under way. Callers hear of the end at once.
func TestEndIsAcknowledgedOnceNoTryIsUnderWay(t *testing.T) {
	w, order := newTwoRunners(t, nil)
	w.NoteStartSent(order, w.now)
	w.NoteStartUnanswered(order)
	must.False(t, w.RepeatStart(order)) // its record doesn't say so yet
	w.decide()
	must.True(t, w.RepeatStart(order))
	w.NoteStartSent(order, w.now)
	w.NoteStartAnswered(order)
	w.HandleAnswer(order, scheduler.Accepted, w.now)
	done := batch.Report{Born: 1, Ended: []batch.EndedTask{{Sequence: 1, Task: order.Task, Attempt: 1, Reason: batch.EndDone}}}
	for second := 3 * time.Second; second <= testLateOrders; second += time.Second {
		w.at(second)
		w.report("r", done)
		must.SliceEmpty(t, w.decide())
		state, _ := w.JobState("j")
		must.Eq(t, batch.Completed, state)
		must.Eq(t, 0, w.AcknowledgedEnd("r"))
	}
	w.at(testLateOrders + time.Second)
	w.report("r", done)
	w.decide()
	must.Eq(t, 1, w.AcknowledgedEnd("r"))
}

// Guards against the same after a takeover.
func TestNextSchedulerAcknowledgesNoEndWhileAStartOfADoneTaskIsUnderWay(t *testing.T) {
	recorded := inherited(false)
	recorded.State, recorded.Tasks[0].Done = batch.Completed, true
	w, _ := newTwoRunners(t, recorded)
	done := batch.Report{Born: 1, Ended: []batch.EndedTask{{Sequence: 1, Task: batch.TaskID{Job: "j"}, Attempt: 1, Reason: batch.EndDone}}}
	for second := time.Second; second <= testLateOrders; second += time.Second {
		w.at(second)
		w.report("r", done)
		must.SliceEmpty(t, w.decide())
		must.Eq(t, 0, w.AcknowledgedEnd("r"))
	}
	w.at(testLateOrders + time.Second)
	w.report("r", done)
	w.decide()
	must.Eq(t, 1, w.AcknowledgedEnd("r"))
}

// The next incarnation has carried another try of a task out that is done: its run is stopped.
func TestRunOfADoneTaskIsStopped(t *testing.T) {
	w, order := newTwoRunners(t, nil)
	w.NoteStartSent(order, w.now)
	w.NoteStartUnanswered(order)
	w.NoteStartSent(order, w.now)
	w.NoteStartAnswered(order)
	w.HandleAnswer(order, scheduler.Accepted, w.now)
	w.at(3 * time.Second)
	w.report("r", batch.Report{Born: 1, Ended: []batch.EndedTask{{Sequence: 1, Task: order.Task, Attempt: 1, Reason: batch.EndDone}}})
	w.at(4 * time.Second)
	w.restart(2, batch.Report{Running: []batch.RunningTask{{Task: order.Task, Attempt: 1}}}) // the other try
	var stops int
	for second := 5 * time.Second; second <= testLateOrders+2*time.Second; second += time.Second {
		for _, o := range w.decide() {
			must.Eq(t, scheduler.StopRun, o.Kind)
			stops++
		}
		w.at(second)
		w.report("r", batch.Report{Born: 2})
	}
	must.Positive(t, stops)
	state, _ := w.JobState("j")
	must.Eq(t, batch.Completed, state)
}

// Guards against an end that nobody has read and a runner forgets: a hold that acknowledges ends
// reaches the next incarnation after a start that was under way.
func TestNoEndIsAcknowledgedWhileAStartIsUnderWay(t *testing.T) {
	w, order := newTwoRunners(t, nil)
	end := batch.Report{Born: 1, Ended: []batch.EndedTask{{Sequence: 1, Task: batch.TaskID{Job: "unknown"}, Attempt: 1}}}
	w.report("r", end)
	must.Eq(t, 0, w.AcknowledgedEnd("r")) // the start is about to be sent
	w.NoteStartSent(order, w.now)
	must.Eq(t, 0, w.AcknowledgedEnd("r"))
	must.True(t, w.WithholdsAcknowledgement("r"))
	w.NoteStartAnswered(order)
	w.HandleAnswer(order, scheduler.Accepted, w.now)
	must.False(t, w.WithholdsAcknowledgement("r"))
	must.Eq(t, 1, w.AcknowledgedEnd("r"))
}

// Guards against the same, when the acknowledgement was sent before the start.
func TestStartWaitsForAnAcknowledgementToItsRunner(t *testing.T) {
	w, order := newTwoRunners(t, nil)
	w.NoteStartSent(order, w.now)
	w.NoteStartAnswered(order)
	w.HandleAnswer(order, scheduler.NotExecuted, w.now)
	for _, id := range []string{"r", "q"} {
		w.NoteAcknowledgementSent(id)
	}
	must.SliceEmpty(t, w.decide())
	w.EndsForgotten("r", 1, 0) // an answer to another hold
	must.SliceEmpty(t, w.decide())
	for _, id := range []string{"r", "q"} {
		w.NoteAcknowledgementUnanswered(id)
		must.True(t, w.AwaitsToken(id))
	}
	must.SliceEmpty(t, w.decide())
	for _, id := range []string{"r", "q"} {
		w.TokenRaised(id)
	}
	must.Len(t, 1, starts(w.decide()))
}

// inherited is the record of a task whose start may be under way on the runner "r".
func inherited(sentOnce bool) *batch.Progress {
	return &batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Attempt: 1, Runner: "r", Open: true, SentOnce: sentOnce}}, Incarnations: map[string]int64{"r": 1}}
}

// Guards against a task that runs twice after a takeover: the first report doesn't list a run
// whose start may be under way, and the next incarnation carries it out.
func TestInheritedStartUnderWayIsSentAgainToItsRunner(t *testing.T) {
	w, _ := newTwoRunners(t, inherited(true))
	w.report("q", batch.Report{Born: 1})
	must.SliceEmpty(t, w.decide())
	w.report("r", batch.Report{Born: 1})
	again := w.decide()
	must.Eq(t, []string{"r"}, starts(again))
	must.Eq(t, 1, again[0].Attempt)
}

// A listed run settles an inherited start, unless it was sent more than once.
func TestListedRunSettlesAnInheritedStartThatWasSentOnce(t *testing.T) {
	for sentOnce, acknowledged := range map[bool]int64{true: 1, false: 0} {
		w, _ := newTwoRunners(t, inherited(sentOnce))
		task := batch.TaskID{Job: "j"}
		w.report("r", batch.Report{Born: 1, Running: []batch.RunningTask{{Task: task, Attempt: 1}}})
		w.at(2 * time.Second)
		w.report("r", batch.Report{Born: 1, Ended: []batch.EndedTask{{Sequence: 1, Task: task, Attempt: 1, Reason: batch.EndDone}}})
		w.decide()
		must.Eq(t, acknowledged, w.AcknowledgedEnd("r"))
	}
}

// Guards against a task that runs twice: the run that a report shows first holds a lease that an
// earlier leader's start gave it, and is given up by the lease that the leader before had noted.
func TestLeaseOfAnInheritedRunLastsFromItsFirstReport(t *testing.T) {
	w, _ := newTwoRunners(t, inherited(true))
	w.at(testLease + time.Second)
	w.HandleReport("r", w.now, batch.Report{Born: 1, Running: []batch.RunningTask{{Task: batch.TaskID{Job: "j"}, Attempt: 1}}}, w.now)
	w.report("q", batch.Report{Born: 1})
	must.SliceEmpty(t, w.decide())
}

// A task without a run is not started elsewhere while a runner lists a run of it.
func TestRunThatItsRunnerListsIsTakenOver(t *testing.T) {
	w, _ := newTwoRunners(t, &batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Attempt: 2}}})
	w.report("r", batch.Report{Born: 1, Running: []batch.RunningTask{{Task: batch.TaskID{Job: "j"}, Attempt: 1}}})
	w.report("q", batch.Report{Born: 1})
	must.SliceEmpty(t, w.decide())
	w.report("r", batch.Report{Born: 1, Ended: []batch.EndedTask{{Sequence: 1, Task: batch.TaskID{Job: "j"}, Attempt: 1, Reason: batch.EndDone}}})
	state, _ := w.JobState("j")
	must.Eq(t, batch.Completed, state)
}

// A withdrawn run holds no room: in this incarnation its start is refused.
func TestWithdrawnRunReservesNothing(t *testing.T) {
	w, _ := newTwoRunners(t, &batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Attempt: 1, Runner: "r", Open: true}}})
	w.CancelJob("j", w.now)
	w.report("r", batch.Report{Born: 1}) // refuses the order of the leader before
	must.SliceEmpty(t, starts(w.decide()))
	other := oneTaskJob()
	other.ID, other.Steps[0].Request = "k", batch.Resources{MilliCPU: 1000}
	w.AddJob(other, nil, w.now)
	must.Eq(t, []string{"r"}, starts(w.decide()))
}

// Guards against a task that runs twice: a partition has kept its start for longer than a runner
// keeps one, and lets it go a little after the first report.
func TestStartThatAPartitionHasKeptIsUnderWayAfterIt(t *testing.T) {
	w, order := newTwoRunners(t, nil)
	w.NoteStartSent(order, w.now)
	w.NoteStartUnanswered(order)
	w.CancelJob("j", w.now) // so that it isn't sent again
	order.Kind = scheduler.StopRun
	w.RunnerUnreachable("r")
	w.HandleAnswer(order, scheduler.Accepted, w.now)
	w.at(testLateOrders + time.Second)
	for reachableFor, needed := range []bool{true, true, false} {
		w.RunnerUnlisted("r")
		w.report("r", batch.Report{Born: 1})
		w.decide()
		must.Eq(t, needed, w.RunnerNeeded("r"), must.Sprintf("%d s after the partition", reachableFor))
		w.at(testLateOrders + time.Duration(2+reachableFor)*time.Second)
	}
}

// Guards against a task of a cancelled job that goes on: the next incarnation has carried its start
// out, which was under way.
func TestStartOfACancelledJobThatIsCarriedOutLateIsStopped(t *testing.T) {
	w, _ := newTwoRunners(t, inherited(true))
	w.CancelJob("j", w.now)
	stop := w.decide()[0]
	for _, listedBefore := range []bool{false, true} { // by the incarnation that answered the stop
		w.HandleAnswer(stop, scheduler.Accepted, w.now)
		w.at(time.Second)
		if !listedBefore {
			w.report("r", batch.Report{Born: 1})
		}
		w.restart(w.born("r")+1, batch.Report{Running: []batch.RunningTask{{Task: batch.TaskID{Job: "j"}, Attempt: 1}}})
		orders := w.decide()
		must.Len(t, 1, orders)
		must.Eq(t, scheduler.StopRun, orders[0].Kind)
	}
}
