package dispatch

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// tokenRunner is a runner with one incarnation after the other. It refuses tokens below the
// highest one that its incarnation has seen.
type tokenRunner struct {
	Runners
	born    int64
	highest uint64
	waits   bool          // its holds wait until their call ends
	waiting chan struct{} // gets a value when a hold waits, unless it is full or nil
	ended   []batch.EndedTask
}

func (r *tokenRunner) restart() { r.born, r.highest = r.born+1, 0 }

func (r *tokenRunner) admit(token uint64) Answer {
	if token < r.highest {
		return Fenced
	}
	r.highest = token
	return Accepted
}

func (r *tokenRunner) Hold(ctx context.Context, _ batch.Runner, o HoldOrder) (batch.Report, Answer, error) {
	if r.waits {
		select {
		case r.waiting <- struct{}{}:
		default:
		}
		<-ctx.Done()
		return batch.Report{}, Unanswered, ctx.Err()
	}
	r.ended = slices.DeleteFunc(r.ended, func(e batch.EndedTask) bool { return e.Sequence <= o.Acknowledged })
	return batch.Report{Born: r.born, Clock: time.Minute, Ended: slices.Clone(r.ended)}, r.admit(o.Token), nil
}

func (r *tokenRunner) Start(_ context.Context, _ batch.Runner, o StartOrder) (Answer, error) {
	return r.admit(o.Token), nil
}

// hold sends the next hold to the runner "r" and returns it.
func hold(t *testing.T, l *Leader) HoldOrder {
	to, o, ok := l.nextHold("r", 0)
	must.True(t, ok)
	must.True(t, l.sendHold(t.Context(), to, o))
	return o
}

// Guards against orders that were sent to a runner's earlier incarnation and are carried out
// by the new one, where their deadlines lie far ahead: once a restart is known the token of
// orders to the runner is raised, and its reports count when it has seen the higher token.
func TestRestartedRunnerIsFencedAgainstEarlierOrders(t *testing.T) {
	runner := &tokenRunner{born: 1}
	l, _ := leaderOfOneRunner(t, runner, time.Minute)
	earlier := hold(t, l)
	must.Positive(t, earlier.Deadline)
	runner.restart()
	hold(t, l)
	must.True(t, l.core.AwaitsFence("r"))
	must.True(t, l.tokensDue())
	must.Eq(t, earlier.Token, hold(t, l).Token)
	must.True(t, l.core.AwaitsFence("r"))

	l.raiseTokens(7)
	must.False(t, l.tokensDue())
	fencing := hold(t, l)
	must.Eq(t, 7, fencing.Token)
	must.True(t, fencing.NewConnection)
	must.False(t, l.core.AwaitsFence("r"))
	must.False(t, hold(t, l).NewConnection)
	must.Eq(t, Fenced, runner.admit(earlier.Token))

	l.raiseTokens(9) // another commit, without a restart
	must.Eq(t, 7, hold(t, l).Token)
	runner.restart()
	hold(t, l)
	l.raiseTokens(8) // a commit that was sent before the last one
	must.Eq(t, 8, hold(t, l).Token)
}

// A runner that refuses a token because it has seen the raised one doesn't show that another
// host leads; one that refuses the raised token does.
func TestRefusalOfAnEarlierTokenDoesNotEndTheTerm(t *testing.T) {
	for token, ended := range map[uint64]bool{1: false, 7: true} {
		runner := &tokenRunner{born: 1}
		l, _ := leaderOfOneRunner(t, runner, time.Minute)
		hold(t, l)
		runner.restart()
		hold(t, l)
		l.raiseTokens(7)
		runner.highest = 100
		must.False(t, l.sendHold(t.Context(), batch.Runner{ID: "r"}, HoldOrder{Token: token}))
		must.Eq(t, ended, !l.term.Valid())
	}
}

