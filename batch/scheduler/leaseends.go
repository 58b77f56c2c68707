package scheduler

import "github.com/cyclamentray/cyclamentray/internal/steady"

// A runner that can't be reached keeps its tasks until its lease has run out. The next
// scheduler doesn't know when that is, unless it is recorded: it would wait for a whole
// lease, and a series of schedulers would wait without end. A lease whose end is recorded
// is not extended, and nothing starts on its runner, until a record without it is
// committed.

// LeaseEndsToRecord returns the time by which all that runs on it has ended for each runner
// that has runs and hasn't reported for so long that its lease isn't extended any more. From then on
// these leases are not extended, and those in the last committed record neither.
func (c *Core) LeaseEndsToRecord(now steady.Time) map[string]steady.Time {
	ends := make(map[string]steady.Time)
	for _, r := range c.allRunners {
		silent := now.Sub(max(r.reportReceivedAt, c.opts.Began)) > c.maxReportAge+leaseExtendGrace
		recorded := c.leaseEndRecorded[r.ID] && !r.reachable
		if len(r.runs) == 0 || !silent && !recorded {
			continue
		}
		c.leaseEndRecorded[r.ID] = true
		ends[r.ID] = r.allRunsOverBy()
	}
	return ends
}

// LeaseEndsRecorded notes that a record of lease ends is committed that names these
// runners and no others.
func (c *Core) LeaseEndsRecorded(runners []string) {
	clear(c.leaseEndRecorded)
	for _, id := range runners {
		c.leaseEndRecorded[id] = true
	}
}

// AwaitsLeaseRecord reports whether a runner has reported and its lease can't be extended
// before a record of lease ends without it is committed.
func (c *Core) AwaitsLeaseRecord(id string) bool {
	r := c.runners[id]
	return r != nil && r.reachable && c.leaseEndRecorded[id]
}

// inheritedStartsEnd returns the time by which all has ended that starts of earlier schedulers
// may still begin on a runner. A recorded lease end allows for them already, so that a series of
// schedulers doesn't wait anew each time.
func (c *Core) inheritedStartsEnd(id string, now steady.Time) steady.Time {
	if by, recorded := c.opts.RecordedLeaseEnds[id]; recorded {
		return min(by, now.Add(c.opts.EarlierOrders))
	}
	return now.Add(c.opts.EarlierOrders)
}

// inheritedLeaseEnd returns the time by which all that earlier schedulers may have started on
// a runner has ended. A recorded time may lie beyond InheritedLeaseEnd, as starts were under way.
func (c *Core) inheritedLeaseEnd(id string) steady.Time {
	if by, recorded := c.opts.RecordedLeaseEnds[id]; recorded {
		return min(by, max(c.opts.InheritedLeaseEnd, c.opts.Began.Add(c.opts.EarlierOrders)))
	}
	return c.opts.InheritedLeaseEnd
}
