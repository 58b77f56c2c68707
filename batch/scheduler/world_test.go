package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/dispatch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/standin/runner"
)

const (
	worldTick   = 10 * time.Millisecond
	worldLease  = 6 * time.Second
	worldBound  = worldLease*103/100 + 300*time.Millisecond
	worldGang   = 3 * time.Second
	worldStart  = steady.Time(1000 * time.Second)
	holdEvery   = time.Second
	answerLimit = 1200 * time.Millisecond
)

// world runs the core against stand-in runners in virtual time. Its driver
// loses and delays orders, and schedulers, runners and links fail.
type world struct {
	t      testing.TB
	rng    *rand.Rand
	now    steady.Time
	pool   *runner.Pool
	core   *scheduler.Core // nil: nobody schedules
	token  uint64
	jobs   map[string]*batch.Job
	steps  map[string]runner.Task // by job and step
	store  map[string]batch.Progress
	events []event
	cut    map[string]steady.Time // runners that can't be reached, until when
	held   map[string]steady.Time
	faults faults
	fleet  []string // runners' ids

	storeDown bool         // records are not committed
	learned   batch.Speeds // by the last scheduler that was killed
	plain     bool         // the scheduler is the baseline

	adviser *adviser // nil: no step needs advice

	collect    bool // violations don't end the test
	violations []string
	impatient  bool // planted: a new scheduler doesn't wait for what it inherits
	hasty      bool // planted: ends are acknowledged before they are recorded
	next       []disturbance

	ended     map[string]steady.Time       // when a job's record first showed it completed
	done      map[batch.TaskID]steady.Time // when an end "done" was acknowledged
	cancelled map[string]steady.Time
	starts    int
}

type faults struct {
	lost float64 // share of orders that get lost, their answer lost, or carried out late
}

// disturbance is what happens to the next order.
type disturbance struct {
	lost, silent bool
	late         time.Duration
}

type event struct {
	at steady.Time
	do func()
}

func newWorld(t testing.TB, seed uint64, f faults) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: worldStart, faults: f,
		jobs: make(map[string]*batch.Job), steps: make(map[string]runner.Task),
		store: make(map[string]batch.Progress), cut: make(map[string]steady.Time),
		held: make(map[string]steady.Time), done: make(map[batch.TaskID]steady.Time),
		cancelled: make(map[string]steady.Time), ended: make(map[string]steady.Time),
	}
	w.pool = runner.New(runner.Options{
		GangTimeout: worldGang,
		Describe:    func(id batch.TaskID, _ string) runner.Task { return w.steps[stepName(id.Job, id.Step)] },
		Started:     w.checkStart,
		Permits:     w.permits,
	})
	return w
}

func stepName(job string, step int) string { return fmt.Sprintf("%s/%d", job, step) }

// name returns a runner's id and keeps it in the fleet's order.
func (w *world) name(rack, i int) string {
	id := fmt.Sprintf("r%d-%d", rack, i)
	w.fleet = append(w.fleet, id)
	return id
}

// addRunners adds racks of runners with eight accelerators each.
func (w *world) addRunners(racks, each int) {
	for rack := range racks {
		for i := range each {
			speed := []float64{1 / 0.6, 1, 1 / 1.6}[(rack+i)%3]
			w.pool.Add(w.now, batch.Runner{
				ID: w.name(rack, i), Service: "s", FailureDomain: fmt.Sprintf("fd%d", rack%2),
				Rack: fmt.Sprintf("rack%d", rack), Labels: []string{"a", fmt.Sprintf("rack%d", rack)},
				Capacity: batch.Resources{MilliCPU: 64000, MemoryMB: 128000, Accelerators: 8},
			}, speed)
		}
	}
}

func (w *world) ids() []string { return w.fleet }

// submit adds a job whose tasks take the work that is given for each step.
func (w *world) submit(j batch.Job, work time.Duration, fails bool) {
	j.Service, j.Accepted = "s", time.Unix(0, int64(w.now))
	if j.MaxAttempts == 0 {
		j.MaxAttempts = 3
	}
	if j.Stretch == 0 {
		j.Stretch = 3
	}
	for i, s := range j.Steps {
		task := runner.Task{Request: s.ReservedResources(), Work: work, Fails: fails, Guarded: true}
		if s.Gang {
			task.GangSize = s.Tasks
		}
		if s.Checkpoints {
			task.Checkpoint = time.Second
		}
		w.steps[stepName(j.ID, i)] = task
	}
	w.jobs[j.ID] = &j
	if w.core != nil {
		w.core.AddJob(&j, nil, w.now)
	}
}

