package scheduler

import (
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// A hold that acknowledges ends drops those up to a number, and each incarnation of a runner
// numbers them anew. One that is carried out late by the next incarnation could drop the end of
// a run that a late start has begun there, which nobody has read. Therefore no end is
// acknowledged while starts are under way to the runner, and a start is sent only with a higher
// token than each acknowledgement that may still be under way: the incarnation that carries the
// start out then refuses the acknowledgement.

// acknowledgement is the state of the holds that acknowledge a runner's ends.
type acknowledgement int

const (
	noneUnderWay  acknowledgement = iota
	inFlight                      // one was sent, and its answer is waited for
	withoutAnswer                 // one has no answer; a start needs a higher token
)

// WithholdsAcknowledgement reports whether ends of a runner are recorded and can't be
// acknowledged yet, as starts are under way to it.
func (c *Core) WithholdsAcknowledgement(id string) bool {
	r := c.runners[id]
	if r == nil {
		return false
	}
	r.acknowledge()
	return r.ackedEnd > r.forgottenEnd && (r.hasStartsUnderWay() || r.startsDeferred && !r.acknowledgementOverdue)
}

// NoteAcknowledgementSent notes that a hold is about to be sent that acknowledges ends.
func (c *Core) NoteAcknowledgementSent(id string) {
	r := c.runners[id]
	if r == nil {
		return
	}
	r.acknowledgedBorn = r.Born
	if r.acknowledgement == noneUnderWay {
		r.acknowledgement = inFlight
	}
}

// NoteAcknowledgementRefused notes that a hold that acknowledges ends was not carried out.
func (c *Core) NoteAcknowledgementRefused(id string) {
	if r := c.runners[id]; r != nil && r.acknowledgement == inFlight {
		r.acknowledgement = noneUnderWay
	}
}

// NoteAcknowledgementUnanswered notes that a hold that acknowledges ends has no answer.
func (c *Core) NoteAcknowledgementUnanswered(id string) {
	if r := c.runners[id]; r != nil {
		r.acknowledgement = withoutAnswer
	}
}

// AwaitsToken reports whether starts to the runner wait until the token of its orders has been
// raised.
func (c *Core) AwaitsToken(id string) bool {
	r := c.runners[id]
	return r != nil && r.acknowledgement == withoutAnswer
}

// TokenRaised notes that later orders to the runner have a higher token than all before.
func (c *Core) TokenRaised(id string) {
	if r := c.runners[id]; r != nil && r.acknowledgement == withoutAnswer {
		r.acknowledgement = noneUnderWay
	}
}

// maxAcknowledgementDelay is how long starts that follow one another keep ends from being
// acknowledged: several times as long as most answers take.
const maxAcknowledgementDelay = 200 * time.Millisecond

// defersStarts reports whether starts to the runner wait: for the answer to an acknowledgement,
// or for the answers to the starts before, so that ends that have waited are acknowledged.
func (r *runner) defersStarts(now steady.Time) bool {
	if r.acknowledgement != noneUnderWay {
		return true
	}
	r.acknowledge()
	if r.ackedEnd <= r.forgottenEnd || !r.startsAwaited() && !r.startsDeferred {
		return false
	}
	if r.unacknowledgedSince.IsZero() {
		r.unacknowledgedSince = now
	}
	r.acknowledgementOverdue = now.Sub(r.unacknowledgedSince) > maxAcknowledgementDelay
	return r.acknowledgementOverdue
}

// startsAwaited reports whether all starts under way to the runner may still be answered.
func (r *runner) startsAwaited() bool {
	awaited := false
	for _, run := range r.runs {
		if run.starts.tries > run.starts.awaited {
			return false
		}
		awaited = awaited || run.starts.any() || run.phase == ordered && !run.starts.settled
	}
	return awaited
}

// maxUnacknowledgedEnds is how many ends may wait on a runner that can't be acknowledged before it
// gets no more starts: fewer than a report lists.
const maxUnacknowledgedEnds = 400

// reportsNearlyFull reports whether the runner's reports will soon leave ends out, as starts under
// way keep them from being acknowledged.
func (r *runner) reportsNearlyFull() bool {
	return r.lastEndSeen-r.forgottenEnd > maxUnacknowledgedEnds && r.hasStartsUnderWay()
}

// deferStarts keeps the starts of a unit for releaseDeferred.
func (c *Core) deferStarts(u *unit) {
	if !slices.Contains(c.deferred, u) {
		c.deferred = append(c.deferred, u)
	}
	for _, r := range u.runs {
		r.runner.startsDeferred = true
	}
}

// releaseDeferred issues the starts that waited for an acknowledgement.
func (c *Core) releaseDeferred(now steady.Time) {
	deferred := c.deferred
	c.deferred = nil
	for _, r := range c.allRunners {
		r.startsDeferred = false
	}
	for _, u := range deferred {
		c.releaseStarts(u, now)
	}
}
