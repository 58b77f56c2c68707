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

// A gang that fits in no rack waits for a limited time before it is spread over
// several. A new scheduler counts that wait from the job's acceptance, not from
// its own start.
func TestWaitCountsFromAcceptanceAfterATakeover(t *testing.T) {
	w := faultFreeWorld(t, 2, 3)
	step := gang(4, 8, 20*time.Second)
	step.SameRack = true
	occupant := gang(3, 8, time.Minute)
	occupant.SameRack = true
	w.submit(batch.Job{ID: "occupant", Priority: 1, Steps: []batch.Step{occupant}}, time.Minute, false)
	w.run(200 * time.Millisecond)
	w.submit(batch.Job{ID: "wide", Priority: 1, Steps: []batch.Step{step}}, 5*time.Second, false)
	w.run(5 * time.Second)
	must.Eq(t, batch.State(""), w.state("wide"))
	w.cancel("occupant")
	w.killScheduler()
	w.run(3 * time.Second)
	w.startScheduler()
	w.run(2 * time.Second)
	must.Eq(t, batch.Running, w.state("wide"))
}

// An urgent gang within its organisation's guarantee starts in time although
// others hold all capacity, however much work the preemption throws away.
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
		must.Eq(t, 1, w.pool.CountTaskRuns(task)+w.doneCount(task), must.Sprint(task))
	}
}

func (w *world) doneCount(task batch.TaskID) int {
	if w.recordedDone(task) {
		return 1
	}
	return 0
}

// Stops on slowed runners are carried out late. An urgent gang within its
// organisation's guarantee doesn't wait for them: it is started on other runners
// in time.
func TestGuaranteeIsReclaimedAlthoughStopsAreLate(t *testing.T) {
	w := faultFreeWorld(t, 3, 4)
	for i := range 12 {
		w.submit(batch.Job{ID: fmt.Sprintf("other%02d", i), Organisation: "two", Priority: 1, Steps: []batch.Step{gang(1, 8, time.Minute)}}, time.Minute, false)
	}
	w.run(20 * time.Second)
	late := orderFault{answerLost: true, delay: 5 * time.Second}
	w.nextFaults = []orderFault{late, late, late, late, late, late} // three stops and their retries
	w.submit(batch.Job{ID: "urgent", Organisation: "one", Stretch: 1.5, Steps: []batch.Step{gang(3, 8, time.Second)}}, time.Second, false)
	submitted := w.now
	for w.state("urgent") != batch.Running && w.now.Sub(submitted) < 10*time.Second {
		w.run(worldTick)
	}
	must.LessEq(t, guaranteeDue, w.now.Sub(submitted))
}

// guaranteeDue is the time within which a guarantee is given back to its
// organisation.
const guaranteeDue = 2900 * time.Millisecond

// Beyond the guarantee, preemption doesn't throw away long unsaved work for a
// short job.
func TestPreemptionIsBoundedByLostWork(t *testing.T) {
	w := faultFreeWorld(t, 1, 2)
	for i := range 2 {
		w.submit(batch.Job{ID: fmt.Sprintf("long%d", i), Organisation: "two", Priority: 1, Steps: []batch.Step{gang(1, 8, time.Minute)}}, 40*time.Second, false)
	}
	w.run(15 * time.Second)
	w.submit(batch.Job{ID: "short", Organisation: "two", Stretch: 1.5, Steps: []batch.Step{gang(1, 1, 500*time.Millisecond)}}, 500*time.Millisecond, false)
	w.run(5 * time.Second)
	must.Eq(t, 1, w.pool.CountTaskRuns(batch.TaskID{Job: "long0"}))
	must.Eq(t, 1, w.pool.CountTaskRuns(batch.TaskID{Job: "long1"}))
	must.Eq(t, batch.State(""), w.state("short"))
	w.run(60 * time.Second)
	must.Eq(t, batch.Completed, w.state("short"))
}

// Urgent gangs run on the runners that were learned to be fast. Guards against
// a fault in which members that waited at a hundred percent for a slower one
// made their runners look slow, so that urgent work ran on slow runners.
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

// learnSpeeds runs gangs that span fast and slow runners until their speeds are
// learned.
func learnSpeeds(w *world) {
	for i := range 12 {
		w.submit(batch.Job{ID: fmt.Sprintf("learn%02d", i), Priority: 1, Steps: []batch.Step{gang(6, 8, 2*time.Second)}}, 2*time.Second, false)
		w.run(2 * time.Second)
	}
	w.run(20 * time.Second)
}

// Learned speeds are passed on to the next scheduler. Without that, urgent work
// ran on slow runners after a takeover until the speeds were learned again.
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

// Under heavy load the capacity that is free, or cheapest to free, is on the
// slow runners. An urgent job that would be late there preempts other work on a
// fast runner.
func TestUrgentWorkPreemptsOnFastRunners(t *testing.T) {
	for name, onSlow := range map[string]int{"slow runners are free": 0, "nothing is free": 16} {
		t.Run(name, func(t *testing.T) {
			w := faultFreeWorld(t, 1, 6) // two fast, two average and two slow ones
			w.killScheduler()
			w.learned = knownSpeeds()
			w.startScheduler()
			w.run(8 * time.Second)
			w.submit(singleTaskJob("others", 32, false), 40*time.Second, false)
			w.run(6 * time.Second)
			if onSlow > 0 {
				w.submit(singleTaskJob("resumable", onSlow, true), 40*time.Second, false)
				w.run(time.Second)
			}
			must.Eq(t, onSlow, w.pool.Runner("r0-2").CountRuns()+w.pool.Runner("r0-5").CountRuns())
			w.submit(batch.Job{ID: "urgent", Stretch: 1.5, TargetLatency: 250 * time.Millisecond, Steps: []batch.Step{gang(1, 8, 3*time.Second)}}, 3*time.Second, false)
			w.run(4750 * time.Millisecond) // its target; a slow runner needs 4.8 s
			must.Eq(t, batch.Completed, w.state("urgent"))
			w.run(120 * time.Second)
			must.Eq(t, batch.Completed, w.state("others"))
		})
	}
}

