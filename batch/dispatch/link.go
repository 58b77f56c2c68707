package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// minHoldWait and maxHoldWait bound how long a runner may wait for a task to end
	// before it answers a hold. Progress, checkpoints and silent runners are noticed
	// at this interval; the platform allows two seconds.
	minHoldWait = time.Second
	maxHoldWait = 2 * time.Second

	// holdsPerCoreSecond is the budget of holds per second for each core. A host of
	// 0.144 cores kept up with three times as many, which leaves room for bursts.
	holdsPerCoreSecond = 400

	reportMargin      = 120 * time.Millisecond // beyond the wait; nearly all answers arrive within it
	holdGrace         = 600 * time.Millisecond // allowance beyond the wait, for a slow answer
	holdRetryDelay    = 100 * time.Millisecond // after a hold without an answer; doubles up to holdRetryDelayMax
	holdRetryDelayMax = 800 * time.Millisecond // allows several tries within a runner's shortest lease

	// endRecordTimeout is how long the next hold is delayed at most while the ends in
	// the last report are being recorded, so that it can acknowledge them: time for
	// many commits.
	endRecordTimeout = 250 * time.Millisecond

	// withheldPollInterval is the time between two looks at whether the starts are answered
	// that keep ends from being acknowledged. Most are within a round trip.
	withheldPollInterval = 10 * time.Millisecond

	// unrecordedHoldPause is the pause between holds while ends can't be recorded: a
	// runner with unacknowledged ends answers at once. This costs two calls a second.
	unrecordedHoldPause = 400 * time.Millisecond

	maxStartTries = 3

	// repeatRecordTimeout bounds how long a start waits for its record before it is sent again.
	repeatRecordTimeout = 500 * time.Millisecond
	reportTimeout       = 150 * time.Millisecond // of a report between two tries of a start; most arrive within a few round trips
	startTimeout        = 450 * time.Millisecond // three tries end before the rest of a gang has waited too long
	stopTimeout         = 500 * time.Millisecond // time for a hundred round trips within a region
	stopRetryDelay      = 100 * time.Millisecond // doubles up to stopRetryDelayMax
	stopRetryDelayMax   = time.Second            // a cancelled task must be gone within three seconds of a network partition's end
)

// runnerLink is what the leader keeps about one runner that it holds. Its fields
// are guarded by Leader.mu.
type runnerLink struct {
	runner batch.Runner

	// The fencing token of orders to the runner. It is raised when the runner has
	// restarted, as its new incarnation takes orders that were sent to the one before.
	token uint64
	// The token of orders to the runner when its last restart became known; 0: it has not
	// restarted. The new incarnation is fenced once it has seen a higher one.
	tokenAtRestart uint64

	// The runner's clock in its last report, and when that report arrived here; 0: there is
	// no report of its present incarnation.
	clock   time.Duration
	clockAt steady.Time

	cancelHold context.CancelFunc // ends the wait for an answer to the last hold; nil: none was sent
}

// holdWait returns how long runners may wait before they answer a hold. It grows
// with the number of runners per core of this host.
func (l *Leader) holdWait() time.Duration {
	l.mu.Lock()
	n := len(l.links)
	l.mu.Unlock()
	if l.Cores <= 0 {
		return minHoldWait
	}
	wait := time.Duration(float64(n) / (holdsPerCoreSecond * l.Cores) * float64(time.Second))
	return min(max(wait, minHoldWait), maxHoldWait)
}

// runnerEventHandler implements RunnerEventHandler for a leader during one term.
type runnerEventHandler struct {
	ctx context.Context
	*Leader
}

// Listed implements RunnerEventHandler.
func (l runnerEventHandler) Listed(r batch.Runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.links[r.ID]; known != nil {
		known.runner = r
		l.core.RunnerListed(r, steady.Now())
		return
	}
	k := &runnerLink{runner: r, token: l.latestToken(r.ID)}
	l.links[r.ID] = k // before the core may note a restart of the runner
	l.core.RunnerListed(r, steady.Now())
	if l.core.AwaitsFence(r.ID) {
		k.tokenAtRestart = k.token
	}
	l.background.Go(func() { l.holdLoop(l.ctx, r.ID) })
	signal(l.decisionDue)
}

// Unlisted implements RunnerEventHandler.
func (l runnerEventHandler) Unlisted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.RunnerUnlisted(id)
	signal(l.decisionDue)
}

// Left implements RunnerEventHandler.
func (l runnerEventHandler) Left(id string, born int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.RunnerLeft(id, born, steady.Now())
	signal(l.decisionDue)
}

