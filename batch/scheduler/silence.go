package scheduler

import (
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// minSilentRunners is the number of runners of a failure domain that must owe a report
// before the domain counts as silent.
const minSilentRunners = 2

// ReportDue notes that a runner owes a report by the given time, if it is well and can
// be reached.
func (c *Core) ReportDue(id string, by steady.Time) {
	if r := c.runners[id]; r != nil && r.reportDueBy == 0 {
		r.reportDueBy = by
	}
}

// overdue reports whether the runner owes a report that should have arrived.
func (r *runner) overdue(now steady.Time) bool { return r.reportDueBy != 0 && now.After(r.reportDueBy) }

// noteSilentDomains finds the failure domains of which several runners owe reports and
// none has sent one since the first of these was due. It answers domains that are cut
// off: runners report in turn, so that a cut shows within a fraction of the interval
// between two reports of one runner. Nothing is started there, as a start without an
// answer keeps its task from running elsewhere until the runner's lease has run out.
// What runs there is left alone.
func (c *Core) noteSilentDomains(now steady.Time) {
	type domain struct {
		overdue    int
		firstDue   steady.Time
		lastReport steady.Time
	}
	domains := make(map[string]*domain)
	for _, r := range c.allRunners {
		d := domains[r.FailureDomain]
		if d == nil {
			d = &domain{}
			domains[r.FailureDomain] = d
		}
		d.lastReport = max(d.lastReport, r.reportReceivedAt)
		if !r.listed || !r.overdue(now) {
			continue
		}
		if d.overdue == 0 || r.reportDueBy < d.firstDue {
			d.firstDue = r.reportDueBy
		}
		d.overdue++
	}
	clear(c.silent)
	for name, d := range domains {
		if d.overdue >= minSilentRunners && d.lastReport < d.firstDue {
			c.silent[name] = true
		}
	}
}