func (w *world) cancel(id string) {
	w.cancelled[id] = w.now
	if w.core != nil {
		w.core.Cancel(id, w.now)
	}
}

// lead starts a new scheduler from what is recorded.
func (w *world) lead() {
	w.token++
	core := scheduler.New(scheduler.Options{Plain: w.plain, RemoteFactor: 3, InheritedUntil: w.inheritedUntil(), Learned: w.learned})
	core.Configure(&batch.Configuration{Organisations: []batch.Organisation{
		{Name: "one", Guaranteed: batch.Resources{Accelerators: 24}},
	}})
	ids := make([]string, 0, len(w.jobs))
	for id := range w.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		var recorded *batch.Progress
		if p, ok := w.store[id]; ok {
			recorded = &p
		}
		core.AddJob(w.jobs[id], recorded, w.now)
		if _, gone := w.cancelled[id]; gone {
			core.Cancel(id, w.now)
		}
	}
	for _, id := range w.ids() {
		r := w.pool.Runner(id).Runner
		r.Born = 0
		core.ListRunner(r, w.now)
	}
	w.core = core
	clear(w.held)
}

func (w *world) inheritedUntil() steady.Time {
	if w.impatient {
		return w.now
	}
	return w.now.Add(worldBound)
}

// kill ends the scheduler; its orders on the way may still arrive.
func (w *world) kill() {
	if w.core != nil {
		w.learned = w.core.Learned()
	}
	w.core = nil
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{at: w.now.Add(d), do: do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(worldTick)
		w.pool.Advance(w.now)
		w.fire()
		if w.core != nil {
			w.drive()
		}
	}
}

func (w *world) fire() {
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at.After(w.now) {
			w.events = append(w.events, e)
			continue
		}
		e.do()
	}
}

func (w *world) drive() {
	for _, id := range w.ids() {
		w.hold(id)
	}
	w.core.Decide(w.now, time.Unix(0, int64(w.now)))
	w.consult()
	w.commit()
	for _, o := range w.core.TakeOrders() {
		w.send(o)
	}
}

// commit records changes a tick later, unless the scheduler is replaced first.
func (w *world) commit() {
	if w.storeDown {
		return
	}
	core, token := w.core, w.token
	for _, r := range core.TakeRecords(100) {
		w.after(worldTick, func() {
			if w.token != token || w.core != core {
				return
			}
			w.store[r.Job] = r.Progress
			if _, seen := w.ended[r.Job]; !seen && r.Progress.State == batch.Completed {
				w.ended[r.Job] = w.now
			}
			core.Committed(r.Job, r.Version, w.now)
		})
	}
}

func (w *world) reachable(id string) bool { return !w.now.Before(w.cut[id]) }

func (w *world) hold(id string) {
	core := w.core
	acknowledged := core.Acknowledged(id)
	if w.hasty {
		acknowledged = 1 << 40
	}
	due := w.now.Sub(w.held[id]) >= holdEvery || w.pool.HasEnds(id, acknowledged) && w.now.Sub(w.held[id]) >= 2*worldTick
	if !due {
		return
	}
	w.held[id] = w.now
	extend := core.MayExtend(id, w.now)
	if extend {
		core.Extend(id, w.now.Add(worldBound)) // whether it arrives or not
	}
	if !w.reachable(id) {
		core.Unreachable(id, false, w.now)
		return
	}
	r := w.pool.Runner(id)
	deadline := time.Duration(0)
	if extend {
		deadline = time.Duration(int64(w.now)-(r.Born-1)*int64(time.Millisecond)) + worldLease
	}
	report, answer := w.pool.Hold(w.now, id, dispatch.HoldOrder{Token: w.token, Acknowledged: acknowledged, Deadline: deadline})
	if answer != dispatch.Accepted {
		core.Unreachable(id, false, w.now)
		return
	}
	w.noteAcknowledged()
	core.Report(id, w.now, report, w.now)
}

func (w *world) noteAcknowledged() {
	for id, p := range w.store {
		for _, t := range p.Tasks {
			if t.Done {
				for i := range max(1, w.gangSize(id, t.Step)) {
					task := batch.TaskID{Job: id, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index + i}
					if _, seen := w.done[task]; !seen {
						w.done[task] = w.now
					}
				}
			}
		}
	}
}

