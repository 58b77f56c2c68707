package placement

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/cyclamentray/cyclamentray/job"
)

// checkPlan returns the first fault that the checks find in a plan. It does not use
// the code under test, except compareGuaranteedGangs.
func checkPlan(v View, p Plan) error {
	for _, check := range []func(View, Plan) error{checkEveryJobAnswered, checkStarts, checkReclaims, checkNoDoubleAllocation, checkQuotas, checkBacking} {
		if err := check(v, p); err != nil {
			return err
		}
	}
	return nil
}

// checkEveryJobAnswered checks that every waiting job is either started, or held
// with a reason.
func checkEveryJobAnswered(v View, p Plan) error {
	outcomes := map[job.ID]int{}
	for _, s := range p.Starts {
		outcomes[s.ID]++
	}
	for _, h := range p.Holds {
		outcomes[h.ID]++
		if h.Reason == "" {
			return fmt.Errorf("%v is held without a reason", h.ID)
		}
	}
	for _, w := range v.Waiting {
		if outcomes[w.ID] != 1 {
			return fmt.Errorf("%v has %d starts and holds", w.ID, outcomes[w.ID])
		}
	}
	if len(outcomes) != len(v.Waiting) {
		return fmt.Errorf("the plan starts or holds jobs that are not waiting")
	}
	return nil
}

// checkStarts checks that each gang starts whole, on adjacent workers in service.
func checkStarts(v View, p Plan) error {
	if v.Out && len(p.Starts) > 0 {
		return fmt.Errorf("start in a failure domain that is out of service")
	}
	for _, s := range p.Starts {
		w := waitingOf(v, s.ID)
		if len(s.Workers) != w.Shape.Tasks {
			return fmt.Errorf("%v: %d workers for %d tasks", s.ID, len(s.Workers), w.Shape.Tasks)
		}
		locations := map[string]bool{}
		for _, name := range s.Workers {
			worker := workerOf(v, name)
			if worker.UnavailableReason != "" || worker.Probing && w.Shape.Tasks > 1 {
				return fmt.Errorf("%v starts on %s, which does not take it", s.ID, name)
			}
			switch w.Shape.Adjacency {
			case job.SameWorker:
				locations[name] = true
			case job.SameRack:
				locations[worker.Rack] = true
			}
		}
		if len(locations) > 1 {
			return fmt.Errorf("tasks of %v are not adjacent: %v", s.ID, s.Workers)
		}
	}
	return nil
}

// checkReclaims checks that only running gangs that no guarantee protects are
// reclaimed.
func checkReclaims(v View, p Plan) error {
	protected := map[job.ID]bool{}
	for _, i := range protectedGangs(v) {
		protected[v.Running[i].ID] = true
	}
	seen := map[job.ID]bool{}
	for _, r := range p.Reclaims {
		i := slices.IndexFunc(v.Running, func(g Gang) bool { return g.ID == r.ID })
		switch {
		case i < 0 || v.Running[i].Stopping || seen[r.ID]:
			return fmt.Errorf("%v cannot be reclaimed", r.ID)
		case r.Reason == "":
			return fmt.Errorf("%v is reclaimed without a reason", r.ID)
		case !v.Out && protected[r.ID]:
			return fmt.Errorf("%v is reclaimed from within its guarantee", r.ID)
		}
		seen[r.ID] = true
	}
	return nil
}

// checkNoDoubleAllocation checks that no accelerator is assigned to two tasks.
func checkNoDoubleAllocation(v View, p Plan) error {
	used := map[string]int{}
	for _, g := range v.Running {
		for _, w := range g.Workers {
			used[w] += g.Shape.AcceleratorsPerTask
		}
	}
	for _, s := range p.Starts {
		for _, w := range s.Workers {
			used[w] += waitingOf(v, s.ID).Shape.AcceleratorsPerTask
			if used[w] > workerOf(v, w).Accelerators {
				return fmt.Errorf("%v: accelerators of %s assigned twice", s.ID, w)
			}
		}
	}
	return nil
}

