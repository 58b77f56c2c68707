package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// driver plays a leader and runners that answer each hold, once a second.
type driver struct {
	core    *scheduler.Core
	now     steady.Time
	reports map[string]func() batch.Report // by runner
	starts  []scheduler.Order
}

func newDriver() *driver {
	return &driver{
		core: scheduler.New(scheduler.Options{EarlierOrders: testEarlierOrders, LateOrders: testLateOrders, Began: worldStart}),
		now:  worldStart, reports: make(map[string]func() batch.Report),
	}
}

func (d *driver) addRunner(id string, cpu int64) {
	d.core.RunnerListed(batch.Runner{ID: id, Service: "s", Born: 1, FailureDomain: id, Rack: id, Capacity: batch.Resources{MilliCPU: cpu}}, d.now)
	d.reports[id] = func() batch.Report { return batch.Report{Born: 1} }
	d.core.HandleReport(id, d.now, d.reports[id](), d.now)
}

// step decides, commits and returns the orders.
func (d *driver) step() []scheduler.Order {
	d.core.Decide(d.now, time.Unix(0, int64(d.now)))
	for _, r := range d.core.TakeRecords(100) {
		d.core.RecordCommitted(r.Job, r.Version, d.now)
	}
	orders := d.core.TakeOrders()
	for _, o := range orders {
		if o.Kind == scheduler.StartRun {
			d.starts = append(d.starts, o)
			continue
		}
		d.core.HandleAnswer(o, scheduler.Accepted, d.now)
	}
	return orders
}

// run advances time, with a hold a second that extends the lease.
func (d *driver) run(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.now = d.now.Add(100 * time.Millisecond)
		if d.now.Sub(worldStart)%time.Second == 0 {
			for id, report := range d.reports {
				d.core.NoteLeaseExtension(id, d.now.Add(testLease))
				d.core.NoteDeadlineSent(id, d.now)
				d.core.HandleReport(id, d.now, report(), d.now)
			}
		}
		d.step()
	}
}

func (d *driver) send(o scheduler.Order) {
	d.core.NoteLeaseExtension(o.Runner.ID, d.now.Add(testLease))
	d.core.NoteStartSent(o, d.now)
}

func (d *driver) leaveUnanswered(o scheduler.Order) {
	d.send(o)
	d.core.NoteStartUnanswered(o)
	d.core.HandleAnswer(o, scheduler.OutcomeUnknown, d.now)
}

// Guards against a task that is never placed again: its start has no answer, and its runner
// accepts no more starts and doesn't leave.
func TestUnansweredStartOnAnEvacuatedRunnerIsGivenUp(t *testing.T) {
	for name, happens := range map[string]func(*scheduler.Core, steady.Time){
		"evacuated": func(c *scheduler.Core, _ steady.Time) { c.SetEvacuated(map[string]bool{"r": true}) },
		"draining": func(c *scheduler.Core, now steady.Time) {
			c.RunnerListed(batch.Runner{ID: "r", Service: "s", Born: 1, FailureDomain: "r", Draining: true, DrainRemaining: time.Minute, Capacity: batch.Resources{MilliCPU: 1000}}, now)
		},
		"not listed": func(c *scheduler.Core, _ steady.Time) { c.RunnerUnlisted("r") },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver()
			d.addRunner("r", 1000)
			d.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 1, Request: batch.Resources{MilliCPU: 1000}}}}, nil, d.now)
			d.step()
			must.Len(t, 1, d.starts)
			d.leaveUnanswered(d.starts[0])
			d.addRunner("q", 1000)
			happens(d.core, d.now)
			d.run(time.Minute)
			must.Len(t, 2, d.starts)
			must.Eq(t, "q", d.starts[1].Runner.ID)
		})
	}
}

