package scheduler_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
)

func gang(tasks int, accelerators int64, estimate time.Duration) batch.Step {
	return batch.Step{
		Tasks: tasks, Gang: true, Estimate: estimate,
		Request: batch.Resources{MilliCPU: 1000 * accelerators, MemoryMB: 1000 * accelerators, Accelerators: accelerators},
	}
}

func faultFreeWorld(t testing.TB, racks, each int) *world {
	w := newWorld(t, 1, faults{})
	w.addRunners(racks, each)
	w.startScheduler()
	w.run(1500 * time.Millisecond) // every runner has reported
	return w
}

// A gang that fits no rack waits for a place near its data for a while. A new
// scheduler goes on from the wait that its job has behind it.
func TestWaitCountsFromAcceptanceAfterATakeover(t *testing.T) {
	w := faultFreeWorld(t, 2, 3)
	step := gang(4, 8, 20*time.Second)
	step.SameRack = true
	filler := gang(3, 8, time.Minute)
	filler.SameRack = true
	w.submit(batch.Job{ID: "filler", Priority: 1, Steps: []batch.Step{filler}}, time.Minute, false)
	w.run(200 * time.Millisecond)
	w.submit(batch.Job{ID: "wide", Priority: 1, Steps: []batch.Step{step}}, 5*time.Second, false)
	w.run(5 * time.Second)
	must.Eq(t, batch.State(""), w.state("wide"))
	w.cancel("filler")
	w.killScheduler()
	w.run(3 * time.Second)
	w.startScheduler()
	w.run(2 * time.Second)
	must.Eq(t, batch.Running, w.state("wide"))
}

// An urgent gang within its organisation's guarantee starts in time although
// others hold everything, however much work that throws away.
func TestGuaranteeIsReclaimedInTime(t *testing.T) {
	w := faultFreeWorld(t, 2, 3)
	for i := range 6 {
		w.submit(batch.Job{ID: fmt.Sprintf("other%d", i), Organisation: "two", Priority: 1, Steps: []batch.Step{gang(1, 8, time.Minute)}}, time.Minute, false)
	}
	w.run(30 * time.Second)
	w.submit(batch.Job{ID: "urgent", Organisation: "one", Stretch: 1.5, Steps: []batch.Step{gang(3, 8, time.Second)}}, time.Second, false)
	w.run(2500 * time.Millisecond)
	for i := range 3 {
		task := batch.TaskID{Job: "urgent", Index: i}
		must.Eq(t, 1, w.pool.Running(task)+w.doneCount(task), must.Sprint(task))
	}
}

func (w *world) doneCount(task batch.TaskID) int {
	if w.recordedDone(task) {
		return 1
	}
	return 0
}

// Beyond the guarantee, long unsaved work is not thrown away for a short job.
func TestPreemptionIsBoundedByLostWork(t *testing.T) {
	w := faultFreeWorld(t, 1, 2)
	for i := range 2 {
		w.submit(batch.Job{ID: fmt.Sprintf("long%d", i), Organisation: "two", Priority: 1, Steps: []batch.Step{gang(1, 8, time.Minute)}}, 40*time.Second, false)
	}
	w.run(15 * time.Second)
	w.submit(batch.Job{ID: "short", Organisation: "two", Stretch: 1.5, Steps: []batch.Step{gang(1, 1, 500*time.Millisecond)}}, 500*time.Millisecond, false)
	w.run(5 * time.Second)
	must.Eq(t, 1, w.pool.Running(batch.TaskID{Job: "long0"}))
	must.Eq(t, 1, w.pool.Running(batch.TaskID{Job: "long1"}))
	must.Eq(t, batch.State(""), w.state("short"))
	w.run(60 * time.Second)
	must.Eq(t, batch.Completed, w.state("short"))
}

// Runners differ in speed. Members that wait for a slower one at a hundred
// percent must not make their runners look slow: urgent work then ran on truly
// slow ones.
func TestUrgentWorkRunsOnRunnersLearnedToBeFast(t *testing.T) {
	w := faultFreeWorld(t, 2, 6)
	learnSpeeds(w)
	for i := range 4 {
		id := fmt.Sprintf("urgent%d", i)
		w.submit(batch.Job{ID: id, Stretch: 1.5, Steps: []batch.Step{gang(2, 8, 2*time.Second)}}, 2*time.Second, false)
		w.run(2500 * time.Millisecond) // 2 s of work; the slow third of the runners needs 3.2 s
		must.Eq(t, batch.Completed, w.state(id), must.Sprint(id))
	}
}

// learnSpeeds plays gangs that span fast and slow runners until their speeds are known.
func learnSpeeds(w *world) {
	for i := range 12 {
		w.submit(batch.Job{ID: fmt.Sprintf("learn%02d", i), Priority: 1, Steps: []batch.Step{gang(6, 8, 2*time.Second)}}, 2*time.Second, false)
		w.run(2 * time.Second)
	}
	w.run(20 * time.Second)
}

