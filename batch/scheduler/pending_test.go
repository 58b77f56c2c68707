package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// startOne returns a core that has decided to start the only task of job "j", the order,
// and the job's record.
func startOne(t *testing.T, now steady.Time) (*scheduler.Core, scheduler.Order, batch.Progress) {
	return startOneWith(t, scheduler.Options{}, now)
}

func startOneWith(t *testing.T, o scheduler.Options, now steady.Time) (*scheduler.Core, scheduler.Order, batch.Progress) {
	core := scheduler.New(o)
	core.RunnerListed(batch.Runner{ID: "r", Service: "s", Capacity: batch.Resources{MilliCPU: 1000}}, now)
	core.HandleReport("r", now, batch.Report{Born: 1}, now)
	core.AddJob(oneTaskJob(), nil, now)
	core.Decide(now, time.Unix(0, int64(now)))
	records := core.TakeRecords(1)
	must.Len(t, 1, records)
	core.RecordCommitted("j", records[0].Version, now)
	orders := core.TakeOrders()
	must.Len(t, 1, orders)
	return core, orders[0], records[0].Progress
}

func oneTaskJob() *batch.Job {
	return &batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 1}}}
}

// Guards against a job that isn't counted as pending although none of its tasks has begun:
// its start is planned, was refused, or has no answer.
func TestJobIsQueuedUntilATaskHasBegun(t *testing.T) {
	const now = worldStart
	running := func(o scheduler.Order) batch.Report {
		return batch.Report{Born: 1, Running: []batch.RunningTask{{Task: o.Task, Attempt: o.Attempt}}}
	}
	ended := func(o scheduler.Order) batch.Report {
		return batch.Report{Born: 1, Ended: []batch.EndedTask{{Sequence: 1, Task: o.Task, Attempt: o.Attempt, Reason: batch.EndFailed}}}
	}
	for name, test := range map[string]struct {
		happens func(*scheduler.Core, scheduler.Order)
		want    batch.State
	}{
		"planned":           {func(*scheduler.Core, scheduler.Order) {}, batch.Queued},
		"refused":           {func(c *scheduler.Core, o scheduler.Order) { c.HandleAnswer(o, scheduler.NotExecuted, now) }, batch.Queued},
		"runner unhealthy":  {func(c *scheduler.Core, o scheduler.Order) { c.HandleAnswer(o, scheduler.Unhealthy, now) }, batch.Queued},
		"without an answer": {func(c *scheduler.Core, o scheduler.Order) { c.HandleAnswer(o, scheduler.OutcomeUnknown, now) }, batch.Queued},
		"accepted":          {func(c *scheduler.Core, o scheduler.Order) { c.HandleAnswer(o, scheduler.Accepted, now) }, batch.Running},
		"listed":            {func(c *scheduler.Core, o scheduler.Order) { c.HandleReport("r", now, running(o), now) }, batch.Running},
		"ended":             {func(c *scheduler.Core, o scheduler.Order) { c.HandleReport("r", now, ended(o), now) }, batch.Running},
	} {
		t.Run(name, func(t *testing.T) {
			core, order, _ := startOne(t, now)
			test.happens(core, order)
			state, _ := core.JobState("j")
			must.Eq(t, test.want, state)
		})
	}
}

// After a takeover a job whose start may be under way is still pending, until its runner
// lists the task.
func TestInheritedJobIsQueuedUntilATaskHasBegun(t *testing.T) {
	const now = worldStart
	_, order, recorded := startOne(t, now)
	must.Eq(t, batch.Queued, recorded.State)
	next := scheduler.New(scheduler.Options{InheritedLeaseEnd: now.Add(worldLease)})
	next.AddJob(oneTaskJob(), &recorded, now)
	state, _ := next.JobState("j")
	must.Eq(t, batch.Queued, state)
	next.HandleReport("r", now, batch.Report{Born: 1, Running: []batch.RunningTask{{Task: order.Task, Attempt: order.Attempt}}}, now)
	state, _ = next.JobState("j")
	must.Eq(t, batch.Running, state)
}
