// Package scheduler is the decision core of the batch scheduler: it decides
// which task of a job runs on which runner. It does no I/O and reads no clock.
// Its caller, the leader in batch/dispatch, passes in the time, the jobs with
// their recorded progress, the runners' reports and their answers to orders. It
// sends the orders that the core returns and commits its records. Core holds
// its state in memory only: the jobs with the runs of their tasks, the runners
// with their leases and reserved capacity, and the estimated speeds of the
// runners.
//
// A start is issued only after the record that names it was committed, and an
// end is acknowledged to its runner only after it is in a committed record. The
// records therefore name every run that may exist when the next scheduler
// starts.
package scheduler

import (
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Options configures a Core for a deployment.
type Options struct {
	MaxEarlyStart time.Duration // how long before its due time an occurrence may start
	RemoteFactor  float64       // factor by which tasks away from their gang's rack or their data take longer
	// InheritedLeaseEnd is the time at which everything that an earlier
	// scheduler started on a runner that doesn't answer has certainly ended
	// with its lease.
	InheritedLeaseEnd steady.Time
	// RecordedLeaseEnds holds, for the runners that the record of lease ends names, the
	// earlier time at which that is so.
	RecordedLeaseEnds map[string]steady.Time
	// EarlierOrders is how long after a restart of a runner a lease may last that orders to
	// its earlier incarnation extend, while the new one doesn't refuse them.
	EarlierOrders time.Duration
	// LateOrders is how long after it was sent a runner may carry out an order.
	LateOrders    time.Duration
	Began         steady.Time   // when this scheduler began
	LearnedSpeeds batch.Speeds  // runner speeds learned by earlier schedulers
	Off           mechanism.Set // mechanisms that an experiment switches off
	// Observe, when set, is called with each decision.
	Observe func(Decision)
	// ObserveDomain, when set, is called when a failure domain falls silent and when it
	// reports again.
	ObserveDomain func(domain string, silent bool)
	// ObserveEndsTruncated, when set, is called when a runner's reports begin to leave
	// ends out, and when they are complete again.
	ObserveEndsTruncated func(runner string, truncated bool)
	// ObserveRestart, when set, is called when a runner's entry or a report shows that it has
	// restarted. earlier is the incarnation that reported last, described the one that its
	// entry describes.
	ObserveRestart func(runner string, born, earlier, described int64)
}

// Decision is one decision of the core, for logs and counters.
type Decision struct {
	What            string // "place", "reserve", "wait", "refused", "stop", "end", "withdraw", "repeat", "found run" or "unrecorded run"
	Job             string
	Task            batch.TaskID
	Attempt         int
	Runner          string
	Reason          string
	Waited          time.Duration
	SincePreemption time.Duration // placements: time since others were preempted for it; 0: none were
	SinceAccepted   time.Duration // runs that are given up: time since the runner accepted or first listed it; 0: it did neither
	TimeFactor      float64       // placements: expected time relative to an average runner
	Work            time.Duration // placements: expected duration on an average runner
	Remote          bool          // placements: away from its data, or from the rest of its gang
}

// OrderKind is what an order asks of a runner.
type OrderKind int

// The kinds of order.
const (
	StartRun OrderKind = iota
	StopRun
)

// Order is an order that the caller sends to a runner.
type Order struct {
	Kind       OrderKind
	Runner     batch.Runner
	Task       batch.TaskID
	Attempt    int
	Spec       string
	Checkpoint string
	Ticket     string // from the adviser; empty: none is needed
}

// Core holds the scheduler's state. It isn't safe for concurrent use.
type Core struct {
	opts       Options
	jobs       map[string]*job
	active     []*job // not ended, in order of acceptance
	runners    map[string]*runner
	allRunners []*runner // the same, for passes over all of them
	speeds     *speeds
	config     *batch.Configuration
	evacuated  map[string]bool
	silent     map[string]bool // failure domains that seem to be cut off

	// removed holds what is known of orders to each runner that was removed: it may come back,
	// and its next incarnation may still carry out orders that were sent to it.
	removed map[string]removedRunner

	// leaseEndRecorded holds the IDs of the runners that the record of lease ends names,
	// or may name.
	leaseEndRecorded map[string]bool

	decidedAt         steady.Time // when the last scheduling pass began
	answersRecordedAt steady.Time
	waitsExplainedAt  steady.Time

	maxReportAge time.Duration // greatest age of a runner's last report at which it may be given starts
	reservations map[reservationKey]*reservation
	answered     []*job  // jobs with starts that were answered since answersRecordedAt
	dirty        []*job  // jobs with changes that TakeRecords has not returned yet
	deferred     []*unit // with starts that wait for an acknowledgement to a runner

	// State of one scheduling pass: the slots found so far, and the number of
	// waiting units of each shape.
	slotCache      map[slotKey][]slot
	waitingByShape map[shape]int

	orders []Order
}

// New returns a core without jobs and runners.
func New(o Options) *Core {
	if o.RemoteFactor < 1 {
		o.RemoteFactor = 1
	}
	if o.Observe == nil {
		o.Observe = func(Decision) {}
	}
	if o.ObserveDomain == nil {
		o.ObserveDomain = func(string, bool) {}
	}
	if o.ObserveEndsTruncated == nil {
		o.ObserveEndsTruncated = func(string, bool) {}
	}
	if o.ObserveRestart == nil {
		o.ObserveRestart = func(string, int64, int64, int64) {}
	}
	if !o.Off.On(mechanism.KeptSpeeds) {
		o.LearnedSpeeds = batch.Speeds{}
	}
	c := &Core{
		opts:         o,
		jobs:         make(map[string]*job),
		runners:      make(map[string]*runner),
		speeds:       newSpeeds(o.LearnedSpeeds),
		evacuated:    make(map[string]bool),
		silent:       make(map[string]bool),
		removed:      make(map[string]removedRunner),
		reservations: make(map[reservationKey]*reservation),
		maxReportAge: defaultMaxReportAge,
	}
	c.leaseEndRecorded = make(map[string]bool, len(o.RecordedLeaseEnds))
	for id := range o.RecordedLeaseEnds {
		c.leaseEndRecorded[id] = true
	}
	c.speeds.believe = !c.uses(mechanism.DurationFit)
	return c
}

// uses reports whether a mechanism is switched on.
func (c *Core) uses(m mechanism.Mechanism) bool { return c.opts.Off.On(m) }

// SetConfiguration replaces the configuration.
func (c *Core) SetConfiguration(config *batch.Configuration) { c.config = config }

// SetEvacuated replaces the set of failure domains on whose runners nothing may
// start.
func (c *Core) SetEvacuated(domains map[string]bool) { c.evacuated = domains }

// TakeOrders returns the orders issued since the last call.
func (c *Core) TakeOrders() []Order {
	out := c.orders
	c.orders = nil
	return out
}

// LearnedSpeeds returns the learned speeds of the known runners and the bias of
// each queue's declared durations.
func (c *Core) LearnedSpeeds() batch.Speeds { return c.speeds.learned(c.runners) }

// Record is a job's progress to be committed to the store.
type Record struct {
	Job      string
	Version  int // to be passed to RecordCommitted
	Progress batch.Progress
}

// TakeRecords returns at most limit records that changed since they were last
// taken.
func (c *Core) TakeRecords(limit int) []Record {
	n := min(limit, len(c.dirty))
	out := make([]Record, 0, n)
	for _, j := range c.dirty[:n] {
		j.recordQueued = false
		p := j.progress(c.decidedAt)
		j.openStartRecordedAt = c.decidedAt
		j.recordsOpenStart = slices.ContainsFunc(p.Tasks, func(t batch.TaskProgress) bool { return t.Open })
		out = append(out, Record{Job: j.spec.ID, Version: j.version, Progress: p})
	}
	c.dirty = c.dirty[n:]
	return out
}

// RecordCommitted notes that a job's record is in the store, and issues the
// starts that waited for it.
func (c *Core) RecordCommitted(id string, version int, now steady.Time) {
	j := c.jobs[id]
	if j == nil || version <= j.committed {
		return
	}
	j.committed = version
	for _, u := range j.units {
		c.releaseStarts(u, now)
	}
}

// releaseStarts issues the starts of a unit whose record is committed. If one of
// their runners no longer accepts starts, it stops the whole unit instead.
func (c *Core) releaseStarts(u *unit, now steady.Time) {
	for _, r := range u.runs {
		if r.phase != planned || r.requiredVersion > u.job.committed {
			continue
		}
		if !r.runner.acceptsStarts(c, now) || !r.mayStart() || !u.permitted(r.runner, now, startLatency) {
			c.stopUnit(u, now, "runner became unavailable before the start was sent")
			return
		}
	}
	for _, r := range u.runs {
		if r.phase == planned && r.requiredVersion <= u.job.committed && r.runner.defersStarts(now) {
			c.deferStarts(u)
			return
		}
	}
	for _, r := range u.runs {
		if r.phase == planned && r.requiredVersion <= u.job.committed {
			r.phase = ordered
			r.phaseSince = now
			c.orders = append(c.orders, r.startOrder())
		}
	}
}

func (c *Core) markChanged(j *job) {
	j.version++
	c.enqueueRecord(j)
}

func (c *Core) enqueueRecord(j *job) {
	if !j.recordQueued {
		j.recordQueued = true
		c.dirty = append(c.dirty, j)
	}
}

func (c *Core) notifyObserver(what string, r *run, reason string) {
	c.opts.Observe(r.decision(what, reason))
}

// notifyGivenUp passes the decision to give up a run to the observer.
func (c *Core) notifyGivenUp(what string, r *run, now steady.Time, reason string) {
	d := r.decision(what, reason)
	if !r.beganBy.IsZero() {
		d.SinceAccepted = now.Sub(r.beganBy)
	}
	c.opts.Observe(d)
}

func (r *run) decision(what, reason string) Decision {
	return Decision{What: what, Job: r.unit.job.spec.ID, Task: r.task(), Attempt: r.attempt, Runner: r.runner.ID, Reason: reason}
}
