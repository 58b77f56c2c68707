package conditions

import (
	"cmp"
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/dispatch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	// unlistGrace is how long a runner whose entry is gone still counts as listed:
	// after an outage of the store the entries of live runners come back within two
	// seconds.
	unlistGrace = 2500 * time.Millisecond

	// runnerWatchPause is the pause between two watches, so that heartbeats are read
	// in batches. A runner that leaves must get no new tasks two seconds after it
	// announced it.
	runnerWatchPause = 200 * time.Millisecond
)

// FollowRunners implements dispatch.Conditions.
func (c *Conditions) FollowRunners(ctx context.Context, events dispatch.RunnerEventHandler) {
	l := newRunnerList(ctx, c.format, c.heartbeat, c.log, events)
	l.storeAway = c.outages.last
	f := kvstore.Follower{
		Store:  c.store,
		Prefix: c.format.RunnerPrefix,
		Wait:   watchWait,
		Pause:  func() time.Duration { return runnerWatchPause },
		Reset:  l.reset,
		Apply:  l.apply,

		ReadStarted:   func() { l.readStarted(steady.Now()) },
		ReadDone:      l.readDone,
		ReadTruncated: l.readTruncated,
	}
	c.logStoreLoss(&f)
	f.Run(ctx)
}

// runnerList turns changes of the runners' entries into calls of a
// RunnerEventHandler, without the heartbeats that change nothing else. Only the
// follower's goroutine uses it, apart from the timers of absences. A runner that
// the handler takes for listed is in runners, or in absences while its entry is gone.
type runnerList struct {
	ctx    context.Context
	format Format
	log    *log.Logger
	events dispatch.RunnerEventHandler
	now    func() steady.Time
	// storeAway returns when the store was away last; until 0: it still is.
	storeAway func() (since, until steady.Time)

	departureWindow time.Duration // departureWindowHeartbeats as a duration
	earlierRemovals time.Duration // earlierRemovalHeartbeats as a duration

	readSent     steady.Time            // when the read of the store in progress was sent
	changesAfter steady.Time            // the changes in this read happened after this time; 0: unknown
	listed       bool                   // the entries have been listed before
	truncated    bool                   // the read in progress leaves changes out
	described    map[string]incarnation // by runner ID: the one that its entry described last
	lastSilence  map[string]steady.Time // by runner ID: an upper bound on when its last silence began, or that of another incarnation

	mu       sync.Mutex              // guards the maps below, and orders the events
	runners  map[string]batch.Runner // listed runners by ID
	absences map[string]*time.Timer  // by runner ID, while the entry is gone and the runner still counts as listed
}

func newRunnerList(ctx context.Context, format Format, heartbeat time.Duration, logger *log.Logger, events dispatch.RunnerEventHandler) *runnerList {
	return &runnerList{
		ctx: ctx, format: format, log: logger, events: events, now: steady.Now,
		storeAway:       func() (since, until steady.Time) { return 0, 1 }, // long ago
		departureWindow: time.Duration(departureWindowHeartbeats * float64(heartbeat)),
		earlierRemovals: earlierRemovalHeartbeats * heartbeat,
		described:       make(map[string]incarnation), lastSilence: make(map[string]steady.Time),
		runners: make(map[string]batch.Runner), absences: make(map[string]*time.Timer),
	}
}

// incarnation is an incarnation of a runner, as the runner's entry described it.
type incarnation struct {
	born          int64
	knownBy       steady.Time // when an entry of it was first read
	lastHeartbeat steady.Time // a lower bound on the time of its last heartbeat; 0: unknown
}

const (
	// departureWindowHeartbeats is how soon after a heartbeat, in heartbeat intervals, an
	// entry must be deleted for its runner to count as having left on its own. The entry
	// of a silent runner is deleted after three intervals. The margin between 2.8 and 3
	// allows for clock differences.
	departureWindowHeartbeats = 2.8

	// earlierRemovalHeartbeats is how old, in heartbeat intervals, an incarnation must be
	// for a deletion to concern it and not the incarnation before: that one may be taken
	// for silent three intervals after its last heartbeat, and the entry then names the
	// next one. One more interval allows for a late deletion. As long ago must its last
	// silence have begun.
	earlierRemovalHeartbeats = 4
)

// readStarted notes that a read of the store is about to be sent.
func (l *runnerList) readStarted(now steady.Time) { l.readSent = now }

