// Package runner is a stand-in for the platform's runners. A runner runs tasks
// under a lease, rejects orders with a fencing token lower than the highest that
// it has seen, and reports running and ended tasks. A Pool holds the state of
// all runners. Time advances only to the time passed to its methods, so that it
// works in virtual time as well as in real time. Tests of the scheduler and of
// the platform, package platform/standin and package soak use it.
package runner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/dispatch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Task describes a task; Options.DescribeTask derives it from the task's spec.
type Task struct {
	Request        batch.Resources
	Work           time.Duration // run time on a runner of speed 1
	Startup        time.Duration // work after which a task that lasts is at work, which its percent says; 0: it doesn't last
	Checkpoint     time.Duration // work between checkpoints; 0: none are taken
	GangSize       int           // 0 or 1: not part of a gang
	Fails          bool          // ends with EndFailed once its work is done
	ChecksCapacity bool          // refused if it exceeds the runner's free capacity
}

// Options configures a Pool.
type Options struct {
	// DescribeTask returns the task of an id and a spec.
	DescribeTask func(batch.TaskID, string) Task
	GangTimeout  time.Duration // how long a member waits for the rest of its gang
	MaxLease     time.Duration // longer leases are shortened to it, from when an order is carried out; 0: no limit
	// HasValidTicket, if set, reports whether a start order carries the ticket
	// that it needs.
	HasValidTicket func(now steady.Time, runner string, o dispatch.StartOrder) bool
	// OnStart and OnEnd, if set, are called when a run starts and ends.
	OnStart func(now steady.Time, runner string, task batch.TaskID, attempt int)
	OnEnd   func(now steady.Time, runner string, task batch.TaskID, attempt int, reason batch.EndReason)
	// OnAcknowledge, if set, is called for each ended task that a scheduler has
	// acknowledged. lapsed says whether the runner's lease ran out between the two.
	OnAcknowledge func(now steady.Time, runner string, end batch.EndedTask, lapsed bool)
	// OnFence, if set, is called for the first hold of each incarnation but a runner's first
	// whose token is higher than each that an earlier one has seen.
	OnFence func(now steady.Time, runner string, sinceBoot time.Duration)
}

type runKey struct {
	task    batch.TaskID
	attempt int
}

// run is one attempt of a task that runs on a runner.
type run struct {
	runKey
	task         Task
	workDone     time.Duration // includes the work of the checkpoint that it started from
	startedAt    steady.Time
	checkpointed time.Duration // work saved by the last checkpoint
	halted       bool          // makes no progress
}

// Runner is one runner of a Pool. Apart from its exported fields, it changes only
// through the Pool.
type Runner struct {
	batch.Runner
	Speed float64 // work done per unit of time
	Hangs bool    // its tasks make no progress

	bootedAt       steady.Time
	highestToken   uint64
	earlierToken   uint64      // the highest one that an earlier incarnation has seen
	fenced         bool        // it has seen a higher one than that
	leaseEnd       steady.Time // 0: no lease yet
	runs           map[runKey]*run
	highestAttempt map[batch.TaskID]int // highest attempt that was stopped or has ended here
	endedTasks     []batch.EndedTask
	lapsesAtEnd    map[int64]int // by sequence number of an end: lapses at that time
	lapses         int           // how often the lease has run out
	lapsed         bool          // it has run out and wasn't extended since
	lastSequence   int64
	crashed        bool
}

// MaxListedEnds is how many ends a report lists. The others follow once these are
// acknowledged.
const MaxListedEnds = 500

// Pool is a set of runners. It is not safe for concurrent use.
type Pool struct {
	opts      Options
	runners   map[string]*Runner
	runnerIDs []string
	now       steady.Time
}

// New returns a pool without runners.
func New(o Options) *Pool { return &Pool{opts: o, runners: make(map[string]*Runner)} }

// Add adds a runner that boots now and does work at the given speed.
func (p *Pool) Add(now steady.Time, r batch.Runner, speed float64) *Runner {
	n := &Runner{Runner: r, Speed: speed}
	p.runners[r.ID] = n
	p.runnerIDs = append(p.runnerIDs, r.ID)
	p.boot(n, now)
	return n
}

