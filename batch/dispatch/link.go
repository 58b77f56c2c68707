package dispatch

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// minHoldWait and holdWaitMax bound how long a runner may wait for an end
	// before it reports. Progress, checkpoints and silence are seen that often;
	// the platform allows two seconds.
	minHoldWait = time.Second
	maxHoldWait = 2 * time.Second

	// holdsPerCoreSecond is how many holds a second one core spends its time on. A host
	// of 0.144 cores kept up with three times as many, so bursts have room.
	holdsPerCoreSecond = 400

	holdGrace         = 600 * time.Millisecond // beyond the wait, for a slow answer
	holdRetryDelay    = 100 * time.Millisecond // after a hold without an answer; doubles up to holdRetryMax
	holdRetryDelayMax = 800 * time.Millisecond // several tries within a runner's shortest lease

	// endRecordTimeout is how long a hold waits for the ends of the last report to be
	// recorded, so that it can acknowledge them: many commits' time.
	endRecordTimeout = 250 * time.Millisecond

	// unrecordedHoldPause lies between holds while ends can't be recorded: a runner
	// with unacknowledged ends answers at once. It costs two calls a second.
	unrecordedHoldPause = 400 * time.Millisecond

	maxStartTries     = 3
	startTimeout      = 450 * time.Millisecond // three tries end before the rest of a gang has waited too long
	stopTimeout       = 500 * time.Millisecond // a hundred round trips within a region
	stopRetryDelay    = 100 * time.Millisecond // doubles up to stopRetryMax
	stopRetryDelayMax = time.Second            // a cancelled task must be gone within three seconds of a cut's end
)

// runnerLink is the connection to one runner. Its fields are guarded by the leader's mu.
type runnerLink struct {
	runner batch.Runner

	// The runner's clock when it was last read.
	clock   time.Duration
	clockAt steady.Time
}

// holdWait is longer where a weak host holds many runners.
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

// runnerEvents passes what is said of runners on to a leader, for one term.
type runnerEvents struct {
	ctx context.Context
	*Leader
}

// Listed implements RunnerEvents.
func (l runnerEvents) Listed(r batch.Runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.ListRunner(r, steady.Now())
	if known := l.links[r.ID]; known != nil {
		known.runner = r
		return
	}
	l.links[r.ID] = &runnerLink{runner: r}
	l.background.Go(func() { l.holdLoop(l.ctx, r.ID) })
	signal(l.decisionDue)
}

// Unlisted implements RunnerEvents.
func (l runnerEvents) Unlisted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.UnlistRunner(id)
	signal(l.decisionDue)
}

// Left implements RunnerEvents.
func (l runnerEvents) Left(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.RunnerLeft(id, steady.Now())
	signal(l.decisionDue)
}

// holdLoop holds a runner until it is neither listed nor needed.
func (l *Leader) holdLoop(ctx context.Context, id string) {
	wait := time.Duration(0) // the first hold only reads the clock
	retry := pause.Backoff{First: holdRetryDelay, Most: holdRetryDelayMax}
	for ctx.Err() == nil {
		to, order, ok := l.nextHold(id, wait)
		if !ok {
			return
		}
		if l.sendHold(ctx, to, order) {
			retry.Reset()
			wait = l.afterReport(ctx, id, order.Deadline == 0)
			continue
		}
		wait = 0
		retry.Wait(ctx)
	}
}

// nextHold builds the next hold; ok is false when the runner isn't needed.
func (l *Leader) nextHold(id string, wait time.Duration) (to batch.Runner, o HoldOrder, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[id]
	if !l.core.Needed(id) {
		delete(l.links, id)
		return batch.Runner{}, HoldOrder{}, false
	}
	o = HoldOrder{Token: l.term.Token, Acknowledged: l.core.Acknowledged(id), Wait: wait}
	o.Deadline = l.extendLease(k)
	return k.runner, o, true
}

// extendLease returns how far the runner's lease may be extended, on its clock,
// and notes it. It is zero while the clock is unknown. The caller holds mu.
func (l *Leader) extendLease(k *runnerLink) time.Duration {
	now := steady.Now()
	if k.clockAt.IsZero() || !l.core.MayExtend(k.runner.ID, now) {
		return 0
	}
	lease := min(l.RunnerLease, l.term.RunnerLeaseLimit(l.RunnerLease).Sub(now))
	if lease <= 0 {
		return 0
	}
	l.core.Extend(k.runner.ID, now.Add(maxLeaseDuration(lease)))
	return k.clock + now.Sub(k.clockAt) + lease
}