// readDone notes that the read in progress has returned all changes so far. Changes
// in the next read happened after this one was sent, unless this one was truncated.
func (l *runnerList) readDone() {
	l.changesAfter = l.readSent
	if l.truncated {
		l.changesAfter, l.truncated = 0, false
	}
}

// readTruncated notes that the store has more changes than this read returned: the
// next read returns them late.
func (l *runnerList) readTruncated() { l.truncated = true }

// reset replaces the list by the entries of the whole prefix. It isn't known which entries were
// there since the read before.
func (l *runnerList) reset(items []kvstore.Item) {
	clear(l.described)
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[l.format.RunnerID(item.Key)] = true
		l.putEntry(item)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.runners {
		if !present[id] {
			l.unlistAfterGrace(id)
		}
	}
	l.listed = true
}

// apply applies only the last change of each entry, since heartbeats change entries
// often, and before a deletion the last entry: it tells what was deleted.
func (l *runnerList) apply(events []kvstore.Event) {
	last, lastPut := make(map[string]int, len(events)), make(map[string]int, len(events))
	for i, e := range events {
		last[e.Key] = i
		if !e.Deleted {
			lastPut[e.Key] = i
		}
	}
	for i, e := range events {
		switch {
		case e.Deleted && last[e.Key] == i:
			l.entryDeleted(l.format.RunnerID(e.Key), l.now())
		case e.Deleted:
		case lastPut[e.Key] != i:
			l.noteEntry(e.Item)
		case l.putEntry(e.Item):
			l.noteHeartbeat(l.format.RunnerID(e.Key))
		}
	}
}

// noteHeartbeat notes a heartbeat that was read by a watch. Entries from a list of the
// whole prefix don't count: they may have been written as long ago as it takes to
// detect that a runner is silent.
func (l *runnerList) noteHeartbeat(id string) {
	if !l.changesAfter.IsZero() {
		i := l.described[id]
		i.lastHeartbeat = l.changesAfter
		l.described[id] = i
	}
}

// noteEntry notes which incarnation an entry describes that was replaced since.
func (l *runnerList) noteEntry(item kvstore.Item) {
	r, err := l.format.DecodeRunner(item)
	if err != nil {
		return // its replacement counts
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.describe(r)
}

// describe notes the incarnation that an entry describes. Unless it continues what was read before,
// a silence may just have ended. The caller holds mu.
func (l *runnerList) describe(r batch.Runner) {
	i, found := l.described[r.ID]
	now := l.now()
	known := found && i.born == r.Born
	if l.listed && !(known && now.Sub(cmp.Or(i.lastHeartbeat, i.knownBy)) <= l.departureWindow) {
		l.lastSilence[r.ID] = now
	}
	if !known {
		l.described[r.ID] = incarnation{born: r.Born, knownBy: now}
	}
}

// putEntry reports a runner as listed when its entry is new or has changed. For an
// invalid entry it reports the runner as unlisted and returns false.
func (l *runnerList) putEntry(item kvstore.Item) bool {
	r, err := l.format.DecodeRunner(item)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.log.Warn("runner's entry is invalid", "key", item.Key, "revision", item.Revision, "err", err)
		l.entryReplaced(l.format.RunnerID(item.Key))
		return false
	}
	l.endAbsence(r.ID)
	l.describe(r)
	old, known := l.runners[r.ID]
	l.runners[r.ID] = r
	old.DrainRemaining = r.DrainRemaining // decreases with each heartbeat
	if known && reflect.DeepEqual(old, r) {
		return true
	}
	l.log.Info("runner", "runner", r.ID, "failure-domain", r.FailureDomain, "rack", r.Rack, "draining", r.Draining,
		"drain-remaining", r.DrainRemaining, "born", r.Born, "revision", item.Revision)
	l.events.Listed(r)
	return true
}

// entryReplaced reports a runner as unlisted whose entry another writer has replaced. Its
// own entry is reported as new when it comes back. The deletion of the other writer's
// entry doesn't show that the runner has left. The caller holds mu.
func (l *runnerList) entryReplaced(id string) {
	l.endAbsence(id)
	delete(l.runners, id)
	delete(l.described, id)
	l.events.Unlisted(id)
}

// entryDeleted reports a runner whose entry was deleted: as left if nothing but the end of the
// incarnation that the entry describes explains the deletion, as one that may have left if that is
// so but for what happened before the first list, otherwise as unlisted after unlistGrace.
func (l *runnerList) entryDeleted(id string, now steady.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, listed := l.runners[id]
	if !listed {
		return // unlisted already, or its absence is timed
	}
	shown, reason := l.showsDeparture(entry, now)
	l.logDeletion(entry, shown, reason, now)
	if shown == noDeparture {
		l.unlistAfterGrace(id)
		return
	}
	delete(l.runners, id)
	delete(l.described, id)
	if shown == unconfirmedDeparture {
		l.events.MayHaveLeft(id, entry.Born)
		return
	}
	l.events.Left(id, entry.Born)
}

