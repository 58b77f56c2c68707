package conditions

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

func discardLogger() *log.Logger { return log.New(io.Discard) }

// jsonFormat encodes a configuration as its version and a runner as JSON.
var jsonFormat = Format{
	OperatorPrefix: "operator/",
	RunnerPrefix:   "runner/",
	DecodeDocument: func(item kvstore.Item) (Document, error) {
		d := Document{Configuration: &batch.Configuration{Revision: item.Revision}}
		return d, json.Unmarshal(item.Value, &d.Configuration.Version)
	},
	EvacuatedDomain: func(key string) string {
		domain, found := strings.CutPrefix(key, "operator/evacuated/")
		if !found {
			return ""
		}
		return domain
	},
	DecodeRunner: func(item kvstore.Item) (batch.Runner, error) {
		var r batch.Runner
		err := json.Unmarshal(item.Value, &r)
		return r, err
	},
	RunnerID: func(key string) string { return strings.TrimPrefix(key, "runner/") },
}

// runnerItem returns a runner's entry; beat differs between heartbeats.
func runnerItem(id string, draining bool, beat int) kvstore.Item {
	return kvstore.Item{Key: "runner/" + id, Value: fmt.Appendf(nil, `{"ID":%q,"Service":"s","Draining":%t,"Beat":%d}`, id, draining, beat)}
}

// eventCounter counts the events of each kind.
type eventCounter struct {
	mu                     sync.Mutex
	listed, unlisted, left int
	mayHaveLeft            int
	reportedAge            time.Duration // of incarnation 1, at reportedAt
	reportedAt             steady.Time   // 0: at any time
}

func (r *eventCounter) Listed(batch.Runner) { r.mu.Lock(); r.listed++; r.mu.Unlock() }
func (r *eventCounter) Unlisted(string)     { r.mu.Lock(); r.unlisted++; r.mu.Unlock() }
func (r *eventCounter) Left(string, int64)  { r.mu.Lock(); r.left++; r.mu.Unlock() }

func (r *eventCounter) MayHaveLeft(string, int64) { r.mu.Lock(); r.mayHaveLeft++; r.mu.Unlock() }

func (r *eventCounter) Age(_ string, born int64, at steady.Time) time.Duration {
	switch {
	case born != 1:
		return 0
	case r.reportedAt.IsZero():
		return r.reportedAge
	}
	return max(0, r.reportedAge+at.Sub(r.reportedAt))
}

// counts returns the numbers of listed, unlisted and left events.
func (r *eventCounter) counts() [3]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return [3]int{r.listed, r.unlisted, r.left}
}

func deleted(id string) kvstore.Event {
	return kvstore.Event{Item: kvstore.Item{Key: "runner/" + id}, Deleted: true}
}

// Heartbeats that change nothing else are not reported. A runner whose entry comes
// back within unlistGrace is not reported as unlisted. A runner whose entry can't
// be decoded is.
func TestRunnerListForwardsOnlyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := &eventCounter{}
		l := newRunnerList(context.Background(), jsonFormat, 1500*time.Millisecond, discardLogger(), events)
		l.reset([]kvstore.Item{runnerItem("i-1", false, 1), runnerItem("i-2", false, 1)})
		must.Eq(t, [3]int{2, 0, 0}, events.counts())
		l.apply([]kvstore.Event{{Item: runnerItem("i-1", false, 2)}, {Item: runnerItem("i-1", false, 3)}})
		must.Eq(t, [3]int{2, 0, 0}, events.counts())
		l.apply([]kvstore.Event{{Item: runnerItem("i-1", false, 4)}, {Item: runnerItem("i-1", true, 5)}})
		must.Eq(t, [3]int{3, 0, 0}, events.counts())
		l.apply([]kvstore.Event{deleted("i-1")})
		l.reset(nil) // i-2 is missing, too
		l.apply([]kvstore.Event{{Item: runnerItem("i-2", false, 6)}})
		time.Sleep(unlistGrace - time.Nanosecond)
		synctest.Wait()
		must.Eq(t, [3]int{4, 0, 0}, events.counts())
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		must.Eq(t, [3]int{4, 1, 0}, events.counts())
		l.apply([]kvstore.Event{{Item: kvstore.Item{Key: "runner/i-2", Value: []byte("\x00")}}})
		must.Eq(t, [3]int{4, 2, 0}, events.counts())
	})
}

