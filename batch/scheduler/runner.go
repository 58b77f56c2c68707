package scheduler

import (
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// defaultMaxReportAge is the greatest age of a runner's last report at
	// which it may be given starts, unless SetMaxReportAge changes it: the wait
	// of one hold, the order that a runner answers with a report, and its
	// timeout.
	defaultMaxReportAge = 1800 * time.Millisecond

	// leaseExpiryMargin is added to the time by which a runner's lease has run
	// out. The runner then kills its tasks, which are gone within the time of a
	// stop.
	leaseExpiryMargin = 500 * time.Millisecond

	// failureBackoff is how long a runner gets no new work after a failure. It
	// doubles with each failure in a row up to failureBackoffMax.
	failureBackoff    = 1500 * time.Millisecond
	failureBackoffMax = 8 * time.Second

	// orphanStopInterval is the time between two stops of a run that no record
	// names.
	orphanStopInterval = time.Second
)

type runKey struct {
	task    batch.TaskID
	attempt int
}

// runner is a runner with the runs that may exist on it.
type runner struct {
	batch.Runner                                           // as its entry describes it, but Born: the incarnation that reported last
	describedBorn                          int64           // the incarnation that its entry describes; 0: unknown
	describedSince                         steady.Time     // when an entry of it was first read, after those of others
	bornReportedAt                         steady.Time     // when Born last reported, also before the runner was removed
	earlierBorn                            []int64         // incarnations that reported during the term and are over
	restartedBorn                          int64           // the last incarnation whose restart was passed to the observer
	listed                                 bool            // its entry in the store exists
	reportRequestedAt                      steady.Time     // when the last report was requested
	reportReceivedAt                       steady.Time     // when the last report arrived
	reportDueBy                            steady.Time     // when the report that it owes should have arrived; 0: it owes none
	domainSilent                           bool            // its failure domain seems to be cut off
	reachable                              bool            // it answered the last hold
	reachableSince                         steady.Time     // when the first hold was sent that it has answered since it last left one without an answer
	takenAddress                           string          // where another runner answered the last hold to it; empty: none did
	takenSince                             steady.Time     // when the first hold was sent since which another runner has answered each there
	leaseEndsBy                            steady.Time     // when its lease has certainly run out, unless earlier orders extend it
	restartListedAt                        steady.Time     // when an entry of a later incarnation was last read
	earlierOrdersBy                        steady.Time     // until it is fenced: when leases that orders to its earlier incarnation may extend have run out
	reserved                               batch.Resources // by its runs
	reservedUrgent                         batch.Resources // by urgentRuns
	urgentRuns                             []*run          // those of its runs that nothing may preempt
	runs                                   map[runKey]*run
	orphans                                map[runKey]steady.Time // runs that no record names, and when they were last ordered to stop
	lastEndSeen                            int64                  // highest sequence number of a handled end
	ackedEnd                               int64                  // highest sequence number of a recorded end
	forgottenEnd                           int64                  // the same, of an end that the runner has forgotten
	pendingEnds                            []pendingEnd
	acknowledgement                        acknowledgement
	startsDeferred, acknowledgementOverdue bool
	acknowledgedBorn                       int64 // the incarnation to which the last acknowledgement was sent; 0: none was
	// unacknowledgedSince is when a start was first sent although ends could have been
	// acknowledged; 0: none was since the last acknowledgement.
	unacknowledgedSince steady.Time
	endsTruncated       bool // its last report leaves ends out
	fence               fence
	failures            int // consecutive
	suspendedUntil      steady.Time
	leavesAt            steady.Time // when it may end, while it is draining
	mayHaveLeft         unconfirmedDeparture
	nominations         []nomination
}

// fence is what is known of orders to a runner's earlier incarnations. Until the present
// one has seen a higher token than theirs, it may still carry them out: it takes orders for
// the runner's ID, and their deadlines lie far ahead on its clock.
type fence int

