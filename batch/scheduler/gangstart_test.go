package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// The tries of a start order, as a leader makes them.
const (
	startTries      = 3
	tryTimeout      = 450 * time.Millisecond
	tryInterval     = 600 * time.Millisecond
	testGangTimeout = 3 * time.Second
	testStopTime    = 400 * time.Millisecond
)

// cutGang is a gang of two, the link to one of whose runners is cut.
type cutGang struct {
	*driver
	cutRunner string
	cutUntil  steady.Time   // for starts
	holdsCut  steady.Time   // until when holds have no answer; 0: as long as starts
	refuses   bool          // connections over the cut link are reset or refused
	holdRetry time.Duration // the pause before the next hold, if connections are refused
	wasReset  bool
	began     map[string]steady.Time // by runner
	stopped   steady.Time            // when the member that waits was stopped; 0: it wasn't
	later     []event
}

// newCutGang submits the gang, and cuts the link, the given time after the last hold.
func newCutGang(afterHold, cut time.Duration, refuses bool) *cutGang {
	g := &cutGang{driver: newDriver(), refuses: refuses, began: make(map[string]steady.Time)}
	for _, id := range []string{"r", "q"} {
		g.addRunner(id, 1000)
	}
	g.play(afterHold)
	g.core.AddJob(&batch.Job{ID: "j", Service: "s", MaxAttempts: 3, Stretch: 1, Steps: []batch.Step{{Tasks: 2, Gang: true, Request: batch.Resources{MilliCPU: 1000}}}}, nil, g.now)
	g.cutRunner, g.cutUntil = "q", g.now.Add(cut)
	g.queue()
	return g
}

func (g *cutGang) open(id string) bool { return id != g.cutRunner || !g.now.Before(g.cutUntil) }

func (g *cutGang) queue() {
	for _, o := range g.step() {
		if o.Kind == scheduler.StopRun {
			if g.began[o.Runner.ID] != 0 && g.stopped == 0 {
				g.stopped = g.now
			}
			continue
		}
		g.try(o, 0)
	}
}

// try sends a try of a start, and the next one if it has no answer.
func (g *cutGang) try(o scheduler.Order, n int) {
	if n == startTries || !g.core.AwaitsStart(o) || n > 0 && !g.core.TakesStarts(o) {
		g.core.HandleAnswer(o, scheduler.OutcomeUnknown, g.now)
		return
	}
	g.send(o)
	if g.open(o.Runner.ID) {
		if g.began[o.Runner.ID] == 0 {
			g.began[o.Runner.ID] = g.now
		}
		g.core.NoteStartAnswered(o)
		g.core.HandleAnswer(o, scheduler.Accepted, g.now)
		return
	}
	if g.refuses {
		g.tryRefused(o)
		return
	}
	g.at(tryTimeout, func() { g.core.NoteStartUnanswered(o); g.core.RepeatStart(o) })
	g.at(tryInterval, func() { g.hold(o.Runner.ID); g.try(o, n+1) })
}

// tryRefused has the first try of all end with its connection, and others not sent.
func (g *cutGang) tryRefused(o scheduler.Order) {
	first := !g.wasReset
	g.wasReset = true
	g.at(worldTick, func() {
		g.hold(o.Runner.ID)
		if first {
			g.core.NoteStartUnanswered(o)
			g.core.HandleAnswer(o, scheduler.OutcomeUnknown, g.now)
			return
		}
		g.core.NoteStartNotSent(o)
		g.core.HandleAnswer(o, scheduler.Unhealthy, g.now)
	})
}

func (g *cutGang) at(d time.Duration, do func()) {
	g.later = append(g.later, event{at: g.now.Add(d), do: do})
}

// play advances time, with a hold a second.
func (g *cutGang) play(length time.Duration) {
	for end := g.now.Add(length); g.now.Before(end); {
		g.now = g.now.Add(worldTick)
		due := g.later
		g.later = nil
		for _, e := range due {
			if e.at.After(g.now) {
				g.later = append(g.later, e)
				continue
			}
			e.do()
		}
		if g.now.Sub(worldStart)%time.Second == 0 {
			for id := range g.reports {
				g.hold(id)
			}
		}
		g.queue()
	}
}

func (g *cutGang) hold(id string) {
	if !g.open(id) || id == g.cutRunner && g.now.Before(g.holdsCut) {
		g.core.RunnerUnreachable(id)
		if g.refuses && g.holdRetry == 0 {
			g.retryHold(id)
		}
		return
	}
	if id == g.cutRunner {
		g.holdRetry = 0
	}
	report := batch.Report{Born: 1}
	for _, o := range g.starts {
		if o.Runner.ID == id && o.Attempt == 1 && g.began[id] != 0 && g.stopped == 0 {
			row := batch.RunningTask{Task: o.Task, Attempt: 1}
			if len(g.began) == 2 {
				row.Percent = int(g.now.Sub(worldStart) / time.Second)
			}
			report.Running = []batch.RunningTask{row}
		}
	}
	g.core.NoteLeaseExtension(id, g.now.Add(testLease))
	g.core.NoteDeadlineSent(id, g.now)
	g.core.HandleReport(id, g.now, report, g.now)
}

// retryHold sends holds again that are refused, as a leader does.
func (g *cutGang) retryHold(id string) {
	g.holdRetry = min(max(2*g.holdRetry, 100*time.Millisecond), 800*time.Millisecond)
	g.at(g.holdRetry, func() {
		if g.holdRetry > 0 {
			g.retryHold(id)
			g.hold(id)
		}
	})
}

// Guards against a gang that is stopped, and waits for LateOrders, though the link to one of its
// runners is back before the other member has waited for as long as its timeout.
func TestGangStartsOnceTheLinkToAMemberIsBack(t *testing.T) {
	for refuses, maxCut := range map[bool]time.Duration{false: 1800 * time.Millisecond, true: 1500 * time.Millisecond} {
		for afterHold := time.Duration(0); afterHold < time.Second; afterHold += 100 * time.Millisecond {
			for cut := 100 * time.Millisecond; cut <= maxCut; cut += 100 * time.Millisecond {
				t.Run(fmt.Sprintf("%v after a hold, for %v, refused %t", afterHold, cut, refuses), func(t *testing.T) {
					newCutGang(afterHold, cut, refuses).mustStart(t)
				})
			}
		}
	}
}

// mustStart checks that both members begin before the first ends by itself.
func (g *cutGang) mustStart(t *testing.T) {
	g.play(testGangTimeout)
	must.MapLen(t, 2, g.began)
	must.Zero(t, g.stopped)
}

// Guards against the same, when the runner has left a hold without an answer too, and takes starts.
func TestGangStartsThoughAMemberLeavesAHoldWithoutAnAnswer(t *testing.T) {
	for cut := 100 * time.Millisecond; cut <= 1800*time.Millisecond; cut += 100 * time.Millisecond {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			g := newCutGang(0, cut, false)
			g.holdsCut = g.now.Add(testGangTimeout)
			g.mustStart(t)
		})
	}
}

// Guards against members that wait until the gang's timeout, as a start to another runner is sent
// again and again.
func TestGangIsStoppedBeforeItsTimeoutWhileAStartIsSentAgain(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		for afterHold := time.Duration(0); afterHold < time.Second; afterHold += 100 * time.Millisecond {
			g := newCutGang(afterHold, time.Minute, refuses)
			g.play(testGangTimeout - testStopTime)
			must.Positive(t, g.stopped)
		}
	}
}
