package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
)

// A run that a report lists and no record names is stopped, and the observer is told once.
func TestUnrecordedRunIsObservedAndStopped(t *testing.T) {
	const now = worldStart
	var observed []scheduler.Decision
	core := scheduler.New(scheduler.Options{Observe: func(d scheduler.Decision) { observed = append(observed, d) }})
	core.RunnerListed(incarnation(1, "b"), now)
	task := batch.TaskID{Job: "j", Index: 3}
	for i := range 3 {
		at := now.Add(time.Duration(i) * time.Second)
		core.HandleReport("r", at, batch.Report{Born: 1, Running: []batch.RunningTask{{Task: task, Attempt: 2}}}, at)
	}
	must.Len(t, 1, observed)
	must.Eq(t, scheduler.Decision{What: "unrecorded run", Job: "j", Task: task, Attempt: 2, Runner: "r", Reason: observed[0].Reason}, observed[0])
	must.Len(t, 3, core.TakeOrders())
}
