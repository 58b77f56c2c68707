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

// Guards against a task that runs twice: the new incarnation of a runner has accepted its
// start, and the first report of that incarnation was requested before the start and
// arrives after the answer.
func TestRunAcceptedByTheNewIncarnationSurvivesItsFirstReport(t *testing.T) {
	const now = worldStart
	core, order, _ := startOne(t, now)
	core.HandleAnswer(order, scheduler.Accepted, now.Add(20*time.Millisecond))
	core.HandleReport("r", now.Add(10*time.Millisecond), batch.Report{Born: 2}, now.Add(30*time.Millisecond))
	core.Decide(now.Add(40*time.Millisecond), time.Unix(0, int64(now)))
	must.Eq(t, 1, attempt(core))
	// It refuses orders to the earlier incarnation now, and lists what it runs.
	core.RunnerFenced("r", 2)
	core.HandleReport("r", now.Add(50*time.Millisecond), batch.Report{Born: 2}, now.Add(60*time.Millisecond))
	core.Decide(now.Add(70*time.Millisecond), time.Unix(0, int64(now)))
	must.Eq(t, 2, attempt(core))
}

// attempt returns the attempt of the only task in the record of the only job, which has
// changed.
func attempt(core *scheduler.Core) int { return core.TakeRecords(1)[0].Progress.Tasks[0].Attempt }

// A run that a report has listed is lost with its runner's restart, although the answer to
// its start was lost.
func TestListedRunIsLostWhenItsRunnerRestarts(t *testing.T) {
	const now = worldStart
	core, order, _ := startOne(t, now)
	core.HandleReport("r", now.Add(10*time.Millisecond), batch.Report{Born: 1, Running: []batch.RunningTask{{Task: order.Task, Attempt: 1}}}, now.Add(20*time.Millisecond))
	core.HandleReport("r", now.Add(30*time.Millisecond), batch.Report{Born: 2}, now.Add(40*time.Millisecond))
	core.RunnerFenced("r", 2)
	core.HandleReport("r", now.Add(50*time.Millisecond), batch.Report{Born: 2}, now.Add(60*time.Millisecond))
	core.Decide(now.Add(70*time.Millisecond), time.Unix(0, int64(now)))
	must.Eq(t, 2, attempt(core))
}

// incarnation returns the entry of an incarnation of the runner "r" with the given label.
func incarnation(born int64, label string) batch.Runner {
	return batch.Runner{ID: "r", Service: "s", Capacity: batch.Resources{MilliCPU: 1000}, Labels: []string{label}, Born: born}
}

// labelledJob returns a job of one task that requires the label "b".
func labelledJob() *batch.Job {
	j := oneTaskJob()
	j.Steps[0].Label = "b"
	return j
}

// Guards against a task that starts on a runner without the label that it requires: the
// runner has restarted as another kind, and only its report or only its entry shows it yet.
func TestNothingStartsUntilEntryAndReportAreOfOneIncarnation(t *testing.T) {
	const now = worldStart
	report := func(c *scheduler.Core, born int64) {
		c.HandleReport("r", now, batch.Report{Born: born}, now)
		c.RunnerFenced("r", born)
		c.HandleReport("r", now, batch.Report{Born: born}, now)
	}
	for name, test := range map[string]struct {
		happens func(*scheduler.Core)
		starts  int
	}{
		"no restart":                {func(*scheduler.Core) {}, 1},
		"reported":                  {func(c *scheduler.Core) { report(c, 2) }, 0},
		"listed, of another kind":   {func(c *scheduler.Core) { c.RunnerListed(incarnation(2, "a"), now) }, 0},
		"listed, of the same kind":  {func(c *scheduler.Core) { c.RunnerListed(incarnation(2, "b"), now) }, 0},
		"both, of another kind":     {func(c *scheduler.Core) { report(c, 2); c.RunnerListed(incarnation(2, "a"), now) }, 0},
		"both, of the same kind":    {func(c *scheduler.Core) { report(c, 2); c.RunnerListed(incarnation(2, "b"), now) }, 1},
		"listed before it reported": {func(c *scheduler.Core) { c.RunnerListed(incarnation(2, "b"), now); report(c, 2) }, 1},
		"listed with an earlier time of start, before it reported": {func(c *scheduler.Core) { c.RunnerListed(incarnation(-1, "b"), now); report(c, -1) }, 1},
		"the earlier entry is reread":                              {func(c *scheduler.Core) { report(c, 2); c.RunnerListed(incarnation(1, "b"), now) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			core := scheduler.New(scheduler.Options{})
			core.RunnerListed(incarnation(1, "b"), now)
			report(core, 1)
			test.happens(core)
			core.AddJob(labelledJob(), nil, now)
			core.Decide(now, time.Unix(0, int64(now)))
			must.Len(t, test.starts, core.TakeRecords(1))
		})
	}
}

