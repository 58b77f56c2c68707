package scheduler_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Bounds on the absence of a long-running task: it must run again 6 s after its last run, and may
// be seen away for 3 s while there is room for two of it.
const (
	restartDue   = 6 * time.Second
	restartGrace = 3 * time.Second
)

// workClass draws steps of one class of work.
type workClass struct {
	name     string
	priority int
	draw     func(rng *rand.Rand, runners int) batch.Step
	stream   time.Duration // time between two jobs; 0: one job
	work     time.Duration
	plays    int // of each class that must run beside it
}

func drawAccelerated(rng *rand.Rand, tasks int) batch.Step {
	return accelerated(tasks, 1+rng.Int64N(6))
}

var (
	lastingClass = workClass{name: "lasting", plays: 4, priority: 2, work: time.Hour, draw: func(rng *rand.Rand, n int) batch.Step {
		s := longRunning(drawAccelerated(rng, n/2+rng.IntN(n)))
		s.PerRunner = rng.IntN(3)
		return s
	}}
	servingClass = workClass{name: "serving", plays: 4, priority: 1, work: time.Hour, draw: func(rng *rand.Rand, n int) batch.Step {
		s := servingStep(1 + rng.IntN(max(1, n/2)))
		s.PerRunner = rng.IntN(2)
		return s
	}}
	fillingClass = workClass{name: "filling", plays: 10, priority: 2, work: time.Hour, draw: func(rng *rand.Rand, n int) batch.Step {
		s := lastingFillers(1 + rng.IntN(2*n))
		s.PerRunner = rng.IntN(3)
		return s
	}}
	urgentClass = workClass{name: "urgent", plays: 4, stream: time.Second, work: 3 * time.Second, draw: func(rng *rand.Rand, n int) batch.Step {
		return drawAccelerated(rng, 1+rng.IntN(n))
	}}
	ordinaryClass = workClass{name: "ordinary", plays: 4, priority: 1, stream: time.Second, work: 6 * time.Second, draw: func(rng *rand.Rand, n int) batch.Step {
		return drawAccelerated(rng, 1+rng.IntN(n))
	}}
	gangClass = workClass{name: "gangs", plays: 20, priority: 1, stream: 8 * time.Second, work: 8 * time.Second, draw: func(rng *rand.Rand, n int) batch.Step {
		return gang(max(1, n/2), 4+rng.Int64N(5), 8*time.Second)
	}}
)

// absence follows the tasks of a job and finds those that are away for too long.
type absence struct {
	job      string
	step     batch.Step
	lastRun  []steady.Time // by task
	idleFrom []steady.Time // since when the task is due and there is room for two; 0: isn't so
	left     map[string]bool
}

// check returns the index of a task that is away beyond its bound; -1: there is none.
func (a *absence) check(w *world) int {
	room := w.roomFor(a.step, a.job, a.left)
	for i := range a.lastRun {
		switch {
		case w.pool.CountTaskRuns(batch.TaskID{Job: a.job, Index: i}) > 0:
			a.lastRun[i], a.idleFrom[i] = w.now, 0
		case a.lastRun[i].IsZero() || room < 2 || w.now.Sub(a.lastRun[i]) < restartDue:
			a.idleFrom[i] = 0
		case a.idleFrom[i].IsZero():
			a.idleFrom[i] = w.now
		case w.now.Sub(a.idleFrom[i]) >= restartGrace:
			return i
		}
	}
	return -1
}

// roomFor counts the tasks of a job that fit on the runners that haven't left. One that uses idle
// CPU has no room beside tasks that serve users, as nothing paces it.
func (w *world) roomFor(step batch.Step, job string, left map[string]bool) int {
	room := 0
	for _, id := range w.allRunners() {
		if left[id] || step.UsesIdleCPU && w.servesOn(id) {
			continue
		}
		r := w.pool.Runner(id)
		limit, free := step.Tasks, r.Capacity.Minus(r.Used())
		if step.PerRunner > 0 {
			limit = step.PerRunner - w.pool.CountJobRuns(id, job)
		}
		for n := 0; n < limit && step.ReservedResources().Fits(free); n++ {
			free = free.Minus(step.ReservedResources())
			room++
		}
	}
	return room
}

// servesOn reports whether a task that serves users is on the runner.
func (w *world) servesOn(id string) bool {
	for name, j := range w.jobs {
		if j.Steps[0].ServesUsers() && w.pool.CountJobRuns(id, name) > 0 {
			return true
		}
	}
	return false
}

// playPair runs a job of one class beside work of another one on a drawn fleet, while two runners
// leave and, in half of the plays, some of its tasks fail. It returns what was away beyond its bound; empty:
// nothing was.
func playPair(t *testing.T, seed uint64, must, other workClass) string {
	const length, tick, job = 45 * time.Second, 50 * time.Millisecond, "must"
	rng := rand.New(rand.NewPCG(seed, 33))
	runners := 4 + rng.IntN(8)
	w := faultFreeWorld(t, 1, runners)
	step := must.draw(rng, runners)
	if rng.IntN(2) == 0 {
		w.failsAfter = make(map[batch.TaskID]time.Duration)
		for i := range step.Tasks {
			if rng.IntN(3) == 0 {
				w.failsAfter[batch.TaskID{Job: job, Index: i}] = 12 * time.Second
			}
		}
	}
	others := 0
	submitOther := func() {
		w.submit(batch.Job{ID: fmt.Sprintf("other%d", others), Priority: other.priority, Stretch: 1.5, Steps: []batch.Step{other.draw(rng, runners)}}, other.work, false)
		others++
	}
	if rng.IntN(2) == 0 {
		submitOther()
		w.run(time.Second)
	}
	w.submit(batch.Job{ID: job, Priority: must.priority, Steps: []batch.Step{step}}, must.work, false)
	a := &absence{job: job, step: step, lastRun: make([]steady.Time, step.Tasks), idleFrom: make([]steady.Time, step.Tasks), left: make(map[string]bool)}
	leaves := map[time.Duration]bool{12 * time.Second: true, 24 * time.Second: true}
	for at := time.Duration(0); at < length; at += tick {
		if other.stream > 0 && at%other.stream == 0 || others == 0 && at == time.Second {
			submitOther()
		}
		if leaves[at] && total(w.runsOf(job)) > 0 {
			id := w.runnerWith(job)
			w.leaveNow(id)
			a.left[id] = true
		}
		w.run(tick)
		if i := a.check(w); i >= 0 {
			return fmt.Sprintf("task %d of %d away for %v at %v, with room for %d", i, step.Tasks, w.now.Sub(a.lastRun[i]), at, w.roomFor(step, job, a.left))
		}
	}
	return ""
}

var pairSeeds = flag.Int("pair-seeds", 0, "plays of each pair of classes of work; 0: a few, more where plays are short and faults rare")

// Guards against work of any class that keeps a long-running task away beyond its bound while there
// is room for two of it.
func TestLongRunningTasksRestartBesideEachClassOfWork(t *testing.T) {
	for _, must := range []workClass{lastingClass, servingClass, fillingClass} {
		for _, other := range []workClass{urgentClass, ordinaryClass, gangClass, lastingClass, servingClass, fillingClass} {
			t.Run(must.name+" beside "+other.name, func(t *testing.T) {
				for seed := range cmp.Or(*pairSeeds, other.plays) {
					if broken := playPair(t, uint64(seed), must, other); broken != "" {
						t.Errorf("seed %d: %s", seed, broken)
					}
				}
			})
		}
	}
}
