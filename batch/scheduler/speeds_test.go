package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const speedsStart = steady.Time(time.Hour)

func memberOn(id string, estimate time.Duration) *run {
	j := &job{spec: &batch.Job{Queue: "q", Steps: []batch.Step{{Tasks: 2, Gang: true, Estimate: estimate}}}}
	return &run{unit: &unit{job: j, tasks: 2}, runner: &runner{Runner: batch.Runner{ID: id}}, startedAt: speedsStart, phase: running}
}

func report(c *Core, r *run, percent int, after time.Duration) {
	c.handleProgress(r, batch.RunningTask{Percent: percent}, speedsStart.Add(after))
}

// A gang member that is done waits at a hundred percent for the others. Reports
// from then on, and reports close to each other, don't change its pace or its
// runner's speed.
func TestPaceIsMeasuredOnlyWhileATaskProgresses(t *testing.T) {
	c := New(Options{})
	fast := memberOn("fast", 2*time.Second)
	report(c, fast, 48, time.Second)
	report(c, fast, 49, 1050*time.Millisecond)
	report(c, fast, 96, 2*time.Second)
	report(c, fast, 100, 6*time.Second)
	report(c, fast, 100, 7*time.Second)
	must.InDelta(t, 48, fast.pace, 1)
	must.Between(t, 0.8, c.speeds.timeFactor("fast"), 1.25)
}

// The members of a gang have equal work, so their paces give the relative
// speeds of their runners.
func TestGangMemberPacesGiveRunnerSpeeds(t *testing.T) {
	c := New(Options{})
	for range 4 {
		slow, fast := memberOn("slow", 4*time.Second), memberOn("fast", 4*time.Second)
		fast.unit = slow.unit
		report(c, slow, 15, time.Second)
		report(c, fast, 40, time.Second)
	}
	ratio := c.speeds.timeFactor("slow") / c.speeds.timeFactor("fast")
	must.InDelta(t, 40.0/15, ratio, 0.4)
}

// A runner that slows down during a run is estimated as slow at the next
// measurement.
func TestPaceChangeUpdatesRunnerSpeed(t *testing.T) {
	c := New(Options{})
	r := memberOn("r", 10*time.Second)
	report(c, r, 10, time.Second)
	report(c, r, 20, 2*time.Second)
	before := c.speeds.timeFactor("r")
	report(c, r, 27, 6*time.Second)
	must.Between(t, 4, c.speeds.timeFactor("r")/before, 8)
}

// A gang that is started again continues from the checkpoint of the member that
// had progressed furthest.
func TestGangKeepsItsFurthestCheckpoint(t *testing.T) {
	c := New(Options{})
	slow, fast := memberOn("slow", 4*time.Second), memberOn("fast", 4*time.Second)
	fast.unit = slow.unit
	progress := func(r *run, percent int, checkpoint string) {
		c.handleProgress(r, batch.RunningTask{Percent: percent, Checkpoint: checkpoint}, speedsStart.Add(time.Second))
	}
	progress(slow, 30, "at-30")
	progress(fast, 70, "at-70")
	progress(slow, 40, "at-40")
	must.Eq(t, "at-70", slow.unit.checkpoint)
	progress(fast, 90, "at-90")
	progress(slow, 50, "")
	must.Eq(t, "at-90", slow.unit.checkpoint)
	slow.attempt = 2 // the next attempt counts its percents anew
	progress(slow, 10, "at-95")
	must.Eq(t, "at-95", slow.unit.checkpoint)
}