func (p *Pool) boot(r *Runner, now steady.Time) {
	r.fenced = r.bootedAt.IsZero()
	r.earlierToken = max(r.earlierToken, r.highestToken)
	r.bootedAt = now
	r.Born = int64(now)/int64(time.Millisecond) + 1
	r.highestToken, r.leaseEnd, r.endedTasks, r.lastSequence = 0, 0, nil, 0
	r.runs = make(map[runKey]*run)
	r.highestAttempt = make(map[batch.TaskID]int)
	r.lapsesAtEnd = make(map[int64]int)
	r.crashed, r.lapsed = false, false
}

// Crash ends all runs of a runner and the gangs that they are part of. The runner
// does not report its own ends and answers no orders until Reboot.
func (p *Pool) Crash(now steady.Time, id string) {
	p.Advance(now)
	r := p.runners[id]
	for _, running := range r.sortedRuns() {
		p.notifyEnd(now, r, running, batch.EndLeaseExpired)
		p.endOtherMembers(now, running)
	}
	r.runs = make(map[runKey]*run)
	r.crashed = true
}

// Reboot starts a runner again under the same id, with no state. A runner that
// has not crashed crashes first, so that the end of each of its runs is reported
// to OnEnd.
func (p *Pool) Reboot(now steady.Time, id string) {
	p.Crash(now, id)
	p.boot(p.runners[id], now)
}

// Runner returns the runner with an id; nil if there is none.
func (p *Pool) Runner(id string) *Runner { return p.runners[id] }

// CountTaskRuns returns how many runs a task has on all runners.
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

// BootedAt returns when the runner's incarnation booted.
func (r *Runner) BootedAt() steady.Time { return r.bootedAt }

// CountRuns returns how many runs the runner has.
func (r *Runner) CountRuns() int { return len(r.runs) }

// CountJobRuns returns how many runs a job has on one runner.
func (p *Pool) CountJobRuns(id, job string) int {
	n := 0
	for k := range p.runners[id].runs {
		if k.task.Job == job {
			n++
		}
	}
	return n
}

func (r *Runner) clock(now steady.Time) time.Duration { return now.Sub(r.bootedAt) }

// Used returns the resources of all runs.
func (r *Runner) Used() batch.Resources { return r.usedResources() }

func (r *Runner) usedResources() batch.Resources {
	var sum batch.Resources
	for _, running := range r.runs {
		sum = sum.Plus(running.task.Request)
	}
	return sum
}

func (r *Runner) sortedRuns() []*run {
	out := make([]*run, 0, len(r.runs))
	for _, running := range r.runs {
		out = append(out, running)
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(compareTaskID(a.runKey.task, b.runKey.task), cmp.Compare(a.runKey.attempt, b.runKey.attempt))
	})
	return out
}

func compareTaskID(a, b batch.TaskID) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index),
	)
}

// Start handles a start order. Unless the order is fenced or past its deadline,
// it extends the runner's lease.
func (p *Pool) Start(now steady.Time, id string, o dispatch.StartOrder) dispatch.Answer {
	p.Advance(now)
	r := p.runners[id]
	if r == nil || r.crashed {
		return dispatch.Unanswered
	}
	if o.Token < r.highestToken {
		return dispatch.Fenced
	}
	r.highestToken = o.Token
	if o.Deadline <= r.clock(now) {
		return dispatch.DeadlinePassed
	}
	p.extendLease(now, r, o.Deadline)
	k := runKey{o.Task, o.Attempt}
	if r.runs[k] != nil {
		return dispatch.Accepted
	}
	if o.Attempt <= r.highestAttempt[o.Task] {
		return dispatch.Superseded
	}
	if p.opts.HasValidTicket != nil && !p.opts.HasValidTicket(now, id, o) {
		return dispatch.InvalidTicket
	}
	task := p.opts.DescribeTask(o.Task, o.Spec)
	if task.ChecksCapacity && !r.usedResources().Plus(task.Request).Fits(r.Capacity) {
		return dispatch.InsufficientCapacity
	}
	saved, err := time.ParseDuration(o.Checkpoint)
	if err != nil {
		saved = 0 // no checkpoint
	}
	r.runs[k] = &run{runKey: k, task: task, workDone: saved, checkpointed: saved, startedAt: now}
	if p.opts.OnStart != nil {
		p.opts.OnStart(now, id, o.Task, o.Attempt)
	}
	return dispatch.Accepted
}

// extendLease extends a runner's lease to a time on its clock.
func (p *Pool) extendLease(now steady.Time, r *Runner, deadline time.Duration) {
	if p.opts.MaxLease > 0 {
		deadline = min(deadline, r.clock(now)+p.opts.MaxLease)
	}
	r.leaseEnd = max(r.leaseEnd, r.bootedAt.Add(deadline))
	r.lapsed = false
}

