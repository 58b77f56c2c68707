package scheduler

import (
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
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

// domainReports is what the runners of one failure domain owe and have sent.
type domainReports struct {
	overdue    int         // runners that owe a report
	firstDue   steady.Time // when the first of these reports was due
	lastReport steady.Time // when any of the domain's runners last reported
}

func (d *domainReports) add(r *runner, now steady.Time) {
	d.lastReport = max(d.lastReport, r.reportReceivedAt)
	if !r.listed || !r.overdue(now) {
		return
	}
	if d.overdue == 0 || r.reportDueBy < d.firstDue {
		d.firstDue = r.reportDueBy
	}
	d.overdue++
}

func (d *domainReports) silent() bool {
	return d.overdue >= minSilentRunners && d.lastReport < d.firstDue
}

// noteSilentDomains finds the failure domains of which several runners owe reports and
// none has sent one since the first of these was due. It answers domains that are cut
// off: runners report in turn, so that a cut shows within a fraction of the interval
// between two reports of one runner. Nothing is started there, as a start without an
// answer keeps its task from running elsewhere until the runner's lease has run out.
// What runs there is left alone.
func (c *Core) noteSilentDomains(now steady.Time) {
	if !c.uses(mechanism.SilenceCheck) {
		return
	}
	domains := make(map[string]*domainReports)
	for _, r := range c.allRunners {
		if domains[r.FailureDomain] == nil {
			domains[r.FailureDomain] = &domainReports{}
		}
		domains[r.FailureDomain].add(r, now)
	}
	for name, d := range domains {
		if d.silent() != c.silent[name] {
			c.opts.ObserveDomain(name, d.silent())
		}
		c.silent[name] = d.silent()
	}
	for _, r := range c.allRunners {
		r.domainSilent = c.silent[r.FailureDomain]
	}
}

// seemsCutOff reports whether the runner, or its failure domain, owes reports.
func (c *Core) seemsCutOff(r *runner, now steady.Time) bool {
	return c.uses(mechanism.SilenceCheck) && (r.domainSilent || r.overdue(now))
}
