package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// longWait is how long a unit that could run has had no run at work when it is explained.
	longWait = 3 * time.Second

	// explainInterval and unitExplainInterval are the times between two passes that explain
	// waits, and between two explanations of one unit.
	explainInterval     = time.Second
	unitExplainInterval = 10 * time.Second

	// maxExplained is how many units one pass explains.
	maxExplained = 5
)

// refusal is why a waiting unit was not placed when it was last considered.
type refusal string

const (
	noRoom          refusal = "no room"
	awaitsNear      refusal = "no room near its data or in one rack, for which it still waits"
	awaitsPreempted refusal = "others are stopped for it"
	awaitsLessLate  refusal = "it would be less late on runners that become free soon"
	behindItsShape  refusal = "another unit of its shape was refused before it"
	startsUnderway  refusal = "its starts may be under way"
	runsStopping    refusal = "its runs are being stopped"
	notConsidered   refusal = "not considered"
)

// explainWaits passes the reason why they wait to the observer for some of the units that
// could run and have waited long.
func (c *Core) explainWaits(now steady.Time) {
	if now.Sub(c.waitsExplainedAt) < explainInterval {
		return
	}
	c.waitsExplainedAt = now
	explained := 0
	for _, j := range c.active {
		for _, u := range j.units {
			since := u.idleSince()
			if since.IsZero() || now.Sub(since) < longWait || !u.explainedAt.IsZero() && now.Sub(u.explainedAt) < unitExplainInterval {
				continue
			}
			if explained++; explained > maxExplained {
				return
			}
			u.explainedAt = now
			c.opts.Observe(Decision{
				What: "wait", Job: j.spec.ID, Task: batch.TaskID{Job: j.spec.ID, Occurrence: u.occurrence, Step: u.step, Index: u.first},
				Attempt: u.attempt, Waited: now.Sub(since), Work: c.speeds.expectedDuration(u), Reason: c.waitReason(u, now),
			})
		}
	}
}

// idleSince returns since when the unit could run and has no run that is at work or about to
// be; 0: it has one, or can't run.
func (u *unit) idleSince() steady.Time {
	if u.done {
		return 0
	}
	since := u.waitingSince
	for _, r := range u.runs {
		if r.phase != withdrawn && r.phase != stopping {
			return 0
		}
		since = max(since, r.phaseSince)
	}
	return since
}

// waitReason says why the unit has no run at work.
func (c *Core) waitReason(u *unit, now steady.Time) string {
	if len(u.runs) > 0 {
		return u.blockingRuns(now)
	}
	reason := cmp.Or(u.refusal, notConsidered)
	if reason != noRoom && reason != awaitsNear {
		return string(reason)
	}
	return fmt.Sprintf("%s: %s", reason, c.roomFor(u, now))
}

// blockingRuns says which runs keep the unit from being placed.
func (u *unit) blockingRuns(now steady.Time) string {
	reason := runsStopping
	var over steady.Time
	var where []string
	for _, r := range u.runs {
		if r.starts.any() {
			reason = startsUnderway
		}
		over = max(over, r.starts.overBy)
		where = append(where, r.runner.ID)
	}
	return fmt.Sprintf("%s: %d of %d on %s, over in %v", reason, len(u.runs), u.tasks, strings.Join(where[:min(len(where), 3)], " "),
		max(0, over.Sub(now)).Round(time.Millisecond))
}

// roomFor says how many tasks of the unit fit on the runners of its service, and how many
// runners are barred to it for each reason.
func (c *Core) roomFor(u *unit, now steady.Time) string {
	room, full := 0, 0
	reserved := c.reservationsAgainst(u, now)
	bars := make(map[string]int)
	for _, r := range c.allRunners {
		if r.Service != u.job.spec.Service {
			continue
		}
		bar := c.bar(u, r, roomNow, reserved, now)
		if bar == "" && !u.permitted(r, now, ticketMargin) {
			bar = "not approved"
		}
		if bar != "" {
			bars[bar]++
			continue
		}
		n := u.tasksFitting(r, r.freeFor(u, now))
		room += n
		if n == 0 {
			full++
		}
	}
	out := fmt.Sprintf("for %d of %d tasks; runners full: %d", room, u.tasks, full)
	for _, bar := range slices.Sorted(maps.Keys(bars)) {
		out += fmt.Sprintf(", %s: %d", bar, bars[bar])
	}
	return out
}