// Guards against a start that was decided for an incarnation of a runner and is sent to a
// later one, which is of another kind: while its record was being committed, or when it is
// tried again.
func TestStartIsNotSentToALaterIncarnation(t *testing.T) {
	const now = worldStart
	for name, restart := range map[string]func(*scheduler.Core){
		"reported": func(c *scheduler.Core) { c.HandleReport("r", now, batch.Report{Born: 2}, now) },
		"listed":   func(c *scheduler.Core) { c.RunnerListed(incarnation(2, "a"), now) },
		"both": func(c *scheduler.Core) {
			c.RunnerListed(incarnation(2, "a"), now)
			c.HandleReport("r", now, batch.Report{Born: 2}, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			core := scheduler.New(scheduler.Options{})
			core.RunnerListed(incarnation(1, "b"), now)
			core.HandleReport("r", now, batch.Report{Born: 1}, now)
			core.AddJob(labelledJob(), nil, now)
			second := labelledJob()
			second.ID = "k"
			core.AddJob(second, nil, now)
			core.Decide(now, time.Unix(0, int64(now)))
			records := core.TakeRecords(2)
			must.Len(t, 2, records)
			core.RecordCommitted(records[0].Job, records[0].Version, now)
			orders := core.TakeOrders()
			must.Len(t, 1, orders)
			must.True(t, core.AwaitsStart(orders[0]))
			restart(core)
			must.False(t, core.AwaitsStart(orders[0]))
			core.RecordCommitted(records[1].Job, records[1].Version, now)
			must.Len(t, 0, core.TakeOrders())
		})
	}
}

// Guards against a task that runs twice when its runner restarts and is cut off before it has
// seen a higher token: an order to the earlier incarnation, carried out late, may extend the
// lease of a run there. Once the runner is fenced, the lease that was noted counts again.
func TestLeaseOfAnUnfencedRunnerOutlastsOrdersToItsEarlierIncarnation(t *testing.T) {
	const now = worldStart
	const earlierOrders, lease = 18 * time.Second, 6 * time.Second
	lists := batch.Report{Born: 1, Running: []batch.RunningTask{{Task: batch.TaskID{Job: "j"}, Attempt: 1}}}
	for name, test := range map[string]struct {
		happens func(*scheduler.Core)
		lostBy  time.Duration
	}{
		"no restart": {func(*scheduler.Core) {}, lease},
		"listed":     {func(c *scheduler.Core) { c.RunnerListed(incarnation(2, "b"), now) }, earlierOrders},
		"reported":   {func(c *scheduler.Core) { c.HandleReport("r", now, batch.Report{Born: 2}, now) }, earlierOrders},
		// The second entry may be one of the earlier incarnation that was written late.
		"entry of a later incarnation, and the earlier one's again": {func(c *scheduler.Core) {
			c.RunnerListed(incarnation(2, "b"), now)
			c.RunnerListed(incarnation(1, "b"), now)
		}, earlierOrders},
		"the same, and the later one's once more": {func(c *scheduler.Core) {
			c.RunnerListed(incarnation(2, "b"), now)
			c.RunnerListed(incarnation(1, "b"), now)
			c.RunnerListed(incarnation(2, "b"), now)
		}, earlierOrders},
		"the same, with a report requested before": {func(c *scheduler.Core) {
			c.RunnerListed(incarnation(2, "b"), now)
			c.RunnerListed(incarnation(1, "b"), now)
			c.HandleReport("r", now, lists, now.Add(2*time.Millisecond))
		}, earlierOrders},
		"another writer's entry, its own again, and a report requested since": {func(c *scheduler.Core) {
			c.RunnerListed(incarnation(2, "b"), now)
			c.RunnerListed(incarnation(1, "b"), now)
			c.HandleReport("r", now.Add(time.Millisecond), lists, now.Add(2*time.Millisecond))
		}, lease},
		"another writer's entry, a report requested since, and its own again": {func(c *scheduler.Core) {
			c.RunnerListed(incarnation(2, "b"), now)
			c.HandleReport("r", now.Add(time.Millisecond), lists, now.Add(2*time.Millisecond))
			c.RunnerListed(incarnation(1, "b"), now)
		}, lease},
		"fenced": {func(c *scheduler.Core) {
			c.HandleReport("r", now, batch.Report{Born: 2}, now)
			c.RunnerFenced("r", 2)
			c.HandleReport("r", now, batch.Report{Born: 2, Running: []batch.RunningTask{{Task: batch.TaskID{Job: "j"}, Attempt: 1}}}, now)
		}, lease},
	} {
		t.Run(name, func(t *testing.T) {
			core := scheduler.New(scheduler.Options{EarlierOrders: earlierOrders})
			core.RunnerListed(incarnation(1, "b"), now)
			core.HandleReport("r", now, batch.Report{Born: 1}, now)
			core.AddJob(labelledJob(), nil, now)
			core.Decide(now, time.Unix(0, int64(now)))
			record := core.TakeRecords(1)[0]
			core.RecordCommitted("j", record.Version, now)
			core.HandleAnswer(core.TakeOrders()[0], scheduler.Accepted, now)
			core.TakeRecords(1)
			core.NoteLeaseExtension("r", now.Add(lease))
			test.happens(core)
			core.TakeRecords(1)
			core.RunnerUnreachable("r")
			core.Decide(now.Add(test.lostBy), time.Unix(0, int64(now)))
			must.Len(t, 0, core.TakeRecords(1))
			core.Decide(now.Add(test.lostBy+time.Second), time.Unix(0, int64(now)))
			must.Len(t, 1, core.TakeRecords(1))
		})
	}
}