// Guards against starts that wait without end: a runner is removed while an acknowledgement is
// in flight to it, and comes back.
func TestStartsAreIssuedOnARunnerThatComesBackAfterAnAcknowledgement(t *testing.T) {
	for name, answer := range map[string]func(*scheduler.Core){
		"answered":   func(c *scheduler.Core) { c.EndsForgotten("r", 1, 1) },
		"unanswered": func(c *scheduler.Core) { c.NoteAcknowledgementUnanswered("r") },
		"refused":    func(c *scheduler.Core) { c.NoteAcknowledgementRefused("r") },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver()
			d.addRunner("r", 1000)
			d.core.HandleReport("r", d.now, batch.Report{Born: 1, Ended: []batch.EndedTask{{Sequence: 1, Task: batch.TaskID{Job: "unknown"}, Attempt: 1}}}, d.now)
			must.Eq(t, 1, d.core.AcknowledgedEnd("r"))
			d.core.NoteAcknowledgementSent("r")
			d.core.RunnerUnlisted("r")
			d.step() // removes the runner
			answer(d.core)
			d.addRunner("r", 1000)
			d.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 1, Request: batch.Resources{MilliCPU: 1000}}}}, nil, d.now)
			for range 60 {
				if d.core.AwaitsToken("r") {
					d.core.TokenRaised("r")
				}
				d.run(time.Second)
			}
			must.Len(t, 1, d.starts)
		})
	}
}

// Guards against a runner that is filled over its capacity: the members of a gang on it are each
// sent again, and only one of them has room.
func TestMembersThatAreSentAgainFitTogether(t *testing.T) {
	d := newDriver()
	d.addRunner("r", 2000)
	d.addRunner("q", 1000)
	gang := batch.Step{Tasks: 3, Gang: true, Request: batch.Resources{MilliCPU: 1000}}
	open := batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{
		{Index: 0, Attempt: 1, Runner: "r", Open: true}, {Index: 1, Attempt: 1, Runner: "r", Open: true}, {Index: 2, Attempt: 1, Runner: "q", Open: true},
	}}
	d.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{gang}}, &open, d.now)
	d.core.SetEvacuated(map[string]bool{"q": true}) // keeps its member from being sent again
	for _, id := range []string{"r", "q"} {
		d.core.HandleReport(id, d.now, batch.Report{Born: 1}, d.now)
	}
	d.core.AddJob(&batch.Job{ID: "other", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 1, Request: batch.Resources{MilliCPU: 1000}}}}, nil, d.now)
	held := func() (n int64) {
		for _, o := range d.starts {
			if o.Runner.ID == "r" {
				n += 1000
			}
		}
		return n
	}
	d.now = d.now.Add(100 * time.Millisecond)
	for range 2 {
		d.step()
	}
	for _, o := range d.starts {
		d.send(o)
		d.core.NoteStartAnswered(o)
		d.core.HandleAnswer(o, scheduler.Accepted, d.now)
	}
	must.Eq(t, 1000, held())
	d.core.SetEvacuated(nil)
	for range 3 {
		d.now = d.now.Add(100 * time.Millisecond)
		d.step()
	}
	must.LessEq(t, 2000, held(), must.Sprint(d.starts))
}

// Guards against a runner that is filled over its capacity, as it doesn't guard it: a start under
// way there is stopped, other work takes its room, and the next incarnation carries it out.
func TestStoppedStartUnderWayKeepsItsRoomOnARunnerThatDoesNotGuardIt(t *testing.T) {
	for name, test := range map[string]struct {
		guarded bool
		waits   time.Duration
	}{
		"guarded": {guarded: true}, "not guarded": {waits: testLateOrders},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver()
			d.core.SetConfiguration(&batch.Configuration{Services: []batch.Service{{Name: "s", AdmissionControl: test.guarded}}})
			d.addRunner("r", 1000)
			whole := []batch.Step{{Tasks: 1, Request: batch.Resources{MilliCPU: 1000}}}
			d.core.AddJob(&batch.Job{ID: "stopped", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: whole}, nil, d.now)
			d.step()
			must.Len(t, 1, d.starts)
			sentAt := d.now
			d.leaveUnanswered(d.starts[0])
			d.core.CancelJob("stopped", d.now)
			d.core.AddJob(&batch.Job{ID: "other", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: whole}, nil, d.now)
			for len(d.starts) == 1 && d.now.Sub(worldStart) < time.Minute {
				d.run(100 * time.Millisecond)
			}
			must.Len(t, 2, d.starts)
			must.Eq(t, "other", d.starts[1].Task.Job)
			must.GreaterEq(t, test.waits, d.now.Sub(sentAt))
			must.LessEq(t, test.waits+testLease+2*time.Second, d.now.Sub(sentAt))
		})
	}
}

