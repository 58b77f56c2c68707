package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// startOfStarvedGang plays small tasks that come faster than the runners finish them,
// and returns how long a gang of whole runners among them waits for its start.
func startOfStarvedGang(t *testing.T, off mechanism.Set) time.Duration {
	w := newWorld(t, 1, faults{})
	w.off = off
	w.addRunners(1, 6)
	w.startScheduler()
	w.run(1500 * time.Millisecond)
	small := batch.Step{Tasks: 8, Estimate: 4 * time.Second, Request: batch.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}}
	var submitted steady.Time
	for i := range 90 {
		w.submit(batch.Job{ID: fmt.Sprintf("small%02d", i), Priority: 2, Steps: []batch.Step{small}}, 4*time.Second, false)
		if i == 15 {
			submitted = w.now
			w.submit(batch.Job{ID: "gang", Priority: 1, Stretch: 3, Steps: []batch.Step{gang(4, 8, 6*time.Second)}}, 6*time.Second, false)
		}
		w.run(500 * time.Millisecond)
		if submitted != 0 && total(w.runsOf("gang")) == 4 {
			return w.now.Sub(submitted)
		}
	}
	return w.now.Sub(submitted)
}

// Small tasks take each runner that becomes free, so that a gang that needs four whole
// runners at once never starts. With a reservation it starts within its target time.
func TestGangStartsAmongSmallTasks(t *testing.T) {
	const target = 3 * 6 * time.Second
	must.LessEq(t, target, startOfStarvedGang(t, mechanism.Set{}))
	must.Greater(t, target, startOfStarvedGang(t, mechanism.Without(mechanism.Reservation)))
}

// A gang that would start late is started all the same while most of the service is
// free, after a second at most: nobody else uses the runners on which it is slow.
func TestGangDoesNotWaitForFastRunnersInAFreeService(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.addRunners(2, 6)
	w.learned = batch.Speeds{Runners: make(map[string]batch.Speed)}
	for _, id := range w.runnerIDs {
		w.learned.Runners[id] = batch.Speed{LogFactor: 1.2, Variance: 0.001}
	}
	for _, id := range w.runnerIDs[:2] {
		w.learned.Runners[id] = batch.Speed{LogFactor: -0.7, Variance: 0.001}
	}
	w.startScheduler()
	w.run(8 * time.Second)
	w.submit(batch.Job{ID: "long", Priority: 1, Stretch: 1.5, Steps: []batch.Step{gang(2, 8, 20*time.Second)}}, 20*time.Second, false)
	w.run(2 * time.Second)
	w.submit(batch.Job{ID: "waiting", Priority: 1, Stretch: 3, Steps: []batch.Step{gang(2, 8, 20*time.Second)}}, 20*time.Second, false)
	w.run(1200 * time.Millisecond)
	must.Eq(t, 2, total(w.runsOf("waiting")))
}
