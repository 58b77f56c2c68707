// Package runner is a stand-in for the platform's runners: they run tasks under
// leases, obey no order with a token lower than one they have seen, and list
// what runs and what ended. Time passes only by the calls' argument, so that it
// serves tests in virtual time as well as processes.
package runner

import (
	"slices"
	"sort"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/dispatch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Task is what a runner knows of a task from its spec.
type Task struct {
	Request        batch.Resources
	Work           time.Duration // on a runner of speed 1
	Checkpoint     time.Duration // work between checkpoints; 0: it saves nothing
	GangSize       int           // 0 or 1: no gang
	Fails          bool          // at the end of its work
	ChecksCapacity bool          // refused when it doesn't fit
}

// Options of a Pool.
type Options struct {
	DescribeTask func(batch.TaskID, string) Task
	GangTimeout  time.Duration // how long a member waits for the others
	// HasValidTicket, when set, tells whether a start has the ticket that it needs.
	HasValidTicket func(now steady.Time, on string, o dispatch.StartOrder) bool
	// OnStart and OnEnd, when set, are told what happens, for checks.
	OnStart func(now steady.Time, on string, task batch.TaskID, attempt int)
	OnEnd   func(now steady.Time, on string, task batch.TaskID, attempt int, how batch.EndReason)
	// OnAcknowledge is told of ends that a scheduler has taken note of.
	OnAcknowledge func(now steady.Time, on string, end batch.EndedTask)
}

type key struct {
	task    batch.TaskID
	attempt int
}

type run struct {
	key
	task    Task
	done    time.Duration // work done
	arrived steady.Time
	saved   time.Duration
	halted  bool // stands still
}

// Runner is one runner. It is used through its Pool only.
type Runner struct {
	batch.Runner
	Speed float64 // work done in a second
	Hangs bool    // what it runs makes no progress

	bornAt  steady.Time
	token   uint64
	lease   steady.Time
	runs    map[key]*run
	highest map[batch.TaskID]int // attempts stopped or ended here
	ends    []batch.EndedTask
	next    int64
	gone    bool
}

// Pool is a set of runners. It is not safe for concurrent use.
type Pool struct {
	opts    Options
	runners map[string]*Runner
	order   []string
	at      steady.Time
}

// New returns a pool without runners.
func New(o Options) *Pool { return &Pool{opts: o, runners: make(map[string]*Runner)} }

// Add adds a runner that starts now.
func (p *Pool) Add(now steady.Time, r batch.Runner, speed float64) *Runner {
	n := &Runner{Runner: r, Speed: speed}
	p.runners[r.ID] = n
	p.order = append(p.order, r.ID)
	p.boot(n, now)
	return n
}

func (p *Pool) boot(r *Runner, now steady.Time) {
	r.bornAt = now
	r.Born = int64(now)/int64(time.Millisecond) + 1
	r.token, r.lease, r.ends, r.next = 0, 0, nil, 0
	r.runs = make(map[key]*run)
	r.highest = make(map[batch.TaskID]int)
	r.gone = false
}

// Crash ends everything on a runner without a word.
func (p *Pool) Crash(now steady.Time, id string) {
	p.Advance(now)
	r := p.runners[id]
	for _, running := range r.sorted() {
		p.tell(now, r, running, batch.EndLeaseExpired)
		p.breakGang(now, running)
	}
	r.runs = make(map[key]*run)
	r.gone = true
}

// Reboot starts a crashed runner again under its id.
func (p *Pool) Reboot(now steady.Time, id string) { p.boot(p.runners[id], now) }

// Runner returns a runner, or nil.
func (p *Pool) Runner(id string) *Runner { return p.runners[id] }

// CountTaskRuns returns how many runs there are of a task.
func (p *Pool) CountTaskRuns(task batch.TaskID) int {
	n := 0
	for _, r := range p.runners {
		for k := range r.runs {
			if k.task == task {
				n++
			}
		}
	}
	return n
}

// CountRuns returns how many runs a runner has.
func (r *Runner) CountRuns() int { return len(r.runs) }

// CountJobRuns counts a job's runs on one runner.
func (p *Pool) CountJobRuns(id, job string) int {
	n := 0
	for k := range p.runners[id].runs {
		if k.task.Job == job {
			n++
		}
	}
	return n
}

func (r *Runner) clock(now steady.Time) time.Duration { return now.Sub(r.bornAt) }

func (r *Runner) used() batch.Resources {
	var sum batch.Resources
	for _, running := range r.runs {
		sum = sum.Plus(running.task.Request)
	}
	return sum
}

func (r *Runner) sorted() []*run {
	out := make([]*run, 0, len(r.runs))
	for _, running := range r.runs {
		out = append(out, running)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].key, out[j].key
		if a.task != b.task {
			return less(a.task, b.task)
		}
		return a.attempt < b.attempt
	})
	return out
}