// MayHaveLeft implements RunnerEventHandler. The hold that may be waiting there was sent before.
func (l runnerEventHandler) MayHaveLeft(id string, born int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.RunnerMayHaveLeft(id, born, steady.Now())
	if k := l.links[id]; k != nil && k.cancelHold != nil {
		k.cancelHold()
	}
	signal(l.decisionDue)
}

// Age implements RunnerEventHandler. The clock of a runner starts with its incarnation, and may be
// slow.
func (l runnerEventHandler) Age(id string, born int64, at steady.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[id]
	if k == nil || k.clockAt.IsZero() || !l.core.ReportedLast(id, born) {
		return 0
	}
	return max(0, k.clock+at.Sub(k.clockAt))
}

// holdLoop sends holds to a runner until it is neither listed nor may run tasks.
func (l *Leader) holdLoop(ctx context.Context, id string) {
	wait := time.Duration(0) // the first hold only reads the clock
	retry := pause.Backoff{Initial: holdRetryDelay, Max: holdRetryDelayMax}
	for ctx.Err() == nil {
		to, order, ok := l.nextHold(id, wait)
		if !ok {
			return
		}
		if l.sendHold(ctx, to, order) {
			retry.Reset()
			wait = l.nextHoldWait(ctx, id, order.Deadline == 0)
			continue
		}
		wait = 0
		retry.Wait(ctx)
	}
}

// nextHold builds the next hold. ok is false when the runner is no longer needed.
func (l *Leader) nextHold(id string, wait time.Duration) (to batch.Runner, o HoldOrder, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[id]
	if !l.core.RunnerNeeded(id) {
		delete(l.links, id)
		return batch.Runner{}, HoldOrder{}, false
	}
	o = HoldOrder{Token: k.token, Acknowledged: l.core.AcknowledgedEnd(id), Wait: wait}
	o.NewConnection = l.core.AwaitsReport(id) || l.core.AwaitsFence(id) || l.core.AwaitsDeparture(id)
	if o.Acknowledged > 0 {
		o.Wait = 0 // starts wait for the answer
		l.core.NoteAcknowledgementSent(id)
	}
	o.Deadline = l.extendLease(k)
	l.core.ReportDue(id, steady.Now().Add(o.Wait+reportMargin))
	return k.runner, o, true
}

// extendLease returns the time on the runner's clock until which an order may
// extend its lease, and notes the extension in the core. It returns zero while the
// clock is unknown or the lease may not be extended. The caller holds mu.
func (l *Leader) extendLease(k *runnerLink) time.Duration {
	now := steady.Now()
	if k.clockAt.IsZero() || !l.core.MayExtendLease(k.runner.ID, now) {
		return 0
	}
	lease := min(l.RunnerLease, l.term.RunnerLeaseLimit(l.RunnerLease).Sub(now))
	if lease <= 0 {
		return 0
	}
	l.core.NoteLeaseExtension(k.runner.ID, now.Add(maxLeaseDuration(lease)))
	l.core.NoteDeadlineSent(k.runner.ID, now)
	return k.clock + now.Sub(k.clockAt) + lease
}

