package routing

import (
	"context"

	"github.com/cyclamentray/cyclamentray/apierr"
)

const (
	maxAttempts         = 3 // of one call, the first included
	queueTimeoutDivisor = 2 // a ticket waits at most 1/queueTimeoutDivisor of the time left to its request
)

// callResult is the outcome of a call: a response or an error. While part of the
// response's body is unread (response.rest is set), the exchange is still open,
// and finish must be called once the response has been forwarded; complete tells
// whether all of it was.
type callResult struct {
	outcome  Outcome
	response *response
	err      *apierr.Error
	finish   func(complete bool)
}

// failedResult returns a result without a response.
func failedResult(outcome Outcome, err *apierr.Error) callResult {
	return callResult{outcome: outcome, err: err, finish: func(bool) {}}
}

func errShed(reason ShedReason) *apierr.Error {
	kind := apierr.Overloaded
	if reason == NoUpstream {
		kind = apierr.Unavailable
	}
	return apierr.New(kind, string(reason)+"; the request was not run", "retry after a pause")
}

func errUnknown() *apierr.Error {
	return apierr.New(apierr.OutcomeUnknown, "the request was sent but no complete response was received; it may have run",
		"look up what it did before sending it again, or use an idempotency key")
}

func errUnreachable() *apierr.Error {
	return apierr.New(apierr.Unavailable, "no upstream could be reached; the request was not run", "retry after a pause")
}

// newTicket returns the ticket of one attempt of c.
func (r *Router) newTicket(c *call) Ticket {
	now := r.opts.Now()
	wait := c.deadline.Sub(now) / queueTimeoutDivisor
	return Ticket{
		ID:            r.lastTicketID.Add(1),
		Organisation:  c.organisation,
		QueueDeadline: now.Add(wait),
		Deadline:      c.deadline,
	}
}

// execute sends a call until it gets a complete response or must not retry. A
// call that is not idempotent is retried only if no byte of it was sent, or if
// the upstream stated that it did not execute it.
func (r *Router) execute(ctx context.Context, s *serviceDispatcher, c *call) callResult {
	outcome := NotRun
	var avoid []string
	for attempts := 1; ; attempts++ {
		t := r.newTicket(c)
		t.AvoidUpstreams, t.Retry = avoid, attempts > 1
		decided, err := s.acquireSlot(ctx, r.opts.Now, t)
		if err != nil {
			return failedResult(outcome, apierr.New(apierr.Unavailable, "the caller disconnected", ""))
		}
		if decided.shedReason != "" {
			return r.resultWithoutResponse(outcome, errShed(decided.shedReason))
		}
		x := r.sendOnce(ctx, c, decided.dispatch)
		rep := x.report()
		rep.TicketID = t.ID
		_, refused := refusalOf(x)
		if x.response != nil && !refused {
			return r.resultWithResponse(s, x, rep)
		}
		r.endFailedAttempt(s, x, rep)
		if x.sent && !refused {
			outcome = Unknown
		}
		if outcome == Unknown && !c.idempotent {
			return failedResult(Unknown, errUnknown())
		}
		if attempts == maxAttempts || !r.opts.Now().Before(c.deadline) || !s.allowRetry() {
			return r.resultWithoutResponse(outcome, errUnreachable())
		}
		r.metrics.retries.Inc()
		avoid = append(avoid, decided.dispatch.Upstream.Name)
	}
}

// refusalOf returns the refusal in an attempt's response, if it has one.
func refusalOf(x *exchange) (string, bool) {
	if x.response == nil {
		return "", false
	}
	return x.response.refusal()
}

// resultWithoutResponse returns err as the result, or errUnknown when the outcome
// is Unknown, since err would state that the request was not run.
func (r *Router) resultWithoutResponse(outcome Outcome, err *apierr.Error) callResult {
	if outcome == Unknown {
		err = errUnknown()
	}
	return failedResult(outcome, err)
}

// endFailedAttempt ends an attempt that gave no response to forward and frees
// its slot.
func (r *Router) endFailedAttempt(s *serviceDispatcher, x *exchange, rep AttemptReport) {
	x.release(x.err == nil && x.response != nil && x.response.rest == nil)
	s.finishAttempt(r.opts.Now(), rep)
}

// resultWithResponse returns the attempt's response as the result. The slot is
// freed at once when the response was read completely, otherwise by finish.
func (r *Router) resultWithResponse(s *serviceDispatcher, x *exchange, rep AttemptReport) callResult {
	res := callResult{outcome: Ran, response: x.response, finish: func(bool) {}}
	if x.response.rest == nil {
		x.release(true)
		s.finishAttempt(r.opts.Now(), rep)
		return res
	}
	res.finish = func(complete bool) {
		x.release(complete)
		if !complete {
			rep.Result = Failed
		}
		s.finishAttempt(r.opts.Now(), rep)
	}
	return res
}