func checkQuotas(v View, p Plan) error {
	for _, q := range v.Quotas {
		used, started := 0, 0
		for _, g := range v.Running {
			if g.ID.Organisation == q.Organisation && g.Team == q.Team {
				used += g.Shape.Accelerators()
			}
		}
		for _, s := range p.Starts {
			if w := waitingOf(v, s.ID); w.ID.Organisation == q.Organisation && w.Team == q.Team {
				started += w.Shape.Accelerators()
			}
		}
		if started > 0 && used+started > q.Accelerators {
			return fmt.Errorf("the starts exceed the quota of team %s", q.Team)
		}
	}
	return nil
}

// checkBacking checks that a backing plan exists after the starts if one exists
// before them, and that the plan reports a deficit if none exists.
func checkBacking(v View, p Plan) error {
	if v.Out {
		return nil
	}
	before := canBack(v)
	if !before && len(p.Deficits) == 0 {
		return fmt.Errorf("no backing plan exists, and no deficit is reported")
	}
	if before && len(p.Deficits) == 0 && !canBack(viewAfter(v, p)) {
		return fmt.Errorf("the starts leave no backing plan")
	}
	return nil
}

// viewAfter returns the view once the plan's starts run and its reclaims stop.
func viewAfter(v View, p Plan) View {
	v = cloneView(v)
	for _, s := range p.Starts {
		w := waitingOf(v, s.ID)
		v.Running = append(v.Running, Gang{
			ID: w.ID, Team: w.Team, Template: w.Template, Shape: w.Shape, Workers: s.Workers, Urgent: w.Urgent,
			Checkpoint: w.Checkpoint, Guaranteed: s.Guaranteed, Started: v.Now, DeclaredRun: w.DeclaredRun,
		})
		v.Waiting = slices.DeleteFunc(v.Waiting, func(o WaitingJob) bool { return o.ID == s.ID })
	}
	for _, r := range p.Reclaims {
		i := slices.IndexFunc(v.Running, func(g Gang) bool { return g.ID == r.ID })
		v.Running[i].Stopping = true
	}
	return v
}

func cloneView(v View) View {
	v.Workers = slices.Clone(v.Workers)
	v.Running = slices.Clone(v.Running)
	v.Waiting = slices.Clone(v.Waiting)
	v.Guarantees = slices.Clone(v.Guarantees)
	v.Quotas = slices.Clone(v.Quotas)
	return v
}

func waitingOf(v View, id job.ID) WaitingJob {
	for _, w := range v.Waiting {
		if w.ID == id {
			return w
		}
	}
	return WaitingJob{}
}

func workerOf(v View, name string) Worker {
	for _, w := range v.Workers {
		if w.Name == name {
			return w
		}
	}
	return Worker{UnavailableReason: "unknown"}
}

func guaranteedCopies(v View) []Guarantee {
	var out []Guarantee
	for _, g := range v.Guarantees {
		for range g.Count {
			out = append(out, Guarantee{g.Organisation, g.Shape, 1})
		}
	}
	return out
}

// fitsCopy restates when a gang counts against a guaranteed shape: every placement
// of the shape has room for the gang, and the gang is urgent or fills half of it.
func fitsCopy(id job.ID, s job.Shape, urgent bool, c Guarantee) bool {
	if id.Organisation != c.Organisation || s.Accelerators() == 0 {
		return false
	}
	if !urgent && 2*s.Accelerators() < c.Shape.Accelerators() {
		return false
	}
	if c.Shape.Adjacency == job.SameWorker {
		return s.AcceleratorsPerTask*s.Tasks <= c.Shape.Accelerators()
	}
	perTask := c.Shape.AcceleratorsPerTask / s.AcceleratorsPerTask
	if s.Tasks <= perTask {
		return true
	}
	adjacentEnough := s.Adjacency == job.SameFailureDomain || s.Adjacency == job.SameRack && c.Shape.Adjacency == job.SameRack
	return adjacentEnough && s.Tasks <= perTask*c.Shape.Tasks
}