// Guards against a task that runs twice: the first report of a fenced runner leaves ends out,
// so a run that it doesn't list may have ended there. A later report decides.
func TestReportThatLeavesEndsOutDecidesAboutNoRunAfterARestart(t *testing.T) {
	const now = worldStart
	core, order, _ := startOne(t, now)
	core.HandleAnswer(order, scheduler.Accepted, now.Add(10*time.Millisecond))
	core.TakeRecords(1)
	core.HandleReport("r", now.Add(20*time.Millisecond), batch.Report{Born: 2}, now.Add(30*time.Millisecond))
	core.RunnerFenced("r", 2)
	core.HandleReport("r", now.Add(40*time.Millisecond), batch.Report{Born: 2, EndsTruncated: true}, now.Add(50*time.Millisecond))
	core.Decide(now.Add(60*time.Millisecond), time.Unix(0, int64(now)))
	must.Len(t, 0, core.TakeRecords(1))
	core.HandleReport("r", now.Add(70*time.Millisecond), batch.Report{Born: 2}, now.Add(80*time.Millisecond))
	core.Decide(now.Add(90*time.Millisecond), time.Unix(0, int64(now)))
	must.Eq(t, 2, attempt(core))
}

// Guards against a task that runs twice: a start without an answer is carried out by the
// runner's next incarnation, after the lease of the one before has run out or it has left.
func TestRunWithAnOpenStartIsLostOnlyOnceNoIncarnationCanCarryItOut(t *testing.T) {
	const now = worldStart
	const earlierOrders, lease = 18 * time.Second, 6 * time.Second
	left := func(c *scheduler.Core) { c.RunnerLeft("r", 1, now) }
	for name, test := range map[string]struct {
		open    bool
		happens func(*scheduler.Core)
		lostBy  time.Duration
	}{
		"answered, silent": {false, func(*scheduler.Core) {}, lease},
		"open, silent":     {true, func(*scheduler.Core) {}, earlierOrders},
		"answered, left":   {false, left, 0},
		"open, left":       {true, left, earlierOrders},
		"open, and the next incarnation refuses it": {true, func(c *scheduler.Core) {
			c.HandleReport("r", now, batch.Report{Born: 2}, now)
			c.RunnerFenced("r", 2)
			c.HandleReport("r", now, batch.Report{Born: 2}, now)
		}, earlierOrders}, // the incarnation after it may carry it out
	} {
		t.Run(name, func(t *testing.T) {
			core := scheduler.New(scheduler.Options{EarlierOrders: earlierOrders, LateOrders: testLateOrders})
			core.RunnerListed(incarnation(1, "b"), now)
			core.HandleReport("r", now, batch.Report{Born: 1}, now)
			core.AddJob(labelledJob(), nil, now)
			core.Decide(now, time.Unix(0, int64(now)))
			core.RecordCommitted("j", core.TakeRecords(1)[0].Version, now)
			order := core.TakeOrders()[0]
			core.NoteLeaseExtension("r", now.Add(lease))
			core.NoteStartSent(order, now)
			if !test.open {
				core.NoteStartAnswered(order)
				core.HandleAnswer(order, scheduler.Accepted, now)
			}
			core.TakeRecords(1)
			test.happens(core)
			core.RunnerUnreachable("r")
			if test.lostBy > 0 {
				core.Decide(now.Add(test.lostBy-time.Millisecond), time.Unix(0, int64(now)))
				must.Len(t, 0, core.TakeRecords(1))
			}
			core.Decide(now.Add(test.lostBy+time.Second), time.Unix(0, int64(now)))
			must.Len(t, 1, core.TakeRecords(1))
		})
	}
}