const (
	fenced   fence = iota // it refuses them
	unfenced              // it may carry them out
	raised                // it has seen a higher token; its next report shows what it has carried out
)

// pendingEnd is an end that is acknowledged once its job's record is committed.
type pendingEnd struct {
	sequence int64
	job      *job
	version  int
}

// removedRunner is what is kept of a runner that was removed.
type removedRunner struct {
	born              int64
	bornReportedAt    steady.Time
	reportRequestedAt steady.Time
	earlierBorn       []int64
	fence             fence
	acknowledgement   acknowledgement
	acknowledgedBorn  int64
}

func (r *runner) asRemoved() removedRunner {
	out := removedRunner{r.Born, r.bornReportedAt, r.reportRequestedAt, r.earlierBorn, r.fence, r.acknowledgement, r.acknowledgedBorn}
	if out.acknowledgement == inFlight {
		out.acknowledgement = withoutAnswer // its answer finds no runner
	}
	if out.fence == raised {
		out.fence = unfenced // the report that would have decided was not handled
	}
	return out
}

// ensureRunner returns the runner called id, and adds it if it isn't known yet.
func (c *Core) ensureRunner(id string) *runner {
	r := c.runners[id]
	if r == nil {
		r = &runner{
			Runner:      batch.Runner{ID: id},
			runs:        make(map[runKey]*run),
			orphans:     make(map[runKey]steady.Time),
			leaseEndsBy: c.inheritedLeaseEnd(id),
		}
		before := c.removed[id]
		r.Born, r.bornReportedAt, r.reportRequestedAt, r.earlierBorn = before.born, before.bornReportedAt, before.reportRequestedAt, before.earlierBorn
		r.fence, r.acknowledgement, r.acknowledgedBorn = before.fence, before.acknowledgement, before.acknowledgedBorn
		c.runners[id] = r
		c.allRunners = append(c.allRunners, r)
	}
	return r
}

// RunnerListed adds or updates a runner from its entry in the store.
func (c *Core) RunnerListed(entry batch.Runner, now steady.Time) {
	r := c.ensureRunner(entry.ID)
	born := r.Born
	if r.describedBorn != entry.Born {
		r.describedSince = now
	}
	r.Runner, r.describedBorn = entry, entry.Born
	if born != 0 {
		r.Born = born // only a report shows that the earlier incarnation is gone
	}
	switch {
	case r.awaitsReport():
		c.observeRestart(r, entry.Born, now)
		r.restartListedAt = now
	case r.reportReceivedAt.IsZero() && r.restartedSinceItsRuns():
		if r.earlierOrdersBy.IsZero() {
			r.earlierOrdersBy = now.Add(c.opts.EarlierOrders)
		}
	case r.described() && r.fence == fenced && r.restartRefuted():
		r.earlierOrdersBy = 0
	}
	if !r.awaitsReport() {
		r.restartedBorn = 0 // orders are sent to the incarnation that reported last, with the raised token
	}
	r.mayHaveLeft = unconfirmedDeparture{}
	if entry.Draining {
		r.leavesAt = now.Add(entry.DrainRemaining)
	}
	r.listed = true
}

// restartRefuted reports whether the entry of a later incarnation was another writer's: the
// incarnation that has reported answered a call that was sent after the entry was read. The
// earlier incarnation's entry shows nothing when it is read again, as it may be written late.
func (r *runner) restartRefuted() bool {
	return !r.restartListedAt.IsZero() && r.reportRequestedAt.After(r.restartListedAt) && !r.restartedSinceItsRuns()
}

// RunnerUnlisted notes that a runner's entry in the store is gone. Its runs still
// count.
func (c *Core) RunnerUnlisted(id string) {
	if r := c.runners[id]; r != nil {
		r.listed = false
	}
}

// RunnerNeeded reports whether a runner is listed or may still run a task.
func (c *Core) RunnerNeeded(id string) bool {
	r := c.runners[id]
	return r != nil && (r.listed || len(r.runs) > 0)
}

