package routing

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/claims"
	"github.com/cyclamentray/cyclamentray/internal/pause"
)

const (
	maxClaimTimeout      = 10 * time.Second // while a shard's owner changes
	claimTimeoutDivisor  = 2                // a claim waits at most 1/claimShare of what is left of the timeout
	firstClaimPollDelay  = 25 * time.Millisecond
	maxClaimPollDelay    = 500 * time.Millisecond
	completeTimeout      = 5 * time.Second
	maxRecordedBodyBytes = 2 << 10 // largest body recorded with a claim
)

// Claims decides who may execute an idempotency key. It is safe for concurrent use.
type Claims interface {
	// Claim returns Granted at most once for a key that is not freed. An error
	// means that nothing was granted.
	Claim(ctx context.Context, req claims.Request) (claims.Reply, error)
	// Complete records how a granted attempt ended.
	Complete(ctx context.Context, c claims.Completion) error
	// Outcome looks a key up.
	Outcome(ctx context.Context, key claims.Key) (claims.Reply, error)
	// Incarnation is the prefix of keys bound to this entry host.
	Incarnation() string
}

// executeKeyed executes a call under its idempotency key, or answers with what
// became of the key. A call that was granted is finished even when its caller
// goes away.
func (r *Router) executeKeyed(ctx context.Context, s *serviceDispatcher, c *call) callResult {
	if err := checkKeyLength(c.idempotencyKey); err != nil {
		return failedResult(NotRun, err)
	}
	if r.opts.Claims == nil {
		return failedResult(NotRun, claims.ErrUnavailable)
	}
	if reason, ok := s.admit(r.opts.Now(), r.newTicket(c)); !ok {
		return failedResult(NotRun, errShed(reason))
	}
	req := claims.Request{
		Key:         claims.Key{Organisation: c.organisation, Service: c.service.Name, Key: c.idempotencyKey},
		Fingerprint: c.fingerprint(),
		Attempt:     rand.Text(),
		Until:       c.deadline,
	}
	reply, err := r.claim(ctx, c, req)
	if err != nil {
		r.releaseClaim(ctx, req)
		return failedResult(NotRun, apierr.From(err))
	}
	if reply.Verdict != claims.Granted {
		return replayResult(reply)
	}
	if !r.opts.Now().Before(c.deadline) {
		r.releaseClaim(ctx, req)
		return failedResult(NotRun, errShed(TooLate))
	}
	return r.executeClaimed(ctx, s, c, req)
}

func checkKeyLength(key string) *apierr.Error {
	if len(key) <= claims.MaxKeyBytes {
		return nil
	}
	return apierr.Invalid(HeaderIdempotencyKey, "the key is longer than "+strconv.Itoa(claims.MaxKeyBytes)+" bytes", "use a shorter key")
}

// claim asks for the key, waiting while another attempt runs.
func (r *Router) claim(ctx context.Context, c *call, req claims.Request) (claims.Reply, error) {
	delay := firstClaimPollDelay
	for {
		reply, err := r.claimOnce(ctx, c.deadline, req)
		if err != nil || reply.Verdict != claims.Running {
			return reply, err
		}
		if r.opts.Now().Add(delay).After(c.deadline) || !pause.For(ctx, delay) {
			return reply, nil
		}
		delay = min(2*delay, maxClaimPollDelay)
	}
}

func (r *Router) claimOnce(ctx context.Context, deadline time.Time, req claims.Request) (claims.Reply, error) {
	wait := min(maxClaimTimeout, deadline.Sub(r.opts.Now())/claimTimeoutDivisor)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait)
	defer cancel()
	return r.opts.Claims.Claim(ctx, req)
}

func (r *Router) releaseClaim(ctx context.Context, req claims.Request) {
	r.completeClaim(ctx, claims.Completion{Key: req.Key, Attempt: req.Attempt, NotRun: true})
}

// completeClaim records an attempt's end in the background, as the caller's answer
// does not depend on it: a record that is lost leaves the key unknown.
func (r *Router) completeClaim(ctx context.Context, done claims.Completion) {
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Add(-1)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeTimeout)
		defer cancel()
		if err := r.opts.Claims.Complete(ctx, done); err != nil {
			r.opts.Logger.Warn("Recording the outcome of a key failed", "service", done.Key.Service, "err", err)
		}
	}()
}

func (r *Router) executeClaimed(ctx context.Context, s *serviceDispatcher, c *call, req claims.Request) callResult {
	res := r.execute(ctx, s, c)
	done := claims.Completion{Key: req.Key, Attempt: req.Attempt}
	switch {
	case res.outcome == NotRun:
		done.NotRun = true
	case res.outcome == Unknown:
		done.Unknown = true
	default:
		done.Answer = recordedAnswer(res.response)
	}
	r.completeClaim(ctx, done)
	return res
}

func recordedAnswer(resp *response) claims.Answer {
	out := claims.Answer{Status: resp.status, ContentType: resp.header.Get("Content-Type")}
	if resp.rest == nil && len(resp.body) <= maxRecordedBodyBytes {
		out.Body, out.Kept = resp.body, true
	}
	return out
}

// replayResult answers a call whose key was claimed before.
func replayResult(reply claims.Reply) callResult {
	switch reply.Verdict {
	case claims.Done:
		return replayRecordedAnswer(reply.Answer)
	case claims.Mismatch:
		return failedResult(NotRun, apierr.New(apierr.Conflict, "the idempotency key belongs to another request", "use a new key for a new request"))
	case claims.Running:
		return failedResult(Unknown, apierr.New(apierr.OutcomeUnknown, "a request with this key is still running", "look the key's outcome up later"))
	}
	return failedResult(Unknown, apierr.New(apierr.OutcomeUnknown, "a request with this key was sent and its end is not known",
		"look up what it did at the service; use a new key only if it did not run"))
}

func replayRecordedAnswer(a claims.Answer) callResult {
	if !a.Kept {
		return failedResult(Ran, apierr.New(apierr.Conflict,
			"the request with this key ran and was answered with status "+strconv.Itoa(a.Status)+"; the answer's body is not kept",
			"look up what it did at the service"))
	}
	header := make(http.Header)
	header.Set("Content-Type", a.ContentType)
	header.Set(headerReplayed, "true")
	out := &response{status: a.Status, header: header, length: int64(len(a.Body)), body: a.Body}
	return callResult{outcome: Ran, response: out, finish: func(bool) {}}
}