// sendHold sends one hold and passes the report to the core. It returns false when
// the hold wasn't accepted.
func (l *Leader) sendHold(ctx context.Context, to batch.Runner, o HoldOrder) bool {
	callCtx, cancel := context.WithTimeout(ctx, o.Wait+holdGrace)
	defer cancel()
	l.mu.Lock()
	if k := l.links[to.ID]; k != nil && o.Wait > 0 {
		k.cancelHold = cancel
	}
	l.mu.Unlock()
	asked := steady.Now()
	report, answer, err := l.Runners.Hold(callCtx, to, o)
	now := steady.Now()
	l.countHold(answer)
	if answer == Fenced && l.fencedByLaterTerm(to.ID, o.Token) {
		l.giveUpTerm("a runner has seen a later term", nil)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer != Accepted {
		if ctx.Err() == nil {
			l.Log.Debug("hold failed", "runner", to.ID, "answer", int(answer), "err", err)
		}
		if o.Acknowledged > 0 {
			l.noteUnacknowledged(to.ID, answer, err)
		}
		l.noteUnreachable(to, answer, asked, now)
		givenUp := ctx.Err() != nil // by the caller, before an answer was due
		if !givenUp && (answer == Unanswered || answer == OtherIncarnation) {
			l.core.HoldUnanswered(to.ID, asked, now)
		}
		signal(l.decisionDue)
		return false
	}
	l.core.AddressNotTaken(to.ID)
	l.core.EndsForgotten(to.ID, report.Born, o.Acknowledged)
	used := l.handleReport(to.ID, o.Token, asked, report, now)
	if k := l.links[to.ID]; used && k != nil && l.core.ReportedLast(to.ID, report.Born) {
		k.clock, k.clockAt = report.Clock, now
	}
	if len(report.Ended) > 0 || o.Deadline == 0 || o.Acknowledged > 0 {
		signal(l.decisionDue)
	}
	return true
}

// noteUnreachable passes to the core that a hold to a runner, as it was described then, was not
// answered with a report. The caller holds mu.
func (l *Leader) noteUnreachable(to batch.Runner, answer Answer, asked, now steady.Time) {
	if answer != OtherIncarnation {
		l.core.AddressNotTaken(to.ID)
		l.core.RunnerUnreachable(to.ID)
		return
	}
	if over := l.core.AddressTaken(to.ID, to.Address, asked); over > 0 {
		l.Log.Info("starts over", "runner", to.ID, "address", to.Address, "runs", over, "token", l.term.Token,
			"reason", "they can't be carried out any more, and another runner is at the address")
	}
	l.core.RunnerReplaced(to, asked, now)
}

// noteUnacknowledged passes the outcome of a hold that acknowledged ends, and was not answered
// with a report, to the core. The caller holds mu.
func (l *Leader) noteUnacknowledged(id string, answer Answer, err error) {
	if answer == Unanswered && !errors.Is(err, ErrNotSent) {
		l.core.NoteAcknowledgementUnanswered(id)
		return
	}
	l.core.NoteAcknowledgementRefused(id)
}

// askForReport has a runner report at once, beside the hold that may be waiting there.
func (l *Leader) askForReport(ctx context.Context, id string) {
	l.mu.Lock()
	k := l.links[id]
	if k == nil {
		l.mu.Unlock()
		return
	}
	to, o := k.runner, HoldOrder{Token: k.token, Deadline: l.extendLease(k), NewConnection: true}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	l.sendHold(ctx, to, o)
}

// handleReport passes the report on a hold with the given token to the core, and returns whether
// it was used. Until a restarted runner is fenced, an order to an earlier incarnation may have
// extended its lease to the longest one, counted from when it was carried out. The caller holds mu.
func (l *Leader) handleReport(id string, token uint64, asked steady.Time, report batch.Report, now steady.Time) (used bool) {
	unfenced := l.core.AwaitsFence(id)
	if k := l.links[id]; k != nil && token > k.tokenAtRestart {
		l.core.RunnerFenced(id, report.Born)
	}
	if used = l.core.HandleReport(id, asked, report, now); !used {
		l.Log.Debug("outdated report not used", "runner", id, "born", report.Born, "age", now.Sub(asked).Round(time.Millisecond))
	}
	if unfenced && !l.core.AwaitsFence(id) {
		l.noteFenced(id, token, report)
	}
	if unfenced || l.core.AwaitsFence(id) {
		l.core.NoteLeaseExtension(id, now.Add(maxLeaseDuration(l.RunnerLease)))
	}
	return used
}

// awaitsToken reports whether the runner has restarted and the token of orders to it has not
// been raised since.
func (k *runnerLink) awaitsToken() bool { return k != nil && k.token == k.tokenAtRestart }

// tokensDue reports whether the token of any runner is to be raised. The caller holds mu.
func (l *Leader) tokensDue() bool {
	for id, k := range l.links {
		if k.awaitsToken() || l.core.AwaitsToken(id) {
			return true
		}
	}
	return false
}

// raiseTokens raises the tokens of the runners that have restarted, or have left an
// acknowledgement without an answer, to the revision of a commit of this term. Only this term
// uses that revision, as the commit is conditional on the term, and the token of each later term
// is higher. The caller holds mu.
func (l *Leader) raiseTokens(revision uint64) {
	for id, k := range l.links {
		if (k.awaitsToken() || l.core.AwaitsToken(id)) && revision > k.token {
			l.Log.Info("runner's token raised", "runner", id, "from", k.token, "to", revision, "token", l.term.Token)
			k.token, l.raisedTokens[id] = revision, revision
			l.core.TokenRaised(id)
		}
	}
}

// fencedByLaterTerm reports whether a runner that refused a token has seen one of a later
// term, not a higher one of this term.
func (l *Leader) fencedByLaterTerm(id string, token uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return token == l.latestToken(id)
}

// latestToken returns the token of orders to a runner, also if it was removed. The caller holds mu.
func (l *Leader) latestToken(id string) uint64 { return max(l.term.Token, l.raisedTokens[id]) }

func (l *Leader) countHold(a Answer) {
	if l.Metrics != nil {
		l.Metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamentray_batch_holds_total{answered="%t"}`, a == Accepted)).Inc()
	}
}

// nextHoldWait waits until the ends in the last report are recorded, the runner's lease may
// be extended, and the token of a restarted runner is raised. It returns how long the next
// hold may wait at the runner. clockOnly says that the last hold only read the runner's clock
// and did not extend its lease.
func (l *Leader) nextHoldWait(ctx context.Context, id string, clockOnly bool) time.Duration {
	limit := time.NewTimer(endRecordTimeout)
	defer limit.Stop()
	for {
		l.mu.Lock()
		unacknowledged, committed := l.core.HasUnacknowledgedEnds(id), l.committed
		awaitsCommit := l.core.AwaitsLeaseRecord(id) || l.links[id].awaitsToken()
		atOnce := clockOnly || l.core.AwaitsFence(id) // extends the lease, or fences the runner
		awaitsReport := l.core.AwaitsReport(id)
		withheld := l.core.WithholdsAcknowledgement(id)
		l.mu.Unlock()
		if awaitsReport {
			pause.For(ctx, holdRetryDelay)
			return 0
		}
		if !awaitsCommit && atOnce {
			return 0
		}
		if !awaitsCommit && !unacknowledged && !withheld {
			return l.holdWait()
		}
		var answersDue <-chan time.Time
		if withheld {
			answersDue = time.After(withheldPollInterval)
		}
		select {
		case <-committed:
		case <-answersDue:
		case <-ctx.Done():
			return 0
		case <-limit.C:
			pause.For(ctx, unrecordedHoldPause)
			return 0
		}
	}
}

// sendOrders sends each order in its own goroutine, so that the tasks of a gang
// start together and a silent runner doesn't delay other orders.
func (l *Leader) sendOrders(ctx context.Context, orders []scheduler.Order) {
	for _, o := range orders {
		l.background.Go(func() {
			if o.Kind == scheduler.StartRun {
				l.passAnswer(o, l.startRun(ctx, o))
				return
			}
			l.stopRun(ctx, o)
		})
	}
}

// passAnswer passes the answer to an order to the core.
func (l *Leader) passAnswer(o scheduler.Order, a scheduler.Answer) {
	now := steady.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.HandleAnswer(o, a, now)
	signal(l.decisionDue)
}

// startRun sends a start order until it is answered or the run has been reported or
// stopped meanwhile, at most maxStartTries times. Once a try may have been sent
// without an answer, only Accepted is conclusive: the runner may still carry out the
// earlier try. The runner is asked for a report before another one, as it may list the run.
func (l *Leader) startRun(ctx context.Context, o scheduler.Order) scheduler.Answer {
	ambiguous := false
	for try := range maxStartTries {
		if !l.term.Valid() {
			break // the next leader decides about the run, also if this host was paused between two tries
		}
		if !l.awaitsStart(o) || try > 0 && !l.takesStarts(o) {
			l.Log.Info("start not sent; its run was reported or stopped", "job", o.Task.Job, "step", o.Task.Step,
				"task", o.Task.Index, "attempt", o.Attempt, "runner", o.Runner.ID, "tries", try)
			l.countStartTry("dropped")
			break
		}
		answer, sent, err := l.sendStart(ctx, o)
		l.countStartTry(startTryOutcome(answer, sent))
		if answer == Accepted {
			return scheduler.Accepted
		}
		if err != nil {
			l.Log.Debug("start failed", "job", o.Task.Job, "step", o.Task.Step, "task", o.Task.Index, "runner", o.Runner.ID, "err", err)
		}
		if answer == Unanswered {
			ambiguous = ambiguous || sent
			if !sent {
				continue
			}
			l.askForReport(ctx, o.Runner.ID)
			if !l.mayRepeatStart(ctx, o) {
				break
			}
			continue
		}
		l.Log.Info("start refused", "job", o.Task.Job, "step", o.Task.Step, "task", o.Task.Index,
			"attempt", o.Attempt, "runner", o.Runner.ID, "answer", int(answer), "earlier-try", ambiguous)
		switch {
		case ambiguous:
			return scheduler.OutcomeUnknown
		case answer == Unhealthy || answer == OtherIncarnation:
			return scheduler.Unhealthy
		default:
			return scheduler.NotExecuted
		}
	}
	switch {
	case ambiguous:
		l.Log.Info("start without an answer", "job", o.Task.Job, "step", o.Task.Step, "task", o.Task.Index,
			"attempt", o.Attempt, "runner", o.Runner.ID, "born", o.Runner.Born, "token", l.term.Token)
		return scheduler.OutcomeUnknown
	case !l.term.Valid() || !l.awaitsStart(o):
		return scheduler.NotExecuted
	default:
		return scheduler.Unhealthy
	}
}

// mayRepeatStart waits until the record of a start's run says that it may have been sent more
// than once. It returns false if that takes too long or the run has been reported or stopped.
func (l *Leader) mayRepeatStart(ctx context.Context, o scheduler.Order) bool {
	limit := time.NewTimer(repeatRecordTimeout)
	defer limit.Stop()
	for {
		l.mu.Lock()
		recorded, awaited, committed := l.core.RepeatStart(o), l.core.AwaitsStart(o), l.committed
		l.mu.Unlock()
		if recorded || !awaited {
			return recorded && awaited
		}
		signal(l.recordsDirty)
		select {
		case <-committed:
		case <-limit.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// awaitsStart reports whether the core still waits for the outcome of a start order.
func (l *Leader) awaitsStart(o scheduler.Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.AwaitsStart(o)
}

// takesStarts reports whether a start order's runner may be given starts.
func (l *Leader) takesStarts(o scheduler.Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.TakesStarts(o)
}

// startTryOutcome returns the label under which one try of a start is counted.
func startTryOutcome(a Answer, sent bool) string {
	switch {
	case a == Accepted:
		return "accepted"
	case a != Unanswered:
		return "refused"
	case sent:
		return "unanswered"
	default:
		return "not-sent"
	}
}

func (l *Leader) countStartTry(outcome string) {
	if l.Metrics != nil {
		l.Metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamentray_batch_start_tries_total{outcome=%q}`, outcome)).Inc()
	}
}