// What was learned of the runners' speeds outlives the scheduler: after a
// takeover urgent work ran on slow runners until they were known again.
func TestLearnedSpeedsSurviveTakeover(t *testing.T) {
	w := faultFreeWorld(t, 2, 6)
	learnSpeeds(w)
	w.killScheduler()
	w.run(time.Second)
	w.startScheduler()
	w.run(8 * time.Second)
	for i := range 4 {
		id := fmt.Sprintf("urgent%d", i)
		w.submit(batch.Job{ID: id, Stretch: 1.5, Steps: []batch.Step{gang(2, 8, 2*time.Second)}}, 2*time.Second, false)
		w.run(2500 * time.Millisecond) // 2 s of work; the slow third of the runners needs 3.2 s
		must.Eq(t, batch.Completed, w.state(id), must.Sprint(id))
	}
}

// On a heavy day what is free, and what is cheapest to free, is on the slow
// runners. Other work makes way on a fast one for an urgent job that would be late.
func TestUrgentWorkPreemptsOnFastRunners(t *testing.T) {
	for name, onSlow := range map[string]int{"slow runners are free": 0, "nothing is free": 16} {
		t.Run(name, func(t *testing.T) {
			w := faultFreeWorld(t, 1, 6) // two fast, two average and two slow ones
			w.killScheduler()
			w.learned = knownSpeeds()
			w.startScheduler()
			w.run(8 * time.Second)
			w.submit(plainJob("others", 32, false), 40*time.Second, false)
			w.run(6 * time.Second)
			if onSlow > 0 {
				w.submit(plainJob("resumable", onSlow, true), 40*time.Second, false)
				w.run(time.Second)
			}
			must.Eq(t, onSlow, w.pool.Runner("r0-2").Running()+w.pool.Runner("r0-5").Running())
			w.submit(batch.Job{ID: "urgent", Stretch: 1.5, TargetLatency: 250 * time.Millisecond, Steps: []batch.Step{gang(1, 8, 3*time.Second)}}, 3*time.Second, false)
			w.run(4750 * time.Millisecond) // its target; a slow runner needs 4.8 s
			must.Eq(t, batch.Completed, w.state("urgent"))
			w.run(120 * time.Second)
			must.Eq(t, batch.Completed, w.state("others"))
		})
	}
}

// plainJob is one of single tasks of 40 s for which slow runners are too slow.
func plainJob(id string, tasks int, resumable bool) batch.Job {
	return batch.Job{ID: id, Priority: 2, Stretch: 2, Steps: []batch.Step{{
		Tasks: tasks, Checkpoints: resumable, Estimate: 40 * time.Second,
		Request: batch.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1},
	}}}
}

// Single tasks that are urgent get their room at the same time, not one after
// the other: a guarantee of many accelerators is due back within 3 s.
func TestUrgentTasksPreemptInOneDecision(t *testing.T) {
	w := faultFreeWorld(t, 1, 6)
	w.submit(plainJob("others", 48, true), 40*time.Second, false)
	w.run(3 * time.Second)
	urgent := batch.Step{Tasks: 5, Estimate: 3 * time.Second, Request: batch.Resources{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}}
	w.submit(batch.Job{ID: "urgent", Stretch: 1.5, TargetLatency: 250 * time.Millisecond, Steps: []batch.Step{urgent}}, 3*time.Second, false)
	w.run(3 * worldTick) // a decision, and the stops' way
	must.Eq(t, 8, total(w.runsOf("others")))
	w.run(700 * time.Millisecond)
	must.Eq(t, 5, total(w.runsOf("urgent")))
}

func knownSpeeds() batch.Speeds {
	known := batch.Speeds{Runners: make(map[string]batch.Speed)}
	for i, factor := range []float64{0.6, 1, 1.6, 0.6, 1, 1.6} {
		known.Runners[fmt.Sprintf("r0-%d", i)] = batch.Speed{LogFactor: math.Log(factor), Variance: 0.001}
	}
	return known
}

// A task that makes no progress on a hanging runner is moved.
func TestStalledWorkIsMoved(t *testing.T) {
	w := faultFreeWorld(t, 1, 2)
	w.pool.Runner("r0-0").Hangs = true
	w.pool.Runner("r0-1").Hangs = true
	w.submit(batch.Job{ID: "stuck", Steps: []batch.Step{gang(1, 8, time.Second)}, Stretch: 1.5}, time.Second, false)
	w.run(time.Second)
	on := "r0-0"
	if w.pool.Runner("r0-0").Running() == 0 {
		on = "r0-1"
	}
	other := map[string]string{"r0-0": "r0-1", "r0-1": "r0-0"}[on]
	w.pool.Runner(other).Hangs = false
	w.run(6 * time.Second)
	must.Eq(t, batch.Completed, w.state("stuck"))
}