// leaseExtendGrace is how long beyond the maximum report age a runner's lease
// is still extended. A hold without an answer may have been carried out, so a
// runner that never returns would otherwise seem to hold its tasks forever.
const leaseExtendGrace = 300 * time.Millisecond

// SetMaxReportAge sets the greatest age of a runner's last report at which it
// may be given starts.
func (c *Core) SetMaxReportAge(d time.Duration) { c.maxReportAge = d }

// MayExtendLease reports whether a runner's lease may be extended now.
func (c *Core) MayExtendLease(id string, now steady.Time) bool {
	r := c.runners[id]
	return r != nil && !c.leaseEndRecorded[id] && !r.reportReceivedAt.IsZero() && now.Sub(r.reportReceivedAt) <= c.maxReportAge+leaseExtendGrace
}

// NoteLeaseExtension notes that an order may extend a runner's lease until the
// given time. The caller calls it before it sends the order.
func (c *Core) NoteLeaseExtension(id string, until steady.Time) {
	r := c.ensureRunner(id)
	r.leaseEndsBy = max(r.leaseEndsBy, until)
}

// AcknowledgedEnd returns the sequence number up to which all ends of a runner are recorded,
// or 0 if it has forgotten these already. A runner that restarts numbers its ends anew, and a
// hold to the earlier incarnation that reaches the next one would drop ends that nobody has
// read. So it also returns 0 while the runner is unreachable or its entry describes a later
// incarnation.
func (c *Core) AcknowledgedEnd(id string) int64 {
	r := c.runners[id]
	if r == nil || !r.reachable || r.awaitsReport() || r.hasStartsUnderWay() || r.startsDeferred && !r.acknowledgementOverdue {
		return 0
	}
	r.acknowledge()
	if r.ackedEnd <= r.forgottenEnd {
		return 0
	}
	return r.ackedEnd
}

// EndsForgotten notes that an incarnation of a runner has answered a hold that acknowledged ends up
// to a sequence number; 0: it acknowledged none. Only the incarnation that the hold was meant for
// numbers its ends so.
func (c *Core) EndsForgotten(id string, born, upTo int64) {
	r := c.runners[id]
	if r == nil {
		return
	}
	if upTo > 0 && r.acknowledgement == inFlight {
		r.acknowledgement = noneUnderWay
	}
	if born == r.Born && (r.acknowledgedBorn == 0 || r.acknowledgedBorn == r.Born) { // a report of the next incarnation may overtake the answer
		r.forgottenEnd = max(r.forgottenEnd, upTo)
		if upTo > 0 {
			r.unacknowledgedSince, r.acknowledgementOverdue = 0, false
		}
	}
}

// acknowledge advances ackedEnd up to the first end that is not recorded yet.
func (r *runner) acknowledge() {
	n := 0
	for _, e := range r.pendingEnds {
		if e.job != nil && e.version > e.job.committed {
			break
		}
		r.ackedEnd = max(r.ackedEnd, e.sequence)
		n++
	}
	r.pendingEnds = r.pendingEnds[n:]
}

// HasUnacknowledgedEnds reports whether ends of a runner wait to be recorded.
func (c *Core) HasUnacknowledgedEnds(id string) bool {
	r := c.runners[id]
	if r == nil {
		return false
	}
	r.acknowledge()
	return len(r.pendingEnds) > 0
}

// backOff suspends the runner after a failure.
func (r *runner) backOff(now steady.Time) {
	r.failures++
	pause := min(failureBackoff<<min(r.failures-1, 4), failureBackoffMax)
	r.suspendedUntil = max(r.suspendedUntil, now.Add(pause))
}

// loseRun removes a run that is gone without a reported end.
func (c *Core) loseRun(r *run, now steady.Time, reason string) {
	c.notifyGivenUp("end", r, now, reason)
	u := r.unit
	c.detach(r)
	c.markChanged(u.job)
	if len(u.runs) > 0 && u.memberEndedAt.IsZero() {
		u.memberEndedAt = now
	}
}