// sendStart sends a start order once. sent is false when it certainly did not leave
// this host.
func (l *Leader) sendStart(ctx context.Context, o scheduler.Order) (answer Answer, sent bool, err error) {
	l.mu.Lock()
	k := l.links[o.Runner.ID]
	var deadline time.Duration
	var token uint64
	if !l.core.AwaitsStart(o) { // settled since the caller looked
		l.mu.Unlock()
		return Unanswered, false, errors.New("its run has been settled")
	}
	if k != nil {
		deadline, token = l.extendLease(k), k.token
	}
	if deadline > 0 {
		l.core.NoteStartSent(o, steady.Now())
	}
	l.mu.Unlock()
	if deadline == 0 {
		return Unanswered, false, errors.New("no recent report from the runner; its lease can't be extended")
	}
	callCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	answer, err = l.Runners.Start(callCtx, o.Runner, StartOrder{
		Task: o.Task, Attempt: o.Attempt, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Token: token, Deadline: deadline,
	})
	if answer == Fenced && l.fencedByLaterTerm(o.Runner.ID, token) {
		l.giveUpTerm("a runner has seen a later term", nil)
	}
	sent = !errors.Is(err, ErrNotSent)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case answer != Unanswered:
		l.core.NoteStartAnswered(o)
	case sent:
		l.core.NoteStartUnanswered(o)
	default:
		l.core.NoteStartNotSent(o)
	}
	return answer, sent, err
}

