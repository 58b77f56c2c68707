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

// waitsSeen returns options whose observer keeps the explained waits in the slice.
func waitsSeen(waits *[]scheduler.Decision) scheduler.Options {
	return scheduler.Options{EarlierOrders: testEarlierOrders, LateOrders: testLateOrders, Observe: func(d scheduler.Decision) {
		if d.What == "wait" {
			*waits = append(*waits, d)
		}
	}}
}

// passes decides once a second until d has passed.
func passes(core *scheduler.Core, now steady.Time, d time.Duration, report batch.Report) steady.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(time.Second)
		core.HandleReport("r", now, report, now)
		core.Decide(now, time.Unix(0, int64(now)))
	}
	return now
}

// A wait is explained once it is long, and not with each pass.
func TestLongWaitIsExplained(t *testing.T) {
	now := worldStart
	var waits []scheduler.Decision
	core := scheduler.New(waitsSeen(&waits))
	for _, id := range []string{"r", "labelled", "silent"} {
		core.RunnerListed(batch.Runner{ID: id, Service: "s", Labels: []string{id[:1]}, Capacity: batch.Resources{MilliCPU: 1000}}, now)
	}
	core.HandleReport("labelled", now, batch.Report{Born: 1}, now)
	wide := batch.Step{Tasks: 2, Gang: true, Label: "r", Request: batch.Resources{MilliCPU: 1000}}
	core.AddJob(&batch.Job{ID: "wide", Service: "s", Accepted: time.Unix(0, int64(now)), MaxAttempts: 1, Stretch: 1, Steps: []batch.Step{wide}}, nil, now)
	now = passes(core, now, 3*time.Second, batch.Report{Born: 1})
	must.Len(t, 0, waits)
	passes(core, now, 20*time.Second, batch.Report{Born: 1})
	must.Len(t, 2, waits)
	must.Eq(t, "wide", waits[0].Job)
	must.Eq(t, "no room: for 1 of 2 tasks; runners full: 0, without its label: 2", waits[0].Reason)
}

// A task that has no run at work and can't be placed, as a start of it may be under way, is
// explained too.
func TestWaitForAStartUnderWayIsExplained(t *testing.T) {
	now := worldStart
	var waits []scheduler.Decision
	core, order, _ := startOneWith(t, waitsSeen(&waits), now)
	core.NoteStartSent(order, now)
	core.NoteStartUnanswered(order)
	core.RunnerLeft("r", 0, now) // its entry names no incarnation
	passes(core, now, 8*time.Second, batch.Report{Born: 1})
	must.Len(t, 1, waits)
	must.StrContains(t, waits[0].Reason, "its starts may be under way: 1 of 1 on r, over in ")
}

// The number of explanations is bounded, however many units wait.
func TestExplanationsAreBounded(t *testing.T) {
	now := worldStart
	var waits []scheduler.Decision
	core := scheduler.New(waitsSeen(&waits))
	core.RunnerListed(batch.Runner{ID: "r", Service: "s", Capacity: batch.Resources{MilliCPU: 1000}}, now)
	for i := range 40 {
		large := batch.Step{Tasks: 10, Request: batch.Resources{MilliCPU: 2000 + int64(i)}}
		core.AddJob(&batch.Job{ID: fmt.Sprintf("j%02d", i), Service: "s", Accepted: time.Unix(0, int64(now)), MaxAttempts: 1, Stretch: 1, Steps: []batch.Step{large}}, nil, now)
	}
	passes(core, now, 10*time.Second, batch.Report{Born: 1})
	must.Len(t, 5*7, waits) // first after 4 s, and then each second
}