func less(a, b batch.TaskID) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	if a.Step != b.Step {
		return a.Step < b.Step
	}
	return a.Index < b.Index
}

// Start carries out a start order.
func (p *Pool) Start(now steady.Time, id string, o dispatch.StartOrder) dispatch.Answer {
	p.Advance(now)
	r := p.runners[id]
	if r == nil || r.gone {
		return dispatch.Unanswered
	}
	if o.Token < r.token {
		return dispatch.Fenced
	}
	r.token = o.Token
	if o.Deadline <= r.clock(now) {
		return dispatch.DeadlinePassed
	}
	r.extend(o.Deadline)
	k := key{o.Task, o.Attempt}
	if r.runs[k] != nil {
		return dispatch.Accepted
	}
	if o.Attempt <= r.highest[o.Task] {
		return dispatch.Superseded
	}
	if p.opts.HasValidTicket != nil && !p.opts.HasValidTicket(now, id, o) {
		return dispatch.InvalidTicket
	}
	task := p.opts.DescribeTask(o.Task, o.Spec)
	if task.ChecksCapacity && !r.used().Plus(task.Request).Fits(r.Capacity) {
		return dispatch.InsufficientCapacity
	}
	saved, err := time.ParseDuration(o.Checkpoint)
	if err != nil {
		saved = 0 // no checkpoint
	}
	r.runs[k] = &run{key: k, task: task, done: saved, saved: saved, arrived: now}
	if p.opts.OnStart != nil {
		p.opts.OnStart(now, id, o.Task, o.Attempt)
	}
	return dispatch.Accepted
}

func (r *Runner) extend(deadline time.Duration) {
	r.lease = max(r.lease, r.bornAt.Add(deadline))
}

// Stop carries out a stop order.
func (p *Pool) Stop(now steady.Time, id string, o dispatch.StopOrder) dispatch.Answer {
	p.Advance(now)
	r := p.runners[id]
	if r == nil || r.gone {
		return dispatch.Unanswered
	}
	if o.Token < r.token {
		return dispatch.Fenced
	}
	r.token = o.Token
	r.highest[o.Task] = max(r.highest[o.Task], o.Attempt)
	if running := r.runs[key{o.Task, o.Attempt}]; running != nil {
		if running.task.Checkpoint > 0 {
			running.saved = running.done
		}
		p.end(now, r, running, batch.EndStopped)
	}
	return dispatch.Accepted
}

// Hold carries out a hold.
func (p *Pool) Hold(now steady.Time, id string, o dispatch.HoldOrder) (batch.Report, dispatch.Answer) {
	p.Advance(now)
	r := p.runners[id]
	if r == nil || r.gone {
		return batch.Report{}, dispatch.Unanswered
	}
	if o.Token < r.token {
		return batch.Report{}, dispatch.Fenced
	}
	r.token = o.Token
	if o.Deadline > r.clock(now) {
		r.extend(o.Deadline)
	}
	p.acknowledge(now, r, o.Acknowledged)
	report := batch.Report{Born: r.Born, Clock: r.clock(now), Ended: slices.Clone(r.ends)}
	for _, running := range r.sorted() {
		report.Running = append(report.Running, batch.RunningTask{
			Task: running.key.task, Attempt: running.attempt, Checkpoint: running.checkpoint(), Percent: running.percent(),
		})
	}
	return report, dispatch.Accepted
}

func (p *Pool) acknowledge(now steady.Time, r *Runner, until int64) {
	r.ends = slices.DeleteFunc(r.ends, func(e batch.EndedTask) bool {
		if e.Sequence > until {
			return false
		}
		if p.opts.OnAcknowledge != nil {
			p.opts.OnAcknowledge(now, r.ID, e)
		}
		return true
	})
}

// HasUnacknowledgedEnds reports whether a runner lists ends beyond an acknowledged one.
func (p *Pool) HasUnacknowledgedEnds(id string, acknowledged int64) bool {
	r := p.runners[id]
	return r != nil && slices.ContainsFunc(r.ends, func(e batch.EndedTask) bool { return e.Sequence > acknowledged })
}