// Guards against a runner that is stuck: it has more ends than a report lists, none is
// acknowledged while a start is under way, and no report that leaves ends out ends that.
func TestEndsAreAcknowledgedAfterACancelledStartWhenReportsLeaveEndsOut(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		t.Run(fmt.Sprintf("cancelled %t", cancelled), func(t *testing.T) {
			d := newDriver()
			d.addRunner("r", 1000)
			d.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 1, Request: batch.Resources{MilliCPU: 1000}}}}, nil, d.now)
			d.step()
			d.leaveUnanswered(d.starts[0])
			if cancelled {
				d.core.CancelJob("j", d.now)
			}
			var ends []batch.EndedTask
			for n := range 500 {
				ends = append(ends, batch.EndedTask{Sequence: int64(n + 1), Task: batch.TaskID{Job: "unknown"}, Attempt: 1})
			}
			d.reports["r"] = func() batch.Report { return batch.Report{Born: 1, Ended: ends, EndsTruncated: true} }
			d.run(2 * time.Minute)
			must.Eq(t, 500, d.core.AcknowledgedEnd("r"))
		})
	}
}

// Guards against ends that are never acknowledged: the answer to an acknowledgement for the
// earlier incarnation is overtaken by a report of the next one.
func TestEndsOfTheNextIncarnationAreAcknowledgedAfterALateAnswer(t *testing.T) {
	d := newDriver()
	d.addRunner("r", 1000)
	end := func(n int64) batch.EndedTask {
		return batch.EndedTask{Sequence: n, Task: batch.TaskID{Job: "unknown"}, Attempt: 1}
	}
	d.core.HandleReport("r", d.now, batch.Report{Born: 1, Ended: []batch.EndedTask{end(1), end(2), end(3)}}, d.now)
	must.Eq(t, 3, d.core.AcknowledgedEnd("r"))
	d.core.NoteAcknowledgementSent("r")
	d.core.HandleReport("r", d.now.Add(time.Millisecond), batch.Report{Born: 2}, d.now.Add(2*time.Millisecond)) // requested beside it
	d.core.EndsForgotten("r", 1, 3)
	d.core.RunnerFenced("r", 2)
	d.core.HandleReport("r", d.now.Add(time.Second), batch.Report{Born: 2, Ended: []batch.EndedTask{end(1)}}, d.now.Add(time.Second))
	must.Eq(t, 1, d.core.AcknowledgedEnd("r"))
}

// Guards against the same, when the runner was removed and came back while the acknowledgement was
// in flight: whichever incarnation answers it, the next one's ends are numbered anew.
func TestEndsOfTheNextIncarnationAreAcknowledgedAfterARemoval(t *testing.T) {
	for _, answeredBy := range []int64{1, 2} {
		t.Run(fmt.Sprint("answered by ", answeredBy), func(t *testing.T) {
			d := newDriver()
			d.addRunner("r", 1000)
			end := func(n int64) batch.EndedTask {
				return batch.EndedTask{Sequence: n, Task: batch.TaskID{Job: "unknown"}, Attempt: 1}
			}
			d.core.HandleReport("r", d.now, batch.Report{Born: 1, Ended: []batch.EndedTask{end(1), end(2), end(3)}}, d.now)
			must.Eq(t, 3, d.core.AcknowledgedEnd("r"))
			d.core.NoteAcknowledgementSent("r")
			d.core.RunnerUnlisted("r")
			d.step() // removes the runner
			d.core.RunnerListed(batch.Runner{ID: "r", Service: "s", Born: 2, FailureDomain: "r", Rack: "r", Capacity: batch.Resources{MilliCPU: 1000}}, d.now)
			report := func(ended ...batch.EndedTask) {
				d.now = d.now.Add(time.Second)
				d.core.RunnerFenced("r", 2)
				d.core.HandleReport("r", d.now, batch.Report{Born: 2, Ended: ended}, d.now)
			}
			report()
			d.core.EndsForgotten("r", answeredBy, 3)
			report()
			report(end(1))
			must.Eq(t, 1, d.core.AcknowledgedEnd("r"))
		})
	}
}