// A runner that is removed and comes back during the term keeps its raised token.
func TestRaisedTokenOutlivesTheRunnersRemoval(t *testing.T) {
	runner := &tokenRunner{born: 1}
	l, order := leaderOfOneRunner(t, runner, time.Minute)
	hold(t, l)
	runner.restart()
	hold(t, l)
	l.raiseTokens(7)
	hold(t, l)
	now := steady.Now()
	l.core.RunnerLeft("r", 0, now)
	l.core.Decide(now, time.Now())
	_, _, needed := l.nextHold("r", 0)
	must.False(t, needed)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	runner.restart()
	entry := order.Runner
	entry.Born = runner.born
	runnerEventHandler{ctx, l}.Listed(entry)
	l.background.Wait()
	must.True(t, l.tokensDue()) // its earlier incarnation isn't forgotten
	must.Eq(t, 7, hold(t, l).Token)
	must.True(t, l.core.AwaitsFence("r"))
	l.raiseTokens(9)
	must.Eq(t, 9, hold(t, l).Token)
	must.False(t, l.core.AwaitsFence("r"))
}

// Once a runner's entry shows a restart, nothing is sent with a deadline on the clock of the
// earlier incarnation, and the hold that waits for that incarnation ends.
func TestEntryOfANewIncarnationEndsOrdersToTheEarlierOne(t *testing.T) {
	runner := &tokenRunner{born: 1, waiting: make(chan struct{}, 1)}
	l, order := leaderOfOneRunner(t, runner, time.Minute)
	hold(t, l)
	runner.waits = true
	ended := make(chan bool)
	go func() { ended <- l.sendHold(t.Context(), order.Runner, HoldOrder{Token: 1, Wait: time.Minute}) }()
	<-runner.waiting
	entry := order.Runner
	entry.Born = 2
	l.mu.Lock()
	l.core.RunnerListed(entry, steady.Now())
	l.mu.Unlock()
	must.False(t, <-ended)
	must.True(t, l.tokensDue())
	_, o, _ := l.nextHold("r", 0)
	must.Eq(t, 0, o.Deadline)
	must.Eq(t, scheduler.NotExecuted, l.startRun(t.Context(), order))
	must.Eq(t, 1, runner.highest)
}

// An entry that names a later incarnation may be of another writer. Once the runner's own
// entry is back, its lease is extended again.
func TestLeaseIsExtendedAgainAfterAnEntryOfALaterIncarnationIsReplaced(t *testing.T) {
	runner := &tokenRunner{born: 1}
	l, order := leaderOfOneRunner(t, runner, time.Minute)
	hold(t, l)
	entry := order.Runner
	entry.Born = 1 << 50
	l.core.RunnerListed(entry, steady.Now())
	hold(t, l)
	must.Eq(t, 0, hold(t, l).Deadline)
	entry.Born = 1
	l.core.RunnerListed(entry, steady.Now())
	l.raiseTokens(7)
	hold(t, l)
	must.Positive(t, hold(t, l).Deadline)
	must.False(t, l.tokensDue())
}

// Guards against a hold that acknowledges ends of the earlier incarnation to the next one: once
// the runner has forgotten them, holds acknowledge nothing.
func TestHoldAcknowledgesEndsOnce(t *testing.T) {
	runner := &tokenRunner{born: 1, ended: []batch.EndedTask{{Sequence: 7, Task: batch.TaskID{Job: "unknown"}, Attempt: 1}}}
	l, order := leaderOfOneRunner(t, runner, time.Minute)
	must.Eq(t, 0, hold(t, l).Acknowledged)
	must.Eq(t, 0, hold(t, l).Acknowledged) // a start is about to be sent
	l.core.HandleAnswer(order, scheduler.Accepted, steady.Now())
	must.Eq(t, 7, hold(t, l).Acknowledged)
	must.Len(t, 0, runner.ended)
	must.Eq(t, 0, hold(t, l).Acknowledged)
}

