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

func oneTask() *batch.Job {
	return &batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 1, Request: batch.Resources{MilliCPU: 1000}}}}
}

// Guards against a gang that waits without end, while what it reserves stays idle: each of its
// runners is free for starts most of the time, and never all of them at once.
func TestGangStartsBesideAcknowledgementsToItsRunners(t *testing.T) {
	const (
		members   = 12
		tick      = 10 * time.Millisecond
		period    = 130 * time.Millisecond // between two ends on a runner
		roundTrip = 40 * time.Millisecond
	)
	d := newDriver()
	var ids []string
	for n := range members {
		ids = append(ids, fmt.Sprintf("r-%02d", n))
		d.addRunner(ids[n], 1000)
	}
	sequences, inFlight := make([]int64, members), make([]int64, members)
	began := d.now
	for d.now.Sub(began) < 20*time.Second && len(d.starts) < members {
		d.now = d.now.Add(tick)
		for n, id := range ids {
			switch at := (d.now.Sub(began) + time.Duration(n)*period/members).Truncate(tick) % period; at {
			case 0:
				sequences[n]++
				end := batch.EndedTask{Sequence: sequences[n], Task: batch.TaskID{Job: "unknown"}, Attempt: 1}
				d.core.HandleReport(id, d.now, batch.Report{Born: 1, Ended: []batch.EndedTask{end}}, d.now)
				inFlight[n] = d.core.AcknowledgedEnd(id)
				if inFlight[n] > 0 {
					d.core.NoteAcknowledgementSent(id)
				}
			case roundTrip:
				d.core.EndsForgotten(id, 1, inFlight[n])
				d.core.HandleReport(id, d.now.Add(-roundTrip), batch.Report{Born: 1}, d.now)
			}
		}
		if d.now.Sub(began) == time.Second {
			d.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: members, Gang: true, Request: batch.Resources{MilliCPU: 1000}}}}, nil, d.now)
		}
		d.step()
	}
	must.Len(t, members, d.starts)
}

// Guards against a task that waits for LateOrders after a takeover, though its runner is sound
// and has only refused the start once, without doing anything.
func TestStartThatAnUnhealthyRunnerRefusesIsSentAgain(t *testing.T) {
	d := newDriver()
	d.addRunner("r", 1000)
	open := batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Attempt: 1, Runner: "r", Open: true, SentOnce: true}}}
	d.core.AddJob(oneTask(), &open, d.now)
	d.run(1100 * time.Millisecond)
	must.Len(t, 1, d.starts)
	o := d.starts[0]
	d.send(o)
	d.core.NoteStartAnswered(o)
	d.core.HandleAnswer(o, scheduler.Unhealthy, d.now)
	d.run(6 * time.Second)
	must.Len(t, 2, d.starts)
}

// Guards against ends that are never acknowledged: holds that acknowledge none begin the wait
// for an acknowledgement anew, though starts keep them from acknowledging.
func TestHoldsWithoutAnAcknowledgementLeaveTheWaitForOneAlone(t *testing.T) {
	d := newDriver()
	d.addRunner("r", 100_000)
	for n := range 100 {
		j := oneTask()
		j.ID = fmt.Sprintf("j-%02d", n)
		d.core.AddJob(j, nil, d.now)
	}
	d.step()
	must.Len(t, 100, d.starts)
	end := batch.EndedTask{Sequence: 1, Task: batch.TaskID{Job: "unknown"}, Attempt: 1}
	report := batch.Report{Born: 1, Ended: []batch.EndedTask{end}}
	d.core.HandleReport("r", d.now, report, d.now)
	for n, o := range d.starts { // the rest stays awaited
		d.send(o)
		_ = n
	}
	next := 0
	before := len(d.starts)
	for step := range 100 {
		d.now = d.now.Add(50 * time.Millisecond)
		if step%3 == 0 {
			d.core.EndsForgotten("r", 1, d.core.AcknowledgedEnd("r"))
			d.core.HandleReport("r", d.now, report, d.now)
		}
		j := oneTask()
		j.ID = fmt.Sprintf("k-%03d", step)
		d.core.AddJob(j, nil, d.now)
		d.core.NoteStartAnswered(d.starts[next])
		d.core.HandleAnswer(d.starts[next], scheduler.Accepted, d.now)
		next++
		for _, o := range d.step() {
			if o.Kind == scheduler.StartRun {
				d.send(o)
			}
		}
	}
	must.Less(t, before+20, len(d.starts)) // starts wait for the acknowledgement
}