// Guards against an end that nobody has read and a runner forgets, and against a record that
// says that no start is under way: a try was not sent, and the next one is about to be.
func TestTryThatWasNotSentLeavesTheNextOneUnderWay(t *testing.T) {
	d := newDriver()
	d.addRunner("r", 1000)
	d.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 1, Request: batch.Resources{MilliCPU: 1000}}}}, nil, d.now)
	d.step()
	d.core.HandleReport("r", d.now, batch.Report{Born: 1, Ended: []batch.EndedTask{{Sequence: 1, Task: batch.TaskID{Job: "unknown"}, Attempt: 1}}}, d.now)
	must.Eq(t, 0, d.core.AcknowledgedEnd("r"))
	d.send(d.starts[0])
	d.core.NoteStartNotSent(d.starts[0])
	must.True(t, d.core.AwaitsStart(d.starts[0]))
	must.Eq(t, 0, d.core.AcknowledgedEnd("r"))
	d.core.Decide(d.now.Add(time.Second), time.Unix(0, int64(d.now)))
	for _, r := range d.core.TakeRecords(1) {
		must.True(t, r.Progress.Tasks[0].Open)
	}
}

// Guards against a task that starts on a draining or evacuated runner: its start was sent before
// and had no answer.
func TestStartIsNotSentAgainOnARunnerThatAcceptsNone(t *testing.T) {
	d := newDriver()
	d.addRunner("r", 1000)
	d.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 1, Request: batch.Resources{MilliCPU: 1000}}}}, nil, d.now)
	d.step()
	o := d.starts[0]
	d.send(o)
	d.core.NoteStartUnanswered(o)
	d.core.RepeatStart(o)
	d.core.RunnerListed(batch.Runner{ID: "r", Service: "s", Born: 1, FailureDomain: "r", Draining: true, DrainRemaining: time.Minute, Capacity: batch.Resources{MilliCPU: 1000}}, d.now)
	d.core.SetEvacuated(map[string]bool{"r": true})
	for _, r := range d.core.TakeRecords(1) {
		d.core.RecordCommitted(r.Job, r.Version, d.now)
	}
	must.False(t, d.core.RepeatStart(o) && d.core.AwaitsStart(o))
}

// Guards against the same on a queue with advice: the ticket runs out before the start is sent
// again, and the adviser is asked for waiting tasks only.
func TestUnansweredStartWhoseTicketRunsOutIsGivenUp(t *testing.T) {
	d := newDriver()
	d.addRunner("r", 1000)
	d.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Advice: &batch.AdviceTimes{}, Steps: []batch.Step{{Tasks: 1, Request: batch.Resources{MilliCPU: 1000}}}}, nil, d.now)
	advise := func() {
		if q, due := d.core.NextQuestion(d.now); due {
			d.core.HandleAdvice(q, batch.Approval{Tickets: map[string]string{"r": "t"}, Valid: 2 * time.Second}, d.now)
		}
	}
	d.step()
	advise()
	d.step()
	must.Len(t, 1, d.starts)
	d.now = d.now.Add(time.Second)
	d.leaveUnanswered(d.starts[0])
	for range 60 {
		d.run(time.Second)
		advise()
	}
	must.Len(t, 2, d.starts)
}

// Guards against a task that runs twice after a takeover: a found run of an earlier attempt is
// recorded as the highest attempt, so that the next scheduler takes it for another run.
func TestFoundRunOfAnEarlierAttemptIsKeptByTheNextScheduler(t *testing.T) {
	job := &batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 1, Request: batch.Resources{MilliCPU: 1000}}}}
	recorded := batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Attempt: 2}}}
	lists := batch.Report{Born: 1, Running: []batch.RunningTask{{Task: batch.TaskID{Job: "j"}, Attempt: 1}}}
	for range 2 {
		d := newDriver()
		d.core.AddJob(job, &recorded, d.now)
		d.core.RunnerListed(batch.Runner{ID: "r", Service: "s", Born: 1, FailureDomain: "r", Rack: "r", Capacity: batch.Resources{MilliCPU: 1000}}, d.now)
		d.core.HandleReport("r", d.now, lists, d.now)
		d.addRunner("q", 1000)
		d.core.Decide(d.now, time.Unix(0, int64(d.now)))
		for _, r := range d.core.TakeRecords(1) {
			recorded = r.Progress
			d.core.RecordCommitted(r.Job, r.Version, d.now)
		}
		must.Len(t, 0, d.core.TakeOrders())
	}
}

