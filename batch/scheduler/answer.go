package scheduler

import (
	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Answer is the outcome of an order.
type Answer int

// The outcomes.
const (
	Accepted       Answer = iota
	NotExecuted           // the runner refused, and nothing was done
	Unhealthy             // the same, because something is wrong with the runner
	OutcomeUnknown        // it may have been done, or may be done later
)

// HandleAnswer takes a runner's answer to an order.
func (c *Core) HandleAnswer(o Order, a Answer, now steady.Time) {
	r := c.runners[o.Runner.ID]
	if r == nil {
		return
	}
	known := r.runs[runKey{o.Task, o.Attempt}]
	if known == nil {
		return
	}
	if o.Kind == StopRun {
		if a == Accepted && known.phase == stopping {
			known.confirmed = now
		}
		return
	}
	c.startAnswered(known, a, now)
}

func (c *Core) startAnswered(r *run, a Answer, now steady.Time) {
	if r.phase != ordered {
		if a == Accepted && r.phase == running {
			r.confirmed = now
		}
		return
	}
	u := r.unit
	switch a {
	case Accepted:
		r.phase, r.changed, r.confirmed, r.started, r.advanced = running, now, now, now, now
		if u.job.state == batch.Queued {
			u.job.state = batch.Running
			c.change(u.job)
		}
	case NotExecuted, Unhealthy:
		if a == Unhealthy {
			r.runner.suspect(now)
		}
		c.observe("refused", r, "start refused by the runner")
		if u.advised() {
			delete(u.permits().byRunner, r.runner.ID) // its ticket may be why
		}
		c.detach(r)
		c.change(u.job)
		c.stopUnit(u, now, "another member was not started")
	case OutcomeUnknown:
		r.runner.suspect(now)
		c.stopUnit(u, now, "start without an answer")
	}
}
