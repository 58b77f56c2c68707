package conditions

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	playedHeartbeat = 1500 * time.Millisecond
	silenceLimit    = 3 * playedHeartbeat           // without heartbeats of an incarnation until the entry is removed
	maxRemovalDelay = playedHeartbeat               // of a removal that is due
	maxDeparture    = 2800 * playedHeartbeat / 1000 // departureWindowHeartbeats as a duration
	maxWriteDelay   = 8 * time.Second               // of a heartbeat whose incarnation has ended
	playedID        = "i-1"
	playedKey       = "runner/" + playedID
)

// playedLife is an incarnation of the runner.
type playedLife struct {
	born          int64
	began, ended  time.Duration
	announcedAt   time.Duration // when it announced its departure; 0: it did not
	announcedTime time.Duration // for which it stays at least
	left          bool          // its end was planned
	writes        []time.Duration
}

// entry returns what the incarnation writes at a time.
func (f *playedLife) entry(at time.Duration) kvstore.Item {
	draining := f.announcedAt > 0 && at >= f.announcedAt
	remaining := time.Duration(0)
	if draining {
		remaining = max(0, f.announcedAt+f.announcedTime-at)
	}
	text := fmt.Appendf(nil, `{"ID":%q,"Service":"s","Draining":%t,"DrainRemaining":%d,"Born":%d}`, playedID, draining, remaining, f.born)
	return kvstore.Item{Key: playedKey, Value: text}
}

// mayLeaveBefore returns whether the incarnation may have left at the given time, by what it has
// announced.
func (f *playedLife) mayLeaveBefore(at time.Duration) bool {
	return f.announcedAt > 0 && f.announcedAt+f.announcedTime <= at
}

// change is a change of the runner's entry.
type change struct {
	at     time.Duration
	writer *playedLife // nil: another writer, or a removal
	event  kvstore.Event
	// only returns whether the change happens, by the writer of the present entry; nil: it does.
	only func(present *playedLife) bool
}

// playedPlatform is the store's history of one runner's entry.
type playedPlatform struct {
	draw    *rapid.T
	lives   []*playedLife
	changes []change
	over    time.Duration
}

func (p *playedPlatform) between(low, high time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(low.Milliseconds(), high.Milliseconds()).Draw(p.draw, "ms")) * time.Millisecond
}

// chance returns true in so many of 100 cases.
func (p *playedPlatform) chance(percent int) bool {
	return rapid.IntRange(0, 99).Draw(p.draw, "percent") < percent
}

// addLife adds an incarnation that begins at a time, with its writes and the removals that follow.
func (p *playedPlatform) addLife(f *playedLife, disturbed bool) {
	f.born = int64(f.began/time.Millisecond) + 1
	p.lives = append(p.lives, f)
	silentFrom, silentTo := f.ended, f.ended
	if disturbed && p.chance(40) {
		silentFrom = p.between(f.began, f.ended)
		silentTo = silentFrom + p.between(0, 8*time.Second)
	}
	for at := f.began + p.between(0, 400*time.Millisecond); at < f.ended; at += p.between(playedHeartbeat-50*time.Millisecond, playedHeartbeat+50*time.Millisecond) {
		if at < silentFrom || at > silentTo {
			f.writes = append(f.writes, at)
		}
	}
	if f.announcedAt > 0 && f.announcedAt < f.ended {
		f.writes = append(f.writes, f.announcedAt)
	}
	slices.Sort(f.writes)
	if disturbed && len(f.writes) > 0 && p.chance(40) { // the last one is written late
		last := len(f.writes) - 1
		text := f.entry(f.writes[last])
		f.writes[last] = f.ended + p.between(0, maxWriteDelay)
		p.changes = append(p.changes, change{at: f.writes[last], writer: f, event: kvstore.Event{Item: text}})
	}
	for _, at := range f.writes {
		if at >= f.ended {
			continue
		}
		p.changes = append(p.changes, change{at: at, writer: f, event: kvstore.Event{Item: f.entry(at)}})
	}
	p.addRemovals(f, disturbed)
}

// addRemovals adds the removals by the clock of an incarnation, which may come although the next
// one has written its own entry, and the one by its departure.
func (p *playedPlatform) addRemovals(f *playedLife, disturbed bool) {
	for i, at := range f.writes {
		last := i == len(f.writes)-1
		if !last && f.writes[i+1]-at <= silenceLimit || last && f.left && !p.chance(30) {
			continue
		}
		p.remove(f, at+silenceLimit+p.between(0, maxRemovalDelay), disturbed)
	}
	if f.left {
		delay := p.between(0, 200*time.Millisecond)
		if disturbed && p.chance(20) {
			delay = p.between(0, maxRemovalDelay)
		}
		p.remove(f, f.ended+delay, disturbed)
	}
}