func (r *run) checkpoint() string {
	if r.saved == 0 {
		return ""
	}
	return r.saved.String()
}

func (r *run) percent() int {
	if r.task.Work <= 0 {
		return 0
	}
	return int(min(100, 100*r.done/r.task.Work))
}

// step is the grain in which time passes for what runs.
const step = 10 * time.Millisecond

// Advance lets time pass until now.
func (p *Pool) Advance(now steady.Time) {
	if p.at == 0 {
		p.at = now
	}
	for p.at < now {
		next := min(now, p.at.Add(step))
		p.pass(next, next.Sub(p.at))
		p.at = next
	}
}

func (p *Pool) pass(now steady.Time, took time.Duration) {
	for _, id := range p.order {
		r := p.runners[id]
		for _, running := range r.sorted() {
			if r.runs[running.key] == running {
				p.passRun(now, took, r, running)
			}
		}
	}
}

func (p *Pool) passRun(now steady.Time, took time.Duration, r *Runner, running *run) {
	switch {
	case now.After(r.lease):
		p.end(now, r, running, batch.EndLeaseExpired)
	case running.task.GangSize > 1 && p.present(running) < running.task.GangSize:
		if now.Sub(running.arrived) > p.opts.GangTimeout {
			p.end(now, r, running, batch.EndGangTimeout)
		}
	default:
		p.work(now, took, r, running)
	}
}

func (p *Pool) work(now steady.Time, took time.Duration, r *Runner, running *run) {
	if !r.Hangs && !running.halted {
		running.done += time.Duration(float64(took) * r.Speed)
	}
	if c := running.task.Checkpoint; c > 0 {
		running.saved = max(running.saved, running.done/c*c)
	}
	if running.done < running.task.Work {
		return
	}
	if running.task.Fails {
		p.end(now, r, running, batch.EndFailed)
		return
	}
	if p.slowest(running) >= running.task.Work {
		p.finish(now, running)
	}
}

// members returns the runs of a run's gang with their runners.
func (p *Pool) members(of *run) map[*run]*Runner {
	out := make(map[*run]*Runner)
	for _, r := range p.runners {
		for k, running := range r.runs {
			same := k.task.Job == of.key.task.Job && k.task.Step == of.key.task.Step && k.task.Occurrence == of.key.task.Occurrence
			if same && k.attempt == of.attempt {
				out[running] = r
			}
		}
	}
	return out
}

func (p *Pool) present(of *run) int { return len(p.members(of)) }

func (p *Pool) slowest(of *run) time.Duration {
	least := of.done
	if of.task.GangSize > 1 {
		for member := range p.members(of) {
			least = min(least, member.done)
		}
	}
	return least
}

func (p *Pool) finish(now steady.Time, of *run) {
	if of.task.GangSize <= 1 {
		for _, r := range p.runners {
			if r.runs[of.key] == of {
				p.conclude(now, r, of, batch.EndDone)
			}
		}
		return
	}
	for member, r := range p.members(of) {
		p.conclude(now, r, member, batch.EndDone)
	}
}

// end ends a run, and breaks its gang.
func (p *Pool) end(now steady.Time, r *Runner, running *run, how batch.EndReason) {
	p.conclude(now, r, running, how)
	p.breakGang(now, running)
}

func (p *Pool) breakGang(now steady.Time, ended *run) {
	if ended.task.GangSize <= 1 {
		return
	}
	for member, r := range p.members(ended) {
		if member != ended {
			p.conclude(now, r, member, batch.EndGangMemberEnded)
		}
	}
}

func (p *Pool) conclude(now steady.Time, r *Runner, running *run, how batch.EndReason) {
	delete(r.runs, running.key)
	r.highest[running.key.task] = max(r.highest[running.key.task], running.attempt)
	r.next++
	r.ends = append(r.ends, batch.EndedTask{
		Sequence: r.next, Task: running.key.task, Attempt: running.attempt, Reason: how, Checkpoint: running.checkpoint(),
	})
	p.tell(now, r, running, how)
}

func (p *Pool) tell(now steady.Time, r *Runner, running *run, how batch.EndReason) {
	if p.opts.OnEnd != nil {
		p.opts.OnEnd(now, r.ID, running.key.task, running.attempt, how)
	}
}
