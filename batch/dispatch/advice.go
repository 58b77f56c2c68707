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
	// adviceGrace is the allowance beyond the adviser's stated times: its answers
	// queue behind one another, and a slow link adds latency.
	adviceGrace = time.Second

	// routeBackoff is how long a host isn't used after a question through it
	// failed: about the duration of a network partition.
	routeBackoff = 3 * time.Second
)

// AdviceArgs are the arguments of AdviceService.Ask.
type AdviceArgs struct {
	Job        string
	Occurrence int
	Step       int
	Runners    []string

	ctx context.Context
}

// SetContext implements peer.ContextSetter.
func (a *AdviceArgs) SetContext(ctx context.Context) { a.ctx = ctx }

// AdviceService lets the leader on another host ask the adviser through this
// host. It is registered as "Advice".
type AdviceService struct{ Adviser Adviser }

// Ask forwards a question to the adviser and returns its answer.
func (s *AdviceService) Ask(args *AdviceArgs, reply *batch.Approval) (err error) {
	ctx := args.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	*reply, err = s.Adviser.Advise(ctx, args.Job, args.Occurrence, args.Step, args.Runners)
	return err
}

// AdviserRoutes are the hosts through which the leader asks the adviser. The
// adviser answers one question at a time for each host, so the leader sends
// questions through all of them.
type AdviserRoutes struct {
	Local Adviser         // asked by this host; nil: there is no adviser
	Peers peer.Caller     // calls the other hosts
	Hosts func() []string // returns the other hosts' addresses
}

// adviserRoute is the state of one host that asks the adviser for the leader. Its
// fields are guarded by Leader.mu.
type adviserRoute struct {
	busy         bool        // a question is in flight
	backoffUntil steady.Time // not used before this time
}

// localAddress stands for the leader's own host in Leader.routes.
const localAddress = ""

// adviceLoop sends questions to the adviser until ctx ends. Each answer triggers
// a decision before further questions are sent.
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

// askVia sends the next question through the host at address, unless the host is
// busy or backed off. It returns false when no question is due.
func (l *Leader) askVia(ctx context.Context, address string) bool {
	now := steady.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	route := l.route(address)
	if route.busy || now.Before(route.backoffUntil) {
		return true
	}
	q, due := l.core.NextQuestion(now)
	if !due {
		return false
	}
	route.busy = true
	l.background.Go(func() {
		l.askAdviser(ctx, q, address)
		signal(l.decisionDue)
	})
	return true
}

// route returns the state of the host at address. The caller holds mu.
func (l *Leader) route(address string) *adviserRoute {
	if l.routes[address] == nil {
		l.routes[address] = &adviserRoute{}
	}
	return l.routes[address]
}

func (l *Leader) askAdviser(ctx context.Context, q scheduler.Question, address string) {
	limit := q.Advice.DecisionTime + time.Duration(len(q.Runners))*q.Advice.TimePerRunner + adviceGrace
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := steady.Now()
	approval, err := l.AdviserRoutes.advise(callCtx, q, address)
	now := steady.Now()
	l.Log.Info("advice", "job", q.Job, "occurrence", q.Occurrence, "step", q.Step, "asked", len(q.Runners), "through", address,
		"approved", len(approval.Tickets), "valid", approval.Valid, "took", now.Sub(asked).Round(time.Millisecond), "err", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	route := l.route(address)
	route.busy = false
	if err != nil {
		route.backoffUntil = now.Add(routeBackoff)
		l.core.HandleAdviceFailure(q, now)
		return
	}
	l.core.HandleAdvice(q, approval, asked)
}

func (a *AdviserRoutes) advise(ctx context.Context, q scheduler.Question, address string) (approval batch.Approval, err error) {
	if address == localAddress {
		return a.Local.Advise(ctx, q.Job, q.Occurrence, q.Step, q.Runners)
	}
	args := &AdviceArgs{Job: q.Job, Occurrence: q.Occurrence, Step: q.Step, Runners: q.Runners}
	err = a.Peers.Call(ctx, address, "Advice.Ask", args, &approval)
	return approval, errors.Wrapf(err, "asking through %s", address)
}
