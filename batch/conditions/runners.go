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
	// missingGrace is how long a runner whose entry is gone is still taken as
	// listed: after an outage of the store the entries of live runners come back
	// within two seconds.
	missingGrace = 2500 * time.Millisecond

	// runnerPause batches the runners' heartbeats. A runner that leaves must get
	// nothing new two seconds after it said so.
	runnerPause = 200 * time.Millisecond
)

// FollowRunners implements dispatch.Conditions.
func (c *Conditions) FollowRunners(ctx context.Context, to dispatch.RunnerEvents) {
	l := newRunnerList(ctx, c.format, c.heartbeat, c.log, to)
	f := kvstore.Follower{
		Store:  c.store,
		Prefix: c.format.RunnerPrefix,
		Wait:   watchWait,
		Pause:  func() time.Duration { return runnerPause },
		Reset:  l.reset,
		Apply:  l.apply,

		Asking:  func() { l.asking(steady.Now()) },
		Current: l.current,
		Behind:  l.behind,
	}
	c.reportLoss(&f)
	f.Run(ctx)
}

// runnerList passes on what changes in the runners' entries.
type runnerList struct {
	ctx    context.Context
	format Format
	log    *log.Logger
	to     dispatch.RunnerEvents

	leftWithin time.Duration

	asked     steady.Time            // when the look under way was sent
	since     steady.Time            // changes that are told now happened later; 0: not known
	truncated bool                   // the look under way leaves changes out
	beats     map[string]steady.Time // a time before the last heartbeat of each runner
	mu        sync.Mutex
	known     map[string]batch.Runner
}

func newRunnerList(ctx context.Context, format Format, heartbeat time.Duration, logger *log.Logger, to dispatch.RunnerEvents) *runnerList {
	return &runnerList{
		ctx: ctx, format: format, log: logger, to: to, leftWithin: time.Duration(leftWithin * float64(heartbeat)),
		beats: make(map[string]steady.Time), known: make(map[string]batch.Runner),
	}
}

// leftWithin is how soon after a heartbeat, in heartbeats, an entry must go for
// its runner to have left by itself: silence takes three of them, and an entry is
// removed for no other reason. The rest is for clocks that differ.
const leftWithin = 2.8

// asking notes that the store is about to be looked at.
func (l *runnerList) asking(now steady.Time) { l.asked = now }

// current notes that the look under way told all that had changed. What the
// next one tells happened after this one was sent.
func (l *runnerList) current() {
	l.since = l.asked
	if l.truncated {
		l.since, l.truncated = 0, false
	}
}

// behind notes that more changes wait: the next look tells them late.
func (l *runnerList) behind() { l.truncated = true }

func (l *runnerList) reset(items []kvstore.Item) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[l.format.RunnerID(item.Key)] = true
		l.put(item)
	}
	for _, id := range l.missing(present) {
		l.remove(id)
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
			l.gone(l.format.RunnerID(e.Key), steady.Now())
		default:
			if l.put(e.Item) {
				l.heard(l.format.RunnerID(e.Key))
			}
		}
	}
}

// heard notes a heartbeat. The list of all entries tells none: those may be as
// old as silence takes.
func (l *runnerList) heard(id string) {
	if !l.since.IsZero() {
		l.beats[id] = l.since
	}
}

// put passes an entry on when it says something new. One that can't be used
// names no runner, and put returns false.
func (l *runnerList) put(item kvstore.Item) bool {
	r, err := l.format.DecodeRunner(item)
	if err != nil {
		l.log.Warn("runner's entry can't be used", "key", item.Key, "revision", item.Revision, "err", err)
		l.to.Unlisted(l.format.RunnerID(item.Key))
		return false
	}
	l.mu.Lock()
	old, known := l.known[r.ID]
	l.known[r.ID] = r
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

// gone tells a runner that has left from one that is only silent.
func (l *runnerList) gone(id string, now steady.Time) {
	beat, seen := l.beats[id]
	if !seen || now.Sub(beat) > l.leftWithin {
		l.remove(id)
		return
	}
	l.mu.Lock()
	delete(l.known, id)
	l.mu.Unlock()
	delete(l.beats, id)
	l.log.Info("runner left", "runner", id, "heartbeat-age", now.Sub(beat).Round(time.Millisecond))
	l.to.Left(id)
}

// remove takes a runner off the list unless its entry comes back in time.
func (l *runnerList) remove(id string) {
	l.mu.Lock()
	delete(l.known, id)
	l.mu.Unlock()
	time.AfterFunc(missingGrace, func() {
		l.mu.Lock()
		_, back := l.known[id]
		l.mu.Unlock()
		if !back && l.ctx.Err() == nil {
			l.log.Info("runner gone", "runner", id)
			l.to.Unlisted(id)
		}
	})
}

func (l *runnerList) missing(present map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id := range l.known {
		if !present[id] {
			out = append(out, id)
		}
	}
	return out
}