// Guards against a runner that stays unused after another writer's entry stood at its key:
// its own entry is listed again, although it is the same as before.
func TestRunnerIsListedAgainAfterAnotherWritersEntry(t *testing.T) {
	odd := kvstore.Item{Key: "runner/i-1", Value: []byte("[[[")}
	for name, replace := range map[string]func(*runnerList){
		"watched": func(l *runnerList) { l.apply([]kvstore.Event{{Item: odd}}) },
		"listed":  func(l *runnerList) { l.reset([]kvstore.Item{odd}) },
		"after an absence": func(l *runnerList) {
			l.apply([]kvstore.Event{deleted("i-1")})
			l.apply([]kvstore.Event{{Item: odd}})
		},
		"and its deletion": func(l *runnerList) {
			l.apply([]kvstore.Event{{Item: odd}})
			l.apply([]kvstore.Event{deleted("i-1")})
		},
	} {
		t.Run(name, func(t *testing.T) {
			events := &eventCounter{}
			l := newRunnerList(t.Context(), jsonFormat, time.Minute, discardLogger(), events)
			own := runnerItem("i-1", false, 1)
			l.reset([]kvstore.Item{own})
			l.readStarted(steady.Now())
			l.readDone()
			l.apply([]kvstore.Event{{Item: own}}) // a heartbeat, so that a deletion would be a departure
			if name == "after an absence" {
				clear(l.described)
			}
			replace(l)
			must.Eq(t, [3]int{1, 1, 0}, events.counts())
			l.apply([]kvstore.Event{{Item: own}})
			must.Eq(t, [3]int{2, 1, 0}, events.counts())
		})
	}
}

// An absence is timed from the last deletion of a runner's entry.
func TestRunnerIsUnlistedAfterItsLastAbsenceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := &eventCounter{}
		l := newRunnerList(t.Context(), jsonFormat, time.Minute, discardLogger(), events)
		own := runnerItem("i-1", false, 1)
		l.reset([]kvstore.Item{own})
		l.reset(nil)
		time.Sleep(unlistGrace * 3 / 5)
		l.reset([]kvstore.Item{own})
		l.reset(nil)
		time.Sleep(unlistGrace - time.Nanosecond)
		synctest.Wait()
		must.Eq(t, [3]int{2, 0, 0}, events.counts())
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		must.Eq(t, [3]int{2, 1, 0}, events.counts())
	})
}

// knownFor is how long an incarnation has been known whose entry may be removed for its own
// silence only.
const knownFor = time.Minute

// storeRead is one read of the store: when it was sent and what it returned.
type storeRead struct {
	sent      time.Duration
	listed    bool // the prefix is listed, not watched
	truncated bool // the store had more changes than it returned
	heartbeat bool // a heartbeat of the runner is among the changes
}

