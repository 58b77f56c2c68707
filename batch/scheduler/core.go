// Package scheduler decides which task of a batch job runs where. It is pure:
// it takes the time, what is recorded and what runners report, and gives out
// orders and records. The caller sends the orders and commits the records.
//
// A start is given out only once the record that names it was committed, and
// an end is acknowledged to its runner only once it is in a committed record.
// So whoever schedules next knows every run there can be.
package scheduler

import (
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Options are limits of the deployment.
type Options struct {
	MaxEarlyStart time.Duration // how early an occurrence may start
	RemoteFactor  float64       // slow-down away from a gang's rack or from data
	// InheritedLeaseEnd is when everything that an earlier scheduler started on a
	// runner that doesn't answer has certainly lapsed.
	InheritedLeaseEnd steady.Time
	LearnedSpeeds     batch.Speeds // by earlier schedulers
	// FirstFit places in order of arrival on the first runners that fit, without
	// preemption and learned speeds: the baseline that measurements compare with.
	FirstFit bool
	// Observe, when set, is told of each decision.
	Observe func(Decision)
}

// Decision is one thing decided, for logs and counters.
type Decision struct {
	What            string // such as "start", "preempt", "end"
	Job             string
	Task            batch.TaskID
	Attempt         int
	Runner          string
	Reason          string
	Waited          time.Duration
	SincePreemption time.Duration // placements: since others were stopped for it; 0: none were
	TimeFactor      float64       // placements: expected time relative to an average runner
	Work            time.Duration // placements: expected on an average runner
}

// OrderKind tells what an order asks of a runner.
type OrderKind int

// The kinds of order.
const (
	StartRun OrderKind = iota
	StopRun
)

// Order is to be sent to a runner.
type Order struct {
	Kind       OrderKind
	Runner     batch.Runner
	Task       batch.TaskID
	Attempt    int
	Spec       string
	Checkpoint string
	Ticket     string // of the adviser; empty: none is needed
}

// Core is the scheduler's state. It isn't safe for concurrent use.
type Core struct {
	opts      Options
	jobs      map[string]*job
	active    []*job // not ended, in order of acceptance
	runners   map[string]*runner
	speeds    *speeds
	config    *batch.Configuration
	evacuated map[string]bool
	fresh     time.Duration // oldest report on which a start may rest
	dirty     []*job

	// Within one decision: places that were looked for, and how many units of a
	// shape wait.
	places  map[placeKey][]slot
	waiting map[shape]int

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
	return &Core{
		opts:      o,
		jobs:      make(map[string]*job),
		runners:   make(map[string]*runner),
		speeds:    newSpeeds(o.LearnedSpeeds),
		evacuated: make(map[string]bool),
		fresh:     freshContact,
	}
}

// SetConfiguration puts a configuration in force.
func (c *Core) SetConfiguration(config *batch.Configuration) { c.config = config }

// SetEvacuated replaces the failure domains on whose runners nothing may start.
func (c *Core) SetEvacuated(domains map[string]bool) { c.evacuated = domains }

// TakeOrders returns the orders given since the last call.
func (c *Core) TakeOrders() []Order {
	out := c.orders
	c.orders = nil
	return out
}

// LearnedSpeeds returns what was learned of the speeds of the runners that are known.
func (c *Core) LearnedSpeeds() batch.Speeds { return c.speeds.learned(c.runners) }

// Record is a job's progress to be committed.
type Record struct {
	Job      string
	Version  int // to be given back to Committed
	Progress batch.Progress
}

// TakeRecords returns up to most records that changed since they were last
// taken.
func (c *Core) TakeRecords(most int) []Record {
	n := min(most, len(c.dirty))
	out := make([]Record, 0, n)
	for _, j := range c.dirty[:n] {
		j.queued = false
		out = append(out, Record{Job: j.spec.ID, Version: j.version, Progress: j.progress()})
	}
	c.dirty = c.dirty[n:]
	return out
}

// RecordCommitted notes that a job's record is in the store, and gives out the
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

func (c *Core) releaseStarts(u *unit, now steady.Time) {
	for _, r := range u.runs {
		if r.phase != planned || r.needs > u.job.committed {
			continue
		}
		if !r.runner.mayStart(c, now) || !u.permitted(r.runner, now, startLead) {
			c.stopUnit(u, now, "runner became unavailable before the start was sent")
			return
		}
	}
	for _, r := range u.runs {
		if r.phase == planned && r.needs <= u.job.committed {
			r.phase = ordered
			r.changed = now
			c.orders = append(c.orders, r.startOrder())
		}
	}
}

func (c *Core) change(j *job) {
	j.version++
	c.enqueueRecord(j)
}

func (c *Core) enqueueRecord(j *job) {
	if !j.queued {
		j.queued = true
		c.dirty = append(c.dirty, j)
	}
}

func (c *Core) observe(what string, r *run, reason string) {
	c.opts.Observe(Decision{
		What: what, Job: r.unit.job.spec.ID, Task: r.task(), Attempt: r.attempt, Runner: r.runner.ID, Reason: reason,
	})
}
