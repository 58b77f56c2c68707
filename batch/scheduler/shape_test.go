package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
)

// Guards against a gang that waits for as long as others of its shape come: a younger one still
// waits for room in one rack, and the older one, which doesn't any more, isn't considered.
func TestGangIsSpreadAlthoughAYoungerOneWaitsForOneRack(t *testing.T) {
	w := faultFreeWorld(t, 3, 3)
	occupant := gang(2, 8, time.Minute)
	occupant.SameRack = true
	for i := range 3 { // leaves one runner in each rack
		w.submit(batch.Job{ID: fmt.Sprintf("occupant%d", i), Priority: 1, Steps: []batch.Step{occupant}}, time.Minute, false)
	}
	w.run(500 * time.Millisecond)
	wide := gang(3, 8, 20*time.Second)
	wide.SameRack = true
	w.submit(batch.Job{ID: "old", Priority: 1, Stretch: 10, Steps: []batch.Step{wide}}, time.Minute, false)
	smaller := wide
	smaller.Estimate = 10 * time.Second // it is placed first
	for i := range 4 {
		w.run(1500 * time.Millisecond)
		w.submit(batch.Job{ID: fmt.Sprintf("young%d", i), Priority: 1, Stretch: 10, Steps: []batch.Step{smaller}}, time.Minute, false)
	}
	w.run(time.Second)
	must.Eq(t, 3, total(w.runsOf("old")))
}

// Guards against a gang that never starts on the runners that are reserved for it: another of its
// shape, which is placed first, is refused there, and the gang isn't considered.
func TestReservedRunnersAreUsedBesideAGangOfTheSameShape(t *testing.T) {
	w := faultFreeWorld(t, 1, 10)
	for i := range 10 {
		work := time.Minute
		if i < 4 {
			work = 12 * time.Second
		}
		w.submit(batch.Job{ID: fmt.Sprintf("occupant%d", i), Priority: 1, Steps: []batch.Step{gang(1, 8, work)}}, work, false)
	}
	w.run(500 * time.Millisecond)
	w.submit(batch.Job{ID: "old", Priority: 1, Stretch: 2, Steps: []batch.Step{gang(4, 8, 6*time.Second)}}, 30*time.Second, false)
	w.run(4 * time.Second)
	w.submit(batch.Job{ID: "young", Priority: 1, Stretch: 2, Steps: []batch.Step{gang(4, 8, 5*time.Second)}}, 30*time.Second, false)
	for i := range 4 {
		w.runUntilCompleted(fmt.Sprintf("occupant%d", i))
	}
	w.run(time.Second)
	must.Eq(t, 4, total(w.runsOf("old")))
}

// Guards against a guarantee that isn't reclaimed in time: an urgent gang of another organisation,
// beyond its guarantee, is considered first, may not throw that much work away, and is refused.
func TestGuaranteeIsReclaimedBesideAGangOfTheSameShape(t *testing.T) {
	w := faultFreeWorld(t, 2, 3)
	for i := range 6 {
		w.submit(batch.Job{ID: fmt.Sprintf("occupant%d", i), Organisation: "two", Priority: 1, Steps: []batch.Step{gang(1, 8, time.Minute)}}, time.Minute, false)
	}
	w.run(30 * time.Second)
	w.submit(batch.Job{ID: "beyond", Organisation: "two", Stretch: 1.5, Steps: []batch.Step{gang(3, 8, 2*time.Second)}}, 2*time.Second, false)
	w.submit(batch.Job{ID: "within", Organisation: "one", Stretch: 1.5, Steps: []batch.Step{gang(3, 8, 2500*time.Millisecond)}}, 2500*time.Millisecond, false)
	submitted := w.now
	for w.state("within") != batch.Running && w.now.Sub(submitted) < 10*time.Second {
		w.run(worldTick)
	}
	must.LessEq(t, guaranteeDue, w.now.Sub(submitted))
}

// runUntilCompleted runs the world until a job is completed, for a minute at most.
func (w *world) runUntilCompleted(job string) {
	for end := w.now.Add(time.Minute); w.state(job) != batch.Completed && w.now.Before(end); {
		w.run(worldTick)
	}
	must.Eq(w.t, batch.Completed, w.state(job))
}