func (p *playedPlatform) remove(f *playedLife, at time.Duration, disturbed bool) {
	c := change{at: at, event: deleted(playedID)}
	if !disturbed || p.chance(30) {
		c.only = func(present *playedLife) bool { return present == f }
	}
	p.changes = append(p.changes, c)
}

// addOddities adds what other writers and unknown causes do to the entry during an incarnation.
func (p *playedPlatform) addOddities(f *playedLife) {
	if p.chance(15) { // an entry of another writer, which may be removed again
		at := p.between(f.began, f.ended)
		p.changes = append(p.changes, change{at: at, event: kvstore.Event{Item: kvstore.Item{Key: playedKey, Value: []byte("[[[")}}})
		if p.chance(50) {
			p.changes = append(p.changes, change{
				at: at + p.between(0, playedHeartbeat), event: deleted(playedID), only: func(present *playedLife) bool { return present == nil },
			})
		}
	}
	if p.chance(30) { // for no reason that is known, before the incarnation may leave
		at := p.between(f.began, f.ended)
		if !f.mayLeaveBefore(at + maxDeparture) {
			p.changes = append(p.changes, change{at: at, event: deleted(playedID), only: func(present *playedLife) bool { return present == f }})
		}
	}
}

// playLives plays the lives of a runner that crashes, leaves, is silent and starts again.
func (p *playedPlatform) playLives(n int) {
	at := time.Second
	for range n {
		f := &playedLife{began: at, ended: at + p.between(0, 20*time.Second)}
		if p.chance(85) {
			f.announcedAt = f.began + p.between(0, 10*time.Second)
			f.announcedTime = p.between(0, 7*time.Second)
			f.left = p.chance(60)
			f.ended = f.announcedAt + p.between(0, 12*time.Second) // it crashes, maybe before the announced time
			if f.left {
				f.ended = f.announcedAt + f.announcedTime + p.between(0, time.Second)
				if p.chance(50) {
					f.ended += p.between(0, 15*time.Second)
				}
			}
		}
		p.addLife(f, true)
		p.addOddities(f)
		at = f.ended + p.between(0, 2*time.Second)
		if p.chance(20) {
			at += p.between(0, 10*time.Second)
		}
	}
	p.over = at
}

