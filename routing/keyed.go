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
	maxClaimTimeout      = 10 * time.Second      // covers the change of a shard's owner
	claimTimeoutDivisor  = 2                     // a claim may take at most 1/claimTimeoutDivisor of the time left to the request
	firstClaimPollDelay  = 25 * time.Millisecond // while another attempt holds the key; doubles each time
	maxClaimPollDelay    = 500 * time.Millisecond
	completeTimeout      = 5 * time.Second // for recording the outcome of a key
	maxRecordedBodyBytes = 2 << 10         // response bodies larger than this are not recorded
)

// Claims decides which attempt may execute the request of an idempotency key. It
// is safe for concurrent use.
type Claims interface {
	// Claim returns Granted at most once for a key, unless the key was released
	// since. An error means that the key was not granted.
	Claim(ctx context.Context, req claims.Request) (claims.Reply, error)
	// Complete records how a granted attempt ended.
	Complete(ctx context.Context, c claims.Completion) error
	// Outcome returns the recorded state of a key.
	Outcome(ctx context.Context, key claims.Key) (claims.Reply, error)
	// Incarnation returns the prefix of keys that are bound to this entry host.
	Incarnation() string
}

// executeKeyed executes a call under its idempotency key, or returns the recorded
// outcome of the key. The outcome of a granted key is recorded even when the
// caller disconnects.
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

// claim claims the key. It polls while another attempt runs, until the call's
// deadline.
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

// claimOnce makes one claim. The claim goes on when the caller disconnects.
func (r *Router) claimOnce(ctx context.Context, deadline time.Time, req claims.Request) (claims.Reply, error) {
	wait := min(maxClaimTimeout, deadline.Sub(r.opts.Now())/claimTimeoutDivisor)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait)
	defer cancel()
	return r.opts.Claims.Claim(ctx, req)
}

// releaseClaim records that the request was not run, which frees its key.
func (r *Router) releaseClaim(ctx context.Context, req claims.Request) {
	r.completeClaim(ctx, claims.Completion{Key: req.Key, Attempt: req.Attempt, NotRun: true})
}

// completeClaim records the outcome of an attempt in the background, as the
// response to the caller does not depend on it: when the record is lost, the
// outcome of the key is unknown.
func (r *Router) completeClaim(ctx context.Context, completion claims.Completion) {
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Add(-1)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeTimeout)
		defer cancel()
		if err := r.opts.Claims.Complete(ctx, completion); err != nil {
			r.opts.Logger.Warn("Failed to record the outcome of an idempotency key", "service", completion.Key.Service, "err", err)
		}
	}()
}

// executeClaimed executes a call whose key was granted and records the outcome.
func (r *Router) executeClaimed(ctx context.Context, s *serviceDispatcher, c *call, req claims.Request) callResult {
	res := r.execute(ctx, s, c)
	completion := claims.Completion{Key: req.Key, Attempt: req.Attempt}
	switch {
	case res.outcome == NotRun:
		completion.NotRun = true
	case res.outcome == Unknown:
		completion.Unknown = true
	default:
		completion.Answer = recordedAnswer(res.response)
	}
	r.completeClaim(ctx, completion)
	return res
}

// recordedAnswer returns the part of a response that is recorded with its key.
func recordedAnswer(resp *response) claims.Answer {
	out := claims.Answer{Status: resp.status, ContentType: resp.header.Get("Content-Type")}
	if resp.rest == nil && len(resp.body) <= maxRecordedBodyBytes {
		out.Body, out.Kept = resp.body, true
	}
	return out
}

// replayResult returns the result of a call whose key was claimed before.
func replayResult(reply claims.Reply) callResult {
	switch reply.Verdict {
	case claims.Done:
		return replayRecordedAnswer(reply.Answer)
	case claims.Mismatch:
		return failedResult(NotRun, apierr.New(apierr.Conflict, "the idempotency key belongs to another request", "use a new key for a new request"))
	case claims.Running:
		return failedResult(Unknown, apierr.New(apierr.OutcomeUnknown, "a request with this key is still running", "look the key's outcome up later"))
	}
	return failedResult(Unknown, apierr.New(apierr.OutcomeUnknown, "a request with this key was sent and its outcome is unknown",
		"look up what it did at the service; use a new key only if it did not run"))
}

func replayRecordedAnswer(a claims.Answer) callResult {
	if !a.Kept {
		return failedResult(Ran, apierr.New(apierr.Conflict,
			"the request with this key ran and was answered with status "+strconv.Itoa(a.Status)+"; the response body was not recorded",
			"look up what it did at the service"))
	}
	header := make(http.Header)
	header.Set("Content-Type", a.ContentType)
	header.Set(headerReplayed, "true")
	out := &response{status: a.Status, header: header, length: int64(len(a.Body)), body: a.Body}
	return callResult{outcome: Ran, response: out, finish: func(bool) {}}
}