// Stop handles a stop order. A task with checkpoints is checkpointed first, and
// attempts up to the stopped one can't start any more.
func (p *Pool) Stop(now steady.Time, id string, o dispatch.StopOrder) dispatch.Answer {
	p.Advance(now)
	r := p.runners[id]
	if r == nil || r.crashed {
		return dispatch.Unanswered
	}
	if o.Token < r.highestToken {
		return dispatch.Fenced
	}
	r.highestToken = o.Token
	r.highestAttempt[o.Task] = max(r.highestAttempt[o.Task], o.Attempt)
	if running := r.runs[runKey{o.Task, o.Attempt}]; running != nil {
		if running.task.Checkpoint > 0 {
			running.checkpointed = running.workDone
		}
		p.endRun(now, r, running, batch.EndStopped)
	}
	return dispatch.Accepted
}

// Hold handles a hold order: it extends the lease, drops the ends that the
// scheduler has acknowledged, and returns the running and ended tasks.
func (p *Pool) Hold(now steady.Time, id string, o dispatch.HoldOrder) (batch.Report, dispatch.Answer) {
	p.Advance(now)
	r := p.runners[id]
	if r == nil || r.crashed {
		return batch.Report{}, dispatch.Unanswered
	}
	if o.Token < r.highestToken {
		return batch.Report{}, dispatch.Fenced
	}
	r.highestToken = o.Token
	p.noteFence(now, r)
	if o.Deadline > r.clock(now) {
		p.extendLease(now, r, o.Deadline)
	}
	p.dropAcknowledgedEnds(now, r, o.Acknowledged)
	listed := min(len(r.endedTasks), MaxListedEnds)
	report := batch.Report{
		Born: r.Born, Clock: r.clock(now), Ended: slices.Clone(r.endedTasks[:listed]), EndsTruncated: listed == MaxListedEnds,
	}
	for _, running := range r.sortedRuns() {
		report.Running = append(report.Running, batch.RunningTask{
			Task: running.runKey.task, Attempt: running.attempt, Checkpoint: running.checkpointText(), Percent: running.percent(),
		})
	}
	return report, dispatch.Accepted
}

// noteFence notes whether the runner has seen a higher token than its earlier incarnations.
func (p *Pool) noteFence(now steady.Time, r *Runner) {
	if r.fenced || r.highestToken <= r.earlierToken {
		return
	}
	r.fenced = true
	if p.opts.OnFence != nil {
		p.opts.OnFence(now, r.ID, r.clock(now))
	}
}

func (p *Pool) dropAcknowledgedEnds(now steady.Time, r *Runner, until int64) {
	r.endedTasks = slices.DeleteFunc(r.endedTasks, func(e batch.EndedTask) bool {
		if e.Sequence > until {
			return false
		}
		if p.opts.OnAcknowledge != nil {
			p.opts.OnAcknowledge(now, r.ID, e, r.lapses > r.lapsesAtEnd[e.Sequence])
		}
		delete(r.lapsesAtEnd, e.Sequence)
		return true
	})
}

// HasUnacknowledgedEnds reports whether a runner has ended tasks with a sequence
// number above the acknowledged one.
func (p *Pool) HasUnacknowledgedEnds(id string, acknowledged int64) bool {
	r := p.runners[id]
	return r != nil && slices.ContainsFunc(r.endedTasks, func(e batch.EndedTask) bool { return e.Sequence > acknowledged })
}

func (r *run) checkpointText() string {
	if r.checkpointed == 0 {
		return ""
	}
	return r.checkpointed.String()
}

func (r *run) percent() int {
	whole := r.task.Work
	if r.task.Startup > 0 {
		whole = r.task.Startup
	}
	if whole <= 0 {
		return 0
	}
	return int(min(100, 100*r.workDone/whole))
}

// timeStep is the longest step by which Advance moves the runs forward.
const timeStep = 10 * time.Millisecond

// Advance moves all runs forward to now.
func (p *Pool) Advance(now steady.Time) {
	if p.now == 0 {
		p.now = now
	}
	for p.now < now {
		next := min(now, p.now.Add(timeStep))
		p.advanceStep(next, next.Sub(p.now))
		p.now = next
	}
}