// singleTaskJob returns a job of single tasks of 40 s for which slow runners
// are too slow.
func singleTaskJob(id string, tasks int, resumable bool) batch.Job {
	return batch.Job{ID: id, Priority: 2, Stretch: 2, Steps: []batch.Step{{
		Tasks: tasks, Checkpoints: resumable, Estimate: 40 * time.Second,
		Request: batch.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1},
	}}}
}

// Urgent single tasks get their capacity in the same scheduling pass, not one
// after the other: a guarantee of many accelerators is due back within 3 s.
func TestUrgentTasksPreemptInOnePass(t *testing.T) {
	w := faultFreeWorld(t, 1, 6)
	w.submit(singleTaskJob("others", 48, true), 40*time.Second, false)
	w.run(3 * time.Second)
	urgent := batch.Step{Tasks: 5, Estimate: 3 * time.Second, Request: batch.Resources{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}}
	w.submit(batch.Job{ID: "urgent", Stretch: 1.5, TargetLatency: 250 * time.Millisecond, Steps: []batch.Step{urgent}}, 3*time.Second, false)
	w.run(3 * worldTick) // a scheduling pass, and the delivery of the stops
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

// A task without progress on a hanging runner is moved to another one.
func TestStalledWorkIsMoved(t *testing.T) {
	w := faultFreeWorld(t, 1, 2)
	w.pool.Runner("r0-0").Hangs = true
	w.pool.Runner("r0-1").Hangs = true
	w.submit(batch.Job{ID: "stuck", Steps: []batch.Step{gang(1, 8, time.Second)}, Stretch: 1.5}, time.Second, false)
	w.run(time.Second)
	on := "r0-0"
	if w.pool.Runner("r0-0").CountRuns() == 0 {
		on = "r0-1"
	}
	other := map[string]string{"r0-0": "r0-1", "r0-1": "r0-0"}[on]
	w.pool.Runner(other).Hangs = false
	w.run(6 * time.Second)
	must.Eq(t, batch.Completed, w.state("stuck"))
}

// A step starts after the steps before it, and a scheduled job at its times. A
// job whose tasks fail ends as failed after its maximum number of attempts.
func TestStepOrderScheduleAndMaxAttempts(t *testing.T) {
	w := faultFreeWorld(t, 1, 3)
	second := gang(2, 2, time.Second)
	second.After = []int{0}
	w.submit(batch.Job{ID: "steps", Priority: 1, Steps: []batch.Step{gang(2, 2, time.Second), second}}, time.Second, false)
	w.submit(batch.Job{ID: "failing", Priority: 1, MaxAttempts: 2, Steps: []batch.Step{gang(2, 2, time.Second)}}, time.Second, true)
	w.submit(batch.Job{ID: "timed", Priority: 1, Steps: []batch.Step{gang(1, 1, time.Second)}, Schedule: &batch.Schedule{
		Occurrences: 3, First: time.Unix(0, int64(w.now)).Add(4 * time.Second), Interval: 2 * time.Second,
	}}, time.Second, false)
	w.run(30 * time.Second)
	must.Eq(t, batch.Completed, w.state("steps"))
	must.Eq(t, batch.Failed, w.state("failing"))
	must.Eq(t, batch.Completed, w.state("timed"))
	for _, row := range w.store["failing"].Tasks {
		must.Eq(t, 2, row.Failures)
	}
}

// Nothing starts on a draining runner, in an evacuated failure domain, on a
// runner without the label that the step requires, or beyond the step's limit
// per runner.
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
	must.Eq(t, 2, w.pool.Runner("r1-1").CountRuns())
	must.Eq(t, 0, w.pool.Runner("r0-0").CountRuns()+w.pool.Runner("r0-1").CountRuns()+w.pool.Runner("r1-0").CountRuns())
	must.Eq(t, batch.State(""), w.state("labelled"))
}

// Nothing starts while the store is down, because the next scheduler would not
// know of the run.
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

// An end that could not be recorded stays unacknowledged at its runner, so the
// next scheduler receives it and does not run the task again.
func TestUnrecordedEndSurvivesTakeover(t *testing.T) {
	w := faultFreeWorld(t, 1, 2)
	w.submit(batch.Job{ID: "unrecorded", Priority: 1, Steps: []batch.Step{gang(1, 1, time.Second)}}, time.Second, false)
	w.run(200 * time.Millisecond)
	w.storeDown = true
	w.run(4 * time.Second)
	w.killScheduler()
	w.storeDown = false
	w.run(time.Second)
	w.startScheduler()
	w.run(3 * time.Second)
	must.Eq(t, batch.Completed, w.state("unrecorded"))
	must.Eq(t, 1, w.starts)
}

// Many equal tasks are placed in one scheduling pass, and no runner gets more
// than it has room for.
func TestManyEqualTasksArePlacedInOnePass(t *testing.T) {
	w := faultFreeWorld(t, 4, 6)
	w.submit(batch.Job{ID: "wide", Priority: 1, Steps: []batch.Step{
		{Tasks: 190, Estimate: time.Minute, Request: batch.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}},
	}}, time.Minute, false)
	w.run(100 * time.Millisecond)
	placed := 0
	for _, id := range w.allRunners() {
		placed += w.pool.Runner(id).CountRuns()
		must.LessEq(t, 8, w.pool.Runner(id).CountRuns())
	}
	must.Eq(t, 190, placed)
}