// sendHold makes one sendHold and takes the report in.
func (l *Leader) sendHold(ctx context.Context, to batch.Runner, o HoldOrder) bool {
	call, cancel := context.WithTimeout(ctx, o.Wait+holdGrace)
	defer cancel()
	asked := steady.Now()
	report, answer, err := l.Runners.Hold(call, to, o)
	now := steady.Now()
	l.countHold(answer)
	if answer == Fenced {
		l.giveUpTerm("a runner has seen a later term", nil)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer != Accepted {
		if ctx.Err() == nil {
			l.Log.Debug("hold failed", "runner", to.ID, "answer", int(answer), "err", err)
		}
		refused := answer == OtherIncarnation || errors.Is(err, syscall.ECONNREFUSED)
		l.core.Unreachable(to.ID, refused, now)
		signal(l.decisionDue)
		return false
	}
	if k := l.links[to.ID]; k != nil {
		k.clock, k.clockAt = report.Clock, now
	}
	l.core.Report(to.ID, asked, report, now)
	if len(report.Ended) > 0 || o.Deadline == 0 {
		signal(l.decisionDue)
	}
	return true
}

func (l *Leader) countHold(a Answer) {
	if l.Metrics != nil {
		l.Metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamentray_batch_holds_total{answered="%t"}`, a == Accepted)).Inc()
	}
}

// afterReport waits for the report's ends to be recorded. It returns how long
// the next hold may wait at the runner.
func (l *Leader) afterReport(ctx context.Context, id string, clockOnly bool) time.Duration {
	if clockOnly {
		return 0 // extend the lease at once
	}
	limit := time.NewTimer(endRecordTimeout)
	defer limit.Stop()
	for {
		l.mu.Lock()
		open, committed := l.core.Unacknowledged(id), l.committed
		l.mu.Unlock()
		if !open {
			return l.holdWait()
		}
		select {
		case <-committed:
		case <-ctx.Done():
			return 0
		case <-limit.C:
			pause.For(ctx, unrecordedHoldPause)
			return 0
		}
	}
}

// sendOrders sends orders, each by itself, so that a gang starts together and a
// silent runner holds up nothing else.
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

func (l *Leader) passAnswer(o scheduler.Order, a scheduler.Answer) {
	now := steady.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.Answered(o, a, now)
	signal(l.decisionDue)
}

// startRun sends a startRun until it is answered, a few times. Once a try may have
// left without an answer, only an acceptance is clear: the runner may still
// carry out the earlier try.
func (l *Leader) startRun(ctx context.Context, o scheduler.Order) scheduler.Answer {
	ambiguous := false
	for range maxStartTries {
		if !l.term.Valid() && !ambiguous {
			return scheduler.NotDone
		}
		answer, sent, err := l.sendStart(ctx, o)
		if answer == Accepted {
			return scheduler.Accepted
		}
		if err != nil {
			l.Log.Debug("start failed", "job", o.Task.Job, "step", o.Task.Step, "task", o.Task.Index, "runner", o.Runner.ID, "err", err)
		}
		if answer == Unanswered {
			ambiguous = ambiguous || sent
			continue
		}
		if answer == Fenced {
			l.giveUpTerm("a runner has seen a later term", nil)
		}
		l.Log.Info("start refused", "job", o.Task.Job, "step", o.Task.Step, "task", o.Task.Index,
			"attempt", o.Attempt, "runner", o.Runner.ID, "answer", int(answer), "earlier-try", ambiguous)
		switch {
		case ambiguous:
			return scheduler.Unknown
		case answer == Unhealthy || answer == OtherIncarnation:
			return scheduler.Unhealthy
		default:
			return scheduler.NotDone
		}
	}
	if ambiguous {
		return scheduler.Unknown
	}
	return scheduler.Unhealthy
}

func (l *Leader) sendStart(ctx context.Context, o scheduler.Order) (answer Answer, sent bool, err error) {
	l.mu.Lock()
	k := l.links[o.Runner.ID]
	var deadline time.Duration
	if k != nil {
		deadline = l.extendLease(k)
	}
	l.mu.Unlock()
	if deadline == 0 {
		return Unanswered, false, errors.New("runner not heard of lately; its lease can't be extended")
	}
	call, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	answer, err = l.Runners.Start(call, o.Runner, StartOrder{
		Task: o.Task, Attempt: o.Attempt, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Token: l.term.Token, Deadline: deadline,
	})
	return answer, !errors.Is(err, ErrNotSent), err
}

// stopRun sends a stopRun until it is answered or the run is gone.
func (l *Leader) stopRun(ctx context.Context, o scheduler.Order) {
	retry := pause.Backoff{First: stopRetryDelay, Most: stopRetryDelayMax}
	for ctx.Err() == nil && l.stopDue(o) {
		to, known := l.listedRunner(o.Runner.ID)
		if !known { // inherited from an earlier term; not listed yet
			pause.For(ctx, stopRetryDelay)
			continue
		}
		call, cancel := context.WithTimeout(ctx, stopTimeout)
		answer, err := l.Runners.Stop(call, to, StopOrder{Task: o.Task, Attempt: o.Attempt, Token: l.term.Token})
		cancel()
		switch answer {
		case Unanswered, Unhealthy:
			l.Log.Debug("stop failed; trying again", "job", o.Task.Job, "runner", o.Runner.ID, "err", err)
			retry.Wait(ctx)
		case Fenced:
			l.giveUpTerm("a runner has seen a later term", nil)
			return
		default:
			l.passAnswer(o, scheduler.Accepted)
			return
		}
	}
}

// listedRunner returns a runner as it is listed now.
func (l *Leader) listedRunner(id string) (batch.Runner, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[id]
	if k == nil {
		return batch.Runner{}, false
	}
	return k.runner, true
}

func (l *Leader) stopDue(o scheduler.Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Needed(o.Runner.ID)
}
