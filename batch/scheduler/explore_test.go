package scheduler_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
)

// move is one thing that may happen in a second of the explored day.
type move struct {
	name string
	do   func(w *world)
}

var moves = []move{
	{"nothing", func(*world) {}},
	{"kill scheduler", func(w *world) {
		w.kill()
		w.after(1500*time.Millisecond, w.leadIfNobody)
	}},
	{"lose next order", func(w *world) { w.next = append(w.next, disturbance{lost: true, silent: true}) }},
	{"lose next answer", func(w *world) { w.next = append(w.next, disturbance{silent: true}) }},
	{"carry next order out late", func(w *world) { w.next = append(w.next, disturbance{silent: true, late: 5 * time.Second}) }},
	{"cut runner off", func(w *world) { w.cut[w.busiest()] = w.now.Add(4 * time.Second) }},
	{"restart runner", func(w *world) {
		id := w.busiest()
		w.pool.Crash(w.now, id)
		w.pool.Reboot(w.now, id)
	}},
}

// busiest returns the runner that runs most.
func (w *world) busiest() string {
	return slices.MaxFunc(w.ids(), func(a, b string) int {
		return w.pool.Runner(a).Running() - w.pool.Runner(b).Running()
	})
}

const exploredSeconds = 4 // with one move at the start of each

// explore plays every sequence of moves and returns how many there were and the
// first that broke a rule or left the job undone.
func explore(t *testing.T, plant func(*world)) (played int, broken string) {
	var count atomic.Int64
	var mu sync.Mutex
	var group sync.WaitGroup
	total := 1
	for range exploredSeconds {
		total *= len(moves)
	}
	workers := make(chan struct{}, 4)
	for n := range total {
		workers <- struct{}{}
		group.Go(func() {
			defer func() { <-workers }()
			count.Add(1)
			if found := playSequence(t, n, plant); found != "" {
				mu.Lock()
				defer mu.Unlock()
				if broken == "" || found < broken {
					broken = found
				}
			}
		})
	}
	group.Wait()
	return int(count.Load()), broken
}

func playSequence(t *testing.T, n int, plant func(*world)) string {
	w := newWorld(t, 1, faults{})
	w.collect = true
	plant(w)
	w.addRunners(1, 2)
	w.lead()
	w.run(1100 * time.Millisecond)
	w.submit(batch.Job{ID: "filing", Priority: 1, Steps: []batch.Step{gang(1, 1, 6*time.Second)}}, 6*time.Second, false)
	names := ""
	for range exploredSeconds {
		m := moves[n%len(moves)]
		n /= len(moves)
		names += m.name + "; "
		m.do(w)
		w.run(time.Second)
	}
	w.run(45 * time.Second)
	switch {
	case len(w.violations) > 0:
		return names + w.violations[0]
	case w.state("filing") != batch.Completed:
		return names + fmt.Sprintf("the job is %q at the end", w.state("filing"))
	}
	return ""
}

// Every sequence of four moves around one filing: kills, lost and late orders,
// cuts and restarts. It runs once at a time, never after its recorded end, and
// is done in the end.
func TestEverySequenceOfFaultsRunsAFilingOnce(t *testing.T) {
	played, broken := explore(t, func(*world) {})
	t.Logf("%d sequences played", played)
	must.Eq(t, "", broken)
}

// The same search finds what is planted.
func TestExplorationFindsPlantedFaults(t *testing.T) {
	for name, plant := range map[string]func(*world){
		"a new scheduler doesn't wait for leases it inherits": func(w *world) { w.impatient = true },
		"ends are acknowledged before they are recorded":      func(w *world) { w.hasty = true },
	} {
		t.Run(name, func(t *testing.T) {
			_, broken := explore(t, plant)
			t.Log(broken)
			must.NotEq(t, "", broken)
		})
	}
}