// stopRun sends a stop order until it is answered or the runner is no longer needed.
func (l *Leader) stopRun(ctx context.Context, o scheduler.Order) {
	retry := pause.Backoff{Initial: stopRetryDelay, Max: stopRetryDelayMax}
	for ctx.Err() == nil && l.runnerNeeded(o) {
		to, token, known := l.listedRunner(o.Runner.ID)
		if !known { // run inherited from an earlier term; its runner isn't listed yet
			pause.For(ctx, stopRetryDelay)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		answer, err := l.Runners.Stop(callCtx, to, StopOrder{Task: o.Task, Attempt: o.Attempt, Token: token})
		cancel()
		switch {
		case answer == Fenced && l.fencedByLaterTerm(to.ID, token):
			l.giveUpTerm("a runner has seen a later term", nil)
			return
		case answer == Unanswered, answer == Unhealthy, answer == Fenced:
			l.Log.Debug("stop failed; retrying", "job", o.Task.Job, "runner", o.Runner.ID, "answer", int(answer), "err", err)
			retry.Wait(ctx)
		default:
			l.passAnswer(o, scheduler.Accepted)
			return
		}
	}
}

// listedRunner returns the runner as last listed, and the token of orders to it.
func (l *Leader) listedRunner(id string) (r batch.Runner, token uint64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[id]
	if k == nil {
		return batch.Runner{}, 0, false
	}
	return k.runner, k.token, true
}

// runnerNeeded reports whether the order's runner is listed or may still run a task.
func (l *Leader) runnerNeeded(o scheduler.Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.RunnerNeeded(o.Runner.ID)
}
