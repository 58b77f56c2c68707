package conditions

import (
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

	departureWindow time.Duration // departureWindowHeartbeats as a duration

	readSent      steady.Time            // when the read of the store in progress was sent
	changesAfter  steady.Time            // the changes in this read happened after this time; 0: unknown
	truncated     bool                   // the read in progress leaves changes out
	lastHeartbeat map[string]steady.Time // by runner ID: a lower bound on the time of its last heartbeat

	mu       sync.Mutex              // guards the maps below, and orders the events
	runners  map[string]batch.Runner // listed runners by ID
	absences map[string]*time.Timer  // by runner ID, while the entry is gone and the runner still counts as listed
}

func newRunnerList(ctx context.Context, format Format, heartbeat time.Duration, logger *log.Logger, events dispatch.RunnerEventHandler) *runnerList {
	return &runnerList{
		ctx: ctx, format: format, log: logger, events: events, departureWindow: time.Duration(departureWindowHeartbeats * float64(heartbeat)),
		lastHeartbeat: make(map[string]steady.Time), runners: make(map[string]batch.Runner),
		absences: make(map[string]*time.Timer),
	}
}

// departureWindowHeartbeats is how soon after a heartbeat, in heartbeat intervals, an
// entry must be deleted for its runner to count as having left on its own. The entry
// of a silent runner is deleted after three intervals, and entries are deleted for no
// other reason. The margin between 2.8 and 3 allows for clock differences.
const departureWindowHeartbeats = 2.8

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

// reset replaces the list by the entries of the whole prefix.
func (l *runnerList) reset(items []kvstore.Item) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[l.format.RunnerID(item.Key)] = true
		l.putEntry(item)
	}
	for _, id := range l.missingFrom(present) {
		l.unlistAfterGrace(id)
	}
}

// apply applies only the last change of each entry, since heartbeats change entries
// often.
func (l *runnerList) apply(events []kvstore.Event) {
	last := make(map[string]int, len(events))
	for i, e := range events {
		last[e.Key] = i
	}
	for i, e := range events {
		switch {
		case last[e.Key] != i:
		case e.Deleted:
			l.entryDeleted(l.format.RunnerID(e.Key), steady.Now())
		default:
			if l.putEntry(e.Item) {
				l.noteHeartbeat(l.format.RunnerID(e.Key))
			}
		}
	}
}

// noteHeartbeat notes a heartbeat that was read by a watch. Entries from a list of the
// whole prefix don't count: they may have been written as long ago as it takes to
// detect that a runner is silent.
func (l *runnerList) noteHeartbeat(id string) {
	if !l.changesAfter.IsZero() {
		l.lastHeartbeat[id] = l.changesAfter
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
	delete(l.lastHeartbeat, id)
	l.events.Unlisted(id)
}

// entryDeleted reports a runner whose entry was deleted: as left if the deletion came
// soon after a heartbeat, otherwise as unlisted after unlistGrace.
func (l *runnerList) entryDeleted(id string, now steady.Time) {
	beat, seen := l.lastHeartbeat[id]
	left := seen && now.Sub(beat) <= l.departureWindow
	l.logDeletion(id, left, now)
	if !left {
		l.unlistAfterGrace(id)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endAbsence(id)
	delete(l.runners, id)
	delete(l.lastHeartbeat, id)
	l.events.Left(id)
}

// logDeletion logs that a runner's entry was deleted, with the entry that was read last.
func (l *runnerList) logDeletion(id string, left bool, now steady.Time) {
	what := "runner's entry removed"
	if left {
		what = "runner left"
	}
	l.mu.Lock()
	last, listed := l.runners[id]
	l.mu.Unlock()
	age := "unknown"
	if beat, seen := l.lastHeartbeat[id]; seen {
		age = now.Sub(beat).Round(time.Millisecond).String()
	}
	l.log.Info(what, "runner", id, "heartbeat-age", age, "listed", listed, "draining", last.Draining, "born", last.Born)
}

// unlistAfterGrace reports a runner as unlisted unless its entry comes back within
// unlistGrace.
func (l *runnerList) unlistAfterGrace(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, listed := l.runners[id]; !listed {
		return // unlisted already, or its absence is timed
	}
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

// missingFrom returns the listed runners that are not in present.
func (l *runnerList) missingFrom(present map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id := range l.runners {
		if !present[id] {
			out = append(out, id)
		}
	}
	return out
}