// Guards against an end that nobody has read and a runner forgets: a hold that acknowledges ends
// has no answer, and is carried out by the next incarnation after a start that was sent later.
func TestStartAfterAnUnansweredAcknowledgementHasAHigherToken(t *testing.T) {
	runner := &tokenRunner{born: 1, ended: []batch.EndedTask{{Sequence: 7, Task: batch.TaskID{Job: "unknown"}, Attempt: 1}}}
	l, order := leaderOfOneRunner(t, runner, time.Minute)
	l.core.HandleAnswer(order, scheduler.Accepted, steady.Now())
	hold(t, l)
	to, o, _ := l.nextHold("r", time.Second)
	must.Eq(t, 7, o.Acknowledged)
	must.Eq(t, 0, o.Wait) // starts wait for its answer
	runner.waits = true
	must.False(t, l.sendHold(t.Context(), to, o))
	must.True(t, l.core.AwaitsToken("r"))
	must.True(t, l.tokensDue())
	l.raiseTokens(7)
	must.False(t, l.core.AwaitsToken("r"))
	must.Eq(t, 7, l.links["r"].token)
}

// lateRunner answers one hold as its first incarnation once it is let go, and the others at once.
type lateRunner struct {
	Runners
	late        atomic.Bool // the next hold is answered late
	sent, letGo chan struct{}
}

func (r *lateRunner) Hold(ctx context.Context, to batch.Runner, o HoldOrder) (batch.Report, Answer, error) {
	if !r.late.CompareAndSwap(true, false) {
		return r.Runners.Hold(ctx, to, o)
	}
	close(r.sent)
	<-r.letGo
	return batch.Report{Born: 1, Clock: time.Hour}, Accepted, nil
}

// Guards against a deadline that lies far ahead on a runner's clock: an answer of the earlier
// incarnation arrives after a report of the next one.
func TestClockOfAnEarlierIncarnationIsNotUsed(t *testing.T) {
	runner := &tokenRunner{born: 1}
	l, order := leaderOfOneRunner(t, runner, time.Minute)
	late := &lateRunner{Runners: runner, sent: make(chan struct{}), letGo: make(chan struct{})}
	l.Runners = late
	hold(t, l)
	late.late.Store(true)
	answered := make(chan bool)
	go func() { answered <- l.sendHold(t.Context(), order.Runner, HoldOrder{Token: 1}) }()
	<-late.sent
	runner.restart()
	hold(t, l)
	l.raiseTokens(7)
	hold(t, l)
	close(late.letGo)
	must.True(t, <-answered)
	must.Eq(t, time.Minute, l.links["r"].clock)
}

// Guards against a departure that is taken for the silence of an earlier incarnation, and the
// reverse: an age that was read from one incarnation doesn't count for another.
func TestAgeIsThatOfTheIncarnationThatReportedLast(t *testing.T) {
	runner := &tokenRunner{born: 1}
	l, order := leaderOfOneRunner(t, runner, time.Minute)
	h := runnerEventHandler{t.Context(), l}
	l.links["r"].clockAt = 0
	must.Eq(t, 0, h.Age("r", 1, steady.Now())) // its clock is unknown
	hold(t, l)
	at := l.links["r"].clockAt
	must.Eq(t, time.Minute-time.Second, h.Age("r", 1, at.Add(-time.Second)))
	must.Eq(t, time.Minute+time.Second, h.Age("r", 1, at.Add(time.Second)))
	must.Eq(t, 0, h.Age("r", 2, at))
	must.Eq(t, 0, h.Age("q", 1, at))
	entry := order.Runner
	entry.Born = 2
	h.Listed(entry)
	must.Eq(t, 0, h.Age("r", 1, steady.Now()))
	must.Eq(t, 0, h.Age("r", 2, steady.Now()))
}

// heldAnswers answers each hold with the report that the test passes for it.
type heldAnswers struct {
	Runners
	sent    chan int // numbers the holds
	reports [3]chan batch.Report
	holds   atomic.Int32
}

func (r *heldAnswers) Hold(context.Context, batch.Runner, HoldOrder) (batch.Report, Answer, error) {
	n := int(r.holds.Add(1)) - 1
	r.sent <- n
	return <-r.reports[n], Accepted, nil
}