func (p *Pool) advanceStep(now steady.Time, elapsed time.Duration) {
	for _, id := range p.runnerIDs {
		r := p.runners[id]
		if !r.leaseEnd.IsZero() && !r.lapsed && now.After(r.leaseEnd) {
			r.lapsed = true
			r.lapses++
		}
		for _, running := range r.sortedRuns() {
			if r.runs[running.runKey] == running {
				p.advanceRun(now, elapsed, r, running)
			}
		}
	}
}

func (p *Pool) advanceRun(now steady.Time, elapsed time.Duration, r *Runner, running *run) {
	switch {
	case now.After(r.leaseEnd):
		p.endRun(now, r, running, batch.EndLeaseExpired)
	case running.task.GangSize > 1 && p.memberCount(running) < running.task.GangSize:
		if now.Sub(running.startedAt) > p.opts.GangTimeout {
			p.endRun(now, r, running, batch.EndGangTimeout)
		}
	default:
		p.advanceWork(now, elapsed, r, running)
	}
}

func (p *Pool) advanceWork(now steady.Time, elapsed time.Duration, r *Runner, running *run) {
	if !r.Hangs && !running.halted {
		running.workDone += time.Duration(float64(elapsed) * r.Speed)
	}
	if c := running.task.Checkpoint; c > 0 {
		running.checkpointed = max(running.checkpointed, running.workDone/c*c)
	}
	if running.workDone < running.task.Work {
		return
	}
	if running.task.Fails {
		p.endRun(now, r, running, batch.EndFailed)
		return
	}
	if p.leastWorkDone(running) >= running.task.Work {
		p.finishRun(now, running)
	}
}

// gangMember is a run of a gang with its runner.
type gangMember struct {
	run    *run
	runner *Runner
}

// gangMembers returns the runs of the gang that a run is part of, by runner and
// then by task.
func (p *Pool) gangMembers(of *run) []gangMember {
	var out []gangMember
	for _, id := range p.runnerIDs {
		first := len(out)
		for k, running := range p.runners[id].runs {
			same := k.task.Job == of.runKey.task.Job && k.task.Step == of.runKey.task.Step && k.task.Occurrence == of.runKey.task.Occurrence
			if same && k.attempt == of.attempt {
				out = append(out, gangMember{running, p.runners[id]})
			}
		}
		slices.SortFunc(out[first:], func(a, b gangMember) int { return cmp.Compare(a.run.runKey.task.Index, b.run.runKey.task.Index) })
	}
	return out
}

func (p *Pool) memberCount(of *run) int { return len(p.gangMembers(of)) }

func (p *Pool) leastWorkDone(of *run) time.Duration {
	least := of.workDone
	if of.task.GangSize > 1 {
		for _, member := range p.gangMembers(of) {
			least = min(least, member.run.workDone)
		}
	}
	return least
}

func (p *Pool) finishRun(now steady.Time, of *run) {
	if of.task.GangSize <= 1 {
		for _, r := range p.runners {
			if r.runs[of.runKey] == of {
				p.recordEnd(now, r, of, batch.EndDone)
			}
		}
		return
	}
	for _, member := range p.gangMembers(of) {
		p.recordEnd(now, member.runner, member.run, batch.EndDone)
	}
}

// endRun ends a run and the other runs of its gang.
func (p *Pool) endRun(now steady.Time, r *Runner, running *run, reason batch.EndReason) {
	p.recordEnd(now, r, running, reason)
	p.endOtherMembers(now, running)
}

func (p *Pool) endOtherMembers(now steady.Time, ended *run) {
	if ended.task.GangSize <= 1 {
		return
	}
	for _, member := range p.gangMembers(ended) {
		if member.run != ended {
			p.recordEnd(now, member.runner, member.run, batch.EndGangMemberEnded)
		}
	}
}

func (p *Pool) recordEnd(now steady.Time, r *Runner, running *run, reason batch.EndReason) {
	delete(r.runs, running.runKey)
	r.highestAttempt[running.runKey.task] = max(r.highestAttempt[running.runKey.task], running.attempt)
	r.lastSequence++
	r.lapsesAtEnd[r.lastSequence] = r.lapses
	r.endedTasks = append(r.endedTasks, batch.EndedTask{
		Sequence: r.lastSequence, Task: running.runKey.task, Attempt: running.attempt, Reason: reason, Checkpoint: running.checkpointText(),
	})
	p.notifyEnd(now, r, running, reason)
}

func (p *Pool) notifyEnd(now steady.Time, r *Runner, running *run, reason batch.EndReason) {
	if p.opts.OnEnd != nil {
		p.opts.OnEnd(now, r.ID, running.runKey.task, running.attempt, reason)
	}
}