// Guards against an end that nobody has read and a runner forgets: a hold that acknowledges
// ends of its earlier incarnation reaches the next one.
func TestEndIsAcknowledgedOnlyUntilTheRunnerHasForgottenIt(t *testing.T) {
	const now = worldStart
	core := scheduler.New(scheduler.Options{})
	core.RunnerListed(incarnation(1, "b"), now)
	end := func(n int64) batch.EndedTask {
		return batch.EndedTask{Sequence: n, Task: batch.TaskID{Job: "unknown"}, Attempt: 1, Reason: batch.EndDone}
	}
	core.HandleReport("r", now, batch.Report{Born: 1, Ended: []batch.EndedTask{end(1)}}, now)
	must.Eq(t, 1, core.AcknowledgedEnd("r"))
	must.Eq(t, 1, core.AcknowledgedEnd("r")) // the hold before had no answer
	core.EndsForgotten("r", 1, 1)
	must.Eq(t, 0, core.AcknowledgedEnd("r"))
	core.HandleReport("r", now, batch.Report{Born: 1, Ended: []batch.EndedTask{end(2)}}, now)
	must.Eq(t, 2, core.AcknowledgedEnd("r"))
	core.EndsForgotten("r", 1, 2)
	core.HandleReport("r", now, batch.Report{Born: 2}, now)
	core.RunnerFenced("r", 2)
	core.HandleReport("r", now, batch.Report{Born: 2, Ended: []batch.EndedTask{end(1)}}, now)
	must.Eq(t, 1, core.AcknowledgedEnd("r"))
}

// Guards against a task that runs twice after a takeover: the runner has restarted since the
// run was recorded, and may still carry out a start of the leader before.
func TestInheritedRunOfARestartedRunnerOutlastsEarlierOrders(t *testing.T) {
	const now = worldStart
	const earlierOrders, lease = 18 * time.Second, 6 * time.Second
	for name, test := range map[string]struct {
		recorded, listed int64 // incarnations; 0: unknown
		lostBy           time.Duration
	}{
		"same incarnation":         {1, 1, lease},
		"restarted":                {1, 2, earlierOrders},
		"recorded without one":     {0, 2, lease},
		"entry does not name it":   {1, 0, lease},
		"entry of an earlier time": {2, 1, earlierOrders},
	} {
		t.Run(name, func(t *testing.T) {
			core := scheduler.New(scheduler.Options{Began: now, InheritedLeaseEnd: now.Add(lease), EarlierOrders: earlierOrders})
			core.AddJob(labelledJob(), &batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Attempt: 1, Runner: "r"}},
				Incarnations: map[string]int64{"r": test.recorded}}, now)
			core.RunnerListed(incarnation(test.listed, "b"), now)
			core.RunnerListed(incarnation(test.listed, "b"), now.Add(time.Second)) // the next heartbeat
			core.Decide(now.Add(test.lostBy), time.Unix(0, int64(now)))
			must.Len(t, 0, core.TakeRecords(1))
			core.Decide(now.Add(test.lostBy+time.Second), time.Unix(0, int64(now)))
			must.Len(t, 1, core.TakeRecords(1))
		})
	}
}

