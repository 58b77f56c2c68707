package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// adviceGrace is how much longer than it says the adviser may take: its
	// answers wait for each other, and a slow link is slower.
	adviceGrace = time.Second

	// routeBackoff is how long a host through which no answer came isn't used:
	// about as long as a cut lasts.
	routeBackoff = 3 * time.Second
)

// AdviceArgs has a host ask the adviser.
type AdviceArgs struct {
	Job        string
	Occurrence int
	Step       int
	Runners    []string

	ctx context.Context
}

// TakeContext implements peer.ContextTaker.
func (a *AdviceArgs) TakeContext(ctx context.Context) { a.ctx = ctx }

// AdviceService asks the adviser for other hosts. It is registered as "Advice".
type AdviceService struct{ Adviser Adviser }

// Ask brings the adviser's answer.
func (s *AdviceService) Ask(args *AdviceArgs, reply *batch.Approval) (err error) {
	ctx := args.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	*reply, err = s.Adviser.Advise(ctx, args.Job, args.Occurrence, args.Step, args.Runners)
	return err
}

// AdviserRoutes are the ways to the adviser. It answers one question at a time for
// each host that asks, so the leader has all hosts ask.
type AdviserRoutes struct {
	Local Adviser         // nil: nobody is asked
	Peers peer.Caller     // to the other hosts
	Hosts func() []string // their addresses
}

// adviserRoute is a host that asks for the leader. Its fields are guarded by the
// leader's mu.
type adviserRoute struct {
	busy         bool        // with a question
	backoffUntil steady.Time // until when it isn't used
}

// localAddress stands for the leader itself among the askers.
const localAddress = ""

// adviceLoop has questions asked until ctx ends. A decision is made on each
// answer before more are given out.
func (l *Leader) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.adviceDue:
		}
		for _, address := range append([]string{localAddress}, l.AdviserRoutes.Hosts()...) {
			if !l.askVia(ctx, address) {
				break
			}
		}
	}
}

// askVia gives the host at address a question, if it is free. It returns
// false when none is due.
func (l *Leader) askVia(ctx context.Context, address string) bool {
	now := steady.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	through := l.route(address)
	if through.busy || now.Before(through.backoffUntil) {
		return true
	}
	q, due := l.core.Ask(now)
	if !due {
		return false
	}
	through.busy = true
	l.background.Go(func() {
		l.askAdviser(ctx, q, address)
		signal(l.decisionDue)
	})
	return true
}

// route returns the host at address. The caller holds mu.
func (l *Leader) route(address string) *adviserRoute {
	if l.routes[address] == nil {
		l.routes[address] = &adviserRoute{}
	}
	return l.routes[address]
}

func (l *Leader) askAdviser(ctx context.Context, q scheduler.Question, address string) {
	limit := q.Advice.DecisionTime + time.Duration(len(q.Runners))*q.Advice.TimePerRunner + adviceGrace
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := steady.Now()
	approval, err := l.AdviserRoutes.advise(call, q, address)
	now := steady.Now()
	l.Log.Info("advice", "job", q.Job, "occurrence", q.Occurrence, "step", q.Step, "asked", len(q.Runners), "through", address,
		"approved", len(approval.Tickets), "valid", approval.Valid, "took", now.Sub(asked).Round(time.Millisecond), "err", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	through := l.route(address)
	through.busy = false
	if err != nil {
		through.backoffUntil = now.Add(routeBackoff)
		l.core.NotAdvised(q, now)
		return
	}
	l.core.Advised(q, approval, asked)
}

func (a *AdviserRoutes) advise(ctx context.Context, q scheduler.Question, address string) (approval batch.Approval, err error) {
	if address == localAddress {
		return a.Local.Advise(ctx, q.Job, q.Occurrence, q.Step, q.Runners)
	}
	args := &AdviceArgs{Job: q.Job, Occurrence: q.Occurrence, Step: q.Step, Runners: q.Runners}
	err = a.Peers.Call(ctx, address, "Advice.Ask", args, &approval)
	return approval, errors.Wrapf(err, "asking through %s", address)
}