// A runner whose entry is deleted soon after a heartbeat has left. A runner that is
// only silent may be alive and may have done its work, so it must not be taken for
// one that left when its silence is hidden by gaps in watching, slow answers,
// changes that are read late, or a new list of the entries.
func TestDepartedRunnerIsDistinguishedFromSilentRunner(t *testing.T) {
	const heartbeat = 1500 * time.Millisecond
	watched := func(sent time.Duration) storeRead { return storeRead{sent: sent, heartbeat: true} }
	for name, test := range map[string]struct {
		heartbeat    time.Duration
		reads        []storeRead
		deletionSeen time.Duration // when the deletion of the entry is read
		want         [3]int        // events of kind listed, unlisted and left
	}{
		"left":                {heartbeat, []storeRead{{sent: 0}, watched(time.Second)}, 3 * time.Second, [3]int{1, 0, 1}},
		"left, often watched": {heartbeat, []storeRead{{sent: 0}, watched(time.Second), watched(2 * time.Second), {sent: 3 * time.Second}}, 4500 * time.Millisecond, [3]int{1, 0, 1}},
		"silent":              {heartbeat, []storeRead{{sent: 0}, watched(time.Second), {sent: 2 * time.Second}}, 5500 * time.Millisecond, [3]int{1, 0, 0}},
		"gap in watching":     {heartbeat, []storeRead{{sent: 0}, watched(time.Second)}, 5500 * time.Millisecond, [3]int{1, 0, 0}},
		"short heartbeats":    {heartbeat / 3, []storeRead{{sent: 0}, watched(time.Second)}, 1600 * time.Millisecond, [3]int{1, 0, 0}},
		"slow answers":        {heartbeat, []storeRead{{sent: 0}, watched(2400 * time.Millisecond)}, 4600 * time.Millisecond, [3]int{1, 0, 0}},
		"new list":            {heartbeat, []storeRead{{sent: 0}, {sent: 3 * time.Second, listed: true, heartbeat: true}}, 3500 * time.Millisecond, [3]int{1, 0, 0}},
		"changes read late":   {heartbeat, []storeRead{{sent: 0}, {sent: 3 * time.Second, truncated: true}, watched(3100 * time.Millisecond)}, 3400 * time.Millisecond, [3]int{1, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			events := &eventCounter{}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l := newRunnerList(ctx, jsonFormat, test.heartbeat, discardLogger(), events)
			began := steady.Now().Add(knownFor) // so that the incarnation is known for long
			l.reset([]kvstore.Item{runnerItem("i-1", true, 1)})
			for i, read := range test.reads {
				l.readStarted(began.Add(read.sent))
				item := runnerItem("i-1", true, i+2)
				switch {
				case read.listed:
					l.reset([]kvstore.Item{item})
				case read.heartbeat:
					l.apply([]kvstore.Event{{Item: item}})
				}
				if read.truncated {
					l.readTruncated()
				}
				l.readDone()
			}
			l.entryDeleted("i-1", began.Add(test.deletionSeen))
			must.Eq(t, test.want, events.counts())
		})
	}
}

// runnerItemOf returns the entry of an incarnation of i-1, as it is written.
func runnerItemOf(born int64, draining bool, remaining time.Duration) kvstore.Event {
	text := fmt.Appendf(nil, `{"ID":"i-1","Service":"s","Draining":%t,"DrainRemaining":%d,"Born":%d}`, draining, remaining, born)
	return kvstore.Event{Item: kvstore.Item{Key: "runner/i-1", Value: text}}
}