// Guards against the same, when an entry of the earlier incarnation is written late.
func TestInheritedRunOutlastsEarlierOrdersWhenTheEarlierEntryIsReadAgain(t *testing.T) {
	const now = worldStart
	const earlierOrders, lease = 18 * time.Second, 6 * time.Second
	for name, entries := range map[string][]int64{"restart read first": {2, 1}, "restart read later": {1, 2, 1}} {
		t.Run(name, func(t *testing.T) {
			core := scheduler.New(scheduler.Options{Began: now, InheritedLeaseEnd: now.Add(lease), EarlierOrders: earlierOrders})
			core.AddJob(labelledJob(), &batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Attempt: 1, Runner: "r"}},
				Incarnations: map[string]int64{"r": 1}}, now)
			for _, born := range entries {
				core.RunnerListed(incarnation(born, "b"), now)
			}
			core.Decide(now.Add(earlierOrders), time.Unix(0, int64(now)))
			must.Len(t, 0, core.TakeRecords(1))
			core.Decide(now.Add(earlierOrders+time.Second), time.Unix(0, int64(now)))
			must.Len(t, 1, core.TakeRecords(1))
		})
	}
}

// The report that first shows a leader a restarted runner lists what it has carried out of the
// orders of the leader before. Guards against such a run being lost by the lease of the run before.
func TestReportedRunOfARestartedRunnerIsKept(t *testing.T) {
	const now = worldStart
	core := scheduler.New(scheduler.Options{Began: now, InheritedLeaseEnd: now.Add(6 * time.Second), EarlierOrders: 18 * time.Second})
	core.AddJob(labelledJob(), &batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Attempt: 1, Runner: "r"}}, Incarnations: map[string]int64{"r": 1}}, now)
	core.RunnerListed(incarnation(2, "b"), now)
	at := now.Add(8 * time.Second)
	core.HandleReport("r", at, batch.Report{Born: 2, Running: []batch.RunningTask{{Task: batch.TaskID{Job: "j"}, Attempt: 1}}}, at)
	core.Decide(at, time.Unix(0, int64(now)))
	must.Len(t, 0, core.TakeRecords(1))
}

// Guards against a task that runs twice after a takeover: a start of the leader before may be
// open, and no entry shows that its runner has restarted.
func TestInheritedRunWithAnOpenStartOutlastsItsRunnersLease(t *testing.T) {
	const now = worldStart
	const earlierOrders, lease = 18 * time.Second, 6 * time.Second
	for name, test := range map[string]struct {
		answered bool
		lostBy   time.Duration
	}{"open": {false, earlierOrders}, "answered": {true, lease}} {
		t.Run(name, func(t *testing.T) {
			first, order, recorded := startOne(t, now)
			first.NoteStartSent(order, now)
			if test.answered {
				first.NoteStartAnswered(order)
				first.HandleAnswer(order, scheduler.Accepted, now)
				first.Decide(now.Add(time.Second), time.Unix(0, int64(now)))
				recorded = first.TakeRecords(1)[0].Progress
			}
			next := scheduler.New(scheduler.Options{Began: now, InheritedLeaseEnd: now.Add(lease), EarlierOrders: earlierOrders})
			next.AddJob(oneTaskJob(), &recorded, now)
			next.Decide(now.Add(test.lostBy-time.Millisecond), time.Unix(0, int64(now)))
			must.Len(t, 0, next.TakeRecords(1))
			next.Decide(now.Add(test.lostBy+time.Second), time.Unix(0, int64(now)))
			must.Len(t, 1, next.TakeRecords(1))
		})
	}
}