// Guards against a member of a gang that is started again after the gang is done: its start has
// no answer, and another member's end shows that it was carried out.
func TestStartIsNotSentAgainOnceItsGangIsDone(t *testing.T) {
	d := newDriver()
	d.addRunner("r", 1000)
	d.addRunner("q", 1000)
	d.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 2, Gang: true, Request: batch.Resources{MilliCPU: 1000}}}}, nil, d.now)
	d.step()
	must.Len(t, 2, d.starts)
	a, b := d.starts[0], d.starts[1]
	d.send(a)
	d.core.NoteStartAnswered(a)
	d.core.HandleAnswer(a, scheduler.Accepted, d.now)
	d.send(b)
	d.core.NoteStartUnanswered(b)
	d.core.RepeatStart(b)
	d.step() // commits
	done := batch.EndedTask{Sequence: 1, Task: a.Task, Attempt: 1, Reason: batch.EndDone}
	d.now = d.now.Add(50 * time.Millisecond)
	d.core.HandleReport(a.Runner.ID, d.now, batch.Report{Born: 1, Ended: []batch.EndedTask{done}}, d.now)
	must.False(t, d.core.AwaitsStart(b))
}

// Guards against a task that runs twice: the deletion of the entry of a runner's earlier
// incarnation is read after the next one has listed the run, which it carried out late.
func TestDepartureOfAnEarlierIncarnationLeavesRunsOfTheNextOneAlone(t *testing.T) {
	d := newDriver()
	d.addRunner("r", 1000)
	d.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 1, Request: batch.Resources{MilliCPU: 1000}}}}, nil, d.now)
	d.step()
	must.Len(t, 1, d.starts)
	d.leaveUnanswered(d.starts[0])
	d.addRunner("q", 1000)
	lists := batch.Report{Born: 2, Running: []batch.RunningTask{{Task: d.starts[0].Task, Attempt: 1}}}
	d.now = d.now.Add(time.Second)
	d.core.HandleReport("r", d.now, lists, d.now)
	d.core.RunnerFenced("r", 2)
	d.core.HandleReport("r", d.now, lists, d.now)
	d.core.RunnerLeft("r", 1, d.now)
	for range 20 {
		d.now = d.now.Add(100 * time.Millisecond)
		d.step()
		d.core.HandleReport("r", d.now, lists, d.now)
	}
	must.Len(t, 1, d.starts)
}

// Guards against a member of a gang that waits until the gang's timeout, after a leader has given
// up its term to another one: the start of the other member was not sent, and can't be now.
func TestInheritedGangIsStoppedWhenAMemberCannotBeSentAgain(t *testing.T) {
	for name, test := range map[string]struct {
		advice  *batch.AdviceTimes // the new leader has no ticket
		happens func(*scheduler.Core)
	}{
		"no ticket": {&batch.AdviceTimes{}, func(*scheduler.Core) {}},
		"evacuated": {nil, func(c *scheduler.Core) { c.SetEvacuated(map[string]bool{"q": true}) }},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver()
			open := batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Index: 0, Attempt: 1, Runner: "r", Open: true}, {Index: 1, Attempt: 1, Runner: "q", Open: true}}}
			d.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Advice: test.advice, Steps: []batch.Step{{Tasks: 2, Gang: true, Request: batch.Resources{MilliCPU: 1000}}}}, &open, d.now)
			test.happens(d.core)
			for _, id := range []string{"r", "q"} {
				d.core.RunnerListed(batch.Runner{ID: id, Service: "s", Born: 1, FailureDomain: id, Rack: id, Capacity: batch.Resources{MilliCPU: 1000}}, d.now)
				d.reports[id] = func() batch.Report { return batch.Report{Born: 1} }
			}
			d.reports["r"] = func() batch.Report {
				return batch.Report{Born: 1, Running: []batch.RunningTask{{Task: batch.TaskID{Job: "j"}, Attempt: 1}}}
			}
			stopped := false
			for range 20 {
				d.now = d.now.Add(100 * time.Millisecond)
				for id, report := range d.reports {
					d.core.HandleReport(id, d.now, report(), d.now)
				}
				for _, o := range d.step() {
					stopped = stopped || o.Kind == scheduler.StopRun && o.Runner.ID == "r"
				}
			}
			must.True(t, stopped) // 1 s before the timeout of 3 s
		})
	}
}
