package scheduler

import (
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// freshContact is the oldest report on which a start may rest, unless the
	// driver says otherwise: one hold's wait and its time-out.
	freshContact = 1800 * time.Millisecond

	// lapseMargin is added to the time by which a runner's lease has run out:
	// what it was killed for is gone within a stop.
	lapseMargin = 500 * time.Millisecond

	// suspectPause keeps a runner free of new work after it failed something;
	// it doubles with each failure in a row up to suspectPauseMax.
	suspectPause    = 1500 * time.Millisecond
	suspectPauseMax = 8 * time.Second

	// foreignRetry lies between two stops of a run that is nobody's.
	foreignRetry = time.Second
)

type runKey struct {
	task    batch.TaskID
	attempt int
}

// runner is one runner and what may run on it.
type runner struct {
	batch.Runner
	listed    bool
	reported  steady.Time // when the last report was asked for
	contact   steady.Time // when the last report arrived
	reachable bool
	bound     steady.Time // when its lease has certainly run out
	used      batch.Resources
	runs      map[runKey]*run
	foreign   map[runKey]steady.Time // runs that are nobody's, and when they were last told to stop
	seen      int64                  // highest end taken in
	acked     int64
	ends      []pendingEnd
	failures  int // in a row
	suspended steady.Time
	leaves    steady.Time // when it may end, while it is draining
	nominated []nomination
}

// pendingEnd is an end that is acknowledged once its job's record is committed.
type pendingEnd struct {
	sequence int64
	job      *job
	version  int
}

// runner returns the runner called id, known or not yet.
func (c *Core) runner(id string) *runner {
	r := c.runners[id]
	if r == nil {
		r = &runner{
			Runner:  batch.Runner{ID: id},
			runs:    make(map[runKey]*run),
			foreign: make(map[runKey]steady.Time),
			bound:   c.opts.InheritedLeaseEnd,
		}
		c.runners[id] = r
	}
	return r
}

// RunnerListed takes what a runner last said of itself.
func (c *Core) RunnerListed(told batch.Runner, now steady.Time) {
	r := c.runner(told.ID)
	if r.Born != 0 && told.Born != 0 && r.Born > told.Born {
		return // an entry of an earlier incarnation
	}
	born := r.Born
	r.Runner = told
	if born != 0 {
		r.Born = born // only a report tells that the earlier incarnation is gone
	}
	if told.Draining {
		r.leaves = now.Add(told.DrainRemaining)
	}
	r.listed = true
}

// RunnerUnlisted notes that a runner's entry is gone. What runs there still counts.
func (c *Core) RunnerUnlisted(id string) {
	if r := c.runners[id]; r != nil {
		r.listed = false
	}
}

// RunnerLeft notes that a runner has ended, with all that ran on it.
func (c *Core) RunnerLeft(id string, now steady.Time) {
	r := c.runners[id]
	if r == nil {
		return
	}
	r.listed, r.reachable = false, false
	c.loseRuns(r, now, "runner left")
}

// RunnerNeeded reports whether a runner is listed or may still run something.
func (c *Core) RunnerNeeded(id string) bool {
	r := c.runners[id]
	return r != nil && (r.listed || len(r.runs) > 0)
}

// extendGrace is how long beyond a fresh report's age a runner's lease is still
// extended. A hold without an answer may have been carried out, so a runner that
// is gone for good would otherwise seem to hold its tasks for ever.
const extendGrace = 300 * time.Millisecond

// SetMaxReportAge sets the oldest report on which a start may rest.
func (c *Core) SetMaxReportAge(d time.Duration) { c.fresh = d }

// MayExtendLease reports whether a runner's lease may be extended now.
func (c *Core) MayExtendLease(id string, now steady.Time) bool {
	r := c.runners[id]
	return r != nil && !r.contact.IsZero() && now.Sub(r.contact) <= c.fresh+extendGrace
}

// NoteLeaseExtension notes, before it is sent, that an order may extend a runner's lease
// until the given time.
func (c *Core) NoteLeaseExtension(id string, until steady.Time) {
	r := c.runner(id)
	r.bound = max(r.bound, until)
}

// AcknowledgedEnd returns the end up to which all is recorded. It is none while a
// runner is not reached: one that restarts numbers its ends anew.
func (c *Core) AcknowledgedEnd(id string) int64 {
	r := c.runners[id]
	if r == nil || !r.reachable {
		return 0
	}
	r.acknowledge()
	return r.acked
}

func (r *runner) acknowledge() {
	n := 0
	for _, e := range r.ends {
		if e.job != nil && e.version > e.job.committed {
			break
		}
		r.acked = max(r.acked, e.sequence)
		n++
	}
	r.ends = r.ends[n:]
}

// HasUnacknowledgedEnds reports whether ends of a runner wait to be recorded.
func (c *Core) HasUnacknowledgedEnds(id string) bool {
	r := c.runners[id]
	if r == nil {
		return false
	}
	r.acknowledge()
	return len(r.ends) > 0
}

// RunnerUnreachable notes that a runner did not answer. When it had announced its
// leaving, is no longer listed and refuses connections, it has left.
func (c *Core) RunnerUnreachable(id string, refused bool, now steady.Time) {
	r := c.runners[id]
	if r == nil {
		return
	}
	r.reachable = false
	if refused && !r.listed && r.Draining {
		c.loseRuns(r, now, "runner left")
	}
}

func (r *runner) suspect(now steady.Time) {
	r.failures++
	pause := min(suspectPause<<min(r.failures-1, 4), suspectPauseMax)
	r.suspended = max(r.suspended, now.Add(pause))
}

// loseRuns takes everything on a runner as gone.
func (c *Core) loseRuns(r *runner, now steady.Time, reason string) {
	for _, lost := range r.runs {
		c.lose(lost, now, reason)
	}
}

func (c *Core) lose(r *run, now steady.Time, reason string) {
	c.observe("end", r, reason)
	u := r.unit
	c.detach(r)
	c.change(u.job)
	if len(u.runs) > 0 && u.ending.IsZero() {
		u.ending = now
	}
}

// expire takes runs as gone whose runner's lease has run out unseen.
func (c *Core) expire(now steady.Time) {
	for id, r := range c.runners {
		if now.After(r.bound.Add(lapseMargin)) {
			c.lapse(r, now)
		}
		if !r.listed && len(r.runs) == 0 {
			delete(c.runners, id)
		}
	}
}

// lapse takes the runs as gone that were there when the runner's lease ran out.
// Later ones extend it with their start.
func (c *Core) lapse(r *runner, now steady.Time) {
	for _, known := range r.runs {
		if !known.began.After(r.bound) {
			c.lose(known, now, "lease of the runner ran out")
		}
	}
}

// mayStart reports whether something may be started on the runner now.
func (r *runner) mayStart(c *Core, now steady.Time) bool {
	return r.listed && r.reachable && !r.Draining &&
		!c.evacuated[r.FailureDomain] &&
		now.Sub(r.contact) <= c.fresh
}

func (r *runner) free() batch.Resources { return r.Capacity.Minus(r.used) }

func (r *runner) has(label string) bool { return label == "" || slices.Contains(r.Labels, label) }
