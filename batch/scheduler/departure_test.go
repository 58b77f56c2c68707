package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Guards against tasks that run twice under a leader that has just begun: a runner's entry was
// removed for a silence before, and the runner answers. Guards as well against tasks that stay away
// for a lease though their runner has left.
func TestDepartureToBeConfirmedCountsOnceAHoldSentSinceIsNotAnswered(t *testing.T) {
	const now = worldStart
	at := func(ms int) steady.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	draining := incarnation(1, "b")
	draining.Draining = true
	for name, test := range map[string]struct {
		happens func(c *scheduler.Core, lists batch.Report)
		runs    bool
	}{
		"no hold yet": {func(*scheduler.Core, batch.Report) {}, true},
		"not answered": {func(c *scheduler.Core, _ batch.Report) {
			c.HoldUnanswered("r", at(110), at(120))
		}, false},
		"not answered, sent before": {func(c *scheduler.Core, _ batch.Report) {
			c.HoldUnanswered("r", at(90), at(120))
		}, true},
		"answered, and not answered later": {func(c *scheduler.Core, lists batch.Report) {
			c.HandleReport("r", at(110), lists, at(120))
			c.HoldUnanswered("r", at(130), at(140))
		}, true},
		"answered before, and not answered": {func(c *scheduler.Core, lists batch.Report) {
			c.HandleReport("r", at(90), lists, at(105))
			c.HoldUnanswered("r", at(110), at(120))
		}, false},
		"the entry is back": {func(c *scheduler.Core, _ batch.Report) {
			c.RunnerListed(draining, at(105))
			c.HoldUnanswered("r", at(110), at(120))
		}, true},
		"the next one is listed": {func(c *scheduler.Core, _ batch.Report) {
			c.RunnerListed(incarnation(2, "b"), at(105))
			c.HoldUnanswered("r", at(110), at(120))
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			core, order, _ := startOne(t, now)
			core.NoteLeaseExtension("r", now.Add(time.Minute))
			core.HandleAnswer(order, scheduler.Accepted, at(10))
			lists := batch.Report{Born: 1, Running: []batch.RunningTask{{Task: order.Task, Attempt: order.Attempt}}}
			core.RunnerListed(draining, at(15))
			core.HandleReport("r", at(20), lists, at(30))
			core.TakeRecords(1)
			core.RunnerMayHaveLeft("r", 1, at(100))
			must.True(t, core.AwaitsDeparture("r"))
			test.happens(core, lists)
			core.Decide(at(200), time.Unix(0, int64(now)))
			must.Eq(t, !test.runs, len(core.TakeRecords(1)) > 0)
		})
	}
}

// Guards against tasks that run twice: another runner answered a call to an incarnation that was
// leaving, and the next one, whose time of start is earlier, has answered a later call meanwhile.
func TestReportOutranksAnEarlierAnswerOfAnotherRunnerToOneThatWasLeaving(t *testing.T) {
	const now = worldStart
	at := func(ms int) steady.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	leaving := incarnation(5, "b")
	leaving.Address, leaving.Draining, leaving.DrainRemaining = "a", true, time.Minute
	for name, test := range map[string]struct {
		sentAt   int // ms; the report was requested at 20
		reported int64
		runs     bool
	}{
		"before":                     {10, 5, true},
		"before, and the next one's": {10, 3, true},
		"after":                      {30, 5, false},
		"after, and the next one's":  {30, 3, true}, // it may have another address
	} {
		t.Run(name, func(t *testing.T) {
			core := scheduler.New(scheduler.Options{Began: now, InheritedLeaseEnd: now.Add(time.Minute)})
			core.AddJob(labelledJob(), &batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Attempt: 1, Runner: "r"}}}, now)
			core.RunnerListed(leaving, now)
			core.RunnerUnlisted("r")
			core.HandleReport("r", at(20), batch.Report{Born: test.reported, Running: []batch.RunningTask{{Task: batch.TaskID{Job: "j"}, Attempt: 1}}}, at(25))
			core.RunnerReplaced(leaving, at(test.sentAt), at(40))
			must.Eq(t, test.runs, core.RunnerNeeded("r"))
		})
	}
}

// Guards against the same when the departure of the incarnation before is read after the report of
// the next one, which was requested since the entry of the one before was read.
func TestDepartureOfOneThatAnotherHasReportedAfterLeavesRunsAlone(t *testing.T) {
	const now = worldStart
	at := func(ms int) steady.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for name, test := range map[string]struct {
		requestedAt int // ms; the entry of incarnation 5 was read at 10
		reported    int64
		runs        bool
	}{
		"the next one's":                        {20, 3, true},
		"the next one's, with a later start":    {20, 7, true},
		"its own":                               {20, 5, false},
		"of one before, requested before it":    {5, 3, false},
		"of one after, requested before it too": {5, 7, true},
	} {
		for way, leaves := range map[string]func(*scheduler.Core){
			"left": func(c *scheduler.Core) { c.RunnerLeft("r", 5, at(40)) },
			"may have left": func(c *scheduler.Core) {
				c.RunnerMayHaveLeft("r", 5, at(40))
				c.HoldUnanswered("r", at(50), at(60))
			},
		} {
			t.Run(name+", "+way, func(t *testing.T) {
				core := scheduler.New(scheduler.Options{Began: now, InheritedLeaseEnd: now.Add(time.Minute)})
				core.AddJob(labelledJob(), &batch.Progress{State: batch.Running, Tasks: []batch.TaskProgress{{Attempt: 1, Runner: "r"}}}, now)
				leaving := incarnation(5, "b")
				leaving.Draining = true
				core.RunnerListed(leaving, at(10))
				core.RunnerListed(leaving, at(25)) // its next heartbeat
				core.HandleReport("r", at(test.requestedAt), batch.Report{Born: test.reported, Running: []batch.RunningTask{{Task: batch.TaskID{Job: "j"}, Attempt: 1}}}, at(30))
				leaves(core)
				must.Eq(t, test.runs, core.RunnerNeeded("r"))
			})
		}
	}
}