// Guards against a deadline that lies far ahead on a runner's clock: the answer of the earlier
// incarnation is to a hold that was sent after the one that the next incarnation has answered.
func TestClockOfAnEarlierIncarnationIsNotUsedWhenItsReportWasRequestedLater(t *testing.T) {
	runner := &tokenRunner{born: 1}
	l, order := leaderOfOneRunner(t, runner, time.Minute)
	hold(t, l)
	held := &heldAnswers{Runners: runner, sent: make(chan int), reports: [3]chan batch.Report{make(chan batch.Report), make(chan batch.Report), make(chan batch.Report)}}
	l.Runners = held
	var answered [2]chan bool
	for n := range answered {
		answered[n] = make(chan bool)
		go func() { answered[n] <- l.sendHold(t.Context(), order.Runner, HoldOrder{Token: 1}) }()
		must.Eq(t, n, <-held.sent)
	}
	held.reports[0] <- batch.Report{Born: 2, Clock: time.Second}
	must.True(t, <-answered[0])
	held.reports[1] <- batch.Report{Born: 1, Clock: time.Hour}
	must.True(t, <-answered[1])
	must.Eq(t, time.Second, l.links["r"].clock)
}

// Guards against a term that ends for nothing: a runner refuses a token that was raised during the
// term, and is removed before its answer is handled.
func TestRefusalOfAnEarlierTokenByARemovedRunnerDoesNotEndTheTerm(t *testing.T) {
	for token, ended := range map[uint64]bool{1: false, 7: true} {
		runner := &tokenRunner{born: 1}
		l, _ := leaderOfOneRunner(t, runner, time.Minute)
		hold(t, l)
		runner.restart()
		hold(t, l)
		l.raiseTokens(7)
		runner.highest = 100
		delete(l.links, "r")
		must.False(t, l.sendHold(t.Context(), batch.Runner{ID: "r"}, HoldOrder{Token: token}))
		must.Eq(t, ended, !l.term.Valid())
	}
}

// Guards against the same in the first reports of a term: no report of before shows which of two
// incarnations is over, and calls to both were under way.
func TestNoClockIsUsedWhileTwoIncarnationsMayBePresent(t *testing.T) {
	runner := &tokenRunner{born: 1}
	l, order := leaderOfOneRunner(t, runner, time.Minute)
	held := &heldAnswers{Runners: runner, sent: make(chan int), reports: [3]chan batch.Report{make(chan batch.Report), make(chan batch.Report), make(chan batch.Report)}}
	l.Runners = held
	var answered [3]chan bool
	for n := range answered {
		answered[n] = make(chan bool)
		go func() { answered[n] <- l.sendHold(t.Context(), order.Runner, HoldOrder{Token: 1}) }()
		must.Eq(t, n, <-held.sent)
	}
	for n, born := range []int64{2, 3, 2} {
		held.reports[n] <- batch.Report{Born: born, Clock: time.Hour}
		must.True(t, <-answered[n])
	}
	must.True(t, l.links["r"].clockAt.IsZero())
}

// Guards against a lease that an order to an earlier incarnation extends on the next one: the next
// one's entry has had the token raised, the earlier one's entry was read again, and orders with the
// raised token were sent to it since.
func TestTokenIsRaisedAgainOnceOrdersWereSentToTheEarlierIncarnationWithIt(t *testing.T) {
	runner := &tokenRunner{born: 1}
	l, order := leaderOfOneRunner(t, runner, time.Minute)
	hold(t, l)
	listed := func(born int64) {
		entry := order.Runner
		entry.Born = born
		runnerEventHandler{t.Context(), l}.Listed(entry)
	}
	listed(2)
	l.raiseTokens(7)
	listed(1)
	hold(t, l)
	earlier := hold(t, l)
	must.Eq(t, 7, earlier.Token)
	must.Positive(t, earlier.Deadline)
	runner.restart()
	hold(t, l)
	must.True(t, l.core.AwaitsFence("r"))
	must.True(t, l.tokensDue())
	l.raiseTokens(9)
	must.Eq(t, 9, hold(t, l).Token)
	must.False(t, l.core.AwaitsFence("r"))
	must.Eq(t, Fenced, runner.admit(earlier.Token))
}
