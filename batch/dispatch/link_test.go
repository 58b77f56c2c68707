package dispatch

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// silentRunners answers no start until the given time has passed.
type silentRunners struct {
	Runners
	starts int
	delay  time.Duration
}

func (r *silentRunners) Start(context.Context, batch.Runner, StartOrder) (Answer, error) {
	r.starts++
	time.Sleep(r.delay)
	return Unanswered, errors.New("no answer")
}

// leaderOfOneRunner returns a leader whose term is valid for the given time.
func leaderOfOneRunner(runners Runners, validFor time.Duration) (*Leader, batch.Runner) {
	now := steady.Now()
	r := batch.Runner{ID: "r", Service: "s"}
	core := scheduler.New(scheduler.Options{})
	core.RunnerListed(r, now)
	core.HandleReport(r.ID, now, batch.Report{Born: 1}, now)
	l := &Leader{
		Options: Options{Runners: runners, Log: log.New(io.Discard), RunnerLease: 8 * time.Second},
		core:    core,
		term:    &Term{Token: 1, renewed: now.Add(validFor + termMargin - termTTL), cancel: func() {}},
		links:   map[string]*runnerLink{r.ID: {runner: r, clock: time.Second, clockAt: now}},
	}
	return l, r
}

// A start without an answer is not sent again once the term has run out, as by then
// another host may lead. Its outcome stays unknown.
func TestStartIsNotRetriedAfterTheTermHasRunOut(t *testing.T) {
	runners := &silentRunners{delay: 120 * time.Millisecond}
	l, r := leaderOfOneRunner(runners, 60*time.Millisecond)
	answer := l.startRun(t.Context(), scheduler.Order{Kind: scheduler.StartRun, Runner: r, Task: batch.TaskID{Job: "j"}, Attempt: 1})
	must.Eq(t, 1, runners.starts)
	must.Eq(t, scheduler.OutcomeUnknown, answer)
}

// A start that was never sent because the term has run out was not carried out.
func TestStartIsNotSentAfterTheTermHasRunOut(t *testing.T) {
	runners := &silentRunners{}
	l, r := leaderOfOneRunner(runners, -time.Second)
	answer := l.startRun(t.Context(), scheduler.Order{Kind: scheduler.StartRun, Runner: r, Task: batch.TaskID{Job: "j"}, Attempt: 1})
	must.Eq(t, 0, runners.starts)
	must.Eq(t, scheduler.NotExecuted, answer)
}

// While the term is valid, a start without an answer is tried again.
func TestStartIsRetriedDuringTheTerm(t *testing.T) {
	runners := &silentRunners{}
	l, r := leaderOfOneRunner(runners, time.Second)
	answer := l.startRun(t.Context(), scheduler.Order{Kind: scheduler.StartRun, Runner: r, Task: batch.TaskID{Job: "j"}, Attempt: 1})
	must.Eq(t, maxStartTries, runners.starts)
	must.Eq(t, scheduler.OutcomeUnknown, answer)
}