// protectedGangs returns the gangs that count against a guarantee, in the order of
// compareGuaranteedGangs.
func protectedGangs(v View) []int {
	var order, kept []int
	for i, g := range v.Running {
		if g.Guaranteed && !g.Stopping {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return compareGuaranteedGangs(&v.Running[a], &v.Running[b]) })
	for _, i := range order {
		if anyAssignment(v, append(slices.Clone(kept), i), func([]bool) bool { return true }) {
			kept = append(kept, i)
		}
	}
	return kept
}

// anyAssignment tries every way to assign a copy to each gang, and reports whether
// accept returns true for any of them.
func anyAssignment(v View, gangs []int, accept func(used []bool) bool) bool {
	copies := guaranteedCopies(v)
	used := make([]bool, len(copies))
	var assign func(n int) bool
	assign = func(n int) bool {
		if n == len(gangs) {
			return accept(used)
		}
		g := v.Running[gangs[n]]
		for i, c := range copies {
			if !used[i] && fitsCopy(g.ID, g.Shape, g.Urgent, c) {
				used[i] = true
				if assign(n + 1) {
					return true
				}
				used[i] = false
			}
		}
		return false
	}
	return assign(0)
}

// canBack reports, by trying every placement, whether all unused copies can have
// adjacent accelerators that neither protected gangs nor other copies use.
func canBack(v View) bool {
	kept := protectedGangs(v)
	free := map[string]int{}
	for _, w := range v.Workers {
		if w.UnavailableReason == "" && !w.Probing {
			free[w.Name] = w.Accelerators
		}
	}
	for _, i := range kept {
		for _, w := range v.Running[i].Workers {
			free[w] -= v.Running[i].Shape.AcceleratorsPerTask
		}
	}
	return anyAssignment(v, kept, func(used []bool) bool {
		var left []job.Shape
		for i, c := range guaranteedCopies(v) {
			if !used[i] {
				left = append(left, c.Shape)
			}
		}
		return canPack(v.Workers, maps.Clone(free), left)
	})
}

// canPack reports whether all shapes fit at once, by trying every placement.
func canPack(workers []Worker, free map[string]int, shapes []job.Shape) bool {
	if len(shapes) == 0 {
		return true
	}
	s := shapes[0]
	var placeTasks func(task, from int, first Worker) bool
	placeTasks = func(task, from int, first Worker) bool {
		if task == s.Tasks {
			return canPack(workers, free, shapes[1:])
		}
		for i := from; i < len(workers); i++ {
			w := workers[i]
			notAdjacent := s.Adjacency == job.SameWorker && w.Name != first.Name || s.Adjacency == job.SameRack && w.Rack != first.Rack
			if task > 0 && notAdjacent || free[w.Name] < s.AcceleratorsPerTask {
				continue
			}
			free[w.Name] -= s.AcceleratorsPerTask
			firstWorker := first
			if task == 0 {
				firstWorker = w
			}
			if placeTasks(task+1, i, firstWorker) {
				return true
			}
			free[w.Name] += s.AcceleratorsPerTask
		}
		return false
	}
	return placeTasks(0, 0, Worker{})
}

// decideTwice decides on a view, and returns an error if that changed the view or if
// a second decision differs.
func decideTwice(v View) (Plan, error) {
	before := cloneView(v)
	p := Decide(v)
	if !reflect.DeepEqual(before, v) {
		return p, fmt.Errorf("Decide changed its view")
	}
	if q := Decide(before); !reflect.DeepEqual(p, q) {
		return p, fmt.Errorf("equal views gave different plans")
	}
	return p, nil
}