// Guards against a task that waits for a run that has ended: a report that was requested beside
// the waiting hold shows an earlier state, and arrives after it.
func TestRunThatHasEndedIsNotFoundByAnEarlierReport(t *testing.T) {
	d := newDriver()
	d.addRunner("r", 1000)
	d.core.AddJob(oneTask(), nil, d.now)
	d.step()
	o := d.starts[0]
	d.send(o)
	d.core.NoteStartAnswered(o)
	d.core.HandleAnswer(o, scheduler.Accepted, d.now)
	waiting, beside := d.now.Add(time.Second), d.now.Add(1500*time.Millisecond)
	d.now = d.now.Add(1600 * time.Millisecond)
	d.core.HandleReport("r", waiting, batch.Report{Born: 1, Ended: []batch.EndedTask{{Sequence: 1, Task: o.Task, Attempt: 1, Reason: batch.EndFailed}}}, d.now)
	d.core.HandleReport("r", beside, batch.Report{Born: 1, Running: []batch.RunningTask{{Task: o.Task, Attempt: 1}}}, d.now)
	d.addRunner("q", 1000)
	d.step()
	must.Len(t, 2, d.starts)
}

// Guards against a gang that waits for LateOrders, as the link to one of its runners was cut for
// two seconds while its start was sent, and no member waited for as long as its timeout.
func TestGangStartsSoonAfterAShortCutOfOneLink(t *testing.T) {
	d := newDriver()
	for _, id := range []string{"r", "q", "p"} {
		d.addRunner(id, 1000)
	}
	d.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 2, Gang: true, Request: batch.Resources{MilliCPU: 1000}}}}, nil, d.now)
	d.step()
	must.Len(t, 2, d.starts)
	a, b := d.starts[0], d.starts[1]
	d.send(a)
	d.core.NoteStartAnswered(a)
	d.core.HandleAnswer(a, scheduler.Accepted, d.now)
	d.send(b)
	cut := d.reports[b.Runner.ID]
	delete(d.reports, b.Runner.ID)
	listed := true
	d.reports[a.Runner.ID] = func() batch.Report {
		if !listed {
			return batch.Report{Born: 1}
		}
		return batch.Report{Born: 1, Running: []batch.RunningTask{{Task: a.Task, Attempt: a.Attempt}}}
	}
	d.run(500 * time.Millisecond)
	d.core.NoteStartUnanswered(b)
	d.run(600 * time.Millisecond) // the report that is asked for has no answer either
	d.core.RunnerUnreachable(b.Runner.ID)
	d.core.HandleAnswer(b, scheduler.OutcomeUnknown, d.now)
	d.run(900 * time.Millisecond)
	d.reports[b.Runner.ID] = cut
	d.run(500 * time.Millisecond)
	listed = false // by then the gang was stopped, or has its other member
	d.run(5 * time.Second)
	must.GreaterEq(t, 3, len(d.starts))
}

// Guards against ends that a leader doesn't read for long, as the runner's reports leave them out:
// none is acknowledged, as a start to it loses its answer now and then.
func TestEndsAreReadThoughNowAndThenAStartIsLost(t *testing.T) {
	const (
		maxListed = 500
		perSecond = 20
		lostEvery = 10 * time.Second // one start in 200
		maxUnread = 5 * time.Second
	)
	d := newDriver()
	d.addRunner("r", 100_000)
	var ends []batch.EndedTask
	var acknowledged int64
	d.reports["r"] = func() batch.Report {
		listed := ends[acknowledged:]
		return batch.Report{Born: 1, Ended: listed[:min(len(listed), maxListed)], EndsTruncated: len(listed) > maxListed}
	}
	began, lastLost, jobs, seen := d.now, d.now, 0, 0
	endedAt := make(map[string]steady.Time) // of jobs whose start was not lost
	late, worst := 0, time.Duration(0)
	for d.now.Sub(began) < time.Minute {
		for range perSecond / 10 {
			j := oneTask()
			j.ID = fmt.Sprintf("j-%04d", jobs)
			jobs++
			d.core.AddJob(j, nil, d.now)
		}
		d.run(100 * time.Millisecond)
		for ; seen < len(d.starts); seen++ {
			o := d.starts[seen]
			d.send(o)
			if d.now.Sub(lastLost) >= lostEvery { // the first try is lost, the second is not
				lastLost = d.now
				d.core.NoteStartUnanswered(o)
				d.core.RepeatStart(o)
				d.step()
				d.send(o)
			} else {
				endedAt[o.Task.Job] = d.now
			}
			d.core.NoteStartAnswered(o)
			d.core.HandleAnswer(o, scheduler.Accepted, d.now)
			ends = append(ends, batch.EndedTask{Sequence: int64(len(ends) + 1), Task: o.Task, Attempt: o.Attempt, Reason: batch.EndDone})
		}
		if n := d.core.AcknowledgedEnd("r"); n > 0 {
			d.core.NoteAcknowledgementSent("r")
			acknowledged = n
			d.core.EndsForgotten("r", 1, n)
		}
		for id, at := range endedAt {
			if state, _ := d.core.JobState(id); state == batch.Completed {
				if d.now.Sub(at) > maxUnread {
					late++
				}
				worst = max(worst, d.now.Sub(at))
				delete(endedAt, id)
			}
		}
	}
	must.Eq(t, 0, late, must.Sprintf("of %d ends; the latest after %v", len(ends), worst))
}