// history returns the changes in the order of the store.
func (p *playedPlatform) history() []change {
	slices.SortStableFunc(p.changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	var out []change
	var present *playedLife
	exists := false
	for _, c := range p.changes {
		if c.event.Deleted && !exists || c.only != nil && !c.only(present) {
			continue
		}
		exists, present = !c.event.Deleted, c.writer
		out = append(out, c)
	}
	return out
}

// playedReads reads the runner's entry as a leader does, and records what it hears.
type playedReads struct {
	platform *playedPlatform
	history  []change
	list     *runnerList
	now      time.Duration
	after    int // the first change that was not read yet
	departed []int64
	answered int  // holds that refute a departure
	reports  bool // the incarnations' ages are known by their reports
	fail     func(format string, args ...any)
}

func playedTime(at time.Duration) steady.Time { return steady.Time(1000*time.Second + at) }

func (r *playedReads) Listed(batch.Runner) {}
func (r *playedReads) Unlisted(string)     {}

// Age returns the age of an incarnation that still runs.
func (r *playedReads) Age(_ string, born int64, at steady.Time) time.Duration {
	for _, f := range r.platform.lives {
		if r.reports && f.born == born && f.ended > r.now {
			return max(0, at.Sub(playedTime(f.began)))
		}
	}
	return 0
}

// Left checks that the incarnation that is reported has ended.
func (r *playedReads) Left(id string, born int64) {
	r.departed = append(r.departed, born)
	for _, f := range r.platform.lives {
		if id == playedID && f.born == born {
			if f.ended > r.now {
				r.fail("incarnation %d is reported as left at %s, and ends at %s", born, r.now, f.ended)
			}
			return
		}
	}
	r.fail("%s, incarnation %d, is reported as left, and isn't known", id, born)
}

// MayHaveLeft checks the same if the incarnation leaves the hold unanswered that it is sent.
func (r *playedReads) MayHaveLeft(id string, born int64) {
	for _, f := range r.platform.lives {
		if f.born == born && f.ended > r.now {
			r.answered++
			return
		}
	}
	r.Left(id, born)
}

// read plays the reads from a time on. Steady ones are neither slow nor fail.
func (r *playedReads) read(from time.Duration, steadily bool) {
	p, l := r.platform, r.list
	l.now = func() steady.Time { return playedTime(r.now) }
	disturbed := 0 // of 100 reads
	maxDelay := 200 * time.Millisecond
	if !steadily {
		disturbed, maxDelay = rapid.IntRange(0, 40).Draw(p.draw, "disturbed"), p.between(0, 1500*time.Millisecond)
	}
	listed := false
	for r.now = from; r.now < p.over+2*silenceLimit; {
		l.readStarted(playedTime(r.now))
		served := r.now + p.between(0, 300*time.Millisecond)
		r.now = served + p.between(0, maxDelay)
		kind := -1
		if listed && p.chance(disturbed) {
			kind = rapid.IntRange(0, 2).Draw(p.draw, "kind of read")
		}
		switch {
		case kind == 0: // it fails, and so do others
			r.now += p.between(0, 6*time.Second)
			continue
		case !listed || kind == 1:
			r.listAnew(served)
			listed = true
		default:
			r.watch(served, kind == 2)
		}
		l.readDone()
		r.now += runnerWatchPause
	}
}

func (r *playedReads) listAnew(served time.Duration) {
	var present []kvstore.Item
	for r.after = 0; r.after < len(r.history) && r.history[r.after].at <= served; r.after++ {
		present = nil
		if e := r.history[r.after].event; !e.Deleted {
			present = []kvstore.Item{e.Item}
		}
	}
	r.platform.draw.Logf("at %s, served %s: listed anew", r.now, served)
	r.list.reset(present)
}

// watch reads the changes up to a time; with truncated, it leaves some out.
func (r *playedReads) watch(served time.Duration, truncated bool) {
	var events []kvstore.Event
	for ; r.after < len(r.history) && r.history[r.after].at <= served; r.after++ {
		if truncated && r.platform.chance(30) {
			break
		}
		events = append(events, r.history[r.after].event)
	}
	if truncated {
		r.list.readTruncated()
	}
	r.platform.draw.Logf("at %s, served %s: %d changes, truncated %t", r.now, served, len(events), truncated)
	if len(events) > 0 {
		r.list.apply(events)
	}
}

func newPlayedReads(t *testing.T, p *playedPlatform, fail func(format string, args ...any)) *playedReads {
	r := &playedReads{platform: p, history: p.history(), fail: fail}
	for _, c := range r.history {
		p.draw.Logf("%s  %s deleted %t", c.at, c.event.Value, c.event.Deleted)
	}
	r.list = newRunnerList(t.Context(), jsonFormat, playedHeartbeat, discardLogger(), r)
	return r
}

// Guards against runs that are given up although their runner lives: whatever removes its entry,
// however the changes are read, an incarnation is reported as left only when it has ended.
func TestOnlyIncarnationsThatHaveEndedAreReportedAsLeft(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", "1"))
	must.NoError(t, flag.Set("rapid.checks", "40000"))
	departures := 0
	rapid.Check(t, func(rt *rapid.T) {
		p := &playedPlatform{draw: rt}
		p.playLives(rapid.IntRange(2, 4).Draw(rt, "lives"))
		from := time.Duration(0)
		reports := rapid.Bool().Draw(rt, "reports")
		if rapid.Bool().Draw(rt, "later") {
			from = p.between(0, p.over)
		}
		r := newPlayedReads(t, p, rt.Fatalf)
		r.reports = reports
		r.read(from, false)
		departures += len(r.departed)
	})
	must.Positive(t, departures)
}

// Guards against the same under a leader that begins during the last incarnation, whose age it
// learns from reports: it can't have read a silence, or a late heartbeat of another, before.
func TestLeaderThatHasJustBegunReportsOnlyIncarnationsThatHaveEndedAsLeft(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", "1"))
	must.NoError(t, flag.Set("rapid.checks", "50000"))
	departures, answered := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		p := &playedPlatform{draw: rt}
		p.playLives(rapid.IntRange(1, 2).Draw(rt, "lives"))
		last := p.lives[len(p.lives)-1]
		r := newPlayedReads(t, p, rt.Fatalf)
		r.reports = true
		r.read(p.between(last.began, last.ended), false)
		departures += len(r.departed)
		answered += r.answered
	})
	must.Positive(t, departures)
	must.Positive(t, answered)
}

// Guards against tasks that stay away for a lease after each planned shutdown: the departure of
// an incarnation that announced it, that was known for long and whose entry was watched without
// gaps is reported, whatever happened to the incarnations before.
func TestAnnouncedDepartureIsReported(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", "1"))
	must.NoError(t, flag.Set("rapid.checks", "3000"))
	rapid.Check(t, func(rt *rapid.T) {
		p := &playedPlatform{draw: rt}
		p.playLives(rapid.IntRange(0, 3).Draw(rt, "lives before"))
		f := &playedLife{began: p.over, left: true}
		f.announcedAt = f.began + maxWriteDelay + 2*silenceLimit + p.between(0, 10*time.Second)
		f.announcedTime = p.between(500*time.Millisecond, 7*time.Second)
		f.ended = f.announcedAt + f.announcedTime + p.between(0, 15*time.Second)
		p.addLife(f, false)
		p.over = f.ended
		r := newPlayedReads(t, p, rt.Fatalf)
		r.read(p.between(0, f.began), true)
		if !slices.Contains(r.departed, f.born) {
			rt.Fatalf("the departure at %s is not reported", f.ended)
		}
	})
}