// A step starts after the steps before it; a timed job at its times; a job that
// fails for good is shown as failed after its attempts and no more are made.
func TestStepOrderScheduleAndMaxAttempts(t *testing.T) {
	w := faultFreeWorld(t, 1, 3)
	second := gang(2, 2, time.Second)
	second.After = []int{0}
	w.submit(batch.Job{ID: "steps", Priority: 1, Steps: []batch.Step{gang(2, 2, time.Second), second}}, time.Second, false)
	w.submit(batch.Job{ID: "hopeless", Priority: 1, MaxAttempts: 2, Steps: []batch.Step{gang(2, 2, time.Second)}}, time.Second, true)
	w.submit(batch.Job{ID: "timed", Priority: 1, Steps: []batch.Step{gang(1, 1, time.Second)}, Schedule: &batch.Schedule{
		Occurrences: 3, First: time.Unix(0, int64(w.now)).Add(4 * time.Second), Interval: 2 * time.Second,
	}}, time.Second, false)
	w.run(30 * time.Second)
	must.Eq(t, batch.Completed, w.state("steps"))
	must.Eq(t, batch.Failed, w.state("hopeless"))
	must.Eq(t, batch.Completed, w.state("timed"))
	for _, row := range w.store["hopeless"].Tasks {
		must.Eq(t, 2, row.Failures)
	}
}

// Nothing starts on a runner that is leaving or in an evacuated failure domain,
// without the label that a step asks for, or beyond its spread limit.
func TestPlacementFilters(t *testing.T) {
	w := faultFreeWorld(t, 2, 2)
	w.core.SetEvacuated(map[string]bool{"fd0": true})
	leaving := w.pool.Runner("r1-0").Runner
	leaving.Draining = true
	w.core.RunnerListed(leaving, w.now)
	spread := batch.Step{Tasks: 3, PerRunner: 2, Estimate: time.Second, Request: batch.Resources{Accelerators: 1}}
	w.submit(batch.Job{ID: "spread", Priority: 1, Steps: []batch.Step{spread}}, time.Minute, false)
	labelled := gang(1, 1, time.Second)
	labelled.Label = "rack0"
	w.submit(batch.Job{ID: "labelled", Priority: 1, Steps: []batch.Step{labelled}}, time.Second, false)
	w.run(8 * time.Second)
	must.Eq(t, 2, w.pool.Runner("r1-1").Running())
	must.Eq(t, 0, w.pool.Runner("r0-0").Running()+w.pool.Runner("r0-1").Running()+w.pool.Runner("r1-0").Running())
	must.Eq(t, batch.State(""), w.state("labelled"))
}

// Without the store nothing starts: the next scheduler would not know of it.
func TestNothingStartsBeforeItsRecordIsCommitted(t *testing.T) {
	w := faultFreeWorld(t, 1, 2)
	w.storeDown = true
	w.submit(batch.Job{ID: "new", Priority: 1, Steps: []batch.Step{gang(1, 1, time.Second)}}, time.Second, false)
	w.run(5 * time.Second)
	must.Eq(t, 0, w.starts)
	w.storeDown = false
	w.run(3 * time.Second)
	must.Eq(t, batch.Completed, w.state("new"))
}

// An end that could not be recorded stays with its runner, so the next
// scheduler learns of it and does not run the task again.
func TestUnrecordedEndSurvivesTakeover(t *testing.T) {
	w := faultFreeWorld(t, 1, 2)
	w.submit(batch.Job{ID: "filing", Priority: 1, Steps: []batch.Step{gang(1, 1, time.Second)}}, time.Second, false)
	w.run(200 * time.Millisecond)
	w.storeDown = true
	w.run(4 * time.Second)
	w.killScheduler()
	w.storeDown = false
	w.run(time.Second)
	w.startScheduler()
	w.run(3 * time.Second)
	must.Eq(t, batch.Completed, w.state("filing"))
	must.Eq(t, 1, w.starts)
}

// Many equal tasks are placed in one decision, each where there is room left.
func TestManyEqualTasksInOneDecision(t *testing.T) {
	w := faultFreeWorld(t, 4, 6)
	w.submit(batch.Job{ID: "wide", Priority: 1, Steps: []batch.Step{
		{Tasks: 190, Estimate: time.Minute, Request: batch.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}},
	}}, time.Minute, false)
	w.run(100 * time.Millisecond)
	placed := 0
	for _, id := range w.ids() {
		placed += w.pool.Runner(id).Running()
		must.LessEq(t, 8, w.pool.Runner(id).Running())
	}
	must.Eq(t, 190, placed)
}