// A record that shows a start as open is written again once it is answered, also when nothing
// else of its job changes.
func TestAnsweredStartsAreRecorded(t *testing.T) {
	now := worldStart
	job := oneTaskJob()
	job.Steps[0].Tasks = 2
	core := scheduler.New(scheduler.Options{})
	core.RunnerListed(batch.Runner{ID: "r", Service: "s", Capacity: batch.Resources{MilliCPU: 1000}}, now)
	core.HandleReport("r", now, batch.Report{Born: 1}, now)
	core.AddJob(job, nil, now)
	core.Decide(now, time.Unix(0, int64(now)))
	core.RecordCommitted("j", core.TakeRecords(1)[0].Version, now)
	orders := core.TakeOrders()
	must.Len(t, 2, orders)
	open := func() (n int) {
		records := core.TakeRecords(1)
		if len(records) == 0 {
			return -1 // nothing is to be written
		}
		for _, row := range records[0].Progress.Tasks {
			if row.Open {
				n++
			}
		}
		return n
	}
	for i, o := range orders {
		core.NoteStartSent(o, now)
		core.NoteStartAnswered(o)
		core.HandleAnswer(o, scheduler.Accepted, now)
		now = now.Add(time.Second)
		core.Decide(now, time.Unix(0, int64(now)))
		must.Eq(t, 1-i, open())
	}
	core.Decide(now.Add(time.Second), time.Unix(0, int64(now)))
	must.Eq(t, -1, open())
}

// Guards against a start on a runner that still carries out orders to its earlier incarnation: it
// was removed and came back before it had seen a higher token.
func TestRunnerThatIsRemovedUnfencedComesBackUnfenced(t *testing.T) {
	now := worldStart
	core := scheduler.New(scheduler.Options{})
	core.RunnerListed(incarnation(1, "b"), now)
	core.HandleReport("r", now, batch.Report{Born: 1}, now)
	core.HandleReport("r", now.Add(time.Second), batch.Report{Born: 2}, now.Add(time.Second))
	must.True(t, core.AwaitsFence("r"))
	core.RunnerUnlisted("r")
	core.Decide(now.Add(2*time.Second), time.Unix(0, int64(now)))
	must.False(t, core.RunnerNeeded("r"))
	core.RunnerListed(incarnation(2, "b"), now.Add(3*time.Second))
	must.True(t, core.AwaitsFence("r"))
	core.AddJob(labelledJob(), nil, now)
	core.HandleReport("r", now.Add(3*time.Second), batch.Report{Born: 2}, now.Add(3*time.Second))
	core.Decide(now.Add(3*time.Second), time.Unix(0, int64(now)))
	must.Len(t, 0, core.TakeRecords(1))
}

// Guards against a start that is sent to a later incarnation: a report of the earlier one, which
// was requested later, is handled after the later one's.
func TestReportOfAnEarlierIncarnationIsNotUsed(t *testing.T) {
	const now = worldStart
	at := func(ms int) steady.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for name, between := range map[string]func(*scheduler.Core){
		"at once": func(*scheduler.Core) {},
		"after the runner was removed": func(c *scheduler.Core) {
			c.HandleAnswer(scheduler.Order{Kind: scheduler.StartRun, Runner: incarnation(1, "b"), Task: batch.TaskID{Job: "j"}, Attempt: 1}, scheduler.NotExecuted, at(30))
			c.CancelJob("j", at(30))
			c.RunnerUnlisted("r")
			c.Decide(at(30), time.Unix(0, int64(now)))
			must.False(t, c.RunnerNeeded("r"))
			c.RunnerListed(incarnation(2, "b"), at(35))
		},
	} {
		t.Run(name, func(t *testing.T) {
			core, order, _ := startOne(t, now)
			must.True(t, core.HandleReport("r", at(10), batch.Report{Born: 2}, at(30)))
			between(core)
			must.False(t, core.HandleReport("r", at(20), batch.Report{Born: 1}, at(40)))
			must.True(t, core.ReportedLast("r", 2))
			must.False(t, core.AwaitsStart(order))
		})
	}
}