func (w *world) gangSize(job string, step int) int { return w.steps[stepName(job, step)].GangSize }

// send carries an order out, or loses it, its answer, or only delays it.
func (w *world) send(o scheduler.Order) {
	core, token := w.core, w.token
	lost, silent, late := false, false, time.Duration(0)
	if len(w.next) > 0 {
		lost, silent, late = w.next[0].lost, w.next[0].silent, w.next[0].late
		w.next = w.next[1:]
	} else if w.rng.Float64() < w.faults.lost {
		switch w.rng.IntN(3) {
		case 0:
			lost = true
		case 1:
			silent = true
		default:
			silent, late = true, 2*time.Second+time.Duration(w.rng.Int64N(int64(8*time.Second)))
		}
	}
	core.Extend(o.Runner.ID, w.now.Add(worldBound))
	carry := w.carry(o, token)
	w.after(worldTick+late, func() {
		answer := dispatch.Unanswered
		if !lost && w.reachable(o.Runner.ID) {
			answer = carry()
		}
		if !silent && answer != dispatch.Unanswered && w.core == core {
			core.Answered(o, translate(answer), w.now)
		}
		silent = silent || answer == dispatch.Unanswered
	})
	w.after(answerLimit, func() {
		if silent && w.core == core {
			w.unanswered(core, o)
		}
	})
}

func (w *world) unanswered(core *scheduler.Core, o scheduler.Order) {
	if o.Kind == scheduler.StartRun {
		core.Answered(o, scheduler.Unknown, w.now)
		return
	}
	if core.Needed(o.Runner.ID) {
		w.send(o)
	}
}

// carry fixes the order's deadline when it is sent, as the driver does. The
// connection that it is sent on ends with the runner's incarnation.
func (w *world) carry(o scheduler.Order, token uint64) func() dispatch.Answer {
	id := o.Runner.ID
	born := w.pool.Runner(id).Born
	deadline := time.Duration(int64(w.now)-(born-1)*int64(time.Millisecond)) + worldLease
	return func() dispatch.Answer {
		if w.pool.Runner(id).Born != born {
			return dispatch.Unanswered
		}
		if o.Kind == scheduler.StopRun {
			return w.pool.Stop(w.now, id, dispatch.StopOrder{Task: o.Task, Attempt: o.Attempt, Token: token})
		}
		return w.pool.Start(w.now, id, dispatch.StartOrder{
			Task: o.Task, Attempt: o.Attempt, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Token: token, Deadline: deadline,
		})
	}
}

func translate(a dispatch.Answer) scheduler.Answer {
	if a == dispatch.Accepted {
		return scheduler.Accepted
	}
	return scheduler.NotDone
}

// checkStart holds each start against what must always hold.
func (w *world) checkStart(now steady.Time, on string, task batch.TaskID, attempt int) {
	w.starts++
	if n := w.pool.Running(task); n != 1 {
		w.violate("%d runs of %v at %v, attempt %d on %s", n, task, now, attempt, on)
	}
	if _, again := w.done[task]; again {
		w.violate("%v started on %s after its end was recorded, attempt %d", task, on, attempt)
	}
	job := w.jobs[task.Job]
	for _, before := range job.Steps[task.Step].After {
		for i := range job.Steps[before].Tasks {
			earlier := batch.TaskID{Job: task.Job, Occurrence: task.Occurrence, Step: before, Index: i}
			if _, ended := w.done[earlier]; !ended && !w.recordedDone(earlier) {
				w.violate("%v started before %v was done", task, earlier)
			}
		}
	}
	if due := job.Due(task.Occurrence); !due.IsZero() && time.Unix(0, int64(now)).Before(due) {
		w.violate("%v started early", task)
	}
}

// violate ends the test, unless violations are collected.
func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if w.collect {
		w.violations = append(w.violations, text)
		return
	}
	must.Unreachable(w.t, must.Sprint(text))
}

func (w *world) recordedDone(task batch.TaskID) bool {
	for _, t := range w.store[task.Job].Tasks {
		size := max(1, w.gangSize(task.Job, t.Step))
		if t.Done && t.Step == task.Step && t.Occurrence == task.Occurrence && task.Index >= t.Index && task.Index < t.Index+size {
			return true
		}
	}
	return false
}

// state returns what is recorded of a job.
func (w *world) state(id string) batch.State { return w.store[id].State }
