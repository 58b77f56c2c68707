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
	// unlistGrace is how long a runner whose entry is gone is still taken as
	// listed: after an outage of the store the entries of live runners come back
	// within two seconds.
	unlistGrace = 2500 * time.Millisecond

	// runnerWatchPause batches the runners' heartbeats. A runner that leaves must get
	// nothing new two seconds after it said so.
	runnerWatchPause = 200 * time.Millisecond
)

// FollowRunners implements dispatch.Conditions.
func (c *Conditions) FollowRunners(ctx context.Context, to dispatch.RunnerEvents) {
	l := newRunnerList(ctx, c.format, c.heartbeat, c.log, to)
	f := kvstore.Follower{
		Store:  c.store,
		Prefix: c.format.RunnerPrefix,
		Wait:   watchWait,
		Pause:  func() time.Duration { return runnerWatchPause },
		Reset:  l.reset,
		Apply:  l.apply,

		Asking:  func() { l.readStarted(steady.Now()) },
		Current: l.readDone,
		Behind:  l.readTruncated,
	}
	c.logStoreLoss(&f)
	f.Run(ctx)
}

// runnerList passes on what changes in the runners' entries.
type runnerList struct {
	ctx    context.Context
	format Format
	log    *log.Logger
	to     dispatch.RunnerEvents

	leftWithin time.Duration

	readSent      steady.Time            // when the look under way was sent
	changesAfter  steady.Time            // changes that are told now happened later; 0: not known
	truncated     bool                   // the look under way leaves changes out
	lastHeartbeat map[string]steady.Time // a time before the last heartbeat of each runner
	mu            sync.Mutex
	runners       map[string]batch.Runner
}

func newRunnerList(ctx context.Context, format Format, heartbeat time.Duration, logger *log.Logger, to dispatch.RunnerEvents) *runnerList {
	return &runnerList{
		ctx: ctx, format: format, log: logger, to: to, leftWithin: time.Duration(leftWithinHeartbeats * float64(heartbeat)),
		lastHeartbeat: make(map[string]steady.Time), runners: make(map[string]batch.Runner),
	}
}

// leftWithinHeartbeats is how soon after a heartbeat, in heartbeats, an entry must go for
// its runner to have left by itself: silence takes three of them, and an entry is
// removed for no other reason. The rest is for clocks that differ.
const leftWithinHeartbeats = 2.8

// readStarted notes that the store is about to be looked at.
func (l *runnerList) readStarted(now steady.Time) { l.readSent = now }

// readDone notes that the look under way told all that had changed. What the
// next one tells happened after this one was sent.
func (l *runnerList) readDone() {
	l.changesAfter = l.readSent
	if l.truncated {
		l.changesAfter, l.truncated = 0, false
	}
}

// readTruncated notes that more changes wait: the next look tells them late.
func (l *runnerList) readTruncated() { l.truncated = true }

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

// apply takes the last change of each entry: heartbeats change it often.
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

// noteHeartbeat notes a heartbeat. The list of all entries tells none: those may be as
// old as silence takes.
func (l *runnerList) noteHeartbeat(id string) {
	if !l.changesAfter.IsZero() {
		l.lastHeartbeat[id] = l.changesAfter
	}
}

// putEntry passes an entry on when it says something new. One that can't be used
// names no runner, and putEntry returns false.
func (l *runnerList) putEntry(item kvstore.Item) bool {
	r, err := l.format.DecodeRunner(item)
	if err != nil {
		l.log.Warn("runner's entry can't be used", "key", item.Key, "revision", item.Revision, "err", err)
		l.to.Unlisted(l.format.RunnerID(item.Key))
		return false
	}
	l.mu.Lock()
	old, known := l.runners[r.ID]
	l.runners[r.ID] = r
	l.mu.Unlock()
	old.DrainRemaining = r.DrainRemaining // it shrinks with each heartbeat
	if known && reflect.DeepEqual(old, r) {
		return true
	}
	l.log.Info("runner", "runner", r.ID, "failure-domain", r.FailureDomain, "rack", r.Rack, "draining", r.Draining,
		"drain-remaining", r.DrainRemaining, "born", r.Born, "revision", item.Revision)
	l.to.Listed(r)
	return true
}

// entryDeleted tells a runner that has left from one that is only silent.
func (l *runnerList) entryDeleted(id string, now steady.Time) {
	beat, seen := l.lastHeartbeat[id]
	if !seen || now.Sub(beat) > l.leftWithin {
		l.unlistAfterGrace(id)
		return
	}
	l.mu.Lock()
	delete(l.runners, id)
	l.mu.Unlock()
	delete(l.lastHeartbeat, id)
	l.log.Info("runner left", "runner", id, "heartbeat-age", now.Sub(beat).Round(time.Millisecond))
	l.to.Left(id)
}

// unlistAfterGrace takes a runner off the list unless its entry comes back in time.
func (l *runnerList) unlistAfterGrace(id string) {
	l.mu.Lock()
	delete(l.runners, id)
	l.mu.Unlock()
	time.AfterFunc(unlistGrace, func() {
		l.mu.Lock()
		_, back := l.runners[id]
		l.mu.Unlock()
		if !back && l.ctx.Err() == nil {
			l.log.Info("runner gone", "runner", id)
			l.to.Unlisted(id)
		}
	})
}

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