// Guards against tasks that run twice: an entry is deleted soon after a heartbeat, as the runner's
// earlier incarnation is silent, and the present one is taken for one that has left.
func TestDeletionThatMayConcernAnEarlierIncarnationIsNoDeparture(t *testing.T) {
	const heartbeat = 1500 * time.Millisecond
	item := runnerItemOf
	for name, test := range map[string]struct {
		knownFor time.Duration   // how long the first incarnation has been known
		age      time.Duration   // of the first incarnation, by its reports
		read     []kvstore.Event // one second before the deletion
		last     []kvstore.Event // in the same read as the deletion, and before it
		left     int
		listed   bool // the entries are listed anew before that
		mayHave  int  // departures that a hold is to confirm
	}{
		"announced":                       {knownFor, 0, []kvstore.Event{item(1, true, 0)}, nil, 1, false, 0},
		"announced in the same read":      {knownFor, 0, nil, []kvstore.Event{item(1, true, 0)}, 1, false, 0},
		"not announced":                   {knownFor, 0, []kvstore.Event{item(1, false, 0)}, nil, 0, false, 0},
		"before the announced time":       {knownFor, 0, []kvstore.Event{item(1, true, 5*time.Second)}, nil, 0, false, 0},
		"restarted":                       {knownFor, 0, []kvstore.Event{item(2, false, 0)}, nil, 0, false, 0},
		"restarted, and announced":        {knownFor, 0, []kvstore.Event{item(2, true, 0)}, nil, 0, false, 0},
		"restarted in the same read":      {knownFor, 0, []kvstore.Event{item(1, true, 0)}, []kvstore.Event{item(2, false, 0)}, 0, false, 0},
		"known since shortly":             {2 * time.Second, 0, []kvstore.Event{item(1, true, 0)}, nil, 0, false, 0},
		"another incarnation in between":  {knownFor, 0, []kvstore.Event{item(2, true, 0), item(1, true, 0)}, nil, 0, false, 0},
		"removed and back, and announced": {knownFor, 0, []kvstore.Event{deleted("i-1"), item(1, true, 0)}, nil, 1, false, 0},
		"known since shortly, and old":    {2 * time.Second, time.Minute, []kvstore.Event{item(1, true, 0)}, nil, 0, false, 1},
		"known since shortly, and young":  {2 * time.Second, 3 * time.Second, []kvstore.Event{item(1, true, 0)}, nil, 0, false, 0},
		"an old one restarted":            {knownFor, time.Minute, []kvstore.Event{item(2, true, 0)}, nil, 0, false, 0},
		"an old one, another in between":  {knownFor, time.Minute, []kvstore.Event{item(2, true, 0), item(1, true, 0)}, nil, 0, false, 0},
		"listed anew":                     {knownFor, 0, []kvstore.Event{item(1, true, 0)}, nil, 0, true, 0},
		"an old one, listed anew":         {knownFor, time.Minute, []kvstore.Event{item(1, true, 0)}, nil, 0, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			events := &eventCounter{reportedAge: test.age}
			l := newRunnerList(t.Context(), jsonFormat, heartbeat, discardLogger(), events)
			l.reset([]kvstore.Item{item(1, false, 0).Item})
			known := steady.Now()
			began := known.Add(test.knownFor)
			for at := known; at.Before(began); at = at.Add(heartbeat) {
				l.now = func() steady.Time { return at }
				l.readStarted(at)
				l.readDone()
				l.apply([]kvstore.Event{item(1, false, 0)})
			}
			for i, read := range [][]kvstore.Event{nil, test.read, test.last} {
				sent := began.Add(time.Duration(i) * time.Second)
				l.now = func() steady.Time { return sent }
				l.readStarted(sent)
				if test.listed && i == 0 {
					l.reset([]kvstore.Item{item(1, false, 0).Item})
				}
				l.apply(read)
				if i < 2 {
					l.readDone()
				}
			}
			l.entryDeleted("i-1", began.Add(2*time.Second))
			must.Eq(t, test.left, events.counts()[2])
			must.Eq(t, test.mayHave, events.mayHaveLeft)
		})
	}
}

// Guards against the same after the store was away: the time until it removes the entry of an
// earlier incarnation stood still meanwhile.
func TestDeletionSoonAfterTheStoreWasAwayMayConcernAnEarlierIncarnation(t *testing.T) {
	const heartbeat = 1500 * time.Millisecond
	began := steady.Now().Add(knownFor)
	for name, test := range map[string]struct {
		since, until time.Duration // before the deletion; until 0: it still is away
		age          time.Duration // of the incarnation at the deletion
		left         int
	}{
		"long ago":                            {20 * time.Second, 7 * time.Second, 10 * time.Second, 1},
		"a moment ago":                        {20 * time.Second, 5 * time.Second, 10 * time.Second, 0},
		"a moment ago, and old before":        {20 * time.Second, 5 * time.Second, 30 * time.Second, 1},
		"a moment ago, and a little older":    {20 * time.Second, 5 * time.Second, 23 * time.Second, 0},
		"still":                               {20 * time.Second, 0, 10 * time.Second, 0},
		"since before anything was known":     {24 * time.Hour, 5 * time.Second, 10 * time.Second, 0},
		"a long time ago, known since before": {24 * time.Hour, 23 * time.Hour, 10 * time.Second, 1},
	} {
		play := func(t *testing.T, known bool) *eventCounter {
			events := &eventCounter{reportedAge: test.age, reportedAt: began}
			l := newRunnerList(t.Context(), jsonFormat, heartbeat, discardLogger(), events)
			l.now = func() steady.Time { return began }
			l.storeAway = func() (since, until steady.Time) {
				if test.until > 0 {
					until = began.Add(-test.until)
				}
				return began.Add(-test.since), until
			}
			l.readStarted(began)
			l.reset([]kvstore.Item{runnerItemOf(1, true, 0).Item})
			l.readDone()
			l.apply([]kvstore.Event{runnerItemOf(1, true, 0)})
			if known {
				i := l.described["i-1"]
				i.knownBy = began.Add(-test.age)
				l.described["i-1"] = i
			}
			l.entryDeleted("i-1", began)
			return events
		}
		t.Run(name+", known by entries", func(t *testing.T) {
			events := play(t, true)
			must.Eq(t, test.left, events.left)
			must.Eq(t, 0, events.mayHaveLeft)
		})
		t.Run(name+", known by reports", func(t *testing.T) {
			events := play(t, false)
			must.Eq(t, 0, events.left)
			must.Eq(t, test.left, events.mayHaveLeft)
		})
	}
}