// expireLeases treats runs as lost when the lease of their runner has run out,
// and removes runners that are no longer needed.
func (c *Core) expireLeases(now steady.Time) {
	for id, r := range c.runners {
		c.endStartsByTime(r, now)
		if now.After(r.leaseCertainlyOver().Add(leaseExpiryMargin)) {
			c.loseRunsOfEndedLease(r, now)
		}
		if !r.listed && len(r.runs) == 0 {
			delete(c.runners, id)
			c.removed[id] = r.asRemoved()
			c.allRunners = slices.DeleteFunc(c.allRunners, func(o *runner) bool { return o == r })
		}
	}
}

// leaseCertainlyOver returns the time by which the runner's lease has run out.
func (r *runner) leaseCertainlyOver() steady.Time { return max(r.leaseEndsBy, r.earlierOrdersBy) }

// allRunsOverBy returns the time by which all that may run on the runner has ended, if its
// lease is not extended and it can't be reached.
func (r *runner) allRunsOverBy() steady.Time {
	by := r.leaseCertainlyOver()
	for _, run := range r.runs {
		by = max(by, run.starts.overBy)
	}
	return by
}

// loseRunsOfEndedLease treats the runs that existed when the runner's lease ran
// out as lost. Later runs extend the lease with their start; inherited ones are older
// than the lease. The lease of one incarnation says nothing of a start that the next one may
// carry out.
func (c *Core) loseRunsOfEndedLease(r *runner, now steady.Time) {
	for _, run := range r.runs {
		if run.starts.any() && now.Before(run.starts.overBy.Add(leaseExpiryMargin)) {
			continue
		}
		c.noteStartsOver(run)
		if run.phase == inherited || !run.createdAt.After(r.leaseCertainlyOver()) {
			c.giveUp(run, now, "lease of the runner ran out")
		}
	}
}

// described reports whether the runner's entry describes the incarnation that reported
// last, which may be of another kind than the one before. The entry and the first report
// of an incarnation arrive in either order.
func (r *runner) described() bool {
	return r.describedBorn == 0 || r.Born == 0 || r.describedBorn == r.Born
}

// restartedSinceItsRuns reports whether the runner's entry describes another incarnation than
// the one that a run was meant for that an earlier scheduler has recorded. Until the present
// one has answered a hold of this term, it may still carry out orders to that one.
func (r *runner) restartedSinceItsRuns() bool {
	for _, run := range r.runs {
		if run.phase == inherited && run.born != 0 && r.describedBorn != 0 && run.born != r.describedBorn {
			return true
		}
	}
	return false
}

// awaitsReport reports whether the runner's entry describes a later incarnation than the one
// that reported last.
func (r *runner) awaitsReport() bool { return r.Born != 0 && r.describedBorn > r.Born }

// AwaitsReport reports whether a runner has restarted, by its entry, and its new incarnation
// has not reported yet.
func (c *Core) AwaitsReport(id string) bool {
	r := c.runners[id]
	return r != nil && r.awaitsReport()
}

// acceptsStarts reports whether runs may be started on the runner now.
func (r *runner) acceptsStarts(c *Core, now steady.Time) bool {
	return r.takesStarts(c) && r.reachable && !c.leaseEndRecorded[r.ID] && !c.seemsCutOff(r, now) &&
		now.Sub(r.reportReceivedAt) <= c.maxReportAge
}

// takesStarts reports whether runs may be started on the runner while it can be reached.
func (r *runner) takesStarts(c *Core) bool {
	return r.listed && r.described() && r.fence == fenced && !r.Draining && !c.evacuated[r.FailureDomain]
}

func (r *runner) free() batch.Resources { return r.Capacity.Minus(r.reserved) }

func (r *runner) hasLabel(label string) bool { return label == "" || slices.Contains(r.Labels, label) }