// departure is what the deletion of a runner's entry shows of the incarnation that it described.
type departure int

const (
	noDeparture          departure = iota
	unconfirmedDeparture           // it has left, unless the entry was removed for what happened before the first list
	certainDeparture
)

// showsDeparture returns what the deletion of a runner's entry shows of the incarnation that it
// describes, and why. A deletion names no incarnation: the entry of a silent runner is deleted too,
// also after its next incarnation has written its own. The caller holds mu.
func (l *runnerList) showsDeparture(entry batch.Runner, now steady.Time) (shown departure, reason string) {
	beat := l.described[entry.ID].lastHeartbeat
	switch {
	case !entry.Draining:
		return noDeparture, "no departure was announced"
	case beat.IsZero() || now.Sub(beat) > l.departureWindow:
		return noDeparture, "silent"
	case now.Before(beat.Add(entry.DrainRemaining)):
		return noDeparture, "before the announced time"
	case l.changesAfter.IsZero():
		return noDeparture, "may concern an earlier incarnation"
	}
	shown = l.outlivesEarlierRemovals(entry, l.changesAfter)
	if shown == noDeparture {
		return shown, "may concern an earlier incarnation"
	}
	// While the store is away, the time until it removes an entry may stand still.
	since, until := l.storeAway()
	if until.IsZero() || l.changesAfter.Sub(until) <= l.earlierRemovals {
		shown = min(shown, l.outlivesEarlierRemovals(entry, since))
	}
	switch shown {
	case noDeparture:
		return shown, "may concern an earlier incarnation, as the store was away"
	case unconfirmedDeparture:
		return shown, "announced, and to be confirmed by a hold, as its entries were not read for long enough"
	default:
		return shown, "announced"
	}
}

// outlivesEarlierRemovals returns what a deletion shows by how old the incarnation that an entry
// describes was at the given time, and how long its last silence was over: the entry can't be
// removed any more for that or for the silence of the one before. If only the runner's reports tell
// its age, there may have been a silence, or a late heartbeat of another incarnation, before the
// first list. The caller holds mu.
func (l *runnerList) outlivesEarlierRemovals(entry batch.Runner, at steady.Time) departure {
	switch {
	case at.Sub(l.lastSilence[entry.ID]) <= l.earlierRemovals:
		return noDeparture
	case at.Sub(l.described[entry.ID].knownBy) > l.earlierRemovals:
		return certainDeparture
	case l.events.Age(entry.ID, entry.Born, at) > l.earlierRemovals:
		return unconfirmedDeparture
	default:
		return noDeparture
	}
}

// logDeletion logs that a runner's entry was deleted, with the entry that was read last. The
// caller holds mu.
func (l *runnerList) logDeletion(entry batch.Runner, shown departure, reason string, now steady.Time) {
	what := map[departure]string{
		noDeparture: "runner's entry removed", unconfirmedDeparture: "runner may have left", certainDeparture: "runner left",
	}[shown]
	age := "unknown"
	if beat := l.described[entry.ID].lastHeartbeat; !beat.IsZero() {
		age = now.Sub(beat).Round(time.Millisecond).String()
	}
	l.log.Info(what, "runner", entry.ID, "reason", reason, "heartbeat-age", age, "draining", entry.Draining,
		"drain-remaining", entry.DrainRemaining, "born", entry.Born)
}

// unlistAfterGrace reports a listed runner as unlisted unless its entry comes back within
// unlistGrace. The caller holds mu.
func (l *runnerList) unlistAfterGrace(id string) {
	delete(l.runners, id)
	var timer *time.Timer
	timer = time.AfterFunc(unlistGrace, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.absences[id] != timer || l.ctx.Err() != nil {
			return
		}
		delete(l.absences, id)
		l.log.Info("runner gone", "runner", id)
		l.events.Unlisted(id)
	})
	l.absences[id] = timer
}

// endAbsence ends the timed absence of a runner, if there is one. The caller holds mu.
func (l *runnerList) endAbsence(id string) {
	if timer := l.absences[id]; timer != nil {
		timer.Stop()
		delete(l.absences, id)
	}
}