// Guards against orders with a deadline on the clock of an incarnation that is over: two
// incarnations answer calls that were under way at the same time, and the first report of the
// scheduler's term may be the later one's. A report requested after both shows which is present.
func TestReportsOfTwoIncarnationsThatOverlapDecideNothing(t *testing.T) {
	const now = worldStart
	at := func(ms int) steady.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for _, present := range []int64{1, 2} {
		t.Run(fmt.Sprint("present ", present), func(t *testing.T) {
			var restarts []int64
			core := scheduler.New(scheduler.Options{ObserveRestart: func(_ string, born, _, _ int64) { restarts = append(restarts, born) }})
			core.RunnerListed(incarnation(present, "b"), now)
			core.HandleReport("r", at(0), batch.Report{Born: 2}, at(30))
			must.False(t, core.HandleReport("r", at(10), batch.Report{Born: 1}, at(40)))
			must.False(t, core.ReportedLast("r", 1))
			must.True(t, core.AwaitsFence("r"))
			must.Eq(t, 1, restarts[len(restarts)-1])
			for _, born := range []int64{1, 2} { // requested before it was known that two answer
				must.False(t, core.HandleReport("r", at(35), batch.Report{Born: born}, at(45)))
			}
			core.AddJob(labelledJob(), nil, now)
			for i := range 2 { // the first shows which is present, and the second that it is fenced
				core.RunnerFenced("r", present)
				must.True(t, core.HandleReport("r", at(50+10*i), batch.Report{Born: present}, at(55+10*i)))
			}
			must.False(t, core.AwaitsFence("r"))
			must.True(t, core.ReportedLast("r", present))
			must.False(t, core.HandleReport("r", at(20), batch.Report{Born: 3 - present}, at(70)))
			core.Decide(at(80), time.Unix(0, int64(now)))
			must.Len(t, 1, core.TakeRecords(1))
		})
	}
}

// A restart is known by the report that was requested since, also if the runner's time of day has
// gone back.
func TestRestartWithAnEarlierTimeOfStartIsKnownByItsReport(t *testing.T) {
	const now = worldStart
	core, order, _ := startOne(t, now)
	must.True(t, core.HandleReport("r", now.Add(time.Millisecond), batch.Report{Born: 3}, now.Add(2*time.Millisecond)))
	must.True(t, core.HandleReport("r", now.Add(3*time.Millisecond), batch.Report{Born: 2}, now.Add(4*time.Millisecond)))
	must.True(t, core.ReportedLast("r", 2))
	must.True(t, core.AwaitsFence("r"))
	must.False(t, core.AwaitsStart(order))
}

// Guards against a task that runs twice: the report that a restarted runner gave with a higher
// token is outdated, and the one handled next was requested with the token of before.
func TestOutdatedReportDoesNotFenceARestartedRunner(t *testing.T) {
	const now = worldStart
	at := func(ms int) steady.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	core, order, _ := startOne(t, now)
	core.HandleAnswer(order, scheduler.Accepted, at(10))
	core.TakeRecords(1)
	core.HandleReport("r", at(20), batch.Report{Born: 2}, at(30))
	core.HandleReport("r", at(50), batch.Report{Born: 2}, at(60))
	core.RunnerFenced("r", 2)
	must.False(t, core.HandleReport("r", at(40), batch.Report{Born: 2}, at(70)))
	must.True(t, core.AwaitsFence("r"))
	core.HandleReport("r", at(55), batch.Report{Born: 2}, at(80)) // the start may be carried out after it
	core.Decide(at(90), time.Unix(0, int64(now)))
	must.Len(t, 0, core.TakeRecords(1))
}

// Guards against a task that runs twice: the incarnation that was leaving has ended, and the next
// one has reported, with an earlier time of start, as the runner's time of day went back.
func TestDepartureLeavesRunsOfALaterIncarnationWithAnEarlierTimeOfStartAlone(t *testing.T) {
	const now = worldStart
	leaving := incarnation(5, "b")
	leaving.Address, leaving.Draining, leaving.DrainRemaining = "a", true, time.Minute
	for name, ends := range map[string]func(*scheduler.Core){
		"left": func(c *scheduler.Core) { c.RunnerLeft("r", 5, now.Add(time.Second)) },
		"replaced": func(c *scheduler.Core) {
			c.RunnerUnlisted("r")
			c.RunnerReplaced(leaving, now.Add(time.Second), now.Add(time.Second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			core, order, _ := startOne(t, now)
			core.HandleAnswer(order, scheduler.Accepted, now)
			core.TakeRecords(1)
			core.RunnerListed(leaving, now)
			for i, born := range []int64{5, 3, 3} { // the last is fenced
				asked := now.Add(time.Duration(1+2*i) * time.Millisecond)
				core.RunnerFenced("r", 3)
				core.HandleReport("r", asked, batch.Report{Born: born, Running: []batch.RunningTask{{Task: order.Task, Attempt: order.Attempt}}}, asked.Add(time.Millisecond))
			}
			must.False(t, core.AwaitsFence("r"))
			ends(core)
			must.True(t, core.RunnerNeeded("r"))
		})
	}
}