// Outages that follow one another soon count as one.
func TestOutagesOfTheStoreAreNotedByReads(t *testing.T) {
	now := steady.Time(time.Hour)
	f := &kvstore.Follower{Lost: func(error) {}, Regained: func() {}}
	o := &outages{gap: 6 * time.Second}
	o.observe(f, func() steady.Time { return now })
	read := func(lost, regained bool) {
		f.ReadStarted()
		now = now.Add(time.Second)
		switch {
		case lost:
			f.Lost(nil)
			return
		case regained:
			f.Regained()
		}
		f.ReadDone()
	}
	check := func(since, until time.Duration) {
		gotSince, gotUntil := o.last()
		must.Eq(t, [2]steady.Time{steady.Time(since), steady.Time(until)}, [2]steady.Time{gotSince, gotUntil})
	}
	check(0, 0)
	read(false, true)
	check(0, time.Hour+time.Second)
	for range 10 {
		read(false, false)
	}
	read(true, false)
	check(time.Hour+10*time.Second, 0)
	read(false, true)
	check(time.Hour+10*time.Second, time.Hour+13*time.Second)
	read(true, false) // soon after
	check(time.Hour+10*time.Second, 0)
	read(false, true)
	check(time.Hour+10*time.Second, time.Hour+15*time.Second)
}

// The configuration in force stays when an older one or one that can't be decoded
// is read.
func TestConfigurationIsNotReplacedByOlderOrUnreadableOne(t *testing.T) {
	c := New(nil, jsonFormat, time.Second, discardLogger())
	apply := func(revision uint64, text string) {
		c.applyDocuments([]kvstore.Event{{Item: kvstore.Item{Key: "operator/configuration", Value: []byte(text), Revision: revision}}})
	}
	apply(5, "9")
	apply(4, "7")
	apply(6, "{")
	must.Eq(t, int64(9), c.Configuration().Version)
	apply(7, "12")
	must.Eq(t, int64(12), c.Configuration().Version)
	c.applyDocuments([]kvstore.Event{{Item: kvstore.Item{Key: "operator/evacuated/z1", Revision: 8}}})
	must.True(t, c.Evacuated()["z1"])
	c.applyDocuments([]kvstore.Event{{Item: kvstore.Item{Key: "operator/evacuated/z1", Revision: 9}, Deleted: true}})
	must.False(t, c.Evacuated()["z1"])
}

// A list of all documents, read again after an outage or a compaction, doesn't bring
// an evacuated failure domain back into use, not even while it is applied.
func TestEvacuationHoldsWhileTheDocumentsAreListedAgain(t *testing.T) {
	var c *Conditions
	format := jsonFormat
	seen := 0
	format.DecodeDocument = func(item kvstore.Item) (Document, error) {
		must.True(t, c.Evacuated()["fd-b"])
		seen++
		return jsonFormat.DecodeDocument(item)
	}
	c = New(nil, format, time.Second, discardLogger())
	evacuation := kvstore.Item{Key: "operator/evacuated/fd-b", Revision: 2}
	c.applyDocument(kvstore.Event{Item: evacuation})
	c.resetDocuments([]kvstore.Item{{Key: "operator/config", Value: []byte("1"), Revision: 3}, evacuation})
	must.Eq(t, 1, seen)
	c.resetDocuments(nil)
	must.MapEmpty(t, c.Evacuated())
}
