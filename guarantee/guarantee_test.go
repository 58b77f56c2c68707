package guarantee

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
	"github.com/shoenig/test/must"
)

func shape(tasks, perTask int, a job.Adjacency) job.Shape {
	return job.Shape{Tasks: tasks, AcceleratorsPerTask: perTask, Adjacency: a}
}

func capacity(sizes ...int) *topology.Capacity {
	var ws []topology.Worker
	for i, n := range sizes {
		ws = append(ws, topology.Worker{Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), Accelerators: n})
	}
	return topology.NewCapacity(topology.NewCluster(ws))
}

func TestInsideRequiresRoomInEveryPlacement(t *testing.T) {
	cases := []struct {
		inner, outer job.Shape
		want         bool
	}{
		{shape(2, 4, job.SameRack), shape(2, 4, job.SameRack), true},
		{shape(4, 2, job.SameRack), shape(2, 4, job.SameRack), true},
		{shape(2, 4, job.SameRack), shape(4, 2, job.SameRack), false},           // a task may be split over workers
		{shape(2, 4, job.SameRack), shape(2, 4, job.SameFailureDomain), false},  // the outer placement may span racks
		{shape(2, 2, job.SameWorker), shape(9, 4, job.SameFailureDomain), true}, // within one task's worker
		{shape(2, 3, job.SameRack), shape(3, 2, job.SameWorker), true},          // all on one worker
		{shape(3, 3, job.SameFailureDomain), shape(2, 4, job.SameRack), false},
	}
	for _, c := range cases {
		must.Eq(t, c.want, Inside(c.inner, c.outer), must.Sprintf("%+v in %+v", c.inner, c.outer))
	}
}

// TestPlanBackingMatchesExhaustiveSearch backs random slots and compares the
// result with trying every placement of every task.
func TestPlanBackingMatchesExhaustiveSearch(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 4))
	adjacencies := []job.Adjacency{job.SameWorker, job.SameRack, job.SameFailureDomain}
	backed := 0
	for range 10_000 {
		k := capacity(r.IntN(5), r.IntN(5), r.IntN(5), r.IntN(5), r.IntN(5))
		var gs []Guarantee
		for range 1 + r.IntN(5) {
			gs = append(gs, Guarantee{"a", shape(1+r.IntN(3), 1+r.IntN(3), adjacencies[r.IntN(3)]), 1})
		}
		a := NewAssignment(gs)
		b := a.PlanBacking(k, a.UnusedSlots(-1))
		want := packs(k.Clone(), a.Slots())
		must.Eq(t, want, len(b.UnbackedSlots()) == 0, must.Sprintf("%+v", gs))
		if want {
			backed++
			checkPlacements(t, k.Clone(), a, b)
		}
	}
	must.Greater(t, 300, backed)
}

// checkPlacements checks that every slot has a placement on adjacent workers, and
// that together they fit the capacity.
func checkPlacements(t *testing.T, k *topology.Capacity, a *Assignment, backing *Backing) {
	for i, s := range a.Slots() {
		placement := backing.Placement(i)
		must.Len(t, s.Shape.Tasks, placement)
		for _, w := range placement {
			must.GreaterEq(t, s.Shape.AcceleratorsPerTask, k.Free(w))
			k.Allocate(w, s.Shape.AcceleratorsPerTask)
			must.True(t, adjacent(k, s.Shape.Adjacency, w, placement[0]))
		}
	}
}

func adjacent(k *topology.Capacity, a job.Adjacency, x, y int) bool {
	return x == y || a == job.SameFailureDomain || a == job.SameRack && k.RackOf(x) == k.RackOf(y)
}

// packs reports whether all slots can be placed at once, by trying every placement.
func packs(k *topology.Capacity, slots []Slot) bool {
	if len(slots) == 0 {
		return true
	}
	s := slots[0].Shape
	var placeTasks func(chosen []int) bool
	placeTasks = func(chosen []int) bool {
		if len(chosen) == s.Tasks {
			return packs(k, slots[1:])
		}
		for w := range k.Len() {
			if k.Free(w) < s.AcceleratorsPerTask || len(chosen) > 0 && !adjacent(k, s.Adjacency, w, chosen[0]) {
				continue
			}
			k.Allocate(w, s.AcceleratorsPerTask)
			ok := placeTasks(append(chosen, w))
			k.ReleaseAll([]int{w}, s.AcceleratorsPerTask)
			if ok {
				return true
			}
		}
		return false
	}
	return placeTasks(nil)
}

// TestAssignmentMovesEarlierClaims checks that a claim gets a slot although an
// earlier claim took the only one that fits it, since the earlier claim can move
// to another slot.
func TestAssignmentMovesEarlierClaims(t *testing.T) {
	small, large := shape(1, 4, job.SameWorker), shape(2, 3, job.SameFailureDomain)
	a := NewAssignment([]Guarantee{{"a", small, 1}, {"a", large, 1}})
	_, ok := a.AddClaim(Claim{"a", shape(1, 3, job.SameWorker), false}) // fits both; takes the smaller
	must.True(t, ok)
	_, ok = a.AddClaim(Claim{"a", small, false}) // fits only the smaller
	must.True(t, ok)
	_, ok = a.FindSlot(Claim{"a", small, true})
	must.False(t, ok)
	_, ok = a.FindSlot(Claim{"b", small, true})
	must.False(t, ok)
}

func TestClaimFillsHalfOrIsUrgent(t *testing.T) {
	s := shape(4, 8, job.SameRack)
	must.False(t, Claim{"a", shape(1, 8, job.SameWorker), false}.Fits(s))
	must.True(t, Claim{"a", shape(1, 8, job.SameWorker), true}.Fits(s))
	must.True(t, Claim{"a", shape(2, 8, job.SameRack), false}.Fits(s))
}

func TestChooseVictimsPicksCheapestNeededGangs(t *testing.T) {
	cases := []struct {
		name      string
		size      int // accelerators of each of two workers
		borrowers []Borrower
		want      []int
	}{
		{"least lost work", 4, []Borrower{{[]int{0, 0}, 2, 9000}, {[]int{1, 1}, 2, 100}}, []int{1}},
		{"fewest gangs", 4, []Borrower{{[]int{0}, 2, 100}, {[]int{0}, 2, 100}, {[]int{1, 1}, 2, 100}}, []int{2}},
		{"only needed gangs", 8, []Borrower{{[]int{0}, 2, 0}, {[]int{0}, 6, 3000}, {[]int{1}, 8, 90000}}, []int{1}},
		{"no gang where enough is free", 4, []Borrower{{[]int{0, 0}, 2, 0}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k := capacity(c.size, c.size)
			for _, b := range c.borrowers {
				k.AllocateAll(b.Workers, b.AcceleratorsPerTask)
			}
			before := k.TotalFree()
			choice, ok := NewReclaimer(k.Cluster, c.borrowers).ChooseVictims(k, shape(2, 2, job.SameWorker), nil, func(int) bool { return true })
			must.True(t, ok)
			slices.Sort(choice.Victims)
			must.Eq(t, c.want, choice.Victims)
			must.Len(t, 2, choice.Placement)
			must.Eq(t, before, k.TotalFree())
		})
	}
}
